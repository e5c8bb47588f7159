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

func TestTokensOfAnEventAreLearned(t *testing.T) {
	for _, tokensPerEvent := range []uint64{33, 99} {
		learned := newLengths()
		require.InDelta(t, 20, learned.remaining(itemOf(20*assumedTokensPerEvent, 0)), 0.001)
		for range 100 {
			learned.note(20*tokensPerEvent, 20)
			learned.note(0, 20)
		}
		require.InDelta(t, 20, learned.remaining(itemOf(20*tokensPerEvent, 0)), 2, "%d tokens an event", tokensPerEvent)
	}
}

func TestItemPastItsGuessIsExpectedToGoOn(t *testing.T) {
	learned := newLengths()
	require.InDelta(t, 30, learned.remaining(itemOf(100*assumedTokensPerEvent, 70)), 0.001)
	require.InDelta(t, overrun*200, learned.remaining(itemOf(100*assumedTokensPerEvent, 200)), 0.001)
	require.InDelta(t, 1, learned.remaining(itemOf(0, 0)), 0.001)
}

// An item of 235 events stayed at a sampler that turned four times as slow, since 45
// tokens an event were assumed where there were 33: by that it was nearly done. Its
// step took 8.6 s, and the day ended one step short.
func TestLongItemLeavesASlowSamplerAlsoPastItsGuess(t *testing.T) {
	b := newBench(t, sampler("slow", 1, 1))
	b.addJob(b.jobOf("j", 1, "g:900"), policy(time.Second), kept{})
	start := b.starts()[0]
	for id := uint64(1); id <= 60; id++ {
		b.now = b.now.Add(100 * time.Millisecond)
		require.True(t, b.s.Progress(start.Key, start.Run, Event{ID: id, Version: 1, Data: []byte("x")}, b.now))
	}
	b.s.fleetPace = initialPace
	b.s.Samplers([]Sampler{sampler("slow", 1, 1), sampler("fit", 1, 1)}, b.now)
	moves := b.s.Moves(b.now)
	require.Len(t, moves, 1)
	require.Equal(t, "slow", moves[0].Reason)
}
