// Package queue decides whose work goes next.
//
// A Queue holds the waiting work of one group. An Item is what is placed at
// once: a single task, or all tasks of a gang. A Pass walks through the items
// in the order of the policy; the caller tries to place each and tells the
// pass what came of it. Work that does not fit now holds up only work of the
// same shape: the pass sets that shape aside and goes on with the others, so a
// job that can never run delays nobody.
//
// # Usage
//
//	q := queue.New(queue.Config{Policy: queue.Fair{}})
//	q.Add(queue.Item{Ref: ref, Team: "lab", Kind: jobs.Batch, Size: size, Count: 1, AtMs: now})
//	p := q.Pass(view)
//	for item, ok := p.Next(); ok; item, ok = p.Next() {
//		p.Placed(item) // or p.Blocked(item)
//	}
package queue

import (
	"sort"

	"lagooncourse/internal/cell/jobs"
)

// Item is work that is placed at once.
type Item struct {
	Ref   jobs.Ref // its first task
	Team  string
	Kind  jobs.Kind
	Size  jobs.Size // of each task
	Count int       // tasks; more than 1 for a gang
	Az    string
	AtMs  int64 // since when it waits

	ticket uint64 // tells an entry of a line from an older one with the same ref
}

// Total returns the size of the whole item.
func (it Item) Total() jobs.Size { return it.Size.Times(int64(it.Count)) }

// shape is what decides whether an item fits. Items of one shape and team are
// served in the order of their arrival.
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

// line is the waiting items of one shape, oldest first. Removed items stay in
// it as holes until they reach the front, so a removal costs the same however
// many wait.
type line struct {
	shape shape
	items []Item
	live  int
}

// View is what a policy knows about the whole fleet.
type View struct {
	NowMs int64
	Fleet jobs.Size            // capacity of all availability zones in service
	Used  map[string]jobs.Size // team -> running in the whole fleet
	Share map[string]int64     // team -> weight
}

// Policy orders the shapes that have waiting work.
type Policy interface {
	// Less reports whether a goes before b. It must be a strict weak order for
	// a fixed view and fixed usage.
	Less(a, b Candidate, v *View) bool
}

// Preemptor is implemented by policies under which running work may be stopped,
// with its state kept, for work that matters more.
type Preemptor interface {
	// Preempts reports whether batch gives way to urgent work, and work of
	// teams above their share to teams below it.
	Preempts() bool
}

// Policies lists the policies by the name under which they can be asked for.
var Policies = map[string]Policy{"fair": Fair{}, "fifo": FIFO{}}

// Candidate is the oldest item of a shape, with its team's present usage.
type Candidate struct {
	Item Item
	Used jobs.Size
}

// Config describes a Queue.
type Config struct {
	Policy Policy // nil means Fair with its default bounds
}

// place is where a waiting item stands.
type place struct {
	shape  shape
	ticket uint64
}

// Queue holds waiting items. It is not safe for concurrent use.
type Queue struct {
	policy Policy
	lines  map[shape]*line
	where  map[jobs.Ref]place
	ticket uint64               // of the newest item
	demand map[string]jobs.Size // team -> total size of what waits
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	if cfg.Policy == nil {
		cfg.Policy = Fair{}
	}
	return &Queue{
		policy: cfg.Policy, lines: map[shape]*line{}, where: map[jobs.Ref]place{}, demand: map[string]jobs.Size{},
	}
}

// Len returns how many items wait.
func (q *Queue) Len() int { return len(q.where) }

// Demand returns the total size of what waits for each team. The caller must
// not change the map.
func (q *Queue) Demand() map[string]jobs.Size { return q.demand }

// Add puts an item at the end of its line. An item whose ref waits already is
// ignored.
func (q *Queue) Add(it Item) {
	if _, ok := q.where[it.Ref]; ok {
		return
	}
	sh := it.shape()
	l := q.lines[sh]
	if l == nil {
		l = &line{shape: sh}
		q.lines[sh] = l
	}
	q.ticket++
	it.ticket = q.ticket
	l.items = append(l.items, it)
	l.live++
	q.where[it.Ref] = place{shape: sh, ticket: it.ticket}
	q.demand[it.Team] = q.demand[it.Team].Plus(it.Total())
}

// Remove takes an item out, wherever it stands in its line.
func (q *Queue) Remove(ref jobs.Ref) {
	at, ok := q.where[ref]
	if !ok {
		return
	}
	sh := at.shape
	delete(q.where, ref)
	l := q.lines[sh]
	l.live--
	left := q.demand[sh.team].Minus(sh.size.Times(int64(sh.count)))
	if left.IsZero() {
		delete(q.demand, sh.team)
	} else {
		q.demand[sh.team] = left
	}
	if l.live == 0 {
		delete(q.lines, sh)
	}
}

// head returns the oldest waiting item of the line.
func (q *Queue) head(l *line) (Item, bool) {
	for len(l.items) > 0 {
		it := l.items[0]
		if q.waits(it) {
			return it, true
		}
		l.items = l.items[1:]
	}
	return Item{}, false
}

// waits reports whether an entry of a line still waits.
func (q *Queue) waits(it Item) bool {
	at, ok := q.where[it.Ref]
	return ok && at.ticket == it.ticket
}

// Each calls fn for every waiting item, oldest first within a shape.
func (q *Queue) Each(fn func(Item)) {
	for _, l := range q.lines {
		for _, it := range l.items {
			if q.waits(it) {
				fn(it)
			}
		}
	}
}

// Pass is one walk through the queue. The queue may lose items during a pass,
// but the pass sees no items that are added meanwhile.
type Pass struct {
	q     *Queue
	view  *View
	used  map[string]jobs.Size // changes to view.Used made by this pass
	lines []*line
}

// Pass starts a walk.
func (q *Queue) Pass(v View) *Pass {
	p := &Pass{q: q, view: &v, used: map[string]jobs.Size{}}
	for _, l := range q.lines {
		p.lines = append(p.lines, l)
	}
	sort.Slice(p.lines, func(i, j int) bool { return p.lines[i].shape.less(p.lines[j].shape) })
	return p
}

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

// Next returns the item that the policy puts first among the shapes that have
// not been set aside. The caller has to call Placed or Blocked with it.
func (p *Pass) Next() (Item, bool) {
	best := -1
	var bestC Candidate
	for i := 0; i < len(p.lines); i++ {
		it, ok := p.q.head(p.lines[i])
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
	p.lines = append(p.lines[:i], p.lines[i+1:]...)
}

// Placed takes the item out of the queue and counts it for its team.
func (p *Pass) Placed(it Item) {
	p.q.Remove(it.Ref)
	p.used[it.Team] = p.used[it.Team].Plus(it.Total())
}

// Blocked sets the item's shape aside for the rest of the pass.
func (p *Pass) Blocked(it Item) {
	sh := it.shape()
	for i, l := range p.lines {
		if l.shape == sh {
			p.remove(i)
			return
		}
	}
}
