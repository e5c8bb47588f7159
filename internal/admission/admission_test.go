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
	start  = time.Unix(1000, 0)
	limits = Limits{RequestsPerSecond: 1000, Burst: 1000, Concurrent: 2, QueueLength: 2}
)

func TestRateLimitHintsWhenTheNextTokenComes(t *testing.T) {
	controller := NewController(Limits{RequestsPerSecond: 2, Burst: 1, Concurrent: 10})
	deadline := start.Add(time.Minute)
	verdict, _ := controller.Arrive(start, &Ticket{Deadline: deadline})
	require.Equal(t, Admitted, verdict)
	verdict, err := controller.Arrive(start, &Ticket{Deadline: deadline})
	require.Equal(t, Refused, verdict)
	require.Equal(t, result.RateLimited, err.Code)
	require.Equal(t, 500*time.Millisecond, err.RetryAfter)
	verdict, _ = controller.Arrive(start.Add(err.RetryAfter), &Ticket{Deadline: deadline})
	require.Equal(t, Admitted, verdict)
}

func TestImportantRequestDisplacesTheLeastImportant(t *testing.T) {
	controller := NewController(limits)
	deadline := start.Add(time.Minute)
	var refused []Priority
	arrive := func(priority Priority) Verdict {
		ticket := &Ticket{Priority: priority, Deadline: deadline}
		ticket.Decide = func(verdict Verdict, err *result.Error) {
			if verdict == Refused {
				require.Equal(t, result.QueueFull, err.Code)
				refused = append(refused, priority)
			}
		}
		verdict, _ := controller.Arrive(start, ticket)
		return verdict
	}
	require.Equal(t, Admitted, arrive(Normal))
	require.Equal(t, Admitted, arrive(Normal))
	require.Equal(t, Queued, arrive(Low))
	require.Equal(t, Queued, arrive(Normal))
	require.Equal(t, Queued, arrive(Critical))
	require.Equal(t, []Priority{Low}, refused)
	require.Equal(t, Refused, arrive(Low))
}

func TestNothingStartsAfterItsDeadlineAndAllAreDecidedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		controller := NewController(limits)
		now := start
		running, arrived, decided := 0, 0, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "gap")) * time.Millisecond)
			if running > 0 && rapid.Bool().Draw(t, "finish") {
				running--
				controller.Finish(now)
				continue
			}
			ticket := &Ticket{
				Priority: Priority(rapid.IntRange(0, 3).Draw(t, "priority")),
				Deadline: now.Add(time.Duration(rapid.IntRange(1, 80).Draw(t, "deadline")) * time.Millisecond),
			}
			ticket.Decide = func(verdict Verdict, _ *result.Error) {
				decided++
				if verdict == Admitted {
					require.True(t, now.Before(ticket.Deadline))
					running++
				}
			}
			arrived++
			switch verdict, _ := controller.Arrive(now, ticket); verdict {
			case Admitted:
				decided++
				running++
			case Refused:
				decided++
			}
			require.Equal(t, running, controller.Running())
			require.LessOrEqual(t, running, limits.Concurrent)
			require.Equal(t, arrived, decided+controller.Waiting())
		}
	})
}

func TestGateRefusesAtTheDeadlineNotLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := NewGate()
		gate.SetLimits(time.Now(), map[string]Limits{"shop": {RequestsPerSecond: 100, Burst: 100, Concurrent: 1, QueueLength: 5}})
		finish, err := gate.Enter(context.Background(), "shop", Normal, time.Now().Add(time.Minute))
		require.NoError(t, err)
		began := time.Now()
		_, err = gate.Enter(context.Background(), "shop", Normal, began.Add(time.Second))
		require.True(t, result.Is(err, result.DeadlineInQueue))
		require.Equal(t, time.Second, time.Since(began))
		finish()
		require.Equal(t, Occupancy{}, gate.Occupancy()["shop"])
		gate.Close(result.New(result.Draining, "leaving"))
		_, err = gate.Enter(context.Background(), "shop", Normal, time.Now().Add(time.Second))
		require.True(t, result.Is(err, result.Draining))
	})
}
