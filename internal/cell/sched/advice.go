package sched

// adviceAnswer is the answer of the advice service about a worker and a step.
// Whether the worker is allowed does not change, but its ticket expires.
type adviceAnswer struct {
	allowed     bool
	ticket      string
	untilMs     int64 // end of the ticket's validity
	incarnation int64 // worker incarnation for which the ticket is valid
}

// adviceState holds the advice received for a step instance.
type adviceState struct {
	answers       map[string]adviceAnswer // by worker
	allowed       []string                // workers that an answer allows; later answers about a worker are the same
	openRequests  int                     // requests without a reply
	nextRequestMs int64                   // no further request before this time
	failures      int                     // failed requests since the last reply
	requests      int                     // requests in total
	hostWaitMs    int64                   // since when a request has waited for a free host; 0 if none waits
}

// noteHost is called when a request about the step is due. It notes whether a host was free
// for it.
func (s *adviceState) noteHost(free bool, now Instant) {
	switch {
	case free:
		s.hostWaitMs = 0
	case s.hostWaitMs == 0:
		s.hostWaitMs = now.Ms
	}
}

// denies reports whether the advice service has denied the worker.
func (s *adviceState) denies(worker string) bool {
	answer, advised := s.answers[worker]
	return advised && !answer.allowed
}

// expire ends the validity of a worker's ticket. There is none if the queue has got its
// advice by a configuration that is not known here yet.
func (s *adviceState) expire(worker string) {
	if answer, ok := s.answers[worker]; ok {
		answer.untilMs = 0
		s.answers[worker] = answer
	}
}

// allowedShare is a moving average of the share of workers that advice allows. Its
// first sample sets the value; all others have the weight allowedShareWeight.
type allowedShare struct{ mean float64 }

// Parameters of advice requests.
const (
	minAllowedShare     = 0.05 // limits the size of requests after a series of denials
	initialAllowedShare = 0.4  // of a queue without replies
	allowedShareWeight  = 0.1  // weight of a new sample in the moving average
	requestMargin       = 1.3  // factor on the number of workers needed on average
	minRequestWorkers   = 4    // smaller requests cost nearly as much, and their replies often allow too few workers
	maxRequestWorkers   = 100  // limit of the advice service
	requestRetryMs      = 100  // delay after a failed request, doubled with each further one
	maxRequestRetryMs   = 3200 // a host pauses for 1 s after a failed request, so one step alone would keep all hosts from the others
	ticketMarginMs      = 80   // time for a start to arrive before its ticket expires
	costlyBaseMs        = 200  // BaseMs from which a request is costly: it asks about up to costlyMaxWorkers workers
	costlyMaxWorkers    = 32   // workers in one costly request
)

// maxHostWaitMs is how long a request for advice waits for a free host behind those of steps
// that come first in order.
const maxHostWaitMs = 1_000

// serveLongestWaits lets the steps whose requests have waited longest for a host have the next
// one, beyond maxHostWaitMs: one step with costly requests and one with others at a time. While
// requests of steps that come first keep all hosts busy, as after a takeover, the others would
// get no advice at all.
func (p *Planner) serveLongestWaits(plan *Plan, now Instant) {
	for costly, lane := range p.hostLanes {
		if lane != nil && lane.advice.openRequests > 0 && p.waiting[lane.key()] == lane {
			continue
		}
		p.hostLanes[costly] = nil
		si := p.longestHostWait(costly == 1, now)
		if si == nil || !plan.hostFree() {
			continue
		}
		sinceMs := si.advice.hostWaitMs
		si.triedMs, si.advice.hostWaitMs = now.Ms, 0 // it may have no use for a host now
		p.place(si, plan, now)
		switch {
		case si.advice.openRequests > 0:
			p.hostLanes[costly] = si
		case si.advice.hostWaitMs > 0: // no host that is free takes its request
			si.advice.hostWaitMs = sinceMs
		}
	}
}

// longestHostWait returns the step instance whose costly, or other, request has waited longest
// for a host, beyond maxHostWaitMs, or nil.
func (p *Planner) longestHostWait(costly bool, now Instant) (longest *stepInstance) {
	for _, si := range p.waiting {
		fromMs := si.advice.hostWaitMs
		a := p.queue(si).Advice
		if fromMs == 0 || now.Ms-fromMs <= maxHostWaitMs || a == nil || (a.BaseMs >= costlyBaseMs) != costly || p.setAside[si.job.Spec.ID] {
			continue
		}
		if longest == nil || fromMs < longest.advice.hostWaitMs || fromMs == longest.advice.hostWaitMs && si.key().less(longest.key()) {
			longest = si
		}
	}
	return longest
}

