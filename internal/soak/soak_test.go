package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/internal/platformsim"
)

func TestOneSeedDrawsTheSameTroubles(t *testing.T) {
	describe := func(seed uint64) string {
		r := &run{}
		random := rand.New(rand.NewPCG(seed, 29))
		var lines []string
		for range 60 {
			for _, drawn := range r.draw(random) {
				require.Less(t, drawn.after, roundTrouble)
				require.LessOrEqual(t, drawn.after+drawn.lasts, 2*roundTrouble)
				lines = append(lines, drawn.String())
			}
		}
		return strings.Join(lines, "\n")
	}
	require.Equal(t, describe(7), describe(7))
	require.NotEqual(t, describe(7), describe(8))
	for _, kind := range outerTroubles {
		require.Contains(t, describe(7), kind.name)
	}
	for _, kind := range append(turnKinds, platformsim.Evacuate) {
		require.Contains(t, describe(7), kind.String())
	}
}

func TestVerdictIsTheLastLine(t *testing.T) {
	for _, report := range []struct {
		broken []string
		want   string
	}{
		{nil, "soak passed: seed 3, 2 rounds, 9 processes started, 0 promises broken\n"},
		{[]string{"LOST: x"}, "soak FAILED: seed 3, 2 rounds, 9 processes started, 1 promises broken\n"},
	} {
		made := Report{Seed: 3, Rounds: 2, Processes: 9, Violations: report.broken, Counts: map[string]int{"done": 4}}
		var output strings.Builder
		made.Print(&output)
		require.True(t, strings.HasSuffix(output.String(), report.want), output.String())
		require.Contains(t, output.String(), "done 4")
	}
}

func TestProcessThatEndsByItselfIsReported(t *testing.T) {
	directory := t.TempDir()
	s, err := newSurroundings("/bin/false", directory, nil)
	require.NoError(t, err)
	defer s.close()
	process, err := startProcess("/bin/false", directory, nil)
	require.NoError(t, err)
	s.watch("n", process)
	require.Len(t, s.endedByThemselves(), 1)
	asked, err := startProcess("/bin/false", directory, nil)
	require.NoError(t, err)
	asked.Kill()
	s.watch("n", asked)
	require.Len(t, s.endedByThemselves(), 1)
}

// A node's port that the system had given out, closed again, went to a connection
// before the node listened: "address already in use" (soak of 5 s, seed 1).
func TestNodesListenBelowThePortsOfConnections(t *testing.T) {
	for range 50 {
		_, port, err := net.SplitHostPort(freeAddress())
		require.NoError(t, err)
		number, err := strconv.Atoi(port)
		require.NoError(t, err)
		require.GreaterOrEqual(t, number, firstPort)
		require.Less(t, number, firstPort+ports)
	}
}

// A link stayed held for good whose node's number was another's by the end of the trouble:
// a machine had been replaced meanwhile (seed 88104201).
func TestTroubleEndsAtTheLinkWhereItBegan(t *testing.T) {
	links := []*proxy{newTestProxy(t, "127.0.0.1:1"), newTestProxy(t, "127.0.0.1:1")}
	var found, held []*proxy
	find := func(*run, uint64) *proxy {
		found = append(found, links[len(found)%len(links)])
		return found[len(found)-1]
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	whileHeld(find, func(link *proxy, _ bool) { held = append(held, link) })(ctx, &run{}, 1)
	require.Equal(t, []*proxy{links[0], links[0]}, held)
}

// A node's front and readiness drew the same port, and both listened there: half of its
// callers got 404 (seed 460218).
func TestNoAddressIsGivenTwice(t *testing.T) {
	s, err := newSurroundings("/bin/false", t.TempDir(), nil)
	require.NoError(t, err)
	defer s.close()
	drawn := []string{"one", "one", "two"}
	draw := func() string {
		next := drawn[0]
		drawn = drawn[1:]
		return next
	}
	require.Equal(t, "one", s.give(draw))
	require.Equal(t, "two", s.give(draw))
}
