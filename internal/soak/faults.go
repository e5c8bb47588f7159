package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/pathbend/pathbend/internal/platformsim"
	"github.com/pathbend/pathbend/internal/wait"
)

// scheduledFault is a fault of a round.
type scheduledFault struct {
	name string
	// startAfter is the start of the fault relative to that of the round.
	startAfter, duration time.Duration
	// overlapsRecovery is set if the fault may still be active in the recovery time of its round.
	overlapsRecovery bool
	// inject injects the fault and returns when it has ended.
	inject func(ctx context.Context)
}

// environmentFault is a fault that only real links and processes can have, unlike those of
// package platformsim.
type environmentFault struct {
	name string
	// run injects the fault and keeps it active until ctx ends. A fault without a duration, such
	// as a signal, returns at once.
	run func(ctx context.Context, r *run, target uint64)
	// atSampler is set if the fault affects the link to a sampler instead of a node, planned if
	// it must not interrupt any request.
	atSampler, planned bool
}

// environmentFaults are the faults of real links and processes.
var environmentFaults = []environmentFault{
	{name: "store_link_reset", run: applyToLink(storeLink, func(p *proxy, on bool) { p.update(func(state *linkState) { state.reset = on }) })},
	{name: "store_link_delayed", run: applyToLink(storeLink, func(p *proxy, on bool) { p.update(func(state *linkState) { state.delay = delayIf(on) }) })},
	{name: "store_answers_held", run: applyToLink(storeLink, func(p *proxy, on bool) { p.update(func(state *linkState) { state.blockResponses = on }) })},
	{name: "store_refuses_node", run: func(ctx context.Context, r *run, target uint64) {
		machine := r.nodeAt(target)
		r.environment.setStoreRefusal(machine, true)
		<-ctx.Done()
		r.environment.setStoreRefusal(machine, false)
	}},
	{name: "store_connections_silent", run: applyToLink(storeLink, silenceConnections)},
	{name: "callers_link_reset", run: applyToLink(callersLink, func(p *proxy, on bool) { p.update(func(state *linkState) { state.reset = on }) })},
	{name: "callers_connections_silent", run: applyToLink(callersLink, silenceConnections)},
	{name: "sampler_link_delayed", atSampler: true, run: func(ctx context.Context, r *run, target uint64) {
		applyToLink((*run).samplerLink, func(p *proxy, on bool) {
			p.update(func(state *linkState) { state.delay = delayIf(on) })
			// Data in transit arrives together with what is sent next.
			r.world.Checker.RecordHeldTraffic("")
		})(ctx, r, target)
	}},
	{name: "sampler_answers_held", atSampler: true, run: applyToLink((*run).samplerLink, func(p *proxy, on bool) { p.update(func(state *linkState) { state.blockResponses = on }) })},
	{name: "sampler_connections_silent", atSampler: true, run: applyToLink((*run).samplerLink, silenceConnections)},
	{name: "settings_signal", planned: true, run: func(_ context.Context, r *run, target uint64) {
		r.environment.signal(r.nodeName(target), syscall.SIGHUP)
	}},
	{name: "processor_quota", run: throttleProcessor},
}

// storeLink and callersLink map a random target to a link of a node.
func storeLink(r *run, target uint64) *proxy   { return r.nodeAt(target).storeLink }
func callersLink(r *run, target uint64) *proxy { return r.nodeAt(target).callersLink }

// applyToLink returns a function that enables a fault at a link, and disables it when the context
// ends. The link is looked up only once, since the target may map to another one by then.
func applyToLink(find func(r *run, target uint64) *proxy, apply func(link *proxy, on bool)) func(ctx context.Context, r *run, target uint64) {
	return func(ctx context.Context, r *run, target uint64) {
		link := find(r, target)
		apply(link, true)
		<-ctx.Done()
		apply(link, false)
	}
}

