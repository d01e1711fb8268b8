package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/plat/fakes"
	"lagooncourse/internal/plat/worker"
	"lagooncourse/internal/tool/caller"
)

var roomy = jobs.Size{CPU: 10_000_000, Mem: jobs.Unlimited, Accel: jobs.Unlimited}

func small(name string, runMs int64) jobs.Spec {
	return jobs.Spec{Name: name, Kind: jobs.Batch, Tasks: 1, Size: jobs.Size{CPU: 1000, Mem: 1024}, RunMs: runMs}
}

// TestPath serves one job and one call from end to end.
func TestPath(t *testing.T) {
	c := startCluster(t, clusterConfig{hosts: 3, workers: 12, executors: 6, workMs: 5})
	key := c.team("lab", roomy)
	ctx := context.Background()
	cl := c.client(key)
	j, err := cl.Submit(ctx, small("survey", 100))
	assert.NilError(t, err)
	done, err := cl.Wait(ctx, j.ID, pollBound)
	assert.NilError(t, err)
	assert.Equal(t, done.State, jobs.Done)
	assert.Equal(t, done.Tasks[0].Result, "done "+string(j.ID)+"/0")
	a, err := cl.Call(ctx, caller.Call{Service: "triage", ID: "c1", Body: []byte("plaque")})
	assert.NilError(t, err)
	assert.Equal(t, string(a.Body), `{"number":1,"echo":"plaque"}`)
	again, err := cl.Call(ctx, caller.Call{Service: "triage", ID: "c1", Body: []byte("plaque")})
	assert.NilError(t, err)
	assert.Equal(t, string(again.Body), string(a.Body))
	assert.Equal(t, len(c.executions()), 1)
}

// TestKeys refuses work without a valid key, and truthfully.
func TestKeys(t *testing.T) {
	c := startCluster(t, clusterConfig{hosts: 2, workers: 4, executors: 2, workMs: 1})
	c.team("lab", roomy)
	for _, tc := range []struct {
		key  string
		code fault.Code
	}{{"", fault.NoKey}, {"lab-key.wrong", fault.NoKey}, {"nobody.secret", fault.NoKey}} {
		_, err := c.client(tc.key).Submit(context.Background(), small("survey", 10))
		assert.Assert(t, fault.Is(err, tc.code), "key %q: %v", tc.key, err)
		assert.Equal(t, fault.RanOf(err), fault.NotRun)
		_, err = c.client(tc.key).Call(context.Background(), caller.Call{Service: "triage", ID: "x"})
		assert.Assert(t, fault.Is(err, tc.code), "key %q: %v", tc.key, err)
	}
	assert.Equal(t, len(c.runs())+len(c.executions()), 0)
}

// workload submits jobs and calls until it is told to stop, and remembers what
// it was told.
type workload struct {
	key   string
	mu    sync.Mutex
	jobs  []jobs.ID
	calls map[string]error // id -> outcome of a call that is not idempotent
	stop  chan struct{}
	wg    sync.WaitGroup
}

// startLoaded starts three entry hosts with a workload. A call takes workMs at
// its executor.
func startLoaded(t *testing.T, workMs int) (*cluster, *workload) {
	t.Helper()
	c := startCluster(t, clusterConfig{hosts: 3, workers: 12, executors: 6, workMs: workMs})
	return c, startWorkload(c, c.team("lab", roomy))
}

// startWorkload starts a submitter and several callers.
func startWorkload(c *cluster, key string) *workload {
	w := &workload{key: key, calls: map[string]error{}, stop: make(chan struct{})}
	w.loop(func(i int) {
		spec := small("survey", 300).WithSubmission(fmt.Sprintf("s%d", i))
		spec.Idempotent = i%2 == 0
		ctx, cancel := context.WithTimeout(context.Background(), pollBound)
		defer cancel()
		if j, err := c.client(key).Submit(ctx, spec); err == nil {
			w.mu.Lock()
			w.jobs = append(w.jobs, j.ID)
			w.mu.Unlock()
		}
	})
	for n := range 4 {
		w.loop(func(i int) {
			id := fmt.Sprintf("call-%d-%d", n, i)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			a, err := c.client(key).Call(ctx, caller.Call{Service: "triage", ID: id, Body: []byte(id), Timeout: 5 * time.Second})
			if err == nil && !echoes(a.Body, id) {
				err = errors.New("answer belongs to another call: " + string(a.Body))
			}
			w.mu.Lock()
			w.calls[id] = err
			w.mu.Unlock()
		})
	}
	return w
}

func echoes(body []byte, id string) bool {
	var number int64
	var echo string
	n, err := fmt.Sscanf(string(body), `{"number":%d,"echo":%q}`, &number, &echo)
	return err == nil && n == 2 && echo == id
}

