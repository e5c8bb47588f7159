package weights

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLoadsThatAreSlowedDownBecomeFewer(t *testing.T) {
	learned := newConcurrency()
	now := time.Unix(1000, 0)
	require.Equal(t, 14, learned.bound(14), "as many as the fleet allows at first")
	for range 14 {
		learned.reduce(now, now.Add(3*time.Second), 2)
	}
	require.Equal(t, 7, learned.bound(14), "once for those that were under way together")
	now = now.Add(3 * time.Second)
	learned.reduce(now, now.Add(3*time.Second), 2)
	require.Equal(t, 3, learned.bound(14))
	for range 3 {
		now = now.Add(3 * time.Second)
		learned.reduce(now, now.Add(3*time.Second), 2)
	}
	require.Equal(t, 2, learned.bound(14), "never fewer than the least")
}

func TestLoadsGrowAgainWhileTheyTakeTheirUsualTime(t *testing.T) {
	learned := newConcurrency()
	now := time.Unix(1000, 0)
	learned.bound(14)
	learned.loaded(now, now.Add(time.Second), 2)
	learned.loaded(now, now.Add(4*time.Second), 2)
	require.Equal(t, 7, learned.bound(14))
	for range 3 {
		now = now.Add(5 * time.Second)
		learned.loaded(now, now.Add(time.Second), 2)
	}
	require.Equal(t, 10, learned.bound(14))
	require.Equal(t, 2, learned.bound(2), "within what the fleet allows")
}
