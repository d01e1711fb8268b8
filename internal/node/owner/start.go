package owner

import (
	"context"
	"time"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/books"
	"lagooncourse/internal/cell/group"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/node/wire"
)

// This file starts attempts whose intent is durable, and records the ends that
// are known at once.

// placed returns the task if the attempt is its running one. The caller holds
// the lock.
func (g *Group) placed(ref jobs.Ref, attempt int) (jobs.Task, bool) {
	j := g.state.Jobs[ref.Job]
	if j == nil || ref.Index >= len(j.Tasks) {
		return jobs.Task{}, false
	}
	t := j.Tasks[ref.Index]
	return t, t.State == jobs.Placed && t.Attempt == attempt
}

// startTimeout bounds a start request to another group's owner.
const startTimeout = 3 * time.Second

// startAttempt has the keeper of the worker start an attempt, and records at
// once if it surely does not run. In doubt, reconciling settles it.
func (g *Group) startAttempt(ref jobs.Ref, msg wire.StartMsg) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	answer, err := g.cfg.Remote.Start(ctx, msg)
	if err != nil && fault.RanOf(err) == fault.NotRun {
		answer.Place = books.Absent
	}
	if answer.Place == books.Absent {
		g.proposeEnd(ref, msg.Attempt.Number, books.Report{How: jobs.EndAbsent})
	}
}

// proposeEnd records the end of an attempt, without waiting for it.
func (g *Group) proposeEnd(ref jobs.Ref, attempt int, r books.Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.placed(ref, attempt); !ok {
		return
	}
	_ = g.propose(proposal{records: []group.Record{{End: &jobs.End{
		Ref: ref, Attempt: attempt, How: r.How, Result: r.Result, Checkpoint: r.Checkpoint, AtMs: g.nowMs(),
	}}}})
}
