package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against items that are held back, or kept from samplers of their own group, because
// samplers crashed while they ran them. Items are never the cause of a crash.
func TestItemsArePlacedAgainAfterEachCrash(t *testing.T) {
	h := newHarness(t)
	h.addJob(h.newJob("k", 1, "g:1", "g:1", "g:1"), policy(time.Minute), storedTexts{})
	const crashes = 8
	for crash := range crashes {
		h.scheduler.SetSamplers([]Sampler{sampler(fmt.Sprint("s", crash), 3, 1)}, h.now)
		starts := h.starts()
		require.Len(t, starts, 3, "all items run at the only sampler, after %d crashes", crash)
		for _, start := range starts {
			h.scheduler.RunEnded(start.Key, start.Run, Broken, h.now)
		}
		h.now = h.now.Add(maxItemRetryDelay)
	}
}

func TestItemIsRunSpeculativelyAfterCrashes(t *testing.T) {
	h := newResubmittingHarness(t, 4, sampler("old", 8, 1))
	const crashes = 3
	start := startLongItem(h, 10)
	for range crashes {
		h.scheduler.RunEnded(start.Key, start.Run, Broken, h.now)
		h.now = h.now.Add(maxItemRetryDelay)
		starts := h.starts()
		require.Len(t, starts, 1)
		require.False(t, starts[0].Key.Speculative)
		start = starts[0]
	}
	h.scheduler.SetSamplers([]Sampler{sampler("old", 8, 1), sampler("new", 8, 3)}, h.now)
	ahead := h.starts()
	require.Len(t, ahead, 1)
	require.True(t, ahead[0].Key.Speculative)
}
