package hosted

import (
	"context"
	"sync"
	"time"

	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/sharedlog"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// jobTopic holds the records of batch jobs; its holders form jobGroup.
	jobTopic = "pathbend-jobs"
	jobGroup = "pathbend-executors"
	// renewalsPerTTL is how often a share is renewed within its time.
	renewalsPerTTL = 3
	// confirmPause is the pause before a new generation is confirmed.
	confirmPause = 20 * time.Millisecond
	// renewTimeout bounds one renewal.
	renewTimeout = 600 * time.Millisecond
	// orderMargin is kept between the last order and the end of the share.
	orderMargin = 200 * time.Millisecond
	// isolatedLimit is how long a node that cannot renew its share goes on with
	// its jobs: the log service may be down for all, and then nobody else can
	// take them over.
	isolatedLimit = 8 * time.Second
)

// ownership keeps this node's share of the job partitions.
type ownership struct {
	settings Settings
	group    sharedlog.Group
	logger   *event.Logger

	mutex      sync.Mutex
	generation uint64
	held       map[int]time.Time
	renewedAt  time.Time
	lost       bool
	left       bool
}

func newOwnership(settings Settings, group sharedlog.Group, logger *event.Logger) *ownership {
	return &ownership{settings: settings, group: group, logger: logger, held: make(map[int]time.Time)}
}

func (o *ownership) run(ctx context.Context) {
	interval := o.settings.shareTTL() / renewalsPerTTL
	for ctx.Err() == nil && !o.hasLeft() {
		began := time.Now()
		next := began.Add(interval)
		if o.renew(ctx, began) {
			// A partition that is to move passes on only once its holder has
			// answered with the new generation.
			next = began.Add(confirmPause)
		}
		wait.Until(ctx, next)
	}
}

func (o *ownership) hasLeft() bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.left
}

// renew makes one join. It reports whether the generation is new, so that it is
// confirmed at once.
func (o *ownership) renew(ctx context.Context, began time.Time) (changed bool) {
	callCtx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	o.mutex.Lock()
	generation := o.generation
	o.mutex.Unlock()
	share, err := o.group.Join(callCtx, jobGroup, o.settings.Name, jobTopic, o.settings.shareTTL(), generation)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.left || ctx.Err() != nil {
		return false
	}
	if err != nil {
		if !o.lost {
			o.logger.Log(event.GroupContactLost, "generation", o.generation, "detail", err.Error())
		}
		o.lost = true
		return false
	}
	if o.lost {
		o.logger.Log(event.GroupContactRegained, "generation", share.Generation, "after_ms", began.Sub(o.renewedAt).Milliseconds())
	}
	o.lost = false
	o.take(share, began)
	return share.Generation != generation
}

// take puts an answer in force. A partition that was held without a gap keeps
// the time from which it is held.
func (o *ownership) take(share sharedlog.Share, began time.Time) {
	gap := began.Sub(o.renewedAt) > o.settings.shareTTL()
	held := make(map[int]time.Time, len(share.Partitions))
	for _, partition := range share.Partitions {
		since, known := o.held[partition.Number]
		if !known || gap {
			since = time.Now()
		}
		held[partition.Number] = since
	}
	if share.Generation != o.generation {
		o.logger.Log(event.GroupShareChanged, "generation", share.Generation, "from", o.generation, "partitions", len(held))
	}
	o.generation, o.held, o.renewedAt = share.Generation, held, began
}

// executes reports whether this node runs the jobs of a partition.
func (o *ownership) executes(partition int, now time.Time) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	_, held := o.held[partition]
	return held && !o.left && now.Sub(o.renewedAt) < isolatedLimit
}

// mayOrder returns the fence for orders if this node may give them now. When all
// partitions are dealt anew, the former holder may not have heard of it for as
// long as its own share lasts, so a new holder waits that long; what the former
// one ordered until then it has announced in the log, which the ledger heeds
// sampler by sampler.
func (o *ownership) mayOrder(partition int, now time.Time) (fence uint64, ok bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	since, held := o.held[partition]
	if !held || o.left || now.Sub(since) < o.settings.shareTTL()+orderMargin {
		return 0, false
	}
	if now.Sub(o.renewedAt) > o.settings.shareTTL()-orderMargin {
		return 0, false
	}
	return o.generation, true
}

// leave gives the share back.
func (o *ownership) leave(ctx context.Context) {
	o.mutex.Lock()
	o.left = true
	o.held = make(map[int]time.Time)
	o.mutex.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	if err := o.group.Leave(callCtx, jobGroup, o.settings.Name); err != nil {
		o.logger.Log(event.GroupContactLost, "generation", o.generation, "detail", err.Error())
	}
}

// current returns the generation last heard.
func (o *ownership) current() uint64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.generation
}
