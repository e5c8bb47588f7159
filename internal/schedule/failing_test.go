package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// One of twelve samplers answered 500 to everything and was free again at once, so that
// it took 774 of the runs of its time, and 556 items were dead after three of them
// (scale-1 of the shifted deployment).
func TestFailingSamplerTakesFewItemsAndKillsNone(t *testing.T) {
	var samplers []Sampler
	for i := range 6 {
		samplers = append(samplers, sampler(fmt.Sprintf("s%d", i), 2, 1))
	}
	b := newBench(t, samplers...)
	words := make([]string, 60)
	for i := range words {
		words[i] = fmt.Sprintf("g%d:10", i)
	}
	b.addJob(b.jobOf("j", 1, words...), policy(9*time.Second), kept{})
	failures, finished, dead := 0, 0, 0
	var running []Start
	for range 2000 {
		running = append(running, b.starts()...)
		b.now = b.now.Add(10 * time.Millisecond)
		var left []Start
		for _, start := range running {
			switch {
			case start.Sampler.ID == "s0":
				failures++
				if b.s.RunEnded(start.Key, start.Run, Failed, b.now).Dead {
					dead++
				}
			case b.now.Sub(began)%(300*time.Millisecond) == 0:
				require.True(t, b.s.Progress(start.Key, start.Run, Event{ID: 1, Version: 1}, b.now))
				require.NotNil(t, b.s.RunEnded(start.Key, start.Run, Complete, b.now).Finished)
				finished++
			default:
				left = append(left, start)
			}
		}
		running = left
	}
	require.Zero(t, dead)
	require.Equal(t, len(words), finished)
	require.LessOrEqual(t, failures, 12)
}

// The fault may be the sampler's: while others could run the item, failures at one alone
// end it later, and at the latest after twice their number.
func TestItemIsGivenUpOnceEnoughSamplersFailedIt(t *testing.T) {
	for _, one := range []struct {
		name    string
		busy    bool
		expects int
	}{{"at three samplers in turn", false, 3}, {"at one while the others are full", true, 3 * doubtfulFailures}} {
		b := newBench(t, sampler("a", 1, 1), sampler("b", 1, 1), sampler("c", 1, 1))
		b.addJob(b.jobOf("j", 1, "g:1"), policy(time.Second), kept{})
		if one.busy {
			b.s.samplers["b"].running, b.s.samplers["c"].running = 1, 1
		}
		for failure := 1; ; failure++ {
			b.now = b.now.Add(10 * time.Second)
			starts := b.starts()
			require.Len(t, starts, 1, one.name)
			if b.s.RunEnded(starts[0].Key, starts[0].Run, Failed, b.now).Dead {
				require.Equal(t, one.expects, failure, one.name)
				break
			}
		}
	}
}

func TestFailedItemPrefersASamplerThatDidNotFailIt(t *testing.T) {
	b := newBench(t, sampler("a", 1, 1), sampler("b", 1, 1))
	b.addJob(b.jobOf("j", 1, "g:1"), policy(time.Second), kept{})
	first := b.starts()[0]
	b.s.RunEnded(first.Key, first.Run, Failed, b.now)
	b.now = b.now.Add(10 * time.Second)
	second := b.starts()[0]
	require.NotEqual(t, first.Sampler.ID, second.Sampler.ID)
	b.s.RunEnded(second.Key, second.Run, Failed, b.now)
	b.now = b.now.Add(10 * time.Second)
	require.Len(t, b.starts(), 1, "both failed it: either is tried again")
}
