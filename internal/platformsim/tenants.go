package platformsim

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pathbend/pathbend/platform"
)

const (
	tenantCount   = 3
	keysPerTenant = 2
	// configDeadline is the time from its acknowledgement within which a configuration must be
	// in force.
	configDeadline = 3 * time.Second
	// unknownKey is a key that no tenant holds in any configuration.
	unknownKey = "never-a-key"
)

// keyHistory records what the operator did with a key.
type keyHistory struct {
	tenant string
	// grantedAt and revokedAt are the times at which the store acknowledged the change (the
	// operator's writes take no time here); revokedAt is zero while the key is valid.
	grantedAt, revokedAt time.Time
}

// tenantRegistry holds the tenants of a world and the keys of all its configurations.
type tenantRegistry struct {
	mutex    sync.Mutex
	names    []string
	keys     map[string]*keyHistory
	keyCount int
	// regionBound is set where the first tenant is restricted to tenantRegion.
	regionBound bool
}

func newTenantRegistry() *tenantRegistry {
	registry := &tenantRegistry{keys: make(map[string]*keyHistory)}
	for i := range tenantCount {
		name := fmt.Sprintf("tenant-%d", i+1)
		registry.names = append(registry.names, name)
		for range keysPerTenant {
			registry.addKey(name)
		}
	}
	return registry
}

// addKey grants a tenant a new key; the caller holds r.mutex, or r is not shared yet.
func (r *tenantRegistry) addKey(tenant string) {
	r.keyCount++
	r.keys[fmt.Sprintf("key-%d-of-%s", r.keyCount, tenant)] = &keyHistory{tenant: tenant, grantedAt: time.Now()}
}

// rotateKeys revokes all keys of a tenant and grants it new ones.
func (r *tenantRegistry) rotateKeys(target uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	tenant := r.names[target%uint64(len(r.names))]
	for _, key := range r.keys {
		if key.tenant == tenant && key.revokedAt.IsZero() {
			key.revokedAt = time.Now()
		}
	}
	for range keysPerTenant {
		r.addKey(tenant)
	}
}

// documents returns the tenants as the configuration lists them.
func (r *tenantRegistry) documents() []platform.TenantDocument {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var documents []platform.TenantDocument
	for i, name := range r.names {
		documents = append(documents, platform.TenantDocument{Name: name, APIKeys: r.validKeys(name), Priority: i % 2})
		if r.regionBound && i == 0 {
			documents[i].AllowedRegions = []string{tenantRegion}
		}
	}
	return documents
}

// validKeys returns the valid keys of a tenant, sorted; the caller holds r.mutex.
func (r *tenantRegistry) validKeys(tenant string) []string {
	var valid []string
	for key, known := range r.keys {
		if known.tenant == tenant && known.revokedAt.IsZero() {
			valid = append(valid, key)
		}
	}
	slices.Sort(valid)
	return valid
}

// randomKey returns a random valid key of a tenant.
func (r *tenantRegistry) randomKey(tenant string, random *rand.Rand) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	valid := r.validKeys(tenant)
	return valid[random.IntN(len(valid))]
}

// revokedKey returns a key that was revoked more than configDeadline ago and its history, or
// unknownKey and a zero history if there is none.
func (r *tenantRegistry) revokedKey() (string, keyHistory) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var revoked []string
	for key, known := range r.keys {
		if !known.revokedAt.IsZero() && time.Since(known.revokedAt) > configDeadline {
			revoked = append(revoked, key)
		}
	}
	if len(revoked) == 0 {
		return unknownKey, keyHistory{}
	}
	slices.Sort(revoked)
	newest := revoked[len(revoked)-1]
	return newest, *r.keys[newest]
}

// otherTenant returns a tenant other than the given one.
func (r *tenantRegistry) otherTenant(tenant string) string {
	for _, name := range r.names {
		if name != tenant {
			return name
		}
	}
	return tenant
}

// keyAge returns the time since a key was granted, or 0 if it is revoked or unknown.
func (r *tenantRegistry) keyAge(key string) time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.keys[key]
	if known == nil || !known.revokedAt.IsZero() {
		return 0
	}
	return time.Since(known.grantedAt)
}

// authorizationHeader returns the value of the Authorization header that carries a key.
func authorizationHeader(key string) string { return platform.AuthSchemeToken + " " + key }

// RecordTenant records the tenant for which a request or an item runs.
func (c *Checker) RecordTenant(id, tenant string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.tenants[id] = tenant
}

// RecordUnauthorizedRequest records a request, sent now, whose key was revoked or never granted.
func (c *Checker) RecordUnauthorizedRequest(id string, key keyHistory) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.tenants[id] = key.tenant
	c.unauthorized[id] = unauthorizedRequest{revokedAt: key.revokedAt, sentAt: time.Now()}
}

// unauthorizedRequest is a request with a key that no tenant holds.
type unauthorizedRequest struct {
	// revokedAt is the time at which the store acknowledged the revocation of the key, zero if the
	// key was never granted; sentAt is the time at which the request was sent.
	revokedAt, sentAt time.Time
}

// checkTenant checks the tenant that a request from a node names to a sampler, and that no
// invalid key and no authorization header reaches one. A disturbed machine may still accept a
// revoked key; it then names the tenant that held the key.
func (c *Checker) checkTenant(id, node string, header http.Header) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if credentials := header.Get(platform.HeaderAuthorization); credentials != "" {
		c.recordViolation("UNASKED", "request %s passed authorization header %q to a sampler", id, credentials)
	}
	if named := header.Get(platform.HeaderTenant); named != c.tenants[id] {
		c.recordViolation("UNASKED", "request %s of tenant %q named tenant %q to a sampler", id, c.tenants[id], named)
	}
	known, unauthorized := c.unauthorized[id]
	if !unauthorized {
		return
	}
	delay := known.sentAt.Sub(known.revokedAt)
	switch {
	case known.revokedAt.IsZero():
		c.recordViolation("ROUTE", "request %s with a key that was never granted reached a sampler from %s", id, node)
	case delay > configDeadline+c.recentWakeDelay(time.Now()) && c.inTouch(node, time.Now()):
		c.recordViolation("CONFIG", "request %s, sent %v after its key was revoked, reached a sampler from %s", id, delay, node)
	}
}

// checkDenial reports a 401 to a key that has been valid for long enough that every node must
// know it.
func (c *Checker) checkDenial(result callResult, id, key string, validFor time.Duration) {
	if result.status != http.StatusUnauthorized {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if validFor > configDeadline+c.tolerance(time.Now()) {
		c.recordViolation("DENIED", "node %s denied request %s with key %s, valid for %v", result.node, id, key, validFor)
	}
}

// checkUnauthorizedAccess reports a successful answer to a key that no tenant holds. A disturbed
// node may still accept a key that was revoked, but never one that was not granted.
func (c *Checker) checkUnauthorizedAccess(result callResult, id, key string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if result.status < http.StatusMultipleChoices && (key == unknownKey || c.inTouch(result.node, result.startedAt)) {
		c.recordViolation("ROUTE", "node %s served request %s with invalid key %s", result.node, id, key)
	}
}
