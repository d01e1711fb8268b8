package gate

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/frame"
	"lagooncourse/internal/base/httpd"
	"lagooncourse/internal/cell/sched"
)

// Timeouts and limits of a client request.
const (
	defaultClientTimeout = 3 * time.Second         // if the request states none
	responseMargin       = 300 * time.Millisecond  // for the response to reach the client before its deadline
	ownerWait            = 1500 * time.Millisecond // how long a request waits for an owner; longer than a normal takeover
	forwardTimeout       = 1200 * time.Millisecond // of one forwarded call
	forwardPause         = 50 * time.Millisecond
	defaultBodyLimit     = 256 << 10   // bytes
	retryAfterSeconds    = 1           // minimum Retry-After value
	maxClientTimeout     = time.Minute // bounds a call whose client may have left
	maxDenialLines       = 50          // log lines a second about jobs that do not exist
	maxCancelLines       = 100         // log lines a second about answered cancellations
	maxAcceptLines       = 20          // log lines a second about submissions that another host has accepted
)

// serveAPI serves a client request.
func (h *Host) serveAPI(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	defer h.recoverPanic(w, r)
	startedAt := h.clock.Now()
	c, err := h.parseCall(r)
	var a ownerAnswer
	if err == nil {
		// A client that closes its sending side cancels r.Context, but may still read the response.
		a, err = h.dispatch(context.WithoutCancel(r.Context()), c, h.clientTimeout(r))
	}
	h.logGone(r, startedAt)
	h.logAnswer(c, a, err, startedAt)
	status := h.reply(w, c, a.callAnswer, err)
	h.metrics.observeRequest(c.Kind, status, h.clock.Now().Sub(startedAt))
	if err != nil {
		h.logRefusal(c, status, err)
	}
}

// logAnswer logs that a cancellation is about to be answered as done or with 410, or a
// submission as accepted by the owner on another host. The owner logs both as well, but
// its log may end with its process.
func (h *Host) logAnswer(c callMsg, a ownerAnswer, err error, startedAt time.Time) {
	msg, limiter := "cancellation answered", &h.cancels
	switch {
	case c.Kind == callCancel && (err == nil || isGone(c, fault.From(err))):
	case c.Kind == callSubmit && err == nil && a.owner != h.addr:
		msg, limiter = "submission answered", &h.accepts
	default:
		return
	}
	now := h.clock.Now()
	skipped, ok := limiter.Allow(now)
	if !ok {
		return
	}
	status, text := http.StatusOK, ""
	if err != nil {
		status, text = http.StatusGone, err.Error()
	}
	h.log.Info(msg, "job", c.ID, "status", status, "ownerHere", a.owner == h.addr, "ownerAddr", a.owner, "epoch", a.epoch,
		"tries", a.tries, "tookMs", now.Sub(startedAt).Milliseconds(), "err", text, "skipped", skipped)
}

// logRefusal logs an error response. Of the responses to status requests, it logs only
// that the job does not exist.
func (h *Host) logRefusal(c callMsg, status int, err error) {
	if status == http.StatusGone {
		skipped, ok := h.denials.Allow(h.clock.Now())
		if !ok {
			return
		}
		h.mu.Lock()
		isOwner, epoch := h.localOwner != nil, h.owner.epoch
		h.mu.Unlock()
		h.log.Info("no such job", "job", c.ID, "kind", kindNames[c.Kind], "owner", isOwner, "epoch", epoch, "err", err.Error(), "skipped", skipped)
		return
	}
	if httpd.IsUnread(err) { // a crowd of callers would fill the log
		skipped, ok := h.unread.Allow(h.clock.Now())
		if ok {
			h.log.Info("refused unread", "job", c.ID, "status", status, "err", err.Error(), "skipped", skipped)
		}
		return
	}
	if c.Kind != callStatus && c.Kind != callPending {
		h.log.Info("refused", "job", c.ID, "status", status, "err", err.Error(), "site", c.ConfigNext)
	}
}

// clientTimeout returns how long the client waits for the response.
func (h *Host) clientTimeout(r *http.Request) time.Duration {
	if d := h.cfg.Codec.Deadline(r.Header); d > 0 {
		return min(d, maxClientTimeout)
	}
	return defaultClientTimeout
}

// parseCall validates a client request and converts it to a call to the owner.
func (h *Host) parseCall(r *http.Request) (c callMsg, err error) {
	if !h.config.ready() {
		return c, fault.New(fault.Unavailable, fault.NotRun, "no configuration is known yet").WithRetryAfter(retryAfterSeconds)
	}
	c.ConfigNext = h.config.offset()
	q, ok := h.config.route(r.Host, r.URL.Path)
	if !ok {
		return c, fault.New(fault.NotFound, fault.NotRun, "no queue at %s%s", r.Host, r.URL.Path)
	}
	team, ok := h.config.team(h.cfg.Codec.Key(r.Header))
	if !ok && !q.Public {
		return c, fault.New(fault.Unauthenticated, fault.NotRun, "the key is not known")
	}
	c.Queue, c.QueueConfig = q.Name, q
	c.ID = h.jobID(strings.TrimPrefix(r.URL.Path, q.Prefix))
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
		return h.parseSubmission(r, c, team)
	default:
		return c, fault.InvalidField("method", r.Method, "must be GET, POST or DELETE")
	}
	return c, nil
}

