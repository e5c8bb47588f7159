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
	// saveTimeout bounds one append of counts. Counts whose append was not acknowledged are
	// appended again.
	saveTimeout = 1500 * time.Millisecond
	// finalSaveTimeout bounds the last append of a process that stops. It must end within the
	// 1 s that a planned stop leaves the process.
	finalSaveTimeout = 500 * time.Millisecond
)

// Recorder appends the counts of a process to the shared log. It is safe for concurrent use.
type Recorder struct {
	Log       sharedlog.Log
	Partition sharedlog.Partition
	Clock     *Clock
	// GatherInterval returns the time for which counts are gathered before they are
	// appended. Counts that a process has not appended are lost when it is killed.
	GatherInterval func() time.Duration
	Logger         *event.Logger

	mutex   sync.Mutex
	counter *Counter
	// failing is set if the last append failed.
	failing bool
}

// NewRecorder returns a recorder for the counter of a process. The caller sets the
// exported fields before use.
func NewRecorder(counter *Counter) *Recorder { return &Recorder{counter: counter} }

// Count counts a request of a tenant. startedAt is the reading of the machine's clock when the
// request began.
func (r *Recorder) Count(tenant string, startedAt time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counter.Count(tenant, r.Clock.At(startedAt))
}

// Run appends counts until ctx ends, and then once more.
func (r *Recorder) Run(ctx context.Context) {
	for wait.For(ctx, r.GatherInterval()) {
		r.save(ctx, saveTimeout)
	}
	r.save(context.WithoutCancel(ctx), finalSaveTimeout)
}

// save appends the unsaved counts within the timeout and marks them as saved.
func (r *Recorder) save(ctx context.Context, timeout time.Duration) {
	entries := r.unsavedEntries()
	if len(entries) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := appendEntries(ctx, r.Log, r.Partition, countedEntries(entries)); err != nil {
		r.logFailure(err)
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.failing = false
	r.counter.MarkSaved(entries)
}

// unsavedEntries closes the windows that have ended and returns the unsaved entries.
func (r *Recorder) unsavedEntries() []*pathbendv1.UsageCounts {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counter.Advance(r.Clock.Read())
	return r.counter.UnsavedEntries()
}

// logFailure logs the first of consecutive failures.
func (r *Recorder) logFailure(err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.failing {
		r.Logger.Log(event.UsageUnsaved, "detail", err.Error())
	}
	r.failing = true
}

// countedEntries wraps counts in log entries.
func countedEntries(counts []*pathbendv1.UsageCounts) []*pathbendv1.UsageEntry {
	entries := make([]*pathbendv1.UsageEntry, 0, len(counts))
	for _, entry := range counts {
		entries = append(entries, &pathbendv1.UsageEntry{Fact: &pathbendv1.UsageEntry_Counted{Counted: entry}})
	}
	return entries
}

// appendEntries appends the entries to the partition in one call.
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
