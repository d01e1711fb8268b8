package sched

import (
	"github.com/ansel1/merry/v2"

	"lagooncourse/internal/cell/jobs"
)

// phase is the progress of a start, from its intent to the end of the run.
type phase uint8

const (
	phaseIntent        phase = iota // ReleaseStarts has not returned the start yet; nothing was sent
	phaseSent                       // ReleaseStarts has returned the start; see allocation.sent
	phaseRunning                    // the worker has confirmed the start or listed the run
	phaseAdopted                    // placed by a previous owner; the worker has not listed the run yet
	phaseStopConfirmed              // the worker has confirmed a stop; a later report shows whether the run still exists
)

// allocation is the capacity of a worker that one run holds. The package
// comment says when it is released.
type allocation struct {
	ref          Ref
	run          int
	serial       int64 // see Start
	size         jobs.Size
	team         string
	phase        phase
	sent         bool  // ShouldSend has allowed the start
	phaseStartMs int64 // start of the phase
	stopping     bool  // a stop was requested
	stopMs       int64 // time of the last Tick before that
	stops        int   // number of requested stops
	stopLost     bool  // the last of them has not reached the worker
	runMs        int64 // expected run time, in ms
	endMs        int64 // expected end, monotonic
	settled      bool  // the worker has listed it as active settleMs after its start
	survived     bool  // the worker has listed it as active crashWindowMs after its start
	workerLeft   bool  // the worker was leaving when it restarted
	resumed      bool  // it continues from a checkpoint

	beside map[string]int64 // how long tasks of other images ran beside it, in ms by image; see interfere.go
}

// Worker is a worker with its allocations.
type Worker struct {
	WorkerInfo
	allocations      map[Ref]*allocation
	allocated        jobs.Size
	listed           bool        // it has answered this owner, so it refuses calls of previous owners
	reachable        bool        // it answered the last call
	registered       bool        // it has a registry entry
	entryIncarnation int64       // incarnation that its newest registry entry describes; 0 if unknown
	reportedMs       int64       // when the last report of this incarnation was requested
	leaseExpiryMs    int64       // latest time at which its lease expires, unless it is renewed
	renewedMs        int64       // no call that renews its lease was sent later than this or, if renewed is set, than now
	renewed          bool        // such a call may have been sent since the last restart became known
	appliedSeq       int64       // sequence number of the last end that was applied
	storedSeq        int64       // sequence number of the last end that is stored
	lingering        int         // runs in its last report whose job has ended
	backoffUntilMs   int64       // no starts before this time
	reservation      reservation // reservation for a waiting gang
	trial            Ref         // suspect that is tried alone on the worker; see crash.go
	lost             *workerLoss // last loss of an incarnation of it

	index        *index    // of the current plan that holds it; nil if it was not available
	indexedCPU   int64     // free CPU when the index was brought up to date
	expectedFree jobs.Size // free capacity expected after horizonMs; computed at most once in each plan
}

func newWorker(info WorkerInfo) *Worker {
	return &Worker{WorkerInfo: info, allocations: map[Ref]*allocation{}}
}

// entryIsCurrent reports whether the registry entry describes the incarnation that the
// worker has reported. Another one may be of a different kind.
func (w *Worker) entryIsCurrent() bool {
	return w.entryIncarnation == 0 || w.entryIncarnation == w.Incarnation
}

// free returns the capacity that is not allocated. It is negative while the capacity
// has shrunk below what is allocated.
func (w *Worker) free() jobs.Size { return w.Capacity.Minus(w.allocated) }

// freeForUnsent returns the capacity that is left for starts that were not sent: all
// but what the runs hold that may exist.
func (w *Worker) freeForUnsent() jobs.Size {
	free := w.free()
	for _, a := range w.allocations {
		if a.unsent() {
			free = free.Plus(a.size)
		}
	}
	return free
}

// startInFlight reports whether a start was sent whose outcome is not known yet.
func (w *Worker) startInFlight() bool {
	for _, a := range w.allocations {
		if a.phase == phaseSent && a.sent && !a.stopping {
			return true
		}
	}
	return false
}

// unsent reports whether the allocation is for a start that was not sent.
func (a *allocation) unsent() bool {
	return a.phase == phaseIntent || a.phase == phaseSent && !a.sent
}

