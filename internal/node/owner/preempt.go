package owner

import (
	"context"
	"sort"

	"lagooncourse/internal/cell/alloc"
	"lagooncourse/internal/cell/config"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/queue"
	"lagooncourse/internal/node/wire"
)

// This file preempts batch tasks: it stops them with a checkpoint. Eviction makes
// room for an urgent task, rebalancing for teams below their fair share.

// preemptHoldMs is how long the capacity that a preemption frees is held for the
// urgent task.
const preemptHoldMs = 1000

// preempt stops batch tasks on one of the group's workers so that an urgent item
// with a single attempt fits there. The caller holds the lock.
func (g *Group) preempt(pl *placement, cell *config.State) {
	if !g.preempts() || pl.item.Kind != jobs.Urgent || len(pl.requests) != 1 || !g.azAllows(pl.item, cell) {
		return
	}
	now := g.nowMs()
	victims := g.allocations.SelectVictims(pl.requests[0], now, now+preemptHoldMs)
	g.stats.Preempted += int64(len(victims))
	g.stopLocal(victims, true)
}

// preempts reports whether the policy allows preemption.
func (g *Group) preempts() bool {
	p, ok := g.cfg.Policy.(queue.Preemptor)
	return ok && p.Preempts()
}

// stopLocal sends stop requests for attempts on the group's own workers.
func (g *Group) stopLocal(list []alloc.Attempt, checkpoint bool) {
	for _, at := range list {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
			defer cancel()
			if err := g.Stop(ctx, wire.StopMsg{Group: g.cfg.Name, Attempt: at, Checkpoint: checkpoint}); err != nil {
				g.logFailed("stop", err, "of", g.cfg.Name, "attempt", at)
			}
		}()
	}
}

const (
	maxRebalanceStops = 4    // tasks that one round of reconcileLoop stops for rebalancing
	shareTolerance    = 0.02 // fraction of the fleet by which a team's use may deviate from its fair share
	minFreeFraction   = 0.05 // free fraction of the fleet's CPU below which it counts as almost full
)

// tasksOverShare returns placed batch tasks to stop, of teams above their fair
// share, if the fleet is almost full and another team with waiting work is below
// its fair share. It adds their number to Stats.Rebalanced, unless it stops at
// maxRebalanceStops. The caller holds the lock.
func (g *Group) tasksOverShare() map[jobs.Ref]bool {
	over := map[jobs.Ref]bool{}
	if !g.preempts() {
		return over
	}
	view, waiting := g.policyView(g.cfg.Cell.State())
	if !g.fleetAlmostFull(view.Fleet) {
		return over
	}
	shares := view.Shares(waiting)
	if !anyBelowShare(&view, shares, waiting) {
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
			if view.Used[team].Minus(size).DominantShare(view.Fleet) < shares[team] {
				break
			}
			over[ref] = true
			view.Used[team] = view.Used[team].Minus(size)
		}
	}
	g.stats.Rebalanced += int64(len(over))
	return over
}

// fleetAlmostFull reports whether almost all of the fleet's CPU capacity is in use.
func (g *Group) fleetAlmostFull(fleet jobs.Size) bool {
	var free jobs.Size
	for _, d := range g.cfg.Remote.Groups() {
		free = free.Plus(d.Free)
	}
	return fleet.CPU > 0 && float64(free.CPU) < minFreeFraction*float64(fleet.CPU)
}

// anyBelowShare reports whether any team with waiting work is below its fair share.
func anyBelowShare(v *queue.FleetView, shares map[string]float64, waiting map[string]jobs.Size) bool {
	for team := range waiting {
		if v.Used[team].DominantShare(v.Fleet)+shareTolerance < shares[team] {
			return true
		}
	}
	return false
}

// teamsOverShare returns the teams above their fair share, in descending order
// of the excess.
func teamsOverShare(v *queue.FleetView, shares map[string]float64) []string {
	var teams []string
	excess := func(team string) float64 { return v.Used[team].DominantShare(v.Fleet) - shares[team] }
	for team := range v.Used {
		if excess(team) > shareTolerance {
			teams = append(teams, team)
		}
	}
	sort.Slice(teams, func(i, j int) bool {
		a, b := excess(teams[i]), excess(teams[j])
		return a > b || a == b && teams[i] < teams[j]
	})
	return teams
}
