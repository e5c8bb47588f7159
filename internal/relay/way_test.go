package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

func after(elapsed time.Duration) time.Time { return start.Add(elapsed) }

func newTestSelector() *Way { return NewWay(Peer{Name: "n", Zone: "z"}) }

func isRelaying(s *Way, now time.Time) bool {
	relaying, _, _ := s.Around(false, now)
	return relaying
}

func TestCallsAreRelayedOnlyWhileTheDirectPathIsSilent(t *testing.T) {
	s := newTestSelector()
	s.Answered(5*time.Millisecond, start)
	require.False(t, s.MayAsk(after(minSilenceTimeout-time.Millisecond)), "another call was answered recently")
	require.True(t, s.MayAsk(after(minSilenceTimeout)))
	require.False(t, s.Helped(after(minSilenceTimeout-time.Millisecond)))
	require.True(t, s.Helped(after(minSilenceTimeout)))
	require.True(t, isRelaying(s, after(minSilenceTimeout)))
	require.False(t, s.Offers(after(minSilenceTimeout)), "no call takes two hops")
}

func TestSlowServiceIsNotSilent(t *testing.T) {
	s := newTestSelector()
	now := start
	for range 100 {
		now = now.Add(200 * time.Millisecond)
		s.Answered(200*time.Millisecond, now)
	}
	require.False(t, s.MayAsk(now.Add(900*time.Millisecond)))
	require.True(t, s.MayAsk(now.Add(1100*time.Millisecond)))
}

func TestDirectPathIsUsedAgainAfterItsFirstAnswer(t *testing.T) {
	s := newTestSelector()
	require.True(t, s.Helped(start))
	_, probe, _ := s.Around(true, after(probeInterval-time.Millisecond))
	require.False(t, probe)
	_, probe, _ = s.Around(false, after(probeInterval))
	require.False(t, probe, "a call that the service holds is no probe")
	_, probe, _ = s.Around(true, after(probeInterval))
	require.True(t, probe)
	_, probe, _ = s.Around(true, after(probeInterval+time.Millisecond))
	require.False(t, probe, "only one call per interval is a probe")
	s.Answered(time.Millisecond, after(time.Second))
	require.False(t, isRelaying(s, after(time.Second)))
	require.True(t, s.Offers(after(time.Second)))
}

// Without a backoff, each call of each node would be made twice while the service is down for
// all nodes.
func TestBackoffGrowsWhileTheServiceIsDownForAllNodes(t *testing.T) {
	s := newTestSelector()
	now := start
	for _, backoff := range []time.Duration{minBackoff, 2 * minBackoff, 4 * minBackoff, maxBackoff, maxBackoff} {
		require.True(t, s.MayAsk(now))
		s.Unhelpful("p", true, now)
		require.False(t, s.MayAsk(now.Add(backoff-time.Millisecond)))
		now = now.Add(backoff)
	}
	s.Answered(time.Millisecond, now)
	now = now.Add(time.Second)
	s.Unhelpful("p", true, now)
	require.True(t, s.MayAsk(now.Add(minBackoff)))
}

func TestWaitingCallsAreNotifiedOfTheSwitchToPeers(t *testing.T) {
	s := newTestSelector()
	_, _, switched := s.Around(true, start)
	s.Helped(start)
	select {
	case <-switched:
	default:
		t.Fatal("calls that wait on the direct path were not notified")
	}
}

func TestPeersOfTheOwnZoneAreTriedFirstAndFailedOnesAvoided(t *testing.T) {
	s := newTestSelector()
	peers := []Peer{{Name: "n", Zone: "z", Address: "a"}, {Name: "far", Zone: "y", Address: "a"}, {Name: "near", Zone: "z", Address: "a"}, {Name: "old", Zone: "z"}}
	chosen := s.Choose(peers, 2, start)
	require.Equal(t, []string{"near", "far"}, []string{chosen[0].Name, chosen[1].Name}, "neither the node itself nor a peer without an address is selected")
	s.Unhelpful("near", false, start)
	require.Equal(t, "far", s.Choose(peers, 1, start)[0].Name)
	require.Equal(t, "near", s.Choose(peers, 1, after(avoidPeriod))[0].Name)
}
