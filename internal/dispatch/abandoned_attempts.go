package dispatch

import (
	"slices"
	"sync"
	"time"

	"github.com/pathbend/pathbend/internal/quarantine"
)

const (
	// crashAttributionWindow is how long after an attempt was abandoned a crash of its back end
	// may still be attributed to it. Only the next attempt at that back end detects the crash,
	// which at a few requests per second takes about one second.
	crashAttributionWindow = 3 * time.Second
	// survivalPeriod is how long after an abandoned attempt a back end must still answer for
	// the attempt to be considered harmless. It is several times the duration of a request.
	survivalPeriod = time.Second
	// maxAbandonedPerBackEnd limits the abandoned attempts that are kept per back end.
	maxAbandonedPerBackEnd = 64
)

// abandonedAttempts records attempts that were abandoned while their back end may have been
// running the request: the attempt timed out, its caller disconnected, or the answer was lost.
// A crash of the back end caused by such a request is only detected by a later attempt. It is
// safe for concurrent use.
type abandonedAttempts struct {
	mutex sync.Mutex
	// byBackEnd holds the attempts by the id of their back end, oldest first.
	byBackEnd map[string][]abandonedAttempt
	// sweptAt is the time of the last sweep.
	sweptAt time.Time
}

// abandonedAttempt is one attempt that was abandoned.
type abandonedAttempt struct {
	digest quarantine.Digest
	// at is when the attempt was abandoned.
	at time.Time
}

func newAbandonedAttempts() *abandonedAttempts {
	return &abandonedAttempts{byBackEnd: make(map[string][]abandonedAttempt)}
}

// add records that an attempt at a back end was abandoned.
func (a *abandonedAttempts) add(backEnd string, digest quarantine.Digest, now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	kept := a.since(backEnd, now.Add(-crashAttributionWindow))
	if len(kept) >= maxAbandonedPerBackEnd {
		kept = kept[1:]
	}
	a.byBackEnd[backEnd] = append(kept, abandonedAttempt{digest: digest, at: now})
	a.sweep(now)
}

// sweep removes the back ends without recent attempts, of which there may be hundreds, at most
// once per crashAttributionWindow. The caller must hold the mutex.
func (a *abandonedAttempts) sweep(now time.Time) {
	if now.Sub(a.sweptAt) < crashAttributionWindow {
		return
	}
	a.sweptAt = now
	for backEnd := range a.byBackEnd {
		if len(a.since(backEnd, now.Add(-crashAttributionWindow))) == 0 {
			delete(a.byBackEnd, backEnd)
		}
	}
}

// since returns the attempts at a back end that were abandoned at or after a time. The caller
// must hold the mutex.
func (a *abandonedAttempts) since(backEnd string, from time.Time) []abandonedAttempt {
	return slices.DeleteFunc(slices.Clone(a.byBackEnd[backEnd]), func(attempt abandonedAttempt) bool { return attempt.at.Before(from) })
}

// backEndAnswered records that a back end answered, and removes the attempts that it has
// survived for longer than survivalPeriod.
func (a *abandonedAttempts) backEndAnswered(backEnd string, now time.Time) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if _, found := a.byBackEnd[backEnd]; !found {
		return
	}
	a.byBackEnd[backEnd] = a.since(backEnd, now.Add(-survivalPeriod))
}

// takeSuspects returns and removes the digests of the requests that may have crashed a back end
// whose crash was detected now.
func (a *abandonedAttempts) takeSuspects(backEnd string, now time.Time) []quarantine.Digest {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var digests []quarantine.Digest
	for _, attempt := range a.since(backEnd, now.Add(-crashAttributionWindow)) {
		digests = append(digests, attempt.digest)
	}
	delete(a.byBackEnd, backEnd)
	return digests
}
