package lead

import (
	"context"
	"errors"
	"time"

	"lagooncourse/internal/base/clock"
	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/ports"
)

// planLoop runs the planner after each change and at least every planInterval. It
// does not wait for appends, so advice is requested and capacity is reserved while
// the store is slow.
func (o *Owner) planLoop() {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.planWake:
		case <-ticker.C:
		}
		var unstored bool
		o.locked(func() { unstored = o.planLocked() })
		o.plannedAt.Store(int64(o.cfg.Clock.Elapsed()))
		if unstored {
			notify(o.writeWake)
		}
		clock.Sleep(o.ctx, planDebounce)
	}
}

// planDebounce is the pause after a planner run, so that events that arrive
// together are handled in one run. It is a tenth of the target start latency of
// urgent jobs.
const planDebounce = 5 * time.Millisecond

// planLocked requeues the tasks of lost workers, places the tasks that fit,
// requests advice and sends stops. It reports whether there is anything to store.
// The caller holds o.mu.
func (o *Owner) planLocked() bool {
	now := o.now()
	for _, id := range o.planner.Tick(now) {
		o.log.Info("worker lost", "worker", id)
	}
	o.logCrashes()
	plan := o.planner.Plan(o.cfg.AdviceClient, now)
	o.plannedStarts = append(o.plannedStarts, plan.Starts...)
	for _, req := range plan.Requests {
		go o.guarded("advice request", func() { o.requestAdvice(req) })
	}
	o.logWaiting(now)
	o.logEndings()
	o.noteLingering()
	o.noteIsolation(now)
	o.noteInterference()
	for _, id := range o.planner.TakeFullJobs() {
		o.log.Info("checkpoints of job are too long, keeping earlier ones", "job", id)
	}
	o.dispatchStops()
	return o.planner.HasUnstored() || len(o.submissions) > 0 || len(o.cancellations) > 0
}

// writeLoop runs a cycle on each wake-up and at least every idleAppendInterval.
func (o *Owner) writeLoop() {
	defer o.rejectAll()
	ticker := time.NewTicker(idleAppendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case <-o.writeWake:
		case <-ticker.C:
		}
		if !o.runCycle() {
			return
		}
	}
}

// runCycle stores the pending records, then responds to callers and sends starts.
// It returns false when ownership has ended.
func (o *Owner) runCycle() bool {
	w, err := o.prepare()
	for err == nil {
		stored := []*sched.Batch{w.batch}
		if len(w.batch.Keys) > 0 {
			switch o.appendBatch(w.batch) {
			case appendEnded:
				return false
			case appendStored:
				w.confirmed = true
			case appendRefused:
				var ok bool
				if stored, ok = o.appendByJob(w); !ok {
					return false
				}
				w.confirmed = w.confirmed || len(stored) > 0
			}
		}
		var complete bool
		o.locked(func() {
			for _, b := range stored {
				o.planner.Stored(b)
			}
			if complete = w.batch.Complete; complete {
				o.storing = nil
				o.releaseStarts(w)
				return
			}
			w.batch, err = o.planner.TakeBatch(o.now())
		})
		if complete {
			break
		}
	}
	if err != nil {
		o.log.Error(err, "failed to encode records")
		o.Stop("failed to encode records")
		return false
	}
	o.respond(w)
	o.locked(func() { o.cycle = nil })
	return true
}

// cycleWork holds the requests and starts of one cycle of the write loop.
type cycleWork struct {
	batch          *sched.Batch // current batch; a cycle may need several
	confirmed      bool         // the store has confirmed an append
	submissions    []*submission
	cancellations  []*cancellation
	plannedStarts  []sched.Start          // their intents are in the batches
	releasedStarts []sched.Start          // may be sent, since their intents are stored
	jobMissing     map[*cancellation]bool // true if the job does not exist
	refused        map[string]bool        // jobs of which the store has refused records for good
	removed        map[string]bool        // submitted jobs that are not stored for that reason
}

// failUnconfirmed fails the requests that have no result yet when ownership ends before
// their append was confirmed.
func (w *cycleWork) failUnconfirmed() {
	fail := func(done chan error) {
		select {
		case done <- errUnconfirmed():
		default:
		}
	}
	for _, s := range w.submissions {
		fail(s.done)
	}
	for _, c := range w.cancellations {
		fail(c.done)
	}
}

// prepare takes the queued requests, runs the planner and builds the first batch.
func (o *Owner) prepare() (w *cycleWork, err error) {
	o.locked(func() { w, err = o.prepareLocked() })
	return w, err
}

