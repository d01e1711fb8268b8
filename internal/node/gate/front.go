package gate

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/frame"
	"lagooncourse/internal/base/httpd"
)

// Timeouts and limits of a client request.
const (
	defaultDeadline = 3 * time.Second
	answerMargin    = 300 * time.Millisecond  // for the response to reach the client before its deadline
	ownerWait       = 1500 * time.Millisecond // longer than a normal takeover
	forwardTimeout  = 1200 * time.Millisecond // of one forwarded call
	forwardPause    = 50 * time.Millisecond
	defaultBody     = 256 << 10 // bytes
	retryTakeover   = 1         // Retry-After in seconds
)

// serveAPI serves a client request.
func (h *Host) serveFront(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	began := h.clock.Now()
	c, err := h.call(r)
	var a callAnswer
	if err == nil {
		a, err = h.dispatch(r.Context(), c, h.deadline(r))
	}
	if h.isLeaving() {
		w.Header().Set("Connection", "close")
	}
	status := h.reply(w, c, a, err)
	h.metrics.request(c.Kind, status, h.clock.Now().Sub(began))
	if err != nil && c.Kind != callStatus && c.Kind != callPending {
		h.log.Info("refused", "job", c.ID, "status", status, "err", err.Error(), "site", c.SiteNext)
	}
}

func (h *Host) isLeaving() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaving
}

// deadline returns how long the client waits for the response.
func (h *Host) deadline(r *http.Request) time.Duration {
	if d := h.cfg.Codec.Deadline(r.Header); d > 0 {
		return d
	}
	return defaultDeadline
}

// parseCall validates a request and converts it to a call to the owner.
func (h *Host) call(r *http.Request) (c callMsg, err error) {
	if !h.site.ready() {
		return c, fault.New(fault.Unavailable, fault.NotRun, "no configuration is known yet").WithRetryAfter(retryTakeover)
	}
	c.SiteNext = h.site.offset()
	q, ok := h.site.route(r.Host, r.URL.Path)
	if !ok {
		return c, fault.New(fault.NotFound, fault.NotRun, "no queue at %s%s", r.Host, r.URL.Path)
	}
	team, ok := h.site.team(h.cfg.Codec.Key(r.Header))
	if !ok && !q.Open {
		return c, fault.New(fault.NoKey, fault.NotRun, "the key is not known")
	}
	c.Queue = q.Name
	c.ID = strings.ToLower(strings.TrimPrefix(r.URL.Path, q.Prefix))
	if r.Method == http.MethodGet && c.ID == "" {
		c.Kind = callPending
		return c, nil
	}
	if err := h.cfg.Codec.JobID(c.ID); err != nil {
		return c, err
	}
	switch {
	case r.Method == http.MethodGet:
		c.Kind = callStatus
	case r.Method == http.MethodDelete:
		c.Kind = callCancel
	case r.Method == http.MethodPost:
		c.Kind = callSubmit
		return h.submission(r, c, team)
	default:
		return c, fault.Field("method", r.Method, "must be GET, POST or DELETE")
	}
	return c, nil
}

// parseSubmission reads and decodes the body of a job submission.
func (h *Host) submission(r *http.Request, c callMsg, team string) (callMsg, error) {
	limit := h.site.limits().BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return c, fault.Field("body", "", "failed to read: %v", err)
	}
	if int64(len(body)) > limit {
		return c, fault.New(fault.TooLarge, fault.NotRun, "the body exceeds the limit of %d bytes", limit)
	}
	c.Spec, err = h.cfg.Codec.Job(c.ID, body)
	if err != nil {
		return c, err
	}
	c.Spec.Queue, c.Spec.Team, c.Spec.AtMs = c.Queue, team, h.clock.Now().UnixMilli()
	return c, nil
}

