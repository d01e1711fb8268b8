package demo

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"lagooncourse/internal/cell/config"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/plat/fakes"
	"lagooncourse/internal/plat/hosts"
	"lagooncourse/internal/tool/caller"
	"lagooncourse/internal/tool/judge"
	"lagooncourse/internal/tool/scene"
)

// run holds the state of one demonstration run.
type run struct {
	cfg       Config
	c         *cell
	generator *generator

	mu      sync.Mutex
	history judge.History
	wg      sync.WaitGroup // fault injections and edit watches in progress
}

// Run runs the scenario and returns its report. A violated guarantee appears in
// the report and is not an error.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	c, err := startCell(cfg)
	if err != nil {
		return nil, err
	}
	defer c.close()
	bctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.probeHosts(bctx)
	if err := c.awaitReady(ctx); err != nil {
		return nil, err
	}
	if err := c.createTeams(ctx); err != nil {
		return nil, err
	}
	r := &run{cfg: cfg, c: c, generator: &generator{c: c, start: time.Now(), cancelled: map[jobs.ID]bool{}}}
	return r.execute(bctx)
}

func (r *run) execute(ctx context.Context) (*Report, error) {
	s := r.cfg.Scenario
	before := r.c.counters()
	watch, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	go r.watchConfig(watch)
	go r.progress(watch)
	loadCtx, cancel := context.WithTimeout(ctx, s.Cell.Run)
	defer cancel()
	go r.injectFaults(ctx)
	r.generator.run(loadCtx)
	after := r.c.counters()
	r.wg.Wait()
	r.generator.awaitFinalStates(ctx, s.Cell.Settle)
	stopWatch()
	r.printUnfinished(ctx)
	r.collect()
	return r.report(before, after), ctx.Err()
}

// printUnfinished prints the state of accepted jobs that have not ended.
func (r *run) printUnfinished(ctx context.Context) {
	if r.cfg.Progress == nil {
		return
	}
	for _, j := range r.generator.jobs {
		if endedOrParked(j.Final) {
			continue
		}
		op := caller.New(caller.Config{API: []string{r.c.slots[r.generator.nextHost()].api()}})
		a, err := op.Status(ctx, j.ID)
		fmt.Fprintf(r.cfg.Progress, "%s: job %s has not ended: %v, tasks %+v, why %q\n", r.cfg.Scenario.Cell.Name, j.ID, err, a.Tasks, a.Why)
	}
}

// collect copies the records of the stand-ins and the load generator into the
// history.
func (r *run) collect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.cfg.Scenario
	r.history.EndMs = nowMs()
	r.history.Runs, r.history.Executions = r.c.fleet.Runs(), r.c.execs.Executions()
	r.history.Jobs, r.history.Calls = r.generator.jobs, r.generator.calls
	r.history.Capacity, r.history.Limits = map[string]jobs.Size{}, map[string]jobs.Size{}
	for _, w := range r.c.fleet.List() {
		r.history.Capacity[w.ID] = jobs.Size{CPU: w.CPU, Mem: w.Mem, Accel: w.Accel}
	}
	for _, t := range s.Teams {
		r.history.Limits[t.Name] = jobs.Size{CPU: int64(t.CPU * 1000), Mem: jobs.Unlimited, Accel: jobs.Unlimited}
	}
	r.history.SlotPeak, r.history.Slots = r.c.execs.Peaks().Slots, s.Cell.Slots
}

const progressInterval = 2 * time.Second

// progress prints a progress line at regular intervals.
func (r *run) progress(ctx context.Context) {
	if r.cfg.Progress == nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(progressInterval):
		}
		r.generator.mu.Lock()
		nj, nc := len(r.generator.jobs), len(r.generator.calls)
		r.generator.mu.Unlock()
		fmt.Fprintf(r.cfg.Progress, "%s: %4.1f s, %d jobs accepted, %d calls ended, %d task starts\n",
			r.cfg.Scenario.Cell.Name, time.Since(r.generator.start).Seconds(), nj, nc, len(r.c.fleet.Runs()))
	}
}

