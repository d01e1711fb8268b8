package sched

import (
	"container/heap"
	"slices"
	"sort"
)

// rank is the first sort key of waiting step instances. Those that can meet their
// deadline come first, then late ones, then those in excess of their team's rate,
// and last those whose result would be of no use. If step instances were ordered
// by age alone, a backlog would make all jobs late and would not drain.
type rank uint8

const (
	rankOnTime  rank = iota // can meet its deadline, or runs until it is cancelled
	rankLate                // misses its deadline, but ends before its result is of no use; see lateFactor
	rankExcess              // submitted in excess of its team's rate
	rankExpired             // ends when its result is of no use any more; see lateFactor
)

// The result of a job is of no use after lateFactor times the interval from its
// due time to its deadline, counted from the due time.
const lateFactor = 3

// rankedStep is a step instance with its sort keys.
type rankedStep struct {
	si         *stepInstance
	rank       rank
	priority   int
	deadlineMs int64 // in ms since 1970
}

// before orders by rank, priority and deadline. Expired steps take turns: nothing tells them
// apart any more, and a backlog of those that can't start would keep the others from being
// tried.
func (s *rankedStep) before(o *rankedStep) bool {
	switch {
	case s.rank != o.rank:
		return s.rank < o.rank
	case s.rank == rankExpired && s.si.triedMs != o.si.triedMs:
		return s.si.triedMs < o.si.triedMs
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

// rankStep computes the sort keys of a step instance and stores its rank.
func (p *Planner) rankStep(si *stepInstance, now Instant) rankedStep {
	q := p.queue(si)
	s := rankedStep{si: si, priority: q.Priority, deadlineMs: si.deadlineMs}
	end := now.WallMs + p.estimatedGraph(si.job).remainingMs[si.step]
	uselessAfterMs := si.dueMs + lateFactor*(si.deadlineMs-si.dueMs)
	switch {
	case si.spec().LongRunning && !si.job.Spec.Excess: // has no end, so it can't be late
	case end > uselessAfterMs:
		s.rank = rankExpired
	case si.job.Spec.Excess:
		s.rank = rankExcess
	case end > si.deadlineMs:
		s.rank = rankLate
	}
	si.rank = s.rank
	return s
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

// A step instance that was not tried for overdueMs, because others came before it in
// each plan, is overdue. A plan tries the first maxOverdueSteps of them in addition.
const (
	overdueMs       = 500
	maxOverdueSteps = maxPlanSteps / 4
)

// triedBefore orders by the time of the last try.
func (si *stepInstance) triedBefore(o *stepInstance) bool {
	if si.triedMs != o.triedMs {
		return si.triedMs < o.triedMs
	}
	return si.key().less(o.key())
}

// addOverdue adds a step instance to a list in the order of triedBefore, and keeps its
// first maxOverdueSteps.
func addOverdue(list []rankedStep, s rankedStep) []rankedStep {
	i := sort.Search(len(list), func(i int) bool { return s.si.triedBefore(list[i].si) })
	if i == maxOverdueSteps {
		return list
	}
	list = slices.Insert(list, i, s)
	return list[:min(len(list), maxOverdueSteps)]
}

// firstSteps returns the first n waiting step instances and some overdue ones, in
// order. It skips those whose next try is not due, so that step instances that do not
// fit do not starve the ones after them. It also delays the next try of expired ones.
func (p *Planner) firstSteps(n int, now Instant) []*stepInstance {
	h := make(rankHeap, 0, min(n, len(p.waiting)))
	var overdue []rankedStep
	for _, si := range p.waiting {
		if now.Ms < si.retryAtMs || !p.occurrenceDue(si, now) {
			continue
		}
		s := p.rankStep(si, now)
		if s.rank == rankExpired {
			si.retryAtMs = now.Ms + expiredRetryDelayMs
		}
		if now.Ms-si.triedMs > overdueMs {
			overdue = addOverdue(overdue, s)
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
	for _, s := range h {
		s.si.triedMs = now.Ms
	}
	for _, s := range overdue {
		if s.si.triedMs < now.Ms {
			s.si.triedMs = now.Ms
			h = append(h, s)
		}
	}
	sort.Slice(h, func(a, b int) bool { return h[a].before(&h[b]) })
	list := make([]*stepInstance, len(h))
	for i := range h {
		list[i] = h[i].si
	}
	return list
}

// tokenBucket measures whether a team submits more jobs a second than its weight.
type tokenBucket struct {
	tokens float64
	atMs   int64 // time of the last refill
}

// bucketSeconds is the burst size of a bucket, in seconds of the team's weight.
const bucketSeconds = 2

// exceedsRate takes a token of the team and reports whether there was none.
func (p *Planner) exceedsRate(team string, now Instant) bool {
	rate := float64(p.policy.Teams[team].Weight)
	if rate <= 0 {
		return false
	}
	b := p.buckets[team]
	if b == nil {
		b = &tokenBucket{tokens: rate * bucketSeconds, atMs: now.Ms}
		p.buckets[team] = b
	}
	b.tokens = min(b.tokens+rate*float64(now.Ms-b.atMs)/1000, rate*bucketSeconds)
	b.atMs = now.Ms
	if b.tokens < 1 {
		return true
	}
	b.tokens--
	return false
}
