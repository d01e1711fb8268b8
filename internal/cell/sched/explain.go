package sched

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
)

// WaitReport explains why a step instance is still waiting. The fields Unusable to
// NoTicket count the workers that are ruled out, by reason.
type WaitReport struct {
	Step       string
	WaitMs     int64
	Waiting    int   // waiting tasks
	Unusable   int   // unregistered, without an entry of their incarnation, not listed yet, unreachable, backing off, draining, quarantined, in a closed zone, of another pool or without the label
	NoAdvice   int   // no advice about them
	Denied     int   // denied by advice
	NoCapacity int   // no slot: too little free capacity, reserved for another gang, at MaxPerWorker, or limited by probing
	NoTicket   int   // allowed, but the ticket has expired
	Slots      int   // tasks that could start now
	OverLimit  bool  // the team's quota does not cover all waiting tasks
	Requested  bool  // an advice request has no reply yet
	Requests   int   // advice requests so far
	HostWaitMs int64 // for how long an advice request has waited for a free host; 0 if none waits
	Reserved   int   // workers reserved for this gang
	Suspects   int   // waiting tasks whose workers have crashed, and that are tried alone or wait for a verdict
	OnTrial    int   // workers that take no start while another task is tried alone there
}

// ExplainWaiting explains up to limit step instances that have been ready for
// longer than minWaitMs, the oldest first.
func (p *Planner) ExplainWaiting(minWaitMs int64, limit int, now Instant) []WaitReport {
	var list []*stepInstance
	for _, si := range p.waiting {
		if now.Ms-si.readyMs > minWaitMs && p.occurrenceDue(si, now) {
			list = append(list, si)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].readyMs < list[b].readyMs })
	var out []WaitReport
	for _, si := range list[:min(limit, len(list))] {
		out = append(out, p.explain(si, now))
	}
	return out
}

// explain counts, for a step instance, the workers by the reason that rules them
// out.
func (p *Planner) explain(si *stepInstance, now Instant) WaitReport {
	_, waiting := countTasks(si.tasks())
	e := WaitReport{Step: si.stepName(), WaitMs: now.Ms - si.readyMs, Waiting: waiting, Requested: si.advice.openRequests > 0, Requests: si.advice.requests}
	if si.advice.hostWaitMs > 0 {
		e.HostWaitMs = now.Ms - si.advice.hostWaitMs
	}
	e.OverLimit = len(p.withinLimit(si, make([]int, waiting))) < waiting
	for _, t := range si.tasks() {
		if t.State == Waiting && t.Crashes >= isolateCrashes {
			e.Suspects++
		}
	}
	needsAdvice := p.queue(si).Advice != nil
	for id, w := range p.workers {
		if w.reservedFor(si.key(), now) {
			e.Reserved++
		}
		if w.onTrial(si.key()) {
			e.OnTrial++
		}
		answer, advised := si.advice.answers[id]
		n := p.slotsFor(si, w, waiting, now)
		_, ticket := p.ticket(w, si, now)
		switch {
		case !p.usable(w, si, now):
			e.Unusable++
		case needsAdvice && !advised:
			e.NoAdvice++
		case needsAdvice && !answer.allowed:
			e.Denied++
		case n == 0:
			e.NoCapacity++
		case !ticket:
			e.NoTicket++
		default:
			e.Slots += n
		}
	}
	return e
}

// Isolation is the cost of the isolation of suspects; see crash.go.
type Isolation struct {
	Waiting     int   // waiting tasks with at least one counted crash
	OldestMs    int64 // longest time that a step instance with such a task has been ready
	HeldWorkers int   // available workers that take no start because of a trial or a hold for one
	HeldCPU     int64 // their unallocated CPU, in thousandths of a core
}

