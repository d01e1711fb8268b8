package owner

import (
	"context"
	"fmt"
	"sort"
	"time"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/alloc"
	"lagooncourse/internal/cell/config"
	"lagooncourse/internal/cell/group"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/queue"
	"lagooncourse/internal/node/wire"
)

// This file places the waiting items of the queue: it reserves capacity, records
// the start intents, and starts the attempts once the intents are durable.

const (
	maxPassItems              = 256 // items tried in one pass over the queue
	maxPassRemote             = 32  // items of one pass that are tried at other groups
	placementRetryDelay       = 100 * time.Millisecond
	urgentPlacementRetryDelay = 10 * time.Millisecond
	maxReasons                = 8 // per job
)

// placement is the placing of one queue item, in progress.
type placement struct {
	epoch    uint64 // epoch in which the placement began
	item     queue.Item
	tasks    []jobs.Ref
	requests []alloc.ReserveRequest
	chosen   []jobs.Placement // group and worker of each attempt
}

// schedule places waiting items in one pass over the queue. It does nothing while
// the log does not respond or the configuration may be out of date.
func (g *Group) schedule(ctx context.Context) {
	g.mu.Lock()
	if g.epoch == 0 || g.logDown {
		g.mu.Unlock()
		return
	}
	if err := g.cfg.Cell.CheckFresh(); err != nil {
		g.mu.Unlock()
		return
	}
	g.requeueDue()
	g.allocations.ExpireReservations(g.nowMs())
	remote := g.placeItems()
	g.mu.Unlock()
	for _, p := range remote {
		go g.placeRemote(ctx, p)
	}
}

// requeueDue moves the items whose delay has ended back to the queue. The caller
// holds the lock.
func (g *Group) requeueDue() {
	now := g.cfg.Clock.Now()
	for ref, at := range g.retryAt {
		if now.Before(at) {
			continue
		}
		it := g.delayed[ref]
		delete(g.delayed, ref)
		delete(g.retryAt, ref)
		if g.stillWaiting(it) {
			g.queue.Add(it)
		}
	}
}

// requeueAfter returns an item to the queue after a delay. The caller holds the
// lock.
func (g *Group) requeueAfter(it queue.Item, d time.Duration) {
	g.delayed[it.Ref] = it
	g.retryAt[it.Ref] = g.cfg.Clock.Now().Add(d)
}

// stillWaiting reports whether the item's task is waiting, or whether its gang can
// start. The caller holds the lock.
func (g *Group) stillWaiting(it queue.Item) bool {
	j := g.state.Jobs[it.Ref.Job]
	if j == nil {
		return false
	}
	if it.Kind == jobs.Gang {
		return gangCanStart(j)
	}
	return j.Tasks[it.Ref.Index].State == jobs.Waiting
}

// gangCanStart reports whether a gang can start: at least one of its tasks is
// waiting, and all others have ended.
func gangCanStart(j *jobs.Job) bool {
	waiting := 0
	for _, t := range j.Tasks {
		switch {
		case t.State == jobs.Waiting:
			waiting++
		case !t.State.Final():
			return false
		}
	}
	return waiting > 0
}

// placeItems places the items that fit on the group's own workers and returns
// placements for those to be tried at other groups. The caller holds the lock.
func (g *Group) placeItems() []*placement {
	cell := g.cfg.Cell.State()
	view, _ := g.policyView(cell)
	p := g.queue.Pass(view)
	var remote []*placement
	for range maxPassItems {
		it, ok := p.Next()
		if !ok {
			break
		}
		if reason := g.blockReason(it, cell); reason != "" {
			g.explain(it.Ref.Job, reason)
			p.Blocked(it)
			continue
		}
		pl := g.newPlacement(it)
		switch {
		case g.azAllows(it, cell) && g.reserveLocal(pl):
			p.Placed(it)
			g.beginPlacing(pl)
			g.proposeStarts(pl)
		case len(remote) < maxPassRemote && it.Az != g.cfg.Az:
			p.Placed(it)
			g.beginPlacing(pl)
			remote = append(remote, pl)
			p.Blocked(it) // other items of this shape do not fit here either
		default:
			g.explain(it.Ref.Job, "no worker of the group has enough free capacity for "+it.Size.String())
			g.preempt(pl, cell)
			p.Blocked(it)
		}
	}
	return remote
}

// azAllows reports whether the item may run in the group's availability zone.
func (g *Group) azAllows(it queue.Item, cell *config.State) bool {
	return !cell.AzOutOfService(g.cfg.Az) && (it.Az == "" || it.Az == g.cfg.Az)
}

