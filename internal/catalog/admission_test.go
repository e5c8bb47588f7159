package catalog

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/credential"
	"github.com/pathbend/pathbend/internal/result"
)

func TestOnlyKeysOfTenantsAreAdmitted(t *testing.T) {
	ring := credential.NewKeyring([]credential.Grant{{Tenant: credential.Tenant{Name: "T"}, Keys: []string{"held-key"}}})
	open := &Catalog{}
	closed := &Catalog{Keys: ring}
	emptied := &Catalog{Keys: credential.NewKeyring(nil)}
	public, private := &Route{Public: true}, &Route{}
	for _, one := range []struct {
		name   string
		in     *Catalog
		route  *Route
		key    string
		tenant string
		denied bool
	}{
		{"no tenants here", open, private, "", "", false},
		{"no tenants here, a key of the application's own", open, private, "held-key", "", false},
		{"held", closed, private, "held-key", "T", false},
		{"unknown", closed, private, "other-key", "", true},
		{"absent", closed, private, "", "", true},
		{"public", closed, public, "", "", false},
		{"public, held", closed, public, "held-key", "T", false},
		{"public, unknown", closed, public, "other-key", "", false},
		{"an empty table lets nobody in", emptied, private, "held-key", "", true},
	} {
		tenant, err := one.in.Admit(one.route, one.key)
		require.Equal(t, one.denied, result.Is(err, result.Unauthenticated), one.name)
		require.Equal(t, one.denied, err != nil, one.name)
		require.Equal(t, one.tenant, tenant.Name, one.name)
		if err != nil && one.key != "" {
			require.NotContains(t, err.Error(), one.key, "a key must not stand in an error")
		}
	}
}
