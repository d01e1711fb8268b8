package gate

import (
	"context"
	"sync"
	"time"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/frame"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/node/lead"
	"lagooncourse/internal/plat/ports"
)

// adviceHosts distributes advice requests over the entry hosts. The advice service
// serves one request at a time from each host, so each host has at most one in
// flight.
type adviceHosts struct {
	host *Host

	mu      sync.Mutex
	busy    map[string]bool      // hosts with a request in flight, by address
	retryAt map[string]time.Time // by address: when a host that failed may get the next request
	addrs   []string             // of the hosts, as of addrsAt
	addrsAt time.Time
}

var _ lead.AdviceClient = (*adviceHosts)(nil)

// Limits of advice requests.
const (
	longRequestMs       = 150                    // longer requests do not use the hosts reserved for short ones
	shortRequestDivisor = 3                      // one host in this many is reserved for short requests
	maxAnswerAge        = 300 * time.Millisecond // upper bound of the estimated age of a forwarded answer
	adviceHostPause     = time.Second            // how long a host gets no requests after a failed one
	adviceHostsAge      = 20 * time.Millisecond  // how old the list of hosts may be: a plan asks for it hundreds of times
)

// available returns the free hosts in a fixed order, this host last. If long is
// set, it leaves out the last third of the hosts, which is reserved for short
// requests.
func (d *adviceHosts) available(long bool) []string {
	addrs := d.hosts()
	if long && len(addrs) >= shortRequestDivisor {
		addrs = addrs[:len(addrs)-len(addrs)/shortRequestDivisor]
	}
	now := d.host.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []string
	for _, addr := range addrs {
		if !d.busy[addr] && now.After(d.retryAt[addr]) {
			list = append(list, addr)
		}
	}
	return list
}

// hosts returns the hosts that can send advice requests, this host last.
func (d *adviceHosts) hosts() []string {
	now := d.host.clock.Now()
	d.mu.Lock()
	addrs, fresh := d.addrs, now.Sub(d.addrsAt) < adviceHostsAge && !d.addrsAt.IsZero()
	d.mu.Unlock()
	if fresh {
		return addrs
	}
	addrs = d.host.adviseAddrs()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addrs, d.addrsAt = addrs, now
	return addrs
}

// Available reports whether any host is free.
func (d *adviceHosts) Available() bool { return len(d.available(false)) > 0 }

// Acquire marks the last free host as busy. The last hosts serve only short requests,
// so a short request leaves the other hosts free for long ones.
func (d *adviceHosts) Acquire(responseMs float64) (string, bool) {
	list := d.available(responseMs > longRequestMs)
	if len(list) == 0 {
		return "", false
	}
	addr := list[len(list)-1]
	d.mu.Lock()
	defer d.mu.Unlock()
	d.busy[addr] = true
	return addr, true
}

// release frees a host. After a failed request, the host pauses for adviceHostPause.
func (d *adviceHosts) release(addr string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.busy, addr)
	if !ok {
		d.retryAt[addr] = d.host.clock.Now().Add(adviceHostPause)
	}
}

// Advise sends a request through the host marked busy for it and releases that host.
// The returned age assumes that the service took w.ResponseMs to answer. It is 0 for a
// request sent by this host.
func (d *adviceHosts) Advise(ctx context.Context, w sched.AdviceRequest) (a ports.Advice, age time.Duration, err error) {
	defer func() { d.release(w.Host, err == nil) }()
	h := d.host
	msg := adviseMsg{Step: w.Step, Workers: w.Workers}
	if w.Host == h.addr {
		b, err := h.serveAdvise(ctx, msg)
		return b.Advice, 0, err
	}
	sent := h.clock.Now()
	b, err := frame.Call(ctx, h.pool, w.Host, adviseMethod, msg)
	sinceAnswer := h.clock.Now().Sub(sent) - time.Duration(w.ResponseMs)*time.Millisecond
	return b.Advice, min(max(sinceAnswer, 0), maxAnswerAge), err
}

// serveAdvise sends a request of the owner to the advice service.
func (h *Host) serveAdvise(ctx context.Context, m adviseMsg) (adviseAnswer, error) {
	a, err := h.cfg.Adviser.Advise(ctx, ports.AdviceRequest{Step: m.Step, Workers: m.Workers})
	if err != nil {
		return adviseAnswer{}, fault.New(fault.Unavailable, fault.NotRun, "advice service: %v", err)
	}
	return adviseAnswer{Advice: a}, nil
}
