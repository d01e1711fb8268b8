// Package caller is the client of an entry host's HTTP API, as the command
// line and the demonstration use it.
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
	API   []string // base URLs of entry hosts, used in turn as a balancer would
	Key   string   // "id.secret"; empty for none
	Tries int      // for requests that are safe to repeat; 0 means 1
}

// Client sends requests to entry hosts. It is safe for concurrent use.
type Client struct {
	cfg  Config
	next atomic.Uint64
}

// New returns a client.
func New(cfg Config) *Client {
	cfg.Tries = max(cfg.Tries, 1)
	return &Client{cfg: cfg}
}

// base returns the entry host for the next request.
func (c *Client) base() string { return c.cfg.API[c.next.Add(1)%uint64(len(c.cfg.API))] }

func (c *Client) header() http.Header {
	h := http.Header{}
	if c.cfg.Key != "" {
		h.Set("Authorization", "Bearer "+c.cfg.Key)
	}
	return h
}

const retryWait = 100 * time.Millisecond

// exchange sends a request that is safe to repeat, up to cfg.Tries times. A
// refusal that another try would meet too is returned at once.
func exchange[Resp any](ctx context.Context, c *Client, method, path string, req any) (resp Resp, err error) {
	for try := 1; ; try++ {
		resp, err = httpd.ExchangeHeader[Resp](ctx, method, c.base()+path, c.header(), req)
		if err == nil || try >= c.cfg.Tries || ctx.Err() != nil || !temporary(err) {
			return resp, err
		}
		select {
		case <-time.After(retryWait):
		case <-ctx.Done():
		}
	}
}

func temporary(err error) bool {
	switch fault.From(err).Code {
	case fault.Overload, fault.Unavailable, fault.NotOwner, fault.Timeout, fault.Internal:
		return true
	}
	return false
}

// Submit sends a job. A submission id is added if there is none, so that a
// repetition cannot become a second job.
func (c *Client) Submit(ctx context.Context, spec jobs.Spec) (jobs.Job, error) {
	if spec.Submission == "" {
		spec = spec.WithSubmission(rand.Text())
	}
	return exchange[jobs.Job](ctx, c, http.MethodPost, "/jobs", spec)
}

// Status returns a job.
func (c *Client) Status(ctx context.Context, id jobs.ID) (entry.JobAnswer, error) {
	return exchange[entry.JobAnswer](ctx, c, http.MethodGet, "/jobs/"+url.PathEscape(string(id)), nil)
}

// waitStep is how long one request waits for a job's end.
const waitStep = 5 * time.Second

// Wait returns a job once it has ended, or as it is after d.
func (c *Client) Wait(ctx context.Context, id jobs.ID, d time.Duration) (a entry.JobAnswer, err error) {
	deadline := time.Now().Add(d)
	for {
		left := max(time.Until(deadline), 0)
		path := fmt.Sprintf("/jobs/%s?waitMs=%d", url.PathEscape(string(id)), min(left, waitStep).Milliseconds())
		a, err = exchange[entry.JobAnswer](ctx, c, http.MethodGet, path, nil)
		if err != nil || a.Ended() || left == 0 {
			return a, err
		}
	}
}

// Cancel asks for the end of a job.
func (c *Client) Cancel(ctx context.Context, id jobs.ID) (entry.JobAnswer, error) {
	return exchange[entry.JobAnswer](ctx, c, http.MethodPost, "/jobs/"+url.PathEscape(string(id))+"/cancel", nil)
}

// List lists jobs in a state, or in any state for "".
func (c *Client) List(ctx context.Context, state jobs.State) (entry.JobList, error) {
	return exchange[entry.JobList](ctx, c, http.MethodGet, "/jobs?state="+url.QueryEscape(string(state)), nil)
}

// Settle decides about a parked task.
func (c *Client) Settle(ctx context.Context, task string, action jobs.Action) (entry.JobAnswer, error) {
	req := entry.SettleRequest{Task: task, Action: action}
	return exchange[entry.JobAnswer](ctx, c, http.MethodPost, "/settle", req)
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (entry.ConfigAnswer, error) {
	return exchange[entry.ConfigAnswer](ctx, c, http.MethodGet, "/config", nil)
}

// Edit applies an operator's edit.
func (c *Client) Edit(ctx context.Context, e config.Edit) (config.Result, error) {
	if e.ID == "" {
		e.ID = rand.Text()
	}
	return exchange[config.Result](ctx, c, http.MethodPost, "/edits", e)
}

// Dump returns the state of one entry host.
func (c *Client) Dump(ctx context.Context) (entry.Dump, error) {
	return exchange[entry.Dump](ctx, c, http.MethodGet, "/dump", nil)
}

// Call is a call to a service.
type Call struct {
	Service    string
	ID         string // repeats with the same id run at most once, unless Idempotent
	Idempotent bool
	Timeout    time.Duration
	Body       []byte
}

// Answer is the whole answer to a call.
type Answer struct {
	Status int
	Body   []byte
}

// Call sends a call once. The error is a *fault.Error whose outcome says
// whether the call may have run.
func (c *Client) Call(ctx context.Context, call Call) (a Answer, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base()+"/call/"+url.PathEscape(call.Service), bytes.NewReader(call.Body))
	if err != nil {
		return a, fault.New(fault.Internal, fault.NotRun, "%v", err)
	}
	r.Header = c.header()
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
		return a, fault.New(fault.BadAnswer, fault.Unknown, "answer ends early: %v", err)
	}
	if resp.Header.Get(entry.HeaderRan) != string(fault.Done) {
		return a, httpd.DecodeProblem(resp.StatusCode, body)
	}
	return Answer{Status: resp.StatusCode, Body: body}, nil
}
