package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/coldlimit"
)

const (
	coldLimit = 3
	warmLimit = 12
)

var testLimits = map[string]coldlimit.Limits{"llm": {ColdDuration: 3 * time.Second, ColdPerSecond: coldLimit, WarmPerSecond: warmLimit}}

func coldSampler(id string, coldRemaining time.Duration) Sampler {
	cold := sampler(id, 8, 1)
	cold.ColdRemaining = coldRemaining
	return cold
}

// newColdHarness returns a harness whose samplers may be cold, with a job of many items.
func newColdHarness(t *testing.T, samplers ...Sampler) *harness {
	t.Helper()
	h := newHarness(t)
	h.scheduler.SetLimits(testLimits)
	h.scheduler.SetSamplers(samplers, h.now)
	itemSpecs := make([]string, 60)
	for i := range itemSpecs {
		itemSpecs[i] = fmt.Sprintf("g%d:10", i)
	}
	h.addJob(h.newJob("j", 1, itemSpecs...), policy(10*time.Second), storedTexts{})
	return h
}

func startsAt(starts []Start, id string) int {
	count := 0
	for _, start := range starts {
		if start.Sampler.ID == id {
			count++
		}
	}
	return count
}

// end ends runs. This frees their slots, but does not return their share of the budget.
func (h *harness) end(starts []Start, ending Ending) {
	for _, start := range starts {
		h.scheduler.RunEnded(start.Key, start.Run, ending, h.now)
	}
}

func TestWarmSamplersGetWorkFirst(t *testing.T) {
	h := newColdHarness(t, coldSampler("cold", 2*time.Second), coldSampler("warm", 0))
	starts := h.starts()
	require.Equal(t, 8, startsAt(starts, "warm"))
	require.Equal(t, coldLimit, startsAt(starts, "cold"))
	require.Equal(t, "warm", starts[7].Sampler.ID)
	require.Equal(t, "cold", starts[8].Sampler.ID)
}

func TestRefusedRequestsCountAgainstTheBudget(t *testing.T) {
	h := newColdHarness(t, coldSampler("cold", 2*time.Second))
	h.end(h.starts(), Refused)
	h.now = h.now.Add(900 * time.Millisecond)
	require.Empty(t, h.starts())
	h.now = h.now.Add(101 * time.Millisecond)
	require.Len(t, h.starts(), coldLimit)
}

func TestWarmZonesTakeTheWorkOfAColdZone(t *testing.T) {
	h := newColdHarness(t, coldSampler("a1", 2*time.Second), coldSampler("a2", 2*time.Second), coldSampler("b1", 0), coldSampler("b2", 0))
	starts := h.starts()
	require.Equal(t, 2*8, startsAt(starts, "b1")+startsAt(starts, "b2"))
	require.Equal(t, 2*coldLimit, startsAt(starts, "a1")+startsAt(starts, "a2"))
}

func TestColdSamplersServeUpToTheirBudgets(t *testing.T) {
	h := newColdHarness(t, coldSampler("a", 2*time.Second), coldSampler("b", 2*time.Second))
	require.Len(t, h.starts(), 2*coldLimit)
	require.Empty(t, h.starts())
}

func TestSamplerThatTurnsColdDuringRunsGetsNoMoreWork(t *testing.T) {
	h := newColdHarness(t, coldSampler("s", 0))
	starts := h.starts()
	require.Len(t, starts, 8)
	h.scheduler.SetSamplers([]Sampler{coldSampler("s", 3*time.Second)}, h.now)
	require.True(t, h.sendEvents(starts[0], 1, 1, 1))
	h.end(starts, Complete)
	require.Empty(t, h.starts())
}

// A new executor does not know what the previous one sent. The requests of both together
// must stay within the limit.
func TestTakeoverStaysWithinTheRequestLimit(t *testing.T) {
	const perSecond, overshoot, burst = 7.8, 1.5, 5.0
	limits := map[string]coldlimit.Limits{"llm": coldlimit.NewLimits(3*time.Second, perSecond, overshoot, burst)}
	sent := 0
	for range 2 {
		h := newColdHarness(t, coldSampler("s", 0))
		h.scheduler.SetLimits(limits)
		for range 10 {
			starts := h.starts()
			sent += len(starts)
			for _, start := range starts {
				require.True(t, h.sendEvents(start, 1, 1, 1))
			}
			h.end(starts, Complete)
		}
	}
	require.LessOrEqual(t, float64(sent), perSecond*overshoot+burst)
}

func TestSamplerWithLostConnectionIsTreatedAsCold(t *testing.T) {
	h := newColdHarness(t, coldSampler("s", 0))
	h.end(h.starts()[:1], Broken)
	h.now = h.now.Add(1500 * time.Millisecond)
	h.scheduler.Moves(h.now)
	h.now = h.now.Add(600 * time.Millisecond)
	require.Len(t, h.starts(), 1, "seven runs continue; one slot is free")
	require.True(t, h.scheduler.samplers["s"].budget.Cold(h.now))
}

// A refusal shows that the sampler is alive, so it is no sign of a restart. Many refusals
// with status 421 occur at each new version, because the sampler serves other weights.
func TestRefusingSamplerIsNotTreatedAsCold(t *testing.T) {
	h := newColdHarness(t, coldSampler("s", 0))
	starts := h.starts()
	h.end(starts[:1], Refused)
	h.end(starts[1:2], Failed)
	require.False(t, h.scheduler.samplers["s"].budget.Cold(h.now))
}

func TestNewSamplerIsTreatedAsCold(t *testing.T) {
	h := newColdHarness(t, coldSampler("old", 0))
	h.scheduler.SetSamplers([]Sampler{coldSampler("old", 0), coldSampler("new", 0)}, h.now)
	require.Equal(t, coldLimit, startsAt(h.starts(), "new"))
}

func TestNoItemMovesToAColdSampler(t *testing.T) {
	h := newColdHarness(t, coldSampler("slow", 0))
	start := h.starts()[0]
	for id := uint64(1); id <= 12; id++ {
		h.now = h.now.Add(500 * time.Millisecond)
		require.True(t, h.scheduler.Progress(start.Key, start.Run, Event{ID: id, Version: 1}, h.now))
	}
	entry, cold := h.scheduler.items[start.Key], coldSampler("fit", 3*time.Second)
	h.scheduler.SetSamplers([]Sampler{coldSampler("slow", 0), cold}, h.now)
	require.False(t, h.scheduler.moveSavesTime(entry, h.scheduler.samplers["fit"], h.scheduler.currentFastPace(h.now), h.now))
	h.now = h.now.Add(3 * time.Second)
	require.True(t, h.scheduler.moveSavesTime(entry, h.scheduler.samplers["fit"], h.scheduler.currentFastPace(h.now), h.now))
}

// Samplers of an evacuated zone may have turned cold shortly before the evacuation ends.
func TestZoneIsTreatedAsColdAfterItsEvacuation(t *testing.T) {
	h := newColdHarness(t, coldSampler("s", 0))
	h.scheduler.SetEvacuatedZones(evacuated(""), h.now)
	require.Empty(t, h.starts())
	h.now = h.now.Add(time.Minute)
	h.scheduler.SetEvacuatedZones(evacuated(), h.now)
	require.Len(t, h.starts(), coldLimit)
}