// prepareLocked is prepare for a caller that holds o.mu.
func (o *Owner) prepareLocked() (w *cycleWork, err error) {
	now := o.now()
	w = &cycleWork{submissions: o.submissions, cancellations: o.cancellations, jobMissing: map[*cancellation]bool{}, refused: map[string]bool{}, removed: map[string]bool{}}
	o.submissions, o.cancellations, o.storing, o.cycle = nil, nil, w.submissions, w
	confirm := o.takeConfirmations()
	for _, c := range w.cancellations {
		c.id = o.planner.ResolveID(c.id)
		w.jobMissing[c] = !o.planner.Cancel(c.id, now)
		if w.jobMissing[c] {
			o.planner.Deny(c.id, now)
			confirm = true
		}
	}
	o.planLocked()
	w.plannedStarts, o.plannedStarts = o.plannedStarts, nil
	w.batch, err = o.planner.TakeBatch(now)
	if err == nil && w.batch.Empty() && (confirm || o.cfg.Clock.Now().Sub(o.lastConfirmed) > idleAppendInterval) {
		err = o.addClaim(w.batch)
	}
	return w, err
}

// Limits of the log lines about tasks that have waited for a long time.
const (
	waitingAfterMs     = 3_000
	waitingLogInterval = 2 * time.Second
	maxWaitingLines    = 10 // of each kind, per waitingLogInterval
)

// errTaskLost is the error of a task that the planner would never start.
var errTaskLost = errors.New("lost task")

// logWaiting logs why tasks that have waited for a long time are not running: their
// step is not placed, their run is not confirmed, or their gang is split. The caller
// holds o.mu.
func (o *Owner) logWaiting(now sched.Instant) {
	if t := o.cfg.Clock.Now(); t.Sub(o.lastWaitingLog) < waitingLogInterval {
		return
	} else {
		o.lastWaitingLog = t
	}
	for _, e := range o.planner.ExplainWaiting(waitingAfterMs, maxWaitingLines, now) {
		o.log.Info("still waiting", "step", e.Step, "waitMs", e.WaitMs, "idle", e.Waiting, "unusable", e.Unusable, "unasked", e.NoAdvice,
			"denied", e.Denied, "noRoom", e.NoCapacity, "noTicket", e.NoTicket, "slots", e.Slots, "overLimit", e.OverLimit, "asked", e.Requested, "requests", e.Requests, "hostWaitMs", e.HostWaitMs, "kept", e.Reserved, "suspects", e.Suspects, "onTrial", e.OnTrial)
	}
	for _, r := range o.planner.UnconfirmedRuns(waitingAfterMs, maxWaitingLines, now) {
		o.log.Info("run not confirmed", "task", r.Task, "run", r.Run, "worker", r.Worker, "phase", r.Phase, "waitMs", r.WaitMs, "stopping", r.Stopping,
			"reachable", r.Reachable, "leaseMs", r.LeaseMs, "jobEnded", r.JobEnded)
	}
	o.logUnaddressed(now)
	for _, g := range o.planner.SplitGangs(waitingAfterMs, maxWaitingLines, now) {
		o.log.Info("gang split", "step", g.Step, "waitMs", g.WaitMs, "idle", g.Waiting, "placed", g.Placed, "running", g.Running)
	}
	for _, text := range o.planner.LostTasks(maxWaitingLines) {
		o.log.Error(errTaskLost, "inconsistent planner", "task", text)
	}
}

// crashMessages are the log messages for what a loss meant for a task.
var crashMessages = map[sched.CrashVerdict]string{
	sched.CrashCounted:   "worker crashed under task",
	sched.SuspectGivenUp: "gave up task, its workers crashed",
	sched.SuspectCleared: "cleared task of crashes, losses are common",
}

// logCrashes logs the crashes of workers soon after the start of a task, and the jobs
// that have failed for them. The caller holds o.mu.
func (o *Owner) logCrashes() {
	for _, c := range o.planner.TakeCrashes() {
		o.log.Info(crashMessages[c.Verdict], "job", c.Ref.Job, "task", c.Ref.String(), "run", c.Run, "worker", c.Worker, "crashes", c.Crashes, "alone", c.Alone, "unexplained", c.Unexplained)
	}
}

