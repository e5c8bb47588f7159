package credential

import (
	"crypto/sha256"

	"github.com/pathbend/pathbend/internal/locality"
)

// Tenant is who a caller calls for.
type Tenant struct {
	Name string
	// Priority ranks the tenant's work before the priority of a route, 0 first.
	Priority int
	// Regions are those in which the tenant's work may be served.
	Regions locality.Regions
}

// Grant is a tenant with the keys that it holds.
type Grant struct {
	Tenant
	Keys []string
}

// digest is the SHA-256 digest of a key.
type digest [sha256.Size]byte

// Keyring maps keys to tenants. It is built once and only read afterwards; a nil
// Keyring knows no key.
type Keyring struct {
	holders map[digest]Tenant
	tenants map[string]Tenant
}

// NewKeyring returns a keyring of grants. Empty keys are passed over. A key that two
// tenants hold is the first one's.
func NewKeyring(grants []Grant) *Keyring {
	ring := &Keyring{holders: make(map[digest]Tenant), tenants: make(map[string]Tenant, len(grants))}
	for _, grant := range grants {
		ring.tenants[grant.Name] = grant.Tenant
		for _, key := range grant.Keys {
			ring.add(key, grant.Tenant)
		}
	}
	return ring
}

func (r *Keyring) add(key string, tenant Tenant) {
	if key == "" {
		return
	}
	digested := digest(sha256.Sum256([]byte(key)))
	if _, held := r.holders[digested]; !held {
		r.holders[digested] = tenant
	}
}

// Holder returns the tenant that holds a key, false if none does.
func (r *Keyring) Holder(key string) (Tenant, bool) {
	if r == nil || key == "" {
		return Tenant{}, false
	}
	digested := digest(sha256.Sum256([]byte(key)))
	tenant, held := r.holders[digested]
	return tenant, held
}

// Tenant returns a tenant by name, false if it is not known.
func (r *Keyring) Tenant(name string) (Tenant, bool) {
	if r == nil {
		return Tenant{}, false
	}
	tenant, known := r.tenants[name]
	return tenant, known
}

// Size counts the tenants.
func (r *Keyring) Size() int {
	if r == nil {
		return 0
	}
	return len(r.tenants)
}
