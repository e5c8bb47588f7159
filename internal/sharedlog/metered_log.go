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
	// minTimeout is the lower limit of the estimated timeout. It suits a log service in the
	// same data center, which responds in about 5 ms, on machines whose processor time is
	// shared in slices of 100 ms. All constant timeouts of calls to the log service assume
	// that distance.
	minTimeout = 100 * time.Millisecond
	// maxTimeout is the upper limit of the estimated timeout. The round trip to a region on
	// the other side of the earth takes 300 ms, and a call on a new connection takes two.
	maxTimeout = 800 * time.Millisecond
)

// MeteredLog wraps a log service and estimates its latency. It implements Log and Group. A
// node uses a single instance, so that all clients of the service on the node share the
// estimate. It is safe for concurrent use if the service is.
type MeteredLog struct {
	log   Log
	group Group
	// roundTrip is estimated from calls that the service answers immediately.
	roundTrip *roundtrip.Estimator
	// appendTime is estimated from appends, which a partition processes one at a time.
	appendTime *roundtrip.Estimator
	// lastResponseAt is the time of the last successful response.
	lastResponseAt atomic.Pointer[clock.Moment]
	// createdAt is when m was created, newestAnswered how much later the latest read began of
	// those that returned records, in nanoseconds.
	createdAt      time.Time
	newestAnswered atomic.Int64
}

// NewMeteredLog returns a wrapper of a log service and a group that measures their latency.
func NewMeteredLog(log Log, group Group) *MeteredLog {
	bounds := roundtrip.Bounds{MinTimeout: minTimeout, MaxTimeout: maxTimeout}
	m := &MeteredLog{log: log, group: group, roundTrip: roundtrip.New(bounds), appendTime: roundtrip.New(bounds), createdAt: time.Now()}
	m.recordResponse(nil)
	return m
}

// RoundTrip returns the estimator of the round-trip time to the service.
func (m *MeteredLog) RoundTrip() *roundtrip.Estimator { return m.roundTrip }

// AppendTime returns the estimator of the response time of appends, which a partition
// processes one at a time.
func (m *MeteredLog) AppendTime() *roundtrip.Estimator { return m.appendTime }

// SinceLastResponse returns the time since the last successful response, or since m was
// created if there was none. It includes time for which the machine was suspended.
func (m *MeteredLog) SinceLastResponse() time.Duration { return m.lastResponseAt.Load().Age() }

// recordResponse records the time of a response if the call succeeded.
func (m *MeteredLog) recordResponse(err error) {
	if err == nil {
		now := clock.CurrentMoment()
		m.lastResponseAt.Store(&now)
	}
}

// recordRead records a read that began at a time and returned a number of records.
func (m *MeteredLog) recordRead(began time.Time, records int) {
	if records == 0 {
		return
	}
	after := int64(began.Sub(m.createdAt))
	for newest := m.newestAnswered.Load(); newest < after && !m.newestAnswered.CompareAndSwap(newest, after); newest = m.newestAnswered.Load() {
	}
}

// AnsweredReadAfter reports whether a read that began after a time has returned records. The
// service answers reads in the order of their arrival, so that an earlier read without an
// answer is probably lost.
func (m *MeteredLog) AnsweredReadAfter(began time.Time) bool {
	return time.Duration(m.newestAnswered.Load()) > began.Sub(m.createdAt)
}

// route records how a call reached the service.
type route struct {
	indirect atomic.Bool
}

// routeKey is the context key of the *route of a call.
type routeKey struct{}

// MarkIndirect marks the call of ctx as one that did not reach the service directly, for
// example because it was relayed by another node, or that tried a relay first. The duration
// of such a call says nothing about the round-trip time and is not measured.
func MarkIndirect(ctx context.Context) {
	if taken, ok := ctx.Value(routeKey{}).(*route); ok {
		taken.indirect.Store(true)
	}
}

// unmeasuredKey is the context key of a call whose duration is not measured.
type unmeasuredKey struct{}

// WithoutMeasurement returns a context for a call that awaits an answer of a log that may be
// overloaded, whose duration says nothing about the round-trip time.
func WithoutMeasurement(ctx context.Context) context.Context {
	return context.WithValue(ctx, unmeasuredKey{}, true)
}

// measured reports whether the duration of a read is measured.
func measured(ctx context.Context, wait time.Duration) bool {
	return wait == 0 && ctx.Value(unmeasuredKey{}) == nil
}

// timed makes a call and reports its outcome to an estimator. A call that its caller
// canceled is not reported.
func (m *MeteredLog) timed(ctx context.Context, estimator *roundtrip.Estimator, call func(context.Context) error) error {
	taken := &route{}
	began := time.Now()
	err := call(context.WithValue(ctx, routeKey{}, taken))
	m.recordResponse(err)
	now := time.Now()
	switch {
	case err == nil && taken.indirect.Load():
		estimator.RecordContact(now)
	case err == nil:
		estimator.RecordAnswer(now.Sub(began), now)
	case errors.Is(err, context.DeadlineExceeded) && !taken.indirect.Load():
		estimator.RecordAbandoned(now.Sub(began), now)
	}
	return err
}

