package hosted

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
	// rewardTimeout bounds the first reward call of an item; it doubles up to
	// maxRewardTimeout.
	rewardTimeout    = 500 * time.Millisecond
	maxRewardTimeout = 2 * time.Second
	// rewardPause is the pause before a reward call is repeated; it doubles up
	// to maxRewardPause.
	rewardPause    = 20 * time.Millisecond
	maxRewardPause = 400 * time.Millisecond
	// rewardShare is the part of a service's slots that reward calls may take,
	// so that requests of clients find room.
	rewardShare = 2
	minRewards  = 2
)

// rewardSlots bounds the reward calls under way.
type rewardSlots struct {
	mutex    sync.Mutex
	taken    int
	released chan struct{}
}

func (r *rewardSlots) acquire(ctx context.Context, limit func() int) bool {
	for {
		r.mutex.Lock()
		free := r.taken < limit()
		if free {
			r.taken++
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
	r.taken--
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

// score calls the reward of a complete text until it answers or nobody wants it. It
// returns the proof of the answer, and false if the item is given up.
func (r *rewarder) score(ctx context.Context, completed schedule.Finished, wanted func() bool) (stamp string, alive bool) {
	failures := 0
	var avoid []string
	for attempt := 0; wanted() && ctx.Err() == nil; attempt++ {
		outcome := r.call(ctx, completed, avoid, attempt)
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
		avoid = nil
		if outcome.backEnd != "" {
			avoid = []string{outcome.backEnd}
		}
		wait.For(ctx, max(min(rewardPause<<min(attempt, 5), maxRewardPause), outcome.heldFor))
	}
	return "", true
}

// rewardOutcome is how one reward call ended.
type rewardOutcome struct {
	stamp string
	// failed is set if the back end ran the call and failed.
	failed      bool
	backEnd     string
	detail      string
	maxFailures int
	// heldFor is how long the call is held back from back ends.
	heldFor time.Duration
}

func (r *rewarder) call(ctx context.Context, completed schedule.Finished, avoid []string, attempt int) rewardOutcome {
	current := r.node.Catalog()
	if current == nil {
		return rewardOutcome{detail: "no configuration"}
	}
	route := current.Find(completed.Reward.Host, completed.Reward.Path)
	if route == nil {
		return rewardOutcome{detail: "no route for the reward call"}
	}
	if !r.slots.acquire(ctx, func() int { return r.limit(route) }) {
		return rewardOutcome{detail: "stopped"}
	}
	defer r.slots.release()
	received := clock.Mark()
	deadline := received.Time().Add(min(rewardTimeout<<min(attempt, 5), maxRewardTimeout))
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	request := rewardRequest(route, completed, avoid, deadline)
	request.Regions, request.Received = regionsOf(current, route, completed.Tenant), received
	answer, err := r.node.dispatcher.Do(ctx, request)
	outcome := rewardOutcome{maxFailures: route.MaxAttempts}
	if err != nil {
		outcome.detail, outcome.heldFor = err.Error(), heldFor(err)
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

func rewardRequest(route *catalog.Route, completed schedule.Finished, avoid []string, deadline time.Time) *dispatch.Request {
	reward := completed.Reward
	body := reward.Body
	if body == nil {
		body = []byte{}
	}
	return &dispatch.Request{
		Pool: route.ServiceFor(reward.Id), Method: http.MethodPost, Path: reward.Path, Host: reward.Host,
		Header: http.Header{}, Buffered: body, Length: int64(len(body)), MaxAttempts: 1,
		Deadline: deadline, ID: reward.Id, Excluded: avoid,
		// All reward calls come from one node; they must not fill its zone.
		AnyZone: true,
	}
}

// rewardLimit is the number of reward calls that may be under way.
func (r *rewarder) limit(route *catalog.Route) int {
	listed := r.node.samplers.Load()
	if listed == nil {
		return minRewards
	}
	slots, evacuated := 0, r.node.evacuated.Load()
	for _, sampler := range *listed {
		if route.Allows(sampler.Service) && !sampler.Leaving && !evacuated.Has(sampler.Zone) {
			slots += sampler.Slots
		}
	}
	return max(slots/rewardShare, minRewards)
}
