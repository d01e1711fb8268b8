package owner

import (
	"context"
	"time"

	"lagooncourse/internal/cell/books"
	"lagooncourse/internal/cell/group"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/node/wire"
)

// This file tracks the attempts of the group's jobs until their end. The
// workers' groups report ends. Some attempts need a query to the current owner
// of the worker's group, for example after a start without a response or a
// failure of that group's previous owner.

const (
	reportInterval     = 300 * time.Millisecond
	reportTimeout      = 2 * time.Second
	requestTimeout     = 2 * time.Second
	maxQueryBatch      = 500
	unconfirmedAfterMs = 1500 // time since the start before an unconfirmed attempt is queried
	maxReportBatch     = 500
)

// reportLoop sends the ends of attempts to their home groups until these have
// recorded them. It also drains workers.
func (g *Group) reportLoop(ctx context.Context) {
	every(ctx, reportInterval, func(ctx context.Context) {
		g.sendReports(ctx)
		g.drain(ctx)
	})
}

// sendReports sends the ends that no home group has confirmed as recorded.
func (g *Group) sendReports(ctx context.Context) {
	g.mu.Lock()
	byHome := g.books.Reports()
	g.mu.Unlock()
	for home, reports := range byHome {
		go g.sendReport(ctx, home, reports[:min(len(reports), maxReportBatch)])
	}
}

func (g *Group) sendReport(ctx context.Context, home string, reports []books.Report) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	msg := wire.ReportMsg{Group: home, Reports: reports}
	a, err := g.cfg.Remote.Report(ctx, msg)
	if err != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, at := range a.Recorded {
		g.books.Forget(at)
	}
}

// Report records the ends of attempts of the group's jobs. An attempt that is
// not the current one of its task counts as recorded: either its end was
// recorded before, or its job has been deleted. This requires ownership
// confirmed by the log, because a later owner may have started the attempt, and
// its end must not be deleted.
func (g *Group) Report(ctx context.Context, msg wire.ReportMsg) (a wire.ReportAnswer, err error) {
	records, err := g.endRecords(msg)
	if err == nil && len(records) < len(msg.Reports) {
		if err = g.confirmOwner(ctx); err == nil {
			records, err = g.endRecords(msg)
		}
	}
	if err == nil && len(records) > 0 {
		err = g.commit(ctx, records...)
	}
	if err != nil {
		return wire.ReportAnswer{}, err
	}
	for _, r := range msg.Reports {
		a.Recorded = append(a.Recorded, r.Attempt)
	}
	return a, nil
}

// endRecords returns the records of the reports that end a current attempt.
func (g *Group) endRecords(msg wire.ReportMsg) ([]group.Record, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epoch == 0 {
		return nil, notOwner(g.cfg.Name)
	}
	var records []group.Record
	for _, r := range msg.Reports {
		ref, err := jobs.ParseRef(r.Attempt.Task)
		if err != nil {
			continue
		}
		if _, ok := g.placedTask(ref, r.Attempt.Number); ok {
			records = append(records, group.Record{End: &jobs.End{
				Ref: ref, Attempt: r.Attempt.Number, How: r.How,
				Result: r.Result, Checkpoint: r.Checkpoint, AtMs: g.nowMs(),
			}})
		}
	}
	return records, nil
}

// reconcileLoop queries unconfirmed attempts and stops unwanted ones.
func (g *Group) reconcileLoop(ctx context.Context) {
	every(ctx, g.cfg.Timing.Reconcile, func(ctx context.Context) {
		for name, queries := range g.unconfirmed() {
			go g.queryAttempts(ctx, name, queries)
		}
		g.stopUnwanted(ctx)
	})
}

// unconfirmed returns queries for the attempts that their worker's group has not
// confirmed in its current epoch, by that group. It skips attempts that started
// less than unconfirmedAfterMs ago.
func (g *Group) unconfirmed() map[string][]books.Query {
	epochs := map[string]uint64{}
	for _, d := range g.cfg.Remote.Duties() {
		epochs[d.Group] = d.Epoch
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	byGroup := map[string][]books.Query{}
	g.eachPlaced(func(ref jobs.Ref, t jobs.Task) {
		at := books.Attempt{Task: ref.String(), Number: t.Attempt}
		epoch, ok := g.confirmed[at]
		if ok && epoch == epochs[t.Group] || g.nowMs()-t.StartMs < unconfirmedAfterMs {
			return
		}
		if len(byGroup[t.Group]) < maxQueryBatch {
			byGroup[t.Group] = append(byGroup[t.Group], books.Query{Attempt: at, Worker: t.Worker, Boot: t.Boot})
		}
	})
	return byGroup
}

// eachPlaced calls fn for every placed task. The caller holds the lock.
func (g *Group) eachPlaced(fn func(jobs.Ref, jobs.Task)) {
	for id, j := range g.state.Jobs {
		if j.EndMs > 0 {
			continue
		}
		for i, t := range j.Tasks {
			if t.State == jobs.Placed {
				fn(jobs.Ref{Job: id, Index: i}, t)
			}
		}
	}
}

// queryAttempts queries a worker's group about unconfirmed attempts and applies
// the answers.
func (g *Group) queryAttempts(ctx context.Context, name string, queries []books.Query) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	msg := wire.WhereMsg{Group: name, Queries: queries}
	a, err := g.cfg.Remote.Where(ctx, msg)
	if err != nil || len(a.Places) != len(queries) || len(a.Reports) != len(queries) {
		return
	}
	for i, q := range queries {
		g.applyAnswer(q.Attempt, a.Epoch, a.Places[i], a.Reports[i])
	}
}

// applyAnswer applies the answer to the query of one attempt.
func (g *Group) applyAnswer(at books.Attempt, epoch uint64, place books.Place, r books.Report) {
	ref, err := jobs.ParseRef(at.Task)
	if err != nil {
		return
	}
	switch place {
	case books.There:
		g.mu.Lock()
		g.confirmed[at] = epoch
		g.mu.Unlock()
	case books.Ended:
		g.proposeEnd(ref, at.Number, r)
	case books.Absent:
		g.proposeEnd(ref, at.Number, books.Report{How: jobs.EndAbsent})
	}
}

// stopUnwanted sends stop requests for attempts that should no longer run: those
// of cancelled jobs, of gangs that have lost a task, above a lowered limit, and
// of teams above their fair share while another team is below its own.
func (g *Group) stopUnwanted(ctx context.Context) {
	for _, msg := range g.unwanted() {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, requestTimeout)
			defer cancel()
			_ = g.cfg.Remote.Stop(ctx, msg)
		}()
	}
}

// maxStops bounds the stop requests of one round of the loop.
const maxStops = 500

// unwanted returns the stop requests for attempts that should no longer run.
func (g *Group) unwanted() []wire.StopMsg {
	g.mu.Lock()
	defer g.mu.Unlock()
	over := g.overLimit()
	for ref := range g.overShare() {
		over[ref] = true
	}
	var list []wire.StopMsg
	g.eachPlaced(func(ref jobs.Ref, t jobs.Task) {
		j := g.state.Jobs[ref.Job]
		broken := j.Spec.Kind == jobs.Gang && waitingTasks(j) > 0
		if len(list) >= maxStops || !t.Cancelling && !broken && !over[ref] {
			return
		}
		list = append(list, wire.StopMsg{
			Group: t.Group, Attempt: books.Attempt{Task: ref.String(), Number: t.Attempt},
			Checkpoint: !t.Cancelling,
		})
	})
	return list
}
