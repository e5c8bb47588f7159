package simulation

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pathbend/pathbend/internal/emulator"
	"github.com/pathbend/pathbend/internal/fleet"
	"github.com/pathbend/pathbend/internal/lab"
	"github.com/pathbend/pathbend/internal/simnet"
)

// ScaleOptions size a measurement of control cost.
type ScaleOptions struct {
	Nodes int
	// Machines is the number of engines and back ends in the machine list; they
	// are listed and not run.
	Machines int
	// Quiet is the virtual time over which cost is measured.
	Quiet time.Duration
}

// ScaleReport is the control cost of one node, averaged over all.
type ScaleReport struct {
	Nodes int
	// BytesPerSecond counts bytes sent and received between nodes.
	BytesPerSecond float64
	// CoreShare is processor time over virtual time. It includes the simulated
	// network and so is an upper bound.
	CoreShare float64
	// HeapBytes is live heap.
	HeapBytes float64
	// ConfigSpread is the time from a publish until it is in force on all nodes.
	ConfigSpread time.Duration
	// DeathNoticed is the time from a crash until every node knows.
	DeathNoticed time.Duration
	// FalseDeaths counts live nodes taken for dead anywhere.
	FalseDeaths int
	// LogReadsPerSecond counts reads of the platform's log by all nodes.
	LogReadsPerSecond float64
}

// Latencies between zones named "region-zone".
const (
	sameRegionLatency  = time.Millisecond
	crossRegionLatency = 40 * time.Millisecond
)

func regionalLatency(from, to string) time.Duration {
	fromRegion, _, _ := strings.Cut(from, "-")
	toRegion, _, _ := strings.Cut(to, "-")
	switch {
	case from == to:
		return sameZoneLatency
	case fromRegion == toRegion:
		return sameRegionLatency
	default:
		return crossRegionLatency
	}
}

// scaleZones are seven zones in three regions.
func scaleZones() []string {
	return []string{"r1-a", "r1-b", "r1-c", "r2-a", "r2-b", "r3-a", "r3-b"}
}

// MeasureScale runs a cluster of real nodes without traffic and measures what
// control costs. It must be called in a synctest bubble.
func MeasureScale(options ScaleOptions) (ScaleReport, error) {
	report := ScaleReport{Nodes: options.Nodes}
	network := simnet.New(1, regionalLatency)
	described, err := lab.ExampleOptions(network, 1)
	if err != nil {
		return report, err
	}
	zones := scaleZones()
	described.Zones = zones
	described.NodesPerZone = (options.Nodes + len(zones) - 1) / len(zones)
	described.Pools = nil
	described.ListLag = 0
	report.Nodes = described.NodesPerZone * len(zones)
	cluster, err := lab.Start(described)
	if err != nil {
		return report, err
	}
	defer time.Sleep(closeTime)
	defer cluster.Close()
	listMachines(cluster.Platform, options.Machines, zones)
	if err := settleScale(cluster); err != nil {
		return report, err
	}
	w := &world{network: network, cluster: cluster}
	w.measureQuiet(&report, options.Quiet)
	if report.ConfigSpread, err = w.measureSpread(); err != nil {
		return report, err
	}
	report.DeathNoticed, err = w.measureDeath()
	report.FalseDeaths += w.deadSeen(w.cluster.Nodes[0].Name)
	return report, err
}

// listMachines fills the machine list with machines of a design-size fleet.
func listMachines(platform *emulator.Platform, count int, zones []string) {
	for i := range count {
		platform.SetMachine(fleet.Machine{
			ID: fmt.Sprintf("machine-%04d", i), Role: fleet.RoleBackEnd, Pool: fmt.Sprintf("pool-%d", i%8),
			Address: fmt.Sprintf("machine-%04d:7001", i), Zone: zones[i%len(zones)],
		})
	}
}

const (
	// settleScaleLimit bounds the time for all nodes to know each other.
	settleScaleLimit = 3 * time.Minute
	// settleExtra lets the gossip of the start die down: when 420 nodes start at
	// once, every node passes on 420 statements 27 times, 12 at a time.
	settleExtra = 150 * time.Second
	measureStep = 10 * time.Millisecond
	measureMax  = time.Minute
)

func settleScale(cluster *lab.Cluster) error {
	ctx, cancel := context.WithTimeout(context.Background(), settleScaleLimit)
	defer cancel()
	if err := cluster.WaitReady(ctx); err != nil {
		return err
	}
	time.Sleep(settleExtra)
	return nil
}

func (w *world) traffic() int64 {
	var bytes int64
	for _, slot := range w.cluster.Nodes {
		if running := slot.Node(); running != nil {
			sent, received := running.PeerTraffic()
			bytes += sent + received
		}
	}
	return bytes
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func (w *world) measureQuiet(report *ScaleReport, quiet time.Duration) {
	nodes := float64(len(w.cluster.Nodes))
	bytes, cpu := w.traffic(), processorTime()
	_, reads := w.cluster.Platform.Traffic()
	time.Sleep(quiet)
	_, readsAfter := w.cluster.Platform.Traffic()
	// Every byte is counted where its connection was opened, and belongs to
	// the node at either end.
	const ends = 2
	report.BytesPerSecond = ends * float64(w.traffic()-bytes) / nodes / quiet.Seconds()
	report.CoreShare = (processorTime() - cpu).Seconds() / nodes / quiet.Seconds()
	report.LogReadsPerSecond = float64(readsAfter-reads) / quiet.Seconds()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	report.HeapBytes = float64(memory.HeapAlloc) / nodes
	report.FalseDeaths = w.deadSeen("")
}

// measureSpread publishes a revision and waits until all nodes have it.
func (w *world) measureSpread() (time.Duration, error) {
	_, revision := w.cluster.Nodes[0].Node().Current()
	began := time.Now()
	if err := w.cluster.Publish(context.Background(), w.cluster.Options.Document, revision, "scale"); err != nil {
		return 0, err
	}
	return w.awaitAll(began, func(slot *lab.NodeSlot) bool {
		_, current := slot.Node().Current()
		return current > revision
	})
}

// measureDeath crashes the first node and waits until all others know.
func (w *world) measureDeath() (time.Duration, error) {
	victim := w.cluster.Nodes[0]
	id := victim.Node().ID()
	began := time.Now()
	w.crashNode(victim)
	return w.awaitAll(began, func(slot *lab.NodeSlot) bool {
		return slot == victim || slot.Node().Sees(id) == "dead"
	})
}

func (w *world) awaitAll(began time.Time, reached func(*lab.NodeSlot) bool) (time.Duration, error) {
	for time.Since(began) < measureMax {
		all := true
		for _, slot := range w.cluster.Nodes {
			if !reached(slot) {
				all = false
				break
			}
		}
		if all {
			return time.Since(began), nil
		}
		time.Sleep(measureStep)
	}
	return 0, errors.New("some node never learned of it")
}

// deadSeen counts statements that a node other than the named one is dead.
func (w *world) deadSeen(except string) int {
	count := 0
	for _, slot := range w.cluster.Nodes {
		if running := slot.Node(); running != nil {
			count += running.CountDead(except)
		}
	}
	return count
}
