package owner

import (
	"context"
	"sort"

	"lagooncourse/internal/cell/books"
	"lagooncourse/internal/cell/config"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/queue"
	"lagooncourse/internal/node/wire"
)

// This file stops running work, with its state kept, for work that matters
// more: batch for urgent tasks that find no room, and tasks of teams above
// their share for teams below it.

// saveFor is how long the room that evicted tasks leave is kept for the urgent
// one, in milliseconds.
const saveFor = 1000

// evict makes room on one of the group's workers for an urgent plan. The
// caller holds the lock.
func (g *Group) evict(pl *plan, cell *config.State) {
	if !g.preempts() || pl.item.Kind != jobs.Urgent || len(pl.asks) != 1 || !g.azFits(pl.item, cell) {
		return
	}
	now := g.nowMs()
	victims := g.books.Evict(pl.asks[0], now, now+saveFor)
	g.stats.Evicted += int64(len(victims))
	g.stopAll(victims)
}

// preempts reports whether the policy lets running work be stopped.
func (g *Group) preempts() bool {
	p, ok := g.cfg.Policy.(queue.Preemptor)
	return ok && p.Preempts()
}

// stopAll asks for the end of attempts on the group's own workers.
func (g *Group) stopAll(list []books.Attempt) {
	for _, at := range list {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), whereTimeout)
			defer cancel()
			_ = g.Stop(ctx, wire.StopMsg{Group: g.cfg.Name, Attempt: at, Checkpoint: true})
		}()
	}
}

const (
	maxRebalance = 4    // tasks of one group that are stopped for others' shares at each look
	shareSlack   = 0.02 // of the fleet by which shares may differ before a task is stopped
	fullFleet    = 0.05 // free part of the fleet below which it counts as full
)

// overShare lists placed batch tasks of teams above their fair share, while the
// fleet is full and another team with waiting work is below its own. The
// caller holds the lock.
func (g *Group) overShare() map[jobs.Ref]bool {
	over := map[jobs.Ref]bool{}
	if !g.preempts() {
		return over
	}
	view, waiting := g.view(g.cfg.Cell.State())
	if !g.fleetFull(view.Fleet) {
		return over
	}
	shares := view.Shares(waiting)
	if !starved(&view, shares, waiting) {
		return over
	}
	for _, team := range teamsOver(&view, shares) {
		for _, ref := range g.stopOrder(team) {
			if len(over) >= maxRebalance {
				return over
			}
			if g.state.Jobs[ref.Job].Spec.Kind != jobs.Batch {
				continue
			}
			size := g.state.Jobs[ref.Job].Spec.Size
			if view.Used[team].Minus(size).Dominant(view.Fleet) < shares[team] {
				break
			}
			over[ref] = true
			view.Used[team] = view.Used[team].Minus(size)
		}
	}
	g.stats.Balanced += int64(len(over))
	return over
}

// fleetFull reports whether almost nothing is free in the fleet.
func (g *Group) fleetFull(fleet jobs.Size) bool {
	var free jobs.Size
	for _, d := range g.cfg.Remote.Duties() {
		free = free.Plus(d.Free)
	}
	return fleet.CPU > 0 && float64(free.CPU) < fullFleet*float64(fleet.CPU)
}

// starved reports whether a team with waiting work is below its share.
func starved(v *queue.View, shares map[string]float64, waiting map[string]jobs.Size) bool {
	for team := range waiting {
		if v.Used[team].Dominant(v.Fleet)+shareSlack < shares[team] {
			return true
		}
	}
	return false
}

// teamsOver lists the teams above their share, the one furthest above first.
func teamsOver(v *queue.View, shares map[string]float64) []string {
	var teams []string
	above := func(team string) float64 { return v.Used[team].Dominant(v.Fleet) - shares[team] }
	for team := range v.Used {
		if above(team) > shareSlack {
			teams = append(teams, team)
		}
	}
	sort.Slice(teams, func(i, j int) bool {
		a, b := above(teams[i]), above(teams[j])
		return a > b || a == b && teams[i] < teams[j]
	})
	return teams
}
