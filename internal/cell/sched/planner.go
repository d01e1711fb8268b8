// Package sched places the tasks of accepted jobs on workers. It keeps the
// accepted jobs, allocates worker capacity, orders the waiting steps, and
// derives the next state of each job from the reports of the workers. A run is
// one attempt to execute a task; its number counts from 1.
//
// A Planner belongs to the single owner of the job topic. It has no clock, no
// sockets and no goroutines: its callers pass in the time and all replies, and
// act on what it returns. It maintains four invariants:
//
//   - A start is sent only after the intent to start it is stored, so the
//     records name every run that can exist when another owner takes over.
//   - Capacity is allocated before the intent is stored. It is released only
//     when the run has ended or can no longer exist: the start was not sent, or
//     the worker lists the end, refuses the start, restarts, loses its lease, or
//     omits the run from a report requested after a confirmed stop or a takeover.
//   - A start is sent only if it fits into the capacity that the runs sent before it
//     leave. The capacity of a worker may shrink below what it runs, and grow again.
//   - A task gets a new run only after its previous run has ended or can no
//     longer exist.
//
// Sending a start before its intent is stored would save one append. But after
// a takeover, the records would not name all runs, so the new owner could start
// no waiting task until every worker has listed its runs or lost its lease.
//
// A job keeps its queue, in the latest version that the planner has seen, when the policy
// renames or drops it; see queues.go.
//
// In queues with Queue.Advice set, each start needs a ticket. The advice service
// decides which workers may run a step, and issues tickets for these workers.
//
// # Usage
//
//	p := sched.NewPlanner(sched.Config{State: state, LeaseMs: 8000}, now)
//	p.Accept(spec, now)            // Withdraw takes it back until TakeBatch
//	plan := p.Plan(hosts, now)     // allocates capacity
//	batch, err := p.TakeBatch(now) // records to append
//	p.Stored(batch)                // after the append
//	send := p.ReleaseStarts(plan.Starts, now)
//	p.ApplyStartOutcome(start, sched.StartConfirmed, now)
//	p.ApplyReport("w1", report, now)
package sched

import (
	"slices"
	"sort"

	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/trust"
)

// Instant is a point in time on both clocks. Other points in time with the
// suffix Ms are on the monotonic clock unless their comment says "since 1970".
type Instant struct {
	Ms     int64 // monotonic clock of the process, in ms
	WallMs int64 // wall clock, in ms since 1970
}

// ofWall returns the monotonic time of a wall clock time that has passed.
func (t Instant) ofWall(ms int64) int64 { return t.Ms - max(t.WallMs-ms, 0) }

// Limit is the quota and the job rate of a team.
type Limit struct {
	Max    jobs.Size // 0 in a dimension means no limit
	Weight int64     // jobs a second; 0 means no limit
}

// Policy holds the queues, team limits and closed zones, including the changes
// made by operators.
type Policy struct {
	Unread    bool // no policy has been read yet, so nothing is started: limits and closed zones are not known
	Queues    map[string]Queue
	Services  map[string]bool // configured worker pools; nil if they are not known
	Teams     map[string]Limit
	ClosedAzs map[string]bool // availability zones out of service
}

// Config holds the parameters of a Planner.
type Config struct {
	State            *State // result of the stored records; the planner updates it
	PrevOwnerRenewMs int64  // how long after a claim the previous owner may still renew leases
	LeaseMs          int64  // duration of the lease that a renewal requests
	MaxLeaseMs       int64  // longest lease that a worker grants
	RetentionMs      int64  // how long an ended job is retained
	RecordBytes      int    // longest record that the store takes; 0 means 256 KiB
	AppendBytes      int    // longest append that the store takes; 0 means 2 MiB
	Interference     bool   // keeps tasks apart that slow each other down; see interfere.go
}

// Margins added to the duration of a lease.
const (
	maxClockDrift = 0.03 // maximum relative drift: 2% of a worker's clock plus 1% of this process's clock
	leaseMarginMs = 300  // maximum delay between the sending of a call and its effect
)

