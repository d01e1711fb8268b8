package sched

import (
	"math"
	"slices"

	"lagooncourse/internal/base/frame"
)

// A task may crash the workers that start it. Nothing reports such a crash: a worker is
// silent, and later a new incarnation of it, or nothing at all, is found in its place.
// Every run that may have been started there shortly before is a suspect, so the
// planner counts the crashes in the job's records and narrows them down:
//
//   - after the first crash, a task avoids workers on which another suspect has
//     just started, and workers that were lost a moment ago
//   - after isolateCrashes, it is tried alone: on a worker where all other runs have
//     settled, and which takes no other start until this one has settled too
//   - a task under which workers have crashed that have hardly been lost by chance is given
//     up: its job fails
//   - so is a task that has been started maxTrials times after boundedCrashes
//
// A run that survives crashWindowMs clears its task. Losses that have another cause
// count too, because at first they can't be told apart, but they are taken back when
// the worker turns out to be alive.
//
// Losses say something about a task only while workers are seldom lost for other reasons.
// A loss is unexplained once every task that had just started there has ended well or has
// survived elsewhere. While unexplained losses are common, losses are not counted, nothing
// is isolated and no job fails for its crashes.
//
// Isolation is bounded, because innocent tasks meet it too: a step instance that it has
// kept from workers with room for maxIsolationMs takes any of them. See
// docs/design/0013-bounded-isolation.md.

// Limits of the search for tasks that crash workers.
const (
	crashWindowMs   = 5_000  // a run that was seen active for this long has not crashed its worker
	settleMs        = 1_500  // a run that was seen active for this long is an unlikely cause of a later crash
	isolateCrashes  = 2      // a task with as many crashes is tried alone
	boundedCrashes  = 3      // a task with as many crashes is started at most maxTrials times more
	maxTrials       = 2      // see boundedCrashes
	maxIsolationMs  = 2_000  // how long isolation keeps a step instance from workers with room
	trialHoldMs     = 500    // how long a worker is held for a suspect; renewed at each try
	maxTrialShare   = 0.25   // share of the workers on which tasks are tried, or that are held for them, at once
	verdictDelayMs  = 2_000  // time for further losses to show up
	lossWindowMs    = 10_000 // time over which unexplained losses are counted
	commonLossShare = 0.02   // share of the workers; losses are common if as many were lost unexplained
	minCommonLosses = 5      // the same in a small fleet
	minSharedChance = 0.15   // probability that a task without fault is on a worker that another one crashes
	sharedWorkers   = 2.5    // the same in a small fleet, times the number of workers
	maxDoubt        = 0.001  // probability of the losses of a task without fault, from which on it is not given up
)

// suspect is the stored record of one suspect of a job. Suspects have a record apart
// from the job's progress: hosts of versions that know nothing of them skip it, but would
// skip the progress as well if its tasks had more fields.
type suspect struct {
	Task      int // index in Progress.Tasks
	Suspicion Suspicion
}

// suspects returns the tasks of a job that have any suspicion against them.
func (j *Job) suspects() (list []suspect) {
	for i, t := range j.Progress.Tasks {
		if t.Suspicion != (Suspicion{}) {
			list = append(list, suspect{i, t.Suspicion})
		}
	}
	return list
}

// setSuspects replaces the suspicions against the tasks of a job.
func (j *Job) setSuspects(list []suspect) {
	j.suspectsStored = true
	for i := range j.Progress.Tasks {
		j.Progress.Tasks[i].Suspicion = Suspicion{}
	}
	for _, s := range list {
		if s.Task >= 0 && s.Task < len(j.Progress.Tasks) {
			j.Progress.Tasks[s.Task].Suspicion = s.Suspicion
		}
	}
}

// suspectsRecord returns the key and value of the record of a job's suspects.
func suspectsRecord(id string, list []suspect) (key string, value []byte, err error) {
	value, err = frame.Encode(list)
	return suspectPrefix + id, value, err
}

