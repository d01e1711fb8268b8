package sched

import (
	"sort"

	"lagooncourse/internal/cell/trust"
)

// Outcome is the result of a start.
type Outcome uint8

// Outcomes of a start.
const (
	StartUp       Outcome = iota // the worker has confirmed the run
	StartRefused                 // refused without effect
	StartNoTicket                // refused because of its ticket
	StartNoRoom                  // refused for lack of capacity
	StartOld                     // refused: a run with this or a higher number has ended there
	StartUnknown                 // no reply; the run may still start
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"up", "refused", "noTicket", "noRoom", "old", "unknown"}[o]
}

// Backoff of a worker after a refused start.
const (
	busyPauseMs = 500 // the worker is overloaded or unhealthy
	roomPauseMs = 200 // the worker has less free capacity than the planner computed
)

// Started handles the outcome of a start.
func (p *Planner) Started(s Start, o Outcome, now Instant) {
	w := p.workers[s.Worker]
	b := p.bookingOf(w, s)
	if b == nil {
		return
	}
	switch o {
	case StartUp:
		b.phase, b.sinceMs, b.endMs = phaseUp, now.Ms, now.Ms+b.runMs
		j := p.state.Jobs[s.Ref.Job]
		if j == nil || j.Progress.Verdict != Open {
			p.stop(w, s.Ref, s.Run)
			return
		}
		j.Progress.Begun = true
		return
	case StartUnknown:
		p.stop(w, s.Ref, s.Run)
		p.breakGang(s.Ref)
		return
	case StartNoTicket:
		if pt := p.parts[s.part]; pt != nil {
			g := pt.advice.grants[s.Worker]
			g.untilMs = 0
			pt.advice.grants[s.Worker] = g
		}
	case StartNoRoom:
		w.penalty = now.Ms + roomPauseMs
	case StartRefused:
		w.penalty = now.Ms + busyPauseMs
	}
	p.release(w, s.Ref)
	p.requeue(s.Ref, s.Run, now)
	p.breakGang(s.Ref)
}

// breakGang stops the placed members of a gang after a member has failed to
// start or has ended without success. It ignores tasks that are not in a gang.
func (p *Planner) breakGang(r Ref) {
	j := p.state.Jobs[r.Job]
	if j == nil || !j.Spec.Steps[r.Step].Gang {
		return
	}
	for i, t := range j.stepTasks(r.Occ, r.Step) {
		if t.State == Placed {
			p.stopTask(j, Ref{r.Job, r.Occ, r.Step, i})
		}
	}
}

// StopDenied is called when a worker has confirmed a stop. A list requested
// after now shows whether the run still exists.
func (p *Planner) StopDenied(s Stop, now Instant) {
	w := p.workers[s.Worker]
	if w == nil {
		return
	}
	if b := w.runs[s.Ref]; b != nil && b.run == s.Run && b.phase != phaseIntent {
		b.phase, b.sinceMs = phaseDenied, now.Ms
	}
}

// SetWorker adds or updates a worker from its registry entry.
func (p *Planner) SetWorker(info WorkerInfo, now Instant) {
	w := p.workers[info.ID]
	if w == nil {
		w = p.addWorker(info, now)
	}
	born := w.Born
	if born != 0 && info.Born > born {
		p.reborn(w, info.Born, now)
	}
	if info.Born < born {
		info.Born = born
	}
	w.WorkerInfo = info
	w.present = true
}

// DropWorker is called when the registry entry of a worker was deleted.
func (p *Planner) DropWorker(id string) {
	if w := p.workers[id]; w != nil {
		w.present = false
	}
}

