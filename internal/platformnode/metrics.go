package platformnode

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/pathbend/pathbend/internal/dispatch"
	"github.com/pathbend/pathbend/internal/quarantine"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/roundtrip"
	"github.com/pathbend/pathbend/internal/schedule"
	"github.com/pathbend/pathbend/internal/topicreader"
)

// Metrics are the node's counters and latency histograms.
type Metrics struct {
	registry            *prometheus.Registry
	requests            *prometheus.CounterVec
	requestDuration     *prometheus.HistogramVec
	submissions         *prometheus.CounterVec
	submissionDuration  prometheus.Histogram
	appends             *prometheus.CounterVec
	appendDuration      prometheus.Histogram
	runEnds             *prometheus.CounterVec
	versionMoves        *prometheus.CounterVec
	versionMoveDuration prometheus.Histogram
	runsStarted         prometheus.Counter
	runsMoved           prometheus.Counter
	executing           prometheus.Gauge
	usageReports        *prometheus.CounterVec
	usageReportAge      prometheus.Histogram
	samplerOrders       *prometheus.CounterVec
	samplerReserve      *prometheus.GaugeVec
	samplersCold        prometheus.Gauge
	coldRequests        prometheus.Gauge
	itemsAwaitingWarmup prometheus.Gauge
	peerCalls           *prometheus.CounterVec
	workerRuns          *prometheus.CounterVec
	remoteRuns          *prometheus.CounterVec
	remoteJobs          prometheus.Gauge
	workersLost         prometheus.Counter
	// rejectedSamplerEntries counts malformed entries of samplers, staleSamplerEntries late
	// entries of earlier incarnations.
	rejectedSamplerEntries prometheus.Counter
	staleSamplerEntries    prometheus.Counter
	// entriesRead counts reads of the samplers' entries, entriesServed the bytes of entries
	// that this node sent to others.
	entriesRead   *prometheus.CounterVec
	entriesServed prometheus.Counter
	// logCalls counts calls to the log service, logCallBytes the bytes of its answers, and
	// logCallDuration their duration, unless the service was asked to hold them.
	logCalls        *prometheus.CounterVec
	logCallBytes    *prometheus.CounterVec
	logCallDuration *prometheus.HistogramVec
	logCallSummary  *logCallSummary
	// ledgerReads counts reads of the batch jobs' topic, ledgerServed the bytes of its records
	// that this node sent to others.
	ledgerReads  *prometheus.CounterVec
	ledgerServed prometheus.Counter
	// ledgerBytes counts the bytes of the ledger's records that this node read.
	ledgerBytes *prometheus.CounterVec
}

// EntriesRead implements topicreader.Counter.
func (m *Metrics) EntriesRead(source topicreader.Source, answered bool) {
	m.entriesRead.WithLabelValues(string(source), strconv.FormatBool(answered)).Inc()
}

// EntriesServed implements topicreader.Counter.
func (m *Metrics) EntriesServed(bytes int) { m.entriesServed.Add(float64(bytes)) }

// RecordsRead implements topicreader.RecordCounter.
func (m *Metrics) RecordsRead(source topicreader.Source, answered bool) {
	m.ledgerReads.WithLabelValues(string(source), strconv.FormatBool(answered)).Inc()
}

// RecordsServed implements topicreader.RecordCounter.
func (m *Metrics) RecordsServed(bytes int) { m.ledgerServed.Add(float64(bytes)) }

// PeerCallAsked counts a call to the log that this node asked a peer to make, and whether the
// log answered.
func (m *Metrics) PeerCallAsked(answered bool) {
	m.peerCalls.WithLabelValues("asked", strconv.FormatBool(answered)).Inc()
}

// PeerCallMade counts a call to the log that this node made for a peer, and whether the log
// answered.
func (m *Metrics) PeerCallMade(answered bool) {
	m.peerCalls.WithLabelValues("made", strconv.FormatBool(answered)).Inc()
}

