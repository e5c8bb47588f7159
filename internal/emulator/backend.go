package emulator

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pathbend/pathbend/internal/dispatch"
)

// BackEndFaults are the faults of an application back end.
type BackEndFaults struct {
	// Refuse answers that the request was not run.
	Refuse bool
	// LoseAnswers runs requests and cuts the connection without an answer.
	LoseAnswers float64
	// Truncate runs requests and cuts the answer short.
	Truncate float64
	// Cross runs requests and echoes the id of another request.
	Cross float64
	// Slow multiplies the service time; 0 means 1.
	Slow float64
	// Leaving makes the back end say that it takes no new work.
	Leaving bool
}

// BackEnd is an application back end. It runs every request that it receives
// and records each execution in the truth.
type BackEnd struct {
	ID string
	// ServiceTime is the mean time of one execution.
	ServiceTime time.Duration
	// Crasher ends the back end's process under some requests; nil under none.
	Crasher *Crasher
	truth   *Truth

	mutex   sync.Mutex
	random  *rand.Rand
	faults  BackEndFaults
	leaving bool
}

// NewBackEnd returns a back end that records into truth.
func NewBackEnd(id string, serviceTime time.Duration, truth *Truth, random *rand.Rand) *BackEnd {
	return &BackEnd{ID: id, ServiceTime: serviceTime, truth: truth, random: random}
}

// SetFaults switches faults on and off.
func (b *BackEnd) SetFaults(faults BackEndFaults) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.faults = faults
}

// Leave makes the back end say that it leaves.
func (b *BackEnd) Leave() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.leaving = true
}

// plan is what happens to one request.
type plan struct {
	service                       time.Duration
	refuse, lose, truncate, cross bool
	leaving                       bool
}

func (b *BackEnd) plan() plan {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	slow := max(b.faults.Slow, 1)
	// Exponential service times with the mean ServiceTime.
	service := time.Duration(b.random.ExpFloat64() * float64(b.ServiceTime) * slow)
	return plan{
		service: service, refuse: b.faults.Refuse, leaving: b.leaving || b.faults.Leaving,
		lose:     b.random.Float64() < b.faults.LoseAnswers,
		truncate: b.random.Float64() < b.faults.Truncate,
		cross:    b.random.Float64() < b.faults.Cross,
	}
}

// AnswerHeader names the caller's request in an answer, for the truth.
const AnswerHeader = "Emulator-Request"

// ServeHTTP implements http.Handler. The answer's body names the caller's
// request, so that the caller can tell whose answer it got.
func (b *BackEnd) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	plan := b.plan()
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return // the request was cut off and is not run
	}
	header := writer.Header()
	requestID := request.Header.Get(dispatch.HeaderRequestID)
	if plan.cross {
		requestID += "-other"
	}
	header.Set(dispatch.HeaderRequestID, requestID)
	if plan.leaving {
		header.Set(dispatch.HeaderLeaving, "true")
	}
	if plan.refuse {
		header.Set(dispatch.HeaderRun, "not_run")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if b.Crasher.crashes(body) {
		b.Crasher.under(request.URL.Path, plan.service)
		panic(http.ErrAbortHandler)
	}
	caller := request.Header.Get(AnswerHeader)
	b.truth.Executed(Execution{
		BackEnd: b.ID, Caller: caller, Key: request.Header.Get(dispatch.HeaderIdempotencyKey),
		Tenant: request.Header.Get(dispatch.HeaderTenant), Path: request.URL.Path, Leaving: plan.leaving, At: time.Now(),
	})
	time.Sleep(plan.service)
	if plan.lose {
		panic(http.ErrAbortHandler)
	}
	answered := caller
	if plan.cross {
		answered = "somebody else"
	}
	answer := answerTo(answered, request.URL.Path, body)
	header.Set("Content-Length", fmt.Sprint(len(answer)))
	if plan.truncate {
		_, _ = io.WriteString(writer, answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(writer, answer)
}

// answerTo is the right answer to a caller's request.
func answerTo(caller, path string, body []byte) string {
	return fmt.Sprintf("answer to %s at %s with %d bytes", caller, path, len(body))
}
