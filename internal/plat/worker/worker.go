// Package worker is the adapter to the platform's workers, the machines that
// run tasks. An attempt is what package ports calls a run.
//
// A worker runs a task only while its lease is valid. It stores the highest
// fencing token that it has received and refuses requests with a lower epoch. A
// token has an epoch and a sequence number. The guarantee that no task runs in
// two places depends on four properties of a worker:
//
//   - It refuses a start whose epoch is lower than the highest it has received,
//     or whose sequence number is below that of the last renewal.
//   - It starts no task if it has no lease, if the request has another boot
//     number than its own, or if it still reports the attempt as running or
//     finished.
//   - It stops every task when its lease expires, by its own clock.
//   - It reports every running task, and every finished one until the owner
//     confirms that the result is recorded. If a restart loses this state, its
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

// Token is the fencing token that orders the requests of successive owners of a
// worker.
type Token struct {
	Epoch uint64 `json:"epoch"` // epoch of the owner of the worker's group
	Seq   uint64 `json:"seq"`   // sequence number of the request within the epoch
}

// Attempt identifies one attempt to run a task.
type Attempt struct {
	Task   string `json:"task"`
	Number int    `json:"number"` // from 1
}

// StartRequest asks a worker to run a task. CPU is in millicores, Mem in MiB and
// Accel in devices. CPU and Mem are hard limits in the worker's resource
// accounting.
type StartRequest struct {
	Token      Token   `json:"token"`
	Boot       int64   `json:"boot"` // boot number of the intended incarnation of the worker
	Attempt    Attempt `json:"attempt"`
	Home       string  `json:"home"`   // group that owns the job
	Family     string  `json:"family"` // name of the job
	Class      string  `json:"class"`  // kind of the job
	CPU        int64   `json:"cpu"`
	Mem        int64   `json:"mem"`
	Accel      int64   `json:"accel"`
	RunMs      int64   `json:"runMs"` // declared run time in milliseconds; 0 runs until stopped
	Checkpoint string  `json:"checkpoint,omitempty"`
	Payload    string  `json:"payload,omitempty"`
}

// RenewRequest renews the lease of a worker's tasks and asks for its inventory.
type RenewRequest struct {
	Token    Token     `json:"token"`            // the worker refuses later starts with a lower Seq
	TTLMs    int64     `json:"ttlMs"`            // lease duration from now, in milliseconds; 0 does not renew
	Since    uint64    `json:"since"`            // version of the last answer; the worker waits for a newer one; 0 asks for the full inventory
	WaitMs   int64     `json:"waitMs"`           // maximum wait for a version newer than Since, in milliseconds
	Recorded []Attempt `json:"forget,omitempty"` // finished attempts whose result is recorded; the worker drops them
}

// Running describes a running attempt. CPU is in millicores, Mem in MiB and Accel
// in devices.
type Running struct {
	Attempt Attempt `json:"attempt"`
	Home    string  `json:"home"`
	Family  string  `json:"family"`
	Class   string  `json:"class"`
	CPU     int64   `json:"cpu"`
	Mem     int64   `json:"mem"`
	Accel   int64   `json:"accel"`
	UsedCPU int64   `json:"usedCpu"` // millicores; lags behind the actual usage
	UsedMem int64   `json:"usedMem"` // MiB; lags behind the actual usage
}

// End is the way an attempt ended on a worker.
type End string

// End values.
const (
	EndOK           End = "ok"
	EndFailed       End = "failed"       // the task itself failed
	EndStopped      End = "stopped"      // on request, without a checkpoint
	EndCheckpointed End = "checkpointed" // on request, with a checkpoint
	EndLeaseExpired End = "lapsed"       // the worker's lease expired
)

// Finished is an ended attempt whose result is not yet confirmed as recorded.
type Finished struct {
	Attempt    Attempt `json:"attempt"`
	Home       string  `json:"home"`
	End        End     `json:"end"`
	Result     string  `json:"result,omitempty"`
	Checkpoint string  `json:"checkpoint,omitempty"`
}

// Inventory is the complete state of a worker's tasks. If nothing has changed
// since RenewRequest.Since, the worker may set Unchanged and omit the lists.
type Inventory struct {
	Unchanged bool       `json:"same,omitempty"` // nothing has changed since RenewRequest.Since, apart from the attempts dropped by this request
	Boot      int64      `json:"boot"`           // changes whenever the worker loses its state
	Version   uint64     `json:"version"`
	Running   []Running  `json:"running,omitempty"`
	Finished  []Finished `json:"finished,omitempty"`
}

// StopRequest stops an attempt. With Checkpoint, the worker saves a checkpoint.
type StopRequest struct {
	Token      Token   `json:"token"`
	Attempt    Attempt `json:"attempt"`
	Checkpoint bool    `json:"checkpoint"`
}

// ThrottleRequest limits the CPU usage of an attempt.
type ThrottleRequest struct {
	Token   Token   `json:"token"`
	Attempt Attempt `json:"attempt"`
	CPU     int64   `json:"cpu"` // millicores
}

// Worker is one worker of the platform. Errors are *fault.Error: NotRun if the
// worker refused the request or no connection was made, Unknown if the request
// may have reached it.
type Worker interface {
	Start(ctx context.Context, req StartRequest) error
	Renew(ctx context.Context, req RenewRequest) (Inventory, error)
	Stop(ctx context.Context, req StopRequest) error
}

// Throttler is implemented by workers that can limit the CPU of a running task.
type Throttler interface {
	Throttle(ctx context.Context, req ThrottleRequest) error
}

// ClientConfig is the configuration of a Client.
type ClientConfig struct {
	URL     string        // base URL of the worker
	Timeout time.Duration // timeout of one request, in addition to its wait time; 0 means 1 s
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

// Timeout returns the timeout of one request, excluding its wait time.
func (c *Client) Timeout() time.Duration { return c.cfg.Timeout }

// Start asks the worker to run a task.
func (c *Client) Start(ctx context.Context, req StartRequest) (err error) {
	defer fault.Annotate(&err, "start task %q", req.Attempt.Task)
	_, err = post[struct{}](ctx, c, "/start", c.cfg.Timeout, req)
	return err
}

// Renew renews the lease and returns the inventory.
func (c *Client) Renew(ctx context.Context, req RenewRequest) (inv Inventory, err error) {
	defer fault.Annotate(&err, "renew worker %s", c.cfg.URL)
	wait := time.Duration(req.WaitMs) * time.Millisecond
	return post[Inventory](ctx, c, "/renew", c.cfg.Timeout+wait, req)
}

// Stop stops an attempt.
func (c *Client) Stop(ctx context.Context, req StopRequest) (err error) {
	defer fault.Annotate(&err, "stop task %q", req.Attempt.Task)
	_, err = post[struct{}](ctx, c, "/stop", c.cfg.Timeout, req)
	return err
}

// Throttle limits the CPU usage of an attempt.
func (c *Client) Throttle(ctx context.Context, req ThrottleRequest) (err error) {
	defer fault.Annotate(&err, "throttle task %q", req.Attempt.Task)
	_, err = post[struct{}](ctx, c, "/throttle", c.cfg.Timeout, req)
	return err
}

func post[Resp any](ctx context.Context, c *Client, path string, timeout time.Duration, req any) (Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return httpd.Call[Resp](ctx, http.MethodPost, c.cfg.URL+path, req)
}
