package owner

import (
	"context"
	"slices"
	"strings"
	"time"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/alloc"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/trust"
	"lagooncourse/internal/plat/hosts"
	"lagooncourse/internal/plat/worker"
)

// This file renews the leases of the group's workers and reconciles the
// capacity records (package alloc) with the workers' inventories.
//
// A renewal is a long poll: it waits at the worker until the inventory changes,
// so the end of a task is reported at once. After repeated failures, renewals
// continue but no longer extend the lease. After the last lease that the worker
// can have received has expired, all attempts on it are reported as lost.

const (
	renewRetryInterval = 500 * time.Millisecond // also the interval of checks for new renewers
	maxFailedRenewals  = 2                      // failed renewals after which the lease is no longer extended
)

// leaseRenewer renews the lease of one worker.
type leaseRenewer struct {
	host   hosts.Worker
	client worker.Worker
	cancel context.CancelFunc
	ctx    context.Context

	// Guarded by the group's lock.
	version     uint64                  // version of the newest inventory
	boot        int64                   // boot id of the worker at that version
	seen        []alloc.ReportedAttempt // inventory at that version
	failures    int                     // consecutive failed renewals
	leaseExpiry time.Time               // by then every lease that the worker can have received has expired
	lost        bool                    // its attempts have been reported as lost
	started     bool                    // the loop has been started
}

// syncWorkers updates the capacity records, and adds lease renewers for new
// workers of the host list. Renewers of workers that are no longer listed
// continue. The caller holds the lock.
func (g *Group) syncWorkers() {
	list := make([]alloc.Worker, 0, len(g.workers))
	for _, h := range g.workers {
		list = append(list, alloc.Worker{
			ID: h.ID, Rack: h.Rack, Capacity: jobs.Size{CPU: h.CPU, Mem: h.Mem, Accel: h.Accel},
			Draining: h.State == hosts.Leaving,
		})
	}
	g.allocations.SetWorkers(list)
	for _, h := range g.workers {
		lr := g.renewers[h.ID]
		if lr != nil && lr.host.URL == h.URL {
			continue
		}
		if lr != nil && lr.cancel != nil {
			lr.cancel()
		}
		// The previous owner may have extended the lease just before it stopped.
		expiry := g.ownedAt.Add(g.cfg.Timing.Lease + g.cfg.Timing.RenewWait + g.cfg.Timing.ClockMargin)
		g.renewers[h.ID] = &leaseRenewer{host: h, client: g.cfg.Dial(h), leaseExpiry: expiry}
	}
}

// startRenewers starts the loops of all lease renewers, and checks for new
// renewers at regular intervals.
func (g *Group) startRenewers(ctx context.Context) {
	g.startNewRenewers(ctx)
	go every(ctx, renewRetryInterval, g.startNewRenewers)
}

// startNewRenewers starts the loop of every lease renewer without one.
func (g *Group) startNewRenewers(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epoch == 0 {
		return
	}
	for _, lr := range g.renewers {
		if lr.started {
			continue
		}
		lr.started = true
		lr.ctx, lr.cancel = context.WithCancel(ctx)
		go g.renewLoop(lr, g.epoch)
	}
}

// stopRenewers stops the loops of all lease renewers.
func (g *Group) stopRenewers() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, lr := range g.renewers {
		if lr.cancel != nil {
			lr.cancel()
		}
	}
}

// renewLoop renews the lease of one worker until the renewer's context ends or
// this host no longer owns the group in the given epoch.
func (g *Group) renewLoop(lr *leaseRenewer, epoch uint64) {
	for lr.ctx.Err() == nil {
		req, renewal, ok := g.nextRenewal(lr, epoch)
		if !ok {
			return
		}
		inv, err := lr.client.Renew(lr.ctx, req)
		if lr.ctx.Err() != nil {
			return
		}
		if err == nil {
			g.renewSucceeded(lr, epoch, renewal, inv)
			continue
		}
		notOwned, expired := g.renewFailed(lr, epoch, err)
		if notOwned {
			return
		}
		if expired {
			g.markWorkerLost(lr, epoch, err)
		}
		select {
		case <-time.After(renewRetryInterval):
		case <-lr.ctx.Done():
		}
	}
}

