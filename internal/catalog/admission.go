package catalog

import (
	"github.com/pathbend/pathbend/internal/credential"
	"github.com/pathbend/pathbend/internal/result"
)

// TenantForKey returns the tenant that holds an API key. It returns the zero tenant if the
// deployment has no tenants, and an Unauthenticated error if no tenant holds the key.
func (c *Catalog) TenantForKey(key string) (credential.Tenant, error) {
	if c.Keys == nil {
		return credential.Tenant{}, nil
	}
	tenant, found := c.Keys.TenantByKey(key)
	switch {
	case found:
		return tenant, nil
	case key == "":
		return tenant, result.New(result.Unauthenticated, "request has no API key")
	default:
		return tenant, result.New(result.Unauthenticated, "API key of the request belongs to no tenant")
	}
}

// Authenticate returns the tenant on whose behalf a caller with an API key uses a route. A
// public route needs no key, but a valid key still determines the tenant.
func (c *Catalog) Authenticate(route *Route, key string) (credential.Tenant, error) {
	tenant, err := c.TenantForKey(key)
	if err != nil && route.Public {
		return credential.Tenant{}, nil
	}
	return tenant, err
}
