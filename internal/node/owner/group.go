// Package owner runs one group on one entry host. It claims the group when the
// host should own it, accepts and places the group's jobs, tracks the capacity
// of the group's workers, and releases the group.
//
// A group is a set of workers in one availability zone together with the jobs
// submitted to it. According to the log, at most one entry host at a time owns it.
// A group's records form one stream of the log.
//
// An attempt is one execution of a task. Its start intent is a record that names
// the worker and is written before the start request is sent.
//
// A group has two roles. As the home group of its jobs it records accepted
// jobs, start intents and ends of attempts. As the group of its workers it
// reserves capacity on them and sends them requests. A home group may place
// tasks on the workers of any group. The two roles communicate through the
// Remote interface, even within one group.
//
// The following order ensures that no attempt runs without a recorded intent
// and that no end is lost:
//
//	reserve at the worker's group -> record the intent at home -> start at the worker's group
//	end reported by the worker -> recorded at home -> deleted at the worker's group
//
// No start request is sent for an attempt without a recorded intent. An attempt
// with a recorded intent is unconfirmed until the worker's group reports its
// state.
//
// Each Group guards its state with its own lock, called the lock in this package.
// No request is sent while the lock is held.
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
	"lagooncourse/internal/cell/alloc"
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

// Remote sends requests to the owners of groups, including this group. Errors
// are *fault.Error.
type Remote interface {
	Reserve(ctx context.Context, msg wire.ReserveMsg) (wire.ReserveAnswer, error)
	Start(ctx context.Context, msg wire.StartMsg) (wire.StartAnswer, error)
	Stop(ctx context.Context, msg wire.StopMsg) error
	// AttemptStatus queries the state of attempts at the group of their workers.
	AttemptStatus(ctx context.Context, msg wire.AttemptStatusMsg) (wire.AttemptStatusAnswer, error)
	// Report reports ends of attempts to the home group of their jobs.
	Report(ctx context.Context, msg wire.ReportMsg) (wire.ReportAnswer, error)
	// Unwanted asks the home group of attempts that run which of them should not.
	Unwanted(ctx context.Context, msg wire.UnwantedMsg) (wire.UnwantedAnswer, error)
	// Groups lists the groups that live entry hosts own.
	Groups() []wire.GroupInfo
	// MayClaim reports whether this host may claim the group although, according
	// to the log, owner owns epoch, the newest epoch of the group.
	MayClaim(name string, epoch uint64, owner group.Owner) bool
}

// Cell reads and changes the configuration that all groups of the cell share.
type Cell interface {
	State() *config.State
	// CheckFresh returns an error unless the state is known to be recent enough to
	// start work under it.
	CheckFresh() error
	// ChangeGrants appends a change of grants. It returns nil once the change has been
	// applied, or is void because a later one was applied before it.
	ChangeGrants(ctx context.Context, g config.Grants) error
}

// Timing holds the group's intervals, timeouts and limits.
type Timing struct {
	CommitInterval    time.Duration // minimum interval between two appends of the group
	RenewWait         time.Duration // how long a worker may hold a renewal open
	Lease             time.Duration // granted to a worker with every renewal
	ClockMargin       time.Duration // allowance for clock drift between two hosts
	Reserve           time.Duration // lifetime of a reservation
	ReconcileInterval time.Duration // interval between checks of unconfirmed attempts
	Retention         time.Duration // retention of ended jobs and of calls
	SnapshotInterval  time.Duration // maximum interval between two snapshots
	SnapshotRecords   int64         // records since the last snapshot that trigger the next
}

// DefaultTiming returns the timing used unless the settings override it.
func DefaultTiming() Timing {
	return Timing{
		CommitInterval: 25 * time.Millisecond, RenewWait: 2 * time.Second, Lease: 8 * time.Second, ClockMargin: time.Second,
		Reserve: 3 * time.Second, ReconcileInterval: time.Second, Retention: 24 * time.Hour, SnapshotInterval: 10 * time.Minute,
		SnapshotRecords: 5000,
	}
}

// Config is the configuration of a Group.
type Config struct {
	Name   string
	Az     string
	Self   group.Owner // this host, as recorded in claims
	Log    stream.Log  // holds the streams of all groups
	Cell   Cell
	Remote Remote
	Dial   func(hosts.Worker) worker.Worker // returns a client of the worker
	Clock  clock.Clock
	Logger logr.Logger
	Timing Timing
	Policy queue.Policy // nil means queue.Fair
}

