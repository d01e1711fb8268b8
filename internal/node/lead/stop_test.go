package lead

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/clock"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/ports"
)

// lateRegistry confirms all appends. Its registry is listed only after a delay.
type lateRegistry struct {
	gatedStore
	delay time.Duration
}

func (s *lateRegistry) Append(context.Context, ports.AppendRequest) (int64, error) { return 0, nil }

func (s *lateRegistry) Newest(ctx context.Context, topic, after string) (ports.Newest, error) {
	clock.Sleep(ctx, s.delay)
	return s.gatedStore.Newest(ctx, topic, after)
}

// stoppable is a worker on which one task runs until a stop that it carries out.
type stoppable struct {
	recorder
	once    sync.Once
	deaf    bool          // it confirms the first stop without carrying it out
	stopped chan struct{} // closed when the task has been stopped
}

func (r *stoppable) Stop(_ context.Context, o ports.StopOrder) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.deaf {
		r.deaf = false
		return nil
	}
	for _, run := range r.running {
		if run.Task == o.Task && run.Run <= o.Run {
			r.running = nil
			r.once.Do(func() { close(r.stopped) })
			break
		}
	}
	return nil
}

// cancelledState returns the state of a job that was cancelled while run 3 of its task was
// on w1.
func cancelledState(t *testing.T, id string) *sched.State {
	spec := testJob(id)
	s := sched.NewState()
	key, value, err := sched.SpecRecord(spec)
	assert.NilError(t, err)
	assert.NilError(t, s.Apply(key, value))
	key, value, err = sched.ProgressRecord(id, sched.Progress{
		Cancel: true, Verdict: sched.Cancelled, EndMs: time.Now().UnixMilli(), RunConfirmed: true,
		Tasks: []sched.Task{{State: sched.Placed, LastRun: 3, Worker: "w1", Incarnation: 1}},
	})
	assert.NilError(t, err)
	assert.NilError(t, s.Apply(key, value))
	s.Claim = sched.Claim{Epoch: 1, Host: "h", Addr: "h"}
	return s
}

// cancelBoundMs is the bound of the platform for a run of a cancelled job: cancel_ms and
// stopMs of the smallest deployments.
const cancelBoundMs = 3_900

// stopOrderMs is the part of cancelBoundMs within which the order to stop has to arrive, so
// that the worker has the 0.9 s that it may take.
const stopOrderMs = cancelBoundMs - 900

// TestCancelledRunIsStopped guards against a run that goes on, with a lease that is
// renewed, after its job was cancelled: the stop is lost while a new owner does not know
// the address of the worker yet, or the worker confirms it and does not carry it out.
func TestCancelledRunIsStopped(t *testing.T) {
	for name, c := range map[string]struct {
		delay time.Duration
		deaf  bool
	}{
		"registry read at once":      {},
		"registry read late":         {delay: 300 * time.Millisecond},
		"stop confirmed, not obeyed": {deaf: true},
	} {
		t.Run(name, func(t *testing.T) {
			const id = "00000000000000aa"
			r := &stoppable{deaf: c.deaf, stopped: make(chan struct{})}
			r.running = []sched.Running{{Task: id + ".0.0.0", Run: 3}}
			startOwnerFrom(t, cancelledState(t, id), &lateRegistry{delay: c.delay}, r, clock.System{})
			select {
			case <-r.stopped:
			case <-time.After(stopOrderMs * time.Millisecond):
				t.Fatal("the run was not stopped")
			}
		})
	}
}

// TestLingeringRunIsLogged checks that a run that outlasts its job is among the runs that
// the owner logs.
func TestLingeringRunIsLogged(t *testing.T) {
	const id = "00000000000000aa"
	now := sched.Instant{Ms: 1_000, WallMs: time.Now().UnixMilli()}
	p := sched.NewPlanner(sched.Config{State: cancelledState(t, id), LeaseMs: 5_000, RetentionMs: 60_000}, now)
	p.SetWorker(sched.WorkerInfo{ID: "w1", Addr: "w1", Service: "s", Incarnation: 1, Capacity: jobs.Size{CPU: 8_000}}, now)
	now.Ms += 5_000
	p.Tick(now)
	runs := p.UnconfirmedRuns(waitingAfterMs, maxWaitingLines, now)
	assert.Equal(t, len(runs), 1)
	assert.Equal(t, runs[0].Task, id+".0.0.0")
}
