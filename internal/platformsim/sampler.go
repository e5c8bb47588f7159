package platformsim

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pathbend/pathbend/platform"
)

const (
	maxQueuedRequests  = 16
	weightLoadDuration = 900 * time.Millisecond
	heartbeatInterval  = 1200 * time.Millisecond
)

// SamplerFaults are the faults injected into a sampler. The zero value injects none.
type SamplerFaults struct {
	// SlowdownFactor multiplies the service time; values below 1 have no effect.
	SlowdownFactor float64
	// TruncationRate is the fraction of streams and answers that are cut off midway.
	TruncationRate float64
	// ErrorRate is the fraction of runs that the sampler answers with status 500.
	ErrorRate float64
	// MisroutedAnswerRate is the fraction of answers that belong to another request.
	MisroutedAnswerRate float64
	// MalformedAnswerRate is the fraction of answers that HTTP does not allow.
	MalformedAnswerRate float64
	// DelayOrders makes the sampler leave half of the weight orders unanswered and execute them
	// 2 to 8 s later.
	DelayOrders bool
}

// SamplerSpec describes a sampler. It stays the same over the sampler's restarts.
type SamplerSpec struct {
	Address, Zone, Service string
	Slots                  int
	// ServiceTime is the time to generate one event, or one answer of an application.
	ServiceTime time.Duration
}

// Sampler simulates a model sampler or an application server.
type Sampler struct {
	SamplerSpec
	ID string
	// startedMS is the time of its start in Unix milliseconds.
	startedMS int64

	checker *Checker
	store   *Store
	mutex   sync.Mutex
	random  *rand.Rand
	faults  SamplerFaults

	models          map[string]uint64
	loadingModel    string
	acceptedOrders  uint64
	runningRequests int
	queuedRequests  int
	draining        bool
	removed         bool
	slotFreed       chan struct{}
	cold            coldState
	// crash terminates the sampler's process while it runs a request from a node if the
	// request's body asks for it, and reports whether it did; key identifies the request over its
	// retries.
	crash func(key, node string, body []byte) bool
}

func newSampler(id string, spec SamplerSpec, models map[string]uint64, checker *Checker, store *Store, seed uint64, coldUntil time.Time) *Sampler {
	sampler := &Sampler{
		SamplerSpec: spec, ID: id, startedMS: time.Now().UnixMilli(), checker: checker, store: store, models: models,
		random: rand.New(rand.NewPCG(seed, 7)), slotFreed: make(chan struct{}), cold: coldState{until: coldUntil},
	}
	sampler.register()
	return sampler
}

