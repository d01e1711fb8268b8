package sched

import (
	"slices"
	"sort"

	"lagooncourse/internal/cell/trust"
)

// Outcome is the result of a start.
type Outcome uint8

// Outcomes of a start.
const (
	StartConfirmed  Outcome = iota // the worker has confirmed the run
	StartRefused                   // refused without effect
	StartNoTicket                  // refused because its ticket is missing or not valid
	StartNoCapacity                // refused for lack of capacity
	StartStaleRun                  // refused: a run with this or a higher number has ended there
	StartUnknown                   // no reply; the run may still start
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"up", "refused", "noTicket", "noRoom", "old", "unknown"}[o]
}

// Backoff of a worker after a refused start.
const (
	busyBackoffMs     = 500 // the worker is overloaded or unhealthy
	capacityBackoffMs = 200 // the worker has less free capacity than the planner computed
)

// ApplyStartOutcome handles the outcome of a start.
func (p *Planner) ApplyStartOutcome(s Start, o Outcome, now Instant) {
	w := p.workers[s.Worker]
	a := p.allocationOf(w, s)
	if a == nil {
		return
	}
	switch o {
	case StartConfirmed:
		a.phase, a.phaseStartMs, a.endMs = phaseRunning, now.Ms, now.Ms+a.runMs
		j := p.state.Jobs[s.Ref.Job]
		if j == nil || j.Progress.Verdict != Open {
			p.stop(w, s.Ref, s.Run, StopLateRun)
			return
		}
		j.Progress.RunConfirmed = true
		return
	case StartUnknown, StartStaleRun: // the run that has ended there may be this one; the next report tells
		p.stop(w, s.Ref, s.Run, StopStartUnknown)
		p.stopGang(s.Ref)
		return
	case StartNoTicket:
		if si := p.steps[s.stepKey]; si != nil {
			si.advice.expire(s.Worker)
		}
	case StartNoCapacity:
		w.backoffUntilMs = now.Ms + capacityBackoffMs
	case StartRefused:
		w.backoffUntilMs = now.Ms + busyBackoffMs
	}
	p.release(w, s.Ref)
	p.withdrawTrial(s.Ref, s.Run)
	p.requeue(s.Ref, s.Run, now)
	p.stopGang(s.Ref)
	if si := p.steps[s.stepKey]; o == StartNoTicket && si != nil && p.queue(si).Advice == nil {
		si.retryAtMs = max(si.retryAtMs, now.Ms+busyBackoffMs) // until the configuration with the advice is known
	}
}

// stopGang stops the placed members of a gang after a member has failed to
// start or has ended without success. It ignores tasks that are not in a gang.
func (p *Planner) stopGang(r Ref) {
	j := p.state.Jobs[r.Job]
	if j == nil || j.task(r) == nil || !j.Spec.Steps[r.Step].Gang {
		return
	}
	reason := StopGang
	if j.Progress.Verdict != Open {
		reason = endReason(j)
	}
	for i, t := range j.stepTasks(r.Occ, r.Step) {
		if t.State == Placed {
			p.stopTask(j, Ref{r.Job, r.Occ, r.Step, i}, reason)
		}
	}
}

// StopConfirmed is called when a worker has accepted a stop, or has refused it
// because the run is absent. A report requested after now shows whether the run
// still exists.
func (p *Planner) StopConfirmed(s Stop, now Instant) {
	w := p.workers[s.Worker]
	if w == nil {
		return
	}
	if a := w.allocations[s.Ref]; a != nil && a.run == s.Run && a.phase != phaseIntent {
		a.phase, a.phaseStartMs = phaseStopConfirmed, now.Ms
	}
}

// SetWorker adds or updates a worker from its registry entry. An entry of an earlier
// incarnation than the newest entry is ignored. One of an earlier incarnation than the
// worker has reported serves only to call it; see available.
func (p *Planner) SetWorker(info WorkerInfo, now Instant) {
	w := p.workers[info.ID]
	if w == nil {
		w = p.addWorker(info, now)
	}
	if info.Incarnation < w.entryIncarnation {
		return
	}
	w.entryIncarnation = info.Incarnation
	incarnation := w.Incarnation
	if incarnation != 0 && info.Incarnation > incarnation {
		p.newIncarnation(w, info.Incarnation, now)
	}
	if info.Incarnation < incarnation {
		info.Incarnation = incarnation
	}
	moved := info.Addr != w.Addr
	w.WorkerInfo = info
	w.registered = true
	if moved {
		p.repeatStops(w)
	}
	if info.Draining {
		p.vacate(w, now)
	}
}

