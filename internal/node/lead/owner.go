// Package lead runs the owner of the jobs: the one entry host that plans and
// that appends to the job topic of the store. It stores the planner's decisions,
// sends starts and stops to workers and processes their reports.
//
// A submission is planned as soon as it arrives. One loop writes to the store. Each
// of its cycles takes the queued cancellations, runs the planner and appends all
// records, in several batches if there are many. Only then does it respond to callers
// and send starts, so the intent to start a task is stored before the start is sent.
// An append carries the owner's epoch and a sequence number, so it is idempotent: this
// host or a peer can repeat it until its outcome is known. An owner stops as soon as it
// sees a higher epoch.
//
// One loop per worker sends heartbeats, which renew the worker's lease and return
// its running tasks and ended runs. A run is one execution of a task. The owner
// acknowledges an ended run only after it is stored.
//
// # Usage
//
//	o := lead.Start(lead.Config{Claim: claim, State: state, Store: store, Workers: client, ...})
//	err := o.Submit(ctx, spec)
//	<-o.Done() // lost ownership or was stopped
package lead

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"lagooncourse/internal/base/clock"
	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/guard"
	"lagooncourse/internal/base/logs"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/ports"
)

// JobTopicWriter is the writer name of all appends to the job topic.
const JobTopicWriter = "owner"

// AdviceClient sends requests to the advice service through several hosts.
type AdviceClient interface {
	sched.AdviceHosts
	// Advise sends the request through the host reserved for it and releases
	// that host. It also returns the estimated time since the service answered.
	Advise(ctx context.Context, w sched.AdviceRequest) (ports.Advice, time.Duration, error)
}

// Config configures an owner.
type Config struct {
	Claim        sched.Claim
	JobTopic     string
	State        *sched.State // built from all records up to the claim
	Store        ports.Store
	Workers      ports.Workers
	AdviceClient AdviceClient
	WorkerTopic  string                                                   // topic of the worker registry
	ParseWorker  func(key string, value []byte) (sched.WorkerInfo, error) // decodes a registry record
	WorkerID     func(key string) string                                  // worker ID in the key of a registry record
	Policy       sched.Policy
	Clock        clock.Clock
	Logger       logr.Logger
	Metrics      *Metrics
	RetentionMs  int64 // retention time of ended jobs
	MaxLeaseMs   int64 // longest lease that a worker grants, in ms
	RecordBytes  int   // longest record that the store takes; 0 means the default of package sched
	AppendBytes  int   // longest append that the store takes; 0 means the default of package sched
	Interference bool  // see sched.Config
}

// Intervals, timeouts and limits of an owner.
const (
	leaseMs              = 5_000                   // outlasts a takeover and a 2 s power loss of all hosts; a longer lease delays the rerun of a crashed worker's tasks
	maxConfirmAgeMs      = 6_000                   // an owner sends no orders if its last confirmed append is older; a new owner waits this long in addition to a lease
	idleAppendInterval   = 500 * time.Millisecond  // an idle owner appends a record to show that it is alive
	planInterval         = 25 * time.Millisecond   // maximum time between planner runs; expired tickets and due jobs cause no wake-up
	registryPollInterval = 250 * time.Millisecond  // a worker must get no start later than 2 s after its registry entry says that it drains
	storeTimeout         = 700 * time.Millisecond  // of a registry read, and of an append unless the last ones took long
	maxListingTimeout    = 2500 * time.Millisecond // of a page of a listing of the registry, after others have timed out
	maxAppendTimeout     = 2500 * time.Millisecond // the store refuses an append that would have to wait longer than 2 s
	appendTimeoutFactor  = 4                       // latencies of the last append
	appendRetryPause     = 25 * time.Millisecond
	storeOutageAfter     = 1200 * time.Millisecond // new and queued submissions are rejected while an append is unconfirmed for longer
	maxQueuedSubmissions = 4_000                   // further submissions are rejected
	maxWithdrawalLines   = 50                      // log lines a second
	maxOddEntryLines     = 5                       // log lines a second about invalid registry entries
	maxStopLines         = 50                      // log lines a second of each kind about stops and lingering runs
	maxErrTextBytes      = 300                     // of an error that quotes an entry, in a log line
	maxQueueLines        = 50                      // log lines about queues of accepted jobs, for each configuration
	stalledAfter         = 3 * time.Second         // without a finished plan, an owner counts as stalled; a plan takes milliseconds
)

