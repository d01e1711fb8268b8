package entry

import (
	"context"
	"crypto/rand"
	"net/http"
	"strconv"
	"time"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/httpd"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/node/owner"
	"lagooncourse/internal/node/wire"
)

// This file implements the API for jobs.

// postJob accepts a job. It responds after the job has been written to the log.
func (h *Host) postJob(r *http.Request) (j jobs.Job, err error) {
	spec, err := httpd.ReadJSON[jobs.Spec](r, h.settings.API.MaxBody)
	if err != nil {
		return j, err
	}
	team, err := h.requestTeam(r)
	if err != nil {
		return j, err
	}
	if spec.Team != "" && spec.Team != team {
		return j, fault.New(fault.Denied, fault.NotRun, "the key belongs to team %q, not to team %q", team, spec.Team)
	}
	spec = spec.WithDefaults().WithTeam(team)
	if spec.Submission == "" {
		spec = spec.WithSubmission(rand.Text())
	}
	if err := h.checkSpec(spec); err != nil {
		return j, err
	}
	name := homeGroup(h.groupNames(), team, spec.Submission)
	return retryUntilOwner(r.Context(), func(ctx context.Context) (jobs.Job, error) {
		return callOwner(ctx, h, name, wire.Submit, wire.SubmitMsg{Group: name, Spec: spec}, submitLocal)
	})
}

// groupNames returns the sorted names of the groups in the newest host list.
func (h *Host) groupNames() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return groupNames(h.hostList, h.settings.Platform.GroupsInAz)
}

// checkSpec returns an error if the job is invalid, if its team may not use its queue or
// availability zone, if it exceeds the team's limit, or if no worker is large enough
// for one of its tasks.
func (h *Host) checkSpec(spec jobs.Spec) error {
	if err := spec.Check(); err != nil {
		return err
	}
	if err := h.checkAllowed(spec.Team, "queue", spec.Queue); err != nil {
		return err
	}
	if spec.Az != "" {
		if err := h.checkAllowed(spec.Team, "az", spec.Az); err != nil {
			return err
		}
	}
	limit := h.follower.State().Limit(spec.Team)
	need := spec.Size
	if spec.Kind == jobs.Gang {
		need = spec.Total()
	}
	if !need.FitsIn(limit) {
		return infeasibleError("size", need, "exceeds the limit of team "+spec.Team+", "+limit.String())
	}
	return h.checkFeasible(spec)
}

// infeasibleError returns an error for a job that can never run because of the given field.
func infeasibleError(field string, value jobs.Size, detail string) error {
	return &fault.Error{Code: fault.Infeasible, Outcome: fault.NotRun, Field: field, Value: value.String(), Detail: detail}
}

// checkFeasible returns an error if no worker in the host list is large enough for a
// task of the job, or if the host list has not been read yet.
func (h *Host) checkFeasible(spec jobs.Spec) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.hostList.Workers) == 0 {
		return fault.New(fault.Unavailable, fault.NotRun, "this host has not read the host list yet").WithRetryAfter(1)
	}
	for _, w := range h.hostList.Workers {
		fits := spec.Size.FitsIn(jobs.Size{CPU: w.CPU, Mem: w.Mem, Accel: w.Accel})
		if fits && (spec.Az == "" || spec.Az == w.Az) {
			return nil
		}
	}
	return infeasibleError("size", spec.Size, "no worker of the cell is large enough")
}

// getJob returns a job. If the request sets waitMs, it responds when the job has
// ended or the wait has expired.
func (h *Host) getJob(r *http.Request) (a JobAnswer, err error) {
	id, err := jobID(r)
	if err != nil {
		return a, err
	}
	waitMs, err := queryInt(r, "waitMs", maxStatusWait.Milliseconds())
	if err != nil {
		return a, err
	}
	s, err := h.readJob(r, id, waitMs)
	return JobAnswer{Job: s.Job, State: s.Job.State(), Why: s.Why}, err
}

// JobAnswer is a job with its overall state and recent explanations of its status.
type JobAnswer struct {
	jobs.Job
	State jobs.State `json:"state"`
	Why   []string   `json:"why,omitempty"`
}

