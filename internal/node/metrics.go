package node

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pathbend/pathbend/internal/result"
)

// metrics holds the node's Prometheus metrics in a registry of its own. It implements
// gateway.Recorder.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
}

func newMetrics(n *Node) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pathbend_requests_total",
			Help: "Requests answered, by tenant, route or model, and result code (0 is success).",
		}, []string{"tenant", "route", "code"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "pathbend_request_duration_seconds",
			Help:    "Time from the request's header to the end of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}, []string{"tenant", "route"}),
	}
	m.registry.MustRegister(m.requests, m.duration)
	m.register("pathbend_config_revision", "Configuration revision in force.", func() float64 {
		_, revision := n.Current()
		return float64(revision)
	})
	m.register("pathbend_members_usable", "Nodes that take new work, as this node sees it.", func() float64 {
		return float64(n.members.usableCount())
	})
	m.register("pathbend_log_lag_records", "Records known but not applied.", func() float64 {
		lag, _ := n.follower.Lag()
		return float64(lag)
	})
	m.register("pathbend_log_last_read_age_seconds", "Time since the log or a peer last answered a read.", func() float64 {
		_, at := n.follower.Lag()
		return time.Since(at).Seconds()
	})
	m.register("pathbend_idempotency_keys", "Idempotency keys that this node's replica holds.", func() float64 {
		return float64(n.replicas.keys())
	})
	m.register("pathbend_peer_sent_bytes_total", "Bytes sent to peers on connections that this node opened.", func() float64 {
		sent, _ := n.peers.Traffic()
		return float64(sent)
	})
	m.register("pathbend_peer_received_bytes_total", "Bytes received from peers on connections that this node opened.", func() float64 {
		_, received := n.peers.Traffic()
		return float64(received)
	})
	m.register("pathbend_requests_active", "Requests in progress.", func() float64 { return float64(n.gateway.ActiveRequests()) })
	return m
}

// register registers a gauge whose value is read at each scrape.
func (m *metrics) register(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// Record implements gateway.Recorder. It counts a request and observes its duration.
func (m *metrics) Record(tenant, route string, code result.Code, duration time.Duration) {
	m.requests.WithLabelValues(tenant, route, strconv.Itoa(int(code))).Inc()
	m.duration.WithLabelValues(tenant, route).Observe(duration.Seconds())
}

// keys returns the number of idempotency keys that this node's replica holds.
func (r *replicas) keys() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.replica.Keys()
}
