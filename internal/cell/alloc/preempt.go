package alloc

import (
	"sort"

	"lagooncourse/internal/cell/jobs"
)

// SelectVictims selects running batch attempts of one worker to stop so that an urgent
// request fits, and holds the worker's free capacity for the request until untilMs. It
// returns nil if no selection makes the request fit, or if capacity is already held
// for it.
//
// It selects the worker whose victims take the smallest dominant share of its
// capacity. On a worker the attempts that started last are stopped first because
// they lose the least progress. Attempts known only from an inventory, such as
// those placed before a takeover, have no sequence number and are stopped last.
func (al *Allocations) SelectVictims(req ReserveRequest, nowMs, untilMs int64) []Attempt {
	var best *workerState
	var bestVictims []*allocation
	var bestSize jobs.Size
	for _, id := range al.workerIDs {
		w := al.workers[id]
		if nowMs < w.heldUntilMs && w.heldFor == req.Attempt {
			return nil
		}
		if !w.schedulable() || w.mode == ModeProbe || nowMs < w.heldUntilMs || contains(req.Exclude, id) {
			continue
		}
		victims, size, ok := w.victims(req.Size)
		if ok && (best == nil || size.DominantShare(w.Capacity) < bestSize.DominantShare(best.Capacity)) {
			best, bestVictims, bestSize = w, victims, size
		}
	}
	if best == nil {
		return nil
	}
	best.heldFor, best.heldUntilMs = req.Attempt, untilMs
	list := make([]Attempt, len(bestVictims))
	for i, a := range bestVictims {
		list[i] = a.attempt
	}
	return list
}

// victims returns the batch attempts to stop so that need fits on the worker, and
// their total size.
func (w *workerState) victims(need jobs.Size) (toStop []*allocation, size jobs.Size, ok bool) {
	var candidates []*allocation
	for _, a := range w.allocations {
		if a.phase == running && a.kind == jobs.Batch {
			candidates = append(candidates, a)
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		if candidates[i].seq != candidates[j].seq {
			return candidates[i].seq > candidates[j].seq
		}
		return candidates[i].attempt.Task < candidates[j].attempt.Task
	})
	free := w.free()
	for _, a := range candidates {
		if need.FitsIn(free) {
			break
		}
		toStop, size, free = append(toStop, a), size.Plus(a.size), free.Plus(a.size)
	}
	return toStop, size, need.FitsIn(free)
}
