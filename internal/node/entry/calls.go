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
	"lagooncourse/internal/node/wire"
)

// This file implements the API for calls to services.

// postCall forwards a call to a target and returns the complete response.
func (h *Host) postCall(w http.ResponseWriter, r *http.Request) {
	msg, timeout, err := h.parseCall(r)
	if err != nil {
		httpd.WriteError(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	a, err := h.routeCall(ctx, msg)
	h.metrics.countCall(msg.Service, fault.OutcomeOf(err))
	if err != nil {
		httpd.WriteError(w, err)
		return
	}
	w.Header().Set(HeaderCallID, msg.ID)
	w.Header().Set(HeaderOutcome, string(fault.Done))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// parseCall authenticates the caller, checks that its team may use the service, and
// parses the headers and body of the call.
func (h *Host) parseCall(r *http.Request) (msg wire.CallMsg, timeout time.Duration, err error) {
	team, err := h.requestTeam(r)
	if err != nil {
		return msg, 0, err
	}
	msg = wire.CallMsg{Service: pathvar.Vars(r)["service"], Team: team, ID: r.Header.Get(HeaderCallID)}
	if err := h.checkAllowed(team, "service", msg.Service); err != nil {
		return msg, 0, err
	}
	if msg.ID == "" {
		msg.ID = rand.Text()
	} else if err := jobs.CheckName(HeaderCallID, msg.ID); err != nil {
		return msg, 0, err
	}
	switch v := r.Header.Get(HeaderIdempotent); v {
	case "", "false":
	case "true":
		msg.Idempotent = true
	default:
		return msg, 0, fault.InvalidField(HeaderIdempotent, v, `must be "true" or "false"`)
	}
	if timeout, err = h.callTimeout(r); err != nil {
		return msg, 0, err
	}
	msg.Body, err = httpd.ReadBody(r, h.settings.API.MaxBody)
	return msg, timeout, err
}

// callTimeout returns the timeout of a call from its header, or the default.
func (h *Host) callTimeout(r *http.Request) (time.Duration, error) {
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return h.settings.API.CallTimeout, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > maxCallTimeout.Milliseconds() {
		return 0, fault.InvalidField(HeaderTimeout, text, "must lie between 1 and %d", maxCallTimeout.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// routeCall sends an idempotent call directly to a pool. It sends any other call to the
// owner of the group that homeGroup selects, which records the call in the log before
// it sends the call to a pool.
func (h *Host) routeCall(ctx context.Context, msg wire.CallMsg) (wire.CallAnswer, error) {
	if msg.Idempotent {
		return h.router.Call(ctx, msg)
	}
	name := homeGroup(h.groupNames(), msg.Team, msg.ID)
	if name == "" {
		return wire.CallAnswer{}, fault.New(fault.Unavailable, fault.NotRun, "this host has not read the host list yet").WithRetryAfter(1)
	}
	msg.Group = name
	return retryUntilOwner(ctx, func(ctx context.Context) (wire.CallAnswer, error) {
		return callOwner(ctx, h, name, wire.CallOnce, msg, h.onceLocal)
	})
}
