package weights

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Member is one sampler in a roll of weight versions.
type Member struct {
	ID string
	// Born tells its incarnation from others of the id, as Step.Born does.
	Born int64
	// Versions maps a model to the version served, as far as is known.
	Versions map[string]uint64
	// Running is the work that it has, Slots how much it does at once; 0 if that is
	// not known.
	Running int
	Slots   int
	Leaving bool
	// Wait is set while an order of another holder may still be in force.
	Wait bool
}

// Fleet are the samplers that a roll looks at.
type Fleet interface {
	// Size counts the samplers, Members lists them by id.
	Size() int
	Members() []Member
	// Member returns a sampler by its id.
	Member(id string) (Member, bool)
}

// Listed are members in order of their ids. It implements Fleet.
type Listed []Member

// Size implements Fleet.
func (l Listed) Size() int { return len(l) }

// Members implements Fleet.
func (l Listed) Members() []Member { return l }

// Member implements Fleet.
func (l Listed) Member(id string) (Member, bool) {
	place := slices.IndexFunc(l, func(member Member) bool { return member.ID == id })
	if place < 0 {
		return Member{}, false
	}
	return l[place], true
}

// Step is an order to bring one sampler to a version.
type Step struct {
	SamplerID string
	// Born is the start of the incarnation that the order is for.
	Born    int64
	Model   string
	Version uint64
}

// Roll decides which samplers change their weights when. Loads are scarce: only
// a part of the samplers changes at once, since more would slow each other's
// loads down, and a new version of each model comes every few seconds. So each
// model has replicas, and only they follow its versions; the other samplers keep
// what they have. Of the replicas an equal share of the fleet takes each version.
// Where jobs allow the version before the newest, a model has twice as many replicas
// if there are so many, and they take turns: half of them serve the newest
// version, half the one before. No model has many more replicas than its work needs:
// an order to a sampler that then has nothing to do is of no use. A Roll is pure and not safe for concurrent use.
type Roll struct {
	// Least is the number of changes that may be under way in the smallest fleet.
	Least int

	replicas map[string]map[string]struct{} // by sampler: its models
	// share is the number of replicas of a model that take each version.
	share map[string]int
	// slack is how many versions behind the newest the jobs of a model allow.
	slack map[string]uint64
	// demand is the most work of a model that was wanted at once of late.
	demand map[string]int
	// latest is the latest step of a model that was taken in.
	latest    map[string]uint64
	moving    map[string]Step
	notBefore map[string]time.Time
	failures  map[string]int
	// born is the start of each sampler's incarnation that is known.
	born map[string]int64
	// settled tells what the replicas were settled for last; able counts the samplers that
	// may change then.
	settled settlement
	able    int
}

// settlement is what replicas are settled for.
type settlement struct {
	at     time.Time
	models string
	demand map[string]int
	slack  map[string]uint64
}

const (
	// rollPause is how long a sampler rests after an order that was not seen to
	// take effect.
	rollPause = 300 * time.Millisecond
	// failuresToLeave is how many such orders in a row make other samplers take
	// its models over; it gets them back after rollRecovery.
	failuresToLeave = 2
	rollRecovery    = 5 * time.Second
	// minReplicas is how many samplers follow a model at least, so that the loss
	// of one does not stop it.
	minReplicas = 2
	// replicaHeadroom is how many times the work that is wanted at once the replicas of a
	// version have slots for: few runs beside each other go faster, samplers fail,
	// and a part of them is loading (chosen; binds only where samplers are plenty).
	replicaHeadroom = 2
	// settleSize is the fleet from which on replicas are settled only when what they are
	// settled for changes, and each settleInterval for samplers that come and go: a look took
	// 51 ms at 8,000 samplers of eight models, and an executor looks 20 times a second
	// (BenchmarkNextOfASettledFleet). A replica that is lost is replaced that much later, a
	// quarter of the time of one load.
	settleSize     = 128
	settleInterval = 250 * time.Millisecond
	// turns is the number of parts of a model's replicas that take versions in turn.
	turns = 2
)

