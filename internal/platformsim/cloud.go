package platformsim

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/pathbend/pathbend/platform"
)

const (
	// reportWindow and usageLate are the users' bounds of usage reports.
	reportWindow = 5 * time.Second
	usageLate    = 10 * time.Second
	cloudLatency = 4 * time.Millisecond
	cloudMachine = "cloud"
	cloudPort    = ":83"
	// mostSamplers bounds the samplers that may be ordered in a zone.
	mostSamplers = 12
)

// CloudFaults are the troubles of the platform's API. The zero value is none.
type CloudFaults struct {
	// Down refuses every call, Slow multiplies the time of an answer, Lose is the share
	// of calls that are taken and not answered.
	Down bool
	Slow float64
	Lose float64
}

// cloudCall is the last call about a subject.
type cloudCall struct {
	holder string
	fence  uint64
	at     time.Time
}

// cloudTruth is what the platform's API saw.
type cloudTruth struct {
	calls map[string]cloudCall
	// reported holds the first report of a window and when it came.
	reported   map[int64]map[string]uint64
	reportedAt map[int64]time.Time
	// began counts the requests that samplers began, by window and tenant.
	began map[int64]map[string]uint64
	seen  map[string]bool
}

func newCloudTruth() cloudTruth {
	return cloudTruth{
		calls: make(map[string]cloudCall), reported: make(map[int64]map[string]uint64), reportedAt: make(map[int64]time.Time),
		began: make(map[int64]map[string]uint64), seen: make(map[string]bool),
	}
}

// Began notes that a sampler began a request of a client.
func (t *Truth) Began(id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	tenant := t.tenants[id]
	if tenant == "" || t.cloud.seen[id] {
		return
	}
	t.cloud.seen[id] = true
	window := time.Now().UnixNano() / int64(reportWindow)
	if t.cloud.began[window] == nil {
		t.cloud.began[window] = make(map[string]uint64)
	}
	t.cloud.began[window][tenant]++
}

// judgeDuty rules on a call that is one node's duty, as on an order. It is called under
// the lock.
func (t *Truth) judgeDuty(subject, node string, call cloudCall) {
	last, known := t.cloud.calls[subject]
	t.cloud.calls[subject] = call
	if !known || call.at.Before(t.ordersExcused) || !t.inTouch("", call.at) {
		return
	}
	switch {
	case call.fence < last.fence:
		t.broken("ONE", "%s calls %s with fence %d after %s with %d", call.holder, subject, call.fence, last.holder, last.fence)
	case call.holder != last.holder && call.fence == last.fence:
		t.broken("ONE", "%s and %s share fence %d for %s", last.holder, call.holder, call.fence, subject)
	}
	if call.holder != node && !t.nameless {
		t.broken("ONE", "%s calls %s from %s", call.holder, subject, node)
	}
}

// Reported judges a report of usage.
func (t *Truth) Reported(node string, call cloudCall, report platform.UsageDocument) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.judgeDuty("usage", node, call)
	first, known := t.cloud.reported[report.Window]
	if known {
		if !maps.Equal(first, report.Counts) {
			t.broken("ONE", "window %d is reported as %v and as %v", report.Window, first, report.Counts)
		}
		return
	}
	t.cloud.reported[report.Window], t.cloud.reportedAt[report.Window] = report.Counts, call.at
	t.counts["windows reported"]++
}

// MissedUsage lists the windows within a time whose report is missing, late or wrong.
func (t *Truth) MissedUsage(from, until time.Time) []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var missed []string
	for window := from.UnixNano()/int64(reportWindow) + 1; window < until.UnixNano()/int64(reportWindow); window++ {
		due := time.Unix(0, (window+1)*int64(reportWindow)).Add(usageLate)
		name := strconv.FormatInt(window, 10)
		switch at, known := t.cloud.reportedAt[window]; {
		case !known:
			missed = append(missed, name+" missing")
		case at.After(due):
			missed = append(missed, name+" late")
		case !maps.Equal(t.cloud.reported[window], t.cloud.began[window]) && len(t.cloud.began[window]) > 0:
			missed = append(missed, name+" wrong")
		}
	}
	return missed
}

// takeDuty reads a call and judges it. It reports false for one that makes no sense.
func (w *World) takeDuty(path, node string, call cloudCall, body []byte) bool {
	switch path {
	case platform.PathUsage:
		var report platform.UsageDocument
		if json.Unmarshal(body, &report) != nil {
			return false
		}
		w.Truth.Reported(node, call, report)
		return true
	case platform.PathScale:
		var order platform.ScaleDocument
		if json.Unmarshal(body, &order) != nil || order.Desired > mostSamplers || order.Service != modelService {
			return false
		}
		w.Truth.Scaled(node, call, order)
		return true
	}
	return false
}

// Scaled judges an order of samplers. The world has as many as it began with.
func (t *Truth) Scaled(node string, call cloudCall, order platform.ScaleDocument) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.judgeDuty("scale/"+order.Service+"/"+order.Zone, node, call)
	t.counts["samplers ordered"] += order.Desired
}

// serveCloud takes the calls that are the duty of one node.
func (w *World) serveCloud(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	faults := w.cloudFaults.Load()
	time.Sleep(time.Duration(float64(cloudLatency) * max(faults.Slow, 1)))
	if faults.Down {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	fence, err := strconv.ParseUint(request.Header.Get(platform.HeaderFence), 10, 64)
	call := cloudCall{holder: request.Header.Get(platform.HeaderHolder), fence: fence, at: time.Now()}
	if err != nil || call.holder == "" || !w.takeDuty(request.URL.Path, hostOf(request.RemoteAddr), call, body) {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if w.Store.draw(faults.Lose) {
		panic(http.ErrAbortHandler)
	}
}
