package main

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/fakes"
)

// A disruption takes away what the scheduler needs to keep its promises in time.
type disruption struct {
	kind         disruptionKind
	name         string // worker or host
	fromMs, toMs int64  // toMs is math.MaxInt64 while it lasts
}

type disruptionKind int

const (
	ofStore disruptionKind = iota
	ofLink                 // between all hosts and a worker
	ofHost                 // it is away, suspended, or starting
	ofAll                  // no host works; derived from the others
)

// history is what workers and clients have seen, in milliseconds of one clock.
type history struct {
	hosts       []string
	workers     []string
	capacity    jobs.Size                      // of each worker
	maximum     map[string]jobs.Size           // by team; zero for none
	attempts    map[string]int                 // maxAttempts by queue
	allows      func(step, worker string) bool // nil if all workers may run all steps
	specs       map[string]sched.Spec
	runs        []fakes.RunRecord
	disruptions []disruption
	jobs        map[string]jobTimes
	deadly      map[string]bool // jobs with a task that crashes its workers, which may fail
	mostInUse   float64         // share of the service in use below which a job may not wait; 0 for all
	finishMs    int64           // finish_s after the end of the traffic; 0 if that is not checked
	nowMs       int64
}

// jobTimes are the times of a job; 0 if something has not happened.
type jobTimes struct {
	acceptedMs  int64 // the job was accepted
	cancelMs    int64 // the first cancelling was sent
	cancelledMs int64 // it was acknowledged
	completedMs int64 // the job was shown as completed
	failedMs    int64 // the job was shown as failed
}

// disrupted returns the times that interrupt a calm stretch of a worker: the store is
// disrupted or was so within soakContact, the links of the worker are, or no host works.
// Other losses of hosts do not: the platform asks only for a stable store and sound links.
func (h history) disrupted(worker string) (list []disruption) {
	for _, d := range h.disruptions {
		switch {
		case d.kind == ofStore || d.kind == ofAll:
			list = append(list, d.extended())
		case d.kind == ofLink && (d.name == worker || worker == ""):
			list = append(list, d)
		}
	}
	return list
}

// extended includes the time after a disruption until the platform takes what it struck
// for stable again.
func (d disruption) extended() disruption {
	if d.toMs < math.MaxInt64 {
		d.toMs += soakContact.Milliseconds()
	}
	return d
}

// withBlackouts adds the times when all hosts were disrupted.
func (h history) withBlackouts() history {
	all := slices.Clone(h.disruptions)
	var edges []int64
	for _, d := range h.disruptions {
		if d.kind == ofHost {
			edges = append(edges, d.fromMs, d.toMs)
		}
	}
	slices.Sort(edges)
	edges = slices.Compact(edges)
	for i := 1; i < len(edges); i++ {
		away := map[string]bool{}
		for _, d := range h.disruptions {
			if d.kind == ofHost && d.fromMs <= edges[i-1] && edges[i] <= d.toMs {
				away[d.name] = true
			}
		}
		if len(away) == len(h.hosts) {
			all = append(all, disruption{ofAll, "", edges[i-1], edges[i]})
		}
	}
	h.disruptions = all
	return h
}

// calmStretch returns the start of the first stretch of a length between two times that no
// disruption touches.
func calmStretch(list []disruption, fromMs, toMs, lengthMs int64) (startMs int64, ok bool) {
	slices.SortFunc(list, func(a, b disruption) int { return int(a.fromMs - b.fromMs) })
	for _, d := range list {
		if min(d.fromMs, toMs)-fromMs >= lengthMs {
			break
		}
		if d.toMs >= fromMs {
			fromMs = max(fromMs, d.toMs)
		}
	}
	return fromMs, toMs-fromMs >= lengthMs
}

// allInTouch reports whether no host, worker or store was disrupted within soakContact
// before a moment.
func (h history) allInTouch(ms int64) bool {
	return !slices.ContainsFunc(h.disruptions, func(d disruption) bool {
		return d.fromMs <= ms && ms <= d.extended().toMs
	})
}