// logEndings logs the verdicts that were reached since the last call. The records that
// store them are in the next append. The caller holds o.mu.
func (o *Owner) logEndings() {
	for _, e := range o.planner.TakeEndings() {
		switch e.Verdict {
		case sched.JobFailed:
			o.log.Info("job ended", "job", e.Job, "verdict", e.Verdict.String(), "task", e.Task.String(), "run", e.Run, "how", string(e.Reason),
				"failures", e.Failures, "limit", e.Limit)
		case sched.Cancelled:
			o.log.Info("job ended", "job", e.Job, "verdict", e.Verdict.String())
		default:
			o.log.V(1).Info("job ended", "job", e.Job, "verdict", e.Verdict.String())
		}
	}
}

// addClaim adds the owner's claim record, which shows that the owner is alive.
func (o *Owner) addClaim(b *sched.Batch) error {
	key, value, err := sched.ClaimRecord(o.cfg.Claim)
	b.Keys, b.Values = append(b.Keys, key), append(b.Values, value)
	return err
}

// releaseStarts selects the starts that may be sent now that their intents are
// stored, and wakes the loops and requests that wait for the append. The caller holds
// o.mu.
func (o *Owner) releaseStarts(w *cycleWork) {
	w.releasedStarts = o.planner.ReleaseStarts(w.plannedStarts, o.now())
	for _, s := range w.submissions {
		if _, stored := o.planner.Status(s.spec.ID); !stored {
			w.removed[s.spec.ID] = true // perhaps in an earlier cycle, and perhaps submitted again since
		}
	}
	for _, c := range w.cancellations {
		if o.planner.IsSetAside(c.id) {
			w.refused[c.id] = true
		} else {
			o.planner.CancelAcked(c.id, o.now())
		}
	}
	if w.confirmed {
		o.confirmed() // otherwise the next cycle does, at the latest that of an idle owner
	}
	if len(w.batch.Keys) > 0 {
		close(o.stored)
		o.stored = make(chan struct{})
	}
	o.dispatchStops()
}

// respond responds to the callers of a stored cycle and sends its starts.
func (o *Owner) respond(w *cycleWork) {
	for _, s := range w.submissions {
		if w.removed[s.spec.ID] {
			s.done <- errNotStorable(s.spec.ID)
			continue
		}
		o.log.Info("accepted job", "job", s.spec.ID, "queue", s.spec.Queue, "team", s.spec.Team, "steps", len(s.spec.Steps))
		s.done <- nil
	}
	for _, c := range w.cancellations {
		if w.refused[c.id] {
			c.done <- errUnconfirmed()
			continue
		}
		if w.jobMissing[c] {
			c.done <- o.errNoJob(c.id)
			continue
		}
		o.log.Info("cancelled job", "job", c.id, "offset", o.offset)
		c.done <- nil
	}
	for _, s := range w.releasedStarts {
		go o.guarded("start", func() { o.sendStart(s) })
	}
}

// appendResult is the result of an append.
type appendResult int

// Results of an append.
const (
	appendStored  appendResult = iota
	appendEnded                // ownership has ended
	appendRefused              // the store will never accept it, whoever sends it
)

// errNotStorable returns the error for a job whose record the store refuses.
func errNotStorable(id string) error {
	return fault.New(fault.TooLarge, fault.NotRun, "the store does not accept the record of job %q", id)
}

// errRefused is logged for records that the store refuses for good.
var errRefused = errors.New("the store refuses records for good")

// appendByJob appends the records of each job by themselves, after the store has refused
// them together: those of one job must not hold up the others. It returns the batches
// that are stored, and false when ownership has ended.
func (o *Owner) appendByJob(w *cycleWork) (stored []*sched.Batch, ok bool) {
	refused := map[string]bool{} // in this batch; a later one may hold a job anew
	for _, one := range w.batch.ByJob() {
		if refused[one.Job()] {
			continue
		}
		switch o.appendBatch(one) {
		case appendEnded:
			return nil, false
		case appendStored:
			stored = append(stored, one)
		case appendRefused:
			refused[one.Job()], w.refused[one.Job()] = true, true
			var setAside bool
			o.locked(func() { setAside = o.planner.Refused(one, o.now()) })
			o.log.Error(errRefused, "records of a job are not stored", "job", one.Job(), "records", len(one.Keys), "new", len(one.Accepted) > 0, "setAside", setAside)
		}
	}
	return stored, true
}