func (w *workload) loop(step func(int)) {
	w.wg.Add(1)
	go func() {
		defer w.wg.Done()
		for i := 0; ; i++ {
			select {
			case <-w.stop:
				return
			default:
				step(i)
			}
		}
	}()
}

// pass waits until so many more calls have ended, with whatever outcome.
func (w *workload) pass(c *cluster, calls int) {
	c.t.Helper()
	target := w.count() + calls
	c.until(fmt.Sprintf("%d more calls end", calls), func() bool { return w.count() >= target })
}

func (w *workload) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.calls)
}

// finish stops the workload and checks every promise on what workers and
// executors recorded.
func (w *workload) finish(c *cluster) {
	c.t.Helper()
	close(w.stop)
	w.wg.Wait()
	w.checkJobs(c)
	w.checkCalls(c)
}

func (w *workload) checkJobs(c *cluster) {
	c.t.Helper()
	assert.Assert(c.t, len(w.jobs) > 0, "the workload submitted nothing")
	parked := 0
	for _, id := range w.jobs {
		ctx, cancel := context.WithTimeout(context.Background(), pollBound)
		c.until("job "+string(id)+" ends or is parked", func() bool {
			a, err := c.client(w.key).Status(ctx, id)
			if err == nil && a.State == jobs.Parked {
				parked++
				return true
			}
			return err == nil && a.State == jobs.Done
		})
		cancel()
	}
	finished := map[string]int{}
	for _, r := range c.runs() {
		if r.End == worker.EndOK {
			finished[r.Task]++
		}
	}
	for _, id := range w.jobs {
		if n := finished[string(id)+"/0"]; n > 1 {
			c.t.Errorf("job %s finished %d times", id, n)
		}
	}
	checkPlaces(c)
	c.t.Logf("%d jobs, %d parked, %d calls", len(w.jobs), parked, len(w.calls))
}

// checkPlaces checks that no task ran in two places at once and no worker was
// overcommitted.
func checkPlaces(c *cluster) {
	c.t.Helper()
	byTask := map[string][]fakes.Run{}
	for _, r := range c.runs() {
		for _, o := range byTask[r.Task] {
			if r.StartMs < endOf(o) && o.StartMs < endOf(r) {
				c.t.Errorf("task %s ran on %s and %s at once", r.Task, r.Worker, o.Worker)
			}
		}
		byTask[r.Task] = append(byTask[r.Task], r)
	}
}

func endOf(r fakes.Run) int64 {
	if r.EndMs == 0 {
		return time.Now().UnixMilli()
	}
	return r.EndMs
}

// checkCalls checks that each call ran at most once, exactly once if it was
// answered, and not at all if it was refused as not run.
func (w *workload) checkCalls(c *cluster) {
	c.t.Helper()
	ran := map[string]int{}
	for _, e := range c.executions() {
		ran[callOf(e.ID)]++
	}
	outcomes := map[fault.Outcome]int{}
	for id, err := range w.calls {
		outcome := fault.RanOf(err)
		outcomes[outcome]++
		n := ran[id]
		switch {
		case n > 1:
			c.t.Errorf("call %s ran %d times", id, n)
		case outcome == fault.Done && n != 1:
			c.t.Errorf("call %s was answered and ran %d times", id, n)
		case outcome == fault.NotRun && n != 0:
			c.t.Errorf("call %s was refused as not run and ran: %v", id, err)
		}
		if err != nil && fault.From(err).Code == fault.Internal {
			c.t.Errorf("call %s: %v", id, err)
		}
	}
	assert.Assert(c.t, outcomes[fault.Done] > 0, "no call was answered")
	c.t.Logf("calls by outcome: %v", outcomes)
}

// callOf removes the number of the try from an executor's request id.
func callOf(id string) string {
	if n := len(id); n > 2 && id[n-2] == '~' {
		return id[:n-2]
	}
	return id
}

// TestKilledHosts kills every entry host in turn, each one under load, and
// starts it again.
func TestKilledHosts(t *testing.T) {
	c, w := startLoaded(t, 5)
	for _, h := range c.hosts {
		w.pass(c, 100)
		h.signal(t, syscall.SIGKILL)
		_ = h.cmd.Wait()
		w.pass(c, 20)
		c.startHost(h)
		c.until("the new process is ready", h.ready)
	}
	w.finish(c)
}

// TestFrozenHost freezes an entry host until others have taken its groups, and
// lets it go on.
func TestFrozenHost(t *testing.T) {
	c, w := startLoaded(t, 5)
	w.pass(c, 100)
	c.hosts[0].signal(t, syscall.SIGSTOP)
	c.until("the other hosts own all groups", func() bool { return c.owned(1, 2) == len(azs) })
	w.pass(c, 100)
	c.hosts[0].signal(t, syscall.SIGCONT)
	w.pass(c, 100)
	w.finish(c)
}

