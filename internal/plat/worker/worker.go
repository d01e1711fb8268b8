// Package worker is the adapter to the platform's workers, the machines that
// run tasks.
//
// A worker runs a task as long as it holds a lease for it. It keeps the
// highest fencing token that it has seen, an epoch and a sequence number, and
// refuses every request with a lower one. The system's promise that no task
// runs in two places leans on exactly four properties of a worker:
//
//   - It refuses a start whose epoch is lower than the highest it has seen, or
//     whose sequence number is below the floor of the last renewal.
//   - It starts nothing without a lease, nothing that was meant for an earlier
//     boot of it, and no attempt that it still reports
//     as running or finished.
//   - It stops every task when its lease runs out, by its own clock.
//   - It reports every task that it runs, and every finished one until it is
//     told that the result was recorded. When it forgets, by a restart, its
//     boot number changes.
//
// # Usage
//
//	w := worker.NewClient(worker.ClientConfig{URL: "http://10.0.3.4:9000"})
//	inv, err := w.Renew(ctx, worker.RenewRequest{Token: worker.Token{Epoch: 4}, TTLMs: 6000})
package worker

import (
	"context"
	"net/http"
	"time"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/httpd"
)

// Token orders the requests of successive owners of a worker.
type Token struct {
	Epoch uint64 `json:"epoch"` // of the owner of the worker's group
	Seq   uint64 `json:"seq"`   // of the request within the epoch
}

// Attempt names one try to run one task.
type Attempt struct {
	Task   string `json:"task"`
	Number int    `json:"number"` // from 1
}

// StartRequest asks a worker to run a task. CPU is in millicores and Mem in
// MiB; both are hard bounds for the worker's own accounting.
type StartRequest struct {
	Token      Token   `json:"token"`
	Boot       int64   `json:"boot"` // of the worker that is meant
	Attempt    Attempt `json:"attempt"`
	Home       string  `json:"home"` // group that owns the job
	Family     string  `json:"family"`
	Class      string  `json:"class"`
	CPU        int64   `json:"cpu"`
	Mem        int64   `json:"mem"`
	Accel      int64   `json:"accel"`
	RunMs      int64   `json:"runMs"` // declared run time in milliseconds; 0 runs until stopped
	Checkpoint string  `json:"checkpoint,omitempty"`
	Payload    string  `json:"payload,omitempty"`
}

// RenewRequest extends the lease of a worker's tasks and asks what it runs.
type RenewRequest struct {
	Token  Token     `json:"token"` // Seq is the floor: starts below it are refused from now on
	TTLMs  int64     `json:"ttlMs"` // lease from now on, in milliseconds; 0 extends nothing
	Since  uint64    `json:"since"` // version of the last answer; the worker waits for a newer one; 0 asks for all
	WaitMs int64     `json:"waitMs"`
	Forget []Attempt `json:"forget,omitempty"` // finished attempts whose result is recorded
}

// Running is a task that the worker runs.
type Running struct {
	Attempt Attempt `json:"attempt"`
	Home    string  `json:"home"`
	Family  string  `json:"family"`
	Class   string  `json:"class"`
	CPU     int64   `json:"cpu"`
	Mem     int64   `json:"mem"`
	Accel   int64   `json:"accel"`
	UsedCPU int64   `json:"usedCpu"` // millicores, measured with a lag
	UsedMem int64   `json:"usedMem"` // MiB, measured with a lag
}

// End says how an attempt ended on a worker.
type End string

// The ends that a worker reports.
const (
	EndOK           End = "ok"
	EndFailed       End = "failed"       // the task itself failed
	EndStopped      End = "stopped"      // on request, without a checkpoint
	EndCheckpointed End = "checkpointed" // on request, state kept
	EndLapsed       End = "lapsed"       // the worker's lease ran out
)

// Finished is an attempt that has ended and is not forgotten yet.
type Finished struct {
	Attempt    Attempt `json:"attempt"`
	Home       string  `json:"home"`
	End        End     `json:"end"`
	Result     string  `json:"result,omitempty"`
	Checkpoint string  `json:"checkpoint,omitempty"`
}

// Inventory is all that a worker knows about its tasks. A worker that has
// nothing new since the version that the renewal named may say just that.
type Inventory struct {
	Same     bool       `json:"same,omitempty"` // as at the version that the renewal named, less what it forgets
	Boot     int64      `json:"boot"`           // changes whenever the worker has forgotten its past
	Version  uint64     `json:"version"`
	Running  []Running  `json:"running,omitempty"`
	Finished []Finished `json:"finished,omitempty"`
}

// StopRequest ends an attempt. With Checkpoint the worker keeps its state.
type StopRequest struct {
	Token      Token   `json:"token"`
	Attempt    Attempt `json:"attempt"`
	Checkpoint bool    `json:"checkpoint"`
}

// ThrottleRequest bounds the processor time of an attempt.
type ThrottleRequest struct {
	Token   Token   `json:"token"`
	Attempt Attempt `json:"attempt"`
	CPU     int64   `json:"cpu"` // millicores
}

// Worker is one worker of the platform. Errors are *fault.Error: NotRun when
// the worker refused, Unknown when it did not answer.
type Worker interface {
	Start(ctx context.Context, req StartRequest) error
	Renew(ctx context.Context, req RenewRequest) (Inventory, error)
	Stop(ctx context.Context, req StopRequest) error
}

// Throttler is implemented by workers that can bound a running task.
type Throttler interface {
	Throttle(ctx context.Context, req ThrottleRequest) error
}

// ClientConfig describes a Client.
type ClientConfig struct {
	URL     string        // base URL of the worker
	Timeout time.Duration // for one request, in addition to its wait; 0 means 1 s
}

const defaultTimeout = time.Second

// Client is a Worker over HTTP.
type Client struct{ cfg ClientConfig }

var (
	_ Worker    = (*Client)(nil)
	_ Throttler = (*Client)(nil)
)

// NewClient returns a client of the worker at cfg.URL.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	return &Client{cfg: cfg}
}

// Timeout returns how long a request may take in addition to its wait.
func (c *Client) Timeout() time.Duration { return c.cfg.Timeout }

// Start asks the worker to run a task.
func (c *Client) Start(ctx context.Context, req StartRequest) (err error) {
	defer fault.Note(&err, "start task %q", req.Attempt.Task)
	_, err = post[struct{}](ctx, c, "/start", c.cfg.Timeout, req)
	return err
}

// Renew extends the lease and returns the inventory.
func (c *Client) Renew(ctx context.Context, req RenewRequest) (inv Inventory, err error) {
	defer fault.Note(&err, "renew worker %s", c.cfg.URL)
	wait := time.Duration(req.WaitMs) * time.Millisecond
	return post[Inventory](ctx, c, "/renew", c.cfg.Timeout+wait, req)
}

// Stop ends an attempt.
func (c *Client) Stop(ctx context.Context, req StopRequest) (err error) {
	defer fault.Note(&err, "stop task %q", req.Attempt.Task)
	_, err = post[struct{}](ctx, c, "/stop", c.cfg.Timeout, req)
	return err
}

// Throttle bounds an attempt.
func (c *Client) Throttle(ctx context.Context, req ThrottleRequest) (err error) {
	defer fault.Note(&err, "throttle task %q", req.Attempt.Task)
	_, err = post[struct{}](ctx, c, "/throttle", c.cfg.Timeout, req)
	return err
}

func post[Resp any](ctx context.Context, c *Client, path string, timeout time.Duration, req any) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return httpd.Exchange[Resp](ctx, http.MethodPost, c.cfg.URL+path, req)
}
