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
	var a wire.ReportAnswer
	var err error
	if home == g.cfg.Name {
		a, err = g.Report(ctx, msg)
	} else {
		a, err = g.cfg.Remote.Report(ctx, msg)
	}
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
// recorded before, or its job is gone.
func (g *Group) Report(ctx context.Context, msg wire.ReportMsg) (a wire.ReportAnswer, err error) {
	g.mu.Lock()
	if g.epoch == 0 {
		g.mu.Unlock()
		return a, notOwner(g.cfg.Name)
	}
	var records []group.Record
	for _, r := range msg.Reports {
		a.Recorded = append(a.Recorded, r.Attempt)
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
	g.mu.Unlock()
	if len(records) == 0 {
		return a, nil
	}
	if err := g.commit(ctx, records...); err != nil {
		return wire.ReportAnswer{}, err
	}
	return a, nil
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
	var a wire.WhereAnswer
	var err error
	if name == g.cfg.Name {
		a, err = g.Where(ctx, msg)
	} else {
		a, err = g.cfg.Remote.Where(ctx, msg)
	}
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
			if msg.Group == g.cfg.Name {
				_ = g.Stop(ctx, msg)
				return
			}
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

// Submit records a job and returns it. A repetition with the same submission
// id returns the job that was recorded first.
func (g *Group) Submit(ctx context.Context, spec jobs.Spec) (j jobs.Job, err error) {
	defer fault.Note(&err, "submit job %q", spec.Name)
	if j, found, err := g.submitted(spec); found || err != nil {
		return j, err
	}
	err = g.commit(ctx, group.Record{Submit: &group.Submit{Spec: spec, AtMs: g.nowMs()}})
	if err != nil {
		return j, err
	}
	j, found, err := g.submitted(spec)
	if err == nil && !found {
		err = fault.New(fault.Internal, fault.Unknown, "the job is missing after its record was applied")
	}
	return j, err
}

// submitted returns the job of a submission, if it has been recorded.
func (g *Group) submitted(spec jobs.Spec) (j jobs.Job, found bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epoch == 0 {
		return j, false, notOwner(g.cfg.Name)
	}
	j, found = g.state.Job(g.state.Subs[group.SubKey(spec.Team, spec.Submission)])
	if found && j.Spec != spec {
		err = fault.New(fault.Conflict, fault.NotRun, "submission %q was made before with another content, as job %q", spec.Submission, j.ID)
	}
	return j, found, err
}

// Status returns a job and why it waits. It waits up to msg.WaitMs for the
// job's end.
func (g *Group) Status(ctx context.Context, msg wire.StatusMsg) (a wire.StatusAnswer, err error) {
	deadline := time.After(time.Duration(msg.WaitMs) * time.Millisecond)
	for {
		a, changed, err := g.status(msg.Job)
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
	return wire.StatusAnswer{Job: j, Why: append([]string(nil), g.why[id]...)}, g.changed, nil
}

// Cancel asks for the end of a job.
func (g *Group) Cancel(ctx context.Context, id jobs.ID) (j jobs.Job, err error) {
	defer fault.Note(&err, "cancel job %q", id)
	if _, _, err := g.status(id); err != nil {
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
	defer fault.Note(&err, "settle task %q", msg.Ref)
	a, _, err := g.status(msg.Ref.Job)
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
	for _, j := range g.state.Sorted() {
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
