// Package queue holds the waiting work of one group and decides its order.
//
// A Queue holds all waiting items of the group, regardless of the queue that a job
// names in its spec.
//
// An Item is the unit of placement: a single task, or all tasks of a gang. A Pass
// iterates over the items of a Queue in the order of its Policy. The caller tries
// to place each item and reports the result to the pass. If an item does not fit,
// the pass skips all items of the same shape and continues with the others, so a
// job that can never run does not block jobs of other shapes.
//
// # Usage
//
//	q := queue.New(queue.Config{Policy: queue.Fair{}})
//	q.Add(queue.Item{Ref: ref, Team: "lab", Kind: jobs.Batch, Size: size, Count: 1, WaitingSinceMs: now})
//	p := q.Pass(view)
//	for item, ok := p.Next(); ok; item, ok = p.Next() {
//		p.Placed(item) // or p.Blocked(item)
//	}
package queue

import (
	"sort"

	"lagooncourse/internal/cell/jobs"
)

// Item is a unit of work that is placed as a whole.
type Item struct {
	Ref            jobs.Ref // the first task
	Team           string
	Kind           jobs.Kind
	Size           jobs.Size // of each task
	Count          int       // number of tasks; more than 1 for a gang
	Az             string    // requested availability zone; empty for any
	WaitingSinceMs int64     // start of the waiting time

	seq uint64 // distinguishes the item from a removed one with the same ref
}

// Total returns the sum of the sizes of all tasks.
func (it Item) Total() jobs.Size { return it.Size.Times(int64(it.Count)) }

// shape holds the properties of an item that decide whether it can be placed.
// Items of one shape are ordered by arrival.
type shape struct {
	kind  jobs.Kind
	team  string
	size  jobs.Size
	count int
	az    string
}

func (it Item) shape() shape {
	return shape{kind: it.Kind, team: it.Team, size: it.Size, count: it.Count, az: it.Az}
}

// shapeQueue holds the items of one shape, oldest first. Removed items stay in
// the slice until they reach the front, so that Remove takes constant time.
type shapeQueue struct {
	shape shape
	items []Item
	live  int // number of items that have not been removed
}

// FleetView is the state of the whole fleet that a policy uses.
type FleetView struct {
	NowMs   int64
	Fleet   jobs.Size            // total capacity of the availability zones in service
	Used    map[string]jobs.Size // team -> size of its running work in the whole fleet
	Weights map[string]int64     // team -> weight
}

// Policy orders the shapes with waiting items.
type Policy interface {
	// Less reports whether a goes before b. It must be a strict weak ordering
	// for a fixed view and usage.
	Less(a, b Candidate, v *FleetView) bool
}

// Preemptor is implemented by policies that allow preemption: running work is
// stopped with a checkpoint to make room for other work.
type Preemptor interface {
	// Preempts reports whether urgent work preempts batch work, and teams below
	// their fair share preempt teams above it.
	Preempts() bool
}

// Policies maps policy names to policies.
var Policies = map[string]Policy{"fair": Fair{}, "fifo": FIFO{}}

// Candidate is the oldest item of a shape with its team's current usage.
type Candidate struct {
	Item Item
	Used jobs.Size
}

// Config holds the parameters of a Queue.
type Config struct {
	Policy Policy // nil means Fair{}
}

// position identifies a waiting item in its shapeQueue.
type position struct {
	shape shape
	seq   uint64
}

// Queue holds waiting items. It is not safe for concurrent use.
type Queue struct {
	policy      Policy
	shapeQueues map[shape]*shapeQueue
	positions   map[jobs.Ref]position
	seq         uint64               // seq of the latest item
	demand      map[string]jobs.Size // team -> total size of its waiting items
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	if cfg.Policy == nil {
		cfg.Policy = Fair{}
	}
	return &Queue{
		policy: cfg.Policy, shapeQueues: map[shape]*shapeQueue{}, positions: map[jobs.Ref]position{}, demand: map[string]jobs.Size{},
	}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return len(q.positions) }

// Demand returns the total size of the waiting items of each team. The caller
// must not modify the map.
func (q *Queue) Demand() map[string]jobs.Size { return q.demand }

