package sched

import (
	"cmp"
	"slices"
	"strings"

	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/trust"
)

// index lists the available workers of a pool in descending order of free CPU. It is
// brought up to date once in each plan, so that step instances that fit nowhere or need few
// workers do not iterate over all workers. Allocations made during the plan only
// reduce the free CPU, so the order gives upper bounds and callers check the
// capacity again.
//
// The order is kept between plans. Few workers change from one plan to the next, and
// insertion into a list that is nearly in order costs about as much as the changes. Sorting
// the whole list took most of a plan's time with hundreds of workers.
type index struct {
	byFree     []*Worker
	byExpected []*Worker // by CPU expected to be free after horizonMs; nil until needed
}

// indexOf returns the index of a worker pool.
func (p *Planner) indexOf(service string, plan *Plan, now Instant) *index {
	if !plan.indexed {
		plan.indexed = true
		p.updateIndexes(now)
	}
	ix := p.indexes[service]
	if ix == nil {
		ix = &index{}
		p.indexes[service] = ix
	}
	return ix
}

// updateIndexes brings the indexes of all pools up to date.
func (p *Planner) updateIndexes(now Instant) {
	for service, ix := range p.indexes {
		ix.byExpected = nil
		ix.byFree = slices.DeleteFunc(ix.byFree, func(w *Worker) bool {
			if w.Service == service && p.workers[w.ID] == w && p.available(w, now) {
				w.indexedCPU = w.free().CPU
				return false
			}
			w.index = nil
			p.unindexed = append(p.unindexed, w)
			return true
		})
	}
	unindexed := p.unindexed[:0]
	for _, w := range p.unindexed {
		if p.workers[w.ID] != w {
			continue
		}
		if !p.available(w, now) {
			unindexed = append(unindexed, w)
			continue
		}
		ix := p.indexes[w.Service]
		if ix == nil {
			ix = &index{}
			p.indexes[w.Service] = ix
		}
		w.index, w.indexedCPU = ix, w.free().CPU
		ix.byFree = append(ix.byFree, w)
	}
	clear(p.unindexed[len(unindexed):])
	p.unindexed = unindexed
	for _, ix := range p.indexes {
		insertionSort(ix.byFree)
	}
}

// byFreeCPU compares workers in the order of an index.
func byFreeCPU(x, y *Worker) int {
	return cmp.Or(cmp.Compare(y.indexedCPU, x.indexedCPU), strings.Compare(x.ID, y.ID))
}

// maxInsertionSteps is the number of moves for each worker from which on a list counts as
// out of order: sorting is faster then.
const maxInsertionSteps = 16

// insertionSort sorts a list that is nearly in order.
func insertionSort(list []*Worker) {
	moves := 0
	for i := 1; i < len(list); i++ {
		w := list[i]
		k := i
		for k > 0 && byFreeCPU(w, list[k-1]) < 0 {
			list[k] = list[k-1]
			k--
		}
		list[k] = w
		if moves += i - k; moves > maxInsertionSteps*len(list) {
			slices.SortFunc(list, byFreeCPU)
			return
		}
	}
}

// expectedOrder returns the workers in descending order of the CPU expected to be
// free after horizonMs.
func (ix *index) expectedOrder(now Instant) []*Worker {
	if ix.byExpected != nil {
		return ix.byExpected
	}
	ix.byExpected = append(ix.byExpected, ix.byFree...)
	for _, w := range ix.byExpected {
		w.expectedFree = w.freeBy(now.Ms+horizonMs, now)
	}
	slices.SortStableFunc(ix.byExpected, func(x, y *Worker) int { return cmp.Compare(y.expectedFree.CPU, x.expectedFree.CPU) })
	return ix.byExpected
}

// available reports whether a worker can take starts of any task, capacity aside.
func (p *Planner) available(w *Worker, now Instant) bool {
	return w.registered && w.entryIsCurrent() && w.listed && w.reachable && !w.Draining && now.Ms >= w.backoffUntilMs && !p.policy.ClosedAzs[w.Az] &&
		p.trust.State(w.ID, now.Ms) != trust.Quarantined
}

// suits reports whether w, an available worker of the step's pool, has the label
// that the step needs and is not reserved for another step instance.
func (p *Planner) suits(w *Worker, si *stepInstance, now Instant) bool {
	s := si.spec()
	return (s.RequiredLabel == "" || w.hasLabel(s.RequiredLabel)) && !w.reservedForOther(si, p.queue(si).Priority, now)
}

// lacksCPU reports whether a worker, and so all workers after it in the index,
// have too little free CPU for a task.
func lacksCPU(w *Worker, size jobs.Size) bool { return w.indexedCPU < size.CPU }
