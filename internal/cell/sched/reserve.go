package sched

import (
	"slices"

	"lagooncourse/internal/cell/jobs"
)

// A gang needs the capacity for all its tasks at once. A wide gang would starve
// while smaller tasks take each core that becomes free. Workers are therefore
// reserved for it: those that it may run on and that have capacity, or are
// expected to have it within horizonMs. Other steps of the same or a lower
// priority cannot use a reserved worker until the gang starts. Steps of a higher
// priority can, but prefer unreserved workers.
//
// Only gangs with rankOnTime that could fit get reservations. A reservation lasts for
// reservationMs and is renewed while the gang waits, so it expires soon after the
// gang has started or lost that rank. A late gang has a reservation only while it waits for
// tickets; see hold.

// Parameters of reservations and of the advice requests for gangs.
const (
	horizonMs             = 3_000 // how far ahead free capacity is predicted; most tasks run for less
	reservationMs         = 250   // longer than longRetryDelayMs, so that a waiting gang renews its reservations in time
	maxReservedShare      = 0.5   // share of the workers that may be reserved at once
	requestLeadMs         = 100   // added to the expected response time of an advice request
	gangRequestMargin     = 1.5   // factor on the capacity needed on average; above requestMargin, since all tickets have to be valid at once
	maxGangRequestWorkers = 128   // workers in all simultaneous requests for one gang: four times costlyMaxWorkers
)

// reservation is the reservation of a worker for a gang.
type reservation struct {
	stepKey    stepKey
	priority   int
	deadlineMs int64 // of the gang
	untilMs    int64
	trial      bool // for a suspect that is to be tried alone; see crash.go
}

// reservedForOther reports whether the worker is reserved for another step
// instance of the same or a higher priority. Between two gangs of one priority, the
// one with the earlier deadline goes first: otherwise each could hold workers that
// the other needs.
func (w *Worker) reservedForOther(si *stepInstance, priority int, now Instant) bool {
	r := &w.reservation
	if now.Ms >= r.untilMs || r.trial || priority < r.priority || r.stepKey == si.key() {
		return false
	}
	return priority > r.priority || !si.spec().Gang || si.deadlineMs >= r.deadlineMs
}

// freeBy returns the free capacity that the worker is expected to have at atMs,
// a monotonic time. A run that has taken more than twice its expected run time is
// not expected to end.
func (w *Worker) freeBy(atMs int64, now Instant) jobs.Size {
	capacity := w.free()
	for _, a := range w.allocations {
		if a.endMs <= atMs && now.Ms < a.endMs+a.runMs {
			capacity = capacity.Plus(a.size)
		}
	}
	return capacity
}

// gangWorker is a worker on which members of a gang might run.
type gangWorker struct {
	w           *Worker
	members     int  // members for which it has, or is expected to have, capacity
	ticketValid bool // none is needed, or it is valid beyond the reply to a request sent now
}

// prepareGang requests the advice that a gang needs and reserves workers for it
// while it waits. It uses free capacity if that is likely to suffice, and
// otherwise the capacity expected within horizonMs.
func (p *Planner) prepareGang(si *stepInstance, need int, plan *Plan, now Instant) {
	p.retryLater(si, now)
	ix := p.indexOf(p.queue(si).Service, plan, now)
	onTime := p.rankStep(si, now).rank == rankOnTime
	share := p.expectedShare(si.job.queue.stats)
	allowed, unknown := p.freeNow(si, ix, need, now)
	chosen, missing := takeFirst(allowed, need)
	expected := share * float64(totalMembers(unknown))
	if !onTime {
		// It gets no reservation, so no later plan would ask either: the share is an
		// average of the queue, and the one of this step may be higher.
		expected = float64(totalMembers(unknown))
	}
	// Free workers suffice, or are likely to after advice about the unknown ones.
	if missing <= 0 || expected >= float64(missing) {
		p.reserve(si, chosen, onTime, plan, now)
		ids := append(withoutTicket(chosen), p.pickUnknownForGang(si, ix, unknown, share, missing)...)
		if p.requestAll(si, ids, plan, now) && !onTime && missing <= 0 {
			p.hold(si, chosen, plan, now)
		}
		return
	}
	if !onTime || !p.couldFit(si, ix, need) {
		return
	}
	allowed, unknown = p.freeLater(si, ix, need, now)
	if chosen, missing = takeFirst(allowed, need); missing > 0 {
		p.reserve(si, chosen, true, plan, now)
		p.requestAll(si, p.pickUnknownForGang(si, ix, unknown, share, missing), plan, now)
		return
	}
	p.reserve(si, chosen, true, plan, now)
	if p.slotsAtReply(si, chosen, now) >= need {
		p.requestAll(si, withoutTicket(chosen), plan, now)
	}
}

