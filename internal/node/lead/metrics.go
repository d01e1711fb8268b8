package lead

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/ports"
)

// Metrics holds the metrics of an owner. A nil *Metrics records nothing.
type Metrics struct {
	appends        *prometheus.HistogramVec
	starts         *prometheus.HistogramVec
	heartbeats     *prometheus.CounterVec
	adviceRequests *prometheus.CounterVec
	stops          *prometheus.CounterVec
	lingering      prometheus.Gauge
	cancels        prometheus.Histogram

	isolationWaiting     prometheus.Gauge
	isolationOldest      prometheus.Gauge
	isolationHeldWorkers prometheus.Gauge
	isolationHeldCores   prometheus.Gauge
	isolationCoreSeconds prometheus.Counter

	interferencePairs   prometheus.Gauge
	interferenceChanged prometheus.Gauge
}

// latencyBuckets are the bucket limits in seconds, from one round trip to the
// duration of a store outage.
var latencyBuckets = []float64{.002, .005, .01, .02, .05, .1, .25, .5, 1, 2.5, 5, 10}

// goneBuckets are the bucket limits in seconds, from the time that a worker takes to stop
// a run to a long lease.
var goneBuckets = []float64{.05, .1, .25, .5, 1, 1.5, 2, 3, 4, 6, 10, 20, 40}

// Values of the label of the stops.
const (
	stopFirst   = "first"
	stopAgain   = "again"
	stopNotSent = "notSent"
)

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
	m.stops = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "lagooncourse_stops_total", Help: "Stops of runs: sent for the first time, sent again, or given up without being sent.",
	}, []string{"kind"})
	m.lingering = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "lagooncourse_lingering_runs", Help: "Runs that the workers list now although their job has ended.",
	})
	m.cancels = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "lagooncourse_cancel_seconds", Help: "Time from the acknowledgement of a cancellation until the last run of the job was gone.", Buckets: goneBuckets,
	})
	m.isolationWaiting = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "lagooncourse_isolation_waiting_tasks", Help: "Waiting tasks under which workers have crashed.",
	})
	m.isolationOldest = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "lagooncourse_isolation_oldest_wait_seconds", Help: "Longest time that a step with such a task has been ready.",
	})
	m.isolationHeldWorkers = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "lagooncourse_isolation_held_workers", Help: "Available workers that take no start because a suspect is tried there or is to be tried there.",
	})
	m.isolationHeldCores = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "lagooncourse_isolation_held_cores", Help: "Unallocated cores of these workers.",
	})
	m.isolationCoreSeconds = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "lagooncourse_isolation_held_core_seconds_total", Help: "Integral of lagooncourse_isolation_held_cores over time.",
	})
	m.interferencePairs = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "lagooncourse_interference_pairs", Help: "Pairs of images of which one is known to slow the other down.",
	})
	m.interferenceChanged = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "lagooncourse_interference_placements", Help: "Tasks that this owner has placed on another worker to keep them apart.",
	})
	reg.MustRegister(m.interferencePairs, m.interferenceChanged)
	reg.MustRegister(m.appends, m.starts, m.heartbeats, m.adviceRequests, m.stops, m.lingering, m.cancels)
	reg.MustRegister(m.isolationWaiting, m.isolationOldest, m.isolationHeldWorkers, m.isolationHeldCores, m.isolationCoreSeconds)
	for _, kind := range []string{stopFirst, stopAgain, stopNotSent} {
		m.stops.WithLabelValues(kind)
	}
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

// countStop counts a stop of one of the kinds above.
func (m *Metrics) countStop(kind string) {
	if m != nil {
		m.stops.WithLabelValues(kind).Inc()
	}
}

// setLingering sets the number of runs that outlast their job.
func (m *Metrics) setLingering(n int) {
	if m != nil {
		m.lingering.Set(float64(n))
	}
}

// setIsolation sets the cost of the isolation of suspects.
func (m *Metrics) setIsolation(c sched.Isolation) {
	if m == nil {
		return
	}
	m.isolationWaiting.Set(float64(c.Waiting))
	m.isolationOldest.Set(float64(c.OldestMs) / 1000)
	m.isolationHeldWorkers.Set(float64(c.HeldWorkers))
	m.isolationHeldCores.Set(float64(c.HeldCPU) / 1000)
}

// setInterference sets what is known of clashing images.
func (m *Metrics) setInterference(i sched.Interference) {
	if m == nil {
		return
	}
	m.interferencePairs.Set(float64(len(i.Pairs)))
	m.interferenceChanged.Set(float64(i.Changed))
}

// addHeldCoreSeconds adds to the core-seconds that isolation has held.
func (m *Metrics) addHeldCoreSeconds(v float64) {
	if m != nil {
		m.isolationCoreSeconds.Add(v)
	}
}

// observeGone records how long the runs of a cancelled job have outlasted it.
func (m *Metrics) observeGone(ms int64) {
	if m != nil {
		m.cancels.Observe(float64(ms) / 1000)
	}
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
