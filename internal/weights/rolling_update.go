package weights

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Member is one sampler that takes part in a rolling update.
type Member struct {
	ID string
	// StartedAtMs is the start time of the sampler's incarnation in Unix milliseconds. It
	// tells incarnations of one id apart.
	StartedAtMs int64
	// Service is the service that the sampler belongs to, Region the region of its zone.
	Service string
	Region  string
	// Versions maps each model of the sampler to the version it serves, as last known.
	Versions map[string]uint64
	// Running is the number of work items in progress and Slots the number that can run at
	// once, or 0 if unknown.
	Running int
	Slots   int
	Leaving bool
	// OrderPending is set while an order from another executor may still be in force.
	OrderPending bool
}

// Fleet is the set of samplers that a rolling update covers.
type Fleet interface {
	// Size returns the number of samplers. Members returns them ordered by id.
	Size() int
	Members() []Member
	// Member returns the sampler with the given id.
	Member(id string) (Member, bool)
}

// MemberList is a fleet in a slice ordered by id. It implements Fleet with a linear search.
type MemberList []Member

// Size implements Fleet.
func (l MemberList) Size() int { return len(l) }

// Members implements Fleet.
func (l MemberList) Members() []Member { return l }

// Member implements Fleet.
func (l MemberList) Member(id string) (Member, bool) {
	index := slices.IndexFunc(l, func(member Member) bool { return member.ID == id })
	if index < 0 {
		return Member{}, false
	}
	return l[index], true
}

// Update is an order to load one version of a model on one sampler.
type Update struct {
	SamplerID string
	// StartedAtMs is the start time of the incarnation that the order is for, in Unix
	// milliseconds.
	StartedAtMs int64
	Model       string
	Version     uint64

	// pool is the pool of the sampler when the order was decided.
	pool samplerPool
}

// RollingUpdate decides which samplers load new weights, and when.
//
// Only part of the fleet loads at a time, since concurrent loads slow each other down,
// while a new version of each model arrives every few seconds. So each model is assigned a
// set of replicas, and only these follow its versions; other samplers keep the version they
// have. Each version goes to as many replicas as an even share of the fleet allows. If jobs
// accept the version before the newest, a model gets up to twice as many replicas, which
// alternate: half of them serve the newest version and half the one before. The replicas of
// a model are also limited by its demand, since loading weights on a sampler that then has
// no work is wasted. Work that only the samplers of certain services or regions may do has
// replicas among these.
//
// A RollingUpdate is not safe for concurrent use.
type RollingUpdate struct {
	// MinConcurrent is the limit of updates in progress in a small fleet. The limit of a
	// large fleet is higher and grows with its size.
	MinConcurrent int

	replicas map[string]map[string]struct{} // models by sampler id
	// replicasPerVersion is the number of replicas of a pool that load each version.
	replicasPerVersion map[samplerPool]int
	// allowedLag is how many versions behind the newest the jobs of a model accept.
	allowedLag map[string]uint64
	// demand is the concurrently requested work to expect, by model.
	demand map[string][]Demand
	// latestStep is the latest training step of a model passed to SetAllowedLag.
	latestStep map[string]uint64
	inProgress map[string]Update
	notBefore  map[string]time.Time
	failures   map[string]int
	// incarnations holds the last known start time of each sampler.
	incarnations map[string]int64
	// lastAssignment holds the inputs of the latest replica assignment. updatable is the
	// number of samplers at that time that serve any model.
	lastAssignment assignmentInputs
	updatable      int
}

// assignmentInputs are the values that a replica assignment depends on, and its time.
type assignmentInputs struct {
	at         time.Time
	models     string
	demand     map[string][]Demand
	allowedLag map[string]uint64
}

