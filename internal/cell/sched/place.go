package sched

import (
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/trust"
)

// Start is an order to a worker to run a task. It may be sent once ReleaseStarts has
// returned it.
type Start struct {
	Worker      string
	Addr        string
	Incarnation int64 // incarnation of the worker
	Ref         Ref
	Run         int
	Payload     string
	Checkpoint  string // checkpoint to resume from
	Ticket      string // from the advice service
	stepKey     stepKey
	serial      int64 // of its allocation, never used again: a job that was withdrawn and accepted anew has the same run numbers
}

// Plan is the result of one planning round.
type Plan struct {
	Starts   []Start         // to be passed to ReleaseStarts once their intents are stored
	Requests []AdviceRequest // to be sent to the advice service

	hosts           AdviceHosts
	noHostFree      bool // hostFree has found no free host in this plan
	reservedCounted bool // the number of reserved workers has been computed
	reservedWorkers int  // number of workers reserved for gangs
	indexed         bool // the indexes are up to date
}

// Plan places no further step instance after maxPlanStarts starts, which limits
// the size of the records with their intents.
const maxPlanStarts = 200

// maxPlanSteps is the number of step instances that one plan tries to place, without
// overdue ones. It limits the CPU cost of a plan when the backlog is long.
const maxPlanSteps = 160

// Plan places waiting tasks in the order of rankedStep.before. A task for which
// no worker has capacity does not block the ones after it.
func (p *Planner) Plan(hosts AdviceHosts, now Instant) Plan {
	plan := Plan{hosts: hosts}
	p.plannedCommon = p.lossesCommon(now)
	p.interference.update(now)
	if p.policy.Unread {
		return plan
	}
	p.serveLongestWaits(&plan, now)
	for _, si := range p.firstSteps(maxPlanSteps, now) {
		if len(plan.Starts) >= maxPlanStarts {
			break
		}
		if si.job.Progress.Verdict == Open && !p.setAside[si.job.Spec.ID] { // the job may have failed in this plan
			p.place(si, &plan, now)
		}
	}
	return plan
}

// occurrenceDue reports whether the occurrence of a step instance is due.
func (p *Planner) occurrenceDue(si *stepInstance, now Instant) bool {
	spec := si.job.Spec
	return spec.Occurrences == 0 || now.WallMs >= spec.FirstMs+int64(si.occ)*spec.IntervalMs
}

// place starts as many tasks of a step instance as fit, and requests advice for
// the others. A gang is started as a whole or not at all.
func (p *Planner) place(si *stepInstance, plan *Plan, now Instant) {
	waiting, suspects := p.splitSuspects(si, now)
	if len(suspects) > 0 {
		p.placeSuspects(si, suspects, plan, now)
		if len(waiting) == 0 {
			return
		}
	}
	if p.failExhausted(si, waiting, now) {
		return
	}
	waiting = p.withinLimit(si, waiting)
	if len(waiting) == 0 {
		p.retryLater(si, now)
		return
	}
	chosen := p.chooseWorkers(si, len(waiting), plan, now)
	if si.spec().Gang && len(chosen) < len(waiting) {
		p.prepareGang(si, len(waiting), plan, now)
		return
	}
	if len(chosen) == 0 {
		p.requestAdvice(si, len(waiting), plan, now)
		return
	}
	run := 0
	if si.spec().Gang {
		run = gangRun(si.tasks())
	}
	for i, w := range chosen {
		p.start(si, waiting[i], run, w, plan, now)
	}
	if len(chosen) < len(waiting) {
		p.requestAdvice(si, len(waiting)-len(chosen), plan, now)
		return
	}
	p.updateJob(si.job, now) // updates p.waiting
}

// Delays before the next try to place a step instance. They are shorter in queues
// of priority 0 while the deadline can be met, because other steps would take the
// capacity that becomes free in the meantime. After shortRetryCount failed tries
// they are longer, which limits the CPU cost of a backlog.
const (
	urgentRetryDelayMs     = 8
	urgentLongRetryDelayMs = 16
	retryDelayMs           = 40
	longRetryDelayMs       = 160
	expiredRetryDelayMs    = 250 // for rankExpired
	shortRetryCount        = 4   // number of failed tries before the long delays apply
)

