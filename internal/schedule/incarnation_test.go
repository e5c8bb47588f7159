package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func samplerStartedAt(id string, startedAtMs int64, version uint64) Sampler {
	return Sampler{ID: id, StartedAtMs: startedAtMs, Service: "llm", Slots: 4, Versions: map[string]uint64{"m": version}}
}

// A restarted sampler has lost its state: weights, load, cached prompts and failures of the
// previous incarnation must not be attributed to the new one.
func TestRestartedSamplerHasFreshState(t *testing.T) {
	s := New(func() uint64 { return 1 })
	now := time.Unix(100, 0)
	s.SetSamplers([]Sampler{samplerStartedAt("s", 10, 7)}, now)
	previous := s.samplers["s"]
	previous.running, previous.unresponsive, previous.failureRate = 3, true, 0.9
	previous.promptReadAt["g"] = now
	s.SetLoading(Incarnation{"s", 10}, "m", true)
	s.SetSamplers([]Sampler{samplerStartedAt("s", 20, 2)}, now)
	next := s.samplers["s"]
	require.NotSame(t, previous, next)
	require.True(t, previous.superseded)
	require.Zero(t, next.running)
	require.False(t, next.unresponsive)
	require.Zero(t, next.failureRate)
	require.Empty(t, next.promptReadAt)
	require.False(t, next.isLoading("m"))
	require.EqualValues(t, 2, next.Versions["m"], "not the newer of both incarnations")
}

func TestReportsOfAPreviousIncarnationAreIgnored(t *testing.T) {
	s := New(func() uint64 { return 1 })
	now := time.Unix(100, 0)
	s.SetSamplers([]Sampler{samplerStartedAt("s", 20, 2)}, now)
	s.SetVersion(Incarnation{"s", 10}, "m", 9)
	s.SetLoading(Incarnation{"s", 10}, "m", true)
	require.EqualValues(t, 2, s.samplers["s"].Versions["m"])
	require.False(t, s.samplers["s"].isLoading("m"))
	s.SetSamplers([]Sampler{samplerStartedAt("s", 10, 9)}, now)
	require.EqualValues(t, 20, s.samplers["s"].StartedAtMs, "an entry of a previous incarnation is ignored")
	s.SetVersion(Incarnation{"s", 20}, "m", 3)
	require.EqualValues(t, 3, s.samplers["s"].Versions["m"])
}

// A run at a previous incarnation has ended: its item continues elsewhere after its last
// event, without waiting for the silence timeout.
func TestRunsOfAPreviousIncarnationMoveAtOnce(t *testing.T) {
	h := newHarness(t, samplerStartedAt("s", 10, 1))
	h.addJob(h.newJob("job", 1, "g:500"), policy(10*time.Second), storedTexts{})
	start := h.starts()[0]
	require.True(t, h.sendEvents(start, 1, 3, 1))
	require.Empty(t, h.scheduler.Moves(h.now))
	h.scheduler.SetSamplers([]Sampler{samplerStartedAt("s", 20, 1)}, h.now)
	moves := h.scheduler.Moves(h.now)
	require.Len(t, moves, 1)
	require.Equal(t, "restarted", moves[0].Reason)
	require.False(t, h.sendEvents(start, 4, 4, 1), "later events of the previous incarnation are rejected")
	again := h.starts()
	require.Len(t, again, 1)
	require.EqualValues(t, 3, again[0].AfterEvent)
	require.EqualValues(t, 20, again[0].Sampler.StartedAtMs)
	require.Equal(t, 1, h.scheduler.samplers["s"].running)
}
