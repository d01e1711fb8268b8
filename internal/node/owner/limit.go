package owner

import (
	"context"
	"sort"
	"time"

	"lagooncourse/internal/cell/config"
	"lagooncourse/internal/cell/jobs"
)

// This file moves the group's parts of the teams' limits. A part is taken from
// the pool when waiting work needs it and given back when it lies idle. It is
// given back early when another group waits for it.

const (
	grantEvery   = 50 * time.Millisecond
	grantTimeout = 3 * time.Second
	idleGrant    = 2 * time.Second        // unused for so long, a part goes back
	wantedGrant  = 200 * time.Millisecond // the same while another group waits for it
	wantExpires  = time.Second            // a want that is not renewed is over
)

// grants is what the group knows about its parts of the limits.
type grants struct {
	seq   uint64
	wants map[string]want
	idle  map[string]time.Time // team -> since when its part is larger than needed
	// lowering holds the parts that are being given back. They bind before
	// the record that gives the rest away has been appended.
	lowering map[string]jobs.Size
}

// want is the room that waiting work needs under a limit.
type want struct {
	size jobs.Size
	at   time.Time
}

func newGrants() grants {
	return grants{wants: map[string]want{}, idle: map[string]time.Time{}, lowering: map[string]jobs.Size{}}
}

// want notes that a team needs room for size beyond what it uses.
func (gr *grants) want(team string, size jobs.Size, now time.Time) {
	w := gr.wants[team]
	if now.Sub(w.at) > wantExpires {
		w.size = jobs.Size{}
	}
	gr.wants[team] = want{size: w.size.Most(size), at: now}
}

// wanting lists the teams that wait for a larger part.
func (gr *grants) wanting(now time.Time) []string {
	var teams []string
	for team, w := range gr.wants {
		if now.Sub(w.at) <= wantExpires {
			teams = append(teams, team)
		}
	}
	sort.Strings(teams)
	return teams
}

// ceiling returns how much of the team's work the group may have placed now.
// The caller holds the lock.
func (g *Group) ceiling(team string, cell *config.State) jobs.Size {
	c := cell.Ceiling(team, g.cfg.Name)
	if low, ok := g.grants.lowering[team]; ok {
		c = c.Least(low)
	}
	return c
}

func (g *Group) grantLoop(ctx context.Context) {
	every(ctx, grantEvery, func(ctx context.Context) {
		change := g.nextGrants()
		if len(change.Items) == 0 {
			return
		}
		g.change(ctx, change)
	})
}

