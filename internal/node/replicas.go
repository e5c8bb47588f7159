package node

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/controlstate"
	"github.com/pathbend/pathbend/internal/idempotency"
	"github.com/pathbend/pathbend/internal/keyed"
	"github.com/pathbend/pathbend/internal/membership"
	"github.com/pathbend/pathbend/internal/peer"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/shard"
)

const (
	// minSyncInterval is the interval between checks for due fetches of shards. It
	// doubles up to maxSyncInterval while any fetch stays due.
	minSyncInterval = 100 * time.Millisecond
	maxSyncInterval = 2 * time.Second
	// syncTimeout bounds one fetch of shards from one node.
	syncTimeout = time.Second
	// expireInterval is the interval between removals of expired bindings.
	expireInterval = 10 * time.Second
	// fetchMargin is the part of a request's remaining time that is left for the
	// answer when an executor waits for an outcome.
	fetchMargin = 500 * time.Millisecond
)

// replicas serves and updates this node's replica of the idempotency keys, and calls the
// replicas of other nodes. It implements keyed.Replicas.
type replicas struct {
	node *Node

	mutex   sync.Mutex
	replica *idempotency.Replica
	// exported is the latest generation for which another node fetched a shard, by
	// shard.
	exported map[int]uint64
	// lastExpiry is the time at which expired bindings were last removed.
	lastExpiry time.Time
	// groupsChanged wakes the loop after a change of the groups.
	groupsChanged chan struct{}
}

func newReplicas(n *Node) *replicas {
	return &replicas{node: n, replica: idempotency.NewReplica(n.id), exported: make(map[int]uint64), groupsChanged: make(chan struct{}, 1)}
}

// applyRoster applies the replica groups of a new roster.
func (r *replicas) applyRoster(table *shard.Table) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.replica.ApplyRoster(table, time.Now())
	select {
	case r.groupsChanged <- struct{}{}:
	default:
	}
}

// Group implements keyed.Replicas.
func (r *replicas) Group(index int) shard.Group {
	var group shard.Group
	r.node.follower.View(func(stateMachine *controlstate.Machine) { group = stateMachine.Shards().Group(index) })
	return group
}

// Claim implements keyed.Replicas.
func (r *replicas) Claim(ctx context.Context, member string, claim idempotency.Claim) (idempotency.Grant, error) {
	if member == r.node.id {
		return r.claimLocal(claim), nil
	}
	address, err := r.node.addressOf(member)
	if err != nil {
		return idempotency.Grant{}, err
	}
	reply, err := r.node.peers.Call(ctx, address, &pathbendv1.Envelope{Body: &pathbendv1.Envelope_ClaimKey{
		ClaimKey: &pathbendv1.ClaimKey{
			Shard: uint32(claim.Shard), Generation: claim.Generation, Key: claim.Key,
			Executor: claim.Binding.Executor, RequestId: claim.Binding.RequestID, Release: claim.Release,
		},
	}})
	if err != nil {
		return idempotency.Grant{}, err
	}
	grant := reply.GetKeyGrant()
	return idempotency.Grant{
		Status:  idempotency.Status(grant.GetStatus()),
		Binding: idempotency.Binding{Executor: grant.GetExecutor(), RequestID: grant.GetRequestId()},
	}, nil
}

// claimLocal applies a claim to this node's replica.
func (r *replicas) claimLocal(claim idempotency.Claim) idempotency.Grant {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.replica.Claim(claim, time.Now())
}

// handleClaim answers a peer's claim.
func (r *replicas) handleClaim(claim *pathbendv1.ClaimKey) *pathbendv1.KeyGrant {
	grant := r.claimLocal(idempotency.Claim{
		Shard: int(claim.Shard), Generation: claim.Generation, Key: claim.Key, Release: claim.Release,
		Binding: idempotency.Binding{Executor: claim.Executor, RequestID: claim.RequestId},
	})
	return &pathbendv1.KeyGrant{
		Status: pathbendv1.GrantStatus(grant.Status), Executor: grant.Binding.Executor, RequestId: grant.Binding.RequestID,
	}
}

