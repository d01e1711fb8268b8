package sched

import (
	"iter"
	"slices"
	"sort"

	"lagooncourse/internal/cell/trust"
)

// placementOption is a worker on which tasks of a step instance can be placed.
type placementOption struct {
	w        *Worker
	slots    int
	remote   bool  // not in the rack that holds the data
	clashes  int   // tasks that clash with those of the step; see interfere.go
	reserved bool  // reserved for a gang of lower priority
	suspect  bool  // another suspect has just started there, or it was lost recently; see crash.go
	probing  bool  // on probation, and the step is a gang, which would fail as a whole
	slowdown int   // slowdown class of the worker
	freeCPU  int64 // free CPU after placing one task
}

// chooseWorkers chooses a worker for each of up to n tasks, in the order of
// placementOptions. A gang with SameRack is placed in one rack if any rack has the
// capacity.
func (p *Planner) chooseWorkers(si *stepInstance, n int, plan *Plan, now Instant) []*Worker {
	s := si.spec()
	list, kept := p.placementOptions(si, n, plan, now)
	if kept {
		si.noteIsolated(now)
	}
	list = p.withoutHeld(si, list, now)
	if s.Gang && s.SameRack {
		list = oneRack(list, n)
	}
	if p.interference != nil && len(list) > 0 {
		p.interference.changed += changedByClashes(list, n)
	}
	var out []*Worker
	for _, c := range list {
		for range c.slots {
			if len(out) == n {
				return out
			}
			out = append(out, c.w)
		}
	}
	return out
}

// changedByClashes returns how many of n tasks are placed on another worker because of tasks
// that clash, given all options in order.
func changedByClashes(list []placementOption, n int) (changed int) {
	skipped := 0 // tasks that the clashing workers with less free CPU would have taken
	for _, o := range list {
		if o.clashes > 0 && o.freeCPU < list[0].freeCPU {
			skipped += o.slots
		}
	}
	if list[0].clashes > 0 {
		return 0
	}
	return min(skipped, n)
}

// placementOptions returns the workers on which tasks of a step instance can be placed.
// A gang takes workers on probation last. If the step has a suspect, workers without
// another one go first. Then come workers near the data, unreserved ones, then fast ones,
// and then those with the least free CPU, which keeps the others free for tasks that need
// much CPU. It reports in kept whether a trial keeps the step from a worker with room.
func (p *Planner) placementOptions(si *stepInstance, n int, plan *Plan, now Instant) (list []placementOption, kept bool) {
	s := si.spec()
	avoidSuspects := stepCrashes(si.tasks()) > 0
	workers := p.candidatesFor(si, plan, now)
	best, simple := 0, !avoidSuspects && s.DataRack == "" && !s.Gang
	for w := range leastFreeFirst(workers) {
		if best >= n && w.free().CPU == w.indexedCPU {
			continue // goes after those that suffice
		}
		if advised, ok := p.mayRun(si, w, now); !ok || !advised {
			continue
		}
		free := p.slotsFor(si, w, n, now)
		kept = kept || free <= 0 && p.slotsWithin(si, w, n, now) > 0
		if _, ok := p.ticket(w, si, now); !ok || free <= 0 {
			continue
		}
		list = append(list, placementOption{
			w: w, slots: free, remote: s.DataRack != "" && w.Rack != s.DataRack, reserved: now.Ms < w.reservation.untilMs && w.reservation.stepKey != si.key(),
			slowdown: p.estimator.slowdownClass(w.ID), freeCPU: w.free().CPU - s.Size.CPU, clashes: p.clashesOn(w, s.Image),
			suspect: avoidSuspects && p.avoidedBySuspects(w, now), probing: s.Gang && p.trust.State(w.ID, now.Ms) == trust.Probing,
		})
		if o := list[len(list)-1]; simple && o.clashes == 0 && !o.reserved && o.slowdown == 0 {
			best += free
		}
	}
	sort.Slice(list, func(a, b int) bool {
		if list[a].probing != list[b].probing {
			return !list[a].probing
		}
		if list[a].suspect != list[b].suspect {
			return !list[a].suspect
		}
		if list[a].remote != list[b].remote {
			return !list[a].remote
		}
		if list[a].clashes != list[b].clashes {
			return list[a].clashes < list[b].clashes
		}
		if list[a].reserved != list[b].reserved {
			return !list[a].reserved
		}
		if list[a].slowdown != list[b].slowdown {
			return list[a].slowdown < list[b].slowdown
		}
		if list[a].freeCPU != list[b].freeCPU {
			return list[a].freeCPU < list[b].freeCPU
		}
		return list[a].w.ID < list[b].w.ID
	})
	return list, kept
}

// leastFreeFirst iterates over workers in the order of an index in ascending order of free
// CPU. Workers with as much stay in order of their IDs.
func leastFreeFirst(workers []*Worker) iter.Seq[*Worker] {
	return func(yield func(*Worker) bool) {
		for end := len(workers); end > 0; {
			cpu := workers[end-1].indexedCPU
			begin := sort.Search(end, func(i int) bool { return workers[i].indexedCPU <= cpu })
			for _, w := range workers[begin:end] {
				if !yield(w) {
					return
				}
			}
			end = begin
		}
	}
}

// candidatesFor returns the available workers with CPU for a task of a step instance, in
// descending order of free CPU: those of its pool, or those that advice allows.
func (p *Planner) candidatesFor(si *stepInstance, plan *Plan, now Instant) []*Worker {
	ix := p.indexOf(p.queue(si).Service, plan, now)
	size := si.spec().demand()
	if p.queue(si).Advice == nil {
		return ix.byFree[:sort.Search(len(ix.byFree), func(i int) bool { return lacksCPU(ix.byFree[i], size) })]
	}
	list := p.scratch[:0]
	for _, id := range si.advice.allowed {
		if w := p.workers[id]; w != nil && w.index == ix && !lacksCPU(w, size) {
			list = append(list, w)
		}
	}
	p.scratch = list
	slices.SortFunc(list, byFreeCPU)
	return list
}

// oneRack returns the workers in the first rack that has capacity for n
// tasks, or the whole list if no rack has.
func oneRack(list []placementOption, n int) []placementOption {
	sum := map[string]int{}
	for _, c := range list {
		sum[c.w.Rack] += c.slots
	}
	for _, c := range list {
		if sum[c.w.Rack] < n {
			continue
		}
		var same []placementOption
		for _, d := range list {
			if d.w.Rack == c.w.Rack {
				same = append(same, d)
			}
		}
		return same
	}
	return list
}