const (
	// updateRetryDelay is how long a sampler gets no update after one that did not take
	// effect.
	updateRetryDelay = 300 * time.Millisecond
	// maxFailures is the number of consecutive failed updates after which other samplers
	// take over the models of a sampler. It becomes eligible again after recoveryDelay.
	maxFailures   = 2
	recoveryDelay = 5 * time.Second
	// minReplicas is the minimum number of replicas per model, so that the loss of one does
	// not leave it unserved.
	minReplicas = 2
	// replicaHeadroom is the ratio of the slots of a version's replicas to the demand. The
	// excess covers failed and loading samplers, and samplers run faster with fewer
	// concurrent items. It takes effect only in fleets with more samplers than the demand
	// needs.
	replicaHeadroom = 2
	// largeFleetSize is the fleet size above which replicas are reassigned only when the
	// demand, the models or the allowed lag change, and every assignmentInterval for
	// samplers that join or leave. Reassigning in each call of Next took 51 ms for 8,000
	// samplers with eight models, and an executor calls it 20 times a second
	// (BenchmarkNextOfAnAssignedFleet). A lost replica is replaced up to assignmentInterval
	// later, which is a quarter of the time of one load.
	largeFleetSize     = 128
	assignmentInterval = 250 * time.Millisecond
	// rotationGroups is the number of groups of replicas that load versions in turn.
	rotationGroups = 2
)

// NewRollingUpdate returns a rolling update without replicas. The limit of updates in progress
// is minConcurrent or a fraction of the fleet, whichever is larger.
func NewRollingUpdate(minConcurrent int) *RollingUpdate {
	rolling := &RollingUpdate{MinConcurrent: minConcurrent}
	rolling.Reset()
	return rolling
}

// concurrencyDivisor divides the fleet size to give the number of samplers that may load at
// once: the throughput of the weight store grows with the fleet.
const concurrencyDivisor = 5

// maxConcurrent returns the limit of updates in progress.
func (r *RollingUpdate) maxConcurrent() int {
	return max(r.updatable/concurrencyDivisor, r.MinConcurrent)
}

// assignmentDue reports whether replicas must be reassigned now, and if so records the
// inputs.
func (r *RollingUpdate) assignmentDue(now time.Time, fleet Fleet, targets map[string]uint64) bool {
	models := strings.Join(slices.Sorted(maps.Keys(targets)), " ")
	next := assignmentInputs{at: now, models: models, demand: r.demand, allowedLag: maps.Clone(r.allowedLag)}
	last := r.lastAssignment
	if fleet.Size() > largeFleetSize && now.Sub(last.at) < assignmentInterval && models == last.models &&
		maps.EqualFunc(next.demand, last.demand, equalDemands) && maps.Equal(next.allowedLag, last.allowedLag) {
		return false
	}
	r.lastAssignment = next
	return true
}

// Next returns the updates to start now towards the newest version of each model. Samplers
// that are furthest behind come first, then those with the least work in progress.
func (r *RollingUpdate) Next(now time.Time, fleet Fleet, targets map[string]uint64) []Update {
	if r.assignmentDue(now, fleet, targets) {
		members := fleet.Members()
		r.resetRestarted(members)
		r.assignReplicas(now, members, targets)
	}
	byID := make(map[string]Member, len(r.replicas))
	var pending []Update
	for id := range r.replicas {
		member, known := fleet.Member(id)
		if !known {
			continue
		}
		byID[id] = member
		pending = append(pending, r.updatesFor(now, member, targets)...)
	}
	lag := func(update Update) uint64 { return update.Version - byID[update.SamplerID].Versions[update.Model] }
	slices.SortFunc(pending, func(a, b Update) int {
		return cmp.Or(
			cmp.Compare(lag(b), lag(a)),
			cmp.Compare(byID[a.SamplerID].Running, byID[b.SamplerID].Running),
			cmp.Compare(a.SamplerID, b.SamplerID),
			cmp.Compare(a.Model, b.Model),
		)
	})
	upToDate, queues := r.countUpToDate(byID, targets), newUpdateQueues(pending)
	var updates []Update
	for capacity := r.maxConcurrent() - len(r.inProgress); capacity > 0; capacity-- {
		update, ok := r.nextUpdate(queues, upToDate, lag)
		if !ok {
			break
		}
		upToDate[update.pool]++
		r.inProgress[update.SamplerID] = update
		updates = append(updates, update)
	}
	return updates
}

// updateQueues holds the pending updates by pool, each queue in the order of Next.
type updateQueues struct {
	updates []Update
	// byPool holds the indexes of a pool's remaining updates.
	byPool map[samplerPool][]int
}

func newUpdateQueues(pending []Update) updateQueues {
	q := updateQueues{updates: pending, byPool: make(map[samplerPool][]int)}
	for index, update := range pending {
		q.byPool[update.pool] = append(q.byPool[update.pool], index)
	}
	return q
}

