package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// cluster connects the machines of several nodes, some of which may be down or paused, and
// advances them one tick at a time.
type cluster struct {
	now       time.Time
	machines  map[string]*StateMachine
	order     []string
	byAddress map[string]string
	down      map[string]bool
	paused    map[string]bool
	sent      int
}

func newCluster(size int, seed uint64) *cluster {
	c := &cluster{
		now: start, machines: map[string]*StateMachine{}, byAddress: map[string]string{},
		down: map[string]bool{}, paused: map[string]bool{},
	}
	var seeds []string
	for i := range size {
		id := fmt.Sprintf("node-%03d", i)
		address := "10.0.0." + id
		c.order = append(c.order, id)
		c.byAddress[address] = id
		seeds = append(seeds, address)
		self := Member{ID: id, Address: address, Zone: fmt.Sprintf("zone-%d", i%3)}
		c.machines[id] = New(DefaultSettings(), self, rand.New(rand.NewPCG(seed, uint64(i))), c.now)
	}
	for _, machine := range c.machines {
		machine.SetSeeds(seeds)
	}
	return c
}

func (c *cluster) step() {
	c.now = c.now.Add(DefaultSettings().Interval)
	for _, id := range c.order {
		if c.down[id] || c.paused[id] {
			continue
		}
		for _, message := range c.machines[id].Tick(c.now) {
			c.sent++
			target := c.byAddress[message.ToAddress]
			if c.down[target] || c.paused[target] {
				c.machines[id].HandleMiss(c.now, message.ToID)
				continue
			}
			c.machines[id].HandleAck(c.now, c.machines[target].HandleHeartbeat(c.now, message.Heartbeat))
		}
	}
}

func (c *cluster) run(period time.Duration) {
	for end := c.now.Add(period); c.now.Before(end); {
		c.step()
	}
}

func (c *cluster) countStatuses(id string) map[Status]int {
	counts := map[Status]int{}
	for _, observer := range c.order {
		if observer == id || c.down[observer] {
			continue
		}
		member, ok := c.machines[observer].Get(id)
		if ok {
			counts[member.Status]++
		} else {
			counts[0]++
		}
	}
	return counts
}

func TestEveryNodeDiscoversAllOthers(t *testing.T) {
	for _, size := range []int{2, 3, 30, 120} {
		c := newCluster(size, 1)
		c.run(20 * time.Second)
		for _, id := range c.order {
			require.Equal(t, map[Status]int{Alive: size - 1}, c.countStatuses(id), "size %d, %s", size, id)
		}
	}
}

func TestDeadNodeIsDetectedWithinThreeSeconds(t *testing.T) {
	c := newCluster(60, 2)
	c.run(20 * time.Second)
	c.down["node-007"] = true
	c.run(3 * time.Second)
	require.Equal(t, map[Status]int{Dead: 59}, c.countStatuses("node-007"))
}

func TestPausedNodeRefutesAndSuspectsNobody(t *testing.T) {
	c := newCluster(30, 3)
	c.run(20 * time.Second)
	c.paused["node-003"] = true
	c.run(5 * time.Second)
	require.Equal(t, map[Status]int{Dead: 29}, c.countStatuses("node-003"))
	c.paused["node-003"] = false
	c.run(10 * time.Second)
	require.Equal(t, map[Status]int{Alive: 29}, c.countStatuses("node-003"))
	for _, id := range c.order {
		require.Equal(t, map[Status]int{Alive: 29}, c.countStatuses(id))
	}
}

func TestLeavingReachesAllNodesWithinThreeSeconds(t *testing.T) {
	c := newCluster(60, 4)
	c.run(20 * time.Second)
	c.machines["node-010"].Leave(c.now)
	c.run(3 * time.Second)
	require.Equal(t, map[Status]int{Leaving: 59}, c.countStatuses("node-010"))
	member, _ := c.machines["node-000"].Get("node-010")
	require.False(t, member.Usable())
}

func TestHeartbeatsPerNodeAreIndependentOfClusterSize(t *testing.T) {
	heartbeatsPerNode := func(size int) float64 {
		c := newCluster(size, 5)
		c.run(30 * time.Second)
		c.sent = 0
		c.run(30 * time.Second)
		return float64(c.sent) / float64(size)
	}
	require.InDelta(t, heartbeatsPerNode(30), heartbeatsPerNode(120), 1)
}

func TestUpdatesAreNeverReplacedByOlderOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		node := New(DefaultSettings(), Member{ID: "self", Address: "self"}, rand.New(rand.NewPCG(1, 1)), start)
		var previous Member
		for range rapid.IntRange(1, 30).Draw(t, "updates") {
			update := Member{
				ID: "other", Address: "other",
				Status:  Status(rapid.IntRange(int(Alive), int(Dead)).Draw(t, "status")),
				Version: rapid.Uint64Range(1, 4).Draw(t, "version"),
			}
			node.HandleHeartbeat(start, Heartbeat{From: "other", Updates: []Member{update}})
			current, ok := node.Get("other")
			if !ok {
				continue
			}
			require.False(t, supersedes(previous, current))
			previous = current
		}
	})
}
