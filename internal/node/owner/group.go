// Package owner runs one group on one entry host: it claims the group when the
// host should have it, accepts and places the group's jobs, keeps the books of
// the group's workers, and gives the group up.
//
// A group plays two parts. As the home of its jobs it records what was
// accepted, every intent and every end. As the keeper of its workers it books
// room and talks to them. A job's home may place tasks on any group's workers;
// the two parts talk through the Remote interface, also when both are the same
// group.
//
// The order that keeps the promises:
//
//	reserve at the keeper -> record the intent at home -> start at the keeper
//	end reported by the worker -> recorded at home -> forgotten at the keeper
//
// An attempt for which nothing is recorded has never been sent. An attempt that
// is recorded is in doubt until its keeper says what became of it.
//
// All state of a Group is guarded by its own lock; groups share nothing. No
// request is sent while the lock is held.
//
// # Usage
//
//	g := owner.New(owner.Config{Name: "az1-0", ...})
//	go g.Run(ctx)
//	job, err := g.Submit(ctx, spec)
package owner

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lagooncourse/internal/base/clock"
	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/frame"
	"lagooncourse/internal/cell/books"
	"lagooncourse/internal/cell/config"
	"lagooncourse/internal/cell/group"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/queue"
	"lagooncourse/internal/cell/trust"
	"lagooncourse/internal/node/wire"
	"lagooncourse/internal/plat/hosts"
	"lagooncourse/internal/plat/stream"
	"lagooncourse/internal/plat/worker"
)

// Remote reaches the owners of groups, this one included. Errors are
// *fault.Error.
type Remote interface {
	Reserve(ctx context.Context, msg wire.ReserveMsg) (wire.ReserveAnswer, error)
	Start(ctx context.Context, msg wire.StartMsg) (wire.StartAnswer, error)
	Stop(ctx context.Context, msg wire.StopMsg) error
	Where(ctx context.Context, msg wire.WhereMsg) (wire.WhereAnswer, error)
	Report(ctx context.Context, msg wire.ReportMsg) (wire.ReportAnswer, error)
	// Duties lists the groups of all live owners.
	Duties() []wire.Duty
	// MayClaim notes the holder of a group's newest epoch, as the log names
	// it, and reports whether that holder may be replaced.
	MayClaim(name string, epoch uint64, holder group.Holder) bool
}

// Cell is the configuration of the cell.
type Cell interface {
	State() *config.State
	// Fresh returns an error unless the state is surely recent enough to
	// start work under it.
	Fresh() error
	// Change appends a change of grants and returns once it has been applied
	// or found void.
	Change(ctx context.Context, g config.Grants) error
}

// Timing holds the group's intervals and bounds.
type Timing struct {
	Commit     time.Duration // least time between two appends of the group
	Renew      time.Duration // a renewal waits so long at the worker
	Lease      time.Duration // given to workers with every renewal
	Margin     time.Duration // for the drift of clocks between two hosts
	Reserve    time.Duration // how long a reservation holds
	Reconcile  time.Duration // between two looks at attempts in doubt
	Keep       time.Duration // how long ended jobs and calls are remembered
	Snapshot   time.Duration // most time between two snapshots
	SnapshotAt int64         // records since the last snapshot that call for one
}

// DefaultTiming returns the intervals for a cell of today's size.
func DefaultTiming() Timing {
	return Timing{
		Commit: 25 * time.Millisecond, Renew: 2 * time.Second, Lease: 8 * time.Second, Margin: time.Second,
		Reserve: 3 * time.Second, Reconcile: time.Second, Keep: 24 * time.Hour, Snapshot: 10 * time.Minute,
		SnapshotAt: 5000,
	}
}

// Config describes a Group.
type Config struct {
	Name   string
	Az     string
	Self   group.Holder
	Log    stream.Log
	Cell   Cell
	Remote Remote
	Dial   func(hosts.Worker) worker.Worker
	Clock  clock.Clock
	Logger logr.Logger
	Timing Timing
	Policy queue.Policy // nil means queue.Fair
}

// Group is one group on one entry host.
type Group struct {
	cfg Config
	log logr.Logger

	wake chan struct{} // there may be something to do

	mu       sync.Mutex
	state    *group.State
	replay   *stream.Replay
	epoch    uint64 // the epoch owned; 0 if not the owner
	wanted   bool   // this host should own the group
	closing  bool   // the group is being handed over; no call is taken
	ownedAt  time.Time
	books    *books.Books
	trust    *trust.Trust
	queue    *queue.Queue
	workers  []hosts.Worker
	keepers  map[string]*keeper // worker id -> its renewal loop
	pending  []proposal
	changed  chan struct{} // closed after every commit
	placing  map[jobs.Ref]jobs.Size
	held     map[jobs.Ref]queue.Item // out of the queue until retryAt
	retryAt  map[jobs.Ref]time.Time
	reserved map[string]jobs.Size // team -> size that is being placed
	known    map[books.Attempt]uint64
	why      map[jobs.ID][]string
	flights  map[string]*flight // SubKey -> call under way
	grants   grants
	snapAt   time.Time
	forgetAt time.Time
	logDown  bool
	stats    Stats
}