// demand returns the capacity that is allocated for a task of the step.
func (s Step) demand() jobs.Size {
	size := s.Size
	if s.UsesSpareCPU {
		size.CPU = 0
	}
	return size
}

// slots returns how many tasks of a size fit into free capacity, up to limit. None fits
// if a dimension is negative, since more is allocated than there is.
func slots(free, size jobs.Size, limit int) int {
	n := limit
	for _, d := range [...][2]int64{{free.CPU, size.CPU}, {free.Mem, size.Mem}, {free.Accel, size.Accel}} {
		switch {
		case d[0] < 0:
			return min(limit, 0)
		case d[1] > 0:
			n = min(n, int(d[0]/d[1]))
		}
	}
	return n
}

func (w *Worker) hasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// allocate adds an allocation.
func (w *Worker) allocate(a *allocation) {
	w.allocations[a.ref] = a
	w.allocated = w.allocated.Plus(a.size)
}

// Audit checks the allocation totals of workers and teams against the sums of
// their allocations. A difference is a bug in the planner.
func (p *Planner) Audit() error {
	used := map[string]jobs.Size{}
	for _, w := range p.workers {
		var sum jobs.Size
		for ref, a := range w.allocations {
			sum = sum.Plus(a.size)
			used[a.team] = used[a.team].Plus(a.size)
			if a.ref != ref {
				return merry.Errorf("allocation of %s is stored under %s", a.ref, ref)
			}
		}
		if sum != w.allocated {
			return merry.Errorf("worker %s: total allocation is %s, but its runs add up to %s", w.ID, w.allocated, sum)
		}
	}
	for team, size := range p.used {
		if size != used[team] {
			return merry.Errorf("team %s: total allocation is %s, but its runs add up to %s", team, size, used[team])
		}
	}
	return nil
}

// AuditTasks checks that each task of an open job is done, placed with an allocation
// of its run, or waiting in a step that is in the list of waiting steps or not ready
// yet, and that each allocation and each waiting step belongs to such a task. A
// difference is a bug in the planner, if workers obey fencing tokens.
func (p *Planner) AuditTasks() error {
	if lost := p.LostTasks(1); len(lost) > 0 {
		return merry.New(lost[0])
	}
	for id, j := range p.state.Jobs {
		if j.Progress.Verdict != Open {
			continue
		}
		for occ := range j.occurrences() {
			for step := range j.Spec.Steps {
				si := p.steps[stepKey{id, occ, step}]
				if si == nil || si.job != j {
					return merry.Errorf("step %s of an open job is not tracked", Ref{id, occ, step, 0}.StepName())
				}
			}
		}
		for i, t := range j.Progress.Tasks {
			if t.State != Waiting && t.State != Placed && t.State != Done {
				return merry.Errorf("task %d of open job %s has state %d", i, id, t.State)
			}
		}
	}
	for key, si := range p.waiting {
		if _, waiting := countTasks(si.tasks()); p.steps[key] != si || !si.ready(waiting) {
			return merry.Errorf("step %s is in the list of waiting steps, but is not ready", si.stepName())
		}
	}
	return p.auditAllocations()
}

// auditAllocations checks that no allocation belongs to a waiting task or to another
// run than the latest of its task.
func (p *Planner) auditAllocations() error {
	for _, w := range p.workers {
		for ref, a := range w.allocations {
			j := p.state.Jobs[ref.Job]
			if j == nil || j.Progress.Verdict != Open {
				continue
			}
			switch t := j.task(ref); {
			case t == nil:
				return merry.Errorf("worker %s has an allocation for %s, which does not exist", w.ID, ref)
			case t.State == Waiting, t.State == Placed && (t.LastRun != a.run || t.Worker != w.ID):
				return merry.Errorf("worker %s has an allocation for run %d of %s, which is in state %d with run %d on %q", w.ID, a.run, ref, t.State, t.LastRun, t.Worker)
			}
		}
	}
	return nil
}

// release removes the allocation of a task and returns it, or nil if there was
// none.
func (w *Worker) release(r Ref) *allocation {
	a := w.allocations[r]
	if a == nil {
		return nil
	}
	delete(w.allocations, r)
	if w.trial == r {
		w.trial = Ref{}
	}
	w.allocated = w.allocated.Minus(a.size)
	return a
}
