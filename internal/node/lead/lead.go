// Package lead runs the owner of the job topic. It stores the planner's
// decisions, sends orders to workers and processes their reports.
//
// A single loop writes. Each cycle takes the queued submissions and
// cancellations, runs the planner, appends all records in one call, and only
// then responds to callers and sends starts. An append carries the owner's epoch
// and a sequence number, so it is idempotent: this host or a peer can repeat it
// until its outcome is known. An owner stops as soon as it sees a higher epoch.
//
// One loop per worker sends heartbeats, which renew the worker's lease and return
// its running tasks and ended runs. The owner acknowledges an ended run only
// after it is stored.
//
// # Usage
//
//	o := lead.Start(lead.Config{Claim: claim, State: state, Store: store, Workers: client, ...})
//	err := o.Submit(ctx, spec)
//	<-o.Done() // lost ownership or was stopped
package lead

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lagooncourse/internal/base/clock"
	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/ports"
)

// Writer is the writer name of all appends to the job topic.
const Writer = "owner"

// Advisers sends requests to the advice service through several hosts.
type Advisers interface {
	sched.Desks
	// Advise sends the request through the host reserved for it and releases
	// that host. It also returns the age of the answer.
	Advise(ctx context.Context, w sched.Want) (ports.Advice, time.Duration, error)
}

// Config configures an owner.
type Config struct {
	Claim    sched.Claim
	Topic    string
	State    *sched.State // built from all records up to the claim
	Store    ports.Store
	Workers  ports.Workers
	Advisers Advisers
	Registry string // topic of the worker registry
	Parse    func(key string, value []byte) (sched.WorkerInfo, error)
	WorkerID func(key string) string
	View     sched.View
	Clock    clock.Clock
	Logger   logr.Logger
	Metrics  *Metrics
	KeepMs   int64 // retention time of ended jobs
	LeaseMax int64 // longest lease that a worker grants, in ms
}

// Intervals, timeouts and limits of an owner.
const (
	leaseMs        = 5_000                  // survives a takeover and a 2 s power loss of all hosts; delays the rerun of a crashed worker's tasks
	silenceMs      = 6_000                  // an owner without a confirmed append for this long renews no leases
	idleEvery      = 500 * time.Millisecond // an idle owner appends a record to show that it is alive
	planEvery      = 25 * time.Millisecond  // tickets expire and jobs become due without an event
	registryEvery  = 250 * time.Millisecond // a draining worker must get no start 2 s later
	appendTimeout  = 700 * time.Millisecond // a slow store answers within 300 ms
	busyPause      = 25 * time.Millisecond
	storeStuck     = 1200 * time.Millisecond // a longer append makes new submissions fail fast
	maxSubmissions = 4_000                   // submissions queued for the store
)

// Owner is a running owner of the job topic.
type Lead struct {
	cfg    Config
	log    logr.Logger
	cancel context.CancelFunc
	ctx    context.Context
	loops  sync.WaitGroup
	done   chan struct{}
	end    sync.Once
	kick   chan struct{} // wakes the plan loop
	write  chan struct{} // wakes the write loop
	seq    int64         // of the next append; used by the write loop only
	slow   bool          // the last append was slow; used by the write loop only

	mu        sync.Mutex
	plan      *sched.Planner
	submits   []*submission
	cancels   []*cancellation
	clocks    map[string]workerClock
	holds     map[string]context.CancelFunc
	stops     map[sched.Stop]bool
	starts    []sched.Start // planned, intents not stored yet
	stored    chan struct{} // closed and replaced after each append
	stuckFrom time.Time     // send time of the first try of the unconfirmed append; zero if there is none
	confirmed time.Time     // send time of the last confirmed append
	explained time.Time     // time of the last log lines about late tasks
}

// workerClock is a reading of a worker's clock.
type workerClock struct {
	clock int64 // in ms
	at    time.Time
	born  int64 // incarnation of the worker
}

// submission is a job that waits to be stored.
type submission struct {
	spec sched.Spec
	done chan error
}

// cancellation is a request to cancel a job that waits to be stored.
type cancellation struct {
	id   string
	done chan error
}

// Start runs an owner in the background.
func Start(cfg Config) *Lead {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Lead{
		cfg: cfg, ctx: ctx, cancel: cancel, done: make(chan struct{}), kick: make(chan struct{}, 1), write: make(chan struct{}, 1),
		log:    cfg.Logger.WithName("lead").WithValues("epoch", cfg.Claim.Epoch),
		clocks: map[string]workerClock{}, holds: map[string]context.CancelFunc{}, stops: map[sched.Stop]bool{},
		stored: make(chan struct{}), confirmed: cfg.Clock.Now(), seq: 1,
	}
	l.plan = sched.NewPlanner(sched.Config{
		State: cfg.State, SilenceMs: silenceMs, LeaseMs: l.lease(), LeaseMaxMs: cfg.LeaseMax, KeepMs: cfg.KeepMs,
	}, l.now())
	l.plan.SetView(cfg.View)
	l.log.Info("took over", "jobs", len(cfg.State.Jobs), "offset", cfg.State.Next)
	for _, loop := range []func(){l.planLoop, l.writeLoop, l.registryLoop} {
		l.loops.Add(1)
		go func() {
			defer l.loops.Done()
			loop()
		}()
	}
	go func() {
		l.loops.Wait()
		close(l.done)
	}()
	return l
}

