package sched

import (
	"sort"

	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/trust"
)

// Start is an order to a worker to run a task. It may be sent once Release has
// returned it.
type Start struct {
	Worker       string
	Addr         string
	Born         int64 // incarnation of the worker
	Ref          Ref
	Run          int
	Payload      string
	Saved        string // checkpoint to resume from
	Ticket       string // from the advice service
	stepInstance stepKey
}

// Plan is the result of one planning round.
type Plan struct {
	Starts []Start // to be passed to Release once their intents are stored
	Wants  []Want  // to be sent to the advice service

	hosts           Desks
	noHostFree      bool              // no host is free for a request during this plan
	reservedCounted bool              // reserved has been computed
	reserved        int               // number of workers reserved for gangs
	indexes         map[string]*index // by worker pool
}

// maxPlanStarts limits the starts of one plan, so that their intents fit into one
// append.
const maxPlanStarts = 200

// maxPlanSteps limits the step instances that one plan tries to place, which
// bounds its cost for a long backlog.
const maxPlanSteps = 160

// Plan places waiting tasks in the order of their rank. A task for which no
// worker has capacity does not block the ones after it.
func (p *Planner) Plan(hosts Desks, now Instant) Plan {
	plan := Plan{hosts: hosts}
	for _, si := range p.firstSteps(maxPlanSteps, now) {
		if len(plan.Starts) >= maxPlanStarts {
			break
		}
		p.place(si, &plan, now)
	}
	return plan
}

// occurrenceDue reports whether the occurrence of a step instance is due.
func (p *Planner) occurrenceDue(si *stepInstance, now Instant) bool {
	spec := si.job.Spec
	return spec.Times == 0 || now.Wall >= spec.FirstMs+int64(si.occ)*spec.EveryMs
}

// place starts as many tasks of a step instance as fit, and requests advice for
// the others.
func (p *Planner) place(si *stepInstance, plan *Plan, now Instant) {
	var idle []int
	for i, t := range si.tasks() {
		if t.State == Waiting {
			idle = append(idle, i)
		}
	}
	idle = p.withinLimit(si, idle)
	if len(idle) == 0 {
		p.retryLater(si, now)
		return
	}
	placements := p.placements(si, len(idle), plan, now)
	if si.spec().Gang && len(placements) < len(idle) {
		p.prepareGang(si, len(idle), plan, now)
		return
	}
	if len(placements) == 0 {
		p.requestAdvice(si, len(idle), plan, now)
		return
	}
	run := 0
	if si.spec().Gang {
		run = gangRun(si.tasks())
	}
	for n, w := range placements {
		p.start(si, idle[n], run, w, plan, now)
	}
	if len(placements) < len(idle) {
		p.requestAdvice(si, len(idle)-len(placements), plan, now)
		return
	}
	p.refresh(si.job, now)
}

// Retry delays of step instances that could not be placed. They are short in
// queues of priority 0 while the deadline can be met, since other steps take the
// capacity that is missed. They grow after some failed tries, to limit the CPU
// cost of a backlog.
const (
	urgentRetryMs     = 8
	urgentLongRetryMs = 16
	retryMs           = 40
	longRetryMs       = 160
	expiredRetryMs    = 250 // for rankExpired
	shortRetries      = 4   // failed tries before the long delays apply
)

// retryLater delays the next try to place a step instance.
func (p *Planner) retryLater(si *stepInstance, now Instant) {
	si.failedTries++
	urgent, longWait := p.queue(si).Priority == 0 && si.rank == rankOnTime, si.failedTries > shortRetries
	ms := int64(retryMs)
	switch {
	case urgent && longWait:
		ms = urgentLongRetryMs
	case urgent:
		ms = urgentRetryMs
	case longWait:
		ms = longRetryMs
	}
	si.retryMs = max(si.retryMs, now.Ms+ms)
}

// requestAdvice delays the next try and, if a host is free, requests advice about
// workers for need more tasks of a step instance.
func (p *Planner) requestAdvice(si *stepInstance, need int, plan *Plan, now Instant) {
	p.retryLater(si, now)
	q := p.queue(si)
	if q.Advice == nil || si.advice.requested > 0 || now.Ms < si.advice.nextRequestMs || !plan.hostFree() {
		return
	}
	ids := p.workersToAsk(si, need, p.indexOf(q.Service, plan, now), now)
	if len(ids) == 0 {
		return
	}
	if host, ok := plan.takeHost(q.Advice.cost(len(ids))); ok {
		p.addRequest(si, ids, host, plan)
	}
}

// hostFree reports whether a host is free to send an advice request.
func (plan *Plan) hostFree() bool {
	plan.noHostFree = plan.noHostFree || !plan.hosts.Idle()
	return !plan.noHostFree
}

