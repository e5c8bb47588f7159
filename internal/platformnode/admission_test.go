package platformnode

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/catalog"
	"github.com/pathbend/pathbend/internal/credential"
	"github.com/pathbend/pathbend/internal/ledger"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/schedule"
)

// catalogWithKeys returns a configuration with one route that requires a key. The keys are
// those of tenant "T"; tenant "U" has the key "of-u".
func catalogWithKeys(t *testing.T, version uint64, keys ...string) *catalog.Catalog {
	t.Helper()
	built := catalogOf(t, version)
	built.Keys = credential.NewKeyring([]credential.Grant{
		{Tenant: credential.Tenant{Name: "T"}, Keys: keys}, {Tenant: credential.Tenant{Name: "U"}, Keys: []string{"of-u"}},
	})
	return built
}

func nodeWithKeys(t *testing.T) *Node {
	t.Helper()
	node := newTestNode()
	node.ApplyCatalog(catalogWithKeys(t, 1, "of-t"))
	node.ApplySamplers([]schedule.Sampler{})
	return node
}

func TestRevokedKeyIsDeniedBeforeTheNextAttempt(t *testing.T) {
	node := nodeWithKeys(t)
	admitted, err := node.Admit(t.Context(), "h", "/x", "of-t")
	require.NoError(t, err)
	require.Equal(t, "T", admitted.Tenant.Name)
	checkKey := node.keyCheck(admitted, "of-t")
	require.NoError(t, checkKey())
	node.ApplyCatalog(catalogWithKeys(t, 2))
	require.True(t, result.Is(checkKey(), result.Unauthenticated))
	_, err = node.Admit(t.Context(), "h", "/x", "of-t")
	require.True(t, result.Is(err, result.Unauthenticated))
}

func TestStaleNodeDeniesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node := nodeWithKeys(t)
		knownAt := time.Now()
		node.SetConfigurationAge(func() time.Duration { return time.Since(knownAt) })
		for _, path := range []struct{ host, key string }{{"h", "new-key"}, {"other", "of-t"}} {
			_, err := node.Admit(t.Context(), path.host, "/x", path.key)
			require.False(t, result.Is(err, result.NotReady), "%v", path)
		}
		time.Sleep(maxDenialAge + time.Millisecond)
		for _, path := range []struct{ host, key string }{{"h", "new-key"}, {"other", "of-t"}} {
			_, err := node.Admit(t.Context(), path.host, "/x", path.key)
			require.True(t, result.Is(err, result.NotReady), "%v", path)
			require.Positive(t, result.From(err).RetryAfter)
		}
		_, err := node.Admit(t.Context(), "h", "/x", "of-t")
		require.NoError(t, err, "without a revocation limit known keys stay valid")
		node.settings.RevokeAfter = time.Second
		_, err = node.Admit(t.Context(), "h", "/x", "of-t")
		require.True(t, result.Is(err, result.NotReady), "with a revocation limit the key may have been revoked")
	})
}

func TestJobsAreAccessibleOnlyToTheirTenant(t *testing.T) {
	node := nodeWithKeys(t)
	node.jobs.ledger = ledger.New()
	put := func(id, tenant string) {
		records, err := ledger.Encode(&pathbendv1.LedgerEntry{JobId: id, Fact: &pathbendv1.LedgerEntry_Submitted{
			Submitted: &pathbendv1.BatchJob{Tenant: tenant, ItemIds: []string{"i"}},
		}}, 1, 1<<20)
		require.NoError(t, err)
		_, err = node.jobs.ledger.Apply(records[0], time.Now())
		require.NoError(t, err)
	}
	put("job-of-t", "T")
	put("open-job", "")
	require.NoError(t, node.requireJob(t.Context(), "job-of-t", "of-t"))
	require.True(t, result.Is(node.requireJob(t.Context(), "job-of-t", "of-u"), result.JobUnknown))
	require.True(t, result.Is(node.requireJob(t.Context(), "job-of-t", "nobody's"), result.Unauthenticated))
	require.NoError(t, node.requireJob(t.Context(), "open-job", ""))
	err := node.Submit(t.Context(), "job-of-t", &pathbendv1.BatchJob{Tenant: "U"}, nil)
	require.True(t, result.Is(err, result.JobConflict), "a job id belongs to the tenant that submitted it first")
	require.NoError(t, node.Submit(t.Context(), "job-of-t", &pathbendv1.BatchJob{Tenant: "T"}, nil))
}

func TestTenantPriorityPrecedesRoutePriority(t *testing.T) {
	node := newTestNode()
	built := catalogOf(t, 1)
	built.Keys = credential.NewKeyring([]credential.Grant{
		{Tenant: credential.Tenant{Name: "first"}}, {Tenant: credential.Tenant{Name: "second", Priority: 1}},
	})
	node.ApplyCatalog(built)
	last, foremost := &catalog.Route{Priority: 2}, &catalog.Route{}
	require.Less(t, node.schedulingRank("first", last), node.schedulingRank("second", foremost))
	require.Less(t, node.schedulingRank("first", foremost), node.schedulingRank("first", last))
	node.ApplyCatalog(catalogOf(t, 2))
	require.Equal(t, 2, node.schedulingRank("first", last), "without tenants only the route's priority counts")
}
