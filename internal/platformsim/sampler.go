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
	samplerQueue = 16
	loadTime     = 900 * time.Millisecond
	heartbeat    = 1200 * time.Millisecond
)

// SamplerFaults are the troubles of a sampler. The zero value is none.
type SamplerFaults struct {
	// Slow multiplies the work time.
	Slow float64
	// Cut is the share of streams and answers that break off.
	Cut float64
	// Fail is the share of runs that end with the sampler's own 500.
	Fail float64
	// Surplus is the share of answers that are another request's.
	Surplus float64
	// LateOrders leaves orders unanswered and carries them out seconds later.
	LateOrders bool
}

// SamplerSpec describes a sampler; it outlasts the sampler's restarts.
type SamplerSpec struct {
	Address, Zone, Service string
	Slots                  int
	// Work is the time of one event, or of one answer of an application.
	Work time.Duration
}

// Sampler stands in for a model sampler or an application server.
type Sampler struct {
	SamplerSpec
	ID string
	// born is when it started, in Unix milliseconds.
	born int64

	truth  *Truth
	store  *Store
	mutex  sync.Mutex
	random *rand.Rand
	faults SamplerFaults

	models  map[string]uint64
	loading string
	orders  uint64
	running int
	queued  int
	leaving bool
	stopped bool
	freed   chan struct{}
	cold    coldState
	// crash ends the sampler's process under a request.
	crash func(key, node string)
}

func newSampler(id string, spec SamplerSpec, models map[string]uint64, truth *Truth, store *Store, seed uint64, coldUntil time.Time) *Sampler {
	sampler := &Sampler{
		SamplerSpec: spec, ID: id, born: time.Now().UnixMilli(), truth: truth, store: store, models: models,
		random: rand.New(rand.NewPCG(seed, 7)), freed: make(chan struct{}), cold: coldState{until: coldUntil},
	}
	sampler.register()
	return sampler
}

// SetFaults puts troubles in force.
func (s *Sampler) SetFaults(faults SamplerFaults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
}

func (s *Sampler) snapshotDocument() platform.SamplerDocument {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.document()
}

// document is the sampler's entry. It is called under the lock.
func (s *Sampler) document() platform.SamplerDocument {
	state := platform.StateReady
	if s.leaving {
		state = platform.StateDraining
	}
	document := platform.SamplerDocument{
		Service: s.Service, Address: s.Address, Zone: s.Zone, Software: "v1", Slots: s.Slots, State: state,
		Orders: s.orders, Born: s.born,
	}
	document.ColdLeftMS = float64(s.cold.left(time.Now()).Milliseconds())
	for model, version := range s.models {
		document.Models = append(document.Models, platform.ModelDocument{Name: model, Version: version})
	}
	return document
}

// register writes the sampler's entry.
func (s *Sampler) register() {
	s.mutex.Lock()
	document, stopped := s.document(), s.stopped
	s.mutex.Unlock()
	if stopped {
		return
	}
	content, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	s.store.Put(platform.TopicSamplers, s.ID, content)
}

// Leave says that the sampler drains.
func (s *Sampler) Leave() {
	s.mutex.Lock()
	s.leaving = true
	s.mutex.Unlock()
	s.register()
	s.truth.Gone(s.ID)
}

// Remove drops the sampler's entry, some heartbeats after its end.
func (s *Sampler) Remove() {
	s.mutex.Lock()
	s.stopped = true
	s.mutex.Unlock()
	s.store.Put(platform.TopicSamplers, s.ID, nil)
	s.truth.Gone(s.ID)
}

func (s *Sampler) snapshot() SamplerFaults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

func (s *Sampler) draw(share float64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.Float64() < share
}

// ServeHTTP implements http.Handler.
func (s *Sampler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	node := hostOf(request.RemoteAddr)
	if expected := request.Header.Get(platform.HeaderExpectInstance); expected != "" && expected != s.ID {
		writer.Header().Set(platform.HeaderInstance, s.ID)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case platform.PathReport:
		s.report(writer)
		return
	case platform.PathOrder:
		s.order(writer, request, body)
		return
	}
	id := request.Header.Get(platform.HeaderRequestID)
	s.truth.Arrived(s.ID, s.Zone, node, id)
	s.truth.judgeTenant(id, node, request.Header)
	s.truth.judgeHome(id, s.ID, s.Zone)
	writer.Header().Set(platform.HeaderRequestID, id)
	model := request.Header.Get(platform.HeaderModel)
	if s.takeCold(node) {
		panic(http.ErrAbortHandler)
	}
	if !s.enter(request, model) {
		writer.Header().Set(platform.HeaderNotRun, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	if crashes(body) {
		s.crash(s.crashKey(request, id), node)
		panic(http.ErrAbortHandler)
	}
	if s.draw(s.snapshot().Fail) {
		s.truth.ItemFailed(id)
		writer.Header().Set(platform.HeaderStamp, "failed")
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	if len(s.models) > 0 {
		s.stream(writer, request, id, model, node)
		return
	}
	s.answer(writer, request, id, body)
}

// crashKey names a request that comes again, by what stays the same: items and their reward
// calls keep their ids.
func (s *Sampler) crashKey(request *http.Request, id string) string {
	if strings.HasPrefix(id, "k") {
		return "request " + request.URL.Path
	}
	return "item or reward call " + id
}

// hostOf returns the host of an address, with or without a port.
func hostOf(address string) string {
	name, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return name
}

// enter waits for a slot.
func (s *Sampler) enter(request *http.Request, model string) bool {
	s.mutex.Lock()
	if s.queued >= samplerQueue || (model != "" && s.loading == model) {
		s.mutex.Unlock()
		return false
	}
	s.queued++
	for s.running >= s.Slots {
		freed := s.freed
		s.mutex.Unlock()
		select {
		case <-freed:
		case <-request.Context().Done():
			s.mutex.Lock()
			s.queued--
			s.mutex.Unlock()
			return false
		}
		s.mutex.Lock()
	}
	s.queued--
	s.running++
	s.mutex.Unlock()
	return true
}

func (s *Sampler) leave() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running--
	close(s.freed)
	s.freed = make(chan struct{})
}

func (s *Sampler) work(request *http.Request) bool {
	s.mutex.Lock()
	pause := time.Duration(float64(s.Work) * max(s.faults.Slow, 1))
	s.mutex.Unlock()
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-request.Context().Done():
		return false
	}
}

// weights returns the versions that the sampler serves.
func (s *Sampler) weights() map[string]uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return maps.Clone(s.models)
}

