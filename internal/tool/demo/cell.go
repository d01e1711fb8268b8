// Package demo runs a scenario in one process: the stand-ins of the platform,
// the entry hosts, the work that arrives and the faults that strike, all on
// real sockets of the loopback address. It ends with the measures of the run
// and a verdict on each promise.
//
// # Usage
//
//	report, err := demo.Run(ctx, demo.Config{Scene: s, Progress: os.Stderr})
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
	Scene    scene.Scene
	Progress io.Writer // gets a line now and then; nil for none
	Logger   logr.Logger
	Policy   queue.Policy // nil means queue.Fair
}

// cell is the running parts of a scenario.
type cell struct {
	scene scene.Scene
	log   *fakes.Log
	fleet *fakes.Fleet
	execs *fakes.Execs
	slots []*slot
}

// slot is the place of one entry host, which may be filled by one process
// after another.
type slot struct {
	settings entry.Settings
	gate     *gate
	policy   queue.Policy

	mu    sync.Mutex
	host  *entry.Host // nil while nothing runs
	ready atomic.Bool
	past  sent // of earlier processes
}

// gate is a log that can be cut off from one entry host.
type gate struct {
	stream.Log
	cut atomic.Bool
}

const cutDelay = 500 * time.Millisecond

func (g *gate) blocked(ctx context.Context) error {
	if !g.cut.Load() {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(cutDelay):
	}
	return fault.New(fault.Unavailable, fault.Unknown, "the log is cut off")
}

// Append implements stream.Log.
func (g *gate) Append(ctx context.Context, name string, data []byte) (int64, error) {
	if err := g.blocked(ctx); err != nil {
		return 0, err
	}
	return g.Log.Append(ctx, name, data)
}

// Read implements stream.Log.
func (g *gate) Read(ctx context.Context, req stream.ReadRequest) (stream.Page, error) {
	if err := g.blocked(ctx); err != nil {
		return stream.Page{}, err
	}
	return g.Log.Read(ctx, req)
}

// startCell starts the stand-ins and the entry hosts.
func startCell(cfg Config) (c *cell, err error) {
	s := cfg.Scene
	defer fault.Note(&err, "start cell %q", s.Cell.Name)
	c = &cell{scene: s}
	defer func() {
		if err != nil {
			c.close()
		}
	}()
	const any = "127.0.0.1:0"
	if c.log, err = fakes.StartLog(fakes.LogConfig{Addr: any, AppendsPerSecond: s.Cell.Appends}); err != nil {
		return c, err
	}
	if c.fleet, err = fakes.StartFleet(fakes.FleetConfig{Addr: any, Workers: fakes.Workers(fakes.GridConfig{
		Azs: s.Cell.Azs, Workers: s.Cell.Workers, RackSize: s.Cell.RackSize,
		CPU: s.Cell.CPU, Mem: s.Cell.Mem, Accel: s.Cell.Accel, AccelEvery: s.Cell.AccelEvery,
	})}); err != nil {
		return c, err
	}
	if c.execs, err = fakes.StartExecs(fakes.ExecConfig{
		Addr: any, WorkMs: s.Cell.CallWork.Milliseconds(),
		Targets: fakes.Targets(fakes.TargetsConfig{
			Service: s.Cell.Service, Azs: s.Cell.Azs, Count: s.Cell.Executors, Slots: s.Cell.Slots, Conns: s.Cell.Conns,
		}),
	}); err != nil {
		return c, err
	}
	return c, c.startHosts(cfg)
}

func (c *cell) startHosts(cfg Config) error {
	var first string
	for i := range c.scene.Cell.Hosts {
		text := fmt.Sprintf("[host]\nid = e%d\naz = %s\nlisten = 127.0.0.1:0\npeer = 127.0.0.1:1\npeers = %s\n"+
			"[platform]\nlog = %s\nhostLists = %s, %s\n[timing]\nrenew = 1s\nlease = 4s\nmargin = 500ms\n",
			i, c.scene.Cell.Azs[i%len(c.scene.Cell.Azs)], first, c.log.URL(), c.fleet.URL(), c.execs.URL())
		set, err := conf.Parse[entry.Settings]([]byte(text))
		if err != nil {
			return err
		}
		set.Host.Peer = "127.0.0.1:0"
		log := stream.NewClient(stream.ClientConfig{URL: c.log.URL(), Timeout: set.Platform.LogTimeout})
		s := &slot{settings: set, gate: &gate{Log: log}, policy: cfg.Policy}
		c.slots = append(c.slots, s)
		if err := s.start(cfg.Logger); err != nil {
			return err
		}
		first = s.host.Peer()
	}
	return nil
}

