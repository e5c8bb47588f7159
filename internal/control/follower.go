package control

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"google.golang.org/protobuf/proto"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/logstore"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/state"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// readLimit is the number of records asked for at once.
	readLimit = 1000
	// readWait is how long a read waits for a new record.
	readWait = 5 * time.Second
	// cacheRecords is how many records a node keeps to serve to peers.
	cacheRecords = 2048
	// SnapshotInterval is how many records may follow a snapshot in the stream
	// before the next is appended.
	SnapshotInterval = 1000
	retryInitial     = 50 * time.Millisecond
	retryMax         = time.Second
)

// Update is an answer of a source: records from an offset on, or a snapshot and
// the records after it.
type Update struct {
	Batch    logstore.Batch
	Snapshot *pathbendv1.Snapshot
}

// Source delivers the stream, from the platform's log or through a peer.
type Source interface {
	Fetch(ctx context.Context, from uint64, limit int, wait time.Duration) (Update, error)
}

// Listener is told of changes in order. It is called with the follower's lock
// held and must neither block nor call back.
type Listener func(part state.Part, machine *state.Machine)

// Follower holds the fold of one node. It is safe for concurrent use.
type Follower struct {
	source   Source
	logger   *event.Logger
	listener Listener

	mutex    sync.Mutex
	machine  *state.Machine
	cache    []logstore.Entry
	caughtUp bool
	// end is the highest end of the stream that was seen.
	end uint64
	// lastSnapshot is the offset after the last snapshot record seen.
	lastSnapshot uint64
	changed      chan struct{}
	lastRead     time.Time
	failing      bool
}

// NewFollower returns a follower before the first record.
func NewFollower(source Source, listener Listener, logger *event.Logger) *Follower {
	return &Follower{
		source: source, listener: listener, logger: logger,
		machine: state.NewMachine(), changed: make(chan struct{}),
	}
}

// View calls read with the present state, which it must not keep or modify.
func (f *Follower) View(read func(machine *state.Machine)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	read(f.machine)
}

// CaughtUp reports whether the node has seen the end of the stream once.
func (f *Follower) CaughtUp() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.caughtUp
}

// Lag tells how many records are known but not applied, and when the source
// last answered.
func (f *Follower) Lag() (records uint64, lastRead time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.end - min(f.end, f.machine.Next()), f.lastRead
}

// SnapshotDue reports whether so many records follow the last snapshot that
// the next one should be appended.
func (f *Follower) SnapshotDue() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.caughtUp && f.machine.Next()-f.lastSnapshot >= SnapshotInterval
}

// Run follows the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = retryInitial
	policy.MaxInterval = retryMax
	policy.RandomizationFactor = 0
	for ctx.Err() == nil {
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		f.noteRead(err)
		if err == nil {
			policy.Reset()
			continue
		}
		wait.For(ctx, policy.NextBackOff())
	}
}

func (f *Follower) step(ctx context.Context) error {
	f.mutex.Lock()
	from, patience := f.machine.Next(), readWait
	if !f.caughtUp {
		patience = 0
	}
	f.mutex.Unlock()
	update, err := f.source.Fetch(ctx, from, readLimit, patience)
	if err != nil {
		return err
	}
	return f.take(update)
}

func (f *Follower) noteRead(err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err == nil {
		f.lastRead = time.Now()
		if f.failing {
			f.logger.Log(event.LogReadRecovered)
		}
		f.failing = false
		return
	}
	if !f.failing {
		f.logger.Log(event.LogReadFailed, "error", err.Error())
	}
	f.failing = true
}

func (f *Follower) take(update Update) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err := f.restore(update.Snapshot); err != nil {
		return err
	}
	for _, entry := range update.Batch.Entries {
		f.apply(entry)
	}
	f.end = max(f.end, update.Batch.End, f.machine.Next())
	if f.machine.Next() >= update.Batch.End {
		f.caughtUp = true
	}
	if len(update.Batch.Entries) > 0 || update.Snapshot != nil {
		close(f.changed)
		f.changed = make(chan struct{})
	}
	return nil
}

func (f *Follower) restore(snapshot *pathbendv1.Snapshot) error {
	if snapshot == nil || snapshot.Covers <= f.machine.Next() {
		return nil
	}
	if err := f.machine.Restore(snapshot); err != nil {
		return err
	}
	f.cache = nil
	f.lastSnapshot = snapshot.Covers
	for _, part := range []state.Part{state.PartRoster, state.PartLease, state.PartSuspects, state.PartConfig} {
		f.listener(part, f.machine)
	}
	return nil
}