// nextRenewal returns the next renewal request for a worker. After repeated
// failures the request no longer extends the lease, so the time by which all of
// the worker's tasks have stopped stays fixed.
func (g *Group) nextRenewal(lr *leaseRenewer, epoch uint64) (req worker.RenewRequest, renewal alloc.Renewal, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epoch != epoch {
		return req, renewal, false
	}
	renewal = g.allocations.Renewal(lr.host.ID)
	req = worker.RenewRequest{
		Token:  worker.Token{Epoch: epoch, Seq: renewal.MinSeq},
		Since:  lr.version,
		WaitMs: g.cfg.Timing.RenewWait.Milliseconds(),
	}
	for _, at := range renewal.Recorded {
		req.Recorded = append(req.Recorded, toWorkerAttempt(at))
	}
	// Without an up-to-date inventory, request a full one and do not wait.
	if lr.failures > 0 || !g.allocations.Ready(lr.host.ID) {
		req.WaitMs, req.Since = 0, 0
	}
	if lr.failures < maxFailedRenewals {
		req.TTLMs = g.cfg.Timing.Lease.Milliseconds()
		timing := g.cfg.Timing
		expiry := g.cfg.Clock.Now().Add(renewTimeout + timing.RenewWait + timing.Lease + timing.ClockMargin)
		if expiry.After(lr.leaseExpiry) {
			lr.leaseExpiry = expiry
		}
	}
	return req, renewal, true
}

// renewTimeout is the worker client's timeout for a renewal, in addition to its
// WaitMs: the default of worker.ClientConfig.Timeout. The lease expiry assumes
// that a renewal has no effect at the worker after that time.
const renewTimeout = time.Second

// renewSucceeded applies a worker's answer to a renewal.
func (g *Group) renewSucceeded(lr *leaseRenewer, epoch uint64, renewal alloc.Renewal, inv worker.Inventory) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epoch != epoch {
		return
	}
	if lr.lost {
		g.logger.Info("worker answers again", "worker", lr.host.ID)
	}
	if inv.Unchanged && inv.Boot != lr.boot {
		lr.version = 0 // the restarted worker reached the same version by chance; request the full inventory
		return
	}
	lr.failures, lr.lost, lr.version, lr.boot = 0, false, inv.Version, inv.Boot
	lr.seen = reportedAttempts(inv, lr.seen, renewal.Recorded)
	ends := g.allocations.ApplyInventory(lr.host.ID, alloc.Inventory{Renewal: renewal, Boot: inv.Boot, Attempts: lr.seen})
	g.updateTrust(ends)
	if len(ends) > 0 {
		go g.sendReports(lr.ctx)
	}
	g.wakeLoop()
}

// updateTrust records how attempts ended and updates the modes of their workers.
// The caller holds the lock.
func (g *Group) updateTrust(ends []alloc.Report) {
	now := g.nowMs()
	for _, r := range ends {
		if r.Reason != jobs.EndOK && r.Reason != jobs.EndFailed {
			continue
		}
		job, _, _ := strings.Cut(r.Attempt.Task, "/")
		if g.trust.Record(trust.End{Worker: r.Worker, Job: job, OK: r.Reason == jobs.EndOK, AtMs: now}) {
			g.logger.Info("worker trust changed", "worker", r.Worker, "ok", r.Reason == jobs.EndOK)
			g.allocations.SetMode(r.Worker, modeOf(g.trust.State(r.Worker, now)))
		}
	}
}

// modeOf returns which attempts may be placed on a worker in trust state s.
func modeOf(s trust.State) alloc.Mode {
	switch s {
	case trust.Quarantined:
		return alloc.ModeClosed
	case trust.Probing:
		return alloc.ModeProbe
	}
	return alloc.ModeOpen
}