func (s *Sampler) version(model string) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.models[model]
}

func (s *Sampler) stream(writer http.ResponseWriter, request *http.Request, id, model, node string) {
	from, _ := strconv.Atoi(request.Header.Get(platform.HeaderLastEvent))
	_, out, _ := strings.Cut(request.Header.Get(platform.HeaderTokens), ",")
	total, _ := strconv.Atoi(out)
	run := s.truth.RunStarted(id, s.ID, node)
	version := s.version(model)
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set(platform.HeaderStamp, "stream")
	writer.Header().Set(platform.HeaderVersions, strconv.FormatUint(version, 10))
	controller := http.NewResponseController(writer)
	cutAt := -1
	if s.draw(s.snapshot().Cut) {
		cutAt = from + 1 + run%max(total-from, 1)
	}
	for event := from + 1; event <= total; event++ {
		if !s.work(request) {
			return
		}
		current := s.version(model)
		text := fmt.Sprintf("id: %d\ndata: %s\n\n", event, eventData(id, event, run, from, current))
		if current != version {
			text = fmt.Sprintf("%s: %d\n", platform.EventVersionField, current) + text
			version = current
		}
		if event == cutAt {
			_, _ = io.WriteString(writer, text[:len(text)/2])
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		s.truth.EventMade(id)
		if _, err := io.WriteString(writer, text); err != nil {
			return
		}
		if controller.Flush() != nil {
			return
		}
	}
}

// answer serves a request of an application or a reward call.
func (s *Sampler) answer(writer http.ResponseWriter, request *http.Request, id string, body []byte) {
	s.truth.Began(id)
	if !s.work(request) {
		return
	}
	faults := s.snapshot()
	s.mutex.Lock()
	stamp := fmt.Sprintf("%s.%x", s.ID, s.random.Uint64())
	s.mutex.Unlock()
	s.truth.RewardAnswered(id, stamp)
	content := answerTo(id, request.Host, request.RequestURI, body)
	if s.draw(faults.Surplus) {
		writer.Header().Set(platform.HeaderRequestID, "another")
		content = "the answer to another request"
	}
	writer.Header().Set(platform.HeaderStamp, stamp)
	writer.Header().Set("Content-Length", strconv.Itoa(len(content)))
	if s.draw(faults.Cut) {
		_, _ = io.WriteString(writer, content[:len(content)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(writer, content)
}

// answerTo is the right answer to a request.
func answerTo(id, host, path string, body []byte) string {
	return fmt.Sprintf("answer to %s at %s%s with %q", id, host, path, body)
}

func (s *Sampler) report(writer http.ResponseWriter) {
	s.mutex.Lock()
	document := platform.ReportDocument{Busy: s.loading != "", Orders: s.orders, Born: s.born}
	for model, version := range s.models {
		document.Models = append(document.Models, platform.ModelDocument{Name: model, Version: version})
	}
	s.mutex.Unlock()
	writeDocument(writer, document)
}

func (s *Sampler) order(writer http.ResponseWriter, request *http.Request, body []byte) {
	var document platform.OrderDocument
	if json.Unmarshal(body, &document) != nil || document.Holder == "" || document.Fence == 0 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	s.truth.Ordered(s.ID, s.Zone, document.Holder, document.Fence)
	faults := s.snapshot()
	if faults.LateOrders && s.draw(0.5) {
		time.AfterFunc(2*time.Second+time.Duration(document.Fence%7)*time.Second, func() { s.carryOut(document) })
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	writer.WriteHeader(s.carryOut(document))
}

// carryOut takes an order and returns the status of its answer.
func (s *Sampler) carryOut(document platform.OrderDocument) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.models[document.Model] == document.Version {
		return http.StatusOK
	}
	if s.loading != "" || document.Expected != s.orders {
		return http.StatusConflict
	}
	s.orders++
	s.loading = document.Model
	time.AfterFunc(loadTime, func() {
		s.mutex.Lock()
		s.models[document.Model] = document.Version
		s.loading = ""
		s.mutex.Unlock()
		s.register()
	})
	return http.StatusAccepted
}
