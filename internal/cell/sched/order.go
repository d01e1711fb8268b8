package sched

import (
	"container/heap"
	"sort"
)

// rank is the first sort key of waiting step instances. Those that can meet their
// deadline come first, then late ones, then those in excess of their team's rate,
// and last those that are too late to be of use. Ordered by age alone, a backlog
// would make all jobs late and would not drain.
type rank uint8

const (
	rankOnTime  rank = iota // can meet its deadline
	rankLate                // will miss its deadline, but end within lateFactor
	rankExcess              // submitted in excess of its team's rate
	rankExpired             // too late to be of use
)

// lateFactor times the time from the due time of a job to its deadline is the
// time after which its result is of no use.
const lateFactor = 3

// rankedStep is a step instance with its sort keys.
type rankedStep struct {
	si         *stepInstance
	rank       rank
	priority   int
	deadlineMs int64
}

// before orders by rank, priority and deadline.
func (s *rankedStep) before(o *rankedStep) bool {
	switch {
	case s.rank != o.rank:
		return s.rank < o.rank
	case s.priority != o.priority:
		return s.priority < o.priority
	case s.deadlineMs != o.deadlineMs:
		return s.deadlineMs < o.deadlineMs
	}
	return s.si.key().less(o.si.key())
}

func (k stepKey) less(o stepKey) bool {
	switch {
	case k.job != o.job:
		return k.job < o.job
	case k.occ != o.occ:
		return k.occ < o.occ
	}
	return k.step < o.step
}

// rankedStep computes the sort keys of a step instance and stores its rank.
func (p *Planner) rankedStep(si *stepInstance, now Instant) rankedStep {
	q := p.queue(si)
	s := rankedStep{si: si, priority: q.Priority, deadlineMs: si.deadlineMs}
	end := now.Wall + p.remaining(si)
	late := si.dueMs + lateFactor*(si.deadlineMs-si.dueMs)
	switch {
	case end > late:
		s.rank = rankExpired
	case si.job.Spec.Excess:
		s.rank = rankExcess
	case end > si.deadlineMs:
		s.rank = rankLate
	}
	si.rank = s.rank
	return s
}

// remaining estimates the total run time of a step and the steps that depend on
// it, in ms.
func (p *Planner) remaining(si *stepInstance) int64 {
	var ms int64
	for i := si.step; i < len(si.job.Spec.Steps); i++ {
		if i == si.step || dependsOn(si.job.Spec.Steps, i, si.step) {
			ms += p.estimator.runMs(si.job.Spec.Queue, si.job.Spec.Steps[i])
		}
	}
	return ms
}

// dependsOn reports whether step i depends on step on, directly or indirectly.
func dependsOn(steps []Step, i, on int) bool {
	for _, d := range steps[i].After {
		if d == on || d > on && dependsOn(steps, d, on) {
			return true
		}
	}
	return false
}

// rankHeap is a heap whose root is the last in order.
type rankHeap []rankedStep

func (h rankHeap) Len() int           { return len(h) }
func (h rankHeap) Less(a, b int) bool { return h[b].before(&h[a]) }
func (h rankHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *rankHeap) Push(x any)        { *h = append(*h, x.(rankedStep)) }
func (h *rankHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// firstSteps returns the first n waiting step instances, in order. It skips
// those whose retry is not due, so that many step instances without capacity at the front
// do not starve the ones behind them.
func (p *Planner) firstSteps(n int, now Instant) []*stepInstance {
	h := make(rankHeap, 0, min(n, len(p.waiting)))
	for _, si := range p.waiting {
		if now.Ms < si.retryMs || !p.occurrenceDue(si, now) {
			continue
		}
		s := p.rankedStep(si, now)
		if s.rank == rankExpired {
			si.retryMs = now.Ms + expiredRetryMs
		}
		if len(h) < n {
			heap.Push(&h, s)
			continue
		}
		if s.before(&h[0]) {
			h[0] = s
			heap.Fix(&h, 0)
		}
	}
	sort.Slice(h, func(a, b int) bool { return h[a].before(&h[b]) })
	list := make([]*stepInstance, len(h))
	for i := range h {
		list[i] = h[i].si
	}
	return list
}

// tokenBucket limits the rate of a team's jobs to its weight, in jobs a second.
type tokenBucket struct {
	tokens float64
	atMs   int64
}

// bucketSeconds is the burst size of a bucket, in seconds of the team's weight.
const bucketSeconds = 2

// exceedsRate takes a token of the team and reports whether there was none.
func (p *Planner) exceedsRate(team string, now Instant) bool {
	weight := float64(p.view.Teams[team].Weight)
	if weight <= 0 {
		return false
	}
	b := p.buckets[team]
	if b == nil {
		b = &tokenBucket{tokens: weight * bucketSeconds, atMs: now.Ms}
		p.buckets[team] = b
	}
	b.tokens = min(b.tokens+weight*float64(now.Ms-b.atMs)/1000, weight*bucketSeconds)
	b.atMs = now.Ms
	if b.tokens < 1 {
		return true
	}
	b.tokens--
	return false
}
