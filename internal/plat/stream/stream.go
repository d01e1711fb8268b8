// Package stream is the adapter to the platform's log service, which is the
// only durable storage of packages owner and entry.
//
// The log holds named streams of records. A record's offset is its position in
// the stream, counted from 0. The service guarantees only the order of the
// records: an append whose answer is lost may have taken effect, records expire
// after the retention time, and the service can be unavailable for hours.
//
// Client is an HTTP client of the service. Replay rebuilds a state machine from
// a stream, using snapshots that are records of the same stream.
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

// ReadRequest reads records of a stream, starting at an offset.
type ReadRequest struct {
	Stream string
	From   int64         // first offset wanted
	Max    int           // maximum number of records in the answer; 0 means 1000
	Wait   time.Duration // long poll: how long the service may wait for a record
}

// Page is the answer to a ReadRequest.
type Page struct {
	Records []Record `json:"records"`
	First   int64    `json:"first"` // oldest retained offset
	Next    int64    `json:"next"`  // offset of the next append
}

// Log is the platform's log service.
type Log interface {
	// Append appends a record and returns its offset. After a *fault.Error
	// with an outcome other than NotRun, the record may have been appended.
	Append(ctx context.Context, stream string, data []byte) (offset int64, err error)
	// Read returns records starting at req.From, or at Page.First if that is
	// higher.
	Read(ctx context.Context, req ReadRequest) (Page, error)
}

// ClientConfig is the configuration of a Client.
type ClientConfig struct {
	URL     string        // base URL of the service
	Timeout time.Duration // timeout of one request, in addition to its Wait; 0 means 2 s
}

const (
	defaultTimeout = 2 * time.Second
	defaultMax     = 1000
)

// Client is a Log over HTTP.
type Client struct{ cfg ClientConfig }

var _ Log = (*Client)(nil)

// NewClient returns a client for the service at cfg.URL.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	return &Client{cfg: cfg}
}

// AppendRequest is the HTTP body of an append.
type AppendRequest struct {
	Data []byte `json:"data"`
}

// AppendAnswer is the HTTP body of the answer to an append.
type AppendAnswer struct {
	Offset int64 `json:"offset"`
}

// Append appends a record to the stream; see Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (offset int64, err error) {
	defer fault.Annotate(&err, "append to stream %q", stream)
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	a, err := httpd.Call[AppendAnswer](ctx, http.MethodPost, c.url(stream), AppendRequest{Data: data})
	return a.Offset, err
}

// Read returns records of the stream; see Log.
func (c *Client) Read(ctx context.Context, req ReadRequest) (p Page, err error) {
	defer fault.Annotate(&err, "read stream %q from offset %d", req.Stream, req.From)
	if req.Max == 0 {
		req.Max = defaultMax
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout+req.Wait)
	defer cancel()
	u := fmt.Sprintf("%s?from=%d&max=%d&waitMs=%d", c.url(req.Stream), req.From, req.Max, req.Wait.Milliseconds())
	return httpd.Call[Page](ctx, http.MethodGet, u, nil)
}

func (c *Client) url(stream string) string {
	return c.cfg.URL + "/streams/" + url.PathEscape(stream)
}
