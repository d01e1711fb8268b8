// Package hosts is the adapter to the platform's list of workers and executors,
// here called hosts. Entry hosts are not in the list. The list is eventually
// consistent and lags by seconds. Use it to find hosts and to stop using them, but
// not as evidence that a host has stopped running its tasks.
//
// # Usage
//
//	l := hosts.NewClient(hosts.ClientConfig{URLs: []string{"http://10.0.0.9:7100"}})
//	list, err := l.List(ctx)
package hosts

import (
	"context"
	"net/http"
	"sort"
	"time"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/httpd"
)

// State is the state of a host in the list.
type State string

// Host states. There is none for a removed host: it is no longer in the list.
const (
	Live    State = "live"
	Leaving State = "leaving" // gets no new work
)

// Worker describes a worker. CPU is in millicores, Mem in MiB and Accel in
// devices.
type Worker struct {
	ID    string `json:"id"`
	Az    string `json:"az"`
	Rack  string `json:"rack"`
	URL   string `json:"url"`
	CPU   int64  `json:"cpu"`
	Mem   int64  `json:"mem"`
	Accel int64  `json:"accel"`
	State State  `json:"state"`
}

// Target describes an executor of a service.
type Target struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Az      string `json:"az"`
	Rack    string `json:"rack"`
	URL     string `json:"url"`
	Slots   int    `json:"slots"` // maximum number of concurrent calls
	Conns   int    `json:"conns"` // maximum number of open connections
	State   State  `json:"state"`
}

// List is the content of the host list, sorted by ID.
type List struct {
	Workers []Worker `json:"workers"`
	Targets []Target `json:"targets"`
}

// Lister reads the host list.
type Lister interface {
	List(ctx context.Context) (List, error)
}

// ClientConfig is the configuration of a Client.
type ClientConfig struct {
	URLs    []string      // base URLs; each serves a part of the list at /hosts
	Timeout time.Duration // timeout of one request; 0 means 1 s
}

const defaultTimeout = time.Second

// Client is a Lister over HTTP. It caches the last answer of each part and uses
// it while that part does not answer. It is not safe for concurrent use.
type Client struct {
	cfg  ClientConfig
	last []List
}

var _ Lister = (*Client)(nil)

// NewClient returns a client that merges the lists at cfg.URLs.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	return &Client{cfg: cfg, last: make([]List, len(cfg.URLs))}
}

// List returns the merged list. It fails only if no part answers.
func (c *Client) List(ctx context.Context) (l List, err error) {
	defer fault.Annotate(&err, "read host list")
	answered := 0
	var firstErr error
	for i, u := range c.cfg.URLs {
		part, err := c.fetchPart(ctx, u)
		if err == nil {
			answered++
			c.last[i] = part
		} else if firstErr == nil {
			firstErr = err
		}
		l.Workers = append(l.Workers, c.last[i].Workers...)
		l.Targets = append(l.Targets, c.last[i].Targets...)
	}
	if answered == 0 {
		return List{}, firstErr
	}
	sort.Slice(l.Workers, func(i, j int) bool { return l.Workers[i].ID < l.Workers[j].ID })
	sort.Slice(l.Targets, func(i, j int) bool { return l.Targets[i].ID < l.Targets[j].ID })
	return l, nil
}

// fetchPart reads the part of the list that is served at url.
func (c *Client) fetchPart(ctx context.Context, url string) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	return httpd.Call[List](ctx, http.MethodGet, url+"/hosts", nil)
}
