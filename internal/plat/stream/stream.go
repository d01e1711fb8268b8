// Package stream is the adapter to the platform's log service, the only place
// where anything of ours outlives a process.
//
// The log holds named streams of records. A record's offset is its position in
// its stream, counted from 0. The service promises an order and nothing more:
// an append whose answer is lost may have taken effect, old records disappear
// after the retention time, and the whole service is away for hours at a time.
//
// Two things are built on it here. Client speaks the service's HTTP protocol.
// Replay rebuilds a state machine from a stream, with the help of snapshots
// that the system appends to the same stream.
//
// # Usage
//
//	log := stream.NewClient(stream.ClientConfig{URL: "http://10.0.0.9:7000"})
//	offset, err := log.Append(ctx, "cell", data)
//	page, err := log.Read(ctx, stream.ReadRequest{Stream: "cell", From: 0, Max: 100})
package stream

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/httpd"
)

// Record is one entry of a stream.
type Record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// ReadRequest asks for records from an offset on.
type ReadRequest struct {
	Stream string
	From   int64         // first offset wanted
	Max    int           // most records in the answer; 0 means 1000
	Wait   time.Duration // how long the service may hold the request open when there is nothing to return
}

// Page answers a ReadRequest.
type Page struct {
	Records []Record `json:"records"`
	First   int64    `json:"first"` // oldest offset that retention has kept
	Next    int64    `json:"next"`  // offset that the next append will get
}

// Log is the platform's log service.
type Log interface {
	// Append adds a record and returns its offset. A *fault.Error with an
	// outcome other than NotRun leaves open whether the record was added.
	Append(ctx context.Context, stream string, data []byte) (offset int64, err error)
	// Read returns the records from an offset on. When From lies before
	// Page.First, the records start at First.
	Read(ctx context.Context, req ReadRequest) (Page, error)
}

// ClientConfig describes a Client.
type ClientConfig struct {
	URL     string        // base URL of the service
	Timeout time.Duration // for one request, in addition to its Wait; 0 means 2 s
}

const (
	defaultTimeout = 2 * time.Second
	defaultMax     = 1000
)

// Client is a Log over HTTP.
type Client struct{ cfg ClientConfig }

var _ Log = (*Client)(nil)

// NewClient returns a client of the service at cfg.URL.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	return &Client{cfg: cfg}
}

// AppendRequest is the body of an append.
type AppendRequest struct {
	Data []byte `json:"data"`
}

// AppendAnswer is the answer to an append.
type AppendAnswer struct {
	Offset int64 `json:"offset"`
}

// Append adds a record to the stream.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (offset int64, err error) {
	defer fault.Note(&err, "append to stream %q", stream)
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	a, err := httpd.Exchange[AppendAnswer](ctx, http.MethodPost, c.url(stream), AppendRequest{Data: data})
	return a.Offset, err
}

// Read returns records of the stream.
func (c *Client) Read(ctx context.Context, req ReadRequest) (p Page, err error) {
	defer fault.Note(&err, "read stream %q from offset %d", req.Stream, req.From)
	if req.Max == 0 {
		req.Max = defaultMax
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout+req.Wait)
	defer cancel()
	u := fmt.Sprintf("%s?from=%d&max=%d&waitMs=%d", c.url(req.Stream), req.From, req.Max, req.Wait.Milliseconds())
	return httpd.Exchange[Page](ctx, http.MethodGet, u, nil)
}

func (c *Client) url(stream string) string {
	return c.cfg.URL + "/streams/" + url.PathEscape(stream)
}
