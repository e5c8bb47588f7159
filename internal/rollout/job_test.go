package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pathbend/pathbend/internal/delivery"
)

var baseTime = time.Unix(1000, 0)

func testPolicy(maxVersions uint64) Policy {
	return Policy{
		Freshness:             delivery.FreshnessLimit{MaxVersions: maxVersions, MaxAge: time.Minute},
		MaxConcurrentAttempts: 4, CarryOver: true, HedgeAfter: 5 * time.Second,
	}
}

func testSpec(samples int) Spec {
	return Spec{JobID: "job", Model: "m", TrainerVersion: 1, Prompts: []Prompt{{Prompt: "p", Samples: samples, MaxTokens: 8}}}
}

func finish(j *Job, s AttemptRequest, version uint64) {
	j.AddTokens(baseTime, s.Slot, s.Attempt, []string{"a"}, version)
	j.CompleteAttempt(baseTime, s.Slot, s.Attempt, "stop")
}

func TestSlotIsDeliveredUntilTheCursorHoldsIt(t *testing.T) {
	job := NewJob(testSpec(2), testPolicy(1), baseTime)
	requests := job.StartAttempts(baseTime)
	require.Len(t, requests, 2)
	finish(job, requests[0], 1)
	for range 2 {
		answer := job.Pull(baseTime, Pull{TrainerVersion: 1})
		require.Len(t, answer.Samples, 1)
		require.Equal(t, 1, answer.Remaining)
	}
	answer := job.Pull(baseTime, Pull{TrainerVersion: 1, Held: delivery.Cursor{{From: 0, To: 1}}})
	require.Empty(t, answer.Samples)
	require.Equal(t, 1, job.Remaining())
}

func TestStaleSamplesAreRegenerated(t *testing.T) {
	job := NewJob(testSpec(1), testPolicy(1), baseTime)
	finish(job, job.StartAttempts(baseTime)[0], 1)
	require.Len(t, job.Pull(baseTime, Pull{TrainerVersion: 2}).Samples, 1)
	require.Empty(t, job.Pull(baseTime, Pull{TrainerVersion: 3}).Samples)
	restarted := job.StartAttempts(baseTime)
	require.Len(t, restarted, 1)
	require.Equal(t, uint64(2), restarted[0].MinVersion)
	finish(job, restarted[0], 2)
	require.Empty(t, job.Pull(baseTime.Add(time.Minute), Pull{TrainerVersion: 3}).Samples, "the sample exceeds the maximum age")
}

func TestFailedAttemptIsResumedWithItsSegments(t *testing.T) {
	job := NewJob(testSpec(1), testPolicy(5), baseTime)
	first := job.StartAttempts(baseTime)[0]
	job.AddTokens(baseTime, 0, first.Attempt, []string{"a", "b"}, 3)
	job.FailAttempt(baseTime, 0, first.Attempt)
	require.Empty(t, job.StartAttempts(baseTime), "a failed slot is not retried before the retry delay")
	second := job.StartAttempts(baseTime.Add(retryDelay))[0]
	require.Equal(t, []string{"a", "b"}, second.Resume)
	job.AddTokens(baseTime, 0, second.Attempt, []string{"c"}, 4)
	job.CompleteAttempt(baseTime, 0, second.Attempt, "stop")
	sample := job.Pull(baseTime, Pull{TrainerVersion: 4}).Samples[0]
	require.Equal(t, []delivery.Segment{{From: 0, To: 2, Version: 3}, {From: 2, To: 3, Version: 4}}, sample.Segments)
	require.Equal(t, uint64(8), sample.MaxTrainerVersion)
}

func TestFinishedHedgeCancelsTheOtherAttempt(t *testing.T) {
	job := NewJob(testSpec(1), testPolicy(1), baseTime)
	first := job.StartAttempts(baseTime)[0]
	job.SetEngine(0, first.Attempt, "engine-1")
	later := baseTime.Add(5 * time.Second)
	hedge := job.StartAttempts(later)
	require.Len(t, hedge, 1)
	require.Equal(t, []string{"engine-1"}, hedge[0].Exclude)
	finish(job, hedge[0], 1)
	require.Equal(t, []string{first.Attempt}, job.TakeCancelled())
	require.False(t, job.AddTokens(later, 0, first.Attempt, []string{"x"}, 1))
	require.Zero(t, job.Running())
}