// silenceConnections silences the connections that are open when the fault starts. There is nothing
// to undo when it ends.
func silenceConnections(link *proxy, on bool) {
	if on {
		link.silence()
	}
}

const (
	// quotaPeriod and quotaRunTime model a processor quota of the users' platform: a process
	// runs at full speed until the quota is used up, and is then stopped for the rest of the
	// period, a tenth of a second.
	quotaPeriod  = 100 * time.Millisecond
	quotaRunTime = 20 * time.Millisecond
)

// throttleProcessor lets a node's process run only for quotaRunTime of each quotaPeriod.
func throttleProcessor(ctx context.Context, r *run, target uint64) {
	node := r.nodeName(target)
	for ctx.Err() == nil {
		wait.For(ctx, quotaRunTime)
		r.environment.Pause(node)
		wait.For(ctx, quotaPeriod-quotaRunTime)
		r.environment.Resume(node)
		r.world.Checker.RecordHeldTraffic(node)
	}
}

// linkDelay is the delay that a delayed link adds to each chunk that is forwarded.
const linkDelay = 40 * time.Millisecond

// delayIf returns linkDelay if on is set, otherwise 0.
func delayIf(on bool) time.Duration {
	if on {
		return linkDelay
	}
	return 0
}

// alternatingKinds are the faults one of which every second round has. The other rounds have an
// evacuation, whose deadline can be checked only while there are no other faults.
var alternatingKinds = []platformsim.FaultKind{
	platformsim.ZoneRestartsCold, platformsim.KeysRevoked, platformsim.ZoneCut, platformsim.ZoneLost,
	platformsim.SamplersTurnCold, platformsim.StoreDropsHistory,
}

const (
	// evacuationEnd is the end of an evacuation, relative to the start of its round. All other
	// faults that disturb machines end by maxFaultEnd, and machines count as undisturbed 3 s
	// later, so that at least 4 s of the evacuation are checked.
	evacuationEnd = 20 * time.Second
	maxFaultEnd   = 13 * time.Second
	// crashingWorkDuration is the duration of a fault of crashingKinds.
	crashingWorkDuration = 15 * time.Second
	// Each of these happens in one of oneIn rounds on average: the random faults start at the
	// same time, they are repeated, and there is an outage of the store.
	oneIn = 3
	// repeatInterval is the time between the end of a fault and the start of its repetition.
	repeatInterval = 500 * time.Millisecond
)

// planRound returns the faults of one round: faultsPerRound random ones, on average half of them
// environment faults, and those of planAlternating, planCrashing and planMalformed.
func (r *run) planRound(random *rand.Rand) []scheduledFault {
	var planned []scheduledFault
	simultaneous, repeated := random.IntN(oneIn) == 0, random.IntN(oneIn) == 0
	for range faultsPerRound {
		startAfter, duration, target := randomTiming(random)
		if simultaneous && len(planned) > 0 {
			startAfter = planned[0].startAfter
		}
		fault := r.randomFault(random, startAfter, duration, target)
		planned = append(planned, fault)
		if next := startAfter + duration + repeatInterval; repeated && next+duration < maxFaultEnd {
			fault.startAfter = next
			planned = append(planned, fault)
		}
	}
	planned = append(planned, r.planAlternating(random)...)
	return append(append(planned, r.planCrashing()...), r.planMalformed()...)
}

// crashingKinds are the faults in which samplers crash during a request, an item or a reward call.
var crashingKinds = []platformsim.FaultKind{platformsim.CrashingRequest, platformsim.ItemDuringCrashes, platformsim.RewardDuringCrashes}

// planCrashing returns, in every second round, a fault of crashingKinds.
// It is active until within the recovery time, in which machines are undisturbed. It has a random
// source of its own, so that it does not change the other faults of a seed.
func (r *run) planCrashing() []scheduledFault {
	if r.report.Rounds%2 != 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(r.report.Rounds)))
	crashing := r.simulationFault(crashingKinds[random.IntN(len(crashingKinds))], time.Second, crashingWorkDuration, random.Uint64())
	crashing.overlapsRecovery = true
	return []scheduledFault{crashing}
}

