package owner

import (
	"context"
	"time"

	"lagooncourse/internal/cell/alloc"
	"lagooncourse/internal/cell/group"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/plat/worker"
)

// This file bounds the size of the group's stream and state: it appends
// snapshots and deletes expired jobs and calls. It also dumps the state for
// operators.

const (
	maintenanceInterval = time.Second
	purgeInterval       = time.Minute
)

// maintenanceLoop appends snapshots, so that the log may drop the records before
// them, deletes expired jobs and calls, and updates which attempts may be placed on
// distrusted workers.
func (g *Group) maintenanceLoop(ctx context.Context) {
	every(ctx, maintenanceInterval, func(ctx context.Context) {
		g.snapshot(ctx)
		g.purgeExpired()
		g.mu.Lock()
		g.refreshModes()
		g.mu.Unlock()
	})
}

// snapshot appends a snapshot if one is due. A failed append is retried in the
// next round of the loop.
func (g *Group) snapshot(ctx context.Context) {
	g.mu.Lock()
	records, _ := g.replay.SinceSnapshot()
	due := records >= g.cfg.Timing.SnapshotRecords ||
		records > 0 && g.cfg.Clock.Now().Sub(g.lastSnapshot) >= g.cfg.Timing.SnapshotInterval
	if !due || g.epoch == 0 || g.logDown {
		g.mu.Unlock()
		return
	}
	data, err := g.replay.EncodeSnapshot()
	g.mu.Unlock()
	if err != nil {
		g.logger.Error(err, "encoding the snapshot failed")
		return
	}
	if _, err := g.cfg.Log.Append(ctx, g.replay.Stream, data); err != nil {
		g.logger.V(1).Info("appending the snapshot failed", "err", err.Error())
		return
	}
	// Reading the snapshot back resets the number of records since the newest
	// snapshot. Otherwise an idle group would append one at every interval.
	if err := g.catchUp(ctx, g.replay); err != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastSnapshot = g.cfg.Clock.Now()
}

// SinceSnapshot returns the number and the total bytes of the records since the
// group's newest snapshot.
func (g *Group) SinceSnapshot() (records, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replay.SinceSnapshot()
}

// purgeExpired deletes the jobs and calls whose retention has ended.
func (g *Group) purgeExpired() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock.Now()
	if g.epoch == 0 || now.Sub(g.lastPurge) < purgeInterval {
		return
	}
	g.lastPurge = now
	before := now.Add(-g.cfg.Timing.Retention).UnixMilli()
	_ = g.propose(proposal{records: []group.Record{{Purge: &group.Purge{BeforeMs: before}}}})
}

// toWorkerAttempt converts an attempt for the worker client.
func toWorkerAttempt(at alloc.Attempt) worker.Attempt {
	return worker.Attempt{Task: at.Task, Number: at.Number}
}

// Dump describes the state of a group on this host, for operators.
type Dump struct {
	Group    string               `json:"group"`
	Az       string               `json:"az"`
	Epoch    uint64               `json:"epoch"`
	Seq      uint64               `json:"seq"`
	Offset   int64                `json:"offset"`
	Jobs     int                  `json:"jobs"`
	Queued   int                  `json:"queued"`
	Placing  int                  `json:"placing"`
	Pending  int                  `json:"pendingProposals"`
	LogDown  bool                 `json:"logDown"`
	Free     jobs.Size            `json:"free"`
	Capacity jobs.Size            `json:"capacity"`
	Used     map[string]jobs.Size `json:"used"`
	Workers  []WorkerDump         `json:"workers"`
	Stats    Stats                `json:"stats"`
}

// WorkerDump describes one worker according to its group's state.
type WorkerDump struct {
	ID       string `json:"id"`
	Ready    bool   `json:"ready"`
	Lost     bool   `json:"lost"`
	Trust    string `json:"trust"`
	Failures int    `json:"failures"`
	Tasks    int    `json:"tasks"`
}

// Dump returns the group's state.
func (g *Group) Dump() Dump {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := Dump{
		Group: g.cfg.Name, Az: g.cfg.Az, Epoch: g.epoch, LogDown: g.logDown, Stats: g.stats, Pending: len(g.pending),
		Used: map[string]jobs.Size{}, Workers: []WorkerDump{},
	}
	if g.epoch == 0 {
		return d
	}
	d.Seq, d.Offset, d.Jobs = g.state.Seq, g.replay.Next()-1, len(g.state.Jobs)
	d.Queued, d.Placing = g.queue.Len()+len(g.delayed), len(g.placing)
	d.Capacity = g.allocations.Capacity()
	d.Free, _ = g.allocations.Free()
	for team, used := range g.state.Used {
		d.Used[team] = used
	}
	for _, id := range g.allocations.Workers() {
		wd := WorkerDump{ID: id, Ready: g.allocations.Ready(id), Tasks: len(g.allocations.Running(id)), Trust: g.trust.State(id, g.nowMs()).String()}
		if lr := g.renewers[id]; lr != nil {
			wd.Lost, wd.Failures = lr.lost, lr.failures
		}
		d.Workers = append(d.Workers, wd)
	}
	return d
}
