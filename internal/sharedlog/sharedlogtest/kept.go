// Package sharedlogtest has a stand-in of a log for tests of what follows one.
package sharedlogtest

import (
	"context"
	"sync"
	"time"

	"github.com/pathbend/pathbend/internal/sharedlog"
)

// Kept is a log with one keyed topic, which keeps what is appended. Reads of parts and appends
// without keys are not implemented.
type Kept struct {
	sharedlog.Log

	mutex   sync.Mutex
	entries []sharedlog.KeyedRecord
}

// AppendKeyed implements sharedlog.Log.
func (l *Kept) AppendKeyed(_ context.Context, _ sharedlog.Partition, records []sharedlog.KeyedRecord) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.entries = append(l.entries, records...)
	return nil
}

func (l *Kept) count() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return uint64(len(l.entries))
}

// ReadKeyed implements sharedlog.Log.
func (l *Kept) ReadKeyed(_ context.Context, _ sharedlog.Partition, from uint64, wait time.Duration) (sharedlog.KeyedBatch, error) {
	for began := time.Now(); time.Since(began) < wait && l.count() <= from; {
		time.Sleep(time.Millisecond)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	read := sharedlog.KeyedBatch{End: uint64(len(l.entries))}
	for offset, entry := range l.entries[min(int(from), len(l.entries)):] {
		entry.Offset = from + uint64(offset)
		read.Records = append(read.Records, entry)
		read.Next = entry.Offset + 1
	}
	return read, nil
}

// Read implements sharedlog.Log: other topics are empty.
func (l *Kept) Read(_ context.Context, _ sharedlog.Partition, _ uint64, wait time.Duration) (sharedlog.Batch, error) {
	time.Sleep(wait)
	return sharedlog.Batch{}, nil
}

// Newest implements sharedlog.Log: what was appended before is read on.
func (l *Kept) Newest(context.Context, sharedlog.Partition, string) (sharedlog.KeyedPage, error) {
	return sharedlog.KeyedPage{}, nil
}
