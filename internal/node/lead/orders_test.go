package lead

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
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
	case <-time.After(stopOrderMs * time.Millisecond):
		t.Fatal("the task was not started again")
	}
}

// slowRegistry confirms all appends. Each listing of its registry takes delay.
type slowRegistry struct {
	gatedStore
	delay time.Duration
}

func (s *slowRegistry) Append(context.Context, ports.AppendRequest) (int64, error) { return 0, nil }

func (s *slowRegistry) Newest(ctx context.Context, topic, after string) (ports.Newest, error) {
	if clock.Sleep(ctx, s.delay); ctx.Err() != nil {
		return ports.Newest{}, fault.New(fault.Timeout, fault.Unknown, "no answer")
	}
	return s.gatedStore.Newest(ctx, topic, after)
}

// TestSlowRegistryIsRead guards against an owner that calls no worker as long as a listing
// of the registry takes longer than one time-out: runs of cancelled jobs went on.
func TestSlowRegistryIsRead(t *testing.T) {
	const id = "00000000000000aa"
	r := &stoppable{stopped: make(chan struct{})}
	r.running = []sched.Running{{Task: id + ".0.0.0", Run: 3}}
	o := Start(ownerConfig(cancelledState(t, id), &slowRegistry{delay: 1_200 * time.Millisecond}, r, clock.System{}))
	t.Cleanup(func() {
		o.Stop("the test has ended")
		<-o.Done()
	})
	select {
	case <-r.stopped:
	case <-time.After(stopOrderMs * time.Millisecond):
		t.Fatal("the run was not stopped")
	}
}

// silentWorker is a stoppable worker that answers nothing until it is awake.
type silentWorker struct {
	stoppable
	awake  chan struct{}
	called chan struct{} // heartbeats that got no answer
}

func (r *silentWorker) asleep() bool {
	select {
	case <-r.awake:
		return false
	default:
		return true
	}
}

func (r *silentWorker) Stop(ctx context.Context, o ports.StopOrder) error {
	if r.asleep() {
		<-ctx.Done()
		return fault.New(fault.Timeout, fault.Unknown, "no answer")
	}
	return r.stoppable.Stop(ctx, o)
}

func (r *silentWorker) Heartbeat(ctx context.Context, q ports.HeartbeatRequest) (ports.HeartbeatResponse, error) {
	if r.asleep() {
		<-ctx.Done()
		r.called <- struct{}{}
		return ports.HeartbeatResponse{}, fault.New(fault.Timeout, fault.Unknown, "no answer")
	}
	return r.stoppable.Heartbeat(ctx, q)
}

// TestStopFollowsAddress guards against a dropped stop that waits for the next heartbeat to
// a silent worker, although an entry has told the address: a stop is retried more often.
func TestStopFollowsAddress(t *testing.T) {
	const id = "00000000000000aa"
	r := &silentWorker{stoppable: stoppable{stopped: make(chan struct{})}, awake: make(chan struct{}), called: make(chan struct{}, 100)}
	r.running = []sched.Running{{Task: id + ".0.0.0", Run: 3}}
	o := Start(ownerConfig(cancelledState(t, id), &slowRegistry{delay: 300 * time.Millisecond}, r, clock.System{}))
	t.Cleanup(func() {
		o.Stop("the test has ended")
		<-o.Done()
	})
	for range 5 { // the pause between heartbeats has grown to maxHeartbeatRetryPause
		<-r.called
	}
	close(r.awake)
	select {
	case <-r.stopped:
	case <-time.After(stopTimeout + 2*stopRetryPause):
		t.Fatal("the run was not stopped")
	}
}

// brokenWorker is a worker whose first starts get no answer, and whose stops are answered
// with a status that says nothing about the run.
type brokenWorker struct {
	recorder
	tries, stopped int
}

func (r *brokenWorker) Start(ctx context.Context, o ports.StartOrder) (int64, error) {
	r.mu.Lock()
	r.tries++
	lost := r.tries <= startTries
	r.mu.Unlock()
	if lost {
		return 0, fault.New(fault.Timeout, fault.Unknown, "no answer")
	}
	return r.recorder.Start(ctx, o)
}

func (r *brokenWorker) Stop(context.Context, ports.StopOrder) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped++
	if r.stopped > 2 {
		return nil
	}
	return &ports.RefusedError{Reason: ports.RefusedOther, Status: 500}
}

// TestFailedStopIsNoConfirmation guards against a second run while the first may still
// start: the stop between them was answered with 500.
func TestFailedStopIsNoConfirmation(t *testing.T) {
	r := &brokenWorker{recorder: recorder{starts: make(chan ports.StartOrder, 10), advice: make(chan string, 100)}}
	o := startOwnerFrom(t, sched.NewState(), &lateRegistry{}, r, clock.System{})
	assert.NilError(t, <-submit(o, testJob("00000000000000aa")))
	select {
	case s := <-r.starts:
		r.mu.Lock()
		defer r.mu.Unlock()
		assert.Assert(t, r.stopped > 2, "run %d was started after %d stops, all answered with 500", s.Run, r.stopped)
	case <-time.After(5 * time.Second):
		t.Fatal("not started again")
	}
}

