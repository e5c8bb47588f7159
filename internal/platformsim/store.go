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
	storePartitions = 8
	storeLatency    = 4 * time.Millisecond
	maxReadBytes    = 1 << 20
	maxAppendDelay  = 5 * time.Second
)

// StoreFaults are the faults injected into the store. The zero value injects none.
type StoreFaults struct {
	// Down refuses every call with status 503; Unresponsive leaves every new call unanswered.
	Down, Unresponsive bool
	// SlowdownFactor multiplies the response time; values below 1 have no effect.
	SlowdownFactor float64
	// LostWriteRate is the fraction of writes that are executed but not answered; DelayWrites
	// delays their execution by up to maxAppendDelay.
	LostWriteRate float64
	DelayWrites   bool
}

// Store simulates the platform's metadata store, an append-only log with topics, partitions
// and consumer groups.
type Store struct {
	mutex  sync.Mutex
	random *rand.Rand
	topics map[string][][][]byte
	// firstOffsets is the oldest offset of partition 0 of each topic that can still be read.
	firstOffsets map[string]int
	groups       map[string]*consumerGroup
	faults       StoreFaults
	limits       StoreLimits
	capacity     capacity
	changed      chan struct{}
	// onRead is called with the records that are returned to a machine; it may be nil.
	onRead func(machine string, records []byte)
	// readCounts is the number of reads of each topic by each machine.
	readCounts map[topicReader]int
	// loads is the load of the calls that have ended.
	loads map[loadKey]StoreLoad
}

// topicReader identifies a machine that reads a topic.
type topicReader struct{ topic, machine string }

// ReadCounts returns the number of reads of a topic by each machine.
func (s *Store) ReadCounts(topic string) map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	reads := make(map[string]int)
	for reader, count := range s.readCounts {
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
		firstOffsets: make(map[string]int), groups: make(map[string]*consumerGroup),
		changed: make(chan struct{}), readCounts: make(map[topicReader]int),
		loads: make(map[loadKey]StoreLoad),
	}
}

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	s.notifyReaders()
}

// DropHistory drops the history of a keyed topic: reads from before its end get status 410, while
// the newest record of each key stays available.
func (s *Store) DropHistory(topic string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.firstOffsets[topic] = len(s.topicPartitions(topic)[0])
	s.notifyReaders()
}

// Put appends a record with a key, as the operator and the samplers do.
func (s *Store) Put(topic, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.append(topic, 0, [][]byte{append(record, value...)})
}

// PutRaw appends a record to a keyed topic without encoding it, so that it may be malformed.
func (s *Store) PutRaw(topic string, record []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.append(topic, 0, [][]byte{record})
}

func (s *Store) randomChance(probability float64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.Float64() < probability
}

func (s *Store) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) topicPartitions(name string) [][][]byte {
	if s.topics[name] == nil {
		s.topics[name] = make([][][]byte, storePartitions)
	}
	return s.topics[name]
}

// append adds records to a partition and returns the offset of the first; the caller holds
// s.mutex.
func (s *Store) append(topic string, partition int, records [][]byte) int {
	partitions := s.topicPartitions(topic)
	offset := len(partitions[partition])
	partitions[partition] = append(partitions[partition], records...)
	s.notifyReaders()
	return offset
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	recorder := &callRecorder{ResponseWriter: writer, status: http.StatusOK}
	defer s.recordCall(request, recorder)
	if !s.admit(request) {
		recorder.WriteHeader(http.StatusTooManyRequests)
		return
	}
	s.serveWithFaults(recorder, request, body)
}

// serveWithFaults serves a call under the faults in force.
func (s *Store) serveWithFaults(writer http.ResponseWriter, request *http.Request, body []byte) {
	s.mutex.Lock()
	faults := s.faults
	loseAnswer := request.Method == http.MethodPost && s.random.Float64() < faults.LostWriteRate
	delay := time.Duration(s.random.Int64N(int64(maxAppendDelay)))
	s.mutex.Unlock()
	time.Sleep(time.Duration(float64(storeLatency) * max(faults.SlowdownFactor, 1)))
	switch {
	case faults.Down:
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	case faults.Unresponsive:
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	case loseAnswer && faults.DelayWrites:
		time.AfterFunc(delay, func() { s.serve(discardWriter{}, request, body) })
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	case loseAnswer:
		s.serve(discardWriter{}, request, body)
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	}
	s.serve(writer, request, body)
}

// discardWriter is the response writer of a call whose answer is lost.
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

func topicPartition(request *http.Request) (topic string, partition int) {
	partition, err := strconv.Atoi(request.URL.Query().Get("part"))
	if err != nil || partition >= storePartitions {
		partition = 0
	}
	return request.URL.Query().Get("topic"), partition
}

func (s *Store) serveAppend(writer http.ResponseWriter, request *http.Request, body []byte) {
	var records [][]byte
	for len(body) >= 4 {
		length := int(binary.BigEndian.Uint32(body))
		records = append(records, slices.Clone(body[4:4+length]))
		body = body[4+length:]
	}
	topic, partition := topicPartition(request)
	if !s.awaitAppend(topic, partition) {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mutex.Lock()
	offset := s.append(topic, partition, records)
	s.mutex.Unlock()
	writeJSON(writer, platform.AppendDocument{Offset: uint64(offset), End: uint64(offset + len(records))})
}

func (s *Store) serveRead(writer http.ResponseWriter, request *http.Request) {
	topic, partition := topicPartition(request)
	s.mutex.Lock()
	s.readCounts[topicReader{topic, hostOf(request.RemoteAddr)}]++
	s.mutex.Unlock()
	from, _ := strconv.Atoi(request.URL.Query().Get("from"))
	waitMS, _ := strconv.Atoi(request.URL.Query().Get("waitMs"))
	maxKB, _ := strconv.Atoi(request.URL.Query().Get("max_kb"))
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for waiting := waitMS > 0; ; {
		s.mutex.Lock()
		records, changed, first := s.topicPartitions(topic)[partition], s.changed, s.firstOffsets[topic]
		down := s.faults.Down || s.faults.Unresponsive
		s.mutex.Unlock()
		if down {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if from < first {
			writer.WriteHeader(http.StatusGone)
			writeJSON(writer, struct {
				First int `json:"first"`
			}{first})
			return
		}
		if from < len(records) || !waiting {
			answer := encodeRecords(records, from, min(maxKB<<10, maxReadBytes))
			if s.onRead != nil {
				s.onRead(hostOf(request.RemoteAddr), answer)
			}
			s.sendAnswer(writer, request, answer)
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

// encodeRecords encodes the answer to a read: the partition's end offset, its oldest offset, which
// is always 0, and the records from an offset on, each after its length. It adds records up
// to about maxBytes, but at least one if there is any.
func encodeRecords(records [][]byte, from, maxBytes int) []byte {
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
	topic, partition := topicPartition(request)
	s.mutex.Lock()
	records := s.topicPartitions(topic)[partition]
	s.mutex.Unlock()
	newest := make(map[string]platform.NewestRecord)
	var order []string
	for offset, record := range records {
		if len(record) == 0 || len(record) < 1+int(record[0]) {
			// The record is malformed and has no key.
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
	writer.Header().Set("Content-Type", contentTypeJSON)
	s.sendAnswer(writer, request, encodeJSON(document))
}

const contentTypeJSON = "application/json"

func writeJSON(writer http.ResponseWriter, document any) {
	writer.Header().Set("Content-Type", contentTypeJSON)
	_, _ = writer.Write(encodeJSON(document))
}

func encodeJSON(document any) []byte {
	content, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	return content
}
