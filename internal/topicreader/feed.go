package topicreader

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/fanout"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/sharedlog"
	"github.com/pathbend/pathbend/internal/wait"
)

// Caller makes calls to other nodes.
type Caller interface {
	Call(ctx context.Context, address string, call *pathbendv1.Envelope) (*pathbendv1.Envelope, error)
}

// Counter counts a feed's reads and responses.
type Counter interface {
	// EntriesRead counts a read, by its source and whether it succeeded.
	EntriesRead(source Source, succeeded bool)
	// EntriesServed counts a response to another node, by its compressed size in bytes.
	EntriesServed(bytes int)
}

// Source is where entries are read from. Its values are metric labels.
type Source string

// Sources of entries: the log itself, and another node that reads it.
const (
	FromLog    Source = "log"
	FromReader Source = "reader"
)

// Config holds the settings and dependencies of a feed.
type Config struct {
	Log   sharedlog.Log
	Topic string
	// GroupOf returns the group of a record, or "" if it names none.
	GroupOf func(sharedlog.KeyedRecord) string
	// Plan returns this node's current role and its readers.
	Plan func() fanout.Plan
	// RequiredGroups returns the groups that this node needs if it reads through others.
	RequiredGroups func() fanout.Groups
	Caller         Caller
	// SkipReaderWait makes a node that starts read the log at once if no reader responds, instead
	// of waiting for a reader to become ready, and a node that loses its readers read it soon. It
	// is for topics whose entries are rare and small: all nodes may read them at the same time.
	SkipReaderWait bool
	// Limits is what the log serves to all nodes together.
	Limits fanout.LogLimits
	// ExtraLatency returns how much longer the log's responses take than those of a log in the
	// same data center. It may be nil, which means 0.
	ExtraLatency func() time.Duration
	Counter      Counter
	Logger       *event.Logger
}

// Feed reads a keyed topic from the log or through a reader. It is safe for concurrent use.
type Feed struct {
	sharedlog.Log
	config   Config
	selector *fanout.ReaderSelector
	// fallback paces the reads of the log while no reader answers.
	fallback pacedLog
	cache    *fanout.Cache
	// logLimiter limits the rate of log entries about failed readers.
	logLimiter event.Limiter

	// age returns the age of the follower's data. It is nil until it is set.
	age atomic.Pointer[func() time.Duration]

	mutex sync.Mutex
	// loaded holds the groups of which the follower has every entry.
	loaded fanout.Groups
	// hasLoaded is set after the first read of the newest entries, loadedAt is the time of
	// the last one.
	hasLoaded bool
	loadedAt  time.Time
}

// New returns a feed that has read nothing.
func New(config Config) *Feed {
	recordRead := func(succeeded bool) { config.Counter.EntriesRead(FromLog, succeeded) }
	return &Feed{
		Log: config.Log, config: config, selector: fanout.NewReaderSelector(),
		fallback: newPacedLog(config.Limits, config.ExtraLatency, recordRead), cache: fanout.NewCache(config.GroupOf),
	}
}

// SetAgeFunc sets the function that returns the age of the follower's data. Requests of other
// nodes are refused before it is set.
func (f *Feed) SetAgeFunc(age func() time.Duration) { f.age.Store(&age) }

// requiredGroups returns the groups that this node needs under a plan: all of them if it reads
// the log.
func (f *Feed) requiredGroups(plan fanout.Plan) fanout.Groups {
	if plan.ReadsLog {
		return fanout.All()
	}
	return f.config.RequiredGroups()
}

func (f *Feed) loadedGroups() fanout.Groups {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.loaded
}

// Complete reports whether the follower has the entries of all groups.
func (f *Feed) Complete() bool { return f.loadedGroups().IncludesAll() }

// Partial reports whether the follower has loaded entries, but only those of some groups.
func (f *Feed) Partial() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.hasLoaded && !f.loaded.IncludesAll()
}

// started reports whether the follower has loaded entries.
func (f *Feed) started() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.hasLoaded
}

func (f *Feed) setLoaded(groups fanout.Groups) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.loaded, f.hasLoaded, f.loadedAt = groups, true, time.Now()
}

// shrinkDelay is the minimum time for which a node keeps entries of groups that it does not
// need. It read them from the log because no reader answered; it keeps them until one does, since
// another read of the full list costs as much again.
const shrinkDelay = 10 * time.Second

func (f *Feed) mayShrink() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return time.Since(f.loadedAt) > shrinkDelay && !f.fallback.Active()
}

// ReadNewest implements sharedlog.Log. A node that does not read the log itself requests the
// first page from a reader, whose response holds the newest entries of all groups that the
// node needs. If no reader answers, it reads the pages from the log, and asks the readers again
// before each one; it returns result.LogTruncated once one answers between two pages.
func (f *Feed) ReadNewest(ctx context.Context, partition sharedlog.Partition, after string) (sharedlog.KeyedPage, error) {
	plan := f.config.Plan()
	if plan.ReadsLog || len(plan.Parents) == 0 {
		page, err := f.readPage(ctx, partition, after)
		f.config.Counter.EntriesRead(FromLog, err == nil)
		return page, err
	}
	required := f.requiredGroups(plan)
	answer := f.fetch(ctx, plan, &pathbendv1.ReadEntries{Newest: true, All: required.IncludesAll(), Groups: required.Names()}, 0)
	switch {
	case answer.received && after != "":
		return sharedlog.KeyedPage{}, result.New(result.LogTruncated, "a reader has the newest entries, which replace the pages read from the log so far")
	case answer.received:
		f.setLoaded(required)
		return sharedlog.KeyedPage{KeyedBatch: answer.KeyedBatch}, nil
	case after == "" && !f.fallback.Active() && !f.config.SkipReaderWait && f.selector.MayWaitForReaders(time.Now()):
		wait.For(ctx, fanout.RetryInterval)
		return sharedlog.KeyedPage{}, result.New(result.LogUnavailable, "no reader has served the newest entries yet")
	}
	var page sharedlog.KeyedPage
	err := f.fallback.read(ctx, f.newestRead(plan), func(ctx context.Context) (more bool, err error) {
		page, err = f.readPage(ctx, partition, after)
		return err == nil && page.More, err
	})
	return page, err
}

