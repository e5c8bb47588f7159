package hosted

import (
	"context"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/catalog"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/ledger"
	"github.com/pathbend/pathbend/internal/locality"
	"github.com/pathbend/pathbend/internal/network"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/schedule"
	"github.com/pathbend/pathbend/internal/sharedlog"
)

// eventPace is the time between two events of a pacedGenerator.
const eventPace = 10 * time.Millisecond

// pacedGenerator makes an event now and again until the run is stopped, or length events.
type pacedGenerator struct {
	length uint64
	// started are the events after which runs began, ended counts those that ended.
	started chan uint64
	stopped chan struct{}
}

func (g *pacedGenerator) Generate(ctx context.Context, run Run, take func(schedule.Event) bool) RunEnd {
	g.started <- run.AfterEvent
	defer func() { g.stopped <- struct{}{} }()
	for id := run.AfterEvent + 1; id <= g.length; id++ {
		select {
		case <-time.After(eventPace):
		case <-ctx.Done():
			return RunEnd{Ending: schedule.Broken}
		}
		if !take(schedule.Event{ID: id, Version: 1, Data: []byte("event")}) {
			return RunEnd{Ending: schedule.Stopped}
		}
	}
	return RunEnd{Ending: schedule.Complete}
}

// bodyLog keeps the records of its appends, and takes a time for each read of them.
type bodyLog struct {
	emptyLog

	readDelay time.Duration

	mutex   sync.Mutex
	records [][]byte
	reads   int
}

func (l *bodyLog) Append(_ context.Context, _ sharedlog.Partition, records [][]byte) (uint64, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.records = append(l.records, records...)
	return uint64(len(l.records) - len(records)), nil
}

func (l *bodyLog) ReadPart(_ context.Context, _ sharedlog.Partition, from uint64, _ int) (sharedlog.Batch, error) {
	time.Sleep(l.readDelay)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.reads++
	return sharedlog.Batch{Records: l.records[from:], End: uint64(len(l.records))}, nil
}

// readCount counts the reads of bodies.
func (l *bodyLog) readCount() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.reads
}

// workerFixture is a worker in the north that holds the bodies of a job "j" with an item "i",
// and what its caller knows.
type workerFixture struct {
	*worker
	t            *testing.T
	generator    *pacedGenerator
	log          *bodyLog
	acknowledged uint64
	// sent is when the next call is sent, on the caller's clock.
	sent     time.Duration
	outlines []*pathbendv1.JobOutline
	lost     int
	// states are the last ones of runs, by number.
	states map[uint64]*pathbendv1.RunState
}

func runWithWorker(t *testing.T, bound locality.Regions, test func(b *workerFixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		const many, long = 100, 1000
		generator := &pacedGenerator{length: long, started: make(chan uint64, many), stopped: make(chan struct{}, many)}
		log := &bodyLog{}
		node := New(Settings{Name: "w", Zone: "a", Topology: twoRegions, MaxRecordBytes: 1 << 15, MaxCallBytes: 1 << 18, Partitions: 1},
			Ports{Network: network.TCP{}, Log: log, Generator: generator}, event.Discard())
		built, err := catalog.New(1, []catalog.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: catalog.Rollout, Shares: []catalog.Share{{Service: "s", Weight: 1}}, Regions: bound,
		}}, nil, catalog.Limits{}, nil)
		require.NoError(t, err)
		node.TakeCatalog(built)
		spec := &pathbendv1.BatchJob{Host: "h", Path: "/", ItemIds: []string{"i"}}
		entry := &pathbendv1.LedgerEntry{JobId: "j", Fact: &pathbendv1.LedgerEntry_Submitted{Submitted: spec}}
		records, err := ledger.Encode(entry, 1, 1<<10)
		require.NoError(t, err)
		node.jobs.apply(0, records)
		w := node.worker
		w.jobs["j"] = &loadedJob{spec: spec, items: map[string]*pathbendv1.BatchItem{
			"i": {Id: "i", Body: []byte("secret"), Group: "g", Reward: &pathbendv1.RewardCall{Id: "c", Body: []byte("secret")}},
		}}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); w.run(ctx) }()
		synctest.Wait()
		test(&workerFixture{worker: w, t: t, generator: generator, log: log, states: make(map[uint64]*pathbendv1.RunState)})
		cancel()
		<-done
	})
}

