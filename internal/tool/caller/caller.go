// Package caller is the client of the entry hosts' HTTP API. The command line and
// the demonstration use it.
//
// # Usage
//
//	c := caller.New(caller.Config{API: []string{"http://10.0.0.1:7300"}, Key: key})
//	job, err := c.Submit(ctx, spec)
//	done, err := c.Wait(ctx, job.ID, time.Minute)
package caller

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/httpd"
	"lagooncourse/internal/cell/config"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/node/entry"
)

// Config describes a Client.
type Config struct {
	API         []string // base URLs of entry hosts, used round-robin
	Key         string   // "id.secret"; empty for none
	MaxAttempts int      // maximum attempts for idempotent requests; 0 means 1
}

// Client sends requests to entry hosts. It is safe for concurrent use.
type Client struct {
	cfg  Config
	next atomic.Uint64
}

// New returns a client.
func New(cfg Config) *Client {
	cfg.MaxAttempts = max(cfg.MaxAttempts, 1)
	return &Client{cfg: cfg}
}

// nextBaseURL returns the base URL of the entry host for the next request.
func (c *Client) nextBaseURL() string { return c.cfg.API[c.next.Add(1)%uint64(len(c.cfg.API))] }

func (c *Client) authHeader() http.Header {
	h := http.Header{}
	if c.cfg.Key != "" {
		h.Set("Authorization", "Bearer "+c.cfg.Key)
	}
	return h
}

const retryDelay = 100 * time.Millisecond

// exchange sends an idempotent request, with up to cfg.MaxAttempts attempts. It
// returns permanent errors immediately.
func exchange[Resp any](ctx context.Context, c *Client, method, path string, req any) (resp Resp, err error) {
	for try := 1; ; try++ {
		resp, err = httpd.CallWithHeader[Resp](ctx, method, c.nextBaseURL()+path, c.authHeader(), req)
		if err == nil || try >= c.cfg.MaxAttempts || ctx.Err() != nil || !isRetryable(err) {
			return resp, err
		}
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
		}
	}
}

func isRetryable(err error) bool {
	switch fault.From(err).Code {
	case fault.Overload, fault.Unavailable, fault.NotOwner, fault.Timeout, fault.Internal:
		return true
	}
	return false
}

// Submit sends a job. If the spec has no submission ID, Submit adds one so that a
// retry cannot create a second job.
func (c *Client) Submit(ctx context.Context, spec jobs.Spec) (jobs.Job, error) {
	if spec.Submission == "" {
		spec = spec.WithSubmission(rand.Text())
	}
	return exchange[jobs.Job](ctx, c, http.MethodPost, "/jobs", spec)
}

// Status returns the current state of a job.
func (c *Client) Status(ctx context.Context, id jobs.ID) (entry.JobAnswer, error) {
	return exchange[entry.JobAnswer](ctx, c, http.MethodGet, "/jobs/"+url.PathEscape(string(id)), nil)
}

// maxLongPoll is the longest time that one request waits for a job to end.
const maxLongPoll = 5 * time.Second

// Wait waits up to d for a job to end and returns its state.
func (c *Client) Wait(ctx context.Context, id jobs.ID, d time.Duration) (a entry.JobAnswer, err error) {
	deadline := time.Now().Add(d)
	for {
		left := max(time.Until(deadline), 0)
		path := fmt.Sprintf("/jobs/%s?waitMs=%d", url.PathEscape(string(id)), min(left, maxLongPoll).Milliseconds())
		a, err = exchange[entry.JobAnswer](ctx, c, http.MethodGet, path, nil)
		if err != nil || a.Ended() || left == 0 {
			return a, err
		}
	}
}

// Cancel requests the cancellation of a job.
func (c *Client) Cancel(ctx context.Context, id jobs.ID) (entry.JobAnswer, error) {
	return exchange[entry.JobAnswer](ctx, c, http.MethodPost, "/jobs/"+url.PathEscape(string(id))+"/cancel", nil)
}

// List returns the jobs in a state. An empty state means all jobs.
func (c *Client) List(ctx context.Context, state jobs.State) (entry.JobList, error) {
	return exchange[entry.JobList](ctx, c, http.MethodGet, "/jobs?state="+url.QueryEscape(string(state)), nil)
}

// Settle resolves a parked task, whose outcome is unknown.
func (c *Client) Settle(ctx context.Context, task string, action jobs.Action) (entry.JobAnswer, error) {
	req := entry.SettleRequest{Task: task, Action: action}
	return exchange[entry.JobAnswer](ctx, c, http.MethodPost, "/settle", req)
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (entry.ConfigAnswer, error) {
	return exchange[entry.ConfigAnswer](ctx, c, http.MethodGet, "/config", nil)
}

// Edit applies an operator's configuration edit. If the edit has no ID, Edit adds
// one so that a retry is not applied twice.
func (c *Client) Edit(ctx context.Context, e config.Edit) (config.EditResult, error) {
	if e.ID == "" {
		e.ID = rand.Text()
	}
	return exchange[config.EditResult](ctx, c, http.MethodPost, "/edits", e)
}

// Dump returns the state of one entry host.
func (c *Client) Dump(ctx context.Context) (entry.Dump, error) {
	return exchange[entry.Dump](ctx, c, http.MethodGet, "/dump", nil)
}

// Call describes a call to a service.
type Call struct {
	Service    string
	ID         string // calls with the same ID run at most once, unless Idempotent
	Idempotent bool
	Timeout    time.Duration
	Body       []byte
}

// Answer is a complete response to a call.
type Answer struct {
	Status int
	Body   []byte
}

// Call sends a call without retries. The error is a *fault.Error; its outcome
// tells whether the call may have run.
func (c *Client) Call(ctx context.Context, call Call) (a Answer, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.nextBaseURL()+"/call/"+url.PathEscape(call.Service), bytes.NewReader(call.Body))
	if err != nil {
		return a, fault.New(fault.Internal, fault.NotRun, "%v", err)
	}
	r.Header = c.authHeader()
	r.Header.Set(entry.HeaderCallID, call.ID)
	r.Header.Set(entry.HeaderIdempotent, strconv.FormatBool(call.Idempotent))
	if call.Timeout > 0 {
		r.Header.Set(entry.HeaderTimeout, strconv.FormatInt(call.Timeout.Milliseconds(), 10))
	}
	resp, err := httpd.Send(r)
	if err != nil {
		return a, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return a, fault.New(fault.BadResponse, fault.Unknown, "response body is incomplete: %v", err)
	}
	if resp.Header.Get(entry.HeaderOutcome) != string(fault.Done) {
		return a, httpd.DecodeProblem(resp.StatusCode, body)
	}
	return Answer{Status: resp.StatusCode, Body: body}, nil
}
