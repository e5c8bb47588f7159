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

// BackEndFaults are the faults injected into an application back end. The zero
// value injects none.
type BackEndFaults struct {
	// Refuse answers every request with status 503 and states that it was not run.
	Refuse bool
	// LostAnswerShare is the share of requests, 0 to 1, that are run and whose
	// connection is closed without an answer.
	LostAnswerShare float64
	// TruncatedAnswerShare is the share of requests, 0 to 1, that are run and
	// whose answer ends half-way through its body.
	TruncatedAnswerShare float64
	// MismatchedAnswerShare is the share of requests, 0 to 1, that are run and
	// answered with the id and the body of another request.
	MismatchedAnswerShare float64
	// SlowFactor multiplies the service time; values below 1 mean 1.
	SlowFactor float64
	// Leaving makes the back end announce that it accepts no new requests. It
	// still runs those that it receives.
	Leaving bool
}

// BackEnd emulates an application back end. It runs each request that it
// receives, unless a fault prevents this, and records the execution in its Checker.
type BackEnd struct {
	ID string
	// ServiceTime is the mean time of one execution.
	ServiceTime time.Duration
	// Crasher terminates the back end on requests that carry CrashMarker; nil
	// disables crashes.
	Crasher *Crasher
	checker *Checker

	mutex   sync.Mutex
	random  *rand.Rand
	faults  BackEndFaults
	leaving bool
}

// NewBackEnd returns a back end that records its executions in checker.
func NewBackEnd(id string, serviceTime time.Duration, checker *Checker, random *rand.Rand) *BackEnd {
	return &BackEnd{ID: id, ServiceTime: serviceTime, checker: checker, random: random}
}

// SetFaults replaces the injected faults.
func (b *BackEnd) SetFaults(faults BackEndFaults) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.faults = faults
}

// Leave makes the back end announce in all further answers that it is leaving.
func (b *BackEnd) Leave() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.leaving = true
}

// requestPlan states how one request is handled.
type requestPlan struct {
	serviceTime                                        time.Duration
	refuse, loseAnswer, truncateAnswer, mismatchAnswer bool
	leaving                                            bool
}

func (b *BackEnd) planRequest() requestPlan {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	slowFactor := max(b.faults.SlowFactor, 1)
	// Service times are exponentially distributed with the mean ServiceTime.
	serviceTime := time.Duration(b.random.ExpFloat64() * float64(b.ServiceTime) * slowFactor)
	return requestPlan{
		serviceTime: serviceTime, refuse: b.faults.Refuse, leaving: b.leaving || b.faults.Leaving,
		loseAnswer:     b.random.Float64() < b.faults.LostAnswerShare,
		truncateAnswer: b.random.Float64() < b.faults.TruncatedAnswerShare,
		mismatchAnswer: b.random.Float64() < b.faults.MismatchedAnswerShare,
	}
}

// CallerRequestIDHeader is the request header that carries the caller's own request id,
// by which a Checker matches executions with outcomes.
const CallerRequestIDHeader = "Emulator-Request"

// ServeHTTP implements http.Handler. The body of an answer contains the caller's
// request id, so that the caller can detect the answer to another request.
func (b *BackEnd) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	plan := b.planRequest()
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return // An incomplete request is not run.
	}
	header := writer.Header()
	requestID := request.Header.Get(dispatch.HeaderRequestID)
	if plan.mismatchAnswer {
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
	if b.Crasher.triggeredBy(request.URL.Path, body) {
		b.Crasher.run(request.URL.Path, plan.serviceTime)
		panic(http.ErrAbortHandler)
	}
	callerRequestID := request.Header.Get(CallerRequestIDHeader)
	b.checker.RecordExecution(Execution{
		BackEnd: b.ID, RequestID: callerRequestID, IdempotencyKey: request.Header.Get(dispatch.HeaderIdempotencyKey),
		Tenant: request.Header.Get(dispatch.HeaderTenant), Path: request.URL.Path, Leaving: plan.leaving, At: time.Now(),
	})
	time.Sleep(plan.serviceTime)
	if plan.loseAnswer {
		panic(http.ErrAbortHandler)
	}
	answeredID := callerRequestID
	if plan.mismatchAnswer {
		answeredID = "somebody else"
	}
	answer := expectedAnswer(answeredID, request.URL.Path, body)
	header.Set("Content-Length", fmt.Sprint(len(answer)))
	if plan.truncateAnswer {
		_, _ = io.WriteString(writer, answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(writer, answer)
}

// expectedAnswer returns the body of the correct answer to a caller's request.
func expectedAnswer(requestID, path string, body []byte) string {
	return fmt.Sprintf("answer to %s at %s with %d bytes", requestID, path, len(body))
}