// stepInstance is one step of one occurrence of an open job.
type stepInstance struct {
	job           *Job
	occ           int
	step          int
	dueMs         int64 // when the occurrence became due, in ms since 1970
	deadlineMs    int64 // when the job should have ended, in ms since 1970
	readyMs       int64 // monotonic time at which it became ready to run
	advice        adviceState
	retryAtMs     int64 // no placement is tried before this time
	triedMs       int64 // time of the last plan that tried it, or readyMs
	rank          rank  // result of the last ranking
	failedTries   int   // failed tries since the last start or advice
	isolatedMs    int64 // when isolation first kept it from a worker with room; 0 if it has not since its last start without a suspect in the step
	policyVersion int   // version of the policy from which the deadline was computed
}

func (si *stepInstance) spec() Step    { return si.job.Spec.Steps[si.step] }
func (si *stepInstance) tasks() []Task { return si.job.stepTasks(si.occ, si.step) }
func (si *stepInstance) ref(i int) Ref {
	return Ref{Job: si.job.Spec.ID, Occ: si.occ, Step: si.step, Index: i}
}
func (si *stepInstance) key() stepKey     { return stepKey{si.job.Spec.ID, si.occ, si.step} }
func (si *stepInstance) stepName() string { return si.ref(0).StepName() }

type stepKey struct {
	job  string
	occ  int
	step int
}

// Planner holds the jobs and workers of one owner and decides which tasks run
// where. It is not safe for concurrent use.
type Planner struct {
	cfg            Config
	state          *State
	policy         Policy
	queues         map[string]*jobQueue // by ID; see queues.go
	queuesChanged  bool                 // a record of a queue may have to be stored
	policyVersion  int                  // number of policies set so far
	workers        map[string]*Worker
	used           map[string]jobs.Size // total allocated size, by team
	steps          map[stepKey]*stepInstance
	waiting        map[stepKey]*stepInstance // step instances with a task that is ready to be placed
	dirty          map[string]bool           // jobs whose latest progress is not in a batch yet
	newSpecs       []Spec                    // accepted jobs that are not in a batch yet
	storedVerdicts map[string]Verdict        // verdicts that are stored, by job
	storedJobs     map[string]bool           // jobs whose acceptance is stored
	stops          []Stop
	cancels        map[string]*followedCancel // acknowledged cancellations of jobs that have runs left, by job
	gone           []endedJob                 // cancelled jobs whose last run is gone, with the time of the acknowledgement; since the last TakeGone
	lingering      int                        // listed runs whose job has ended, of all workers
	lastSerial     int64                      // of an allocation for a start
	startedMs      int64                      // time of NewPlanner
	tickMs         int64                      // time of the last call of Tick
	trust          *trust.Tracker
	allowedShares  map[string]*allowedShare // share of the workers that advice allows, by queue
	estimator      estimator
	runsRecorded   int                     // by the estimator
	buckets        map[string]*tokenBucket // by team
	ended          []endedJob              // by time of their end
	denied         map[string]denial       // by job, see denial.go
	denials        []endedJob              // by time
	newDenials     []string                // jobs of denials that are not in a batch yet
	endings        []Ending                // since the last TakeEndings
	crashes        []Crash                 // not taken by TakeCrashes yet
	fullJobs       []string                // not taken by TakeFullJobs yet
	setAside       map[string]bool         // jobs whose records the store refuses; see Refused
	lastGeneration int64                   // of a value stored in parts, without the epoch
	losses         []*workerLoss           // losses of workers within lossWindowMs
	verdicts       map[Ref]pendingVerdict  // suspects that will be given up
	plannedCommon  bool                    // losses were common when the last plan began
	interference   *interference           // nil unless Config.Interference is set
	indexes        map[string]*index       // by worker pool; see index.go
	hostLanes      [2]*stepInstance        // served last by serveLongestWaits, with costly requests at index 1
	unindexed      []*Worker               // that were not available in the last plan, or are new
	scratch        []*Worker               // reused by candidatesFor
}

