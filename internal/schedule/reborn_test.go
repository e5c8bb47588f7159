package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func reborn(id string, born int64, version uint64) Sampler {
	return Sampler{ID: id, Born: born, Service: "llm", Slots: 4, Versions: map[string]uint64{"m": version}}
}

// A sampler that starts again knows nothing of before: its former weights, loads, prompts
// and failures are not those of the new one, and its runs go on elsewhere at once.
func TestSamplerThatStartedAgainIsANewOne(t *testing.T) {
	s := New(func() uint64 { return 1 })
	now := time.Unix(100, 0)
	s.Samplers([]Sampler{reborn("s", 10, 7)}, now)
	former := s.samplers["s"]
	former.running, former.dark, former.failing = 3, true, 0.9
	former.groups["g"] = now
	s.SetLoading(Incarnation{"s", 10}, "m", true)
	s.Samplers([]Sampler{reborn("s", 20, 2)}, now)
	next := s.samplers["s"]
	require.NotSame(t, former, next)
	require.True(t, former.ended)
	require.Zero(t, next.running)
	require.False(t, next.dark)
	require.Zero(t, next.failing)
	require.Empty(t, next.groups)
	require.False(t, next.isLoading("m"))
	require.EqualValues(t, 2, next.Versions["m"], "not the newer of both incarnations")
}

func TestWhatIsHeardOfAFormerIncarnationIsNotTakenForTheNewOnes(t *testing.T) {
	s := New(func() uint64 { return 1 })
	now := time.Unix(100, 0)
	s.Samplers([]Sampler{reborn("s", 20, 2)}, now)
	s.SetVersion(Incarnation{"s", 10}, "m", 9)
	s.SetLoading(Incarnation{"s", 10}, "m", true)
	require.EqualValues(t, 2, s.samplers["s"].Versions["m"])
	require.False(t, s.samplers["s"].isLoading("m"))
	s.Samplers([]Sampler{reborn("s", 10, 9)}, now)
	require.EqualValues(t, 20, s.samplers["s"].Born, "a former entry changes nothing")
	s.SetVersion(Incarnation{"s", 20}, "m", 3)
	require.EqualValues(t, 3, s.samplers["s"].Versions["m"])
}

// A run at the former incarnation is over: its item goes on elsewhere, after its last event,
// without the patience that a silent sampler has.
func TestRunsOfAFormerIncarnationEndWithIt(t *testing.T) {
	b := newBench(t, reborn("s", 10, 1))
	b.addJob(b.jobOf("job", 1, "g:500"), policy(10*time.Second), kept{})
	start := b.starts()[0]
	require.True(t, b.feed(start, 1, 3, 1))
	require.Empty(t, b.s.Moves(b.now))
	b.s.Samplers([]Sampler{reborn("s", 20, 1)}, b.now)
	moves := b.s.Moves(b.now)
	require.Len(t, moves, 1)
	require.Equal(t, "restarted", moves[0].Reason)
	require.False(t, b.feed(start, 4, 4, 1), "what the former incarnation still sends is not its text")
	again := b.starts()
	require.Len(t, again, 1)
	require.EqualValues(t, 3, again[0].AfterEvent)
	require.EqualValues(t, 20, again[0].Sampler.Born)
	require.Equal(t, 1, b.s.samplers["s"].running)
}
