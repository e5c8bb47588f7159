package platformsim

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pathbend/pathbend/platform"
)

const (
	storeParts     = 8
	storeLatency   = 4 * time.Millisecond
	maxReadBytes   = 1 << 20
	lateAppendMost = 5 * time.Second
)

// StoreFaults are the troubles of the store. The zero value is none.
type StoreFaults struct {
	// Down refuses every call; Silent lets calls hang instead.
	Down, Silent bool
	// Slow multiplies the time of an answer.
	Slow float64
	// Lose is the share of writes that are done and not answered; Late lets
	// them be done seconds later.
	Lose float64
	Late bool
}

// Store is the platform's metadata store in its log form.
type Store struct {
	mutex  sync.Mutex
	random *rand.Rand
	topics map[string][][][]byte
	// first is the oldest offset that reads of a topic's partition 0 still get.
	first   map[string]int
	groups  map[string]*group
	faults  StoreFaults
	changed chan struct{}
	// handed is told which records a machine gets; it may be nil.
	handed func(machine string, records []byte)
	// reads counts the reads of a topic by a machine.
	reads map[topicReader]int
}

// topicReader is a machine that reads a topic.
type topicReader struct{ topic, machine string }

// Reads returns how often machines read a topic, by machine.
func (s *Store) Reads(topic string) map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	reads := make(map[string]int)
	for reader, count := range s.reads {
		if reader.topic == topic {
			reads[reader.machine] = count
		}
	}
	return reads
}

// NewStore returns an empty store.
func NewStore(seed uint64) *Store {
	return &Store{
		random: rand.New(rand.NewPCG(seed, 1)), topics: make(map[string][][][]byte),
		first: make(map[string]int), groups: make(map[string]*group),
		changed: make(chan struct{}), reads: make(map[topicReader]int),
	}
}

// SetFaults puts troubles in force.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	s.wake()
}

// Forget drops the history of a keyed topic; the newest record of each key stays.
func (s *Store) Forget(topic string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.first[topic] = len(s.topic(topic)[0])
	s.wake()
}

// Put writes a keyed record, as the operator and the samplers do.
func (s *Store) Put(topic, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.append(topic, 0, [][]byte{append(record, value...)})
}

// PutRaw writes a record of a keyed topic as it is.
func (s *Store) PutRaw(topic string, record []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.append(topic, 0, [][]byte{record})
}

func (s *Store) draw(share float64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.Float64() < share
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) topic(name string) [][][]byte {
	if s.topics[name] == nil {
		s.topics[name] = make([][][]byte, storeParts)
	}
	return s.topics[name]
}

