// Package sched places the tasks of accepted jobs on workers. It keeps the
// accepted jobs, allocates worker capacity, orders the waiting steps, and
// derives the next state of each job from the reports of the workers.
//
// A Planner belongs to the single owner of the job topic. It has no clock, no
// sockets and no goroutines: its callers pass in the time and all replies, and
// act on what it returns. It maintains three invariants:
//
//   - A start is sent only after the intent to start it is stored, so the
//     records name every run that can exist when another owner takes over.
//   - Capacity is allocated before the intent is stored. It is released only
//     when the run has ended or can no longer exist: the start was not sent, or
//     the worker lists the end, refuses the start, omits the run from a list
//     requested after a confirmed stop, restarts, or loses its lease.
//   - A task gets a new run only after its previous run has been settled.
//
// Starting a run before its intent is stored would save one append. But after
// a takeover, the new owner would have to hold back every waiting task as long
// as one worker does not answer.
//
// # Usage
//
//	p := sched.NewPlanner(sched.Config{State: state, LeaseMs: 8000})
//	p.Accept(spec, now)
//	plan := p.Plan(hosts, now)    // allocates capacity
//	batch, err := p.TakeDirty(now) // records to append
//	p.Stored(batch)               // after the append
//	send := p.Release(plan.Starts, now)
//	p.Started(start, sched.StartUp, now)
//	p.Listed("w1", lists, now)
package sched

import (
	"sort"

	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/trust"
)

// Instant is a point in time on both clocks.
type Instant struct {
	Ms   int64 // monotonic clock of the process, in ms
	Wall int64 // wall clock, in ms since 1970
}

// Limit is the quota and the weight of a team.
type Limit struct {
	Max    jobs.Size // 0 in a dimension means no limit
	Weight int64     // jobs a second; 0 means no limit
}

// View is the current configuration, including the changes made by operators.
type View struct {
	Queues map[string]Queue
	Teams  map[string]Limit
	Closed map[string]bool // availability zones out of service
}

// Config holds the parameters of a Planner.
type Config struct {
	State      *State
	SilenceMs  int64 // how long after a claim the previous owner may still renew leases
	LeaseMs    int64 // lease that a renewal asks for
	LeaseMaxMs int64 // longest lease that a worker grants
	KeepMs     int64 // how long an ended job is retained
}

// Limits of lease expiry.
const (
	clockDrift    = 0.03 // 2% for a slow worker clock and 1% for the clock of this process
	leaseMarginMs = 300  // delay between the sending of a call and its effect
)

// stepInstance is one step of one occurrence of an open job.
type part struct {
	job     *Job
	occ     int
	step    int
	from    int64 // when the occurrence became due, in ms since 1970
	due     int64 // when the job should have ended, in ms since 1970
	readyMs int64 // monotonic time at which it became ready to run
	advice  adviceState
	restMs  int64 // no placement is tried before this time
	rank    rank  // result of the last ranking
	vain    int   // failed tries since the last start or advice
	failRun int   // last run of a gang whose failure was counted
	queue   *Queue
	viewNo  int // version of the configuration that queue is from
}

func (pt *part) spec() Step    { return pt.job.Spec.Steps[pt.step] }
func (pt *part) tasks() []Task { return pt.job.stepTasks(pt.occ, pt.step) }
func (pt *part) ref(i int) Ref { return Ref{Job: pt.job.Spec.ID, Occ: pt.occ, Step: pt.step, Index: i} }
func (pt *part) key() partKey  { return partKey{pt.job.Spec.ID, pt.occ, pt.step} }
func (pt *part) name() string  { return pt.ref(0).StepName() }

type partKey struct {
	job  string
	occ  int
	step int
}

// Planner holds the jobs and workers of one owner and decides which tasks run
// where. It is not safe for concurrent use.
type Planner struct {
	cfg     Config
	state   *State
	view    View
	queues  map[string]*Queue
	viewNo  int // number of configurations set so far
	workers map[string]*Worker
	used    map[string]jobs.Size // allocated, by team
	parts   map[partKey]*part
	waiting map[partKey]*part  // step instances with a task that is ready to be placed
	dirty   map[string]bool    // jobs whose latest progress is not in a batch yet
	fresh   []Spec             // accepted jobs that are not in a batch yet
	durable map[string]Verdict // verdicts that are stored, by job
	known   map[string]bool    // jobs whose acceptance is stored
	stops   []Stop
	trust   *trust.Trust
	good    map[string]*ratio // share of the workers that advice allows, by queue
	learned learned
	buckets map[string]*bucket // by team
	ended   []endedJob         // by time of their end
}

