package gate

import (
	"context"
	"sync"
	"time"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/frame"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/ports"
)

// desks spreads questions over the hosts, by when each will be free: the
// service answers one question at a time from each host.
type desks struct {
	host *Host

	mu   sync.Mutex
	free map[string]time.Time // address -> when its questions will be answered
}

const (
	longAskMs    = 150 // questions that take longer stay off the hosts kept for short ones
	shortDesks   = 3   // one of so many hosts takes only short questions
	adviseMargin = 300 * time.Millisecond
)

// choose picks the host that will answer first and books the time.
func (d *desks) choose(w sched.Want, addrs []string, now time.Time) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.free == nil {
		d.free = map[string]time.Time{}
	}
	if w.CostMs > longAskMs && len(addrs) >= shortDesks {
		addrs = addrs[:len(addrs)-len(addrs)/shortDesks]
	}
	best := ""
	var at time.Time
	for i := range addrs {
		addr := addrs[len(addrs)-1-i]
		t := d.free[addr]
		if t.Before(now) {
			t = now
		}
		if best == "" || t.Before(at) {
			best, at = addr, t
		}
	}
	d.free[best] = at.Add(time.Duration(w.CostMs * float64(time.Millisecond)))
	return best
}

// Advise asks through one of the hosts.
func (d *desks) Advise(ctx context.Context, w sched.Want) (a ports.Advice, age time.Duration, err error) {
	h := d.host
	addr := d.choose(w, h.adviseAddrs(), h.clock.Now())
	msg := adviseMsg{Step: w.Step, Workers: w.Workers, CostMs: w.CostMs}
	if addr == h.addr {
		b, err := h.serveAdvise(ctx, msg)
		return b.Advice, 0, err
	}
	sent := h.clock.Now()
	b, err := frame.Call(ctx, h.pool, addr, adviseMethod, msg)
	if err != nil {
		d.penalise(addr, h.clock.Now())
		return a, 0, err
	}
	took := h.clock.Now().Sub(sent) - time.Duration(w.CostMs)*time.Millisecond
	return b.Advice, min(max(took, 0), adviseMargin), nil
}

// penalty keeps a host that did not answer from getting the next questions.
const penalty = time.Second

func (d *desks) penalise(addr string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.free[addr] = now.Add(penalty)
}

// serveAdvise asks the service from this host.
func (h *Host) serveAdvise(ctx context.Context, m adviseMsg) (adviseAnswer, error) {
	a, err := h.cfg.Adviser.Advise(ctx, ports.AdviceRequest{Step: m.Step, Workers: m.Workers})
	if err != nil {
		return adviseAnswer{}, fault.New(fault.Unavailable, fault.NotRun, "advice: %v", err)
	}
	return adviseAnswer{Advice: a}, nil
}
