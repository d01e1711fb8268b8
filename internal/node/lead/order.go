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

// Timeouts and retry limits of orders and heartbeats.
const (
	startTimeout  = 400 * time.Millisecond // workers answer within a few ms; starts are idempotent
	startTries    = 2
	stopTimeout   = 500 * time.Millisecond
	stopPause     = 150 * time.Millisecond
	holdWait      = 700 * time.Millisecond // bounds the delay of a reported end when an answer is lost
	holdTimeout   = 400 * time.Millisecond // in addition to the wait
	holdPause     = 100 * time.Millisecond // first backoff after a failure
	maxHoldPause  = 1500 * time.Millisecond
	storedTimeout = time.Second // leases must be renewed during a store outage
)

// mayRenew reports whether the last confirmed append is recent enough to renew
// leases. The caller holds o.mu.
func (l *Lead) mayRenew() bool {
	return l.cfg.Clock.Now().Sub(l.confirmed) < silenceMs*time.Millisecond
}

// leaseEnd returns the end of a lease that begins now, on the worker's clock. It
// returns 0 if the clock is unknown or leases must not be renewed. The caller
// holds o.mu.
func (l *Lead) leaseEnd(id string) int64 {
	c, ok := l.clocks[id]
	if info, _ := l.plan.Worker(id); !ok || info.Born != c.born || !l.mayRenew() {
		return 0
	}
	l.plan.Renewing(id, l.now())
	return c.clock + l.cfg.Clock.Now().Sub(c.at).Milliseconds() + l.lease()
}

// sendStart sends a start and retries it while the outcome is unknown.
func (l *Lead) send(s sched.Start) {
	out := sched.StartUnknown
	var err error
	for try := 0; try < startTries && out == sched.StartUnknown; try++ {
		l.mu.Lock()
		end := int64(0)
		if l.plan.Due(s) {
			end = l.leaseEnd(s.Worker)
		}
		l.mu.Unlock()
		if end == 0 {
			if try == 0 {
				out = sched.StartRefused
			}
			break
		}
		ctx, cancel := context.WithTimeout(l.ctx, startTimeout)
		sent := l.cfg.Clock.Now()
		_, err = l.cfg.Workers.Start(ctx, ports.StartOrder{
			Peer: ports.Peer{ID: s.Worker, Addr: s.Addr}, Token: l.cfg.Claim.Epoch, Task: s.Ref.String(), Run: s.Run,
			Payload: s.Payload, LeaseEnd: end, Saved: s.Saved, Ticket: s.Ticket,
		})
		cancel()
		l.cfg.Metrics.start(l.cfg.Clock.Now().Sub(sent), err)
		out = outcomeOf(err, try)
		l.checkFence(err)
	}
	l.mu.Lock()
	l.plan.Started(s, out, l.now())
	l.takeStops()
	l.mu.Unlock()
	if out != sched.StartUp {
		l.wake()
	}
	l.log.Info("start", "task", s.Ref.String(), "run", s.Run, "worker", s.Worker, "outcome", out.String(), "err", errText(err))
}

// errText returns the text of err for a log line, "" if err is nil.
func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// checkFence gives up ownership if a worker refused the fencing token as outdated.
func (l *Lead) checkFence(err error) {
	if ports.ReasonOf(err) == ports.RefusedFence {
		l.Stop("a worker has seen a higher fencing token")
	}
}