type endedJob struct {
	id string
	at int64 // monotonic, in ms
}

// NewPlanner returns a planner for an owner that has read all records. Tasks
// in state Placed are adopted: they keep their allocation until their worker
// has listed its runs or its lease has expired.
func NewPlanner(cfg Config, now Instant) *Planner {
	p := &Planner{
		cfg: cfg, state: cfg.State, workers: map[string]*Worker{}, used: map[string]jobs.Size{},
		parts: map[partKey]*part{}, waiting: map[partKey]*part{}, dirty: map[string]bool{},
		durable: map[string]Verdict{}, known: map[string]bool{}, trust: trust.New(trust.Config{}), good: map[string]*ratio{},
		learned: newLearned(), buckets: map[string]*bucket{},
	}
	for id, j := range cfg.State.Jobs {
		p.known[id] = true
		p.durable[id] = j.Progress.Verdict
		p.adopt(j, now)
		if j.Progress.Verdict != Open {
			p.stopAll(j)
			p.ended = append(p.ended, endedJob{id, now.Ms - max(now.Wall-j.Progress.EndMs, 0)})
			continue
		}
		p.open(j, now)
	}
	sort.Slice(p.ended, func(a, b int) bool { return p.ended[a].at < p.ended[b].at })
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
					w = p.addWorker(WorkerInfo{ID: t.Worker, Born: t.Born}, now)
				}
				p.book(w, &booking{
					ref: Ref{j.Spec.ID, occ, step, i}, run: t.Run, size: s.charge(), team: j.Spec.Team,
					phase: phaseAdopted, sinceMs: now.Ms, runMs: s.EstimateMs, endMs: now.Ms + s.EstimateMs,
				})
			}
		}
	}
}

// addWorker adds a worker that is not fenced yet: a previous owner may still
// renew its lease for SilenceMs.
func (p *Planner) addWorker(info WorkerInfo, now Instant) *Worker {
	w := newWorker(info)
	w.sureMs = now.Ms + p.cfg.SilenceMs + p.leaseBound()
	p.workers[info.ID] = w
	return w
}

// leaseBound returns how long a lease may last after its renewal was sent, in ms.
func (p *Planner) leaseBound() int64 { return bound(p.cfg.LeaseMs) }

// maxLeaseBound is leaseBound for the longest lease that a worker grants.
func (p *Planner) longestBound() int64 { return bound(max(p.cfg.LeaseMaxMs, p.cfg.LeaseMs)) }

// elapsedBound returns how long a lease of ms on a worker's clock may last on
// the clock of this process.
func bound(ms int64) int64 { return ms + int64(float64(ms)*clockDrift) + leaseMarginMs }

func (p *Planner) book(w *Worker, b *booking) {
	w.book(b)
	p.used[b.team] = p.used[b.team].Plus(b.size)
}

func (p *Planner) release(w *Worker, r Ref) {
	if b := w.release(r); b != nil {
		p.used[b.team] = p.used[b.team].Minus(b.size)
	}
}

// addSteps adds the step instances of an open job.
func (p *Planner) open(j *Job, now Instant) {
	for occ := range j.occurrences() {
		for step := range j.Spec.Steps {
			pt := &part{job: j, occ: occ, step: step}
			p.parts[pt.key()] = pt
		}
	}
	p.refresh(j, now)
}

// refresh recomputes which step instances of an open job are ready, and ends
// the job if all its tasks are done or it was cancelled.
func (p *Planner) refresh(j *Job, now Instant) {
	if j.Progress.Verdict != Open {
		return
	}
	if j.Progress.Cancel {
		p.end(j, Cancelled, now)
		return
	}
	all := true
	for occ := range j.occurrences() {
		for step, s := range j.Spec.Steps {
			done, idle := count(j.stepTasks(occ, step))
			if done == s.Count {
				delete(p.waiting, partKey{j.Spec.ID, occ, step})
				continue
			}
			all = false
			p.refreshPart(j, occ, step, idle, now)
		}
	}
	if all {
		p.end(j, Completed, now)
	}
}

func count(tasks []Task) (done, idle int) {
	for _, t := range tasks {
		switch t.State {
		case Done:
			done++
		case Waiting:
			idle++
		}
	}
	return done, idle
}

func (p *Planner) refreshPart(j *Job, occ, step, idle int, now Instant) {
	key := partKey{j.Spec.ID, occ, step}
	pt := p.parts[key]
	s := j.Spec.Steps[step]
	could := idle > 0 && (!s.Gang || idle == s.Count)
	for _, d := range s.After {
		done, _ := count(j.stepTasks(occ, d))
		could = could && done == j.Spec.Steps[d].Count
	}
	if !could {
		delete(p.waiting, key)
		return
	}
	pt.restMs = 0 // one of its runs may have ended and released capacity
	if p.waiting[key] == nil {
		pt.readyMs = now.Ms
		p.schedule(pt)
		p.waiting[key] = pt
	}
}

