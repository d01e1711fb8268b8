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

// This file places the waiting jobs of the group: it reserves room, records
// the intents and has the attempts started.

const (
	maxPassItems  = 256 // items placed in one pass
	maxPassRemote = 32  // items of one pass that are tried at other groups
	retryBlocked  = 100 * time.Millisecond
	retryUrgent   = 10 * time.Millisecond
	maxReasons    = 8 // kept for each job
)

// plan is an item on its way to its workers.
type plan struct {
	epoch uint64 // in which it was made
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
	g.requeueHeld()
	g.books.Lapse(g.nowMs())
	remote := g.pass()
	g.mu.Unlock()
	for _, p := range remote {
		go g.placeRemote(ctx, p)
	}
}

// requeueHeld returns items to the queue whose time has come. The caller holds
// the lock.
func (g *Group) requeueHeld() {
	now := g.cfg.Clock.Now()
	for ref, at := range g.retryAt {
		if now.Before(at) {
			continue
		}
		it := g.held[ref]
		delete(g.held, ref)
		delete(g.retryAt, ref)
		if g.stillWaits(it) {
			g.queue.Add(it)
		}
	}
}

// hold keeps an item out of the queue for a moment. The caller holds the lock.
func (g *Group) hold(it queue.Item, d time.Duration) {
	g.held[it.Ref] = it
	g.retryAt[it.Ref] = g.cfg.Clock.Now().Add(d)
}

// stillWaits reports whether every task of the item waits. The caller holds
// the lock.
func (g *Group) stillWaits(it queue.Item) bool {
	j := g.state.Jobs[it.Ref.Job]
	if j == nil {
		return false
	}
	if it.Kind == jobs.Gang {
		return gangWaits(j)
	}
	return j.Tasks[it.Ref.Index].State == jobs.Waiting
}

// gangWaits reports whether a gang can start: some of its tasks wait, and all
// others have ended.
func gangWaits(j *jobs.Job) bool {
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

// pass places what fits on the group's own workers and returns what has to be
// tried elsewhere. The caller holds the lock.
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
		if reason := g.blockedBy(it, cell); reason != "" {
			g.explain(it.Ref.Job, reason)
			p.Blocked(it)
			continue
		}
		pl := g.planFor(it)
		switch {
		case g.azFits(it, cell) && g.reserveOwn(pl):
			p.Placed(it)
			g.begin(pl)
			g.proposeStarts(pl)
		case len(remote) < maxPassRemote && it.Az != g.cfg.Az:
			p.Placed(it)
			g.begin(pl)
			remote = append(remote, pl)
			p.Blocked(it)
		default:
			g.explain(it.Ref.Job, "no worker of the group has room for "+it.Size.String())
			g.evict(pl, cell)
			p.Blocked(it)
		}
	}
	return remote
}

// azFits reports whether the item may run in the group's availability zone.
func (g *Group) azFits(it queue.Item, cell *config.State) bool {
	return !cell.AzOut(g.cfg.Az) && (it.Az == "" || it.Az == g.cfg.Az)
}

// view collects what the policy needs to know, and what waits in the whole
// fleet for each team. The caller holds the lock.
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

// blockedBy returns why the item cannot start under the team's limit, or "".
// The caller holds the lock.
func (g *Group) blockedBy(it queue.Item, cell *config.State) string {
	if !it.Total().Fits(cell.Limit(it.Team)) {
		return fmt.Sprintf("needs %s, more than the limit of team %q", it.Total(), it.Team)
	}
	used := g.state.Used[it.Team].Plus(g.reserved[it.Team])
	if !used.Plus(it.Total()).Fits(g.ceiling(it.Team, cell)) {
		g.grants.want(it.Team, it.Total(), g.cfg.Clock.Now())
		return fmt.Sprintf("waits for a larger part of the limit of team %q", it.Team)
	}
	return ""
}

// planFor lists the attempts of an item. The caller holds the lock.
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

// reserveOwn reserves room for all attempts on the group's own workers, or for
// none. The caller holds the lock.
func (g *Group) reserveOwn(pl *plan) bool {
	slots, ok := reserveAll(g.books, pl.asks, g.nowMs())
	if !ok {
		return false
	}
	pl.sites = sites(g.cfg.Name, slots)
	return true
}

func sites(group string, slots []books.Slot) []jobs.Site {
	list := make([]jobs.Site, len(slots))
	for i, s := range slots {
		list[i] = jobs.Site{Group: group, Worker: s.Worker, Boot: s.Boot}
	}
	return list
}

