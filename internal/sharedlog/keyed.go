package sharedlog

import (
	"context"
	"time"

	"github.com/pathbend/pathbend/internal/clock"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// pageTimeout is the timeout of the first attempt to read a page of newest records. It
	// doubles after each attempt that times out, up to maxPageTimeout. When hundreds of nodes
	// start at once, each waits for the pages of all others: 300 pages of 0.8 MB take 3 s at
	// 80 MB/s, and a page whose read is abandoned has cost the store as much as any other.
	pageTimeout    = pollWait + readTimeout
	maxPageTimeout = 8 * time.Second
	// maxReloadPause bounds the pause before the newest records are read again because of
	// consecutive truncations or stale responses, which doubles from retryInterval on.
	maxReloadPause = 8 * time.Second
)

// KeyedFollower reads the newest record of every key, then follows the partition. After a
// truncation, records may be delivered again; the receiver must not replace newer records
// with them.
type KeyedFollower struct {
	Log       Log
	Partition Partition
	Observer  Observer
	// Reset applies the newest record of every key; missing keys are deleted. next is the
	// offset after the last record that was read.
	Reset func(records []KeyedRecord, next uint64)
	// Apply applies later records in order, with next as in Reset.
	Apply func(records []KeyedRecord, next uint64)
	// OnPartial, if set, receives the records read so far during the initial read of all
	// pages, each time that their number has doubled.
	OnPartial func(records []KeyedRecord)
	// Pause is the same as in Follower.
	Pause func() time.Duration
	// PollWait returns how long a read may wait at the service if that is longer than the
	// usual wait. It may be nil.
	PollWait func() time.Duration
	// ExtraLatency is the same as in Follower.
	ExtraLatency func() time.Duration
	// MaxRetryPause is the same as in Follower. It does not apply to the initial read, whose
	// pauses are half a second at most.
	MaxRetryPause func() time.Duration
	Health        Health

	retry       retrier
	initialRead initialRead
	// readAhead maps keys to the offset of their record if it was read before the offset from
	// which the follower continues reached it.
	readAhead map[string]uint64
}

// initialRead holds the newest records read so far. Pages are retained if a later one
// fails.
type initialRead struct {
	KeyedBatch
	// lastKey is the last key of the last page.
	lastKey string
	started bool
	// reported is the number of records at the last call of OnPartial.
	reported int
}

// Run follows the partition until ctx ends.
func (f *KeyedFollower) Run(ctx context.Context) {
	initialized := false
	var next uint64
	var reloadPause time.Duration
	for ctx.Err() == nil {
		batch, asOf, err := f.read(ctx, initialized, next)
		switch {
		case result.Is(err, result.LogTruncated):
			initialized = false
			wait.For(ctx, reloadPause)
			reloadPause = nextReloadPause(reloadPause)
			continue
		case err != nil:
			if ctx.Err() == nil && f.Health.recordFailure() {
				f.Observer.ReadFailed(f.Partition, err)
			}
			f.retry.wait(ctx)
			continue
		case !initialized && batch.EndOffset < next:
			// The response is stale: later records were applied already.
			wait.For(ctx, max(reloadPause, retryInterval))
			reloadPause = nextReloadPause(reloadPause)
			continue
		case !initialized:
			f.Reset(batch.Records, batch.EndOffset)
			initialized, next = true, batch.EndOffset
		default:
			reloadPause = 0
			if batch.NextOffset > next {
				next = batch.NextOffset
				f.Apply(f.withoutStale(batch.Records), next)
			}
		}
		if len(batch.Records) == 0 {
			// The service, or a cache before it, waited without a new record, so that the
			// follower is current as of the end of the wait.
			asOf = asOf.Add(batch.Waited)
		}
		if recovered, after := f.Health.recordSuccess(asOf.Add(-batch.Age)); recovered {
			f.Observer.ReadRecovered(f.Partition, after)
		}
		if next >= batch.EndOffset {
			pauseAfterRead(ctx, f.Pause)
		}
	}
}

// nextReloadPause returns the pause that follows a pause before the newest records are read again.
func nextReloadPause(pause time.Duration) time.Duration {
	return min(max(2*pause, retryInterval), maxReloadPause)
}