// NewRoll returns a roll that changes up to least samplers at once, or a part of
// the fleet if that is more.
func NewRoll(least int) *Roll {
	roll := &Roll{Least: least}
	roll.Forget()
	return roll
}

// togetherPart is the part of a fleet that may change at once: weights come from
// a store whose rate grows with the fleet.
const togetherPart = 5

// together bounds the changes under way.
func (r *Roll) together() int { return max(r.able/togetherPart, r.Least) }

// due reports whether replicas are to be settled now.
func (r *Roll) due(now time.Time, fleet Fleet, targets map[string]uint64) bool {
	models := strings.Join(slices.Sorted(maps.Keys(targets)), " ")
	next := settlement{at: now, models: models, demand: r.demand, slack: maps.Clone(r.slack)}
	last := r.settled
	if fleet.Size() > settleSize && now.Sub(last.at) < settleInterval && models == last.models &&
		maps.Equal(next.demand, last.demand) && maps.Equal(next.slack, last.slack) {
		return false
	}
	r.settled = next
	return true
}

// Next returns the orders to give now, towards the newest version of each
// model. The samplers that are furthest behind come first, then those with the
// least work.
func (r *Roll) Next(now time.Time, fleet Fleet, targets map[string]uint64) []Step {
	if r.due(now, fleet, targets) {
		members := fleet.Members()
		r.noteStarts(members)
		r.settle(now, members, targets)
	}
	byID := make(map[string]Member, len(r.replicas))
	var behind []Step
	for id := range r.replicas {
		member, known := fleet.Member(id)
		if !known {
			continue
		}
		byID[id] = member
		behind = append(behind, r.stepsFor(now, member, targets)...)
	}
	lag := func(step Step) uint64 { return step.Version - byID[step.SamplerID].Versions[step.Model] }
	slices.SortFunc(behind, func(a, b Step) int {
		return cmp.Or(
			cmp.Compare(lag(b), lag(a)),
			cmp.Compare(byID[a.SamplerID].Running, byID[b.SamplerID].Running),
			cmp.Compare(a.SamplerID, b.SamplerID),
			cmp.Compare(a.Model, b.Model),
		)
	})
	fresh, left := r.fresh(byID, targets), queuesOf(behind)
	var steps []Step
	for room := r.together() - len(r.moving); room > 0; room-- {
		step, ok := r.neediest(left, fresh, lag)
		if !ok {
			break
		}
		fresh[step.Model]++
		r.moving[step.SamplerID] = step
		steps = append(steps, step)
	}
	return steps
}

// queues are the steps to choose from, by model, each in the order of Next.
type queues struct {
	steps []Step
	// of holds the places of a model's steps that were not passed over.
	of map[string][]int
}

func queuesOf(behind []Step) queues {
	q := queues{steps: behind, of: make(map[string][]int)}
	for place, step := range behind {
		q.of[step.Model] = append(q.of[step.Model], place)
	}
	return q
}

// head returns the place of a model's first step whose sampler does not move yet.
func (q queues) head(model string, moving map[string]Step) (place int, ok bool) {
	places := q.of[model]
	for len(places) > 0 {
		if _, moves := moving[q.steps[places[0]].SamplerID]; !moves {
			break
		}
		places = places[1:]
	}
	q.of[model] = places
	if len(places) == 0 {
		return 0, false
	}
	return places[0], true
}

// neediest returns the first step of the model that the fewest samplers serve in
// its newest version, among those that want more. A sampler that is too old for
// the jobs to come is brought up whoever has the newest version already: after an
// outage more than one turn may be. The first of a model's steps is the one that is
// furthest behind.
func (r *Roll) neediest(behind queues, fresh map[string]int, lag func(Step) uint64) (Step, bool) {
	best, found := 0, false
	for model := range behind.of {
		place, ok := behind.head(model, r.moving)
		if !ok || fresh[model] >= r.share[model] && !r.tooOld(behind.steps[place], lag(behind.steps[place])) {
			continue
		}
		fewer := cmp.Or(cmp.Compare(fresh[model], fresh[behind.steps[best].Model]), cmp.Compare(place, best))
		if !found || fewer < 0 {
			best, found = place, true
		}
	}
	if !found {
		return Step{}, false
	}
	return behind.steps[best], true
}