// Stats counts what a group did on this host.
type Stats struct {
	Commits  int64 `json:"commits"`
	Records  int64 `json:"records"`
	Starts   int64 `json:"starts"`
	Takeover int64 `json:"takeovers"`
	Fenced   int64 `json:"fenced"`
	Unsure   int64 `json:"unsureStarts"`
	Evicted  int64 `json:"evicted"`    // batch tasks stopped for urgent work
	Balanced int64 `json:"rebalanced"` // tasks stopped for teams below their share
}

// proposal is a number of records that are committed together or not at all.
type proposal struct {
	records []group.Record
	done    func(error) // called without the lock; nil after the commit
}

// New returns a group that does not run yet.
func New(cfg Config) *Group {
	if cfg.Policy == nil {
		cfg.Policy = queue.Fair{}
	}
	g := &Group{
		cfg:  cfg,
		log:  cfg.Logger.WithName("owner").WithValues("group", cfg.Name),
		wake: make(chan struct{}, 1),
	}
	g.reset()
	return g
}

// reset forgets all that does not come from the log.
func (g *Group) reset() {
	g.state = group.NewState(g.cfg.Name)
	g.replay = &stream.Replay{Stream: group.StreamOf(g.cfg.Name), Machine: g.state}
	g.books = books.New()
	g.trust = trust.New(trust.Config{})
	g.queue = queue.New(queue.Config{Policy: g.cfg.Policy})
	g.keepers = map[string]*keeper{}
	g.changed = make(chan struct{})
	g.placing = map[jobs.Ref]jobs.Size{}
	g.held = map[jobs.Ref]queue.Item{}
	g.retryAt = map[jobs.Ref]time.Time{}
	g.reserved = map[string]jobs.Size{}
	g.known = map[books.Attempt]uint64{}
	g.why = map[jobs.ID][]string{}
	g.flights = map[string]*flight{}
	g.grants = newGrants()
	g.closing = false
}

// Name returns the group's name.
func (g *Group) Name() string { return g.cfg.Name }

// Az returns the group's availability zone.
func (g *Group) Az() string { return g.cfg.Az }

// Epoch returns the epoch that this host owns, or 0.
func (g *Group) Epoch() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.epoch
}

// Want says whether this host should own the group. Wanting it starts a claim;
// not wanting it any more starts a hand-over.
func (g *Group) Want(on bool) {
	g.mu.Lock()
	g.wanted = on
	g.mu.Unlock()
	g.poke()
}

// SetWorkers takes the group's part of the host list.
func (g *Group) SetWorkers(list []hosts.Worker) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.workers = list
	if g.epoch > 0 {
		g.syncWorkers()
	}
}

// Duty describes the group for peers, or returns false if this host does not
// own it.
func (g *Group) Duty() (wire.Duty, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epoch == 0 {
		return wire.Duty{}, false
	}
	d := wire.Duty{Group: g.cfg.Name, Epoch: g.epoch, Az: g.cfg.Az, Used: map[string]jobs.Size{}}
	d.Capacity = g.books.Capacity()
	d.Free, d.Largest = g.books.Free()
	for team, used := range g.state.Used {
		d.Used[team] = used
	}
	d.Wanting, d.Waiting = g.grants.wanting(g.cfg.Clock.Now()), map[string]jobs.Size{}
	for team, size := range g.queue.Demand() {
		d.Waiting[team] = size
	}
	return d, true
}

// Abort drops the group without handing it over, as a crash would.
func (g *Group) Abort() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wanted = false
	g.lose("the host was killed")
}

// poke wakes the group's loop.
func (g *Group) poke() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// idleWait is how long the loop sleeps when nobody wakes it.
const idleWait = 20 * time.Millisecond

// Run claims, runs and releases the group until ctx ends. It returns after the
// group has been released or could not be released in time.
func (g *Group) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !g.isWanted() {
			g.sleep(ctx, 5*idleWait)
			continue
		}
		if err := g.claim(ctx); err != nil {
			g.log.V(1).Info("claim failed", "err", err.Error())
			g.sleep(ctx, claimRetry)
			continue
		}
		g.own(ctx)
	}
}