// jobID returns the ID to use for the job that a client calls id. While there are hosts of an
// earlier version, which convert IDs to lower case, this host does so too: requests for one job
// may reach any host, and any host may become the owner.
func (h *Host) jobID(id string) string {
	lower := strings.ToLower(id)
	if lower == id {
		return id
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	for _, p := range h.peers {
		if p.convertsIDs && now.Sub(p.lastContact) < silentPeerAge {
			return lower
		}
	}
	return id
}

// parseSubmission reads and decodes the body of a job submission.
func (h *Host) parseSubmission(r *http.Request, c callMsg, team string) (callMsg, error) {
	limit := h.config.limits().BodyBytes
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	body, err := httpd.ReadBody(r, limit)
	if err != nil {
		return c, err
	}
	c.Spec, err = httpd.Decode(func() (sched.Spec, error) { return h.cfg.Codec.Job(c.ID, body) })
	if err != nil {
		return c, err
	}
	c.Spec.Queue, c.Spec.QueueID = c.Queue, c.QueueConfig.ID()
	c.Spec.Team, c.Spec.AcceptedMs = team, h.clock.Now().UnixMilli()
	c.Spec.ExactID = strings.HasSuffix(r.URL.Path, c.ID) // unless jobID has converted it
	return c, nil
}

// ownerAnswer is the answer to a call, with the owner that was called last.
type ownerAnswer struct {
	callAnswer
	owner string // address of its host; empty if no owner is known
	epoch int64  // in which it answered; in which this host knows it, if it failed the call
	tries int
}

// dispatch sends a call to the owner, on this host or another, and retries it for
// up to ownerWait while no owner is available. An error with a Retry-After value
// ends the retries, unless it is NotOwner. All calls are idempotent: a submission
// carries the job ID. If any try may have reached an owner, the call fails with
// outcome Unknown, never NotRun, unless the owner answers that the job does not exist.
func (h *Host) dispatch(ctx context.Context, c callMsg, wait time.Duration) (a ownerAnswer, err error) {
	startedAt := h.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, max(wait-responseMargin, responseMargin))
	defer cancel()
	defer context.AfterFunc(h.requests, cancel)()
	mayHaveRun := false
	for tries := 1; ; tries++ {
		a, err = h.tryOnce(ctx, c)
		a.tries = tries
		e := fault.From(err)
		if err == nil || !retryable(e) {
			if mayHaveRun && e != nil && e.Outcome == fault.NotRun && e.Code != fault.NotFound {
				break
			}
			return a, err
		}
		mayHaveRun = mayHaveRun || e.Outcome != fault.NotRun
		h.mu.Lock()
		ownerCh := h.ownerCh
		h.mu.Unlock()
		if e.RetryAfter > 0 && e.Code != fault.NotOwner || h.clock.Now().Sub(startedAt) > ownerWait || ctx.Err() != nil {
			break
		}
		t := time.NewTimer(forwardPause)
		select {
		case <-ctx.Done():
		case <-ownerCh:
		case <-t.C:
		}
		t.Stop()
	}
	if mayHaveRun {
		return a, fault.New(fault.Timeout, fault.Unknown, "no owner has confirmed the request")
	}
	e := fault.From(err)
	return a, fault.New(fault.Unavailable, fault.NotRun, "%s", e.Detail).WithRetryAfter(max(e.RetryAfter, retryAfterSeconds))
}

// retryable reports whether a retry, perhaps at another owner, may succeed.
func retryable(e *fault.Error) bool {
	return e != nil && (e.Code == fault.NotOwner || e.Code == fault.Unavailable || e.Code == fault.Timeout)
}

// tryOnce sends a call to the owner once.
func (h *Host) tryOnce(ctx context.Context, c callMsg) (a ownerAnswer, err error) {
	h.mu.Lock()
	o, owner, now := h.localOwner, h.owner, h.clock.Now()
	h.mu.Unlock()
	a.epoch = owner.epoch
	switch {
	case o != nil && o.Stalled() == 0: // a stalled owner would never answer
		a.owner = h.addr
		a.callAnswer, err = h.serveCall(ctx, c)
	case owner.addr == "" || owner.addr == h.addr || now.Sub(owner.lastContact) > suspectAfter:
		return a, fault.New(fault.NotOwner, fault.NotRun, "no owner is known")
	default:
		ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
		defer cancel()
		a.owner = owner.addr
		a.callAnswer, err = frame.Call(ctx, h.pool, owner.addr, callMethod, c)
	}
	if a.Epoch > 0 {
		a.epoch = a.Epoch
	}
	return a, err
}

// serveCall executes a call if this host is the owner.
func (h *Host) serveCall(ctx context.Context, c callMsg) (a callAnswer, err error) {
	h.mu.Lock()
	o := h.localOwner
	h.mu.Unlock()
	if o == nil || o.Stalled() > 0 {
		return a, fault.New(fault.NotOwner, fault.NotRun, "this host does not own the jobs")
	}
	a.Epoch = o.Epoch()
	switch c.Kind {
	case callSubmit:
		if c.QueueConfig.Name != "" {
			c.Spec.QueueConfig = &c.QueueConfig
		}
		return a, o.Submit(ctx, c.Spec)
	case callCancel:
		return a, o.Cancel(ctx, c.ID)
	case callPending:
		q := c.QueueConfig
		q.Name = c.Queue
		a.Pending, err = o.Pending(ctx, q)
		return a, err
	}
	a.Status, err = o.Status(ctx, c.ID)
	return a, err
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

// isGone reports whether e says that the job of a request does not exist.
func isGone(c callMsg, e *fault.Error) bool {
	return e.Code == fault.NotFound && (c.Kind == callStatus || c.Kind == callCancel) && c.ID != ""
}

// replyError writes a problem document and returns its status code. An unknown job
// gets 410 Gone, since 404 Not Found means that the queue does not exist.
func (h *Host) replyError(w http.ResponseWriter, c callMsg, e *fault.Error) int {
	if isGone(c, e) {
		w.WriteHeader(http.StatusGone)
		return http.StatusGone
	}
	httpd.WriteError(w, e)
	return e.Status()
}