// repeatStops requests the stops of a worker again whose address has become known or has
// changed. Its next report would do so too, but a silent worker is called less often than a
// stop is retried.
func (p *Planner) repeatStops(w *Worker) {
	for ref, a := range w.allocations {
		if a.stopping {
			a.stopLost = true
			p.stop(w, ref, a.run, StopAddress)
		}
	}
}

// vacate stops the runs on a draining worker that are not expected to end before it
// leaves, with their gangs. They continue elsewhere from the checkpoint of the stop,
// instead of ending without one when the worker leaves and being missed until its
// lease has expired. Long-running tasks stay until the end: they serve meanwhile. Each entry
// is looked at: the first may not say when the worker leaves.
func (p *Planner) vacate(w *Worker, now Instant) {
	if w.LeavesInMs <= 0 {
		return
	}
	for ref, a := range w.allocations {
		j := p.state.Jobs[ref.Job]
		if j == nil || j.task(ref) == nil || a.endMs <= now.Ms+w.LeavesInMs || j.Spec.Steps[ref.Step].LongRunning {
			continue
		}
		p.stop(w, ref, a.run, StopDraining)
		p.stopGang(ref)
	}
}

// DropWorker is called when the registry entry of a worker was deleted.
func (p *Planner) DropWorker(id string) {
	if w := p.workers[id]; w != nil {
		w.registered = false
	}
}