// injectFaults injects the scenario's faults in the order of their times.
func (r *run) injectFaults(ctx context.Context) {
	list := append([]scene.Fault(nil), r.cfg.Scenario.Faults...)
	slices.SortStableFunc(list, func(a, b scene.Fault) int { return int(a.At - b.At) })
	r.wg.Add(len(list))
	for _, f := range list {
		select {
		case <-ctx.Done():
			r.wg.Done()
			continue
		case <-time.After(time.Until(r.generator.start.Add(f.At))):
		}
		go func() {
			defer r.wg.Done()
			r.inject(ctx, f)
		}()
	}
}

// inject injects one fault.
func (r *run) inject(ctx context.Context, f scene.Fault) {
	switch f.Kind {
	case scene.LogOut:
		r.c.log.Set(fakes.LogFaults{Outage: true})
	case scene.LogBack:
		r.c.log.Set(fakes.LogFaults{})
	case scene.LogSlow:
		r.c.log.Set(fakes.LogFaults{SlowMs: int64(f.Count)})
	case scene.LoseAnswers:
		r.c.log.Set(fakes.LogFaults{LoseAnswers: f.Count})
	case scene.BadWorker:
		r.c.fleet.Set(fakes.WorkerFaults{Worker: f.Subject, FailAll: true})
	case scene.LoseWorker:
		r.c.fleet.Set(fakes.WorkerFaults{Worker: f.Subject, Dead: true})
	case scene.MendWorker:
		r.c.fleet.Set(fakes.WorkerFaults{Worker: f.Subject})
	case scene.AzOut, scene.AzBack:
		r.changeAz(ctx, f)
	case scene.WithdrawKey:
		r.withdrawKey(ctx, f.Subject)
	case scene.CancelWork:
		r.generator.cancel(f.Subject)
	case scene.LeaveTarget:
		r.c.execs.Set(fakes.ExecFaults{Target: f.Subject, State: hosts.Leaving})
		r.record(func(hist *judge.History) {
			hist.Leaving = append(hist.Leaving, judge.Interval{Name: f.Subject, StartMs: nowMs()})
		})
	case scene.CrossAnswer:
		r.c.execs.Set(fakes.ExecFaults{Target: f.Subject, Cross: true})
	case scene.CutAnswer:
		r.c.execs.Set(fakes.ExecFaults{Target: f.Subject, Cut: true})
	case scene.MendTarget:
		r.c.execs.Set(fakes.ExecFaults{Target: f.Subject})
	default:
		r.injectHostFault(ctx, f)
	}
}

// injectHostFault injects a fault into an entry host.
func (r *run) injectHostFault(ctx context.Context, f scene.Fault) {
	n, err := strconv.Atoi(f.Subject)
	if err != nil || n < 0 || n >= len(r.c.slots) {
		return
	}
	s := r.c.slots[n]
	switch f.Kind {
	case scene.KillHost:
		if h := s.removeHost(); h != nil {
			h.Kill()
		}
	case scene.StartHost:
		if s.current() == nil {
			_ = s.start(r.cfg.Logger)
		}
	case scene.StopHost:
		r.restartHost(ctx, n)
	case scene.CutHost, scene.MendHost:
		r.partitionHost(s, f.Kind == scene.CutHost)
	}
}

// restartHost stops an entry host gracefully and starts a new one in its slot.
func (r *run) restartHost(ctx context.Context, n int) {
	s := r.c.slots[n]
	h := s.current()
	if h == nil {
		return
	}
	start := nowMs()
	ctx, cancel := context.WithTimeout(ctx, s.settings.Timing.Stop)
	defer cancel()
	_ = h.Stop(ctx)
	s.removeHost()
	r.record(func(hist *judge.History) {
		hist.Stops = append(hist.Stops, judge.Interval{Name: strconv.Itoa(n), StartMs: start, EndMs: nowMs()})
	})
	_ = s.start(r.cfg.Logger)
}