// Group is one group on one entry host, whether or not the host owns it.
type Group struct {
	cfg    Config
	logger logr.Logger

	wake chan struct{} // wakes the loop of Run

	mu            sync.Mutex
	state         *group.State // durable state, replayed from the stream
	replay        *stream.Replay
	epoch         uint64 // the epoch owned; 0 if not the owner
	wanted        bool   // this host should own the group
	releasing     bool   // a handover is in progress; new calls are refused
	ownedAt       time.Time
	allocations   *alloc.Allocations
	trust         *trust.Tracker
	queue         *queue.Queue
	workers       []hosts.Worker
	renewers      map[string]*leaseRenewer // worker id -> its lease renewer
	pending       []proposal
	givenUp       *group.Batch            // its append was given up, and the log may still apply it
	changed       chan struct{}           // closed and replaced when the state may have changed
	placing       map[jobs.Ref]jobs.Size  // size of each item being placed
	delayed       map[jobs.Ref]queue.Item // kept out of the queue until retryAt
	retryAt       map[jobs.Ref]time.Time
	placingByTeam map[string]jobs.Size     // team -> total size being placed
	confirmed     map[alloc.Attempt]uint64 // attempt -> epoch of the worker's group that confirmed it
	reasons       map[jobs.ID][]string     // recent explanations of a job's status, newest last
	inflight      map[string]*inflightCall // group.RequestKey of team and call id -> call in progress
	grants        grantState
	drainTurns    map[alloc.Attempt]time.Time // start of the turn of each attempt that is being drained
	lastSnapshot  time.Time
	lastPurge     time.Time
	logDown       bool // the log did not respond to the last append or read
	stats         Stats

	failures failureLimits
}

// Stats counts the operations of a group on this host.
type Stats struct {
	Commits           int64 `json:"commits"`
	Records           int64 `json:"records"`
	Starts            int64 `json:"starts"`
	Takeovers         int64 `json:"takeovers"` // claims by this host
	Fenced            int64 `json:"fenced"`    // losses of ownership without a release
	UnconfirmedStarts int64 `json:"unsureStarts"`
	Preempted         int64 `json:"evicted"`    // batch tasks stopped for urgent tasks
	Rebalanced        int64 `json:"rebalanced"` // stop requests for teams below their fair share
}

// proposal is a set of records that are committed atomically.
type proposal struct {
	records []group.Record
	done    func(error) // called without the lock; the error is nil after a commit
}

// New returns a group. Run starts it.
func New(cfg Config) *Group {
	if cfg.Policy == nil {
		cfg.Policy = queue.Fair{}
	}
	g := &Group{
		cfg:    cfg,
		logger: cfg.Logger.WithName("owner").WithValues("group", cfg.Name),
		wake:   make(chan struct{}, 1),
	}
	g.reset()
	return g
}

// reset clears the state before a claim, which rebuilds it from the stream. The
// caller holds the lock, except in New.
func (g *Group) reset() {
	g.state = group.NewState(g.cfg.Name)
	g.replay = &stream.Replay{Stream: group.StreamOf(g.cfg.Name), Machine: g.state}
	g.allocations = alloc.New()
	g.trust = trust.New(trust.Config{})
	g.queue = queue.New(queue.Config{Policy: g.cfg.Policy})
	g.renewers = map[string]*leaseRenewer{}
	g.changed = make(chan struct{})
	g.placing = map[jobs.Ref]jobs.Size{}
	g.delayed = map[jobs.Ref]queue.Item{}
	g.retryAt = map[jobs.Ref]time.Time{}
	g.placingByTeam = map[string]jobs.Size{}
	g.confirmed = map[alloc.Attempt]uint64{}
	g.reasons = map[jobs.ID][]string{}
	g.inflight = map[string]*inflightCall{}
	g.grants = newGrantState()
	g.givenUp = nil
	g.drainTurns = nil
	g.releasing = false
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

// SetWanted sets whether this host should own the group. True starts a claim, false
// starts a handover.
func (g *Group) SetWanted(wanted bool) {
	g.mu.Lock()
	g.wanted = wanted
	g.mu.Unlock()
	g.wakeLoop()
}

// SetWorkers sets the group's workers from the host list.
func (g *Group) SetWorkers(list []hosts.Worker) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.workers = list
	if g.epoch > 0 {
		g.syncWorkers()
	}
}

// Info returns the group's description for peers, or false if this host does
// not own the group.
func (g *Group) Info() (wire.GroupInfo, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epoch == 0 {
		return wire.GroupInfo{}, false
	}
	d := wire.GroupInfo{Group: g.cfg.Name, Epoch: g.epoch, Az: g.cfg.Az, Used: map[string]jobs.Size{}}
	d.Capacity = g.allocations.Capacity()
	d.Free, d.LargestFree = g.allocations.Free()
	for team, used := range g.state.Used {
		d.Used[team] = used
	}
	d.Requesting, d.Queued = g.grants.requesting(g.cfg.Clock.Now()), map[string]jobs.Size{}
	for team, size := range g.queue.Demand() {
		d.Queued[team] = size
	}
	return d, true
}

// Abort drops ownership without a handover, as in a crash.
func (g *Group) Abort() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wanted = false
	g.dropOwnership("the host was killed")
}

// wakeLoop wakes the loop of Run.
func (g *Group) wakeLoop() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// idleInterval is the longest sleep between two passes of the loop in runOwned.
const idleInterval = 20 * time.Millisecond