// Crash is the loss of a worker soon after a run was started there, or what became of
// the suspicion against its task. Callers log it.
type Crash struct {
	Worker      string
	Ref         Ref
	Run         int
	Crashes     int  // crashes under the task so far
	Alone       bool // the run was a trial without other suspects on the worker
	Unexplained int  // losses of workers within lossWindowMs that no task can have caused; no more are counted than make them common
	Verdict     CrashVerdict
}

// CrashVerdict says what a loss meant for a task.
type CrashVerdict uint8

// Verdicts on a task whose worker was lost.
const (
	CrashCounted   CrashVerdict = iota // the crash was counted
	SuspectGivenUp                     // the job has failed because of the task
	SuspectCleared                     // the counted crashes were dropped, since losses are common
)

// workerLoss is the loss of one incarnation of a worker.
type workerLoss struct {
	worker      string
	incarnation int64
	atMs        int64
	suspects    []Ref // tasks of the runs that were lost soon after their start
	unsettled   []Ref // those whose runs had not settled
	again       bool  // the worker had been lost shortly before, so it may be faulty itself
}

// TakeCrashes returns the crashes counted and the tasks given up or cleared since the
// last call.
func (p *Planner) TakeCrashes() []Crash {
	c := p.crashes
	p.crashes = nil
	return c
}

// recordLoss returns the record of the loss of an incarnation of a worker. Several events
// may tell of one loss: the end of a lease, a registry entry, a report.
func (p *Planner) recordLoss(w *Worker, incarnation int64, now Instant) *workerLoss {
	if w.lostRecently(now) && w.lost.incarnation == incarnation {
		return w.lost
	}
	old := 0
	for old < len(p.losses) && now.Ms-p.losses[old].atMs > lossWindowMs {
		old++
	}
	w.lost = &workerLoss{worker: w.ID, incarnation: incarnation, atMs: now.Ms, again: w.lostRecently(now)}
	p.losses = append(slices.Delete(p.losses, 0, old), w.lost)
	return w.lost
}

// unexplainedLosses returns the number of losses in the window, up to limit, that no task
// can have caused: each run that may have been started there shortly before belongs to a
// task that has ended well or survived since.
func (p *Planner) unexplainedLosses(limit int, now Instant) (n int) {
	for i := len(p.losses) - 1; i >= 0 && n < limit; i-- {
		if l := p.losses[i]; now.Ms-l.atMs <= lossWindowMs && p.unexplained(l) {
			n++
		}
	}
	return n
}

func (p *Planner) unexplained(l *workerLoss) bool {
	for _, s := range l.suspects {
		if !p.cleared(s) {
			return false
		}
	}
	return true
}

// cleared reports whether a task with a lost run can't have crashed the worker.
func (p *Planner) cleared(r Ref) bool {
	j := p.state.Jobs[r.Job]
	if j == nil || j.task(r) == nil {
		return false
	}
	t := j.task(r)
	if t.State != Placed {
		return t.State == Done
	}
	w := p.workers[t.Worker]
	return w != nil && w.allocations[r] != nil && w.allocations[r].survived
}

// commonLosses returns the number of unexplained losses from which on losses are common.
func (p *Planner) commonLosses() int {
	return max(minCommonLosses, int(commonLossShare*float64(len(p.workers))))
}

// lossesCommon reports whether workers are lost so often for other reasons that losses
// say little about the tasks that were lost with them.
func (p *Planner) lossesCommon(now Instant) bool {
	limit := p.commonLosses()
	return len(p.losses) >= limit && p.unexplainedLosses(limit, now) >= limit
}

