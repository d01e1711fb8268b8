package lead

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/clock"
	"lagooncourse/internal/base/logs"
	"lagooncourse/internal/base/polls"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/ports"
)

// logBuffer collects log lines.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// logLine is a line about a run, a worker or a job.
type logLine struct {
	Msg, Job, Task, Worker, Reason, Err                                        string
	Run, Earlier, Try, Skipped, Runs, AfterMs, WaitMs, LeaseMs, Workers, Epoch int
}

// lines returns the lines with one of the messages.
func (b *logBuffer) lines(t *testing.T, msgs ...string) (list []logLine) {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, text := range strings.Split(strings.TrimSpace(b.b.String()), "\n") {
		var l logLine
		assert.NilError(t, json.Unmarshal([]byte(text), &l), "%s", text)
		if slices.Contains(msgs, l.Msg) {
			list = append(list, l)
		}
	}
	return list
}

// metricValue returns the value of a counter or gauge, or the count of a histogram, whose
// label, if any, has the value label.
func metricValue(t *testing.T, reg *prometheus.Registry, name, label string) float64 {
	t.Helper()
	families, err := reg.Gather()
	assert.NilError(t, err)
	for _, f := range families {
		if f.GetName() != name {
			continue
		}
		for _, m := range f.GetMetric() {
			if label != "" && m.GetLabel()[0].GetValue() != label {
				continue
			}
			switch {
			case m.GetHistogram() != nil:
				return float64(m.GetHistogram().GetSampleCount())
			case m.GetGauge() != nil:
				return m.GetGauge().GetValue()
			}
			return m.GetCounter().GetValue()
		}
	}
	t.Fatalf("no metric %s %s", name, label)
	return 0
}

// explained is an owner with its log and metrics.
type explained struct {
	*Owner
	log logBuffer
	reg *prometheus.Registry
}

// startExplained starts an owner that has read state.
func startExplained(t *testing.T, state *sched.State, store ports.Store, r testWorkers) *explained {
	e := &explained{reg: prometheus.NewRegistry()}
	cfg := ownerConfig(state, store, r, clock.System{})
	cfg.Logger, cfg.Metrics = logs.NewJSON(&e.log, "info"), NewMetrics(e.reg)
	e.Owner = Start(cfg)
	t.Cleanup(func() {
		e.Stop("the test has ended")
		<-e.Done()
	})
	return e
}

// awaitLine waits for a line and returns it.
func (e *explained) awaitLine(t *testing.T, msg string) logLine {
	t.Helper()
	polls.Until(t, pollTimeout, msg, func() bool { return len(e.log.lines(t, msg)) > 0 })
	return e.log.lines(t, msg)[0]
}

const endedJob = "00000000000000aa"

// TestLogTellsWhyARunGoesOn plays causes for which a run goes on after its job was
// cancelled. The lines and metrics of the owner must tell them apart.
func TestLogTellsWhyARunGoesOn(t *testing.T) {
	for name, c := range map[string]struct {
		delay          time.Duration // of the registry
		deaf           bool
		want, wantNot  string // messages
		again, notSent bool   // counted
	}{
		"stopped at once":            {want: "adopted run of an ended job", wantNot: "stop requested again"},
		"address not known in time":  {delay: 300 * time.Millisecond, want: "stop requested again", wantNot: "run goes on after a confirmed stop", again: true, notSent: true},
		"stop confirmed, not obeyed": {deaf: true, want: "run goes on after a confirmed stop", wantNot: "stop requested again", again: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := &stoppable{deaf: c.deaf, stopped: make(chan struct{})}
			r.running = []sched.Running{{Task: endedJob + ".0.0.0", Run: 3}}
			e := startExplained(t, cancelledState(t, endedJob), &lateRegistry{delay: c.delay}, r)
			<-r.stopped
			gone := e.awaitLine(t, "last run of cancelled job is gone")
			assert.Equal(t, gone.Job, endedJob)
			assert.Assert(t, gone.AfterMs < cancelBoundMs, "%d ms", gone.AfterMs)

			for _, msg := range []string{"adopted run of an ended job", c.want} {
				l := e.awaitLine(t, msg)
				assert.Equal(t, l.Task, endedJob+".0.0.0", msg)
				assert.Equal(t, l.Run, 3, msg)
				assert.Equal(t, l.Worker, "w1", msg)
				assert.Equal(t, l.Earlier > 0, msg != "adopted run of an ended job", msg)
			}
			assert.Equal(t, len(e.log.lines(t, c.wantNot)), 0, c.wantNot)
			assert.Equal(t, len(e.log.lines(t, "stop not sent, the address of the worker is not known")) > 0, c.notSent)
			sent := e.log.lines(t, "stop")
			assert.Assert(t, len(sent) > 0)
			assert.Assert(t, sent[0].Try == 1 && sent[0].Err == "" && sent[0].Reason != "", "%+v", sent[0])
			assert.Equal(t, e.awaitLine(t, "worker answers").Worker, "w1")

			assert.Equal(t, metricValue(t, e.reg, "lagooncourse_stops_total", stopAgain) > 0, c.again)
			assert.Equal(t, metricValue(t, e.reg, "lagooncourse_stops_total", stopNotSent) > 0, c.notSent)
			assert.Equal(t, metricValue(t, e.reg, "lagooncourse_cancel_seconds", ""), 1.0)
			polls.Until(t, pollTimeout, "no run lingers", func() bool { return metricValue(t, e.reg, "lagooncourse_lingering_runs", "") == 0 })
		})
	}
}

