// Package relay decides when a node reaches the log service through another node.
//
// The log service may turn one machine away, or the way to it may be cut, while it serves
// all others. A node in that state hands its calls to a peer, which makes each of them once
// and passes the service's own answer back, byte for byte. The peer adds nothing: it keeps
// no answers, so none is older than the call, and it makes no call for a peer while its own
// way is silent, so that no call takes more than one hop.
//
// The package is pure: it makes no calls.
package relay

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sync"
	"time"
)

const (
	// silentFor is the shortest time without any answer after which the direct way counts
	// as silent: the service answers in 4 to 30 ms, and a share in the group lasts for 1.5 s.
	silentFor = 150 * time.Millisecond
	// silentRatio is the same in mean times of an answer, for a service that is slow.
	silentRatio = 5
	// timeWeight is the share of a new observation in the mean time of an answer.
	timeWeight = 0.1
	// probeEvery is how often a node that goes through peers tries the direct way, and
	// ProbeFor how long it waits for that before it goes through a peer all the same.
	probeEvery = 500 * time.Millisecond
	ProbeFor   = 60 * time.Millisecond
	// firstRest is for how long peers are left alone after one had no answer either, as
	// when the service is down for all; it doubles up to longestRest.
	firstRest   = 500 * time.Millisecond
	longestRest = 4 * time.Second
	// avoidFor is how long a peer is avoided that could not help.
	avoidFor = 3 * time.Second
)

// Peer is a node that may make calls for others.
type Peer struct {
	Name    string
	Zone    string
	Address string
}

// Way is what a node knows of its ways to the log service. It is safe for concurrent use.
type Way struct {
	self Peer

	mutex      sync.Mutex
	answeredAt time.Time
	mean       time.Duration
	around     bool
	probeAt    time.Time
	restUntil  time.Time
	rest       time.Duration
	avoid      map[string]time.Time
	// turned is closed and replaced when the node begins to go through peers.
	turned chan struct{}
}

// NewWay returns the ways of a node.
func NewWay(self Peer) *Way {
	return &Way{self: self, avoid: make(map[string]time.Time), turned: make(chan struct{})}
}

// Around reports whether calls go through peers, and whether this one, if it may, is to try
// the direct way first. turned is closed once calls go through peers.
func (w *Way) Around(mayProbe bool, now time.Time) (around, probe bool, turned <-chan struct{}) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !w.around {
		return false, false, w.turned
	}
	if probe = mayProbe && !now.Before(w.probeAt); probe {
		w.probeAt = now.Add(probeEvery)
	}
	return true, probe, nil
}

// Patience is how long a call without an answer is waited for before its way counts as
// silent, beside the time for which the service was asked to hold it.
func (w *Way) Patience() time.Duration {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.patience()
}

func (w *Way) patience() time.Duration { return max(silentFor, silentRatio*w.mean) }

// MayAsk reports whether a call that failed or got no answer may go through peers: no other
// call was answered meanwhile, and peers could help of late.
func (w *Way) MayAsk(now time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return now.Sub(w.answeredAt) >= w.patience() && !now.Before(w.restUntil)
}

// Offers reports whether this node has a way of its own that it may offer to others.
func (w *Way) Offers(now time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return !w.around && now.Sub(w.answeredAt) < silentPeer
}

// silentPeer is how long a node may have had no answer and still make calls for others: it
// makes a call every second at least.
const silentPeer = 1500 * time.Millisecond

// Answered records an answer on the direct way. took is 0 for a call that the service was
// asked to hold.
func (w *Way) Answered(took time.Duration, now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.answeredAt, w.around, w.rest = now, false, 0
	if took > 0 {
		w.mean += time.Duration(timeWeight * float64(took-w.mean))
	}
}

// Helped records that a peer brought an answer of the service while the direct way had
// none. It reports whether the node begins to go through peers.
func (w *Way) Helped(now time.Time) (began bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.rest = 0
	if w.around || now.Sub(w.answeredAt) < w.patience() {
		return false
	}
	w.around, w.probeAt = true, now.Add(probeEvery)
	close(w.turned)
	w.turned = make(chan struct{})
	return true
}

// Unhelpful records that a peer brought no answer. serviceDown is set if it reached the
// service, which refused it too: then no other peer is asked for a while.
func (w *Way) Unhelpful(peer string, serviceDown bool, now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if !serviceDown {
		w.avoid[peer] = now.Add(avoidFor)
	}
	if serviceDown || !w.around {
		w.rest = min(max(2*w.rest, firstRest), longestRest)
		w.restUntil = now.Add(w.rest)
	}
	if serviceDown {
		w.around = false
	}
}

// Choose returns up to most peers in the order in which this node asks them: those of its
// zone first, each node in an order of its own.
func (w *Way) Choose(peers []Peer, most int, now time.Time) []Peer {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var able []Peer
	for _, peer := range peers {
		if peer.Name != w.self.Name && peer.Address != "" && !now.Before(w.avoid[peer.Name]) {
			able = append(able, peer)
		}
	}
	slices.SortFunc(able, func(a, b Peer) int {
		return cmp.Or(
			cmp.Compare(w.far(a), w.far(b)),
			cmp.Compare(w.rank(a.Name), w.rank(b.Name)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return able[:min(len(able), most)]
}

func (w *Way) far(peer Peer) int {
	if peer.Zone == w.self.Zone {
		return 0
	}
	return 1
}

func (w *Way) rank(name string) uint64 {
	digest := fnv.New64a()
	// A hash takes every write.
	_, _ = digest.Write([]byte(w.self.Name + "\x00" + name))
	return digest.Sum64()
}
