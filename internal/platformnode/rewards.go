package platformnode

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pathbend/pathbend/internal/catalog"
	"github.com/pathbend/pathbend/internal/clock"
	"github.com/pathbend/pathbend/internal/dispatch"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/schedule"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// rewardTimeout is the timeout of the first reward call of an item. It doubles with each
	// attempt, up to maxRewardTimeout.
	rewardTimeout    = 500 * time.Millisecond
	maxRewardTimeout = 2 * time.Second
	// rewardRetryPause is the pause before the first retry of a reward call. It doubles with
	// each attempt, up to maxRewardRetryPause.
	rewardRetryPause    = 20 * time.Millisecond
	maxRewardRetryPause = 400 * time.Millisecond
	// rewardSlotsDivisor limits concurrent reward calls to a service's slots divided by it, but
	// to no less than minRewardSlots. This leaves room for client requests.
	rewardSlotsDivisor = 2
	minRewardSlots     = 2
)

// rewardSlots is a semaphore with a variable limit for concurrent reward calls.
type rewardSlots struct {
	mutex    sync.Mutex
	inUse    int
	released chan struct{}
}

// acquire waits for a free slot, reading the limit again whenever one is released. It
// returns false if ctx ended first.
func (r *rewardSlots) acquire(ctx context.Context, limit func() int) bool {
	for {
		r.mutex.Lock()
		free := r.inUse < limit()
		if free {
			r.inUse++
		}
		r.mutex.Unlock()
		if free {
			return true
		}
		select {
		case <-r.released:
		case <-ctx.Done():
			return false
		}
	}
}

func (r *rewardSlots) release() {
	r.mutex.Lock()
	r.inUse--
	r.mutex.Unlock()
	select {
	case r.released <- struct{}{}:
	default:
	}
}

// rewarder makes the reward calls of a node.
type rewarder struct {
	node  *Node
	slots rewardSlots
}

// score repeats the reward call of a complete text until it is answered or the result is
// no longer wanted. It returns the stamp that proves the answer; alive is false if the call
// failed too often, so that the item must be recorded as dead.
func (r *rewarder) score(ctx context.Context, completed schedule.Finished, wanted func() bool) (stamp string, alive bool) {
	failures := 0
	var excluded []string
	for attempt := 0; wanted() && ctx.Err() == nil; attempt++ {
		outcome := r.call(ctx, completed, excluded, attempt)
		if outcome.stamp != "" {
			return outcome.stamp, true
		}
		if ctx.Err() != nil {
			break
		}
		if outcome.failed {
			failures++
		}
		r.node.logger.Log(event.RewardFailed, "job_id", completed.Key.Job, "item_id", completed.Key.Item,
			"reward_id", completed.Reward.Id, "attempt", attempt+1, "back_end", outcome.backEnd, "failures", failures, "detail", outcome.detail)
		if outcome.maxFailures > 0 && failures >= outcome.maxFailures {
			return "", false
		}
		excluded = nil
		if outcome.backEnd != "" {
			excluded = []string{outcome.backEnd}
		}
		wait.For(ctx, min(rewardRetryPause<<min(attempt, 5), maxRewardRetryPause))
	}
	return "", true
}

// rewardOutcome is the outcome of one reward call.
type rewardOutcome struct {
	stamp string
	// failed is set if the back end executed the call and reported a failure.
	failed      bool
	backEnd     string
	detail      string
	maxFailures int
}

func (r *rewarder) call(ctx context.Context, completed schedule.Finished, excluded []string, attempt int) rewardOutcome {
	current := r.node.Catalog()
	if current == nil {
		return rewardOutcome{detail: "no configuration"}
	}
	route := current.Find(completed.Reward.Host, completed.Reward.Path)
	if route == nil {
		return rewardOutcome{detail: "no route matches the reward call"}
	}
	if !r.slots.acquire(ctx, func() int { return r.limit(route) }) {
		return rewardOutcome{detail: "stopped"}
	}
	defer r.slots.release()
	received := clock.CurrentMoment()
	deadline := received.Time().Add(min(rewardTimeout<<min(attempt, 5), maxRewardTimeout))
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	request := rewardRequest(route, completed, excluded, deadline)
	request.Regions, request.Received = regionsOf(current, route, completed.Tenant), received
	answer, err := r.node.dispatcher.Do(ctx, request)
	outcome := rewardOutcome{maxFailures: route.MaxAttempts}
	if err != nil {
		outcome.detail = err.Error()
		return outcome
	}
	answer.Body.Close()
	outcome.backEnd = answer.BackEnd
	scored, err := r.node.ports.Score(answer)
	if err != nil {
		outcome.failed = answer.Status == http.StatusInternalServerError
		outcome.detail = err.Error()
		return outcome
	}
	outcome.stamp = scored.Stamp
	return outcome
}

func rewardRequest(route *catalog.Route, completed schedule.Finished, excluded []string, deadline time.Time) *dispatch.Request {
	reward := completed.Reward
	body := reward.Body
	if body == nil {
		body = []byte{}
	}
	return &dispatch.Request{
		Pool: route.ServiceFor(reward.Id), Method: http.MethodPost, Path: reward.Path, Host: reward.Host,
		Header: http.Header{}, Buffered: body, Length: int64(len(body)), MaxAttempts: 1,
		Deadline: deadline, ID: reward.Id, Excluded: excluded,
		// All reward calls come from one node and must not overload the back ends of its zone.
		IgnoreZone:   true,
		NeverSuspect: true,
	}
}

// limit returns the maximum number of concurrent reward calls on a route.
func (r *rewarder) limit(route *catalog.Route) int {
	listed := r.node.samplers.Load()
	if listed == nil {
		return minRewardSlots
	}
	slots, evacuated := 0, r.node.evacuated.Load()
	for _, sampler := range *listed {
		if route.Allows(sampler.Service) && !sampler.Leaving && !evacuated.Contains(sampler.Zone) {
			slots += sampler.Slots
		}
	}
	return max(slots/rewardSlotsDivisor, minRewardSlots)
}
