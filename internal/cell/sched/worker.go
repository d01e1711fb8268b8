package sched

import (
	"github.com/ansel1/merry/v2"

	"lagooncourse/internal/cell/jobs"
)

// phase is the progress of a start, from its intent to the end of the run.
type phase uint8

const (
	phaseIntent  phase = iota // the intent is not stored yet; nothing was sent
	phaseSent                 // the start was released for sending
	phaseUp                   // the worker has confirmed the start or listed the run
	phaseAdopted              // placed by a previous owner and not listed yet
	phaseDenied               // the worker has confirmed a stop; a later list settles the run
)

// allocation is the capacity of a worker that one run holds. The package
// comment says when it is released.
type booking struct {
	ref      Ref
	run      int
	size     jobs.Size
	team     string
	phase    phase
	sinceMs  int64 // start of the phase
	stopping bool  // a stop was requested
	runMs    int64 // expected run time
	endMs    int64 // expected end
}

// Worker is a worker with its allocations.
type Worker struct {
	WorkerInfo
	runs    map[Ref]*booking
	booked  jobs.Size
	listed  bool  // it has sent its lists to this owner, which fences previous owners
	contact bool  // it answered the last call
	present bool  // it has a registry entry
	sureMs  int64 // when its lease has expired at the latest, unless it is renewed
	seen    int64 // number of the last end that was applied
	stored  int64 // number of the last end that is stored
	penalty int64 // no starts before this time
	kept    kept  // by a waiting gang

	indexedCPU int64     // free CPU when the index was built
	laterRoom  jobs.Size // free capacity expected after horizonMs, set once a plan
}

func newWorker(info WorkerInfo) *Worker {
	return &Worker{WorkerInfo: info, runs: map[Ref]*booking{}}
}

// free returns the capacity that is not allocated.
func (w *Worker) free() jobs.Size { return w.Capacity.Minus(w.booked) }

// demand returns the capacity that is allocated for a task of the step.
func (s Step) charge() jobs.Size {
	size := s.Size
	if s.Fills {
		size.CPU = 0
	}
	return size
}

// slots returns how many tasks of a size fit into free capacity, up to limit.
func slots(room, size jobs.Size, most int) int {
	n := most
	for _, d := range [...][2]int64{{room.CPU, size.CPU}, {room.Mem, size.Mem}, {room.Accel, size.Accel}} {
		if d[1] > 0 {
			n = min(n, int(max(d[0], 0)/d[1]))
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
func (w *Worker) book(b *booking) {
	w.runs[b.ref] = b
	w.booked = w.booked.Plus(b.size)
}

// Audit checks the allocation totals of workers and teams against the sums of
// their allocations. A difference is a bug in the planner.
func (p *Planner) Audit() error {
	used := map[string]jobs.Size{}
	for _, w := range p.workers {
		var sum jobs.Size
		for ref, b := range w.runs {
			sum = sum.Plus(b.size)
			used[b.team] = used[b.team].Plus(b.size)
			if b.ref != ref {
				return merry.Errorf("allocation of %s is stored under %s", b.ref, ref)
			}
		}
		if sum != w.booked {
			return merry.Errorf("worker %s: total allocation is %s, but its runs add up to %s", w.ID, w.booked, sum)
		}
	}
	for team, size := range p.used {
		if size != used[team] {
			return merry.Errorf("team %s: total allocation is %s, but its runs add up to %s", team, size, used[team])
		}
	}
	return nil
}

// release removes the allocation of a task and returns it, or nil if there was
// none.
func (w *Worker) release(r Ref) *booking {
	b := w.runs[r]
	if b == nil {
		return nil
	}
	delete(w.runs, r)
	w.booked = w.booked.Minus(b.size)
	return b
}
