package sched

import (
	"github.com/ansel1/merry/v2"

	"lagooncourse/internal/cell/jobs"
)

// phase says how far an order to start a run has come.
type phase uint8

const (
	phaseIntent  phase = iota // the intent is not stored yet; nothing was sent
	phaseSent                 // the order is under way
	phaseUp                   // the worker has confirmed it
	phaseAdopted              // placed by an earlier owner, not seen in a list yet
	phaseDenied               // the worker has confirmed a stop; the next list settles it
)

// booking is room kept on a worker for one run. It is released when the
// worker lists the end, denies the run for good, or is lost.
type booking struct {
	ref      Ref
	run      int
	size     jobs.Size
	team     string
	phase    phase
	sinceMs  int64 // when the phase began
	stopping bool  // a stop was asked for
	runMs    int64 // how long it is expected to run
	endMs    int64 // when it is expected to end
}

// Worker is a worker with what is booked on it.
type Worker struct {
	WorkerInfo
	runs    map[Ref]*booking
	booked  jobs.Size
	listed  bool  // its lists were taken under the present ownership
	contact bool  // it answered the last call
	present bool  // the registry has an entry for it
	sureMs  int64 // from then on its lease has surely run out without further contact
	seen    int64 // highest number of an end that was applied
	stored  int64 // highest number of an end that is stored
	penalty int64 // no starts before this instant
	kept    kept  // for a gang that waits

	indexedCPU int64     // free when the plan began
	laterRoom  jobs.Size // expected within gatherMs, for the plan
}

func newWorker(info WorkerInfo) *Worker {
	return &Worker{WorkerInfo: info, runs: map[Ref]*booking{}}
}

// free returns the room that is not booked.
func (w *Worker) free() jobs.Size { return w.Capacity.Minus(w.booked) }

// charge returns what a task of the step takes of a worker's room.
func (s Step) charge() jobs.Size {
	size := s.Size
	if s.Fills {
		size.CPU = 0
	}
	return size
}

// slots returns how many tasks of the size fit into the room.
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

// book keeps room for a run.
func (w *Worker) book(b *booking) {
	w.runs[b.ref] = b
	w.booked = w.booked.Plus(b.size)
}

// Audit compares the sums of what is booked with the bookings. A difference is
// a fault of the planner.
func (p *Planner) Audit() error {
	used := map[string]jobs.Size{}
	for _, w := range p.workers {
		var sum jobs.Size
		for ref, b := range w.runs {
			sum = sum.Plus(b.size)
			used[b.team] = used[b.team].Plus(b.size)
			if b.ref != ref {
				return merry.Errorf("booking of %s under %s", b.ref, ref)
			}
		}
		if sum != w.booked {
			return merry.Errorf("worker %s: %s booked, %s by its runs", w.ID, w.booked, sum)
		}
	}
	for team, size := range p.used {
		if size != used[team] {
			return merry.Errorf("team %s: %s booked, %s by its runs", team, size, used[team])
		}
	}
	return nil
}

// release frees the room of a run and reports whether it was booked.
func (w *Worker) release(r Ref) *booking {
	b := w.runs[r]
	if b == nil {
		return nil
	}
	delete(w.runs, r)
	w.booked = w.booked.Minus(b.size)
	return b
}