// couldFit reports whether the workers of the index on which a gang may run would have
// the capacity for it if nothing else ran on them but long-running tasks.
func (p *Planner) couldFit(si *stepInstance, ix *index, need int) bool {
	s := si.spec()
	n := 0
	for _, w := range ix.byFree {
		if s.RequiredLabel != "" && !w.hasLabel(s.RequiredLabel) || si.advice.denies(w.ID) {
			continue
		}
		limit := need - n
		if s.MaxPerWorker > 0 {
			limit = min(limit, s.MaxPerWorker)
		}
		if n += slots(w.Capacity.Minus(p.lastingSize(w)), s.demand(), limit); n >= need {
			return true
		}
	}
	return false
}

// lastingSize returns the capacity of a worker that long-running tasks hold.
func (p *Planner) lastingSize(w *Worker) (sum jobs.Size) {
	for ref, a := range w.allocations {
		if p.isLongRunning(ref) {
			sum = sum.Plus(a.size)
		}
	}
	return sum
}

// totalMembers returns the number of members for which the workers have capacity.
func totalMembers(list []gangWorker) (n int) {
	for _, c := range list {
		n += c.members
	}
	return n
}

// freeNow returns the workers that have free capacity: those that advice allows,
// and those without advice. For a gang with suspects, those that they avoid come last.
func (p *Planner) freeNow(si *stepInstance, ix *index, need int, now Instant) (allowed, unknown []gangWorker) {
	size := si.spec().demand()
	replyAtMs := p.replyAtMs(si, now)
	for _, w := range ix.byFree {
		if lacksCPU(w, size) {
			break
		}
		if advised, ok := p.mayRun(si, w, now); ok {
			c := gangWorker{w: w, members: p.slotsFor(si, w, need, now)}
			allowed, unknown = p.classify(si, c, advised, replyAtMs, allowed, unknown)
		}
	}
	if stepCrashes(si.tasks()) > 0 {
		for _, list := range [][]gangWorker{allowed, unknown} {
			slices.SortStableFunc(list, func(a, b gangWorker) int { return p.avoidance(a.w, now) - p.avoidance(b.w, now) })
		}
	}
	return allowed, unknown
}

// avoidance returns 1 for a worker that suspects avoid, otherwise 0.
func (p *Planner) avoidance(w *Worker, now Instant) int {
	if p.avoidedBySuspects(w, now) {
		return 1
	}
	return 0
}

// freeLater returns the workers that are expected to have free capacity after
// horizonMs: those that advice allows, and those without advice. Workers that are
// already reserved for the gang come first, which keeps the choice stable.
func (p *Planner) freeLater(si *stepInstance, ix *index, need int, now Instant) (allowed, unknown []gangWorker) {
	size := si.spec().demand()
	replyAtMs := p.replyAtMs(si, now)
	gangKey := si.key()
	for _, reservedFirst := range [...]bool{true, false} {
		for _, w := range ix.expectedOrder(now) {
			if w.expectedFree.CPU < size.CPU {
				break
			}
			if w.reservedFor(gangKey, now) != reservedFirst {
				continue
			}
			if advised, ok := p.mayRun(si, w, now); ok {
				c := gangWorker{w: w, members: slots(w.expectedFree, size, p.withinWorkerLimit(si, w, need))}
				allowed, unknown = p.classify(si, c, advised, replyAtMs, allowed, unknown)
			}
		}
	}
	return allowed, unknown
}

// mayRun reports in advised whether advice about a worker is known or not needed,
// and in ok whether the step could run there: the worker suits it and was not
// denied.
func (p *Planner) mayRun(si *stepInstance, w *Worker, now Instant) (advised, ok bool) {
	if !p.suits(w, si, now) {
		return false, false
	}
	if p.queue(si).Advice == nil {
		return true, true
	}
	answer, advised := si.advice.answers[w.ID]
	return advised, !advised || answer.allowed
}

// classify adds a worker with capacity to the workers that advice allows or to
// those without advice, and returns both lists.
func (p *Planner) classify(si *stepInstance, c gangWorker, advised bool, replyAtMs int64, allowed, unknown []gangWorker) (newAllowed, newUnknown []gangWorker) {
	switch {
	case c.members <= 0:
	case advised:
		answer := si.advice.answers[c.w.ID]
		c.ticketValid = p.queue(si).Advice == nil || answer.incarnation == c.w.Incarnation && answer.untilMs > replyAtMs
		allowed = append(allowed, c)
	default:
		unknown = append(unknown, c)
	}
	return allowed, unknown
}

// replyAtMs returns when the reply to the largest costly request sent now can be
// used, as a monotonic time.
func (p *Planner) replyAtMs(si *stepInstance, now Instant) int64 {
	atMs := now.Ms + requestLeadMs
	if a := p.queue(si).Advice; a != nil {
		atMs += int64(a.responseMs(costlyMaxWorkers))
	}
	return atMs
}

// slotsAtReply returns for how many members capacity is expected to be free when
// the tickets arrive.
func (p *Planner) slotsAtReply(si *stepInstance, chosen []gangWorker, now Instant) (n int) {
	atMs := p.replyAtMs(si, now)
	for _, c := range chosen {
		n += slots(c.w.freeBy(atMs, now), si.spec().demand(), c.members)
	}
	return n
}

