package lead

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/clock"
	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/polls"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/ports"
)

// restartable is a worker whose runs end as done at once. After a restart, connections
// that were open before stay silent. recorder.mu guards its fields.
type restartable struct {
	recorder
	incarnation int64
	conn        int64 // incarnation at the other end of the connection for heartbeats; 0 if there is none
	lastSeq     int64
	ends        []sched.Finished // not acknowledged
	acked       int64            // highest number acknowledged to this incarnation
	starts      map[string]int   // by task
}

// restart starts a new incarnation, which knows nothing of the earlier one.
func (r *restartable) restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.incarnation++
	r.lastSeq, r.ends, r.acked = 0, nil, 0
}

func (r *restartable) Start(_ context.Context, o ports.StartOrder) (int64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[o.Task]++
	r.lastSeq++
	r.ends = append(r.ends, sched.Finished{Seq: r.lastSeq, Task: o.Task, Run: o.Run, Reason: sched.EndDone})
	return 1000, nil
}

func (r *restartable) Heartbeat(ctx context.Context, q ports.HeartbeatRequest) (ports.HeartbeatResponse, error) {
	r.mu.Lock()
	if q.SameConn && r.conn == 0 {
		r.mu.Unlock()
		return ports.HeartbeatResponse{}, ports.ErrConnClosed
	}
	if r.conn == 0 {
		r.conn = r.incarnation
	}
	r.mu.Unlock()
	clock.Sleep(ctx, max(q.Wait/20, time.Millisecond))
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn != r.incarnation {
		r.mu.Unlock()
		<-ctx.Done()
		r.mu.Lock()
		r.conn = 0
		return ports.HeartbeatResponse{}, fault.New(fault.Timeout, fault.Unknown, "no answer")
	}
	r.acked = max(r.acked, q.Seen)
	r.ends = slices.DeleteFunc(r.ends, func(f sched.Finished) bool { return f.Seq <= q.Seen })
	return ports.HeartbeatResponse{ClockMs: 1000, Incarnation: r.incarnation, Finished: slices.Clone(r.ends)}, nil
}

// TestRestartedWorkerKeepsItsEnds guards against done tasks that run again: the worker
// restarts unnoticed, and the number of an end of its earlier incarnation acknowledges
// the ends of tasks that have run on the new one.
func TestRestartedWorkerKeepsItsEnds(t *testing.T) {
	store := &gatedStore{results: make(chan error)}
	go func() {
		for {
			select {
			case store.results <- nil:
			case <-t.Context().Done():
				return
			}
		}
	}()
	r := &restartable{recorder: recorder{advice: make(chan string, 100)}, incarnation: 1, starts: map[string]int{}}
	o := startTestOwner(t, store, r)
	runJobs := func(from, n int) {
		for i := from; i < from+n; i++ {
			assert.NilError(t, <-submit(o, testJob(fmt.Sprintf("%016x", i))))
		}
	}
	completed := func(from, n int) bool {
		for i := from; i < from+n; i++ {
			if s, err := o.Status(t.Context(), fmt.Sprintf("%016x", i)); err != nil || s != sched.StatusCompleted {
				return false
			}
		}
		return true
	}
	runJobs(0, 5)
	polls.Until(t, pollTimeout, "the ends are acknowledged", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.acked == 5
	})
	r.restart()
	runJobs(5, 3) // the next heartbeat waits for an answer of the earlier incarnation
	polls.Until(t, pollTimeout, "all jobs are completed", func() bool { return completed(0, 8) })
	r.mu.Lock()
	defer r.mu.Unlock()
	for task, n := range r.starts {
		assert.Check(t, n == 1, "%s was started %d times", task, n)
	}
}