// retryLater delays the next try to place a step instance.
func (p *Planner) retryLater(si *stepInstance, now Instant) {
	si.failedTries++
	highPriority, manyTries := p.queue(si).Priority == 0 && si.rank == rankOnTime, si.failedTries > shortRetryCount
	ms := int64(retryDelayMs)
	switch {
	case highPriority && manyTries:
		ms = urgentLongRetryDelayMs
	case highPriority:
		ms = urgentRetryDelayMs
	case manyTries:
		ms = longRetryDelayMs
	}
	si.retryAtMs = max(si.retryAtMs, now.Ms+ms)
}

// requestAdvice delays the next try and, if a host is free, requests advice about
// workers for the given number of further tasks.
func (p *Planner) requestAdvice(si *stepInstance, need int, plan *Plan, now Instant) {
	p.retryLater(si, now)
	q := p.queue(si)
	if q.Advice == nil || si.advice.openRequests > 0 || now.Ms < si.advice.nextRequestMs {
		return
	}
	if !plan.hostFree() {
		si.advice.noteHost(false, now)
		return
	}
	ids := p.workersToAsk(si, need, plan, now)
	if len(ids) == 0 {
		return
	}
	host, ok := plan.takeHost(q.Advice.responseMs(len(ids)))
	si.advice.noteHost(ok, now)
	if ok {
		p.addRequest(si, ids, host, plan)
	}
}

// hostFree reports whether a host is free to send an advice request. Once none
// was free, it returns false for the rest of the plan.
func (plan *Plan) hostFree() bool {
	plan.noHostFree = plan.noHostFree || !plan.hosts.Available()
	return !plan.noHostFree
}

// takeHost reserves a host for an advice request that takes about responseMs.
func (plan *Plan) takeHost(responseMs float64) (host string, ok bool) {
	if !plan.hostFree() {
		return "", false
	}
	return plan.hosts.Acquire(responseMs)
}

// addRequest adds an advice request that the given host sends.
func (p *Planner) addRequest(si *stepInstance, ids []string, host string, plan *Plan) {
	si.advice.openRequests++
	si.advice.requests++
	plan.Requests = append(plan.Requests, AdviceRequest{
		StepKey: si.key(), Step: si.stepName(), Workers: ids, ResponseMs: p.queue(si).Advice.responseMs(len(ids)), Host: host,
	})
}

// withinLimit returns the waiting tasks that fit into the team's quota: for a gang,
// all or none.
func (p *Planner) withinLimit(si *stepInstance, waiting []int) []int {
	spec := si.job.Spec
	l, ok := p.policy.Teams[spec.Team]
	if !ok {
		return waiting
	}
	size := si.spec().demand()
	free := zeroToUnlimited(l.Max).Minus(p.used[spec.Team])
	n := slots(free, size, len(waiting))
	if si.spec().Gang && n < len(waiting) {
		return nil
	}
	return waiting[:n]
}

// zeroToUnlimited replaces dimensions that are 0 by jobs.Unlimited.
func zeroToUnlimited(s jobs.Size) jobs.Size {
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
		run = max(run, t.LastRun)
	}
	return run + 1
}

// slotsFor returns how many more tasks of a step instance the worker can take,
// up to limit.
func (p *Planner) slotsFor(si *stepInstance, w *Worker, limit int, now Instant) int {
	if p.keptByTrial(si, w, now) || w.trial.Job != "" && p.mayIsolate(si, 0, now) {
		return 0
	}
	return p.slotsWithin(si, w, limit, now)
}

// slotsWithin is slotsFor for a worker without a trial.
func (p *Planner) slotsWithin(si *stepInstance, w *Worker, limit int, now Instant) int {
	if w.reservedForOther(si, p.queue(si).Priority, now) {
		return 0
	}
	limit = p.withinWorkerLimit(si, w, limit)
	if p.trust.State(w.ID, now.Ms) == trust.Probing {
		limit = p.probeSlots(si, w, limit, now)
	}
	return max(slots(w.free(), si.spec().demand(), limit), 0)
}

