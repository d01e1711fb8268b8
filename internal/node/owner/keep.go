package owner

import (
	"context"
	"slices"
	"strings"
	"time"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/books"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/trust"
	"lagooncourse/internal/plat/hosts"
	"lagooncourse/internal/plat/worker"
)

// This file keeps the group's workers: it renews their leases and reconciles
// the books with their inventories.
//
// A renewal waits at the worker until something has changed there, so the end
// of a task is known at once without polling. A worker that does not answer is
// first probed without a new lease. Once the last lease that it can have
// received has surely run out, everything on it is reported as lost.

const (
	probeEvery   = 500 * time.Millisecond
	probesToLose = 2 // failed renewals before the lease is no longer extended
)

// keeper renews one worker.
type keeper struct {
	host   hosts.Worker
	w      worker.Worker
	cancel context.CancelFunc
	ctx    context.Context

	// Guarded by the group's lock.
	version   uint64
	boot      int64        // of the worker at that version
	seen      []books.Seen // the inventory at that version
	failures  int
	leaseEnds time.Time // by then the worker's newest lease has run out for sure
	lost      bool
	running   bool // the loop has been started
}

// syncWorkers brings books and keepers in line with the host list. The caller
// holds the lock.
func (g *Group) syncWorkers() {
	list := make([]books.Worker, 0, len(g.workers))
	for _, h := range g.workers {
		list = append(list, books.Worker{
			ID: h.ID, Rack: h.Rack, Cap: jobs.Size{CPU: h.CPU, Mem: h.Mem, Accel: h.Accel},
			Leaving: h.State == hosts.Leaving,
		})
	}
	g.books.SetWorkers(list)
	for _, h := range g.workers {
		k := g.keepers[h.ID]
		if k != nil && k.host.URL == h.URL {
			continue
		}
		if k != nil && k.cancel != nil {
			k.cancel()
		}
		// A predecessor may have extended the lease just before it stopped.
		ends := g.ownedAt.Add(g.cfg.Timing.Lease + g.cfg.Timing.Renew + g.cfg.Timing.Margin)
		g.keepers[h.ID] = &keeper{host: h, w: g.cfg.Dial(h), leaseEnds: ends}
	}
}

// startKeepers starts the loop of every keeper that has none, now and whenever
// the host list brings a new worker.
func (g *Group) startKeepers(ctx context.Context) {
	g.runNewKeepers(ctx)
	go every(ctx, probeEvery, g.runNewKeepers)
}

func (g *Group) runNewKeepers(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epoch == 0 {
		return
	}
	for _, k := range g.keepers {
		if k.running {
			continue
		}
		k.running = true
		k.ctx, k.cancel = context.WithCancel(ctx)
		go g.keep(k, g.epoch)
	}
}

func (g *Group) stopKeepers() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, k := range g.keepers {
		if k.cancel != nil {
			k.cancel()
		}
	}
}

// keep renews one worker until the group is given up.
func (g *Group) keep(k *keeper, epoch uint64) {
	for k.ctx.Err() == nil {
		req, r, ok := g.renewal(k, epoch)
		if !ok {
			return
		}
		inv, err := k.w.Renew(k.ctx, req)
		if k.ctx.Err() != nil {
			return
		}
		if err == nil {
			g.renewed(k, epoch, r, inv)
			continue
		}
		stop, overdue := g.notRenewed(k, epoch, err)
		if stop {
			return
		}
		if overdue {
			g.loseWorker(k, epoch, err)
		}
		select {
		case <-time.After(probeEvery):
		case <-k.ctx.Done():
		}
	}
}

// renewal makes the next request for a worker. While the worker does not
// answer, the request extends no lease, so that the time after which all of
// its tasks have stopped stays where it is.
func (g *Group) renewal(k *keeper, epoch uint64) (req worker.RenewRequest, r books.Renewal, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epoch != epoch {
		return req, r, false
	}
	r = g.books.Renewal(k.host.ID)
	req = worker.RenewRequest{
		Token:  worker.Token{Epoch: epoch, Seq: r.Floor},
		Since:  k.version,
		WaitMs: g.cfg.Timing.Renew.Milliseconds(),
	}
	for _, at := range r.Forget {
		req.Forget = append(req.Forget, workerAttempt(at))
	}
	if k.failures > 0 || !g.books.Ready(k.host.ID) {
		req.WaitMs, req.Since = 0, 0
	}
	if k.failures < probesToLose {
		req.TTLMs = g.cfg.Timing.Lease.Milliseconds()
		timing := g.cfg.Timing
		ends := g.cfg.Clock.Now().Add(renewTimeout + timing.Renew + timing.Lease + timing.Margin)
		if ends.After(k.leaseEnds) {
			k.leaseEnds = ends
		}
	}
	return req, r, true
}

// renewTimeout is the worker client's bound for a request, beyond its wait. A
// request that is older has no effect at the worker.
const renewTimeout = time.Second

