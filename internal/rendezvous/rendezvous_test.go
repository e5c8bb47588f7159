package rendezvous

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestKeyAndCandidateAreDistinct(t *testing.T) {
	require.NotEqual(t, Weight("ab", "c"), Weight("a", "bc"))
	require.Equal(t, Weight("ab", "c"), Weight("ab", "c"))
}

func TestKeysThatDifferInTheLastCharactersPreferDifferentCandidates(t *testing.T) {
	const keys, candidates = 400, 100
	preferred := make(map[int]int)
	for key := range keys {
		best := 0
		name := func(candidate int) string { return fmt.Sprintf("node-%d", candidate) }
		for candidate := range candidates {
			if Weight(name(key+candidates), name(candidate)) > Weight(name(key+candidates), name(best)) {
				best = candidate
			}
		}
		preferred[best]++
	}
	for candidate, count := range preferred {
		require.LessOrEqual(t, count, 4*keys/candidates, "candidate %d", candidate)
	}
}
