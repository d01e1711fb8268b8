// Package target is the adapter to a service's targets, the executors that
// serve short calls.
//
// A faulty executor may answer late, send the answer to another request, or
// truncate an answer. The client accepts an answer only if it has the ID of the
// request, is complete, and has a body that matches the checksum header. It rejects
// any other answer with an error. Once a request has obtained a connection, its
// outcome is Unknown unless the executor states that it did not run.
//
// # Usage
//
//	t := target.NewClient(target.ClientConfig{ID: "exec-7", URL: "http://10.0.5.7:9100", Conns: 10})
//	answer, err := t.Call(ctx, target.Request{ID: "r-81", Service: "triage", Body: body})
package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/httpd"
)

// Headers of the executor protocol.
const (
	HeaderID       = "X-Request-Id"
	HeaderChecksum = "X-Body-Checksum" // xxhash64 of the body, in hexadecimal
)

// MaxBodyBytes is the size limit of request and answer bodies. Client checks only
// the answers.
const MaxBodyBytes = 4 << 20

// Request is one call.
type Request struct {
	ID      string // unique among all requests; the answer has the same ID
	Service string
	Body    []byte
}

// Answer is the answer to one call.
type Answer struct {
	Body   []byte
	Status int // HTTP status set by the service, below 500
}

// Target calls one executor. Errors are *fault.Error.
type Target interface {
	Call(ctx context.Context, req Request) (Answer, error)
}

// ClientConfig is the configuration of a Client.
type ClientConfig struct {
	ID    string // ID of the executor; also the name of its circuit breaker
	URL   string
	Conns int // maximum number of open connections; 0 means 8
}

const (
	defaultConns = 8
	idleTimeout  = 30 * time.Second
)

// Client is a Target over HTTP with its own circuit breaker.
type Client struct {
	cfg       ClientConfig
	transport *http.Transport
	service   httpc.Service
}

var _ Target = (*Client)(nil)

// NewClient returns a client for the executor at cfg.URL.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Conns == 0 {
		cfg.Conns = defaultConns
	}
	t := &http.Transport{
		MaxConnsPerHost: cfg.Conns, MaxIdleConnsPerHost: cfg.Conns,
		IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
	return &Client{
		cfg:       cfg,
		transport: t,
		service:   httpc.NewServiceWithClient(cfg.ID, &http.Client{Transport: t}),
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Checksum returns the value of HeaderChecksum for a body.
func Checksum(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

// Call sends one request and returns its answer.
func (c *Client) Call(ctx context.Context, req Request) (a Answer, err error) {
	defer fault.Annotate(&err, "call target %q", c.cfg.ID)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.cfg.URL+"/call/"+req.Service, bytes.NewReader(req.Body))
	if err != nil {
		return a, fault.New(fault.Internal, fault.NotRun, "%v", err)
	}
	// Without GetBody the transport cannot resend the request by itself when a
	// reused connection breaks.
	r.GetBody = nil
	r.Header.Set(HeaderID, req.ID)
	r.Header.Set(HeaderChecksum, Checksum(req.Body))
	r, connected := httpd.TraceConn(r)
	resp, err := c.service.DoRequest(r)
	if errors.Is(err, breaker.ErrServiceUnavailable) {
		return a, fault.New(fault.Unavailable, fault.NotRun, "%v", err)
	}
	if err != nil {
		return a, httpd.TransportError(err, *connected)
	}
	defer resp.Body.Close()
	return c.read(resp, req.ID)
}

// read checks that resp is the complete answer to the request id and returns
// it. If resp answers another request, read leaves the body unread, so that the
// transport closes the connection, and also closes the idle connections.
func (c *Client) read(resp *http.Response, id string) (a Answer, err error) {
	if got := resp.Header.Get(HeaderID); got != id {
		c.transport.CloseIdleConnections()
		return a, fault.New(fault.BadResponse, fault.Unknown, "answer is for request %q, not %q", got, id)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxBodyBytes+1))
	if err != nil {
		return a, fault.New(fault.BadResponse, fault.Unknown, "answer ends early: %v", err)
	}
	if len(body) > MaxBodyBytes {
		return a, fault.New(fault.BadResponse, fault.Unknown, "answer is longer than %d bytes", MaxBodyBytes)
	}
	if header, actual := resp.Header.Get(HeaderChecksum), Checksum(body); header != actual {
		return a, fault.New(fault.BadResponse, fault.Unknown, "answer body has checksum %q, header says %q", actual, header)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return a, refusal(resp.StatusCode, body)
	}
	return Answer{Body: body, Status: resp.StatusCode}, nil
}

// refusal returns the error for an answer with a status of 500 or more. Its outcome
// is NotRun if the executor states so, otherwise Unknown.
func refusal(status int, body []byte) error {
	var e fault.Error
	if err := json.Unmarshal(body, &e); err == nil && e.Outcome == fault.NotRun {
		e.Code = fault.Unavailable
		return &e
	}
	return fault.New(fault.BadResponse, fault.Unknown, "executor answered with status %d", status)
}