// read makes the next read. It returns the records and the time as of which they are current.
func (f *KeyedFollower) read(ctx context.Context, initialized bool, next uint64) (batch KeyedBatch, asOf clock.Moment, err error) {
	asOf = clock.CurrentMoment()
	if !initialized {
		batch, err = f.readNewest(ctx)
		return batch, asOf, err
	}
	poll := pollWaitFor(f.ExtraLatency)
	if f.PollWait != nil {
		poll = max(poll, f.PollWait())
	}
	_, err = f.retry.read(ctx, readAttempt{
		hold: poll, timeout: readTimeout, maxTimeout: maxReadTimeout, extraLatency: f.ExtraLatency, maxPause: f.MaxRetryPause,
		read: func(ctx context.Context, hold time.Duration) (readErr error) {
			asOf = clock.CurrentMoment()
			batch, readErr = f.Log.ReadKeyed(ctx, f.Partition, next, hold)
			return readErr
		},
		probe: func(ctx context.Context) error {
			_, probeErr := f.Log.ReadAvailable(ctx, f.Partition, next, probeBytes)
			return probeErr
		},
	})
	return batch, asOf, err
}

// readNewest reads all pages of the newest records. After a failure the next call continues
// with the page that failed, or with the first one after a truncation.
func (f *KeyedFollower) readNewest(ctx context.Context) (KeyedBatch, error) {
	for {
		page, err := f.readPage(ctx)
		if result.Is(err, result.LogTruncated) {
			f.initialRead = initialRead{}
		}
		if err != nil {
			return KeyedBatch{}, err
		}
		if f.initialRead.add(page) {
			newest := f.initialRead.KeyedBatch
			f.initialRead = initialRead{}
			f.recordReadAhead(newest)
			return newest, nil
		}
		f.reportPartial()
	}
}

// reportPartial passes all records read so far to OnPartial if their number has doubled since
// the last call, so that all calls together pass at most twice as many records as were read.
func (f *KeyedFollower) reportPartial() {
	if read := len(f.initialRead.Records); f.OnPartial != nil && read >= 2*f.initialRead.reported {
		f.initialRead.reported = read
		f.OnPartial(f.initialRead.Records)
	}
}

// readPage reads the next page. An attempt that times out doubles the timeout of the next.
func (f *KeyedFollower) readPage(ctx context.Context) (page KeyedPage, err error) {
	_, err = f.retry.read(ctx, readAttempt{
		timeout: pageTimeout, maxTimeout: maxPageTimeout, extraLatency: f.ExtraLatency,
		read: func(ctx context.Context, _ time.Duration) (readErr error) {
			page, readErr = f.Log.ReadNewest(ctx, f.Partition, f.initialRead.lastKey)
			return readErr
		},
	})
	return page, err
}

// add adds a page and reports whether it was the last one.
func (r *initialRead) add(page KeyedPage) (complete bool) {
	if !r.started {
		r.started, r.EndOffset = true, page.EndOffset
	}
	r.Records = append(r.Records, page.Records...)
	if len(page.Records) == 0 {
		return true
	}
	r.lastKey = page.Records[len(page.Records)-1].Key
	return !page.More
}

// recordReadAhead remembers the records after the offset from which the follower continues,
// because a later page may be newer than the first. The follower will read older records of
// their keys.
func (f *KeyedFollower) recordReadAhead(newest KeyedBatch) {
	f.readAhead = make(map[string]uint64)
	for _, record := range newest.Records {
		if record.Offset >= newest.EndOffset {
			f.readAhead[record.Key] = record.Offset
		}
	}
}

// withoutStale returns the records without those that are older than a record of their key
// that was read ahead.
func (f *KeyedFollower) withoutStale(records []KeyedRecord) []KeyedRecord {
	if len(f.readAhead) == 0 {
		return records
	}
	fresh := make([]KeyedRecord, 0, len(records))
	for _, record := range records {
		if newest, known := f.readAhead[record.Key]; known {
			if record.Offset < newest {
				continue
			}
			delete(f.readAhead, record.Key)
		}
		fresh = append(fresh, record)
	}
	return fresh
}
