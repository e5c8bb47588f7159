package controlstream

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pathbendv1 "github.com/pathbend/pathbend/api/pathbend/v1"
	"github.com/pathbend/pathbend/internal/controlstate"
	"github.com/pathbend/pathbend/internal/event"
	"github.com/pathbend/pathbend/internal/logstore"
	"github.com/pathbend/pathbend/internal/result"
)

// memoryLog is a log in memory. Its reads fail while down is set.
type memoryLog struct {
	mutex   sync.Mutex
	records [][]byte
	down    bool
	reads   int
}

func (l *memoryLog) Read(_ context.Context, _ string, from uint64, limit int, wait time.Duration) (logstore.Batch, error) {
	batch, err := l.read(from, limit)
	if err == nil && len(batch.Entries) == 0 {
		time.Sleep(min(wait, 100*time.Millisecond))
	}
	return batch, err
}

func (l *memoryLog) read(from uint64, limit int) (logstore.Batch, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.reads++
	if l.down {
		return logstore.Batch{}, errors.New("down")
	}
	batch := logstore.Batch{End: uint64(len(l.records))}
	for offset := from; offset < batch.End && len(batch.Entries) < limit; offset++ {
		batch.Entries = append(batch.Entries, logstore.Entry{Offset: offset, Data: l.records[offset]})
	}
	return batch, nil
}

func (l *memoryLog) append(t *testing.T, record *pathbendv1.Record) {
	t.Helper()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	record.Id = fmt.Sprint("record-", len(l.records))
	data, err := proto.Marshal(record)
	require.NoError(t, err)
	l.records = append(l.records, data)
}

func publish(base uint64) *pathbendv1.Record {
	return &pathbendv1.Record{Body: &pathbendv1.Record_ConfigPublish{ConfigPublish: &pathbendv1.ConfigPublish{
		BaseRevision: base, Document: []byte("tenants: []\n"),
	}}}
}

func follow(t *testing.T, source Source) *Follower {
	t.Helper()
	follower := NewFollower(source, func(controlstate.Part, *controlstate.Machine) {}, event.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		follower.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return follower
}

func revisionOf(follower *Follower) uint64 {
	var number uint64
	follower.View(func(machine *controlstate.Machine) { number = machine.Revision().Number })
	return number
}

func TestFollowerCatchesUpAndContinuesAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &memoryLog{down: true}
		log.append(t, publish(0))
		follower := follow(t, LogSource{Reader: log})
		time.Sleep(10 * time.Second)
		require.False(t, follower.CaughtUp())
		log.mutex.Lock()
		require.Less(t, log.reads, 20, "failed reads must be retried with backoff")
		log.down = false
		log.mutex.Unlock()
		time.Sleep(2 * time.Second)
		require.True(t, follower.CaughtUp())
		log.append(t, publish(1))
		time.Sleep(time.Second)
		require.Equal(t, uint64(2), revisionOf(follower))
	})
}

// peerSource reads through another follower, as a node that is no designated reader does.
type peerSource struct{ follower *Follower }

func (p peerSource) Fetch(ctx context.Context, from uint64, limit int, wait time.Duration) (Update, error) {
	update, err := p.follower.Serve(ctx, from, limit, wait)
	if err != nil {
		return Update{}, err
	}
	encoded, err := EncodeUpdate(update)
	if err != nil {
		return Update{}, err
	}
	return DecodeUpdate(encoded)
}

func TestReaderBehindThePeersCacheGetsASnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &memoryLog{}
		const records = maxCachedRecords + 500
		for base := range uint64(records) {
			log.append(t, publish(base))
		}
		first := follow(t, LogSource{Reader: log})
		time.Sleep(5 * time.Second)
		require.Equal(t, uint64(records), revisionOf(first))
		second := follow(t, peerSource{first})
		time.Sleep(time.Second)
		require.Equal(t, uint64(records), revisionOf(second))
		log.append(t, publish(records))
		time.Sleep(time.Second)
		require.Equal(t, uint64(records+1), revisionOf(second))
	})
}

func TestNodeThatIsNotCaughtUpServesNothing(t *testing.T) {
	follower := NewFollower(nil, nil, event.Discard())
	_, err := follower.Serve(context.Background(), 0, 10, 0)
	require.True(t, result.Is(err, result.NotReady))
}

func TestNewReaderStartsAtTheLastSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &memoryLog{}
		full := follow(t, LogSource{Reader: log})
		const records = 6 * SnapshotInterval
		for base := range uint64(records) {
			log.append(t, publish(base))
			if base%SnapshotInterval == 0 && base > 0 {
				time.Sleep(time.Second)
				require.True(t, full.SnapshotDue())
				log.append(t, full.EncodeSnapshot("snapshot"))
			}
		}
		time.Sleep(5 * time.Second)
		log.mutex.Lock()
		log.reads = 0
		log.mutex.Unlock()
		second := follow(t, LogSource{Reader: log})
		time.Sleep(time.Second)
		require.Equal(t, uint64(records), revisionOf(second))
		var want, got *pathbendv1.Snapshot
		full.View(func(machine *controlstate.Machine) { want = machine.Snapshot() })
		second.View(func(machine *controlstate.Machine) { got = machine.Snapshot() })
		require.True(t, proto.Equal(want, got))
		third := follow(t, LogSource{Reader: log})
		time.Sleep(time.Second)
		require.True(t, third.CaughtUp())
	})
}

// failingSource records the times of its reads, all of which fail.
type failingSource struct {
	mutex sync.Mutex
	reads []time.Time
}

func (s *failingSource) Fetch(context.Context, uint64, int, time.Duration) (Update, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reads = append(s.reads, time.Now())
	return Update{}, errors.New("down")
}

// pauses returns the pauses between the reads.
func (s *failingSource) pauses() []time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var pauses []time.Duration
	for i := 1; i < len(s.reads); i++ {
		pauses = append(pauses, s.reads[i].Sub(s.reads[i-1]))
	}
	return pauses
}

// Guards against nodes that retry in step: after an outage of the log their reads would reach it
// all at once, again and again.
func TestFollowersThatFailTogetherDoNotRetryTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := &failingSource{}, &failingSource{}
		follow(t, first)
		follow(t, second)
		time.Sleep(60 * time.Second)
		require.NotEqual(t, first.pauses(), second.pauses())
		for _, source := range []*failingSource{first, second} {
			pauses := source.pauses()
			require.InDelta(t, minRetryInterval, pauses[0], float64(minRetryInterval)/4)
			distinct := make(map[time.Duration]bool)
			for _, pause := range pauses[10:] {
				require.InDelta(t, maxRetryInterval, pause, float64(maxRetryInterval)/4)
				distinct[pause] = true
			}
			require.Greater(t, len(distinct), 10)
		}
	})
}
