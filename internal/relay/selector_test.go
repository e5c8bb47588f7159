package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

func after(elapsed time.Duration) time.Time { return start.Add(elapsed) }

// newTestSelector returns a selector whose backoffs have their full length.
func newTestSelector() *Selector {
	s := NewSelector(Peer{Name: "n", Zone: "z"})
	s.random = func() float64 { return 1 }
	return s
}

func isRelaying(s *Selector, now time.Time) bool {
	relaying, _, _ := s.Relaying(false, now)
	return relaying
}

func TestCallsAreRelayedOnlyWhileTheDirectPathIsSilent(t *testing.T) {
	s := newTestSelector()
	s.RecordAnswer(5*time.Millisecond, start)
	require.False(t, s.MayRelay(after(minSilenceTimeout-time.Millisecond)), "another call was answered recently")
	require.True(t, s.MayRelay(after(minSilenceTimeout)))
	require.False(t, s.RecordRelayed("peer", after(minSilenceTimeout-time.Millisecond)))
	require.True(t, s.RecordRelayed("peer", after(minSilenceTimeout)))
	require.True(t, isRelaying(s, after(minSilenceTimeout)))
	require.False(t, s.AcceptsRelays(after(minSilenceTimeout)), "no call takes two hops")
}

func TestSlowServiceIsNotSilent(t *testing.T) {
	s := newTestSelector()
	now := start
	for range 100 {
		now = now.Add(200 * time.Millisecond)
		s.RecordAnswer(200*time.Millisecond, now)
	}
	require.False(t, s.MayRelay(now.Add(900*time.Millisecond)))
	require.True(t, s.MayRelay(now.Add(1100*time.Millisecond)))
}

func TestDirectPathIsUsedAgainAfterItsFirstAnswer(t *testing.T) {
	s := newTestSelector()
	require.True(t, s.RecordRelayed("peer", start))
	_, probe, _ := s.Relaying(true, after(probeInterval-time.Millisecond))
	require.False(t, probe)
	_, probe, _ = s.Relaying(false, after(probeInterval))
	require.False(t, probe, "a call that the service holds is no probe")
	_, probe, _ = s.Relaying(true, after(probeInterval))
	require.True(t, probe)
	_, probe, _ = s.Relaying(true, after(probeInterval+time.Millisecond))
	require.False(t, probe, "only one call per interval is a probe")
	s.RecordAnswer(time.Millisecond, after(time.Second))
	require.False(t, isRelaying(s, after(time.Second)))
	require.True(t, s.AcceptsRelays(after(time.Second)))
}

// Without a backoff, each call of each node would be made twice while the service is down for
// all nodes.
func TestBackoffGrowsWhileTheServiceIsDownForAllNodes(t *testing.T) {
	s := newTestSelector()
	now := start
	for _, backoff := range []time.Duration{minBackoff, 2 * minBackoff, 4 * minBackoff, maxBackoff, maxBackoff} {
		require.True(t, s.MayRelay(now))
		s.RecordRelayFailure("p", true, now)
		require.False(t, s.MayRelay(now.Add(backoff-time.Millisecond)))
		now = now.Add(backoff)
	}
	s.RecordAnswer(time.Millisecond, now)
	now = now.Add(time.Second)
	s.RecordRelayFailure("p", true, now)
	require.True(t, s.MayRelay(now.Add(minBackoff)))
}

func TestWaitingCallsAreNotifiedOfTheSwitchToPeers(t *testing.T) {
	s := newTestSelector()
	_, _, relayingStarted := s.Relaying(true, start)
	s.RecordRelayed("peer", start)
	select {
	case <-relayingStarted:
	default:
		t.Fatal("calls that wait on the direct path were not notified")
	}
}

func TestPeersOfTheOwnZoneAreTriedFirstAndFailedOnesAvoided(t *testing.T) {
	s := newTestSelector()
	peers := []Peer{{Name: "n", Zone: "z", Address: "a"}, {Name: "far", Zone: "y", Address: "a"}, {Name: "near", Zone: "z", Address: "a"}, {Name: "old", Zone: "z"}}
	chosen := s.SelectPeers(peers, 2, start)
	require.Equal(t, []string{"near", "far"}, []string{chosen[0].Name, chosen[1].Name}, "neither the node itself nor a peer without an address is selected")
	s.RecordRelayFailure("near", false, start)
	require.Equal(t, "far", s.SelectPeers(peers, 1, start)[0].Name)
	require.Equal(t, "near", s.SelectPeers(peers, 1, after(avoidPeriod))[0].Name)
}

// Guards against a hash whose high bits hardly depend on the last characters of a name: 16 of
// 287 nodes that the service did not answer chose the same small machine.
func TestRelayedCallsAreSpreadEvenly(t *testing.T) {
	const nodes, silent, maxTimesMean = 985, 345, 8
	all := make([]Peer, nodes)
	for i := range all {
		all[i] = Peer{Name: fmt.Sprintf("edge-pikine-%d", i), Zone: "z", Address: "a"}
	}
	chosen := make(map[string]int)
	busiest := 0
	for _, self := range all[:silent] {
		name := NewSelector(self).SelectPeers(all[silent:], 1, start)[0].Name
		chosen[name]++
		busiest = max(busiest, chosen[name])
	}
	require.LessOrEqual(t, float64(busiest), maxTimesMean*float64(silent)/float64(nodes-silent), "%d peers relay", len(chosen))
}

