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
	"github.com/pathbend/pathbend/internal/duty"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/sharedlog"
)

// memoryLog keeps the records of one partition.
type memoryLog struct {
	sharedlog.Log

	mutex   sync.Mutex
	records [][]byte
	down    bool
}

var errDown = errors.New("down")

func (l *memoryLog) Append(_ context.Context, _ sharedlog.Partition, records [][]byte) (uint64, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.down {
		return 0, errDown
	}
	l.records = append(l.records, records...)
	return uint64(len(l.records) - len(records)), nil
}

func (l *memoryLog) Read(_ context.Context, _ sharedlog.Partition, from uint64, _ time.Duration) (sharedlog.Batch, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.down {
		return sharedlog.Batch{}, errDown
	}
	return sharedlog.Batch{Records: l.records[from:], End: uint64(len(l.records))}, nil
}

func (l *memoryLog) setDown(down bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.down = down
}

// ReadFailed implements sharedlog.Observer.
func (l *memoryLog) ReadFailed(sharedlog.Partition, error) {}

// ReadRecovered implements sharedlog.Observer.
func (l *memoryLog) ReadRecovered(sharedlog.Partition, time.Duration) {}

// holding is a holder that may act while it is set.
type holding struct {
	mutex sync.Mutex
	right duty.Right
	may   bool
}

func (h *holding) MayAct(time.Time) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.may
}

func (h *holding) Claim(context.Context, string) (duty.Right, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.right, h.may
}

func (h *holding) set(may bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.may = may
}

// platformStub records what reports it took.
type platformStub struct {
	mutex   sync.Mutex
	taken   []*pathbendv1.UsageReport
	takenAt []time.Time
	failing bool
}

func (p *platformStub) ReportUsage(_ context.Context, _ duty.Right, report *pathbendv1.UsageReport) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.failing {
		return errDown
	}
	p.taken = append(p.taken, report)
	p.takenAt = append(p.takenAt, time.Now())
	return nil
}

func (p *platformStub) setFailing(failing bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.failing = failing
}

func (p *platformStub) reports() []*pathbendv1.UsageReport {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return append([]*pathbendv1.UsageReport(nil), p.taken...)
}

const late = 10 * time.Second

// cluster is a platform with nodes that share a log.
type cluster struct {
	log      *memoryLog
	platform *platformStub
}

// node starts a node that counts, and reports while its holder may act.
func (g *cluster) node(ctx context.Context, name string, fence uint64) (*Recorder, *holding) {
	gather := func() time.Duration { return 300 * time.Millisecond }
	clock := &Clock{Now: time.Now}
	recorder := NewRecorder(NewCounter(name, fence, length, clock.Read()))
	recorder.Log, recorder.Clock, recorder.Pause, recorder.Logger = g.log, clock, gather, event.Discard()
	holder := &holding{right: duty.Right{Holder: name, Fence: fence}}
	reporter := &Reporter{
		Log: g.log, Observer: g.log, Holder: holder, Sender: g.platform, Clock: clock, Logger: event.Discard(),
		Length: length, Late: late, Gather: gather,
	}
	go recorder.Run(ctx)
	go reporter.Run(ctx)
	return recorder, holder
}

func withCluster(t *testing.T, play func(ctx context.Context, g *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		play(ctx, &cluster{log: &memoryLog{}, platform: &platformStub{}})
	})
}

// intoWindow sleeps to a moment within the next window and returns the window.
func intoWindow(offset time.Duration) Window {
	next := WindowAt(time.Now(), length).End(length)
	time.Sleep(time.Until(next.Add(offset)))
	return WindowAt(time.Now(), length)
}

func reportOf(reports []*pathbendv1.UsageReport, number Window) *pathbendv1.UsageReport {
	for _, report := range reports {
		if report.Window == int64(number) {
			return report
		}
	}
	return nil
}

