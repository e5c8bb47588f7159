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
	// reportWindow is the length of a usage window; its report is due usageReportTimeout after
	// the window ends. Both are the users' limits for usage reports, which nodes get as settings.
	reportWindow       = 5 * time.Second
	usageReportTimeout = 10 * time.Second
	cloudLatency       = 4 * time.Millisecond
	cloudMachine       = "cloud"
	cloudPort          = ":83"
	// maxSamplersPerZone is the maximum number of samplers that may be ordered in a zone.
	maxSamplersPerZone = 12
)

// CloudFaults are the faults of the platform's API. The zero value injects none.
type CloudFaults struct {
	// Down refuses every call with status 503. SlowdownFactor multiplies the response time if it
	// exceeds 1. LostAnswerRate is the fraction of calls that are processed but not answered.
	Down           bool
	SlowdownFactor float64
	LostAnswerRate float64
}

// cloudCall is a call that only one node at a time may make, with the holder and the fencing
// token that it names.
type cloudCall struct {
	holder       string
	fencingToken uint64
	at           time.Time
}

// cloudHistory records the calls that the platform's API received.
type cloudHistory struct {
	lastCalls map[string]cloudCall
	// reportedCounts holds the first report of each window, reportedAt when it arrived.
	reportedCounts map[int64]map[string]uint64
	reportedAt     map[int64]time.Time
	// startedCounts counts the requests that back ends started, by window and tenant;
	// counted holds the ids of these requests, so that each counts once.
	startedCounts map[int64]map[string]uint64
	counted       map[string]bool
}

func newCloudHistory() cloudHistory {
	return cloudHistory{
		lastCalls: make(map[string]cloudCall), reportedCounts: make(map[int64]map[string]uint64), reportedAt: make(map[int64]time.Time),
		startedCounts: make(map[int64]map[string]uint64), counted: make(map[string]bool),
	}
}

// RequestStarted records that a back end started a request, and counts it in the current usage
// window of its tenant. Further attempts of the request do not count.
func (c *Checker) RequestStarted(id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	tenant := c.tenants[id]
	if tenant == "" || c.cloud.counted[id] {
		return
	}
	c.cloud.counted[id] = true
	window := time.Now().UnixNano() / int64(reportWindow)
	if c.cloud.startedCounts[window] == nil {
		c.cloud.startedCounts[window] = make(map[string]uint64)
	}
	c.cloud.startedCounts[window][tenant]++
}

// checkExclusiveCall checks the fencing token of a call that only one node at a time may make,
// and that the call comes from the holder that it names. The caller holds c.mutex.
func (c *Checker) checkExclusiveCall(subject, node string, call cloudCall) {
	last, known := c.cloud.lastCalls[subject]
	c.cloud.lastCalls[subject] = call
	if !known || call.at.Before(c.ordersIgnoredUntil) || !c.inTouch("", call.at) {
		return
	}
	switch {
	case call.fencingToken < last.fencingToken:
		c.recordViolation("ONE", "%s calls %s with fencing token %d after %s with %d", call.holder, subject, call.fencingToken, last.holder, last.fencingToken)
	case call.holder != last.holder && call.fencingToken == last.fencingToken:
		c.recordViolation("ONE", "%s and %s share fencing token %d for %s", last.holder, call.holder, call.fencingToken, subject)
	}
	if call.holder != node && !c.nodesUnidentified {
		c.recordViolation("ONE", "call of holder %s for %s comes from node %s", call.holder, subject, node)
	}
}

// UsageReported checks a usage report: repeated reports of a window must be equal.
func (c *Checker) UsageReported(node string, call cloudCall, report platform.UsageDocument) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.checkExclusiveCall("usage", node, call)
	first, known := c.cloud.reportedCounts[report.Window]
	if known {
		if !maps.Equal(first, report.Counts) {
			c.recordViolation("ONE", "usage window %d is reported as %v and as %v", report.Window, first, report.Counts)
		}
		return
	}
	c.cloud.reportedCounts[report.Window], c.cloud.reportedAt[report.Window] = report.Counts, call.at
	c.counts["windows reported"]++
}

// InvalidUsageReports lists the usage windows between two times whose report is missing, late or
// wrong.
func (c *Checker) InvalidUsageReports(from, until time.Time) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var invalid []string
	for window := from.UnixNano()/int64(reportWindow) + 1; window < until.UnixNano()/int64(reportWindow); window++ {
		due := time.Unix(0, (window+1)*int64(reportWindow)).Add(usageReportTimeout)
		name := strconv.FormatInt(window, 10)
		switch at, known := c.cloud.reportedAt[window]; {
		case !known:
			invalid = append(invalid, name+" missing")
		case at.After(due):
			invalid = append(invalid, name+" late")
		case !maps.Equal(c.cloud.reportedCounts[window], c.cloud.startedCounts[window]) && len(c.cloud.startedCounts[window]) > 0:
			invalid = append(invalid, name+" wrong")
		}
	}
	return invalid
}

// handleExclusiveCall decodes and checks a call. It reports false for an invalid call.
func (w *World) handleExclusiveCall(path, node string, call cloudCall, body []byte) bool {
	switch path {
	case platform.PathUsage:
		var report platform.UsageDocument
		if json.Unmarshal(body, &report) != nil {
			return false
		}
		w.Checker.UsageReported(node, call, report)
		return true
	case platform.PathScale:
		var order platform.ScaleDocument
		if json.Unmarshal(body, &order) != nil || order.Desired > maxSamplersPerZone || order.Service != modelService {
			return false
		}
		w.Checker.ScaleOrdered(node, call, order)
		return true
	}
	return false
}

// ScaleOrdered checks an order of samplers. The order has no effect on the number of samplers.
func (c *Checker) ScaleOrdered(node string, call cloudCall, order platform.ScaleDocument) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.checkExclusiveCall("scale/"+order.Service+"/"+order.Zone, node, call)
	c.counts["samplers ordered"] += order.Desired
}

// serveCloud serves the platform's API, whose calls only one node at a time may make.
func (w *World) serveCloud(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	faults := w.cloudFaults.Load()
	time.Sleep(time.Duration(float64(cloudLatency) * max(faults.SlowdownFactor, 1)))
	if faults.Down {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	fencingToken, err := strconv.ParseUint(request.Header.Get(platform.HeaderFenceToken), 10, 64)
	call := cloudCall{holder: request.Header.Get(platform.HeaderDutyHolder), fencingToken: fencingToken, at: time.Now()}
	if err != nil || call.holder == "" || !w.handleExclusiveCall(request.URL.Path, hostOf(request.RemoteAddr), call, body) {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if w.Store.randomChance(faults.LostAnswerRate) {
		panic(http.ErrAbortHandler)
	}
}
