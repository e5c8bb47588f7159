package idempotency

import (
	"maps"
	"slices"
	"time"

	"github.com/pathbend/pathbend/internal/shard"
)

// KeyLifetime is how long a key stays bound after its first use.
const KeyLifetime = 10 * time.Minute

// Binding names the request that holds a key.
type Binding struct {
	// Executor is the id of the node that runs the request.
	Executor string
	// RequestID is unique to one arrival of a request at a node.
	RequestID string
}

// Status is a replica's answer to a claim.
type Status int

// Statuses of a grant.
const (
	// Bound means that the replica holds the key for the binding in the grant,
	// which may be another request's.
	Bound Status = iota + 1
	// OtherGeneration means that the replica follows another roster.
	OtherGeneration
	// NotReady means that the replica still fetches the former entries.
	NotReady
)

// Grant is a replica's answer to a claim.
type Grant struct {
	Status  Status
	Binding Binding
}

// Claim asks to bind a key to a request.
type Claim struct {
	Shard      int
	Generation uint64
	Key        string
	Binding    Binding
	// Release withdraws a claim whose request did not and will not run.
	Release bool
}

// Entry is a binding on its way to another replica.
type Entry struct {
	Key     string
	Binding Binding
	Age     time.Duration
}

// SyncTask tells the driver to fetch a shard's entries from former members.
type SyncTask struct {
	Shard            int
	Generation       uint64
	FormerGeneration uint64
	Sources          []string
}

type keyState struct {
	binding Binding
	since   time.Time
}

type shardState struct {
	// generation is the group that the node follows, member and ready its part
	// in it.
	generation uint64
	member     bool
	ready      bool
	// lastReady is the latest generation whose ready members know no more than
	// this node.
	lastReady uint64
	// sealed is the generation below which nothing is granted, since a later
	// group has fetched the entries.
	sealed uint64
	// pending are the generations, oldest first, whose former entries this node
	// has yet to fetch. It goes through all of them, also when it is no longer
	// a member, as later members may fetch from it.
	pending []pendingSync
	keys    map[string]keyState
}

// pendingSync is a fetch of the entries of a former group.
type pendingSync struct {
	group  shard.Group
	synced map[string]struct{}
	since  time.Time
}

// Replica holds the shards of one node. It is not safe for concurrent use.
type Replica struct {
	selfID string
	shards [shard.Count]shardState
}

// NewReplica returns the replica state of a node that has just started.
func NewReplica(selfID string) *Replica { return &Replica{selfID: selfID} }

// Follow applies the groups of a new roster. It must be called for every
// roster in turn: a node that skips one cannot tell whether its entries are
// complete and fetches them again.
func (r *Replica) Follow(table *shard.Table, now time.Time) {
	for index := range r.shards {
		group := table.Group(index)
		if group.Generation > r.shards[index].generation {
			r.shards[index].follow(group, r.selfID, now)
		}
	}
}

func (s *shardState) follow(group shard.Group, selfID string, now time.Time) {
	s.generation = group.Generation
	s.member = slices.Contains(group.Members, selfID)
	s.ready = false
	if s.member {
		s.pending = append(s.pending, pendingSync{group: group, synced: make(map[string]struct{}), since: now})
		s.settle(selfID)
	}
}

// settle ends the pending fetches that need nothing more from others.
func (s *shardState) settle(selfID string) {
	for len(s.pending) > 0 {
		oldest := s.pending[0]
		if !s.satisfied(oldest, selfID) {
			return
		}
		s.pending = s.pending[1:]
		s.lastReady = oldest.group.Generation
		s.ready = s.member && oldest.group.Generation == s.generation
	}
}