// cancelledMs returns when a cancelling was acknowledged, or had waited for that for soakAck
// of a time in which all was in touch; 0 for neither.
func (h history) cancelledMs(j jobTimes) int64 {
	if j.cancelMs == 0 {
		return 0
	}
	var list []disruption
	for _, d := range h.disruptions {
		list = append(list, d.extended())
	}
	toMs := h.nowMs
	if j.cancelledMs > 0 {
		toMs = j.cancelledMs
	}
	if calmMs, ok := calmStretch(list, j.cancelMs, toMs, soakAck.Milliseconds()); ok {
		return calmMs + soakAck.Milliseconds()
	}
	return j.cancelledMs
}

// check returns the runs of cancelled jobs that outlast a calm stretch or start late, the
// starts of completed jobs, whether too many cancellings were acknowledged late, and the
// jobs that are lost.
func (h history) check() (findings []string) {
	h = h.withBlackouts()
	for _, r := range h.runs {
		id, _, _ := strings.Cut(r.Task, ".")
		j := h.jobs[id]
		if j.completedMs > 0 && r.StartMs > j.completedMs+soakCompleted.Milliseconds() && !r.Late && h.allInTouch(r.StartMs) {
			findings = append(findings, fmt.Sprintf("TWICE: %s run %d starts on %s at %d ms, but its job was shown as completed at %d ms", r.Task, r.Run, r.Worker, r.StartMs, j.completedMs))
		}
		cancelledMs := h.cancelledMs(j)
		if cancelledMs == 0 {
			continue
		}
		fromMs, toMs := cancelledMs, h.nowMs
		if r.EndMs > 0 {
			toMs = r.EndMs
		}
		switch {
		case r.Late:
			fromMs = max(fromMs, r.StartMs+soakContact.Milliseconds())
		case r.StartMs > fromMs+soakCancelled.Milliseconds():
			fromMs = r.StartMs
			if h.allInTouch(r.StartMs) {
				findings = append(findings, fmt.Sprintf("UNASKED: %s run %d starts on %s at %d ms, but its cancelling was acknowledged at %d ms", r.Task, r.Run, r.Worker, r.StartMs, cancelledMs))
			}
		}
		if calmMs, ok := calmStretch(h.disrupted(r.Worker), fromMs, toMs, soakCancel.Milliseconds()); ok {
			findings = append(findings, fmt.Sprintf("UNASKED: %s run %d is on %s from %d to %d ms, but its cancelling was acknowledged at %d ms and there was no disruption from %d ms on",
				r.Task, r.Run, r.Worker, r.StartMs, toMs, cancelledMs, calmMs))
		}
	}
	return slices.Concat(findings, h.checkAcks(), h.checkLost(), h.checkFinish())
}

// watched counts the runs of cancelled jobs that would be found if they had gone on.
func (h history) watched() (n int) {
	h = h.withBlackouts()
	for _, r := range h.runs {
		id, _, _ := strings.Cut(r.Task, ".")
		j := h.jobs[id]
		if j.cancelledMs == 0 || r.EndMs > 0 && r.EndMs < j.cancelledMs {
			continue
		}
		if _, ok := calmStretch(h.disrupted(r.Worker), max(j.cancelledMs, r.StartMs), r.StartMs+longMs, soakCancel.Milliseconds()); ok {
			n++
		}
	}
	return n
}

// checkAcks reports if more than a tenth of the cancellings, and at least three, had no
// answer after soakAck of a calm stretch.
func (h history) checkAcks() []string {
	var late []string
	cancelled := 0
	for id, j := range h.jobs {
		if j.cancelMs == 0 {
			continue
		}
		cancelled++
		toMs := h.nowMs
		if j.cancelledMs > 0 {
			toMs = j.cancelledMs
		}
		if _, ok := calmStretch(h.disrupted(""), j.cancelMs, toMs, soakAck.Milliseconds()); ok {
			late = append(late, id)
		}
	}
	if len(late) < 3 || 10*len(late) <= cancelled {
		return nil
	}
	return []string{fmt.Sprintf("ACKS: %d of %d cancellings were not acknowledged in time: %v", len(late), cancelled, late)}
}

// disrupt records the start of a disruption. The returned function records its end.
func (s *soak) disrupt(kind disruptionKind, name string) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.disruptions)
	s.disruptions = append(s.disruptions, disruption{kind, name, s.nowMs(), math.MaxInt64})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.disruptions[i].toMs == math.MaxInt64 {
			s.disruptions[i].toMs = s.nowMs()
		}
	}
}