// policyView returns the input of the queue policy, and the size of each team's
// waiting work in the whole fleet. The caller holds the lock.
func (g *Group) policyView(cell *config.State) (v queue.FleetView, waiting map[string]jobs.Size) {
	v = queue.FleetView{NowMs: g.nowMs(), Used: map[string]jobs.Size{}, Weights: map[string]int64{}}
	waiting = map[string]jobs.Size{}
	for team, size := range g.queue.Demand() {
		waiting[team] = size
	}
	for _, d := range g.cfg.Remote.Groups() {
		if !cell.AzOutOfService(d.Az) {
			v.Fleet = v.Fleet.Plus(d.Capacity)
		}
		if d.Group == g.cfg.Name {
			continue
		}
		for team, used := range d.Used {
			v.Used[team] = v.Used[team].Plus(used)
		}
		for team, size := range d.Queued {
			waiting[team] = waiting[team].Plus(size)
		}
	}
	for team, used := range g.state.Used {
		v.Used[team] = v.Used[team].Plus(used)
	}
	for team, p := range cell.Plans {
		v.Weights[team] = p.Share
	}
	return v, waiting
}

// blockReason returns why the item cannot start under the team's limit, or "" if
// it can. It requests a larger grant if one would allow the start. The caller
// holds the lock.
func (g *Group) blockReason(it queue.Item, cell *config.State) string {
	if !it.Total().FitsIn(cell.Limit(it.Team)) {
		return fmt.Sprintf("needs %s, more than the limit of team %q", it.Total(), it.Team)
	}
	used := g.state.Used[it.Team].Plus(g.placingByTeam[it.Team])
	if !used.Plus(it.Total()).FitsIn(g.effectiveLimit(it.Team, cell)) {
		g.grants.request(it.Team, it.Total(), g.cfg.Clock.Now())
		return fmt.Sprintf("waits for a larger grant under the limit of team %q", it.Team)
	}
	return ""
}

// newPlacement returns a placement with the next attempts of an item's waiting
// tasks. The caller holds the lock.
func (g *Group) newPlacement(it queue.Item) *placement {
	j := g.state.Jobs[it.Ref.Job]
	pl := &placement{epoch: g.epoch, item: it}
	until := g.nowMs() + g.cfg.Timing.Reserve.Milliseconds()
	for i := it.Ref.Index; i < len(j.Tasks) && len(pl.tasks) < it.Count; i++ {
		if j.Tasks[i].State != jobs.Waiting {
			continue
		}
		ref := jobs.Ref{Job: it.Ref.Job, Index: i}
		at := alloc.Attempt{Task: ref.String(), Number: j.Tasks[i].Attempt + 1}
		pl.tasks = append(pl.tasks, ref)
		pl.requests = append(pl.requests, alloc.ReserveRequest{Attempt: at, Home: g.cfg.Name, Kind: it.Kind, Size: it.Size, UntilMs: until, Idempotent: j.Spec.Idempotent})
	}
	return pl
}

// reserveLocal reserves capacity for all attempts of a placement on the group's
// own workers, or for none. The caller holds the lock.
func (g *Group) reserveLocal(pl *placement) bool {
	slots, ok := reserveAll(g.allocations, pl.requests, g.nowMs())
	if !ok {
		return false
	}
	pl.chosen = toPlacements(g.cfg.Name, slots)
	return true
}

// toPlacements returns the placements of the slots reserved in a group.
func toPlacements(group string, slots []alloc.Slot) []jobs.Placement {
	list := make([]jobs.Placement, len(slots))
	for i, s := range slots {
		list[i] = jobs.Placement{Group: group, Worker: s.Worker, Boot: s.Boot}
	}
	return list
}

// reserveAll reserves capacity for all requests, or for none.
func reserveAll(a *alloc.Allocations, requests []alloc.ReserveRequest, nowMs int64) ([]alloc.Slot, bool) {
	slots := make([]alloc.Slot, 0, len(requests))
	for i, req := range requests {
		s, ok := a.Reserve(req, nowMs)
		if !ok {
			for _, reserved := range requests[:i] {
				a.Cancel(reserved.Attempt)
			}
			return nil, false
		}
		slots = append(slots, s)
	}
	return slots, true
}

// beginPlacing counts the item as used by its team until it is placed or its
// placement is cancelled. The caller holds the lock.
func (g *Group) beginPlacing(pl *placement) {
	it := pl.item
	g.placing[it.Ref] = it.Total()
	g.placingByTeam[it.Team] = g.placingByTeam[it.Team].Plus(it.Total())
}

// endPlacing undoes beginPlacing. The caller holds the lock.
func (g *Group) endPlacing(pl *placement) {
	it := pl.item
	size, ok := g.placing[it.Ref]
	if !ok {
		return
	}
	delete(g.placing, it.Ref)
	remaining := g.placingByTeam[it.Team].Minus(size)
	if remaining.IsZero() {
		delete(g.placingByTeam, it.Team)
		return
	}
	g.placingByTeam[it.Team] = remaining
}

// proposeStarts proposes the start intents of a fully reserved placement. The
// attempts start once the intents are durable. The caller holds the lock.
func (g *Group) proposeStarts(pl *placement) {
	records := make([]group.Record, len(pl.tasks))
	for i, ref := range pl.tasks {
		records[i] = group.Record{Start: &group.Start{
			Ref: ref, Attempt: pl.requests[i].Attempt.Number, Placement: pl.chosen[i], AtMs: g.nowMs(),
		}}
	}
	err := g.propose(proposal{records: records, done: func(err error) { g.startsCommitted(pl, err) }})
	if err != nil {
		g.cancelPlacement(pl, err.Error())
	}
}

