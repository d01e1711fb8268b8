package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/frame"
	"lagooncourse/internal/base/polls"
	"lagooncourse/internal/cell/config"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/node/wire"
	"lagooncourse/internal/plat/fakes"
	"lagooncourse/internal/plat/worker"
)

// rejection is the part of a problem document that TestBadRequests checks.
type rejection struct {
	Status int           `json:"status"`
	Ran    fault.Outcome `json:"ran"`
	Field  string        `json:"field"`
}

// TestBadRequests sends the requests in testdata/requests.txt. Each must be rejected
// with the status and field on its line, and nothing may run.
func TestBadRequests(t *testing.T) {
	c := startTestCell(t, testCellConfig{hosts: 1, workers: 4})
	c.createTeam("lab", 4000)
	f, err := os.Open("testdata/requests.txt")
	assert.NilError(t, err)
	defer f.Close()
	n := 0
	for sc := bufio.NewScanner(f); sc.Scan(); {
		line := sc.Text()
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		n++
		checkRejection(t, c.hosts[0], line)
	}
	assert.Assert(t, n > 20, "only %d requests", n)
	assert.Equal(t, len(c.fleet.Runs())+len(c.execs.Executions()), 0)
}

// checkRejection sends the request of a line "STATUS FIELD KEY METHOD PATH HEADER
// BODY" and checks the response. LONG in the body stands for 2 MiB of text.
func checkRejection(t *testing.T, h *Host, line string) {
	t.Helper()
	parts := strings.SplitN(line, " ", 7)
	assert.Equal(t, len(parts), 7, line)
	var status int
	_, err := fmt.Sscan(parts[0], &status)
	assert.NilError(t, err, line)
	body := strings.ReplaceAll(parts[6], "LONG", strings.Repeat("x", 2<<20))
	r, err := http.NewRequest(parts[3], h.API()+parts[4], strings.NewReader(body))
	assert.NilError(t, err)
	if parts[2] != "-" {
		r.Header.Set("Authorization", "Bearer "+parts[2])
	}
	if k, v, ok := strings.Cut(parts[5], "="); ok {
		r.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	var got rejection
	assert.NilError(t, json.Unmarshal(data, &got), "%s: %s", line, data)
	field := parts[1]
	if field == "-" {
		field = ""
	}
	assert.DeepEqual(t, got, rejection{Status: status, Ran: fault.NotRun, Field: field})
	assert.Equal(t, resp.StatusCode, status, line)
}

// TestRacingOperators sends conflicting edits of the same plan to two hosts at the
// same time. One is applied, and the other is rejected with an error that names the
// author of the first. Sending the applied edit again changes nothing.
func TestRacingOperators(t *testing.T) {
	c := startTestCell(t, testCellConfig{hosts: 2, workers: 2})
	c.createTeam("lab", 4000)
	base := c.hosts[0].follower.State().VersionOf("plan/lab")
	for round := range 5 {
		edits := []config.Edit{
			{ID: fmt.Sprintf("kim%d", round), By: "kim", Operation: config.SetPlan, Name: "lab", Share: 2, Base: base},
			{ID: fmt.Sprintf("lee%d", round), By: "lee", Operation: config.SetPlan, Name: "lab", Share: 3, Base: base},
		}
		errs := make([]error, len(edits))
		var wg sync.WaitGroup
		for i, e := range edits {
			wg.Add(1)
			go func() {
				defer wg.Done()
				_, errs[i] = send[config.EditResult](c.hosts[i], "", http.MethodPost, "/edits", e)
			}()
		}
		wg.Wait()
		winner := 0
		if errs[0] != nil {
			winner = 1
		}
		assert.NilError(t, errs[winner])
		loser := fault.From(errs[1-winner])
		assert.Equal(t, loser.Code, fault.Conflict)
		assert.Assert(t, strings.Contains(loser.Detail, edits[winner].By), loser.Detail)
		again, err := send[config.EditResult](c.hosts[1-winner], "", http.MethodPost, "/edits", edits[winner])
		assert.NilError(t, err)
		assert.Assert(t, again.Accepted)
		base = again.Version
		until(t, "both hosts have the same plan", func() bool {
			a, b := c.hosts[0].follower.State().Plans["lab"], c.hosts[1].follower.State().Plans["lab"]
			return a == b && a.Version == base
		})
	}
}

// TestTruncatedRetention restarts the cell after the log's retention has deleted the
// beginning of every stream. The configuration, jobs and results must be restored
// from the snapshots.
func TestTruncatedRetention(t *testing.T) {
	c := startTestCell(t, testCellConfig{hosts: 2, workers: 4, timing: "snapshot = 1s"})
	c.createTeam("lab", 8000)
	j := c.submit(c.hosts[0], "lab", testSpec("survey", 50).WithSubmission("first"))
	until(t, "the job is done", func() bool { return c.state(c.hosts[0], j.ID) == jobs.Done })
	group, _ := j.ID.Group()
	until(t, "both streams have a snapshot after the job", func() bool {
		return c.hosts[0].follower.recordsSinceSnapshot() == 0 && snapshotted(c, group)
	})
	for _, h := range c.hosts {
		h.Kill()
	}
	c.hosts = nil
	c.log.Set(fakes.LogFaults{KeepLast: 2})
	assert.Assert(t, c.log.Records(config.Stream)[0].Offset > 0, "no records were deleted")
	c.log.Set(fakes.LogFaults{})
	h := c.start(0, "")
	until(t, "the new host is ready", func() bool { return h.Ready() == nil })
	until(t, "the host has restored the job", func() bool { return c.state(h, j.ID) == jobs.Done })
	again := c.submit(h, "lab", testSpec("survey", 50).WithSubmission("first"))
	assert.Equal(t, again.ID, j.ID)
	assert.Equal(t, len(c.fleet.Runs()), 1)
}

// snapshotted reports whether no record follows the newest snapshot of a group.
func snapshotted(c *testCell, name string) bool {
	for _, h := range c.hosts {
		if g := h.ownedGroup(name); g != nil {
			n, _ := g.SinceSnapshot()
			return n == 0
		}
	}
	return false
}

// TestLimitEnforced submits jobs through all hosts until a team's limit is reached and
// then lowers the limit. The tasks that run at once must never exceed the limit, and
// must meet the lower limit within 4 s.
func TestLimitEnforced(t *testing.T) {
	c := startTestCell(t, testCellConfig{hosts: 3, workers: 6})
	c.createTeam("lab", 6000)
	for i := range 30 {
		c.submit(c.hosts[i%3], "lab", testSpec("survey", 400))
	}
	until(t, "the limit is reached", func() bool { return running(c) == 6 })
	c.edit(c.hosts[0], config.Edit{
		ID: "lower", Operation: config.SetPlan, Name: "lab", Share: 1, Limit: jobs.Size{CPU: 2000, Mem: jobs.Unlimited},
	})
	lowered := time.Now()
	until(t, "the running tasks meet the lower limit", func() bool { return running(c) <= 2 })
	assert.Assert(t, time.Since(lowered) < 4*time.Second, "it took %s", time.Since(lowered))
	until(t, "all jobs are done", func() bool { return finished(c) == 30 })
	assert.Assert(t, peak(c, 0) <= 6, "%d ran at once", peak(c, 0))
	assert.Assert(t, peak(c, lowered.Add(4*time.Second).UnixMilli()) <= 2)
}

// running returns the number of tasks that run on the workers.
func running(c *testCell) int {
	n := 0
	for _, r := range c.fleet.Runs() {
		if r.EndMs == 0 {
			n++
		}
	}
	return n
}

// finished returns the number of tasks that ended successfully.
func finished(c *testCell) int {
	n := 0
	for _, r := range c.fleet.Runs() {
		if r.End == worker.EndOK {
			n++
		}
	}
	return n
}

// peak returns the maximum number of tasks that ran at the same time, measured at the
// starts of tasks at or after fromMs.
func peak(c *testCell, fromMs int64) int {
	runs := c.fleet.Runs()
	most := 0
	for _, at := range runs {
		n := 0
		for _, r := range runs {
			if at.StartMs >= fromMs && r.StartMs <= at.StartMs && (r.EndMs == 0 || r.EndMs > at.StartMs) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestParkedTask stops the worker of a task that is not idempotent. The task must be
// parked and not run again until an operator settles it.
func TestParkedTask(t *testing.T) {
	c := startTestCell(t, testCellConfig{hosts: 2, workers: 4})
	c.createTeam("lab", 8000)
	j := c.submit(c.hosts[0], "lab", testSpec("survey", 60_000))
	until(t, "the task runs", func() bool { return running(c) == 1 })
	c.fleet.Set(fakes.WorkerFaults{Worker: c.fleet.Runs()[0].Worker, Dead: true})
	until(t, "the task is parked", func() bool { return c.state(c.hosts[1], j.ID) == jobs.Parked })
	assert.Equal(t, len(c.fleet.Runs()), 1)
	req := SettleRequest{Task: string(j.ID) + "/0", Action: jobs.SettleDone}
	a, err := send[JobAnswer](c.hosts[1], "", http.MethodPost, "/settle", req)
	assert.NilError(t, err)
	assert.Equal(t, a.State, jobs.Done)
	_, err = send[JobAnswer](c.hosts[1], "", http.MethodPost, "/settle", req)
	assert.Equal(t, fault.From(err).Code, fault.Conflict)
}

// TestRunsDoNotOverlap pauses the worker of an idempotent task. The task may run on
// another worker only after the lease of the first has expired, so the two runs must
// not overlap.
func TestRunsDoNotOverlap(t *testing.T) {
	c := startTestCell(t, testCellConfig{hosts: 2, workers: 4})
	c.createTeam("lab", 8000)
	spec := testSpec("survey", 1000)
	spec.Idempotent = true
	j := c.submit(c.hosts[0], "lab", spec)
	until(t, "the task runs", func() bool { return running(c) == 1 })
	c.fleet.Set(fakes.WorkerFaults{Worker: c.fleet.Runs()[0].Worker, Paused: true})
	until(t, "the job is done", func() bool { return c.state(c.hosts[0], j.ID) == jobs.Done })
	runs := c.fleet.Runs()
	assert.Assert(t, len(runs) <= 2, "%d runs", len(runs))
	if len(runs) == 2 {
		assert.Assert(t, runs[0].EndMs > 0 && runs[1].EndMs > 0)
		a, b := runs[0], runs[1]
		assert.Assert(t, a.EndMs <= b.StartMs || b.EndMs <= a.StartMs, "the task ran on two workers at the same time")
	}
}

// TestFreshness checks the cases of docs/design/0004-freshness.md, which define when a
// host's configuration counts as fresh.
func TestFreshness(t *testing.T) {
	c := startTestCell(t, testCellConfig{hosts: 3, workers: 3, timing: "freshFor = 300ms\nsuspectAfter = 900ms\ngossip = 50ms"})
	fresh := func(i int) bool { return c.hosts[i].follower.CheckFresh() == nil }
	// holds waits until ok is true and checks that it stays true for 400 ms.
	holds := func(what string, ok func() bool) {
		t.Helper()
		until(t, what, ok)
		for range 20 {
			time.Sleep(20 * time.Millisecond)
			if !ok() {
				t.Errorf("condition did not hold: %s", what)
				return
			}
		}
	}
	holds("all hosts read the log: all are fresh", func() bool { return fresh(0) && fresh(1) && fresh(2) })

	waitForMembership(c)
	c.log.Set(fakes.LogFaults{Outage: true})
	until(t, "the configuration is older than freshFor", func() bool {
		age, _ := c.hosts[0].follower.Age()
		return age > time.Second
	})
	holds("the log is down and all hosts are connected to each other: all are fresh", func() bool { return fresh(0) && fresh(1) && fresh(2) })

	c.hosts[2].Kill()
	until(t, "a host is dead while the log is down: the others are not fresh", func() bool { return !fresh(0) && !fresh(1) })
	c.log.Set(fakes.LogFaults{})
	holds("the log is available again: the others are fresh", func() bool { return fresh(0) && fresh(1) })
}

// TestCutOffHost disconnects one host from its peers and from the log. The host must
// reject requests, because it may miss the withdrawal of a key, while the other hosts
// keep working. Once it reaches its peers again, it must receive the withdrawal from
// them without the log.
func TestCutOffHost(t *testing.T) {
	c := startTestCell(t, testCellConfig{hosts: 3, workers: 6, timing: "freshFor = 300ms\nsuspectAfter = 900ms\ngossip = 50ms"})
	c.createTeam("lab", 8000)
	waitForMembership(c)
	disconnect(c, 0, true)
	c.testLogs[0].disconnected.Store(true)
	until(t, "the disconnected host is not ready", func() bool { return c.hosts[0].Ready() != nil })
	_, err := send[jobs.Job](c.hosts[0], "lab.secret", http.MethodPost, "/jobs", testSpec("survey", 10))
	assert.Equal(t, fault.From(err).Code, fault.Unavailable)
	assert.Equal(t, fault.OutcomeOf(err), fault.NotRun)
	c.edit(c.hosts[1], config.Edit{ID: "out", Operation: config.RevokeKey, Name: "lab"})
	withdrawn := time.Now()
	until(t, "the withdrawn key is rejected", func() bool {
		_, err := send[JobList](c.hosts[2], "lab.secret", http.MethodGet, "/jobs", nil) // a submission may be accepted before host 2 knows of the withdrawal
		return fault.HasCode(err, fault.Denied)
	})
	assert.Assert(t, time.Since(withdrawn) < configInForce, "it took %s", time.Since(withdrawn))
	for _, h := range c.hosts[1:] {
		_, err = send[jobs.Job](h, "lab.secret", http.MethodPost, "/jobs", testSpec("survey", 10))
		assert.Equal(t, fault.From(err).Code, fault.Denied)
		assert.Equal(t, fault.OutcomeOf(err), fault.NotRun)
	}
	disconnect(c, 0, false)
	until(t, "the host receives the configuration from its peers without the log", func() bool {
		_, err := c.hosts[0].follower.State().TeamOfKey("lab.secret")
		return fault.HasCode(err, fault.Denied) && c.hosts[0].Ready() == nil
	})
	_, err = send[jobs.Job](c.hosts[0], "lab.secret", http.MethodPost, "/jobs", testSpec("survey", 10))
	assert.Equal(t, fault.From(err).Code, fault.Denied)
	assert.Equal(t, len(c.fleet.Runs()), 0)
}

// configInForce is the time within which a change of the configuration must be in
// force everywhere.
const configInForce = 4 * time.Second

// waitForMembership waits until every host has all hosts in its membership table.
func waitForMembership(c *testCell) {
	c.t.Helper()
	until(c.t, "every host lists all hosts as live", func() bool {
		for _, h := range c.hosts {
			if len(h.table.Live(time.Now())) != len(c.hosts) {
				return false
			}
		}
		return true
	})
}

// TestLogLostBeforePeersKnown disconnects a host from the log before any other host is in its
// membership table. The host must not treat this as an outage of the log for all
// hosts, in which it would remain ready.
func TestLogLostBeforePeersKnown(t *testing.T) {
	c := startTestCell(t, testCellConfig{hosts: 1, workers: 2, timing: "freshFor = 300ms"})
	c.testLogs[0].disconnected.Store(true)
	until(t, "the disconnected host is not ready", func() bool { return c.hosts[0].Ready() != nil })
}

// disconnect disconnects host i from all other hosts if on is true, and reconnects it
// otherwise.
func disconnect(c *testCell, i int, on bool) {
	for j, h := range c.hosts {
		if j != i {
			h.SetBlocked(c.hosts[i].Peer(), on)
			c.hosts[i].SetBlocked(h.Peer(), on)
		}
	}
}

// TestStopFinishesCalls stops a host gracefully while calls are in flight. All of the
// calls must succeed.
func TestStopFinishesCalls(t *testing.T) {
	c := startTestCell(t, testCellConfig{hosts: 2, workers: 2})
	c.createTeam("lab", 4000)
	c.execs.Set(fakes.ExecFaults{LateMs: 300})
	const calls = 20
	errs := make(chan error, calls)
	for i := range calls {
		go func() {
			r, _ := http.NewRequest(http.MethodPost, c.hosts[0].API()+"/call/triage", strings.NewReader("x"))
			r.Header.Set("Authorization", "Bearer lab.secret")
			r.Header.Set(HeaderCallID, fmt.Sprint("c", i))
			resp, err := http.DefaultClient.Do(r)
			if err == nil {
				defer resp.Body.Close()
				if resp.Header.Get(HeaderOutcome) != string(fault.Done) {
					data, _ := io.ReadAll(resp.Body)
					err = fmt.Errorf("status %d: %s", resp.StatusCode, data)
				}
			}
			errs <- err
		}()
	}
	until(t, "the calls run", func() bool { return len(c.execs.Executions()) >= calls/2 })
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	assert.NilError(t, c.hosts[0].Stop(ctx))
	for range calls {
		assert.NilError(t, <-errs)
	}
	assert.Equal(t, len(c.execs.Executions()), calls)
}

// TestFrameBeforeJoin sends a frame to a host that has opened its listeners but has not
// joined the cell yet. The frame must wait: it used to end the process of a host that
// was restarted while its peers sent gossip to its address.
func TestFrameBeforeJoin(t *testing.T) {
	c := startTestCell(t, testCellConfig{hosts: 1, workers: 2})
	cfg := c.hosts[0].cfg
	cfg.Settings.Host.ID = "e1"
	h := newHost(cfg)
	assert.NilError(t, h.listen())
	conns := frame.NewPool(frame.PoolConfig{})
	defer conns.Close()
	answered := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	go func() {
		_, err := frame.Call(ctx, conns, h.peerServer.Addr(), wire.Gossip, c.hosts[0].table.Message("", time.Now()))
		answered <- err
	}()
	select {
	case err := <-answered:
		t.Fatalf("the frame was answered before the host joined: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	h.join()
	defer h.Kill()
	assert.NilError(t, <-answered)
}

// TestUnrecordedAttemptIsStopped starts attempts late on a worker of one group that the
// home groups, on both hosts, do not have.
func TestUnrecordedAttemptIsStopped(t *testing.T) {
	c := startTestCell(t, testCellConfig{hosts: 2, workers: 6})
	homes := []string{"a-0", "b-0", "c-0"}
	until(t, "all groups have owners", func() bool {
		for _, name := range homes {
			if c.hosts[0].ownedGroup(name) == nil && c.hosts[1].ownedGroup(name) == nil {
				return false
			}
		}
		return true
	})
	h := c.fleet.List()[0]
	w := worker.NewClient(worker.ClientConfig{URL: h.URL})
	inv, err := w.Renew(context.Background(), worker.RenewRequest{Token: worker.Token{Epoch: 1}})
	assert.NilError(t, err)
	for _, home := range homes {
		assert.NilError(t, w.Start(context.Background(), worker.StartRequest{
			Token: worker.Token{Epoch: 1, Seq: 1 << 20}, Boot: inv.Boot, Attempt: worker.Attempt{Task: home + ".99/0", Number: 1},
			Home: home, Class: string(jobs.Batch), CPU: 1000, Mem: 16, RunMs: 60_000,
		}))
	}
	polls.Until(t, stopBound, "no attempt runs", func() bool { return running(c) == 0 })
	for _, r := range c.fleet.Runs() {
		assert.Equal(t, r.End, worker.EndStopped, r.Task)
	}
}

// stopBound is the time within which an attempt that should not run must have stopped.
const stopBound = 3900 * time.Millisecond

// TestCancelledJobStopsAfterTakeover ends the owner of a job's group at once after it
// has acknowledged the job's cancellation.
func TestCancelledJobStopsAfterTakeover(t *testing.T) {
	c := startTestCell(t, testCellConfig{hosts: 2, workers: 6})
	c.createTeam("lab", 8000)
	spec := testSpec("survey", 60_000)
	spec.Idempotent = true
	j := c.submit(c.hosts[0], "lab", spec)
	until(t, "the task runs", func() bool { return running(c) == 1 })
	name, _ := j.ID.Group()
	home, other := 0, 1
	if c.hosts[home].ownedGroup(name) == nil {
		home, other = 1, 0
	}
	_, err := send[JobAnswer](c.hosts[other], "lab.secret", http.MethodPost, "/jobs/"+string(j.ID)+"/cancel", nil)
	assert.NilError(t, err)
	c.hosts[home].Kill()
	until(t, "the job is cancelled", func() bool { return c.state(c.hosts[other], j.ID) == jobs.Cancelled })
	assert.Equal(t, running(c), 0)
	assert.Equal(t, len(c.fleet.Runs()), 1)
}
