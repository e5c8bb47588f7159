package idempotency

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pathbend/pathbend/internal/shard"
)

var baseTime = time.Unix(1000, 0)

// cluster is a set of replicas that apply rosters at different times.
type cluster struct {
	table *shard.Table
	// epoch is the number of changes of the roster.
	epoch  uint64
	roster []shard.Member
	// tables are the groups after each change of the roster.
	tables   []*shard.Table
	replicas map[string]*Replica
	// applied is the index in tables that each node applied last; -1 for none.
	applied map[string]int
	down    map[string]bool
	// nextNode is the number of the next node to join.
	nextNode int
}

func newCluster(size int) *cluster {
	c := &cluster{table: shard.NewTable(), replicas: map[string]*Replica{}, applied: map[string]int{}, down: map[string]bool{}}
	for range size {
		c.join()
	}
	c.converge()
	return c
}

func (c *cluster) join() string {
	id := fmt.Sprintf("node-%d", c.nextNode)
	member := shard.Member{ID: id, Zone: fmt.Sprintf("zone-%d", c.nextNode%3)}
	c.roster = append(c.roster, member)
	c.nextNode++
	c.replicas[id] = NewReplica(id)
	c.applied[id] = -1
	c.epoch++
	c.table.Join(member, c.epoch)
	c.tables = append(c.tables, c.table.Clone())
	return id
}

func (c *cluster) leave(id string) {
	for i, member := range c.roster {
		if member.ID == id {
			c.roster = append(append([]shard.Member{}, c.roster[:i]...), c.roster[i+1:]...)
			break
		}
	}
	c.epoch++
	c.table.Leave(id, c.epoch)
	c.tables = append(c.tables, c.table.Clone())
}

// applyNextRoster applies the next roster at one node, if there is one.
func (c *cluster) applyNextRoster(id string) {
	if c.applied[id]+1 < len(c.tables) {
		c.applied[id]++
		c.replicas[id].ApplyRoster(c.tables[c.applied[id]], baseTime)
	}
}

// runSyncs runs the due fetches of one node once.
func (c *cluster) runSyncs(id string) {
	for _, task := range c.replicas[id].DueSyncs(baseTime) {
		for _, source := range task.Sources {
			if c.down[source] || c.replicas[source] == nil {
				continue
			}
			entries, ok := c.replicas[source].Export(task.Shard, task.Generation, task.FormerGeneration, baseTime)
			if ok {
				c.replicas[id].ApplyEntries(task, source, entries, baseTime)
			}
		}
	}
}

// converge applies all rosters and runs all fetches at the nodes that are up.
func (c *cluster) converge() {
	for range len(c.tables) + 2 {
		for id := range c.replicas {
			if !c.down[id] {
				c.applyNextRoster(id)
			}
		}
		for id := range c.replicas {
			if !c.down[id] {
				c.runSyncs(id)
			}
		}
	}
}

// claim runs a round of claims with the groups that an executor has applied. reach
// reports whether the executor can reach a member.
func (c *cluster) claim(executor, key, requestID string, reach func(string) bool) Verdict {
	group := c.tables[max(c.applied[executor], 0)].Group(shard.Of(key))
	binding := Binding{Executor: executor, RequestID: requestID}
	round := NewRound(binding, len(group.Members), shard.Quorum(group.Members))
	for _, member := range group.Members {
		if c.down[member] || !reach(member) {
			round.AddFailure()
			continue
		}
		claim := Claim{Shard: shard.Of(key), Generation: group.Generation, Key: key, Binding: binding}
		round.Add(c.replicas[member].Claim(claim, baseTime))
	}
	return round.Verdict()
}

func reachAll(string) bool { return true }

func TestSecondRequestWithTheKeyLosesAtEveryNode(t *testing.T) {
	c := newCluster(5)
	require.Equal(t, Won, c.claim("node-0", "k", "r1", reachAll))
	for i := range 5 {
		require.Equal(t, Taken, c.claim(fmt.Sprintf("node-%d", i), "k", "r2", reachAll))
	}
}

func TestKeysStayBoundThroughARollingReplacement(t *testing.T) {
	c := newCluster(3)
	for i := range 50 {
		require.Equal(t, Won, c.claim("node-0", fmt.Sprint("key-", i), "first", reachAll))
	}
	for _, old := range []string{"node-0", "node-1", "node-2"} {
		c.join()
		c.converge()
		c.leave(old)
		c.converge()
		c.down[old] = true
	}
	for i := range 50 {
		require.Equal(t, Taken, c.claim("node-4", fmt.Sprint("key-", i), "second", reachAll))
		require.Equal(t, Won, c.claim("node-4", fmt.Sprint("fresh-", i), "first", reachAll))
	}
}