// withinWorkerLimit applies the step's limit of tasks on one worker to n.
func (p *Planner) withinWorkerLimit(si *stepInstance, w *Worker, n int) int {
	if limit := si.spec().MaxPerWorker; limit > 0 {
		return min(n, limit-p.countOn(si, w))
	}
	return n
}

// countOn returns how many tasks of a step instance are allocated on the worker.
func (p *Planner) countOn(si *stepInstance, w *Worker) int {
	n := 0
	for r := range w.allocations {
		if r.Job == si.job.Spec.ID && r.Occ == si.occ && r.Step == si.step {
			n++
		}
	}
	return n
}

// maxQuarantineMs is the longest time until a worker is probed again. It is shorter than
// the 14 s after the end of the traffic at which the platform expects each job to run: a
// worker may be the only one that suits a job.
const maxQuarantineMs = 10_000

// lastingProbeMs is the run time after which a run no longer keeps a worker on probation
// from its next probe. Its end may be minutes away, or never come.
const lastingProbeMs = 5_000

// probeSlots returns how many more tasks may be placed on a worker in state Probing, up to
// limit: one, or the members of one gang, at a time or each lastingProbeMs. A gang has to be
// a possible probe, since it may be all that suits the worker; placementOptions lets it
// prefer others.
func (p *Planner) probeSlots(si *stepInstance, w *Worker, limit int, now Instant) int {
	for _, a := range w.allocations {
		if a.phase != phaseRunning || now.Ms-a.phaseStartMs < lastingProbeMs {
			return 0
		}
	}
	if si.spec().Gang {
		return limit
	}
	return min(limit, 1)
}

// isLongRunning reports whether a task is long-running.
func (p *Planner) isLongRunning(r Ref) bool {
	j := p.state.Jobs[r.Job]
	return j != nil && j.task(r) != nil && j.Spec.Steps[r.Step].LongRunning
}

// start allocates capacity for a task on a worker and adds its start to the
// plan. A run of 0 stands for the task's next run number.
func (p *Planner) start(si *stepInstance, index, run int, w *Worker, plan *Plan, now Instant) {
	t := &si.tasks()[index]
	if run == 0 {
		run = t.LastRun + 1
	}
	si.failedTries, si.advice.hostWaitMs = 0, 0
	if stepCrashes(si.tasks()) < isolateCrashes { // other suspects of the step may still wait
		si.isolatedMs = 0
	}
	t.State, t.LastRun, t.Worker, t.Incarnation = Placed, run, w.ID, w.Incarnation
	ref := si.ref(index)
	alone := p.needsTrial(si, t) && !p.plannedCommon && w.quiet(si)
	runMs := p.estimator.runMs(si.job.queue.stats, si.spec())
	p.lastSerial++
	p.allocate(w, &allocation{
		ref: ref, run: run, serial: p.lastSerial, size: si.spec().demand(), team: si.job.Spec.Team, phase: phaseIntent, phaseStartMs: now.Ms, runMs: runMs, endMs: now.Ms + runMs,
		resumed: t.Checkpoint != "",
	})
	t.beginTrial(ref, w, alone)
	p.dirty[ref.Job] = true
	ticket, _ := p.ticket(w, si, now)
	plan.Starts = append(plan.Starts, Start{
		Worker: w.ID, Addr: w.Addr, Incarnation: w.Incarnation, Ref: ref, Run: run, Payload: si.job.Spec.Payload,
		Checkpoint: t.Checkpoint, Ticket: ticket, stepKey: si.key(), serial: p.lastSerial,
	})
}