// endJob lets the worker read of the end of the job.
func (b *workerFixture) endJob() {
	entry := &pathbendv1.LedgerEntry{JobId: "j", Fact: &pathbendv1.LedgerEntry_Ended{Ended: &pathbendv1.BatchEnd{}}}
	records, err := ledger.Encode(entry, 2, 1<<10)
	require.NoError(b.t, err)
	b.node.jobs.apply(1, records)
}

// dropBodies lets the worker read the bodies from the log again, for so long.
func (b *workerFixture) dropBodies(takes time.Duration) {
	job := b.jobs["j"]
	delete(b.jobs, "j")
	blobs, err := b.node.jobs.contents.PutItems(b.t.Context(), time.Second, slices.Collect(maps.Values(job.items)))
	require.NoError(b.t, err)
	b.node.jobs.view("j", func(known *ledger.Job) { known.Spec.Items = blobs })
	b.log.readDelay = takes
}

// call makes a call of a session with a generation and takes its reports.
func (b *workerFixture) call(generation uint64, orders ...*pathbendv1.CarryOrder) error {
	reply, err := b.handleCall(b.t.Context(), &pathbendv1.CarryCall{
		Decider: "d", Generation: generation, Session: generation, Orders: orders, Acknowledged: b.acknowledged, HoldMs: 1,
		SentMs: uint64(b.sent.Milliseconds()),
	})
	if err != nil {
		return err
	}
	for _, report := range reply.Reports {
		b.acknowledged = max(b.acknowledged, report.Sequence)
		switch body := report.Report.(type) {
		case *pathbendv1.CarryReport_Run:
			b.states[body.Run.Run] = body.Run
		case *pathbendv1.CarryReport_Outline:
			b.outlines = append(b.outlines, body.Outline)
		case *pathbendv1.CarryReport_Lost:
			b.lost++
		}
	}
	return nil
}

func startOrder(run uint64) *pathbendv1.CarryOrder {
	return &pathbendv1.CarryOrder{Order: &pathbendv1.CarryOrder_Start{Start: &pathbendv1.StartRun{
		Run: run, JobId: "j", ItemId: "i", SamplerId: "s", Zone: "a", MinVersion: 1,
	}}}
}

func TestOutlineOfAJobHasNoBodies(t *testing.T) {
	runWithWorker(t, locality.Only("north"), func(b *workerFixture) {
		require.NoError(t, b.call(1, &pathbendv1.CarryOrder{Order: &pathbendv1.CarryOrder_Open{Open: "j"}}))
		synctest.Wait()
		require.NoError(t, b.call(1))
		require.Len(t, b.outlines, 1)
		require.Len(t, b.outlines[0].Items, 1)
		item := b.outlines[0].Items[0]
		require.Equal(t, "g", item.Group)
		require.Equal(t, "c", item.Reward.Id)
		require.Empty(t, item.Body)
		require.Empty(t, item.Reward.Body)
	})
}

func TestRunsStopWhenTheExecutorIsSilent(t *testing.T) {
	runWithWorker(t, locality.Only("north"), func(b *workerFixture) {
		require.NoError(t, b.call(1, startOrder(1)))
		require.Zero(t, <-b.generator.started)
		called := time.Now()
		<-b.generator.stopped
		require.LessOrEqual(t, time.Since(called), workerLease+2*workerInterval)
		require.Greater(t, time.Since(called), workerLease-eventPace)
	})
}