// reserveAll reserves room for all asks, or for none.
func reserveAll(b *books.Books, asks []books.Ask, nowMs int64) ([]books.Slot, bool) {
	slots := make([]books.Slot, 0, len(asks))
	for i, ask := range asks {
		s, ok := b.Reserve(ask, nowMs)
		if !ok {
			for _, done := range asks[:i] {
				b.Cancel(done.Attempt)
			}
			return nil, false
		}
		slots = append(slots, s)
	}
	return slots, true
}

// begin counts the item against its team while it is being placed. The caller
// holds the lock.
func (g *Group) begin(pl *plan) {
	it := pl.item
	g.placing[it.Ref] = it.Total()
	g.reserved[it.Team] = g.reserved[it.Team].Plus(it.Total())
}

// finish ends what begin started. The caller holds the lock.
func (g *Group) finish(pl *plan) {
	it := pl.item
	size, ok := g.placing[it.Ref]
	if !ok {
		return
	}
	delete(g.placing, it.Ref)
	left := g.reserved[it.Team].Minus(size)
	if left.IsZero() {
		delete(g.reserved, it.Team)
		return
	}
	g.reserved[it.Team] = left
}

// proposeStarts records the intents of a fully reserved plan and starts the
// attempts once they are durable. The caller holds the lock.
func (g *Group) proposeStarts(pl *plan) {
	records := make([]group.Record, len(pl.tasks))
	for i, ref := range pl.tasks {
		records[i] = group.Record{Start: &group.Start{
			Ref: ref, Attempt: pl.asks[i].Attempt.Number, Site: pl.sites[i], AtMs: g.nowMs(),
		}}
	}
	err := g.propose(proposal{records: records, done: func(err error) { g.startsRecorded(pl, err) }})
	if err != nil {
		g.abandon(pl, err.Error())
	}
}

// abandon gives a plan up before anything was recorded. The caller holds the
// lock.
func (g *Group) abandon(pl *plan, reason string) {
	if pl.epoch != g.epoch {
		return
	}
	g.finish(pl)
	for _, ask := range pl.asks {
		g.books.Cancel(ask.Attempt)
	}
	g.explain(pl.item.Ref.Job, reason)
	if g.stillWaits(pl.item) {
		g.hold(pl.item, retryAfter(pl.item.Kind))
	}
}

// retryAfter returns how long an item waits that found no room.
func retryAfter(k jobs.Kind) time.Duration {
	if k == jobs.Urgent {
		return retryUrgent
	}
	return retryBlocked
}

// startsRecorded starts the attempts whose intents have become durable. An
// attempt that was overtaken by a cancellation has no intent and is dropped.
func (g *Group) startsRecorded(pl *plan, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.abandon(pl, err.Error())
		return
	}
	if pl.epoch != g.epoch {
		return
	}
	g.finish(pl)
	for i, ref := range pl.tasks {
		t, ok := g.placed(ref, pl.asks[i].Attempt.Number)
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

// placeRemote tries to reserve room for a plan at other groups.
func (g *Group) placeRemote(ctx context.Context, pl *plan) {
	ok := g.reserveRemote(ctx, pl)
	g.mu.Lock()
	defer g.mu.Unlock()
	if pl.epoch != g.epoch {
		return
	}
	if !ok {
		g.abandon(pl, "no group has room for "+pl.item.Size.String())
		g.evict(pl, g.cfg.Cell.State())
		return
	}
	g.proposeStarts(pl)
}

// reserveTimeout bounds a reservation at another group.
const reserveTimeout = time.Second

// reserveRemote asks the groups that seem to have room, fullest first, so that
// the others keep large holes. A gang that fits no single group is refused
// here; it waits until one has room for all of it.
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
			// The reservation may stand. It lapses by itself, but the same
			// attempt must not be reserved at a second group meanwhile.
			return false
		}
	}
	return false
}

// candidates returns the groups whose free room could hold the item.
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

// sortByFree puts the groups with the least free room first.
func sortByFree(list []wire.Duty) {
	sort.SliceStable(list, func(i, j int) bool { return list[i].Free.CPU < list[j].Free.CPU })
}

// explain keeps a reason for a job, if it differs from the newest. The caller
// holds the lock.
func (g *Group) explain(id jobs.ID, reason string) {
	list := g.why[id]
	if len(list) > 0 && list[len(list)-1] == reason {
		return
	}
	if list = append(list, reason); len(list) > maxReasons {
		list = list[1:]
	}
	g.why[id] = list
}