// satisfied reports whether this node knows all that a ready member of the
// group has to know.
func (s *shardState) satisfied(pending pendingSync, selfID string) bool {
	group := pending.group
	if len(group.Former) == 0 {
		return true
	}
	complete := s.lastReady == group.FormerGeneration && slices.Contains(group.Former, selfID)
	// A complete former member needs no fetch if any majority of the new group
	// without a freshly synced member is a majority of the former group. A
	// group that shrinks from two to one does not satisfy this.
	if complete && shard.Quorum(group.Members) >= shard.Quorum(group.Former) {
		return true
	}
	if complete {
		pending.synced[selfID] = struct{}{}
	}
	return len(pending.synced) >= shard.Quorum(group.Former)
}

// Tasks returns the fetches that are due, and gives up those whose former
// majority has been out of reach for longer than any binding lasts.
func (r *Replica) Tasks(now time.Time) []SyncTask {
	var tasks []SyncTask
	for index := range r.shards {
		state := &r.shards[index]
		if len(state.pending) > 0 && now.Sub(state.pending[0].since) >= KeyLifetime {
			state.pending[0].group.Former = nil
			state.settle(r.selfID)
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

// Export returns a shard's entries to a member of a later generation, and
// stops grants in earlier ones. It reports false if this replica was not ready
// in the former generation that the caller follows.
func (r *Replica) Export(index int, generation, formerGeneration uint64, now time.Time) ([]Entry, bool) {
	if index < 0 || index >= shard.Count {
		return nil, false
	}
	state := &r.shards[index]
	if state.lastReady < formerGeneration {
		return nil, false
	}
	state.sealed = max(state.sealed, generation)
	entries := make([]Entry, 0, len(state.keys))
	for _, key := range slices.Sorted(maps.Keys(state.keys)) {
		held := state.keys[key]
		entries = append(entries, Entry{Key: key, Binding: held.binding, Age: now.Sub(held.since)})
	}
	return entries, true
}

// Synced applies the entries of one former member.
func (r *Replica) Synced(task SyncTask, source string, entries []Entry, now time.Time) {
	state := &r.shards[task.Shard]
	if len(state.pending) == 0 || state.pending[0].group.Generation != task.Generation {
		return // given up meanwhile
	}
	for _, entry := range entries {
		if _, ok := state.keys[entry.Key]; !ok {
			state.set(entry.Key, entry.Binding, now.Add(-entry.Age))
		}
	}
	state.pending[0].synced[source] = struct{}{}
	state.settle(r.selfID)
}

func (s *shardState) set(key string, binding Binding, since time.Time) {
	if s.keys == nil {
		s.keys = make(map[string]keyState)
	}
	s.keys[key] = keyState{binding: binding, since: since}
}

// Claim binds a key, or tells who holds it.
func (r *Replica) Claim(claim Claim, now time.Time) Grant {
	if claim.Shard < 0 || claim.Shard >= shard.Count {
		return Grant{Status: OtherGeneration}
	}
	state := &r.shards[claim.Shard]
	if claim.Release {
		// Only the executor that never ran the request releases its binding.
		if state.keys[claim.Key].binding == claim.Binding {
			delete(state.keys, claim.Key)
		}
		return Grant{Status: Bound}
	}
	if !state.member || state.generation != claim.Generation || claim.Generation < state.sealed {
		return Grant{Status: OtherGeneration}
	}
	if !state.ready {
		return Grant{Status: NotReady}
	}
	if held, ok := state.keys[claim.Key]; ok && now.Sub(held.since) < KeyLifetime {
		return Grant{Status: Bound, Binding: held.binding}
	}
	state.set(claim.Key, claim.Binding, now)
	return Grant{Status: Bound, Binding: claim.Binding}
}

// Expire forgets bindings older than KeyLifetime.
func (r *Replica) Expire(now time.Time) {
	for index := range r.shards {
		maps.DeleteFunc(r.shards[index].keys, func(_ string, held keyState) bool {
			return now.Sub(held.since) >= KeyLifetime
		})
	}
}

// Keys counts the bindings held.
func (r *Replica) Keys() int {
	count := 0
	for index := range r.shards {
		count += len(r.shards[index].keys)
	}
	return count
}

// ReadyShards counts the shards that this node is a ready member of, and all
// that it is a member of.
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