type endedJob struct {
	id   string
	atMs int64 // monotonic, in ms
}

// NewPlanner returns a planner for an owner that has read all records. Tasks
// in state Placed are adopted: they keep their allocation until their worker
// has listed its runs or its lease has expired.
func NewPlanner(cfg Config, now Instant) *Planner {
	p := &Planner{
		cfg: cfg, state: cfg.State, startedMs: now.Ms, tickMs: now.Ms, workers: map[string]*Worker{}, used: map[string]jobs.Size{},
		steps: map[stepKey]*stepInstance{}, waiting: map[stepKey]*stepInstance{}, dirty: map[string]bool{},
		storedVerdicts: map[string]Verdict{}, storedJobs: map[string]bool{}, trust: trust.New(trust.Config{MaxQuarantineMs: maxQuarantineMs}), allowedShares: map[string]*allowedShare{},
		estimator: newEstimator(), buckets: map[string]*tokenBucket{}, verdicts: map[Ref]pendingVerdict{}, setAside: map[string]bool{},
		queues: map[string]*jobQueue{}, cancels: map[string]*followedCancel{}, denied: map[string]denial{}, interference: newInterference(cfg.Interference), indexes: map[string]*index{},
	}
	p.readQueues(cfg.State.queues)
	for id, j := range cfg.State.Jobs {
		p.joinQueue(j)
		p.storedJobs[id] = true
		p.storedVerdicts[id] = j.Progress.Verdict
		p.adopt(j, now)
		if j.Progress.Verdict != Open {
			p.stopJob(j, StopAdopted)
			endMs := now.ofWall(j.Progress.EndMs)
			p.ended = append(p.ended, endedJob{id, endMs})
			if j.Progress.Verdict == Cancelled {
				p.followCancel(j, endMs)
			}
			continue
		}
		for _, t := range j.Progress.Tasks {
			j.checkpointBytes += len(t.Checkpoint)
		}
		p.addSteps(j, now)
	}
	for id, progress := range cfg.State.earlyProgress {
		if progress.isDenial() {
			p.denied[id] = denial{exactID: progress.ExactID}
			p.denials = append(p.denials, endedJob{id, now.ofWall(progress.EndMs)})
		}
	}
	for _, list := range [][]endedJob{p.ended, p.denials} {
		sort.Slice(list, func(a, b int) bool { return list[a].atMs < list[b].atMs })
	}
	return p
}

// adopt allocates capacity for the tasks of a job that are in state Placed.
func (p *Planner) adopt(j *Job, now Instant) {
	for occ := range j.occurrences() {
		for step, s := range j.Spec.Steps {
			for i, t := range j.stepTasks(occ, step) {
				if t.State != Placed {
					continue
				}
				w := p.workers[t.Worker]
				if w == nil {
					w = p.addWorker(WorkerInfo{ID: t.Worker, Incarnation: t.Incarnation}, now)
				}
				ref := Ref{j.Spec.ID, occ, step, i}
				if t.Alone {
					w.trial = ref
				}
				p.allocate(w, &allocation{
					ref: ref, run: t.LastRun, size: s.demand(), team: j.Spec.Team,
					phase: phaseAdopted, phaseStartMs: now.Ms, runMs: s.EstimateMs, endMs: now.Ms + s.EstimateMs,
				})
			}
		}
	}
}

// addWorker adds a worker that is not fenced yet: a previous owner may still
// renew its lease for PrevOwnerRenewMs.
func (p *Planner) addWorker(info WorkerInfo, now Instant) *Worker {
	w := newWorker(info)
	w.renewedMs = now.Ms + p.cfg.PrevOwnerRenewMs
	w.leaseExpiryMs = w.renewedMs + p.leaseBound()
	p.workers[info.ID] = w
	p.unindexed = append(p.unindexed, w)
	return w
}

