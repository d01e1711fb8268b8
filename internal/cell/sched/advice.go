package sched

// grant is the answer of the advice service about a worker and a step. Whether
// the worker is allowed does not change, but its ticket expires.
type grant struct {
	allowed bool
	ticket  string
	untilMs int64
	born    int64 // worker incarnation for which the ticket is valid
}

// adviceState holds the advice received for a step instance.
type adviceState struct {
	grants map[string]grant // by worker
	asked  int              // requests without a reply
	askMs  int64            // no further request before this time
}

// allowedShare is a moving average of the share of workers that advice allows.
type ratio struct{ mean float64 }

// Limits of advice requests.
const (
	leastRatio  = 0.05 // limits the size of requests after a series of denials
	firstRatio  = 0.4  // of a queue without replies
	ratioWeight = 0.1  // weight of a new sample in the moving average
	askMargin   = 1.3  // factor on the number of workers needed on average
	leastAsk    = 4    // smaller requests cost nearly as much, and often allow too few workers
	mostAsk     = 100  // limit of the advice service
	retryAskMs  = 100  // delay after a failed request
	ticketEdge  = 80   // time for a start to arrive before its ticket expires
	dearAskMs   = 200  // base cost from which a request takes as many workers as it may
	dearAskMost = 32   // workers in one costly request
)

// Want is a request to the advice service about one step instance.
type Want struct {
	Part    partKey
	Step    string // JOB.OCC.STEP
	Workers []string
	CostMs  float64 // expected response time
	Desk    string  // host that sends the request
}

// Desks are the hosts that can send advice requests. The service takes one
// request at a time from each host. While no host is free, steps wait in the
// planner, so the next free host serves the most urgent one.
type Desks interface {
	// Idle reports whether any host is free.
	Idle() bool
	// Take claims a host for a request of the given cost. The host is released
	// after the reply.
	Take(costMs float64) (desk string, ok bool)
}

// usable reports whether the worker may run tasks of the step, capacity aside.
func (p *Planner) usable(w *Worker, pt *part, now Instant) bool {
	s := pt.spec()
	return w.Service == p.queue(pt).Service && p.available(w, now) && (s.Needs == "" || w.hasLabel(s.Needs))
}

// ticket returns the ticket for a start on the worker. ok is false if a ticket is
// needed and no valid one is there.
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

// workersToAsk returns the workers for the next advice request, if any. If the
// allowed workers have capacity for need tasks, or no other worker has any, the
// request renews expired tickets. Otherwise it covers workers without advice:
// those with capacity, fast ones first, or else a few without capacity.
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

// candidate is a worker for an advice request.
type candidate struct {
	id    string
	slots int // tasks for which it has capacity
}

// adviceCandidates returns the allowed workers with capacity whose tickets have
// expired, the workers without advice that have capacity, by slowdown class, a
// few without advice and without capacity, and the number of tasks for which
// the allowed workers have capacity.
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

// pickUnknown returns as many workers as are likely needed for need tasks. A
// costly request takes up to costlyMaxWorkers, since a second request would cost
// nearly as much as the first.
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

// expectedShare estimates the share of workers that advice allows for a queue.
func (p *Planner) allowedShare(queue string) float64 {
	if r := p.good[queue]; r != nil {
		return max(r.mean, leastRatio)
	}
	return firstRatio
}

// Advised handles the reply to a request; ok is false if the request failed.
// Workers without a ticket are denied. The tickets expire ValidMs after issued,
// a monotonic time in ms.
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

// recordShare adds a sample to the allowed share of a queue.
func (p *Planner) learn(queue string, share float64) {
	r := p.good[queue]
	if r == nil {
		p.good[queue] = &ratio{mean: share}
		return
	}
	r.mean += ratioWeight * (share - r.mean)
}
