package metering

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/exclusive"
	"github.com/pathbend/pathbend/internal/sharedlog"
)

// memoryLog is an in-memory log of one partition that can be made unavailable.
type memoryLog struct {
	sharedlog.Log

	mutex       sync.Mutex
	records     [][]byte
	unavailable bool
}

var errUnavailable = errors.New("unavailable")

func (l *memoryLog) Append(_ context.Context, _ sharedlog.Partition, records [][]byte) (uint64, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.unavailable {
		return 0, errUnavailable
	}
	l.records = append(l.records, records...)
	return uint64(len(l.records) - len(records)), nil
}

func (l *memoryLog) Read(_ context.Context, _ sharedlog.Partition, from uint64, _ time.Duration) (sharedlog.Batch, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.unavailable {
		return sharedlog.Batch{}, errUnavailable
	}
	return sharedlog.Batch{Records: l.records[from:], EndOffset: uint64(len(l.records))}, nil
}

func (l *memoryLog) setUnavailable(unavailable bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.unavailable = unavailable
}

// ReadFailed implements sharedlog.Observer.
func (l *memoryLog) ReadFailed(sharedlog.Partition, error) {}

// ReadRecovered implements sharedlog.Observer.
func (l *memoryLog) ReadRecovered(sharedlog.Partition, time.Duration) {}

// fakeHolder is a duty holder whose state is set by the test.
type fakeHolder struct {
	mutex  sync.Mutex
	permit exclusive.Permit
	held   bool
}

func (h *fakeHolder) IsHolder(time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.held
}

func (h *fakeHolder) AcquirePermit(context.Context, string) (exclusive.Permit, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.permit, h.held
}

func (h *fakeHolder) setHeld(held bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.held = held
}

// fakePlatform records the reports that it accepted.
type fakePlatform struct {
	mutex      sync.Mutex
	accepted   []*pathbendv1.UsageReport
	acceptedAt []time.Time
	failing    bool
}

func (p *fakePlatform) ReportUsage(_ context.Context, _ exclusive.Permit, report *pathbendv1.UsageReport) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.failing {
		return errUnavailable
	}
	p.accepted = append(p.accepted, report)
	p.acceptedAt = append(p.acceptedAt, time.Now())
	return nil
}

func (p *fakePlatform) setFailing(failing bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.failing = failing
}

func (p *fakePlatform) reports() []*pathbendv1.UsageReport {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return append([]*pathbendv1.UsageReport(nil), p.accepted...)
}

// reportDueAfter is how long after the end of a window its report is due.
const reportDueAfter = 10 * time.Second

// cluster is a set of nodes that share a log and report to one platform.
type cluster struct {
	log      *memoryLog
	platform *fakePlatform
}

// startNode starts a node that counts requests, and reports windows while its duty holder is
// set.
func (c *cluster) startNode(ctx context.Context, name string, fencingToken uint64) (*Recorder, *fakeHolder) {
	gatherInterval := func() time.Duration { return 300 * time.Millisecond }
	clock := &Clock{Now: time.Now}
	recorder := NewRecorder(NewCounter(name, fencingToken, windowLength, clock.Read()))
	recorder.Log, recorder.Clock, recorder.GatherInterval, recorder.Logger = c.log, clock, gatherInterval, event.Discard()
	holder := &fakeHolder{permit: exclusive.Permit{Holder: name, Fence: fencingToken}}
	reporter := &Reporter{
		Log: c.log, Observer: c.log, Holder: holder, Sender: c.platform, Clock: clock, Logger: event.Discard(),
		WindowLength: windowLength, ReportDueAfter: reportDueAfter, GatherInterval: gatherInterval,
	}
	go recorder.Run(ctx)
	go reporter.Run(ctx)
	return recorder, holder
}

func withCluster(t *testing.T, run func(ctx context.Context, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		run(ctx, &cluster{log: &memoryLog{}, platform: &fakePlatform{}})
	})
}

// sleepIntoNextWindow sleeps until an offset into the next window and returns that window.
func sleepIntoNextWindow(offset time.Duration) Window {
	next := WindowAt(time.Now(), windowLength).End(windowLength)
	time.Sleep(time.Until(next.Add(offset)))
	return WindowAt(time.Now(), windowLength)
}

func reportOf(reports []*pathbendv1.UsageReport, number Window) *pathbendv1.UsageReport {
	for _, report := range reports {
		if report.Window == int64(number) {
			return report
		}
	}
	return nil
}