// leaseBound returns how long a lease may last after its renewal was sent, in ms.
func (p *Planner) leaseBound() int64 { return elapsedBound(p.cfg.LeaseMs) }

// maxLeaseBound is leaseBound for the longest lease that a worker grants.
func (p *Planner) maxLeaseBound() int64 { return elapsedBound(max(p.cfg.MaxLeaseMs, p.cfg.LeaseMs)) }

// elapsedBound returns how long a lease of ms milliseconds on a worker's clock
// may last on the clock of this process, including the margins.
func elapsedBound(ms int64) int64 { return ms + int64(float64(ms)*maxClockDrift) + leaseMarginMs }

func (p *Planner) allocate(w *Worker, a *allocation) {
	w.allocate(a)
	p.used[a.team] = p.used[a.team].Plus(a.size)
}

func (p *Planner) release(w *Worker, r Ref) {
	if a := w.release(r); a != nil {
		p.noteOverlap(w, a)
		p.used[a.team] = p.used[a.team].Minus(a.size)
		p.noteGone(r.Job)
	}
}

// addSteps adds the step instances of an open job.
func (p *Planner) addSteps(j *Job, now Instant) {
	for occ := range j.occurrences() {
		for step := range j.Spec.Steps {
			si := &stepInstance{job: j, occ: occ, step: step}
			p.steps[si.key()] = si
		}
	}
	p.updateJob(j, now)
}

// updateJob recomputes which step instances of an open job are waiting, and ends
// the job if all its tasks are done or it was cancelled.
func (p *Planner) updateJob(j *Job, now Instant) {
	if j.Progress.Verdict != Open {
		return
	}
	if j.Progress.Cancel {
		p.endJob(j, Cancelled, now)
		return
	}
	allDone := true
	for occ := range j.occurrences() {
		for step, s := range j.Spec.Steps {
			done, waiting := countTasks(j.stepTasks(occ, step))
			if done == s.Count {
				delete(p.waiting, stepKey{j.Spec.ID, occ, step})
				continue
			}
			allDone = false
			p.updateStep(j, occ, step, waiting, now)
		}
	}
	if allDone {
		p.endJob(j, Completed, now)
	}
}

func countTasks(tasks []Task) (done, waiting int) {
	for _, t := range tasks {
		switch t.State {
		case Done:
			done++
		case Waiting:
			waiting++
		}
	}
	return done, waiting
}

// updateStep marks a step instance as waiting if it is ready to be placed.
func (p *Planner) updateStep(j *Job, occ, step, waiting int, now Instant) {
	key := stepKey{j.Spec.ID, occ, step}
	si := p.steps[key]
	if !si.ready(waiting) {
		delete(p.waiting, key)
		return
	}
	si.retryAtMs = 0 // try again at once: one of its runs may have released capacity
	if p.waiting[key] == nil {
		si.readyMs, si.triedMs, si.isolatedMs = now.Ms, now.Ms, 0
		p.setDeadline(si)
		p.waiting[key] = si
	}
}

// ready reports whether a step instance of which that many tasks wait is ready to be
// placed.
func (si *stepInstance) ready(waiting int) bool {
	s := si.spec()
	if waiting == 0 || s.Gang && waiting < s.Count {
		return false
	}
	deps := si.job.stepGraph().deps[si.step]
	for i := len(deps) - 1; i >= 0; i-- { // the last ones are the least likely to be done
		if !si.job.stepDone(si.occ, deps[i]) {
			return false
		}
	}
	return true
}

// setDeadline computes when the job should have ended: its due time, plus the
// run time of its critical path times the queue's slack factor, plus the
// queue's target latency.
func (p *Planner) setDeadline(si *stepInstance) {
	spec := si.job.Spec
	si.dueMs = spec.AcceptedMs
	if spec.Occurrences > 0 {
		si.dueMs = spec.FirstMs + int64(si.occ)*spec.IntervalMs
	}
	si.policyVersion = p.policyVersion
	q := &si.job.queue.latest
	criticalPath := p.estimatedGraph(si.job).criticalPath
	si.deadlineMs = si.dueMs + int64(q.Slack*float64(criticalPath)) + q.TargetMs
}