// countCrash counts the loss of a worker as a crash under the task of a run that was
// lost with it, unless the run was not started, had survived crashWindowMs, the worker
// was leaving, or losses are common.
func (p *Planner) countCrash(w *Worker, a *allocation, now Instant) {
	j := p.state.Jobs[a.ref.Job]
	if a.phase == phaseIntent || a.survived || a.workerLeft || w.Draining || j == nil {
		return
	}
	t := j.task(a.ref)
	if t == nil || t.LastRun != a.run {
		return
	}
	l := p.recordLoss(w, t.Incarnation, now)
	l.suspects = append(l.suspects, a.ref)
	if !a.settled {
		l.unsettled = append(l.unsettled, a.ref)
	}
	if j.Progress.Verdict != Open || t.State != Placed {
		return
	}
	if !p.lossesCommon(now) {
		t.Crashes++
		t.CrashRun = a.run
		p.dirty[a.ref.Job] = true
		p.reportCrash(l.worker, a.ref, t, CrashCounted, now)
	}
	if t.exhausted() || t.Crashes >= isolateCrashes {
		p.verdicts[a.ref] = pendingVerdict{worker: w.ID, atMs: now.Ms, loss: l}
	}
}

// convicts reports whether the loss of a worker and the crashes before it are too unlikely
// for a task that did not cause them: no other job had a run there that had not settled, and
// few workers are lost otherwise. Some of the crashes before may be due to other suspects.
func (p *Planner) convicts(l *workerLoss, ref Ref, t *Task, now Instant) bool {
	if l == nil || t.Crashes < isolateCrashes || !l.blames(ref.Job) {
		return false
	}
	riskMs := int64(crashWindowMs)
	if slices.Contains(l.unsettled, ref) {
		riskMs = 2 * settleMs // a run is known to have settled with the next report
	}
	shared := max(minSharedChance, sharedWorkers/float64(p.reachableWorkers()))
	chance := p.lossChance(ref.Job, riskMs, now)
	if l.again {
		chance = max(chance, shared)
	}
	return chance*math.Pow(shared, float64(t.Crashes-1)) < maxDoubt
}

// blames reports whether no other job had a run on the lost worker that had not settled.
func (l *workerLoss) blames(job string) bool {
	return !slices.ContainsFunc(l.unsettled, func(r Ref) bool { return r.Job != job })
}

// lossChance estimates the probability that a worker is lost within riskMs, from the recent
// losses that neither the job nor a suspect of another one explains. At least one is
// assumed. A new owner has seen less than the window.
func (p *Planner) lossChance(job string, riskMs int64, now Instant) float64 {
	n := 1
	for _, l := range p.losses {
		if now.Ms-l.atMs <= lossWindowMs && !p.explained(l, job) {
			n++
		}
	}
	seenMs := min(max(now.Ms-p.startedMs, 1), lossWindowMs)
	return float64(int64(n)*riskMs) / float64(int64(p.reachableWorkers())*seenMs)
}

// reachableWorkers returns the number of workers that answered the last call, at least 1.
func (p *Planner) reachableWorkers() int {
	n := 0
	for _, w := range p.workers {
		if w.reachable {
			n++
		}
	}
	return max(n, 1)
}

// explained reports whether a loss hit the job, or a suspect of another one that is to be
// blamed for it or was given up since.
func (p *Planner) explained(l *workerLoss, job string) bool {
	return slices.ContainsFunc(l.suspects, func(r Ref) bool {
		if r.Job == job {
			return true
		}
		j := p.state.Jobs[r.Job]
		if j == nil || j.task(r) == nil || j.task(r).Crashes < isolateCrashes {
			return false
		}
		return j.Progress.Verdict == JobFailed || l.blames(r.Job)
	})
}

// reportCrash adds a crash for TakeCrashes.
func (p *Planner) reportCrash(worker string, ref Ref, t *Task, v CrashVerdict, now Instant) {
	p.crashes = append(p.crashes, Crash{
		Worker: worker, Ref: ref, Run: t.LastRun, Crashes: t.Crashes, Alone: t.Alone, Unexplained: p.unexplainedLosses(p.commonLosses(), now), Verdict: v,
	})
}

