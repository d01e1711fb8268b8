// Package demo runs a scenario in one process: stand-ins for the platform's
// services, the entry hosts, a load generator and fault injection, all connected
// by loopback sockets. It reports the measurements of the run and a verdict on
// each guarantee.
//
// # Usage
//
//	report, err := demo.Run(ctx, demo.Config{Scenario: s, Progress: os.Stderr})
//	report.Print(os.Stdout)
package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"lagooncourse/internal/base/conf"
	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/httpd"
	"lagooncourse/internal/cell/config"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/queue"
	"lagooncourse/internal/node/entry"
	"lagooncourse/internal/plat/fakes"
	"lagooncourse/internal/plat/stream"
	"lagooncourse/internal/tool/caller"
	"lagooncourse/internal/tool/scene"
)

// Config describes a run.
type Config struct {
	Scenario scene.Scenario
	Progress io.Writer // receives periodic progress lines; nil for none
	Logger   logr.Logger
	Policy   queue.Policy // nil means queue.Fair
}

// cell is a running cell: the stand-ins for the platform's services and the entry
// hosts.
type cell struct {
	scenario scene.Scenario
	log      *fakes.Log
	fleet    *fakes.Fleet
	execs    *fakes.Execs
	slots    []*hostSlot
}

// hostSlot holds one entry host. A restart keeps the slot and its addresses.
type hostSlot struct {
	settings  entry.Settings
	faultyLog *faultyLog
	policy    queue.Policy

	mu      sync.Mutex
	host    *entry.Host // nil while the entry host is down
	ready   atomic.Bool
	earlier peerBytes // sent by earlier entry hosts in this slot
}

// faultyLog is one entry host's log client, with an injectable network partition.
type faultyLog struct {
	stream.Log
	partitioned atomic.Bool
}

const partitionDelay = 500 * time.Millisecond

// checkPartition returns an error after partitionDelay if the log is partitioned.
func (f *faultyLog) checkPartition(ctx context.Context) error {
	if !f.partitioned.Load() {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(partitionDelay):
	}
	return fault.New(fault.Unavailable, fault.Unknown, "the log is partitioned from this entry host")
}

// Append implements stream.Log.
func (f *faultyLog) Append(ctx context.Context, name string, data []byte) (int64, error) {
	if err := f.checkPartition(ctx); err != nil {
		return 0, err
	}
	return f.Log.Append(ctx, name, data)
}

// Read implements stream.Log.
func (f *faultyLog) Read(ctx context.Context, req stream.ReadRequest) (stream.Page, error) {
	if err := f.checkPartition(ctx); err != nil {
		return stream.Page{}, err
	}
	return f.Log.Read(ctx, req)
}

// startCell starts the stand-ins and the entry hosts of a scenario.
func startCell(cfg Config) (c *cell, err error) {
	s := cfg.Scenario
	defer fault.Annotate(&err, "start cell %q", s.Cell.Name)
	c = &cell{scenario: s}
	defer func() {
		if err != nil {
			c.close()
		}
	}()
	const anyPort = "127.0.0.1:0"
	if c.log, err = fakes.StartLog(fakes.LogConfig{Addr: anyPort, AppendsPerSecond: s.Cell.Appends}); err != nil {
		return c, err
	}
	if c.fleet, err = fakes.StartFleet(fakes.FleetConfig{Addr: anyPort, Workers: fakes.Workers(fakes.GridConfig{
		Azs: s.Cell.Azs, Workers: s.Cell.Workers, RackSize: s.Cell.RackSize,
		CPU: s.Cell.CPU, Mem: s.Cell.Mem, Accel: s.Cell.Accel, AccelEvery: s.Cell.AccelEvery,
	})}); err != nil {
		return c, err
	}
	if c.execs, err = fakes.StartExecs(fakes.ExecConfig{
		Addr: anyPort, WorkMs: s.Cell.CallWork.Milliseconds(),
		Targets: fakes.Targets(fakes.TargetsConfig{
			Service: s.Cell.Service, Azs: s.Cell.Azs, Count: s.Cell.Executors, Slots: s.Cell.Slots, Conns: s.Cell.Conns,
		}),
	}); err != nil {
		return c, err
	}
	return c, c.startHosts(cfg)
}

func (c *cell) startHosts(cfg Config) error {
	var previous string // peer address of the entry host started before
	for i := range c.scenario.Cell.Hosts {
		text := fmt.Sprintf("[host]\nid = e%d\naz = %s\nlisten = 127.0.0.1:0\npeer = 127.0.0.1:1\npeers = %s\n"+
			"[platform]\nlog = %s\nhostLists = %s, %s\n[timing]\nrenew = 1s\nlease = 4s\nmargin = 500ms\n",
			i, c.scenario.Cell.Azs[i%len(c.scenario.Cell.Azs)], previous, c.log.URL(), c.fleet.URL(), c.execs.URL())
		set, err := conf.Parse[entry.Settings]([]byte(text))
		if err != nil {
			return err
		}
		set.Host.Peer = "127.0.0.1:0" // any port; the text names another, because the check requires listen and peer to differ
		log := stream.NewClient(stream.ClientConfig{URL: c.log.URL(), Timeout: set.Platform.LogTimeout})
		s := &hostSlot{settings: set, faultyLog: &faultyLog{Log: log}, policy: cfg.Policy}
		c.slots = append(c.slots, s)
		if err := s.start(cfg.Logger); err != nil {
			return err
		}
		previous = s.host.Peer()
	}
	return nil
}