// appendBatch appends a batch and retries until the outcome is known.
func (o *Owner) appendBatch(b *sched.Batch) appendResult {
	req := ports.AppendRequest{Topic: o.cfg.JobTopic, Writer: JobTopicWriter, Epoch: o.cfg.Claim.Epoch, Seq: o.nextSeq}
	for i, key := range b.Keys {
		req.Records = append(req.Records, ports.Record{Key: key, Value: b.Values[i]})
	}
	for tries := 0; ; tries++ {
		sent, sentAt := o.cfg.Clock.Now(), o.cfg.Clock.Elapsed()
		ctx, cancel := context.WithTimeout(o.ctx, o.appendTimeout())
		offset, err := o.cfg.Store.Append(ctx, req)
		cancel()
		if err == nil {
			o.recordLatency(o.cfg.Clock.Now().Sub(sent), tries)
			o.mu.Lock()
			o.unconfirmedSince = time.Time{}
			o.lastConfirmed, o.validFrom = sent, sentAt
			o.mu.Unlock()
			o.nextSeq++
			o.offset = offset
			return appendStored
		}
		if o.ctx.Err() != nil {
			return appendEnded
		}
		if reason := ports.ReasonOf(err); reason == ports.RefusedFence || reason == ports.RefusedSequence {
			o.Stop("append refused, another owner is writing: " + string(reason))
			return appendEnded
		}
		if ports.ReasonOf(err) == ports.RefusedInvalid {
			return appendRefused
		}
		o.appendFailed(sent, err, tries)
		time.Sleep(appendRetryPause)
	}
}

// appendTimeout returns the timeout of one try of an append. A try that is repeated
// too early delays itself: the store processes both copies.
func (o *Owner) appendTimeout() time.Duration {
	return min(max(appendTimeoutFactor*o.latency, storeTimeout), maxAppendTimeout)
}

// slowAppendThreshold is about ten times the usual append latency.
const slowAppendThreshold = 100 * time.Millisecond

// recordLatency records the latency of the confirmed try of an append. It logs
// when the store becomes slow or fast again.
func (o *Owner) recordLatency(d time.Duration, retries int) {
	o.cfg.Metrics.observeAppend(d, retries)
	o.latency = d
	if storeSlow := d > slowAppendThreshold; storeSlow != o.storeSlow {
		o.storeSlow = storeSlow
		o.log.Info("store speed", "slow", storeSlow, "tookMs", d.Milliseconds(), "tries", retries, "seq", o.nextSeq)
	}
}

// appendFailed handles a failed try of an append. It also sends stops, and rejects
// the queued submissions during a store outage.
func (o *Owner) appendFailed(sent time.Time, err error, tries int) {
	o.locked(func() {
		if o.unconfirmedSince.IsZero() {
			o.unconfirmedSince = sent
		}
		o.dispatchStops()
	})
	if tries == 0 {
		o.log.Info("append not confirmed", "err", err.Error(), "seq", o.nextSeq)
	}
	o.rejectDuringOutage()
}

// rejectDuringOutage rejects the queued submissions and the confirmations once an
// append has been unconfirmed for storeOutageAfter. The submissions have not been sent
// to the store, but an earlier submission of the same job may have been.
func (o *Owner) rejectDuringOutage() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.storeAway() {
		return
	}
	err := errStoreAway(outageRetryAfterSeconds)
	o.rejectQueued(err)
	o.rejectConfirmations(err)
}

// rejectAll rejects the queued requests when ownership ends.
func (o *Owner) rejectAll() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.cycle != nil {
		o.cycle.failUnconfirmed()
	}
	o.rejectQueued(errNotOwner())
	o.rejectConfirmations(errNotOwner())
	for _, c := range o.cancellations {
		c.done <- errNotOwner()
	}
	o.cancellations = nil
}

// requestAdvice requests advice and passes the answer to the planner.
func (o *Owner) requestAdvice(req sched.AdviceRequest) {
	ctx, cancel := context.WithTimeout(o.ctx, adviceExtraTimeout+time.Duration(2*req.ResponseMs)*time.Millisecond)
	defer cancel()
	sent := o.cfg.Clock.Now()
	a, age, err := o.cfg.AdviceClient.Advise(ctx, req)
	now := o.now()
	o.locked(func() { o.planner.ApplyAdvice(req, a.Tickets, err == nil, now.Ms-age.Milliseconds(), now) })
	o.cfg.Metrics.countAdvice(err == nil)
	o.log.Info("advice", "step", req.Step, "asked", len(req.Workers), "allowed", len(a.Tickets), "desk", req.Host,
		"costMs", int(req.ResponseMs), "tookMs", o.cfg.Clock.Now().Sub(sent).Milliseconds(), "err", errText(err))
	o.wakePlanner()
}

// adviceExtraTimeout is the time that an advice request may take in addition to
// twice its expected response time: the host that sends it may still be serving a
// request of an earlier owner.
const adviceExtraTimeout = time.Second
