package platformsim

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pathbend/pathbend/platform"
)

func TestLossesAreNamedAndJudged(t *testing.T) {
	const node = "n1"
	for _, example := range []struct {
		name    string
		place   string
		trouble string
		planned bool
		ago     time.Duration
		class   lossClass
		late    time.Duration
		cause   string
		broken  bool
	}{
		{name: "killed", place: node, trouble: "node_kill", class: lossCut, cause: "cut during node_kill"},
		{name: "killed lately", place: node, trouble: "node_kill", ago: touchTime - time.Second, class: lossTimeOut, cause: "timed out during node_kill"},
		{name: "killed long ago", place: node, trouble: "node_kill", ago: touchTime + time.Second, class: lossCut, cause: "cut without trouble", broken: true},
		{name: "another killed", place: "n2", trouble: "node_kill", class: lossCut, cause: "cut without trouble", broken: true},
		{name: "store down", place: atStore, trouble: "store_down", class: lossTimeOut, cause: "timed out during store_down"},
		{name: "stopped, not accepted", place: node, trouble: "node_term", planned: true, class: lossNotAccepted, cause: "not accepted during node_term"},
		{name: "stopped, cut", place: node, trouble: "node_term", planned: true, class: lossCut, cause: "cut without trouble", broken: true},
		{name: "sampler broke off", place: AtSamplers, trouble: "sampler_cut", class: lossCut, cause: "cut during sampler_cut"},
		{name: "sampler in trouble, no answer", place: AtSamplers, trouble: "sampler_cut", class: lossTimeOut, cause: "timed out without trouble", broken: true},
		{name: "operator", place: atOperator, trouble: "evacuate", class: lossCut, cause: "cut without trouble", broken: true},
		{name: "late machine", class: lossTimeOut, late: time.Second, cause: "timed out on a machine that was late"},
		{name: "late machine, cut", class: lossCut, late: time.Second, cause: "cut without trouble", broken: true},
	} {
		t.Run(example.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				truth := NewTruth()
				if example.trouble != "" {
					truth.Trouble(example.place, example.trouble, time.Now(), example.planned)
				}
				time.Sleep(example.ago)
				truth.Late(example.late)
				truth.judgeLoss(answered{node: node, began: time.Now()}, "c1", example.class)
				require.Equal(t, map[string]int{example.cause: 1}, truth.Causes())
				require.Equal(t, example.broken, len(truth.Violations()) > 0, truth.Violations())
			})
		})
	}
}

func TestRefusalsAreNamedAndJudged(t *testing.T) {
	coded := answered{node: "n1", status: http.StatusServiceUnavailable, body: []byte(`{"code":2006,"name":"no_back_end"}`)}
	stamped := answered{node: "n1", status: http.StatusInternalServerError, header: http.Header{platform.HeaderStamp: {"s"}}}
	for _, example := range []struct {
		got    answered
		place  string
		cause  string
		broken bool
	}{
		{got: coded, place: atOperator, cause: "2006 no_back_end during trouble"},
		{got: coded, place: AtSamplers, cause: "2006 no_back_end during trouble"},
		{got: coded, place: "n2", cause: "2006 no_back_end without trouble", broken: true},
		{got: stamped, place: AtSamplers, cause: "a sampler's 500 during trouble"},
	} {
		synctest.Test(t, func(t *testing.T) {
			truth := NewTruth()
			truth.Trouble(example.place, "trouble", time.Now(), false)
			example.got.began = time.Now()
			truth.judgeRefusal(example.got, "c1")
			require.Equal(t, map[string]int{example.cause: 1}, truth.Causes())
			require.Equal(t, example.broken, len(truth.Violations()) > 0, truth.Violations())
		})
	}
}

func TestBoundsAreWiderByTheLatestWakeOfLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		truth := NewTruth()
		for _, by := range []time.Duration{300, 700, 200} {
			truth.Late(by * time.Millisecond)
			time.Sleep(time.Second)
		}
		require.Equal(t, 700*time.Millisecond, truth.lateness(time.Now()))
		time.Sleep(latenessKept - time.Second)
		require.Equal(t, 200*time.Millisecond, truth.lateness(time.Now()))
		time.Sleep(2 * time.Second)
		require.Zero(t, truth.lateness(time.Now()))
		require.Equal(t, 700*time.Millisecond, truth.Latest())
	})
}

// Callers that found no ready node drew among all that ever were, and lost requests to
// machines removed long before (soak, seed 61700332).
func TestRemovedMachinesAreNotCalled(t *testing.T) {
	w := &World{nodes: []*nodeMachine{{name: "gone", removed: true}, {name: "there"}, {name: "gone too", removed: true}}}
	random := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		require.Equal(t, "there", w.pickNode(random))
	}
}

// All nodes came back 6.5 s after their last lines from a kill of 2.45 s, and requests until
// then counted as lost without trouble (soak on a busy machine, seed 33170911).
func TestTroubleLastsUntilItIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		truth := NewTruth()
		over := truth.Trouble("n1", "kill_all", time.Now(), false)
		time.Sleep(2 * touchTime)
		over()
		truth.judgeLoss(answered{node: "n1", began: time.Now()}, "c1", lossNotAccepted)
		require.Empty(t, truth.Violations())
	})
}
