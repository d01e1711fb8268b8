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
	busy    map[string]bool
	retryAt map[string]time.Time // earliest next request through a host after a failure
}

var _ lead.AdviceClient = (*adviceHosts)(nil)

// Limits of advice requests.
const (
	longRequestMs     = 150                    // longer requests do not use the hosts reserved for short ones
	shortRequestHosts = 3                      // one host in three is reserved for short requests
	maxAnswerAge      = 300 * time.Millisecond // upper bound of the assumed age of a forwarded answer
	adviceHostPause   = time.Second            // pause of a host after a failed request
)

// available returns the hosts that can take a request, this host last.
func (d *adviceHosts) available(long bool) []string {
	addrs := d.host.adviseAddrs()
	if long && len(addrs) >= shortRequestHosts {
		addrs = addrs[:len(addrs)-len(addrs)/shortRequestHosts]
	}
	now := d.host.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []string
	for _, a := range addrs {
		if !d.busy[a] && now.After(d.retryAt[a]) {
			list = append(list, a)
		}
	}
	return list
}

// Idle reports whether any host is free.
func (d *adviceHosts) Idle() bool { return len(d.available(false)) > 0 }

// Take reserves the last free host, so that a short request uses a host reserved
// for short requests if one is free.
func (d *adviceHosts) Take(costMs float64) (string, bool) {
	list := d.available(costMs > longRequestMs)
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

// Advise sends a request through the host reserved for it and releases that host.
func (d *adviceHosts) Advise(ctx context.Context, w sched.Want) (a ports.Advice, age time.Duration, err error) {
	defer func() { d.release(w.Desk, err == nil) }()
	h := d.host
	msg := adviseMsg{Step: w.Step, Workers: w.Workers}
	if w.Desk == h.addr {
		b, err := h.serveAdvise(ctx, msg)
		return b.Advice, 0, err
	}
	sent := h.clock.Now()
	b, err := frame.Call(ctx, h.pool, w.Desk, adviseMethod, msg)
	took := h.clock.Now().Sub(sent) - time.Duration(w.CostMs)*time.Millisecond
	return b.Advice, min(max(took, 0), maxAnswerAge), err
}

// serveAdvise sends a request of the owner to the advice service.
func (h *Host) serveAdvise(ctx context.Context, m adviseMsg) (adviseAnswer, error) {
	a, err := h.cfg.Adviser.Advise(ctx, ports.AdviceRequest{Step: m.Step, Workers: m.Workers})
	if err != nil {
		return adviseAnswer{}, fault.New(fault.Unavailable, fault.NotRun, "advice service: %v", err)
	}
	return adviseAnswer{Advice: a}, nil
}
