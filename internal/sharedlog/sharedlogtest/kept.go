// Package sharedlogtest provides an in-memory log for tests of code that follows one.
package sharedlogtest

import (
	"context"
	"sync"
	"time"

	"github.com/pathbend/pathbend/internal/sharedlog"
)

// Kept is an in-memory log with one keyed topic. ReadPart and Append are not implemented and
// panic.
type Kept struct {
	sharedlog.Log

	mutex   sync.Mutex
	records []sharedlog.KeyedRecord
}

// AppendKeyed implements sharedlog.Log.
func (l *Kept) AppendKeyed(_ context.Context, _ sharedlog.Partition, records []sharedlog.KeyedRecord) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.records = append(l.records, records...)
	return nil
}

func (l *Kept) count() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return uint64(len(l.records))
}

// ReadKeyed implements sharedlog.Log.
func (l *Kept) ReadKeyed(_ context.Context, _ sharedlog.Partition, from uint64, wait time.Duration) (sharedlog.KeyedBatch, error) {
	for began := time.Now(); time.Since(began) < wait && l.count() <= from; {
		time.Sleep(time.Millisecond)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	read := sharedlog.KeyedBatch{End: uint64(len(l.records))}
	for offset, entry := range l.records[min(int(from), len(l.records)):] {
		entry.Offset = from + uint64(offset)
		read.Records = append(read.Records, entry)
		read.Next = entry.Offset + 1
	}
	return read, nil
}

// Read implements sharedlog.Log. It returns no records after wait: topics without keys are
// empty.
func (l *Kept) Read(_ context.Context, _ sharedlog.Partition, _ uint64, wait time.Duration) (sharedlog.Batch, error) {
	time.Sleep(wait)
	return sharedlog.Batch{}, nil
}

// Newest implements sharedlog.Log. It returns an empty page; followers read all records with
// ReadKeyed.
func (l *Kept) Newest(context.Context, sharedlog.Partition, string) (sharedlog.KeyedPage, error) {
	return sharedlog.KeyedPage{}, nil
}
