package lead

import (
	"context"
	"time"

	"lagooncourse/internal/base/clock"
	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/ports"
)

// planLoop runs the planner after each change. It does not wait for appends, so
// advice is requested and capacity is reserved while the store is slow.
func (l *Lead) planLoop() {
	timer := time.NewTicker(planEvery)
	defer timer.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.kick:
		case <-timer.C:
		}
		l.mu.Lock()
		due := l.planLocked()
		l.mu.Unlock()
		if due {
			signal(l.write)
		}
		clock.Sleep(l.ctx, planPause)
	}
}

// planDebounce batches events that arrive together. It is a tenth of the target
// start latency of urgent jobs.
const planPause = 5 * time.Millisecond

// planLocked places the tasks that fit and requests advice. It reports whether
// there is anything to store. The caller holds o.mu.
func (l *Lead) planLocked() bool {
	now := l.now()
	for _, id := range l.plan.Tick(now) {
		l.log.Info("worker lost", "worker", id)
	}
	plan := l.plan.Plan(l.cfg.Advisers, now)
	l.starts = append(l.starts, plan.Starts...)
	for _, want := range plan.Wants {
		go l.ask(want)
	}
	l.explainLate(now)
	l.takeStops()
	return l.plan.Dirty() || len(l.submits) > 0 || len(l.cancels) > 0
}

// writeLoop runs a cycle on each wake-up and at least every idleAppendInterval.
func (l *Lead) writeLoop() {
	defer l.refuseAll()
	timer := time.NewTicker(idleEvery)
	defer timer.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.write:
		case <-timer.C:
		}
		if !l.cycle() {
			return
		}
	}
}

// runCycle stores the pending records, then responds to callers and sends starts.
// It returns false when ownership has ended.
func (l *Lead) cycle() bool {
	w, err := l.prepare()
	for err == nil {
		if len(w.batch.Keys) > 0 && !l.store(w.batch) {
			w.doubt()
			return false
		}
		l.mu.Lock()
		l.plan.Stored(w.batch)
		if w.batch.Complete {
			l.finish(w)
			l.mu.Unlock()
			break
		}
		w.batch, err = l.plan.TakeDirty(l.now())
		l.mu.Unlock()
	}
	if err != nil {
		l.log.Error(err, "failed to encode records")
		l.Stop("failed to encode records")
		w.doubt()
		return false
	}
	l.answer(w)
	return true
}

// cycleWork is the work of one cycle.
type work struct {
	batch   *sched.Batch
	submits []*submission
	cancels []*cancellation
	starts  []sched.Start          // intents are in the batch
	send    []sched.Start          // released for sending
	unknown map[*cancellation]bool // the job does not exist
}

// failUnconfirmed fails the requests whose append was not confirmed when ownership
// ended.
func (w *work) doubt() {
	for _, s := range w.submits {
		s.done <- errDoubt()
	}
	for _, c := range w.cancels {
		c.done <- errDoubt()
	}
}

// prepare takes the queued requests, runs the planner and builds the first batch.
func (l *Lead) prepare() (w *work, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	w = &work{submits: l.submits, cancels: l.cancels, unknown: map[*cancellation]bool{}}
	l.submits, l.cancels = nil, nil
	for _, s := range w.submits {
		l.plan.Accept(s.spec, now)
	}
	for _, c := range w.cancels {
		w.unknown[c] = !l.plan.Cancel(c.id, now)
	}
	l.planLocked()
	w.starts, l.starts = l.starts, nil
	w.batch, err = l.plan.TakeDirty(now)
	if err == nil && w.batch.Empty() && l.cfg.Clock.Now().Sub(l.confirmed) > idleEvery {
		err = l.addSign(w.batch)
	}
	return w, err
}

// Limits of the log lines about steps that have waited for long.
const (
	lateAfterMs  = 3_000
	explainEvery = 2 * time.Second
	mostExplain  = 10
)

// logLate logs why steps that have waited for long are not placed. The caller
// holds o.mu.
func (l *Lead) explainLate(now sched.Instant) {
	if t := l.cfg.Clock.Now(); t.Sub(l.explained) < explainEvery {
		return
	} else {
		l.explained = t
	}
	for _, e := range l.plan.Late(lateAfterMs, mostExplain, now) {
		l.log.Info("still waiting", "step", e.Step, "waitMs", e.WaitMs, "idle", e.Idle, "unusable", e.Unusable, "unasked", e.Unasked,
			"denied", e.Denied, "noRoom", e.NoRoom, "noTicket", e.NoTicket, "slots", e.Slots, "overLimit", e.OverLimit, "asked", e.Asked, "kept", e.Kept)
	}
}

// addClaim adds the owner's claim record, which shows that the owner is alive.
func (l *Lead) addSign(b *sched.Batch) error {
	key, value, err := sched.ClaimRecord(l.cfg.Claim)
	b.Keys, b.Values = append(b.Keys, key), append(b.Values, value)
	return err
}

