// Package entry implements the daemon of an entry host. It accepts requests from
// callers and operators over HTTP, exchanges frames with the other entry hosts, and
// runs the groups that it owns.
//
// All entry hosts have the same role, and any of them may fail at any time. The host that
// receives a request authenticates the caller and validates the request. It then
// forwards the request to the host that owns the job's group or that serves the
// selected pool of targets.
//
// # Usage
//
//	h, err := entry.Start(entry.Config{Settings: settings, Logger: log})
//	...
//	h.Stop(ctx) // graceful: not ready, release groups, finish requests in flight
package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lagooncourse/internal/base/clock"
	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/frame"
	"lagooncourse/internal/base/httpd"
	"lagooncourse/internal/cell/config"
	"lagooncourse/internal/cell/group"
	"lagooncourse/internal/cell/queue"
	"lagooncourse/internal/node/owner"
	"lagooncourse/internal/node/peers"
	"lagooncourse/internal/node/route"
	"lagooncourse/internal/node/wire"
	"lagooncourse/internal/plat/hosts"
	"lagooncourse/internal/plat/stream"
	"lagooncourse/internal/plat/target"
	"lagooncourse/internal/plat/worker"
)

// Config holds the settings of a Host and the components that tests replace.
type Config struct {
	Settings Settings
	Logger   logr.Logger
	Clock    clock.Clock  // nil means the system clock
	Log      stream.Log   // nil means the log service named in the settings
	Policy   queue.Policy // nil means queue.Fair
}

// Host is a running entry host.
type Host struct {
	cfg        Config
	settings   Settings
	log        logr.Logger
	clock      clock.Clock
	api        *httpd.Server
	peerServer *frame.Server
	peerConns  *frame.Pool
	table      *peers.Table
	follower   *configFollower
	lister     hosts.Lister
	router     *route.Router
	metrics    *metrics
	started    time.Time

	cancel context.CancelFunc // stops the loops
	loops  sync.WaitGroup

	mu       sync.Mutex
	groups   map[string]*localGroup  // all groups of the cell, by name
	pools    map[poolKey]*route.Pool // all pools of the cell; servedPools returns those that this host serves
	hostList hosts.List              // newest host list of the platform
	leaving  bool                    // Stop was called
	inFlight int                     // peers' requests to groups of this host, and calls to targets, in flight
}

// poolKey identifies a pool of targets.
type poolKey struct{ group, service string }

// localGroup is this host's instance of a group of the cell, owned or not, with the
// state that decides whether this host should own it.
type localGroup struct {
	g           *owner.Group
	cancel      context.CancelFunc
	done        chan struct{} // closed when the group's loop has ended
	ownerSeenAt time.Time     // start of the wait before a claim: when the group last had an owner, or was first checked
	preferredAt time.Time     // last time at which this host was the preferred owner or did not own the group
}

// Start opens the listeners and starts the loops that join the cell.
func Start(cfg Config) (h *Host, err error) {
	defer fault.Annotate(&err, "start entry host %q", cfg.Settings.Host.ID)
	h = newHost(cfg)
	if err := h.listen(); err != nil {
		h.Kill()
		return nil, err
	}
	h.join()
	return h, nil
}

// newHost returns a host that neither listens nor runs yet.
func newHost(cfg Config) *Host {
	settings := cfg.Settings
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	if cfg.Log == nil {
		cfg.Log = stream.NewClient(stream.ClientConfig{URL: settings.Platform.Log, Timeout: settings.Platform.LogTimeout})
	}
	return &Host{
		cfg: cfg, settings: settings, clock: cfg.Clock, started: cfg.Clock.Now(),
		log:       cfg.Logger.WithName("entry").WithValues("host", settings.Host.ID),
		peerConns: frame.NewPool(frame.PoolConfig{}),
		lister:    hosts.NewClient(hosts.ClientConfig{URLs: settings.Platform.HostLists}),
		groups:    map[string]*localGroup{}, pools: map[poolKey]*route.Pool{},
	}
}

// listen opens the listeners for callers and for peers.
func (h *Host) listen() (err error) {
	h.metrics = newMetrics(h)
	callers, _ := h.settings.machine().Limits()
	h.api, err = httpd.Listen(httpd.Config{Name: "entry", Addr: h.settings.Host.Listen, Routes: h.routes(), Logger: h.log, Limits: callers})
	if err != nil {
		return err
	}
	httpd.RegisterMetrics(h.metrics.registry, callers.Account, h.api)
	h.peerServer = frame.NewServer(frame.ServerConfig{Addr: h.settings.Host.Peer})
	h.registerHandlers()
	return h.peerServer.Listen()
}