// Owner is a running owner of the job topic.
type Owner struct {
	cfg       Config
	log       logr.Logger
	cancel    context.CancelFunc
	ctx       context.Context
	loops     sync.WaitGroup
	done      chan struct{}
	stopOnce  sync.Once
	planWake  chan struct{} // wakes the plan loop
	writeWake chan struct{} // wakes the write loop
	nextSeq   int64         // sequence number of the next append; used by the write loop only
	offset    int64         // of the last confirmed append; used by the write loop only
	storeSlow bool          // the last append was slow; used by the write loop only
	latency   time.Duration // of the last confirmed append; used by the write loop only

	listingTimeout time.Duration // of the next listing of the registry; used by the registry loop only

	plannedAt atomic.Int64 // when the last plan was finished, as Clock.Elapsed

	mu               sync.Mutex
	planner          *sched.Planner
	submissions      []*submission
	storing          []*submission // of the current cycle, which may need several appends
	cycle            *cycleWork    // not finished yet; nil if there is none
	cancellations    []*cancellation
	confirmations    []*confirmation
	confirmPending   bool // the write loop will be woken for them
	workerClocks     map[string]workerClock
	heartbeatLoops   map[string]context.CancelFunc // by worker; present while its heartbeat loop runs
	stopsInFlight    map[stopKey]bool
	plannedStarts    []sched.Start // planned, intents not stored yet
	stored           chan struct{} // closed and replaced after a cycle that stored records
	unconfirmedSince time.Time     // when the unconfirmed append was first sent; zero if there is none
	lastConfirmed    time.Time     // when the confirmed try of the last append was sent
	validFrom        time.Duration // lastConfirmed as Clock.Elapsed; see mayAct
	lastWaitingLog   time.Time     // time of the last log lines about steps that wait for long
	isolation        isolationSample
	clashes          map[string]bool // pairs of images that were logged

	withdrawals logs.Limiter // of the log lines about submissions that were taken back
	oddEntries  logs.Limiter // of the log lines about invalid registry entries
	stopLines   logs.Limiter // of the log lines about first requests of stops
	adoptLines  logs.Limiter // of the log lines about adopted runs of ended jobs
	againLines  logs.Limiter // of the log lines about runs that are stopped again or were not expected
	retryLines  logs.Limiter // of the log lines about stops that were sent again without success
	goneLines   logs.Limiter // of the log lines about cancelled jobs without runs
	answerLines logs.Limiter // of the log lines about workers that answer
}

// workerClock is a reading of a worker's clock.
type workerClock struct {
	ms          int64 // time shown by the worker's clock
	readAt      time.Time
	incarnation int64 // of the worker
}

// submission is a job that waits to be stored.
type submission struct {
	spec sched.Spec
	done chan error
}

// cancellation is a cancel request that waits to be stored.
type cancellation struct {
	id   string
	done chan error
}

// Start runs an owner in the background.
func Start(cfg Config) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	o := &Owner{
		cfg: cfg, ctx: ctx, cancel: cancel, done: make(chan struct{}), planWake: make(chan struct{}, 1), writeWake: make(chan struct{}, 1),
		log:          cfg.Logger.WithName("lead").WithValues("epoch", cfg.Claim.Epoch),
		workerClocks: map[string]workerClock{}, heartbeatLoops: map[string]context.CancelFunc{}, stopsInFlight: map[stopKey]bool{},
		withdrawals: logs.Limiter{Lines: maxWithdrawalLines, Interval: time.Second}, oddEntries: logs.Limiter{Lines: maxOddEntryLines, Interval: time.Second},
		stopLines: stopLimiter(), adoptLines: stopLimiter(), againLines: stopLimiter(), retryLines: stopLimiter(), goneLines: stopLimiter(), answerLines: stopLimiter(),
		stored: make(chan struct{}), lastConfirmed: cfg.Clock.Now(), validFrom: cfg.Clock.Elapsed(), nextSeq: 1,
	}
	o.plannedAt.Store(int64(cfg.Clock.Elapsed()))
	o.planner = sched.NewPlanner(sched.Config{
		State: cfg.State, PrevOwnerRenewMs: maxConfirmAgeMs, LeaseMs: o.leaseDurationMs(), MaxLeaseMs: cfg.MaxLeaseMs, RetentionMs: cfg.RetentionMs,
		RecordBytes: cfg.RecordBytes, AppendBytes: cfg.AppendBytes, Interference: cfg.Interference,
	}, o.now())
	o.log.Info("took over", "jobs", len(cfg.State.Jobs), "offset", cfg.State.NextOffset)
	o.setPolicy(cfg.Policy)
	for name, loop := range map[string]func(){"plan loop": o.planLoop, "write loop": o.writeLoop, "registry loop": o.registryLoop} {
		o.loops.Add(1)
		go func() {
			defer o.loops.Done()
			o.guarded(name, loop)
		}()
	}
	go func() {
		o.loops.Wait()
		o.mu.Lock()
		cfg.Metrics.setLingering(0)
		cfg.Metrics.setIsolation(sched.Isolation{})
		o.mu.Unlock()
		close(o.done)
	}()
	return o
}

