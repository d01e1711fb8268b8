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

// run is the state of one run.
type run struct {
	cfg  Config
	c    *cell
	load *load

	mu sync.Mutex
	ev judge.Evidence
	wg sync.WaitGroup // faults under way
}

// Run runs the scenario and reports on it. A broken promise is part of the
// report and no error.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	c, err := startCell(cfg)
	if err != nil {
		return nil, err
	}
	defer c.close()
	bctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.balance(bctx)
	if err := c.awaitReady(ctx); err != nil {
		return nil, err
	}
	if err := c.setUp(ctx); err != nil {
		return nil, err
	}
	r := &run{cfg: cfg, c: c, load: &load{c: c, start: time.Now(), cancelled: map[jobs.ID]bool{}}}
	return r.all(bctx)
}

func (r *run) all(ctx context.Context) (*Report, error) {
	s := r.cfg.Scene
	before := r.c.costs()
	watch, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	go r.watchConfig(watch)
	go r.progress(watch)
	loadCtx, cancel := context.WithTimeout(ctx, s.Cell.Run)
	defer cancel()
	go r.faults(ctx)
	r.load.run(loadCtx)
	after := r.c.costs()
	r.wg.Wait()
	r.load.settle(ctx, s.Cell.Settle)
	stopWatch()
	r.showLeft(ctx)
	r.collect()
	return r.report(before, after), ctx.Err()
}

// showLeft prints what the system says about accepted jobs that have not ended.
func (r *run) showLeft(ctx context.Context) {
	if r.cfg.Progress == nil {
		return
	}
	for _, j := range r.load.jobs {
		if ended(j.Final) {
			continue
		}
		op := caller.New(caller.Config{API: []string{r.c.slots[r.load.pick()].api()}})
		a, err := op.Status(ctx, j.ID)
		fmt.Fprintf(r.cfg.Progress, "%s: job %s has not ended: %v, tasks %+v, why %q\n", r.cfg.Scene.Cell.Name, j.ID, err, a.Tasks, a.Why)
	}
}

// collect gathers what the platform recorded.
func (r *run) collect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.cfg.Scene
	r.ev.EndMs = nowMs()
	r.ev.Runs, r.ev.Executions = r.c.fleet.Runs(), r.c.execs.Executions()
	r.ev.Jobs, r.ev.Calls = r.load.jobs, r.load.calls
	r.ev.Capacity, r.ev.Limits = map[string]jobs.Size{}, map[string]jobs.Size{}
	for _, w := range r.c.fleet.List() {
		r.ev.Capacity[w.ID] = jobs.Size{CPU: w.CPU, Mem: w.Mem, Accel: w.Accel}
	}
	for _, t := range s.Teams {
		r.ev.Limits[t.Name] = jobs.Size{CPU: int64(t.CPU * 1000), Mem: jobs.Unlimited, Accel: jobs.Unlimited}
	}
	r.ev.SlotPeak, r.ev.Slots = r.c.execs.Peaks().Slots, s.Cell.Slots
}

const progressEvery = 2 * time.Second

// progress prints a line now and then.
func (r *run) progress(ctx context.Context) {
	if r.cfg.Progress == nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(progressEvery):
		}
		r.load.mu.Lock()
		nj, nc := len(r.load.jobs), len(r.load.calls)
		r.load.mu.Unlock()
		fmt.Fprintf(r.cfg.Progress, "%s: %4.1f s, %d jobs accepted, %d calls ended, %d task starts\n",
			r.cfg.Scene.Cell.Name, time.Since(r.load.start).Seconds(), nj, nc, len(r.c.fleet.Runs()))
	}
}

// faults makes the scenario's faults happen in the order of their times.
func (r *run) faults(ctx context.Context) {
	list := append([]scene.Fault(nil), r.cfg.Scene.Faults...)
	slices.SortStableFunc(list, func(a, b scene.Fault) int { return int(a.At - b.At) })
	r.wg.Add(len(list))
	for _, f := range list {
		select {
		case <-ctx.Done():
			r.wg.Done()
			continue
		case <-time.After(time.Until(r.load.start.Add(f.At))):
		}
		go func() {
			defer r.wg.Done()
			r.strike(ctx, f)
		}()
	}
}

// strike makes one fault happen.
func (r *run) strike(ctx context.Context, f scene.Fault) {
	switch f.Kind {
	case scene.LogOut:
		r.c.log.Set(fakes.LogSwitch{Outage: true})
	case scene.LogBack:
		r.c.log.Set(fakes.LogSwitch{})
	case scene.LogSlow:
		r.c.log.Set(fakes.LogSwitch{SlowMs: int64(f.N)})
	case scene.LoseAnswers:
		r.c.log.Set(fakes.LogSwitch{LoseAnswers: f.N})
	case scene.BadWorker:
		r.c.fleet.Set(fakes.WorkerSwitch{Worker: f.Of, FailAll: true})
	case scene.LoseWorker:
		r.c.fleet.Set(fakes.WorkerSwitch{Worker: f.Of, Dead: true})
	case scene.MendWorker:
		r.c.fleet.Set(fakes.WorkerSwitch{Worker: f.Of})
	case scene.AzOut, scene.AzBack:
		r.changeAz(ctx, f)
	case scene.Withdraw:
		r.withdraw(ctx, f.Of)
	case scene.CancelAll:
		r.load.cancel(f.Of)
	case scene.LeaveTarget:
		r.c.execs.Set(fakes.ExecSwitch{Target: f.Of, State: hosts.Leaving})
		r.note(func(e *judge.Evidence) { e.Leaving = append(e.Leaving, judge.Span{Name: f.Of, StartMs: nowMs()}) })
	case scene.CrossAnswer:
		r.c.execs.Set(fakes.ExecSwitch{Target: f.Of, Cross: true})
	case scene.CutAnswer:
		r.c.execs.Set(fakes.ExecSwitch{Target: f.Of, Cut: true})
	case scene.MendTarget:
		r.c.execs.Set(fakes.ExecSwitch{Target: f.Of})
	default:
		r.strikeHost(ctx, f)
	}
}

