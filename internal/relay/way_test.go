package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var began = time.Unix(1_000_000, 0)

func after(passed time.Duration) time.Time { return began.Add(passed) }

func newWay() *Way { return NewWay(Peer{Name: "n", Zone: "z"}) }

func isAround(w *Way, now time.Time) bool {
	around, _, _ := w.Around(false, now)
	return around
}

func TestPeersAreAskedOnlyWhileTheDirectWayIsSilent(t *testing.T) {
	w := newWay()
	w.Answered(5*time.Millisecond, began)
	require.False(t, w.MayAsk(after(silentFor-time.Millisecond)), "another call was answered just now")
	require.True(t, w.MayAsk(after(silentFor)))
	require.False(t, w.Helped(after(silentFor-time.Millisecond)))
	require.True(t, w.Helped(after(silentFor)))
	require.True(t, isAround(w, after(silentFor)))
	require.False(t, w.Offers(after(silentFor)), "no call takes two hops")
}

func TestSlowServiceIsNotSilent(t *testing.T) {
	w := newWay()
	now := began
	for range 100 {
		now = now.Add(200 * time.Millisecond)
		w.Answered(200*time.Millisecond, now)
	}
	require.False(t, w.MayAsk(now.Add(900*time.Millisecond)))
	require.True(t, w.MayAsk(now.Add(1100*time.Millisecond)))
}

func TestDirectWayIsTakenAgainAtItsFirstAnswer(t *testing.T) {
	w := newWay()
	require.True(t, w.Helped(began))
	_, probe, _ := w.Around(true, after(probeEvery-time.Millisecond))
	require.False(t, probe)
	_, probe, _ = w.Around(false, after(probeEvery))
	require.False(t, probe, "a call that is held tells nothing soon")
	_, probe, _ = w.Around(true, after(probeEvery))
	require.True(t, probe)
	_, probe, _ = w.Around(true, after(probeEvery+time.Millisecond))
	require.False(t, probe, "one call at a time tries")
	w.Answered(time.Millisecond, after(time.Second))
	require.False(t, isAround(w, after(time.Second)))
	require.True(t, w.Offers(after(time.Second)))
}

// While the service is down for all, each call of each node would be made twice.
func TestPeersRestLongerAndLongerWhileTheServiceIsDownForAll(t *testing.T) {
	w := newWay()
	now := began
	for _, rest := range []time.Duration{firstRest, 2 * firstRest, 4 * firstRest, longestRest, longestRest} {
		require.True(t, w.MayAsk(now))
		w.Unhelpful("p", true, now)
		require.False(t, w.MayAsk(now.Add(rest-time.Millisecond)))
		now = now.Add(rest)
	}
	w.Answered(time.Millisecond, now)
	now = now.Add(time.Second)
	w.Unhelpful("p", true, now)
	require.True(t, w.MayAsk(now.Add(firstRest)))
}

func TestCallsThatWaitLearnThatPeersHelp(t *testing.T) {
	w := newWay()
	_, _, turned := w.Around(true, began)
	w.Helped(began)
	select {
	case <-turned:
	default:
		t.Fatal("the calls that wait on the direct way were not told")
	}
}

func TestPeersOfTheOwnZoneFirstAndThoseThatFailedLater(t *testing.T) {
	w := newWay()
	peers := []Peer{{Name: "n", Zone: "z", Address: "a"}, {Name: "far", Zone: "y", Address: "a"}, {Name: "near", Zone: "z", Address: "a"}, {Name: "old", Zone: "z"}}
	chosen := w.Choose(peers, 2, began)
	require.Equal(t, []string{"near", "far"}, []string{chosen[0].Name, chosen[1].Name}, "not itself, nor one that makes no calls")
	w.Unhelpful("near", false, began)
	require.Equal(t, "far", w.Choose(peers, 1, began)[0].Name)
	require.Equal(t, "near", w.Choose(peers, 1, after(avoidFor))[0].Name)
}
