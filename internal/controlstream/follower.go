package controlstream

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"google.golang.org/protobuf/proto"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/controlstate"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/logstore"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// readLimit is the maximum number of records per read.
	readLimit = 1000
	// maxReadWait is the maximum time that a read waits for a new record.
	maxReadWait = 5 * time.Second
	// maxCachedRecords is the number of records that a node keeps to serve to peers.
	maxCachedRecords = 2048
	// SnapshotInterval is the number of records after a snapshot in the stream at
	// which the next snapshot is due.
	SnapshotInterval = 1000
	// minRetryInterval is the mean pause after the first failed read, maxRetryInterval that after
	// any number of them.
	minRetryInterval = 50 * time.Millisecond
	maxRetryInterval = time.Second
	// retryJitter is the fraction by which a pause may be shorter or longer than its mean, so
	// that nodes that failed together do not retry together.
	retryJitter = 0.25
)

// Update is the answer of a source: the records from an offset, or a snapshot and the records
// after it.
type Update struct {
	Batch    logstore.Batch
	Snapshot *pathbendv1.Snapshot
}

// Source reads the stream, from the platform's log or through a peer. If there is no record at
// offset from yet, Fetch waits for one for up to wait.
type Source interface {
	Fetch(ctx context.Context, from uint64, limit int, wait time.Duration) (Update, error)
}

// Listener is called for each change of the state, in order. The follower's mutex is held during
// the call, so it must neither block nor call the follower.
type Listener func(part controlstate.Part, machine *controlstate.Machine)

// Follower keeps the state machine of one node up to date. It is safe for concurrent use.
type Follower struct {
	source   Source
	logger   *event.Logger
	listener Listener

	mutex   sync.Mutex
	machine *controlstate.Machine
	// cache holds the latest applied records; the last one precedes machine.Next.
	cache    []logstore.Entry
	caughtUp bool
	// end is the highest end of the stream that a source reported.
	end uint64
	// lastSnapshot is the offset after the last snapshot record, or the offset that a
	// restored snapshot covers.
	lastSnapshot uint64
	// changed is closed and replaced after each update that is not empty.
	changed     chan struct{}
	lastRead    time.Time
	readFailing bool
}

// NewFollower returns a follower that has applied no record. Run starts it.
func NewFollower(source Source, listener Listener, logger *event.Logger) *Follower {
	return &Follower{
		source: source, listener: listener, logger: logger,
		machine: controlstate.NewMachine(), changed: make(chan struct{}),
	}
}

// View calls read with the current state, which read must neither retain nor modify.
func (f *Follower) View(read func(machine *controlstate.Machine)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	read(f.machine)
}

// CaughtUp reports whether the node has ever reached the end of the stream.
func (f *Follower) CaughtUp() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.caughtUp
}

// Lag returns the number of records that are known to exist but are not applied, and the time of
// the last successful read.
func (f *Follower) Lag() (records uint64, lastRead time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.end - min(f.end, f.machine.Next()), f.lastRead
}

// SnapshotDue reports whether the node is caught up and at least SnapshotInterval records follow
// the last snapshot, so that the next one should be appended.
func (f *Follower) SnapshotDue() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.caughtUp && f.machine.Next()-f.lastSnapshot >= SnapshotInterval
}

// Run reads and applies the stream until ctx ends. It retries failed reads with backoff.
func (f *Follower) Run(ctx context.Context) {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = minRetryInterval
	policy.MaxInterval = maxRetryInterval
	policy.RandomizationFactor = retryJitter
	for ctx.Err() == nil {
		err := f.fetch(ctx)
		if ctx.Err() != nil {
			return
		}
		f.recordRead(err)
		if err == nil {
			policy.Reset()
			continue
		}
		wait.For(ctx, policy.NextBackOff())
	}
}

// fetch reads from the source once and applies the update. Until the node is caught up, the read
// does not wait for new records.
func (f *Follower) fetch(ctx context.Context) error {
	f.mutex.Lock()
	from, maxWait := f.machine.Next(), maxReadWait
	if !f.caughtUp {
		maxWait = 0
	}
	f.mutex.Unlock()
	update, err := f.source.Fetch(ctx, from, readLimit, maxWait)
	if err != nil {
		return err
	}
	return f.applyUpdate(update)
}

// recordRead records the result of a read, and logs the first failure and the recovery.
func (f *Follower) recordRead(err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err == nil {
		f.lastRead = time.Now()
		if f.readFailing {
			f.logger.Log(event.LogReadRecovered)
		}
		f.readFailing = false
		return
	}
	if !f.readFailing {
		f.logger.Log(event.LogReadFailed, "error", err.Error())
	}
	f.readFailing = true
}

