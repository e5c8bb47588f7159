package catalog

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/credential"
	"github.com/pathbend/pathbend/internal/result"
)

func TestOnlyKeysOfTenantsAreAdmitted(t *testing.T) {
	keyring := credential.NewKeyring([]credential.Grant{{Tenant: credential.Tenant{Name: "T"}, Keys: []string{"held-key"}}})
	withoutTenants := &Catalog{}
	withTenants := &Catalog{Keys: keyring}
	withoutKeys := &Catalog{Keys: credential.NewKeyring(nil)}
	public, private := &Route{Public: true}, &Route{}
	for _, test := range []struct {
		name    string
		catalog *Catalog
		route   *Route
		key     string
		tenant  string
		denied  bool
	}{
		{"deployment without tenants", withoutTenants, private, "", "", false},
		{"deployment without tenants, key of the application", withoutTenants, private, "held-key", "", false},
		{"valid key", withTenants, private, "held-key", "T", false},
		{"unknown key", withTenants, private, "other-key", "", true},
		{"no key", withTenants, private, "", "", true},
		{"public route, no key", withTenants, public, "", "", false},
		{"public route, valid key", withTenants, public, "held-key", "T", false},
		{"public route, unknown key", withTenants, public, "other-key", "", false},
		{"empty keyring admits no key", withoutKeys, private, "held-key", "", true},
	} {
		tenant, err := test.catalog.Authenticate(test.route, test.key)
		require.Equal(t, test.denied, result.Is(err, result.Unauthenticated), test.name)
		require.Equal(t, test.denied, err != nil, test.name)
		require.Equal(t, test.tenant, tenant.Name, test.name)
		if err != nil && test.key != "" {
			require.NotContains(t, err.Error(), test.key, "an error must not contain the key")
		}
	}
}