// planMalformed returns, in the rounds without a fault of crashingKinds, one in which a sampler sends
// malformed answers. It has a random source of its own, so that it does not change the other faults
// of a seed.
func (r *run) planMalformed() []scheduledFault {
	if r.report.Rounds%2 == 0 {
		return nil
	}
	startAfter, duration, target := randomTiming(rand.New(rand.NewPCG(r.options.Seed, uint64(r.report.Rounds))))
	return []scheduledFault{r.simulationFault(platformsim.SamplerMalformsAnswers, startAfter, duration, target)}
}

// randomTiming returns a random start within the first half of faultDuration, a random duration of
// at least 1 s, and a random target.
func randomTiming(random *rand.Rand) (startAfter, duration time.Duration, target uint64) {
	startAfter = time.Duration(random.Int64N(int64(faultDuration / 2)))
	duration = time.Second + time.Duration(random.Int64N(int64(faultDuration/2)))
	return startAfter, duration, random.Uint64()
}

// planAlternating returns an evacuation in one round and one of alternatingKinds in the next, in
// some rounds together with an outage of the store.
func (r *run) planAlternating(random *rand.Rand) []scheduledFault {
	startAfter, duration, target := randomTiming(random)
	var planned []scheduledFault
	if random.IntN(oneIn) == 0 {
		kinds := []platformsim.FaultKind{platformsim.StoreDown, platformsim.StoreUnresponsive}
		planned = append(planned, r.simulationFault(kinds[random.IntN(len(kinds))], startAfter, duration, target))
	}
	kind := alternatingKinds[random.IntN(len(alternatingKinds))]
	if r.plannedRounds++; r.plannedRounds%2 == 0 {
		return append(planned, r.simulationFault(kind, startAfter, duration, target))
	}
	evacuation := r.simulationFault(platformsim.Evacuate, startAfter, evacuationEnd-startAfter, target)
	evacuation.overlapsRecovery = true
	return append(planned, evacuation)
}

// simulationFault returns a fault of package platformsim, which itself records what the fault
// affects.
func (r *run) simulationFault(kind platformsim.FaultKind, startAfter, duration time.Duration, target uint64) scheduledFault {
	fault := platformsim.Fault{Kind: kind, For: duration, Target: target}
	return scheduledFault{name: kind.String(), startAfter: startAfter, duration: duration, inject: func(context.Context) { r.world.Inject(fault) }}
}

// randomFault returns an environment fault or a fault of package platformsim, with equal
// probability. An environment fault records which place it affects, and that all machines are
// disturbed.
func (r *run) randomFault(random *rand.Rand, startAfter, duration time.Duration, target uint64) scheduledFault {
	if random.IntN(2) != 0 {
		return r.simulationFault(platformsim.RandomKind(random), startAfter, duration, target)
	}
	chosen := environmentFaults[random.IntN(len(environmentFaults))]
	return scheduledFault{name: chosen.name, startAfter: startAfter, duration: duration, inject: func(ctx context.Context) {
		place := platformsim.PlaceSamplers
		if !chosen.atSampler {
			place = r.nodeName(target)
		}
		recordEnd := r.world.Checker.RecordDisruption(place, chosen.name, time.Now().Add(duration), chosen.planned)
		defer recordEnd()
		r.world.Checker.RecordDisturbance("", time.Now().Add(duration))
		ctx, cancel := context.WithTimeout(ctx, duration)
		defer cancel()
		chosen.run(ctx, r, target)
		r.world.RecordRecovery()
	}}
}

// String describes the fault in progress output.
func (f scheduledFault) String() string {
	return fmt.Sprintf("%s after %v for %v", f.name, f.startAfter, f.duration)
}