func TestWindowIsReportedSoonAfterAllNodesClosedIt(t *testing.T) {
	withCluster(t, func(ctx context.Context, g *cluster) {
		one, holder := g.node(ctx, "one", 1)
		two, _ := g.node(ctx, "two", 2)
		holder.set(true)
		intoWindow(time.Second)
		number := intoWindow(time.Second)
		one.Count("a", time.Now())
		two.Count("a", time.Now())
		two.Count("b", time.Now())
		time.Sleep(time.Until(number.End(length).Add(4 * time.Second)))
		require.Equal(t, map[string]uint64{"a": 2, "b": 1}, countsOf(reportOf(g.platform.reports(), number)))
		before := len(g.platform.reports())
		time.Sleep(900 * time.Millisecond)
		require.Len(t, g.platform.reports(), before, "once")
	})
}

// A node that cannot write delays the report of its window, but not past its time.
func TestReportWaitsForANodeOutOfTouchWithinItsTime(t *testing.T) {
	withCluster(t, func(ctx context.Context, g *cluster) {
		_, holder := g.node(ctx, "one", 1)
		leaving, stop := context.WithCancel(ctx)
		g.node(leaving, "two", 2)
		holder.set(true)
		intoWindow(time.Second)
		number := intoWindow(time.Second)
		stop()
		time.Sleep(time.Until(number.End(length).Add(late - sendReserve - time.Second)))
		require.Nil(t, reportOf(g.platform.reports(), number))
		time.Sleep(2 * time.Second)
		require.NotNil(t, reportOf(g.platform.reports(), number))
	})
}

// Two holders at once, of whom each knows other counts, report the same of a window.
func TestReportsOfAWindowNeverDiffer(t *testing.T) {
	withCluster(t, func(ctx context.Context, g *cluster) {
		one, first := g.node(ctx, "one", 1)
		_, second := g.node(ctx, "two", 2)
		first.set(true)
		number := intoWindow(time.Second)
		one.Count("a", time.Now())
		g.platform.setFailing(true)
		time.Sleep(time.Until(number.End(length).Add(4 * time.Second)))
		// Counts that come after the decision are not for this window any more.
		one.Count("a", number.End(length).Add(-time.Second))
		second.set(true)
		g.platform.setFailing(false)
		time.Sleep(8 * time.Second)
		for _, report := range g.platform.reports() {
			if report.Window == int64(number) {
				require.Equal(t, map[string]uint64{"a": 1}, countsOf(report))
			}
		}
		require.NotNil(t, reportOf(g.platform.reports(), number))
	})
}

func TestWindowsOfAnOutageAreSentWhenItEndsOldestFirst(t *testing.T) {
	withCluster(t, func(ctx context.Context, g *cluster) {
		one, holder := g.node(ctx, "one", 1)
		holder.set(true)
		number := intoWindow(time.Second)
		g.log.setDown(true)
		one.Count("a", time.Now())
		time.Sleep(2 * length)
		before := len(g.platform.reports())
		g.log.setDown(false)
		time.Sleep(length)
		reports := g.platform.reports()[before:]
		for i, report := range reports[1:] {
			require.Greater(t, report.Window, reports[i].Window)
		}
		require.Equal(t, map[string]uint64{"a": 1}, countsOf(reportOf(reports, number)))
	})
}

// silentLog never answers an append.
type silentLog struct{ sharedlog.Log }

func (silentLog) Append(ctx context.Context, _ sharedlog.Partition, _ [][]byte) (uint64, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

func TestProcessThatStopsDoesNotWaitLongForTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := &Clock{Now: time.Now}
		recorder := NewRecorder(NewCounter("n", 1, length, clock.Read()))
		recorder.Log, recorder.Clock, recorder.Logger = silentLog{}, clock, event.Discard()
		recorder.Pause = func() time.Duration { return time.Minute }
		recorder.Count("a", time.Now())
		ctx, stop := context.WithCancel(t.Context())
		stop()
		began := time.Now()
		recorder.Run(ctx)
		require.Equal(t, lastSaveTimeout, time.Since(began))
	})
}