// start runs an entry host in the slot, at the addresses of the first one.
func (s *slot) start(logger logr.Logger) error {
	h, err := entry.Start(entry.Config{Settings: s.settings, Logger: logger, Log: s.gate, Policy: s.policy})
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

// take empties the slot and returns the host that was in it.
func (s *slot) take() *entry.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.host
	s.host = nil
	s.ready.Store(false)
	if h != nil {
		s.past = s.past.plus(sentBy(h))
	}
	return h
}

func (s *slot) current() *entry.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.host
}

// sent is the bytes that entry hosts have sent to one another.
type sent struct{ control, work int64 }

func (s sent) plus(o sent) sent { return sent{control: s.control + o.control, work: s.work + o.work} }

func sentBy(h *entry.Host) sent {
	t := h.Dump().Traffic
	return sent{control: t.Control.Out, work: t.Work.Out}
}

// sent returns the bytes that the slot's hosts have sent to peers.
func (s *slot) sent() sent {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.host == nil {
		return s.past
	}
	return s.past.plus(sentBy(s.host))
}

func (s *slot) api() string { return "http://" + s.settings.Host.Listen }

// probe asks the host whether it is ready, as the platform's balancer does.
func (s *slot) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if s.current() == nil {
		s.ready.Store(false)
		return
	}
	_, err := httpd.Exchange[struct{}](ctx, http.MethodGet, s.api()+"/readyz", nil)
	s.ready.Store(err == nil)
}

const (
	probeEvery = 100 * time.Millisecond
	readyBound = 20 * time.Second
)

// balance probes all hosts until ctx ends.
func (c *cell) balance(ctx context.Context) {
	for ctx.Err() == nil {
		for _, s := range c.slots {
			go s.probe(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(probeEvery):
		}
	}
}

// groups returns how many groups the cell's racks form.
func (c *cell) groups() int {
	names := map[string]bool{}
	for _, w := range c.fleet.List() {
		names[entry.GroupOf(w.Az, w.Rack, c.slots[0].settings.Platform.GroupsInAz)] = true
	}
	return len(names)
}

// owned returns how many groups have an owner.
func (c *cell) owned() int {
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

// awaitReady waits until every host is ready and every group has an owner.
func (c *cell) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyBound)
	for {
		ready := 0
		for _, s := range c.slots {
			if s.ready.Load() {
				ready++
			}
		}
		switch {
		case ready == len(c.slots) && c.owned() == c.groups():
			return nil
		case ctx.Err() != nil:
			return ctx.Err()
		case time.Now().After(deadline):
			return fault.New(fault.Unavailable, fault.NotRun, "only %d of %d entry hosts are ready", ready, len(c.slots))
		}
		time.Sleep(probeEvery)
	}
}

// setUp makes the plans, lists and keys of all teams.
func (c *cell) setUp(ctx context.Context) error {
	op := caller.New(caller.Config{API: []string{c.slots[0].api()}, MaxAttempts: 100})
	for _, t := range c.scene.Teams {
		limit := jobs.Size{CPU: int64(t.CPU * 1000), Mem: jobs.Unlimited, Accel: jobs.Unlimited}
		for _, e := range []config.Edit{
			{Kind: config.SetPlan, Name: t.Name, Share: t.Share, Limit: limit},
			{Kind: config.AddAllow, Name: t.Name, Items: []string{"queue:*", "service:*", "az:*"}},
			{Kind: config.GiveKey, Name: t.Name, Team: t.Name, Secret: config.HashSecret(secret)},
		} {
			if _, err := op.Edit(ctx, e); err != nil {
				return err
			}
		}
	}
	return nil
}

// secret is the secret part of every key of a demonstration.
const secret = "demo"

// close ends everything at once.
func (c *cell) close() {
	var wg sync.WaitGroup
	for _, s := range c.slots {
		if h := s.take(); h != nil {
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