// partitionHost starts or heals a network partition between one entry host and
// both the log and the other entry hosts. Workers and executors stay reachable.
func (r *run) partitionHost(s *hostSlot, on bool) {
	s.faultyLog.partitioned.Store(on)
	h := s.current()
	for _, other := range r.c.slots {
		o := other.current()
		if o == nil || o == h || h == nil {
			continue
		}
		h.SetBlocked(o.Peer(), on)
		o.SetBlocked(h.Peer(), on)
	}
}

func (r *run) record(fn func(*judge.History)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn(&r.history)
}

// edit sends an operator's edit to any ready entry host and returns the time at
// which it was accepted.
func (r *run) edit(ctx context.Context, e config.Edit) (acceptedMs int64, ok bool) {
	op := caller.New(caller.Config{API: []string{r.c.slots[r.generator.nextHost()].api()}, MaxAttempts: 50})
	conf, err := op.Config(ctx)
	if err != nil {
		return 0, false
	}
	e.Base = (&config.State{Plans: conf.Plans, Allows: conf.Allows, Keys: conf.Keys, Azs: conf.Azs}).VersionOf(e.Object())
	res, err := op.Edit(ctx, e)
	if err != nil {
		return 0, false
	}
	at := nowMs()
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		r.watchEdit(ctx, e.Object(), res.Offset, at)
	}()
	return at, true
}

func (r *run) changeAz(ctx context.Context, f scene.Fault) {
	kind := config.TakeAzOut
	if f.Kind == scene.AzBack {
		kind = config.ReturnAz
	}
	at, ok := r.edit(ctx, config.Edit{Operation: kind, Name: f.Subject, By: "demo"})
	if !ok {
		return
	}
	r.record(func(hist *judge.History) {
		if kind == config.TakeAzOut {
			hist.AzOut = append(hist.AzOut, judge.Interval{Name: f.Subject, StartMs: at})
			return
		}
		for i := range hist.AzOut {
			if hist.AzOut[i].Name == f.Subject && hist.AzOut[i].EndMs == 0 {
				hist.AzOut[i].EndMs = at
			}
		}
	})
}

func (r *run) withdrawKey(ctx context.Context, team string) {
	if at, ok := r.edit(ctx, config.Edit{Operation: config.RevokeKey, Name: team, By: "demo"}); ok {
		r.record(func(hist *judge.History) {
			hist.Withdrawn = append(hist.Withdrawn, judge.Interval{Name: team, StartMs: at})
		})
	}
}

const (
	watchInterval = 50 * time.Millisecond
	watchTimeout  = 10 * time.Second
)

// watchEdit records when every ready entry host has applied an accepted edit.
func (r *run) watchEdit(ctx context.Context, name string, offset, acceptedMs int64) {
	ed := judge.Edit{Name: name, AcceptedMs: acceptedMs}
	for nowMs()-acceptedMs < watchTimeout.Milliseconds() && ctx.Err() == nil {
		if r.inForce(offset) {
			ed.InForceMs = nowMs()
			break
		}
		time.Sleep(watchInterval)
	}
	r.record(func(hist *judge.History) { hist.Edits = append(hist.Edits, ed) })
}

// inForce reports whether every ready entry host has applied the configuration
// log through the offset. Hosts that are not ready refuse requests.
func (r *run) inForce(offset int64) bool {
	for _, s := range r.c.slots {
		if h := s.current(); h != nil && h.Ready() == nil && h.Dump().ConfigNext <= offset {
			return false
		}
	}
	return true
}

// watchConfig records regressions of the entry hosts' configuration.
func (r *run) watchConfig(ctx context.Context) {
	newest := map[*hostSlot]int64{}
	for ctx.Err() == nil {
		for i, s := range r.c.slots {
			h := s.current()
			if h == nil || h.Ready() != nil {
				continue
			}
			next := h.Dump().ConfigNext
			if next < newest[s] {
				r.record(func(hist *judge.History) {
					hist.Reverted = append(hist.Reverted, fmt.Sprintf("entry host %d went back from configuration offset %d to %d", i, newest[s], next))
				})
			}
			newest[s] = next
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchInterval):
		}
	}
}
