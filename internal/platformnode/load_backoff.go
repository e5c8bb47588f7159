package platformnode

import (
	"time"

	"github.com/pathbend/pathbend/internal/blobstore"
)

const (
	// minLoadRetryPause is the upper limit of the pause after the first failed attempt to load
	// a job. It doubles with each further one, up to maxLoadRetryPause.
	minLoadRetryPause = 60 * time.Millisecond
	maxLoadRetryPause = time.Second
	// maxLoadReadTimeout is the maximum timeout of a read. It is longer than the 2 s for which
	// the log service queues an answer, so that a slow answer is awaited and not requested
	// again.
	maxLoadReadTimeout = 2500 * time.Millisecond
)

// loadBackoff decides after which pause and with which timeout the log is read again for a job
// that could not be loaded. A read that runs out of time costs the log as much as one that is
// answered: its answer is sent to a caller that has left. The zero value has had no failure.
type loadBackoff struct {
	// failures is the number of failed attempts, timeouts that of those that ran out of time.
	failures, timeouts int
}

// fail records a failed attempt, which ran out of time if timedOut is set, and returns the
// pause that follows. random, from 0 to 1, chooses it between 0 and its limit (full jitter),
// so that the jobs of an executor do not retry together.
func (b *loadBackoff) fail(timedOut bool, random float64) time.Duration {
	limit := doubled(minLoadRetryPause, b.failures, maxLoadRetryPause)
	b.failures++
	if timedOut {
		b.timeouts++
	}
	return time.Duration(random * float64(limit))
}

// timeout returns the timeout of each read of the next attempt, for a nearby log.
func (b *loadBackoff) timeout() time.Duration {
	return doubled(blobstore.ReadTimeout, b.timeouts, maxLoadReadTimeout)
}

// doubled returns a duration doubled a number of times, up to limit.
func doubled(duration time.Duration, times int, limit time.Duration) time.Duration {
	const maxDoublings = 10
	return min(duration<<min(times, maxDoublings), limit)
}
