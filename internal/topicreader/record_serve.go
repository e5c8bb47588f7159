package topicreader

import (
	"context"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/clock"
	"github.com/pathbend/pathbend/internal/fanout"
	"github.com/pathbend/pathbend/internal/result"
)

// maxRecordResponseBytes bounds the uncompressed records of one response, unless a single record
// is larger.
const maxRecordResponseBytes = 256 << 10

// Serve serves a read of another node. It returns result.NotReady if this node is not a reader
// or has read nothing yet, and result.PeerUnreached if too many requests are being served.
func (f *RecordFeed) Serve(ctx context.Context, request *pathbendv1.ReadLogRecords) (*pathbendv1.LogRecordBatch, error) {
	arrival := clock.CurrentMoment()
	if request.Topic != f.config.Topic {
		return nil, result.New(result.FrameMalformed, "the records of topic %q are not served", request.Topic)
	}
	select {
	case f.slots <- struct{}{}:
		defer func() { <-f.slots }()
	default:
		return nil, result.New(result.PeerUnreached, "%d read requests are already being served", maxHeldRequests)
	}
	cached, available, err := f.serveRange(ctx, request, arrival)
	switch {
	case err != nil:
		return nil, err
	case !available:
		return &pathbendv1.LogRecordBatch{Truncated: true}, nil
	}
	response := &pathbendv1.LogRecordBatch{End: cached.End, AgeMs: ageAt(arrival, cached.CurrentAt).Milliseconds()}
	if len(cached.Records) > 0 {
		if response.Packed, err = pack(&pathbendv1.LogRecordList{Records: cached.Records}); err != nil {
			return nil, err
		}
	}
	f.config.Counter.RecordsServed(len(response.Packed))
	return response, nil
}

// unknownAge is the age of records that are not known to have been complete at any time.
const unknownAge = time.Hour

// ageAt returns the age at the arrival of a request of records that were complete as of a
// moment. It is rounded up to whole milliseconds, so that it is not understated.
func ageAt(arrival, currentAt clock.Moment) time.Duration {
	if currentAt.IsZero() {
		return unknownAge
	}
	age := currentAt.Age() - arrival.Age()
	rounded := age.Truncate(time.Millisecond)
	if rounded < age {
		rounded += time.Millisecond
	}
	return rounded
}

// serveRange returns the requested records. A request that is not held gets all records that the
// log held at its arrival, or as many as fit into one response. available is false if the cache
// does not keep the requested offset.
func (f *RecordFeed) serveRange(ctx context.Context, request *pathbendv1.ReadLogRecords, arrival clock.Moment) (cached fanout.CachedRecords, available bool, err error) {
	follower := f.follower.Load()
	if follower == nil || !isReader(f.config.Plan()) {
		return cached, false, result.New(result.NotReady, "this node is not a reader of the topic")
	}
	if request.HoldMs <= 0 {
		if cached, available, _ = f.cache.Since(request.From, maxRecordResponseBytes); available && cached.More {
			return cached, true, nil
		}
		if err := follower.CatchUp(ctx); err != nil {
			return cached, false, result.Wrap(result.LogUnavailable, err, "read the log for another node")
		}
	}
	if !f.cache.Started() {
		return cached, false, result.New(result.NotReady, "this node has not read the topic yet")
	}
	hold := min(time.Duration(max(request.HoldMs, 0))*time.Millisecond, maxHoldTime)
	known := arrival.Add(-time.Duration(request.AgeMs) * time.Millisecond)
	cached, available = f.await(ctx, request.From, hold, known)
	if available && cached.CurrentAt.IsZero() && len(cached.Records) == 0 {
		return cached, false, result.New(result.NotReady, "this node has not read the topic up to its end yet")
	}
	return cached, available, nil
}

// minRenewal is how much later this node must have read the log than the node that asks for a
// request to be answered without records.
const minRenewal = 200 * time.Millisecond

// await returns the records from an offset on. It waits up to hold until there is one, or until
// this node has read the log considerably later than the moment known, as of which the other
// node has every record.
func (f *RecordFeed) await(ctx context.Context, from uint64, hold time.Duration, known clock.Moment) (fanout.CachedRecords, bool) {
	timer := time.NewTimer(hold)
	defer timer.Stop()
	for {
		cached, available, changed := f.cache.Since(from, maxRecordResponseBytes)
		renewed := cached.End == from && cached.CurrentAt.Time().After(known.Time().Add(minRenewal))
		if !available || len(cached.Records) > 0 || hold <= 0 || renewed {
			return cached, available
		}
		select {
		case <-changed:
		case <-timer.C:
			return cached, available
		case <-ctx.Done():
			return cached, available
		}
	}
}