// handleSync returns the entries of shards to a member of later generations. Shards that
// this node cannot export are left out.
func (r *replicas) handleSync(call *pathbendv1.SyncShards) *pathbendv1.ShardEntries {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	answer := &pathbendv1.ShardEntries{}
	now := time.Now()
	for _, wanted := range call.Shards {
		index := int(wanted.Shard)
		entries, ready := r.replica.Export(index, wanted.Generation, wanted.FormerGeneration, now)
		if !ready {
			continue
		}
		r.exported[index] = max(r.exported[index], wanted.Generation)
		exported := &pathbendv1.ShardExport{Shard: wanted.Shard, Generation: wanted.Generation}
		for _, entry := range entries {
			exported.Entries = append(exported.Entries, &pathbendv1.KeyEntry{
				Key: entry.Key, Executor: entry.Binding.Executor, RequestId: entry.Binding.RequestID, AgeMs: entry.Age.Milliseconds(),
			})
		}
		answer.Shards = append(answer.Shards, exported)
	}
	return answer
}

// loop fetches the shards that this node became a member of. While fetches stay due, the
// interval between the attempts doubles up to maxSyncInterval.
func (r *replicas) loop(ctx context.Context) {
	interval := minSyncInterval
	for {
		if r.syncDue(ctx) {
			interval = min(2*interval, maxSyncInterval)
		} else {
			interval = minSyncInterval
		}
		timer := time.NewTimer(interval)
		select {
		case <-timer.C:
		case <-r.groupsChanged:
			timer.Stop()
			interval = minSyncInterval
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// syncDue attempts the due fetches with one call per source, and reports whether any fetch
// is still due. It also removes expired bindings at each expireInterval.
func (r *replicas) syncDue(ctx context.Context) bool {
	now := time.Now()
	r.mutex.Lock()
	tasks := r.replica.DueSyncs(now)
	if now.Sub(r.lastExpiry) >= expireInterval {
		r.lastExpiry = now
		r.replica.Expire(now)
	}
	r.mutex.Unlock()
	bySource := make(map[string][]idempotency.SyncTask)
	for _, task := range tasks {
		for _, source := range task.Sources {
			bySource[source] = append(bySource[source], task)
		}
	}
	var fetches conc.WaitGroup
	for _, source := range sortedKeys(bySource) {
		fetches.Go(func() { r.fetch(ctx, source, bySource[source]) })
	}
	fetches.Wait()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.replica.DueSyncs(now)) > 0
}

// fetch fetches shards from one source and applies their entries.
func (r *replicas) fetch(ctx context.Context, source string, tasks []idempotency.SyncTask) {
	address, err := r.node.addressOf(source)
	if err != nil {
		return // retried after the next interval
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	call := &pathbendv1.SyncShards{}
	byShard := make(map[uint32]idempotency.SyncTask, len(tasks))
	for _, task := range tasks {
		byShard[uint32(task.Shard)] = task
		call.Shards = append(call.Shards, &pathbendv1.ShardSync{
			Shard: uint32(task.Shard), Generation: task.Generation, FormerGeneration: task.FormerGeneration,
		})
	}
	reply, err := r.node.peers.Call(ctx, address, &pathbendv1.Envelope{Body: &pathbendv1.Envelope_SyncShards{SyncShards: call}})
	if err != nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, exported := range reply.GetShardEntries().GetShards() {
		task, requested := byShard[exported.Shard]
		if !requested || task.Generation != exported.Generation {
			continue
		}
		r.replica.ApplyEntries(task, source, decodeEntries(exported.Entries), time.Now())
	}
}

func decodeEntries(encoded []*pathbendv1.KeyEntry) []idempotency.Entry {
	entries := make([]idempotency.Entry, 0, len(encoded))
	for _, entry := range encoded {
		entries = append(entries, idempotency.Entry{
			Key: entry.Key, Age: time.Duration(entry.AgeMs) * time.Millisecond,
			Binding: idempotency.Binding{Executor: entry.Executor, RequestID: entry.RequestId},
		})
	}
	return entries
}

// awaitExported waits until every shard that gained a member when this node left has been
// fetched from this node, or until ctx ends.
func (r *replicas) awaitExported(ctx context.Context) {
	const pollInterval = 20 * time.Millisecond
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for len(r.unexportedShards()) > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// unexportedShards returns the shards that awaitExported waits for.
func (r *replicas) unexportedShards() []int {
	var unexported []int
	for index := range shard.Count {
		group := r.Group(index)
		if !slices.Contains(group.Former, r.node.id) || slices.Contains(group.Members, r.node.id) {
			continue
		}
		gained := slices.ContainsFunc(group.Members, func(member string) bool { return !slices.Contains(group.Former, member) })
		r.mutex.Lock()
		fetched := r.exported[index] >= group.Generation
		r.mutex.Unlock()
		if gained && !fetched {
			unexported = append(unexported, index)
		}
	}
	return unexported
}

// FetchAnswer implements keyed.Replicas.
func (r *replicas) FetchAnswer(ctx context.Context, executor, key string) (keyed.Outcome, bool, error) {
	address, err := r.node.addressOf(executor)
	if err != nil {
		return keyed.Outcome{}, false, err
	}
	wait := time.Second
	if deadline, ok := ctx.Deadline(); ok {
		wait = max(time.Until(deadline)-fetchMargin, 0)
	}
	reply, err := r.node.peers.Call(ctx, address, &pathbendv1.Envelope{Body: &pathbendv1.Envelope_FetchAnswer{
		FetchAnswer: &pathbendv1.FetchAnswer{Key: key, WaitMs: wait.Milliseconds()},
	}})
	if err != nil {
		return keyed.Outcome{}, false, err
	}
	return decodeOutcome(reply.GetStoredAnswer())
}

// decodeOutcome decodes the outcome under a key. It returns false if the peer has none.
func decodeOutcome(encoded *pathbendv1.StoredAnswer) (keyed.Outcome, bool, error) {
	if !encoded.GetFound() {
		return keyed.Outcome{}, false, nil
	}
	outcome := keyed.Outcome{Status: int(encoded.Status), Header: make(http.Header), Body: encoded.Body, TooLarge: encoded.TooLarge}
	for _, header := range encoded.Headers {
		outcome.Header.Add(header.Name, header.Value)
	}
	if encoded.Failure != nil {
		outcome.Err = peer.ErrorFromFailure(encoded.Failure)
	}
	return outcome, true, nil
}

// handleFetch answers a peer that fetches the outcome under a key, and waits for the outcome
// up to the wait of the call.
func (n *Node) handleFetch(ctx context.Context, call *pathbendv1.FetchAnswer) *pathbendv1.StoredAnswer {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.WaitMs)*time.Millisecond)
	defer cancel()
	outcome, found := n.keyed.AwaitOutcome(ctx, call.Key)
	if !found {
		return &pathbendv1.StoredAnswer{}
	}
	encoded := &pathbendv1.StoredAnswer{Found: true, Status: int32(outcome.Status), Body: outcome.Body, TooLarge: outcome.TooLarge}
	for _, name := range sortedKeys(outcome.Header) {
		for _, value := range outcome.Header[name] {
			encoded.Headers = append(encoded.Headers, &pathbendv1.Header{Name: name, Value: value})
		}
	}
	if outcome.Err != nil {
		encoded.Failure = peer.NewFailure(outcome.Err)
	}
	return encoded
}

// addressOf returns the address of a node for peers. It fails if the node is dead or
// unknown.
func (n *Node) addressOf(id string) (string, error) {
	if member, ok := n.members.get(id); ok && member.Status != membership.Dead {
		return member.Address, nil
	}
	// While a node joins, it may be on the roster before the membership knows it.
	if listed, ok := n.roster()[id]; ok {
		if _, known := n.members.get(id); !known {
			return listed.Address, nil
		}
	}
	return "", result.New(result.PeerUnreached, "node %s is not a live member", id)
}