// TestRefusedStopIsRepeatedByTheNextReport guards against a stop that was refused by another
// worker and is repeated only after stopAgainMs.
func TestRefusedStopIsRepeatedByTheNextReport(t *testing.T) {
	r := &movedWorker{recorder: recorder{starts: make(chan ports.StartOrder, 10), advice: make(chan string, 100)}}
	o := startOwnerFrom(t, sched.NewState(), &lateRegistry{}, r, clock.System{})
	assert.NilError(t, <-submit(o, testJob("00000000000000aa")))
	select {
	case start := <-r.starts:
		assert.Equal(t, start.Run, 2)
	case <-time.After(900 * time.Millisecond): // below stopAgainMs of package sched
		t.Fatal("the task was not started again")
	}
}

// heldLog is a log sink that holds the line about a dropped stop until let is closed.
type heldLog struct {
	let  chan struct{}
	once sync.Once
}

func (l *heldLog) Init(logr.RuntimeInfo)          {}
func (l *heldLog) Enabled(int) bool               { return true }
func (l *heldLog) Error(error, string, ...any)    {}
func (l *heldLog) WithValues(...any) logr.LogSink { return l }
func (l *heldLog) WithName(string) logr.LogSink   { return l }
func (l *heldLog) Info(_ int, msg string, _ ...any) {
	if strings.HasPrefix(msg, "stop not sent") {
		l.once.Do(func() { <-l.let })
	}
}

// TestAddressLearntWhileStopIsDropped guards against a stop that is not repeated when the
// address of the worker becomes known between its look-up and the note that it was dropped.
func TestAddressLearntWhileStopIsDropped(t *testing.T) {
	const id = "00000000000000aa"
	r := &silentWorker{stoppable: stoppable{stopped: make(chan struct{})}, awake: make(chan struct{}), called: make(chan struct{}, 100)}
	r.running = []sched.Running{{Task: id + ".0.0.0", Run: 3}}
	l := &heldLog{let: make(chan struct{})}
	cfg := ownerConfig(cancelledState(t, id), &slowRegistry{delay: 300 * time.Millisecond}, r, clock.System{})
	cfg.Logger = logr.New(l)
	o := Start(cfg)
	t.Cleanup(func() {
		o.Stop("the test has ended")
		<-o.Done()
	})
	<-r.called // the address is known
	close(l.let)
	for range 4 {
		<-r.called
	}
	close(r.awake)
	from := time.Now()
	<-r.stopped
	d := time.Since(from).Round(time.Millisecond)
	assert.Assert(t, d < stopTimeout+2*stopRetryPause, "stopped %v after the worker was back", d)
}

// pollingWorker is a stoppable worker whose answers to heartbeats take as long as they may,
// and which confirms the first ignore stops without carrying them out.
type pollingWorker struct {
	stoppable
	ignore int
}

func (r *pollingWorker) Heartbeat(ctx context.Context, q ports.HeartbeatRequest) (ports.HeartbeatResponse, error) {
	clock.Sleep(ctx, q.Wait)
	return r.stoppable.Heartbeat(ctx, ports.HeartbeatRequest{LeaseEnd: q.LeaseEnd})
}

func (r *pollingWorker) Stop(ctx context.Context, o ports.StopOrder) error {
	r.mu.Lock()
	r.ignore--
	ignored := r.ignore >= 0
	r.mu.Unlock()
	if ignored {
		return nil
	}
	return r.stoppable.Stop(ctx, o)
}

// TestIgnoredStopsAreRepeatedInTime guards against a stop that is repeated too late: the worker
// confirms stops without carrying them out, and answers heartbeats as late as it may.
func TestIgnoredStopsAreRepeatedInTime(t *testing.T) {
	const id = "00000000000000aa"
	for _, ignored := range []int{0, 1, 2} {
		t.Run(fmt.Sprint(ignored), func(t *testing.T) {
			r := &pollingWorker{stoppable: stoppable{stopped: make(chan struct{})}, ignore: ignored}
			r.running = []sched.Running{{Task: id + ".0.0.0", Run: 3}}
			o := Start(ownerConfig(cancelledState(t, id), &slowRegistry{}, r, clock.System{}))
			t.Cleanup(func() {
				o.Stop("the test has ended")
				<-o.Done()
			})
			select {
			case <-r.stopped:
			case <-time.After(stopOrderMs * time.Millisecond):
				t.Fatal("the run was not stopped")
			}
		})
	}
}