// AdviceRequest is a request to the advice service about one step instance.
type AdviceRequest struct {
	StepKey    stepKey
	Step       string // JOB.OCC.STEP
	Workers    []string
	ResponseMs float64 // expected response time
	Host       string  // host that sends the request
}

// AdviceHosts are the hosts that can send advice requests. The service takes one
// request at a time from each host. While no host is free, steps wait in the
// planner, so the next free host serves the first one in order.
type AdviceHosts interface {
	// Available reports whether any host is free.
	Available() bool
	// Acquire reserves a host for a request that takes about responseMs. The host is
	// released after the reply.
	Acquire(responseMs float64) (host string, ok bool)
}

// usable reports whether the worker may run tasks of the step, capacity aside.
func (p *Planner) usable(w *Worker, si *stepInstance, now Instant) bool {
	s := si.spec()
	return w.Service == p.queue(si).Service && p.available(w, now) && (s.RequiredLabel == "" || w.hasLabel(s.RequiredLabel))
}

// ticket returns the ticket for a start on the worker. ok is false if a ticket is
// needed and none is valid.
func (p *Planner) ticket(w *Worker, si *stepInstance, now Instant) (ticket string, ok bool) {
	if p.queue(si).Advice == nil {
		return "", true
	}
	answer := si.advice.answers[w.ID]
	if !answer.allowed || answer.incarnation != w.Incarnation || now.Ms > answer.untilMs-ticketMarginMs {
		return "", false
	}
	return answer.ticket, true
}

// workersToAsk returns the workers for the next advice request, if any. They are
// the first of these that exist:
//   - workers with capacity but without advice, fast ones first, if the allowed
//     workers lack capacity for need tasks or have no expired ticket
//   - allowed workers with expired tickets
//   - a few workers without advice and without free capacity, if no allowed
//     worker has capacity
func (p *Planner) workersToAsk(si *stepInstance, need int, plan *Plan, now Instant) (ids []string) {
	mayAvoid := stepCrashes(si.tasks()) > 0
	expired, unknown, full, have := p.adviceCandidates(si, need, plan, mayAvoid, now)
	if mayAvoid && have == 0 && len(unknown) == 0 {
		expired, unknown, full, have = p.adviceCandidates(si, need, plan, false, now)
	}
	switch {
	case have < need && len(unknown) > 0, len(expired) == 0 && len(unknown) > 0:
		ids = p.pickUnknown(si, need-have, unknown)
	case len(expired) > 0:
		ids = expired
	case have == 0:
		ids = full
	}
	return ids[:min(len(ids), maxRequestWorkers)]
}

// candidate is a worker for an advice request.
type candidate struct {
	id    string
	slots int // tasks for which it has capacity
}

// adviceCandidates returns
//   - expired: the allowed workers with capacity whose tickets have expired
//   - unknown: the workers with capacity but without advice, by slowdown class
//   - full: a few workers without advice and without free capacity
//   - have: the number of tasks for which the allowed workers have capacity
//
// With avoid, it leaves out workers that a suspect had better not be placed on.
func (p *Planner) adviceCandidates(si *stepInstance, need int, plan *Plan, avoid bool, now Instant) (expired []string, unknown []candidate, full []string, have int) {
	spec := si.spec()
	size, label, priority := spec.demand(), spec.RequiredLabel, p.queue(si).Priority
	suits := func(w *Worker) bool {
		return (label == "" || w.hasLabel(label)) && !w.reservedForOther(si, priority, now) && !(avoid && p.avoidedBySuspects(w, now))
	}
	if p.queue(si).Advice != nil {
		for _, w := range p.candidatesFor(si, plan, now) {
			if n := p.slotsIfSuits(si, w, need, suits, now); n > 0 {
				have += n
				if _, ok := p.ticket(w, si, now); !ok {
					expired = append(expired, w.ID)
				}
			}
		}
	}
	var classes [slowdownClasses][]candidate
	fast := 0 // tasks for which the workers of the first class have capacity
	for _, w := range p.indexOf(p.queue(si).Service, plan, now).byFree {
		if lacksCPU(w, size) && (have > 0 || len(full) >= minRequestWorkers) || p.enough(si, need-have, len(classes[0]), fast) {
			break
		}
		if _, advised := si.advice.answers[w.ID]; advised || !suits(w) {
			continue
		}
		n := p.slotsFor(si, w, need, now)
		switch {
		case n > 0:
			class := p.estimator.slowdownClass(w.ID)
			classes[class] = append(classes[class], candidate{w.ID, n})
			if class == 0 {
				fast += n
			}
		case len(full) < minRequestWorkers && slots(w.Capacity, size, 1) > 0:
			full = append(full, w.ID)
		}
	}
	for _, c := range classes {
		unknown = append(unknown, c...)
	}
	return expired, unknown, full, have
}