// ReadKeyed implements sharedlog.Log. It returns result.LogTruncated, upon which the follower
// reads the newest entries again, if this node now needs other groups than it has loaded.
func (f *Feed) ReadKeyed(ctx context.Context, partition sharedlog.Partition, from uint64, hold time.Duration) (sharedlog.KeyedBatch, error) {
	plan := f.config.Plan()
	loaded := f.loadedGroups()
	if required := f.requiredGroups(plan); !loaded.Covers(required) || loaded.IncludesAll() && !required.IncludesAll() && len(plan.Parents) > 0 && f.mayShrink() {
		return sharedlog.KeyedBatch{}, result.New(result.LogTruncated, "the groups that this node needs differ from those that it has loaded")
	}
	if f.serves() && !f.cache.Ready() {
		return sharedlog.KeyedBatch{}, result.New(result.LogTruncated, "the newest entries must be read again to serve other nodes")
	}
	if plan.ReadsLog || len(plan.Parents) == 0 {
		batch, err := f.readEntries(ctx, partition, from, hold, loaded)
		f.config.Counter.EntriesRead(FromLog, err == nil)
		return batch, err
	}
	answer := f.fetch(ctx, plan, &pathbendv1.ReadEntries{From: from, All: loaded.IncludesAll(), Groups: loaded.Names()}, hold)
	switch {
	case answer.received:
		return answer.KeyedBatch, nil
	case answer.truncated:
		return sharedlog.KeyedBatch{}, result.New(result.LogTruncated, "the readers no longer keep the entries from offset %d", from)
	}
	var batch sharedlog.KeyedBatch
	err := f.fallback.read(ctx, f.entriesRead(plan), func(ctx context.Context) (more bool, err error) {
		// The node has waited for its readers and its turn, so that the log need not hold the read.
		batch, err = f.readEntries(ctx, partition, from, 0, loaded)
		return err == nil && batch.NextOffset < batch.EndOffset, err
	})
	return batch, err
}

// readEntries reads entries of the loaded groups from the log.
func (f *Feed) readEntries(ctx context.Context, partition sharedlog.Partition, from uint64, hold time.Duration, loaded fanout.Groups) (sharedlog.KeyedBatch, error) {
	batch, err := f.Log.ReadKeyed(ctx, partition, from, hold)
	if err == nil && !loaded.IncludesAll() {
		batch.Records = f.filter(batch.Records, loaded)
	}
	return batch, err
}

// ReadAvailable implements sharedlog.Log. Followers probe with it whether the log is back, which
// says nothing about the readers of a node that does not read the log itself.
func (f *Feed) ReadAvailable(ctx context.Context, partition sharedlog.Partition, from uint64, maxBytes int) (sharedlog.Batch, error) {
	return readAvailableIfDirect(ctx, f.Log, f.config.Plan(), partition, from, maxBytes)
}

// readAvailableIfDirect reads the log unless the plan names readers.
func readAvailableIfDirect(ctx context.Context, log sharedlog.Log, plan fanout.Plan, partition sharedlog.Partition, from uint64, maxBytes int) (sharedlog.Batch, error) {
	if !plan.ReadsLog && len(plan.Parents) > 0 {
		return sharedlog.Batch{}, result.New(result.LogUnavailable, "this node reads the topic through other nodes")
	}
	return log.ReadAvailable(ctx, partition, from, maxBytes)
}

// filter returns the records of the given groups. It keeps records without a group: those
// that delete a key, or cannot be decoded.
func (f *Feed) filter(records []sharedlog.KeyedRecord, groups fanout.Groups) []sharedlog.KeyedRecord {
	var filtered []sharedlog.KeyedRecord
	for _, record := range records {
		if group := f.config.GroupOf(record); group == "" || groups.Includes(group) {
			filtered = append(filtered, record)
		}
	}
	return filtered
}

// Reset replaces the cache that serves other nodes by the newest entries, as the follower
// read them; next is the offset of the record after them. If this node does not serve other
// nodes, it clears the cache.
func (f *Feed) Reset(records []sharedlog.KeyedRecord, next uint64) {
	if f.serves() {
		f.cache.Reset(records, next)
		return
	}
	f.cache.Clear()
}

// Apply adds records that the follower read after the newest entries to the cache. It has no
// effect until Reset has filled the cache: a node that becomes a reader reads the newest entries
// first. If this node does not serve other nodes, it clears the cache.
func (f *Feed) Apply(records []sharedlog.KeyedRecord, next uint64) {
	if f.serves() && f.cache.Ready() {
		f.cache.Apply(records, next)
		return
	}
	f.cache.Clear()
}

// serves reports whether this node is a reader that serves all groups to other nodes.
func (f *Feed) serves() bool {
	plan := f.config.Plan()
	return plan.Shared && plan.ReadsLog && f.Complete()
}
