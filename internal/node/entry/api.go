package entry

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/frame"
	"lagooncourse/internal/base/httpd"
	"lagooncourse/internal/cell/config"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/node/owner"
	"lagooncourse/internal/node/peers"
	"lagooncourse/internal/node/route"
	"lagooncourse/internal/node/wire"
)

// Header names of the API.
const (
	HeaderCallID     = "Call-Id"
	HeaderIdempotent = "Call-Idempotent"
	HeaderTimeout    = "Call-Timeout-Ms"
	HeaderRan        = "Call-Ran"
)

const (
	maxWait     = time.Minute // for requests that wait for a job's end
	maxListJobs = 1000
	maxTimeout  = 10 * time.Minute
)

// routes lists the HTTP API. It is documented in docs/API.md.
func (h *Host) routes() []rest.Route {
	route := func(method, path string, fn http.HandlerFunc) rest.Route {
		return rest.Route{Method: method, Path: path, Handler: h.metrics.count(path, fn)}
	}
	metrics := promhttp.HandlerFor(h.metrics.registry, promhttp.HandlerOpts{})
	return []rest.Route{
		route(http.MethodPost, "/jobs", answer(h.postJob)),
		route(http.MethodGet, "/jobs", answer(h.getJobs)),
		route(http.MethodGet, "/jobs/:id", answer(h.getJob)),
		route(http.MethodPost, "/jobs/:id/cancel", answer(h.postCancel)),
		route(http.MethodPost, "/call/:service", h.postCall),
		route(http.MethodGet, "/config", answer(h.getConfig)),
		route(http.MethodPost, "/edits", answer(h.postEdit)),
		route(http.MethodPost, "/settle", answer(h.postSettle)),
		route(http.MethodGet, "/dump", answer(h.getDump)),
		route(http.MethodGet, "/healthz", h.getHealth),
		route(http.MethodGet, "/readyz", h.getReady),
		route(http.MethodGet, "/metrics", metrics.ServeHTTP),
	}
}

// answer turns a function into a handler that writes JSON or a problem document.
func answer[T any](fn func(*http.Request) (T, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v, err := fn(r)
		if err != nil {
			httpd.WriteError(w, err)
			return
		}
		httpd.WriteJSON(w, v)
	}
}

// bearer returns the key that came with the request, or "".
func bearer(r *http.Request) string {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return strings.TrimSpace(key)
}

// team returns the team whose key came with the request, or the open team for
// a request without a key.
func (h *Host) team(r *http.Request) (string, error) {
	if err := h.cell.Fresh(); err != nil {
		return "", err
	}
	key := bearer(r)
	if key == "" {
		return config.OpenTeam, nil
	}
	return h.cell.State().TeamOfKey(key)
}

// allowed returns an error unless the team may use the named thing. A request
// without a key that is not open to all lacks a key.
func (h *Host) allowed(team, kind, name string) error {
	err := h.cell.State().Allowed(team, kind, name)
	if err != nil && team == config.OpenTeam {
		return fault.New(fault.NoKey, fault.NotRun, "%s %q is not open to all; a key is needed", kind, name)
	}
	return err
}

// operator returns an error unless the request comes from an operator.
func (h *Host) operator(r *http.Request) error {
	if hash := h.set.API.OperatorKey; hash != "" {
		if config.HashSecret(bearer(r)) == hash {
			return nil
		}
		return fault.New(fault.NoKey, fault.NotRun, "an operator's key is needed")
	}
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	if ip := net.ParseIP(host); ip != nil && ip.IsLoopback() {
		return nil
	}
	return fault.New(fault.Denied, fault.NotRun, "operators are admitted from the loopback address only")
}