// head returns the index of a pool's first update whose sampler has none in progress. It
// drops the updates before it.
func (q updateQueues) head(pool samplerPool, inProgress map[string]Update) (index int, ok bool) {
	indexes := q.byPool[pool]
	for len(indexes) > 0 {
		if _, busy := inProgress[q.updates[indexes[0]].SamplerID]; !busy {
			break
		}
		indexes = indexes[1:]
	}
	q.byPool[pool] = indexes
	if len(indexes) == 0 {
		return 0, false
	}
	return indexes[0], true
}

// nextUpdate returns the first update of the pool with the fewest up-to-date replicas, among
// the pools below replicasPerVersion. A sampler beyond the allowed lag is updated regardless
// of that limit: after an outage more replicas than one rotation group may be that old. The
// first update of a pool is the one that is furthest behind.
func (r *RollingUpdate) nextUpdate(queues updateQueues, upToDate map[samplerPool]int, lag func(Update) uint64) (Update, bool) {
	best, found := 0, false
	for pool := range queues.byPool {
		index, ok := queues.head(pool, r.inProgress)
		if !ok || upToDate[pool] >= r.replicasPerVersion[pool] && !r.isTooOld(queues.updates[index], lag(queues.updates[index])) {
			continue
		}
		order := cmp.Or(cmp.Compare(upToDate[pool], upToDate[queues.updates[best].pool]), cmp.Compare(index, best))
		if !found || order < 0 {
			best, found = index, true
		}
	}
	if !found {
		return Update{}, false
	}
	return queues.updates[best], true
}

// isTooOld reports whether a sampler with the given lag can serve no future job of the
// model.
func (r *RollingUpdate) isTooOld(update Update, lag uint64) bool {
	return lag > r.allowedLag[update.Model]
}

// countUpToDate counts, for each pool, the replicas that serve the newest version or are
// loading it.
func (r *RollingUpdate) countUpToDate(replicas map[string]Member, targets map[string]uint64) map[samplerPool]int {
	upToDate := make(map[samplerPool]int)
	for _, member := range replicas {
		inProgress := r.inProgress[member.ID]
		for model := range r.replicas[member.ID] {
			if member.Versions[model] >= targets[model] || inProgress.Model == model && inProgress.Version >= targets[model] {
				pool, _ := r.poolOf(member, model)
				upToDate[pool]++
			}
		}
	}
	return upToDate
}

// SetAllowedLag records how many versions behind the newest a job of a model accepts. The job
// with the latest training step decides: adopted jobs may arrive in any order, and the
// allowed lag of older ones has grown since.
func (r *RollingUpdate) SetAllowedLag(model string, step, allowedLag uint64) {
	if step < r.latestStep[model] {
		return
	}
	r.latestStep[model], r.allowedLag[model] = step, allowedLag
}

// SetDemand records the concurrently requested work to expect. A model without an entry gets
// its even share of its samplers among all models that these serve: nothing is known of the
// other models either, whether or not a version of them is announced. A sampler that no demand
// for a known model allows gets no versions of it. The order of the demands must not vary from
// call to call.
func (r *RollingUpdate) SetDemand(demands []Demand) {
	r.demand = make(map[string][]Demand)
	for _, demand := range demands {
		r.demand[demand.Model] = append(r.demand[demand.Model], demand)
	}
}

func equalDemands(a, b []Demand) bool { return slices.EqualFunc(a, b, equalDemand) }

// isEligible reports whether a sampler can be a replica: it is not leaving, and not waiting
// for its recovery after too many failures.
func (r *RollingUpdate) isEligible(now time.Time, member Member) bool {
	return !member.Leaving && (r.failures[member.ID] < maxFailures || !now.Before(r.notBefore[member.ID]))
}