// Guards against refusing the calls of peers only because this node calls the service rarely.
func TestNodeThatCallsTheServiceRarelyRelaysCalls(t *testing.T) {
	s := newTestSelector()
	require.False(t, s.AcceptsRelays(start), "no call was answered yet")
	call := s.BeginCall(0, start)
	s.RecordAnswer(5*time.Millisecond, after(5*time.Millisecond))
	s.EndCall(call, CallAnswered, after(5*time.Millisecond))
	require.True(t, s.AcceptsRelays(after(time.Minute)))
}

// Guards against relaying calls to a service that does not answer this node at present: the
// relayed calls are as late, and add to its load.
func TestNodeWithAnUnansweredCallRelaysNone(t *testing.T) {
	const hold = 600 * time.Millisecond
	s := newTestSelector()
	s.RecordAnswer(5*time.Millisecond, start)
	held, call := s.BeginCall(hold, start), s.BeginCall(0, start)
	require.True(t, s.AcceptsRelays(after(minSilenceTimeout-time.Millisecond)))
	require.False(t, s.AcceptsRelays(after(minSilenceTimeout)), "a call is late")
	s.EndCall(call, CallCanceled, after(minSilenceTimeout))
	require.False(t, s.AcceptsRelays(after(minSilenceTimeout)), "it was late when it was canceled")
	s.EndCall(s.BeginCall(0, after(minSilenceTimeout)), CallAnswered, after(minSilenceTimeout))
	require.True(t, s.AcceptsRelays(after(hold)), "the other call is still held")
	require.False(t, s.AcceptsRelays(after(hold+minSilenceTimeout)))
	s.EndCall(held, CallAnswered, after(hold+minSilenceTimeout))
	require.True(t, s.AcceptsRelays(after(hold+minSilenceTimeout)))
	s.EndCall(s.BeginCall(0, after(time.Second)), CallUnanswered, after(time.Second))
	require.False(t, s.AcceptsRelays(after(time.Second)))
}

func TestCanceledCallTellsNothing(t *testing.T) {
	s := newTestSelector()
	s.RecordAnswer(5*time.Millisecond, start)
	s.EndCall(s.BeginCall(time.Second, start), CallCanceled, after(time.Millisecond))
	require.True(t, s.AcceptsRelays(after(time.Second)))
}

// Guards against asking one peer after the other while the service is slow for all nodes, which
// triples the calls to it.
func TestPeersWithoutAnAnswerSuspendRelaying(t *testing.T) {
	s := newTestSelector()
	require.True(t, s.RecordRelayed("peer", start))
	now := start
	for _, backoff := range []time.Duration{minBackoff, 2 * minBackoff, 4 * minBackoff, maxBackoff, maxBackoff} {
		for _, peer := range []string{"a", "b", "c"} {
			require.True(t, s.MayRelay(now))
			s.RecordSilentPeer(fmt.Sprint(peer, backoff, now), now)
			s.RecordSilentPeer(fmt.Sprint(peer, backoff, now), now)
		}
		require.False(t, isRelaying(s, now))
		require.False(t, s.MayRelay(now.Add(backoff-time.Millisecond)))
		now = now.Add(backoff)
	}
	s.RecordAnswer(2*minSilenceTimeout, now)
	now = now.Add(time.Second)
	s.RecordRelayFailure("a", true, now)
	require.False(t, s.MayRelay(now.Add(maxBackoff-time.Millisecond)), "a late answer does not end the backoff")
	now = now.Add(maxBackoff)
	s.RecordAnswer(time.Millisecond, now)
	now = now.Add(time.Second)
	s.RecordRelayFailure("a", true, now)
	require.True(t, s.MayRelay(now.Add(minBackoff)), "an answer in time ends the backoff")
}

// Many nodes may be turned away while the service answers all others: some of their peers are
// among them.
func TestSomePeersWithoutAnAnswerDoNotSuspendRelaying(t *testing.T) {
	s := newTestSelector()
	for _, now := range []time.Time{start, after(time.Second)} {
		s.RecordSilentPeer("a", now)
		s.RecordSilentPeer("b", now)
		require.True(t, s.MayRelay(now))
		s.RecordRelayed("peer", now)
	}
	require.True(t, isRelaying(s, after(time.Second)))
}

func TestBackoffsOfNodesDiffer(t *testing.T) {
	s := newTestSelector()
	s.random = func() float64 { return 0 }
	s.RecordRelayFailure("a", true, start)
	require.True(t, s.MayRelay(after(minBackoff/2)))
}

func TestOneCallAtATimeExploresPeers(t *testing.T) {
	s := newTestSelector()
	s.RecordAnswer(time.Millisecond, start)
	require.False(t, s.BeginExploring(after(minSilenceTimeout-time.Millisecond)))
	require.True(t, s.BeginExploring(after(minSilenceTimeout)))
	require.False(t, s.BeginExploring(after(minSilenceTimeout)))
	s.EndExploring()
	require.True(t, s.BeginExploring(after(minSilenceTimeout)))
}