// TestLogOutage takes the log away under load, with an entry host dying in the
// middle of the outage.
func TestLogOutage(t *testing.T) {
	c, w := startLoaded(t, 5)
	w.pass(c, 100)
	c.set(c.log, fakes.LogSwitch{Outage: true})
	w.pass(c, 4)
	c.hosts[1].signal(t, syscall.SIGKILL)
	_ = c.hosts[1].cmd.Wait()
	w.pass(c, 4)
	c.set(c.log, fakes.LogSwitch{})
	c.startHost(c.hosts[1])
	c.until("every entry host is ready", c.ready)
	w.pass(c, 100)
	w.finish(c)
}

// TestLostAnswers has the log lose the answers of appends that took effect,
// and lose appends altogether.
func TestLostAnswers(t *testing.T) {
	c, w := startLoaded(t, 5)
	for range 5 {
		w.pass(c, 50)
		c.set(c.log, fakes.LogSwitch{LoseAnswers: 5, DropAppends: 3})
	}
	w.finish(c)
}

// TestGracefulStop replaces every entry host in turn under load. No call may
// be cut off by it.
func TestGracefulStop(t *testing.T) {
	c, w := startLoaded(t, 20)
	for _, h := range c.hosts {
		w.pass(c, 50)
		h.signal(t, syscall.SIGTERM)
		assert.NilError(t, h.cmd.Wait())
		c.startHost(h)
		c.until("the new process is ready", h.ready)
	}
	w.finish(c)
	for id, err := range w.calls {
		if err != nil && fault.RanOf(err) == fault.Unknown {
			t.Errorf("call %s was cut off: %v", id, err)
		}
	}
}

// TestCutFromLog cuts one entry host's connections to the log while it owns
// groups, until the others have taken them, and mends them.
func TestCutFromLog(t *testing.T) {
	c, w := startLoaded(t, 5)
	w.pass(c, 100)
	c.relay.set(true)
	c.until("the other hosts own all groups", func() bool { return c.owned(1, 2) == len(azs) })
	w.pass(c, 100)
	c.relay.set(false)
	c.until("the first host owns a group again", func() bool { return c.owned(0) > 0 })
	w.pass(c, 100)
	w.finish(c)
}

// TestFreezeAndKill freezes one entry host and kills another while the log
// loses answers, so that one host is left, and then brings both back.
func TestFreezeAndKill(t *testing.T) {
	c, w := startLoaded(t, 5)
	w.pass(c, 100)
	c.set(c.log, fakes.LogSwitch{LoseAnswers: 10, DropAppends: 5})
	c.hosts[0].signal(t, syscall.SIGSTOP)
	c.hosts[1].signal(t, syscall.SIGKILL)
	_ = c.hosts[1].cmd.Wait()
	c.until("the last host owns all groups", func() bool { return c.owned(2) == len(azs) })
	w.pass(c, 20)
	c.startHost(c.hosts[1])
	c.hosts[0].signal(t, syscall.SIGCONT)
	c.until("every entry host is ready", c.ready)
	w.pass(c, 100)
	w.finish(c)
}

// TestFrozenKeeper freezes an entry host for longer than the leases of the
// workers that it keeps, while tasks run on them that outlast the freeze. When
// it wakes it has heard nothing from its workers for longer than any lease, and
// must not take that for their loss: their new keeper has renewed them.
func TestFrozenKeeper(t *testing.T) {
	c := startCluster(t, clusterConfig{hosts: 3, workers: 12, executors: 6, workMs: 5, lease: "5s"})
	key := c.team("lab", roomy)
	w := &workload{key: key, calls: map[string]error{}}
	for i := range 24 {
		spec := small("survey", 20_000).WithSubmission(fmt.Sprintf("s%d", i))
		spec.Idempotent = true
		spec.Az = azs[0] // so that most homes are on other hosts than the keeper
		j, err := c.client(key).Submit(context.Background(), spec)
		assert.NilError(t, err)
		w.jobs = append(w.jobs, j.ID)
	}
	c.until("all tasks run", func() bool { return len(c.runs()) >= len(w.jobs) })
	frozen := time.Now()
	c.hosts[0].signal(t, syscall.SIGSTOP)
	c.until("the other hosts own all groups", func() bool { return c.owned(1, 2) == len(azs) })
	c.until("every lease that the frozen host gave has run out", func() bool { return time.Since(frozen) > 10*time.Second })
	c.hosts[0].signal(t, syscall.SIGCONT)
	w.checkJobs(c)
	assert.Equal(t, len(c.runs()), len(w.jobs), "a task ran again")
}
