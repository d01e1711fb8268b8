package entry

import (
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"lagooncourse/internal/base/fault"
)

// metrics holds the counters of a host and the registry. All other values are read
// from the host at each scrape.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	calls    *prometheus.CounterVec
}

const metricPrefix = "lagooncourse"

func newMetrics(h *Host) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricPrefix, Name: "http_requests_total", Help: "Requests by route and status.",
		}, []string{"route", "status"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricPrefix, Name: "calls_total", Help: "Calls to services by outcome.",
		}, []string{"service", "ran"}),
	}
	m.registry.MustRegister(m.requests, m.calls)
	m.registerGauge("cell_age_seconds", "Time since the configuration was known to be complete.", func() float64 {
		age, _ := h.follower.Age()
		return age.Seconds()
	})
	m.registerGauge("cell_next_offset", "Next offset of the configuration stream to read.", func() float64 {
		_, next := h.follower.Age()
		return float64(next)
	})
	m.registerGauge("live_hosts", "Entry hosts that are alive, this one included.", func() float64 {
		return float64(len(h.table.Live(h.clock.Now())))
	})
	m.registerGauge("peer_control_bytes_out_total", "Bytes of membership and configuration sent to entry hosts.", func() float64 {
		return float64(h.traffic().Control.Out)
	})
	m.registerGauge("peer_work_bytes_out_total", "Bytes of jobs and calls sent to entry hosts.", func() float64 {
		return float64(h.traffic().Work.Out)
	})
	m.registry.MustRegister(&groupCollector{h: h})
	return m
}

// registerGauge registers a gauge whose value is read at each scrape. The totals of sent
// bytes are also registered as gauges, because the host itself counts them.
func (m *metrics) registerGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: metricPrefix, Name: name, Help: help,
	}, read))
}

// countCall counts a call by service and outcome.
func (m *metrics) countCall(service string, outcome fault.Outcome) {
	m.calls.WithLabelValues(service, string(outcome)).Inc()
}

// countRequests wraps a handler to count its responses by route and status.
func (m *metrics) countRequests(route string, fn http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		sw := &statusWriter{ResponseWriter: w, status: http.StatusOK}
		fn(sw, r)
		m.requests.WithLabelValues(route, strconv.Itoa(sw.status)).Inc()
	}
}

// statusWriter records the status of a response.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// groupCollector collects the metrics of the groups that the host owns.
type groupCollector struct{ h *Host }

var _ prometheus.Collector = (*groupCollector)(nil)

var (
	groupLabels     = []string{"group"}
	descEpoch       = prometheus.NewDesc(metricPrefix+"_group_epoch", "Epoch of an owned group.", groupLabels, nil)
	descQueued      = prometheus.NewDesc(metricPrefix+"_group_queued", "Items waiting in an owned group.", groupLabels, nil)
	descJobs        = prometheus.NewDesc(metricPrefix+"_group_jobs", "Jobs remembered by an owned group.", groupLabels, nil)
	descPending     = prometheus.NewDesc(metricPrefix+"_group_pending", "Changes that wait for the log.", groupLabels, nil)
	descCommits     = prometheus.NewDesc(metricPrefix+"_group_commits_total", "Batches committed.", groupLabels, nil)
	descStarts      = prometheus.NewDesc(metricPrefix+"_group_starts_total", "Attempts started.", groupLabels, nil)
	descTakeovers   = prometheus.NewDesc(metricPrefix+"_group_takeovers_total", "Claims won.", groupLabels, nil)
	descLostWorkers = prometheus.NewDesc(metricPrefix+"_group_lost_workers", "Workers whose lease has run out.", groupLabels, nil)
)

// Describe implements prometheus.Collector.
func (c *groupCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{descEpoch, descQueued, descJobs, descPending, descCommits, descStarts, descTakeovers, descLostWorkers} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c *groupCollector) Collect(ch chan<- prometheus.Metric) {
	for _, lg := range c.h.allGroups() {
		d := lg.g.Dump()
		if d.Epoch == 0 {
			continue
		}
		lost := 0
		for _, w := range d.Workers {
			if w.Lost {
				lost++
			}
		}
		emit := func(desc *prometheus.Desc, t prometheus.ValueType, v float64) {
			ch <- prometheus.MustNewConstMetric(desc, t, v, d.Group)
		}
		emit(descEpoch, prometheus.GaugeValue, float64(d.Epoch))
		emit(descQueued, prometheus.GaugeValue, float64(d.Queued))
		emit(descJobs, prometheus.GaugeValue, float64(d.Jobs))
		emit(descPending, prometheus.GaugeValue, float64(d.Pending))
		emit(descCommits, prometheus.CounterValue, float64(d.Stats.Commits))
		emit(descStarts, prometheus.CounterValue, float64(d.Stats.Starts))
		emit(descTakeovers, prometheus.CounterValue, float64(d.Stats.Takeovers))
		emit(descLostWorkers, prometheus.GaugeValue, float64(lost))
	}
}
