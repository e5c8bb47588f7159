package hosted

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/pathbend/pathbend/internal/dispatch"
	"github.com/pathbend/pathbend/internal/feed"
	"github.com/pathbend/pathbend/internal/quarantine"
	"github.com/pathbend/pathbend/internal/result"
	"github.com/pathbend/pathbend/internal/roundtrip"
	"github.com/pathbend/pathbend/internal/schedule"
)

// Metrics are the node's counters and latency histograms.
type Metrics struct {
	registry    *prometheus.Registry
	requests    *prometheus.CounterVec
	duration    *prometheus.HistogramVec
	submissions *prometheus.CounterVec
	submitting  prometheus.Histogram
	appends     *prometheus.CounterVec
	appending   prometheus.Histogram
	runEnds     *prometheus.CounterVec
	moves       *prometheus.CounterVec
	moving      prometheus.Histogram
	started     prometheus.Counter
	moved       prometheus.Counter
	executing   prometheus.Gauge
	reports     *prometheus.CounterVec
	reportAge   prometheus.Histogram
	orders      *prometheus.CounterVec
	reserve     *prometheus.GaugeVec
	coldCount   prometheus.Gauge
	coldUsed    prometheus.Gauge
	coldWaiting prometheus.Gauge
	peerCalls   *prometheus.CounterVec
	carried     *prometheus.CounterVec
	remoteRuns  *prometheus.CounterVec
	boundJobs   prometheus.Gauge
	workersLost prometheus.Counter
	// samplersRejected counts entries that name no sampler, samplersFormer those of former
	// incarnations.
	samplersRejected prometheus.Counter
	samplersFormer   prometheus.Counter
	// entriesRead counts readings of the samplers' entries, entriesServed the bytes that
	// this node read for others.
	entriesRead   *prometheus.CounterVec
	entriesServed prometheus.Counter
}

// EntriesRead implements feed.Counter.
func (m *Metrics) EntriesRead(source feed.Source, answered bool) {
	m.entriesRead.WithLabelValues(string(source), strconv.FormatBool(answered)).Inc()
}

// EntriesServed implements feed.Counter.
func (m *Metrics) EntriesServed(bytes int) { m.entriesServed.Add(float64(bytes)) }

// PeerCallAsked counts a call to the log that a peer was asked to make.
func (m *Metrics) PeerCallAsked(answered bool) {
	m.peerCalls.WithLabelValues("asked", strconv.FormatBool(answered)).Inc()
}

// PeerCallMade counts a call to the log that this node made for a peer.
func (m *Metrics) PeerCallMade(answered bool) {
	m.peerCalls.WithLabelValues("made", strconv.FormatBool(answered)).Inc()
}

