package owner

import (
	"context"
	"slices"
	"time"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/alloc"
	"lagooncourse/internal/cell/config"
	"lagooncourse/internal/node/wire"
	"lagooncourse/internal/plat/hosts"
	"lagooncourse/internal/plat/worker"
)

// This file serves requests from the home groups of jobs: they reserve capacity on
// the group's workers, start and stop attempts there, and query their state. It
// also drains workers.

// Reserve reserves capacity for all attempts that another group is placing, or for
// none.
func (g *Group) Reserve(_ context.Context, msg wire.ReserveMsg) (a wire.ReserveAnswer, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epoch == 0 {
		return a, notOwner(g.cfg.Name)
	}
	if err := g.checkStartAllowed(); err != nil {
		return a, err
	}
	until := g.nowMs() + msg.TTLMs
	for i := range msg.Requests {
		msg.Requests[i].UntilMs = until
	}
	slots, ok := reserveAll(g.allocations, msg.Requests, g.nowMs())
	if !ok {
		return a, fault.New(fault.Overload, fault.NotRun, "group %q does not have enough free capacity", g.cfg.Name)
	}
	return wire.ReserveAnswer{Slots: slots}, nil
}

// checkStartAllowed returns an error if no task may start in the group's
// availability zone now.
func (g *Group) checkStartAllowed() error {
	if err := g.cfg.Cell.CheckFresh(); err != nil {
		return err
	}
	if g.cfg.Cell.State().AzOutOfService(g.cfg.Az) {
		return fault.New(fault.Unavailable, fault.NotRun, "availability zone %q is out of service", g.cfg.Az)
	}
	return nil
}

