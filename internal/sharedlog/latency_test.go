package sharedlog

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAnswerIsOverdueByWhatIsUsual(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var latency Latency
		_, known := latency.Overdue()
		require.False(t, known)
		latency.Note(5 * time.Millisecond)
		overdue, known := latency.Overdue()
		require.True(t, known)
		require.Equal(t, leastOverdue, overdue)
		for range 40 {
			latency.Note(250 * time.Millisecond)
		}
		overdue, _ = latency.Overdue()
		require.Greater(t, overdue, time.Second, "a slow log loses nothing")
		time.Sleep(latencyMemory + time.Millisecond)
		_, known = latency.Overdue()
		require.False(t, known, "it answered nothing of late")
		latency.Note(5 * time.Millisecond)
		overdue, _ = latency.Overdue()
		require.Equal(t, leastOverdue, overdue, "what was long ago counts no more")
	})
}