// postJob accepts a job. It answers once the job is in the log.
func (h *Host) postJob(r *http.Request) (j jobs.Job, err error) {
	spec, err := httpd.ReadJSON[jobs.Spec](r, h.set.API.MaxBody)
	if err != nil {
		return j, err
	}
	team, err := h.team(r)
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
	if err := h.admit(spec); err != nil {
		return j, err
	}
	name := homeOf(h.groupNames(), team, spec.Submission)
	return withOwner(r.Context(), func(ctx context.Context) (jobs.Job, error) {
		return toOwner(ctx, h, name, wire.Submit, wire.SubmitMsg{Group: name, Spec: spec}, submitAt)
	})
}

func (h *Host) groupNames() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return groupNames(h.list, h.set.Platform.GroupsInAz)
}

// admit returns an error for a job that its team may not run or that can never
// run on the cell's workers.
func (h *Host) admit(spec jobs.Spec) error {
	if err := spec.Check(); err != nil {
		return err
	}
	if err := h.allowed(spec.Team, "queue", spec.Queue); err != nil {
		return err
	}
	if spec.Az != "" {
		if err := h.allowed(spec.Team, "az", spec.Az); err != nil {
			return err
		}
	}
	limit := h.cell.State().Limit(spec.Team)
	need := spec.Size
	if spec.Kind == jobs.Gang {
		need = spec.Total()
	}
	if !need.Fits(limit) {
		return infeasible("size", need, "exceeds the limit of team "+spec.Team+", "+limit.String())
	}
	return h.feasible(spec)
}

func infeasible(field string, value jobs.Size, detail string) error {
	return &fault.Error{Code: fault.Infeasible, Ran: fault.NotRun, Field: field, Value: value.String(), Detail: detail}
}

// feasible returns an error if no worker in the host list could ever hold a
// task of the job.
func (h *Host) feasible(spec jobs.Spec) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.list.Workers) == 0 {
		return fault.New(fault.Unavailable, fault.NotRun, "this host has not read the host list yet").WithRetryAfter(1)
	}
	for _, w := range h.list.Workers {
		fits := spec.Size.Fits(jobs.Size{CPU: w.CPU, Mem: w.Mem, Accel: w.Accel})
		if fits && (spec.Az == "" || spec.Az == w.Az) {
			return nil
		}
	}
	return infeasible("size", spec.Size, "fits no worker of the cell")
}

// getJob returns a job, once it has ended if the request asks to wait.
func (h *Host) getJob(r *http.Request) (a JobAnswer, err error) {
	id, err := jobID(r)
	if err != nil {
		return a, err
	}
	waitMs, err := queryInt(r, "waitMs", maxWait.Milliseconds())
	if err != nil {
		return a, err
	}
	s, err := h.jobOf(r, id, waitMs)
	return JobAnswer{Job: s.Job, State: s.Job.State(), Why: s.Why}, err
}

// JobAnswer is a job with its state as a whole and why it waits.
type JobAnswer struct {
	jobs.Job
	State jobs.State `json:"state"`
	Why   []string   `json:"why,omitempty"`
}

func jobID(r *http.Request) (jobs.ID, error) {
	id := jobs.ID(pathvar.Vars(r)["id"])
	if _, ok := id.Group(); !ok {
		return "", fault.Field("id", id, "must have the form GROUP.NUMBER")
	}
	return id, nil
}

// queryInt parses a whole number of the query between 0 and most.
func queryInt(r *http.Request, name string, most int64) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || n > most {
		return 0, fault.Field(name, text, "must lie between 0 and %d", most)
	}
	return n, nil
}

// jobOf returns a job that the request may see: one of its own team, or any
// for an operator.
func (h *Host) jobOf(r *http.Request, id jobs.ID, waitMs int64) (s wire.StatusAnswer, err error) {
	team, err := h.team(r)
	if err != nil && h.operator(r) != nil {
		return s, err
	}
	s, err = withOwner(r.Context(), func(ctx context.Context) (wire.StatusAnswer, error) {
		return toOwner(ctx, h, groupOfJob(id), wire.Status, wire.StatusMsg{Job: id}, (*owner.Group).Status)
	})
	if err != nil {
		return s, err
	}
	if s.Job.Spec.Team != team && h.operator(r) != nil {
		return wire.StatusAnswer{}, fault.New(fault.Denied, fault.NotRun, "job %q belongs to another team", id)
	}
	return h.await(r.Context(), s, waitMs)
}

