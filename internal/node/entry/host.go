// Package entry is the daemon of an entry host. It takes requests from callers
// and operators over HTTP, exchanges frames with the other entry hosts, and
// runs the groups that it owns.
//
// All entry hosts are equal, and any may disappear at any time. A request that
// arrives at one host is forwarded to the host that owns the job's group, or to
// the one that is responsible for the chosen targets. The first host decides
// who the caller is and whether the request is valid; the owner decides what
// happens to it.
//
// # Usage
//
//	h, err := entry.Start(entry.Config{Settings: settings, Logger: log})
//	...
//	h.Stop(ctx) // graceful: not ready, hand over, finish what is in flight
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

// Config describes a Host.
type Config struct {
	Settings Settings
	Logger   logr.Logger
	Clock    clock.Clock  // nil means the system's
	Log      stream.Log   // nil means the log service of the settings
	Policy   queue.Policy // nil means queue.Fair
}

// Host is a running entry host.
type Host struct {
	cfg     Config
	set     Settings
	log     logr.Logger
	clock   clock.Clock
	api     *httpd.Server
	frames  *frame.Server
	pool    *frame.Pool
	table   *peers.Table
	cell    *follower
	lister  hosts.Lister
	router  *route.Router
	metrics *metrics
	started time.Time

	cancel context.CancelFunc // ends the loops
	loops  sync.WaitGroup

	mu       sync.Mutex
	groups   map[string]*ownedGroup
	pools    map[poolKey]*route.Pool
	list     hosts.List
	leaving  bool
	inFlight int
}

type poolKey struct{ group, service string }

// ownedGroup is a group of the cell, with what decides who should own it.
type ownedGroup struct {
	g       *owner.Group
	cancel  context.CancelFunc
	done    chan struct{}
	noOwner time.Time // since when nobody is known to own it
	away    time.Time // since when another host should own it
}

// Start opens the listeners and joins the cell.
func Start(cfg Config) (h *Host, err error) {
	defer fault.Note(&err, "start entry host %q", cfg.Settings.Host.ID)
	set := cfg.Settings
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	if cfg.Log == nil {
		cfg.Log = stream.NewClient(stream.ClientConfig{URL: set.Platform.Log, Timeout: set.Platform.LogTimeout})
	}
	h = &Host{
		cfg: cfg, set: set, clock: cfg.Clock, started: cfg.Clock.Now(),
		log:    cfg.Logger.WithName("entry").WithValues("host", set.Host.ID),
		pool:   frame.NewPool(frame.PoolConfig{}),
		lister: hosts.NewClient(hosts.ClientConfig{URLs: set.Platform.HostLists}),
		groups: map[string]*ownedGroup{}, pools: map[poolKey]*route.Pool{},
	}
	if err := h.listen(); err != nil {
		h.Kill()
		return nil, err
	}
	h.join()
	return h, nil
}

// listen opens both listeners.
func (h *Host) listen() (err error) {
	h.metrics = newMetrics(h)
	h.api, err = httpd.Listen(httpd.Config{Name: "entry", Addr: h.set.Host.Listen, Routes: h.routes()})
	if err != nil {
		return err
	}
	h.frames = frame.NewServer(frame.ServerConfig{Addr: h.set.Host.Peer})
	h.handlers()
	return h.frames.Listen()
}

// join starts the loops of a host whose listeners are open.
func (h *Host) join() {
	h.table = peers.NewTable(peers.Config{
		Self: wire.Member{
			ID: h.set.Host.ID, Addr: h.frames.Addr(), API: h.api.URL(), Az: h.set.Host.Az,
			Boot: bootNumber(h.clock.Now()),
		},
		SuspectAfter:  h.set.Timing.SuspectAfter,
		ForgetAfter:   forgetMember,
		DescribeEvery: describeEvery,
	})
	machine := config.NewMachine()
	h.cell = &follower{
		log: h.cfg.Log, table: h.table, pool: h.pool, clock: h.clock, logger: h.log, freshFor: h.set.Timing.FreshFor,
		alone:   len(h.set.Host.Peers) == 0,
		machine: machine, replay: &stream.Replay{Stream: config.Stream, Machine: machine}, changed: make(chan struct{}),
	}
	h.router = route.NewRouter(route.RouterConfig{Az: h.set.Host.Az, Forward: h, Rand: newRand()})
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	for _, loop := range []func(context.Context){h.cell.run, h.gossipLoop, h.hostsLoop, h.dutyLoop, h.snapshotLoop} {
		h.loops.Add(1)
		go func() {
			defer h.loops.Done()
			loop(ctx)
		}()
	}
	go func() { _ = h.api.Serve() }()
	h.log.Info("started", "api", h.api.Addr(), "peer", h.frames.Addr(), "az", h.set.Host.Az)
}