func newMetrics(n *Node) *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: newCounterVec("pathbend_requests_total", "Requests answered, by route and result: the status of the sampler's answer or the result code.", "route", "result"),
		requestDuration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pathbend_request_duration_seconds", Help: "Time from the whole request to its answer.", Buckets: latencyBuckets(),
		}, []string{"route"}),
		submissions:         newCounterVec("pathbend_batch_submissions_total", "Batch jobs submitted, by result code (0 is success).", "code"),
		submissionDuration:  newHistogram("pathbend_batch_submission_duration_seconds", "Time until a batch job was kept or refused."),
		appends:             newCounterVec("pathbend_log_appends_total", "Appends to the log, by result code (0 is success).", "code"),
		appendDuration:      newHistogram("pathbend_log_append_duration_seconds", "Time of one append to the log."),
		runEnds:             newCounterVec("pathbend_item_runs_total", "Runs of items that ended, by ending.", "ending"),
		versionMoves:        newCounterVec("pathbend_version_moves_total", "Orders to change weights that are over, by whether the version was seen.", "reached"),
		versionMoveDuration: newHistogram("pathbend_version_move_duration_seconds", "Time from the first question to a sampler until it served a new version."),
		runsStarted:         prometheus.NewCounter(prometheus.CounterOpts{Name: "pathbend_item_starts_total", Help: "Runs of items that were started."}),
		runsMoved:           prometheus.NewCounter(prometheus.CounterOpts{Name: "pathbend_item_moves_total", Help: "Runs that were stopped to go on at another sampler."}),
		executing:           prometheus.NewGauge(prometheus.GaugeOpts{Name: "pathbend_executing", Help: "1 while this node runs the batch jobs."}),
	}
	m.rejectedSamplerEntries = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "pathbend_sampler_entries_rejected_total", Help: "Entries of the samplers' list that name no sampler to use.",
	})
	m.staleSamplerEntries = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "pathbend_sampler_entries_former_total", Help: "Entries of former incarnations of samplers that came after a newer one's.",
	})
	m.entriesRead = newCounterVec("pathbend_sampler_entries_read_total", "Readings of the samplers' entries, by where from and whether they were answered.", "source", "answered")
	m.entriesServed = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "pathbend_sampler_entries_served_bytes_total", Help: "Bytes of samplers' entries sent to nodes for which this one reads them.",
	})
	m.registry.MustRegister(m.rejectedSamplerEntries, m.staleSamplerEntries, m.entriesRead, m.entriesServed)
	m.logCallSummary = newLogCallSummary(n.logger)
	m.logCalls = newCounterVec("pathbend_log_calls_total", "Calls to the log service, by operation, topic or group, route and outcome.", "operation", "topic", "route", "outcome")
	m.logCallBytes = newCounterVec("pathbend_log_call_bytes_total", "Bytes of the log service's answers, by operation and topic or group.", "operation", "topic")
	m.logCallDuration = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "pathbend_log_call_duration_seconds", Help: "Duration of calls to the log service that it was not asked to hold, by route.", Buckets: latencyBuckets(),
	}, []string{"route"})
	m.ledgerReads = newCounterVec("pathbend_ledger_reads_total", "Reads of the batch jobs' topic, by where from and whether they were answered.", "source", "answered")
	m.ledgerServed = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "pathbend_ledger_served_bytes_total", Help: "Bytes of the batch jobs' records sent to nodes for which this one reads them.",
	})
	m.registry.MustRegister(m.ledgerReads, m.ledgerServed)
	m.ledgerBytes = newCounterVec("pathbend_ledger_bytes_total", "Bytes of the records of the batch jobs' topic that this node read, by the kind of entry.", "fact")
	m.registry.MustRegister(m.logCalls, m.logCallBytes, m.logCallDuration, m.ledgerBytes)
	m.usageReports = newCounterVec("pathbend_usage_reports_total", "Reports of usage, by whether the platform took them.", "taken")
	m.usageReportAge = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "pathbend_usage_report_age_seconds", Help: "Time from the end of a window until the platform took its report.",
		Buckets: prometheus.LinearBuckets(1, 1, 15),
	})
	m.samplerOrders = newCounterVec("pathbend_sampler_orders_total", "Orders of spot samplers, by zone and whether the platform took them.", "zone", "taken")
	m.samplerReserve = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "pathbend_sampler_reserve", Help: "Spot samplers wanted in all zones, while this node holds the duty.",
	}, []string{"service"})
	m.samplersCold = prometheus.NewGauge(prometheus.GaugeOpts{Name: "pathbend_samplers_cold", Help: "Model samplers that are cold, or may be, while this node executes."})
	m.coldRequests = prometheus.NewGauge(prometheus.GaugeOpts{Name: "pathbend_cold_requests_last_second", Help: "Items sent to cold samplers in the last second, while this node executes."})
	m.itemsAwaitingWarmup = prometheus.NewGauge(prometheus.GaugeOpts{Name: "pathbend_items_waiting_for_warmth", Help: "Items that wait while samplers with free slots got all that they may get in a second, while this node executes."})
	m.registry.MustRegister(m.samplersCold, m.coldRequests, m.itemsAwaitingWarmup)
	m.workerRuns = newCounterVec("pathbend_carried_runs_total", "Runs that this node carried for another, by the node that decides.", "decider")
	m.remoteRuns = newCounterVec("pathbend_remote_runs_total", "Runs that another node carried for this one, by that node.", "worker")
	m.remoteJobs = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "pathbend_remote_jobs", Help: "Open jobs that nodes of other regions carry for this one.",
	})
	m.workersLost = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "pathbend_workers_lost_total", Help: "Nodes given up that carried runs for this one.",
	})
	m.registry.MustRegister(m.workerRuns, m.remoteRuns, m.remoteJobs, m.workersLost)
	m.peerCalls = newCounterVec("pathbend_log_peer_calls_total", "Calls to the log through peers, by whether this node asked for them or made them, and whether the log answered.", "role", "answered")
	m.registry.MustRegister(m.peerCalls, m.usageReports, m.usageReportAge, m.samplerOrders, m.samplerReserve)
	m.registry.MustRegister(m.requests, m.requestDuration, m.submissions, m.submissionDuration, m.appends, m.appendDuration, m.runEnds,
		m.versionMoves, m.versionMoveDuration, m.runsStarted, m.runsMoved, m.executing)
	m.registerGauge("pathbend_catalog_version", "Version of the routes and services in force.", func() float64 {
		if current := n.Catalog(); current != nil {
			return float64(current.Version)
		}
		return 0
	})
	m.registerGauge("pathbend_requests_active", "Requests in progress.", func() float64 { return float64(n.active.Load()) })
	m.registerGauge("pathbend_group_generation", "Generation of the group that deals the job partitions out.", func() float64 {
		return float64(n.ownership.Generation())
	})
	m.registerGauge("pathbend_log_current_age_seconds", "Age of what this node knows of the batch jobs.", func() float64 {
		return n.jobs.follower.Health.Age().Seconds()
	})
	m.registerGauge("pathbend_samplers_listed", "Samplers in the platform's list.", func() float64 {
		if listed := n.samplers.Load(); listed != nil {
			return float64(len(*listed))
		}
		return 0
	})
	m.registerRoundTrip("pathbend_log_round_trip", "calls that the log answers at once", n.log.RoundTrip())
	m.registerRoundTrip("pathbend_log_append_round_trip", "appends to the log", n.log.AppendTime())
	m.registerGauge("pathbend_zones_evacuated", "Zones whose samplers get nothing new from this node.", func() float64 {
		return float64(len(n.evacuated.Load().Names()))
	})
	m.registerQuarantine("requests", n.suspects.requests)
	return m
}