// Add adds an item behind all others of its shape. It ignores an item if one with
// the same ref is waiting.
func (q *Queue) Add(it Item) {
	if _, ok := q.positions[it.Ref]; ok {
		return
	}
	sh := it.shape()
	sq := q.shapeQueues[sh]
	if sq == nil {
		sq = &shapeQueue{shape: sh}
		q.shapeQueues[sh] = sq
	}
	q.seq++
	it.seq = q.seq
	sq.items = append(sq.items, it)
	sq.live++
	q.positions[it.Ref] = position{shape: sh, seq: it.seq}
	q.demand[it.Team] = q.demand[it.Team].Plus(it.Total())
}

// Remove removes the item with the given ref, if there is one.
func (q *Queue) Remove(ref jobs.Ref) {
	at, ok := q.positions[ref]
	if !ok {
		return
	}
	sh := at.shape
	delete(q.positions, ref)
	sq := q.shapeQueues[sh]
	sq.live--
	left := q.demand[sh.team].Minus(sh.size.Times(int64(sh.count)))
	if left.IsZero() {
		delete(q.demand, sh.team)
	} else {
		q.demand[sh.team] = left
	}
	if sq.live == 0 {
		delete(q.shapeQueues, sh)
	}
}

// head returns the oldest waiting item of sq. It drops removed items at the front.
func (q *Queue) head(sq *shapeQueue) (Item, bool) {
	for len(sq.items) > 0 {
		it := sq.items[0]
		if q.isWaiting(it) {
			return it, true
		}
		sq.items = sq.items[1:]
	}
	return Item{}, false
}

// isWaiting reports whether an item of a shapeQueue has not been removed.
func (q *Queue) isWaiting(it Item) bool {
	at, ok := q.positions[it.Ref]
	return ok && at.seq == it.seq
}

// Each calls fn for every waiting item, oldest first within a shape.
func (q *Queue) Each(fn func(Item)) {
	for _, sq := range q.shapeQueues {
		for _, it := range sq.items {
			if q.isWaiting(it) {
				fn(it)
			}
		}
	}
}

// Pass is one iteration over the queue. Items may be removed from the queue
// during a pass. An item that is added during a pass is not visited if no items of
// its shape are waiting at that time.
type Pass struct {
	q           *Queue
	view        *FleetView
	used        map[string]jobs.Size // team -> size placed by this pass, in addition to view.Used
	shapeQueues []*shapeQueue        // of the shapes that are neither blocked nor empty
}

// Pass starts a pass over the queue.
func (q *Queue) Pass(v FleetView) *Pass {
	p := &Pass{q: q, view: &v, used: map[string]jobs.Size{}}
	for _, sq := range q.shapeQueues {
		p.shapeQueues = append(p.shapeQueues, sq)
	}
	sort.Slice(p.shapeQueues, func(i, j int) bool { return p.shapeQueues[i].shape.less(p.shapeQueues[j].shape) })
	return p
}

// less defines a total order that makes the order of a pass deterministic.
func (s shape) less(o shape) bool {
	switch {
	case s.kind != o.kind:
		return s.kind < o.kind
	case s.team != o.team:
		return s.team < o.team
	case s.size != o.size:
		return s.size.CPU < o.size.CPU || s.size.CPU == o.size.CPU &&
			(s.size.Mem < o.size.Mem || s.size.Mem == o.size.Mem && s.size.Accel < o.size.Accel)
	case s.count != o.count:
		return s.count < o.count
	}
	return s.az < o.az
}

// Next returns the item that the policy orders first among the shapes that are
// not blocked. The caller must pass the item to Placed or Blocked.
func (p *Pass) Next() (Item, bool) {
	best := -1
	var bestC Candidate
	for i := 0; i < len(p.shapeQueues); i++ {
		it, ok := p.q.head(p.shapeQueues[i])
		if !ok {
			p.remove(i)
			i--
			continue
		}
		c := Candidate{Item: it, Used: p.view.Used[it.Team].Plus(p.used[it.Team])}
		if best < 0 || p.q.policy.Less(c, bestC, p.view) {
			best, bestC = i, c
		}
	}
	return bestC.Item, best >= 0
}

func (p *Pass) remove(i int) {
	p.shapeQueues = append(p.shapeQueues[:i], p.shapeQueues[i+1:]...)
}

// Placed removes the item from the queue and adds it to its team's usage.
func (p *Pass) Placed(it Item) {
	p.q.Remove(it.Ref)
	p.used[it.Team] = p.used[it.Team].Plus(it.Total())
}

// Blocked excludes the item's shape from the rest of the pass.
func (p *Pass) Blocked(it Item) {
	sh := it.shape()
	for i, sq := range p.shapeQueues {
		if sq.shape == sh {
			p.remove(i)
			return
		}
	}
}
