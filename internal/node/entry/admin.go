package entry

import (
	"context"
	"crypto/rand"
	"net/http"
	"strconv"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/httpd"
	"lagooncourse/internal/cell/config"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/node/owner"
	"lagooncourse/internal/node/wire"
)

// This file implements the operators' part of the API.

// postEdit applies an operator's edit. If another edit of the same base version was
// applied first, the error is a conflict that names its author.
func (h *Host) postEdit(r *http.Request) (res config.EditResult, err error) {
	if err := h.checkOperator(r); err != nil {
		return res, err
	}
	e, err := httpd.ReadJSON[config.Edit](r, h.settings.API.MaxBody)
	if err != nil {
		return res, err
	}
	if e.ID == "" {
		e.ID = rand.Text()
	}
	if err := e.Check(); err != nil {
		return res, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.settings.API.CallTimeout)
	defer cancel()
	res, err = h.follower.Edit(ctx, e)
	if err == nil && !res.Accepted {
		return res, &fault.Error{
			Code: fault.Conflict, Outcome: fault.NotRun, Field: "base", Value: strconv.FormatInt(int64(e.Base), 10),
			Detail: "object " + e.Object() + " has version " + strconv.FormatInt(int64(res.Version), 10) +
				", written by " + strconv.Quote(res.Winner),
		}
	}
	return res, err
}

// ConfigAnswer is the configuration that one host has applied, up to and including the
// record at Offset. It was last known to be complete AgeMs ago.
type ConfigAnswer struct {
	Offset int64                       `json:"offset"`
	AgeMs  int64                       `json:"ageMs"`
	Plans  map[string]config.Plan      `json:"plans"`
	Allows map[string]config.AllowList `json:"allows"`
	Keys   map[string]config.Key       `json:"keys"`
	Azs    map[string]config.Az        `json:"azs"`
}

// getConfig returns the configuration to an operator.
func (h *Host) getConfig(r *http.Request) (a ConfigAnswer, err error) {
	if err := h.checkOperator(r); err != nil {
		return a, err
	}
	s := h.follower.State()
	age, _ := h.follower.Age()
	return ConfigAnswer{
		Offset: s.Offset, AgeMs: age.Milliseconds(), Plans: s.Plans, Allows: s.Allows, Keys: s.Keys, Azs: s.Azs,
	}, nil
}

// SettleRequest is an operator's decision on a parked task.
type SettleRequest struct {
	Task   string      `json:"task"`
	Action jobs.Action `json:"action"`
}

// postSettle applies an operator's decision on a parked task and returns the job. It is
// not retried while the group has no owner.
func (h *Host) postSettle(r *http.Request) (a JobAnswer, err error) {
	if err := h.checkOperator(r); err != nil {
		return a, err
	}
	req, err := httpd.ReadJSON[SettleRequest](r, h.settings.API.MaxBody)
	if err != nil {
		return a, err
	}
	ref, err := jobs.ParseRef(req.Task)
	if err != nil {
		return a, err
	}
	if _, ok := ref.Job.Group(); !ok {
		return a, fault.InvalidField("task", req.Task, "must have the form GROUP.NUMBER/INDEX")
	}
	if req.Action != jobs.SettleDone && req.Action != jobs.SettleFailed && req.Action != jobs.SettleRerun {
		return a, fault.InvalidField("action", req.Action, "must be one of %v", jobs.Actions)
	}
	j, err := callOwner(r.Context(), h, groupOfJob(ref.Job), wire.Settle,
		wire.SettleMsg{Ref: ref, Action: req.Action}, (*owner.Group).Settle)
	return JobAnswer{Job: j, State: j.State()}, err
}