// registerQuarantine registers the metrics of a quarantine guard.
func (m *Metrics) registerQuarantine(scope string, guard *quarantine.Guard) {
	labels := prometheus.Labels{"of": scope}
	count := func(name, help string, read func(quarantine.Counts) int) {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help, ConstLabels: labels}, func() float64 {
			return float64(read(guard.Counts()))
		}))
	}
	count("pathbend_back_ends_ended_total", "Back ends that ended under requests of this node.", func(c quarantine.Counts) int { return c.Crashes })
	count("pathbend_quarantine_refusals_total", "Attempts that were held back, as back ends ended under their request.", func(c quarantine.Counts) int { return c.Refused })
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "pathbend_quarantined", Help: "Requests that are kept from back ends.", ConstLabels: labels,
	}, func() float64 { return float64(guard.Counts().Quarantined) }))
}

// registerRoundTrip registers the round-trip estimate of one kind of calls.
func (m *Metrics) registerRoundTrip(name, calls string, estimator *roundtrip.Estimator) {
	m.registerGauge(name+"_seconds", "Smoothed round trip of "+calls+".", func() float64 { return estimator.Estimate().Smoothed.Seconds() })
	m.registerGauge(name+"_deviation_seconds", "Mean deviation of the round trip of "+calls+".", func() float64 {
		return estimator.Estimate().Deviation.Seconds()
	})
	m.registerGauge(name+"_timeout_seconds", "Time after which an answer counts as lost, of "+calls+".", func() float64 {
		return estimator.Estimate().Timeout.Seconds()
	})
}

