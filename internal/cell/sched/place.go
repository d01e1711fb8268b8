package sched

import (
	"sort"

	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/trust"
)

// Start is an order to run a task. It may be sent once the intent is stored.
type Start struct {
	Worker  string
	Addr    string
	Born    int64
	Ref     Ref
	Run     int
	Payload string
	Saved   string
	Ticket  string
	part    partKey
}

// Plan is what is to be done now.
type Plan struct {
	Starts []Start
	Wants  []Want

	desks   Desks
	full    bool              // no desk was free; none will be before the next plan
	counted bool              // kept has been counted
	kept    int               // workers kept for gangs
	indexes map[string]*index // by pool
}

// mostPlanned bounds the starts of one plan, so that one append carries them.
const mostPlanned = 200

// mostTried bounds the parts that one plan looks at, so that a long backlog
// costs no more than a short one.
const mostTried = 160

// Plan places waiting tasks in the order of their rank. Tasks that find no
// room do not hold up others.
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

// timely reports whether the part's occurrence is due.
func (p *Planner) timely(pt *part, now Instant) bool {
	spec := pt.job.Spec
	return spec.Times == 0 || now.Wall >= spec.FirstMs+int64(pt.occ)*spec.EveryMs
}

// place starts what fits of a part, and asks for the advice that the rest needs.
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

// Rests of parts that find no room. Those of urgent parts that can be in time are
// short, since room that they miss goes to others. Rests grow after some tries in
// vain, so that a backlog costs little processor time while nothing changes.
const (
	urgentRestMs     = 8
	urgentLongRestMs = 16
	restMs           = 40
	longRestMs       = 160
	lostRestMs       = 250 // of parts that are too late to be worth anything
	patientTries     = 4
)

// rest keeps a part from being looked at for a while.
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

// ask asks for the advice that a part needs. A part for which nothing can be
// asked now rests.
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

// idle reports whether a desk is free.
func (plan *Plan) idle() bool {
	plan.full = plan.full || !plan.desks.Idle()
	return !plan.full
}

// take reserves a desk for a question.
func (plan *Plan) take(costMs float64) (desk string, ok bool) {
	if !plan.idle() {
		return "", false
	}
	return plan.desks.Take(costMs)
}

// question asks about workers through a desk that has been taken.
func (p *Planner) question(pt *part, ids []string, desk string, plan *Plan) {
	pt.advice.asked++
	plan.Wants = append(plan.Wants, Want{
		Part: pt.key(), Step: pt.name(), Workers: ids, CostMs: p.queue(pt).Advice.cost(len(ids)), Desk: desk,
	})
}

// withinLimit cuts the tasks to what the team may have running in addition. A
// gang is cut to nothing.
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

// unlimited replaces the dimensions that have no limit.
func unlimited(s jobs.Size) jobs.Size {
	for _, d := range []*int64{&s.CPU, &s.Mem, &s.Accel} {
		if *d == 0 {
			*d = jobs.Unlimited
		}
	}
	return s
}

// gangRun returns the next run number of a gang, which its members share.
func gangRun(tasks []Task) int {
	run := 0
	for _, t := range tasks {
		run = max(run, t.Run)
	}
	return run + 1
}

// site is a worker that could take tasks of a part.
type site struct {
	w     *Worker
	slots int
	far   bool  // away from the data
	kept  bool  // for a gang that this part may overtake
	slow  int   // by its class of speed
	left  int64 // CPU left after one task
}

// sites chooses a worker for each of up to n tasks: near the data, not slower
// than others, and the fullest first, so that wide tasks find room elsewhere. A
// gang that runs slower on several racks gets one rack, if one has the room.
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

// oneRack keeps the sites of the first rack that has room for n tasks, or all
// of them when no rack has.
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

// roomFor returns how many more tasks of the part the worker can take, up to
// most.
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

// apart cuts a number of tasks to what the worker may have of the part.
func (p *Planner) apart(pt *part, w *Worker, most int) int {
	if limit := pt.spec().Apart; limit > 0 {
		return min(most, limit-p.onWorker(pt, w))
	}
	return most
}

// onWorker counts the part's tasks that are booked on the worker.
func (p *Planner) onWorker(pt *part, w *Worker) int {
	n := 0
	for r := range w.runs {
		if r.Job == pt.job.Spec.ID && r.Occ == pt.occ && r.Step == pt.step {
			n++
		}
	}
	return n
}

// probes returns how many tasks a distrusted worker may be tried with: one at a
// time, and none of a gang.
func (p *Planner) probes(pt *part, w *Worker) int {
	if pt.spec().Gang {
		return 0
	}
	return 1 - len(w.runs)
}

// start books a task on a worker.
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

// Release returns which of the starts may be sent now that their intents are
// stored. The others are undone: their worker, ticket or job has changed.
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

// Due reports whether a start that was released is still to be sent: its room
// is booked, on the same life of its worker, and nobody has asked for its end.
func (p *Planner) Due(s Start) bool {
	w := p.workers[s.Worker]
	b := p.bookingOf(w, s)
	return b != nil && b.phase == phaseSent && !b.stopping && w.Born == s.Born
}

func (p *Planner) sendable(s Start, now Instant) bool {
	pt, w := p.parts[s.part], p.workers[s.Worker]
	if pt == nil || w == nil || w.Born != s.Born || p.bookingOf(w, s) == nil || !p.usable(w, pt, now) {
		return false
	}
	_, ok := p.ticket(w, pt, now)
	return ok
}

// requeue lets a task wait again after its run has been settled without a
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