// join creates the membership table, which contains the addresses of the open
// listeners, and the components that use the table, and starts the host's loops.
func (h *Host) join() {
	h.table = peers.NewTable(peers.Config{
		Self: wire.Member{
			ID: h.settings.Host.ID, Addr: h.peerServer.Addr(), API: h.api.URL(), Az: h.settings.Host.Az,
			Boot: bootNumber(h.clock.Now()),
		},
		SuspectAfter:           h.settings.Timing.SuspectAfter,
		ForgetAfter:            forgetAfter,
		MinDescriptionInterval: minDescriptionInterval,
	})
	machine := config.NewStateMachine()
	h.follower = &configFollower{
		log: h.cfg.Log, table: h.table, peerConns: h.peerConns, clock: h.clock, logger: h.log, freshFor: h.settings.Timing.FreshFor,
		noSeeds: len(h.settings.Host.Peers) == 0,
		machine: machine, replay: &stream.Replay{Stream: config.Stream, Machine: machine}, changed: make(chan struct{}),
	}
	h.router = route.NewRouter(route.RouterConfig{Az: h.settings.Host.Az, Forwarder: h, Rand: newRand()})
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	for _, loop := range []func(context.Context){h.follower.run, h.gossipLoop, h.hostListLoop, h.ownershipLoop, h.snapshotLoop} {
		h.loops.Add(1)
		go func() {
			defer h.loops.Done()
			loop(ctx)
		}()
	}
	h.peerServer.Serve() // its handlers use what was created above
	go func() { _ = h.api.Serve() }()
	h.log.Info("started", "api", h.api.Addr(), "peer", h.peerServer.Addr(), "az", h.settings.Host.Az)
}

// bootNumber returns the incarnation number of a host that starts at t: the time
// since 2026 in units of 50 ms. Until 2032 it fits in 32 bits, which take 5 bytes in a
// heartbeat, where milliseconds would take 9.
func bootNumber(t time.Time) int64 {
	base := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return t.Sub(base).Milliseconds() / 50
}

// Intervals, timeouts and limits of the loops.
const (
	forgetAfter            = time.Minute             // without a heartbeat, until a host is removed from the membership table
	announceFanout         = 8                       // peers that announce sends to
	minDescriptionInterval = 500 * time.Millisecond  // limits the gossip traffic for changes of the load
	gossipTimeout          = time.Second             // for one exchange
	ownershipInterval      = 100 * time.Millisecond  // between two decisions on ownership
	claimDelay             = time.Second             // from the start to the first claim, to learn the current owners by gossip
	handoverDelay          = 3 * time.Second         // until an owner releases a group for a preferred host, so that short changes of membership move no groups
	claimStagger           = 1500 * time.Millisecond // delay of a claim per rank, to avoid concurrent claims
	snapshotCheckInterval  = 5 * time.Second         // between two checks of whether a snapshot is due
)

// newRand returns a random generator with a random seed.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// API returns the base URL for callers.
func (h *Host) API() string { return h.api.URL() }

// Peer returns the address on which the host serves other entry hosts.
func (h *Host) Peer() string { return h.peerServer.Addr() }

// ID returns the host's id.
func (h *Host) ID() string { return h.settings.Host.ID }

