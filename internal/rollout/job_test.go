package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pathbend/pathbend/internal/delivery"
)

var start = time.Unix(1000, 0)

func policyOf(maxVersions uint64) Policy {
	return Policy{
		Bound:      delivery.Bound{MaxVersions: maxVersions, MaxAge: time.Minute},
		Concurrent: 4, CarryOver: true, HedgeAfter: 5 * time.Second,
	}
}

func specOf(samples int) Spec {
	return Spec{JobID: "job", Model: "m", TrainerVersion: 1, Prompts: []Prompt{{Prompt: "p", Samples: samples, MaxTokens: 8}}}
}

func finish(j *Job, s Start, version uint64) {
	j.Progress(start, s.Slot, s.Attempt, []string{"a"}, version)
	j.Finished(start, s.Slot, s.Attempt, "stop")
}

func TestSlotIsDeliveredUntilTheCursorHoldsIt(t *testing.T) {
	job := NewJob(specOf(2), policyOf(1), start)
	starts := job.Starts(start)
	require.Len(t, starts, 2)
	finish(job, starts[0], 1)
	for range 2 {
		answer := job.Pull(start, Pull{TrainerVersion: 1})
		require.Len(t, answer.Samples, 1)
		require.Equal(t, 1, answer.Remaining)
	}
	answer := job.Pull(start, Pull{TrainerVersion: 1, Held: delivery.Cursor{{From: 0, To: 1}}})
	require.Empty(t, answer.Samples)
	require.Equal(t, 1, job.Remaining())
}

func TestStaleSamplesAreMadeAnew(t *testing.T) {
	job := NewJob(specOf(1), policyOf(1), start)
	finish(job, job.Starts(start)[0], 1)
	require.Len(t, job.Pull(start, Pull{TrainerVersion: 2}).Samples, 1)
	require.Empty(t, job.Pull(start, Pull{TrainerVersion: 3}).Samples)
	again := job.Starts(start)
	require.Len(t, again, 1)
	require.Equal(t, uint64(2), again[0].MinVersion)
	finish(job, again[0], 2)
	require.Empty(t, job.Pull(start.Add(time.Minute), Pull{TrainerVersion: 3}).Samples, "too old by time")
}

func TestBrokenAttemptResumesWithItsSegments(t *testing.T) {
	job := NewJob(specOf(1), policyOf(5), start)
	first := job.Starts(start)[0]
	job.Progress(start, 0, first.Attempt, []string{"a", "b"}, 3)
	job.Failed(start, 0, first.Attempt)
	require.Empty(t, job.Starts(start), "a failed slot rests first")
	second := job.Starts(start.Add(retryPause))[0]
	require.Equal(t, []string{"a", "b"}, second.Resume)
	job.Progress(start, 0, second.Attempt, []string{"c"}, 4)
	job.Finished(start, 0, second.Attempt, "stop")
	sample := job.Pull(start, Pull{TrainerVersion: 4}).Samples[0]
	require.Equal(t, []delivery.Segment{{From: 0, To: 2, Version: 3}, {From: 2, To: 3, Version: 4}}, sample.Segments)
	require.Equal(t, uint64(8), sample.MaxTrainerVersion)
}

func TestHedgeRunsBesideAndTheLoserIsCancelled(t *testing.T) {
	job := NewJob(specOf(1), policyOf(1), start)
	first := job.Starts(start)[0]
	job.Placed(0, first.Attempt, "engine-1")
	later := start.Add(5 * time.Second)
	hedge := job.Starts(later)
	require.Len(t, hedge, 1)
	require.Equal(t, []string{"engine-1"}, hedge[0].Exclude)
	finish(job, hedge[0], 1)
	require.Equal(t, []string{first.Attempt}, job.TakeCancelled())
	require.False(t, job.Progress(later, 0, first.Attempt, []string{"x"}, 1))
	require.Zero(t, job.Running())
}

func TestHandoverKeepsFinishedAndPartialSamples(t *testing.T) {
	job := NewJob(specOf(3), policyOf(1), start)
	starts := job.Starts(start)
	finish(job, starts[0], 1)
	job.Progress(start, 1, starts[1].Attempt, []string{"half"}, 1)
	moved := Import(job.Export("shop", start), policyOf(1), start)
	require.Len(t, moved.Pull(start, Pull{TrainerVersion: 1}).Samples, 1)
	resumed := moved.Starts(start)
	require.Len(t, resumed, 2)
	require.Equal(t, []string{"half"}, resumed[0].Resume)
}

// TestTrainerGetsEverySlotOnceAndFresh lets attempts progress, break and
// finish, answers get lost and the trainer's version move in any order.
func TestTrainerGetsEverySlotOnceAndFresh(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		samples := rapid.IntRange(1, 6).Draw(t, "samples")
		policy := policyOf(rapid.Uint64Range(0, 2).Draw(t, "bound"))
		job := NewJob(specOf(samples), policy, start)
		now, engineVersion, trainerVersion := start, uint64(1), uint64(1)
		running := map[string]Start{}
		produced := map[string][]uint64{} // by attempt, the version of each token
		var held delivery.Cursor
		got := map[int]bool{}
		for step := 0; held.Count() < samples; step++ {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "gap")) * time.Millisecond)
			action := rapid.IntRange(0, 5).Draw(t, "action")
			if step > 400 {
				action = 4 // settle: only finish and pull
			}
			for _, begun := range job.Starts(now) {
				running[begun.Attempt] = begun
				require.False(t, got[begun.Slot], "a held slot was started")
				if len(begun.Resume) == 0 {
					produced[begun.Attempt] = nil
				}
				for range begun.Resume {
					produced[begun.Attempt] = append(produced[begun.Attempt], 0) // from an earlier attempt
				}
			}
			for _, id := range job.TakeCancelled() {
				delete(running, id)
			}
			for id, begun := range running {
				switch action {
				case 0, 1, 4:
					job.Progress(now, begun.Slot, id, []string{"t"}, engineVersion)
					produced[id] = append(produced[id], engineVersion)
				case 2:
					job.Failed(now, begun.Slot, id)
					delete(running, id)
				}
				if action == 4 {
					job.Finished(now, begun.Slot, id, "stop")
					delete(running, id)
				}
			}
			if action == 3 {
				engineVersion++
			}
			if action == 5 && trainerVersion < engineVersion {
				trainerVersion++
			}
			answer := job.Pull(now, Pull{TrainerVersion: trainerVersion, Held: held})
			lost := step <= 400 && rapid.Bool().Draw(t, "answer lost")
			for _, sample := range answer.Samples {
				oldest := delivery.OldestVersion(sample.Segments)
				require.GreaterOrEqual(t, oldest+policy.Bound.MaxVersions, trainerVersion)
				requireTrueVersions(t, sample, produced[sample.Attempt])
				require.False(t, got[sample.Slot], "a held slot was delivered")
				if !lost {
					got[sample.Slot] = true
					held = held.Add(sample.Slot)
				}
			}
		}
		require.Len(t, got, samples)
		require.Zero(t, job.Pull(now, Pull{TrainerVersion: trainerVersion, Held: held}).Remaining)
	})
}

func requireTrueVersions(t *rapid.T, sample Delivered, produced []uint64) {
	require.Equal(t, len(produced), len(sample.Tokens), fmt.Sprint(sample))
	for _, segment := range sample.Segments {
		for at := segment.From; at < segment.To; at++ {
			if produced[at] != 0 {
				require.Equal(t, produced[at], segment.Version)
			}
		}
	}
}
