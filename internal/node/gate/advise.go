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

// desks are the hosts through which advice is asked. The service answers one
// question at a time from each host, so each has one question under way.
type desks struct {
	host *Host

	mu    sync.Mutex
	busy  map[string]bool
	after map[string]time.Time // a desk that has failed is left alone until then
}

var _ lead.Advisers = (*desks)(nil)

const (
	longAskMs    = 150 // questions that take longer leave some desks to short ones
	shortDesks   = 3   // one of so many desks takes only short questions
	adviseMargin = 300 * time.Millisecond
	deskRest     = time.Second // after a question without an answer
)

// available returns the desks that may take a question, this host last.
func (d *desks) available(long bool) []string {
	addrs := d.host.adviseAddrs()
	if long && len(addrs) >= shortDesks {
		addrs = addrs[:len(addrs)-len(addrs)/shortDesks]
	}
	now := d.host.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []string
	for _, a := range addrs {
		if !d.busy[a] && now.After(d.after[a]) {
			list = append(list, a)
		}
	}
	return list
}

// Idle reports whether any desk is free.
func (d *desks) Idle() bool { return len(d.available(false)) > 0 }

// Take reserves the last free desk: short questions stay with those that long
// ones must not take.
func (d *desks) Take(costMs float64) (string, bool) {
	list := d.available(costMs > longAskMs)
	if len(list) == 0 {
		return "", false
	}
	desk := list[len(list)-1]
	d.mu.Lock()
	defer d.mu.Unlock()
	d.busy[desk] = true
	return desk, true
}

// release frees a desk.
func (d *desks) release(desk string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.busy, desk)
	if !ok {
		d.after[desk] = d.host.clock.Now().Add(deskRest)
	}
}

// Advise asks through the desk that the question has taken.
func (d *desks) Advise(ctx context.Context, w sched.Want) (a ports.Advice, age time.Duration, err error) {
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
	return b.Advice, min(max(took, 0), adviseMargin), err
}

// serveAdvise asks the service from this host.
func (h *Host) serveAdvise(ctx context.Context, m adviseMsg) (adviseAnswer, error) {
	a, err := h.cfg.Adviser.Advise(ctx, ports.AdviceRequest{Step: m.Step, Workers: m.Workers})
	if err != nil {
		return adviseAnswer{}, fault.New(fault.Unavailable, fault.NotRun, "advice: %v", err)
	}
	return adviseAnswer{Advice: a}, nil
}
