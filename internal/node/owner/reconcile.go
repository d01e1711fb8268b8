package owner

import (
	"context"
	"slices"
	"time"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/alloc"
	"lagooncourse/internal/cell/group"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/node/wire"
)

// This file tracks the attempts of the group's jobs until their end. The workers'
// groups report ends: reportLoop does so for the attempts on this group's workers.
// If an attempt's state is uncertain, for example after a start request without a
// response or a change of the owner of the worker's group, the home group queries
// that group. Conversely, a worker's group asks the home groups about the attempts that
// run on its workers, and stops those that no home group has as placed tasks.

const (
	reportInterval = 300 * time.Millisecond
	reportTimeout  = 2 * time.Second
	requestTimeout = 2 * time.Second
	maxQueryBatch  = 500
	queryDelayMs   = 1500 // an unconfirmed attempt is queried if it started longer ago
	maxReportBatch = 500
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
	byHome := g.allocations.Reports()
	g.mu.Unlock()
	for home, reports := range byHome {
		go g.sendReport(ctx, home, reports[:min(len(reports), maxReportBatch)])
	}
}

// sendReport sends ends to one home group, and deletes those that it has recorded.
func (g *Group) sendReport(ctx context.Context, home string, reports []alloc.Report) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	msg := wire.ReportMsg{Group: home, Reports: reports}
	a, err := g.cfg.Remote.Report(ctx, msg)
	if err != nil {
		g.logFailed("report", err, "home", home, "ends", len(reports))
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, at := range a.Recorded {
		g.allocations.MarkEndRecorded(at)
	}
}

// Report records the ends of attempts of the group's jobs. The end of an attempt
// that is not the current one of its task counts as recorded: either it was
// recorded before, or the job has been deleted. Before it returns such an end as
// recorded, Report confirms in the log that this host owns the group. Otherwise a
// later owner may have started the attempt, and its end would be deleted at the
// worker's group before it is recorded.
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

// endRecords returns a record for each report about the current attempt of a task.
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
				Ref: ref, Attempt: r.Attempt.Number, Reason: r.Reason,
				Result: r.Result, Checkpoint: r.Checkpoint, AtMs: g.nowMs(),
			}})
		}
	}
	return records, nil
}

// reconcileLoop queries unconfirmed attempts and stops attempts that should not run,
// both of the group's jobs and on the group's workers.
func (g *Group) reconcileLoop(ctx context.Context) {
	every(ctx, g.cfg.Timing.ReconcileInterval, func(ctx context.Context) {
		for name, queries := range g.unconfirmedQueries() {
			go g.queryAttempts(ctx, name, queries)
		}
		g.stopUnwantedAttempts(ctx)
		for home, attempts := range g.runningByHome() {
			go g.stopUnrecorded(ctx, home, attempts)
		}
	})
}

// unconfirmedQueries returns, for each worker's group, queries for the attempts
// that the group has not confirmed in its current epoch. It skips attempts that
// started less than queryDelayMs ago.
func (g *Group) unconfirmedQueries() map[string][]alloc.Query {
	epochs := map[string]uint64{}
	for _, d := range g.cfg.Remote.Groups() {
		epochs[d.Group] = d.Epoch
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	byGroup := map[string][]alloc.Query{}
	g.eachPlaced(func(ref jobs.Ref, t jobs.Task) {
		at := alloc.Attempt{Task: ref.String(), Number: t.Attempt}
		epoch, ok := g.confirmed[at]
		if ok && epoch == epochs[t.Group] || g.nowMs()-t.StartMs < queryDelayMs {
			return
		}
		if len(byGroup[t.Group]) < maxQueryBatch {
			byGroup[t.Group] = append(byGroup[t.Group], alloc.Query{Attempt: at, Worker: t.Worker, Boot: t.Boot})
		}
	})
	return byGroup
}

// eachPlaced calls fn for every placed task of the jobs that have not ended. The
// caller holds the lock.
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
func (g *Group) queryAttempts(ctx context.Context, name string, queries []alloc.Query) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	msg := wire.AttemptStatusMsg{Group: name, Queries: queries}
	a, err := g.cfg.Remote.AttemptStatus(ctx, msg)
	if err == nil && (len(a.Statuses) != len(queries) || len(a.Reports) != len(queries)) {
		err = fault.New(fault.BadResponse, fault.Unknown, "%d states and %d reports", len(a.Statuses), len(a.Reports))
	}
	if err != nil {
		g.logFailed("query", err, "of", name, "attempts", len(queries), "first", queries[0].Attempt)
		return
	}
	for i, q := range queries {
		g.applyAnswer(q.Attempt, a.Epoch, a.Statuses[i], a.Reports[i])
	}
}

