package idempotency

import (
	"maps"
	"slices"
	"time"

	"github.com/pathbend/pathbend/internal/shard"
)

// KeyLifetime is the time for which a key stays bound after its first claim.
const KeyLifetime = 10 * time.Minute

// Binding identifies the request that holds a key.
type Binding struct {
	// Executor is the id of the node that runs the request.
	Executor string
	// RequestID is unique to one round of claims of a request.
	RequestID string
}

// Status is the kind of a replica's answer to a claim.
type Status int

// Statuses of a grant.
const (
	// Bound means that the replica holds the key for the binding in the grant,
	// which may be another request's.
	Bound Status = iota + 1
	// OtherGeneration means that the replica does not grant claims of this
	// generation: it applied another roster, is no member of the group, or a member
	// of a later group has fetched its entries.
	OtherGeneration
	// NotReady means that the replica has not yet fetched the entries of the former
	// group.
	NotReady
)

// Grant is a replica's answer to a claim.
type Grant struct {
	Status  Status
	Binding Binding
}

// Claim is a call to bind a key to a request, or to withdraw that.
type Claim struct {
	Shard      int
	Generation uint64
	Key        string
	Binding    Binding
	// Release withdraws a claim whose request did not and will not run.
	Release bool
}

// Entry is a binding that is transferred to another replica.
type Entry struct {
	Key     string
	Binding Binding
	// Age is the time since the key was bound.
	Age time.Duration
}

// SyncTask is a due fetch of a shard's entries from the members of a former group.
type SyncTask struct {
	Shard            int
	Generation       uint64
	FormerGeneration uint64
	// Sources are the members of the former group that have not answered yet.
	Sources []string
}

// keyState is the binding of one key.
type keyState struct {
	binding Binding
	boundAt time.Time
}

// shardState is the state of one shard at one node.
type shardState struct {
	// generation is the generation of the last group that was applied.
	generation uint64
	// member is set if this node is a member of that group.
	member bool
	// ready is set if this node is a member and holds all entries that the group
	// needs.
	ready bool
	// lastReady is the latest generation of which this node holds all entries that
	// a ready member holds.
	lastReady uint64
	// minGrantGeneration is the lowest generation whose claims are granted. A member
	// of that generation has fetched the entries, and would miss a binding that is
	// granted in an earlier one afterwards.
	minGrantGeneration uint64
	// pending are the groups, oldest first, whose former entries this node has not
	// fetched completely. The node completes all of them, even if it is no longer a
	// member, because later members may fetch from it.
	pending []pendingSync
	keys    map[string]keyState
}

// pendingSync is an incomplete fetch of the entries of a group's former group.
type pendingSync struct {
	group shard.Group
	// synced are the former members whose entries were applied.
	synced    map[string]struct{}
	startedAt time.Time
}

// Replica is one node's replica of all shards. It is not safe for concurrent use.
type Replica struct {
	selfID string
	shards [shard.Count]shardState
}

// NewReplica returns the empty replica of a node that has just started.
func NewReplica(selfID string) *Replica { return &Replica{selfID: selfID} }

// ApplyRoster applies the groups of a new roster. It must be called for every roster in
// order: a node that skips a roster cannot tell whether its entries are complete and
// fetches them again.
func (r *Replica) ApplyRoster(table *shard.Table, now time.Time) {
	for index := range r.shards {
		group := table.Group(index)
		if group.Generation > r.shards[index].generation {
			r.shards[index].applyGroup(group, r.selfID, now)
		}
	}
}

// applyGroup applies a new group and queues the fetch of its former group's entries if the
// node is a member.
func (s *shardState) applyGroup(group shard.Group, selfID string, now time.Time) {
	s.generation = group.Generation
	s.member = slices.Contains(group.Members, selfID)
	s.ready = false
	if s.member {
		s.pending = append(s.pending, pendingSync{group: group, synced: make(map[string]struct{}), startedAt: now})
		s.completePending(selfID)
	}
}

// completePending removes the pending fetches, oldest first, that are complete, and updates
// ready and lastReady.
func (s *shardState) completePending(selfID string) {
	for len(s.pending) > 0 {
		oldest := s.pending[0]
		if !s.isComplete(oldest, selfID) {
			return
		}
		s.pending = s.pending[1:]
		s.lastReady = oldest.group.Generation
		s.ready = s.member && oldest.group.Generation == s.generation
	}
}

// isComplete reports whether this node holds all entries that a ready member of the
// pending group must hold.
func (s *shardState) isComplete(pending pendingSync, selfID string) bool {
	group := pending.group
	if len(group.Former) == 0 {
		return true
	}
	complete := s.lastReady == group.FormerGeneration && slices.Contains(group.Former, selfID)
	// A former member with complete entries needs no fetch if any majority of the
	// new group that consists of such members only is a majority of the former group. A
	// group that shrinks from two members to one does not satisfy this.
	if complete && shard.Quorum(group.Members) >= shard.Quorum(group.Former) {
		return true
	}
	if complete {
		pending.synced[selfID] = struct{}{}
	}
	return len(pending.synced) >= shard.Quorum(group.Former)
}

