package idempotency

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pathbend/pathbend/internal/shard"
)

var start = time.Unix(1000, 0)

// world is a set of replicas that learn rosters at different moments.
type world struct {
	table    *shard.Table
	epoch    uint64
	roster   []shard.Member
	tables   []*shard.Table // by epoch
	replicas map[string]*Replica
	// seen is the epoch that each node follows.
	seen map[string]int
	down map[string]bool
	next int
}

func newWorld(size int) *world {
	w := &world{table: shard.NewTable(), replicas: map[string]*Replica{}, seen: map[string]int{}, down: map[string]bool{}}
	for range size {
		w.join()
	}
	w.settle()
	return w
}

func (w *world) join() string {
	id := fmt.Sprintf("node-%d", w.next)
	member := shard.Member{ID: id, Zone: fmt.Sprintf("zone-%d", w.next%3)}
	w.roster = append(w.roster, member)
	w.next++
	w.replicas[id] = NewReplica(id)
	w.seen[id] = -1
	w.epoch++
	w.table.Join(member, w.epoch)
	w.tables = append(w.tables, w.table.Clone())
	return id
}

func (w *world) leave(id string) {
	for i, member := range w.roster {
		if member.ID == id {
			w.roster = append(append([]shard.Member{}, w.roster[:i]...), w.roster[i+1:]...)
			break
		}
	}
	w.epoch++
	w.table.Leave(id, w.epoch)
	w.tables = append(w.tables, w.table.Clone())
}

// follow lets one node see one more roster.
func (w *world) follow(id string) {
	if w.seen[id]+1 < len(w.tables) {
		w.seen[id]++
		w.replicas[id].Follow(w.tables[w.seen[id]], start)
	}
}

// sync lets one node do its due fetches.
func (w *world) sync(id string) {
	for _, task := range w.replicas[id].Tasks(start) {
		for _, source := range task.Sources {
			if w.down[source] || w.replicas[source] == nil {
				continue
			}
			entries, ok := w.replicas[source].Export(task.Shard, task.Generation, task.FormerGeneration, start)
			if ok {
				w.replicas[id].Synced(task, source, entries, start)
			}
		}
	}
}

func (w *world) settle() {
	for range len(w.tables) + 2 {
		for id := range w.replicas {
			if !w.down[id] {
				w.follow(id)
			}
		}
		for id := range w.replicas {
			if !w.down[id] {
				w.sync(id)
			}
		}
	}
}

// claim tries to win a key with the groups that an executor knows. reach says
// which members the executor can talk to.
func (w *world) claim(executor, key, requestID string, reach func(string) bool) Verdict {
	group := w.tables[max(w.seen[executor], 0)].Group(shard.Of(key))
	binding := Binding{Executor: executor, RequestID: requestID}
	round := NewRound(binding, len(group.Members), shard.Quorum(group.Members))
	for _, member := range group.Members {
		if w.down[member] || !reach(member) {
			round.AddFailure()
			continue
		}
		claim := Claim{Shard: shard.Of(key), Generation: group.Generation, Key: key, Binding: binding}
		round.Add(w.replicas[member].Claim(claim, start))
	}
	return round.Verdict()
}

func everywhere(string) bool { return true }

func TestSecondRequestWithTheKeyLosesAtEveryNode(t *testing.T) {
	w := newWorld(5)
	require.Equal(t, Won, w.claim("node-0", "k", "r1", everywhere))
	for i := range 5 {
		require.Equal(t, Taken, w.claim(fmt.Sprintf("node-%d", i), "k", "r2", everywhere))
	}
}

func TestKeysStayBoundThroughARollingReplacement(t *testing.T) {
	w := newWorld(3)
	for i := range 50 {
		require.Equal(t, Won, w.claim("node-0", fmt.Sprint("key-", i), "first", everywhere))
	}
	for _, old := range []string{"node-0", "node-1", "node-2"} {
		w.join()
		w.settle()
		w.leave(old)
		w.settle()
		w.down[old] = true
	}
	for i := range 50 {
		require.Equal(t, Taken, w.claim("node-4", fmt.Sprint("key-", i), "second", everywhere))
		require.Equal(t, Won, w.claim("node-4", fmt.Sprint("fresh-", i), "first", everywhere))
	}
}