// runEvery calls fn at once and then at every interval d until ctx ends.
func runEvery(ctx context.Context, d time.Duration, fn func(context.Context)) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		fn(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// gossipLoop increments the heartbeat and exchanges heartbeats and descriptions with
// random peers.
func (h *Host) gossipLoop(ctx context.Context) {
	r := newRand()
	runEvery(ctx, h.settings.Timing.Gossip, func(ctx context.Context) {
		h.updateHeartbeat()
		addrs := h.table.GossipPartners(r, h.clock.Now())
		if len(addrs) == 0 && len(h.settings.Host.Peers) > 0 {
			addrs = append(addrs, h.settings.Host.Peers[r.IntN(len(h.settings.Host.Peers))])
		}
		for _, addr := range addrs {
			if addr != h.Peer() {
				go h.gossip(ctx, addr, h.table.Message(addr, h.clock.Now()))
			}
		}
	})
}

// updateHeartbeat increments the heartbeat and updates the description of this host:
// its groups, its pools and whether it is leaving.
func (h *Host) updateHeartbeat() {
	_, next := h.follower.Age()
	groups, pools := h.groupInfos(), h.servedPools()
	h.mu.Lock()
	leaving := h.leaving
	h.mu.Unlock()
	h.table.AdvanceHeartbeat(peers.LocalState{
		Member: wire.Member{Groups: groups, Pools: pools, Leaving: leaving}, ConfigNext: next, LogAge: h.follower.LogAge(),
	}, h.clock.Now())
}

// gossip sends a message to a peer and merges the response.
func (h *Host) gossip(ctx context.Context, addr string, msg wire.GossipMsg) {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	a, err := frame.Call(ctx, h.peerConns, addr, wire.Gossip, msg)
	if err == nil {
		h.table.Merge(a, h.clock.Now())
	}
}

// announce sends the changed groups of this host to some peers at once, so that
// requests reach the new owner before the next gossip rounds.
func (h *Host) announce(ctx context.Context) {
	h.updateHeartbeat()
	msg := h.table.Announcement()
	for _, addr := range h.table.PickLive(announceFanout, newRand(), h.clock.Now()) {
		go h.gossip(ctx, addr, msg)
	}
}

// groupInfos returns the descriptions of the groups that this host owns.
func (h *Host) groupInfos() []wire.GroupInfo {
	var groups []wire.GroupInfo
	for _, lg := range h.allGroups() {
		if d, ok := lg.g.Info(); ok {
			groups = append(groups, d)
		}
	}
	return groups
}

// allGroups returns all groups of the cell, whether this host owns them or not.
func (h *Host) allGroups() []*localGroup {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]*localGroup, 0, len(h.groups))
	for _, lg := range h.groups {
		list = append(list, lg)
	}
	return list
}

// hostListLoop polls the platform's host list.
func (h *Host) hostListLoop(ctx context.Context) {
	runEvery(ctx, h.settings.Platform.HostsEvery, func(ctx context.Context) {
		list, err := h.lister.List(ctx)
		if err != nil {
			h.log.V(1).Info("reading the host list failed", "err", err.Error())
			return
		}
		h.applyHostList(ctx, list)
	})
}

// applyHostList starts the groups that are new in the host list and assigns the workers
// and targets of the list to groups and pools.
func (h *Host) applyHostList(ctx context.Context, list hosts.List) {
	n := h.settings.Platform.GroupsInAz
	workers := map[string][]hosts.Worker{}
	azs := map[string]string{}
	for _, w := range list.Workers {
		name := GroupOf(w.Az, w.Rack, n)
		workers[name] = append(workers[name], w)
		azs[name] = w.Az
	}
	h.mu.Lock()
	h.hostList = list
	if ctx.Err() == nil && !h.leaving {
		for name, az := range azs {
			if h.groups[name] == nil {
				h.groups[name] = h.startGroup(name, az)
			}
		}
	}
	h.mu.Unlock()
	for _, lg := range h.allGroups() {
		lg.g.SetWorkers(workers[lg.g.Name()])
	}
	h.syncPools(list)
}

// startGroup creates a group and starts its loop, which runs until lg.cancel is called.
// This host does not own the group yet.
func (h *Host) startGroup(name, az string) *localGroup {
	ctx, cancel := context.WithCancel(context.Background())
	g := owner.New(owner.Config{
		Name: name, Az: az, Self: group.Owner{Host: h.settings.Host.ID, Addr: h.peerServer.Addr()},
		Log: h.cfg.Log, Cell: h.follower, Remote: &remote{h: h}, Clock: h.clock, Logger: h.cfg.Logger,
		Timing: h.settings.groupTiming(), Policy: h.cfg.Policy,
		Dial: func(w hosts.Worker) worker.Worker {
			return worker.NewClient(worker.ClientConfig{URL: w.URL})
		},
	})
	lg := &localGroup{g: g, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(lg.done)
		g.Run(ctx)
	}()
	return lg
}

// snapshotLoop appends a snapshot of the configuration when one is due. Only the live
// host with the lowest id does so, so that normally one host appends it. The limits are
// the same as for a group's stream.
func (h *Host) snapshotLoop(ctx context.Context) {
	last := h.clock.Now()
	runEvery(ctx, snapshotCheckInterval, func(ctx context.Context) {
		now := h.clock.Now()
		records := h.follower.recordsSinceSnapshot()
		due := records >= h.settings.groupTiming().SnapshotRecords || records > 0 && now.Sub(last) >= h.settings.Timing.Snapshot
		live := h.table.Live(now)
		if !due || len(live) == 0 || live[0].ID != h.settings.Host.ID {
			return
		}
		if err := h.follower.appendSnapshot(ctx); err != nil {
			h.log.Info("appending the snapshot of the configuration failed", "err", err.Error())
			return
		}
		last = now
	})
}

