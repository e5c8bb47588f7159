package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

func after(elapsed time.Duration) time.Time { return start.Add(elapsed) }

func newTestSelector() *Selector { return NewSelector(Peer{Name: "n", Zone: "z"}) }

func isRelaying(s *Selector, now time.Time) bool {
	relaying, _, _ := s.Relaying(false, now)
	return relaying
}

func TestCallsAreRelayedOnlyWhileTheDirectPathIsSilent(t *testing.T) {
	s := newTestSelector()
	s.RecordAnswer(5*time.Millisecond, start)
	require.False(t, s.MayRelay(after(minSilenceTimeout-time.Millisecond)), "another call was answered recently")
	require.True(t, s.MayRelay(after(minSilenceTimeout)))
	require.False(t, s.RecordRelayed(after(minSilenceTimeout-time.Millisecond)))
	require.True(t, s.RecordRelayed(after(minSilenceTimeout)))
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
	require.True(t, s.RecordRelayed(start))
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
	s.RecordRelayed(start)
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
