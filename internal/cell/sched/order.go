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
	rankInTime rank = iota // can meet its deadline
	rankLate               // will miss its deadline, but end within lateFactor
	rankExcess             // submitted in excess of its team's rate
	rankLost               // too late to be of use
)

// lateFactor times the time from the due time of a job to its deadline is the
// time after which its result is of no use.
const lateFactor = 3

// rankedStep is a step instance with its sort keys.
type standing struct {
	pt       *part
	rank     rank
	priority int
	due      int64
}

// before orders by rank, priority and deadline.
func (s *standing) before(o *standing) bool {
	switch {
	case s.rank != o.rank:
		return s.rank < o.rank
	case s.priority != o.priority:
		return s.priority < o.priority
	case s.due != o.due:
		return s.due < o.due
	}
	return s.pt.key().less(o.pt.key())
}

func (k partKey) less(o partKey) bool {
	switch {
	case k.job != o.job:
		return k.job < o.job
	case k.occ != o.occ:
		return k.occ < o.occ
	}
	return k.step < o.step
}

// rankStep computes the sort keys of a step instance and stores its rank.
func (p *Planner) standing(pt *part, now Instant) standing {
	q := p.queue(pt)
	s := standing{pt: pt, priority: q.Priority, due: pt.due}
	end := now.Wall + p.remaining(pt)
	late := pt.from + lateFactor*(pt.due-pt.from)
	switch {
	case end > late:
		s.rank = rankLost
	case pt.job.Spec.Excess:
		s.rank = rankExcess
	case end > pt.due:
		s.rank = rankLate
	}
	pt.rank = s.rank
	return s
}

// remaining estimates the total run time of a step and the steps that depend on
// it, in ms.
func (p *Planner) remaining(pt *part) int64 {
	var ms int64
	for i := pt.step; i < len(pt.job.Spec.Steps); i++ {
		if i == pt.step || dependsOn(pt.job.Spec.Steps, i, pt.step) {
			ms += p.learned.runMs(pt.job.Spec.Queue, pt.job.Spec.Steps[i])
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
type worst []standing

func (h worst) Len() int           { return len(h) }
func (h worst) Less(a, b int) bool { return h[b].before(&h[a]) }
func (h worst) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }
func (h *worst) Push(x any)        { *h = append(*h, x.(standing)) }
func (h *worst) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// firstSteps returns the first n waiting step instances, in order. It skips
// those in backoff, so that many step instances without capacity at the front
// do not starve the ones behind them.
func (p *Planner) first(n int, now Instant) []*part {
	h := make(worst, 0, min(n, len(p.waiting)))
	for _, pt := range p.waiting {
		if now.Ms < pt.restMs || !p.timely(pt, now) {
			continue
		}
		s := p.standing(pt, now)
		if s.rank == rankLost {
			pt.restMs = now.Ms + lostRestMs
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
	list := make([]*part, len(h))
	for i := range h {
		list[i] = h[i].pt
	}
	return list
}

// tokenBucket limits the rate of a team's jobs to its weight, in jobs a second.
type bucket struct {
	tokens float64
	atMs   int64
}

// bucketSeconds is the burst size of a bucket, in seconds of the team's weight.
const bucketSeconds = 2

// exceedsRate takes a token of the team and reports whether there was none.
func (p *Planner) excess(team string, now Instant) bool {
	weight := float64(p.view.Teams[team].Weight)
	if weight <= 0 {
		return false
	}
	b := p.buckets[team]
	if b == nil {
		b = &bucket{tokens: weight * bucketSeconds, atMs: now.Ms}
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