func (f *Follower) apply(entry logstore.Entry) {
	if entry.Offset != f.machine.Next() {
		return // overlaps what is applied; a gap cannot pass the source's check
	}
	outcome := f.machine.Apply(entry)
	f.cache = append(f.cache, entry)
	if len(f.cache) > cacheRecords {
		f.cache = f.cache[len(f.cache)-cacheRecords:]
	}
	f.noteSnapshot(entry)
	f.logOutcome(entry, outcome)
	if outcome.Changed != state.PartNone {
		f.listener(outcome.Changed, f.machine)
	}
}

func (f *Follower) noteSnapshot(entry logstore.Entry) {
	if SnapshotIn(entry.Data) != nil {
		f.lastSnapshot = entry.Offset + 1
	}
}

// SnapshotIn returns the snapshot in an encoded record, nil if it is another
// record.
func SnapshotIn(data []byte) *pathbendv1.Snapshot {
	record, err := logstore.DecodeRecord(data)
	if err != nil {
		return nil
	}
	return record.GetSnapshot()
}

func (f *Follower) logOutcome(entry logstore.Entry, outcome state.Outcome) {
	switch {
	case result.Is(outcome.Err, result.RecordMalformed):
		f.logger.Log(event.RecordSkipped, "offset", entry.Offset, "error", outcome.Err.Error())
	case result.Is(outcome.Err, result.LeaseConflict):
		f.logger.Log(event.LeaseClaimLost, "offset", entry.Offset, "error", outcome.Err.Error())
	case outcome.Err != nil:
		f.logger.Log(event.ConfigRejected, "offset", entry.Offset, "error", outcome.Err.Error())
	case outcome.Changed == state.PartConfig:
		f.logger.Log(event.ConfigApplied, "offset", entry.Offset, "revision", f.machine.Revision().Number)
	}
}

// Serve answers a peer's read from memory, waiting for a new record if there is
// none. A node that is not caught up serves nothing: it might show a peer less
// than that peer's former source did.
func (f *Follower) Serve(ctx context.Context, from uint64, limit int, patience time.Duration) (Update, error) {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for {
		update, changed, err := f.serveNow(from, limit)
		if err != nil || len(update.Batch.Entries) > 0 || update.Snapshot != nil || patience == 0 {
			return update, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return update, nil
		case <-ctx.Done():
			return Update{}, ctx.Err()
		}
	}
}

func (f *Follower) serveNow(from uint64, limit int) (Update, <-chan struct{}, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	next := f.machine.Next()
	if !f.caughtUp || from > next {
		return Update{}, nil, result.New(result.NotReady, "this node is at offset %d, behind the reader at %d", next, from)
	}
	update := Update{Batch: logstore.Batch{End: next}}
	first := next - uint64(len(f.cache))
	if from < first {
		update.Snapshot = f.machine.Snapshot()
		return update, f.changed, nil
	}
	entries := f.cache[from-first:]
	update.Batch.Entries = entries[:min(len(entries), max(limit, 1))]
	return update, f.changed, nil
}

// EncodeSnapshot returns the present state as a snapshot record.
func (f *Follower) EncodeSnapshot(recordID string) *pathbendv1.Record {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return &pathbendv1.Record{Id: recordID, Body: &pathbendv1.Record_Snapshot{Snapshot: f.machine.Snapshot()}}
}

// EncodeUpdate converts an update to its peer message.
func EncodeUpdate(update Update) (*pathbendv1.RecordBatch, error) {
	batch := &pathbendv1.RecordBatch{End: update.Batch.End}
	for _, entry := range update.Batch.Entries {
		batch.Records = append(batch.Records, &pathbendv1.StoredRecord{Offset: entry.Offset, Data: entry.Data})
	}
	if update.Snapshot != nil {
		encoded, err := proto.Marshal(update.Snapshot)
		if err != nil {
			return nil, err
		}
		batch.Snapshot = encoded
	}
	return batch, nil
}

// DecodeUpdate converts a peer message to an update.
func DecodeUpdate(batch *pathbendv1.RecordBatch) (Update, error) {
	update := Update{Batch: logstore.Batch{End: batch.End}}
	for _, record := range batch.Records {
		update.Batch.Entries = append(update.Batch.Entries, logstore.Entry{Offset: record.Offset, Data: record.Data})
	}
	if len(batch.Snapshot) > 0 {
		update.Snapshot = &pathbendv1.Snapshot{}
		if err := proto.Unmarshal(batch.Snapshot, update.Snapshot); err != nil {
			return Update{}, result.Wrap(result.RecordMalformed, err, "decode snapshot of a peer")
		}
	}
	return update, nil
}