// Run claims, runs and releases the group until ctx ends. It returns after the
// release, or after the timeout of the release.
func (g *Group) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !g.isWanted() {
			g.sleep(ctx, 5*idleInterval)
			continue
		}
		if err := g.claim(ctx); err != nil {
			g.logger.V(1).Info("claim failed", "err", err.Error())
			g.sleep(ctx, claimRetryInterval)
			continue
		}
		g.runOwned(ctx)
	}
}

// claimRetryInterval is the delay between two attempts to claim a group.
const claimRetryInterval = 200 * time.Millisecond

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

// claim replays the group's stream and claims the next epoch. It then appends a
// grant record without changes under the new epoch, so that late grant records of
// earlier owners have no effect.
func (g *Group) claim(ctx context.Context) (err error) {
	defer fault.Annotate(&err, "claim group %q", g.cfg.Name)
	g.mu.Lock()
	g.reset()
	g.state.Observer = (*taskObserver)(g)
	replay := g.replay
	g.mu.Unlock()
	if err := g.catchUp(ctx, replay); err != nil {
		return err
	}
	if !replay.Ready() {
		return fault.New(fault.Unavailable, fault.NotRun, "the stream has neither its first record nor a usable snapshot")
	}
	if o := g.state.Owner; o.Host != "" && o.Host != g.cfg.Self.Host && !g.cfg.Remote.MayClaim(g.cfg.Name, g.state.Epoch, o) {
		return fault.New(fault.Conflict, fault.NotRun, "host %q owns epoch %d", o.Host, g.state.Epoch)
	}
	epoch := g.state.Epoch + 1
	data, err := encodeBatch(group.Batch{Epoch: epoch, Claim: &g.cfg.Self})
	if err != nil {
		return err
	}
	if _, err := g.cfg.Log.Append(ctx, replay.Stream, data); fault.OutcomeOf(err) == fault.NotRun {
		return err
	}
	if err := g.catchUp(ctx, replay); err != nil {
		return err
	}
	if g.state.Epoch != epoch || g.state.Owner != g.cfg.Self {
		return fault.New(fault.Conflict, fault.NotRun, "epoch %d was claimed by host %q", g.state.Epoch, g.state.Owner.Host)
	}
	if err := g.cfg.Cell.ChangeGrants(ctx, config.Grants{Group: g.cfg.Name, FencingToken: config.FencingToken{Epoch: epoch, Seq: 1}}); err != nil {
		return err
	}
	g.startEpoch(epoch)
	return nil
}

// catchUp replays the stream to its end. It holds the lock to apply records,
// but not during a read.
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
		atEnd := replay.Take(p)
		g.mu.Unlock()
		if atEnd {
			return nil
		}
	}
}

// startEpoch initializes the state of a newly claimed epoch.
func (g *Group) startEpoch(epoch uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock.Now()
	g.epoch, g.ownedAt, g.lastSnapshot, g.lastPurge = epoch, now, now, now
	g.grants.seq = 1
	g.stats.Takeovers++
	g.syncWorkers()
	g.logger.Info("claimed group", "epoch", epoch, "jobs", len(g.state.Jobs), "queued", g.queue.Len())
}

// runOwned runs the group until it is released or its ownership is lost.
func (g *Group) runOwned(ctx context.Context) {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	// The end of ctx starts a handover. The loops run until it is complete.
	defer context.AfterFunc(ctx, func() { g.SetWanted(false) })()
	g.startRenewers(runCtx)
	background := g.startBackground(runCtx)
	for {
		g.flush(runCtx)
		if g.Epoch() == 0 {
			break
		}
		if ctx.Err() != nil || !g.isWanted() {
			g.release(runCtx)
			break
		}
		g.schedule(runCtx)
		g.sleep(ctx, idleInterval)
	}
	cancel()
	background.Wait()
	g.stopRenewers()
}

// startBackground starts the loops that reconcile attempts, report ends, adjust
// grants and maintain the stream.
func (g *Group) startBackground(ctx context.Context) *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){g.reconcileLoop, g.reportLoop, g.grantLoop, g.maintenanceLoop} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			loop(ctx)
		}()
	}
	return &wg
}

// every calls fn at the interval d until ctx ends.
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

// dropOwnership ends ownership without a release, usually because another host
// has claimed the group. The caller holds the lock.
func (g *Group) dropOwnership(reason string) {
	if g.epoch == 0 {
		return
	}
	g.logger.Info("lost group", "epoch", g.epoch, "why", reason, "owner", g.state.Owner.Host)
	g.epoch = 0
	g.stats.Fenced++
}

// encodeBatch returns the stream record of a batch.
func encodeBatch(b group.Batch) ([]byte, error) {
	data, err := frame.Encode(b)
	if err != nil {
		return nil, err
	}
	return stream.EncodeRecord(data)
}

// nowMs returns the clock's time in Unix milliseconds.
func (g *Group) nowMs() int64 { return g.cfg.Clock.Now().UnixMilli() }
