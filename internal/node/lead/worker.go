package lead

import (
	"context"
	"errors"
	"time"

	"lagooncourse/internal/base/clock"
	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/guard"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/ports"
)

// Timeouts and retry limits of starts, stops and heartbeats.
const (
	startTimeout           = 400 * time.Millisecond // workers answer within a few ms
	startTries             = 2                      // starts are idempotent
	stopTimeout            = 500 * time.Millisecond
	stopRetryPause         = 150 * time.Millisecond
	heartbeatWait          = 700 * time.Millisecond // how long the worker may wait for an end before it replies; bounds the delay of an end whose reply is lost
	heartbeatTimeout       = 400 * time.Millisecond // in addition to heartbeatWait
	heartbeatRetryPause    = 100 * time.Millisecond // first backoff after a failure
	maxHeartbeatRetryPause = 1500 * time.Millisecond
	endsStoredTimeout      = time.Second // then the next heartbeat is sent anyway, since leases must be renewed during a store outage
)

// mayAct reports whether the last confirmed append is recent enough to send orders and
// to renew leases. It is checked right before each call, since the process may have
// been paused after any earlier check. The caller holds o.mu.
func (o *Owner) mayAct() bool {
	return o.cfg.Clock.Elapsed()-o.validFrom < maxConfirmAgeMs*time.Millisecond
}

// awaitPermission waits until mayAct, and reports false if ownership has ended.
func (o *Owner) awaitPermission() bool {
	for o.ctx.Err() == nil {
		o.mu.Lock()
		ok := o.mayAct()
		o.mu.Unlock()
		if ok {
			return true
		}
		clock.Sleep(o.ctx, stopRetryPause)
	}
	return false
}

// renewedLeaseEnd notes in the planner that a lease renewal is sent now, and
// returns the end of the renewed lease, in ms on the worker's clock. It returns 0
// if the clock of this incarnation of the worker is unknown or leases must not be
// renewed. The caller holds o.mu.
func (o *Owner) renewedLeaseEnd(id string) int64 {
	c, ok := o.workerClocks[id]
	if info, _ := o.planner.Worker(id); !ok || info.Incarnation != c.incarnation || !o.mayAct() {
		return 0
	}
	o.planner.BeforeRenewal(id, o.now())
	return c.ms + o.cfg.Clock.Now().Sub(c.readAt).Milliseconds() + o.leaseDurationMs()
}

// sendStart sends a start, at most startTries times while its outcome is unknown,
// and passes the outcome to the planner.
func (o *Owner) sendStart(s sched.Start) {
	outcome := sched.StartUnknown
	var err error
	for try := 0; try < startTries && outcome == sched.StartUnknown; try++ {
		end := int64(0)
		o.locked(func() {
			if o.planner.ShouldSend(s) {
				end = o.renewedLeaseEnd(s.Worker)
			}
		})
		if end == 0 {
			if try == 0 {
				outcome = sched.StartRefused // nothing has been sent
			}
			break
		}
		ctx, cancel := context.WithTimeout(o.ctx, startTimeout)
		sent := o.cfg.Clock.Now()
		_, err = o.cfg.Workers.Start(ctx, ports.StartOrder{
			Peer: ports.Peer{ID: s.Worker, Addr: s.Addr}, Token: o.cfg.Claim.Epoch, Task: s.Ref.String(), Run: s.Run,
			Payload: s.Payload, LeaseEnd: end, Checkpoint: s.Checkpoint, Ticket: s.Ticket,
		})
		cancel()
		o.cfg.Metrics.observeStart(o.cfg.Clock.Now().Sub(sent), err)
		outcome = startOutcome(err, try)
		o.stopIfFenced(err)
	}
	o.locked(func() {
		o.planner.ApplyStartOutcome(s, outcome, o.now())
		o.dispatchStops()
	})
	if outcome != sched.StartConfirmed {
		o.wakePlanner()
	}
	o.log.Info("start", "task", s.Ref.String(), "run", s.Run, "worker", s.Worker, "outcome", outcome.String(), "err", errText(err))
}

// errText returns the text of err for a log line, "" if err is nil.
func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// stopIfFenced gives up ownership if a worker refused the fencing token as outdated.
func (o *Owner) stopIfFenced(err error) {
	if ports.ReasonOf(err) == ports.RefusedFence {
		o.Stop("a worker has seen a higher fencing token")
	}
}