// jobID returns the job id in the request's path.
func jobID(r *http.Request) (jobs.ID, error) {
	id := jobs.ID(pathvar.Vars(r)["id"])
	if _, ok := id.Group(); !ok {
		return "", fault.InvalidField("id", id, "must have the form GROUP.NUMBER")
	}
	return id, nil
}

// queryInt parses an integer query parameter between 0 and limit. It returns 0 if the
// parameter is missing.
func queryInt(r *http.Request, name string, limit int64) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || n > limit {
		return 0, fault.InvalidField(name, text, "must lie between 0 and %d", limit)
	}
	return n, nil
}

// readJob returns a job if it belongs to the request's team or the request comes from
// an operator, who needs no team key. It waits up to waitMs for the job's end.
func (h *Host) readJob(r *http.Request, id jobs.ID, waitMs int64) (s wire.StatusAnswer, err error) {
	team, err := h.requestTeam(r)
	if err != nil && h.checkOperator(r) != nil {
		return s, err
	}
	s, err = retryUntilOwner(r.Context(), func(ctx context.Context) (wire.StatusAnswer, error) {
		return callOwner(ctx, h, groupOfJob(id), wire.Status, wire.StatusMsg{Job: id}, (*owner.Group).Status)
	})
	if err != nil {
		return s, err
	}
	if s.Job.Spec.Team != team && h.checkOperator(r) != nil {
		return wire.StatusAnswer{}, fault.New(fault.Denied, fault.NotRun, "job %q belongs to another team", id)
	}
	return h.waitForEnd(r.Context(), s, waitMs)
}

// waitForEnd waits up to waitMs for the job's end. It retries when the group's owner
// fails or changes during the wait.
func (h *Host) waitForEnd(ctx context.Context, s wire.StatusAnswer, waitMs int64) (wire.StatusAnswer, error) {
	deadline := h.clock.Now().Add(time.Duration(waitMs) * time.Millisecond)
	for !s.Job.Ended() {
		remaining := deadline.Sub(h.clock.Now()).Milliseconds()
		if remaining <= 0 {
			return s, nil
		}
		msg := wire.StatusMsg{Job: s.Job.ID, WaitMs: min(remaining, maxOwnerStatusWait.Milliseconds())}
		status, err := callOwner(ctx, h, groupOfJob(s.Job.ID), wire.Status, msg, (*owner.Group).Status)
		if err == nil {
			s = status
			continue
		}
		select {
		case <-time.After(ownerRetryInterval):
		case <-ctx.Done():
			return s, nil
		}
	}
	return s, nil
}

// maxOwnerStatusWait limits one status request to a group's owner, so that a wait
// continues with the new owner soon after a takeover.
const maxOwnerStatusWait = 2 * time.Second

// postCancel cancels a job.
func (h *Host) postCancel(r *http.Request) (a JobAnswer, err error) {
	id, err := jobID(r)
	if err != nil {
		return a, err
	}
	if _, err := h.readJob(r, id, 0); err != nil {
		return a, err
	}
	j, err := retryUntilOwner(r.Context(), func(ctx context.Context) (jobs.Job, error) {
		return callOwner(ctx, h, groupOfJob(id), wire.Cancel, wire.CancelMsg{Job: id}, cancelLocal)
	})
	return JobAnswer{Job: j, State: j.State()}, err
}

// JobList lists jobs without their payloads, at most maxListJobs of each group.
type JobList struct {
	Jobs []JobAnswer `json:"jobs"`
}

// getJobs lists the jobs of the request's team. It lists those of all teams if the
// request has no key and comes from an operator, which is possible only if no
// operators' key is set.
func (h *Host) getJobs(r *http.Request) (l JobList, err error) {
	team := ""
	if h.checkOperator(r) != nil || requestKey(r) != "" {
		if team, err = h.requestTeam(r); err != nil {
			return l, err
		}
	}
	l.Jobs = []JobAnswer{}
	state := jobs.State(r.URL.Query().Get("state"))
	for _, name := range h.groupNames() {
		msg := wire.ListMsg{Group: name, Team: team, State: state, Max: maxListJobs}
		a, err := callOwner(r.Context(), h, name, wire.List, msg, (*owner.Group).List)
		if err != nil {
			return l, err
		}
		for _, j := range a.Jobs {
			l.Jobs = append(l.Jobs, JobAnswer{Job: j, State: j.State()})
		}
	}
	return l, nil
}