// exhausted reports whether a task must not be started again: it is given up, unless
// losses turn out to be common.
func (t *Task) exhausted() bool { return t.Crashes >= boundedCrashes && t.Trials >= maxTrials }

// withdrawTrial is called when a start had no effect.
func (p *Planner) withdrawTrial(r Ref, run int) {
	if j := p.state.Jobs[r.Job]; j != nil {
		if t := j.task(r); t != nil && t.State == Placed && t.LastRun == run && t.Trials > 0 {
			t.Trials--
			p.dirty[r.Job] = true
		}
	}
}

// pendingVerdict is a task that will be given up unless losses turn out to be common.
type pendingVerdict struct {
	worker string // that was lost last
	atMs   int64
	loss   *workerLoss // of that worker; nil if a previous owner has seen it
}

// judgeSuspects fails the jobs of tasks that are convicted or exhausted, or drops the
// crashes counted under them if losses are common. Other tasks are placed again at once.
func (p *Planner) judgeSuspects(now Instant) {
	for ref, v := range p.verdicts {
		j := p.state.Jobs[ref.Job]
		if j == nil || j.Progress.Verdict != Open {
			delete(p.verdicts, ref)
			continue
		}
		t := j.task(ref)
		guilty := t != nil && t.State == Waiting && (t.exhausted() || p.convicts(v.loss, ref, t, now))
		if guilty && now.Ms < v.atMs+verdictDelayMs {
			continue
		}
		delete(p.verdicts, ref)
		switch {
		case !guilty: // the worker may have turned out to be alive
		case p.lossesCommon(now):
			p.reportCrash(v.worker, ref, t, SuspectCleared, now)
			t.Suspicion = Suspicion{}
			p.dirty[ref.Job] = true
		default:
			p.reportCrash(v.worker, ref, t, SuspectGivenUp, now)
			p.failJob(j, Ending{Task: ref, Run: t.LastRun, Reason: EndLost, Failures: t.Crashes, Limit: t.Crashes}, now)
			continue
		}
		p.updateJob(j, now)
	}
}

// takeBackCrash takes back a counted crash when the worker lists the end of the run:
// it was cut off and has lived on.
func (p *Planner) takeBackCrash(j *Job, t *Task, run int) {
	if t.Crashes > 0 && t.CrashRun == run {
		t.Crashes--
		t.CrashRun = 0
		if t.Crashes < boundedCrashes {
			t.Trials = 0
		}
		p.dirty[j.Spec.ID] = true
	}
}

// noteActive is called when a worker lists a run as active. A run that has settled ends
// its trial; one that has survived crashWindowMs clears its task.
func (p *Planner) noteActive(w *Worker, j *Job, a *allocation, now Instant) {
	activeMs := now.Ms - a.phaseStartMs
	if a.survived || a.phase != phaseRunning || activeMs < settleMs {
		return
	}
	a.settled = true
	if w.trial == a.ref {
		w.trial = Ref{}
	}
	if activeMs < crashWindowMs {
		return
	}
	a.survived = true
	if t := j.task(a.ref); t != nil && t.LastRun == a.run && t.Crashes > 0 {
		t.Crashes, t.CrashRun, t.Trials, t.Alone = 0, 0, 0, false
		p.dirty[j.Spec.ID] = true
	}
}

// stepCrashes returns the number of crashes under the task with the most in a step
// instance.
func stepCrashes(tasks []Task) (n int) {
	for _, t := range tasks {
		n = max(n, t.Crashes)
	}
	return n
}

// mayIsolate reports whether a step instance may wait because of a suspect with that many
// crashes, its own or one on trial. Tasks whose next starts decide wait until no worker has
// been lost for maxIsolationMs: a loss of their worker then has no other likely cause.
func (p *Planner) mayIsolate(si *stepInstance, crashes int, now Instant) bool {
	if p.plannedCommon {
		return false
	}
	fromMs := si.isolatedMs
	if n := len(p.losses); n > 0 && crashes >= boundedCrashes {
		fromMs = max(fromMs, p.losses[n-1].atMs)
	}
	return si.isolatedMs == 0 || now.Ms-fromMs < maxIsolationMs
}

