package owner

import (
	"context"
	"time"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/alloc"
	"lagooncourse/internal/cell/group"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/node/wire"
)

// This file starts attempts whose intent is durable, and proposes the record of an
// end if the attempt is known not to run.

// placedTask returns a task, and whether it is placed and attempt is its current
// attempt. The caller holds the lock.
func (g *Group) placedTask(ref jobs.Ref, attempt int) (jobs.Task, bool) {
	j := g.state.Jobs[ref.Job]
	if j == nil || ref.Index >= len(j.Tasks) {
		return jobs.Task{}, false
	}
	t := j.Tasks[ref.Index]
	return t, t.State == jobs.Placed && t.Attempt == attempt
}

// startTimeout bounds a start request to the owner of a worker's group.
const startTimeout = 3 * time.Second

// startAttempt sends a start request to the owner of the worker's group. If the
// attempt is known not to run, it proposes the record of the end; an unknown
// outcome is left to reconcileLoop.
func (g *Group) startAttempt(ref jobs.Ref, msg wire.StartMsg) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	answer, err := g.cfg.Remote.Start(ctx, msg)
	if err != nil && fault.OutcomeOf(err) == fault.NotRun {
		answer.Status = alloc.StatusAbsent
	}
	if err != nil {
		g.logFailed("start", err, "of", msg.Group, "attempt", msg.Attempt)
	}
	if answer.Status == alloc.StatusAbsent {
		g.proposeEnd(ref, msg.Attempt.Number, alloc.Report{Reason: jobs.EndNeverStarted})
	}
}

// proposeEnd proposes the record of an attempt's end, without waiting for the
// commit.
func (g *Group) proposeEnd(ref jobs.Ref, attempt int, r alloc.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.placedTask(ref, attempt); !ok {
		return
	}
	err := g.propose(proposal{records: []group.Record{{End: &jobs.End{
		Ref: ref, Attempt: attempt, Reason: r.Reason, Result: r.Result, Checkpoint: r.Checkpoint, AtMs: g.nowMs(),
	}}}})
	if err != nil { // the attempt is queried again
		g.logFailed("record of an end", err, "attempt", alloc.Attempt{Task: ref.String(), Number: attempt})
	}
}
