package dispatch

import (
	"slices"
	"sync"
	"time"

	"github.com/pathbend/pathbend/internal/quarantine"
)

const (
	// departureWindow is how long after an attempt was given up the end of its back end may
	// still be put down to it: until the next attempt at that back end finds it ended, which
	// at a few requests a second takes about one (chosen).
	departureWindow = 3 * time.Second
	// survivalTime is how long a back end must go on answering for a departure to be harmless:
	// several times as long as a request runs (chosen).
	survivalTime = time.Second
	// mostDepartures bounds what is kept for each back end.
	mostDepartures = 64
)

// departures are attempts that were given up while their back end ran the request: the time
// for an attempt was over, its caller left, or the answer was lost. Nobody sees whether the
// back end ends under them, until another attempt finds that it did. It is safe for
// concurrent use.
type departures struct {
	mutex sync.Mutex
	left  map[string][]departure
	// sweptAt is when back ends without departures were forgotten last.
	sweptAt time.Time
}

type departure struct {
	digest quarantine.Digest
	at     time.Time
}

func newDepartures() *departures { return &departures{left: make(map[string][]departure)} }

// note records that an attempt at a back end was given up.
func (d *departures) note(backEnd string, digest quarantine.Digest, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	kept := d.since(backEnd, now.Add(-departureWindow))
	if len(kept) >= mostDepartures {
		kept = kept[1:]
	}
	d.left[backEnd] = append(kept, departure{digest: digest, at: now})
	d.sweep(now)
}

// sweep forgets the back ends without departures, now and then: there may be hundreds. It is
// called under the lock.
func (d *departures) sweep(now time.Time) {
	if now.Sub(d.sweptAt) < departureWindow {
		return
	}
	d.sweptAt = now
	for backEnd := range d.left {
		if len(d.since(backEnd, now.Add(-departureWindow))) == 0 {
			delete(d.left, backEnd)
		}
	}
}

// since returns the departures at a back end from a time on. It is called under the lock.
func (d *departures) since(backEnd string, from time.Time) []departure {
	return slices.DeleteFunc(slices.Clone(d.left[backEnd]), func(one departure) bool { return one.at.Before(from) })
}

// answered records that a back end lives: what left it longer ago did not end it.
func (d *departures) answered(backEnd string, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if _, known := d.left[backEnd]; !known {
		return
	}
	d.left[backEnd] = d.since(backEnd, now.Add(-survivalTime))
}

// ended returns the requests under which a back end may have ended that was found so now, and
// forgets them.
func (d *departures) ended(backEnd string, now time.Time) []quarantine.Digest {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var digests []quarantine.Digest
	for _, one := range d.since(backEnd, now.Add(-departureWindow)) {
		digests = append(digests, one.digest)
	}
	delete(d.left, backEnd)
	return digests
}
