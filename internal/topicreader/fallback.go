package topicreader

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pathbend/pathbend/internal/fanout"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/sharedlog"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// maxEntriesBytes and pageBytes are the sizes of a large read of entries and of a page of the
	// newest entries.
	maxEntriesBytes = 64 << 10
	pageBytes       = 350_000
	// fallbackTimeout is the timeout of a read of the log by a node whose readers do not answer.
	// It is longer than the 2 s from which on a busy log refuses reads, since a read that is
	// given up costs the log as much as an answered one.
	fallbackTimeout = 2500 * time.Millisecond
	// maxTurnWait is how long one call waits for its turn to read the log. After it the readers
	// are asked again.
	maxTurnWait = time.Second
	// callSpreadFactor makes up for the jitter of the pauses, which are up to a half shorter.
	callSpreadFactor = 1.5
)

// fallbackRead describes a kind of read of the log by a node whose readers do not answer.
type fallbackRead struct {
	// spread is the time over which the nodes spread their first such reads.
	spread time.Duration
	// minPause is the pause after a fast read.
	minPause time.Duration
}

// entriesFallback describes reads of entries, newestFallback reads of pages of the newest ones.
func (f *Feed) entriesFallback(plan fanout.Plan) fallbackRead {
	callSpread := time.Duration(callSpreadFactor * float64(f.config.Limits.Spread(plan.Nodes, 0)))
	return fallbackRead{spread: f.config.Limits.Spread(plan.Nodes, maxEntriesBytes), minPause: max(fanout.MinEntriesPause, callSpread)}
}

func (f *Feed) newestFallback(plan fanout.Plan) fallbackRead {
	fallback := fallbackRead{spread: f.config.Limits.Spread(plan.Nodes, pageBytes), minPause: fanout.MinPagePause}
	if f.config.SkipReaderWait && !f.started() {
		fallback.spread = 0
	}
	return fallback
}

// readAsFallback reads the log itself because no reader answered, if it is this node's turn. It
// returns result.LogUnavailable if it is not, so that the readers are asked again first.
func (f *Feed) readAsFallback(ctx context.Context, fallback fallbackRead, read func(context.Context) error) error {
	if err := f.awaitTurn(ctx, fallback.spread); err != nil {
		return err
	}
	ctx, cancel := withFallbackTimeout(ctx)
	defer cancel()
	began := time.Now()
	err := read(ctx)
	f.config.Counter.EntriesRead(FromLog, err == nil)
	now := time.Now()
	took := now.Sub(began)
	if f.config.ExtraLatency != nil {
		took -= f.config.ExtraLatency()
	}
	f.fallback.ReadEnded(now, took, err == nil || result.Is(err, result.LogTruncated), fallback.minPause)
	return err
}

// awaitTurn waits until this node may read the log itself, or fails after maxTurnWait.
func (f *Feed) awaitTurn(ctx context.Context, spread time.Duration) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return result.Wrap(result.LogUnavailable, ctx.Err(), "read the log")
	}
	now := time.Now()
	remaining := f.fallback.NextRead(now, spread).Sub(now)
	if remaining <= 0 {
		return nil
	}
	if !wait.For(ctx, min(remaining, maxTurnWait)) || remaining > maxTurnWait {
		return result.New(result.LogUnavailable, "no reader answers, and this node's next read of the log is in %s", max(remaining-maxTurnWait, 0))
	}
	return nil
}

// withFallbackTimeout replaces the deadline of ctx by fallbackTimeout: the readers have used up
// some of the time, and a follower that probes for a reader allows less than a busy log needs.
// The context ends with ctx if that is cancelled before its deadline.
func withFallbackTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), fallbackTimeout)
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})
	return detached, func() {
		stop()
		cancel()
	}
}

// readPage reads a page of the newest entries from the log.
func (f *Feed) readPage(ctx context.Context, partition sharedlog.Partition, after string) (sharedlog.KeyedPage, error) {
	page, err := f.Log.ReadNewest(ctx, partition, after)
	if err == nil && !page.More {
		f.setLoaded(fanout.All())
	}
	return page, err
}
