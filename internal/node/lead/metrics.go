package lead

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/plat/ports"
)

// Metrics holds the metrics of an owner. A nil *Metrics records nothing.
type Metrics struct {
	appends        *prometheus.HistogramVec
	starts         *prometheus.HistogramVec
	heartbeats     *prometheus.CounterVec
	adviceRequests *prometheus.CounterVec
}

// latencyBuckets are the bucket limits in seconds, from one round trip to the
// duration of a store outage.
var latencyBuckets = []float64{.002, .005, .01, .02, .05, .1, .25, .5, 1, 2.5, 5, 10}

// NewMetrics registers the metrics of an owner.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		appends: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "lagooncourse_append_seconds", Help: "Time until an append was confirmed.", Buckets: latencyBuckets,
		}, []string{"repeated"}),
		starts: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "lagooncourse_start_seconds", Help: "Time of an order to start a task.", Buckets: latencyBuckets,
		}, []string{"outcome"}),
		heartbeats: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lagooncourse_holds_total", Help: "Lease renewals sent to workers.",
		}, []string{"outcome"}),
		adviceRequests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lagooncourse_advice_total", Help: "Questions to the advice service.",
		}, []string{"outcome"}),
	}
	reg.MustRegister(m.appends, m.starts, m.heartbeats, m.adviceRequests)
	return m
}

// observeAppend records the duration of the confirmed try of an append and whether
// there were earlier tries.
func (m *Metrics) observeAppend(d time.Duration, retries int) {
	if m == nil {
		return
	}
	repeated := "no"
	if retries > 0 {
		repeated = "yes"
	}
	m.appends.WithLabelValues(repeated).Observe(d.Seconds())
}

// observeStart records the duration and the outcome of one try of a start.
func (m *Metrics) observeStart(d time.Duration, err error) {
	if m != nil {
		m.starts.WithLabelValues(outcomeLabel(err)).Observe(d.Seconds())
	}
}

// countHeartbeat counts a heartbeat by its outcome.
func (m *Metrics) countHeartbeat(err error) {
	if m != nil {
		m.heartbeats.WithLabelValues(outcomeLabel(err)).Inc()
	}
}

// countAdvice counts an advice request. Such a request changes nothing, so a failed
// one has no unknown outcome.
func (m *Metrics) countAdvice(ok bool) {
	if m == nil {
		return
	}
	label := "ok"
	if !ok {
		label = "failed"
	}
	m.adviceRequests.WithLabelValues(label).Inc()
}

// outcomeLabel returns the outcome of a request to a worker: "refused" if it had no
// effect, "unknown" if it may have had one.
func outcomeLabel(err error) string {
	switch {
	case err == nil:
		return "ok"
	case ports.ReasonOf(err) != "":
		return "refused"
	case fault.OutcomeOf(err) == fault.NotRun:
		return "refused"
	}
	return "unknown"
}
