package fakes

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"sort"
	"sync"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/ports"
)

// Farm stands in for the workers of the platform. It has no clock of its own:
// the instant comes with each call, so that pure tests can play hours in
// milliseconds. It records each broken promise.
type Farm struct {
	mu      sync.Mutex
	rand    *rand.Rand
	workers map[string]*farmWorker
	ids     []string // of the workers, in order
	specs   map[string]sched.Spec
	limits  map[string]jobs.Size
	faults  FarmFaults
	late    []lateOrder
	broken  []string
	acked   map[string]bool // tasks whose successful end has been taken note of
	done    map[string]bool // tasks that have ended well
	starts  int
}

// FarmFaults are the troubles in force. Shares lie between 0 and 1.
type FarmFaults struct {
	Lost float64 // orders that are carried out and not answered
	Late float64 // orders that are not answered and carried out seconds later
	Fail float64 // runs that fail
}

// FarmConfig describes a Farm.
type FarmConfig struct {
	Workers  int
	Capacity jobs.Size
	Rack     int // workers in a rack
	Azs      []string
	Service  string
	Seed     int64
}

// farmWorker is one worker. Its clock runs 2% slow.
type farmWorker struct {
	info   sched.WorkerInfo
	bootMs int64
	fence  int64
	lease  int64 // end, on its clock
	runs   map[string]*farmRun
	ended  []sched.Finished
	n      int64
	floor  map[string]int // run numbers up to which starts of a task are refused
	lapsed int64          // highest end that was listed when a lease ran out
	cut    bool           // no call reaches it
	down   bool           // it does not run
}

type farmRun struct {
	run     int
	size    jobs.Size
	team    string
	startMs int64
	runMs   int64
	fails   bool
	gang    string // step and run that the members share; empty for a single task
	members int
}

type lateOrder struct {
	atMs  int64
	start *ports.StartOrder
	stop  *ports.StopOrder
}

// Spans of late orders, by the platform's pages.
const (
	lateLeastMs = 2_000
	lateMostMs  = 12_000
	gangMs      = 3_000 // a member waits so long for the others
)

// NewFarm returns workers that run nothing.
func NewFarm(cfg FarmConfig) *Farm {
	f := &Farm{
		rand: rand.New(rand.NewSource(cfg.Seed)), workers: map[string]*farmWorker{}, specs: map[string]sched.Spec{},
		limits: map[string]jobs.Size{}, acked: map[string]bool{}, done: map[string]bool{},
	}
	for i := range cfg.Workers {
		rack := fmt.Sprintf("r%d", i/max(cfg.Rack, 1))
		id := fmt.Sprintf("w%d", i)
		f.workers[id] = &farmWorker{
			info: sched.WorkerInfo{
				ID: id, Addr: id, Service: cfg.Service, Az: cfg.Azs[i%len(cfg.Azs)], Rack: rack, Labels: []string{"a", rack},
				Capacity: cfg.Capacity, Born: 1,
			},
			runs: map[string]*farmRun{}, floor: map[string]int{},
		}
		f.ids = append(f.ids, id)
	}
	return f
}

// SetFaults replaces the troubles in force.
func (f *Farm) SetFaults(faults FarmFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// Know tells the farm what a job asks for, so that it can judge its starts.
func (f *Farm) Know(spec sched.Spec) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.specs[spec.ID] = spec
}

// SetLimit tells the farm a team's limit.
func (f *Farm) SetLimit(team string, limit jobs.Size) { f.limits[team] = limit }

// Entries returns the registry entries of the workers that run.
func (f *Farm) Entries() []sched.WorkerInfo {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []sched.WorkerInfo
	for _, w := range f.workers {
		if !w.down {
			list = append(list, w.info)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	return list
}

// Cut stops or restores all calls to a worker, which runs on.
func (f *Farm) Cut(id string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].cut = on
}

// Reboot ends all that runs on a worker, which forgets everything and starts
// anew under its id.
func (f *Farm) Reboot(id string, nowMs int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	w.info.Born++
	w.bootMs, w.fence, w.lease, w.n, w.lapsed = nowMs, 0, 0, 0, 0
	for _, task := range slices.Sorted(maps.Keys(w.runs)) {
		r := w.runs[task]
		if r == nil {
			continue
		}
		delete(w.runs, task)
		if r.gang != "" {
			f.together(r.gang, sched.EndLost)
		}
	}
	w.runs, w.ended, w.floor = map[string]*farmRun{}, nil, map[string]int{}
	rest := f.late[:0]
	for _, o := range f.late {
		if o.start != nil && o.start.Peer.ID == id || o.stop != nil && o.stop.Peer.ID == id {
			continue // the connection has ended with the process
		}
		rest = append(rest, o)
	}
	f.late = rest
}

// Broken returns the promises that were broken.
func (f *Farm) Broken() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.broken...)
}

// Starts returns how many runs were started.
func (f *Farm) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// Running returns how many runs are under way.
func (f *Farm) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		n += len(w.runs)
	}
	return n
}

// clock returns the worker's clock: 2% slow, from its boot.
func (w *farmWorker) clock(nowMs int64) int64 { return (nowMs-w.bootMs)*98/100 + 1000 }