// bootNumber orders the lives of one host: units of 50 ms since 2026, which
// take 5 bytes in a heartbeat where milliseconds take 9.
func bootNumber(t time.Time) int64 {
	base := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return t.Sub(base).Milliseconds() / 50
}

const (
	forgetMember  = time.Minute
	announcePeers = 8
	describeEvery = 500 * time.Millisecond
	gossipTimeout = time.Second
	dutyEvery     = 100 * time.Millisecond
	joinGrace     = time.Second // to hear from owners before claiming
	handOverAfter = 3 * time.Second
	claimStagger  = 1500 * time.Millisecond
	snapshotEvery = 5 * time.Second
)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// API returns the base URL for callers.
func (h *Host) API() string { return h.api.URL() }

// Peer returns the address for other entry hosts.
func (h *Host) Peer() string { return h.frames.Addr() }

// ID returns the host's name.
func (h *Host) ID() string { return h.set.Host.ID }

// tick calls fn at the interval until ctx ends.
func tick(ctx context.Context, d time.Duration, fn func(context.Context)) {
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

// gossipLoop raises the heartbeat and exchanges tables with random peers.
func (h *Host) gossipLoop(ctx context.Context) {
	r := newRand()
	tick(ctx, h.set.Timing.Gossip, func(ctx context.Context) {
		h.beat()
		addrs := h.table.Partners(r, h.clock.Now())
		if len(addrs) == 0 && len(h.set.Host.Peers) > 0 {
			addrs = append(addrs, h.set.Host.Peers[r.IntN(len(h.set.Host.Peers))])
		}
		for _, addr := range addrs {
			if addr != h.Peer() {
				go h.gossip(ctx, addr, h.table.Message(addr, h.clock.Now()))
			}
		}
	})
}

// beat raises the host's heartbeat with its present load.
func (h *Host) beat() {
	_, next := h.cell.Age()
	duties, pools := h.ownDuties(), h.ownPools()
	h.mu.Lock()
	leaving := h.leaving
	h.mu.Unlock()
	h.table.Beat(peers.Report{
		Member: wire.Member{Groups: duties, Pools: pools, Leaving: leaving}, CellNext: next, LogAge: h.cell.LogAge(),
	}, h.clock.Now())
}

// gossip sends a message to a peer and takes its answer.
func (h *Host) gossip(ctx context.Context, addr string, msg wire.GossipMsg) {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	a, err := frame.Call(ctx, h.pool, addr, wire.Gossip, msg)
	if err == nil {
		h.table.Merge(a, h.clock.Now())
	}
}

// announce tells some peers at once that this host's groups have changed, so
// that requests find the new owner without waiting for gossip.
func (h *Host) announce(ctx context.Context) {
	h.beat()
	msg := h.table.Announcement()
	for _, addr := range h.table.Pick(announcePeers, newRand(), h.clock.Now()) {
		go h.gossip(ctx, addr, msg)
	}
}

func (h *Host) ownDuties() []wire.Duty {
	var duties []wire.Duty
	for _, og := range h.ownGroups() {
		if d, ok := og.g.Duty(); ok {
			duties = append(duties, d)
		}
	}
	return duties
}

func (h *Host) ownGroups() []*ownedGroup {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]*ownedGroup, 0, len(h.groups))
	for _, og := range h.groups {
		list = append(list, og)
	}
	return list
}

// hostsLoop follows the platform's host list.
func (h *Host) hostsLoop(ctx context.Context) {
	tick(ctx, h.set.Platform.HostsEvery, func(ctx context.Context) {
		list, err := h.lister.List(ctx)
		if err != nil {
			h.log.V(1).Info("host list not read", "err", err.Error())
			return
		}
		h.setHosts(ctx, list)
	})
}

// setHosts divides the host list among the groups and starts groups that are
// new.
func (h *Host) setHosts(ctx context.Context, list hosts.List) {
	n := h.set.Platform.GroupsInAz
	workers := map[string][]hosts.Worker{}
	azs := map[string]string{}
	for _, w := range list.Workers {
		name := GroupOf(w.Az, w.Rack, n)
		workers[name] = append(workers[name], w)
		azs[name] = w.Az
	}
	h.mu.Lock()
	h.list = list
	if ctx.Err() == nil && !h.leaving {
		for name, az := range azs {
			if h.groups[name] == nil {
				h.groups[name] = h.newGroup(name, az)
			}
		}
	}
	h.mu.Unlock()
	for _, og := range h.ownGroups() {
		og.g.SetWorkers(workers[og.g.Name()])
	}
	h.syncPools(list)
}