func newMetrics(n *Node) *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: counters("pathbend_requests_total", "Requests answered, by route and result: the status of the sampler's answer or the result code.", "route", "result"),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pathbend_request_duration_seconds", Help: "Time from the whole request to its answer.", Buckets: latencyBuckets(),
		}, []string{"route"}),
		submissions: counters("pathbend_batch_submissions_total", "Batch jobs submitted, by result code (0 is success).", "code"),
		submitting:  histogram("pathbend_batch_submission_duration_seconds", "Time until a batch job was kept or refused."),
		appends:     counters("pathbend_log_appends_total", "Appends to the log, by result code (0 is success).", "code"),
		appending:   histogram("pathbend_log_append_duration_seconds", "Time of one append to the log."),
		runEnds:     counters("pathbend_item_runs_total", "Runs of items that ended, by ending.", "ending"),
		moves:       counters("pathbend_version_moves_total", "Orders to change weights that are over, by whether the version was seen.", "reached"),
		moving:      histogram("pathbend_version_move_duration_seconds", "Time from the first question to a sampler until it served a new version."),
		started:     prometheus.NewCounter(prometheus.CounterOpts{Name: "pathbend_item_starts_total", Help: "Runs of items that were started."}),
		moved:       prometheus.NewCounter(prometheus.CounterOpts{Name: "pathbend_item_moves_total", Help: "Runs that were stopped to go on at another sampler."}),
		executing:   prometheus.NewGauge(prometheus.GaugeOpts{Name: "pathbend_executing", Help: "1 while this node runs the batch jobs."}),
	}
	m.samplersRejected = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "pathbend_sampler_entries_rejected_total", Help: "Entries of the samplers' list that name no sampler to use.",
	})
	m.samplersFormer = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "pathbend_sampler_entries_former_total", Help: "Entries of former incarnations of samplers that came after a newer one's.",
	})
	m.entriesRead = counters("pathbend_sampler_entries_read_total", "Readings of the samplers' entries, by where from and whether they were answered.", "source", "answered")
	m.entriesServed = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "pathbend_sampler_entries_served_bytes_total", Help: "Bytes of samplers' entries sent to nodes for which this one reads them.",
	})
	m.registry.MustRegister(m.samplersRejected, m.samplersFormer, m.entriesRead, m.entriesServed)
	m.reports = counters("pathbend_usage_reports_total", "Reports of usage, by whether the platform took them.", "taken")
	m.reportAge = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "pathbend_usage_report_age_seconds", Help: "Time from the end of a window until the platform took its report.",
		Buckets: prometheus.LinearBuckets(1, 1, 15),
	})
	m.orders = counters("pathbend_sampler_orders_total", "Orders of spot samplers, by zone and whether the platform took them.", "zone", "taken")
	m.reserve = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "pathbend_sampler_reserve", Help: "Spot samplers wanted in all zones, while this node holds the duty.",
	}, []string{"service"})
	m.coldCount = prometheus.NewGauge(prometheus.GaugeOpts{Name: "pathbend_samplers_cold", Help: "Model samplers that are cold, or may be, while this node executes."})
	m.coldUsed = prometheus.NewGauge(prometheus.GaugeOpts{Name: "pathbend_cold_requests_last_second", Help: "Items sent to cold samplers in the last second, while this node executes."})
	m.coldWaiting = prometheus.NewGauge(prometheus.GaugeOpts{Name: "pathbend_items_waiting_for_warmth", Help: "Items that wait while samplers with free slots got all that they may get in a second, while this node executes."})
	m.registry.MustRegister(m.coldCount, m.coldUsed, m.coldWaiting)
	m.carried = counters("pathbend_carried_runs_total", "Runs that this node carried for another, by the node that decides.", "decider")
	m.remoteRuns = counters("pathbend_remote_runs_total", "Runs that another node carried for this one, by that node.", "worker")
	m.boundJobs = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "pathbend_remote_jobs", Help: "Open jobs that nodes of other regions carry for this one.",
	})
	m.workersLost = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "pathbend_workers_lost_total", Help: "Nodes given up that carried runs for this one.",
	})
	m.registry.MustRegister(m.carried, m.remoteRuns, m.boundJobs, m.workersLost)
	m.peerCalls = counters("pathbend_log_peer_calls_total", "Calls to the log through peers, by whether this node asked for them or made them, and whether the log answered.", "role", "answered")
	m.registry.MustRegister(m.peerCalls, m.reports, m.reportAge, m.orders, m.reserve)
	m.registry.MustRegister(m.requests, m.duration, m.submissions, m.submitting, m.appends, m.appending, m.runEnds,
		m.moves, m.moving, m.started, m.moved, m.executing)
	m.gauge("pathbend_catalog_version", "Version of the routes and services in force.", func() float64 {
		if current := n.Catalog(); current != nil {
			return float64(current.Version)
		}
		return 0
	})
	m.gauge("pathbend_requests_active", "Requests in progress.", func() float64 { return float64(n.active.Load()) })
	m.gauge("pathbend_group_generation", "Generation of the group that deals the job partitions out.", func() float64 {
		return float64(n.ownership.Current())
	})
	m.gauge("pathbend_log_current_age_seconds", "Age of what this node knows of the batch jobs.", func() float64 {
		return n.jobs.follower.Health.Age().Seconds()
	})
	m.gauge("pathbend_samplers_listed", "Samplers in the platform's list.", func() float64 {
		if listed := n.samplers.Load(); listed != nil {
			return float64(len(*listed))
		}
		return 0
	})
	m.roundTrip("pathbend_log_round_trip", "calls that the log answers at once", n.log.Way())
	m.roundTrip("pathbend_log_append_round_trip", "appends to the log", n.log.Appends())
	m.gauge("pathbend_zones_evacuated", "Zones whose samplers get nothing new from this node.", func() float64 {
		return float64(len(n.evacuated.Load().Names()))
	})
	m.guard("requests", n.suspects.requests)
	m.guard("items", n.suspects.items)
	return m
}

