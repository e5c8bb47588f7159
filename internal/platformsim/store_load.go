package platformsim

import (
	"cmp"
	"net/http"
	"time"

	"github.com/pathbend/pathbend/platform"
)

// CallOutcome is how a call to the store ended, as seen by the store.
type CallOutcome string

// Outcomes of calls.
const (
	// CallAnswered is a call whose answer was sent, whether or not it arrived.
	CallAnswered CallOutcome = "answered"
	// CallRefused is a call that was answered with status 429 or 503.
	CallRefused CallOutcome = "refused"
	// CallAbandoned is a call whose caller was gone before the answer, or that got none.
	CallAbandoned CallOutcome = "abandoned"
)

// StoreCall is a class of calls to the store. The topic of a call about a group is empty.
type StoreCall struct {
	Operation, Topic string
	Outcome          CallOutcome
}

// StoreLoad is the load that calls put on the store.
type StoreLoad struct {
	Calls int
	// ReadBytes is the size of the answers to reads, including those of abandoned calls.
	ReadBytes int
}

// plus returns the sum of two loads.
func (l StoreLoad) plus(other StoreLoad) StoreLoad {
	return StoreLoad{Calls: l.Calls + other.Calls, ReadBytes: l.ReadBytes + other.ReadBytes}
}

// loadInterval is the resolution in time of the loads that are kept.
const loadInterval = 100 * time.Millisecond

// loadKey identifies the calls of a class that ended in an interval.
type loadKey struct {
	interval int64
	call     StoreCall
}

func intervalOf(at time.Time) int64 { return at.UnixNano() / int64(loadInterval) }

// LoadBetween returns the load of the calls that ended between two times, by class of call. Both
// times are rounded down to 100 ms.
func (s *Store) LoadBetween(from, to time.Time) map[StoreCall]StoreLoad {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	sums := make(map[StoreCall]StoreLoad)
	for key, load := range s.loads {
		if key.interval >= intervalOf(from) && key.interval < intervalOf(to) {
			sums[key.call] = sums[key.call].plus(load)
		}
	}
	return sums
}

// storeOperations maps the paths of calls to the names of their operations.
var storeOperations = map[string]string{
	platform.PathAppend: "append", platform.PathRead: "read", platform.PathNewest: "read_newest",
	platform.PathJoin: "join", platform.PathLeave: "leave", platform.PathOwners: "owners",
}

// callRecorder records how a call is answered.
type callRecorder struct {
	http.ResponseWriter
	status int
	// readBytes is the size of the answer to a read.
	readBytes int
}

// WriteHeader implements http.ResponseWriter.
func (c *callRecorder) WriteHeader(status int) {
	c.status = status
	c.ResponseWriter.WriteHeader(status)
}

func (c *callRecorder) outcome(request *http.Request) CallOutcome {
	switch {
	case request.Context().Err() != nil:
		return CallAbandoned
	case c.status == http.StatusTooManyRequests || c.status == http.StatusServiceUnavailable:
		return CallRefused
	}
	return CallAnswered
}

// recordCall records a call that has ended.
func (s *Store) recordCall(request *http.Request, recorder *callRecorder) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	operation := cmp.Or(storeOperations[request.URL.Path], request.URL.Path)
	key := loadKey{intervalOf(time.Now()), StoreCall{operation, request.URL.Query().Get("topic"), recorder.outcome(request)}}
	s.loads[key] = s.loads[key].plus(StoreLoad{Calls: 1, ReadBytes: recorder.readBytes})
}