// change appends the change and waits until it has been applied or is void. It
// is repeated with the same fence as long as neither is known.
func (g *Group) change(ctx context.Context, change config.Grants) {
	for ctx.Err() == nil {
		rctx, cancel := context.WithTimeout(ctx, grantTimeout)
		err := g.cfg.Cell.Change(rctx, change)
		cancel()
		if err == nil {
			break
		}
		select {
		case <-time.After(grantEvery):
		case <-ctx.Done():
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.grants.lowering)
	g.poke()
}

// nextGrants decides which parts to raise and which to give back.
func (g *Group) nextGrants() config.Grants {
	others := g.wantedElsewhere()
	cell := g.cfg.Cell.State()
	now := g.cfg.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	change := config.Grants{Group: g.cfg.Name}
	if g.epoch == 0 || g.logDown {
		return change
	}
	for _, team := range g.grantTeams(cell) {
		if item, ok := g.nextGrant(team, cell, others[team], now); ok {
			change.Items = append(change.Items, item)
		}
	}
	if len(change.Items) > 0 {
		g.grants.seq++
		change.Fence = config.Fence{Epoch: g.epoch, Seq: g.grants.seq}
	}
	return change
}

// wantedElsewhere returns the teams for which another group waits.
func (g *Group) wantedElsewhere() map[string]bool {
	teams := map[string]bool{}
	for _, d := range g.cfg.Remote.Duties() {
		if d.Group == g.cfg.Name {
			continue
		}
		for _, team := range d.Wanting {
			teams[team] = true
		}
	}
	return teams
}

// grantTeams lists the teams that hold or want a part. The caller holds the lock.
func (g *Group) grantTeams(cell *config.State) []string {
	set := map[string]bool{}
	for team := range g.grants.wants {
		set[team] = true
	}
	for team, byGroup := range cell.Grants {
		if _, ok := byGroup[g.cfg.Name]; ok {
			set[team] = true
		}
	}
	teams := make([]string, 0, len(set))
	for team := range set {
		teams = append(teams, team)
	}
	sort.Strings(teams)
	return teams
}

// nextGrant returns the change for one team, if any. The caller holds the lock.
func (g *Group) nextGrant(team string, cell *config.State, wanted bool, now time.Time) (config.Grant, bool) {
	held := cell.Grants[team][g.cfg.Name]
	used := g.state.Used[team].Plus(g.reserved[team])
	if w, ok := g.grants.wants[team]; ok {
		if now.Sub(w.at) > wantExpires {
			delete(g.grants.wants, team)
		} else if amount, ok := raise(held, used, w.size, g.queue.Demand()[team], cell.Pool(team)); ok {
			delete(g.grants.wants, team)
			return config.Grant{Team: team, Amount: amount}, true
		}
	}
	return g.giveBack(team, held, used, wanted, now)
}

// raise returns the larger part that the next piece of waiting work needs, and
// more if the pool has it, up to all that waits. It returns false if the pool
// does not hold enough for the next piece.
func raise(held, used, next, demand, pool jobs.Size) (jobs.Size, bool) {
	most := held.Plus(pool)
	need := used.Plus(next)
	if !need.Fits(most) || need.Fits(held) {
		return jobs.Size{}, false
	}
	generous := held.Plus(pool.Scaled(jobs.Size{CPU: 1, Mem: 1, Accel: 1}, jobs.Size{CPU: poolPart, Mem: poolPart, Accel: poolPart}))
	return need.Most(used.Plus(demand).Least(generous)).Most(held).Least(most), true
}

// poolPart is the fraction of the pool, as one over poolPart, that a group may
// take beyond its next piece of work.
const poolPart = 4

// giveBack returns the smaller part that is still needed, once more than that
// has lain idle for a while. The caller holds the lock.
func (g *Group) giveBack(team string, held, used jobs.Size, wanted bool, now time.Time) (config.Grant, bool) {
	if held.Fits(used) {
		delete(g.grants.idle, team)
		return config.Grant{}, false
	}
	since, ok := g.grants.idle[team]
	if !ok {
		g.grants.idle[team] = now
		return config.Grant{}, false
	}
	wait := idleGrant
	if wanted {
		wait = wantedGrant
	}
	if now.Sub(since) < wait || !wanted && !g.queue.Demand()[team].IsZero() {
		return config.Grant{}, false
	}
	delete(g.grants.idle, team)
	low := used.Least(held)
	g.grants.lowering[team] = low
	return config.Grant{Team: team, Amount: low}, true
}

// overLimit lists the placed tasks that have to stop because their team's part
// is smaller than what runs: batch before gangs before services before urgent
// work, and the youngest first. The caller holds the lock.
func (g *Group) overLimit() map[jobs.Ref]bool {
	cell := g.cfg.Cell.State()
	over := map[jobs.Ref]bool{}
	for team, used := range g.state.Used {
		excess := used.Minus(g.ceiling(team, cell)).Most(jobs.Size{})
		if excess.IsZero() {
			continue
		}
		for _, ref := range g.stopOrder(team) {
			if excess.IsZero() {
				break
			}
			over[ref] = true
			excess = excess.Minus(g.state.Jobs[ref.Job].Spec.Size).Most(jobs.Size{})
		}
	}
	return over
}

// stopOrder lists a team's placed tasks, the first to stop first. The caller
// holds the lock.
func (g *Group) stopOrder(team string) []jobs.Ref {
	type placed struct {
		ref  jobs.Ref
		rank int
		at   int64
	}
	var list []placed
	g.eachPlaced(func(ref jobs.Ref, t jobs.Task) {
		if spec := g.state.Jobs[ref.Job].Spec; spec.Team == team {
			list = append(list, placed{ref: ref, rank: spec.Kind.Rank(), at: t.StartMs})
		}
	})
	sort.Slice(list, func(i, j int) bool {
		if list[i].rank != list[j].rank {
			return list[i].rank > list[j].rank
		}
		if list[i].at != list[j].at {
			return list[i].at > list[j].at
		}
		return list[i].ref.String() < list[j].ref.String()
	})
	refs := make([]jobs.Ref, len(list))
	for i, p := range list {
		refs[i] = p.ref
	}
	return refs
}
