package sched

import (
	"fmt"
	"sort"
)

// Late explains why a step instance is still waiting. Unusable to NoTicket count
// the workers that are ruled out for each reason.
type Late struct {
	Step      string
	WaitMs    int64
	Idle      int  // waiting tasks
	Unusable  int  // unregistered, unreachable, draining, quarantined, in a closed zone, of another pool or without the label
	Unasked   int  // no advice about them
	Denied    int  // denied by advice
	NoRoom    int  // without free capacity
	NoTicket  int  // allowed, but the ticket has expired
	Slots     int  // tasks that could start now
	OverLimit bool // the team's quota does not cover all waiting tasks
	Asked     bool // an advice request has no reply yet
	Kept      int  // workers reserved for this gang
}

// Late explains up to most step instances that have been ready for longer than
// afterMs, the oldest first.
func (p *Planner) Late(afterMs int64, most int, now Instant) []Late {
	var list []*part
	for _, pt := range p.waiting {
		if now.Ms-pt.readyMs > afterMs && p.timely(pt, now) {
			list = append(list, pt)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].readyMs < list[b].readyMs })
	var out []Late
	for _, pt := range list[:min(most, len(list))] {
		out = append(out, p.explain(pt, now))
	}
	return out
}

// explain counts, for a step instance, the workers by the reason that rules them
// out.
func (p *Planner) explain(pt *part, now Instant) Late {
	_, idle := count(pt.tasks())
	e := Late{Step: pt.name(), WaitMs: now.Ms - pt.readyMs, Idle: idle, Asked: pt.advice.asked > 0}
	e.OverLimit = len(p.withinLimit(pt, make([]int, idle))) < idle
	advised := p.queue(pt).Advice != nil
	for id, w := range p.workers {
		if w.keeps(pt.key(), now) {
			e.Kept++
		}
		g, asked := pt.advice.grants[id]
		n := p.roomFor(pt, w, idle, now)
		_, ticket := p.ticket(w, pt, now)
		switch {
		case !p.usable(w, pt, now):
			e.Unusable++
		case advised && !asked:
			e.Unasked++
		case advised && !g.allowed:
			e.Denied++
		case n == 0:
			e.NoRoom++
		case !ticket:
			e.NoTicket++
		default:
			e.Slots += n
		}
	}
	return e
}

// Describe returns the progress and the allocations of a job as text for
// debugging.
func (p *Planner) Describe(id string) string {
	j := p.state.Jobs[id]
	if j == nil {
		return "no such job"
	}
	out := fmt.Sprintf("job %s verdict %d cancel %v", id, j.Progress.Verdict, j.Progress.Cancel)
	for occ := range j.occurrences() {
		for step := range j.Spec.Steps {
			for i, t := range j.stepTasks(occ, step) {
				ref := Ref{id, occ, step, i}
				out += fmt.Sprintf("\n%s state %d run %d fails %d worker %q", ref, t.State, t.Run, t.Fails, t.Worker)
				if w := p.workers[t.Worker]; w != nil && w.runs[ref] != nil {
					b := w.runs[ref]
					out += fmt.Sprintf(" allocated run %d phase %d stopping %v", b.run, b.phase, b.stopping)
				}
			}
		}
	}
	return out
}
