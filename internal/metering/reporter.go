package metering

import (
	"context"
	"sync"
	"time"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/exclusive"
	"github.com/pathbend/pathbend/internal/sharedlog"
	"github.com/pathbend/pathbend/internal/wait"
)

const (
	// claimSubject identifies this duty in claims. All windows share it.
	claimSubject = "duty/usage"
	// pollInterval is the interval at which the duty holder checks for windows that are due.
	pollInterval = 250 * time.Millisecond
	// maxReportedWindows is how many windows before the current one are still reported. An
	// older report is of no use to the platform, and the log may have dropped its entries.
	maxReportedWindows = 12
	// sendMargin is the time between the last moment of a decision and the time at which the
	// report is due: for the claim, the call, and a second attempt.
	sendMargin = 1500 * time.Millisecond
	// readMargin is added to the gather interval of the recorders before a window may count
	// as complete: the time of an append and of reading it.
	readMargin = 500 * time.Millisecond
	// decisionTimeout bounds the append of a decision and reading it back.
	decisionTimeout = time.Second
	// sendTimeout bounds the call that sends a report. It is below the time that a new holder
	// waits after this one's claim, so that no call of the previous holder arrives after one
	// of the new holder.
	sendTimeout = 1800 * time.Millisecond
)

// Sender sends reports to the platform.
type Sender interface {
	// ReportUsage sends a report under a permit and returns nil once the platform accepted
	// the report. It is idempotent.
	ReportUsage(ctx context.Context, permit exclusive.Permit, report *pathbendv1.UsageReport) error
}

// Reporter reports the usage of windows to the platform while this node holds the duty.
type Reporter struct {
	Log       sharedlog.Log
	Partition sharedlog.Partition
	Observer  sharedlog.Observer
	Holder    exclusive.Holder
	Sender    Sender
	Clock     *Clock
	Logger    *event.Logger
	// WindowLength is the length of a window; ReportDueAfter is how long after the end of a
	// window its report is due.
	WindowLength, ReportDueAfter time.Duration
	// GatherInterval returns the time for which recorders gather counts before they append them.
	GatherInterval func() time.Duration
	// OnReport is called after each attempt to send a report, with whether the platform
	// accepted the report and the time since the end of its window; it may be nil.
	OnReport func(accepted bool, age time.Duration)

	follower   *sharedlog.Follower
	mutex      sync.Mutex
	aggregator *Aggregator
}

// Run reports windows until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	r.aggregator = NewAggregator()
	r.follower = &sharedlog.Follower{
		Log: r.Log, Partition: r.Partition, Observer: r.Observer, Apply: r.apply,
		Pause: func() time.Duration { return pollInterval },
	}
	for wait.For(ctx, pollInterval) {
		if r.Holder.IsHolder(time.Now()) {
			r.reportWhileHolder(ctx)
		}
	}
}

// reportWhileHolder reports windows for as long as this node holds the duty.
func (r *Reporter) reportWhileHolder(ctx context.Context) {
	for r.Holder.IsHolder(time.Now()) {
		if r.follower.CatchUp(ctx) == nil {
			r.reportDue(ctx)
		}
		if !wait.For(ctx, pollInterval) {
			return
		}
	}
}

// apply applies records of the log and skips malformed ones.
func (r *Reporter) apply(offset uint64, records [][]byte) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for i, record := range records {
		if err := r.aggregator.Apply(record); err != nil {
			r.Logger.Log(event.RecordSkipped, "topic", r.Partition.Topic, "offset", offset+uint64(i), "detail", err.Error())
		}
	}
}

// reportDue sends the reports of the windows that are ready, oldest first, until one fails.
// The content of later ones is still decided, while their entries are recent.
func (r *Reporter) reportDue(ctx context.Context) {
	now := r.Clock.Read()
	from := WindowAt(now, r.WindowLength) - maxReportedWindows
	sending := true
	for _, number := range r.dueWindows(now, from) {
		report := r.decide(ctx, number, now)
		if report != nil && sending {
			sending = r.send(ctx, report)
		}
	}
}

// dueWindows drops the windows before from and returns those that are due.
func (r *Reporter) dueWindows(now time.Time, from Window) []Window {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.aggregator.DropBefore(from)
	return r.aggregator.DueWindows(now, r.WindowLength, from)
}

// decide returns the report to send for a window, nil if it is too early or the decision
// could not be read back from the log.
func (r *Reporter) decide(ctx context.Context, number Window, now time.Time) *pathbendv1.UsageReport {
	r.mutex.Lock()
	decided, complete, summed := r.aggregator.DecidedReport(number), r.aggregator.Complete(number), r.aggregator.SumCounts(number)
	r.mutex.Unlock()
	if decided != nil {
		return decided
	}
	age := now.Sub(number.End(r.WindowLength))
	gathered := age >= closeDelay+r.GatherInterval()+readMargin
	urgent := age >= r.ReportDueAfter-sendMargin
	if !urgent && !(gathered && complete) {
		return nil
	}
	r.Logger.Log(event.UsageDecided, "window", int64(number), "age_ms", age.Milliseconds(), "complete", complete,
		"tenants", len(summed.Counts), "requests", totalRequests(summed))
	return r.appendDecision(ctx, summed)
}

// appendDecision appends a decision to the log and returns the first one that the log
// holds for the window, which may be another node's.
func (r *Reporter) appendDecision(ctx context.Context, report *pathbendv1.UsageReport) *pathbendv1.UsageReport {
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
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
	return r.aggregator.DecidedReport(Window(report.Window))
}

// send claims the duty, sends the report, and records in the log that the platform accepted
// it. It returns false if the report could not be sent.
func (r *Reporter) send(ctx context.Context, report *pathbendv1.UsageReport) bool {
	permit, ok := r.Holder.AcquirePermit(ctx, claimSubject)
	if !ok {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	err := r.Sender.ReportUsage(callCtx, permit, report)
	age := r.Clock.Read().Sub(Window(report.Window).End(r.WindowLength))
	if r.OnReport != nil {
		r.OnReport(err == nil, age)
	}
	if err != nil {
		r.Logger.Log(event.UsageUnsent, "window", report.Window, "fence", permit.Fence, "detail", err.Error())
		return false
	}
	r.Logger.Log(event.UsageReported, "window", report.Window, "fence", permit.Fence, "tenants", len(report.Counts),
		"requests", totalRequests(report), "age_ms", age.Milliseconds())
	accepted := &pathbendv1.UsageAccepted{Window: report.Window}
	entry := &pathbendv1.UsageEntry{Fact: &pathbendv1.UsageEntry_Accepted{Accepted: accepted}}
	if err := appendEntries(ctx, r.Log, r.Partition, []*pathbendv1.UsageEntry{entry}); err != nil {
		// The same report is sent again, which does no harm since ReportUsage is idempotent.
		r.Logger.Log(event.LogAppendRetried, "topic", r.Partition.Topic, "window", report.Window, "detail", err.Error())
	}
	return true
}

// totalRequests returns the number of requests of all tenants.
func totalRequests(report *pathbendv1.UsageReport) uint64 {
	requests := uint64(0)
	for _, row := range report.Counts {
		requests += row.Requests
	}
	return requests
}