// refreshModes updates the modes of all distrusted workers, so that one whose
// quarantine is over can be probed. The caller holds the lock.
func (g *Group) refreshModes() {
	for _, id := range g.trust.NotTrusted() {
		g.allocations.SetMode(id, modeOf(g.trust.State(id, g.nowMs())))
	}
}

// reportedAttempts converts a worker's inventory for the capacity records. An
// inventory marked Unchanged equals the last one without the attempts in deleted, which
// the worker has deleted because the renewal listed their ends as recorded. It does not
// delete an attempt that runs.
func reportedAttempts(inv worker.Inventory, last []alloc.ReportedAttempt, deleted []alloc.Attempt) []alloc.ReportedAttempt {
	if inv.Unchanged {
		return slices.DeleteFunc(slices.Clone(last), func(s alloc.ReportedAttempt) bool {
			return s.Reason != "" && slices.Contains(deleted, s.Attempt)
		})
	}
	var list []alloc.ReportedAttempt
	for _, r := range inv.Running {
		list = append(list, alloc.ReportedAttempt{
			Attempt: alloc.Attempt{Task: r.Attempt.Task, Number: r.Attempt.Number}, Home: r.Home,
			Kind: jobs.Kind(r.Class), Size: jobs.Size{CPU: r.CPU, Mem: r.Mem, Accel: r.Accel},
		})
	}
	for _, f := range inv.Finished {
		list = append(list, alloc.ReportedAttempt{
			Attempt: alloc.Attempt{Task: f.Attempt.Task, Number: f.Attempt.Number}, Home: f.Home,
			Reason: endReason(f.End), Result: f.Result, Checkpoint: f.Checkpoint,
		})
	}
	return list
}

// endReason converts the end that a worker reports. Any unlisted value counts as
// stopped.
func endReason(e worker.End) jobs.EndReason {
	switch e {
	case worker.EndOK:
		return jobs.EndOK
	case worker.EndFailed:
		return jobs.EndFailed
	case worker.EndCheckpointed:
		return jobs.EndCheckpointed
	}
	return jobs.EndStopped
}

// renewFailed handles a failed renewal. It reports whether the loop must stop
// because this host no longer owns the group, and whether every lease that the
// worker can have received has expired.
func (g *Group) renewFailed(lr *leaseRenewer, epoch uint64, err error) (notOwned, expired bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epoch != epoch {
		return true, false
	}
	if fault.HasCode(err, fault.Conflict) {
		// The worker has seen a later epoch, but only the log determines the
		// owner. The next append or read shows a claim, if there is one. Without
		// one, the worker is as good as lost.
		g.proposeEmptyBatch()
	}
	lr.failures++
	if lr.failures >= maxFailedRenewals {
		g.allocations.MarkNotReady(lr.host.ID)
	}
	return false, !lr.lost && !g.cfg.Clock.Now().Before(lr.leaseExpiry)
}

// markWorkerLost reports all attempts on a worker with an expired lease as lost,
// if this host still owns the group. If this host was paused, its renewals failed
// although a new owner may have renewed the worker's lease. Ownership is confirmed
// only after the lease has expired, so a host that claims the group later finds
// the worker's tasks stopped.
func (g *Group) markWorkerLost(lr *leaseRenewer, epoch uint64, err error) {
	if g.confirmOwner(lr.ctx) != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epoch != epoch {
		return
	}
	lr.lost = true
	ends := g.allocations.MarkWorkerLost(lr.host.ID)
	g.logger.Info("worker is lost", "worker", lr.host.ID, "tasks", len(ends), "err", err.Error())
	if len(ends) > 0 {
		go g.sendReports(lr.ctx)
	}
}

// proposeEmptyBatch proposes a batch without records, whose outcome shows whether
// this host still owns the group. The caller holds the lock.
func (g *Group) proposeEmptyBatch() {
	if len(g.pending) == 0 {
		_ = g.propose(proposal{})
	}
}
