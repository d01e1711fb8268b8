package owner

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/clock"
	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/frame"
	"lagooncourse/internal/base/logs"
	"lagooncourse/internal/base/polls"
	"lagooncourse/internal/cell/config"
	"lagooncourse/internal/cell/group"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/node/wire"
	"lagooncourse/internal/plat/fakes"
	"lagooncourse/internal/plat/hosts"
	"lagooncourse/internal/plat/stream"
	"lagooncourse/internal/plat/worker"
)

// stopBound is the time within which an attempt that should not run must have stopped, and
// one whose start was lost must have started.
const stopBound = 3900 * time.Millisecond

// grantedCell is a configuration with a team "lab" that applies changes of grants.
type grantedCell struct {
	mu sync.Mutex
	m  *config.StateMachine
	n  int64
}

func newGrantedCell(t *testing.T) *grantedCell {
	c := &grantedCell{m: config.NewStateMachine()}
	c.apply(t, config.Record{Edit: &config.Edit{
		ID: "lab", By: "kim", Operation: config.SetPlan, Name: "lab", Share: 1, Limit: jobs.Size{CPU: 8000, Mem: jobs.Unlimited},
	}})
	return c
}

func (c *grantedCell) apply(t *testing.T, rec config.Record) {
	t.Helper()
	assert.NilError(t, c.append(rec))
}

func (c *grantedCell) append(rec config.Record) error {
	data, err := frame.Encode(rec)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.m.Apply(c.n, data)
	c.n++
	return nil
}

func (c *grantedCell) State() *config.State { return c.m.State() }
func (c *grantedCell) CheckFresh() error    { return nil }
func (c *grantedCell) ChangeGrants(_ context.Context, g config.Grants) error {
	return c.append(config.Record{Grants: &g})
}

// loopRemote sends the requests of a group to the group itself. A fault returns the
// error of the nth request of a kind, and whether the request is sent.
type loopRemote struct {
	g *Group

	mu     sync.Mutex
	n      map[string]int
	faults map[string]func(n int) (send bool, err error)
}

func sendLooped[Req, Resp any](r *loopRemote, ctx context.Context, kind string, req Req, fn func(*Group, context.Context, Req) (Resp, error)) (resp Resp, err error) {
	r.mu.Lock()
	n, inject := r.n[kind], r.faults[kind]
	r.n[kind]++
	r.mu.Unlock()
	if inject != nil {
		if send, err := inject(n); !send {
			return resp, err
		}
	}
	return fn(r.g, ctx, req)
}

func (r *loopRemote) sent(kind string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.n[kind]
}

func (r *loopRemote) Reserve(ctx context.Context, msg wire.ReserveMsg) (wire.ReserveAnswer, error) {
	return sendLooped(r, ctx, "reserve", msg, (*Group).Reserve)
}

func (r *loopRemote) Start(ctx context.Context, msg wire.StartMsg) (wire.StartAnswer, error) {
	return sendLooped(r, ctx, "start", msg, (*Group).Start)
}

func (r *loopRemote) Stop(ctx context.Context, msg wire.StopMsg) error {
	_, err := sendLooped(r, ctx, "stop", msg, func(g *Group, ctx context.Context, msg wire.StopMsg) (wire.Empty, error) {
		return wire.Empty{}, g.Stop(ctx, msg)
	})
	return err
}

func (r *loopRemote) AttemptStatus(ctx context.Context, msg wire.AttemptStatusMsg) (wire.AttemptStatusAnswer, error) {
	return sendLooped(r, ctx, "status", msg, (*Group).AttemptStatus)
}

func (r *loopRemote) Report(ctx context.Context, msg wire.ReportMsg) (wire.ReportAnswer, error) {
	return sendLooped(r, ctx, "report", msg, (*Group).Report)
}

func (r *loopRemote) Unwanted(ctx context.Context, msg wire.UnwantedMsg) (wire.UnwantedAnswer, error) {
	return sendLooped(r, ctx, "unwanted", msg, (*Group).Unwanted)
}

func (r *loopRemote) Groups() []wire.GroupInfo {
	size := jobs.Size{CPU: 8000, Mem: 16384}
	return []wire.GroupInfo{{Group: "a-0", Epoch: 1, Az: "a", Capacity: size, Free: size, LargestFree: size}}
}

func (r *loopRemote) MayClaim(string, uint64, group.Owner) bool { return true }

// orders is a group that is the home group of its jobs, with workers that run tasks.
type orders struct {
	t      *testing.T
	g      *Group
	remote *loopRemote
	fleet  *fakes.Fleet
	lines  *lockedBuffer
}

// lockedBuffer holds log lines.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.b.String(), text)
}