// append is called under the lock.
func (s *Store) append(topic string, part int, records [][]byte) int {
	parts := s.topic(topic)
	offset := len(parts[part])
	parts[part] = append(parts[part], records...)
	s.wake()
	return offset
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	s.mutex.Lock()
	faults := s.faults
	lose := request.Method == http.MethodPost && s.random.Float64() < faults.Lose
	delay := time.Duration(s.random.Int64N(int64(lateAppendMost)))
	s.mutex.Unlock()
	time.Sleep(time.Duration(float64(storeLatency) * max(faults.Slow, 1)))
	switch {
	case faults.Down:
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	case faults.Silent:
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	case lose && faults.Late:
		time.AfterFunc(delay, func() { s.serve(discardWriter{}, request, body) })
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	case lose:
		s.serve(discardWriter{}, request, body)
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	s.serve(writer, request, body)
}

// discardWriter is where the answer of a lost call goes.
type discardWriter struct{}

func (discardWriter) Header() http.Header               { return http.Header{} }
func (discardWriter) Write(content []byte) (int, error) { return len(content), nil }
func (discardWriter) WriteHeader(int)                   {}

func (s *Store) serve(writer http.ResponseWriter, request *http.Request, body []byte) {
	switch request.URL.Path {
	case platform.PathAppend:
		s.serveAppend(writer, request, body)
	case platform.PathRead:
		s.serveRead(writer, request)
	case platform.PathNewest:
		s.serveNewest(writer, request)
	case platform.PathJoin, platform.PathLeave:
		s.serveGroup(writer, request, body)
	case platform.PathOwners:
		s.serveOwners(writer, request)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

func partOf(request *http.Request) (topic string, part int) {
	part, err := strconv.Atoi(request.URL.Query().Get("part"))
	if err != nil || part >= storeParts {
		part = 0
	}
	return request.URL.Query().Get("topic"), part
}

func (s *Store) serveAppend(writer http.ResponseWriter, request *http.Request, body []byte) {
	var records [][]byte
	for len(body) >= 4 {
		length := int(binary.BigEndian.Uint32(body))
		records = append(records, slices.Clone(body[4:4+length]))
		body = body[4+length:]
	}
	topic, part := partOf(request)
	s.mutex.Lock()
	offset := s.append(topic, part, records)
	s.mutex.Unlock()
	writeDocument(writer, platform.AppendDocument{Offset: uint64(offset), End: uint64(offset + len(records))})
}

func (s *Store) serveRead(writer http.ResponseWriter, request *http.Request) {
	topic, part := partOf(request)
	s.mutex.Lock()
	s.reads[topicReader{topic, hostOf(request.RemoteAddr)}]++
	s.mutex.Unlock()
	from, _ := strconv.Atoi(request.URL.Query().Get("from"))
	hold, _ := strconv.Atoi(request.URL.Query().Get("waitMs"))
	kilobytes, _ := strconv.Atoi(request.URL.Query().Get("max_kb"))
	timer := time.NewTimer(time.Duration(hold) * time.Millisecond)
	defer timer.Stop()
	for waiting := hold > 0; ; {
		s.mutex.Lock()
		records, changed, first := s.topic(topic)[part], s.changed, s.first[topic]
		down := s.faults.Down || s.faults.Silent
		s.mutex.Unlock()
		if down {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if from < first {
			writer.WriteHeader(http.StatusGone)
			writeDocument(writer, struct {
				First int `json:"first"`
			}{first})
			return
		}
		if from < len(records) || !waiting {
			answer := recordsFrom(records, from, min(kilobytes<<10, maxReadBytes))
			if s.handed != nil {
				s.handed(hostOf(request.RemoteAddr), answer)
			}
			_, _ = writer.Write(answer)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-request.Context().Done():
			return
		}
	}
}

func recordsFrom(records [][]byte, from, maxBytes int) []byte {
	answer := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	answer = binary.BigEndian.AppendUint64(answer, 0)
	empty := len(answer)
	for _, record := range records[min(from, len(records)):] {
		if len(answer) > empty && len(answer)+len(record) > maxBytes {
			break
		}
		answer = binary.BigEndian.AppendUint32(answer, uint32(len(record)))
		answer = append(answer, record...)
	}
	return answer
}

func (s *Store) serveNewest(writer http.ResponseWriter, request *http.Request) {
	topic, part := partOf(request)
	s.mutex.Lock()
	records := s.topic(topic)[part]
	s.mutex.Unlock()
	newest := make(map[string]platform.NewestRecord)
	var order []string
	for offset, record := range records {
		if len(record) == 0 || len(record) < 1+int(record[0]) {
			// It has no key under which it would be the newest.
			continue
		}
		end := 1 + int(record[0])
		key := string(record[1:end])
		if _, known := newest[key]; !known {
			order = append(order, key)
		}
		newest[key] = platform.NewestRecord{Key: key, Value: base64.StdEncoding.EncodeToString(record[end:]), Offset: uint64(offset)}
		if end == len(record) {
			delete(newest, key)
		}
	}
	document := platform.NewestDocument{End: uint64(len(records))}
	for _, key := range order {
		if record, kept := newest[key]; kept {
			document.Records = append(document.Records, record)
		}
	}
	writeDocument(writer, document)
}

func writeDocument(writer http.ResponseWriter, document any) {
	content, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(content)
}