// locked calls f with o.mu held. A panic in f passes on, but the planner may be left half
// changed, so ownership is given up: the next owner starts from the stored records.
func (o *Owner) locked(f func()) {
	o.mu.Lock()
	done := false
	defer func() {
		o.mu.Unlock()
		if !done {
			o.Stop("the state may be damaged by a panic")
		}
	}()
	f()
	done = true
}

// guarded calls f, one of the owner's goroutines. A panic in it ends ownership, since its
// work would be left undone.
func (o *Owner) guarded(name string, f func()) {
	if !guard.Run(o.log, name, f) {
		o.Stop("panic in " + name)
	}
}

// leaseDurationMs returns the duration of a lease: leaseMs or the maximum of the
// workers, whichever is shorter.
func (o *Owner) leaseDurationMs() int64 {
	if o.cfg.MaxLeaseMs > 0 {
		return min(leaseMs, o.cfg.MaxLeaseMs)
	}
	return leaseMs
}

// now returns the current time as monotonic and wall-clock milliseconds.
func (o *Owner) now() sched.Instant {
	t := o.cfg.Clock.Now()
	return sched.Instant{Ms: monotonicMs(t), WallMs: t.UnixMilli()}
}

// processStart is the origin of the monotonic time.
var processStart = time.Now()

// monotonicMs returns the milliseconds between process start and t.
func monotonicMs(t time.Time) int64 { return t.Sub(processStart).Milliseconds() }

// Done returns a channel that is closed when all loops of the owner have ended.
func (o *Owner) Done() <-chan struct{} { return o.done }

// Epoch returns the epoch of the ownership.
func (o *Owner) Epoch() int64 { return o.cfg.Claim.Epoch }

// Stop gives up ownership, and reports whether this call did. The write loop then fails
// the submissions and cancellations that are not confirmed as stored.
func (o *Owner) Stop(reason string) (stopped bool) {
	o.stopOnce.Do(func() {
		o.log.Info("gave up ownership", "reason", reason)
		o.cancel()
		stopped = true
	})
	return stopped
}

// Stalled returns how long ago the last plan was finished, or 0 if the owner is not
// stalled. It does not wait for the owner's mutex, which a stalled owner may hold: its
// host still answers pings, and would be taken for a working owner.
func (o *Owner) Stalled() time.Duration {
	if d := o.cfg.Clock.Elapsed() - time.Duration(o.plannedAt.Load()); d > stalledAfter {
		return d
	}
	return 0
}

// wakePlanner wakes the plan loop.
func (o *Owner) wakePlanner() { notify(o.planWake) }

// notify sends on ch, or does nothing if a notification is already pending.
func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// SetPolicy passes a new configuration to the planner.
func (o *Owner) SetPolicy(v sched.Policy) {
	o.locked(func() { o.setPolicy(v) })
	o.wakePlanner()
}

// setPolicy passes a configuration to the planner and logs the queues that accepted jobs keep
// without it. The caller holds o.mu.
func (o *Owner) setPolicy(v sched.Policy) {
	changes := o.planner.SetPolicy(v)
	for i, c := range changes {
		if i == maxQueueLines {
			o.log.Info("more queues of accepted jobs have changed", "queues", len(changes)-i)
			return
		}
		if c.NewName != "" {
			o.log.Info("queue of accepted jobs has another name", "queue", c.Queue, "now", c.NewName, "service", c.Service, "jobs", c.Jobs)
			continue
		}
		o.log.Info("queue of accepted jobs is not in the configuration", "queue", c.Queue, "service", c.Service, "jobs", c.Jobs)
	}
}

// errNotOwner returns the error for a request that has not been sent to the store
// because the owner has stopped.
func errNotOwner() error {
	return fault.New(fault.NotOwner, fault.NotRun, "this host no longer owns the jobs")
}

// Submit returns nil once the job is stored. Repeating the submission of a stored
// job has no effect. The job is planned at once, so that its first starts can be
// stored by the append that stores the job: a store that is slow delays a job by one
// append instead of two.
func (o *Owner) Submit(ctx context.Context, spec sched.Spec) error {
	s := &submission{spec: spec, done: make(chan error, 1)}
	var queued bool
	var err error
	o.locked(func() { queued, err = o.enqueue(s) })
	if !queued {
		return err
	}
	notify(o.writeWake)
	select {
	case err := <-s.done:
		return err
	case <-ctx.Done():
		return o.withdraw(s)
	}
}