func TestShardStaysAvailableWithOneLostReplicaButNotTwo(t *testing.T) {
	c := newCluster(3)
	c.down["node-1"] = true
	require.Equal(t, Won, c.claim("node-0", "k1", "r", reachAll))
	c.down["node-2"] = true
	require.Equal(t, Unavailable, c.claim("node-0", "k2", "r", reachAll))
}

func TestLostMajorityBlocksClaimsForKeyLifetime(t *testing.T) {
	c := newCluster(3)
	c.down["node-1"], c.down["node-2"] = true, true
	c.leave("node-1")
	c.leave("node-2")
	c.join()
	c.join()
	c.converge()
	require.Equal(t, Unavailable, c.claim("node-3", "k", "r", reachAll))
	for _, id := range []string{"node-0", "node-3", "node-4"} {
		c.replicas[id].DueSyncs(baseTime.Add(KeyLifetime))
	}
	require.Equal(t, Won, c.claim("node-3", "k", "r", reachAll))
}

func TestReleasedKeyCanBeClaimedAgain(t *testing.T) {
	replica := newCluster(1).replicas["node-0"]
	claim := Claim{Shard: 1, Generation: 1, Key: "k", Binding: Binding{"node-0", "r1"}}
	require.Equal(t, Grant{Bound, claim.Binding}, replica.Claim(claim, baseTime))
	other := claim
	other.Binding.RequestID = "r2"
	require.Equal(t, Grant{Bound, claim.Binding}, replica.Claim(other, baseTime))
	claim.Release = true
	replica.Claim(claim, baseTime)
	require.Equal(t, Grant{Bound, other.Binding}, replica.Claim(other, baseTime))
	require.Equal(t, 1, replica.Keys())
	replica.Expire(baseTime.Add(KeyLifetime))
	require.Zero(t, replica.Keys())
}

// TestNoKeyIsWonTwice runs joins, leaves, crashes, delayed rosters, partial
// reachability and claims of a few keys in random order.
func TestNoKeyIsWonTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(4)
		winners := map[string]int{}
		anyNode := func() string {
			return fmt.Sprintf("node-%d", rapid.IntRange(0, c.nextNode-1).Draw(t, "node"))
		}
		for step := range rapid.IntRange(5, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				if c.nextNode < 9 {
					c.join()
				}
			case 1:
				if len(c.roster) > 2 {
					c.leave(c.roster[rapid.IntRange(0, len(c.roster)-1).Draw(t, "leaver")].ID)
				}
			case 2:
				c.down[anyNode()] = true
			case 3:
				c.down[anyNode()] = false
			case 4, 5:
				c.applyNextRoster(anyNode())
			case 6:
				c.runSyncs(anyNode())
			default:
				key := fmt.Sprint("key-", rapid.IntRange(0, 2).Draw(t, "key"))
				reachable := rapid.SliceOfN(rapid.Bool(), 9, 9).Draw(t, "reachable")
				index := 0
				reach := func(string) bool { index++; return reachable[(index-1)%9] }
				if c.claim(anyNode(), key, fmt.Sprint("request-", step), reach) == Won {
					winners[key]++
				}
			}
			for key, count := range winners {
				require.LessOrEqual(t, count, 1, "key %s was won %d times", key, count)
			}
		}
	})
}

// Guards against a group that shrinks to one member becoming ready with the entries of
// that member alone: a binding may exist at the two members that left only.
func TestShrinkingGroupKeepsBindingsOfLeavingMembers(t *testing.T) {
	c := newCluster(3)
	reachOthers := func(member string) bool { return member != "node-0" }
	require.Equal(t, Won, c.claim("node-1", "k", "r1", reachOthers))
	c.leave("node-1")
	c.leave("node-2")
	c.applyNextRoster("node-0")
	c.applyNextRoster("node-0")
	require.NotEqual(t, Won, c.claim("node-0", "k", "r2", reachAll))
	c.converge()
	require.Equal(t, Taken, c.claim("node-0", "k", "r2", reachAll))
	require.Equal(t, Won, c.claim("node-0", "fresh", "r3", reachAll))
}

// Guards against a node waiting forever for a former member that is not ready itself,
// when nodes join faster than they can fetch entries.
func TestNodesThatJoinTogetherBecomeReady(t *testing.T) {
	c := newCluster(0)
	for range 5 {
		c.join()
	}
	for id := range c.replicas {
		for range c.tables {
			c.applyNextRoster(id)
		}
	}
	c.converge()
	for id, replica := range c.replicas {
		ready, member := replica.ReadyShards()
		require.Equal(t, member, ready, id)
		require.Positive(t, member)
	}
}
