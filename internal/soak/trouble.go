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

// trouble is one trouble of a round.
type trouble struct {
	name string
	// after is when it begins, counted from the round's start, lasts how long it is.
	after, lasts time.Duration
	inject       func(ctx context.Context)
}

// linkTroubles are those that only real links and processes have; the others are the
// faults of the simulation.
var linkTroubles = []struct {
	name  string
	apply func(r *run, target uint64, on bool)
}{
	{"store_link_reset", func(r *run, target uint64, on bool) {
		r.nodeAt(target).store.set(func(state *linkState) { state.reset = on })
	}},
	{"store_link_delayed", func(r *run, target uint64, on bool) {
		r.nodeAt(target).store.set(func(state *linkState) { state.delay = delayWhile(on) })
	}},
	{"store_answers_held", func(r *run, target uint64, on bool) {
		r.nodeAt(target).store.set(func(state *linkState) { state.holdBack = on })
	}},
	{"callers_link_reset", func(r *run, target uint64, on bool) {
		r.nodeAt(target).callers.set(func(state *linkState) { state.reset = on })
	}},
	{"sampler_link_delayed", func(r *run, target uint64, on bool) {
		r.samplerAt(target).set(func(state *linkState) { state.delay = delayWhile(on) })
	}},
	{"sampler_answers_held", func(r *run, target uint64, on bool) {
		r.samplerAt(target).set(func(state *linkState) { state.holdBack = on })
	}},
	{"settings_signal", func(r *run, target uint64, on bool) {
		if process := r.nodeAt(target).process; on && process != nil {
			process.signal(syscall.SIGHUP)
		}
	}},
}

// linkDelay is what a delayed link adds to each piece that passes.
const linkDelay = 40 * time.Millisecond

func delayWhile(on bool) time.Duration {
	if on {
		return linkDelay
	}
	return 0
}

// draw returns the troubles of one round. Half are those of links and processes.
func (r *run) draw(random *rand.Rand) []trouble {
	var drawn []trouble
	for range troublesPerRound {
		after := time.Duration(random.Int64N(int64(roundTrouble / 2)))
		lasts := time.Second + time.Duration(random.Int64N(int64(roundTrouble/2)))
		target := random.Uint64()
		if random.IntN(2) == 0 {
			chosen := linkTroubles[random.IntN(len(linkTroubles))]
			drawn = append(drawn, trouble{name: chosen.name, after: after, lasts: lasts, inject: func(ctx context.Context) {
				r.world.Truth.Disturb("", time.Now().Add(lasts))
				chosen.apply(r, target, true)
				wait.For(ctx, lasts)
				chosen.apply(r, target, false)
				r.world.Healed()
			}})
			continue
		}
		fault := platformsim.Fault{Kind: platformsim.AnyKind(random), For: lasts, Target: target}
		drawn = append(drawn, trouble{name: fault.Kind.String(), after: after, lasts: lasts, inject: func(context.Context) {
			r.world.Truth.Disturb("", time.Now().Add(lasts))
			r.world.Inject(fault)
			r.world.Healed()
		}})
	}
	return drawn
}

func (t trouble) String() string { return fmt.Sprintf("%s after %v for %v", t.name, t.after, t.lasts) }