// takeFirst returns the first workers that together have capacity for need
// members, and the number of members that are left over: 0 or less if all fit.
func takeFirst(list []gangWorker, need int) (out []gangWorker, missing int) {
	for i, c := range list {
		if need <= 0 {
			return list[:i], 0
		}
		need -= c.members
	}
	return list, need
}

// pickUnknownForGang returns as many workers without advice as are likely needed
// for the missing members. A costly request also takes workers without free capacity: whether
// a worker may run a step does not change, and another request for a few workers would cost
// nearly as much.
func (p *Planner) pickUnknownForGang(si *stepInstance, ix *index, unknown []gangWorker, share float64, missing int) (ids []string) {
	if missing <= 0 {
		return nil
	}
	costly := p.queue(si).Advice != nil && p.queue(si).Advice.BaseMs >= costlyBaseMs
	minWorkers := minRequestWorkers
	if costly {
		minWorkers = costlyMaxWorkers
	}
	expected := 0.0
	for i, c := range unknown {
		if i >= minWorkers && expected >= gangRequestMargin*float64(missing) || i == maxGangRequestWorkers {
			break
		}
		expected += share * float64(c.members)
		ids = append(ids, c.w.ID)
	}
	if costly && len(ids) > 0 {
		ids = p.fillRequest(si, ix, ids)
	}
	return ids
}

// fillRequest adds workers without advice until a request has costlyMaxWorkers.
func (p *Planner) fillRequest(si *stepInstance, ix *index, ids []string) []string {
	label := si.spec().RequiredLabel
	for _, w := range ix.byFree {
		if len(ids) >= costlyMaxWorkers {
			break
		}
		_, advised := si.advice.answers[w.ID]
		if !advised && (label == "" || w.hasLabel(label)) && !slices.Contains(ids, w.ID) {
			ids = append(ids, w.ID)
		}
	}
	return ids
}

// hold reserves the workers that a late gang has requested tickets for, until it can use the
// reply. They have the capacity for it now; without a hold, smaller tasks take that in the
// meantime, and the tickets expire unused.
func (p *Planner) hold(si *stepInstance, chosen []gangWorker, plan *Plan, now Instant) {
	p.reserveUntil(si, chosen, p.replyAtMs(si, now), plan, now)
}

// reserve reserves workers for a gang that can meet its deadline.
func (p *Planner) reserve(si *stepInstance, chosen []gangWorker, onTime bool, plan *Plan, now Instant) {
	if onTime {
		p.reserveUntil(si, chosen, now.Ms+reservationMs, plan, now)
	}
}

// reserveUntil reserves workers for a gang, as long as less than maxReservedShare of all are
// reserved.
func (p *Planner) reserveUntil(si *stepInstance, chosen []gangWorker, untilMs int64, plan *Plan, now Instant) {
	if !plan.reservedCounted {
		plan.reservedCounted = true
		for _, w := range p.workers {
			if now.Ms < w.reservation.untilMs {
				plan.reservedWorkers++
			}
		}
	}
	gangKey := si.key()
	priority := p.queue(si).Priority
	for _, c := range chosen {
		if !c.w.reservedFor(gangKey, now) {
			if float64(plan.reservedWorkers) >= maxReservedShare*float64(len(p.workers)) {
				return
			}
			plan.reservedWorkers++
		}
		c.w.reservation = reservation{stepKey: gangKey, priority: priority, deadlineMs: si.deadlineMs, untilMs: untilMs}
	}
}

// reservedFor reports whether the worker is reserved for the step instance.
func (w *Worker) reservedFor(gangKey stepKey, now Instant) bool {
	return now.Ms < w.reservation.untilMs && w.reservation.stepKey == gangKey
}

// withoutTicket returns the IDs of the workers that need a new ticket; see
// ticketValid.
func withoutTicket(list []gangWorker) (out []string) {
	for _, c := range list {
		if !c.ticketValid {
			out = append(out, c.w.ID)
		}
	}
	return out
}

// requestAll requests advice about workers. A long list is split into several
// simultaneous requests if enough hosts are free. Workers beyond the limit of a
// request are left out. It reports whether it has added a request.
func (p *Planner) requestAll(si *stepInstance, ids []string, plan *Plan, now Instant) (requested bool) {
	q := p.queue(si)
	if q.Advice == nil || len(ids) == 0 || si.advice.openRequests > 0 || now.Ms < si.advice.nextRequestMs {
		return false
	}
	ids = ids[:min(len(ids), maxGangRequestWorkers)]
	chunks := (len(ids) + costlyMaxWorkers - 1) / costlyMaxWorkers
	var hosts []string
	for len(hosts) < chunks {
		host, ok := plan.takeHost(q.Advice.responseMs((len(ids) + chunks - 1) / chunks))
		if !ok {
			break
		}
		hosts = append(hosts, host)
	}
	si.advice.noteHost(len(hosts) > 0, now)
	for i, host := range hosts {
		chunk := ids[i*len(ids)/len(hosts) : (i+1)*len(ids)/len(hosts)]
		p.addRequest(si, chunk[:min(len(chunk), maxRequestWorkers)], host, plan)
	}
	return len(hosts) > 0
}
