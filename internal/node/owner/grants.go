package owner

import (
	"context"
	"sort"
	"time"

	"lagooncourse/internal/cell/config"
	"lagooncourse/internal/cell/jobs"
)

// This file manages the group's grants, its parts of the teams' limits. A grant
// is increased from the ungranted part of the team's limit, which is granted to no
// group, when waiting work needs it. It is decreased when it is idle, earlier if
// another group requests a grant.

const (
	grantInterval        = 50 * time.Millisecond
	grantTimeout         = 3 * time.Second        // timeout of one try to append a change
	idleGrantTimeout     = 2 * time.Second        // idle time after which a grant is decreased
	contestedIdleTimeout = 200 * time.Millisecond // the same while another group requests a grant
	grantRequestTTL      = time.Second            // lifetime of a grant request that is not repeated
)

// grantState is the state of the group's grants that the configuration does not
// contain.
type grantState struct {
	seq       uint64 // of the newest grant record in this epoch
	requests  map[string]grantRequest
	idleSince map[string]time.Time // team -> time from which on its grant has exceeded its use
	// decreased holds the new sizes of the grants that are being decreased. They apply
	// before the record of the decrease is appended.
	decreased map[string]jobs.Size
}

// grantRequest is the size that a team's waiting work needs in addition to the
// team's use.
type grantRequest struct {
	size jobs.Size
	at   time.Time
}

// newGrantState returns a state without requests.
func newGrantState() grantState {
	return grantState{requests: map[string]grantRequest{}, idleSince: map[string]time.Time{}, decreased: map[string]jobs.Size{}}
}

// request records that a team needs size in addition to its use. Requests that
// follow each other within grantRequestTTL are combined into the largest.
func (gr *grantState) request(team string, size jobs.Size, now time.Time) {
	req := gr.requests[team]
	if now.Sub(req.at) > grantRequestTTL {
		req.size = jobs.Size{}
	}
	gr.requests[team] = grantRequest{size: req.size.Max(size), at: now}
}

// requesting returns the teams that have a current request for a larger grant.
func (gr *grantState) requesting(now time.Time) []string {
	var teams []string
	for team, req := range gr.requests {
		if now.Sub(req.at) <= grantRequestTTL {
			teams = append(teams, team)
		}
	}
	sort.Strings(teams)
	return teams
}

// effectiveLimit returns the total size of the team's tasks that the group may
// place now: the group's grant, or less while the grant is being decreased or the
// sum of all grants exceeds the team's limit. The caller holds the lock.
func (g *Group) effectiveLimit(team string, cell *config.State) jobs.Size {
	c := cell.EffectiveLimit(team, g.cfg.Name)
	if size, ok := g.grants.decreased[team]; ok {
		c = c.Min(size)
	}
	return c
}

// grantLoop adjusts the group's grants.
func (g *Group) grantLoop(ctx context.Context) {
	every(ctx, grantInterval, func(ctx context.Context) {
		change := g.nextGrants()
		if len(change.Items) == 0 {
			return
		}
		g.applyGrants(ctx, change)
	})
}

// applyGrants appends the change and waits until it has been applied or is void.
// It retries with the same fencing token after any error.
func (g *Group) applyGrants(ctx context.Context, change config.Grants) {
	for ctx.Err() == nil {
		rctx, cancel := context.WithTimeout(ctx, grantTimeout)
		err := g.cfg.Cell.ChangeGrants(rctx, change)
		cancel()
		if err == nil {
			break
		}
		select {
		case <-time.After(grantInterval):
		case <-ctx.Done():
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.grants.decreased)
	g.wakeLoop()
}

// nextGrants returns the grants to increase and to decrease now.
func (g *Group) nextGrants() config.Grants {
	others := g.requestedElsewhere()
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
		change.FencingToken = config.FencingToken{Epoch: g.epoch, Seq: g.grants.seq}
	}
	return change
}

// requestedElsewhere returns the teams for which another group requests a grant.
func (g *Group) requestedElsewhere() map[string]bool {
	teams := map[string]bool{}
	for _, d := range g.cfg.Remote.Groups() {
		if d.Group == g.cfg.Name {
			continue
		}
		for _, team := range d.Requesting {
			teams[team] = true
		}
	}
	return teams
}

