package credential

import (
	"crypto/sha256"

	"github.com/pathbend/pathbend/internal/locality"
)

// Tenant is the identity on whose behalf a caller sends requests.
type Tenant struct {
	// Name is the unique name of the tenant.
	Name string
	// Priority orders the work of tenants, 0 first. It takes precedence over the priority of
	// a route.
	Priority int
	// Regions are the regions in which the work of the tenant may be served.
	Regions locality.Regions
}

// Grant is a tenant with its API keys.
type Grant struct {
	Tenant
	Keys []string
}

// digest is the SHA-256 digest of a key.
type digest [sha256.Size]byte

// Keyring maps API keys to tenants. It is immutable and therefore safe for concurrent use. A
// nil Keyring contains no keys and no tenants.
type Keyring struct {
	tenantsByKey  map[digest]Tenant
	tenantsByName map[string]Tenant
}

// NewKeyring returns a keyring with the given grants. Empty keys are ignored. A key that is
// granted to several tenants belongs to the first of them.
func NewKeyring(grants []Grant) *Keyring {
	ring := &Keyring{tenantsByKey: make(map[digest]Tenant), tenantsByName: make(map[string]Tenant, len(grants))}
	for _, grant := range grants {
		ring.tenantsByName[grant.Name] = grant.Tenant
		for _, key := range grant.Keys {
			ring.add(key, grant.Tenant)
		}
	}
	return ring
}

// add adds a key unless it is empty or already belongs to a tenant.
func (r *Keyring) add(key string, tenant Tenant) {
	if key == "" {
		return
	}
	keyDigest := digest(sha256.Sum256([]byte(key)))
	if _, known := r.tenantsByKey[keyDigest]; !known {
		r.tenantsByKey[keyDigest] = tenant
	}
}

// TenantByKey returns the tenant to which a key belongs, and false if there is none.
func (r *Keyring) TenantByKey(key string) (Tenant, bool) {
	if r == nil || key == "" {
		return Tenant{}, false
	}
	keyDigest := digest(sha256.Sum256([]byte(key)))
	tenant, known := r.tenantsByKey[keyDigest]
	return tenant, known
}

// Tenant returns the tenant with the given name, and false if there is none.
func (r *Keyring) Tenant(name string) (Tenant, bool) {
	if r == nil {
		return Tenant{}, false
	}
	tenant, known := r.tenantsByName[name]
	return tenant, known
}

// Len returns the number of tenants.
func (r *Keyring) Len() int {
	if r == nil {
		return 0
	}
	return len(r.tenantsByName)
}
