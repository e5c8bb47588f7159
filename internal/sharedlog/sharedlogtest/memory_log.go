// Package sharedlogtest provides an in-memory log for tests of code that follows one.
package sharedlogtest

import (
	"context"
	"sync"
	"time"

	"github.com/pathbend/pathbend/internal/sharedlog"
)

// MemoryLog is an in-memory log with one keyed topic. ReadAvailable and Append are not
// implemented and panic.
type MemoryLog struct {
	sharedlog.Log

	mutex   sync.Mutex
	records []sharedlog.KeyedRecord
}

// AppendKeyed implements sharedlog.Log.
func (l *MemoryLog) AppendKeyed(_ context.Context, _ sharedlog.Partition, records []sharedlog.KeyedRecord) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.records = append(l.records, records...)
	return nil
}

func (l *MemoryLog) count() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return uint64(len(l.records))
}

// ReadKeyed implements sharedlog.Log.
func (l *MemoryLog) ReadKeyed(_ context.Context, _ sharedlog.Partition, from uint64, wait time.Duration) (sharedlog.KeyedBatch, error) {
	for began := time.Now(); time.Since(began) < wait && l.count() <= from; {
		time.Sleep(time.Millisecond)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	read := sharedlog.KeyedBatch{EndOffset: uint64(len(l.records))}
	for index, record := range l.records[min(int(from), len(l.records)):] {
		record.Offset = from + uint64(index)
		read.Records = append(read.Records, record)
		read.NextOffset = record.Offset + 1
	}
	return read, nil
}

// Read implements sharedlog.Log. It returns no records after wait: topics without keys are
// empty.
func (l *MemoryLog) Read(_ context.Context, _ sharedlog.Partition, _ uint64, wait time.Duration) (sharedlog.Batch, error) {
	time.Sleep(wait)
	return sharedlog.Batch{}, nil
}

// ReadNewest implements sharedlog.Log. It returns an empty page; followers read all records
// with ReadKeyed.
func (l *MemoryLog) ReadNewest(context.Context, sharedlog.Partition, string) (sharedlog.KeyedPage, error) {
	return sharedlog.KeyedPage{}, nil
}
