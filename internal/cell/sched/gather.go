package sched

import "lagooncourse/internal/cell/jobs"

// A gang needs the capacity for all its tasks at once. A wide gang would starve
// while smaller tasks take each core that becomes free. Workers are therefore
// reserved for it: those that it may run on and that have capacity, or are
// expected to have it within horizonMs. Other steps of the same or a lower
// priority cannot use a reserved worker until the gang starts. Steps of a higher
// priority can, but prefer unreserved workers.
//
// A reservation lasts for reservationMs and is renewed while the gang waits, so
// it expires when the gang ends or its rank drops. Only gangs that can meet
// their deadline get reservations.

// Limits of reservations.
const (
	horizonMs          = 3_000 // how far ahead free capacity is expected; most tasks run for less
	reservationMs      = 250   // outlasts several retry delays of a gang
	maxReservedShare   = 0.5   // share of the workers that may be reserved at once
	requestLeadMs      = 100   // added to the response time of an advice request
	gangRequestMargin  = 1.5   // factor on the capacity needed on average, since all tickets have to be valid at once
	maxExploredWorkers = 128   // workers in simultaneous requests for one gang: four requests
)

// reserved is the reservation of a worker for a gang.
type reserved struct {
	stepInstance stepKey
	priority     int
	untilMs      int64
}

// reservedFrom reports whether the worker is reserved for another step instance
// of the same or a higher priority.
func (w *Worker) reservedFrom(si *stepInstance, priority int, now Instant) bool {
	return now.Ms < w.reserved.untilMs && priority >= w.reserved.priority && w.reserved.stepInstance != si.key()
}

// freeBy returns the free capacity that the worker is expected to have at a
// given time. A run that has taken more than twice its expected run time is not
// expected to end.
func (w *Worker) freeBy(at int64, now Instant) jobs.Size {
	capacity := w.free()
	for _, a := range w.runs {
		if a.endMs <= at && now.Ms < a.endMs+a.runMs {
			capacity = capacity.Plus(a.size)
		}
	}
	return capacity
}

// gangWorker is a worker on which members of a gang might run.
type gangWorker struct {
	w           *Worker
	members     int  // members for which it has, or will have, capacity
	ticketValid bool // its ticket outlasts an advice request
}

// prepareGang requests the advice that a gang needs and reserves workers for it
// while it waits. It uses free capacity if that suffices, and otherwise the
// capacity expected within horizonMs.
func (p *Planner) prepareGang(si *stepInstance, need int, plan *Plan, now Instant) {
	p.retryLater(si, now)
	ix := p.indexOf(p.queue(si).Service, plan, now)
	onTime := p.rankedStep(si, now).rank == rankOnTime
	share := p.expectedShare(si.job.Spec.Queue)
	allowed, unknown := p.freeNow(si, ix, need, now)
	chosen, missing := takeFirst(allowed, need)
	if missing <= 0 || share*float64(totalSlots(unknown)) >= float64(missing) {
		p.reserve(si, chosen, onTime, plan, now)
		p.requestAll(si, append(withoutTicket(chosen), p.explore(si, unknown, share, missing)...), plan, now)
		return
	}
	if !onTime {
		return
	}
	allowed, unknown = p.freeLater(si, ix, need, now)
	if chosen, missing = takeFirst(allowed, need); missing > 0 {
		p.requestAll(si, p.explore(si, unknown, share, missing), plan, now)
		return
	}
	p.reserve(si, chosen, true, plan, now)
	if p.slotsAtReply(si, chosen, now) >= need {
		p.requestAll(si, withoutTicket(chosen), plan, now)
	}
}

// totalSlots returns the number of members for which the workers have capacity.
func totalSlots(list []gangWorker) (n int) {
	for _, c := range list {
		n += c.members
	}
	return n
}

// freeNow returns the workers that have free capacity: those that advice allows,
// and those without advice.
func (p *Planner) freeNow(si *stepInstance, ix *index, need int, now Instant) (allowed, unknown []gangWorker) {
	size := si.spec().demand()
	replyMs := p.replyMs(si, now)
	for _, w := range ix.byFree {
		if lacksCPU(w, size) {
			break
		}
		if requested, ok := p.mayRun(si, w, now); ok {
			c := gangWorker{w: w, members: p.slotsFor(si, w, need, now)}
			allowed, unknown = p.classify(si, c, requested, replyMs, allowed, unknown)
		}
	}
	return allowed, unknown
}

// freeLater returns the workers that will have free capacity within horizonMs.
// Workers that are already reserved for the gang come first, which keeps the
// choice stable.
func (p *Planner) freeLater(si *stepInstance, ix *index, need int, now Instant) (allowed, unknown []gangWorker) {
	size := si.spec().demand()
	replyMs := p.replyMs(si, now)
	gangKey := si.key()
	for _, reservedFirst := range [...]bool{true, false} {
		for _, w := range ix.expectedOrder(now) {
			if w.expectedFree.CPU < size.CPU {
				break
			}
			if w.reservedFor(gangKey, now) != reservedFirst {
				continue
			}
			if requested, ok := p.mayRun(si, w, now); ok {
				c := gangWorker{w: w, members: slots(w.expectedFree, size, p.withinApart(si, w, need))}
				allowed, unknown = p.classify(si, c, requested, replyMs, allowed, unknown)
			}
		}
	}
	return allowed, unknown
}

