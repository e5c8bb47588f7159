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

// PlatformFaults are the faults injected into the platform's services. The zero
// value injects none.
type PlatformFaults struct {
	// LogDown makes the log answer every request with status 503.
	LogDown bool
	// LogDelay is added to the duration of every log request.
	LogDelay time.Duration
	// LoseAppendAnswers closes the connection without an answer after each append,
	// which has taken effect.
	LoseAppendAnswers bool
	// MachineListFrozen serves the machine list as it was when the fault began.
	MachineListFrozen bool
}

// Platform emulates the platform's log service, machine list and weight store.
type Platform struct {
	// ListLag is how long a change takes to appear in the machine list.
	ListLag time.Duration
	// LoadTime is how long one weight load takes. loadSlots bounds the concurrent
	// loads, as the store's rate limit does.
	LoadTime  time.Duration
	loadSlots chan struct{}

	mutex      sync.Mutex
	faults     PlatformFaults
	streams    map[string][][]byte
	appended   chan struct{}
	machines   map[string]machineEntry
	frozenList []fleet.Machine
	appends    int
	reads      int
}

// machineEntry is a machine whose latest change may not be visible yet.
type machineEntry struct {
	machine fleet.Machine
	// previous is the entry that the list shows until visibleAt; nil for none.
	previous  *fleet.Machine
	visibleAt time.Time
	removed   bool
}

// NewPlatform returns a platform with an empty log and machine list, whose weight
// store serves up to loadSlots loads at once.
func NewPlatform(listLag, loadTime time.Duration, loadSlots int) *Platform {
	return &Platform{
		ListLag: listLag, LoadTime: loadTime, loadSlots: make(chan struct{}, loadSlots),
		streams: make(map[string][][]byte), appended: make(chan struct{}), machines: make(map[string]machineEntry),
	}
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if faults.MachineListFrozen && !p.faults.MachineListFrozen {
		p.frozenList = p.visibleMachines(time.Now())
	}
	p.faults = faults
}

// Faults returns the currently injected faults.
func (p *Platform) Faults() PlatformFaults {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.faults
}

// SetMachine adds or changes a machine. The list shows the change after ListLag.
func (p *Platform) SetMachine(machine fleet.Machine) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	entry := p.machines[machine.ID]
	previous := p.visibleMachine(entry, time.Now())
	p.machines[machine.ID] = machineEntry{machine: machine, previous: previous, visibleAt: time.Now().Add(p.ListLag)}
}

// RemoveMachine removes a machine. The list shows it until ListLag has passed.
func (p *Platform) RemoveMachine(id string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	entry, ok := p.machines[id]
	if !ok {
		return
	}
	previous := p.visibleMachine(entry, time.Now())
	p.machines[id] = machineEntry{machine: entry.machine, previous: previous, visibleAt: time.Now().Add(p.ListLag), removed: true}
}

// visibleMachine returns what the machine list shows for an entry; nil for nothing.
func (p *Platform) visibleMachine(entry machineEntry, now time.Time) *fleet.Machine {
	if now.Before(entry.visibleAt) {
		return entry.previous
	}
	if entry.removed || entry.machine.ID == "" {
		return nil
	}
	machine := entry.machine
	return &machine
}