// TestLingeringRunsAreCounted checks that a run that ignores all stops is in the gauge
// while its worker lists it, and that a host which is not the owner any more counts none.
func TestLingeringRunsAreCounted(t *testing.T) {
	r := &recorder{}
	r.running = []sched.Running{{Task: endedJob + ".0.0.0", Run: 3}, {Task: "00000000000000bb.0.0.0", Run: 1}}
	e := startExplained(t, cancelledState(t, endedJob), &lateRegistry{}, r)
	lingering := func() float64 { return metricValue(t, e.reg, "lagooncourse_lingering_runs", "") }
	polls.Until(t, pollTimeout, "both runs are counted", func() bool { return lingering() == 2 })
	polls.Until(t, pollTimeout, "the unknown run", func() bool {
		return slices.ContainsFunc(e.log.lines(t, "stop requested"), func(l logLine) bool { return l.Reason == string(sched.StopUnknownRun) })
	})
	e.Stop("test")
	<-e.Done()
	assert.Equal(t, lingering(), 0.0)
}

// TestLateRunOfEndedJobIsLogged lists a run of a cancelled job again after it was gone, as
// by a start that is carried out late.
func TestLateRunOfEndedJobIsLogged(t *testing.T) {
	r := &stoppable{stopped: make(chan struct{})}
	r.running = []sched.Running{{Task: endedJob + ".0.0.0", Run: 3}}
	e := startExplained(t, cancelledState(t, endedJob), &lateRegistry{}, r)
	e.awaitLine(t, "last run of cancelled job is gone")
	r.mu.Lock()
	r.running = []sched.Running{{Task: endedJob + ".0.0.0", Run: 3}}
	r.mu.Unlock()
	l := e.awaitLine(t, "stop requested")
	assert.Equal(t, l.Task, endedJob+".0.0.0")
	assert.Equal(t, l.Reason, string(sched.StopLateRun))
}

// emptyRegistry confirms all appends and lists no workers.
type emptyRegistry struct{ lateRegistry }

func (s *emptyRegistry) Newest(context.Context, string, string) (ports.Newest, error) {
	return ports.Newest{}, nil
}

// TestWorkerWithoutAddressIsLogged takes over with a run on a worker that the registry
// does not list, so nobody renews its lease or sees its runs.
func TestWorkerWithoutAddressIsLogged(t *testing.T) {
	r := &recorder{}
	e := startExplained(t, cancelledState(t, endedJob), &emptyRegistry{}, r)
	l := e.awaitLine(t, "no heartbeat to worker with runs, its address is not known")
	assert.Equal(t, l.Worker, "w1")
	assert.Equal(t, l.Runs, 1)
	assert.Equal(t, l.Workers, 1)
	assert.Assert(t, l.WaitMs > unaddressedAfterMs && l.LeaseMs > 0, "%+v", l)
	assert.Equal(t, len(e.log.lines(t, "worker answers")), 0)
}

// TestStopLinesAreBounded requests many stops at once. Lines about runs that go on must not
// be crowded out by those about first requests.
func TestStopLinesAreBounded(t *testing.T) {
	var buf logBuffer
	c := clock.NewManual(time.Unix(1000, 0))
	o := &Owner{cfg: Config{Clock: c}, log: logs.NewJSON(&buf, "info"), stopLines: stopLimiter(), againLines: stopLimiter(), retryLines: stopLimiter()}
	const n = 4 * maxStopLines
	first := sched.Stop{Worker: "w1", Run: 1, Reason: sched.StopCancelled}
	for range n {
		o.logStopRequest(first)
	}
	again := first
	again.Earlier, again.Confirmed = 1, true
	o.logStopRequest(again)
	for try := range n {
		o.logStop(first, try+2, fmt.Errorf("no answer"))
	}
	o.logStop(first, n, nil)
	c.Advance(time.Second)
	o.logStopRequest(first)
	list := buf.lines(t, "stop requested")
	assert.Equal(t, len(list), maxStopLines+1)
	assert.Equal(t, list[maxStopLines].Skipped, n-maxStopLines)
	assert.Equal(t, len(buf.lines(t, "run goes on after a confirmed stop")), 1)
	assert.Equal(t, len(buf.lines(t, "stop")), maxStopLines+1, "the last try succeeded")
}
