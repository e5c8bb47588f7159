package controlstream

import (
	"context"
	"time"

	"github.com/pathbend/pathbend/internal/logstore"
)

// LogSource reads the control stream from the platform's log. A read from offset 0 starts at the
// last snapshot if there is one.
type LogSource struct {
	Reader logstore.Reader
}

// Fetch implements Source.
func (s LogSource) Fetch(ctx context.Context, from uint64, limit int, wait time.Duration) (Update, error) {
	if from == 0 {
		return s.fetchFirst(ctx, limit)
	}
	batch, err := s.Reader.Read(ctx, logstore.ControlStream, from, limit, wait)
	return Update{Batch: batch}, err
}

// fetchFirst searches a window at the end of the stream for the last snapshot. It doubles the
// window until it contains a snapshot, and reads from offset 0 once the window would cover the
// stream.
func (s LogSource) fetchFirst(ctx context.Context, limit int) (Update, error) {
	probe, err := s.Reader.Read(ctx, logstore.ControlStream, 0, 1, 0)
	if err != nil {
		return Update{}, err
	}
	for window := uint64(SnapshotInterval + limit); window < probe.End; window *= 2 {
		entries, err := s.readAll(ctx, probe.End-window, probe.End)
		if err != nil {
			return Update{}, err
		}
		if update, ok := fromLastSnapshot(entries, probe.End); ok {
			return update, nil
		}
	}
	batch, err := s.Reader.Read(ctx, logstore.ControlStream, 0, limit, 0)
	return Update{Batch: batch}, err
}

// readAll reads the records from an offset up to end.
func (s LogSource) readAll(ctx context.Context, from, end uint64) ([]logstore.Entry, error) {
	var entries []logstore.Entry
	for from < end {
		batch, err := s.Reader.Read(ctx, logstore.ControlStream, from, readLimit, 0)
		if err != nil {
			return nil, err
		}
		if len(batch.Entries) == 0 {
			break
		}
		entries = append(entries, batch.Entries...)
		from += uint64(len(batch.Entries))
	}
	return entries, nil
}

// fromLastSnapshot returns the last snapshot in entries for which they hold all records after the
// offset that it covers, and these records. It reports false if there is none.
func fromLastSnapshot(entries []logstore.Entry, end uint64) (Update, bool) {
	if len(entries) == 0 {
		return Update{}, false
	}
	first := entries[0].Offset
	for i := len(entries) - 1; i >= 0; i-- {
		snapshot := DecodeSnapshot(entries[i].Data)
		if snapshot == nil || snapshot.Covers < first || snapshot.Covers > entries[i].Offset {
			continue
		}
		remaining := entries[snapshot.Covers-first:]
		return Update{Snapshot: snapshot, Batch: logstore.Batch{Entries: remaining, End: end}}, true
	}
	return Update{}, false
}