// Advance ends what has run its time or outlived its lease, and carries out
// late orders.
func (f *Farm) Advance(nowMs int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(nowMs)
}

func (f *Farm) advance(nowMs int64) {
	rest := f.late[:0]
	for _, o := range f.late {
		switch {
		case o.atMs > nowMs:
			rest = append(rest, o)
		case o.start != nil:
			_ = f.start(*o.start, nowMs) // a late order has nobody to answer to
		default:
			_ = f.stop(*o.stop, nowMs)
		}
	}
	f.late = rest
	gangs := f.gangs()
	for _, id := range f.ids {
		w := f.workers[id]
		if w.clock(nowMs) >= w.lease {
			w.lapsed = w.n
		}
		for _, task := range slices.Sorted(maps.Keys(w.runs)) {
			r := w.runs[task]
			if r == nil {
				continue // it has ended with another member of its gang
			}
			from := r.startMs
			if r.gang != "" {
				g := gangs[r.gang]
				from = g.sinceMs
				if g.n < r.members {
					from = nowMs
				}
			}
			switch {
			case w.clock(nowMs) >= w.lease:
				f.finish(w, task, r, sched.EndLapsed)
			case r.gang != "" && gangs[r.gang].n < r.members && nowMs-r.startMs > gangMs:
				f.finish(w, task, r, sched.EndAlone)
			case nowMs >= from+r.runMs && r.fails:
				f.finish(w, task, r, sched.EndFailed)
			case nowMs >= from+r.runMs:
				f.finish(w, task, r, sched.EndDone)
			}
		}
	}
}

// gang is how many members of a gang are present, and since when the last is.
type gang struct {
	n       int
	sinceMs int64
}

func (f *Farm) gangs() map[string]gang {
	all := map[string]gang{}
	for _, w := range f.workers {
		for _, r := range w.runs {
			if r.gang != "" {
				g := all[r.gang]
				all[r.gang] = gang{g.n + 1, max(g.sinceMs, r.startMs)}
			}
		}
	}
	return all
}

// together ends the other members of a gang with one: as done, or broken.
func (f *Farm) together(name string, how sched.How) {
	if how != sched.EndDone {
		how = sched.EndBroken
	}
	for _, id := range f.ids {
		w := f.workers[id]
		for _, task := range slices.Sorted(maps.Keys(w.runs)) {
			if r := w.runs[task]; r != nil && r.gang == name {
				r.gang = ""
				f.finish(w, task, r, how)
			}
		}
	}
}

func (f *Farm) finish(w *farmWorker, task string, r *farmRun, how sched.How) {
	delete(w.runs, task)
	w.n++
	w.ended = append(w.ended, sched.Finished{N: w.n, Task: task, Run: r.run, How: how})
	w.floor[task] = max(w.floor[task], r.run)
	if how == sched.EndDone {
		f.done[task] = true
	}
	if r.gang != "" {
		f.together(r.gang, how)
	}
}

// judge records what a start breaks.
func (f *Farm) judge(w *farmWorker, o ports.StartOrder, spec sched.Spec, step sched.Step) {
	used := step.Size
	for _, r := range w.runs {
		used = used.Plus(r.size)
	}
	if !used.Fits(w.info.Capacity) {
		f.breaks("limit: %s starts on %s, which would hold %s", o.Task, o.Peer.ID, used)
	}
	if f.acked[o.Task] {
		f.breaks("twice: %s starts after its end was taken note of", o.Task)
	}
	team := step.Size
	for _, other := range f.workers {
		for task, r := range other.runs {
			if task == o.Task && !step.Copies {
				f.breaks("twice: %s run %d starts on %s while run %d is on %s", task, o.Run, o.Peer.ID, r.run, other.info.ID)
			}
			if r.team == spec.Team {
				team = team.Plus(r.size)
			}
		}
	}
	if limit, ok := f.limits[spec.Team]; ok && !team.Fits(limit) {
		f.breaks("quota: team %s would run %s", spec.Team, team)
	}
	f.judgeOrder(o, spec, step)
}

// judgeOrder checks that the steps before are done.
func (f *Farm) judgeOrder(o ports.StartOrder, spec sched.Spec, step sched.Step) {
	ref, _ := sched.ParseRef(o.Task)
	for _, d := range step.After {
		for i := range spec.Steps[d].Count {
			if before := (sched.Ref{Job: ref.Job, Occ: ref.Occ, Step: d, Index: i}).String(); !f.done[before] {
				f.breaks("order: %s starts before %s is done", o.Task, before)
			}
		}
	}
}

func (f *Farm) breaks(format string, args ...any) {
	f.broken = append(f.broken, fmt.Sprintf(format, args...))
}

func refused(r ports.Refusal) error { return &ports.RefusedError{Reason: r, Status: 409} }

// guard applies the fence.
func (w *farmWorker) guard(token int64) error {
	if token < w.fence {
		return refused(ports.RefusedFence)
	}
	w.fence = token
	return nil
}