// enqueue queues a submission and plans its job. If it does not, the result is err: nil if
// the job is known. The caller holds o.mu.
func (o *Owner) enqueue(s *submission) (queued bool, err error) {
	s.spec.ID = o.planner.ResolveSubmission(s.spec)
	if _, known := o.planner.Status(s.spec.ID); known {
		return false, nil
	}
	if o.planner.Denied(s.spec.ID) {
		return false, fault.New(fault.Conflict, fault.NotRun, "job %q was cancelled before it was submitted", s.spec.ID)
	}
	if err := o.planner.CheckSize(s.spec); err != nil {
		return false, err
	}
	if err := o.admit(); err != nil {
		return false, o.rejection(s.spec.ID, err)
	}
	o.submissions = append(o.submissions, s)
	o.planner.Accept(s.spec, o.now())
	return true, nil
}

// admit returns an error if a new submission cannot be stored soon: the owner has
// stopped, the queue is full or the store does not answer. The caller holds o.mu.
func (o *Owner) admit() error {
	switch {
	case o.ctx.Err() != nil:
		return errNotOwner()
	case len(o.submissions) >= maxQueuedSubmissions:
		return fault.New(fault.Overload, fault.NotRun, "%d submissions wait for the store", len(o.submissions)).WithRetryAfter(1)
	case o.storeAway():
		return errStoreAway(outageRetryAfterSeconds)
	}
	return nil
}

// outageRetryAfterSeconds is the Retry-After value during a store outage. An
// outage usually lasts several seconds.
const outageRetryAfterSeconds = 2

// errUnconfirmed returns the error for a request whose record may have been sent
// to the store but is not confirmed. The record may or may not be stored.
func errUnconfirmed() error {
	return fault.New(fault.Timeout, fault.Unknown, "the store has not confirmed the request yet")
}

// rejection returns err, or errUnconfirmed if the job of an earlier submission may
// be stored or still waits to be stored. The caller holds o.mu.
func (o *Owner) rejection(id string, err error) error {
	if _, known := o.planner.Job(id); known {
		return errUnconfirmed()
	}
	return err
}

// reject returns the error for a submission that was removed from o.submissions. It
// is err if the job is taken back: no record of it has been sent to the store, and no
// other submission waits for it, neither in o.submissions nor in a cycle whose next
// batch will hold the job. The caller holds o.mu.
func (o *Owner) reject(s *submission, err error) error {
	sameJob := func(other *submission) bool { return other.spec.ID == s.spec.ID }
	if !slices.ContainsFunc(o.submissions, sameJob) && !slices.ContainsFunc(o.storing, sameJob) && o.planner.Withdraw(s.spec.ID) {
		if skipped, ok := o.withdrawals.Allow(o.cfg.Clock.Now()); ok {
			o.log.Info("took submission back", "job", s.spec.ID, "reason", err.Error(), "skipped", skipped)
		}
	}
	return o.rejection(s.spec.ID, err)
}

// rejectQueued rejects all queued submissions. The caller holds o.mu.
func (o *Owner) rejectQueued(err error) {
	queued := o.submissions
	o.submissions = nil
	for _, s := range queued {
		s.done <- o.reject(s, err)
	}
}

// withdraw removes a submission that has not been sent to the store. For one that
// has been sent, it returns the result, or errUnconfirmed if there is none yet.
func (o *Owner) withdraw(s *submission) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if i := slices.Index(o.submissions, s); i >= 0 {
		o.submissions = slices.Delete(o.submissions, i, i+1)
		return o.reject(s, fault.New(fault.Unavailable, fault.NotRun, "not stored in time").WithRetryAfter(1))
	}
	select {
	case err := <-s.done:
		return err
	default:
	}
	return errUnconfirmed()
}

// Cancel cancels a job and returns once the cancellation is stored. It returns a
// NotFound error if the job does not exist, once it is stored that the job must not be
// accepted later.
func (o *Owner) Cancel(ctx context.Context, id string) error {
	if !o.exists(id) {
		if err := o.awaitRead(ctx, answerDenial); err != nil {
			return err
		}
	}
	c := &cancellation{id: id, done: make(chan error, 1)}
	o.mu.Lock()
	if o.ctx.Err() != nil {
		o.mu.Unlock()
		return errNotOwner()
	}
	o.cancellations = append(o.cancellations, c)
	o.mu.Unlock()
	notify(o.writeWake)
	select {
	case err := <-c.done:
		return err
	case <-ctx.Done():
		return errUnconfirmed()
	}
}

// exists reports whether a job with this ID is accepted or waits to be stored.
func (o *Owner) exists(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, ok := o.planner.Job(o.planner.ResolveID(id))
	return ok
}