// assignReplicas balances the replicas of all models with as few changes as possible.
func (r *RollingUpdate) assignReplicas(now time.Time, members []Member, targets map[string]uint64) {
	eligible := make([]Member, 0, len(members))
	keptIDs := make(map[string]struct{}, len(r.replicas))
	r.updatable = 0
	for _, member := range members {
		if len(member.Versions) == 0 {
			continue
		}
		r.updatable++
		if !r.isEligible(now, member) {
			continue
		}
		eligible = append(eligible, member)
		if models, replica := r.replicas[member.ID]; replica {
			keptIDs[member.ID] = struct{}{}
			maps.DeleteFunc(models, func(model string, _ struct{}) bool {
				_, serves := member.Versions[model]
				_, allowed := r.poolOf(member, model)
				return !serves || !allowed
			})
		}
	}
	maps.DeleteFunc(r.replicas, func(id string, _ map[string]struct{}) bool {
		_, ok := keptIDs[id]
		return !ok
	})
	clear(r.replicasPerVersion)
	models := slices.Sorted(maps.Keys(targets))
	for _, model := range models {
		r.assignModelReplicas(model, eligible, targets[model], len(models))
	}
}

// assignModelReplicas assigns the replicas of each pool of a model. models is the number of models
// that share the samplers.
func (r *RollingUpdate) assignModelReplicas(model string, eligible []Member, target uint64, models int) {
	hosts := r.poolHosts(model, eligible)
	items, known := r.itemsPerPool(model, hosts)
	for _, pool := range slices.SortedFunc(maps.Keys(hosts), comparePools) {
		members := hosts[pool]
		sharingModels := models
		if !known {
			sharingModels = max(countServedModels(members), models)
		}
		replicasPerVersion := evenShare(members, sharingModels)
		if known {
			replicasPerVersion = min(replicasPerVersion, max(replicasFor(items[pool], members), minReplicas))
		}
		r.assignPoolReplicas(pool, members, target, replicasPerVersion)
	}
}

// assignPoolReplicas assigns the replicas of a pool, given how many of them are to load each
// version.
func (r *RollingUpdate) assignPoolReplicas(pool samplerPool, hosts []Member, target uint64, replicasPerVersion int) {
	replicaCount := replicasPerVersion
	if r.allowedLag[pool.model] > 0 {
		replicaCount = min(rotationGroups*replicasPerVersion, len(hosts))
		replicasPerVersion = max((replicaCount+rotationGroups-1)/rotationGroups, min(minReplicas, replicaCount))
	}
	r.replicasPerVersion[pool] = replicasPerVersion
	r.adjustReplicas(pool.model, hosts, target, replicaCount)
}

// adjustReplicas adds or drops replicas of a model until replicaCount of the hosts are replicas.
func (r *RollingUpdate) adjustReplicas(model string, hosts []Member, target uint64, replicaCount int) {
	switch current := r.count(model, hosts); {
	case current < replicaCount:
		r.addReplicas(model, hosts, target, replicaCount-current)
	case current > replicaCount:
		r.dropReplicas(model, hosts, current-replicaCount)
	}
}

func comparePools(a, b samplerPool) int {
	return cmp.Or(cmp.Compare(a.model, b.model), cmp.Compare(a.demands, b.demands))
}

// evenShare returns how many of the hosts each of a number of models gets.
func evenShare(hosts []Member, models int) int {
	return min(max((len(hosts)+models-1)/models, minReplicas), len(hosts))
}

// countServedModels returns the number of models that at least one of the hosts serves.
func countServedModels(hosts []Member) int {
	served := make(map[string]struct{})
	for _, host := range hosts {
		for model := range host.Versions {
			served[model] = struct{}{}
		}
	}
	return len(served)
}

// replicasFor returns how many of the hosts are needed for the given demand, including
// headroom. It returns all of them if their slots are unknown.
func replicasFor(demand int, hosts []Member) int {
	slots := 0
	for _, host := range hosts {
		slots += host.Slots
	}
	if slots == 0 {
		return len(hosts)
	}
	return (demand*replicaHeadroom*len(hosts) + slots - 1) / slots
}

// addReplicas adds the missing number of replicas. It prefers samplers with the fewest models, then
// those with the newest version.
func (r *RollingUpdate) addReplicas(model string, hosts []Member, target uint64, missing int) {
	candidates := slices.DeleteFunc(slices.Clone(hosts), func(host Member) bool { return r.isReplica(host.ID, model) })
	slices.SortFunc(candidates, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(len(r.replicas[a.ID]), len(r.replicas[b.ID])),
			cmp.Compare(target-a.Versions[model], target-b.Versions[model]),
			cmp.Compare(a.ID, b.ID),
		)
	})
	for _, host := range candidates[:min(missing, len(candidates))] {
		if r.replicas[host.ID] == nil {
			r.replicas[host.ID] = make(map[string]struct{})
		}
		r.replicas[host.ID][model] = struct{}{}
	}
}