// ReleaseStarts returns the starts that may be sent now that their intents are
// stored. It withdraws those whose job has ended, whose worker or ticket can no
// longer be used, or whose worker has shrunk, and the other members of their gangs.
func (p *Planner) ReleaseStarts(starts []Start, now Instant) (send []Start) {
	rejected := map[stepKey]bool{}
	sendable := make([]bool, len(starts))
	room := p.roomOfShrunk(starts)
	for i, s := range starts {
		if sendable[i] = p.sendable(s, now) && takeRoom(room, s.Worker, p.allocationOf(p.workers[s.Worker], s)); !sendable[i] {
			rejected[s.stepKey] = true
		}
	}
	for i, s := range starts {
		w := p.workers[s.Worker]
		a := p.allocationOf(w, s)
		if a == nil {
			continue
		}
		si := p.steps[s.stepKey]
		// A gang is withdrawn as a whole; of other steps, only the starts that can't be sent.
		if rejected[s.stepKey] && (si == nil || si.spec().Gang || !sendable[i]) {
			p.release(w, s.Ref)
			p.withdrawTrial(s.Ref, s.Run)
			p.requeue(s.Ref, s.Run, now)
			continue
		}
		a.phase, a.phaseStartMs = phaseSent, now.Ms
		send = append(send, s)
	}
	return send
}

// roomOfShrunk returns, for those workers of planned starts that are over their
// capacity, the capacity that is left for these starts.
func (p *Planner) roomOfShrunk(starts []Start) map[string]jobs.Size {
	room := map[string]jobs.Size{}
	for _, s := range starts {
		w := p.workers[s.Worker]
		if w == nil || w.allocated.FitsIn(w.Capacity) {
			continue
		}
		if _, ok := room[w.ID]; !ok {
			room[w.ID] = w.freeForUnsent()
		}
	}
	return room
}

// takeRoom takes the capacity for an allocation on a worker, and reports whether it was
// left. Workers that are not in room have the capacity.
func takeRoom(room map[string]jobs.Size, worker string, a *allocation) bool {
	left, limited := room[worker]
	if !limited {
		return true
	}
	if !a.size.FitsIn(left) {
		return false
	}
	room[worker] = left.Minus(a.size)
	return true
}

// allocationOf returns the allocation of a start in phaseIntent or phaseSent, or
// nil.
func (p *Planner) allocationOf(w *Worker, s Start) *allocation {
	if w == nil {
		return nil
	}
	a := w.allocations[s.Ref]
	if a == nil || a.run != s.Run || a.serial != s.serial || a.phase != phaseIntent && a.phase != phaseSent {
		return nil
	}
	return a
}

// ShouldSend reports whether a released start should be sent, or sent again: its
// capacity is allocated on the same incarnation of the worker, which still has it, and
// no stop was requested. If so, the start counts as sent.
func (p *Planner) ShouldSend(s Start) bool {
	w := p.workers[s.Worker]
	a := p.allocationOf(w, s)
	if a == nil || a.phase != phaseSent || a.stopping || w.Incarnation != s.Incarnation {
		return false
	}
	if !w.allocated.FitsIn(w.Capacity) {
		room := w.freeForUnsent()
		if a.sent {
			room = room.Plus(a.size)
		}
		if !a.size.FitsIn(room) {
			return false
		}
	}
	a.sent = true
	return true
}

// sendable reports whether a start can be sent: its step instance is open, its
// worker usable and its ticket valid.
func (p *Planner) sendable(s Start, now Instant) bool {
	si, w := p.steps[s.stepKey], p.workers[s.Worker]
	if si == nil || w == nil || p.setAside[s.Ref.Job] || w.Incarnation != s.Incarnation || p.allocationOf(w, s) == nil || !p.usable(w, si, now) {
		return false
	}
	_, ok := p.ticket(w, si, now)
	return ok
}

// requeue returns a placed task to state Waiting after the allocation of its run
// was released without a reported end.
func (p *Planner) requeue(r Ref, run int, now Instant) {
	j := p.state.Jobs[r.Job]
	if j == nil {
		return
	}
	t := j.task(r)
	if t == nil || t.State != Placed || t.LastRun != run {
		return
	}
	t.State = Waiting
	p.dirty[r.Job] = true
	p.updateJob(j, now)
}