// claimRetry is the time between two tries to claim a group.
const claimRetry = 200 * time.Millisecond

func (g *Group) isWanted() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.wanted
}

func (g *Group) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-g.wake:
	case <-time.After(d):
	}
}

// claim reads the group's stream, claims the next epoch and opens the books.
func (g *Group) claim(ctx context.Context) (err error) {
	defer fault.Note(&err, "claim group %q", g.cfg.Name)
	g.mu.Lock()
	g.reset()
	g.state.Watch = (*watcher)(g)
	replay := g.replay
	g.mu.Unlock()
	if err := g.catchUp(ctx, replay); err != nil {
		return err
	}
	if !replay.Ready() {
		return fault.New(fault.Unavailable, fault.NotRun, "stream has neither its beginning nor a usable snapshot")
	}
	if h := g.state.Owner; h.Host != "" && h.Host != g.cfg.Self.Host && !g.cfg.Remote.MayClaim(g.cfg.Name, g.state.Epoch, h) {
		return fault.New(fault.Conflict, fault.NotRun, "host %q holds epoch %d", h.Host, g.state.Epoch)
	}
	epoch := g.state.Epoch + 1
	data, err := encodeBatch(group.Batch{Epoch: epoch, Claim: &g.cfg.Self})
	if err != nil {
		return err
	}
	if _, err := g.cfg.Log.Append(ctx, replay.Stream, data); fault.RanOf(err) == fault.NotRun {
		return err
	}
	if err := g.catchUp(ctx, replay); err != nil {
		return err
	}
	if g.state.Epoch != epoch || g.state.Owner != g.cfg.Self {
		return fault.New(fault.Conflict, fault.NotRun, "epoch %d went to %q", g.state.Epoch, g.state.Owner.Host)
	}
	if err := g.cfg.Cell.Change(ctx, config.Grants{Group: g.cfg.Name, Fence: config.Fence{Epoch: epoch, Seq: 1}}); err != nil {
		return err
	}
	g.open(epoch)
	return nil
}

// catchUp reads to the end of the stream. It takes the lock only to apply.
func (g *Group) catchUp(ctx context.Context, replay *stream.Replay) error {
	for {
		g.mu.Lock()
		from := replay.Next()
		g.mu.Unlock()
		p, err := g.cfg.Log.Read(ctx, stream.ReadRequest{Stream: replay.Stream, From: from})
		if err != nil {
			return err
		}
		g.mu.Lock()
		atHead := replay.Take(p)
		g.mu.Unlock()
		if atHead {
			return nil
		}
	}
}

// open starts the books of the new epoch.
func (g *Group) open(epoch uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock.Now()
	g.epoch, g.ownedAt, g.snapAt, g.forgetAt = epoch, now, now, now
	g.grants.seq = 1
	g.stats.Takeover++
	g.syncWorkers()
	g.log.Info("claimed group", "epoch", epoch, "jobs", len(g.state.Jobs), "queued", g.queue.Len())
}

// own runs the group until it is given up or lost.
func (g *Group) own(ctx context.Context) {
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, func() { g.Want(false) })()
	g.startKeepers(run)
	background := g.startBackground(run)
	for {
		g.flush(run)
		if g.Epoch() == 0 {
			break
		}
		if ctx.Err() != nil || !g.isWanted() {
			g.release(run)
			break
		}
		g.schedule(run)
		g.sleep(ctx, idleWait)
	}
	cancel()
	background.Wait()
	g.stopKeepers()
}

// startBackground starts the loops that do not place work.
func (g *Group) startBackground(ctx context.Context) *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){g.reconcileLoop, g.reportLoop, g.grantLoop, g.housekeepLoop} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			loop(ctx)
		}()
	}
	return &wg
}

// every calls fn at the interval until ctx ends.
func every(ctx context.Context, d time.Duration, fn func(context.Context)) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			fn(ctx)
		}
	}
}

// lose gives the group up because somebody else has claimed it. The caller
// holds the lock.
func (g *Group) lose(why string) {
	if g.epoch == 0 {
		return
	}
	g.log.Info("lost group", "epoch", g.epoch, "why", why, "owner", g.state.Owner.Host)
	g.epoch = 0
	g.stats.Fenced++
}

func encodeBatch(b group.Batch) ([]byte, error) {
	data, err := frame.Encode(b)
	if err != nil {
		return nil, err
	}
	return stream.EncodeRecord(data)
}

// nowMs returns the clock in milliseconds since 1970.
func (g *Group) nowMs() int64 { return g.cfg.Clock.Now().UnixMilli() }