// strikeHost makes a fault of an entry host happen.
func (r *run) strikeHost(ctx context.Context, f scene.Fault) {
	n, err := strconv.Atoi(f.Of)
	if err != nil || n < 0 || n >= len(r.c.slots) {
		return
	}
	s := r.c.slots[n]
	switch f.Kind {
	case scene.KillHost:
		if h := s.take(); h != nil {
			h.Kill()
		}
	case scene.StartHost:
		if s.current() == nil {
			_ = s.start(r.cfg.Logger)
		}
	case scene.StopHost:
		r.stopHost(ctx, n)
	case scene.CutHost, scene.MendHost:
		r.cutHost(s, f.Kind == scene.CutHost)
	}
}

// stopHost replaces an entry host by a planned stop and a new process.
func (r *run) stopHost(ctx context.Context, n int) {
	s := r.c.slots[n]
	h := s.current()
	if h == nil {
		return
	}
	start := nowMs()
	ctx, cancel := context.WithTimeout(ctx, s.settings.Timing.Stop)
	defer cancel()
	_ = h.Stop(ctx)
	s.take()
	r.note(func(e *judge.Evidence) {
		e.Stops = append(e.Stops, judge.Span{Name: strconv.Itoa(n), StartMs: start, EndMs: nowMs()})
	})
	_ = s.start(r.cfg.Logger)
}

// cutHost breaks or mends the paths between one entry host, the log and the
// other entry hosts. Workers and executors stay within its reach.
func (r *run) cutHost(s *slot, on bool) {
	s.gate.cut.Store(on)
	h := s.current()
	for _, other := range r.c.slots {
		o := other.current()
		if o == nil || o == h || h == nil {
			continue
		}
		h.Cut(o.Peer(), on)
		o.Cut(h.Peer(), on)
	}
}

func (r *run) note(fn func(*judge.Evidence)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn(&r.ev)
}

// edit makes an operator's edit through any ready host and notes when it was
// accepted.
func (r *run) edit(ctx context.Context, e config.Edit) (acceptedMs int64, ok bool) {
	op := caller.New(caller.Config{API: []string{r.c.slots[r.load.pick()].api()}, MaxAttempts: 50})
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
	kind := config.AzOut
	if f.Kind == scene.AzBack {
		kind = config.AzBack
	}
	at, ok := r.edit(ctx, config.Edit{Kind: kind, Name: f.Of, By: "demo"})
	if !ok {
		return
	}
	r.note(func(e *judge.Evidence) {
		if kind == config.AzOut {
			e.AzOut = append(e.AzOut, judge.Span{Name: f.Of, StartMs: at})
			return
		}
		for i := range e.AzOut {
			if e.AzOut[i].Name == f.Of && e.AzOut[i].EndMs == 0 {
				e.AzOut[i].EndMs = at
			}
		}
	})
}

func (r *run) withdraw(ctx context.Context, team string) {
	if at, ok := r.edit(ctx, config.Edit{Kind: config.WithdrawKey, Name: team, By: "demo"}); ok {
		r.note(func(e *judge.Evidence) { e.Withdrawn = append(e.Withdrawn, judge.Span{Name: team, StartMs: at}) })
	}
}

const (
	watchEvery = 50 * time.Millisecond
	watchBound = 10 * time.Second
)

// watchEdit notes when an accepted edit is in force on every host that takes
// requests.
func (r *run) watchEdit(ctx context.Context, name string, offset, acceptedMs int64) {
	ed := judge.Edit{Name: name, AcceptedMs: acceptedMs}
	for nowMs()-acceptedMs < watchBound.Milliseconds() && ctx.Err() == nil {
		if r.inForce(offset) {
			ed.ForceMs = nowMs()
			break
		}
		time.Sleep(watchEvery)
	}
	r.note(func(e *judge.Evidence) { e.Edits = append(e.Edits, ed) })
}

// inForce reports whether every host that would act on its configuration has
// read up to the offset. A host that is not ready refuses work.
func (r *run) inForce(offset int64) bool {
	for _, s := range r.c.slots {
		if h := s.current(); h != nil && h.Ready() == nil && h.Dump().CellNext <= offset {
			return false
		}
	}
	return true
}

// watchConfig notes when a host's configuration goes back.
func (r *run) watchConfig(ctx context.Context) {
	newest := map[*slot]int64{}
	for ctx.Err() == nil {
		for i, s := range r.c.slots {
			h := s.current()
			if h == nil || h.Ready() != nil {
				continue
			}
			next := h.Dump().CellNext
			if next < newest[s] {
				r.note(func(e *judge.Evidence) {
					e.Reverted = append(e.Reverted, fmt.Sprintf("entry host %d went back from offset %d to %d", i, newest[s], next))
				})
			}
			newest[s] = next
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchEvery):
		}
	}
}
