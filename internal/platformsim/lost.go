package platformsim

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pathbend/pathbend/platform"
)

// Where trouble lies, beside the machines of nodes.
const (
	atStore = ""
	// AtSamplers stands for any sampler.
	AtSamplers = "samplers"
	// atOperator are changes that the operator makes.
	atOperator = "operator"
)

// trouble is what a run does to a place for a time.
type trouble struct {
	place, name string
	until       time.Time
	// planned is set for work that must cut nothing.
	planned bool
}

// Trouble notes what is done to a place until a time, or until it is called over if that
// is later.
func (t *Truth) Trouble(place, name string, until time.Time, planned bool) (over func()) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	noted := &trouble{place: place, name: name, until: until, planned: planned}
	t.troubles = append(t.troubles, noted)
	return func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		noted.until = maxTime(noted.until, time.Now())
	}
}

// troubleSince returns the newest trouble that may show in a call from a time on, of the
// first of some places that has any, nil if there is none. It is called under the lock.
func (t *Truth) troubleSince(began time.Time, class lossClass, places ...string) *trouble {
	for _, place := range places {
		for _, known := range slices.Backward(t.troubles) {
			counts := known.place == place && (!known.planned || class == lossNotAccepted || class == refusal)
			if counts && began.Sub(known.until) < touchTime+t.lateness(time.Now()) {
				return known
			}
		}
	}
	return nil
}

// lossClass is how a call ended that got no complete answer.
type lossClass string

const (
	lossNotAccepted lossClass = "not accepted"
	lossTimeOut     lossClass = "timed out"
	lossCut         lossClass = "cut"
	// refusal stands for an answer that is no success.
	refusal lossClass = "refused"
)

// refusals knows connections that nobody accepted, where a link stands between a caller
// and its node.
type refusals interface {
	// Refused reports whether the connection of a caller's address found no listener.
	Refused(address string) bool
}

// classOf returns how a call over a connection of the caller's address ended.
func (w *World) classOf(err error, local string) lossClass {
	if known, ok := w.network.(refusals); ok && known.Refused(local) {
		return lossNotAccepted
	}
	var wire net.Error
	var call *net.OpError
	switch {
	case errors.As(err, &call) && call.Op == "dial" && !call.Timeout():
		return lossNotAccepted
	case errors.As(err, &wire) && wire.Timeout():
		return lossTimeOut
	}
	return lossCut
}

// judgeLoss names the cause of a request that got no complete answer, and rules on it:
// a trouble of the machine that took it, or of the store, excuses it. Planned work only
// excuses a connection that nobody accepted; a sampler that breaks off, an answer cut.
func (t *Truth) judgeLoss(got answered, id string, class lossClass) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.counts["requests lost"]++
	late := t.lateness(time.Now())
	places := []string{got.node, atStore}
	if class == lossCut {
		places = append(places, AtSamplers)
	}
	cause := t.troubleSince(got.began, class, places...)
	switch {
	case cause != nil:
		t.causes[fmt.Sprintf("%s during %s", class, cause.name)]++
	case class == lossTimeOut && late > callTimeout-requestDeadline-answerMargin:
		t.causes[fmt.Sprintf("%s on a machine that was late", class)]++
	default:
		t.causes[fmt.Sprintf("%s without trouble", class)]++
		t.broken("LOST", "request %s at %s was %s after %v, without trouble there or at the store", id, got.node, class, time.Since(got.began))
	}
}

// answerMargin is kept free of the time between a request's deadline and the end of its
// caller's patience.
const answerMargin = 100 * time.Millisecond

// judgeRefusal names the cause of a request that was refused, and rules on it: some trouble
// must be under way.
func (t *Truth) judgeRefusal(got answered, id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.counts["requests refused"]++
	what := refusalOf(got)
	cause := t.troubleSince(got.began, refusal, got.node, atStore, AtSamplers, atOperator)
	switch {
	case cause != nil:
		t.causes[what+" during "+cause.name]++
	case t.lateness(time.Now()) > answerMargin:
		t.causes[what+" on a machine that was late"]++
	default:
		t.causes[what+" without trouble"]++
		t.broken("LOST", "request %s at %s got %s after %v, without trouble", id, got.node, what, time.Since(got.began))
	}
}

// refusalOf names an answer that is no success.
func refusalOf(got answered) string {
	if got.header.Get(platform.HeaderStamp) != "" {
		return fmt.Sprintf("a sampler's %d", got.status)
	}
	var body struct {
		Code int    `json:"code"`
		Name string `json:"name"`
	}
	if json.Unmarshal(got.body, &body) != nil || body.Code == 0 {
		return fmt.Sprintf("%d without a code", got.status)
	}
	return fmt.Sprintf("%d %s", body.Code, body.Name)
}

// Causes counts the causes of lost and refused requests.
func (t *Truth) Causes() map[string]int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	counted := make(map[string]int, len(t.causes))
	for cause, count := range t.causes {
		counted[cause] = count
	}
	return counted
}
