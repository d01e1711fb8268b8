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
	gatherMs     = 3_000 // how far ahead free capacity is expected; most tasks run for less
	keepMs       = 250   // outlasts several backoffs of a step instance
	mostKept     = 0.5   // share of the workers that may be reserved at once
	askLeadMs    = 100   // added to the response time of an advice request
	gangMargin   = 1.5   // factor on the capacity needed on average, since all tickets have to be valid at once
	mostExplored = 128   // workers in simultaneous requests for one gang: four requests
)

// reservation is the gang for which a worker is reserved.
type kept struct {
	part     partKey
	priority int
	untilMs  int64
}

// reservedFrom reports whether the worker is reserved for another step instance
// of the same or a higher priority.
func (w *Worker) keptFrom(pt *part, priority int, now Instant) bool {
	return now.Ms < w.kept.untilMs && priority >= w.kept.priority && w.kept.part != pt.key()
}

// freeBy returns the free capacity that the worker is expected to have at a
// given time. A run that has taken more than twice its expected run time is not
// expected to end.
func (w *Worker) roomBy(at int64, now Instant) jobs.Size {
	room := w.free()
	for _, b := range w.runs {
		if b.endMs <= at && now.Ms < b.endMs+b.runMs {
			room = room.Plus(b.size)
		}
	}
	return room
}

// gangWorker is a worker on which members of a gang might run.
type prospect struct {
	w     *Worker
	room  int  // members for which it has, or will have, capacity
	valid bool // its ticket outlasts an advice request
}

// prepareGang requests the advice that a gang needs and reserves workers for it
// while it waits. It uses free capacity if that suffices, and otherwise the
// capacity expected within horizonMs.
func (p *Planner) gather(pt *part, need int, plan *Plan, now Instant) {
	p.rest(pt, now)
	ix := p.indexOf(p.queue(pt).Service, plan, now)
	inTime := p.standing(pt, now).rank == rankInTime
	share := p.allowedShare(pt.job.Spec.Queue)
	known, unknown := p.present(pt, ix, need, now)
	chosen, missing := take(known, need)
	if missing <= 0 || share*float64(sum(unknown)) >= float64(missing) {
		p.keep(pt, chosen, inTime, plan, now)
		p.askAll(pt, append(stale(chosen), p.explore(pt, unknown, share, missing)...), plan, now)
		return
	}
	if !inTime {
		return
	}
	known, unknown = p.expected(pt, ix, need, now)
	if chosen, missing = take(known, need); missing > 0 {
		p.askAll(pt, p.explore(pt, unknown, share, missing), plan, now)
		return
	}
	p.keep(pt, chosen, true, plan, now)
	if p.soon(pt, chosen, now) >= need {
		p.askAll(pt, stale(chosen), plan, now)
	}
}

// totalSlots returns the number of members for which the workers have capacity.
func sum(list []prospect) (n int) {
	for _, c := range list {
		n += c.room
	}
	return n
}

// freeNow returns the workers that have free capacity: those that advice allows,
// and those without advice.
func (p *Planner) present(pt *part, ix *index, need int, now Instant) (known, unknown []prospect) {
	size := pt.spec().charge()
	answerMs := p.answerMs(pt, now)
	for _, w := range ix.byFree {
		if tooSmall(w, size) {
			break
		}
		if asked, ok := p.prospective(pt, w, now); ok {
			c := prospect{w: w, room: p.roomFor(pt, w, need, now)}
			known, unknown = p.classify(pt, c, asked, answerMs, known, unknown)
		}
	}
	return known, unknown
}

// freeLater returns the workers that will have free capacity within horizonMs.
// Workers that are already reserved for the gang come first, which keeps the
// choice stable.
func (p *Planner) expected(pt *part, ix *index, need int, now Instant) (known, unknown []prospect) {
	size := pt.spec().charge()
	answerMs := p.answerMs(pt, now)
	mine := pt.key()
	for _, mineFirst := range [...]bool{true, false} {
		for _, w := range ix.later(now) {
			if w.laterRoom.CPU < size.CPU {
				break
			}
			if w.keeps(mine, now) != mineFirst {
				continue
			}
			if asked, ok := p.prospective(pt, w, now); ok {
				c := prospect{w: w, room: slots(w.laterRoom, size, p.apart(pt, w, need))}
				known, unknown = p.classify(pt, c, asked, answerMs, known, unknown)
			}
		}
	}
	return known, unknown
}