// SetFaults replaces the faults in force.
func (s *Sampler) SetFaults(faults SamplerFaults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

func (s *Sampler) registryEntry() platform.SamplerDocument {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.registryEntryLocked()
}

// registryEntryLocked returns the sampler's registry entry; the caller holds s.mutex.
func (s *Sampler) registryEntryLocked() platform.SamplerDocument {
	state := platform.StateReady
	if s.draining {
		state = platform.StateDraining
	}
	document := platform.SamplerDocument{
		Service: s.Service, Address: s.Address, Zone: s.Zone, SoftwareVersion: "v1", Slots: s.Slots, State: state,
		OrderCount: s.acceptedOrders, StartedAtMs: s.startedMS,
	}
	document.ColdRemainingMS = float64(s.cold.remaining(time.Now()).Milliseconds())
	for model, version := range s.models {
		document.Models = append(document.Models, platform.ModelDocument{Name: model, Version: version})
	}
	return document
}

// register writes the sampler's registry entry to the store, unless it was removed.
func (s *Sampler) register() {
	s.mutex.Lock()
	document, removed := s.registryEntryLocked(), s.removed
	s.mutex.Unlock()
	if removed {
		return
	}
	content, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	s.store.Put(platform.TopicSamplers, s.ID, content)
}

// Drain announces that the sampler is draining.
func (s *Sampler) Drain() {
	s.mutex.Lock()
	s.draining = true
	s.mutex.Unlock()
	s.register()
	s.checker.RecordSamplerGone(s.ID)
}

// Deregister deletes the sampler's registry entry. It is called some heartbeats after the
// sampler's end.
func (s *Sampler) Deregister() {
	s.mutex.Lock()
	s.removed = true
	s.mutex.Unlock()
	s.store.Put(platform.TopicSamplers, s.ID, nil)
	s.checker.RecordSamplerGone(s.ID)
}

func (s *Sampler) currentFaults() SamplerFaults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

func (s *Sampler) randomChance(probability float64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.Float64() < probability
}

// ServeHTTP implements http.Handler.
func (s *Sampler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	node := hostOf(request.RemoteAddr)
	if expected := request.Header.Get(platform.HeaderExpectedInstanceID); expected != "" && expected != s.ID {
		writer.Header().Set(platform.HeaderInstanceID, s.ID)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case platform.PathReport:
		s.serveReport(writer)
		return
	case platform.PathOrder:
		s.serveOrder(writer, request, body)
		return
	}
	id := request.Header.Get(platform.HeaderRequestID)
	s.checker.RequestArrived(s.ID, s.Zone, node, id)
	s.checker.checkTenant(id, node, request.Header)
	s.checker.checkRegion(id, s.ID, s.Zone)
	writer.Header().Set(platform.HeaderRequestID, id)
	model := request.Header.Get(platform.HeaderModel)
	if s.recordColdRequest(node) {
		panic(http.ErrAbortHandler)
	}
	if !s.acquireSlot(request, model) {
		writer.Header().Set(platform.HeaderNotExecuted, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.releaseSlot()
	if s.crash(crashKey(request, id), node, body) {
		panic(http.ErrAbortHandler)
	}
	// Without the fault no random number is drawn: the sequence is part of a seed's schedule.
	if rate := s.currentFaults().MalformedAnswerRate; rate > 0 && s.randomChance(rate) {
		s.sendMalformed(writer, id)
		return
	}
	if s.randomChance(s.currentFaults().ErrorRate) {
		s.checker.RunFailed(id)
		writer.Header().Set(platform.HeaderServerStamp, "failed")
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	if len(s.models) > 0 {
		s.serveStream(writer, request, id, model, node)
		return
	}
	s.serveAnswer(writer, request, id, body)
}

// crashKey identifies a request over its retries. Items and reward calls keep their ids; a
// crashing client's request gets a new one each time but keeps its path.
func crashKey(request *http.Request, id string) string {
	if strings.HasPrefix(id, crashingIDPrefix) {
		return "request " + request.URL.Path
	}
	return "item or reward call " + id
}

// hostOf returns the host of an address that may or may not have a port.
func hostOf(address string) string {
	name, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return name
}

// acquireSlot waits for a free slot. It reports false if the queue is full, the model is being
// loaded or the request is canceled.
func (s *Sampler) acquireSlot(request *http.Request, model string) bool {
	s.mutex.Lock()
	if s.queuedRequests >= maxQueuedRequests || (model != "" && s.loadingModel == model) {
		s.mutex.Unlock()
		return false
	}
	s.queuedRequests++
	for s.runningRequests >= s.Slots {
		freed := s.slotFreed
		s.mutex.Unlock()
		select {
		case <-freed:
		case <-request.Context().Done():
			s.mutex.Lock()
			s.queuedRequests--
			s.mutex.Unlock()
			return false
		}
		s.mutex.Lock()
	}
	s.queuedRequests--
	s.runningRequests++
	s.mutex.Unlock()
	return true
}

func (s *Sampler) releaseSlot() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.runningRequests--
	close(s.slotFreed)
	s.slotFreed = make(chan struct{})
}

// simulateWork waits for the service time. It reports false if the request is canceled meanwhile.
func (s *Sampler) simulateWork(request *http.Request) bool {
	s.mutex.Lock()
	delay := time.Duration(float64(s.ServiceTime) * max(s.faults.SlowdownFactor, 1))
	s.mutex.Unlock()
	if strings.HasPrefix(request.URL.Path, longPrefix) {
		s.checker.Count(countLongRequests)
		delay = longWork
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-request.Context().Done():
		return false
	}
}

// weightVersions returns the weight version that the sampler serves of each model.
func (s *Sampler) weightVersions() map[string]uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.models)
}

func (s *Sampler) weightVersion(model string) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.models[model]
}