// startOutcome returns the outcome of a start after the given try, which is 0 for
// the first. A refusal of a later try leaves the outcome unknown, since the first
// one may still arrive.
func startOutcome(err error, try int) sched.Outcome {
	if err == nil {
		return sched.StartConfirmed
	}
	reason := ports.ReasonOf(err)
	if reason == "" {
		if fault.OutcomeOf(err) == fault.NotRun && try == 0 {
			return sched.StartRefused
		}
		return sched.StartUnknown
	}
	if try > 0 {
		return sched.StartUnknown
	}
	switch reason {
	case ports.RefusedTicket:
		return sched.StartNoTicket
	case ports.RefusedCapacity:
		return sched.StartNoCapacity
	case ports.RefusedStaleRun:
		return sched.StartStaleRun
	}
	return sched.StartRefused
}

// dispatchStops sends the stops that the planner has requested. The caller holds
// o.mu.
func (o *Owner) dispatchStops() {
	for _, s := range o.planner.TakeStops() {
		if !o.stopsInFlight[keyOf(s)] {
			o.stopsInFlight[keyOf(s)] = true
			o.logStopRequest(s)
			go o.guarded("stop", func() { o.sendStop(s) })
		}
	}
}

// sendStop retries a stop until the worker confirms it or refuses it for a reason
// other than overload, or until the planner no longer tracks the worker.
func (o *Owner) sendStop(s sched.Stop) {
	defer func() {
		o.mu.Lock()
		delete(o.stopsInFlight, keyOf(s))
		o.mu.Unlock()
	}()
	for try := 1; o.awaitPermission(); try++ {
		info, ok := o.stopTarget(s)
		if !ok {
			o.cfg.Metrics.countStop(stopNotSent)
			o.log.Info("stop not sent, the address of the worker is not known", "task", s.Ref.String(), "run", s.Run, "worker", s.Worker)
			return
		}
		ctx, cancel := context.WithTimeout(o.ctx, stopTimeout)
		err := o.cfg.Workers.Stop(ctx, ports.StopOrder{
			Peer: ports.Peer{ID: info.ID, Addr: info.Addr}, Token: o.cfg.Claim.Epoch, Task: s.Ref.String(), Run: s.Run,
		})
		cancel()
		o.countStop(s, try)
		o.logStop(s, try, err)
		if o.handleStopResult(s, err) {
			return
		}
		time.Sleep(stopRetryPause)
	}
}

// stopTarget returns the registry entry of the worker of a stop. Without one, the stop is
// given up under the same lock, so an address that becomes known has it requested again.
func (o *Owner) stopTarget(s sched.Stop) (info sched.WorkerInfo, ok bool) {
	o.locked(func() {
		if info, ok = o.planner.Worker(s.Worker); !ok {
			o.giveUpStop(s)
		}
	})
	return info, ok
}

// giveUpStop notes that a stop has not reached the worker. A request for another one may
// follow at once, so the stop is no longer in flight. The caller holds o.mu.
func (o *Owner) giveUpStop(s sched.Stop) {
	delete(o.stopsInFlight, keyOf(s))
	o.planner.StopNotSent(s)
}

// handleStopResult processes the result of a stop and reports whether no retry is
// needed. A stop without an answer, or refused for overload, must be retried. A
// refusal because of a higher fencing token ends ownership. A run that has ended needs no
// stop. Any other refusal, for example by another worker that has the address by now, says
// nothing about the run, so the next report has the stop requested again.
func (o *Owner) handleStopResult(s sched.Stop, err error) bool {
	switch reason := ports.ReasonOf(err); {
	case err == nil || reason == ports.RefusedStaleRun:
		o.locked(func() { o.planner.StopConfirmed(s, o.now()) })
	case reason == "" || reason == ports.RefusedBusy:
		return false
	case reason == ports.RefusedFence:
		o.stopIfFenced(err)
	default:
		o.locked(func() { o.giveUpStop(s) })
	}
	return true
}

// worker returns the registry entry of a worker. It returns false if the planner
// does not track the worker: it has neither a registry entry nor allocations.
func (o *Owner) worker(id string) (sched.WorkerInfo, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.planner.Worker(id)
}

// heartbeatLoop sends heartbeats to a worker until the planner no longer tracks
// it.
func (o *Owner) heartbeatLoop(ctx context.Context, id string) {
	pause := heartbeatRetryPause
	for ctx.Err() == nil {
		info, ok := o.worker(id)
		if !ok {
			o.log.Info("no more heartbeats to worker, it has neither a registry entry nor runs", "worker", id)
			return
		}
		unstoredEnds, err := o.heartbeat(ctx, info)
		switch {
		case err != nil:
			clock.Sleep(ctx, pause)
			pause = min(2*pause, maxHeartbeatRetryPause)
			continue
		case unstoredEnds:
			o.awaitEndsStored(ctx, id)
		}
		pause = heartbeatRetryPause
	}
}