// mayRun reports whether there is advice about a worker, and whether the step
// could run there: the worker suits it and was not denied.
func (p *Planner) mayRun(si *stepInstance, w *Worker, now Instant) (requested, ok bool) {
	if !p.suits(w, si, now) {
		return false, false
	}
	if p.queue(si).Advice == nil {
		return true, true
	}
	g, requested := si.advice.grants[w.ID]
	return requested, !requested || g.allowed
}

// classify adds a worker with capacity to the workers that advice allows or to
// those without advice.
func (p *Planner) classify(si *stepInstance, c gangWorker, requested bool, replyMs int64, allowed, unknown []gangWorker) (a, u []gangWorker) {
	switch {
	case c.members <= 0:
	case requested:
		g := si.advice.grants[c.w.ID]
		c.ticketValid = p.queue(si).Advice == nil || g.incarnation == c.w.Born && g.untilMs > replyMs
		allowed = append(allowed, c)
	default:
		unknown = append(unknown, c)
	}
	return allowed, unknown
}

// replyMs returns when the reply to a request sent now can be used.
func (p *Planner) replyMs(si *stepInstance, now Instant) int64 {
	at := now.Ms + requestLeadMs
	if a := p.queue(si).Advice; a != nil {
		at += int64(a.cost(costlyMaxWorkers))
	}
	return at
}

// slotsAtReply returns for how many members there will be capacity when the
// tickets arrive.
func (p *Planner) slotsAtReply(si *stepInstance, chosen []gangWorker, now Instant) (n int) {
	at := p.replyMs(si, now)
	for _, c := range chosen {
		n += slots(c.w.freeBy(at, now), si.spec().demand(), c.members)
	}
	return n
}

// takeFirst returns the first workers that together have capacity for need
// members, and the number of members that are left over.
func takeFirst(list []gangWorker, need int) (out []gangWorker, missing int) {
	for i, c := range list {
		if need <= 0 {
			return list[:i], 0
		}
		need -= c.members
	}
	return list, need
}

// explore returns as many workers without advice as are likely needed for the
// missing members.
func (p *Planner) explore(si *stepInstance, unknown []gangWorker, share float64, missing int) (ids []string) {
	if missing <= 0 {
		return nil
	}
	minWorkers := minRequestWorkers
	if a := p.queue(si).Advice; a != nil && a.BaseMs >= costlyBaseMs {
		minWorkers = costlyMaxWorkers
	}
	expected := 0.0
	for i, c := range unknown {
		if i >= minWorkers && expected >= gangRequestMargin*float64(missing) || i == maxExploredWorkers {
			break
		}
		expected += share * float64(c.members)
		ids = append(ids, c.w.ID)
	}
	return ids
}

// reserve reserves workers for a gang that can meet its deadline.
func (p *Planner) reserve(si *stepInstance, chosen []gangWorker, onTime bool, plan *Plan, now Instant) {
	if !onTime {
		return
	}
	if !plan.reservedCounted {
		plan.reservedCounted = true
		for _, w := range p.workers {
			if now.Ms < w.reserved.untilMs {
				plan.reserved++
			}
		}
	}
	gangKey := si.key()
	priority := p.queue(si).Priority
	for _, c := range chosen {
		if !c.w.reservedFor(gangKey, now) {
			if float64(plan.reserved) >= maxReservedShare*float64(len(p.workers)) {
				return
			}
			plan.reserved++
		}
		c.w.reserved = reserved{stepInstance: gangKey, priority: priority, untilMs: now.Ms + reservationMs}
	}
}

// reservedFor reports whether the worker is reserved for the step instance.
func (w *Worker) reservedFor(gangKey stepKey, now Instant) bool {
	return now.Ms < w.reserved.untilMs && w.reserved.stepInstance == gangKey
}

// withoutTicket returns the IDs of the workers whose ticket does not outlast a
// request.
func withoutTicket(list []gangWorker) (out []string) {
	for _, c := range list {
		if !c.ticketValid {
			out = append(out, c.w.ID)
		}
	}
	return out
}

// requestAll requests advice about workers. Many workers are split into several
// simultaneous requests if enough hosts are free.
func (p *Planner) requestAll(si *stepInstance, ids []string, plan *Plan, now Instant) {
	q := p.queue(si)
	if q.Advice == nil || len(ids) == 0 || si.advice.requested > 0 || now.Ms < si.advice.nextRequestMs {
		return
	}
	ids = ids[:min(len(ids), maxExploredWorkers)]
	chunks := (len(ids) + costlyMaxWorkers - 1) / costlyMaxWorkers
	var hosts []string
	for len(hosts) < chunks {
		host, ok := plan.takeHost(q.Advice.cost((len(ids) + chunks - 1) / chunks))
		if !ok {
			break
		}
		hosts = append(hosts, host)
	}
	for i, host := range hosts {
		chunk := ids[i*len(ids)/len(hosts) : (i+1)*len(ids)/len(hosts)]
		p.addRequest(si, chunk[:min(len(chunk), maxRequestWorkers)], host, plan)
	}
}
