package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pathbend/pathbend/internal/platformsim"
	"github.com/pathbend/pathbend/platform"
)

// arrival is one request that reached a sampler and was run there.
type arrival struct {
	id, sampler string
	at, end     time.Time
	// lastEvent is the Last-Event-Id that the request asked to continue after.
	lastEvent int
	whole     bool
}

// sampler is a sound sampler: it runs one request at a time on a connection, answers as
// PROTOCOL.md says, and drops a request once its connection closes.
type sampler struct {
	id, service, address, zone string
	slots                      int
	store                      *platformsim.Store
	// work answers a request on the connection. It returns false if the connection must close.
	work func(s *sampler, call *samplerCall) bool

	mutex    sync.Mutex
	arrivals []arrival
	running  int
	listener net.Listener
	state    string
	models   map[string]uint64
	orders   uint64
	// loading is set from an order until it is complete; load begins the change of weights and is
	// nil once that has begun.
	loading bool
	load    func()
	stamps  uint64
	// down is set once the sampler has crashed.
	down  bool
	conns map[net.Conn]struct{}
}

// loadTime is how long a change of weights takes.
const loadTime = 900 * time.Millisecond

// samplerCall is one request at a sampler.
type samplerCall struct {
	request *http.Request
	id      string
	body    []byte
	conn    net.Conn
	// gone is closed once the peer has closed the connection.
	gone <-chan struct{}
}

func newSampler(id, service, zone string, slots int, models map[string]uint64, store *platformsim.Store, work func(*sampler, *samplerCall) bool) (*sampler, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &sampler{
		id: id, service: service, zone: zone, slots: slots, store: store, work: work, listener: listener,
		address: listener.Addr().String(), state: platform.StateReady, models: models, conns: make(map[net.Conn]struct{}),
	}
	go s.serve()
	s.register()
	return s, nil
}

// crash ends the sampler for good: its connections are reset, its address refuses new ones, and
// its entry goes after three heartbeats of silence.
func (s *sampler) crash() {
	s.mutex.Lock()
	s.down = true
	conns := s.conns
	s.conns = make(map[net.Conn]struct{})
	s.mutex.Unlock()
	s.listener.Close()
	for conn := range conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		conn.Close()
	}
	time.AfterFunc(3*heartbeat, func() { s.store.Put(platform.TopicSamplers, s.id, nil) })
}

// leave announces that the sampler is draining. It serves on for drainMs and a little longer, then
// it ends and its entry goes.
func (s *sampler) leave() {
	s.setState(platform.StateDraining)
	time.AfterFunc(drainTime, func() {
		for range 100 {
			s.mutex.Lock()
			idle := s.running == 0
			s.mutex.Unlock()
			if idle {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		s.mutex.Lock()
		s.down = true
		s.mutex.Unlock()
		s.listener.Close()
		s.store.Put(platform.TopicSamplers, s.id, nil)
	})
}

const (
	heartbeat = 1200 * time.Millisecond
	drainTime = 2500 * time.Millisecond
)

// register writes the sampler's entry to the store.
func (s *sampler) register() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return
	}
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": s.state,
		"coldLeftMs": 0, "seq": s.orders, "stage": "both", "models": s.modelList(),
	}
	content, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	s.store.Put(platform.TopicSamplers, s.id, content)
}

func (s *sampler) modelList() []map[string]any {
	list := []map[string]any{}
	for name, version := range s.models {
		list = append(list, map[string]any{"name": name, "version": version, "adapters": []string{}})
	}
	return list
}

func (s *sampler) setState(state string) {
	s.mutex.Lock()
	s.state = state
	s.mutex.Unlock()
	s.register()
}

func (s *sampler) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *sampler) serveConn(conn net.Conn) {
	defer conn.Close()
	s.mutex.Lock()
	s.conns[conn] = struct{}{}
	down := s.down
	s.mutex.Unlock()
	if down {
		return
	}
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		gone := make(chan struct{})
		next := make(chan struct{})
		go func() {
			defer close(next)
			if _, err := reader.Peek(1); err != nil {
				close(gone)
			}
		}()
		call := &samplerCall{request: request, id: request.Header.Get(platform.HeaderRequestID), body: body, conn: conn, gone: gone}
		if !s.answer(call) {
			return
		}
		<-next
	}
}

func (s *sampler) answer(call *samplerCall) bool {
	if expected := call.request.Header.Get(platform.HeaderExpectedInstanceID); expected != "" && expected != s.id {
		return call.reply(421, map[string]string{platform.HeaderInstanceID: s.id}, nil)
	}
	switch call.request.URL.Path {
	case platform.PathReport:
		return s.answerReport(call)
	case platform.PathOrder:
		return s.answerOrder(call)
	}
	if call.id == "" {
		return call.reply(400, map[string]string{platform.HeaderNotExecuted: "1"}, nil)
	}
	return s.work(s, call)
}

func (s *sampler) answerReport(call *samplerCall) bool {
	s.mutex.Lock()
	document := map[string]any{
		"stage": "both", "models": s.modelList(), "busySlots": s.loading, "seq": s.orders, "queued": 0, "running": s.running,
		"kvUsed": 0, "kvTotal": 100000, "handles": 0,
	}
	s.mutex.Unlock()
	content, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	return call.reply(200, map[string]string{"Content-Type": "application/json"}, content)
}

