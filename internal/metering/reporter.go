package metering

import (
	"context"
	"sync"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/duty"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/sharedlog"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// reportSubject is what claims of this duty are about: all windows are one.
	reportSubject = "duty/usage"
	// reporterTick is how often the holder looks for windows that are due.
	reporterTick = 250 * time.Millisecond
	// lookBack is how many windows before the present one are still reported. Later
	// than that a report is of no use to the platform, and the log may have dropped
	// what it was made of.
	lookBack = 12
	// sendReserve is kept between the last moment of a decision and the time at which
	// the report is due: for the claim, the call, and a second try.
	sendReserve = 1500 * time.Millisecond
	// gatherMargin is added to the pauses of the recorders before a window may count as
	// complete: the time of an append and of its reading.
	gatherMargin = 500 * time.Millisecond
	// decidePatience bounds the append of a decision and its reading back.
	decidePatience = time.Second
	// sendTimeout bounds a report. It is below the time for which another holder waits
	// after this one's claim, so that no call of a former holder comes after one of the
	// next.
	sendTimeout = 1800 * time.Millisecond
)

// Sender sends reports to the platform.
type Sender interface {
	// ReportUsage returns nil once the platform took the report. Sending the same one
	// again does no harm.
	ReportUsage(ctx context.Context, right duty.Right, report *pathbendv1.UsageReport) error
}

// Reporter reports windows while this node holds the duty.
type Reporter struct {
	Log       sharedlog.Log
	Partition sharedlog.Partition
	Observer  sharedlog.Observer
	Holder    duty.Holder
	Sender    Sender
	Clock     *Clock
	Logger    *event.Logger
	// Length is that of a window; Late is how long after its end a report is due.
	Length, Late time.Duration
	// Gather is how long counts are gathered before they are written.
	Gather func() time.Duration
	// Observe is told of each report, whether the platform took it and how long after the
	// end of its window; it may be nil.
	Observe func(taken bool, age time.Duration)

	follower *sharedlog.Follower
	mutex    sync.Mutex
	book     *Book
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	r.book = NewBook()
	r.follower = &sharedlog.Follower{
		Log: r.Log, Partition: r.Partition, Observer: r.Observer, Apply: r.apply,
		Pause: func() time.Duration { return reporterTick },
	}
	for wait.For(ctx, reporterTick) {
		if r.Holder.MayAct(time.Now()) {
			r.hold(ctx)
		}
	}
}

// hold reports for as long as this node holds the duty.
func (r *Reporter) hold(ctx context.Context) {
	for r.Holder.MayAct(time.Now()) {
		if r.follower.CatchUp(ctx) == nil {
			r.reportDue(ctx)
		}
		if !wait.For(ctx, reporterTick) {
			return
		}
	}
}

func (r *Reporter) apply(offset uint64, records [][]byte) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for i, record := range records {
		if err := r.book.Apply(record); err != nil {
			r.Logger.Log(event.RecordSkipped, "topic", r.Partition.Topic, "offset", offset+uint64(i), "detail", err.Error())
		}
	}
}

// reportDue reports the windows that are ready, oldest first, until one fails. The
// others are decided all the same, while what they are made of is fresh.
func (r *Reporter) reportDue(ctx context.Context) {
	now := r.Clock.Read()
	from := WindowAt(now, r.Length) - lookBack
	sending := true
	for _, number := range r.due(now, from) {
		report := r.decision(ctx, number, now)
		if report != nil && sending {
			sending = r.send(ctx, report)
		}
	}
}

func (r *Reporter) due(now time.Time, from Window) []Window {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.book.Forget(from)
	return r.book.Due(now, r.Length, from)
}

// decision returns what is to be reported of a window, nil if it is too early or the
// decision could not be kept.
func (r *Reporter) decision(ctx context.Context, number Window, now time.Time) *pathbendv1.UsageReport {
	r.mutex.Lock()
	decided, complete, summed := r.book.Decided(number), r.book.Complete(number), r.book.Report(number)
	r.mutex.Unlock()
	if decided != nil {
		return decided
	}
	age := now.Sub(number.End(r.Length))
	gathered := age >= closeDelay+r.Gather()+gatherMargin
	late := age >= r.Late-sendReserve
	if !late && !(gathered && complete) {
		return nil
	}
	r.Logger.Log(event.UsageDecided, "window", int64(number), "age_ms", age.Milliseconds(), "complete", complete,
		"tenants", len(summed.Counts), "requests", total(summed))
	return r.keep(ctx, summed)
}

// keep writes a decision down and returns the one that stands first in the log, which
// may be another node's.
func (r *Reporter) keep(ctx context.Context, report *pathbendv1.UsageReport) *pathbendv1.UsageReport {
	ctx, cancel := context.WithTimeout(ctx, decidePatience)
	defer cancel()
	entry := &pathbendv1.UsageEntry{Fact: &pathbendv1.UsageEntry_Decided{Decided: report}}
	if err := appendEntries(ctx, r.Log, r.Partition, []*pathbendv1.UsageEntry{entry}); err != nil {
		r.Logger.Log(event.LogAppendRetried, "topic", r.Partition.Topic, "window", report.Window, "detail", err.Error())
	}
	if r.follower.CatchUp(ctx) != nil {
		return nil
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.book.Decided(Window(report.Window))
}

// send claims the duty, reports, and writes down that the platform took it.
func (r *Reporter) send(ctx context.Context, report *pathbendv1.UsageReport) bool {
	right, ok := r.Holder.Claim(ctx, reportSubject)
	if !ok {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	err := r.Sender.ReportUsage(callCtx, right, report)
	age := r.Clock.Read().Sub(Window(report.Window).End(r.Length))
	if r.Observe != nil {
		r.Observe(err == nil, age)
	}
	if err != nil {
		r.Logger.Log(event.UsageUnsent, "window", report.Window, "fence", right.Fence, "detail", err.Error())
		return false
	}
	r.Logger.Log(event.UsageReported, "window", report.Window, "fence", right.Fence, "tenants", len(report.Counts),
		"requests", total(report), "age_ms", age.Milliseconds())
	accepted := &pathbendv1.UsageAccepted{Window: report.Window}
	entry := &pathbendv1.UsageEntry{Fact: &pathbendv1.UsageEntry_Accepted{Accepted: accepted}}
	if err := appendEntries(ctx, r.Log, r.Partition, []*pathbendv1.UsageEntry{entry}); err != nil {
		// The same report goes out once more, which does no harm.
		r.Logger.Log(event.LogAppendRetried, "topic", r.Partition.Topic, "window", report.Window, "detail", err.Error())
	}
	return true
}

func total(report *pathbendv1.UsageReport) uint64 {
	requests := uint64(0)
	for _, row := range report.Counts {
		requests += row.Requests
	}
	return requests
}
