// Package sched decides what runs where: it keeps the accepted jobs, books
// room on workers, orders waiting steps, and turns what workers report into
// the next state of each job.
//
// A Planner belongs to the one owner of the jobs' topic. It has no clock, no
// sockets and no goroutines: instants and answers go in, decisions come out.
// Three invariants hold everything together:
//
//   - A run is sent only after the intent to run it is stored, so a successor
//     knows every run that can exist.
//   - Room is booked before the intent and released only when the worker lists
//     the end of the run, denies the run for good, or has surely lost it.
//   - A task gets a new run only when its last one has been settled.
//
// Rejected way: starting before the intent is stored. It saves one append, and
// makes a successor hold back every waiting task while one worker is silent.
//
// # Usage
//
//	p := sched.NewPlanner(sched.Config{State: state, LeaseMs: 8000})
//	p.Accept(spec, now)
//	plan := p.Plan(now)           // books room; plan.Starts wait for the store
//	batch, err := p.TakeDirty()   // records to append
//	p.Stored(batch)               // then the starts may be sent
//	p.Started(start, sched.StartUp, now)
//	p.Listed("w1", lists, now)
package sched

import (
	"sort"

	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/trust"
)

// Instant is a moment by both clocks.
type Instant struct {
	Ms   int64 // steady clock of the process, in ms
	Wall int64 // ms since 1970
}

// Limit is what a team may have running and its share.
type Limit struct {
	Max    jobs.Size // 0 in a dimension means no limit
	Weight int64
}

// View is what the configuration and the operators say.
type View struct {
	Queues map[string]Queue
	Teams  map[string]Limit
	Closed map[string]bool // availability zones out of service
}

// Config describes a Planner.
type Config struct {
	State      *State
	SilenceMs  int64 // after a claim, how long an earlier owner may have renewed leases
	LeaseMs    int64 // of a renewal
	LeaseMaxMs int64 // longest lease that a worker grants, whatever is asked for
	KeepMs     int64 // how long an ended job is remembered
}

// Bounds and margins.
const (
	clockDrift    = 0.03 // a worker's clock may be 2% slow; 1% for our own
	leaseMarginMs = 300  // delay between a call's departure and its effect
)

// part is one step of one occurrence of an open job.
type part struct {
	job     *Job
	occ     int
	step    int
	from    int64 // since when its job has been owed, ms since 1970
	due     int64 // by which the job should have ended, ms since 1970
	readyMs int64 // steady instant from which it could run; 0 while it may not
	advice  adviceState
	restMs  int64 // found no room: it is not looked at before this instant
	rank    rank  // when it was looked at last
	vain    int   // tries since it was placed or advised last
	failRun int   // run of a gang whose failure has been counted
	queue   *Queue
	viewNo  int // of the configuration from which queue was taken
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

// Planner is the owner's view of jobs and workers. It is not safe for
// concurrent use.
type Planner struct {
	cfg     Config
	state   *State
	view    View
	queues  map[string]*Queue
	viewNo  int // counts configurations
	workers map[string]*Worker
	used    map[string]jobs.Size // team -> booked
	parts   map[partKey]*part
	waiting map[partKey]*part // parts with a task that could be placed
	dirty   map[string]bool   // jobs whose progress is not stored
	fresh   []Spec            // accepted, not stored
	durable map[string]Verdict
	known   map[string]bool // jobs whose acceptance is stored
	stops   []Stop
	trust   *trust.Trust
	good    map[string]*ratio // queue -> share of workers that advice allows
	learned learned
	buckets map[string]*bucket // team -> jobs sent against its weight
	ended   []endedJob
}

type endedJob struct {
	id string
	at int64 // steady ms
}

// NewPlanner returns the planner of an owner that has read all records.
// Placed tasks are looked for on their workers before anything else happens
// to them.
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

// adopt books the placed tasks of a job where they were placed.
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

// addWorker adds a worker that has not been fenced yet: an earlier owner may go
// on renewing its lease for a while.
func (p *Planner) addWorker(info WorkerInfo, now Instant) *Worker {
	w := newWorker(info)
	w.sureMs = now.Ms + p.cfg.SilenceMs + p.leaseBound()
	p.workers[info.ID] = w
	return w
}

// leaseBound is how long after a renewal was sent its lease may last.
func (p *Planner) leaseBound() int64 { return bound(p.cfg.LeaseMs) }

// longestBound is how long the longest lease that a worker grants may last.
func (p *Planner) longestBound() int64 { return bound(max(p.cfg.LeaseMaxMs, p.cfg.LeaseMs)) }

// bound is how long a lease of ms on a worker's clock may last on ours.
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

// open makes the parts of a job known to the queue.
func (p *Planner) open(j *Job, now Instant) {
	for occ := range j.occurrences() {
		for step := range j.Spec.Steps {
			pt := &part{job: j, occ: occ, step: step}
			p.parts[pt.key()] = pt
		}
	}
	p.refresh(j, now)
}

// refresh finds out which parts of an open job could run, and whether the job
// has ended.
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
	pt.restMs = 0 // a run of its own has ended, and may have left room
	if p.waiting[key] == nil {
		pt.readyMs = now.Ms
		p.schedule(pt)
		p.waiting[key] = pt
	}
}

// schedule computes by when the part's job should have ended: its longest chain
// of steps times the queue's factor, and the queue's latency more.
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

// end gives a job its verdict and stops what still runs.
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

// stopAll asks for the end of every run of a job.
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

// stopTask asks for the end of a task's run, wherever it is booked.
func (p *Planner) stopTask(j *Job, r Ref) {
	t := j.task(r)
	if t == nil || t.Worker == "" {
		return
	}
	if w := p.workers[t.Worker]; w != nil {
		p.stop(w, r, t.Run)
	}
}

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

// Stop asks a worker to end a run.
type Stop struct {
	Worker string
	Ref    Ref
	Run    int
}

// TakeStops returns the stops asked for since the last call.
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

// noQueue stands for a queue that the configuration no longer has.
var noQueue = &Queue{}

// queue returns the queue of a part.
func (p *Planner) queue(pt *part) *Queue {
	if pt.queue == nil || pt.viewNo != p.viewNo {
		pt.queue, pt.viewNo = p.queues[pt.job.Spec.Queue], p.viewNo
		if pt.queue == nil {
			pt.queue = noQueue
		}
	}
	return pt.queue
}

// Accept adds a job. A job that is known already is left as it is.
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

// Cancel ends a job on request and reports whether it is known.
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
