package sched

import (
	"sort"

	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/trust"
)

// Start is an order to a worker to run a task. It may be sent once Release has
// returned it.
type Start struct {
	Worker  string
	Addr    string
	Born    int64 // incarnation of the worker
	Ref     Ref
	Run     int
	Payload string
	Saved   string // checkpoint to resume from
	Ticket  string // from the advice service
	part    partKey
}

// Plan is the result of one planning round.
type Plan struct {
	Starts []Start // to be passed to Release once their intents are stored
	Wants  []Want  // to be sent to the advice service

	desks   Desks
	full    bool              // no host is free for a request during this plan
	counted bool              // reserved has been computed
	kept    int               // number of workers reserved for gangs
	indexes map[string]*index // by worker pool
}

// maxPlanStarts limits the starts of one plan, so that their intents fit into one
// append.
const mostPlanned = 200

// maxPlanSteps limits the step instances that one plan tries to place, which
// bounds its cost for a long backlog.
const mostTried = 160

// Plan places waiting tasks in the order of their rank. A task for which no
// worker has capacity does not block the ones after it.
func (p *Planner) Plan(desks Desks, now Instant) Plan {
	plan := Plan{desks: desks}
	for _, pt := range p.first(mostTried, now) {
		if len(plan.Starts) >= mostPlanned {
			break
		}
		p.place(pt, &plan, now)
	}
	return plan
}

// occurrenceDue reports whether the occurrence of a step instance is due.
func (p *Planner) timely(pt *part, now Instant) bool {
	spec := pt.job.Spec
	return spec.Times == 0 || now.Wall >= spec.FirstMs+int64(pt.occ)*spec.EveryMs
}

// place starts as many tasks of a step instance as fit, and requests advice for
// the others.
func (p *Planner) place(pt *part, plan *Plan, now Instant) {
	var idle []int
	for i, t := range pt.tasks() {
		if t.State == Waiting {
			idle = append(idle, i)
		}
	}
	idle = p.withinLimit(pt, idle)
	if len(idle) == 0 {
		p.rest(pt, now)
		return
	}
	sites := p.sites(pt, len(idle), plan, now)
	if pt.spec().Gang && len(sites) < len(idle) {
		p.gather(pt, len(idle), plan, now)
		return
	}
	if len(sites) == 0 {
		p.ask(pt, len(idle), plan, now)
		return
	}
	run := 0
	if pt.spec().Gang {
		run = gangRun(pt.tasks())
	}
	for n, w := range sites {
		p.start(pt, idle[n], run, w, plan, now)
	}
	if len(sites) < len(idle) {
		p.ask(pt, len(idle)-len(sites), plan, now)
		return
	}
	p.refresh(pt.job, now)
}

// Backoff of step instances that could not be placed. It is short for queues of
// priority 0 while they can meet their deadline, since other steps take the
// capacity that they miss. It grows after some failed tries, to limit the CPU
// cost of a backlog.
const (
	urgentRestMs     = 8
	urgentLongRestMs = 16
	restMs           = 40
	longRestMs       = 160
	lostRestMs       = 250 // for rankExpired
	patientTries     = 4
)

// backOff delays the next try to place a step instance.
func (p *Planner) rest(pt *part, now Instant) {
	pt.vain++
	urgent, tired := p.queue(pt).Priority == 0 && pt.rank == rankInTime, pt.vain > patientTries
	ms := int64(restMs)
	switch {
	case urgent && tired:
		ms = urgentLongRestMs
	case urgent:
		ms = urgentRestMs
	case tired:
		ms = longRestMs
	}
	pt.restMs = max(pt.restMs, now.Ms+ms)
}

// requestAdvice backs off and, if a host is free, requests advice about workers
// for need more tasks of a step instance.
func (p *Planner) ask(pt *part, need int, plan *Plan, now Instant) {
	p.rest(pt, now)
	q := p.queue(pt)
	if q.Advice == nil || pt.advice.asked > 0 || now.Ms < pt.advice.askMs || !plan.idle() {
		return
	}
	ids := p.want(pt, need, p.indexOf(q.Service, plan, now), now)
	if len(ids) == 0 {
		return
	}
	if desk, ok := plan.take(q.Advice.cost(len(ids))); ok {
		p.question(pt, ids, desk, plan)
	}
}