// renewed takes a worker's answer.
func (g *Group) renewed(k *keeper, epoch uint64, r books.Renewal, inv worker.Inventory) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epoch != epoch {
		return
	}
	if k.lost {
		g.log.Info("worker answers again", "worker", k.host.ID)
	}
	if inv.Same && inv.Boot != k.boot {
		k.version = 0 // a restarted worker happens to count the same; ask for all
		return
	}
	k.failures, k.lost, k.version, k.boot = 0, false, inv.Version, inv.Boot
	k.seen = seenBy(inv, k.seen, r.Forget)
	news := g.books.Inventory(k.host.ID, books.Inventory{Renewal: r, Boot: inv.Boot, Seen: k.seen})
	g.judge(news)
	if len(news) > 0 {
		go g.sendReports(k.ctx)
	}
	g.poke()
}

// judge notes how attempts ended and brings the workers' modes in line. The
// caller holds the lock.
func (g *Group) judge(news []books.Report) {
	now := g.nowMs()
	for _, r := range news {
		if r.How != jobs.EndOK && r.How != jobs.EndFailed {
			continue
		}
		job, _, _ := strings.Cut(r.Attempt.Task, "/")
		if g.trust.Note(trust.End{Worker: r.Worker, Job: job, OK: r.How == jobs.EndOK, AtMs: now}) {
			g.log.Info("worker trust changed", "worker", r.Worker, "ok", r.How == jobs.EndOK)
			g.books.SetMode(r.Worker, modeOf(g.trust.State(r.Worker, now)))
		}
	}
}

func modeOf(s trust.State) books.Mode {
	switch s {
	case trust.Quarantined:
		return books.Closed
	case trust.Probing:
		return books.Probe
	}
	return books.Open
}

// reopen lets the workers be probed whose quarantine is over. The caller holds
// the lock.
func (g *Group) reopen() {
	for _, id := range g.trust.Distrusted() {
		g.books.SetMode(id, modeOf(g.trust.State(id, g.nowMs())))
	}
}

// seenBy translates a worker's inventory for the books. An inventory that is
// the same as the last one is the last one, less what the worker has forgotten.
func seenBy(inv worker.Inventory, last []books.Seen, forgot []books.Attempt) []books.Seen {
	if inv.Same {
		return slices.DeleteFunc(slices.Clone(last), func(s books.Seen) bool { return slices.Contains(forgot, s.Attempt) })
	}
	var list []books.Seen
	for _, r := range inv.Running {
		list = append(list, books.Seen{
			Attempt: books.Attempt{Task: r.Attempt.Task, Number: r.Attempt.Number}, Home: r.Home,
			Kind: jobs.Kind(r.Class), Size: jobs.Size{CPU: r.CPU, Mem: r.Mem, Accel: r.Accel},
		})
	}
	for _, f := range inv.Finished {
		list = append(list, books.Seen{
			Attempt: books.Attempt{Task: f.Attempt.Task, Number: f.Attempt.Number}, Home: f.Home,
			How: howOf(f.End), Result: f.Result, Checkpoint: f.Checkpoint,
		})
	}
	return list
}

// howOf translates the end that a worker reports.
func howOf(e worker.End) jobs.How {
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

// notRenewed takes a failed renewal. It reports whether the keeper must stop,
// because the group has another owner, and whether every lease that this owner
// has given the worker has run out.
func (g *Group) notRenewed(k *keeper, epoch uint64, err error) (stop, overdue bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epoch != epoch {
		return true, false
	}
	if fault.Is(err, fault.Conflict) {
		// Only the log decides who owns the group. The next append or read
		// will show the claim behind the later epoch.
		g.checkOwner()
		return false, false
	}
	k.failures++
	if k.failures >= probesToLose {
		g.books.Unready(k.host.ID)
	}
	return false, !k.lost && !g.cfg.Clock.Now().Before(k.leaseEnds)
}

// loseWorker reports everything on an overdue worker as lost, if this host
// still owns the group. A host that was paused has heard nothing from its
// workers either, but their new keeper may have renewed them. The log is asked
// after the leases have run out: whoever claims the group later finds that
// the worker has stopped its tasks.
func (g *Group) loseWorker(k *keeper, epoch uint64, err error) {
	if g.confirmOwner(k.ctx) != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epoch != epoch {
		return
	}
	k.lost = true
	news := g.books.LoseWorker(k.host.ID)
	g.log.Info("worker is lost", "worker", k.host.ID, "tasks", len(news), "err", err.Error())
	if len(news) > 0 {
		go g.sendReports(k.ctx)
	}
}

// checkOwner proposes an empty batch, whose fate shows whether the epoch still
// stands. The caller holds the lock.
func (g *Group) checkOwner() {
	if len(g.pending) == 0 {
		_ = g.propose(proposal{})
	}
}
