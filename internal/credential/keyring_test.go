package credential

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestKeysBelongToTheirTenant(t *testing.T) {
	ring := NewKeyring([]Grant{
		{Tenant: Tenant{Name: "dakar", Priority: 1}, Keys: []string{"first", "second", ""}},
		{Tenant: Tenant{Name: "perth"}, Keys: []string{"third", "first"}},
		{Tenant: Tenant{Name: "keyless"}},
	})
	for _, test := range []struct {
		key, tenantName string
	}{{"first", "dakar"}, {"second", "dakar"}, {"third", "perth"}, {"", ""}, {"First", ""}, {"dakar", ""}} {
		tenant, known := ring.TenantByKey(test.key)
		require.Equal(t, test.tenantName != "", known, test.key)
		require.Equal(t, test.tenantName, tenant.Name, test.key)
	}
	tenant, known := ring.Tenant("dakar")
	require.True(t, known)
	require.Equal(t, 1, tenant.Priority)
	_, known = ring.Tenant("keyless")
	require.True(t, known)
	require.Equal(t, 3, ring.Len())
}

func TestNilKeyringIsEmpty(t *testing.T) {
	var ring *Keyring
	_, known := ring.TenantByKey("any")
	require.False(t, known)
	_, known = ring.Tenant("any")
	require.False(t, known)
	require.Zero(t, ring.Len())
}

func TestPrintedKeyringRevealsNoKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.StringMatching(`[a-z0-9]{12,24}`).Draw(t, "key")
		ring := NewKeyring([]Grant{{Tenant: Tenant{Name: "T"}, Keys: []string{key}}})
		require.NotContains(t, fmt.Sprintf("%v %+v %#v", ring, ring, ring), key)
		tenant, known := ring.TenantByKey(key)
		require.True(t, known)
		require.Equal(t, "T", tenant.Name)
		_, known = ring.TenantByKey(key + "x")
		require.False(t, known)
	})
}
