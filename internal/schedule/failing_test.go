package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a sampler that fails all requests at once and therefore always has free
// slots: one of twelve samplers that answered everything with status 500 took 774 runs, and
// 556 items were given up after three failures each.
func TestFailingSamplerTakesFewItemsAndNoItemIsGivenUp(t *testing.T) {
	var samplers []Sampler
	for i := range 6 {
		samplers = append(samplers, sampler(fmt.Sprintf("s%d", i), 2, 1))
	}
	h := newHarness(t, samplers...)
	itemSpecs := make([]string, 60)
	for i := range itemSpecs {
		itemSpecs[i] = fmt.Sprintf("g%d:10", i)
	}
	h.addJob(h.newJob("j", 1, itemSpecs...), policy(9*time.Second), storedTexts{})
	failures, finished, dead := 0, 0, 0
	var running []Start
	for range 2000 {
		running = append(running, h.starts()...)
		h.now = h.now.Add(10 * time.Millisecond)
		var left []Start
		for _, start := range running {
			switch {
			case start.Sampler.ID == "s0":
				failures++
				if h.scheduler.RunEnded(start.Key, start.Run, Failed, h.now).Dead {
					dead++
				}
			case h.now.Sub(startTime)%(300*time.Millisecond) == 0:
				require.True(t, h.scheduler.Progress(start.Key, start.Run, Event{ID: 1, Version: 1}, h.now))
				require.NotNil(t, h.scheduler.RunEnded(start.Key, start.Run, Complete, h.now).Finished)
				finished++
			default:
				left = append(left, start)
			}
		}
		running = left
	}
	require.Zero(t, dead)
	require.Equal(t, len(itemSpecs), finished)
	require.LessOrEqual(t, failures, 12)
}

// The sampler may be at fault: while other samplers could run the item, failures at a single
// one do not end it at MaxFailures, but at maxFailuresFactor times that number.
func TestItemIsGivenUpOnceEnoughSamplersFailed(t *testing.T) {
	for _, test := range []struct {
		name         string
		busy         bool
		wantFailures int
	}{{"at three samplers in turn", false, 3}, {"at one while the others are full", true, 3 * maxFailuresFactor}} {
		h := newHarness(t, sampler("a", 1, 1), sampler("b", 1, 1), sampler("c", 1, 1))
		h.addJob(h.newJob("j", 1, "g:1"), policy(time.Second), storedTexts{})
		if test.busy {
			h.scheduler.samplers["b"].running, h.scheduler.samplers["c"].running = 1, 1
		}
		for failure := 1; ; failure++ {
			h.now = h.now.Add(10 * time.Second)
			starts := h.starts()
			require.Len(t, starts, 1, test.name)
			if h.scheduler.RunEnded(starts[0].Key, starts[0].Run, Failed, h.now).Dead {
				require.Equal(t, test.wantFailures, failure, test.name)
				break
			}
		}
	}
}

func TestFailedItemPrefersASamplerThatDidNotFailIt(t *testing.T) {
	h := newHarness(t, sampler("a", 1, 1), sampler("b", 1, 1))
	h.addJob(h.newJob("j", 1, "g:1"), policy(time.Second), storedTexts{})
	first := h.starts()[0]
	h.scheduler.RunEnded(first.Key, first.Run, Failed, h.now)
	h.now = h.now.Add(10 * time.Second)
	second := h.starts()[0]
	require.NotEqual(t, first.Sampler.ID, second.Sampler.ID)
	h.scheduler.RunEnded(second.Key, second.Run, Failed, h.now)
	h.now = h.now.Add(10 * time.Second)
	require.Len(t, h.starts(), 1, "both failed it, so either is tried again")
}