func TestOneLostReplicaDoesNotStopTheShardAndTwoDo(t *testing.T) {
	w := newWorld(3)
	w.down["node-1"] = true
	require.Equal(t, Won, w.claim("node-0", "k1", "r", everywhere))
	w.down["node-2"] = true
	require.Equal(t, Unavailable, w.claim("node-0", "k2", "r", everywhere))
}

func TestLostMajorityIsWaitedOut(t *testing.T) {
	w := newWorld(3)
	w.down["node-1"], w.down["node-2"] = true, true
	w.leave("node-1")
	w.leave("node-2")
	w.join()
	w.join()
	w.settle()
	require.Equal(t, Unavailable, w.claim("node-3", "k", "r", everywhere))
	for _, id := range []string{"node-0", "node-3", "node-4"} {
		w.replicas[id].Tasks(start.Add(KeyLifetime))
	}
	require.Equal(t, Won, w.claim("node-3", "k", "r", everywhere))
}

func TestReleasedKeyCanBeClaimedAgain(t *testing.T) {
	replica := newWorld(1).replicas["node-0"]
	claim := Claim{Shard: 1, Generation: 1, Key: "k", Binding: Binding{"node-0", "r1"}}
	require.Equal(t, Grant{Bound, claim.Binding}, replica.Claim(claim, start))
	other := claim
	other.Binding.RequestID = "r2"
	require.Equal(t, Grant{Bound, claim.Binding}, replica.Claim(other, start))
	claim.Release = true
	replica.Claim(claim, start)
	require.Equal(t, Grant{Bound, other.Binding}, replica.Claim(other, start))
	require.Equal(t, 1, replica.Keys())
	replica.Expire(start.Add(KeyLifetime))
	require.Zero(t, replica.Keys())
}

// TestNoKeyIsWonTwice lets joins, leaves, crashes, late rosters, partial
// reachability and claims of a few keys happen in any order.
func TestNoKeyIsWonTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(4)
		winners := map[string]int{}
		anyNode := func() string {
			return fmt.Sprintf("node-%d", rapid.IntRange(0, w.next-1).Draw(t, "node"))
		}
		for step := range rapid.IntRange(5, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				if w.next < 9 {
					w.join()
				}
			case 1:
				if len(w.roster) > 2 {
					w.leave(w.roster[rapid.IntRange(0, len(w.roster)-1).Draw(t, "leaver")].ID)
				}
			case 2:
				w.down[anyNode()] = true
			case 3:
				w.down[anyNode()] = false
			case 4, 5:
				w.follow(anyNode())
			case 6:
				w.sync(anyNode())
			default:
				key := fmt.Sprint("key-", rapid.IntRange(0, 2).Draw(t, "key"))
				reachable := rapid.SliceOfN(rapid.Bool(), 9, 9).Draw(t, "reachable")
				index := 0
				reach := func(string) bool { index++; return reachable[(index-1)%9] }
				if w.claim(anyNode(), key, fmt.Sprint("request-", step), reach) == Won {
					winners[key]++
				}
			}
			for key, count := range winners {
				require.LessOrEqual(t, count, 1, "key %s was won %d times", key, count)
			}
		}
	})
}

// A group that shrinks to one member must not trust that member alone: the
// binding may stand at the two others. An earlier version of follow did.
func TestShrinkingGroupKeepsBindingsOfTheLeavers(t *testing.T) {
	w := newWorld(3)
	others := func(member string) bool { return member != "node-0" }
	require.Equal(t, Won, w.claim("node-1", "k", "r1", others))
	w.leave("node-1")
	w.leave("node-2")
	w.follow("node-0")
	w.follow("node-0")
	require.NotEqual(t, Won, w.claim("node-0", "k", "r2", everywhere))
	w.settle()
	require.Equal(t, Taken, w.claim("node-0", "k", "r2", everywhere))
	require.Equal(t, Won, w.claim("node-0", "fresh", "r3", everywhere))
}

// Nodes that join faster than they can fetch must still become ready: an
// earlier version waited for a former member that was itself not ready.
func TestNodesThatJoinTogetherBecomeReady(t *testing.T) {
	w := newWorld(0)
	for range 5 {
		w.join()
	}
	for id := range w.replicas {
		for range w.tables {
			w.follow(id)
		}
	}
	w.settle()
	for id, replica := range w.replicas {
		ready, member := replica.ReadyShards()
		require.Equal(t, member, ready, id)
		require.Positive(t, member)
	}
}
