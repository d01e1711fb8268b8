package owner

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/alloc"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/node/wire"
	"lagooncourse/internal/plat/worker"
)

// startLate starts the first attempt of a job on the worker, as by a start request
// that took long.
func (o *orders) startLate(id jobs.ID) {
	o.t.Helper()
	h := o.fleet.List()[0]
	w := worker.NewClient(worker.ClientConfig{URL: h.URL})
	inv, err := w.Renew(context.Background(), worker.RenewRequest{Token: worker.Token{Epoch: 1}})
	assert.NilError(o.t, err)
	assert.NilError(o.t, w.Start(context.Background(), worker.StartRequest{
		Token: worker.Token{Epoch: 1, Seq: 1 << 20}, Boot: inv.Boot,
		Attempt: worker.Attempt{Task: (jobs.Ref{Job: id}).String(), Number: 1},
		Home:    "a-0", Class: string(jobs.Batch), CPU: 1000, Mem: 16, RunMs: 60_000,
	}))
	all, _ := o.runs(id)
	assert.Equal(o.t, all, 1)
}

// TestUnrecordedAttemptIsStopped starts an attempt on a worker whose home group does not
// have it as a placed task, beside one that it has.
func TestUnrecordedAttemptIsStopped(t *testing.T) {
	for _, name := range []string{"ended job", "unknown job"} {
		t.Run(name, func(t *testing.T) {
			o := startOrders(t, &memLog{}, map[string]func(int) (bool, error){
				"start": func(n int) (bool, error) { return n != 0, fault.New(fault.Unavailable, fault.NotRun, "no connection") },
			}, nil)
			id := jobs.ID("a-0.99")
			if name == "ended job" {
				id = o.submit("late", true).ID
				o.cancel(id)
				until(t, func() bool { j, _ := o.g.job(id); return j.Ended() })
				_, running := o.runs(id)
				assert.Equal(t, running, 0)
			}
			kept := o.submit("kept", true)
			until(t, func() bool { _, running := o.runs(kept.ID); return running == 1 })
			o.startLate(id)
			o.untilStopped(id)
			time.Sleep(2 * o.g.cfg.Timing.ReconcileInterval)
			all, running := o.runs(kept.ID)
			assert.Equal(t, all, 1)
			assert.Equal(t, running, 1)
		})
	}
}

// TestLostAttemptThatRunsIsStopped reports a worker's attempts as lost although the
// worker runs them on.
func TestLostAttemptThatRunsIsStopped(t *testing.T) {
	o := startOrders(t, &memLog{}, nil, nil)
	j := o.submit("survey", false)
	until(t, func() bool { _, running := o.runs(j.ID); return running == 1 })
	o.g.mu.Lock()
	o.g.allocations.MarkWorkerLost(o.fleet.List()[0].ID)
	o.g.mu.Unlock()
	o.untilStopped(j.ID)
}

// TestUnwantedOnlyFromOwner asks a replaced owner that has not noticed about an attempt
// that its successor may have started.
func TestUnwantedOnlyFromOwner(t *testing.T) {
	g, log := newOwnedGroup(t)
	msg := wire.UnwantedMsg{Group: "a-0", Attempts: []alloc.Attempt{{Task: "a-0.9/0", Number: 1}}}
	a, err := g.Unwanted(context.Background(), msg)
	assert.NilError(t, err)
	assert.DeepEqual(t, a.Attempts, msg.Attempts)
	appendOtherClaim(t, log)
	a, err = g.Unwanted(context.Background(), msg)
	assert.Assert(t, fault.HasCode(err, fault.NotOwner), "%v", err)
	assert.Equal(t, len(a.Attempts), 0)
}