// setDeadline computes when the job should have ended: its due time, plus the
// run time of its critical path times the queue's slack factor, plus the
// queue's target latency.
func (p *Planner) schedule(pt *part) {
	spec := pt.job.Spec
	pt.from = spec.AtMs
	if spec.Times > 0 {
		pt.from = spec.FirstMs + int64(pt.occ)*spec.EveryMs
	}
	q := p.view.Queues[spec.Queue]
	ends := make([]int64, len(spec.Steps))
	var chain int64
	for i, s := range spec.Steps {
		for _, d := range s.After {
			ends[i] = max(ends[i], ends[d])
		}
		ends[i] += p.learned.runMs(spec.Queue, s)
		chain = max(chain, ends[i])
	}
	pt.due = pt.from + int64(q.Slack*float64(chain)) + q.TargetMs
}

// endJob sets the verdict of a job and stops its remaining runs.
func (p *Planner) end(j *Job, v Verdict, now Instant) {
	j.Progress.Verdict = v
	j.Progress.EndMs = now.Wall
	id := j.Spec.ID
	p.dirty[id] = true
	p.ended = append(p.ended, endedJob{id, now.Ms})
	for occ := range j.occurrences() {
		for step := range j.Spec.Steps {
			key := partKey{id, occ, step}
			delete(p.waiting, key)
			delete(p.parts, key)
		}
	}
	p.stopAll(j)
}

// stopJob requests a stop of every run of a job.
func (p *Planner) stopAll(j *Job) {
	for occ := range j.occurrences() {
		for step := range j.Spec.Steps {
			for i, t := range j.stepTasks(occ, step) {
				if t.State == Placed {
					p.stopTask(j, Ref{j.Spec.ID, occ, step, i})
				}
			}
		}
	}
}

// stopTask requests a stop of the current run of a task.
func (p *Planner) stopTask(j *Job, r Ref) {
	t := j.task(r)
	if t == nil || t.Worker == "" {
		return
	}
	if w := p.workers[t.Worker]; w != nil {
		p.stop(w, r, t.Run)
	}
}

// stop requests a stop of a run. A start whose intent is not stored yet needs
// none, because Release withdraws it.
func (p *Planner) stop(w *Worker, r Ref, run int) {
	b := w.runs[r]
	if b != nil && b.run == run {
		if b.stopping || b.phase == phaseIntent {
			return
		}
		b.stopping = true
	}
	p.stops = append(p.stops, Stop{Worker: w.ID, Ref: r, Run: run})
}

// Stop is a request to a worker to stop a run.
type Stop struct {
	Worker string
	Ref    Ref
	Run    int
}

// TakeStops returns the stops requested since the last call.
func (p *Planner) TakeStops() []Stop {
	s := p.stops
	p.stops = nil
	return s
}

// SetView replaces the configuration.
func (p *Planner) SetView(v View) {
	p.view = v
	p.viewNo++
	p.queues = map[string]*Queue{}
	for name, q := range v.Queues {
		p.queues[name] = &q
	}
}

// missingQueue replaces a queue that is no longer configured.
var noQueue = &Queue{}

// queue returns the queue of a step instance, cached for each configuration.
func (p *Planner) queue(pt *part) *Queue {
	if pt.queue == nil || pt.viewNo != p.viewNo {
		pt.queue, pt.viewNo = p.queues[pt.job.Spec.Queue], p.viewNo
		if pt.queue == nil {
			pt.queue = noQueue
		}
	}
	return pt.queue
}

// Accept adds a job and reports whether it is new. A job whose ID is in use is
// ignored.
func (p *Planner) Accept(spec Spec, now Instant) (added bool) {
	if p.state.Jobs[spec.ID] != nil {
		return false
	}
	spec.Excess = p.excess(spec.Team, now)
	j := newJob(spec)
	p.state.Jobs[spec.ID] = j
	p.fresh = append(p.fresh, spec)
	p.open(j, now)
	return true
}

// Cancel cancels a job and reports whether the job exists.
func (p *Planner) Cancel(id string, now Instant) bool {
	j := p.state.Jobs[id]
	if j == nil {
		return false
	}
	if j.Progress.Verdict == Open {
		j.Progress.Cancel = true
		p.end(j, Cancelled, now)
	}
	return true
}