// slotsIfSuits returns how many more tasks of a step instance the worker can take, 0 if it
// does not suit.
func (p *Planner) slotsIfSuits(si *stepInstance, w *Worker, limit int, suits func(*Worker) bool, now Instant) int {
	if !suits(w) {
		return 0
	}
	return p.slotsFor(si, w, limit, now)
}

// enough reports whether a request needs no further workers than the given number of them,
// which have capacity for slots tasks; see pickUnknown.
func (p *Planner) enough(si *stepInstance, need, workers, slots int) bool {
	if a := p.queue(si).Advice; a != nil && a.BaseMs >= costlyBaseMs {
		return workers >= costlyMaxWorkers
	}
	return workers >= minRequestWorkers && p.expectedShare(si.job.queue.stats)*float64(slots) >= requestMargin*float64(need)
}

// pickUnknown returns as many workers as are likely needed for need tasks. A
// costly request takes up to costlyMaxWorkers, since a second request would cost
// nearly as much as the first.
func (p *Planner) pickUnknown(si *stepInstance, need int, unknown []candidate) (ids []string) {
	costly := p.queue(si).Advice.BaseMs >= costlyBaseMs
	share := p.expectedShare(si.job.queue.stats)
	expected := 0.0
	for i, c := range unknown {
		if costly && i == costlyMaxWorkers || !costly && i >= minRequestWorkers && expected >= requestMargin*float64(need) {
			break
		}
		expected += share * float64(c.slots)
		ids = append(ids, c.id)
	}
	return ids
}

// expectedShare estimates the share of workers that advice allows for a queue.
func (p *Planner) expectedShare(queue string) float64 {
	if avg := p.allowedShares[queue]; avg != nil {
		return max(avg.mean, minAllowedShare)
	}
	return initialAllowedShare
}

// ApplyAdvice handles the reply to a request; ok is false if the request failed.
// Workers without a ticket are denied. The tickets expire ValidMs after issuedMs,
// a monotonic time.
func (p *Planner) ApplyAdvice(req AdviceRequest, tickets map[string]string, ok bool, issuedMs int64, now Instant) {
	si := p.steps[req.StepKey]
	if si == nil {
		return
	}
	si.advice.openRequests = max(si.advice.openRequests-1, 0)
	si.retryAtMs, si.failedTries = 0, 0
	si.advice.nextRequestMs = now.Ms + int64(min(requestRetryMs<<min(si.advice.failures, 8), maxRequestRetryMs))
	si.advice.failures++
	q := p.queue(si)
	if !ok || q.Advice == nil {
		return
	}
	if si.advice.answers == nil {
		si.advice.answers = map[string]adviceAnswer{}
	}
	for _, id := range req.Workers {
		worker := p.workers[id]
		if worker == nil {
			continue
		}
		t, allowed := tickets[id]
		if allowed && !si.advice.answers[id].allowed {
			si.advice.allowed = append(si.advice.allowed, id)
		}
		si.advice.answers[id] = adviceAnswer{allowed: allowed, ticket: t, untilMs: issuedMs + q.Advice.ValidMs, incarnation: worker.Incarnation}
	}
	si.advice.nextRequestMs, si.advice.failures = now.Ms, 0
	p.recordShare(si.job.queue.stats, float64(len(tickets))/float64(max(len(req.Workers), 1)))
}

// recordShare adds a sample to the allowed share of a queue.
func (p *Planner) recordShare(queue string, share float64) {
	avg := p.allowedShares[queue]
	if avg == nil {
		p.allowedShares[queue] = &allowedShare{mean: share}
		return
	}
	avg.mean += allowedShareWeight * (share - avg.mean)
}
