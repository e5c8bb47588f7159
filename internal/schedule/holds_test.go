package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// holds are times until which items are held; a suspect has the zero time.
type holds map[string]time.Time

func (h holds) HeldUntil(item string) time.Time { return h[item] }

func (h holds) Suspect(item string) bool {
	_, known := h[item]
	return known
}

// An item that crashed three samplers took 46 in 40 s, as each run that broke was followed by
// the next.
func TestItemThatIsHeldGoesToNoSampler(t *testing.T) {
	b := newBench(t, sampler("s", 8, 1), sampler("t", 8, 1))
	held := holds{"k-1": b.now.Add(time.Second)}
	b.s.SetHolds(held)
	b.addJob(b.jobOf("k", 1, "g:1", "g:1", "g:1"), policy(9*time.Second), kept{})
	require.ElementsMatch(t, []string{"k-0", "k-2"}, itemsOf(b.starts()))
	// A later job that brings the item again is bound as well.
	b.s.DropJob("k", b.now)
	again := b.jobOf("l", 1, "g:1")
	again.items[0].Id = "k-1"
	b.addJob(again, policy(9*time.Second), kept{})
	require.Empty(t, b.starts())
	b.now = held["k-1"]
	require.Equal(t, []string{"k-1"}, itemsOf(b.starts()), "its trial")
}

// Items of a group go to one sampler. All of a group were there at each of the six ends that one
// of them caused, and were held with it.
func TestSuspectsRunAtASamplerEach(t *testing.T) {
	b := newBench(t, sampler("s", 8, 1), sampler("t", 8, 1))
	b.s.SetHolds(holds{"k-0": {}, "k-1": {}, "k-2": {}})
	b.addJob(b.jobOf("k", 1, "g:1", "g:1", "g:1", "g:1"), policy(9*time.Second), kept{})
	starts := b.starts()
	suspects := make(map[string]int)
	for _, start := range starts {
		if start.Key.Item != "k-3" {
			suspects[start.Sampler.ID]++
		}
	}
	require.Len(t, starts, 3, "one suspect waits for the others")
	require.Equal(t, map[string]int{"s": 1, "t": 1}, suspects)
	for _, start := range starts {
		b.s.RunEnded(start.Key, start.Run, Refused, b.now)
	}
	b.now = b.now.Add(time.Second)
	require.Len(t, b.starts(), 3)
}

func TestSuspectItemIsNotRunAhead(t *testing.T) {
	b := carrying(t, 4, sampler("old", 8, 1), sampler("new", 8, 3))
	b.s.SetHolds(holds{"k-0": time.Time{}})
	longAt(b, 10)
	require.Empty(t, b.starts())
}