// endJob sets the verdict of a job and stops its remaining runs.
func (p *Planner) endJob(j *Job, v Verdict, now Instant) {
	j.Progress.Verdict = v
	j.Progress.EndMs = now.WallMs
	id := j.Spec.ID
	p.dirty[id] = true
	p.ended = append(p.ended, endedJob{id, now.Ms})
	p.endings = append(p.endings, Ending{Job: id, Verdict: v})
	j.graph = nil
	for occ := range j.occurrences() {
		for step := range j.Spec.Steps {
			key := stepKey{id, occ, step}
			delete(p.waiting, key)
			delete(p.steps, key)
		}
	}
	p.stopJob(j, endReason(j))
}

// Ending is a verdict and, if it is JobFailed, the end of a run that caused it.
type Ending struct {
	Job      string
	Verdict  Verdict
	Task     Ref
	Run      int
	Reason   EndReason
	Failures int // counted for the task
	Limit    int // of Failures, when the verdict was reached
}

// failJob ends a job as failed for the cause given in e.
func (p *Planner) failJob(j *Job, e Ending, now Instant) {
	p.endJob(j, JobFailed, now)
	e.Job, e.Verdict = j.Spec.ID, JobFailed
	p.endings[len(p.endings)-1] = e
}

// TakeEndings returns the verdicts reached since the last call. They may not be stored
// yet.
func (p *Planner) TakeEndings() []Ending {
	list := p.endings
	p.endings = nil
	return list
}

// stopJob requests a stop of every run of a job.
func (p *Planner) stopJob(j *Job, reason StopReason) {
	for occ := range j.occurrences() {
		for step := range j.Spec.Steps {
			for i, t := range j.stepTasks(occ, step) {
				if t.State == Placed {
					p.stopTask(j, Ref{j.Spec.ID, occ, step, i}, reason)
				}
			}
		}
	}
}

// stopTask requests a stop of the current run of a task.
func (p *Planner) stopTask(j *Job, r Ref, reason StopReason) {
	t := j.task(r)
	if t == nil || t.Worker == "" {
		return
	}
	if w := p.workers[t.Worker]; w != nil {
		p.stop(w, r, t.LastRun, reason)
	}
}

// stopAgainMs is the time after which a stop is requested again if the worker still lists
// the run. A worker takes up to 900 ms to stop a run, and lists it until then.
const stopAgainMs = 1_000

// StopNotSent is called when a stop was given up without having reached the worker, whose
// address is not known or belongs to another worker. The next report requests it again.
func (p *Planner) StopNotSent(s Stop) {
	if w := p.workers[s.Worker]; w != nil {
		if a := w.allocations[s.Ref]; a != nil && a.run == s.Run {
			a.stopLost = true // a.stopping stays set: a start of the run must not be sent
		}
	}
}

// stop requests a stop of a run, again after stopAgainMs or StopNotSent: the worker may have
// confirmed a stop and not carried it out, or have restarted and got the start late. A start
// that ReleaseStarts has not returned yet needs no stop, because ReleaseStarts withdraws it.
func (p *Planner) stop(w *Worker, r Ref, run int, reason StopReason) {
	s := Stop{Worker: w.ID, Ref: r, Run: run, Reason: reason}
	a := w.allocations[r]
	if a != nil && a.run == run {
		if a.phase == phaseIntent || a.stopping && !a.stopLost && p.tickMs-a.stopMs < stopAgainMs {
			return
		}
		s.Earlier, s.Confirmed = a.stops, a.phase == phaseStopConfirmed
		a.stopping, a.stopLost, a.stopMs = true, false, p.tickMs
		a.stops++
	}
	p.stops = append(p.stops, s)
}

