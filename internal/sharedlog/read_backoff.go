package sharedlog

import "time"

const (
	// retryInterval is the upper limit of the pause after the first failed read.
	retryInterval = 100 * time.Millisecond
	// defaultMaxRetryPause is the upper limit of the pause after any number of failed reads, if
	// the follower has no other. A node notices within about this time that the log is back.
	defaultMaxRetryPause = 500 * time.Millisecond
	// maxReadTimeout is the maximum timeout of a read of new records, without its hold. It is
	// longer than the 2 s for which the log service queues an answer, so that a slow answer is
	// awaited and not requested again.
	maxReadTimeout = 3 * time.Second
	// maxTimeoutDoublings limits how often the timeout of a read is doubled.
	maxTimeoutDoublings = 3
)

// readBackoff decides after which pause and with which timeout a follower reads again after
// failed reads. A read that fails costs the log as much as one that is answered: its answer is
// sent to a caller that has left. The zero value has had no failure. It sets no timers and reads
// no clock.
type readBackoff struct {
	// failures is the number of consecutive failed reads.
	failures int
	// doublings is how often the timeout is doubled.
	doublings int
	// notBefore is the earliest time of the next read.
	notBefore time.Time
}

// recordFailure records a read that failed at the time now, because it ran out of time if
// timedOut is set. maxPause limits the pause that follows; random returns a number in [0, 1).
func (b *readBackoff) recordFailure(timedOut bool, maxPause time.Duration, random func() float64, now time.Time) {
	b.notBefore = now.Add(b.pause(0, maxPause, random))
	b.failures++
	if timedOut {
		b.doublings = min(b.doublings+1, maxTimeoutDoublings)
	}
}

// recordAnswer records a read that was answered after the time took, not counting its hold.
// timeout is that of a read without failures. The timeout is halved at most once for each
// answer, and only if the answer would have been in time then.
func (b *readBackoff) recordAnswer(took, timeout time.Duration) {
	b.failures, b.notBefore = 0, time.Time{}
	if b.doublings > 0 && took < timeout<<(b.doublings-1) {
		b.doublings--
	}
}

// delayUntil sets the earliest time of the next read.
func (b *readBackoff) delayUntil(at time.Time) { b.notBefore = at }

// timeout returns the timeout of the next read. usual is that of a read without failures,
// limit the maximum.
func (b *readBackoff) timeout(usual, limit time.Duration) time.Duration {
	return max(usual, min(usual<<b.doublings, limit))
}

// pause returns a pause after the failed reads and the given number of unanswered probes. Its
// upper limit doubles with each of them up to maxPause. It is random between 0 and the limit
// (full jitter), so that nodes that failed together do not retry together.
func (b *readBackoff) pause(probes int, maxPause time.Duration, random func() float64) time.Duration {
	const maxExponent = 10
	limit := min(retryInterval<<min(b.failures+probes, maxExponent), maxPause)
	return time.Duration(random() * float64(limit))
}
