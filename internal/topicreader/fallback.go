package topicreader

import (
	"context"
	"math/rand/v2"
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

// pacedLog makes the reads of the log by a node whose readers do not answer.
type pacedLog struct {
	*fanout.Fallback
	limits fanout.LogLimits
	// extraLatency is that of the log. It may be nil, which means 0.
	extraLatency func() time.Duration
	// recordRead records a read that has ended.
	recordRead func(succeeded bool)
}

// newPacedLog returns the reads of a node whose readers answer.
func newPacedLog(limits fanout.LogLimits, extraLatency func() time.Duration, recordRead func(succeeded bool)) pacedLog {
	return pacedLog{Fallback: fanout.NewFallback(rand.Float64), limits: limits, extraLatency: extraLatency, recordRead: recordRead}
}

// fallbackRead describes a kind of read of the log by a node whose readers do not answer.
type fallbackRead struct {
	// spread is the time over which the nodes spread their first such reads.
	spread time.Duration
	// minPause is the pause after a fast read, slowPause the shortest one after a slow or failed
	// read if that is longer than the usual one.
	minPause, slowPause time.Duration
}

// offsetRead describes reads from an offset on, by a number of nodes.
func (p pacedLog) offsetRead(nodes int, minPause time.Duration) fallbackRead {
	return fallbackRead{spread: p.limits.Spread(nodes, maxEntriesBytes), minPause: max(minPause, p.callSpread(nodes))}
}

// callSpread returns the time over which a number of nodes spread one read each of few bytes.
func (p pacedLog) callSpread(nodes int) time.Duration {
	return time.Duration(callSpreadFactor * float64(p.limits.Spread(nodes, 0)))
}

// pageRead describes reads of pages of the newest entries, by a number of nodes.
func (p pacedLog) pageRead(nodes int) fallbackRead {
	return fallbackRead{spread: p.limits.Spread(nodes, pageBytes), minPause: fanout.MinPagePause}
}

// read reads the log if it is this node's turn. It returns result.LogUnavailable if it is not, so
// that the readers are asked again first. read reports whether the log holds more that this node
// lacks: the rest of the batch follows like the pages of the newest entries.
func (p pacedLog) read(ctx context.Context, kind fallbackRead, read func(context.Context) (more bool, err error)) error {
	if err := p.awaitTurn(ctx, kind.spread); err != nil {
		return err
	}
	ctx, cancel := withFallbackTimeout(ctx)
	defer cancel()
	began := time.Now()
	more, err := read(ctx)
	p.recordRead(err == nil)
	now := time.Now()
	took := now.Sub(began)
	if p.extraLatency != nil {
		took -= p.extraLatency()
	}
	minPause := kind.minPause
	if more {
		minPause = min(minPause, fanout.MinPagePause)
	}
	p.ReadEnded(now, took, err == nil || result.Is(err, result.LogTruncated), minPause, kind.slowPause)
	return err
}

// awaitTurn waits until this node may read the log itself, or fails after maxTurnWait.
func (p pacedLog) awaitTurn(ctx context.Context, spread time.Duration) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return result.Wrap(result.LogUnavailable, ctx.Err(), "read the log")
	}
	now := time.Now()
	remaining := p.NextRead(now, spread).Sub(now)
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

// entriesRead describes reads of entries from an offset on under a plan. Entries that must be known
// soon are rare and small, so that their reads are spread by the calls only while the log is not busy.
func (f *Feed) entriesRead(plan fanout.Plan) fallbackRead {
	kind := f.fallback.offsetRead(plan.Nodes, fanout.MinEntriesPause)
	if f.config.SkipReaderWait {
		kind.spread, kind.slowPause = f.fallback.limits.Spread(plan.Nodes, 0), kind.spread
	}
	return kind
}

// newestRead describes reads of pages of the newest entries under a plan. A node that starts and
// does not wait for readers reads the first page at once.
func (f *Feed) newestRead(plan fanout.Plan) fallbackRead {
	kind := f.fallback.pageRead(plan.Nodes)
	if f.config.SkipReaderWait && !f.started() {
		kind.spread = 0
	}
	return kind
}

// readPage reads a page of the newest entries from the log.
func (f *Feed) readPage(ctx context.Context, partition sharedlog.Partition, after string) (sharedlog.KeyedPage, error) {
	page, err := f.Log.ReadNewest(ctx, partition, after)
	if err == nil && !page.More {
		f.setLoaded(fanout.All())
	}
	return page, err
}