// startOrders starts a group with one worker. Dial wraps the worker's client if it is
// not nil.
func startOrders(t *testing.T, log stream.Log, faults map[string]func(int) (bool, error), dial func(worker.Worker) worker.Worker) *orders {
	t.Helper()
	fleet, err := fakes.StartFleet(fakes.FleetConfig{Addr: "127.0.0.1:0", Workers: fakes.Workers(fakes.GridConfig{
		Azs: []string{"a"}, Workers: 1, RackSize: 8, CPU: 8000, Mem: 16384,
	})})
	assert.NilError(t, err)
	t.Cleanup(fleet.Close)
	o := &orders{t: t, fleet: fleet, remote: &loopRemote{n: map[string]int{}, faults: faults}, lines: &lockedBuffer{}}
	timing := DefaultTiming()
	timing.RenewWait, timing.Lease, timing.ClockMargin = 300*time.Millisecond, 1500*time.Millisecond, 200*time.Millisecond
	o.g = New(Config{
		Name: "a-0", Az: "a", Self: group.Owner{Host: "e1"}, Log: log, Cell: newGrantedCell(t), Remote: o.remote,
		Dial: func(h hosts.Worker) worker.Worker {
			var w worker.Worker = worker.NewClient(worker.ClientConfig{URL: h.URL})
			if dial != nil {
				w = dial(w)
			}
			return w
		},
		Clock: clock.System{}, Logger: logs.New(o.lines, "info"), Timing: timing,
	})
	o.remote.g = o.g
	o.g.SetWorkers(fleet.List())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		o.g.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	o.g.SetWanted(true)
	until(t, func() bool { return o.g.Epoch() == 1 && o.g.Dump().Workers[0].Ready })
	return o
}

// submit submits a job of one task that runs for a minute.
func (o *orders) submit(name string, idempotent bool) jobs.Job {
	o.t.Helper()
	j, err := o.g.Submit(context.Background(), jobs.Spec{
		Name: name, Kind: jobs.Batch, Team: "lab", Submission: name, Tasks: 1, Size: jobs.Size{CPU: 1000, Mem: 16}, RunMs: 60_000, Idempotent: idempotent,
	})
	assert.NilError(o.t, err)
	return j
}

// runs returns the runs of a job's first task, and how many of them go on.
func (o *orders) runs(id jobs.ID) (all, running int) {
	for _, r := range o.fleet.Runs() {
		if r.Task != (jobs.Ref{Job: id}).String() {
			continue
		}
		all++
		if r.EndMs == 0 {
			running++
		}
	}
	return all, running
}

func (o *orders) cancel(id jobs.ID) {
	o.t.Helper()
	_, err := o.g.Cancel(context.Background(), id)
	assert.NilError(o.t, err)
}

// untilStopped waits until no run of the job goes on.
func (o *orders) untilStopped(id jobs.ID) {
	o.t.Helper()
	polls.Until(o.t, stopBound, "no run of the job goes on", func() bool {
		_, running := o.runs(id)
		return running == 0
	})
}

// TestStopIsRepeated cancels a job while its first stop requests are lost, or confirmed
// without effect.
func TestStopIsRepeated(t *testing.T) {
	for name, err := range map[string]error{
		"lost":      fault.New(fault.Timeout, fault.Unknown, "no response"),
		"no owner":  notOwner("a-0"),
		"confirmed": nil,
	} {
		t.Run(name, func(t *testing.T) {
			o := startOrders(t, &memLog{}, map[string]func(int) (bool, error){
				"stop": func(n int) (bool, error) { return n >= 2, err },
			}, nil)
			j := o.submit("survey", true)
			until(t, func() bool { _, running := o.runs(j.ID); return running == 1 })
			o.cancel(j.ID)
			o.untilStopped(j.ID)
			until(t, func() bool { j, _ := o.g.job(j.ID); return j.State() == jobs.Cancelled })
		})
	}
}

// job returns a job.
func (g *Group) job(id jobs.ID) (jobs.Job, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Job(id)
}

// TestStartIsGivenAgain loses the first start request of a task, or confirms it without
// effect. The task runs once, as a later attempt.
func TestStartIsGivenAgain(t *testing.T) {
	for name, err := range map[string]error{
		"refused":   fault.New(fault.Unavailable, fault.NotRun, "no connection"),
		"lost":      fault.New(fault.Timeout, fault.Unknown, "no response"),
		"confirmed": nil,
	} {
		t.Run(name, func(t *testing.T) {
			o := startOrders(t, &memLog{}, map[string]func(int) (bool, error){
				"start": func(n int) (bool, error) { return n >= 1, err },
			}, nil)
			j := o.submit("survey", false)
			polls.Until(t, stopBound, "the task runs", func() bool { _, running := o.runs(j.ID); return running == 1 })
			all, _ := o.runs(j.ID)
			assert.Equal(t, all, 1)
		})
	}
}

// TestReportIsRepeated loses the first reports of an end, or answers them without
// recording the end.
func TestReportIsRepeated(t *testing.T) {
	for name, err := range map[string]error{"lost": fault.New(fault.Timeout, fault.Unknown, "no response"), "confirmed": nil} {
		t.Run(name, func(t *testing.T) {
			o := startOrders(t, &memLog{}, map[string]func(int) (bool, error){
				"report": func(n int) (bool, error) { return n >= 3, err },
			}, nil)
			j := o.submit("survey", true)
			until(t, func() bool { _, running := o.runs(j.ID); return running == 1 })
			o.cancel(j.ID)
			polls.Until(t, stopBound, "the end is recorded", func() bool { j, _ := o.g.job(j.ID); return j.Ended() })
		})
	}
}