// releaseStarts releases the starts whose intents are stored. The caller holds
// o.mu.
func (l *Lead) finish(w *work) {
	w.send = l.plan.Release(w.starts, l.now())
	if len(w.batch.Keys) > 0 {
		close(l.stored)
		l.stored = make(chan struct{})
	}
	l.takeStops()
}

// respond responds to the callers of a stored cycle and sends its starts.
func (l *Lead) answer(w *work) {
	for _, s := range w.submits {
		l.log.Info("accepted job", "job", s.spec.ID, "queue", s.spec.Queue, "team", s.spec.Team, "steps", len(s.spec.Steps))
		s.done <- nil
	}
	for _, c := range w.cancels {
		if w.unknown[c] {
			c.done <- fault.New(fault.NotFound, fault.NotRun, "no job %q", c.id)
			continue
		}
		l.log.Info("cancelled job", "job", c.id)
		c.done <- nil
	}
	for _, s := range w.send {
		go l.send(s)
	}
}

// appendBatch appends a batch and retries until the outcome is known. It returns
// false when ownership has ended.
func (l *Lead) store(b *sched.Batch) bool {
	req := ports.AppendRequest{Topic: l.cfg.Topic, Writer: Writer, Epoch: l.cfg.Claim.Epoch, Seq: l.seq}
	for i, key := range b.Keys {
		req.Records = append(req.Records, ports.Record{Key: key, Value: b.Values[i]})
	}
	for tries := 0; ; tries++ {
		sent := l.cfg.Clock.Now()
		ctx, cancel := context.WithTimeout(l.ctx, appendTimeout)
		_, err := l.cfg.Store.Append(ctx, req)
		cancel()
		if err == nil {
			l.noteSpeed(l.cfg.Clock.Now().Sub(sent), tries)
			l.mu.Lock()
			l.stuckFrom = time.Time{}
			l.confirmed = sent
			l.mu.Unlock()
			l.seq++
			return true
		}
		if l.ctx.Err() != nil {
			return false
		}
		if reason := ports.ReasonOf(err); reason == ports.RefusedFence || reason == ports.RefusedSequence {
			l.Stop("append refused, another owner is writing: " + string(reason))
			return false
		}
		l.noteStuck(sent, err, tries)
		time.Sleep(busyPause)
	}
}

// slowAppend is about ten times the usual append latency.
const slowAppend = 100 * time.Millisecond

// recordLatency records the latency of an append and logs when the store becomes
// slow or fast again.
func (l *Lead) noteSpeed(d time.Duration, tries int) {
	l.cfg.Metrics.append(d, tries)
	if slow := d > slowAppend; slow != l.slow {
		l.slow = slow
		l.log.Info("store speed", "slow", slow, "tookMs", d.Milliseconds(), "tries", tries, "seq", l.seq)
	}
}

// recordFailure records an append attempt that failed.
func (l *Lead) noteStuck(sent time.Time, err error, tries int) {
	l.mu.Lock()
	if l.stuckFrom.IsZero() {
		l.stuckFrom = sent
	}
	l.takeStops()
	l.mu.Unlock()
	if tries == 0 {
		l.log.Info("append not confirmed", "err", err.Error(), "seq", l.seq)
	}
	l.refuseLate()
}

// rejectDuringOutage rejects the queued submissions once an append has been
// unconfirmed for storeOutageAfter. None of them has been sent to the store.
func (l *Lead) refuseLate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cfg.Clock.Now().Sub(l.stuckFrom) < storeStuck {
		return
	}
	for _, s := range l.submits {
		s.done <- l.refusal(s.spec.ID, fault.New(fault.Unavailable, fault.NotRun, "the store does not answer").WithRetryAfter(retryAfterOutage))
	}
	l.submits = nil
}

// rejectAll rejects the queued requests when ownership ends.
func (l *Lead) refuseAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.submits {
		s.done <- l.refusal(s.spec.ID, errStopped())
	}
	for _, c := range l.cancels {
		c.done <- errStopped()
	}
	l.submits, l.cancels = nil, nil
}

// requestAdvice requests advice and passes the answer to the planner.
func (l *Lead) ask(want sched.Want) {
	ctx, cancel := context.WithTimeout(l.ctx, adviceTimeout+time.Duration(2*want.CostMs)*time.Millisecond)
	defer cancel()
	sent := l.cfg.Clock.Now()
	a, age, err := l.cfg.Advisers.Advise(ctx, want)
	now := l.now()
	l.mu.Lock()
	l.plan.Advised(want, a.Tickets, err == nil, now.Ms-age.Milliseconds(), now)
	l.mu.Unlock()
	l.cfg.Metrics.advice(err == nil)
	l.log.Info("advice", "step", want.Step, "asked", len(want.Workers), "allowed", len(a.Tickets), "desk", want.Desk,
		"costMs", int(want.CostMs), "tookMs", l.cfg.Clock.Now().Sub(sent).Milliseconds(), "err", errText(err))
	l.wake()
}

// adviceTimeout is added to twice the expected response time, because the host
// may still be serving a request of an earlier owner.
const adviceTimeout = time.Second
