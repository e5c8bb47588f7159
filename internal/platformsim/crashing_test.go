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

// crashingKinds are the places at which work may stand that crashes its samplers.
var crashingKinds = []FaultKind{CrashingRequest, CrashingItem, CrashingReward}

// A request that crashed three samplers reached 13 and 14 of them on one day of the users,
// under new ids and at any node: nothing joined its tries.
func TestRequestThatCrashesItsSamplersIsHeldBack(t *testing.T) {
	for _, kind := range crashingKinds {
		faults := []Fault{{Kind: kind, At: 2 * time.Second, For: 40 * time.Second, Target: 1}}
		world := play(t, example(500+uint64(kind), nil), faults)
		counts := fmt.Sprint(kind, world.Truth.counts)
		require.Empty(t, world.Truth.Violations(), counts)
		require.GreaterOrEqual(t, world.Truth.counts[countCrashes], crashLimit, counts)
		require.Positive(t, world.Truth.counts["steps whole"], counts)
	}
}

// Work that crashes its samplers beside drawn troubles of nodes, store and samplers.
func TestSeedsOfCrashingWork(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*crashingSeeds; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			faults := withCrashingWork(seed, Draw(seed, faultTime, *faultsRun))
			world := play(t, example(seed, nil), faults)
			require.Empty(t, world.Truth.Violations(), "%v", faults)
			require.Positive(t, world.Truth.counts["steps whole"], "%v", faults)
		})
	}
}

// withCrashingWork adds one of each kind of work that crashes its samplers, from a drawn time
// on.
func withCrashingWork(seed uint64, faults []Fault) []Fault {
	random := rand.New(rand.NewPCG(seed, 13))
	for _, kind := range crashingKinds {
		faults = append(faults, Fault{
			Kind: kind, At: time.Duration(random.Int64N(int64(faultTime / 2))), For: faultTime / 2, Target: random.Uint64(),
		})
	}
	slices.SortFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

// quarantineLine is what a log line tells of a request under which samplers ended.
type quarantineLine struct {
	Message string `json:"msg"`
	Digest  string `json:"digest"`
}

// Items that ran beside one which crashed three samplers were held as long as it was. In
// twelve plays of three crashing requests, items and reward calls each, three others were
// held, for 1.0 to 1.2 s.
func TestWhatRanBesideCrashingWorkIsServedAgain(t *testing.T) {
	const seed = 3
	var faults []Fault
	for i, kind := range crashingKinds {
		faults = append(faults, Fault{Kind: kind, At: time.Duration(2+3*i) * time.Second, For: 35 * time.Second, Target: seed})
	}
	logs := &lines{}
	world := play(t, example(seed, logs), faults)
	require.Empty(t, world.Truth.Violations())
	held, ends := make(map[string]bool), make(map[string]int)
	for decoder := json.NewDecoder(strings.NewReader(logs.String())); ; {
		var line quarantineLine
		if decoder.Decode(&line) != nil {
			break
		}
		switch line.Message {
		case "back_end_ended":
			ends[line.Digest]++
		case "request_quarantined":
			held[line.Digest] = true
		case "quarantine_cleared":
			delete(held, line.Digest)
		}
	}
	require.Len(t, held, len(crashingKinds))
	for digest := range held {
		require.Greater(t, ends[digest], crashLimit, "only what goes on to crash its samplers stays held")
	}
}
