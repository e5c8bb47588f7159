package sharedlog

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/pathbend/pathbend/internal/clock"
	"github.com/pathbend/pathbend/internal/roundtrip"
)

const (
	// nextDoor is the time-out of a log service next door, which answers in some 5 ms on
	// machines whose processor is shared out in slices of a tenth of a second. All
	// constants that are bounds of calls to it were chosen for that distance.
	nextDoor = 100 * time.Millisecond
	// farthest bounds the time-out. A region on the other side of the earth is 300 ms
	// away and back, a call on a new connection takes the way twice (chosen).
	farthest = 800 * time.Millisecond
)

// Measured is a log service, and the time that it takes to answer. It implements Log and
// Group. One of it serves a node, so that all that speaks to the service knows how far
// away it is.
type Measured struct {
	log   Log
	group Group
	// way is estimated from calls that are answered at once, appends from those that
	// take turns in a partition.
	way     *roundtrip.Estimator
	appends *roundtrip.Estimator
	// answeredAt is when the last call was answered.
	answeredAt atomic.Pointer[clock.Moment]
}

// Measure returns a log service whose answers are timed.
func Measure(log Log, group Group) *Measured {
	bounds := roundtrip.Bounds{Floor: nextDoor, Ceiling: farthest}
	m := &Measured{log: log, group: group, way: roundtrip.New(bounds), appends: roundtrip.New(bounds)}
	m.noteAnswer(nil)
	return m
}

// Way estimates how far away the service is.
func (m *Measured) Way() *roundtrip.Estimator { return m.way }

// Appends estimates how soon the service answers appends, of which a partition takes one
// after the other.
func (m *Measured) Appends() *roundtrip.Estimator { return m.appends }

// Quiet is how long ago the service answered the last call that it answered, at first when
// this was made, suspension of the machine included.
func (m *Measured) Quiet() time.Duration { return m.answeredAt.Load().Age() }

// noteAnswer notes the end of a call.
func (m *Measured) noteAnswer(err error) {
	if err == nil {
		now := clock.Mark()
		m.answeredAt.Store(&now)
	}
}

// passage is how a call reached the service.
type passage struct {
	around atomic.Bool
}

type passageKey struct{}

// WentAround notes that the call of ctx reached the service by another way than its own,
// such as through another node, or after it had tried one: how long it took tells nothing
// of the way.
func WentAround(ctx context.Context) {
	if passed, ok := ctx.Value(passageKey{}).(*passage); ok {
		passed.around.Store(true)
	}
}

// timed makes a call and tells an estimator how it ended. A call that its caller did not
// want any more tells nothing.
func (m *Measured) timed(ctx context.Context, estimator *roundtrip.Estimator, call func(context.Context) error) error {
	passed := &passage{}
	began := time.Now()
	err := call(context.WithValue(ctx, passageKey{}, passed))
	m.noteAnswer(err)
	now := time.Now()
	switch {
	case err == nil && passed.around.Load():
		estimator.Reached(now)
	case err == nil:
		estimator.Answered(now.Sub(began), now)
	case errors.Is(err, context.DeadlineExceeded) && !passed.around.Load():
		estimator.GivenUp(now.Sub(began), now)
	}
	return err
}

// Beyond is how much longer the service's answers take than those of one next door.
func (m *Measured) Beyond() time.Duration { return m.way.Beyond() }

// Away is the round trip to the service, 0 before its first answer.
func (m *Measured) Away() time.Duration { return m.way.Read().Smoothed }

// appendMemory is how long an answered append tells that the service answers: it may have
// gone since (chosen).
const appendMemory = 3 * time.Second

// OverdueAppend returns after how long an append counts as lost, at most a time that was
// chosen for a service next door, lengthened by the distance; and whether the service
// answered appends of late. If it did not, that time is all that is known.
func (m *Measured) OverdueAppend(most time.Duration) (after time.Duration, answers bool) {
	most += m.appends.Beyond()
	if !m.appends.AnsweredSince(time.Now().Add(-appendMemory)) {
		return most, false
	}
	return min(m.appends.Read().Timeout, most), true
}

// Append implements Log.
func (m *Measured) Append(ctx context.Context, partition Partition, records [][]byte) (offset uint64, err error) {
	err = m.timed(ctx, m.appends, func(ctx context.Context) (failed error) {
		offset, failed = m.log.Append(ctx, partition, records)
		return failed
	})
	return offset, err
}

// AppendKeyed implements Log.
func (m *Measured) AppendKeyed(ctx context.Context, partition Partition, records []KeyedRecord) error {
	return m.timed(ctx, m.appends, func(ctx context.Context) error { return m.log.AppendKeyed(ctx, partition, records) })
}

// Read implements Log. One that the service may hold tells nothing of the way.
func (m *Measured) Read(ctx context.Context, partition Partition, from uint64, wait time.Duration) (batch Batch, err error) {
	if wait > 0 {
		batch, err = m.log.Read(ctx, partition, from, wait)
		m.noteAnswer(err)
		return batch, err
	}
	err = m.timed(ctx, m.way, func(ctx context.Context) (failed error) {
		batch, failed = m.log.Read(ctx, partition, from, wait)
		return failed
	})
	return batch, err
}

// ReadPart implements Log.
func (m *Measured) ReadPart(ctx context.Context, partition Partition, from uint64, maxBytes int) (batch Batch, err error) {
	err = m.timed(ctx, m.way, func(ctx context.Context) (failed error) {
		batch, failed = m.log.ReadPart(ctx, partition, from, maxBytes)
		return failed
	})
	return batch, err
}

// ReadKeyed implements Log. One that the service may hold tells nothing of the way.
func (m *Measured) ReadKeyed(ctx context.Context, partition Partition, from uint64, wait time.Duration) (batch KeyedBatch, err error) {
	if wait > 0 {
		batch, err = m.log.ReadKeyed(ctx, partition, from, wait)
		m.noteAnswer(err)
		return batch, err
	}
	err = m.timed(ctx, m.way, func(ctx context.Context) (failed error) {
		batch, failed = m.log.ReadKeyed(ctx, partition, from, wait)
		return failed
	})
	return batch, err
}

// Newest implements Log. A page is large: its time tells more of its transfer.
func (m *Measured) Newest(ctx context.Context, partition Partition, after string) (KeyedPage, error) {
	page, err := m.log.Newest(ctx, partition, after)
	m.noteAnswer(err)
	return page, err
}

// Join implements Group.
func (m *Measured) Join(ctx context.Context, group, member, topic string, ttl time.Duration, generation uint64) (share Share, err error) {
	err = m.timed(ctx, m.way, func(ctx context.Context) (failed error) {
		share, failed = m.group.Join(ctx, group, member, topic, ttl, generation)
		return failed
	})
	return share, err
}

// Leave implements Group.
func (m *Measured) Leave(ctx context.Context, group, member string) error {
	err := m.group.Leave(ctx, group, member)
	m.noteAnswer(err)
	return err
}

// Owners implements Group.
func (m *Measured) Owners(ctx context.Context, group string) (owners []Owner, err error) {
	err = m.timed(ctx, m.way, func(ctx context.Context) (failed error) {
		owners, failed = m.group.Owners(ctx, group)
		return failed
	})
	return owners, err
}