// takeHost claims a host for an advice request.
func (plan *Plan) takeHost(costMs float64) (host string, ok bool) {
	if !plan.hostFree() {
		return "", false
	}
	return plan.hosts.Take(costMs)
}

// addRequest adds an advice request that a claimed host is to send.
func (p *Planner) addRequest(si *stepInstance, ids []string, host string, plan *Plan) {
	si.advice.requested++
	plan.Wants = append(plan.Wants, Want{
		StepKey: si.key(), Step: si.stepName(), Workers: ids, CostMs: p.queue(si).Advice.cost(len(ids)), Desk: host,
	})
}

// withinLimit returns the idle tasks that fit into the team's quota: for a gang,
// all or none.
func (p *Planner) withinLimit(si *stepInstance, idle []int) []int {
	spec := si.job.Spec
	l, ok := p.view.Teams[spec.Team]
	if !ok {
		return idle
	}
	size := si.spec().demand()
	free := unlimited(l.Max).Minus(p.used[spec.Team])
	n := slots(free, size, len(idle))
	if si.spec().Gang && n < len(idle) {
		return nil
	}
	return idle[:n]
}

// unlimited sets the dimensions without a limit to jobs.Unlimited.
func unlimited(s jobs.Size) jobs.Size {
	for _, d := range []*int64{&s.CPU, &s.Mem, &s.Accel} {
		if *d == 0 {
			*d = jobs.Unlimited
		}
	}
	return s
}

// gangRun returns the next run number of a gang. All members share it.
func gangRun(tasks []Task) int {
	run := 0
	for _, t := range tasks {
		run = max(run, t.Run)
	}
	return run + 1
}

// placement is a worker that has capacity for tasks of a step instance.
type placement struct {
	w        *Worker
	slots    int
	remote   bool  // not in the rack that holds the data
	reserved bool  // reserved for a gang of lower priority
	slowdown int   // slowdown class of the worker
	freeCPU  int64 // free CPU after placing one task
}

// placements returns a worker for each of up to n tasks. It prefers workers
// near the data, then unreserved ones, then fast ones, and then those with the
// least free CPU, which leaves others free for wide tasks. A gang with SameRack
// is placed in one rack if any rack has the capacity.
func (p *Planner) placements(si *stepInstance, n int, plan *Plan, now Instant) []*Worker {
	s := si.spec()
	var list []placement
	for _, w := range p.indexOf(p.queue(si).Service, plan, now).byFree {
		if lacksCPU(w, s.demand()) {
			break
		}
		if requested, ok := p.mayRun(si, w, now); !ok || !requested {
			continue
		}
		k := p.slotsFor(si, w, n, now)
		if _, ok := p.ticket(w, si, now); !ok || k <= 0 {
			continue
		}
		list = append(list, placement{
			w: w, slots: k, remote: s.Near != "" && w.Rack != s.Near, reserved: now.Ms < w.reserved.untilMs && w.reserved.stepInstance != si.key(),
			slowdown: p.estimator.slowdownClass(w.ID), freeCPU: w.free().CPU - s.Size.CPU,
		})
	}
	sort.Slice(list, func(a, b int) bool {
		if list[a].remote != list[b].remote {
			return !list[a].remote
		}
		if list[a].reserved != list[b].reserved {
			return !list[a].reserved
		}
		if list[a].slowdown != list[b].slowdown {
			return list[a].slowdown < list[b].slowdown
		}
		if list[a].freeCPU != list[b].freeCPU {
			return list[a].freeCPU < list[b].freeCPU
		}
		return list[a].w.ID < list[b].w.ID
	})
	if s.Gang && s.SameRack {
		list = oneRack(list, n)
	}
	var out []*Worker
	for _, c := range list {
		for range c.slots {
			if len(out) == n {
				return out
			}
			out = append(out, c.w)
		}
	}
	return out
}

// oneRack returns the placements in the first rack that has capacity for n
// tasks, or the whole list if no rack has.
func oneRack(list []placement, n int) []placement {
	sum := map[string]int{}
	for _, c := range list {
		sum[c.w.Rack] += c.slots
	}
	for _, c := range list {
		if sum[c.w.Rack] < n {
			continue
		}
		var same []placement
		for _, d := range list {
			if d.w.Rack == c.w.Rack {
				same = append(same, d)
			}
		}
		return same
	}
	return list
}

// slotsFor returns how many more tasks of a step instance the worker can take,
// up to limit.
func (p *Planner) slotsFor(si *stepInstance, w *Worker, limit int, now Instant) int {
	if w.reservedFrom(si, p.queue(si).Priority, now) {
		return 0
	}
	limit = p.withinApart(si, w, limit)
	if p.trust.State(w.ID, now.Ms) == trust.Probing {
		limit = min(limit, p.probeSlots(si, w))
	}
	return max(slots(w.free(), si.spec().demand(), limit), 0)
}