// dropReplicas removes the excess number of replicas. It starts with samplers with the most models,
// then those with the oldest version.
func (r *RollingUpdate) dropReplicas(model string, hosts []Member, excess int) {
	owned := slices.DeleteFunc(slices.Clone(hosts), func(host Member) bool { return !r.isReplica(host.ID, model) })
	slices.SortFunc(owned, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(len(r.replicas[b.ID]), len(r.replicas[a.ID])),
			cmp.Compare(a.Versions[model], b.Versions[model]),
			cmp.Compare(a.ID, b.ID),
		)
	})
	for _, host := range owned[:min(excess, len(owned))] {
		delete(r.replicas[host.ID], model)
	}
}

// count returns how many of the hosts are replicas of a model.
func (r *RollingUpdate) count(model string, hosts []Member) int {
	count := 0
	for _, host := range hosts {
		if r.isReplica(host.ID, model) {
			count++
		}
	}
	return count
}

func (r *RollingUpdate) isReplica(samplerID, model string) bool {
	_, replica := r.replicas[samplerID][model]
	return replica
}

// updatesFor returns the updates that a member needs. It returns none while the member has
// an update in progress, is leaving, or waits for a retry.
func (r *RollingUpdate) updatesFor(now time.Time, member Member, targets map[string]uint64) []Update {
	if _, inProgress := r.inProgress[member.ID]; inProgress || member.Leaving || member.OrderPending || now.Before(r.notBefore[member.ID]) {
		return nil
	}
	var updates []Update
	for model := range r.replicas[member.ID] {
		if member.Versions[model] < targets[model] {
			pool, _ := r.poolOf(member, model)
			updates = append(updates, Update{SamplerID: member.ID, StartedAtMs: member.StartedAtMs, Model: model, Version: targets[model], pool: pool})
		}
	}
	return updates
}

// resetRestarted drops the updates and failures of samplers that have restarted.
func (r *RollingUpdate) resetRestarted(members []Member) {
	for _, member := range members {
		if before, known := r.incarnations[member.ID]; known && before != member.StartedAtMs {
			delete(r.inProgress, member.ID)
			delete(r.failures, member.ID)
			delete(r.notBefore, member.ID)
		}
		r.incarnations[member.ID] = member.StartedAtMs
	}
}

// Done records that an update has ended. reached is set if the sampler was seen to serve
// the version. Updates of an earlier incarnation are ignored.
func (r *RollingUpdate) Done(update Update, reached bool, now time.Time) {
	samplerID := update.SamplerID
	if r.incarnations[samplerID] != update.StartedAtMs {
		return
	}
	delete(r.inProgress, samplerID)
	if reached {
		delete(r.failures, samplerID)
		return
	}
	r.failures[samplerID]++
	pause := updateRetryDelay
	if r.failures[samplerID] >= maxFailures {
		pause = recoveryDelay
	}
	r.notBefore[samplerID] = now.Add(pause)
}

// Postpone records that an update has ended without an order to the sampler, which is not at
// fault and keeps its models.
func (r *RollingUpdate) Postpone(update Update, now time.Time) {
	samplerID := update.SamplerID
	if r.incarnations[samplerID] != update.StartedAtMs {
		return
	}
	delete(r.inProgress, samplerID)
	r.notBefore[samplerID] = now.Add(updateRetryDelay)
}

// InProgress returns the number of updates in progress.
func (r *RollingUpdate) InProgress() int { return len(r.inProgress) }

// Reset discards the whole state, for use when another node takes over.
func (r *RollingUpdate) Reset() {
	r.replicas = make(map[string]map[string]struct{})
	r.replicasPerVersion = make(map[samplerPool]int)
	r.allowedLag = make(map[string]uint64)
	r.latestStep = make(map[string]uint64)
	r.demand = nil
	r.inProgress = make(map[string]Update)
	r.notBefore = make(map[string]time.Time)
	r.failures = make(map[string]int)
	r.incarnations = make(map[string]int64)
	r.lastAssignment = assignmentInputs{}
}