// await waits for the job's end. It asks again when the group's owner changes
// in between.
func (h *Host) await(ctx context.Context, s wire.StatusAnswer, waitMs int64) (wire.StatusAnswer, error) {
	deadline := h.clock.Now().Add(time.Duration(waitMs) * time.Millisecond)
	for !s.Job.Ended() {
		left := deadline.Sub(h.clock.Now()).Milliseconds()
		if left <= 0 {
			return s, nil
		}
		msg := wire.StatusMsg{Job: s.Job.ID, WaitMs: min(left, statusWait.Milliseconds())}
		next, err := toOwner(ctx, h, groupOfJob(s.Job.ID), wire.Status, msg, (*owner.Group).Status)
		if err == nil {
			s = next
			continue
		}
		select {
		case <-time.After(ownerRetry):
		case <-ctx.Done():
			return s, nil
		}
	}
	return s, nil
}

// statusWait bounds one wait at a group's owner, so that a dead owner is
// noticed.
const statusWait = 2 * time.Second

func (h *Host) postCancel(r *http.Request) (a JobAnswer, err error) {
	id, err := jobID(r)
	if err != nil {
		return a, err
	}
	if _, err := h.jobOf(r, id, 0); err != nil {
		return a, err
	}
	j, err := withOwner(r.Context(), func(ctx context.Context) (jobs.Job, error) {
		return toOwner(ctx, h, groupOfJob(id), wire.Cancel, wire.CancelMsg{Job: id}, cancelAt)
	})
	return JobAnswer{Job: j, State: j.State()}, err
}

// JobList is a list of jobs without their payloads.
type JobList struct {
	Jobs []JobAnswer `json:"jobs"`
}

// getJobs lists jobs: those of the key's team, or of all teams for an operator.
func (h *Host) getJobs(r *http.Request) (l JobList, err error) {
	team := ""
	if h.operator(r) != nil || bearer(r) != "" {
		if team, err = h.team(r); err != nil {
			return l, err
		}
	}
	l.Jobs = []JobAnswer{}
	state := jobs.State(r.URL.Query().Get("state"))
	for _, name := range h.groupNames() {
		msg := wire.ListMsg{Group: name, Team: team, State: state, Max: maxListJobs}
		a, err := toOwner(r.Context(), h, name, wire.List, msg, (*owner.Group).List)
		if err != nil {
			return l, err
		}
		for _, j := range a.Jobs {
			l.Jobs = append(l.Jobs, JobAnswer{Job: j, State: j.State()})
		}
	}
	return l, nil
}

