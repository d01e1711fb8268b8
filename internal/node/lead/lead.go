// Package lead runs the one owner of the jobs' topic: it writes what the
// planner decides, sends orders to workers, and follows what they report.
//
// One loop writes. In each cycle it takes the waiting submissions and
// cancellations, lets the planner place what fits, appends all records in one
// call, and only then answers callers and sends starts. The append carries the
// owner's epoch and a sequence number, so it can be repeated without harm, by
// this host or through a peer, until its outcome is known. An owner whose epoch
// has been exceeded ends at once.
//
// One loop for each worker renews its lease and takes its lists. A worker is
// told to forget an end only after the end is stored.
//
// # Usage
//
//	l := lead.Start(lead.Config{State: state, Epoch: epoch, Store: store, Workers: client, ...})
//	err := l.Submit(ctx, spec)
//	<-l.Done() // deposed or stopped
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

// Writer names the sequence of appends to the jobs' topic.
const Writer = "owner"

// Advisers asks for advice through several hosts.
type Advisers interface {
	sched.Desks
	// Advise asks through the desk that the question has taken, and releases
	// it. The answer's age is the time since the service gave it.
	Advise(ctx context.Context, w sched.Want) (ports.Advice, time.Duration, error)
}

// Config describes a Lead.
type Config struct {
	Claim    sched.Claim
	Topic    string
	State    *sched.State // all records up to the claim
	Store    ports.Store
	Workers  ports.Workers
	Advisers Advisers
	Registry string // topic of the workers' entries
	Parse    func(key string, value []byte) (sched.WorkerInfo, error)
	WorkerID func(key string) string
	View     sched.View
	Clock    clock.Clock
	Logger   logr.Logger
	Metrics  *Metrics
	KeepMs   int64 // how long an ended job is remembered
	LeaseMax int64 // longest lease that a worker grants, in ms
}

// Timing of an owner.
const (
	leaseMs        = 5_000                  // outlives a takeover and a loss of power of all hosts for 2 s; the tasks of a crashed worker wait for it
	silenceMs      = 6_000                  // without a stored record for so long, an owner renews nothing
	idleEvery      = 500 * time.Millisecond // an idle owner shows that it lives
	planEvery      = 25 * time.Millisecond  // tickets and due times change without an event
	registryEvery  = 250 * time.Millisecond // a draining worker gets no start 2 s later
	appendTimeout  = 700 * time.Millisecond // a slow store answers within 300 ms
	busyPause      = 25 * time.Millisecond
	storeStuck     = 1200 * time.Millisecond // a longer append refuses new submissions at once
	maxSubmissions = 4_000                   // waiting for the store at once
)

// Lead is a running owner.
type Lead struct {
	cfg    Config
	log    logr.Logger
	cancel context.CancelFunc
	ctx    context.Context
	loops  sync.WaitGroup
	done   chan struct{}
	end    sync.Once
	kick   chan struct{} // something has changed
	write  chan struct{} // something is to be stored
	seq    int64         // of the next append; used by the write loop only
	slow   bool          // the last append was slow; used by the write loop only

	mu        sync.Mutex
	plan      *sched.Planner
	submits   []*submission
	cancels   []*cancellation
	clocks    map[string]workerClock
	holds     map[string]context.CancelFunc
	stops     map[sched.Stop]bool
	starts    []sched.Start // placed, their intents not stored
	stored    chan struct{} // closed and replaced after each append
	stuckFrom time.Time     // since when an append has been without an answer
	confirmed time.Time     // departure of the last append that was stored
	explained time.Time     // when waiting parts were explained last
}

type workerClock struct {
	clock int64 // of the worker, in ms
	at    time.Time
	born  int64 // incarnation that has this clock
}

type submission struct {
	spec sched.Spec
	done chan error
}

type cancellation struct {
	id   string
	done chan error
}

// Start begins to act as the owner.
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

func (l *Lead) lease() int64 {
	if l.cfg.LeaseMax > 0 {
		return min(leaseMs, l.cfg.LeaseMax)
	}
	return leaseMs
}

// now returns the present instant by both clocks.
func (l *Lead) now() sched.Instant {
	t := l.cfg.Clock.Now()
	return sched.Instant{Ms: steadyMs(t), Wall: t.UnixMilli()}
}

var processStart = time.Now()

// steadyMs returns the reading of the steady clock in t.
func steadyMs(t time.Time) int64 { return t.Sub(processStart).Milliseconds() }

// Done is closed when the owner has ended.
func (l *Lead) Done() <-chan struct{} { return l.done }

// Stop ends the ownership. Submissions that were not stored are refused.
func (l *Lead) Stop(reason string) {
	l.end.Do(func() {
		l.log.Info("gave up ownership", "reason", reason)
		l.cancel()
	})
}

// wake makes the planner look at what has changed.
func (l *Lead) wake() { signal(l.kick) }

// signal marks ch, unless it is marked already.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// SetView takes a new configuration.
func (l *Lead) SetView(v sched.View) {
	l.mu.Lock()
	l.plan.SetView(v)
	l.mu.Unlock()
	l.wake()
}

// errStopped refuses work that an ending owner has not sent to the store.
func errStopped() error {
	return fault.New(fault.NotOwner, fault.NotRun, "this host no longer owns the jobs")
}

// Submit stores a job and returns nil once it is stored. A job that is stored
// already is accepted again without effect.
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

// admit refuses submissions that could not be stored soon. The caller holds
// the lock.
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

// retryAfterOutage is in seconds; outages of the store last several.
const retryAfterOutage = 2

// errDoubt answers a request whose record may be stored already or yet.
func errDoubt() error {
	return fault.New(fault.Timeout, fault.Unknown, "the store has not confirmed the request yet")
}

// refusal returns the refusal of a submission, unless an earlier one of the same
// job is on its way to the store: then the job may run yet. The caller holds the
// lock.
func (l *Lead) refusal(id string, err error) error {
	if _, sent := l.plan.Job(id); sent {
		return errDoubt()
	}
	return err
}

// abandon takes a submission back if it was not sent to the store yet.
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

// Cancel ends a job and returns once that is stored.
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

// Status returns a job's state.
func (l *Lead) Status(id string) (sched.Status, bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return "", false, errStopped()
	}
	s, ok := l.plan.Status(id)
	return s, ok, nil
}

// Pending counts the jobs of a queue of which nothing has started.
func (l *Lead) Pending(queue string) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return 0, errStopped()
	}
	return l.plan.Pending(queue), nil
}
