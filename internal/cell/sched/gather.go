package sched

import "lagooncourse/internal/cell/jobs"

// A gang needs all its room at once. Behind work that takes each core as it
// becomes free, a wide gang would wait for ever, so room is gathered for it:
// workers that it may run on, and that will have room within gatherMs, are kept
// from other work of its priority and below until it can start. Work of a
// higher priority may still use them, after all others.
//
// A worker is kept for keepMs at a time and renewed while the gang waits, so
// what is kept for a gang that has ended, or has lost its rank, becomes free by
// itself. Gangs that can no longer be in time get nothing kept.

// Bounds of gathering.
const (
	gatherMs     = 3_000 // room expected within this time is worth waiting for: most tasks run for less
	keepMs       = 250   // outlasts several rests of a part
	mostKept     = 0.5   // share of the workers that may be kept at once
	askLeadMs    = 100   // added to what a question for tickets takes
	gangMargin   = 1.5   // room asked about, against room needed by the mean; all tickets have to be valid at once
	mostExplored = 128   // workers asked about at once for one gang: four questions
)

// kept says for which gang a worker is kept.
type kept struct {
	part     partKey
	priority int
	untilMs  int64
}

// keptFrom reports whether the worker is kept for another part that goes first.
func (w *Worker) keptFrom(pt *part, priority int, now Instant) bool {
	return now.Ms < w.kept.untilMs && priority >= w.kept.priority && w.kept.part != pt.key()
}

// roomBy returns the room that the worker is expected to have at an instant. A
// run that is overdue by its own length is not expected to end.
func (w *Worker) roomBy(at int64, now Instant) jobs.Size {
	room := w.free()
	for _, b := range w.runs {
		if b.endMs <= at && now.Ms < b.endMs+b.runMs {
			room = room.Plus(b.size)
		}
	}
	return room
}

// prospect is a worker on which members of a gang might run.
type prospect struct {
	w     *Worker
	room  int  // members for which it has, or will have, room
	valid bool // its ticket outlasts a question
}

// gather asks for the advice that a gang needs, and keeps room for it while it
// waits: room that is there, if that will do; otherwise room that is expected.
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

func sum(list []prospect) (n int) {
	for _, c := range list {
		n += c.room
	}
	return n
}

// present returns the workers that have room now: those that advice allows, and
// those that nobody has asked about.
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

// expected returns the workers that will have room within gatherMs, those that
// are kept for the gang already first, so that the choice is stable.
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

// prospective reports whether advice has been asked about a worker, and whether
// tasks of the part may run there as far as is known.
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

// classify adds a prospect with room to the list to which it belongs.
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

// answerMs returns when the answer to a question asked now can be used.
func (p *Planner) answerMs(pt *part, now Instant) int64 {
	at := now.Ms + askLeadMs
	if a := p.queue(pt).Advice; a != nil {
		at += int64(a.cost(dearAskMost))
	}
	return at
}

// soon returns for how many members there will be room when tickets have come.
func (p *Planner) soon(pt *part, chosen []prospect, now Instant) (n int) {
	at := p.answerMs(pt, now)
	for _, c := range chosen {
		n += slots(c.w.roomBy(at, now), pt.spec().charge(), c.room)
	}
	return n
}

// take returns the first prospects that have room for need members between
// them, and how many members are left without.
func take(list []prospect, need int) (out []prospect, missing int) {
	for i, c := range list {
		if need <= 0 {
			return list[:i], 0
		}
		need -= c.room
	}
	return list, need
}

// explore returns as many of the workers that nobody has asked about as make
// room for the missing members likely.
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

// keep keeps workers for a gang that can still be in time.
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

// keeps reports whether the worker is kept for the part.
func (w *Worker) keeps(mine partKey, now Instant) bool {
	return now.Ms < w.kept.untilMs && w.kept.part == mine
}

// stale returns the ids of the prospects without a valid ticket.
func stale(list []prospect) (out []string) {
	for _, c := range list {
		if !c.valid {
			out = append(out, c.w.ID)
		}
	}
	return out
}

// askAll asks about workers, in several questions at once where they are many
// and desks are free.
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