// serveStream serves the run of an item: a stream of its events, after the one at which the request
// asks to continue.
func (s *Sampler) serveStream(writer http.ResponseWriter, request *http.Request, id, model, node string) {
	from, _ := strconv.Atoi(request.Header.Get(platform.HeaderLastEventID))
	_, outputTokens, _ := strings.Cut(request.Header.Get(platform.HeaderTokenCounts), ",")
	total, _ := strconv.Atoi(outputTokens)
	run := s.checker.RunStarted(id, s.ID, node)
	version := s.weightVersion(model)
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set(platform.HeaderServerStamp, "stream")
	writer.Header().Set(platform.HeaderWeightVersions, strconv.FormatUint(version, 10))
	controller := http.NewResponseController(writer)
	cutAt := -1
	if s.randomChance(s.currentFaults().TruncationRate) {
		cutAt = from + 1 + run%max(total-from, 1)
	}
	for event := from + 1; event <= total; event++ {
		if !s.simulateWork(request) {
			return
		}
		current := s.weightVersion(model)
		text := fmt.Sprintf("id: %d\ndata: %s\n\n", event, eventData(id, event, run, from, current))
		if current != version {
			text = fmt.Sprintf("%s: %d\n", platform.EventWeightVersionsField, current) + text
			version = current
		}
		if event == cutAt {
			_, _ = io.WriteString(writer, text[:len(text)/2])
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		s.checker.EventGenerated(id)
		if _, err := io.WriteString(writer, text); err != nil {
			return
		}
		if controller.Flush() != nil {
			return
		}
	}
}

// serveAnswer serves a request to an application or a reward call.
func (s *Sampler) serveAnswer(writer http.ResponseWriter, request *http.Request, id string, body []byte) {
	s.checker.RequestStarted(id)
	if !s.simulateWork(request) {
		return
	}
	faults := s.currentFaults()
	s.mutex.Lock()
	stamp := fmt.Sprintf("%s.%x", s.ID, s.random.Uint64())
	s.mutex.Unlock()
	s.checker.AnswerSent(id, stamp)
	content := expectedAnswer(id, request.Host, request.RequestURI, body)
	if s.randomChance(faults.MisroutedAnswerRate) {
		writer.Header().Set(platform.HeaderRequestID, "another")
		content = "the answer to another request"
	}
	writer.Header().Set(platform.HeaderServerStamp, stamp)
	writer.Header().Set("Content-Length", strconv.Itoa(len(content)))
	if s.randomChance(faults.TruncationRate) {
		_, _ = io.WriteString(writer, content[:len(content)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(writer, content)
}

// expectedAnswer returns the correct answer to a request.
func expectedAnswer(id, host, path string, body []byte) string {
	return fmt.Sprintf("answer to %s at %s%s with %q", id, host, path, body)
}

func (s *Sampler) serveReport(writer http.ResponseWriter) {
	s.mutex.Lock()
	document := platform.ReportDocument{OrderInProgress: s.loadingModel != "", OrderCount: s.acceptedOrders, StartedAtMs: s.startedMS}
	for model, version := range s.models {
		document.Models = append(document.Models, platform.ModelDocument{Name: model, Version: version})
	}
	s.mutex.Unlock()
	writeJSON(writer, document)
}

func (s *Sampler) serveOrder(writer http.ResponseWriter, request *http.Request, body []byte) {
	var document platform.OrderDocument
	if json.Unmarshal(body, &document) != nil || document.Holder == "" || document.FenceToken == 0 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	s.checker.OrderReceived(s.ID, s.Zone, document.Holder, document.FenceToken)
	faults := s.currentFaults()
	if faults.DelayOrders && s.randomChance(0.5) {
		time.AfterFunc(2*time.Second+time.Duration(document.FenceToken%7)*time.Second, func() { s.executeOrder(document) })
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	writer.WriteHeader(s.executeOrder(document))
}

// executeOrder starts loading the ordered weights and returns the status of the answer: 200 if
// the version is already served, 409 if a load is in progress or the order's count of previous
// orders is stale.
func (s *Sampler) executeOrder(document platform.OrderDocument) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.models[document.Model] == document.Version {
		return http.StatusOK
	}
	if s.loadingModel != "" || document.ExpectedOrderCount != s.acceptedOrders {
		return http.StatusConflict
	}
	s.acceptedOrders++
	s.loadingModel = document.Model
	time.AfterFunc(weightLoadDuration, func() {
		s.mutex.Lock()
		s.models[document.Model] = document.Version
		s.loadingModel = ""
		s.mutex.Unlock()
		s.register()
	})
	return http.StatusAccepted
}