// history returns what was seen so far.
func (s *soak) history() history {
	runs := s.fleet.History()
	s.mu.Lock()
	defer s.mu.Unlock()
	h := history{runs: runs, disruptions: slices.Clone(s.disruptions), jobs: map[string]jobTimes{}, nowMs: s.nowMs(),
		workers: s.fleet.IDs(), capacity: s.cfg.fleet.Capacity, specs: map[string]sched.Spec{},
		maximum: map[string]jobs.Size{}, attempts: map[string]int{}, allows: s.fleet.Allows}
	for _, q := range s.cfg.queues {
		h.attempts[q.name] = q.attempts
	}
	for _, t := range s.cfg.teams {
		h.maximum[t.name] = t.maximum
	}
	for _, o := range s.fleet.Outages() {
		h.disruptions = append(h.disruptions, disruption{ofLink, o.Worker, o.FromMs, o.ToMs})
	}
	for _, host := range s.hosts {
		h.hosts = append(h.hosts, host.ip)
	}
	for _, j := range s.jobs {
		h.specs[j.id] = j.spec
		h.jobs[j.id] = jobTimes{s.ms(j.accepted), s.ms(j.cancelling), s.ms(j.cancelled), s.ms(j.completed), s.ms(j.failed)}
	}
	return h
}

// ms returns a time on the clock of the fleet, 0 for none.
func (s *soak) ms(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.Sub(s.started).Milliseconds() + 1
}

// TestSoakCheck feeds recorded histories to the checks of the soak: runs of cancelled jobs
// are found while faults go on, and only after a calm stretch.
func TestSoakCheck(t *testing.T) {
	const task, job = "a.0.0.0", "a"
	run := fakes.RunRecord{Task: task, Run: 1, Worker: "w1", StartMs: 1_000, EndMs: 15_000}
	late := run
	late.StartMs, late.Late = 8_000, true
	stopped := run
	stopped.EndMs = 5_800
	restarted := run
	restarted.StartMs, restarted.EndMs = 5_200, 5_300
	onHosts := func(fromMs, toMs int64, hosts ...string) (list []disruption) {
		for _, h := range hosts {
			list = append(list, disruption{ofHost, h, fromMs, toMs})
		}
		return list
	}
	for name, c := range map[string]struct {
		run         fakes.RunRecord
		times       jobTimes
		disruptions []disruption
		nowMs       int64
		want        string // "" if nothing is to be found
	}{
		"at work 5 s after the cancelling":           {run: run, want: "from 2000 ms on"},
		"still at work":                              {run: fakes.RunRecord{Task: task, StartMs: 1_000}, nowMs: 7_000, want: "UNASKED"},
		"stopped in time":                            {run: stopped},
		"cancelling never acknowledged":              {run: run, times: jobTimes{cancelMs: 2_000}, want: "from 6000 ms on"},
		"cancelling never acknowledged, store away":  {run: run, times: jobTimes{cancelMs: 2_000}, disruptions: []disruption{{ofStore, "", 5_000, 6_000}}},
		"not cancelled":                              {run: run, times: jobTimes{completedMs: 15_000}},
		"store away all the time":                    {run: run, disruptions: []disruption{{ofStore, "", 3_000, 9_000}}},
		"store stable only just before the end":      {run: run, disruptions: []disruption{{ofStore, "", 3_000, 8_200}}},
		"store stable for long enough":               {run: run, disruptions: []disruption{{ofStore, "", 3_000, 8_000}}, want: "from 11000 ms on"},
		"link cut all the time":                      {run: run, disruptions: []disruption{{ofLink, "w1", 3_000, 12_000}}},
		"link cut for ever":                          {run: run, disruptions: []disruption{{ofLink, "w1", 3_000, math.MaxInt64}}},
		"link back":                                  {run: run, disruptions: []disruption{{ofLink, "w1", 3_000, 11_000}}, want: "from 11000 ms on"},
		"link of another worker cut":                 {run: run, disruptions: []disruption{{ofLink, "w2", 3_000, 12_000}}, want: "from 2000 ms on"},
		"calm before and after, each too short":      {run: run, disruptions: []disruption{{ofLink, "w1", 5_500, 12_000}}},
		"cuts that overlap":                          {run: run, disruptions: []disruption{{ofLink, "w1", 7_000, 12_000}, {ofLink, "w1", 3_000, 8_000}}},
		"short cut inside a long one":                {run: run, disruptions: []disruption{{ofLink, "w1", 3_000, 12_000}, {ofLink, "w1", 4_000, 5_000}}},
		"one host lost":                              {run: run, disruptions: onHosts(3_000, 12_000, "h1"), want: "from 2000 ms on"},
		"all hosts lost":                             {run: run, disruptions: onHosts(3_000, 9_000, "h1", "h2")},
		"all hosts lost, not at once":                {run: run, disruptions: append(onHosts(3_000, 6_000, "h1"), onHosts(6_500, 9_000, "h2")...), want: "UNASKED"},
		"order carried out late, gone soon":          {run: fakes.RunRecord{Task: task, Worker: "w1", StartMs: 8_500, EndMs: 15_000, Late: true}},
		"order carried out late":                     {run: late, want: "from 11000 ms on"},
		"start soon after the cancelling":            {run: fakes.RunRecord{Task: task, Worker: "w1", StartMs: 4_500, EndMs: 6_000}, want: "from 2000 ms on"},
		"start after the cancelling":                 {run: restarted, want: "starts on w1"},
		"start after the cancelling, host just back": {run: restarted, disruptions: onHosts(1_000, 3_000, "h1")},
		"start after it was shown as completed":      {run: restarted, times: jobTimes{completedMs: 4_000}, want: "TWICE"},
		"start just after it was shown so":           {run: restarted, times: jobTimes{completedMs: 4_500}},
	} {
		t.Run(name, func(t *testing.T) {
			if c.times == (jobTimes{}) {
				c.times = jobTimes{cancelMs: 1_900, cancelledMs: 2_000}
			}
			h := history{hosts: []string{"h1", "h2"}, runs: []fakes.RunRecord{c.run}, disruptions: c.disruptions, jobs: map[string]jobTimes{job: c.times}, nowMs: max(c.nowMs, 20_000)}
			if c.nowMs > 0 {
				h.nowMs = c.nowMs
			}
			findings := h.check()
			if c.want == "" {
				assert.Equal(t, len(findings), 0, "%v", findings)
				return
			}
			assert.Equal(t, len(findings), 1, "%v", findings)
			assert.Check(t, strings.Contains(findings[0], c.want), findings[0])
		})
	}
}