// dispatch sends a call to the owner, on this host or another, and retries it
// while the owner is unavailable. All calls are idempotent: a submission carries
// the job ID. If any try may have reached an owner, the call fails with outcome
// Unknown, never NotRun.
func (h *Host) dispatch(ctx context.Context, c callMsg, wait time.Duration) (a callAnswer, err error) {
	began := h.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, max(wait-answerMargin, answerMargin))
	defer cancel()
	unknown := false
	for {
		a, err = h.once(ctx, c)
		e := fault.From(err)
		if err == nil || !retryable(e) {
			return a, err
		}
		unknown = unknown || e.Ran != fault.NotRun
		h.mu.Lock()
		changed := h.changed
		h.mu.Unlock()
		if e.RetryAfter > 0 && e.Code != fault.NotOwner || h.clock.Now().Sub(began) > ownerWait || ctx.Err() != nil {
			break
		}
		t := time.NewTimer(forwardPause)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-t.C:
		}
		t.Stop()
	}
	if unknown {
		return a, fault.New(fault.Timeout, fault.Unknown, "no owner has confirmed the request")
	}
	e := fault.From(err)
	return a, fault.New(fault.Unavailable, fault.NotRun, "%s", e.Detail).WithRetryAfter(max(e.RetryAfter, retryTakeover))
}

// retryable reports whether a retry, perhaps at another owner, may succeed.
func retryable(e *fault.Error) bool {
	return e != nil && (e.Code == fault.NotOwner || e.Code == fault.Unavailable || e.Code == fault.Timeout)
}

// tryOnce sends a call to the owner once.
func (h *Host) once(ctx context.Context, c callMsg) (a callAnswer, err error) {
	h.mu.Lock()
	l, own, now := h.lead, h.own, h.clock.Now()
	h.mu.Unlock()
	if l != nil {
		return h.serveCall(ctx, c)
	}
	if own.addr == "" || own.addr == h.addr || now.Sub(own.heard) > suspectAfter {
		return a, fault.New(fault.NotOwner, fault.NotRun, "no owner is known")
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return frame.Call(ctx, h.pool, own.addr, callMethod, c)
}

// serveCall executes a call if this host is the owner.
func (h *Host) serveCall(ctx context.Context, c callMsg) (a callAnswer, err error) {
	h.mu.Lock()
	l := h.lead
	h.mu.Unlock()
	if l == nil {
		return a, fault.New(fault.NotOwner, fault.NotRun, "this host does not own the jobs")
	}
	switch c.Kind {
	case callSubmit:
		return a, l.Submit(ctx, c.Spec)
	case callCancel:
		return a, l.Cancel(ctx, c.ID)
	case callPending:
		a.Pending, err = l.Pending(c.Queue)
		return a, err
	}
	s, ok, err := l.Status(c.ID)
	if err == nil && !ok {
		err = fault.New(fault.NotFound, fault.Done, "no job %q", c.ID)
	}
	return callAnswer{Status: s}, err
}

// reply writes the response and returns its status code.
func (h *Host) reply(w http.ResponseWriter, c callMsg, a callAnswer, err error) int {
	if err != nil {
		return h.replyError(w, c, fault.From(err))
	}
	var body []byte
	switch c.Kind {
	case callStatus:
		body, err = h.cfg.Codec.State(a.Status)
	case callPending:
		body, err = h.cfg.Codec.Pending(a.Pending)
	}
	if err != nil {
		return h.replyError(w, c, fault.From(err))
	}
	if len(body) > 0 {
		w.Header().Set("Content-Type", "application/json")
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // a write error means that the client has disconnected
	return http.StatusOK
}

// replyError writes a problem document and returns its status code. An unknown job
// gets 410 Gone, since 404 Not Found means that the queue does not exist.
func (h *Host) replyError(w http.ResponseWriter, c callMsg, e *fault.Error) int {
	if e.Code == fault.NotFound && (c.Kind == callStatus || c.Kind == callCancel) && c.ID != "" {
		w.WriteHeader(http.StatusGone)
		return http.StatusGone
	}
	httpd.WriteError(w, e)
	return e.Status()
}