// visibleMachines returns the machine list, sorted by id. The caller holds p.mutex.
func (p *Platform) visibleMachines(now time.Time) []fleet.Machine {
	machines := []fleet.Machine{}
	for _, entry := range p.machines {
		if machine := p.visibleMachine(entry, now); machine != nil {
			machines = append(machines, *machine)
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

// Records returns the records of a log stream in order of their offsets.
func (p *Platform) Records(stream string) [][]byte {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return slices.Clone(p.streams[stream])
}

// RequestCounts returns how many appends and reads the log has served.
func (p *Platform) RequestCounts() (appends, reads int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.appends, p.reads
}

// Handler serves the platform's HTTP protocol.
func (p *Platform) Handler() http.Handler {
	router := httprouter.New()
	router.POST("/v1/streams/:stream/records", p.handleAppend)
	router.GET("/v1/streams/:stream/records", p.handleRead)
	router.GET("/v1/machines", p.handleList)
	router.POST("/v1/machines", p.handleRegister)
	router.GET("/v1/weights/:model/:version", p.handleWeights)
	return router
}

// delayLogRequest waits for LogDelay and reports whether the log is available.
func (p *Platform) delayLogRequest() bool {
	faults := p.Faults()
	time.Sleep(faults.LogDelay)
	return !faults.LogDown
}

func (p *Platform) handleAppend(writer http.ResponseWriter, request *http.Request, parameters httprouter.Params) {
	if !p.delayLogRequest() {
		http.Error(writer, "log service unavailable", http.StatusServiceUnavailable)
		return
	}
	data, err := io.ReadAll(io.LimitReader(request.Body, logstore.MaxRecordBytes+1))
	if err != nil || len(data) > logstore.MaxRecordBytes {
		http.Error(writer, "record is too large or truncated", http.StatusBadRequest)
		return
	}
	stream := parameters.ByName("stream")
	p.mutex.Lock()
	offset := len(p.streams[stream])
	p.streams[stream] = append(p.streams[stream], data)
	p.appends++
	close(p.appended)
	p.appended = make(chan struct{})
	loseAnswer := p.faults.LoseAppendAnswers
	p.mutex.Unlock()
	if loseAnswer {
		panic(http.ErrAbortHandler)
	}
	writeJSON(writer, struct {
		Offset int `json:"offset"`
	}{offset})
}

func (p *Platform) handleRead(writer http.ResponseWriter, request *http.Request, parameters httprouter.Params) {
	if !p.delayLogRequest() {
		http.Error(writer, "log service unavailable", http.StatusServiceUnavailable)
		return
	}
	query := request.URL.Query()
	from, errFrom := strconv.ParseUint(query.Get("from"), 10, 63)
	limit, errMax := strconv.Atoi(query.Get("max"))
	waitMillis, errWait := strconv.ParseInt(query.Get("wait_ms"), 10, 63)
	if errFrom != nil || errMax != nil || errWait != nil || limit < 1 {
		http.Error(writer, "query parameters from, max and wait_ms must be integers, and max at least 1", http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(time.Duration(waitMillis) * time.Millisecond)
	defer timeout.Stop()
	for {
		batch, changed := p.read(parameters.ByName("stream"), from, limit)
		if len(batch.Entries) > 0 || waitMillis == 0 {
			writeJSON(writer, batch)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			writeJSON(writer, batch)
			return
		case <-request.Context().Done():
			return
		}
	}
}

// read returns up to limit records from an offset on, and a channel that is closed
// at the next append.
func (p *Platform) read(stream string, from uint64, limit int) (logstore.Batch, <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.reads++
	records := p.streams[stream]
	batch := logstore.Batch{Entries: []logstore.Entry{}, End: uint64(len(records))}
	for offset := from; offset < uint64(len(records)) && len(batch.Entries) < limit; offset++ {
		batch.Entries = append(batch.Entries, logstore.Entry{Offset: offset, Data: records[offset]})
	}
	return batch, p.appended
}

func (p *Platform) handleList(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	p.mutex.Lock()
	machines := p.frozenList
	if !p.faults.MachineListFrozen {
		machines = p.visibleMachines(time.Now())
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

// handleRegister adds emulated machines that run in other processes to the list.
func (p *Platform) handleRegister(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	var machine fleet.Machine
	if err := json.NewDecoder(request.Body).Decode(&machine); err != nil || machine.ID == "" {
		http.Error(writer, "request body must be a machine with an id", http.StatusBadRequest)
		return
	}
	p.SetMachine(machine)
	writeJSON(writer, struct{}{})
}

// handleWeights emulates the transfer of a weight version: it takes as long, but
// sends no weights.
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