func TestNewExecutorContinuesTextsThatTheWorkerHolds(t *testing.T) {
	runWithWorker(t, locality.Only("north"), func(b *workerFixture) {
		require.NoError(t, b.call(1, startOrder(1)))
		require.Zero(t, <-b.generator.started)
		time.Sleep(20*eventPace + time.Millisecond)
		require.NoError(t, b.call(2, startOrder(1)))
		<-b.generator.stopped
		b.acknowledged = 0
		require.InDelta(t, 20, <-b.generator.started, 3)
		require.True(t, result.Is(b.call(1), result.LeaseConflict), "the former decider is replaced")
		time.Sleep(10 * eventPace)
		require.NoError(t, b.call(2))
		require.Greater(t, b.states[1].Events, uint64(25))
	})
}

// A start that came twice, as its answer was lost, would run beside itself.
func TestDuplicateStartRunsOnce(t *testing.T) {
	runWithWorker(t, locality.Only("north"), func(b *workerFixture) {
		require.NoError(t, b.call(1, startOrder(1)))
		require.NoError(t, b.call(1, startOrder(1)))
		time.Sleep(10 * eventPace)
		require.Len(t, b.generator.started, 1)
	})
}

func TestRunsOfAnEndedJobStopWithoutTheExecutor(t *testing.T) {
	runWithWorker(t, locality.Only("north"), func(b *workerFixture) {
		require.NoError(t, b.call(1, startOrder(1)))
		require.Zero(t, <-b.generator.started)
		ended := time.Now()
		b.endJob()
		<-b.generator.stopped
		require.LessOrEqual(t, time.Since(ended), workerInterval)
	})
}

// The configuration that the worker knows counts too: a decider may know an older one.
func TestWorkerRefusesRunsBoundToAnotherRegion(t *testing.T) {
	runWithWorker(t, locality.Only("south"), func(b *workerFixture) {
		require.NoError(t, b.call(1, startOrder(1)))
		synctest.Wait()
		require.NoError(t, b.call(1))
		require.Empty(t, b.generator.started)
		require.EqualValues(t, schedule.Refused, b.states[1].Ending)
	})
}

func TestMissingTextIsReportedAsLost(t *testing.T) {
	runWithWorker(t, locality.Only("north"), func(b *workerFixture) {
		require.NoError(t, b.call(1, &pathbendv1.CarryOrder{Order: &pathbendv1.CarryOrder_Finish{
			Finish: &pathbendv1.FinishItem{JobId: "j", ItemId: "i"},
		}}))
		synctest.Wait()
		require.NoError(t, b.call(1))
		require.Equal(t, 1, b.lost)
	})
}

// Reports are sent until the caller has them, also if an answer is lost.
func TestUnacknowledgedReportsAreSentAgain(t *testing.T) {
	runWithWorker(t, locality.Only("north"), func(b *workerFixture) {
		require.NoError(t, b.call(1, startOrder(1)))
		time.Sleep(5 * eventPace)
		require.NoError(t, b.call(1))
		before := b.states[1].Events
		b.states, b.acknowledged = make(map[uint64]*pathbendv1.RunState), 0
		require.NoError(t, b.call(1))
		require.GreaterOrEqual(t, b.states[1].Events, before)
	})
}

// A worker that wakes, or a link that is mended, must not begin what was wanted long ago.
func TestDelayedStartIsSkipped(t *testing.T) {
	runWithWorker(t, locality.Only("north"), func(b *workerFixture) {
		require.NoError(t, b.call(1))
		time.Sleep(maxStartDelay + time.Millisecond)
		require.NoError(t, b.call(1, startOrder(1)))
		synctest.Wait()
		require.Empty(t, b.generator.started)
		require.EqualValues(t, schedule.Stopped, b.states[1].Ending)
	})
}

