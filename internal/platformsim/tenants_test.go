package platformsim

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/platform"
)

// Guards against a false violation. When keys are revoked while the store does not answer, nodes
// that are out of touch keep accepting them and name the tenant that held the key, which the
// check took for a wrong tenant (seed 7014 with eight faults).
func TestKeysRevokedWhileTheStoreIsUnresponsive(t *testing.T) {
	faults := []Fault{
		{Kind: StoreUnresponsive, At: 17 * time.Second, For: 4 * time.Second},
		{Kind: StoreUnresponsive, At: 27 * time.Second, For: 7 * time.Second},
		{Kind: KeysRevoked, At: 30 * time.Second, For: 4 * time.Second, Target: 3},
	}
	world := runSimulation(t, exampleOptions(7014, nil), faults)
	require.Empty(t, world.Checker.Violations())
}

func TestUnauthorizedRequestsAreChecked(t *testing.T) {
	const tenant, node = "tenant-1", "a node"
	for _, example := range []struct {
		name        string
		revokedFor  time.Duration
		disturbed   string
		namedTenant string
		want        string
	}{
		{name: "revoked long ago", revokedFor: configDeadline + time.Second, namedTenant: tenant, want: "CONFIG"},
		{name: "revoked just now", revokedFor: configDeadline - time.Second, namedTenant: tenant},
		{name: "node disturbed", revokedFor: configDeadline + time.Second, disturbed: node, namedTenant: tenant},
		{name: "another node disturbed", revokedFor: configDeadline + time.Second, disturbed: "other", namedTenant: tenant, want: "CONFIG"},
		{name: "store disturbed", revokedFor: configDeadline + time.Second, disturbed: storeDisturbed, namedTenant: tenant},
		{name: "wrong tenant named", revokedFor: configDeadline + time.Second, disturbed: node, namedTenant: "tenant-2", want: "UNASKED"},
		{name: "key never granted", disturbed: node, namedTenant: "", want: "ROUTE"},
	} {
		t.Run(example.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				checker := NewChecker()
				time.Sleep(time.Minute)
				if example.disturbed != "" {
					checker.RecordDisturbance(strings.TrimPrefix(example.disturbed, storeDisturbed), time.Now())
				}
				key := keyHistory{tenant: example.namedTenant}
				if example.revokedFor > 0 {
					key = keyHistory{tenant: tenant, revokedAt: time.Now().Add(-example.revokedFor)}
				}
				checker.RecordUnauthorizedRequest("x", key)
				checker.checkTenant("x", node, http.Header{platform.HeaderTenant: {example.namedTenant}})
				violations := checker.Violations()
				if example.want == "" {
					require.Empty(t, violations)
					return
				}
				require.Len(t, violations, 1)
				require.True(t, strings.HasPrefix(violations[0], example.want+":"), violations)
			})
		})
	}
}

// storeDisturbed selects the store, whose name in a Checker is empty.
const storeDisturbed = "store"
