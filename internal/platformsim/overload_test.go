package platformsim

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/fanout"
)

// The traffic of an overload simulation: an undisturbed period, a fault, a time to recover, and a
// period in which the load must be normal again. Both periods hold three steps of each model.
const (
	loadPeriod       = 3 * stepInterval
	overloadFaultAt  = 14 * time.Second
	overloadRecovery = 10 * time.Second
)

// overloadOptions describes a world in which each node's share of the store is that of the users'
// largest deployment: 985 nodes, 16,000 reads and 80 MB a second. One node in eight reads for the
// others.
func overloadOptions(seed uint64) Options {
	const nodes, largestNodes, largestReads, largestReadBytes = 48, 985, 16_000, 80_000_000
	options := exampleOptions(seed, nil)
	options.NodesPerZone = nodes / len(zones)
	options.Samplers = 3 * nodes
	options.Models = nil
	for number := range 8 {
		options.Models = append(options.Models, fmt.Sprint("m", number+1))
	}
	options.Sharing = fanout.Sizes{MaxDirectNodes: 8, NodesPerReader: 8}
	options.StoreLimits = StoreLimits{
		ReadsPerSecond: largestReads * nodes / largestNodes, ReadBytesPerSecond: largestReadBytes * nodes / largestNodes, SerialAppends: true,
	}
	return options
}

// readLoad returns the total load of reads in a period, per second.
func readLoad(store *Store, from time.Time, period time.Duration) (reads, readBytes float64) {
	for call, load := range store.LoadBetween(from, from.Add(period)) {
		if call.Operation == "read" || call.Operation == "read_newest" {
			reads += float64(load.Calls) / period.Seconds()
			readBytes += float64(load.ReadBytes) / period.Seconds()
		}
	}
	return reads, readBytes
}

// checkLoadFallsAfter runs traffic with a fault and checks that the load of the store is normal
// again overloadRecovery after it, that steps are whole again, and that no rule is violated.
func checkLoadFallsAfter(t *testing.T, fault Fault) {
	t.Helper()
	fault.At = overloadFaultAt
	recoveredAt := fault.At + fault.For + overloadRecovery
	var startedAt time.Time
	var wholeSteps int
	options := overloadOptions(340)
	world := runSimulationFor(t, options, []Fault{fault}, recoveredAt+loadPeriod+time.Second, func(world *World) {
		startedAt = time.Now()
		time.Sleep(recoveredAt)
		wholeSteps = -world.Checker.Counts()["steps whole"]
		time.Sleep(loadPeriod)
		wholeSteps += world.Checker.Counts()["steps whole"]
	})

	normalReads, normalBytes := readLoad(world.Store, startedAt.Add(overloadFaultAt-loadPeriod), loadPeriod)
	t.Logf("normal: %.0f reads, %.0f bytes a second; limits %+v", normalReads, normalBytes, options.StoreLimits)
	require.Less(t, normalReads, 0.43*float64(options.StoreLimits.ReadsPerSecond))
	require.Less(t, normalBytes, 0.3*float64(options.StoreLimits.ReadBytesPerSecond))

	reads, readBytes := readLoad(world.Store, startedAt.Add(recoveredAt), loadPeriod)
	t.Logf("after the fault: %.0f reads, %.0f bytes a second, %d whole steps", reads, readBytes, wholeSteps)
	assert.Less(t, reads, 2*normalReads)
	assert.Less(t, readBytes, 2*normalBytes)
	assert.GreaterOrEqual(t, wholeSteps, 2*len(options.Models))
	assert.Empty(t, world.Checker.Violations())
}

func TestStoreLoadFallsAfterOverload(t *testing.T) {
	t.Parallel()
	checkLoadFallsAfter(t, Fault{Kind: StoreStalls, For: 3 * time.Second})
}

func TestStoreLoadFallsAfterNodesAreCutFromTheStore(t *testing.T) {
	t.Parallel()
	checkLoadFallsAfter(t, Fault{Kind: NodesCutFromStore, For: 9 * time.Second, Target: 1})
}