// start carries out an order. The caller holds the lock.
func (f *Farm) start(o ports.StartOrder, nowMs int64) error {
	w := f.workers[o.Peer.ID]
	if err := w.guard(o.Token); err != nil {
		return err
	}
	if o.LeaseEnd <= w.clock(nowMs) {
		return refused(ports.RefusedLate)
	}
	w.renew(o.LeaseEnd, nowMs)
	if r := w.runs[o.Task]; r != nil && r.run == o.Run {
		return nil
	}
	if o.Run <= w.floor[o.Task] {
		return refused(ports.RefusedOld)
	}
	ref, _ := sched.ParseRef(o.Task)
	spec := f.specs[ref.Job]
	step := spec.Steps[ref.Step]
	f.judge(w, o, spec, step)
	f.starts++
	r := &farmRun{
		run: o.Run, size: step.Size, team: spec.Team, startMs: nowMs, runMs: step.EstimateMs, fails: f.rand.Float64() < f.faults.Fail,
	}
	if step.Gang {
		r.gang, r.members = fmt.Sprintf("%s/%d", ref.StepName(), o.Run), step.Count
	}
	w.runs[o.Task] = r
	return nil
}

// stop carries out an order. The caller holds the lock.
func (f *Farm) stop(o ports.StopOrder, nowMs int64) error {
	w := f.workers[o.Peer.ID]
	if err := w.guard(o.Token); err != nil {
		return err
	}
	if r := w.runs[o.Task]; r != nil && r.run <= o.Run {
		f.finish(w, o.Task, r, sched.EndStopped)
	}
	w.floor[o.Task] = max(w.floor[o.Task], o.Run)
	return nil
}

// HoldMaxMs is the longest lease that a worker of the farm grants.
const HoldMaxMs = 10_000

// renew takes a lease, shortened to the longest that is granted.
func (w *farmWorker) renew(end, nowMs int64) {
	w.lease = max(w.lease, min(end, w.clock(nowMs)+HoldMaxMs))
}

// fate draws what becomes of an order: -1 is lost on the way back, 0 is
// answered, and more is the delay of a late one.
func (f *Farm) fate() int64 {
	x := f.rand.Float64()
	switch {
	case x < f.faults.Late:
		return lateLeastMs + f.rand.Int63n(lateMostMs-lateLeastMs)
	case x < f.faults.Late+f.faults.Lost:
		return -1
	}
	return 0
}

// reach returns the worker if calls for that incarnation reach it.
func (f *Farm) reach(p ports.Peer) (*farmWorker, error) {
	w := f.workers[p.ID]
	if w == nil || w.cut || w.down {
		return nil, errNoAnswer
	}
	return w, nil
}

// StartAt is a start that arrives at the instant nowMs.
func (f *Farm) StartAt(o ports.StartOrder, nowMs int64) (clock int64, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(nowMs)
	w, err := f.reach(o.Peer)
	if err != nil {
		return 0, err
	}
	switch d := f.fate(); {
	case d > 0:
		f.late = append(f.late, lateOrder{atMs: nowMs + d, start: &o})
		return 0, errNoAnswer
	case d < 0:
		_ = f.start(o, nowMs) // carried out, and the answer is lost
		return 0, errNoAnswer
	}
	return w.clock(nowMs), f.start(o, nowMs)
}

// StopAt is a stop that arrives at the instant nowMs.
func (f *Farm) StopAt(o ports.StopOrder, nowMs int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(nowMs)
	if _, err := f.reach(o.Peer); err != nil {
		return err
	}
	switch d := f.fate(); {
	case d > 0:
		f.late = append(f.late, lateOrder{atMs: nowMs + d, stop: &o})
		return errNoAnswer
	case d < 0:
		_ = f.stop(o, nowMs) // carried out, and the answer is lost
		return errNoAnswer
	}
	return f.stop(o, nowMs)
}

// HoldAt is a renewal that arrives at the instant nowMs.
func (f *Farm) HoldAt(r ports.HoldRequest, nowMs int64) (ports.HoldAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(nowMs)
	w, err := f.reach(r.Peer)
	if err != nil {
		return ports.HoldAnswer{}, err
	}
	if err := w.guard(r.Token); err != nil {
		return ports.HoldAnswer{}, err
	}
	w.renew(r.LeaseEnd, nowMs)
	f.forget(w, r.Seen)
	h := ports.HoldAnswer{Clock: w.clock(nowMs), Born: w.info.Born}
	for task, run := range w.runs {
		h.Running = append(h.Running, sched.Running{Task: task, Run: run.run, Percent: 100})
	}
	h.Finished = append(h.Finished, w.ended...)
	return h, nil
}

// forget drops the ends that were taken note of.
func (f *Farm) forget(w *farmWorker, seen int64) {
	rest := w.ended[:0]
	for _, e := range w.ended {
		if e.N > seen {
			rest = append(rest, e)
			continue
		}
		if e.How == sched.EndDone && e.N > w.lapsed {
			f.acked[e.Task] = true
		}
	}
	w.ended = rest
}

// errNoAnswer is the end of a call to which nobody answers.
var errNoAnswer = fault.New(fault.Timeout, fault.Unknown, "no answer")
