package fanout

import (
	"slices"
	"sync"
	"time"
)

// lateReaderMemory is how long the order of the readers stays changed after a late answer.
const lateReaderMemory = 10 * time.Second

// LateReaders changes the order in which a node asks its readers: after a late answer another
// reader comes first. Unlike a failed reader, a late one is not avoided, so that readers that are
// all late, because the log is slow, are still asked. The zero value is ready for use. It is safe
// for concurrent use.
type LateReaders struct {
	mutex sync.Mutex
	// late is the number of late answers, the last of them at lastAt.
	late   int
	lastAt time.Time
}

// RecordLate records a late answer.
func (l *LateReaders) RecordLate(now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.late++
	l.lastAt = now
}

// Apply returns readers in the order in which they are to be asked now.
func (l *LateReaders) Apply(readers []Node, now time.Time) []Node {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.late > 0 && now.Sub(l.lastAt) > lateReaderMemory {
		l.late = 0
	}
	if l.late == 0 || len(readers) == 0 {
		return readers
	}
	first := l.late % len(readers)
	return slices.Concat(readers[first:], readers[:first])
}
