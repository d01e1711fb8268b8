package owner

import (
	"context"
	"time"

	"lagooncourse/internal/cell/books"
	"lagooncourse/internal/cell/group"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/plat/worker"
)

// This file keeps the group's stream and memory bounded.

const (
	houseEvery  = time.Second
	forgetEvery = time.Minute
)

// housekeepLoop appends snapshots well before retention drops what they stand
// for, and forgets what ended long ago.
func (g *Group) housekeepLoop(ctx context.Context) {
	every(ctx, houseEvery, func(ctx context.Context) {
		g.snapshot(ctx)
		g.forgetOld()
		g.mu.Lock()
		g.reopen()
		g.mu.Unlock()
	})
}

// snapshot appends a snapshot if one is due. A failed append is tried again at
// the next look.
func (g *Group) snapshot(ctx context.Context) {
	g.mu.Lock()
	records, _ := g.replay.SinceSnapshot()
	due := records >= g.cfg.Timing.SnapshotAt ||
		records > 0 && g.cfg.Clock.Now().Sub(g.snapAt) >= g.cfg.Timing.Snapshot
	if !due || g.epoch == 0 || g.logDown {
		g.mu.Unlock()
		return
	}
	data, err := g.replay.EncodeSnapshot()
	g.mu.Unlock()
	if err != nil {
		g.log.Error(err, "snapshot not encoded")
		return
	}
	if _, err := g.cfg.Log.Append(ctx, g.replay.Stream, data); err != nil {
		g.log.V(1).Info("snapshot not appended", "err", err.Error())
		return
	}
	// Reading the snapshot back restarts the count of records since the newest
	// one; an idle group would otherwise append another at every interval.
	if err := g.catchUp(ctx, g.replay); err != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.snapAt = g.cfg.Clock.Now()
}

// SinceSnapshot returns the records and their bytes since the group's newest
// snapshot.
func (g *Group) SinceSnapshot() (records, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.replay.SinceSnapshot()
}

func (g *Group) forgetOld() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Clock.Now()
	if g.epoch == 0 || now.Sub(g.forgetAt) < forgetEvery {
		return
	}
	g.forgetAt = now
	before := now.Add(-g.cfg.Timing.Keep).UnixMilli()
	_ = g.propose(proposal{records: []group.Record{{Forget: &group.Forget{BeforeMs: before}}}})
}

func workerAttempt(at books.Attempt) worker.Attempt {
	return worker.Attempt{Task: at.Task, Number: at.Number}
}

// Dump is the state of a group on this host, for operators.
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

// WorkerDump is the state of one worker as its group sees it.
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
	d.Queued, d.Placing = g.queue.Len()+len(g.held), len(g.placing)
	d.Capacity = g.books.Capacity()
	d.Free, _ = g.books.Free()
	for team, used := range g.state.Used {
		d.Used[team] = used
	}
	for _, id := range g.books.Workers() {
		wd := WorkerDump{ID: id, Ready: g.books.Ready(id), Tasks: len(g.books.Running(id)), Trust: g.trust.State(id, g.nowMs()).String()}
		if k := g.keepers[id]; k != nil {
			wd.Lost, wd.Failures = k.lost, k.failures
		}
		d.Workers = append(d.Workers, wd)
	}
	return d
}