// cancelPlacement cancels a placement whose start intents are not recorded, and
// retries the item later. The caller holds the lock.
func (g *Group) cancelPlacement(pl *placement, reason string) {
	if pl.epoch != g.epoch {
		return
	}
	g.endPlacing(pl)
	for _, req := range pl.requests {
		g.allocations.Cancel(req.Attempt)
	}
	g.explain(pl.item.Ref.Job, reason)
	if g.stillWaiting(pl.item) {
		g.requeueAfter(pl.item, retryDelay(pl.item.Kind))
	}
}

// retryDelay returns the delay before an item of kind k is retried.
func retryDelay(k jobs.Kind) time.Duration {
	if k == jobs.Urgent {
		return urgentPlacementRetryDelay
	}
	return placementRetryDelay
}

// startsCommitted is called with the outcome of proposeStarts. It starts the
// attempts whose intents are durable, or cancels the placement. A task that was
// cancelled before its intent was applied has none, so its reservation is
// cancelled.
func (g *Group) startsCommitted(pl *placement, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.cancelPlacement(pl, err.Error())
		return
	}
	if pl.epoch != g.epoch {
		return
	}
	g.endPlacing(pl)
	for i, ref := range pl.tasks {
		t, ok := g.placedTask(ref, pl.requests[i].Attempt.Number)
		if !ok {
			g.allocations.Cancel(pl.requests[i].Attempt)
			continue
		}
		g.stats.Starts++
		msg := wire.StartMsg{
			Group: t.Group, Attempt: pl.requests[i].Attempt, Home: g.cfg.Name,
			Spec: g.state.Jobs[ref.Job].Spec, Checkpoint: t.Checkpoint,
		}
		g.explain(ref.Job, fmt.Sprintf("task %d attempt %d placed on worker %q of group %q", ref.Index, t.Attempt, t.Worker, t.Group))
		go g.startAttempt(ref, msg)
	}
}

// placeRemote tries to place an item on the workers of other groups.
func (g *Group) placeRemote(ctx context.Context, pl *placement) {
	ok := g.reserveRemote(ctx, pl)
	g.mu.Lock()
	defer g.mu.Unlock()
	if pl.epoch != g.epoch {
		return
	}
	if !ok {
		g.cancelPlacement(pl, "no group has enough free capacity for "+pl.item.Size.String())
		g.preempt(pl, g.cfg.Cell.State())
		return
	}
	g.proposeStarts(pl)
}

// reserveTimeout bounds a reserve request to another group's owner.
const reserveTimeout = time.Second

// reserveRemote tries to reserve capacity at the groups that seem to have enough.
// It starts with the group with the least free CPU, to limit fragmentation in the
// others. A gang is placed in a single group, so it waits until one has capacity
// for all of it.
func (g *Group) reserveRemote(ctx context.Context, pl *placement) bool {
	cell := g.cfg.Cell.State()
	for _, d := range candidateGroups(g.cfg.Remote.Groups(), pl.item, cell) {
		if d.Group == g.cfg.Name {
			continue
		}
		rctx, cancel := context.WithTimeout(ctx, reserveTimeout)
		a, err := g.cfg.Remote.Reserve(rctx, wire.ReserveMsg{
			Group: d.Group, Requests: pl.requests, TTLMs: g.cfg.Timing.Reserve.Milliseconds(),
		})
		cancel()
		if err == nil && len(a.Slots) == len(pl.requests) {
			pl.chosen = toPlacements(d.Group, a.Slots)
			return true
		}
		if err != nil && fault.OutcomeOf(err) == fault.Unknown {
			// The reservation may exist. It expires, but until then the same
			// attempt must not be reserved at a second group.
			return false
		}
	}
	return false
}

// candidateGroups returns the groups whose free capacity may suffice for the item,
// the group with the least free CPU first.
func candidateGroups(groups []wire.GroupInfo, it queue.Item, cell *config.State) []wire.GroupInfo {
	var list []wire.GroupInfo
	for _, d := range groups {
		if cell.AzOutOfService(d.Az) || it.Az != "" && it.Az != d.Az {
			continue
		}
		if it.Size.FitsIn(d.LargestFree) && it.Total().FitsIn(d.Free) {
			list = append(list, d)
		}
	}
	sortByFree(list)
	return list
}

// sortByFree sorts groups by free CPU capacity, least first.
func sortByFree(list []wire.GroupInfo) {
	sort.SliceStable(list, func(i, j int) bool { return list[i].Free.CPU < list[j].Free.CPU })
}

// explain adds an explanation of a job's status, if it differs from the newest.
// The caller holds the lock.
func (g *Group) explain(id jobs.ID, reason string) {
	list := g.reasons[id]
	if len(list) > 0 && list[len(list)-1] == reason {
		return
	}
	if list = append(list, reason); len(list) > maxReasons {
		list = list[1:]
	}
	g.reasons[id] = list
}