// newGroup starts a group that this host does not own yet.
func (h *Host) newGroup(name, az string) *ownedGroup {
	ctx, cancel := context.WithCancel(context.Background())
	g := owner.New(owner.Config{
		Name: name, Az: az, Self: group.Holder{Host: h.set.Host.ID, Addr: h.frames.Addr()},
		Log: h.cfg.Log, Cell: h.cell, Remote: &remote{h: h}, Clock: h.clock, Logger: h.cfg.Logger,
		Timing: h.set.owner(), Policy: h.cfg.Policy,
		Dial: func(w hosts.Worker) worker.Worker {
			return worker.NewClient(worker.ClientConfig{URL: w.URL})
		},
	})
	og := &ownedGroup{g: g, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(og.done)
		g.Run(ctx)
	}()
	return og
}

// snapshotLoop has the first live host append snapshots of the configuration.
func (h *Host) snapshotLoop(ctx context.Context) {
	last := h.clock.Now()
	tick(ctx, snapshotEvery, func(ctx context.Context) {
		now := h.clock.Now()
		records := h.cell.sinceSnapshot()
		due := records >= h.set.owner().SnapshotAt || records > 0 && now.Sub(last) >= h.set.Timing.Snapshot
		live := h.table.Live(now)
		if !due || len(live) == 0 || live[0].ID != h.set.Host.ID {
			return
		}
		if err := h.cell.snapshot(ctx); err == nil {
			last = now
		}
	})
}

// syncPools brings the target pools in line with the host list.
func (h *Host) syncPools(list hosts.List) {
	targets := map[poolKey][]hosts.Target{}
	azs := map[string]string{}
	for _, t := range list.Targets {
		k := poolKey{group: GroupOf(t.Az, t.Rack, h.set.Platform.GroupsInAz), service: t.Service}
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

// Stop ends the host gracefully: it stops being ready, hands its groups over,
// finishes the requests in flight and closes. The error says that ctx ended
// before all requests were finished.
func (h *Host) Stop(ctx context.Context) (err error) {
	defer fault.Note(&err, "stop entry host %q", h.set.Host.ID)
	h.mu.Lock()
	h.leaving = true
	h.mu.Unlock()
	h.log.Info("stopping")
	h.beat()
	h.release(ctx)
	h.drain(ctx)
	err = h.api.Shutdown(ctx)
	h.close()
	h.log.Info("stopped")
	return err
}

// release hands all groups over.
func (h *Host) release(ctx context.Context) {
	list := h.ownGroups()
	for _, og := range list {
		og.cancel()
	}
	for _, og := range list {
		select {
		case <-og.done:
		case <-ctx.Done():
		}
	}
}

const drainPoll = 20 * time.Millisecond

// drain waits until the balancer and the peers have seen that this host is
// leaving, and until the calls that peers have forwarded have ended.
func (h *Host) drain(ctx context.Context) {
	quiet := h.clock.Now().Add(max(h.set.Timing.NotReady, 2*h.set.Timing.Gossip))
	for {
		h.mu.Lock()
		busy := h.inFlight
		h.mu.Unlock()
		if busy == 0 && h.clock.Now().After(quiet) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainPoll):
		}
	}
}

// close ends loops and connections.
func (h *Host) close() {
	if h.cancel != nil {
		h.cancel()
		h.loops.Wait()
	}
	for _, p := range h.pools {
		p.Close()
	}
	h.pool.Close()
	if h.frames != nil {
		h.frames.Close()
	}
}

// Kill ends the host at once, as a crash would: nothing is handed over and
// every connection breaks.
func (h *Host) Kill() {
	if h.api != nil {
		h.api.Close()
	}
	if h.frames != nil {
		h.pool.Close()
		h.frames.Close()
	}
	if h.cancel != nil {
		h.cancel()
	}
	for _, og := range h.ownGroups() {
		og.g.Abort()
		og.cancel()
	}
}

// Cut breaks the frames from this host to a peer's address, or mends them.
func (h *Host) Cut(addr string, on bool) { h.pool.Cut(addr, on) }
