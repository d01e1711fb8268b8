package owner

import (
	"context"
	"time"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/group"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/node/wire"
)

// This file serves clients and operators: it accepts jobs, returns their status,
// cancels them, and applies decisions about parked tasks. A change is confirmed
// only after its record is in the stream.

// Submit records a job and returns it. A repeated submission id returns the job
// that was recorded first.
func (g *Group) Submit(ctx context.Context, spec jobs.Spec) (j jobs.Job, err error) {
	defer fault.Annotate(&err, "submit job %q", spec.Name)
	if j, found, err := g.findSubmission(spec); found || err != nil {
		return j, err
	}
	err = g.commit(ctx, group.Record{Submit: &group.Submit{Spec: spec, AtMs: g.nowMs()}})
	if err != nil {
		return j, err
	}
	j, found, err := g.findSubmission(spec)
	if err == nil && !found {
		err = fault.New(fault.Internal, fault.Unknown, "the job is missing after its record was applied")
	}
	return j, err
}

// findSubmission returns the recorded job of a submission, if any. It fails if
// the recorded job has a different spec.
func (g *Group) findSubmission(spec jobs.Spec) (j jobs.Job, found bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epoch == 0 {
		return j, false, notOwner(g.cfg.Name)
	}
	j, found = g.state.Job(g.state.Submissions[group.RequestKey(spec.Team, spec.Submission)])
	if found && j.Spec != spec {
		err = fault.New(fault.Conflict, fault.NotRun, "submission %q already exists with a different spec, as job %q", spec.Submission, j.ID)
	}
	return j, found, err
}

// Status returns a job and the recent explanations of its status. It waits up to
// msg.WaitMs for the job's end.
func (g *Group) Status(ctx context.Context, msg wire.StatusMsg) (a wire.StatusAnswer, err error) {
	deadline := time.After(time.Duration(msg.WaitMs) * time.Millisecond)
	for {
		a, changed, err := g.confirmedStatus(ctx, msg.Job)
		if err != nil || a.Job.Ended() || msg.WaitMs == 0 {
			return a, err
		}
		select {
		case <-changed:
		case <-deadline:
			msg.WaitMs = 0
		case <-ctx.Done():
			return a, fault.New(fault.Timeout, fault.NotRun, "job %q has not ended", msg.Job)
		}
	}
}

// confirmedStatus is status, but fails with NotFound only while the log shows this host
// as the group's owner. A replaced owner does not know the jobs of its successor.
func (g *Group) confirmedStatus(ctx context.Context, id jobs.ID) (wire.StatusAnswer, <-chan struct{}, error) {
	a, changed, err := g.status(id)
	if !fault.HasCode(err, fault.NotFound) {
		return a, changed, err
	}
	if err := g.confirmOwner(ctx); err != nil {
		return wire.StatusAnswer{}, nil, err
	}
	return g.status(id)
}

// status returns a job's status and a channel that is closed at the next change
// of the group's state.
func (g *Group) status(id jobs.ID) (wire.StatusAnswer, <-chan struct{}, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epoch == 0 {
		return wire.StatusAnswer{}, nil, notOwner(g.cfg.Name)
	}
	j, ok := g.state.Job(id)
	if !ok {
		return wire.StatusAnswer{}, nil, fault.New(fault.NotFound, fault.NotRun, "job %q does not exist", id)
	}
	return wire.StatusAnswer{Job: j, Why: append([]string(nil), g.reasons[id]...)}, g.changed, nil
}

// Cancel records the cancellation of a job. Its placed tasks are stopped later.
func (g *Group) Cancel(ctx context.Context, id jobs.ID) (j jobs.Job, err error) {
	defer fault.Annotate(&err, "cancel job %q", id)
	if _, _, err := g.confirmedStatus(ctx, id); err != nil {
		return j, err
	}
	if err := g.commit(ctx, group.Record{Cancel: &group.Cancel{Job: id, AtMs: g.nowMs()}}); err != nil {
		return j, err
	}
	a, _, err := g.status(id)
	return a.Job, err
}

// Settle applies an operator's decision to a parked task.
func (g *Group) Settle(ctx context.Context, msg wire.SettleMsg) (j jobs.Job, err error) {
	defer fault.Annotate(&err, "settle task %q", msg.Ref)
	a, _, err := g.confirmedStatus(ctx, msg.Ref.Job)
	if err != nil {
		return j, err
	}
	if msg.Ref.Index >= len(a.Job.Tasks) || a.Job.Tasks[msg.Ref.Index].State != jobs.Parked {
		return j, fault.New(fault.Conflict, fault.NotRun, "task %q is not parked", msg.Ref)
	}
	err = g.commit(ctx, group.Record{Settle: &group.Settle{Ref: msg.Ref, Action: msg.Action, AtMs: g.nowMs()}})
	if err != nil {
		return j, err
	}
	a, _, err = g.status(msg.Ref.Job)
	return a.Job, err
}

// List returns jobs of the group, oldest first, without their payloads.
func (g *Group) List(_ context.Context, msg wire.ListMsg) (a wire.ListAnswer, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epoch == 0 {
		return a, notOwner(g.cfg.Name)
	}
	for _, j := range g.state.JobsBySubmission() {
		if msg.Team != "" && j.Spec.Team != msg.Team || msg.State != "" && j.State() != msg.State {
			continue
		}
		if len(a.Jobs) >= msg.Max {
			break
		}
		c := j.WithTasks(j.Tasks)
		c.Spec.Payload = ""
		a.Jobs = append(a.Jobs, c)
	}
	return a, nil
}
