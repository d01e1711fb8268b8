package sched

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
	asked  int   // questions under way
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
	return w.Service == p.queue(pt).Service && p.available(w, now) && (s.Needs == "" || w.hasLabel(s.Needs))
}

// ticket returns the ticket for a start on the worker, and whether one is
// needed and missing.
func (p *Planner) ticket(w *Worker, pt *part, now Instant) (ticket string, ok bool) {
	if p.queue(pt).Advice == nil {
		return "", true
	}
	g := pt.advice.grants[w.ID]
	if !g.allowed || g.born != w.Born || now.Ms > g.untilMs-ticketEdge {
		return "", false
	}
	return g.ticket, true
}

// want returns the workers to ask about next, if any: for new tickets where
// enough allowed workers have room, or nobody is left to ask about; otherwise
// about workers that nobody has asked about yet, those with room and fast ones
// first.
func (p *Planner) want(pt *part, need int, ix *index, now Instant) (ids []string) {
	stale, unknown, spare, have := p.asking(pt, need, ix, now)
	switch {
	case have < need && len(unknown) > 0, len(stale) == 0 && len(unknown) > 0:
		ids = p.pick(pt, need-have, unknown)
	case len(stale) > 0:
		ids = stale
	case have == 0:
		ids = spare
	}
	return ids[:min(len(ids), mostAsk)]
}

// candidate is a worker about which a question could be asked.
type candidate struct {
	id    string
	slots int // tasks of the part for which it has room
}

// asking returns the workers with room whose tickets have expired, those that
// nobody has asked about, by their class of speed, a few without room that
// nobody has asked about, and how many tasks the allowed ones have room for.
func (p *Planner) asking(pt *part, need int, ix *index, now Instant) (stale []string, unknown []candidate, spare []string, have int) {
	size := pt.spec().charge()
	var classes [slowClasses][]candidate
	for _, w := range ix.byFree {
		if tooSmall(w, size) && len(spare) >= leastAsk {
			break
		}
		asked, ok := p.prospective(pt, w, now)
		if !ok {
			continue
		}
		n := p.roomFor(pt, w, need, now)
		switch {
		case asked && n > 0:
			have += n
			if _, ok := p.ticket(w, pt, now); !ok {
				stale = append(stale, w.ID)
			}
		case !asked && n > 0:
			class := p.learned.slowness(w.ID)
			classes[class] = append(classes[class], candidate{w.ID, n})
		case !asked && len(spare) < leastAsk && slots(w.Capacity, size, 1) > 0:
			spare = append(spare, w.ID)
		}
	}
	for _, c := range classes {
		unknown = append(unknown, c...)
	}
	return stale, unknown, spare, have
}

// pick takes as many of the workers as the need makes likely to suffice. A dear
// question takes as many as it may, since another one would cost nearly as much.
func (p *Planner) pick(pt *part, need int, unknown []candidate) (ids []string) {
	dear := p.queue(pt).Advice.BaseMs >= dearAskMs
	share := p.allowedShare(pt.job.Spec.Queue)
	expected := 0.0
	for i, c := range unknown {
		if dear && i == dearAskMost || !dear && i >= leastAsk && expected >= askMargin*float64(need) {
			break
		}
		expected += share * float64(c.slots)
		ids = append(ids, c.id)
	}
	return ids
}

// allowedShare estimates which share of the workers advice allows for a queue.
func (p *Planner) allowedShare(queue string) float64 {
	if r := p.good[queue]; r != nil {
		return max(r.mean, leastRatio)
	}
	return firstRatio
}

// Advised takes the answer to a question. With ok false nothing was learned.
// The tickets expire validMs after the instant issued, in steady ms.
func (p *Planner) Advised(w Want, tickets map[string]string, ok bool, issued int64, now Instant) {
	pt := p.parts[w.Part]
	if pt == nil {
		return
	}
	pt.advice.asked = max(pt.advice.asked-1, 0)
	pt.restMs, pt.vain = 0, 0
	pt.advice.askMs = now.Ms + retryAskMs
	q := p.queue(pt)
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