func latencyBuckets() []float64 {
	const first, factor, count = 0.001, 2, 15
	return prometheus.ExponentialBuckets(first, factor, count)
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

func newHistogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Name: name, Help: help, Buckets: latencyBuckets()})
}

func (m *Metrics) registerGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// Handler returns a handler that serves the metrics in the Prometheus exposition format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// resultCode returns the result code of an error as a label value, "0" for nil.
func resultCode(err error) string {
	if err == nil {
		return "0"
	}
	return strconv.Itoa(int(result.From(err).Code))
}

func (m *Metrics) recordRequest(route string, answer *dispatch.Answer, err error, duration time.Duration) {
	outcome := resultCode(err)
	if answer != nil {
		outcome = strconv.Itoa(answer.Status)
	}
	m.requests.WithLabelValues(route, outcome).Inc()
	m.requestDuration.WithLabelValues(route).Observe(duration.Seconds())
}

func (m *Metrics) recordSubmission(err error, duration time.Duration) {
	m.submissions.WithLabelValues(resultCode(err)).Inc()
	m.submissionDuration.Observe(duration.Seconds())
}

func (m *Metrics) recordAppend(err error, duration time.Duration) {
	m.appends.WithLabelValues(resultCode(err)).Inc()
	m.appendDuration.Observe(duration.Seconds())
}

// recordUsageReport counts a usage report, whether the platform accepted it or not. The age is
// the time since the end of its window; it is recorded for accepted reports only.
func (m *Metrics) recordUsageReport(accepted bool, age time.Duration) {
	m.usageReports.WithLabelValues(strconv.FormatBool(accepted)).Inc()
	if accepted {
		m.usageReportAge.Observe(age.Seconds())
	}
}

func (m *Metrics) recordSamplerOrder(zone string, accepted bool) {
	m.samplerOrders.WithLabelValues(zone, strconv.FormatBool(accepted)).Inc()
}

func (m *Metrics) recordCold(status schedule.ColdStatus) {
	m.samplersCold.Set(float64(status.Cold))
	m.coldRequests.Set(float64(status.Sent))
	m.itemsAwaitingWarmup.Set(float64(status.Waiting))
}

func (m *Metrics) recordRunEnd(ending schedule.Ending) {
	m.runEnds.WithLabelValues(ending.String()).Inc()
}

func (m *Metrics) recordVersionMove(reached bool, duration time.Duration) {
	m.versionMoves.WithLabelValues(strconv.FormatBool(reached)).Inc()
	m.versionMoveDuration.Observe(duration.Seconds())
}
