package lead

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/clock"
	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/ports"
)

// movedWorker is a worker whose first start and first stop fail: the start is lost, and
// the stop reaches another worker that has got its address.
type movedWorker struct {
	recorder
	tries int // starts so far
	moved bool
}

func (r *movedWorker) Start(ctx context.Context, o ports.StartOrder) (int64, error) {
	r.mu.Lock()
	r.tries++
	lost := r.tries <= startTries
	r.mu.Unlock()
	if lost {
		return 0, fault.New(fault.Timeout, fault.Unknown, "no answer")
	}
	return r.recorder.Start(ctx, o)
}

func (r *movedWorker) Stop(context.Context, ports.StopOrder) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.moved {
		r.moved = true
		return &ports.RefusedError{Reason: ports.RefusedIncarnation, Status: 421}
	}
	return nil
}

// TestRefusedStopIsRepeated guards against a task that never runs: its start was lost, and
// the stop that has to precede the next one was refused by another worker.
func TestRefusedStopIsRepeated(t *testing.T) {
	r := &movedWorker{recorder: recorder{starts: make(chan ports.StartOrder, 10), advice: make(chan string, 100)}}
	o := startOwnerFrom(t, sched.NewState(), &lateRegistry{}, r, clock.System{})
	assert.NilError(t, <-submit(o, testJob("00000000000000aa")))
	select {
	case start := <-r.starts:
		assert.Equal(t, start.Run, 2)
	case <-time.After(cancelBoundMs * time.Millisecond):
		t.Fatal("the task was not started again")
	}
}