// postCall carries one call to a target and its whole answer back.
func (h *Host) postCall(w http.ResponseWriter, r *http.Request) {
	msg, timeout, err := h.callOf(r)
	if err != nil {
		httpd.WriteError(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	a, err := h.call(ctx, msg)
	h.metrics.called(msg.Service, fault.RanOf(err))
	if err != nil {
		httpd.WriteError(w, err)
		return
	}
	w.Header().Set(HeaderCallID, msg.ID)
	w.Header().Set(HeaderRan, string(fault.Done))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// callOf checks a call's headers and body.
func (h *Host) callOf(r *http.Request) (msg wire.CallMsg, timeout time.Duration, err error) {
	team, err := h.team(r)
	if err != nil {
		return msg, 0, err
	}
	msg = wire.CallMsg{Service: pathvar.Vars(r)["service"], Team: team, ID: r.Header.Get(HeaderCallID)}
	if err := h.allowed(team, "service", msg.Service); err != nil {
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
		return msg, 0, fault.Field(HeaderIdempotent, v, `must be "true" or "false"`)
	}
	if timeout, err = h.timeoutOf(r); err != nil {
		return msg, 0, err
	}
	msg.Body, err = httpd.ReadBody(r, h.set.API.MaxBody)
	return msg, timeout, err
}

func (h *Host) timeoutOf(r *http.Request) (time.Duration, error) {
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return h.set.API.CallTimeout, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > maxTimeout.Milliseconds() {
		return 0, fault.Field(HeaderTimeout, text, "must lie between 1 and %d", maxTimeout.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// call runs an idempotent call by the shortest way, and any other through the
// group that records its intent.
func (h *Host) call(ctx context.Context, msg wire.CallMsg) (wire.CallAnswer, error) {
	if msg.Idempotent {
		return h.router.Call(ctx, msg)
	}
	name := homeOf(h.groupNames(), msg.Team, msg.ID)
	if name == "" {
		return wire.CallAnswer{}, fault.New(fault.Unavailable, fault.NotRun, "this host has not read the host list yet").WithRetryAfter(1)
	}
	msg.Group = name
	return withOwner(ctx, func(ctx context.Context) (wire.CallAnswer, error) {
		return toOwner(ctx, h, name, wire.Once, msg, h.onceAt)
	})
}

// postEdit applies an operator's edit. A lost race is a conflict that names
// the winner.
func (h *Host) postEdit(r *http.Request) (res config.Result, err error) {
	if err := h.operator(r); err != nil {
		return res, err
	}
	e, err := httpd.ReadJSON[config.Edit](r, h.set.API.MaxBody)
	if err != nil {
		return res, err
	}
	if e.ID == "" {
		e.ID = rand.Text()
	}
	if err := e.Check(); err != nil {
		return res, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.set.API.CallTimeout)
	defer cancel()
	res, err = h.cell.Edit(ctx, e)
	if err == nil && !res.Accepted {
		return res, &fault.Error{
			Code: fault.Conflict, Ran: fault.NotRun, Field: "base", Value: strconv.FormatInt(int64(e.Base), 10),
			Detail: "object " + e.Object() + " stands at version " + strconv.FormatInt(int64(res.Version), 10) +
				", made by " + strconv.Quote(res.Winner),
		}
	}
	return res, err
}

// ConfigAnswer is the configuration in force on one host.
type ConfigAnswer struct {
	Offset int64                   `json:"offset"`
	AgeMs  int64                   `json:"ageMs"`
	Plans  map[string]config.Plan  `json:"plans"`
	Allows map[string]config.Allow `json:"allows"`
	Keys   map[string]config.Key   `json:"keys"`
	Azs    map[string]config.Az    `json:"azs"`
}

func (h *Host) getConfig(r *http.Request) (a ConfigAnswer, err error) {
	if err := h.operator(r); err != nil {
		return a, err
	}
	s := h.cell.State()
	age, _ := h.cell.Age()
	return ConfigAnswer{
		Offset: s.Offset, AgeMs: age.Milliseconds(), Plans: s.Plans, Allows: s.Allows, Keys: s.Keys, Azs: s.Azs,
	}, nil
}

// SettleRequest is an operator's decision on a parked task.
type SettleRequest struct {
	Task   string      `json:"task"`
	Action jobs.Action `json:"action"`
}

func (h *Host) postSettle(r *http.Request) (a JobAnswer, err error) {
	if err := h.operator(r); err != nil {
		return a, err
	}
	req, err := httpd.ReadJSON[SettleRequest](r, h.set.API.MaxBody)
	if err != nil {
		return a, err
	}
	ref, err := jobs.ParseRef(req.Task)
	if err != nil {
		return a, err
	}
	if _, ok := ref.Job.Group(); !ok {
		return a, fault.Field("task", req.Task, "must have the form GROUP.NUMBER/INDEX")
	}
	if req.Action != jobs.SettleDone && req.Action != jobs.SettleFailed && req.Action != jobs.SettleRerun {
		return a, fault.Field("action", req.Action, "must be one of %v", jobs.Actions)
	}
	j, err := toOwner(r.Context(), h, groupOfJob(ref.Job), wire.Settle,
		wire.SettleMsg{Ref: ref, Action: req.Action}, (*owner.Group).Settle)
	return JobAnswer{Job: j, State: j.State()}, err
}

func (h *Host) getHealth(w http.ResponseWriter, _ *http.Request) {
	httpd.WriteJSON(w, struct {
		Status string `json:"status"`
	}{"ok"})
}

// getReady tells the balancer whether to send requests here.
func (h *Host) getReady(w http.ResponseWriter, _ *http.Request) {
	if err := h.Ready(); err != nil {
		httpd.WriteError(w, err)
		return
	}
	h.getHealth(w, nil)
}

// Ready returns an error unless the host can serve requests.
func (h *Host) Ready() error {
	h.mu.Lock()
	leaving, listed := h.leaving, len(h.list.Workers)+len(h.list.Targets) > 0
	h.mu.Unlock()
	switch {
	case leaving:
		return fault.New(fault.Unavailable, fault.NotRun, "host %q is stopping", h.set.Host.ID)
	case !listed:
		return fault.New(fault.Unavailable, fault.NotRun, "host %q has not read the host list yet", h.set.Host.ID)
	}
	return h.cell.Fresh()
}

// Dump is the state of an entry host.
type Dump struct {
	Host     string            `json:"host"`
	Az       string            `json:"az"`
	UptimeMs int64             `json:"uptimeMs"`
	Leaving  bool              `json:"leaving"`
	Ready    string            `json:"ready"` // "yes", or why not
	CellNext int64             `json:"cellNext"`
	CellAge  int64             `json:"cellAgeMs"`
	Live     []peers.Peer      `json:"live"`
	Groups   []owner.Dump      `json:"groups"`
	Pools    []wire.Pool       `json:"pools"`
	Router   route.RouterStats `json:"router"`
	Traffic  Traffic           `json:"trafficBytes"`
}

// Dump returns the host's state.
func (h *Host) Dump() Dump {
	age, next := h.cell.Age()
	now := h.clock.Now()
	d := Dump{
		Host: h.set.Host.ID, Az: h.set.Host.Az, UptimeMs: now.Sub(h.started).Milliseconds(), Ready: "yes",
		CellNext: next, CellAge: age.Milliseconds(), Live: h.table.Live(now), Pools: h.ownPools(),
		Router: h.router.Stats(), Groups: []owner.Dump{}, Traffic: h.traffic(),
	}
	if err := h.Ready(); err != nil {
		d.Ready = err.Error()
	}
	h.mu.Lock()
	d.Leaving = h.leaving
	h.mu.Unlock()
	for _, og := range h.ownGroups() {
		d.Groups = append(d.Groups, og.g.Dump())
	}
	return d
}

// Traffic is what a host has exchanged with other entry hosts.
type Traffic struct {
	Control frame.Bytes `json:"control"` // membership and configuration
	Work    frame.Bytes `json:"work"`    // what grows with jobs and calls
}

// traffic sums the bytes of both sides of the protocol.
func (h *Host) traffic() (t Traffic) {
	for _, side := range []*frame.Traffic{h.frames.Traffic(), h.pool.Traffic()} {
		for method, b := range side.ByMethod() {
			if method == wire.Gossip.ID || method == wire.Cell.ID {
				t.Control = t.Control.Plus(b)
			} else {
				t.Work = t.Work.Plus(b)
			}
		}
	}
	return t
}

func (h *Host) getDump(r *http.Request) (Dump, error) {
	if err := h.operator(r); err != nil {
		return Dump{}, err
	}
	return h.Dump(), nil
}