// WorkersToRenew returns the workers whose leases are to be renewed, sorted by ID:
// those with a registry entry and those with allocations.
func (p *Planner) WorkersToRenew() []WorkerInfo {
	var list []WorkerInfo
	for _, w := range p.workers {
		if w.Addr != "" && (w.registered || len(w.allocations) > 0) {
			list = append(list, w.WorkerInfo)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	return list
}

// Worker returns the registry entry of a worker that WorkersToRenew would return, and
// false for any other worker.
func (p *Planner) Worker(id string) (WorkerInfo, bool) {
	w := p.workers[id]
	if w == nil || w.Addr == "" || !w.registered && len(w.allocations) == 0 {
		return WorkerInfo{}, false
	}
	return w.WorkerInfo, true
}

// AppliedSeq returns the sequence number of the last applied end of a worker.
func (p *Planner) AppliedSeq(id string) int64 {
	if w := p.workers[id]; w != nil {
		return w.appliedSeq
	}
	return 0
}

// newIncarnation handles a restart of a worker, which has ended all its runs. A start
// that was sent later than the last report of the earlier incarnation may have reached
// the new one, so such runs are kept until its report; see loseEarlierRuns.
// Its clock has restarted too, so a renewal that was computed for the old clock
// may have extended the lease to the longest that the worker grants. Without a report
// between two restarts nothing has renewed it since the first of them.
func (p *Planner) newIncarnation(w *Worker, incarnation int64, now Instant) {
	if w.renewed || w.startInFlight() {
		w.renewed, w.renewedMs = false, max(w.renewedMs, now.Ms)
	}
	w.leaseExpiryMs = max(w.leaseExpiryMs, min(now.Ms, w.renewedMs)+p.maxLeaseBound())
	if !w.Draining {
		p.recordLoss(w, w.Incarnation, now)
	}
	w.Incarnation, w.appliedSeq, w.storedSeq, w.listed = incarnation, 0, 0, false
	for _, a := range w.allocations {
		a.workerLeft = a.workerLeft || w.Draining
	}
	reportedMs := w.reportedMs
	w.reportedMs = 0
	p.setLingering(w, 0)
	p.loseRuns(w, now, func(a *allocation) bool {
		switch a.phase {
		case phaseRunning, phaseStopConfirmed:
			return a.phaseStartMs < reportedMs
		}
		return a.unsent()
	})
}

// loseEarlierRuns releases and requeues the runs that were placed on an earlier
// incarnation of a worker and that its report does not list: they have ended with it.
func (p *Planner) loseEarlierRuns(w *Worker, report WorkerReport, now Instant) {
	if report.Incarnation == 0 || len(report.Finished) >= maxFinished {
		return
	}
	lists := func(a *allocation) bool {
		return slices.ContainsFunc(report.Running, func(r Running) bool { return r.Run == a.run && r.Task == a.ref.String() })
	}
	p.loseRuns(w, now, func(a *allocation) bool {
		switch incarnation := p.incarnationOf(a); {
		case incarnation == 0 || incarnation == report.Incarnation || lists(a):
			return false
		case a.phase == phaseRunning, a.phase == phaseStopConfirmed:
			return a.phaseStartMs < report.SentMs
		}
		return a.phase == phaseAdopted
	})
}

// loseRuns releases and requeues the runs that match, and reports whether there
// were any.
func (p *Planner) loseRuns(w *Worker, now Instant, match func(*allocation) bool) (lost bool) {
	for ref, a := range w.allocations {
		if !match(a) {
			continue
		}
		p.countCrash(w, a, now)
		p.release(w, ref)
		p.requeue(ref, a.run, now)
		p.stopGang(ref)
		lost = true
	}
	return lost
}

// BeforeRenewal is called before a call that renews the lease of a worker is sent.
func (p *Planner) BeforeRenewal(id string, now Instant) {
	if w := p.workers[id]; w != nil {
		w.renewed = true
		w.leaseExpiryMs = max(w.leaseExpiryMs, now.Ms+p.leaseBound())
	}
}

// HeartbeatFailed is called when a call to a worker got no reply. It reports whether
// the worker was reachable before.
func (p *Planner) HeartbeatFailed(id string) (lostContact bool) {
	w := p.workers[id]
	if w == nil {
		return false
	}
	lostContact = w.reachable
	w.reachable = false
	return lostContact
}

// Tick requeues the runs of unreachable workers whose lease has expired, and
// returns the workers that had such runs. It also removes unreachable workers
// whose lease has expired and that have neither a registry entry nor runs.
func (p *Planner) Tick(now Instant) (lost []string) {
	p.tickMs = now.Ms
	for id, w := range p.workers {
		if w.reachable || now.Ms < w.leaseExpiryMs {
			continue
		}
		p.setLingering(w, 0)
		// ReleaseStarts withdraws starts that were not sent.
		if p.loseRuns(w, now, func(a *allocation) bool { return a.phase != phaseIntent }) {
			p.recordLoss(w, w.Incarnation, now)
			lost = append(lost, id)
		}
		if !w.registered && len(w.allocations) == 0 {
			delete(p.workers, id)
		}
	}
	p.judgeSuspects(now)
	return lost
}

// WorkerReport is the reply of a worker to a call that was sent at SentMs, a monotonic
// time.
type WorkerReport struct {
	SentMs      int64
	Incarnation int64 // incarnation of the worker
	Running     []Running
	Finished    []Finished
}

// maxFinished is the maximum number of ends in one reply.
const maxFinished = 500

// ApplyReport applies the ends that a worker lists, and compares its active runs with
// the allocations.
func (p *Planner) ApplyReport(id string, report WorkerReport, now Instant) {
	w := p.workers[id]
	if w == nil {
		return
	}
	if report.Incarnation != 0 && w.Incarnation != 0 && report.Incarnation != w.Incarnation {
		if report.Incarnation < w.Incarnation {
			return
		}
		p.newIncarnation(w, report.Incarnation, now)
	}
	if w.Incarnation == 0 {
		w.Incarnation = report.Incarnation
	}
	if !w.listed {
		// The worker is fenced: a previous owner can't renew its lease again, but
		// its last renewal may have been computed for the clock of an earlier
		// incarnation.
		w.leaseExpiryMs = now.Ms + p.maxLeaseBound()
	}
	w.listed, w.reachable = true, true
	for _, f := range report.Finished {
		if f.Seq <= w.appliedSeq {
			continue
		}
		w.appliedSeq = f.Seq
		p.applyFinished(w, f, now)
	}
	p.loseEarlierRuns(w, report, now)
	w.reportedMs = max(w.reportedMs, report.SentMs)
	p.checkRunning(w, report, now)
}

// incarnationOf returns the worker incarnation on which a run was placed.
func (p *Planner) incarnationOf(a *allocation) int64 {
	if j := p.state.Jobs[a.ref.Job]; j != nil {
		if t := j.task(a.ref); t != nil {
			return t.Incarnation
		}
	}
	return 0
}

// checkRunning compares the runs that a worker lists with its allocations. Runs
// that are missing from the report are requeued if a stop was confirmed or they
// were adopted. If the worker had confirmed their start, or it may still arrive, they are
// stopped first; they are requeued when a report requested after the confirmed stop omits
// them too.
func (p *Planner) checkRunning(w *Worker, report WorkerReport, now Instant) {
	listed := make(map[Ref]bool, len(report.Running))
	lingering := 0
	for _, r := range report.Running {
		ref, ok := ParseRef(r.Task)
		if !ok {
			continue
		}
		listed[ref] = true
		if !p.applyRunning(w, ref, r, now) {
			lingering++
		}
	}
	p.setLingering(w, lingering)
	if len(report.Finished) >= maxFinished {
		return // the missing runs may have ends that do not fit into this reply
	}
	for ref, a := range w.allocations {
		if listed[ref] || a.phaseStartMs >= report.SentMs {
			continue
		}
		switch a.phase {
		case phaseAdopted, phaseStopConfirmed:
			if a.phase == phaseStopConfirmed && p.incarnationOf(a) == w.Incarnation {
				p.withdrawTrial(ref, a.run) // its end would be listed if it had begun
			}
			p.release(w, ref)
			p.requeue(ref, a.run, now)
			p.stopGang(ref)
		case phaseRunning:
			p.stop(w, ref, a.run, StopMissing)
		case phaseSent:
			if a.stopping {
				p.stop(w, ref, a.run, StopMissing)
			}
		}
	}
}

// applyRunning handles one entry of the list of active runs. It stops runs that
// have no allocation or whose job has ended. It reports whether the job is open.
func (p *Planner) applyRunning(w *Worker, ref Ref, r Running, now Instant) (open bool) {
	a := w.allocations[ref]
	if a == nil || a.run != r.Run {
		return p.stopUnexpected(w, ref, r.Run, a)
	}
	if a.phase == phaseAdopted {
		// phaseStartMs stays the time of the takeover, so recordRun will count the
		// run time from there.
		a.phase = phaseRunning
	}
	j := p.state.Jobs[ref.Job]
	if j == nil || j.Progress.Verdict != Open {
		reason := StopUnknownRun
		if j != nil {
			reason = endReason(j)
		}
		p.stop(w, ref, r.Run, reason)
		return false
	}
	if a.stopping {
		p.stop(w, ref, r.Run, StopListed)
	}
	j.Progress.RunConfirmed = true
	p.noteActive(w, j, a, now)
	t := j.task(ref)
	if t == nil || t.LastRun != r.Run {
		return true
	}
	if r.Checkpoint != "" {
		p.saveCheckpoint(j, ref, r.Checkpoint) // stored with the next progress record
	}
	if t.Incarnation != w.Incarnation { // the start has reached a later incarnation than it was planned for
		t.Incarnation = w.Incarnation
		p.dirty[ref.Job] = true
	}
	return true
}

// stopUnexpected stops a listed run that is not the one that a, if not nil, was allocated
// for. It reports whether the job is open.
func (p *Planner) stopUnexpected(w *Worker, ref Ref, run int, a *allocation) (open bool) {
	j := p.state.Jobs[ref.Job]
	open = j != nil && j.Progress.Verdict == Open
	reason := StopUnknownRun
	switch {
	case j != nil && !open:
		reason = StopLateRun
	case a != nil:
		reason = StopOtherRun
	}
	p.stops = append(p.stops, Stop{Worker: w.ID, Ref: ref, Run: run, Reason: reason})
	return open
}

// applyFinished handles the end of a run.
func (p *Planner) applyFinished(w *Worker, f Finished, now Instant) {
	ref, ok := ParseRef(f.Task)
	if !ok {
		return
	}
	a := w.allocations[ref]
	if a != nil && a.run <= f.Run {
		p.release(w, ref)
	}
	j := p.state.Jobs[ref.Job]
	if j == nil {
		return
	}
	if a != nil && a.run == f.Run && a.phase == phaseRunning && f.Reason == EndDone && j.task(ref) != nil {
		p.runsRecorded++
		p.recordInterference(w, a, j.queue.stats, j.Spec.Steps[ref.Step], now)
		p.estimator.recordRun(j.queue.stats, w.ID, j.Spec.Steps[ref.Step], now.Ms-a.phaseStartMs)
	}
	t := j.task(ref)
	if t == nil {
		return
	}
	p.recordTrust(w, ref, f, now)
	p.takeBackCrash(j, t, f.Run)
	j.Progress.RunConfirmed = true
	// Ignore the end if the task is done or has a newer run, or if the task was
	// already requeued and the run did not succeed.
	if t.State == Done || t.LastRun > f.Run || t.State == Waiting && f.Reason != EndDone {
		return
	}
	p.dirty[ref.Job] = true
	if f.Checkpoint != "" {
		p.saveCheckpoint(j, ref, f.Checkpoint)
	}
	p.updateTask(j, ref, t, f, now)
	p.updateJob(j, now)
}

// recordTrust adds a success or failure to the trust record of a worker. Other
// ends do not indicate whether the worker is faulty.
func (p *Planner) recordTrust(w *Worker, ref Ref, f Finished, now Instant) {
	if f.Reason == EndDone || f.Reason == EndFailed {
		p.trust.Record(trust.End{Worker: w.ID, Job: ref.Job, OK: f.Reason == EndDone, AtMs: now.Ms})
	}
}

// saveCheckpoint stores a checkpoint of a task. The checkpoint of one gang member is valid
// for the whole gang. If the job's checkpoints would become too long, the task keeps the
// earlier one, which costs the work since then; see checkpointBudget.
func (p *Planner) saveCheckpoint(j *Job, ref Ref, checkpoint string) {
	tasks := j.stepTasks(ref.Occ, ref.Step)
	if !j.Spec.Steps[ref.Step].Gang {
		tasks = tasks[ref.Index : ref.Index+1]
	}
	total := j.checkpointBytes
	for _, t := range tasks {
		total += len(checkpoint) - len(t.Checkpoint)
	}
	if total > p.cfg.checkpointBudget() {
		if !j.checkpointsFull {
			j.checkpointsFull = true
			p.fullJobs = append(p.fullJobs, j.Spec.ID)
		}
		return
	}
	j.checkpointBytes = total
	for i := range tasks {
		tasks[i].Checkpoint = checkpoint
	}
}

// TakeFullJobs returns the jobs of which a checkpoint was not kept for the first time
// since the last call.
func (p *Planner) TakeFullJobs() []string {
	list := p.fullJobs
	p.fullJobs = nil
	return list
}

// finishTask marks a task as done. Its checkpoint is of no use any more.
func (j *Job) finishTask(t *Task) {
	j.checkpointBytes -= len(t.Checkpoint)
	t.State, t.Checkpoint = Done, ""
}

// updateTask updates the state of a task after the end of its latest run.
func (p *Planner) updateTask(j *Job, ref Ref, t *Task, f Finished, now Instant) {
	s := j.Spec.Steps[ref.Step]
	switch {
	case f.Reason == EndDone && s.LongRunning:
		t.State = Waiting
	case f.Reason == EndDone && s.Gang:
		tasks := j.stepTasks(ref.Occ, ref.Step)
		for i := range tasks {
			j.finishTask(&tasks[i])
		}
	case f.Reason == EndDone:
		j.finishTask(t)
	case f.Reason == EndFailed:
		p.countFailure(j, ref, t, f, now)
	default:
		t.State = Waiting
		p.stopGang(ref)
	}
}

// countFailure counts a failed run and fails the job when a task has used up its
// attempts. Long-running tasks never fail their job. A gang counts one failure for
// each of its runs, in its first task.
func (p *Planner) countFailure(j *Job, ref Ref, t *Task, f Finished, now Instant) {
	s := j.Spec.Steps[ref.Step]
	t.State = Waiting
	counted := t
	if s.Gang {
		var lastRun *int
		counted, lastRun = gangFailures(j.stepTasks(ref.Occ, ref.Step))
		if *lastRun == f.Run || j.Progress.Verdict != Open {
			return
		}
		*lastRun = f.Run
		p.stopGang(ref)
	}
	counted.Failures++
	if limit, ok := p.exhausted(j, s, counted.Failures); ok && j.Progress.Verdict == Open {
		p.failJob(j, Ending{Task: ref, Run: f.Run, Reason: f.Reason, Failures: counted.Failures, Limit: limit}, now)
	}
}

// exhausted returns the limit of failed runs of a task of a step, and whether the given
// number has reached it. There is none while no version of the queue is known.
func (p *Planner) exhausted(j *Job, s Step, failures int) (limit int, ok bool) {
	limit = j.queue.latest.MaxAttempts
	return limit, !s.LongRunning && limit > 0 && failures >= limit
}

// failExhausted fails the job of a step instance if one of its waiting tasks has used up
// its attempts, and reports whether it did. The last failure may have been counted while
// the limit was not known, or was higher.
func (p *Planner) failExhausted(si *stepInstance, waiting []int, now Instant) bool {
	for _, i := range waiting {
		if si.spec().Gang && i > 0 {
			break // see gangFailures
		}
		t := si.tasks()[i]
		if limit, ok := p.exhausted(si.job, si.spec(), t.Failures); ok {
			p.failJob(si.job, Ending{Task: si.ref(i), Run: t.LastRun, Reason: EndFailed, Failures: t.Failures, Limit: limit}, now)
			return true
		}
	}
	return false
}

// gangFailures returns the task in which the failed runs of a gang are counted, and the
// number of the last run that was counted. That number has to be stored, since a takeover
// may come between the ends of two members. It takes the place of Failures in the second
// task, which is not used otherwise: hosts of an earlier version can't read a record with
// a further field. A gang of one task has no other end that could be counted.
func gangFailures(tasks []Task) (counted *Task, lastRun *int) {
	if len(tasks) == 1 {
		return &tasks[0], new(int)
	}
	return &tasks[0], &tasks[1].Failures
}
