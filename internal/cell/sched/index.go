package sched

import (
	"cmp"
	"slices"
	"strings"

	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/trust"
)

// index is a pool's workers as one plan sees them, those with most free
// processor time first. It is made once a plan, so that a part that fits
// nowhere, or needs few workers, does not look at all of them. Bookings made
// during the plan only take room away, so whoever uses the order checks the room
// again.
type index struct {
	byFree  []*Worker
	byLater []*Worker // by the room expected within gatherMs; nil until needed
}

// indexOf returns the workers of a pool that may be given work at all.
func (p *Planner) indexOf(service string, plan *Plan, now Instant) *index {
	if ix := plan.indexes[service]; ix != nil {
		return ix
	}
	ix := &index{}
	for _, w := range p.workers {
		if w.Service == service && p.available(w, now) {
			w.indexedCPU = w.free().CPU
			ix.byFree = append(ix.byFree, w)
		}
	}
	slices.SortFunc(ix.byFree, func(x, y *Worker) int {
		return cmp.Or(cmp.Compare(y.indexedCPU, x.indexedCPU), strings.Compare(x.ID, y.ID))
	})
	if plan.indexes == nil {
		plan.indexes = map[string]*index{}
	}
	plan.indexes[service] = ix
	return ix
}

// later returns the workers in the order of the room that they will have.
func (ix *index) later(now Instant) []*Worker {
	if ix.byLater != nil {
		return ix.byLater
	}
	ix.byLater = append(ix.byLater, ix.byFree...)
	for _, w := range ix.byLater {
		w.laterRoom = w.roomBy(now.Ms+gatherMs, now)
	}
	slices.SortStableFunc(ix.byLater, func(x, y *Worker) int { return cmp.Compare(y.laterRoom.CPU, x.laterRoom.CPU) })
	return ix.byLater
}

// available reports whether a worker may be given work at all.
func (p *Planner) available(w *Worker, now Instant) bool {
	return w.present && w.listed && w.contact && !w.Draining && now.Ms >= w.penalty && !p.view.Closed[w.Az] &&
		p.trust.State(w.ID, now.Ms) != trust.Quarantined
}

// suits reports whether a worker of the part's pool could run it: it has the
// label, and is not kept for another part.
func (p *Planner) suits(w *Worker, pt *part, now Instant) bool {
	s := pt.spec()
	return (s.Needs == "" || w.hasLabel(s.Needs)) && !w.keptFrom(pt, p.queue(pt).Priority, now)
}

// tooSmall reports whether neither the worker nor those after it in the order of
// an index have processor time for a task of the size.
func tooSmall(w *Worker, size jobs.Size) bool { return w.indexedCPU < size.CPU }