// leaseDuration returns the lease duration in ms: leaseMs or the maximum of the
// workers, whichever is shorter.
func (l *Lead) lease() int64 {
	if l.cfg.LeaseMax > 0 {
		return min(leaseMs, l.cfg.LeaseMax)
	}
	return leaseMs
}

// now returns the current time as monotonic and wall-clock milliseconds.
func (l *Lead) now() sched.Instant {
	t := l.cfg.Clock.Now()
	return sched.Instant{Ms: steadyMs(t), Wall: t.UnixMilli()}
}

var processStart = time.Now()

// monotonicMs returns the milliseconds between process start and t.
func steadyMs(t time.Time) int64 { return t.Sub(processStart).Milliseconds() }

// Done returns a channel that is closed when all loops of the owner have ended.
func (l *Lead) Done() <-chan struct{} { return l.done }

// Stop gives up ownership and fails the submissions that are not stored.
func (l *Lead) Stop(reason string) {
	l.end.Do(func() {
		l.log.Info("gave up ownership", "reason", reason)
		l.cancel()
	})
}

// wakePlanner wakes the plan loop.
func (l *Lead) wake() { signal(l.kick) }

// notify sends on ch without blocking; a pending notification is not repeated.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// SetView passes a new configuration to the planner.
func (l *Lead) SetView(v sched.View) {
	l.mu.Lock()
	l.plan.SetView(v)
	l.mu.Unlock()
	l.wake()
}

// errNotOwner returns the error for requests that a stopping owner has not sent
// to the store.
func errStopped() error {
	return fault.New(fault.NotOwner, fault.NotRun, "this host no longer owns the jobs")
}

// Submit returns nil once the job is stored. Repeating the submission of a stored
// job has no effect.
func (l *Lead) Submit(ctx context.Context, spec sched.Spec) error {
	s := &submission{spec: spec, done: make(chan error, 1)}
	l.mu.Lock()
	if _, known := l.plan.Status(spec.ID); known {
		l.mu.Unlock()
		return nil
	}
	if err := l.admit(); err != nil {
		defer l.mu.Unlock()
		return l.refusal(spec.ID, err)
	}
	l.submits = append(l.submits, s)
	l.mu.Unlock()
	signal(l.write)
	select {
	case err := <-s.done:
		return err
	case <-ctx.Done():
		return l.abandon(s)
	}
}

// admit rejects a submission that cannot be stored soon. The caller holds o.mu.
func (l *Lead) admit() error {
	switch {
	case l.ctx.Err() != nil:
		return errStopped()
	case len(l.submits) >= maxSubmissions:
		return fault.New(fault.Overload, fault.NotRun, "%d submissions wait for the store", len(l.submits)).WithRetryAfter(1)
	case !l.stuckFrom.IsZero() && l.cfg.Clock.Now().Sub(l.stuckFrom) > storeStuck:
		return fault.New(fault.Unavailable, fault.NotRun, "the store does not answer").WithRetryAfter(retryAfterOutage)
	}
	return nil
}

// outageRetryAfterSeconds is the Retry-After value during a store outage, which
// lasts several seconds.
const retryAfterOutage = 2

// errUnconfirmed returns the error for a request whose record is sent: it may be
// stored already or may be stored later.
func errDoubt() error {
	return fault.New(fault.Timeout, fault.Unknown, "the store has not confirmed the request yet")
}

// rejection returns err, or errUnconfirmed if an earlier submission of the same
// job has been sent to the store and may still run. The caller holds o.mu.
func (l *Lead) refusal(id string, err error) error {
	if _, sent := l.plan.Job(id); sent {
		return errDoubt()
	}
	return err
}

// withdraw removes a submission that has not been sent to the store. For one that
// has been sent, it returns the result, or errUnconfirmed if there is none yet.
func (l *Lead) abandon(s *submission) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, o := range l.submits {
		if o == s {
			l.submits = append(l.submits[:i], l.submits[i+1:]...)
			return l.refusal(s.spec.ID, fault.New(fault.Unavailable, fault.NotRun, "not stored in time").WithRetryAfter(1))
		}
	}
	select {
	case err := <-s.done:
		return err
	default:
	}
	return errDoubt()
}

// Cancel cancels a job and returns once the cancellation is stored.
func (l *Lead) Cancel(ctx context.Context, id string) error {
	c := &cancellation{id: id, done: make(chan error, 1)}
	l.mu.Lock()
	if l.ctx.Err() != nil {
		l.mu.Unlock()
		return errStopped()
	}
	l.cancels = append(l.cancels, c)
	l.mu.Unlock()
	signal(l.write)
	select {
	case err := <-c.done:
		return err
	case <-ctx.Done():
		return errDoubt()
	}
}

// Status returns a job's state and whether the job exists.
func (l *Lead) Status(id string) (sched.Status, bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return "", false, errStopped()
	}
	s, ok := l.plan.Status(id)
	return s, ok, nil
}

// Pending returns the number of jobs of a queue without a started task.
func (l *Lead) Pending(queue string) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return 0, errStopped()
	}
	return l.plan.Pending(queue), nil
}