func (f *Follower) applyUpdate(update Update) error {
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

// restore replaces the state by a snapshot that is ahead of it. The caller holds f.mutex.
func (f *Follower) restore(snapshot *pathbendv1.Snapshot) error {
	if snapshot == nil || snapshot.Covers <= f.machine.Next() {
		return nil
	}
	if err := f.machine.Restore(snapshot); err != nil {
		return err
	}
	f.cache = nil
	f.lastSnapshot = snapshot.Covers
	for _, part := range []controlstate.Part{controlstate.PartRoster, controlstate.PartLease, controlstate.PartSuspects, controlstate.PartConfig} {
		f.listener(part, f.machine)
	}
	return nil
}

// apply applies and caches one record. The caller holds f.mutex.
func (f *Follower) apply(entry logstore.Entry) {
	if entry.Offset != f.machine.Next() {
		return // already applied; sources reject batches with gaps
	}
	outcome := f.machine.Apply(entry)
	f.cache = append(f.cache, entry)
	if len(f.cache) > maxCachedRecords {
		f.cache = f.cache[len(f.cache)-maxCachedRecords:]
	}
	f.recordSnapshot(entry)
	f.logOutcome(entry, outcome)
	if outcome.Changed != controlstate.PartNone {
		f.listener(outcome.Changed, f.machine)
	}
}

func (f *Follower) recordSnapshot(entry logstore.Entry) {
	if DecodeSnapshot(entry.Data) != nil {
		f.lastSnapshot = entry.Offset + 1
	}
}

// DecodeSnapshot returns the snapshot in an encoded record, or nil if the record holds something
// else or is malformed.
func DecodeSnapshot(data []byte) *pathbendv1.Snapshot {
	record, err := logstore.DecodeRecord(data)
	if err != nil {
		return nil
	}
	return record.GetSnapshot()
}

func (f *Follower) logOutcome(entry logstore.Entry, outcome controlstate.Outcome) {
	switch {
	case result.Is(outcome.Err, result.RecordMalformed):
		f.logger.Log(event.RecordSkipped, "offset", entry.Offset, "error", outcome.Err.Error())
	case result.Is(outcome.Err, result.LeaseConflict):
		f.logger.Log(event.LeaseClaimLost, "offset", entry.Offset, "error", outcome.Err.Error())
	case outcome.Err != nil:
		f.logger.Log(event.ConfigRejected, "offset", entry.Offset, "error", outcome.Err.Error())
	case outcome.Changed == controlstate.PartConfig:
		f.logger.Log(event.ConfigApplied, "offset", entry.Offset, "revision", f.machine.Revision().Number)
	}
}

// Serve answers a peer's read from the cached records. If there is no record at offset from yet, it
// waits for one for up to maxWait. It returns result.NotReady if the node is not caught up or is
// behind the peer, since the peer's state must not move backwards when it changes its source.
func (f *Follower) Serve(ctx context.Context, from uint64, limit int, maxWait time.Duration) (Update, error) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for {
		update, changed, err := f.cachedUpdate(from, limit)
		if err != nil || len(update.Batch.Entries) > 0 || update.Snapshot != nil || maxWait == 0 {
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

// cachedUpdate returns the records from an offset, or a snapshot if they are no longer cached,
// and the channel that is closed at the next update.
func (f *Follower) cachedUpdate(from uint64, limit int) (Update, <-chan struct{}, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	next := f.machine.Next()
	if !f.caughtUp || from > next {
		return Update{}, nil, result.New(result.NotReady, "this node is at offset %d and cannot serve offset %d", next, from)
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

// EncodeSnapshot returns the current state as a snapshot record.
func (f *Follower) EncodeSnapshot(recordID string) *pathbendv1.Record {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return &pathbendv1.Record{Id: recordID, Body: &pathbendv1.Record_Snapshot{Snapshot: f.machine.Snapshot()}}
}

// EncodeUpdate converts an update to the message that is sent to a peer.
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

// DecodeUpdate converts the message of a peer to an update. It returns result.RecordMalformed if
// the snapshot cannot be decoded.
func DecodeUpdate(batch *pathbendv1.RecordBatch) (Update, error) {
	update := Update{Batch: logstore.Batch{End: batch.End}}
	for _, record := range batch.Records {
		update.Batch.Entries = append(update.Batch.Entries, logstore.Entry{Offset: record.Offset, Data: record.Data})
	}
	if len(batch.Snapshot) > 0 {
		update.Snapshot = &pathbendv1.Snapshot{}
		if err := proto.Unmarshal(batch.Snapshot, update.Snapshot); err != nil {
			return Update{}, result.Wrap(result.RecordMalformed, err, "decode a peer's snapshot")
		}
	}
	return update, nil
}