func TestWindowIsReportedOnceAllNodesClosedIt(t *testing.T) {
	withCluster(t, func(ctx context.Context, c *cluster) {
		one, holder := c.startNode(ctx, "one", 1)
		two, _ := c.startNode(ctx, "two", 2)
		holder.setHeld(true)
		sleepIntoNextWindow(time.Second)
		number := sleepIntoNextWindow(time.Second)
		one.Count("a", time.Now())
		two.Count("a", time.Now())
		two.Count("b", time.Now())
		time.Sleep(time.Until(number.End(windowLength).Add(4 * time.Second)))
		require.Equal(t, map[string]uint64{"a": 2, "b": 1}, countsOf(reportOf(c.platform.reports(), number)))
		before := len(c.platform.reports())
		time.Sleep(900 * time.Millisecond)
		require.Len(t, c.platform.reports(), before, "each window is reported once")
	})
}

// A node that does not append its counts delays the report of a window, but not beyond the
// time at which the report is due.
func TestReportWaitsForAMissingNodeUntilItIsDue(t *testing.T) {
	withCluster(t, func(ctx context.Context, c *cluster) {
		_, holder := c.startNode(ctx, "one", 1)
		nodeCtx, stop := context.WithCancel(ctx)
		c.startNode(nodeCtx, "two", 2)
		holder.setHeld(true)
		sleepIntoNextWindow(time.Second)
		number := sleepIntoNextWindow(time.Second)
		stop()
		time.Sleep(time.Until(number.End(windowLength).Add(reportDueAfter - sendMargin - time.Second)))
		require.Nil(t, reportOf(c.platform.reports(), number))
		time.Sleep(2 * time.Second)
		require.NotNil(t, reportOf(c.platform.reports(), number))
	})
}

// Guards against differing reports of a window: two nodes that hold the duty at once know
// different counts but must send the same report.
func TestReportsOfAWindowNeverDiffer(t *testing.T) {
	withCluster(t, func(ctx context.Context, c *cluster) {
		one, first := c.startNode(ctx, "one", 1)
		_, second := c.startNode(ctx, "two", 2)
		first.setHeld(true)
		number := sleepIntoNextWindow(time.Second)
		one.Count("a", time.Now())
		c.platform.setFailing(true)
		time.Sleep(time.Until(number.End(windowLength).Add(4 * time.Second)))
		// Counts that arrive after the decision are not reported.
		one.Count("a", number.End(windowLength).Add(-time.Second))
		second.setHeld(true)
		c.platform.setFailing(false)
		time.Sleep(8 * time.Second)
		for _, report := range c.platform.reports() {
			if report.Window == int64(number) {
				require.Equal(t, map[string]uint64{"a": 1}, countsOf(report))
			}
		}
		require.NotNil(t, reportOf(c.platform.reports(), number))
	})
}

func TestWindowsOfALogOutageAreReportedOldestFirstAfterIt(t *testing.T) {
	withCluster(t, func(ctx context.Context, c *cluster) {
		one, holder := c.startNode(ctx, "one", 1)
		holder.setHeld(true)
		number := sleepIntoNextWindow(time.Second)
		c.log.setUnavailable(true)
		one.Count("a", time.Now())
		time.Sleep(2 * windowLength)
		before := len(c.platform.reports())
		c.log.setUnavailable(false)
		time.Sleep(windowLength)
		reports := c.platform.reports()[before:]
		for i, report := range reports[1:] {
			require.Greater(t, report.Window, reports[i].Window)
		}
		require.Equal(t, map[string]uint64{"a": 1}, countsOf(reportOf(reports, number)))
	})
}

// unresponsiveLog never responds to an append.
type unresponsiveLog struct{ sharedlog.Log }

func (unresponsiveLog) Append(ctx context.Context, _ sharedlog.Partition, _ [][]byte) (uint64, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

func TestFinalAppendOfAStoppingProcessIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := &Clock{Now: time.Now}
		recorder := NewRecorder(NewCounter("n", 1, windowLength, clock.Read()))
		recorder.Log, recorder.Clock, recorder.Logger = unresponsiveLog{}, clock, event.Discard()
		recorder.GatherInterval = func() time.Duration { return time.Minute }
		recorder.Count("a", time.Now())
		ctx, stop := context.WithCancel(t.Context())
		stop()
		startedAt := time.Now()
		recorder.Run(ctx)
		require.Equal(t, finalSaveTimeout, time.Since(startedAt))
	})
}
