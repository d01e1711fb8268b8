package owner

import (
	"context"
	"fmt"
	"sort"
	"time"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/books"
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
	epoch uint64 // epoch in which the placement began
	item  queue.Item
	tasks []jobs.Ref
	asks  []books.Ask
	sites []jobs.Site // group and worker of each attempt
}

// schedule places waiting items in one pass over the queue. It does nothing while
// the log does not respond or the configuration may be out of date.
func (g *Group) schedule(ctx context.Context) {
	g.mu.Lock()
	if g.epoch == 0 || g.logDown {
		g.mu.Unlock()
		return
	}
	if err := g.cfg.Cell.Fresh(); err != nil {
		g.mu.Unlock()
		return
	}
	g.requeueDue()
	g.books.Lapse(g.nowMs())
	remote := g.placeItems()
	g.mu.Unlock()
	for _, p := range remote {
		go g.placeRemote(ctx, p)
	}
}

// requeueDue returns the items whose delay is over to the queue. The caller holds
// the lock.
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
			g.evict(pl, cell)
			p.Blocked(it)
		}
	}
	return remote
}

// azAllows reports whether the item may run in the group's availability zone.
func (g *Group) azAllows(it queue.Item, cell *config.State) bool {
	return !cell.AzOut(g.cfg.Az) && (it.Az == "" || it.Az == g.cfg.Az)
}

// policyView returns the input of the queue policy, and the size of each team's
// waiting work in the whole fleet. The caller holds the lock.
func (g *Group) policyView(cell *config.State) (v queue.View, waiting map[string]jobs.Size) {
	v = queue.View{NowMs: g.nowMs(), Used: map[string]jobs.Size{}, Share: map[string]int64{}}
	waiting = map[string]jobs.Size{}
	for team, size := range g.queue.Demand() {
		waiting[team] = size
	}
	for _, d := range g.cfg.Remote.Duties() {
		if !cell.AzOut(d.Az) {
			v.Fleet = v.Fleet.Plus(d.Capacity)
		}
		if d.Group == g.cfg.Name {
			continue
		}
		for team, used := range d.Used {
			v.Used[team] = v.Used[team].Plus(used)
		}
		for team, size := range d.Waiting {
			waiting[team] = waiting[team].Plus(size)
		}
	}
	for team, used := range g.state.Used {
		v.Used[team] = v.Used[team].Plus(used)
	}
	for team, p := range cell.Plans {
		v.Share[team] = p.Share
	}
	return v, waiting
}

// blockReason returns why the item cannot start under the team's limit, or "" if
// it can. It requests a larger grant if one would allow the start. The caller
// holds the lock.
func (g *Group) blockReason(it queue.Item, cell *config.State) string {
	if !it.Total().Fits(cell.Limit(it.Team)) {
		return fmt.Sprintf("needs %s, more than the limit of team %q", it.Total(), it.Team)
	}
	used := g.state.Used[it.Team].Plus(g.placingByTeam[it.Team])
	if !used.Plus(it.Total()).Fits(g.ceiling(it.Team, cell)) {
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
		at := books.Attempt{Task: ref.String(), Number: j.Tasks[i].Attempt + 1}
		pl.tasks = append(pl.tasks, ref)
		pl.asks = append(pl.asks, books.Ask{Attempt: at, Home: g.cfg.Name, Kind: it.Kind, Size: it.Size, UntilMs: until, Again: j.Spec.Idempotent})
	}
	return pl
}

// reserveLocal reserves capacity for all attempts of a placement on the group's
// own workers, or for none. The caller holds the lock.
func (g *Group) reserveLocal(pl *placement) bool {
	slots, ok := reserveAll(g.books, pl.asks, g.nowMs())
	if !ok {
		return false
	}
	pl.sites = toSites(g.cfg.Name, slots)
	return true
}

// toSites returns the sites of the slots reserved in a group.
func toSites(group string, slots []books.Slot) []jobs.Site {
	list := make([]jobs.Site, len(slots))
	for i, s := range slots {
		list[i] = jobs.Site{Group: group, Worker: s.Worker, Boot: s.Boot}
	}
	return list
}

// reserveAll reserves capacity for all asks, or for none.
func reserveAll(b *books.Books, asks []books.Ask, nowMs int64) ([]books.Slot, bool) {
	slots := make([]books.Slot, 0, len(asks))
	for i, ask := range asks {
		s, ok := b.Reserve(ask, nowMs)
		if !ok {
			for _, reserved := range asks[:i] {
				b.Cancel(reserved.Attempt)
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

// endPlacing ends the count of beginPlacing. The caller holds the lock.
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
			Ref: ref, Attempt: pl.asks[i].Attempt.Number, Site: pl.sites[i], AtMs: g.nowMs(),
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
	for _, ask := range pl.asks {
		g.books.Cancel(ask.Attempt)
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
		t, ok := g.placedTask(ref, pl.asks[i].Attempt.Number)
		if !ok {
			g.books.Cancel(pl.asks[i].Attempt)
			continue
		}
		g.stats.Starts++
		msg := wire.StartMsg{
			Group: t.Group, Attempt: pl.asks[i].Attempt, Home: g.cfg.Name,
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
		g.evict(pl, g.cfg.Cell.State())
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
	for _, d := range candidateGroups(g.cfg.Remote.Duties(), pl.item, cell) {
		if d.Group == g.cfg.Name {
			continue
		}
		rctx, cancel := context.WithTimeout(ctx, reserveTimeout)
		a, err := g.cfg.Remote.Reserve(rctx, wire.ReserveMsg{
			Group: d.Group, Asks: pl.asks, TTLMs: g.cfg.Timing.Reserve.Milliseconds(),
		})
		cancel()
		if err == nil && len(a.Slots) == len(pl.asks) {
			pl.sites = toSites(d.Group, a.Slots)
			return true
		}
		if err != nil && fault.RanOf(err) == fault.Unknown {
			// The reservation may exist. It expires, but until then the same
			// attempt must not be reserved at a second group.
			return false
		}
	}
	return false
}

// candidateGroups returns the groups whose free capacity may suffice for the item,
// the group with the least free CPU first.
func candidateGroups(duties []wire.Duty, it queue.Item, cell *config.State) []wire.Duty {
	var list []wire.Duty
	for _, d := range duties {
		if cell.AzOut(d.Az) || it.Az != "" && it.Az != d.Az {
			continue
		}
		if it.Size.Fits(d.Largest) && it.Total().Fits(d.Free) {
			list = append(list, d)
		}
	}
	sortByFree(list)
	return list
}

// sortByFree sorts groups by free CPU capacity, least first.
func sortByFree(list []wire.Duty) {
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
