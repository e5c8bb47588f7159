package platformsim

import (
	"context"
	"net/http"
	"time"

	"github.com/pathbend/pathbend/platform"
)

const (
	// appendDuration is the time that a partition takes to execute one append.
	appendDuration = 4 * time.Millisecond
	// maxAppendWait is the time of waiting appends above which a partition refuses another one.
	maxAppendWait = 2 * time.Second
)

// StoreLimits limit the capacity of the store. The zero value sets no limit. Appends that do not
// come from a node, such as those of samplers, are not limited.
type StoreLimits struct {
	// ReadsPerSecond is the number of reads by all machines within one second above which a read
	// is refused with status 429.
	ReadsPerSecond int
	// ReadBytesPerSecond is the rate at which the answers to all reads are sent, one after the
	// other. An answer whose caller has gone takes as long as any other.
	ReadBytesPerSecond int
	// SerialAppends makes each partition execute its appends one at a time, each in
	// appendDuration, and refuse an append with status 503 if more than maxAppendWait of others
	// are waiting.
	SerialAppends bool
}

// capacity tracks how much of the limits is in use. It makes no calls and takes the time as an
// argument. The zero value is unused.
type capacity struct {
	// windowStart is the start of the current second, in which windowReads were admitted.
	windowStart time.Time
	windowReads int
	// answersSentAt is when the last byte of all answers so far will have been sent.
	answersSentAt time.Time
	// appendedAt is when the last append so far of each partition will have been executed.
	appendedAt map[topicPartitionKey]time.Time
}

// topicPartitionKey identifies a partition.
type topicPartitionKey struct {
	topic     string
	partition int
}

// admitRead reports whether a read is within the limit, and counts it if so.
func (c *capacity) admitRead(limits StoreLimits, now time.Time) bool {
	if now.Sub(c.windowStart) >= time.Second {
		c.windowStart, c.windowReads = now, 0
	}
	if limits.ReadsPerSecond > 0 && c.windowReads >= limits.ReadsPerSecond {
		return false
	}
	c.windowReads++
	return true
}

// queueAnswer queues an answer and returns when its last byte will have been sent.
func (c *capacity) queueAnswer(limits StoreLimits, size int, now time.Time) time.Time {
	if limits.ReadBytesPerSecond <= 0 {
		return now
	}
	transfer := time.Duration(float64(size) / float64(limits.ReadBytesPerSecond) * float64(time.Second))
	c.answersSentAt = laterTime(c.answersSentAt, now).Add(transfer)
	return c.answersSentAt
}

// queueAppend queues an append and returns when it will have been executed. It reports false if
// too many others are waiting.
func (c *capacity) queueAppend(limits StoreLimits, key topicPartitionKey, now time.Time) (time.Time, bool) {
	if !limits.SerialAppends {
		return now, true
	}
	begin := laterTime(c.appendedAt[key], now)
	if begin.Sub(now) > maxAppendWait {
		return now, false
	}
	if c.appendedAt == nil {
		c.appendedAt = make(map[topicPartitionKey]time.Time)
	}
	c.appendedAt[key] = begin.Add(appendDuration)
	return c.appendedAt[key], true
}

// SetLimits replaces the limits in force.
func (s *Store) SetLimits(limits StoreLimits) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.limits = limits
}

// admit reports whether a call is within the limit of reads.
func (s *Store) admit(request *http.Request) bool {
	if request.URL.Path != platform.PathRead && request.URL.Path != platform.PathNewest {
		return true
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.capacity.admitRead(s.limits, time.Now())
}

// sendAnswer sends the answer to a read once the answers before it have been sent.
func (s *Store) sendAnswer(writer http.ResponseWriter, request *http.Request, answer []byte) {
	s.mutex.Lock()
	sentAt := s.capacity.queueAnswer(s.limits, len(answer), time.Now())
	s.mutex.Unlock()
	if recorder, ok := writer.(*callRecorder); ok {
		recorder.readBytes = len(answer)
	}
	if !waitUntil(request.Context(), sentAt) {
		return
	}
	// An error means that the caller is gone.
	_, _ = writer.Write(answer)
}

// waitUntil waits until a time, and reports false if ctx ended first.
func waitUntil(ctx context.Context, at time.Time) bool {
	delay := time.Until(at)
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// awaitAppend waits until a partition has executed the appends before one and the append itself.
// It reports false if too many are waiting. An append whose caller has gone is executed too.
func (s *Store) awaitAppend(topic string, partition int) bool {
	s.mutex.Lock()
	executedAt, admitted := s.capacity.queueAppend(s.limits, topicPartitionKey{topic, partition}, time.Now())
	s.mutex.Unlock()
	if admitted {
		time.Sleep(time.Until(executedAt))
	}
	return admitted
}