// Isolation returns what the isolation of suspects costs now. It visits all waiting
// tasks and all workers.
func (p *Planner) Isolation(now Instant) (c Isolation) {
	for _, si := range p.waiting {
		suspects := 0
		for _, t := range si.tasks() {
			if t.State == Waiting && t.Crashes > 0 {
				suspects++
			}
		}
		if suspects > 0 && p.occurrenceDue(si, now) {
			c.Waiting += suspects
			c.OldestMs = max(c.OldestMs, now.Ms-si.readyMs)
		}
	}
	for _, w := range p.workers {
		held := w.trial.Job != "" || w.reservation.trial && now.Ms < w.reservation.untilMs
		if held && p.available(w, now) {
			c.HeldWorkers++
			c.HeldCPU += max(w.free().CPU, 0)
		}
	}
	return c
}

// UnconfirmedRun is the run of a placed task that no worker is known to execute: its
// start or its stop is not confirmed, or its worker does not answer.
type UnconfirmedRun struct {
	Task      string
	Run       int
	Worker    string
	Phase     string // of its allocation
	WaitMs    int64  // time in that state
	Stopping  bool
	Reachable bool  // the worker answered the last call
	LeaseMs   int64 // time until the lease of the worker has expired for certain
	JobEnded  bool
}

// String returns the name of the phase in log lines.
func (ph phase) String() string {
	return [...]string{"intent", "sent", "running", "adopted", "stopConfirmed"}[ph]
}

// UnconfirmedRuns returns up to limit runs that have been unconfirmed for longer than
// minWaitMs, the oldest first. A run that outlasts its job is among them until it ends.
func (p *Planner) UnconfirmedRuns(minWaitMs int64, limit int, now Instant) []UnconfirmedRun {
	var list []UnconfirmedRun
	for _, w := range p.workers {
		for ref, a := range w.allocations {
			j := p.state.Jobs[ref.Job]
			ms := p.unconfirmedMs(w, a, now)
			if ms <= minWaitMs || j == nil {
				continue
			}
			list = append(list, UnconfirmedRun{
				Task: ref.String(), Run: a.run, Worker: w.ID, Phase: a.phase.String(), WaitMs: ms, Stopping: a.stopping,
				Reachable: w.reachable, LeaseMs: max(w.leaseExpiryMs-now.Ms, 0), JobEnded: j.Progress.Verdict != Open,
			})
		}
	}
	slices.SortFunc(list, func(x, y UnconfirmedRun) int {
		return cmp.Or(cmp.Compare(y.WaitMs, x.WaitMs), cmp.Compare(x.Task, y.Task))
	})
	return list[:min(limit, len(list))]
}

// unconfirmedMs returns for how long no worker has been known to execute the run of an
// allocation, 0 if one is.
func (p *Planner) unconfirmedMs(w *Worker, a *allocation, now Instant) int64 {
	switch {
	case a.phase != phaseRunning:
		return now.Ms - a.phaseStartMs
	case a.stopping:
		return now.Ms - a.stopMs
	case !w.reachable:
		renewedMs := w.leaseExpiryMs - p.leaseBound() // no later than its last answer
		return now.Ms - max(renewedMs, a.phaseStartMs)
	}
	return 0
}

// UnaddressedWorker is a worker that has runs and is sent no heartbeats, since no registry
// entry with its address is known.
type UnaddressedWorker struct {
	Worker  string
	Runs    int
	WaitMs  int64 // since the oldest of its runs was placed or adopted
	LeaseMs int64 // time until its lease has expired for certain
}

// UnaddressedWorkers returns the workers of that kind with a run older than minWaitMs, the
// oldest first.
func (p *Planner) UnaddressedWorkers(minWaitMs int64, now Instant) (list []UnaddressedWorker) {
	for _, w := range p.workers {
		if w.Addr != "" || len(w.allocations) == 0 {
			continue
		}
		u := UnaddressedWorker{Worker: w.ID, Runs: len(w.allocations), LeaseMs: max(w.leaseExpiryMs-now.Ms, 0)}
		for _, a := range w.allocations {
			u.WaitMs = max(u.WaitMs, now.Ms-a.phaseStartMs)
		}
		if u.WaitMs > minWaitMs {
			list = append(list, u)
		}
	}
	slices.SortFunc(list, func(x, y UnaddressedWorker) int {
		return cmp.Or(cmp.Compare(y.WaitMs, x.WaitMs), cmp.Compare(x.Worker, y.Worker))
	})
	return list
}