// Stop is a request to a worker to stop a run.
type Stop struct {
	Worker    string
	Ref       Ref
	Run       int
	Reason    StopReason
	Earlier   int  // requests before this one for the run
	Confirmed bool // the worker has confirmed an earlier one
}

// StopReason tells in log lines why a stop was requested.
type StopReason string

// Reasons of a stop.
const (
	StopCancelled    StopReason = "cancelled"    // the job was cancelled
	StopJobEnded     StopReason = "jobEnded"     // the job has completed or failed
	StopAdopted      StopReason = "adopted"      // the job had ended when this owner took over
	StopLateRun      StopReason = "lateRun"      // the job has ended, and the run was not expected to exist any more
	StopUnknownRun   StopReason = "unknownRun"   // the worker lists a run that was not placed there
	StopOtherRun     StopReason = "otherRun"     // the worker lists another run of the task than the one placed there
	StopStartUnknown StopReason = "startUnknown" // the start was not confirmed
	StopGang         StopReason = "gang"         // another member of the gang was not started or has ended
	StopDraining     StopReason = "draining"     // the worker leaves before the run would end
	StopMissing      StopReason = "missing"      // the worker does not list the run any more
	StopListed       StopReason = "listed"       // the worker lists the run in spite of an earlier stop
	StopAddress      StopReason = "address"      // the address of the worker has become known or has changed
)

// endReason returns the reason for which the runs of an ended job are stopped.
func endReason(j *Job) StopReason {
	if j.Progress.Verdict == Cancelled {
		return StopCancelled
	}
	return StopJobEnded
}

// TakeStops returns the stops requested since the last call.
func (p *Planner) TakeStops() []Stop {
	s := p.stops
	p.stops = nil
	return s
}

// Accept adds a job and reports whether it is new. A job whose ID is in use, or whose
// cancellation was answered before, is ignored.
func (p *Planner) Accept(spec Spec, now Instant) (added bool) {
	if p.state.Jobs[spec.ID] != nil || p.Denied(spec.ID) {
		return false
	}
	spec.Excess = p.exceedsRate(spec.Team, now)
	j := newJob(spec)
	p.joinQueue(j)
	p.state.Jobs[spec.ID] = j
	p.newSpecs = append(p.newSpecs, spec)
	p.addSteps(j, now)
	return true
}

// Withdraw removes an accepted job whose record is not in a batch yet, and reports
// whether it did. Its planned starts are dropped by ReleaseStarts.
func (p *Planner) Withdraw(id string) bool {
	i := slices.IndexFunc(p.newSpecs, func(s Spec) bool { return s.ID == id })
	if i < 0 {
		return false
	}
	p.newSpecs = slices.Delete(p.newSpecs, i, i+1)
	p.remove(id)
	return true
}

// remove removes a job that is not stored.
func (p *Planner) remove(id string) {
	j := p.state.Jobs[id]
	for occ := range j.occurrences() {
		for step := range j.Spec.Steps {
			for k, t := range j.stepTasks(occ, step) {
				if w := p.workers[t.Worker]; t.State == Placed && w != nil {
					p.release(w, Ref{id, occ, step, k})
				}
			}
			key := stepKey{id, occ, step}
			delete(p.waiting, key)
			delete(p.steps, key)
		}
	}
	j.queue.jobs--
	delete(p.state.Jobs, id)
	delete(p.dirty, id)
	p.ended = slices.DeleteFunc(p.ended, func(e endedJob) bool { return e.id == id })
	p.endings = slices.DeleteFunc(p.endings, func(e Ending) bool { return e.Job == id })
}

// Cancel cancels a job and reports whether the job exists.
func (p *Planner) Cancel(id string, now Instant) bool {
	j := p.state.Jobs[id]
	if j == nil {
		return false
	}
	if j.Progress.Verdict == Open {
		j.Progress.Cancel = true
		p.endJob(j, Cancelled, now)
	}
	return true
}