// syncPools creates pools for new groups and services in the host list and sets the
// targets of all pools. A pool without targets is kept.
func (h *Host) syncPools(list hosts.List) {
	targets := map[poolKey][]hosts.Target{}
	azs := map[string]string{}
	for _, t := range list.Targets {
		k := poolKey{group: GroupOf(t.Az, t.Rack, h.settings.Platform.GroupsInAz), service: t.Service}
		targets[k] = append(targets[k], t)
		azs[k.group] = t.Az
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for k := range targets {
		if h.pools[k] == nil && !h.leaving {
			h.pools[k] = route.NewPool(route.PoolConfig{
				Group: k.group, Az: azs[k.group], Service: k.service, Clock: h.clock, Dial: dialTarget,
			})
		}
	}
	for k, p := range h.pools {
		p.SetTargets(targets[k])
	}
}

func dialTarget(t hosts.Target) target.Target {
	return target.NewClient(target.ClientConfig{ID: t.ID, URL: t.URL, Conns: t.Slots})
}

// Stop shuts the host down gracefully: it reports not ready, releases its groups,
// finishes the requests in flight and closes. Requests that are still in flight shortly
// before the deadline of ctx are ended with the outcome that is known by then. It returns
// an error if ctx ends before all HTTP requests have finished. Unfinished requests of
// peers cause no error.
func (h *Host) Stop(ctx context.Context) (err error) {
	defer fault.Annotate(&err, "stop entry host %q", h.settings.Host.ID)
	h.mu.Lock()
	h.leaving = true
	h.mu.Unlock()
	h.api.Leave()
	h.log.Info("stopping")
	h.updateHeartbeat()
	work, cancel := clock.CancelBefore(ctx, maxAnswerTime)
	defer cancel()
	context.AfterFunc(work, h.api.EndRequests)
	h.releaseGroups(work)
	h.drain(work)
	err = h.api.Shutdown(ctx)
	h.close()
	h.log.Info("stopped")
	return err
}

// maxAnswerTime is how long before the end of a stop the requests in flight are ended.
// It is time for their responses to be written by a host with little CPU.
const maxAnswerTime = time.Second

// releaseGroups stops the loops of all groups, which releases the owned ones, and waits
// until the loops have ended or ctx ends.
func (h *Host) releaseGroups(ctx context.Context) {
	list := h.allGroups()
	for _, lg := range list {
		lg.cancel()
	}
	for _, lg := range list {
		select {
		case <-lg.done:
		case <-ctx.Done():
		}
	}
}

const drainPollInterval = 20 * time.Millisecond

// drain waits for NotReady or two gossip intervals, whichever is longer, so that the
// load balancer and the peers detect that this host is leaving, and until h.inFlight is
// 0. It returns early if ctx ends.
func (h *Host) drain(ctx context.Context) {
	earliestEnd := h.clock.Now().Add(max(h.settings.Timing.NotReady, 2*h.settings.Timing.Gossip))
	for {
		h.mu.Lock()
		busy := h.inFlight
		h.mu.Unlock()
		if busy == 0 && h.clock.Now().After(earliestEnd) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainPollInterval):
		}
	}
}

// close stops the loops and closes the pools and the connections to peers.
func (h *Host) close() {
	if h.cancel != nil {
		h.cancel()
		h.loops.Wait()
	}
	for _, p := range h.pools {
		p.Close()
	}
	h.peerConns.Close()
	if h.peerServer != nil {
		h.peerServer.Close()
	}
}

// Kill stops the host immediately, as in a crash: it releases no group and closes the
// connections of callers and peers. Tests and a failed Start use it.
func (h *Host) Kill() {
	if h.api != nil {
		h.api.Close()
	}
	if h.peerServer != nil {
		h.peerConns.Close()
		h.peerServer.Close()
	}
	if h.cancel != nil {
		h.cancel()
	}
	for _, lg := range h.allGroups() {
		lg.g.Abort()
		lg.cancel()
	}
}

// SetBlocked blocks the connection from this host to a peer's address if on is
// true, and unblocks it otherwise. Tests use it to simulate network failures.
func (h *Host) SetBlocked(addr string, on bool) { h.peerConns.SetBlocked(addr, on) }