// tooOld reports whether a sampler that is so many versions behind serves no job
// that is asked from now on.
func (r *Roll) tooOld(step Step, lag uint64) bool { return lag > r.slack[step.Model] }

// fresh counts the replicas of each model that serve its newest version or are on
// their way to it.
func (r *Roll) fresh(replicas map[string]Member, targets map[string]uint64) map[string]int {
	fresh := make(map[string]int)
	for _, member := range replicas {
		moving := r.moving[member.ID]
		for model := range r.replicas[member.ID] {
			if member.Versions[model] >= targets[model] || moving.Model == model && moving.Version >= targets[model] {
				fresh[model]++
			}
		}
	}
	return fresh
}

// Allow records how many versions behind the newest a job of a model allows. The
// latest step counts: jobs that were taken over may come in any order, and an older
// one allows more by now.
func (r *Roll) Allow(model string, step, slack uint64) {
	if step < r.latest[model] {
		return
	}
	r.latest[model], r.slack[model] = step, slack
}

// Want records the most work of each model that was wanted at once of late. A model
// that is missing takes its even share of the fleet.
func (r *Roll) Want(demand map[string]int) { r.demand = demand }

// fit reports whether a sampler can follow models.
func (r *Roll) fit(now time.Time, member Member) bool {
	return !member.Leaving && (r.failures[member.ID] < failuresToLeave || !now.Before(r.notBefore[member.ID]))
}

// settle keeps the number of replicas of each model even, with as few changes as
// it takes.
func (r *Roll) settle(now time.Time, members []Member, targets map[string]uint64) {
	able := make([]Member, 0, len(members))
	kept := make(map[string]struct{}, len(r.replicas))
	r.able = 0
	for _, member := range members {
		if len(member.Versions) == 0 {
			continue
		}
		r.able++
		if !r.fit(now, member) {
			continue
		}
		able = append(able, member)
		if models, replica := r.replicas[member.ID]; replica {
			kept[member.ID] = struct{}{}
			maps.DeleteFunc(models, func(model string, _ struct{}) bool {
				_, serves := member.Versions[model]
				return !serves
			})
		}
	}
	maps.DeleteFunc(r.replicas, func(id string, _ map[string]struct{}) bool {
		_, ok := kept[id]
		return !ok
	})
	models := slices.Sorted(maps.Keys(targets))
	for _, model := range models {
		r.settleModel(model, able, targets[model], len(models))
	}
}

func (r *Roll) settleModel(model string, able []Member, target uint64, models int) {
	hosts := make([]Member, 0, len(able))
	for _, member := range able {
		if _, serves := member.Versions[model]; serves {
			hosts = append(hosts, member)
		}
	}
	share := min(max((len(hosts)+models-1)/models, minReplicas), len(hosts))
	if wanted, known := r.demand[model]; known {
		share = min(share, max(replicasFor(wanted, hosts), minReplicas))
	}
	wanted := share
	if r.slack[model] > 0 {
		wanted = min(turns*share, len(hosts))
		share = max((wanted+turns-1)/turns, min(minReplicas, wanted))
	}
	r.share[model] = share
	r.addReplicas(model, hosts, target, wanted)
	r.dropReplicas(model, hosts, wanted)
}

// replicasFor returns how many samplers have room for an amount of work.
func replicasFor(wanted int, hosts []Member) int {
	slots := 0
	for _, host := range hosts {
		slots += host.Slots
	}
	if slots == 0 {
		return len(hosts)
	}
	return (wanted*replicaHeadroom*len(hosts) + slots - 1) / slots
}

