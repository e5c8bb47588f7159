package sharedlog

import (
	"context"
	"time"

	"github.com/pathbend/pathbend/internal/clock"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// pageTimeout bounds the first attempt at a page of newest records, mostPageTimeout
	// any later one: each attempt that runs out of time doubles it. When hundreds of
	// nodes start at once, each waits for the pages of all others: 300 pages of 0.8 MB
	// take 3 s at 80 MB a second, and one that is given up has cost the store as much.
	pageTimeout     = pollWait + readTimeout
	mostPageTimeout = 8 * time.Second
)

// KeyedFollower reads the newest record of every key, then follows the
// partition. Records may be handed over again after a truncation; the receiver
// must not move backwards.
type KeyedFollower struct {
	Log       Log
	Partition Partition
	Observer  Observer
	// Reset applies the newest record of every key; keys that are missing are
	// dropped. Apply applies later records in order. next is the offset up to which records
	// were read by then.
	Reset func(records []KeyedRecord, next uint64)
	Apply func(records []KeyedRecord, next uint64)
	// Early, if set, is told of the records that were read so far while the first pages
	// come, each time that there are twice as many.
	Early func(records []KeyedRecord)
	Pause func() time.Duration
	// Poll is how long a read may be held where that is longer than usual; nil if it is not.
	Poll func() time.Duration
	// Beyond is that of Follower.
	Beyond func() time.Duration
	Health Health

	gathering gathering
	// ahead holds, by key, the offset of records that were read ahead of next.
	ahead map[string]uint64
}

// gathering is what was read of the newest records so far. Pages stay when a later
// one fails.
type gathering struct {
	KeyedBatch
	after   string
	begun   bool
	timeout time.Duration
	// told is how many records there were when Early was told last.
	told int
}

// Run follows the partition until ctx ends.
func (f *KeyedFollower) Run(ctx context.Context) {
	known := false
	var next uint64
	for ctx.Err() == nil {
		began := clock.Mark()
		batch, err := f.read(ctx, known, next)
		switch {
		case result.Is(err, result.LogTruncated):
			known = false
			continue
		case err != nil:
			if ctx.Err() == nil && f.Health.failed() {
				f.Observer.ReadFailed(f.Partition, err)
			}
			wait.For(ctx, retryPause)
			continue
		case !known && batch.End < next:
			// A stale answer: what was applied already goes further.
			wait.For(ctx, retryPause)
			continue
		case !known:
			f.Reset(batch.Records, batch.End)
			known, next = true, batch.End
		case batch.Next > next:
			next = batch.Next
			f.Apply(f.unread(batch.Records), next)
		}
		if len(batch.Records) == 0 {
			// Whoever answered waited in vain: there was nothing new at the end of the wait.
			began = began.Add(batch.Held)
		}
		if regained, after := f.Health.answered(began.Add(-batch.Age)); regained {
			f.Observer.ReadRecovered(f.Partition, after)
		}
		if next >= batch.End {
			rest(ctx, f.Pause)
		}
	}
}

func (f *KeyedFollower) read(ctx context.Context, known bool, next uint64) (KeyedBatch, error) {
	if !known {
		return f.gather(ctx)
	}
	poll := pollFor(f.Beyond)
	if f.Poll != nil {
		poll = max(poll, f.Poll())
	}
	timeout := poll + readTimeout
	if f.Health.probes() {
		poll, timeout = 0, probeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, lengthened(timeout, f.Beyond))
	defer cancel()
	return f.Log.ReadKeyed(ctx, f.Partition, next, poll)
}

// gather reads all pages of the newest records. After a failure the next call goes on
// where this one ended.
func (f *KeyedFollower) gather(ctx context.Context) (KeyedBatch, error) {
	for {
		page, err := f.page(ctx)
		if err != nil {
			return KeyedBatch{}, err
		}
		if f.gathering.add(page) {
			gathered := f.gathering.KeyedBatch
			f.gathering = gathering{}
			f.noteAhead(gathered)
			return gathered, nil
		}
		f.tellEarly()
	}
}

// tellEarly hands on what was gathered if that is twice as much as the last time, so that
// all of it together is handled no more than twice.
func (f *KeyedFollower) tellEarly() {
	if read := len(f.gathering.Records); f.Early != nil && read >= 2*f.gathering.told {
		f.gathering.told = read
		f.Early(f.gathering.Records)
	}
}

// page reads the next page. An attempt that ran out of time lengthens the next.
func (f *KeyedFollower) page(ctx context.Context) (KeyedPage, error) {
	timeout := max(f.gathering.timeout, pageTimeout)
	callCtx, cancel := context.WithTimeout(ctx, lengthened(timeout, f.Beyond))
	defer cancel()
	page, err := f.Log.Newest(callCtx, f.Partition, f.gathering.after)
	if err != nil && callCtx.Err() != nil {
		f.gathering.timeout = min(2*timeout, mostPageTimeout)
	}
	return page, err
}

// add takes a page and reports whether it was the last.
func (g *gathering) add(page KeyedPage) (complete bool) {
	if !g.begun {
		g.begun, g.End = true, page.End
	}
	g.Records = append(g.Records, page.Records...)
	if len(page.Records) == 0 {
		return true
	}
	g.after = page.Records[len(page.Records)-1].Key
	return !page.More
}

// noteAhead remembers the records that lie past the end from which reading goes on:
// a later page may be newer than the first. Older ones of their keys are to come.
func (f *KeyedFollower) noteAhead(gathered KeyedBatch) {
	f.ahead = make(map[string]uint64)
	for _, record := range gathered.Records {
		if record.Offset >= gathered.End {
			f.ahead[record.Key] = record.Offset
		}
	}
}

// unread drops records older than what was read ahead of them.
func (f *KeyedFollower) unread(records []KeyedRecord) []KeyedRecord {
	if len(f.ahead) == 0 {
		return records
	}
	kept := make([]KeyedRecord, 0, len(records))
	for _, record := range records {
		if newest, known := f.ahead[record.Key]; known {
			if record.Offset < newest {
				continue
			}
			delete(f.ahead, record.Key)
		}
		kept = append(kept, record)
	}
	return kept
}
