package emulator

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/pathbend/pathbend/internal/fleet"
	"github.com/pathbend/pathbend/internal/logstore"
)

// PlatformFaults are the faults of the platform's services.
type PlatformFaults struct {
	// LogDown makes the log refuse everything.
	LogDown bool
	// LogDelay is added to every log request.
	LogDelay time.Duration
	// LoseAppendAnswers cuts the connection after an append took effect.
	LoseAppendAnswers bool
	// ListFrozen keeps the machine list as it is.
	ListFrozen bool
}

// Platform is the log service, machine list and weight store.
type Platform struct {
	// ListLag is how long a change takes to show in the machine list.
	ListLag time.Duration
	// LoadTime is how long one weight load takes, LoadSlots how many run at
	// once: the store's rate limit.
	LoadTime  time.Duration
	loadSlots chan struct{}

	mutex    sync.Mutex
	faults   PlatformFaults
	streams  map[string][][]byte
	changed  chan struct{}
	machines map[string]machineEntry
	frozen   []fleet.Machine
	appends  int
	reads    int
}

type machineEntry struct {
	machine fleet.Machine
	// shown is the state that the list still shows until visibleAt.
	shown     *fleet.Machine
	visibleAt time.Time
	gone      bool
}

// NewPlatform returns a platform whose weight store serves loadSlots loads at
// once.
func NewPlatform(listLag, loadTime time.Duration, loadSlots int) *Platform {
	return &Platform{
		ListLag: listLag, LoadTime: loadTime, loadSlots: make(chan struct{}, loadSlots),
		streams: make(map[string][][]byte), changed: make(chan struct{}), machines: make(map[string]machineEntry),
	}
}

// SetFaults switches faults on and off.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if faults.ListFrozen && !p.faults.ListFrozen {
		p.frozen = p.list(time.Now())
	}
	p.faults = faults
}

// Faults returns the faults in force.
func (p *Platform) Faults() PlatformFaults {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.faults
}

// SetMachine adds or changes a machine; the list shows it after ListLag.
func (p *Platform) SetMachine(machine fleet.Machine) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	entry := p.machines[machine.ID]
	former := p.shownNow(entry, time.Now())
	p.machines[machine.ID] = machineEntry{machine: machine, shown: former, visibleAt: time.Now().Add(p.ListLag)}
}

// RemoveMachine takes a machine off the list after ListLag.
func (p *Platform) RemoveMachine(id string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	entry, ok := p.machines[id]
	if !ok {
		return
	}
	former := p.shownNow(entry, time.Now())
	p.machines[id] = machineEntry{machine: entry.machine, shown: former, visibleAt: time.Now().Add(p.ListLag), gone: true}
}

func (p *Platform) shownNow(entry machineEntry, now time.Time) *fleet.Machine {
	if now.Before(entry.visibleAt) {
		return entry.shown
	}
	if entry.gone || entry.machine.ID == "" {
		return nil
	}
	machine := entry.machine
	return &machine
}

