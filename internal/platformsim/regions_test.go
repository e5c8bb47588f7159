package platformsim

import (
	"fmt"
	"io"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// twoRegionOptions describes a world whose remoteZone is a region of its own, 8 ms from the
// other zones and the store. One route is restricted to the one region and one tenant to the
// other.
func twoRegionOptions(seed uint64, logs io.Writer) Options {
	options := exampleOptions(seed, logs)
	options.Regions = map[string]string{"a": "north", "b": "north", remoteZone: "south"}
	options.RemoteZoneLatency = 8 * time.Millisecond
	options.Applications = 6
	return options
}

func TestCalmDayOfTwoRegions(t *testing.T) {
	world := runSimulation(t, twoRegionOptions(1, nil), nil)
	require.Empty(t, world.Checker.Violations())
	counts := world.Checker.counts
	require.Zero(t, counts["requests refused"]+counts["requests lost"], counts)
	require.Positive(t, counts["bound arrivals"], counts)
	require.Positive(t, counts["bound bodies"], counts)
	require.GreaterOrEqual(t, counts["steps"], 30)
	require.Equal(t, counts["steps"], counts["steps whole"], counts)
}

// Injects each kind of fault that changes which nodes decide or forward, on its own, twice.
func TestEachFaultOfTwoRegions(t *testing.T) {
	kinds := []FaultKind{
		NodeKill, NodePause, NodeCutFromStore, NodeCutFromAll, NodeTerminate, KillMostNodes, KillAllNodes, NodeReplaced, ConfigChange,
		StoreUnresponsive, StoreLosesWrites, StoreRebalance, SamplerCrash, RegionCut,
	}
	for _, kind := range kinds {
		for target := range uint64(3) {
			t.Run(fmt.Sprintf("%v at %d", kind, target), func(t *testing.T) {
				t.Parallel()
				faults := []Fault{
					{Kind: kind, At: 6 * time.Second, For: 4 * time.Second, Target: 2 * target},
					{Kind: kind, At: 25 * time.Second, For: 6 * time.Second, Target: 2*target + 1},
				}
				world := runSimulation(t, twoRegionOptions(uint64(kind)+200, nil), faults)
				require.Empty(t, world.Checker.Violations())
				require.Positive(t, world.Checker.counts["steps whole of m1"], "steps of the tenant restricted to a region")
				require.Positive(t, world.Checker.counts["steps whole of m2"], "steps of the route restricted to a region")
			})
		}
	}
}

func TestSeedsOfTwoRegions(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			var logs io.Writer
			if *traceLogs {
				logs = os.Stdout
			}
			faults := RandomFaults(seed, faultTime, *faultCount)
			world := runSimulation(t, twoRegionOptions(seed, logs), faults)
			for _, violation := range world.Checker.Violations() {
				t.Error(violation)
			}
			t.Logf("faults %v, counts %v", faults, world.Checker.counts)
			require.Positive(t, world.Checker.counts["steps whole"])
		})
	}
}

// With a remote store, items may run before their trainer learns that the job was accepted.
// This violates the rule on refused jobs only if the unanswered submission is refused too.
func TestItemsMayRunBeforeTheirSubmissionIsAnswered(t *testing.T) {
	for _, refused := range []bool{false, true} {
		checker := NewChecker()
		job := &jobHistory{id: "j", items: []string{"i"}}
		checker.RecordJob(job, map[string]*itemHistory{"i": {}})
		checker.recordSubmissionAnswer(job, false, true)
		job.submitting = true
		checker.RunStarted("i", "s", "n")
		checker.recordSubmissionAnswer(job, !refused, refused)
		require.Equal(t, refused, len(checker.Violations()) > 0)
	}
	checker := NewChecker()
	job := &jobHistory{id: "j", items: []string{"i"}, refused: true}
	checker.RecordJob(job, map[string]*itemHistory{"i": {}})
	checker.RunStarted("i", "s", "n")
	require.NotEmpty(t, checker.Violations(), "no submission is unanswered")
}
