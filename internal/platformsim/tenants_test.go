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

// Keys were taken away while the store was silent, and nodes out of touch went on with
// them: the judge called the tenant that had held the key a wrong one (seed 7014 with
// eight faults).
func TestKeysTakenWhileTheStoreIsSilent(t *testing.T) {
	faults := []Fault{
		{Kind: StoreSilent, At: 17 * time.Second, For: 4 * time.Second},
		{Kind: StoreSilent, At: 27 * time.Second, For: 7 * time.Second},
		{Kind: KeysTaken, At: 30 * time.Second, For: 4 * time.Second, Target: 3},
	}
	world := play(t, example(7014, nil), faults)
	require.Empty(t, world.Truth.Violations())
}

func TestKeysThatNobodyHoldsAreJudged(t *testing.T) {
	const tenant, sampled = "tenant-1", "a node"
	for _, example := range []struct {
		name      string
		takenFor  time.Duration
		disturbed string
		names     string
		want      string
	}{
		{name: "taken long ago", takenFor: configBound + time.Second, names: tenant, want: "CONFIG"},
		{name: "taken just now", takenFor: configBound - time.Second, names: tenant},
		{name: "machine out of touch", takenFor: configBound + time.Second, disturbed: sampled, names: tenant},
		{name: "another machine out of touch", takenFor: configBound + time.Second, disturbed: "other", names: tenant, want: "CONFIG"},
		{name: "store in trouble", takenFor: configBound + time.Second, disturbed: storeTrouble, names: tenant},
		{name: "another tenant's", takenFor: configBound + time.Second, disturbed: sampled, names: "tenant-2", want: "UNASKED"},
		{name: "never held", disturbed: sampled, names: "", want: "ROUTE"},
	} {
		t.Run(example.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				truth := NewTruth()
				time.Sleep(time.Minute)
				if example.disturbed != "" {
					truth.Disturb(strings.TrimPrefix(example.disturbed, storeTrouble), time.Now())
				}
				key := keyTruth{tenant: example.names}
				if example.takenFor > 0 {
					key = keyTruth{tenant: tenant, taken: time.Now().Add(-example.takenFor)}
				}
				truth.Intrudes("x", key)
				truth.judgeTenant("x", sampled, http.Header{platform.HeaderTenant: {example.names}})
				broken := truth.Violations()
				if example.want == "" {
					require.Empty(t, broken)
					return
				}
				require.Len(t, broken, 1)
				require.True(t, strings.HasPrefix(broken[0], example.want+":"), broken)
			})
		})
	}
}

// storeTrouble stands for the store, whose name in a Truth is empty.
const storeTrouble = "store"
