package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pathbend/pathbend/internal/result"
)

var (
	start      = time.Unix(1000, 0)
	testLimits = Limits{RequestsPerSecond: 1000, Burst: 1000, Concurrent: 2, QueueLength: 2}
)

func TestRateLimitSuggestsRetryWhenNextTokenIsAvailable(t *testing.T) {
	controller := NewController(Limits{RequestsPerSecond: 2, Burst: 1, Concurrent: 10})
	deadline := start.Add(time.Minute)
	decision, _ := controller.Submit(start, &Request{Deadline: deadline})
	require.Equal(t, Admitted, decision)
	decision, err := controller.Submit(start, &Request{Deadline: deadline})
	require.Equal(t, Refused, decision)
	require.Equal(t, result.RateLimited, err.Code)
	require.Equal(t, 500*time.Millisecond, err.RetryAfter)
	decision, _ = controller.Submit(start.Add(err.RetryAfter), &Request{Deadline: deadline})
	require.Equal(t, Admitted, decision)
}

func TestHigherPriorityDisplacesLowestPriorityInFullQueue(t *testing.T) {
	controller := NewController(testLimits)
	deadline := start.Add(time.Minute)
	var refused []Priority
	submit := func(priority Priority) Decision {
		request := &Request{Priority: priority, Deadline: deadline}
		request.Notify = func(decision Decision, err *result.Error) {
			if decision == Refused {
				require.Equal(t, result.QueueFull, err.Code)
				refused = append(refused, priority)
			}
		}
		decision, _ := controller.Submit(start, request)
		return decision
	}
	require.Equal(t, Admitted, submit(Normal))
	require.Equal(t, Admitted, submit(Normal))
	require.Equal(t, Queued, submit(Low))
	require.Equal(t, Queued, submit(Normal))
	require.Equal(t, Queued, submit(Critical))
	require.Equal(t, []Priority{Low}, refused)
	require.Equal(t, Refused, submit(Low))
}

// Requests of random priorities and deadlines arrive and finish: none is admitted
// at or after its deadline, the concurrency limit holds, and each request is
// decided exactly once or still waits.
func TestNoRequestStartsAfterItsDeadlineAndEachIsDecidedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		controller := NewController(testLimits)
		now := start
		running, arrived, decided := 0, 0, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "gap")) * time.Millisecond)
			if running > 0 && rapid.Bool().Draw(t, "finish") {
				running--
				controller.Finish(now)
				continue
			}
			request := &Request{
				Priority: Priority(rapid.IntRange(0, 3).Draw(t, "priority")),
				Deadline: now.Add(time.Duration(rapid.IntRange(1, 80).Draw(t, "deadline")) * time.Millisecond),
			}
			request.Notify = func(decision Decision, _ *result.Error) {
				decided++
				if decision == Admitted {
					require.True(t, now.Before(request.Deadline))
					running++
				}
			}
			arrived++
			switch decision, _ := controller.Submit(now, request); decision {
			case Admitted:
				decided++
				running++
			case Refused:
				decided++
			}
			require.Equal(t, running, controller.Running())
			require.LessOrEqual(t, running, testLimits.Concurrent)
			require.Equal(t, arrived, decided+controller.Waiting())
		}
	})
}

func TestGateRefusesQueuedRequestAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := NewGate()
		gate.SetLimits(time.Now(), map[string]Limits{"shop": {RequestsPerSecond: 100, Burst: 100, Concurrent: 1, QueueLength: 5}})
		finish, err := gate.Acquire(context.Background(), "shop", Normal, time.Now().Add(time.Minute))
		require.NoError(t, err)
		began := time.Now()
		_, err = gate.Acquire(context.Background(), "shop", Normal, began.Add(time.Second))
		require.True(t, result.Is(err, result.DeadlineInQueue))
		require.Equal(t, time.Second, time.Since(began))
		finish()
		require.Equal(t, Occupancy{}, gate.Occupancy()["shop"])
		gate.Close(result.New(result.Draining, "leaving"))
		_, err = gate.Acquire(context.Background(), "shop", Normal, time.Now().Add(time.Second))
		require.True(t, result.Is(err, result.Draining))
	})
}