// Targets returns the workers whose leases are to be renewed, by ID: those with
// a registry entry and those with allocations.
func (p *Planner) Targets() []WorkerInfo {
	var list []WorkerInfo
	for _, w := range p.workers {
		if w.Addr != "" && (w.present || len(w.runs) > 0) {
			list = append(list, w.WorkerInfo)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	return list
}

// Worker returns the registry entry of a worker that Targets would return.
func (p *Planner) Worker(id string) (WorkerInfo, bool) {
	w := p.workers[id]
	if w == nil || w.Addr == "" || !w.present && len(w.runs) == 0 {
		return WorkerInfo{}, false
	}
	return w.WorkerInfo, true
}

// Applied returns the number of the last end of a worker that was applied.
func (p *Planner) Applied(id string) int64 {
	if w := p.workers[id]; w != nil {
		return w.seen
	}
	return 0
}

// newIncarnation handles a restart of a worker, which has ended all its runs.
// Its clock has restarted too, so a renewal that was computed for the old clock
// may have got the longest lease that the worker grants.
func (p *Planner) reborn(w *Worker, born int64, now Instant) {
	w.sureMs = max(w.sureMs, now.Ms+p.longestBound())
	w.Born, w.seen, w.stored, w.listed = born, 0, 0, false
	p.loseAll(w, now, func(*booking) bool { return true })
}

// loseRuns releases and requeues the runs that match, and reports whether there
// were any.
func (p *Planner) loseAll(w *Worker, now Instant, match func(*booking) bool) (any bool) {
	for ref, b := range w.runs {
		if !match(b) {
			continue
		}
		p.release(w, ref)
		p.requeue(ref, b.run, now)
		p.breakGang(ref)
		any = true
	}
	return any
}

// Renewing is called before a call that renews the lease of a worker is sent.
func (p *Planner) Renewing(id string, now Instant) {
	if w := p.workers[id]; w != nil {
		w.sureMs = max(w.sureMs, now.Ms+p.leaseBound())
	}
}

// Unanswered is called when a call to a worker got no reply. It reports whether
// the worker was reachable before.
func (p *Planner) Unanswered(id string) (lostContact bool) {
	w := p.workers[id]
	if w == nil {
		return false
	}
	lostContact = w.contact
	w.contact = false
	return lostContact
}

// Tick requeues the runs of unreachable workers whose lease has expired. It
// returns the workers that had such runs.
func (p *Planner) Tick(now Instant) (lost []string) {
	for id, w := range p.workers {
		if w.contact || now.Ms < w.sureMs {
			continue
		}
		if p.loseAll(w, now, func(b *booking) bool { return b.phase != phaseIntent }) {
			lost = append(lost, id)
		}
		if !w.present && len(w.runs) == 0 {
			delete(p.workers, id)
		}
	}
	return lost
}

// Lists is the reply of a worker to a call that was sent at SentMs.
type Lists struct {
	SentMs   int64
	Born     int64 // incarnation of the worker
	Running  []Running
	Finished []Finished
}

// maxFinished is the maximum number of ends in one reply.
const maxFinished = 500

// Listed handles the lists of a worker.
func (p *Planner) Listed(id string, l Lists, now Instant) {
	w := p.workers[id]
	if w == nil {
		return
	}
	if l.Born != 0 && w.Born != 0 && l.Born != w.Born {
		if l.Born < w.Born {
			return
		}
		p.reborn(w, l.Born, now)
	}
	if l.Born != 0 {
		if w.Born == 0 {
			w.Born = l.Born
		}
		p.loseAll(w, now, func(b *booking) bool { return b.phase == phaseAdopted && p.bornOf(b) != 0 && p.bornOf(b) != l.Born })
	}
	if !w.listed {
		// The worker is fenced: a previous owner can't renew its lease again, but
		// its last renewal may have been computed for the clock of an earlier
		// incarnation.
		w.sureMs = now.Ms + p.longestBound()
	}
	w.listed, w.contact = true, true
	for _, f := range l.Finished {
		if f.N <= w.seen {
			continue
		}
		w.seen = f.N
		p.finished(w, f, now)
	}
	p.checkRunning(w, l, now)
}

// incarnationOf returns the worker incarnation on which a run was placed.
func (p *Planner) bornOf(b *booking) int64 {
	if j := p.state.Jobs[b.ref.Job]; j != nil {
		if t := j.task(b.ref); t != nil {
			return t.Born
		}
	}
	return 0
}

// checkRunning compares the runs that a worker lists with its allocations. Runs
// that are missing from the list are requeued if a stop was confirmed or they
// were adopted, and stopped if the worker had confirmed their start.
func (p *Planner) checkRunning(w *Worker, l Lists, now Instant) {
	there := make(map[Ref]bool, len(l.Running))
	for _, r := range l.Running {
		ref, ok := ParseRef(r.Task)
		if !ok {
			continue
		}
		there[ref] = true
		p.running(w, ref, r)
	}
	if len(l.Finished) >= maxFinished {
		return // the missing runs may have ends that do not fit into this reply
	}
	for ref, b := range w.runs {
		if there[ref] || b.sinceMs >= l.SentMs {
			continue
		}
		switch b.phase {
		case phaseAdopted, phaseDenied:
			p.release(w, ref)
			p.requeue(ref, b.run, now)
			p.breakGang(ref)
		case phaseUp:
			p.stop(w, ref, b.run)
		}
	}
}

// applyRunning handles one entry of the list of active runs. It stops runs that
// have no allocation or whose job has ended.
func (p *Planner) running(w *Worker, ref Ref, r Running) {
	b := w.runs[ref]
	if b == nil || b.run != r.Run {
		p.stops = append(p.stops, Stop{Worker: w.ID, Ref: ref, Run: r.Run})
		return
	}
	if b.phase == phaseAdopted {
		b.phase = phaseUp
	}
	j := p.state.Jobs[ref.Job]
	if j == nil || j.Progress.Verdict != Open {
		p.stop(w, ref, r.Run)
		return
	}
	j.Progress.Begun = true
	if t := j.task(ref); t != nil && t.Run == r.Run && r.Saved != "" {
		p.save(j, ref, r.Saved)
	}
}

// applyFinished handles the end of a run.
func (p *Planner) finished(w *Worker, f Finished, now Instant) {
	ref, ok := ParseRef(f.Task)
	if !ok {
		return
	}
	b := w.runs[ref]
	if b != nil && b.run <= f.Run {
		p.release(w, ref)
	}
	j := p.state.Jobs[ref.Job]
	if j == nil {
		return
	}
	if b != nil && b.run == f.Run && b.phase == phaseUp && f.How == EndDone && j.task(ref) != nil {
		p.learned.learnRun(j.Spec.Queue, w.ID, j.Spec.Steps[ref.Step], now.Ms-b.sinceMs)
	}
	t := j.task(ref)
	if t == nil {
		return
	}
	p.judge(w, ref, f, now)
	j.Progress.Begun = true
	if t.State == Done || t.Run > f.Run || t.State == Waiting && f.How != EndDone {
		return
	}
	p.dirty[ref.Job] = true
	if f.Saved != "" {
		p.save(j, ref, f.Saved)
	}
	p.settle(j, ref, t, f, now)
	p.refresh(j, now)
}

// recordTrust adds a success or failure to the trust record of a worker. Other
// ends do not indicate whether the worker is faulty.
func (p *Planner) judge(w *Worker, ref Ref, f Finished, now Instant) {
	if f.How == EndDone || f.How == EndFailed {
		p.trust.Note(trust.End{Worker: w.ID, Job: ref.Job, OK: f.How == EndDone, AtMs: now.Ms})
	}
}

// saveCheckpoint stores a checkpoint of a task. The checkpoint of one gang member
// is valid for the whole gang.
func (p *Planner) save(j *Job, ref Ref, saved string) {
	if !j.Spec.Steps[ref.Step].Gang {
		j.task(ref).Saved = saved
		return
	}
	tasks := j.stepTasks(ref.Occ, ref.Step)
	for i := range tasks {
		tasks[i].Saved = saved
	}
}

// settle updates the state of a task after the end of its latest run.
func (p *Planner) settle(j *Job, ref Ref, t *Task, f Finished, now Instant) {
	s := j.Spec.Steps[ref.Step]
	switch {
	case f.How == EndDone && s.Lasts:
		t.State = Waiting
	case f.How == EndDone && s.Gang:
		tasks := j.stepTasks(ref.Occ, ref.Step)
		for i := range tasks {
			tasks[i].State = Done
		}
	case f.How == EndDone:
		t.State = Done
	case f.How == EndFailed:
		p.fail(j, ref, t, f, now)
	default:
		t.State = Waiting
		p.breakGang(ref)
	}
}

// countFailure counts a failed run and fails the job when a task has used up its
// attempts. A gang counts one failure for each of its runs.
func (p *Planner) fail(j *Job, ref Ref, t *Task, f Finished, now Instant) {
	s := j.Spec.Steps[ref.Step]
	t.State = Waiting
	counted := t
	if s.Gang {
		counted = &j.stepTasks(ref.Occ, ref.Step)[0]
		pt := p.parts[partKey{ref.Job, ref.Occ, ref.Step}]
		if pt == nil || pt.failRun == f.Run {
			return
		}
		pt.failRun = f.Run
		p.breakGang(ref)
	}
	counted.Fails++
	attempts := p.view.Queues[j.Spec.Queue].Attempts
	if !s.Lasts && attempts > 0 && counted.Fails >= attempts && j.Progress.Verdict == Open {
		p.end(j, JobFailed, now)
	}
}
