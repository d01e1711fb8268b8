package owner

import (
	"context"
	"time"

	"lagooncourse/internal/cell/books"
	"lagooncourse/internal/cell/group"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/node/wire"
)

// This file follows the attempts of the group's jobs to their end. Ends come
// in as reports from the keepers. For what no report tells, such as a start
// whose answer was lost or a keeper that died, the home asks the keeper's
// present owner.

const (
	reportEvery    = 300 * time.Millisecond
	reportTimeout  = 2 * time.Second
	whereTimeout   = 2 * time.Second
	maxWhereBatch  = 500
	doubtAfterMs   = 1500 // milliseconds that a start may take before it is asked about
	maxReportBatch = 500
)

// reportLoop sends the ends of attempts to their homes until each has
// recorded them.
func (g *Group) reportLoop(ctx context.Context) {
	every(ctx, reportEvery, func(ctx context.Context) {
		g.sendReports(ctx)
		g.drain(ctx)
	})
}

// sendReports sends every end that is not recorded yet.
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
// not the running one of its task counts as recorded: either its end was
// recorded before, or its job is gone. That is the last word only of an owner
// that the log has confirmed; an attempt that is unknown here may be one that a
// later owner has started, and its end must not be forgotten.
func (g *Group) Report(ctx context.Context, msg wire.ReportMsg) (a wire.ReportAnswer, err error) {
	records, err := g.endsOf(msg)
	if err == nil && len(records) < len(msg.Reports) {
		if err = g.confirmOwner(ctx); err == nil {
			records, err = g.endsOf(msg)
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

// endsOf returns the records for those reports that end a running attempt.
func (g *Group) endsOf(msg wire.ReportMsg) ([]group.Record, error) {
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
		if _, ok := g.placed(ref, r.Attempt.Number); ok {
			records = append(records, group.Record{End: &jobs.End{
				Ref: ref, Attempt: r.Attempt.Number, How: r.How,
				Result: r.Result, Checkpoint: r.Checkpoint, AtMs: g.nowMs(),
			}})
		}
	}
	return records, nil
}

// reconcileLoop looks after attempts in doubt.
func (g *Group) reconcileLoop(ctx context.Context) {
	every(ctx, g.cfg.Timing.Reconcile, func(ctx context.Context) {
		for name, queries := range g.doubts() {
			go g.ask(ctx, name, queries)
		}
		g.stopUnwanted(ctx)
	})
}

// doubts lists the attempts whose keeper has not confirmed them in its present
// epoch, by the keeper's group.
func (g *Group) doubts() map[string][]books.Query {
	epochs := map[string]uint64{}
	for _, d := range g.cfg.Remote.Duties() {
		epochs[d.Group] = d.Epoch
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	byGroup := map[string][]books.Query{}
	g.eachPlaced(func(ref jobs.Ref, t jobs.Task) {
		at := books.Attempt{Task: ref.String(), Number: t.Attempt}
		confirmed, ok := g.known[at]
		if ok && confirmed == epochs[t.Group] || g.nowMs()-t.StartMs < doubtAfterMs {
			return
		}
		if len(byGroup[t.Group]) < maxWhereBatch {
			byGroup[t.Group] = append(byGroup[t.Group], books.Query{Attempt: at, Worker: t.Worker, Boot: t.Boot})
		}
	})
	return byGroup
}

// eachPlaced calls fn for every task that is placed. The caller holds the lock.
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

// ask asks a keeper about attempts in doubt and takes its answers.
func (g *Group) ask(ctx context.Context, name string, queries []books.Query) {
	ctx, cancel := context.WithTimeout(ctx, whereTimeout)
	defer cancel()
	msg := wire.WhereMsg{Group: name, Queries: queries}
	a, err := g.cfg.Remote.Where(ctx, msg)
	if err != nil || len(a.Places) != len(queries) || len(a.Reports) != len(queries) {
		return
	}
	for i, q := range queries {
		g.learn(q.Attempt, a.Epoch, a.Places[i], a.Reports[i])
	}
}

func (g *Group) learn(at books.Attempt, epoch uint64, place books.Place, r books.Report) {
	ref, err := jobs.ParseRef(at.Task)
	if err != nil {
		return
	}
	switch place {
	case books.There:
		g.mu.Lock()
		g.known[at] = epoch
		g.mu.Unlock()
	case books.Ended:
		g.proposeEnd(ref, at.Number, r)
	case books.Absent:
		g.proposeEnd(ref, at.Number, books.Report{How: jobs.EndAbsent})
	}
}

// stopUnwanted asks for the end of attempts that should not run: those of
// cancelled jobs, those of gangs that have lost a task, those above a limit that
// was lowered, and those of teams above their share while others starve.
func (g *Group) stopUnwanted(ctx context.Context) {
	for _, msg := range g.unwanted() {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, whereTimeout)
			defer cancel()
			_ = g.cfg.Remote.Stop(ctx, msg)
		}()
	}
}

// maxStops bounds the stop requests of one look.
const maxStops = 500

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
		broken := j.Spec.Kind == jobs.Gang && waiting(j) > 0
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