// ExtraLatency returns how much longer the service's responses take than those of a service
// in the same data center.
func (m *MeteredLog) ExtraLatency() time.Duration { return m.roundTrip.ExtraLatency() }

// RoundTripTime returns the round-trip time to the service, 0 before its first response.
func (m *MeteredLog) RoundTripTime() time.Duration { return m.roundTrip.Estimate().Smoothed }

// recentAppendWindow is how long a successful append indicates that the service processes
// appends. The service may have become unavailable since.
const recentAppendWindow = 3 * time.Second

// AppendTimeout returns the time after which an append counts as lost, and whether the
// service responded to an append within recentAppendWindow. limit is the maximum for a
// service in the same data center; it is extended by the extra latency of appends, and is
// returned if there is no recent response.
func (m *MeteredLog) AppendTimeout(limit time.Duration) (after time.Duration, responsive bool) {
	limit += m.appendTime.ExtraLatency()
	if !m.appendTime.AnsweredSince(time.Now().Add(-recentAppendWindow)) {
		return limit, false
	}
	return min(m.appendTime.Estimate().Timeout, limit), true
}

// Append implements Log.
func (m *MeteredLog) Append(ctx context.Context, partition Partition, records [][]byte) (offset uint64, err error) {
	err = m.timed(ctx, m.appendTime, func(ctx context.Context) (callErr error) {
		offset, callErr = m.log.Append(ctx, partition, records)
		return callErr
	})
	return offset, err
}

// AppendKeyed implements Log.
func (m *MeteredLog) AppendKeyed(ctx context.Context, partition Partition, records []KeyedRecord) error {
	return m.timed(ctx, m.appendTime, func(ctx context.Context) error { return m.log.AppendKeyed(ctx, partition, records) })
}

// Read implements Log. A read that may wait at the service, or repeats a failed one, is not
// measured.
func (m *MeteredLog) Read(ctx context.Context, partition Partition, from uint64, wait time.Duration) (batch Batch, err error) {
	defer func(began time.Time) { m.recordRead(began, len(batch.Records)) }(time.Now())
	if !measured(ctx, wait) {
		batch, err = m.log.Read(ctx, partition, from, wait)
		m.recordResponse(err)
		return batch, err
	}
	err = m.timed(ctx, m.roundTrip, func(ctx context.Context) (callErr error) {
		batch, callErr = m.log.Read(ctx, partition, from, wait)
		return callErr
	})
	return batch, err
}

// ReadAvailable implements Log. A read in a context of WithoutMeasurement is not measured.
func (m *MeteredLog) ReadAvailable(ctx context.Context, partition Partition, from uint64, maxBytes int) (batch Batch, err error) {
	defer func(began time.Time) { m.recordRead(began, len(batch.Records)) }(time.Now())
	if !measured(ctx, 0) {
		batch, err = m.log.ReadAvailable(ctx, partition, from, maxBytes)
		m.recordResponse(err)
		return batch, err
	}
	err = m.timed(ctx, m.roundTrip, func(ctx context.Context) (callErr error) {
		batch, callErr = m.log.ReadAvailable(ctx, partition, from, maxBytes)
		return callErr
	})
	return batch, err
}

// ReadKeyed implements Log. A read that may wait at the service, or repeats a failed one, is not
// measured.
func (m *MeteredLog) ReadKeyed(ctx context.Context, partition Partition, from uint64, wait time.Duration) (batch KeyedBatch, err error) {
	defer func(began time.Time) { m.recordRead(began, len(batch.Records)) }(time.Now())
	if !measured(ctx, wait) {
		batch, err = m.log.ReadKeyed(ctx, partition, from, wait)
		m.recordResponse(err)
		return batch, err
	}
	err = m.timed(ctx, m.roundTrip, func(ctx context.Context) (callErr error) {
		batch, callErr = m.log.ReadKeyed(ctx, partition, from, wait)
		return callErr
	})
	return batch, err
}

// ReadNewest implements Log. It is not measured, because pages are large and their duration
// depends mostly on the transfer.
func (m *MeteredLog) ReadNewest(ctx context.Context, partition Partition, after string) (KeyedPage, error) {
	page, err := m.log.ReadNewest(ctx, partition, after)
	m.recordResponse(err)
	return page, err
}

// Join implements Group.
func (m *MeteredLog) Join(ctx context.Context, group, member, topic string, ttl time.Duration, generation uint64) (assignment Assignment, err error) {
	err = m.timed(ctx, m.roundTrip, func(ctx context.Context) (callErr error) {
		assignment, callErr = m.group.Join(ctx, group, member, topic, ttl, generation)
		return callErr
	})
	return assignment, err
}

// Leave implements Group.
func (m *MeteredLog) Leave(ctx context.Context, group, member string) error {
	err := m.group.Leave(ctx, group, member)
	m.recordResponse(err)
	return err
}

// Owners implements Group.
func (m *MeteredLog) Owners(ctx context.Context, group string) (owners []Owner, err error) {
	err = m.timed(ctx, m.roundTrip, func(ctx context.Context) (callErr error) {
		owners, callErr = m.group.Owners(ctx, group)
		return callErr
	})
	return owners, err
}
