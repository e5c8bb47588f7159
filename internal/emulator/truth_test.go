package emulator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/client"
)

func sampleOf(segments []client.Segment, versions ...uint64) *client.Sample {
	sample := &client.Sample{Segments: segments}
	for i, version := range versions {
		sample.Tokens = append(sample.Tokens, tokenText(i, version))
	}
	return sample
}

// TestTruthCatchesEachBrokenPromise breaks one promise at a time.
func TestTruthCatchesEachBrokenPromise(t *testing.T) {
	notRun := &client.Error{Code: 2001, Run: client.NotRun}
	run := Execution{BackEnd: "b", Caller: "c", At: time.Now()}
	cases := map[string]struct {
		act  func(*Truth)
		want string
	}{
		"wrong version": {func(truth *Truth) {
			truth.Received("shop", sampleOf([]client.Segment{{To: 2, Version: 4}}, 4, 5), 4, 1)
		}, "names version 4, version 5 made it"},
		"missing version": {func(truth *Truth) {
			truth.Received("shop", sampleOf([]client.Segment{{To: 1, Version: 4}}, 4, 4), 4, 1)
		}, "names versions for 1 of 2 tokens"},
		"stale": {func(truth *Truth) {
			truth.Received("shop", sampleOf([]client.Segment{{To: 1, Version: 4}}, 4), 6, 1)
		}, "the bound is 1"},
		"run twice": {func(truth *Truth) {
			truth.Executed(run)
			truth.Executed(run)
			truth.Answered(Outcome{Caller: "c", AtMostOnce: true})
		}, "ran 2 times"},
		"said not run": {func(truth *Truth) {
			truth.Executed(run)
			truth.Answered(Outcome{Caller: "c", Err: notRun})
		}, "was said not to have run"},
		"another's answer": {func(truth *Truth) {
			truth.Executed(run)
			truth.Answered(Outcome{Caller: "c", Body: "other", Want: "own"})
		}, `got "other" for "own"`},
		"answer from nowhere": {func(truth *Truth) {
			truth.Answered(Outcome{Caller: "c"})
		}, "was answered and never ran"},
		"work for a leaver": {func(truth *Truth) {
			truth.Leaving("b", run.At.Add(-LeaveLimit-time.Second))
			truth.Executed(run)
			truth.Answered(Outcome{Caller: "c"})
		}, "after it began to leave"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			truth := NewTruth()
			test.act(truth)
			found := truth.Judge()
			require.Len(t, found, 1)
			require.Contains(t, found[0], test.want)
		})
	}
}

func TestTruthAcceptsWhatIsRight(t *testing.T) {
	truth := NewTruth()
	truth.Executed(Execution{BackEnd: "b", Caller: "c", At: time.Now()})
	truth.Answered(Outcome{Caller: "c", AtMostOnce: true, Body: "own", Want: "own"})
	truth.Answered(Outcome{Caller: "d", Err: &client.Error{Run: client.NotRun}})
	truth.Received("shop", sampleOf([]client.Segment{{To: 1, Version: 4}, {From: 1, To: 2, Version: 5}}, 4, 5), 5, 1)
	require.Empty(t, truth.Judge())
	require.Equal(t, []uint64{1}, truth.Summary().Staleness["shop"])
}
