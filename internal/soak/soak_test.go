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

func TestSeedDeterminesFaults(t *testing.T) {
	planFaults := func(seed uint64) string {
		r := &run{}
		random := rand.New(rand.NewPCG(seed, 29))
		var lines []string
		for range 60 {
			for _, fault := range r.planRound(random) {
				require.Less(t, fault.startAfter, faultDuration)
				require.LessOrEqual(t, fault.startAfter+fault.duration, 2*faultDuration)
				lines = append(lines, fault.String())
			}
		}
		return strings.Join(lines, "\n")
	}
	require.Equal(t, planFaults(7), planFaults(7))
	require.NotEqual(t, planFaults(7), planFaults(8))
	for _, kind := range environmentFaults {
		require.Contains(t, planFaults(7), kind.name)
	}
	for _, kind := range append(alternatingKinds, platformsim.Evacuate) {
		require.Contains(t, planFaults(7), kind.String())
	}
}

func TestVerdictIsTheLastLine(t *testing.T) {
	for _, report := range []struct {
		violations []string
		want       string
	}{
		{nil, "soak passed: seed 3, 2 rounds, 9 processes started, 0 promises broken\n"},
		{[]string{"LOST: x"}, "soak FAILED: seed 3, 2 rounds, 9 processes started, 1 promises broken\n"},
	} {
		full := Report{Seed: 3, Rounds: 2, Processes: 9, Violations: report.violations, Counts: map[string]int{"done": 4}}
		var output strings.Builder
		full.Print(&output)
		require.True(t, strings.HasSuffix(output.String(), report.want), output.String())
		require.Contains(t, output.String(), "done 4")
	}
}

func TestUnexpectedExitIsReported(t *testing.T) {
	directory := t.TempDir()
	e, err := newEnvironment("/bin/false", directory, nil)
	require.NoError(t, err)
	defer e.close()
	process, err := startProcess("/bin/false", directory, nil)
	require.NoError(t, err)
	e.recordExit("n", process)
	require.Len(t, e.listUnexpectedExits(), 1)
	killed, err := startProcess("/bin/false", directory, nil)
	require.NoError(t, err)
	killed.Kill()
	e.recordExit("n", killed)
	require.Len(t, e.listUnexpectedExits(), 1)
}

// If a node's port comes from the ephemeral range, an outgoing connection can take it between the
// check that it is free and the node's start, which then fails with "address already in use" (5 s
// soak test, seed 1).
func TestNodePortsAreBelowEphemeralRange(t *testing.T) {
	for range 50 {
		_, port, err := net.SplitHostPort(freeAddress())
		require.NoError(t, err)
		number, err := strconv.Atoi(port)
		require.NoError(t, err)
		require.GreaterOrEqual(t, number, firstPort)
		require.Less(t, number, firstPort+portCount)
	}
}

// If the target is looked up again at the end of a fault, it maps to another node once a machine
// has been replaced, and the first link stays blocked for ever (seed 88104201).
func TestFaultEndsAtLinkWhereItStarted(t *testing.T) {
	links := []*proxy{newTestProxy(t, "127.0.0.1:1"), newTestProxy(t, "127.0.0.1:1")}
	var found, applied []*proxy
	find := func(*run, uint64) *proxy {
		found = append(found, links[len(found)%len(links)])
		return found[len(found)-1]
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	applyToLink(find, func(link *proxy, _ bool) { applied = append(applied, link) })(ctx, &run{}, 1)
	require.Equal(t, []*proxy{links[0], links[0]}, applied)
}

// If a node's front and readiness addresses are the same port, both servers listen there and half
// of the callers get status 404 (seed 460218).
func TestAddressesAreAssignedOnce(t *testing.T) {
	e, err := newEnvironment("/bin/false", t.TempDir(), nil)
	require.NoError(t, err)
	defer e.close()
	candidates := []string{"one", "one", "two"}
	pick := func() string {
		next := candidates[0]
		candidates = candidates[1:]
		return next
	}
	require.Equal(t, "one", e.assignAddress(pick))
	require.Equal(t, "two", e.assignAddress(pick))
}
