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

var largeLimit = jobs.Size{CPU: 10_000_000, Mem: jobs.Unlimited, Accel: jobs.Unlimited}

func smallJob(name string, runMs int64) jobs.Spec {
	return jobs.Spec{Name: name, Kind: jobs.Batch, Tasks: 1, Size: jobs.Size{CPU: 1000, Mem: 1024}, RunMs: runMs}
}

// TestPath runs one job and one call end to end. A repeated call returns the first
// response without a second execution.
func TestPath(t *testing.T) {
	c := startCluster(t, clusterConfig{hosts: 3, workers: 12, executors: 6, workMs: 5})
	key := c.createTeam("lab", largeLimit)
	ctx := context.Background()
	cl := c.client(key)
	j, err := cl.Submit(ctx, smallJob("survey", 100))
	assert.NilError(t, err)
	done, err := cl.Wait(ctx, j.ID, pollTimeout)
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

// TestKeys checks that jobs and calls without a valid key are refused and that
// none of them runs.
func TestKeys(t *testing.T) {
	c := startCluster(t, clusterConfig{hosts: 2, workers: 4, executors: 2, workMs: 1})
	c.createTeam("lab", largeLimit)
	for _, tc := range []struct {
		key  string
		code fault.Code
	}{{"", fault.Unauthenticated}, {"lab-key.wrong", fault.Unauthenticated}, {"nobody.secret", fault.Unauthenticated}} {
		_, err := c.client(tc.key).Submit(context.Background(), smallJob("survey", 10))
		assert.Assert(t, fault.HasCode(err, tc.code), "key %q: %v", tc.key, err)
		assert.Equal(t, fault.OutcomeOf(err), fault.NotRun)
		_, err = c.client(tc.key).Call(context.Background(), caller.Call{Service: "triage", ID: "x"})
		assert.Assert(t, fault.HasCode(err, tc.code), "key %q: %v", tc.key, err)
	}
	assert.Equal(t, len(c.runs())+len(c.executions()), 0)
}

// workload submits jobs and sends calls until it is stopped, and records the
// accepted jobs and the outcomes of the calls.
type workload struct {
	key   string
	mu    sync.Mutex
	jobs  []jobs.ID
	calls map[string]error // call ID -> error of a non-idempotent call
	stop  chan struct{}
	wg    sync.WaitGroup
}

// startLoaded starts three entry hosts with a workload. A call takes workMs on its
// executor.
func startLoaded(t *testing.T, workMs int) (*cluster, *workload) {
	t.Helper()
	c := startCluster(t, clusterConfig{hosts: 3, workers: 12, executors: 6, workMs: workMs})
	return c, startWorkload(c, c.createTeam("lab", largeLimit))
}

// startWorkload starts one goroutine that submits jobs and four that send calls.
func startWorkload(c *cluster, key string) *workload {
	w := &workload{key: key, calls: map[string]error{}, stop: make(chan struct{})}
	w.loop(func(i int) {
		spec := smallJob("survey", 300).WithSubmission(fmt.Sprintf("s%d", i))
		spec.Idempotent = i%2 == 0
		ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
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
				err = errors.New("response belongs to another call: " + string(a.Body))
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

// waitForCalls waits until the given number of further calls have ended, with any
// outcome.
func (w *workload) waitForCalls(c *cluster, calls int) {
	c.t.Helper()
	target := w.endedCalls() + calls
	c.waitFor(fmt.Sprintf("%d more calls end", calls), func() bool { return w.endedCalls() >= target })
}

func (w *workload) endedCalls() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.calls)
}

// stopAndCheck stops the workload and checks the guarantees against the records of
// workers and executors.
func (w *workload) stopAndCheck(c *cluster) {
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
		ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
		c.waitFor("job "+string(id)+" ends or is parked", func() bool {
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
	checkNoOverlap(c)
	c.t.Logf("%d jobs, %d parked, %d calls", len(w.jobs), parked, len(w.calls))
}

// checkNoOverlap checks that no task ran in two places at once.
func checkNoOverlap(c *cluster) {
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
		outcome := fault.OutcomeOf(err)
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

// callOf removes the attempt number from an executor's request ID.
func callOf(id string) string {
	if n := len(id); n > 2 && id[n-2] == '~' {
		return id[:n-2]
	}
	return id
}

// TestKilledHosts kills and restarts each entry host in turn under load.
func TestKilledHosts(t *testing.T) {
	c, w := startLoaded(t, 5)
	for _, h := range c.hosts {
		w.waitForCalls(c, 100)
		h.signal(t, syscall.SIGKILL)
		_ = h.cmd.Wait()
		w.waitForCalls(c, 20)
		c.startHost(h)
		c.waitFor("the new process is ready", h.ready)
	}
	w.stopAndCheck(c)
}

// TestFrozenHost suspends an entry host under load until the others have taken
// over its groups, then resumes it.
func TestFrozenHost(t *testing.T) {
	c, w := startLoaded(t, 5)
	w.waitForCalls(c, 100)
	c.hosts[0].signal(t, syscall.SIGSTOP)
	c.waitFor("the other hosts own all groups", func() bool { return c.ownedGroups(1, 2) == len(azs) })
	w.waitForCalls(c, 100)
	c.hosts[0].signal(t, syscall.SIGCONT)
	w.waitForCalls(c, 100)
	w.stopAndCheck(c)
}

// TestLogOutage makes the log unavailable under load and kills an entry host
// during the outage.
func TestLogOutage(t *testing.T) {
	c, w := startLoaded(t, 5)
	w.waitForCalls(c, 100)
	c.setSwitch(c.log, fakes.LogFaults{Outage: true})
	w.waitForCalls(c, 4)
	c.hosts[1].signal(t, syscall.SIGKILL)
	_ = c.hosts[1].cmd.Wait()
	w.waitForCalls(c, 4)
	c.setSwitch(c.log, fakes.LogFaults{})
	c.startHost(c.hosts[1])
	c.waitFor("every entry host is ready", c.ready)
	w.waitForCalls(c, 100)
	w.stopAndCheck(c)
}

// TestLostAnswers makes the log drop the responses to appends that took effect,
// and drop other appends entirely.
func TestLostAnswers(t *testing.T) {
	c, w := startLoaded(t, 5)
	for range 5 {
		w.waitForCalls(c, 50)
		c.setSwitch(c.log, fakes.LogFaults{LoseAnswers: 5, DropAppends: 3})
	}
	w.stopAndCheck(c)
}

// TestGracefulStop stops each entry host gracefully in turn under load and
// restarts it. No call may end with an unknown outcome.
func TestGracefulStop(t *testing.T) {
	c, w := startLoaded(t, 20)
	for _, h := range c.hosts {
		w.waitForCalls(c, 50)
		h.signal(t, syscall.SIGTERM)
		assert.NilError(t, h.cmd.Wait())
		c.startHost(h)
		c.waitFor("the new process is ready", h.ready)
	}
	w.stopAndCheck(c)
	for id, err := range w.calls {
		if err != nil && fault.OutcomeOf(err) == fault.Unknown {
			t.Errorf("call %s was cut off: %v", id, err)
		}
	}
}

// TestCutFromLog partitions an entry host that owns groups from the log until the
// others have taken over its groups, then heals the partition.
func TestCutFromLog(t *testing.T) {
	c, w := startLoaded(t, 5)
	w.waitForCalls(c, 100)
	c.proxy.setPartition(true)
	c.waitFor("the other hosts own all groups", func() bool { return c.ownedGroups(1, 2) == len(azs) })
	w.waitForCalls(c, 100)
	c.proxy.setPartition(false)
	c.waitFor("the first host owns a group again", func() bool { return c.ownedGroups(0) > 0 })
	w.waitForCalls(c, 100)
	w.stopAndCheck(c)
}

// TestFreezeAndKill suspends one entry host and kills another while the log loses
// responses and appends, so that one entry host is left, then brings both back.
func TestFreezeAndKill(t *testing.T) {
	c, w := startLoaded(t, 5)
	w.waitForCalls(c, 100)
	c.setSwitch(c.log, fakes.LogFaults{LoseAnswers: 10, DropAppends: 5})
	c.hosts[0].signal(t, syscall.SIGSTOP)
	c.hosts[1].signal(t, syscall.SIGKILL)
	_ = c.hosts[1].cmd.Wait()
	c.waitFor("the last host owns all groups", func() bool { return c.ownedGroups(2) == len(azs) })
	w.waitForCalls(c, 20)
	c.startHost(c.hosts[1])
	c.hosts[0].signal(t, syscall.SIGCONT)
	c.waitFor("every entry host is ready", c.ready)
	w.waitForCalls(c, 100)
	w.stopAndCheck(c)
}

// TestFrozenOwner suspends an entry host for longer than the leases of the
// workers that it renews, while their tasks keep running. After it resumes, its
// last renewals are older than any lease. It must not declare the workers lost,
// because another entry host has renewed their leases meanwhile.
func TestFrozenOwner(t *testing.T) {
	c := startCluster(t, clusterConfig{hosts: 3, workers: 12, executors: 6, workMs: 5, lease: "5s"})
	key := c.createTeam("lab", largeLimit)
	w := &workload{key: key, calls: map[string]error{}}
	for i := range 24 {
		spec := smallJob("survey", 20_000).WithSubmission(fmt.Sprintf("s%d", i))
		spec.Idempotent = true
		spec.Az = azs[0] // so that most jobs belong to groups of other entry hosts than the one that renews the workers
		j, err := c.client(key).Submit(context.Background(), spec)
		assert.NilError(t, err)
		w.jobs = append(w.jobs, j.ID)
	}
	c.waitFor("all tasks run", func() bool { return len(c.runs()) >= len(w.jobs) })
	frozen := time.Now()
	c.hosts[0].signal(t, syscall.SIGSTOP)
	c.waitFor("the other hosts own all groups", func() bool { return c.ownedGroups(1, 2) == len(azs) })
	c.waitFor("every lease that the suspended entry host granted has expired", func() bool { return time.Since(frozen) > 10*time.Second })
	c.hosts[0].signal(t, syscall.SIGCONT)
	w.checkJobs(c)
	assert.Equal(t, len(c.runs()), len(w.jobs), "a task ran again")
}
