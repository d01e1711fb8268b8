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
	firstRatio  = 0.4 // before anything is known about a queue
	ratioWeight = 0.1 // of a new answer in the mean
	askMargin   = 1.3 // workers asked, against those needed by the mean
	leastAsk    = 4   // fewer cost nearly as much, and often allow too few
	mostAsk     = 100 // the service's bound for one question
	retryAskMs  = 100 // pause after a question that brought too little
	ticketEdge  = 80  // ms for a start to arrive before its ticket expires
	dearAskMs   = 200 // questions with a base cost above this ask for all workers at once
	dearAskMost = 32  // workers in one dear question
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

// want returns the question whose answer the part needs next, if any: for new
// tickets where enough allowed workers have room, otherwise about workers that
// nobody has asked about yet.
func (p *Planner) want(pt *part, need int, now Instant) (Want, bool) {
	q := p.view.Queues[pt.job.Spec.Queue]
	if q.Advice == nil || pt.advice.asked || now.Ms < pt.advice.askMs {
		return Want{}, false
	}
	type candidate struct {
		id    string
		slots int
		slow  int
	}
	var stale, unknown []candidate
	have := 0
	for id, w := range p.workers {
		if !p.usable(w, pt, now) {
			continue
		}
		n := p.roomFor(pt, w, need, now)
		g, asked := pt.advice.grants[id]
		switch {
		case !asked:
			if slots(w.Capacity, pt.spec().charge(), 1) > 0 {
				unknown = append(unknown, candidate{id, n, p.learned.slowness(id)})
			}
		case g.allowed && n > 0:
			have += n
			if _, ok := p.ticket(w, pt, now); !ok {
				stale = append(stale, candidate{id, n, p.learned.slowness(id)})
			}
		}
	}
	order := func(l []candidate) {
		sort.Slice(l, func(a, b int) bool {
			if idle := l[a].slots > 0; idle != (l[b].slots > 0) {
				return idle
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
	var ids []string
	switch {
	case have >= need && len(stale) > 0:
		order(stale)
		for _, c := range stale {
			ids = append(ids, c.id)
		}
	case len(unknown) > 0:
		order(unknown)
		ids = p.pick(pt, q, need-have, func(i int) (string, int, bool) {
			if i >= len(unknown) {
				return "", 0, false
			}
			return unknown[i].id, unknown[i].slots, true
		})
	case len(stale) > 0:
		order(stale)
		for _, c := range stale {
			ids = append(ids, c.id)
		}
	default:
		return Want{}, false
	}
	if len(ids) > mostAsk {
		ids = ids[:mostAsk]
	}
	cost := q.Advice.BaseMs + q.Advice.WorkerMs*float64(len(ids))
	return Want{Part: pt.key(), Step: pt.name(), Workers: ids, CostMs: cost}, true
}

// pick takes as many unknown workers as the need makes likely to suffice.
func (p *Planner) pick(pt *part, q Queue, need int, next func(int) (string, int, bool)) []string {
	share := firstRatio
	if r := p.good[q.Name]; r != nil {
		share = max(r.mean, 0.05)
	}
	most := mostAsk
	if q.Advice.BaseMs >= dearAskMs {
		most = dearAskMost
	}
	var ids []string
	expected := 0.0
	for i := 0; len(ids) < most; i++ {
		id, n, ok := next(i)
		if !ok {
			break
		}
		if len(ids) >= leastAsk && expected >= askMargin*float64(need) && q.Advice.BaseMs < dearAskMs {
			break
		}
		if n == 0 && len(ids) >= leastAsk && q.Advice.BaseMs < dearAskMs && expected > 0 {
			break
		}
		ids = append(ids, id)
		expected += share * float64(n)
	}
	return ids
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
