package sched

import (
	"sort"

	"lagooncourse/internal/cell/trust"
)

// grant is what the advice service said about a worker and a step. Whether the
// worker may run the step does not change; the ticket expires.
type grant struct {
	allowed bool
	ticket  string
	untilMs int64
	born    int64 // incarnation for which the ticket is valid
}

// adviceState is what is known about the workers that may run a part.
type adviceState struct {
	grants map[string]grant
	asked  bool  // a question is under way
	askMs  int64 // no further question before this instant
}

// ratio is a running mean of the share of workers that advice allows.
type ratio struct{ mean float64 }

const (
	leastRatio  = 0.05 // keeps one bad streak from asking for everybody
	firstRatio  = 0.4  // before anything is known about a queue
	ratioWeight = 0.1  // of a new answer in the mean
	askMargin   = 1.3  // workers asked, against those needed by the mean
	leastAsk    = 4    // fewer cost nearly as much, and often allow too few
	mostAsk     = 100  // the service's bound for one question
	retryAskMs  = 100  // pause after a question that brought too little
	ticketEdge  = 80   // ms for a start to arrive before its ticket expires
	dearAskMs   = 200  // questions with a base cost above this ask for all workers at once
	dearAskMost = 32   // workers in one dear question
)

// Want is a question for the advice service.
type Want struct {
	Part    partKey
	Step    string
	Workers []string
	CostMs  float64 // time that the answer takes
	Desk    string  // through which the question is asked
}

// Desks are the hosts through which advice can be asked. The service takes one
// question at a time from each, so a question that finds no free desk waits
// here, where the more urgent ones overtake it.
type Desks interface {
	// Idle reports whether any desk is free.
	Idle() bool
	// Take reserves a desk for a question of that cost. The desk is released
	// when the question has been answered.
	Take(costMs float64) (desk string, ok bool)
}

// usable reports whether the worker may be given work of the step at all.
func (p *Planner) usable(w *Worker, pt *part, now Instant) bool {
	s := pt.spec()
	switch {
	case !w.present || !w.listed || !w.contact || w.Draining || now.Ms < w.penalty:
		return false
	case w.Service != p.view.Queues[pt.job.Spec.Queue].Service || p.view.Closed[w.Az]:
		return false
	case s.Needs != "" && !w.hasLabel(s.Needs):
		return false
	}
	return p.trust.State(w.ID, now.Ms) != trust.Quarantined
}

// ticket returns the ticket for a start on the worker, and whether one is
// needed and missing.
func (p *Planner) ticket(w *Worker, pt *part, now Instant) (ticket string, ok bool) {
	if p.view.Queues[pt.job.Spec.Queue].Advice == nil {
		return "", true
	}
	g := pt.advice.grants[w.ID]
	if !g.allowed || g.born != w.Born || now.Ms > g.untilMs-ticketEdge {
		return "", false
	}
	return g.ticket, true
}

// candidate is a worker about which a question could be asked.
type candidate struct {
	id    string
	slots int // tasks of the part for which it has room
	slow  int // its class of speed
}

// byPromise orders candidates: those with room, fast ones, those with most room.
func byPromise(l []candidate) {
	sort.Slice(l, func(a, b int) bool {
		if room := l[a].slots > 0; room != (l[b].slots > 0) {
			return room
		}
		if l[a].slow != l[b].slow {
			return l[a].slow < l[b].slow
		}
		if l[a].slots != l[b].slots {
			return l[a].slots > l[b].slots
		}
		return l[a].id < l[b].id
	})
}

// want returns the question whose answer the part needs next, if any: for new
// tickets where enough allowed workers have room, or nobody is left to ask about;
// otherwise about workers that nobody has asked about yet.
func (p *Planner) want(pt *part, need int, now Instant) (Want, bool) {
	q := p.view.Queues[pt.job.Spec.Queue]
	if q.Advice == nil || pt.advice.asked || now.Ms < pt.advice.askMs {
		return Want{}, false
	}
	stale, unknown, have := p.asking(pt, need, now)
	ask := stale
	if len(unknown) > 0 && (have < need || len(stale) == 0) {
		ask = p.pick(q, need-have, unknown)
	}
	if len(ask) == 0 {
		return Want{}, false
	}
	byPromise(ask)
	var ids []string
	for _, c := range ask[:min(len(ask), mostAsk)] {
		ids = append(ids, c.id)
	}
	cost := q.Advice.BaseMs + q.Advice.WorkerMs*float64(len(ids))
	return Want{Part: pt.key(), Step: pt.name(), Workers: ids, CostMs: cost}, true
}

// asking returns the workers whose tickets have expired, those that nobody has
// asked about, and how many tasks the allowed ones have room for.
func (p *Planner) asking(pt *part, need int, now Instant) (stale, unknown []candidate, have int) {
	for id, w := range p.workers {
		if !p.usable(w, pt, now) {
			continue
		}
		c := candidate{id, p.roomFor(pt, w, need, now), p.learned.slowness(id)}
		g, asked := pt.advice.grants[id]
		switch {
		case !asked:
			if slots(w.Capacity, pt.spec().charge(), 1) > 0 {
				unknown = append(unknown, c)
			}
		case g.allowed && c.slots > 0:
			have += c.slots
			if _, ok := p.ticket(w, pt, now); !ok {
				stale = append(stale, c)
			}
		}
	}
	return stale, unknown, have
}

// pick takes as many of the workers as the need makes likely to suffice. A dear
// question takes as many as it may, since another one would cost nearly as much.
func (p *Planner) pick(q Queue, need int, unknown []candidate) []candidate {
	byPromise(unknown)
	if q.Advice.BaseMs >= dearAskMs {
		return unknown[:min(len(unknown), dearAskMost)]
	}
	share := firstRatio
	if r := p.good[q.Name]; r != nil {
		share = max(r.mean, leastRatio)
	}
	expected := 0.0
	for i, c := range unknown {
		if i >= leastAsk && (expected >= askMargin*float64(need) || c.slots == 0 && expected > 0) {
			return unknown[:i]
		}
		expected += share * float64(c.slots)
	}
	return unknown
}

// Advised takes the answer to a question. With ok false nothing was learned.
// The tickets expire validMs after the instant issued, in steady ms.
func (p *Planner) Advised(w Want, tickets map[string]string, ok bool, issued int64, now Instant) {
	pt := p.parts[w.Part]
	if pt == nil {
		return
	}
	pt.advice.asked, pt.restMs = false, 0
	pt.advice.askMs = now.Ms + retryAskMs
	q := p.view.Queues[pt.job.Spec.Queue]
	if !ok || q.Advice == nil {
		return
	}
	if pt.advice.grants == nil {
		pt.advice.grants = map[string]grant{}
	}
	for _, id := range w.Workers {
		wk := p.workers[id]
		if wk == nil {
			continue
		}
		t, allowed := tickets[id]
		pt.advice.grants[id] = grant{allowed: allowed, ticket: t, untilMs: issued + q.Advice.ValidMs, born: wk.Born}
	}
	pt.advice.askMs = now.Ms
	p.learn(q.Name, float64(len(tickets))/float64(max(len(w.Workers), 1)))
}

func (p *Planner) learn(queue string, share float64) {
	r := p.good[queue]
	if r == nil {
		p.good[queue] = &ratio{mean: share}
		return
	}
	r.mean += ratioWeight * (share - r.mean)
}