// DueSyncs returns the fetches that are due. It abandons fetches that have been pending
// for KeyLifetime because a majority of the former group could not be reached. No
// binding lasts longer than that.
func (r *Replica) DueSyncs(now time.Time) []SyncTask {
	var tasks []SyncTask
	for index := range r.shards {
		state := &r.shards[index]
		if len(state.pending) > 0 && now.Sub(state.pending[0].startedAt) >= KeyLifetime {
			state.pending[0].group.Former = nil
			state.completePending(r.selfID)
		}
		if len(state.pending) == 0 {
			continue
		}
		oldest := state.pending[0]
		task := SyncTask{Shard: index, Generation: oldest.group.Generation, FormerGeneration: oldest.group.FormerGeneration}
		for _, source := range oldest.group.Former {
			if _, done := oldest.synced[source]; !done && source != r.selfID {
				task.Sources = append(task.Sources, source)
			}
		}
		tasks = append(tasks, task)
	}
	return tasks
}

// Export returns a shard's entries, ordered by key, for a member of the given
// generation. From then on the replica grants no claims of earlier generations. It
// returns false if the index is out of range or this replica's entries are not complete
// for the former generation.
func (r *Replica) Export(index int, generation, formerGeneration uint64, now time.Time) ([]Entry, bool) {
	if index < 0 || index >= shard.Count {
		return nil, false
	}
	state := &r.shards[index]
	if state.lastReady < formerGeneration {
		return nil, false
	}
	state.minGrantGeneration = max(state.minGrantGeneration, generation)
	entries := make([]Entry, 0, len(state.keys))
	for _, key := range slices.Sorted(maps.Keys(state.keys)) {
		held := state.keys[key]
		entries = append(entries, Entry{Key: key, Binding: held.binding, Age: now.Sub(held.boundAt)})
	}
	return entries, true
}

// ApplyEntries applies the entries that were fetched from one former member. Entries of an
// abandoned or completed fetch are ignored.
func (r *Replica) ApplyEntries(task SyncTask, source string, entries []Entry, now time.Time) {
	state := &r.shards[task.Shard]
	if len(state.pending) == 0 || state.pending[0].group.Generation != task.Generation {
		return
	}
	for _, entry := range entries {
		if _, ok := state.keys[entry.Key]; !ok {
			state.bind(entry.Key, entry.Binding, now.Add(-entry.Age))
		}
	}
	state.pending[0].synced[source] = struct{}{}
	state.completePending(r.selfID)
}

func (s *shardState) bind(key string, binding Binding, boundAt time.Time) {
	if s.keys == nil {
		s.keys = make(map[string]keyState)
	}
	s.keys[key] = keyState{binding: binding, boundAt: boundAt}
}

// Claim binds a key to the claim's request, or returns the binding that holds it. A
// claim with Release set withdraws the binding instead.
func (r *Replica) Claim(claim Claim, now time.Time) Grant {
	if claim.Shard < 0 || claim.Shard >= shard.Count {
		return Grant{Status: OtherGeneration}
	}
	state := &r.shards[claim.Shard]
	if claim.Release {
		// Only the executor releases a binding, and only if the request never ran.
		if state.keys[claim.Key].binding == claim.Binding {
			delete(state.keys, claim.Key)
		}
		return Grant{Status: Bound}
	}
	if !state.member || state.generation != claim.Generation || claim.Generation < state.minGrantGeneration {
		return Grant{Status: OtherGeneration}
	}
	if !state.ready {
		return Grant{Status: NotReady}
	}
	if held, ok := state.keys[claim.Key]; ok && now.Sub(held.boundAt) < KeyLifetime {
		return Grant{Status: Bound, Binding: held.binding}
	}
	state.bind(claim.Key, claim.Binding, now)
	return Grant{Status: Bound, Binding: claim.Binding}
}

// Expire removes bindings that are KeyLifetime old or older.
func (r *Replica) Expire(now time.Time) {
	for index := range r.shards {
		maps.DeleteFunc(r.shards[index].keys, func(_ string, held keyState) bool {
			return now.Sub(held.boundAt) >= KeyLifetime
		})
	}
}

// Keys returns the number of bindings that the replica holds.
func (r *Replica) Keys() int {
	count := 0
	for index := range r.shards {
		count += len(r.shards[index].keys)
	}
	return count
}

// ReadyShards returns the number of shards in which this node is a ready member, and
// the number of shards in which it is a member.
func (r *Replica) ReadyShards() (ready, member int) {
	for index := range r.shards {
		if r.shards[index].member {
			member++
		}
		if r.shards[index].ready {
			ready++
		}
	}
	return ready, member
}