// Start starts a reserved attempt. The status alloc.StatusAbsent in the answer
// means that the attempt does not run and never will.
func (g *Group) Start(ctx context.Context, msg wire.StartMsg) (a wire.StartAnswer, err error) {
	lr, token, epoch, err := g.beginStart(msg)
	if err != nil {
		return a, err
	}
	if lr == nil {
		return wire.StartAnswer{Status: alloc.StatusAbsent}, nil
	}
	err = lr.client.Start(ctx, startRequest(msg, epoch, token))
	if err != nil {
		g.logFailed("start on a worker", err, "worker", token.Worker, "attempt", msg.Attempt)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epoch != epoch {
		return wire.StartAnswer{Status: alloc.StatusUnknown}, nil
	}
	switch {
	case err == nil:
		g.allocations.StartConfirmed(msg.Attempt)
		return wire.StartAnswer{Status: alloc.StatusRunning}, nil
	case fault.OutcomeOf(err) == fault.NotRun:
		g.allocations.StartRefused(msg.Attempt)
		return wire.StartAnswer{Status: alloc.StatusAbsent}, nil
	}
	g.allocations.StartUnconfirmed(msg.Attempt)
	g.stats.UnconfirmedStarts++
	return wire.StartAnswer{Status: alloc.StatusUnknown}, nil
}

// beginStart marks the attempt as being started, before the request is sent. A nil
// renewer means that the attempt must not start.
func (g *Group) beginStart(msg wire.StartMsg) (lr *leaseRenewer, token alloc.StartToken, epoch uint64, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epoch == 0 {
		return nil, token, 0, notOwner(g.cfg.Name)
	}
	if g.checkStartAllowed() != nil {
		g.allocations.Cancel(msg.Attempt)
		return nil, token, 0, nil
	}
	token, ok := g.allocations.Begin(msg.Attempt)
	if !ok {
		return nil, token, 0, nil
	}
	return g.renewers[token.Worker], token, g.epoch, nil
}

// startRequest returns the request that starts an attempt on its worker.
func startRequest(msg wire.StartMsg, epoch uint64, token alloc.StartToken) worker.StartRequest {
	return worker.StartRequest{
		Token:   worker.Token{Epoch: epoch, Seq: token.Seq},
		Boot:    token.Boot,
		Attempt: worker.Attempt{Task: msg.Attempt.Task, Number: msg.Attempt.Number},
		Home:    msg.Home, Family: msg.Spec.Name, Class: string(msg.Spec.Kind),
		CPU: msg.Spec.Size.CPU, Mem: msg.Spec.Size.Mem, Accel: msg.Spec.Size.Accel,
		RunMs: msg.Spec.RunMs, Checkpoint: msg.Checkpoint, Payload: msg.Spec.Payload,
	}
}

// Stop sends a stop request to the worker of an attempt. The end is reported like
// any other. Stop returns nil for an attempt that is not on the group's workers.
func (g *Group) Stop(ctx context.Context, msg wire.StopMsg) error {
	g.mu.Lock()
	if g.epoch == 0 {
		g.mu.Unlock()
		return notOwner(g.cfg.Name)
	}
	id, ok := g.allocations.WorkerOf(msg.Attempt)
	lr, epoch := g.renewers[id], g.epoch
	g.mu.Unlock()
	if !ok || lr == nil {
		return nil
	}
	return lr.client.Stop(ctx, worker.StopRequest{
		Token:      worker.Token{Epoch: epoch},
		Attempt:    worker.Attempt{Task: msg.Attempt.Task, Number: msg.Attempt.Number},
		Checkpoint: msg.Checkpoint,
	})
}

// AttemptStatus returns the state of attempts that were placed on the group's workers.
// It first confirms the ownership from the log. Otherwise an owner that resumes
// after a pause could report an attempt as absent that a later owner has
// started.
func (g *Group) AttemptStatus(ctx context.Context, msg wire.AttemptStatusMsg) (a wire.AttemptStatusAnswer, err error) {
	if err := g.confirmOwner(ctx); err != nil {
		return a, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epoch == 0 {
		return a, notOwner(g.cfg.Name)
	}
	timing := g.cfg.Timing
	expired := g.cfg.Clock.Now().After(g.ownedAt.Add(renewTimeout + timing.RenewWait + timing.Lease + timing.ClockMargin))
	a.Epoch = g.epoch
	for _, q := range msg.Queries {
		status, r := g.allocations.AttemptStatus(q, expired)
		a.Statuses = append(a.Statuses, status)
		a.Reports = append(a.Reports, r)
	}
	return a, nil
}

const (
	// maxDrainBatch bounds the tasks that one round of draining stops, so that an
	// availability zone taken out of service does not overload the others.
	maxDrainBatch = 8
	// drainTurn is the time for which a task is asked to stop before others get a turn.
	drainTurn = 5 * time.Second
)

// drain stops tasks, with a checkpoint, on workers that are leaving or whose
// availability zone is out of service.
func (g *Group) drain(ctx context.Context) {
	for _, at := range g.attemptsToDrain(g.cfg.Cell.State(), g.cfg.Clock.Now()) {
		go func() {
			if err := g.Stop(ctx, wire.StopMsg{Group: g.cfg.Name, Attempt: at, Checkpoint: true}); err != nil {
				g.logFailed("stop", err, "of", g.cfg.Name, "attempt", at)
			}
		}()
	}
}

// attemptsToDrain returns the attempts for the next round of draining.
func (g *Group) attemptsToDrain(cell *config.State, now time.Time) []alloc.Attempt {
	g.mu.Lock()
	defer g.mu.Unlock()
	azOut := cell.AzOutOfService(g.cfg.Az)
	var running []alloc.Attempt
	for _, h := range g.workers {
		if !azOut && h.State != hosts.Leaving {
			continue
		}
		for _, r := range g.allocations.Running(h.ID) {
			running = append(running, r.Attempt)
		}
	}
	var list []alloc.Attempt
	list, g.drainTurns = nextDrain(running, g.drainTurns, now)
	return list
}

// nextDrain returns the attempts to stop now, and the starts of the turns of all that
// run. The attempts that have a turn come first, then those that have had none, then
// those whose turn is over, the longest ago first.
func nextDrain(running []alloc.Attempt, turns map[alloc.Attempt]time.Time, now time.Time) ([]alloc.Attempt, map[alloc.Attempt]time.Time) {
	next := map[alloc.Attempt]time.Time{}
	var current, others []alloc.Attempt
	for _, at := range running {
		if began, ok := turns[at]; ok {
			next[at] = began
		}
		if now.Sub(next[at]) < drainTurn {
			current = append(current, at)
		} else {
			others = append(others, at)
		}
	}
	slices.SortStableFunc(others, func(a, b alloc.Attempt) int { return next[a].Compare(next[b]) })
	for _, at := range others[:min(len(others), max(maxDrainBatch-len(current), 0))] {
		next[at] = now
		current = append(current, at)
	}
	return current, next
}