// Each decider numbers its runs from 1: the end of a run of the former one took the new run
// of the same number off the list, and no order stopped it any more.
func TestStopReachesARunWhoseNumberAnEarlierSessionUsed(t *testing.T) {
	runWithWorker(t, locality.Only("north"), func(b *workerFixture) {
		require.NoError(t, b.call(1, startOrder(1)))
		<-b.generator.started
		require.NoError(t, b.call(2, startOrder(1)))
		<-b.generator.stopped
		<-b.generator.started
		synctest.Wait()
		require.NoError(t, b.call(2, &pathbendv1.CarryOrder{Order: &pathbendv1.CarryOrder_Stop{Stop: 1}}))
		synctest.Wait()
		require.Len(t, b.generator.stopped, 1)
	})
}

// The body of a job that is bound elsewhere is not read either.
func TestWorkerReadsNoBodiesOfAJobBoundToAnotherRegion(t *testing.T) {
	runWithWorker(t, locality.Only("south"), func(b *workerFixture) {
		b.dropBodies(0)
		require.NoError(t, b.call(1, &pathbendv1.CarryOrder{Order: &pathbendv1.CarryOrder_Open{Open: "j"}}))
		synctest.Wait()
		require.NoError(t, b.call(1))
		require.Len(t, b.outlines, 1)
		require.Contains(t, b.outlines[0].Failure, "bound")
		require.Zero(t, b.log.readCount())
	})
}

// A worker that takes a job over was told to start all its runs at once, and each of them
// read all bodies of the job.
func TestConcurrentRunsShareOneReadOfTheBodies(t *testing.T) {
	runWithWorker(t, locality.Only("north"), func(b *workerFixture) {
		b.dropBodies(50 * time.Millisecond)
		require.NoError(t, b.call(1, startOrder(1), startOrder(2), startOrder(3)))
		time.Sleep(100 * time.Millisecond)
		require.Len(t, b.generator.started, 3)
		require.Equal(t, 1, b.log.readCount())
	})
}

// A worker was given up, with all its runs, as it knew sooner that a job had ended.
func TestOutlineOfAnEndedJobIsNotAWorkerFailure(t *testing.T) {
	runWithWorker(t, locality.Only("north"), func(b *workerFixture) {
		require.NoError(t, b.call(1, &pathbendv1.CarryOrder{Order: &pathbendv1.CarryOrder_Open{Open: "ended"}}))
		synctest.Wait()
		require.NoError(t, b.call(1))
		require.Len(t, b.outlines, 1)
		require.NotEmpty(t, b.outlines[0].Failure)
		require.False(t, b.outlines[0].Unserved)
	})
}

// A run that a job's end stopped while the bodies were read was reported as its worker's
// fault, and the job's bodies were kept for good.
func TestJobEndDuringABodyReadIsNotAWorkerFailure(t *testing.T) {
	runWithWorker(t, locality.Only("north"), func(b *workerFixture) {
		b.dropBodies(100 * time.Millisecond)
		require.NoError(t, b.call(1, startOrder(1)))
		b.endJob()
		time.Sleep(200 * time.Millisecond)
		require.NoError(t, b.call(1))
		require.EqualValues(t, schedule.Stopped, b.states[1].Ending)
		require.False(t, b.states[1].Unserved)
		require.Empty(t, b.generator.started)
		time.Sleep(2 * schedule.AheadPatience)
		b.mutex.Lock()
		defer b.mutex.Unlock()
		require.Empty(t, b.jobs)
	})
}

// The bodies of a job were read for longer than a start may be on its way, and the run
// began all the same: the second for which a cold sampler's budget counted it was over.
func TestRunIsSkippedAfterASlowBodyRead(t *testing.T) {
	runWithWorker(t, locality.Only("north"), func(b *workerFixture) {
		b.dropBodies(maxStartDelay + time.Millisecond)
		require.NoError(t, b.call(1, startOrder(1)))
		b.sent = maxStartDelay + 100*time.Millisecond
		time.Sleep(b.sent)
		require.NoError(t, b.call(1))
		require.Empty(t, b.generator.started)
		require.EqualValues(t, schedule.Stopped, b.states[1].Ending)
		require.NoError(t, b.call(1, startOrder(2)))
		require.Zero(t, <-b.generator.started)
	})
}
