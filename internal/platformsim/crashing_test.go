package platformsim

import (
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var crashingSeeds = flag.Uint64("crashing-seeds", 3, "number of seeds of TestSeedsOfCrashingWork")

// crashingKinds are the kinds of faults in which samplers crash during a request, an item or a
// reward call.
var crashingKinds = []FaultKind{CrashingRequest, ItemDuringCrashes, RewardDuringCrashes}

// Guards against a request that crashes one back end after another: a client repeats it with new
// ids at different nodes, and without a common key for its attempts it reached 13 or 14 samplers
// instead of being quarantined after three crashes.
func TestRequestThatCrashesItsSamplersIsHeldBack(t *testing.T) {
	faults := []Fault{{Kind: CrashingRequest, At: 2 * time.Second, For: 40 * time.Second, Target: 1}}
	world := runSimulation(t, exampleOptions(500+uint64(CrashingRequest), nil), faults)
	counts := fmt.Sprint(world.Checker.counts)
	require.Empty(t, world.Checker.Violations(), counts)
	require.GreaterOrEqual(t, world.Checker.counts[countCrashes], crashThreshold, counts)
	require.Positive(t, world.Checker.counts["steps whole"], counts)
}

// maxPauseAfterCrash is how long an item may be at no sampler although there is room.
const maxPauseAfterCrash = 5 * time.Second

// Guards against an item that is held back because samplers crashed while they ran it. Items are
// never the cause of a crash.
func TestItemDuringCrashesIsCompleted(t *testing.T) {
	for _, kind := range []FaultKind{ItemDuringCrashes, RewardDuringCrashes} {
		t.Run(kind.String(), func(t *testing.T) {
			faults := []Fault{{Kind: kind, At: 2 * time.Second, For: 40 * time.Second, Target: 1}}
			options := exampleOptions(500+uint64(kind), nil)
			// There is always one that has not crashed, and so is not cold.
			options.Applications = crashesDuringWork + 1
			world := runSimulation(t, options, faults)
			counts := fmt.Sprint(world.Checker.counts)
			require.Empty(t, world.Checker.Violations(), counts)
			require.Equal(t, crashesDuringWork, world.Checker.counts[countCrashes], counts)
			require.Equal(t, 1, world.Checker.counts[countCompletedDuringCrashes], counts)
			require.Less(t, world.Checker.longestPauseAfterCrash, maxPauseAfterCrash)
		})
	}
}

// Faults of crashingKinds combined with random faults of nodes, store and samplers.
func TestSeedsOfCrashingWork(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*crashingSeeds; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			faults := addCrashingFaults(seed, RandomFaults(seed, faultTime, *faultCount))
			world := runSimulation(t, exampleOptions(seed, nil), faults)
			require.Empty(t, world.Checker.Violations(), "%v", faults)
			require.Positive(t, world.Checker.counts["steps whole"], "%v", faults)
		})
	}
}

// addCrashingFaults adds one fault of each crashing kind at a random time.
func addCrashingFaults(seed uint64, faults []Fault) []Fault {
	random := rand.New(rand.NewPCG(seed, 13))
	for _, kind := range crashingKinds {
		faults = append(faults, Fault{
			Kind: kind, At: time.Duration(random.Int64N(int64(faultTime / 2))), For: faultTime / 2, Target: random.Uint64(),
		})
	}
	slices.SortFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

// quarantineLogLine holds the fields of a log line about a request whose back ends crashed.
type quarantineLogLine struct {
	Message string `json:"msg"`
	Digest  string `json:"digest"`
	// RequestID is only in lines about attempts; those of the crashing client begin with
	// crashingIDPrefix.
	RequestID string `json:"request_id"`
}

// Guards against requests staying in quarantine only because they ran on samplers that crashed
// under a crashing request, an item or a reward call. Some may be quarantined for a short time, but
// must be released.
func TestRequestsBesideCrashingOnesLeaveQuarantine(t *testing.T) {
	const seed = 3
	var faults []Fault
	for i, kind := range crashingKinds {
		faults = append(faults, Fault{Kind: kind, At: time.Duration(2+3*i) * time.Second, For: 35 * time.Second, Target: seed})
	}
	logs := &logBuffer{}
	world := runSimulation(t, exampleOptions(seed, logs), faults)
	require.Empty(t, world.Checker.Violations())
	quarantined, crashCounts, crashing := make(map[string]bool), make(map[string]int), make(map[string]bool)
	for decoder := json.NewDecoder(strings.NewReader(logs.String())); ; {
		var line quarantineLogLine
		if decoder.Decode(&line) != nil {
			break
		}
		switch line.Message {
		case "attempt_failed":
			crashing[line.Digest] = crashing[line.Digest] || strings.HasPrefix(line.RequestID, crashingIDPrefix)
		case "back_end_ended":
			crashCounts[line.Digest]++
		case "request_quarantined":
			quarantined[line.Digest] = true
		case "quarantine_cleared":
			delete(quarantined, line.Digest)
		}
	}
	require.Len(t, quarantined, 1, "only the crashing request; items and reward calls are never quarantined")
	for digest := range quarantined {
		require.True(t, crashing[digest], "only the request of the crashing client stays in quarantine")
		require.GreaterOrEqual(t, crashCounts[digest], crashThreshold)
	}
}