// mayRun reports whether there is advice about a worker, and whether the step
// could run there: the worker suits it and was not denied.
func (p *Planner) prospective(pt *part, w *Worker, now Instant) (asked, ok bool) {
	if !p.suits(w, pt, now) {
		return false, false
	}
	if p.queue(pt).Advice == nil {
		return true, true
	}
	g, asked := pt.advice.grants[w.ID]
	return asked, !asked || g.allowed
}

// classify adds a worker with capacity to the workers that advice allows or to
// those without advice.
func (p *Planner) classify(pt *part, c prospect, asked bool, answerMs int64, known, unknown []prospect) (k, u []prospect) {
	switch {
	case c.room <= 0:
	case asked:
		g := pt.advice.grants[c.w.ID]
		c.valid = p.queue(pt).Advice == nil || g.born == c.w.Born && g.untilMs > answerMs
		known = append(known, c)
	default:
		unknown = append(unknown, c)
	}
	return known, unknown
}

// replyMs returns when the reply to a request sent now can be used.
func (p *Planner) answerMs(pt *part, now Instant) int64 {
	at := now.Ms + askLeadMs
	if a := p.queue(pt).Advice; a != nil {
		at += int64(a.cost(dearAskMost))
	}
	return at
}

// slotsAtReply returns for how many members there will be capacity when the
// tickets arrive.
func (p *Planner) soon(pt *part, chosen []prospect, now Instant) (n int) {
	at := p.answerMs(pt, now)
	for _, c := range chosen {
		n += slots(c.w.roomBy(at, now), pt.spec().charge(), c.room)
	}
	return n
}

// takeFirst returns the first workers that together have capacity for need
// members, and the number of members that are left over.
func take(list []prospect, need int) (out []prospect, missing int) {
	for i, c := range list {
		if need <= 0 {
			return list[:i], 0
		}
		need -= c.room
	}
	return list, need
}

// explore returns as many workers without advice as are likely needed for the
// missing members.
func (p *Planner) explore(pt *part, unknown []prospect, share float64, missing int) (ids []string) {
	if missing <= 0 {
		return nil
	}
	least := leastAsk
	if a := p.queue(pt).Advice; a != nil && a.BaseMs >= dearAskMs {
		least = dearAskMost
	}
	expected := 0.0
	for i, c := range unknown {
		if i >= least && expected >= gangMargin*float64(missing) || i == mostExplored {
			break
		}
		expected += share * float64(c.room)
		ids = append(ids, c.w.ID)
	}
	return ids
}

// reserve reserves workers for a gang that can meet its deadline.
func (p *Planner) keep(pt *part, chosen []prospect, inTime bool, plan *Plan, now Instant) {
	if !inTime {
		return
	}
	if !plan.counted {
		plan.counted = true
		for _, w := range p.workers {
			if now.Ms < w.kept.untilMs {
				plan.kept++
			}
		}
	}
	mine := pt.key()
	priority := p.queue(pt).Priority
	for _, c := range chosen {
		if !c.w.keeps(mine, now) {
			if float64(plan.kept) >= mostKept*float64(len(p.workers)) {
				return
			}
			plan.kept++
		}
		c.w.kept = kept{part: mine, priority: priority, untilMs: now.Ms + keepMs}
	}
}

// reservedFor reports whether the worker is reserved for the step instance.
func (w *Worker) keeps(mine partKey, now Instant) bool {
	return now.Ms < w.kept.untilMs && w.kept.part == mine
}

// withoutTicket returns the IDs of the workers whose ticket does not outlast a
// request.
func stale(list []prospect) (out []string) {
	for _, c := range list {
		if !c.valid {
			out = append(out, c.w.ID)
		}
	}
	return out
}

// requestAll requests advice about workers. Many workers are split into several
// simultaneous requests if enough hosts are free.
func (p *Planner) askAll(pt *part, ids []string, plan *Plan, now Instant) {
	q := p.queue(pt)
	if q.Advice == nil || len(ids) == 0 || pt.advice.asked > 0 || now.Ms < pt.advice.askMs {
		return
	}
	ids = ids[:min(len(ids), mostExplored)]
	chunks := (len(ids) + dearAskMost - 1) / dearAskMost
	var desks []string
	for len(desks) < chunks {
		desk, ok := plan.take(q.Advice.cost((len(ids) + chunks - 1) / chunks))
		if !ok {
			break
		}
		desks = append(desks, desk)
	}
	for i, desk := range desks {
		chunk := ids[i*len(ids)/len(desks) : (i+1)*len(ids)/len(desks)]
		p.question(pt, chunk[:min(len(chunk), mostAsk)], desk, plan)
	}
}