func (s *sampler) answerOrder(call *samplerCall) bool {
	var order struct {
		Model       string  `json:"model"`
		Version     uint64  `json:"version"`
		Mode        string  `json:"mode"`
		Holder      string  `json:"holder"`
		FenceToken  uint64  `json:"fenceToken"`
		ExpectedRev *uint64 `json:"expectedRev"`
	}
	if json.Unmarshal(call.body, &order) != nil || order.Holder == "" || order.FenceToken == 0 {
		return call.reply(400, nil, nil)
	}
	s.mutex.Lock()
	status := 202
	switch {
	case s.models[order.Model] >= order.Version:
		status = 200
	case s.loading || order.ExpectedRev != nil && *order.ExpectedRev != s.orders:
		status = 409
	default:
		s.orders++
		s.loading = true
		s.load = func() {
			time.AfterFunc(loadTime, func() {
				s.mutex.Lock()
				s.models[order.Model], s.loading = order.Version, false
				s.mutex.Unlock()
				s.register()
			})
		}
		// Mode block: runs end first.
		if order.Mode != platform.ModeBlock || s.running == 0 {
			s.load()
			s.load = nil
		}
	}
	s.mutex.Unlock()
	return call.reply(status, nil, nil)
}

// begin takes a slot and records that the request runs. It returns the index of its record, or
// -1 if the sampler is full.
func (s *sampler) begin(call *samplerCall) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.running >= s.slots || s.loading && len(s.models) > 0 || s.down {
		return -1
	}
	s.running++
	last, _ := strconv.Atoi(call.request.Header.Get(platform.HeaderLastEventID))
	s.arrivals = append(s.arrivals, arrival{id: call.id, sampler: s.id, at: time.Now(), lastEvent: last})
	return len(s.arrivals) - 1
}

func (s *sampler) finish(index int, whole bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running--
	s.arrivals[index].end, s.arrivals[index].whole = time.Now(), whole
	if s.running == 0 && s.load != nil {
		s.load()
		s.load = nil
	}
}

func (s *sampler) stamp() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stamps++
	return fmt.Sprintf("%s.%d", s.id, s.stamps)
}

// version returns the version of the model that the sampler serves.
func (s *sampler) version() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.models[model]
}

func (s *sampler) isLoading() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.loading
}

func (s *sampler) isRunning(id string) bool {
	return slices.ContainsFunc(s.runs(), func(run arrival) bool { return run.id == id && run.end.IsZero() })
}

// runs returns what the sampler ran.
func (s *sampler) runs() []arrival {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

// refuse answers that the request was not run because the sampler is full.
func (c *samplerCall) refuse() bool {
	return c.reply(503, map[string]string{platform.HeaderNotExecuted: "1", platform.HeaderRequestID: c.id}, nil)
}

// reply writes a whole answer with a length.
func (c *samplerCall) reply(status int, header map[string]string, body []byte) bool {
	var head bytes.Buffer
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, value := range header {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n", len(body))
	_, err := c.conn.Write(append(head.Bytes(), body...))
	return err == nil
}

// sleep waits and reports false if the peer has closed the connection meanwhile.
func (c *samplerCall) sleep(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.gone:
		return false
	}
}

// generate is the work of a model sampler: it streams as many events as the request's token counts
// name.
func generate(first, gap time.Duration) func(*sampler, *samplerCall) bool {
	return func(s *sampler, call *samplerCall) bool {
		index := s.begin(call)
		if index < 0 {
			return call.refuse()
		}
		_, most, _ := strings.Cut(call.request.Header.Get(platform.HeaderTokenCounts), ",")
		events, _ := strconv.Atoi(most)
		whole := call.stream(s.stamp(), s.version, events, first, gap)
		s.finish(index, whole)
		return whole
	}
}

// stream answers with events in chunks: first after the time to the first event, then one each
// gap. It returns whether all were sent.
func (c *samplerCall) stream(stamp string, version func() uint64, events int, first, gap time.Duration) bool {
	from, _ := strconv.Atoi(c.request.Header.Get(platform.HeaderLastEventID))
	pause := first
	var told uint64
	for event := from + 1; event <= events; event++ {
		if !c.sleep(pause) {
			return false
		}
		if event == from+1 {
			head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" +
				platform.HeaderRequestID + ": " + c.id + "\r\n" + platform.HeaderServerStamp + ": " + stamp + "\r\n" +
				platform.HeaderWeightVersions + ": " + strconv.FormatUint(version(), 10) + "\r\n\r\n"
			told = version()
			if _, err := io.WriteString(c.conn, head); err != nil {
				return false
			}
		}
		pause = gap
		text := eventText(c.id, event)
		if now := version(); now != told {
			text = fmt.Sprintf("%s: %d\n", platform.EventWeightVersionsField, now) + text
			told = now
		}
		if _, err := io.WriteString(c.conn, chunk(text)); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c.conn, "0\r\n\r\n")
	return err == nil
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// eventText is the event with a number of the stream that answers a request.
func eventText(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, strings.Repeat(fmt.Sprintf("%s-%d ", id, number), 3))
}