// noteIsolated is called when isolation keeps a step instance from a worker with room.
func (si *stepInstance) noteIsolated(now Instant) {
	if si.isolatedMs == 0 {
		si.isolatedMs = now.Ms
	}
}

// splitSuspects returns the indexes of the waiting tasks of a step instance: those that
// are placed as usual, and those that are tried alone. It omits the tasks that wait for
// a verdict, and schedules verdicts that a previous owner has not reached. A gang stays
// together.
func (p *Planner) splitSuspects(si *stepInstance, now Instant) (usual, suspects []int) {
	for i, t := range si.tasks() {
		if t.State != Waiting {
			continue
		}
		_, pending := p.verdicts[si.ref(i)]
		if t.exhausted() && !pending {
			pending = true
			p.verdicts[si.ref(i)] = pendingVerdict{worker: t.Worker, atMs: now.Ms}
		}
		if pending {
			if si.spec().Gang {
				return nil, nil
			}
			continue
		}
		if t.Crashes >= isolateCrashes && !si.spec().Gang && p.mayIsolate(si, t.Crashes, now) {
			suspects = append(suspects, i)
		} else {
			usual = append(usual, i)
		}
	}
	return usual, suspects
}

// placeSuspects starts the suspects of a step instance, each on a quiet worker. If it
// finds none, it holds one worker that will soon be quiet.
func (p *Planner) placeSuspects(si *stepInstance, suspects []int, plan *Plan, now Instant) {
	within := p.withinLimit(si, suspects)
	for n, i := range within {
		list, kept := p.placementOptions(si, 1, plan, now)
		best := p.bestForTrial(list, si.key(), now)
		if best == nil || !best.quiet(si) || !p.mayTry(best, now) {
			if best != nil || kept {
				si.noteIsolated(now)
			} else {
				si.isolatedMs = 0 // what it waits for is room
			}
			p.holdForTrial(best, si, now)
			p.requestAdvice(si, len(within)-n, plan, now)
			return
		}
		best.reservation = reservation{}
		p.start(si, i, 0, best, plan, now)
	}
	p.updateJob(si.job, now) // updates p.waiting
	if len(within) < len(suspects) {
		p.retryLater(si, now)
	}
}

// bestForTrial returns the worker on which a suspect is to be tried, or nil if there is
// none: the one with the fewest runs that are suspects too, a held one first.
func (p *Planner) bestForTrial(list []placementOption, key stepKey, now Instant) (best *Worker) {
	bestFresh, bestHeld := 0, false
	for _, o := range list {
		fresh, held := o.w.freshRuns(), o.w.reservedFor(key, now)
		if o.w.lostRecently(now) {
			fresh++
		}
		better := best == nil || fresh == 0 && bestFresh > 0
		if !better && (fresh == 0) == (bestFresh == 0) {
			better = held && !bestHeld || held == bestHeld && (fresh < bestFresh || fresh == bestFresh && len(o.w.allocations) < len(best.allocations))
		}
		if better {
			best, bestFresh, bestHeld = o.w, fresh, held
		}
	}
	return best
}

// holdForTrial keeps other tasks from a worker until a suspect can be tried there.
func (p *Planner) holdForTrial(w *Worker, si *stepInstance, now Instant) {
	if w != nil && p.mayTry(w, now) {
		// No other step has a higher priority or an earlier deadline than this.
		w.reservation = reservation{stepKey: si.key(), untilMs: now.Ms + trialHoldMs, trial: true}
	}
}