// SplitGang is a gang of which some members wait while others are placed. The waiting
// ones cannot start before the runs of the others have ended.
type SplitGang struct {
	Step    string
	WaitMs  int64 // since the state of its latest placed member changed
	Waiting int
	Placed  int
	Running int // confirmed runs that are not being stopped
}

// SplitGangs returns up to limit gangs that have been split for longer than minWaitMs,
// the oldest first.
func (p *Planner) SplitGangs(minWaitMs int64, limit int, now Instant) []SplitGang {
	var list []SplitGang
	for _, si := range p.steps {
		if !si.spec().Gang {
			continue
		}
		done, waiting := countTasks(si.tasks())
		if waiting == 0 || done+waiting == si.spec().Count {
			continue
		}
		g := SplitGang{Step: si.stepName(), Waiting: waiting}
		var changedMs int64
		for i, t := range si.tasks() {
			if t.State != Placed {
				continue
			}
			g.Placed++
			if a := p.allocationOfRun(si.ref(i), t); a != nil {
				changedMs = max(changedMs, a.phaseStartMs, a.stopMs)
				if a.phase == phaseRunning && !a.stopping {
					g.Running++
				}
			}
		}
		if g.WaitMs = now.Ms - changedMs; g.WaitMs > minWaitMs {
			list = append(list, g)
		}
	}
	slices.SortFunc(list, func(x, y SplitGang) int {
		return cmp.Or(cmp.Compare(y.WaitMs, x.WaitMs), cmp.Compare(x.Step, y.Step))
	})
	return list[:min(limit, len(list))]
}

// allocationOfRun returns the allocation of the latest run of a task, nil if it has
// none.
func (p *Planner) allocationOfRun(r Ref, t Task) *allocation {
	w := p.workers[t.Worker]
	if w == nil {
		return nil
	}
	if a := w.allocations[r]; a != nil && a.run == t.LastRun {
		return a
	}
	return nil
}

// LostTasks describes up to limit tasks of open jobs that the planner would never
// start: tasks that wait and whose step is ready but not in the list of waiting steps,
// and placed tasks whose run has no allocation. Any such task is a bug in the planner.
func (p *Planner) LostTasks(limit int) (list []string) {
	for key, si := range p.steps {
		done, waiting := countTasks(si.tasks())
		if waiting > 0 && p.waiting[key] != si && si.ready(waiting) {
			list = append(list, fmt.Sprintf("%s: %d tasks are ready, but the step is not waiting", si.stepName(), waiting))
		}
		if done+waiting == si.spec().Count {
			continue
		}
		for i, t := range si.tasks() {
			if t.State == Placed && p.allocationOfRun(si.ref(i), t) == nil {
				list = append(list, fmt.Sprintf("%s: run %d is placed on worker %q, which has no allocation for it", si.ref(i), t.LastRun, t.Worker))
			}
		}
		if len(list) >= limit {
			break
		}
	}
	sort.Strings(list)
	return list[:min(limit, len(list))]
}

// Describe returns the progress and the allocations of a job as text for
// debugging.
func (p *Planner) Describe(id string) string {
	j := p.state.Jobs[id]
	if j == nil {
		return "no such job"
	}
	out := fmt.Sprintf("job %s verdict %d cancel %v", id, j.Progress.Verdict, j.Progress.Cancel)
	for occ := range j.occurrences() {
		for step := range j.Spec.Steps {
			for i, t := range j.stepTasks(occ, step) {
				ref := Ref{id, occ, step, i}
				out += fmt.Sprintf("\n%s state %d run %d fails %d worker %q", ref, t.State, t.LastRun, t.Failures, t.Worker)
				if t.Crashes > 0 {
					out += fmt.Sprintf(" crashes %d alone %v", t.Crashes, t.Alone)
				}
				if w := p.workers[t.Worker]; w != nil && w.allocations[ref] != nil {
					a := w.allocations[ref]
					out += fmt.Sprintf(" allocated run %d phase %d stopping %v", a.run, a.phase, a.stopping)
				}
			}
		}
	}
	return out
}