// withinApart applies the step's limit of tasks on one worker to n.
func (p *Planner) withinApart(si *stepInstance, w *Worker, n int) int {
	if limit := si.spec().Apart; limit > 0 {
		return min(n, limit-p.countOn(si, w))
	}
	return n
}

// countOn returns how many tasks of a step instance are allocated on the worker.
func (p *Planner) countOn(si *stepInstance, w *Worker) int {
	n := 0
	for r := range w.runs {
		if r.Job == si.job.Spec.ID && r.Occ == si.occ && r.Step == si.step {
			n++
		}
	}
	return n
}

// probeSlots returns how many more tasks may be placed on a worker in state
// Probing: one at a time, and none of a gang.
func (p *Planner) probeSlots(si *stepInstance, w *Worker) int {
	if si.spec().Gang {
		return 0
	}
	return 1 - len(w.runs)
}

// start allocates capacity for a task on a worker and adds its start to the
// plan. A run of 0 stands for the task's next run number.
func (p *Planner) start(si *stepInstance, index, run int, w *Worker, plan *Plan, now Instant) {
	t := &si.tasks()[index]
	if run == 0 {
		run = t.Run + 1
	}
	si.failedTries = 0
	t.State, t.Run, t.Worker, t.Born = Placed, run, w.ID, w.Born
	ref := si.ref(index)
	runMs := p.estimator.runMs(si.job.Spec.Queue, si.spec())
	p.allocate(w, &allocation{
		ref: ref, run: run, size: si.spec().demand(), team: si.job.Spec.Team, phase: phaseIntent, phaseStartMs: now.Ms, runMs: runMs, endMs: now.Ms + runMs,
	})
	p.dirty[ref.Job] = true
	ticket, _ := p.ticket(w, si, now)
	plan.Starts = append(plan.Starts, Start{
		Worker: w.ID, Addr: w.Addr, Born: w.Born, Ref: ref, Run: run, Payload: si.job.Spec.Payload,
		Saved: t.Saved, Ticket: ticket, stepInstance: si.key(),
	})
}

// Release returns the starts that may be sent now that their intents are
// stored. It withdraws those whose job has ended, or whose worker or ticket can
// no longer be used, and the other members of their gangs.
func (p *Planner) Release(starts []Start, now Instant) (send []Start) {
	rejected := map[stepKey]bool{}
	for _, s := range starts {
		if !p.sendable(s, now) {
			rejected[s.stepInstance] = true
		}
	}
	for _, s := range starts {
		w := p.workers[s.Worker]
		a := p.allocationOf(w, s)
		if a == nil {
			continue
		}
		si := p.steps[s.stepInstance]
		if rejected[s.stepInstance] && (si == nil || si.spec().Gang || !p.sendable(s, now)) {
			p.release(w, s.Ref)
			p.requeue(s.Ref, s.Run, now)
			continue
		}
		a.phase, a.phaseStartMs = phaseSent, now.Ms
		send = append(send, s)
	}
	return send
}

// allocationOf returns the allocation of a start while its outcome is unknown, or
// nil.
func (p *Planner) allocationOf(w *Worker, s Start) *allocation {
	if w == nil {
		return nil
	}
	a := w.runs[s.Ref]
	if a == nil || a.run != s.Run || a.phase != phaseIntent && a.phase != phaseSent {
		return nil
	}
	return a
}

// Due reports whether a released start should still be sent: its capacity is
// allocated on the same incarnation of the worker, and no stop was requested.
func (p *Planner) Due(s Start) bool {
	w := p.workers[s.Worker]
	a := p.allocationOf(w, s)
	return a != nil && a.phase == phaseSent && !a.stopping && w.Born == s.Born
}

// sendable reports whether a start can be sent: its step instance is open, its
// worker usable and its ticket valid.
func (p *Planner) sendable(s Start, now Instant) bool {
	si, w := p.steps[s.stepInstance], p.workers[s.Worker]
	if si == nil || w == nil || w.Born != s.Born || p.allocationOf(w, s) == nil || !p.usable(w, si, now) {
		return false
	}
	_, ok := p.ticket(w, si, now)
	return ok
}

// requeue returns a task to state Waiting after its run was settled without a
// result.
func (p *Planner) requeue(r Ref, run int, now Instant) {
	j := p.state.Jobs[r.Job]
	if j == nil {
		return
	}
	t := j.task(r)
	if t == nil || t.State != Placed || t.Run != run {
		return
	}
	t.State = Waiting
	p.dirty[r.Job] = true
	p.refresh(j, now)
}