// guard registers what a guard did, for requests or for items.
func (m *Metrics) guard(of string, guard *quarantine.Guard) {
	labels := prometheus.Labels{"of": of}
	count := func(name, help string, read func(quarantine.Counts) int) {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help, ConstLabels: labels}, func() float64 {
			return float64(read(guard.Counts()))
		}))
	}
	count("pathbend_back_ends_ended_total", "Back ends that ended under requests or items of this node.", func(c quarantine.Counts) int { return c.Ended })
	count("pathbend_quarantine_refusals_total", "Attempts that were held back, as back ends ended under their request.", func(c quarantine.Counts) int { return c.Refused })
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "pathbend_quarantined", Help: "Requests or items that are kept from back ends.", ConstLabels: labels,
	}, func() float64 { return float64(guard.Counts().Held) }))
}

// roundTrip registers what is known of calls of one kind.
func (m *Metrics) roundTrip(name, calls string, estimator *roundtrip.Estimator) {
	m.gauge(name+"_seconds", "Smoothed round trip of "+calls+".", func() float64 { return estimator.Read().Smoothed.Seconds() })
	m.gauge(name+"_deviation_seconds", "Mean deviation of the round trip of "+calls+".", func() float64 {
		return estimator.Read().Deviation.Seconds()
	})
	m.gauge(name+"_timeout_seconds", "Time after which an answer counts as lost, of "+calls+".", func() float64 {
		return estimator.Read().Timeout.Seconds()
	})
}

func latencyBuckets() []float64 {
	const first, factor, count = 0.001, 2, 15
	return prometheus.ExponentialBuckets(first, factor, count)
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

func histogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Name: name, Help: help, Buckets: latencyBuckets()})
}

func (m *Metrics) gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// Handler serves the metrics as text.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func codeOf(err error) string {
	if err == nil {
		return "0"
	}
	return strconv.Itoa(int(result.From(err).Code))
}

func (m *Metrics) request(route string, answer *dispatch.Answer, err error, took time.Duration) {
	outcome := codeOf(err)
	if answer != nil {
		outcome = strconv.Itoa(answer.Status)
	}
	m.requests.WithLabelValues(route, outcome).Inc()
	m.duration.WithLabelValues(route).Observe(took.Seconds())
}

func (m *Metrics) submission(err error, took time.Duration) {
	m.submissions.WithLabelValues(codeOf(err)).Inc()
	m.submitting.Observe(took.Seconds())
}

func (m *Metrics) logAppend(err error, took time.Duration) {
	m.appends.WithLabelValues(codeOf(err)).Inc()
	m.appending.Observe(took.Seconds())
}

// usageReport records a report of usage that the platform took, or did not, so long
// after the end of its window.
func (m *Metrics) usageReport(taken bool, age time.Duration) {
	m.reports.WithLabelValues(strconv.FormatBool(taken)).Inc()
	if taken {
		m.reportAge.Observe(age.Seconds())
	}
}

func (m *Metrics) samplerOrder(zone string, taken bool) {
	m.orders.WithLabelValues(zone, strconv.FormatBool(taken)).Inc()
}

func (m *Metrics) cold(status schedule.Cold) {
	m.coldCount.Set(float64(status.Cold))
	m.coldUsed.Set(float64(status.Sent))
	m.coldWaiting.Set(float64(status.Waiting))
}

func (m *Metrics) runEnded(ending schedule.Ending) {
	m.runEnds.WithLabelValues(ending.String()).Inc()
}

func (m *Metrics) versionMove(reached bool, took time.Duration) {
	m.moves.WithLabelValues(strconv.FormatBool(reached)).Inc()
	m.moving.Observe(took.Seconds())
}