// addReplicas gives a model more replicas: samplers with the fewest models, then
// those with the newest version.
func (r *Roll) addReplicas(model string, hosts []Member, target uint64, wanted int) {
	more := wanted - r.count(model)
	if more <= 0 {
		return
	}
	others := slices.DeleteFunc(slices.Clone(hosts), func(host Member) bool { return r.isReplica(host.ID, model) })
	slices.SortFunc(others, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(len(r.replicas[a.ID]), len(r.replicas[b.ID])),
			cmp.Compare(target-a.Versions[model], target-b.Versions[model]),
			cmp.Compare(a.ID, b.ID),
		)
	})
	for _, host := range others[:min(more, len(others))] {
		if r.replicas[host.ID] == nil {
			r.replicas[host.ID] = make(map[string]struct{})
		}
		r.replicas[host.ID][model] = struct{}{}
	}
}

// dropReplicas takes replicas away from a model that has too many: samplers with the
// most models, then those with the oldest version.
func (r *Roll) dropReplicas(model string, hosts []Member, wanted int) {
	fewer := r.count(model) - wanted
	if fewer <= 0 {
		return
	}
	own := slices.DeleteFunc(slices.Clone(hosts), func(host Member) bool { return !r.isReplica(host.ID, model) })
	slices.SortFunc(own, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(len(r.replicas[b.ID]), len(r.replicas[a.ID])),
			cmp.Compare(a.Versions[model], b.Versions[model]),
			cmp.Compare(a.ID, b.ID),
		)
	})
	for _, host := range own[:min(fewer, len(own))] {
		delete(r.replicas[host.ID], model)
	}
}

// count counts the replicas of a model.
func (r *Roll) count(model string) int {
	count := 0
	for _, models := range r.replicas {
		if _, replica := models[model]; replica {
			count++
		}
	}
	return count
}

func (r *Roll) isReplica(samplerID, model string) bool {
	_, replica := r.replicas[samplerID][model]
	return replica
}

// stepsFor returns the steps that would bring a member up to date.
func (r *Roll) stepsFor(now time.Time, member Member, targets map[string]uint64) []Step {
	if _, moving := r.moving[member.ID]; moving || member.Leaving || member.Wait || now.Before(r.notBefore[member.ID]) {
		return nil
	}
	var steps []Step
	for model := range r.replicas[member.ID] {
		if member.Versions[model] < targets[model] {
			steps = append(steps, Step{SamplerID: member.ID, Born: member.Born, Model: model, Version: targets[model]})
		}
	}
	return steps
}

// noteStarts forgets the orders and failures of samplers that started again.
func (r *Roll) noteStarts(members []Member) {
	for _, member := range members {
		if before, known := r.born[member.ID]; known && before != member.Born {
			delete(r.moving, member.ID)
			delete(r.failures, member.ID)
			delete(r.notBefore, member.ID)
		}
		r.born[member.ID] = member.Born
	}
}

// Done records that an order is over. reached tells whether the sampler was
// seen to serve the version. That of a former incarnation tells nothing.
func (r *Roll) Done(step Step, reached bool, now time.Time) {
	samplerID := step.SamplerID
	if r.born[samplerID] != step.Born {
		return
	}
	delete(r.moving, samplerID)
	if reached {
		delete(r.failures, samplerID)
		return
	}
	r.failures[samplerID]++
	pause := rollPause
	if r.failures[samplerID] >= failuresToLeave {
		pause = rollRecovery
	}
	r.notBefore[samplerID] = now.Add(pause)
}

// Moving returns the number of orders under way.
func (r *Roll) Moving() int { return len(r.moving) }

// Forget drops what is known of orders under way, when another node takes over.
func (r *Roll) Forget() {
	r.replicas = make(map[string]map[string]struct{})
	r.share = make(map[string]int)
	r.slack = make(map[string]uint64)
	r.latest = make(map[string]uint64)
	r.demand = nil
	r.moving = make(map[string]Step)
	r.notBefore = make(map[string]time.Time)
	r.failures = make(map[string]int)
	r.born = make(map[string]int64)
	r.settled = settlement{}
}
