// Package relay decides when a node reaches the log service through another node.
//
// The log service may refuse one machine, or the network path to it may fail, while it serves
// all others. A node in that state sends its calls to a peer, which makes each call once and
// returns the service's response unchanged, byte for byte. The peer caches no responses, so none
// is older than its call, and it relays no calls while its own direct path is silent, so that no
// call takes more than one hop.
//
// If the service is down or slow for all nodes, peers get no answer in time either. Several such
// peers without a relayed call in between suspend relaying, as it would only multiply the load.
//
// The package makes no calls itself; its callers pass the time and report the outcomes.
package relay

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pathbend/pathbend/internal/rendezvous"
)

const (
	// minSilenceTimeout is the lower bound of the time without any answer after which the
	// direct path counts as silent. The service answers in 4 to 30 ms, and a node loses its
	// partition assignment after 1.5 s.
	minSilenceTimeout = 150 * time.Millisecond
	// silenceLatencyFactor is the same timeout as a multiple of the mean latency, which
	// prevails if the service is slow.
	silenceLatencyFactor = 5
	// latencyWeight is the weight of a new sample in the moving average of the latency.
	latencyWeight = 0.1
	// probeInterval is how often a node that relays its calls tries the direct path.
	probeInterval = 500 * time.Millisecond
	// ProbeTimeout is how long such a call waits for the direct path before it goes through a
	// peer as well.
	ProbeTimeout = 60 * time.Millisecond
	// minBackoff is how long at most no peer is tried after the service refused a peer as well,
	// as when it is down for all nodes, or after a peer failed while calls went directly. It
	// doubles up to maxBackoff. The actual time is random, at least half as long, so that
	// nodes that lost the service together do not ask peers together.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// maxSilentPeers is the number of consecutive peers without an answer in time after which
	// the service counts as down or slow for all nodes. If a third of the nodes are turned
	// away, one in 27 nodes that have just noticed it asks as many of them.
	maxSilentPeers = 3
	// avoidPeriod is how long a peer is not selected after it failed to relay a call.
	avoidPeriod = 3 * time.Second
)

// Peer is a node that may relay calls. One with an empty Address relays none.
type Peer struct {
	Name    string
	Zone    string
	Address string
}

// CallEnd is how a call on the direct path ended.
type CallEnd int

// Ends of a call: the service answered it, it did not answer it in time or refused it, or the
// caller needed no answer any more.
const (
	CallAnswered CallEnd = iota
	CallUnanswered
	CallCanceled
)

// Call identifies a call on the direct path.
type Call uint64

// Selector tracks whether a node's direct path to the log service is silent, and selects the
// peers that relay its calls if so. It is safe for concurrent use.
type Selector struct {
	self Peer

	mutex sync.Mutex
	// answeredAt is the time of the last answer on the direct path.
	answeredAt  time.Time
	meanLatency time.Duration
	// relaying is set while calls go through peers.
	relaying     bool
	nextProbe    time.Time
	backoffUntil time.Time
	backoff      time.Duration
	// avoidUntil holds the time until which a peer that failed to relay a call is not selected,
	// by name.
	avoidUntil map[string]time.Time
	// silentPeers is the number of peers that got no answer since a call was last relayed, or
	// since the last backoff.
	silentPeers int
	// lateAt holds the time after which each outstanding call on the direct path is late.
	lateAt   map[Call]time.Time
	lastCall Call
	// lastUnanswered is set until a call on the direct path was answered, and if the last one
	// that has ended was not.
	lastUnanswered bool
	// exploring is set while one call tries peers although calls go directly.
	exploring bool
	// random returns a number in [0, 1).
	random func() float64
	// relayingStarted is closed and replaced when calls begin to go through peers.
	relayingStarted chan struct{}
}

// NewSelector returns the selector of a node whose calls go directly to the service.
func NewSelector(self Peer) *Selector {
	return &Selector{
		self: self, avoidUntil: make(map[string]time.Time), lateAt: make(map[Call]time.Time), lastUnanswered: true,
		random: rand.Float64, relayingStarted: make(chan struct{}),
	}
}

// Relaying reports whether calls go through peers, and whether this call, if mayProbe allows
// it, is to try the direct path first. mayProbe is false for a call that the service is asked to
// hold, as its answer would be late and so could not tell soon whether the path works. If calls go
// directly, relayingStarted is closed once they begin to go through peers; otherwise it is nil.
func (s *Selector) Relaying(mayProbe bool, now time.Time) (relaying, probe bool, relayingStarted <-chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.relaying {
		return false, false, s.relayingStarted
	}
	if probe = mayProbe && !now.Before(s.nextProbe); probe {
		s.nextProbe = now.Add(probeInterval)
	}
	return true, probe, nil
}

// SilenceTimeout returns the time without an answer after which the direct path counts as
// silent, in addition to the time for which the service was asked to hold a call.
func (s *Selector) SilenceTimeout() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.silenceTimeout()
}

// silenceTimeout returns the silence timeout of the direct path. The caller holds s.mutex.
func (s *Selector) silenceTimeout() time.Duration {
	return max(minSilenceTimeout, silenceLatencyFactor*s.meanLatency)
}

// MayRelay reports whether a call that failed or got no answer may go through peers: the
// direct path is silent for all calls, and no backoff is in force.
func (s *Selector) MayRelay(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.mayRelay(now)
}

