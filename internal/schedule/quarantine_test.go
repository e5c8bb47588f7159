package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fakeQuarantine maps suspect items to the times until which they are quarantined; the zero
// time means that an item is a suspect but not quarantined.
type fakeQuarantine map[string]time.Time

func (q fakeQuarantine) QuarantinedUntil(item string) time.Time { return q[item] }

func (q fakeQuarantine) Suspect(item string) bool {
	_, known := q[item]
	return known
}

// Guards against an item that crashes its samplers and is restarted at once after each
// broken run: such an item crashed 46 samplers in 40 s.
func TestQuarantinedItemIsNotStarted(t *testing.T) {
	h := newHarness(t, sampler("s", 8, 1), sampler("t", 8, 1))
	quarantined := fakeQuarantine{"k-1": h.now.Add(time.Second)}
	h.scheduler.SetQuarantine(quarantined)
	h.addJob(h.newJob("k", 1, "g:1", "g:1", "g:1"), policy(9*time.Second), storedTexts{})
	require.ElementsMatch(t, []string{"k-0", "k-2"}, itemIDs(h.starts()))
	// The quarantine also applies to a later job that resubmits the item.
	h.scheduler.DropJob("k", h.now)
	again := h.newJob("l", 1, "g:1")
	again.items[0].Id = "k-1"
	h.addJob(again, policy(9*time.Second), storedTexts{})
	require.Empty(t, h.starts())
	h.now = quarantined["k-1"]
	require.Equal(t, []string{"k-1"}, itemIDs(h.starts()), "the trial run after the quarantine")
}

// Guards against quarantining harmless items together with the one that crashes samplers.
// Items of a group tend to run at the same sampler, so all items of a group were present at
// each of the six crashes that one of them caused.
func TestEachSamplerRunsAtMostOneSuspect(t *testing.T) {
	h := newHarness(t, sampler("s", 8, 1), sampler("t", 8, 1))
	h.scheduler.SetQuarantine(fakeQuarantine{"k-0": {}, "k-1": {}, "k-2": {}})
	h.addJob(h.newJob("k", 1, "g:1", "g:1", "g:1", "g:1"), policy(9*time.Second), storedTexts{})
	starts := h.starts()
	suspects := make(map[string]int)
	for _, start := range starts {
		if start.Key.Item != "k-3" {
			suspects[start.Sampler.ID]++
		}
	}
	require.Len(t, starts, 3, "one suspect waits for a sampler without a suspect")
	require.Equal(t, map[string]int{"s": 1, "t": 1}, suspects)
	for _, start := range starts {
		h.scheduler.RunEnded(start.Key, start.Run, Refused, h.now)
	}
	h.now = h.now.Add(time.Second)
	require.Len(t, h.starts(), 3)
}

func TestSuspectItemIsNotRunSpeculatively(t *testing.T) {
	h := newResubmittingHarness(t, 4, sampler("old", 8, 1), sampler("new", 8, 3))
	h.scheduler.SetQuarantine(fakeQuarantine{"k-0": time.Time{}})
	startLongItem(h, 10)
	require.Empty(t, h.starts())
}
