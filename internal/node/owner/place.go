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

// This file places the waiting jobs of the group: it reserves capacity, records
// the start intents, and starts the attempts once these are durable.

const (
	maxPassItems      = 256 // items placed in one pass
	maxPassRemote     = 32  // items of one pass that are tried at other groups
	blockedRetryDelay = 100 * time.Millisecond
	urgentRetryDelay  = 10 * time.Millisecond
	maxReasons        = 8 // per job
)

// plan is the placement of a queue item in progress.
type plan struct {
	epoch uint64 // epoch in which the plan was made
	item  queue.Item
	tasks []jobs.Ref
	asks  []books.Ask
	sites []jobs.Site
}

// schedule runs one pass over the queue.
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
	remote := g.pass()
	g.mu.Unlock()
	for _, p := range remote {
		go g.placeRemote(ctx, p)
	}
}

// requeueDue returns delayed items to the queue whose delay is over. The caller
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

// stillWaiting reports whether the item's task is waiting, or its gang is ready.
// The caller holds the lock.
func (g *Group) stillWaiting(it queue.Item) bool {
	j := g.state.Jobs[it.Ref.Job]
	if j == nil {
		return false
	}
	if it.Kind == jobs.Gang {
		return gangReady(j)
	}
	return j.Tasks[it.Ref.Index].State == jobs.Waiting
}

// gangReady reports whether a gang can start: at least one of its tasks is
// waiting, and all others have ended.
func gangReady(j *jobs.Job) bool {
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

// pass places the items that fit on the group's own workers and returns plans for
// those to be tried at other groups. The caller holds the lock.
func (g *Group) pass() []*plan {
	cell := g.cfg.Cell.State()
	view, _ := g.view(cell)
	p := g.queue.Pass(view)
	var remote []*plan
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
		pl := g.planFor(it)
		switch {
		case g.azAllows(it, cell) && g.reserveLocal(pl):
			p.Placed(it)
			g.beginPlacing(pl)
			g.proposeStarts(pl)
		case len(remote) < maxPassRemote && it.Az != g.cfg.Az:
			p.Placed(it)
			g.beginPlacing(pl)
			remote = append(remote, pl)
			p.Blocked(it)
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

// view returns the policy's input, and the size of each team's waiting work in
// the whole fleet. The caller holds the lock.
func (g *Group) view(cell *config.State) (v queue.View, waiting map[string]jobs.Size) {
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
	for team, plan := range cell.Plans {
		v.Share[team] = plan.Share
	}
	return v, waiting
}

// blockReason returns why the item cannot start under the team's limit, or "" if
// it can. The caller holds the lock.
func (g *Group) blockReason(it queue.Item, cell *config.State) string {
	if !it.Total().Fits(cell.Limit(it.Team)) {
		return fmt.Sprintf("needs %s, more than the limit of team %q", it.Total(), it.Team)
	}
	used := g.state.Used[it.Team].Plus(g.reserved[it.Team])
	if !used.Plus(it.Total()).Fits(g.ceiling(it.Team, cell)) {
		g.grants.request(it.Team, it.Total(), g.cfg.Clock.Now())
		return fmt.Sprintf("waits for a larger grant under the limit of team %q", it.Team)
	}
	return ""
}

// planFor returns a plan with the next attempts of an item's waiting tasks. The
// caller holds the lock.
func (g *Group) planFor(it queue.Item) *plan {
	j := g.state.Jobs[it.Ref.Job]
	pl := &plan{epoch: g.epoch, item: it}
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

// reserveLocal reserves capacity for all attempts of a plan on the group's own
// workers, or for none. The caller holds the lock.
func (g *Group) reserveLocal(pl *plan) bool {
	slots, ok := reserveAll(g.books, pl.asks, g.nowMs())
	if !ok {
		return false
	}
	pl.sites = sites(g.cfg.Name, slots)
	return true
}

// sites converts the reserved slots of a group.
func sites(group string, slots []books.Slot) []jobs.Site {
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

// beginPlacing counts the item as used by its team until it is placed or its plan
// is cancelled. The caller holds the lock.
func (g *Group) beginPlacing(pl *plan) {
	it := pl.item
	g.placing[it.Ref] = it.Total()
	g.reserved[it.Team] = g.reserved[it.Team].Plus(it.Total())
}

// endPlacing reverts beginPlacing. The caller holds the lock.
func (g *Group) endPlacing(pl *plan) {
	it := pl.item
	size, ok := g.placing[it.Ref]
	if !ok {
		return
	}
	delete(g.placing, it.Ref)
	remaining := g.reserved[it.Team].Minus(size)
	if remaining.IsZero() {
		delete(g.reserved, it.Team)
		return
	}
	g.reserved[it.Team] = remaining
}

// proposeStarts proposes the start intents of a fully reserved plan. The attempts
// start once these are durable. The caller holds the lock.
func (g *Group) proposeStarts(pl *plan) {
	records := make([]group.Record, len(pl.tasks))
	for i, ref := range pl.tasks {
		records[i] = group.Record{Start: &group.Start{
			Ref: ref, Attempt: pl.asks[i].Attempt.Number, Site: pl.sites[i], AtMs: g.nowMs(),
		}}
	}
	err := g.propose(proposal{records: records, done: func(err error) { g.startsCommitted(pl, err) }})
	if err != nil {
		g.cancelPlan(pl, err.Error())
	}
}

// cancelPlan cancels a plan whose start intents are not recorded, and retries the
// item later. The caller holds the lock.
func (g *Group) cancelPlan(pl *plan, reason string) {
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
		return urgentRetryDelay
	}
	return blockedRetryDelay
}

// startsCommitted starts the attempts whose intents are durable. An attempt whose
// task was cancelled first has no intent and is dropped.
func (g *Group) startsCommitted(pl *plan, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.cancelPlan(pl, err.Error())
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

// placeRemote tries to place a plan on the workers of other groups.
func (g *Group) placeRemote(ctx context.Context, pl *plan) {
	ok := g.reserveRemote(ctx, pl)
	g.mu.Lock()
	defer g.mu.Unlock()
	if pl.epoch != g.epoch {
		return
	}
	if !ok {
		g.cancelPlan(pl, "no group has enough free capacity for "+pl.item.Size.String())
		g.evict(pl, g.cfg.Cell.State())
		return
	}
	g.proposeStarts(pl)
}

// reserveTimeout bounds a reserve request to another group's owner.
const reserveTimeout = time.Second

// reserveRemote tries to reserve capacity at the groups that seem to have enough.
// It starts with the fullest group, to limit fragmentation in the others. A gang
// is placed in a single group, so it waits until one has capacity for all of it.
func (g *Group) reserveRemote(ctx context.Context, pl *plan) bool {
	cell := g.cfg.Cell.State()
	for _, d := range candidates(g.cfg.Remote.Duties(), pl.item, cell) {
		if d.Group == g.cfg.Name {
			continue
		}
		rctx, cancel := context.WithTimeout(ctx, reserveTimeout)
		a, err := g.cfg.Remote.Reserve(rctx, wire.ReserveMsg{
			Group: d.Group, Asks: pl.asks, TTLMs: g.cfg.Timing.Reserve.Milliseconds(),
		})
		cancel()
		if err == nil && len(a.Slots) == len(pl.asks) {
			pl.sites = sites(d.Group, a.Slots)
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

// candidates returns the groups whose free capacity may fit the item, fullest
// first.
func candidates(duties []wire.Duty, it queue.Item, cell *config.State) []wire.Duty {
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