// mayRelay is MayRelay for callers that hold s.mutex.
func (s *Selector) mayRelay(now time.Time) bool {
	return now.Sub(s.answeredAt) >= s.silenceTimeout() && !now.Before(s.backoffUntil)
}

// BeginExploring reports whether a call that got no answer in time may go through peers, as
// MayRelay, if no other such call does at present. The caller must call EndExploring then. The
// other calls learn from Relaying whether it was successful.
func (s *Selector) BeginExploring(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.exploring || !s.mayRelay(now) {
		return false
	}
	s.exploring = true
	return true
}

// EndExploring records the end of a call for which BeginExploring returned true.
func (s *Selector) EndExploring() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.exploring = false
}

// AcceptsRelays reports whether this node may relay calls of its peers: its own calls go
// directly to the service, the last one that has ended was answered, and none is late. The
// answer may be of any age, as a node may call the service rarely.
func (s *Selector) AcceptsRelays(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.relaying || s.lastUnanswered {
		return false
	}
	for _, lateAt := range s.lateAt {
		if !now.Before(lateAt) {
			return false
		}
	}
	return true
}

// BeginCall records the start of a call on the direct path, which the service is asked to hold
// for up to hold. The caller must pass the result to EndCall.
func (s *Selector) BeginCall(hold time.Duration, now time.Time) Call {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastCall++
	s.lateAt[s.lastCall] = now.Add(hold + s.silenceTimeout())
	return s.lastCall
}

// EndCall records the end of a call on the direct path. A call that was canceled after it was
// late counts as unanswered.
func (s *Selector) EndCall(call Call, end CallEnd, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	late := !now.Before(s.lateAt[call])
	delete(s.lateAt, call)
	if end != CallCanceled || late {
		s.lastUnanswered = end != CallAnswered
	}
}

// RecordAnswer records an answer on the direct path, upon which calls go directly again. took
// is the latency of the call, 0 for one that the service was asked to hold. A late answer does
// not end a backoff.
func (s *Selector) RecordAnswer(took time.Duration, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.answeredAt, s.relaying, s.lastUnanswered = now, false, false
	if took < s.silenceTimeout() {
		s.backoff, s.silentPeers = 0, 0
	}
	if took > 0 {
		s.meanLatency += time.Duration(latencyWeight * float64(took-s.meanLatency))
	}
}

// RecordRelayed records that a peer relayed a call successfully. The peer is no longer avoided, as
// it may be for an answer that was late. It reports whether calls begin to go through peers, which
// they do if the direct path is silent.
func (s *Selector) RecordRelayed(peer string, now time.Time) (started bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.avoidUntil, peer)
	s.backoff, s.silentPeers = 0, 0
	if s.relaying || now.Sub(s.answeredAt) < s.silenceTimeout() {
		return false
	}
	s.relaying, s.nextProbe = true, now.Add(probeInterval)
	close(s.relayingStarted)
	s.relayingStarted = make(chan struct{})
	return true
}

// RecordRelayFailure records that a peer failed to relay a call. serviceDown is set if the peer
// reached the service, which refused it as well; the peer is not at fault then, and calls go
// directly until a backoff has passed.
func (s *Selector) RecordRelayFailure(peer string, serviceDown bool, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !serviceDown {
		s.avoidUntil[peer] = now.Add(avoidPeriod)
	}
	if serviceDown || !s.relaying {
		s.suspend(now)
	}
	if serviceDown {
		s.relaying = false
	}
}

// RecordSilentPeer records that a peer got no answer from the service either, or gave none. The
// peer is avoided. After maxSilentPeers of them in succession calls go directly until a backoff
// has passed, as the service is down or slow for all nodes. A peer that is avoided already does
// not count again.
func (s *Selector) RecordSilentPeer(peer string, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := now.Before(s.avoidUntil[peer])
	s.avoidUntil[peer] = now.Add(avoidPeriod)
	if known {
		return
	}
	if s.silentPeers++; s.silentPeers < maxSilentPeers {
		return
	}
	s.silentPeers, s.relaying = 0, false
	s.suspend(now)
}

// suspend starts or extends the backoff. The caller holds s.mutex.
func (s *Selector) suspend(now time.Time) {
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	const minJitter = 0.5
	s.backoffUntil = now.Add(time.Duration((minJitter + (1-minJitter)*s.random()) * float64(s.backoff)))
}

// SelectPeers returns up to limit peers in the order in which this node tries them: those of
// its own zone first, then by a hash that gives each node a different order, which spreads the
// load.
func (s *Selector) SelectPeers(peers []Peer, limit int, now time.Time) []Peer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	type rankedPeer struct {
		Peer
		distance int
		weight   uint64
	}
	var eligible []rankedPeer
	for _, peer := range peers {
		if peer.Name != s.self.Name && peer.Address != "" && !now.Before(s.avoidUntil[peer.Name]) {
			eligible = append(eligible, rankedPeer{peer, s.zoneDistance(peer), rendezvous.Weight(s.self.Name, peer.Name)})
		}
	}
	slices.SortFunc(eligible, func(a, b rankedPeer) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.weight, a.weight), cmp.Compare(a.Name, b.Name))
	})
	selected := make([]Peer, 0, limit)
	for _, peer := range eligible[:min(len(eligible), limit)] {
		selected = append(selected, peer.Peer)
	}
	return selected
}

func (s *Selector) zoneDistance(peer Peer) int {
	if peer.Zone == s.self.Zone {
		return 0
	}
	return 1
}