func TestHandoverKeepsFinishedAndPartialSamples(t *testing.T) {
	job := NewJob(testSpec(3), testPolicy(1), baseTime)
	requests := job.StartAttempts(baseTime)
	finish(job, requests[0], 1)
	job.AddTokens(baseTime, 1, requests[1].Attempt, []string{"half"}, 1)
	imported := Import(job.Export("shop", baseTime), testPolicy(1), baseTime)
	require.Len(t, imported.Pull(baseTime, Pull{TrainerVersion: 1}).Samples, 1)
	resumed := imported.StartAttempts(baseTime)
	require.Len(t, resumed, 2)
	require.Equal(t, []string{"half"}, resumed[0].Resume)
}

// TestEverySlotIsDeliveredOnceAndFresh lets attempts progress, fail and finish, answers
// get lost and the versions of engine and trainer increase in any order.
func TestEverySlotIsDeliveredOnceAndFresh(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		samples := rapid.IntRange(1, 6).Draw(t, "samples")
		policy := testPolicy(rapid.Uint64Range(0, 2).Draw(t, "bound"))
		job := NewJob(testSpec(samples), policy, baseTime)
		now, engineVersion, trainerVersion := baseTime, uint64(1), uint64(1)
		running := map[string]AttemptRequest{}
		produced := map[string][]uint64{} // the version of each token, by attempt
		var held delivery.Cursor
		delivered := map[int]bool{}
		for step := 0; held.Count() < samples; step++ {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "gap")) * time.Millisecond)
			action := rapid.IntRange(0, 5).Draw(t, "action")
			if step > 400 {
				action = 4 // from here on only finish attempts and pull, so that the run ends
			}
			for _, request := range job.StartAttempts(now) {
				running[request.Attempt] = request
				require.False(t, delivered[request.Slot], "a held slot was started")
				if len(request.Resume) == 0 {
					produced[request.Attempt] = nil
				}
				for range request.Resume {
					produced[request.Attempt] = append(produced[request.Attempt], 0) // generated by an earlier attempt
				}
			}
			for _, id := range job.TakeCancelled() {
				delete(running, id)
			}
			for id, request := range running {
				switch action {
				case 0, 1, 4:
					job.AddTokens(now, request.Slot, id, []string{"t"}, engineVersion)
					produced[id] = append(produced[id], engineVersion)
				case 2:
					job.FailAttempt(now, request.Slot, id)
					delete(running, id)
				}
				if action == 4 {
					job.CompleteAttempt(now, request.Slot, id, "stop")
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
			answerLost := step <= 400 && rapid.Bool().Draw(t, "answer lost")
			for _, sample := range answer.Samples {
				oldest := delivery.OldestVersion(sample.Segments)
				require.GreaterOrEqual(t, oldest+policy.Freshness.MaxVersions, trainerVersion)
				requireProducedVersions(t, sample, produced[sample.Attempt])
				require.False(t, delivered[sample.Slot], "a held slot was delivered")
				if !answerLost {
					delivered[sample.Slot] = true
					held = held.Add(sample.Slot)
				}
			}
		}
		require.Len(t, delivered, samples)
		require.Zero(t, job.Pull(now, Pull{TrainerVersion: trainerVersion, Held: held}).Remaining)
	})
}

func requireProducedVersions(t *rapid.T, sample DeliveredSample, produced []uint64) {
	require.Equal(t, len(produced), len(sample.Tokens), fmt.Sprint(sample))
	for _, segment := range sample.Segments {
		for at := segment.From; at < segment.To; at++ {
			if produced[at] != 0 {
				require.Equal(t, produced[at], segment.Version)
			}
		}
	}
}