// start runs an entry host in the slot. Later ones reuse the addresses of the
// first.
func (s *hostSlot) start(logger logr.Logger) error {
	h, err := entry.Start(entry.Config{Settings: s.settings, Logger: logger, Log: s.faultyLog, Policy: s.policy})
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.host = h
	s.settings.Host.Listen = h.API()[len("http://"):]
	s.settings.Host.Peer = h.Peer()
	return nil
}

// removeHost empties the slot and returns the entry host that was in it.
func (s *hostSlot) removeHost() *entry.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.host
	s.host = nil
	s.ready.Store(false)
	if h != nil {
		s.earlier = s.earlier.plus(bytesSentBy(h))
	}
	return h
}

func (s *hostSlot) current() *entry.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.host
}

// peerBytes counts the bytes that entry hosts sent to each other.
type peerBytes struct{ control, work int64 }

func (s peerBytes) plus(o peerBytes) peerBytes {
	return peerBytes{control: s.control + o.control, work: s.work + o.work}
}

func bytesSentBy(h *entry.Host) peerBytes {
	t := h.Dump().Traffic
	return peerBytes{control: t.Control.Out, work: t.Work.Out}
}

// peerBytes returns the bytes that the slot's entry hosts have sent to peers.
func (s *hostSlot) peerBytes() peerBytes {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.host == nil {
		return s.earlier
	}
	return s.earlier.plus(bytesSentBy(s.host))
}

func (s *hostSlot) api() string { return "http://" + s.settings.Host.Listen }

// probe updates the slot's readiness with a health check, as the platform's load
// balancer does.
func (s *hostSlot) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if s.current() == nil {
		s.ready.Store(false)
		return
	}
	_, err := httpd.Call[struct{}](ctx, http.MethodGet, s.api()+"/readyz", nil)
	s.ready.Store(err == nil)
}

const (
	probeInterval = 100 * time.Millisecond
	readyTimeout  = 20 * time.Second
)

// probeHosts probes all entry hosts until ctx ends.
func (c *cell) probeHosts(ctx context.Context) {
	for ctx.Err() == nil {
		for _, s := range c.slots {
			go s.probe(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval):
		}
	}
}

// groupCount returns the number of groups that the cell's racks form.
func (c *cell) groupCount() int {
	names := map[string]bool{}
	for _, w := range c.fleet.List() {
		names[entry.GroupOf(w.Az, w.Rack, c.slots[0].settings.Platform.GroupsInAz)] = true
	}
	return len(names)
}

// ownedGroups returns the number of groups that have an owner.
func (c *cell) ownedGroups() int {
	n := 0
	for _, s := range c.slots {
		for _, g := range s.current().Dump().Groups {
			if g.Epoch > 0 {
				n++
			}
		}
	}
	return n
}

// awaitReady waits until every entry host is ready and every group has an owner.
func (c *cell) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		ready := 0
		for _, s := range c.slots {
			if s.ready.Load() {
				ready++
			}
		}
		switch {
		case ready == len(c.slots) && c.ownedGroups() == c.groupCount():
			return nil
		case ctx.Err() != nil:
			return ctx.Err()
		case time.Now().After(deadline):
			return fault.New(fault.Unavailable, fault.NotRun, "only %d of %d entry hosts are ready", ready, len(c.slots))
		}
		time.Sleep(probeInterval)
	}
}

// createTeams creates the plans, allow lists and keys of all teams.
func (c *cell) createTeams(ctx context.Context) error {
	op := caller.New(caller.Config{API: []string{c.slots[0].api()}, MaxAttempts: 100})
	for _, t := range c.scenario.Teams {
		limit := jobs.Size{CPU: int64(t.CPU * 1000), Mem: jobs.Unlimited, Accel: jobs.Unlimited}
		for _, e := range []config.Edit{
			{Operation: config.SetPlan, Name: t.Name, Share: t.Share, Limit: limit},
			{Operation: config.AddAllow, Name: t.Name, Items: []string{"queue:*", "service:*", "az:*"}},
			{Operation: config.IssueKey, Name: t.Name, Team: t.Name, SecretHash: config.HashSecret(keySecret)},
		} {
			if _, err := op.Edit(ctx, e); err != nil {
				return err
			}
		}
	}
	return nil
}

// keySecret is the secret part of every team's key.
const keySecret = "demo"

// close kills all entry hosts and closes the stand-ins.
func (c *cell) close() {
	var wg sync.WaitGroup
	for _, s := range c.slots {
		if h := s.removeHost(); h != nil {
			wg.Add(1)
			go func() {
				defer wg.Done()
				h.Kill()
			}()
		}
	}
	wg.Wait()
	if c.execs != nil {
		c.execs.Close()
	}
	if c.fleet != nil {
		c.fleet.Close()
	}
	if c.log != nil {
		c.log.Close()
	}
}