// awaitEndsStored waits until the ended runs that a worker has reported are
// stored, for at most endsStoredTimeout. An earlier heartbeat would return the same
// ended runs immediately.
func (o *Owner) awaitEndsStored(ctx context.Context, id string) {
	t := time.NewTimer(endsStoredTimeout)
	defer t.Stop()
	for {
		o.mu.Lock()
		ch, stored := o.stored, o.planner.AppliedSeq(id) <= o.planner.StoredSeq(id)
		o.mu.Unlock()
		if stored {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ch:
		case <-t.C:
			return
		}
	}
}

// heartbeatRequest returns the next heartbeat to a worker, and whether the clock of its
// incarnation is known. Ends are numbered by incarnation, and another one may have the
// worker's address by now. So they are acknowledged only on the connection on which the
// incarnation that listed them has answered. A call on a new connection acknowledges
// nothing and shows which incarnation answers there.
func (o *Owner) heartbeatRequest(info sched.WorkerInfo) (req ports.HeartbeatRequest, clockKnown bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	c, clockKnown := o.workerClocks[info.ID]
	req = ports.HeartbeatRequest{
		Peer: ports.Peer{ID: info.ID, Addr: info.Addr}, Token: o.cfg.Claim.Epoch, LeaseEnd: o.renewedLeaseEnd(info.ID),
	}
	if !clockKnown {
		return req, false
	}
	req.Wait = heartbeatWait
	if w, _ := o.planner.Worker(info.ID); w.Incarnation == c.incarnation {
		req.Seen = o.planner.StoredSeq(info.ID)
		req.SameConn = req.Seen > 0
	}
	return req, true
}

// callHeartbeat sends a heartbeat with its timeout.
func (o *Owner) callHeartbeat(ctx context.Context, req ports.HeartbeatRequest) (h ports.HeartbeatResponse, err error) {
	defer guard.Error(&err, o.log, "heartbeat")
	ctx, cancel := context.WithTimeout(ctx, req.Wait+heartbeatTimeout)
	defer cancel()
	return o.cfg.Workers.Heartbeat(ctx, req)
}

// heartbeat sends one heartbeat to a worker, which renews its lease and returns
// its running tasks and ended runs. It reports whether some of the ended runs are
// not stored yet.
func (o *Owner) heartbeat(ctx context.Context, info sched.WorkerInfo) (unstoredEnds bool, err error) {
	req, clockKnown := o.heartbeatRequest(info)
	sent := o.now()
	h, err := o.callHeartbeat(ctx, req)
	if errors.Is(err, ports.ErrConnClosed) { // the worker may have restarted
		o.log.Info("worker has closed its connection", "worker", info.ID, "incarnation", info.Incarnation, "unacknowledged", req.Seen)
		o.mu.Lock()
		delete(o.workerClocks, info.ID)
		o.mu.Unlock()
		req, clockKnown = o.heartbeatRequest(info)
		sent = o.now()
		h, err = o.callHeartbeat(ctx, req)
	}
	readAt := o.cfg.Clock.Now()
	o.cfg.Metrics.countHeartbeat(err)
	o.locked(func() {
		if err == nil {
			unstoredEnds = o.applyHeartbeat(info.ID, h, sent, readAt)
		} else if o.ctx.Err() == nil { // otherwise the call was cancelled by this host
			o.heartbeatFailed(info, err)
		}
	})
	if unstoredEnds || err == nil && !clockKnown {
		o.wakePlanner()
	}
	return unstoredEnds, err
}

// applyHeartbeat applies the answer to a heartbeat that was sent at sent. It reports
// whether some of the ended runs are not stored yet. The caller holds o.mu.
func (o *Owner) applyHeartbeat(id string, h ports.HeartbeatResponse, sent sched.Instant, readAt time.Time) (unstoredEnds bool) {
	if _, known := o.workerClocks[id]; !known {
		o.logAnswers(id, h)
	}
	o.workerClocks[id] = workerClock{ms: h.ClockMs, readAt: readAt, incarnation: h.Incarnation}
	lastApplied := o.planner.AppliedSeq(id)
	o.planner.ApplyReport(id, sched.WorkerReport{SentMs: sent.Ms, Incarnation: h.Incarnation, Running: h.Running, Finished: h.Finished}, o.now())
	o.logEnds(id, lastApplied, h.Finished)
	o.dispatchStops()
	o.noteLingering()
	return o.planner.AppliedSeq(id) > o.planner.StoredSeq(id)
}

// logEnds logs the ended runs with a number above lastApplied.
func (o *Owner) logEnds(worker string, lastApplied int64, finished []sched.Finished) {
	for _, f := range finished {
		if f.Seq > lastApplied {
			o.log.Info("end", "task", f.Task, "run", f.Run, "how", f.Reason, "worker", worker)
		}
	}
}

