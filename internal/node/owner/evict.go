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

// This file preempts running batch tasks, with a checkpoint: for urgent tasks
// that do not fit, and for teams below their fair share.

// evictHoldMs is how long the capacity that an eviction frees is held for the
// urgent task.
const evictHoldMs = 1000

// evict stops batch tasks on one of the group's workers so that an urgent plan
// with a single attempt fits there. The caller holds the lock.
func (g *Group) evict(pl *plan, cell *config.State) {
	if !g.preempts() || pl.item.Kind != jobs.Urgent || len(pl.asks) != 1 || !g.azAllows(pl.item, cell) {
		return
	}
	now := g.nowMs()
	victims := g.books.Evict(pl.asks[0], now, now+evictHoldMs)
	g.stats.Evicted += int64(len(victims))
	g.stopAll(victims)
}

// preempts reports whether the policy allows preemption.
func (g *Group) preempts() bool {
	p, ok := g.cfg.Policy.(queue.Preemptor)
	return ok && p.Preempts()
}

// stopAll sends stop requests for attempts on the group's own workers.
func (g *Group) stopAll(list []books.Attempt) {
	for _, at := range list {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
			defer cancel()
			_ = g.Stop(ctx, wire.StopMsg{Group: g.cfg.Name, Attempt: at, Checkpoint: true})
		}()
	}
}

const (
	maxRebalanceStops = 4    // tasks of one group that one round stops for fairness
	shareTolerance    = 0.02 // fraction of the fleet by which a team's use may deviate from its fair share
	minFreeFraction   = 0.05 // free fraction of the fleet below which it counts as full
)

// overShare returns placed batch tasks of teams above their fair share, if the
// fleet is full and another team with waiting work is below its fair share. The
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
	if !anyStarved(&view, shares, waiting) {
		return over
	}
	for _, team := range teamsOverShare(&view, shares) {
		for _, ref := range g.stopOrder(team) {
			if len(over) >= maxRebalanceStops {
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
	g.stats.Rebalanced += int64(len(over))
	return over
}

// fleetFull reports whether almost all of the fleet's CPU capacity is in use.
func (g *Group) fleetFull(fleet jobs.Size) bool {
	var free jobs.Size
	for _, d := range g.cfg.Remote.Duties() {
		free = free.Plus(d.Free)
	}
	return fleet.CPU > 0 && float64(free.CPU) < minFreeFraction*float64(fleet.CPU)
}

// anyStarved reports whether any team with waiting work is below its fair share.
func anyStarved(v *queue.View, shares map[string]float64, waiting map[string]jobs.Size) bool {
	for team := range waiting {
		if v.Used[team].Dominant(v.Fleet)+shareTolerance < shares[team] {
			return true
		}
	}
	return false
}

// teamsOverShare returns the teams above their fair share, in descending order
// of the excess.
func teamsOverShare(v *queue.View, shares map[string]float64) []string {
	var teams []string
	above := func(team string) float64 { return v.Used[team].Dominant(v.Fleet) - shares[team] }
	for team := range v.Used {
		if above(team) > shareTolerance {
			teams = append(teams, team)
		}
	}
	sort.Slice(teams, func(i, j int) bool {
		a, b := above(teams[i]), above(teams[j])
		return a > b || a == b && teams[i] < teams[j]
	})
	return teams
}