// mayTry reports whether another task may be tried on the worker, so that enough others
// take starts of all tasks. Workers that take none at all do not count.
func (p *Planner) mayTry(w *Worker, now Instant) bool {
	n := 0
	for _, other := range p.workers {
		held := other.trial.Job != "" || other.reservation.trial && now.Ms < other.reservation.untilMs
		if held && other != w && p.available(other, now) {
			n++
		}
	}
	return n == 0 || float64(n+1) <= maxTrialShare*float64(len(p.workers))
}

// withoutHeld removes the workers that are held for a suspect of the same step
// instance. For a gang with suspects it removes the workers that are not quiet.
func (p *Planner) withoutHeld(si *stepInstance, list []placementOption, now Instant) []placementOption {
	if n := stepCrashes(si.tasks()); n < isolateCrashes || !p.mayIsolate(si, n, now) {
		return list
	}
	var rest []placementOption
	for _, o := range list {
		switch {
		case si.spec().Gang && !o.w.quiet(si):
		case o.w.reservation.trial && o.w.reservedFor(si.key(), now):
		default:
			rest = append(rest, o)
		}
	}
	if len(rest) < len(list) {
		si.noteIsolated(now)
	}
	return rest
}

// freshRuns returns the number of runs that have not settled.
func (w *Worker) freshRuns() (n int) {
	for _, a := range w.allocations {
		if !a.settled {
			n++
		}
	}
	return n
}

// quiet reports whether all runs on the worker have settled, so that a run started now
// would be the likely cause of a crash. The members of a gang are one suspect.
func (w *Worker) quiet(si *stepInstance) bool {
	for ref, a := range w.allocations {
		if !a.settled && (!si.spec().Gang || (stepKey{ref.Job, ref.Occ, ref.Step}) != si.key()) {
			return false
		}
	}
	return true
}

// needsTrial reports whether a task is to be tried alone. In a gang, one member decides
// for all.
func (p *Planner) needsTrial(si *stepInstance, t *Task) bool {
	if si.spec().Gang {
		return stepCrashes(si.tasks()) >= isolateCrashes
	}
	return t.Crashes >= isolateCrashes
}

// beginTrial is called when a task was placed on a worker. If it is tried alone there,
// the worker takes no other start until the run has ended or settled.
func (t *Task) beginTrial(ref Ref, w *Worker, alone bool) {
	if t.Crashes >= boundedCrashes {
		t.Trials++
	}
	t.Alone = alone
	if alone {
		w.trial = ref
	}
}

// onTrial reports whether the worker hosts a trial of another step instance.
func (w *Worker) onTrial(key stepKey) bool {
	return w.trial.Job != "" && (stepKey{w.trial.Job, w.trial.Occ, w.trial.Step}) != key
}

// keptByTrial reports whether the trial of another step instance, or the wait for one,
// keeps a step instance from the worker.
func (p *Planner) keptByTrial(si *stepInstance, w *Worker, now Instant) bool {
	held := w.reservation.trial && now.Ms < w.reservation.untilMs && w.reservation.stepKey != si.key()
	return (held || w.onTrial(si.key())) && p.mayIsolate(si, 0, now)
}

// lostRecently reports whether the worker was lost within lossWindowMs.
func (w *Worker) lostRecently(now Instant) bool {
	return w.lost != nil && now.Ms-w.lost.atMs <= lossWindowMs
}

// avoidedBySuspects reports whether tasks under which workers have crashed prefer other
// workers: another suspect has just started there, or the worker was lost recently.
func (p *Planner) avoidedBySuspects(w *Worker, now Instant) bool {
	return p.hostsSuspect(w) || w.lostRecently(now)
}

// hostsSuspect reports whether a suspect has just started on the worker.
func (p *Planner) hostsSuspect(w *Worker) bool {
	for ref, a := range w.allocations {
		if a.survived {
			continue
		}
		if j := p.state.Jobs[ref.Job]; j != nil {
			if t := j.task(ref); t != nil && t.Crashes > 0 {
				return true
			}
		}
	}
	return false
}