func (p *Platform) list(now time.Time) []fleet.Machine {
	machines := []fleet.Machine{}
	for _, entry := range p.machines {
		if shown := p.shownNow(entry, now); shown != nil {
			machines = append(machines, *shown)
		}
	}
	slices.SortFunc(machines, func(a, b fleet.Machine) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return machines
}

// Records returns the records of a stream.
func (p *Platform) Records(stream string) [][]byte {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return slices.Clone(p.streams[stream])
}

// Traffic returns how many appends and reads the log served.
func (p *Platform) Traffic() (appends, reads int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.appends, p.reads
}

// Handler serves the platform's protocol.
func (p *Platform) Handler() http.Handler {
	router := httprouter.New()
	router.POST("/v1/streams/:stream/records", p.handleAppend)
	router.GET("/v1/streams/:stream/records", p.handleRead)
	router.GET("/v1/machines", p.handleList)
	router.POST("/v1/machines", p.handleRegister)
	router.GET("/v1/weights/:model/:version", p.handleWeights)
	return router
}

func (p *Platform) delay() bool {
	faults := p.Faults()
	time.Sleep(faults.LogDelay)
	return !faults.LogDown
}

func (p *Platform) handleAppend(writer http.ResponseWriter, request *http.Request, parameters httprouter.Params) {
	if !p.delay() {
		http.Error(writer, "log is down", http.StatusServiceUnavailable)
		return
	}
	data, err := io.ReadAll(io.LimitReader(request.Body, logstore.MaxRecordBytes+1))
	if err != nil || len(data) > logstore.MaxRecordBytes {
		http.Error(writer, "record too large or cut off", http.StatusBadRequest)
		return
	}
	stream := parameters.ByName("stream")
	p.mutex.Lock()
	offset := len(p.streams[stream])
	p.streams[stream] = append(p.streams[stream], data)
	p.appends++
	close(p.changed)
	p.changed = make(chan struct{})
	lose := p.faults.LoseAppendAnswers
	p.mutex.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	writeJSON(writer, struct {
		Offset int `json:"offset"`
	}{offset})
}

func (p *Platform) handleRead(writer http.ResponseWriter, request *http.Request, parameters httprouter.Params) {
	if !p.delay() {
		http.Error(writer, "log is down", http.StatusServiceUnavailable)
		return
	}
	query := request.URL.Query()
	from, errFrom := strconv.ParseUint(query.Get("from"), 10, 63)
	limit, errMax := strconv.Atoi(query.Get("max"))
	wait, errWait := strconv.ParseInt(query.Get("wait_ms"), 10, 63)
	if errFrom != nil || errMax != nil || errWait != nil || limit < 1 {
		http.Error(writer, "from, max and wait_ms must be numbers", http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		batch, changed := p.read(parameters.ByName("stream"), from, limit)
		if len(batch.Entries) > 0 || wait == 0 {
			writeJSON(writer, batch)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			writeJSON(writer, batch)
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (p *Platform) read(stream string, from uint64, limit int) (logstore.Batch, <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.reads++
	records := p.streams[stream]
	batch := logstore.Batch{Entries: []logstore.Entry{}, End: uint64(len(records))}
	for offset := from; offset < uint64(len(records)) && len(batch.Entries) < limit; offset++ {
		batch.Entries = append(batch.Entries, logstore.Entry{Offset: offset, Data: records[offset]})
	}
	return batch, p.changed
}

func (p *Platform) handleList(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	p.mutex.Lock()
	machines := p.frozen
	if !p.faults.ListFrozen {
		machines = p.list(time.Now())
	}
	p.mutex.Unlock()
	etag := strconv.Quote(strconv.FormatUint(fleet.Digest(machines), 16))
	writer.Header().Set("ETag", etag)
	if request.Header.Get("If-None-Match") == etag {
		writer.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(writer, struct {
		Machines []fleet.Machine `json:"machines"`
	}{machines})
}

// handleRegister lets stand-ins of other processes put themselves on the list.
func (p *Platform) handleRegister(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	var machine fleet.Machine
	if err := json.NewDecoder(request.Body).Decode(&machine); err != nil || machine.ID == "" {
		http.Error(writer, "expected a machine", http.StatusBadRequest)
		return
	}
	p.SetMachine(machine)
	writeJSON(writer, struct{}{})
}

// handleWeights stands for the transfer of a weight version.
func (p *Platform) handleWeights(writer http.ResponseWriter, request *http.Request, parameters httprouter.Params) {
	select {
	case p.loadSlots <- struct{}{}:
		defer func() { <-p.loadSlots }()
	case <-request.Context().Done():
		return
	}
	time.Sleep(p.LoadTime)
	writeJSON(writer, struct {
		Model   string `json:"model"`
		Version string `json:"version"`
	}{parameters.ByName("model"), parameters.ByName("version")})
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}