// startOutcome returns the outcome of attempt try of a start. A refused retry
// leaves the outcome unknown, since the first attempt may still arrive.
func outcomeOf(err error, try int) sched.Outcome {
	if err == nil {
		return sched.StartUp
	}
	reason := ports.ReasonOf(err)
	if reason == "" {
		if fault.RanOf(err) == fault.NotRun && try == 0 {
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
	case ports.RefusedRoom:
		return sched.StartNoRoom
	case ports.RefusedOld:
		return sched.StartOld
	}
	return sched.StartRefused
}

// dispatchStops sends the stops that the planner has requested. The caller holds
// o.mu.
func (l *Lead) takeStops() {
	for _, s := range l.plan.TakeStops() {
		if !l.stops[s] {
			l.stops[s] = true
			go l.stop(s)
		}
	}
}

// sendStop retries a stop until the worker confirms it, refuses it or is removed.
func (l *Lead) stop(s sched.Stop) {
	defer func() {
		l.mu.Lock()
		delete(l.stops, s)
		l.mu.Unlock()
	}()
	for l.ctx.Err() == nil {
		info, ok := l.worker(s.Worker)
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(l.ctx, stopTimeout)
		err := l.cfg.Workers.Stop(ctx, ports.StopOrder{
			Peer: ports.Peer{ID: info.ID, Addr: info.Addr}, Token: l.cfg.Claim.Epoch, Task: s.Ref.String(), Run: s.Run,
		})
		cancel()
		l.log.Info("stop", "task", s.Ref.String(), "run", s.Run, "worker", s.Worker, "err", errText(err))
		if l.stopSettled(s, err) {
			return
		}
		time.Sleep(stopPause)
	}
}

// handleStopResult processes the result of a stop and reports whether no retry is
// needed. A refusal for a reason other than overload means that the run does not
// exist and will not start.
func (l *Lead) stopSettled(s sched.Stop, err error) bool {
	switch reason := ports.ReasonOf(err); {
	case err == nil:
	case reason == "" || reason == ports.RefusedBusy:
		return false
	case reason == ports.RefusedFence:
		l.checkFence(err)
		return true
	case reason == ports.RefusedReborn:
		return true
	}
	l.mu.Lock()
	l.plan.StopDenied(s, l.now())
	l.mu.Unlock()
	return true
}

// worker returns the registry data of a worker that is in use.
func (l *Lead) worker(id string) (sched.WorkerInfo, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.plan.Worker(id)
}

// heartbeatLoop sends heartbeats to a worker until it is no longer in use.
func (l *Lead) holdLoop(ctx context.Context, id string) {
	pause := holdPause
	for ctx.Err() == nil {
		info, ok := l.worker(id)
		if !ok {
			return
		}
		ends, err := l.hold(ctx, info)
		switch {
		case err != nil:
			clock.Sleep(ctx, pause)
			pause = min(2*pause, maxHoldPause)
			continue
		case ends:
			l.awaitStored(ctx, id)
		}
		pause = holdPause
	}
}

// awaitEndsStored waits until the ended runs that a worker has reported are
// stored. An earlier heartbeat would return the same ended runs immediately.
func (l *Lead) awaitStored(ctx context.Context, id string) {
	t := time.NewTimer(storedTimeout)
	defer t.Stop()
	for {
		l.mu.Lock()
		ch, stored := l.stored, l.plan.Applied(id) <= l.plan.Seen(id)
		l.mu.Unlock()
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

// heartbeat sends one heartbeat to a worker, which renews its lease and returns
// its running tasks and ended runs. It reports whether some of those ends are not
// stored yet.
func (l *Lead) hold(ctx context.Context, info sched.WorkerInfo) (ends bool, err error) {
	l.mu.Lock()
	_, known := l.clocks[info.ID]
	req := ports.HoldRequest{
		Peer: ports.Peer{ID: info.ID, Addr: info.Addr}, Token: l.cfg.Claim.Epoch, LeaseEnd: l.leaseEnd(info.ID),
		Seen: l.plan.Seen(info.ID),
	}
	l.mu.Unlock()
	if known {
		req.Wait = holdWait
	}
	sent := l.now()
	ctx, cancel := context.WithTimeout(ctx, req.Wait+holdTimeout)
	defer cancel()
	h, err := l.cfg.Workers.Hold(ctx, req)
	at := l.cfg.Clock.Now()
	l.cfg.Metrics.hold(err)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		if l.ctx.Err() == nil { // otherwise the call was canceled by this host
			l.holdFailed(info, err)
		}
		return false, err
	}
	l.clocks[info.ID] = workerClock{clock: h.Clock, at: at, born: h.Born}
	before := l.plan.Applied(info.ID)
	l.plan.Listed(info.ID, sched.Lists{SentMs: sent.Ms, Born: h.Born, Running: h.Running, Finished: h.Finished}, l.now())
	l.logEnds(info.ID, before, h.Finished)
	l.takeStops()
	ends = l.plan.Applied(info.ID) > l.plan.Seen(info.ID)
	if ends || !known {
		l.wake()
	}
	return ends, nil
}

// logEnds logs each newly reported end of a run.
func (l *Lead) logEnds(worker string, before int64, finished []sched.Finished) {
	for _, f := range finished {
		if f.N > before {
			l.log.Info("end", "task", f.Task, "run", f.Run, "how", f.How, "worker", worker)
		}
	}
}

// heartbeatFailed handles a failed heartbeat. The caller holds o.mu.
func (l *Lead) holdFailed(info sched.WorkerInfo, err error) {
	if l.plan.Unanswered(info.ID) {
		l.log.Info("worker does not answer", "worker", info.ID, "err", err.Error())
	}
	delete(l.clocks, info.ID)
	l.checkFence(err)
}

// registryLoop polls the worker registry.
func (l *Lead) registryLoop() {
	next := int64(-1)
	for l.ctx.Err() == nil {
		var err error
		next, err = l.readRegistry(next)
		if err != nil {
			l.log.V(1).Info("failed to read worker registry", "err", err.Error())
		}
		clock.Sleep(l.ctx, registryEvery)
	}
}

// readRegistry applies the registry records from the offset next on, or the
// newest record of each worker if next is negative. It returns the next offset.
func (l *Lead) readRegistry(next int64) (int64, error) {
	ctx, cancel := context.WithTimeout(l.ctx, appendTimeout)
	defer cancel()
	if next < 0 {
		return l.readAllEntries(ctx)
	}
	page, err := l.cfg.Store.Read(ctx, ports.ReadRequest{Topic: l.cfg.Registry, From: next})
	var gone *ports.GoneError
	if errors.As(err, &gone) {
		return l.readAllEntries(ctx)
	}
	if err != nil {
		return next, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range page.Records {
		l.entry(r)
		next = r.Offset + 1
	}
	l.syncHolds()
	return next, nil
}

// readFullRegistry applies the newest record of each worker and drops the workers
// without one.
func (l *Lead) readAllEntries(ctx context.Context) (int64, error) {
	all, end, err := ports.ReadNewest(ctx, l.cfg.Store, l.cfg.Registry)
	if err != nil {
		return -1, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	there := map[string]bool{}
	for _, r := range all {
		there[l.cfg.WorkerID(r.Key)] = true
		l.entry(r)
	}
	for _, info := range l.plan.Targets() {
		if !there[info.ID] {
			l.plan.DropWorker(info.ID)
		}
	}
	l.syncHolds()
	return end, nil
}

// applyEntry applies one record of the registry. The caller holds o.mu.
func (l *Lead) entry(r ports.Record) {
	if r.Key == "" {
		return
	}
	id := l.cfg.WorkerID(r.Key)
	if len(r.Value) == 0 {
		l.log.Info("worker removed from the registry", "worker", id)
		l.plan.DropWorker(id)
		return
	}
	info, err := l.cfg.Parse(r.Key, r.Value)
	if err != nil {
		l.log.Info("ignoring invalid worker registry entry", "key", r.Key, "err", err.Error())
		return
	}
	l.plan.SetWorker(info, l.now())
}

// startHeartbeats starts a heartbeat loop for each worker that is in use and has
// none. The caller holds o.mu.
func (l *Lead) syncHolds() {
	for _, info := range l.plan.Targets() {
		if l.holds[info.ID] != nil || l.ctx.Err() != nil {
			continue
		}
		ctx, cancel := context.WithCancel(l.ctx)
		l.holds[info.ID] = cancel
		go func() {
			defer cancel()
			l.holdLoop(ctx, info.ID)
			l.mu.Lock()
			delete(l.holds, info.ID)
			l.mu.Unlock()
		}()
	}
}
