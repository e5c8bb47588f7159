package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
)

func itemOf(expectedTokens, events uint64) *item {
	return &item{spec: &pathbendv1.BatchItem{ExpectedTokens: expectedTokens}, Text: Text{events: events}}
}

func TestEstimatorLearnsTokensPerEvent(t *testing.T) {
	for _, tokensPerEvent := range []uint64{33, 99} {
		estimator := newLengthEstimator()
		require.InDelta(t, 20, estimator.remainingEvents(itemOf(20*initialTokensPerEvent, 0)), 0.001)
		for range 100 {
			estimator.observe(20*tokensPerEvent, 20)
			estimator.observe(0, 20)
		}
		require.InDelta(t, 20, estimator.remainingEvents(itemOf(20*tokensPerEvent, 0)), 2, "%d tokens per event", tokensPerEvent)
	}
}

func TestItemPastItsEstimateHasRemainingEvents(t *testing.T) {
	estimator := newLengthEstimator()
	require.InDelta(t, 30, estimator.remainingEvents(itemOf(100*initialTokensPerEvent, 70)), 0.001)
	require.InDelta(t, minRemainingRatio*200, estimator.remainingEvents(itemOf(100*initialTokensPerEvent, 200)), 0.001)
	require.InDelta(t, 1, estimator.remainingEvents(itemOf(0, 0)), 0.001)
}

// Guards against a long item that stays at a sampler that became slow, because the item is
// considered nearly done. With 45 tokens assumed per event instead of the actual 33, an item
// of 235 events stayed at a sampler four times as slow as before. Its step took 8.6 s, so that
// one step fewer completed within the test period.
func TestLongItemPastItsEstimateMovesFromASlowSampler(t *testing.T) {
	h := newHarness(t, sampler("slow", 1, 1))
	h.addJob(h.newJob("j", 1, "g:900"), policy(time.Second), storedTexts{})
	start := h.starts()[0]
	for id := uint64(1); id <= 60; id++ {
		h.now = h.now.Add(100 * time.Millisecond)
		require.True(t, h.scheduler.Progress(start.Key, start.Run, Event{ID: id, Version: 1, Data: []byte("x")}, h.now))
	}
	h.scheduler.fleetPace = initialPace
	h.scheduler.SetSamplers([]Sampler{sampler("slow", 1, 1), sampler("fit", 1, 1)}, h.now)
	moves := h.scheduler.Moves(h.now)
	require.Len(t, moves, 1)
	require.Equal(t, "slow", moves[0].Reason)
}