// hostFree reports whether a host is free to send an advice request.
func (plan *Plan) idle() bool {
	plan.full = plan.full || !plan.desks.Idle()
	return !plan.full
}

// takeHost claims a host for an advice request.
func (plan *Plan) take(costMs float64) (desk string, ok bool) {
	if !plan.idle() {
		return "", false
	}
	return plan.desks.Take(costMs)
}

// addRequest adds an advice request that a claimed host is to send.
func (p *Planner) question(pt *part, ids []string, desk string, plan *Plan) {
	pt.advice.asked++
	plan.Wants = append(plan.Wants, Want{
		Part: pt.key(), Step: pt.name(), Workers: ids, CostMs: p.queue(pt).Advice.cost(len(ids)), Desk: desk,
	})
}

// withinLimit returns the idle tasks that fit into the team's quota: for a gang,
// all or none.
func (p *Planner) withinLimit(pt *part, idle []int) []int {
	spec := pt.job.Spec
	l, ok := p.view.Teams[spec.Team]
	if !ok {
		return idle
	}
	size := pt.spec().charge()
	room := unlimited(l.Max).Minus(p.used[spec.Team])
	n := slots(room, size, len(idle))
	if pt.spec().Gang && n < len(idle) {
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
type site struct {
	w     *Worker
	slots int
	far   bool  // not in the rack that holds the data
	kept  bool  // reserved for a gang of lower priority
	slow  int   // slowdown class of the worker
	left  int64 // free CPU after placing one task
}

// selectWorkers returns a worker for each of up to n tasks. It prefers workers
// near the data, then unreserved ones, then fast ones, and then those with the
// least free CPU, which leaves others free for wide tasks. A gang with SameRack
// is placed in one rack if any rack has the capacity.
func (p *Planner) sites(pt *part, n int, plan *Plan, now Instant) []*Worker {
	s := pt.spec()
	var list []site
	for _, w := range p.indexOf(p.queue(pt).Service, plan, now).byFree {
		if tooSmall(w, s.charge()) {
			break
		}
		if asked, ok := p.prospective(pt, w, now); !ok || !asked {
			continue
		}
		k := p.roomFor(pt, w, n, now)
		if _, ok := p.ticket(w, pt, now); !ok || k <= 0 {
			continue
		}
		list = append(list, site{
			w: w, slots: k, far: s.Near != "" && w.Rack != s.Near, kept: now.Ms < w.kept.untilMs && w.kept.part != pt.key(),
			slow: p.learned.slowness(w.ID), left: w.free().CPU - s.Size.CPU,
		})
	}
	sort.Slice(list, func(a, b int) bool {
		if list[a].far != list[b].far {
			return !list[a].far
		}
		if list[a].kept != list[b].kept {
			return !list[a].kept
		}
		if list[a].slow != list[b].slow {
			return list[a].slow < list[b].slow
		}
		if list[a].left != list[b].left {
			return list[a].left < list[b].left
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
func oneRack(list []site, n int) []site {
	sum := map[string]int{}
	for _, c := range list {
		sum[c.w.Rack] += c.slots
	}
	for _, c := range list {
		if sum[c.w.Rack] < n {
			continue
		}
		var same []site
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
func (p *Planner) roomFor(pt *part, w *Worker, most int, now Instant) int {
	if w.keptFrom(pt, p.queue(pt).Priority, now) {
		return 0
	}
	most = p.apart(pt, w, most)
	if p.trust.State(w.ID, now.Ms) == trust.Probing {
		most = min(most, p.probes(pt, w))
	}
	return max(slots(w.free(), pt.spec().charge(), most), 0)
}

// withinApart applies the step's limit of tasks on one worker to n.
func (p *Planner) apart(pt *part, w *Worker, most int) int {
	if limit := pt.spec().Apart; limit > 0 {
		return min(most, limit-p.onWorker(pt, w))
	}
	return most
}

// countOn returns how many tasks of a step instance are allocated on the worker.
func (p *Planner) onWorker(pt *part, w *Worker) int {
	n := 0
	for r := range w.runs {
		if r.Job == pt.job.Spec.ID && r.Occ == pt.occ && r.Step == pt.step {
			n++
		}
	}
	return n
}

// probeSlots returns how many more tasks may be placed on a worker in state
// Probing: one at a time, and none of a gang.
func (p *Planner) probes(pt *part, w *Worker) int {
	if pt.spec().Gang {
		return 0
	}
	return 1 - len(w.runs)
}

// start allocates capacity for a task on a worker and adds its start to the
// plan. A run of 0 stands for the task's next run number.
func (p *Planner) start(pt *part, index, run int, w *Worker, plan *Plan, now Instant) {
	t := &pt.tasks()[index]
	if run == 0 {
		run = t.Run + 1
	}
	pt.vain = 0
	t.State, t.Run, t.Worker, t.Born = Placed, run, w.ID, w.Born
	ref := pt.ref(index)
	runMs := p.learned.runMs(pt.job.Spec.Queue, pt.spec())
	p.book(w, &booking{
		ref: ref, run: run, size: pt.spec().charge(), team: pt.job.Spec.Team, phase: phaseIntent, sinceMs: now.Ms, runMs: runMs, endMs: now.Ms + runMs,
	})
	p.dirty[ref.Job] = true
	ticket, _ := p.ticket(w, pt, now)
	plan.Starts = append(plan.Starts, Start{
		Worker: w.ID, Addr: w.Addr, Born: w.Born, Ref: ref, Run: run, Payload: pt.job.Spec.Payload,
		Saved: t.Saved, Ticket: ticket, part: pt.key(),
	})
}

// Release returns the starts that may be sent now that their intents are
// stored. It withdraws those whose job has ended, or whose worker or ticket can
// no longer be used, and the other members of their gangs.
func (p *Planner) Release(starts []Start, now Instant) (send []Start) {
	bad := map[partKey]bool{}
	for _, s := range starts {
		if !p.sendable(s, now) {
			bad[s.part] = true
		}
	}
	for _, s := range starts {
		w := p.workers[s.Worker]
		b := p.bookingOf(w, s)
		if b == nil {
			continue
		}
		pt := p.parts[s.part]
		if bad[s.part] && (pt == nil || pt.spec().Gang || !p.sendable(s, now)) {
			p.release(w, s.Ref)
			p.requeue(s.Ref, s.Run, now)
			continue
		}
		b.phase, b.sinceMs = phaseSent, now.Ms
		send = append(send, s)
	}
	return send
}

// allocationOf returns the allocation of a start while its outcome is unknown, or
// nil.
func (p *Planner) bookingOf(w *Worker, s Start) *booking {
	if w == nil {
		return nil
	}
	b := w.runs[s.Ref]
	if b == nil || b.run != s.Run || b.phase != phaseIntent && b.phase != phaseSent {
		return nil
	}
	return b
}

// Due reports whether a released start should still be sent: its capacity is
// allocated on the same incarnation of the worker, and no stop was requested.
func (p *Planner) Due(s Start) bool {
	w := p.workers[s.Worker]
	b := p.bookingOf(w, s)
	return b != nil && b.phase == phaseSent && !b.stopping && w.Born == s.Born
}

// sendable reports whether a start can be sent: its step instance is open, its
// worker usable and its ticket valid.
func (p *Planner) sendable(s Start, now Instant) bool {
	pt, w := p.parts[s.part], p.workers[s.Worker]
	if pt == nil || w == nil || w.Born != s.Born || p.bookingOf(w, s) == nil || !p.usable(w, pt, now) {
		return false
	}
	_, ok := p.ticket(w, pt, now)
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