// TestSoakCheckAcks feeds cancellings without an answer to the check.
func TestSoakCheckAcks(t *testing.T) {
	h := history{hosts: []string{"h1"}, jobs: map[string]jobTimes{}, nowMs: 20_000}
	for i := range 20 {
		h.jobs[fmt.Sprint(i)] = jobTimes{cancelMs: 1_000, cancelledMs: 1_100}
	}
	h.jobs["x"], h.jobs["y"] = jobTimes{cancelMs: 1_000}, jobTimes{cancelMs: 1_000, cancelledMs: 5_000}
	assert.Equal(t, len(h.check()), 0, "two are too few")
	h.jobs["z"] = jobTimes{cancelMs: 1_000, cancelledMs: 9_000}
	assert.Equal(t, len(h.check()), 1)
	h.disruptions = []disruption{{ofStore, "", 3_000, 17_000}}
	assert.Equal(t, len(h.check()), 0)
}

// TestSoakFinds plays workers that confirm stops and go on: the soak has to find each run
// of a cancelled job.
func TestSoakFinds(t *testing.T) {
	s := newSoak(t, *soakFirst)
	defer s.killAll()
	s.fleet.SetFaults(fakes.SimFleetFaults{Deaf: 1})
	time.Sleep(soakContact)
	s.cancelAll(s.burst(), nil)
	s.faults.Wait()
	time.Sleep(soakCancel + soakCancel/10)
	running := s.fleet.RunningTasks()
	close(s.stop)
	findings := s.history().check()
	assert.Assert(t, len(running) > 0)
	assert.Equal(t, len(findings), len(running), "%v, %v", running, findings)
	for _, f := range findings {
		assert.Check(t, strings.HasPrefix(f, "UNASKED: "), f)
	}
}