// grantTeams returns the teams with a grant or a request for one. The caller
// holds the lock.
func (g *Group) grantTeams(cell *config.State) []string {
	set := map[string]bool{}
	for team := range g.grants.requests {
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

// nextGrant returns the change of one team's grant, if any. The caller holds the
// lock.
func (g *Group) nextGrant(team string, cell *config.State, contested bool, now time.Time) (config.Grant, bool) {
	current := cell.Grants[team][g.cfg.Name]
	used := g.state.Used[team].Plus(g.placingByTeam[team])
	if req, ok := g.grants.requests[team]; ok {
		if now.Sub(req.at) > grantRequestTTL {
			delete(g.grants.requests, team)
		} else if amount, ok := increasedGrant(current, used, req.size, g.queue.Demand()[team], cell.Ungranted(team)); ok {
			delete(g.grants.requests, team)
			return config.Grant{Team: team, Amount: amount}, true
		}
	}
	return g.decreasedGrant(team, current, used, contested, now)
}

// increasedGrant returns a larger grant that covers the next waiting item, and of
// the remaining demand as much as 1/ungrantedDivisor of the ungranted size allows. It
// returns false if the grant suffices already or the ungranted size is too small for
// the next item.
func increasedGrant(current, used, next, demand, ungranted jobs.Size) (jobs.Size, bool) {
	maximum := current.Plus(ungranted)
	need := used.Plus(next)
	if !need.FitsIn(maximum) || need.FitsIn(current) {
		return jobs.Size{}, false
	}
	extended := current.Plus(ungranted.Scaled(jobs.Size{CPU: 1, Mem: 1, Accel: 1}, jobs.Size{CPU: ungrantedDivisor, Mem: ungrantedDivisor, Accel: ungrantedDivisor}))
	return need.Max(used.Plus(demand).Min(extended)).Max(current).Min(maximum), true
}

// ungrantedDivisor bounds the part of the ungranted size that one increase takes for
// more than the next item. The rest stays available to other groups.
const ungrantedDivisor = 4

// decreasedGrant returns a grant reduced to the current use, once the excess has
// been idle for long enough. A grant that no other group requests is kept while
// the team has waiting work. The caller holds the lock.
func (g *Group) decreasedGrant(team string, current, used jobs.Size, contested bool, now time.Time) (config.Grant, bool) {
	if current.FitsIn(used) {
		delete(g.grants.idleSince, team)
		return config.Grant{}, false
	}
	since, ok := g.grants.idleSince[team]
	if !ok {
		g.grants.idleSince[team] = now
		return config.Grant{}, false
	}
	idleTimeout := idleGrantTimeout
	if contested {
		idleTimeout = contestedIdleTimeout
	}
	if now.Sub(since) < idleTimeout || !contested && !g.queue.Demand()[team].IsZero() {
		return config.Grant{}, false
	}
	delete(g.grants.idleSince, team)
	size := used.Min(current)
	g.grants.decreased[team] = size
	return config.Grant{Team: team, Amount: size}, true
}

// tasksOverLimit returns the placed tasks to stop because their team's use exceeds
// its effective limit. It selects them in the order of stopOrder. The caller holds the
// lock.
func (g *Group) tasksOverLimit() map[jobs.Ref]bool {
	cell := g.cfg.Cell.State()
	over := map[jobs.Ref]bool{}
	for team, used := range g.state.Used {
		excess := used.Minus(g.effectiveLimit(team, cell)).Max(jobs.Size{})
		if excess.IsZero() {
			continue
		}
		for _, ref := range g.stopOrder(team) {
			if excess.IsZero() {
				break
			}
			over[ref] = true
			excess = excess.Minus(g.state.Jobs[ref.Job].Spec.Size).Max(jobs.Size{})
		}
	}
	return over
}

// stopOrder returns a team's placed tasks in the order in which to stop them: the
// least urgent kind first (see jobs.Kinds), within a kind the most recently
// started task. The caller holds the lock.
func (g *Group) stopOrder(team string) []jobs.Ref {
	type candidate struct {
		ref     jobs.Ref
		rank    int
		startMs int64
	}
	var list []candidate
	g.eachPlaced(func(ref jobs.Ref, t jobs.Task) {
		if spec := g.state.Jobs[ref.Job].Spec; spec.Team == team {
			list = append(list, candidate{ref: ref, rank: spec.Kind.Rank(), startMs: t.StartMs})
		}
	})
	sort.Slice(list, func(i, j int) bool {
		if list[i].rank != list[j].rank {
			return list[i].rank > list[j].rank
		}
		if list[i].startMs != list[j].startMs {
			return list[i].startMs > list[j].startMs
		}
		return list[i].ref.String() < list[j].ref.String()
	})
	refs := make([]jobs.Ref, len(list))
	for i, c := range list {
		refs[i] = c.ref
	}
	return refs
}
