package feed

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

// Counter counts what the feed does.
type Counter interface {
	// EntriesRead counts a reading, by where it came from and whether it was answered.
	EntriesRead(source Source, answered bool)
	// EntriesServed counts an answer to another node, in bytes.
	EntriesServed(bytes int)
}

// Source is where entries come from.
type Source string

// Sources.
const (
	FromLog    Source = "log"
	FromReader Source = "reader"
)

// Config is what a feed works with.
type Config struct {
	Log   sharedlog.Log
	Topic string
	// GroupOf names the group of a record, empty if it has none.
	GroupOf func(sharedlog.KeyedRecord) string
	// Plan tells what this node does now, Wanted which groups it needs where it asks others.
	Plan   func() fanout.Plan
	Wanted func() fanout.Groups
	Caller Caller
	// Hurried is set for a topic that is read from the log itself where no reader has it yet.
	Hurried bool
	Counts  Counter
	Logger  *event.Logger
}

// Feed reads a keyed topic. It is safe for concurrent use.
type Feed struct {
	sharedlog.Log
	config Config
	choice *fanout.Choice
	cache  *fanout.Cache
	// lines bounds what is logged of readers that do not help.
	lines event.Limiter

	// age tells how old what the follower read is.
	age atomic.Pointer[func() time.Duration]

	mutex sync.Mutex
	// held are the groups for which the follower's list is whole.
	held fanout.Groups
	// read is set once there was a list, heldAt is when the newest of each key were read.
	read   bool
	heldAt time.Time
}

// New returns a feed that has read nothing.
func New(config Config) *Feed {
	return &Feed{
		Log: config.Log, config: config, choice: fanout.NewChoice(), cache: fanout.NewCache(config.GroupOf),
	}
}

// Watch names what tells how old what the follower read is. Nodes are answered from then on.
func (f *Feed) Watch(age func() time.Duration) { f.age.Store(&age) }

// wanted returns the groups that this node needs now.
func (f *Feed) wanted(plan fanout.Plan) fanout.Groups {
	if plan.Reads {
		return fanout.All()
	}
	return f.config.Wanted()
}

func (f *Feed) holds() fanout.Groups {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.held
}

// Whole reports whether the follower's list has every entry.
func (f *Feed) Whole() bool { return f.holds().Every() }

// Partial reports whether the follower's list has only the entries that this node wanted.
func (f *Feed) Partial() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.read && !f.held.Every()
}

func (f *Feed) hold(groups fanout.Groups) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.held, f.read, f.heldAt = groups, true, time.Now()
}

// shrinkAfter is how long a node keeps a whole list that it does not need: the readers did
// not have theirs when it asked, and a list that is read again in vain costs as much (chosen).
const shrinkAfter = 10 * time.Second

func (f *Feed) mayShrink() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return time.Since(f.heldAt) > shrinkAfter
}

// Newest implements sharedlog.Log. The first page is asked of a reader, which answers with
// all that this node wants.
func (f *Feed) Newest(ctx context.Context, partition sharedlog.Partition, after string) (sharedlog.KeyedPage, error) {
	plan := f.config.Plan()
	if after == "" && !plan.Reads {
		wanted := f.wanted(plan)
		batch, asked := f.ask(ctx, plan, &pathbendv1.ReadEntries{Newest: true, All: wanted.Every(), Groups: wanted.Names()}, 0)
		if asked {
			f.hold(wanted)
			return sharedlog.KeyedPage{KeyedBatch: batch}, nil
		}
		if f.choice.Waits(time.Now()) && len(plan.Parents) > 0 && !f.config.Hurried {
			wait.For(ctx, fanout.AskAgain)
			return sharedlog.KeyedPage{}, result.New(result.LogUnavailable, "no reader of the entries has answered yet")
		}
	}
	page, err := f.Log.Newest(ctx, partition, after)
	f.config.Counts.EntriesRead(FromLog, err == nil)
	if err == nil && !page.More {
		f.hold(fanout.All())
	}
	return page, err
}

// ReadKeyed implements sharedlog.Log. A node whose list lacks what it wants by now reads it
// anew, as after a truncation.
func (f *Feed) ReadKeyed(ctx context.Context, partition sharedlog.Partition, from uint64, hold time.Duration) (sharedlog.KeyedBatch, error) {
	plan := f.config.Plan()
	held := f.holds()
	if wanted := f.wanted(plan); !held.Covers(wanted) || held.Every() && !wanted.Every() && len(plan.Parents) > 0 && f.mayShrink() {
		return sharedlog.KeyedBatch{}, result.New(result.LogTruncated, "other entries are wanted than were read")
	}
	if f.serves() && !f.cache.Ready() {
		return sharedlog.KeyedBatch{}, result.New(result.LogTruncated, "the newest entries are to be read for others, too")
	}
	if !plan.Reads {
		question := &pathbendv1.ReadEntries{From: from, All: held.Every(), Groups: held.Names(), HoldMs: hold.Milliseconds()}
		batch, asked := f.ask(ctx, plan, question, hold)
		switch {
		case asked && batch.Next == 0:
			return sharedlog.KeyedBatch{}, result.New(result.LogTruncated, "the readers do not keep entries from %d on", from)
		case asked:
			if len(batch.Records) == 0 {
				batch.Held = hold
			}
			return batch, nil
		}
	}
	batch, err := f.Log.ReadKeyed(ctx, partition, from, hold)
	f.config.Counts.EntriesRead(FromLog, err == nil)
	if err == nil && !held.Every() {
		batch.Records = f.only(batch.Records, held)
	}
	return batch, err
}

// only drops records of groups that this node does not hold. Those that say that a key is
// gone, or cannot be read, name no group.
func (f *Feed) only(records []sharedlog.KeyedRecord, held fanout.Groups) []sharedlog.KeyedRecord {
	var kept []sharedlog.KeyedRecord
	for _, record := range records {
		if group := f.config.GroupOf(record); group == "" || held.Has(group) {
			kept = append(kept, record)
		}
	}
	return kept
}

// Reset notes what the follower read as the newest of each key, for other nodes.
func (f *Feed) Reset(records []sharedlog.KeyedRecord, next uint64) {
	if f.serves() {
		f.cache.Reset(records, next)
		return
	}
	f.cache.Clear()
}

// Apply notes what the follower read after that. A node that begins to read for others reads
// the newest of each key first, so that there is nothing to note before.
func (f *Feed) Apply(records []sharedlog.KeyedRecord, next uint64) {
	if f.serves() && f.cache.Ready() {
		f.cache.Apply(records, next)
		return
	}
	f.cache.Clear()
}

// serves reports whether this node reads the entries for others.
func (f *Feed) serves() bool {
	plan := f.config.Plan()
	return plan.Shared && plan.Reads && f.Whole()
}