// heartbeatFailed marks the worker as unreachable and discards the reading of its
// clock, so that no lease is renewed before the next successful heartbeat. The
// caller holds o.mu.
func (o *Owner) heartbeatFailed(info sched.WorkerInfo, err error) {
	if o.planner.HeartbeatFailed(info.ID) {
		o.log.Info("worker does not answer", "worker", info.ID, "err", err.Error())
	}
	delete(o.workerClocks, info.ID)
	o.stopIfFenced(err)
}

// registryLoop polls the worker registry.
func (o *Owner) registryLoop() {
	next := int64(-1)
	o.listingTimeout = storeTimeout
	for o.ctx.Err() == nil {
		var err error
		next, err = o.readRegistry(next)
		if err != nil {
			o.log.V(1).Info("failed to read worker registry", "err", err.Error())
		}
		clock.Sleep(o.ctx, registryPollInterval)
	}
}

// readRegistry applies the registry records from the offset next on, or the
// newest record of each worker if next is negative. It returns the next offset.
func (o *Owner) readRegistry(next int64) (int64, error) {
	if next < 0 {
		return o.readNewestRegistry()
	}
	ctx, cancel := context.WithTimeout(o.ctx, storeTimeout)
	defer cancel()
	page, err := o.cfg.Store.Read(ctx, ports.ReadRequest{Topic: o.cfg.WorkerTopic, From: next})
	var gone *ports.GoneError
	if errors.As(err, &gone) {
		return o.readNewestRegistry()
	}
	if err != nil {
		return next, err
	}
	o.locked(func() {
		for _, r := range page.Records {
			o.applyEntry(r)
			next = r.Offset + 1
		}
		o.startHeartbeats()
	})
	return next, nil
}

// readNewestRegistry applies the newest record of each worker and drops the workers
// without one. A listing that has timed out gets more time at the next try.
func (o *Owner) readNewestRegistry() (int64, error) {
	sent := o.cfg.Clock.Elapsed()
	all, end, err := ports.ReadNewest(o.ctx, o.cfg.Store, o.cfg.WorkerTopic, o.listingTimeout)
	if err != nil {
		if o.cfg.Clock.Elapsed()-sent >= o.listingTimeout {
			o.listingTimeout = min(2*o.listingTimeout, maxListingTimeout)
		}
		return -1, err
	}
	o.listingTimeout = storeTimeout
	o.locked(func() {
		present := map[string]bool{}
		for _, r := range all {
			present[o.cfg.WorkerID(r.Key)] = true
			o.applyEntry(r)
		}
		for _, info := range o.planner.WorkersToRenew() {
			if !present[info.ID] {
				o.log.Info("worker is not in the registry", "worker", info.ID)
				o.planner.DropWorker(info.ID)
			}
		}
		o.startHeartbeats()
	})
	return end, nil
}

// applyEntry applies one record of the registry. The caller holds o.mu.
func (o *Owner) applyEntry(r ports.Record) {
	if r.Key == "" {
		return
	}
	id := o.cfg.WorkerID(r.Key)
	if len(r.Value) == 0 {
		o.log.Info("worker removed from the registry", "worker", id)
		o.planner.DropWorker(id)
		return
	}
	info, err := o.parseWorker(r)
	if err != nil {
		if skipped, ok := o.oddEntries.Allow(o.cfg.Clock.Now()); ok {
			text := err.Error() // may quote the entry
			o.log.Info("ignoring invalid worker registry entry", "key", r.Key, "bytes", len(r.Value), "err", text[:min(len(text), maxErrTextBytes)], "skipped", skipped)
		}
		return
	}
	o.planner.SetWorker(info, o.now())
}

// parseWorker decodes a registry entry. A panic of the decoder costs only this entry.
func (o *Owner) parseWorker(r ports.Record) (info sched.WorkerInfo, err error) {
	defer guard.Error(&err, o.log, "registry entry")
	return o.cfg.ParseWorker(r.Key, r.Value)
}

// startHeartbeats starts a heartbeat loop for each worker that the planner tracks
// and that has none. The caller holds o.mu.
func (o *Owner) startHeartbeats() {
	for _, info := range o.planner.WorkersToRenew() {
		if o.heartbeatLoops[info.ID] != nil || o.ctx.Err() != nil {
			continue
		}
		ctx, cancel := context.WithCancel(o.ctx)
		o.heartbeatLoops[info.ID] = cancel
		go func() {
			defer cancel()
			o.guarded("heartbeat loop", func() { o.heartbeatLoop(ctx, info.ID) })
			o.mu.Lock()
			delete(o.heartbeatLoops, info.ID)
			o.mu.Unlock()
		}()
	}
}
