package catalog

import (
	"github.com/pathbend/pathbend/internal/credential"
	"github.com/pathbend/pathbend/internal/result"
)

// Caller returns the tenant that a caller with a key calls for, the zero tenant where
// the deployment has none. The error is Unauthenticated for a key that nobody holds.
func (c *Catalog) Caller(key string) (credential.Tenant, error) {
	if c.Keys == nil {
		return credential.Tenant{}, nil
	}
	tenant, held := c.Keys.Holder(key)
	switch {
	case held:
		return tenant, nil
	case key == "":
		return tenant, result.New(result.Unauthenticated, "the request carries no key")
	default:
		return tenant, result.New(result.Unauthenticated, "no tenant holds the key of the request")
	}
}

// Admit returns the tenant for which a caller with a key uses a route. A public route
// needs no key; a key that is shown all the same tells the tenant.
func (c *Catalog) Admit(route *Route, key string) (credential.Tenant, error) {
	tenant, err := c.Caller(key)
	if err != nil && route.Public {
		return credential.Tenant{}, nil
	}
	return tenant, err
}
