package metering

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/sharedlog"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// saveTimeout bounds one append of counts. What was not answered is appended again.
	saveTimeout = 1500 * time.Millisecond
	// lastSaveTimeout bounds the last append of a process that stops: it must end within
	// the second that a planned stop leaves it.
	lastSaveTimeout = 500 * time.Millisecond
)

// Recorder writes a process's counts into the log. It is safe for concurrent use.
type Recorder struct {
	Log       sharedlog.Log
	Partition sharedlog.Partition
	Clock     *Clock
	// Pause is how long counts are gathered before they are written. What a process
	// gathered is lost when it is killed.
	Pause  func() time.Duration
	Logger *event.Logger

	mutex   sync.Mutex
	counter *Counter
	// failing is set while appends fail.
	failing bool
}

// NewRecorder returns a recorder of a process's counter.
func NewRecorder(counter *Counter) *Recorder { return &Recorder{counter: counter} }

// Count counts a request of a tenant that began at a reading of the machine's clock.
func (r *Recorder) Count(tenant string, began time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counter.Count(tenant, r.Clock.At(began))
}

// Run writes counts until ctx ends, and once more then.
func (r *Recorder) Run(ctx context.Context) {
	for wait.For(ctx, r.Pause()) {
		r.save(ctx, saveTimeout)
	}
	r.save(context.WithoutCancel(ctx), lastSaveTimeout)
}

func (r *Recorder) save(ctx context.Context, timeout time.Duration) {
	entries := r.unsaved()
	if len(entries) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := appendEntries(ctx, r.Log, r.Partition, countedEntries(entries)); err != nil {
		r.noteFailure(err)
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.failing = false
	r.counter.Saved(entries)
}

func (r *Recorder) unsaved() []*pathbendv1.UsageCounts {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counter.Advance(r.Clock.Read())
	return r.counter.Unsaved()
}

// noteFailure logs the first failure in a row.
func (r *Recorder) noteFailure(err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.failing {
		r.Logger.Log(event.UsageUnsaved, "detail", err.Error())
	}
	r.failing = true
}

func countedEntries(counts []*pathbendv1.UsageCounts) []*pathbendv1.UsageEntry {
	entries := make([]*pathbendv1.UsageEntry, 0, len(counts))
	for _, counted := range counts {
		entries = append(entries, &pathbendv1.UsageEntry{Fact: &pathbendv1.UsageEntry_Counted{Counted: counted}})
	}
	return entries
}

func appendEntries(ctx context.Context, log sharedlog.Log, partition sharedlog.Partition, entries []*pathbendv1.UsageEntry) error {
	records := make([][]byte, 0, len(entries))
	for _, entry := range entries {
		record, err := proto.Marshal(entry)
		if err != nil {
			return err
		}
		records = append(records, record)
	}
	_, err := log.Append(ctx, partition, records)
	return err
}