// applyAnswer applies the answer to the query of one attempt.
func (g *Group) applyAnswer(at alloc.Attempt, epoch uint64, status alloc.AttemptStatus, r alloc.Report) {
	ref, err := jobs.ParseRef(at.Task)
	if err != nil {
		return
	}
	switch status {
	case alloc.StatusRunning:
		g.mu.Lock()
		g.confirmed[at] = epoch
		g.mu.Unlock()
	case alloc.StatusEnded:
		g.proposeEnd(ref, at.Number, r)
	case alloc.StatusAbsent:
		g.proposeEnd(ref, at.Number, alloc.Report{Reason: jobs.EndNeverStarted})
	}
}

// stopUnwantedAttempts sends stop requests for attempts that should no longer run: those
// of cancelled jobs, of gangs with a task that waits again, of teams whose use
// exceeds their grant, and of teams above their fair share while another team is
// below its own.
func (g *Group) stopUnwantedAttempts(ctx context.Context) {
	for _, msg := range g.unwantedAttempts() {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, requestTimeout)
			defer cancel()
			if err := g.cfg.Remote.Stop(ctx, msg); err != nil {
				g.logFailed("stop", err, "of", msg.Group, "attempt", msg.Attempt)
			}
		}()
	}
}

// maxStops bounds the stop requests of one round of the loop.
const maxStops = 500

// unwantedAttempts returns the stop requests for attempts that should no longer run.
func (g *Group) unwantedAttempts() []wire.StopMsg {
	g.mu.Lock()
	defer g.mu.Unlock()
	over := g.tasksOverLimit()
	for ref := range g.tasksOverShare() {
		over[ref] = true
	}
	var list []wire.StopMsg
	g.eachPlaced(func(ref jobs.Ref, t jobs.Task) {
		j := g.state.Jobs[ref.Job]
		gangBroken := j.Spec.Kind == jobs.Gang && waitingTasks(j) > 0
		if len(list) >= maxStops || !t.Cancelling && !gangBroken && !over[ref] {
			return
		}
		list = append(list, wire.StopMsg{
			Group: t.Group, Attempt: alloc.Attempt{Task: ref.String(), Number: t.Attempt},
			Checkpoint: !t.Cancelling,
		})
	})
	return list
}

// runningByHome returns the attempts that run on the group's workers, by home group.
func (g *Group) runningByHome() map[string][]alloc.Attempt {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epoch == 0 {
		return nil
	}
	return g.allocations.RunningByHome()
}

// stopUnrecorded stops those of the attempts on the group's workers that their home
// group does not want.
func (g *Group) stopUnrecorded(ctx context.Context, home string, attempts []alloc.Attempt) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	for batch := range slices.Chunk(attempts, maxQueryBatch) {
		a, err := g.cfg.Remote.Unwanted(ctx, wire.UnwantedMsg{Group: home, Attempts: batch})
		if err != nil {
			g.logFailed("question for unwanted attempts", err, "home", home, "attempts", len(attempts))
			return
		}
		if len(a.Attempts) > 0 {
			g.logger.Info("stopping attempts that their home group does not want", "home", home, "attempts", len(a.Attempts), "first", a.Attempts[0])
		}
		g.stopLocal(a.Attempts, false)
	}
}

// Unwanted returns those of the attempts, which run on workers, that are not the current
// attempts of placed tasks. An intent is recorded before its attempt starts, so an owner
// that the log confirms knows each attempt that may run.
func (g *Group) Unwanted(ctx context.Context, msg wire.UnwantedMsg) (a wire.UnwantedAnswer, err error) {
	if a, err = g.unrecorded(msg.Attempts); err != nil || len(a.Attempts) == 0 {
		return a, err
	}
	if err := g.confirmOwner(ctx); err != nil {
		return wire.UnwantedAnswer{}, err
	}
	return g.unrecorded(msg.Attempts)
}

func (g *Group) unrecorded(attempts []alloc.Attempt) (a wire.UnwantedAnswer, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epoch == 0 {
		return a, notOwner(g.cfg.Name)
	}
	for _, at := range attempts {
		ref, err := jobs.ParseRef(at.Task)
		if err == nil {
			if _, ok := g.placedTask(ref, at.Number); ok {
				continue
			}
		}
		a.Attempts = append(a.Attempts, at)
	}
	return a, nil
}
