// Package route routes calls to the targets of services.
//
// A Pool is the set of targets of one service in one group. The entry host that
// serves a pool sends all calls to its targets, so it tracks their free slots
// locally. A Router runs on the host that received the call. It chooses the less
// loaded of two random pools, by the load that gossip last reported and with a
// preference for its own availability zone, and forwards the call to the host that
// serves the pool.
//
// The host that serves a pool is determined by the table of live hosts and not by
// the log, so calls continue while the log is down. Two hosts may briefly serve the
// same pool. This is harmless: an executor rejects a call for which it has no free
// slot and reports that the call did not run.
//
// # Usage
//
//	p := route.NewPool(route.PoolConfig{Group: g, Az: az, Service: "triage", Dial: dial})
//	p.SetTargets(list)
//	answer, err := p.Serve(ctx, msg)
package route

import (
	"context"
	"sync"
	"time"

	"lagooncourse/internal/base/clock"
	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/node/wire"
	"lagooncourse/internal/plat/hosts"
	"lagooncourse/internal/plat/target"
)

// PoolConfig describes a Pool.
type PoolConfig struct {
	Group   string
	Az      string
	Service string
	Dial    func(hosts.Target) target.Target
	Clock   clock.Clock
}

// Pool sends calls to the targets of one service in one group. It is safe for
// concurrent use.
type Pool struct {
	cfg PoolConfig

	mu      sync.Mutex
	targets map[string]*member
	waiting []chan *member // queued calls, oldest first; closed when the pool closes
	taken   uint64         // number of slots acquired since the start
	busy    int            // slots in use
	closed  bool
}

// member is a target of the pool and its state.
type member struct {
	host     hosts.Target
	t        target.Target
	busy     int       // slots in use
	failures int       // consecutive failed calls
	lastTake uint64    // value of Pool.taken when its slot was last acquired
	restAt   time.Time // end of the ejection: no calls are sent before
}

// Limits of a pool.
const (
	maxQueuePerSlot = 4 // queued calls per available slot
	failuresToRest  = 3 // consecutive failures that eject a target
	restTime        = 2 * time.Second
)

// NewPool returns a pool without targets.
func NewPool(cfg PoolConfig) *Pool {
	return &Pool{cfg: cfg, targets: map[string]*member{}}
}

// SetTargets replaces the targets of the pool. A target that is leaving or no longer
// listed gets no new calls; its calls in flight continue.
func (p *Pool) SetTargets(list []hosts.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[string]bool{}
	for _, h := range list {
		listed[h.ID] = true
		m := p.targets[h.ID]
		if m == nil || m.host.URL != h.URL {
			m = &member{t: p.cfg.Dial(h)}
			p.targets[h.ID] = m
		}
		m.host = h
	}
	for id, m := range p.targets {
		if !listed[id] {
			m.host.State = hosts.Leaving
			if m.busy == 0 {
				delete(p.targets, id)
			}
		}
	}
	p.hand()
}

// Load returns the state of the pool that gossip reports to peers.
func (p *Pool) Load() wire.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := wire.Pool{Group: p.cfg.Group, Az: p.cfg.Az, Service: p.cfg.Service, Busy: p.busy, Queued: len(p.waiting)}
	w.Slots = p.slots()
	return w
}

// slots returns the number of slots of the available targets. The caller must hold
// p.mu.
func (p *Pool) slots() int {
	n := 0
	now := p.cfg.Clock.Now()
	for _, m := range p.targets {
		if m.open(now) {
			n += m.host.Slots
		}
	}
	return n
}

// open reports whether the target is available for new calls: neither leaving nor
// ejected.
func (m *member) open(now time.Time) bool {
	return m.host.State != hosts.Leaving && !now.Before(m.restAt)
}

// Serve sends a call to one target, without retries, and returns the complete
// response. If no slot is free, the call is queued until ctx ends. Errors are of
// type *fault.Error.
func (p *Pool) Serve(ctx context.Context, msg wire.CallMsg) (a wire.CallAnswer, err error) {
	m, err := p.acquire(ctx)
	if err != nil {
		return a, err
	}
	answer, err := m.t.Call(ctx, target.Request{ID: msg.ID, Service: msg.Service, Body: msg.Body})
	p.release(m, err)
	if err != nil {
		return a, err
	}
	return wire.CallAnswer{Status: answer.Status, Body: answer.Body, Ran: fault.Done}, nil
}

// acquire acquires a slot of the target with the most free slots, or waits for one.
func (p *Pool) acquire(ctx context.Context) (*member, error) {
	p.mu.Lock()
	if m := p.pick(); m != nil {
		p.take(m)
		p.mu.Unlock()
		return m, nil
	}
	slots := p.slots()
	if p.closed || slots == 0 || len(p.waiting) >= maxQueuePerSlot*slots {
		p.mu.Unlock()
		return nil, fault.New(fault.Overload, fault.NotRun, "service %q has no free slot in group %q", p.cfg.Service, p.cfg.Group).WithRetryAfter(1)
	}
	ch := make(chan *member, 1)
	p.waiting = append(p.waiting, ch)
	p.mu.Unlock()
	select {
	case m := <-ch:
		if m == nil {
			return nil, fault.New(fault.Unavailable, fault.NotRun, "the entry host is stopping")
		}
		return m, nil
	case <-ctx.Done():
		p.leave(ch)
		return nil, fault.New(fault.Overload, fault.NotRun, "no slot of service %q became free before the deadline", p.cfg.Service).WithRetryAfter(1)
	}
}

// leave removes a call from the queue. If the call was assigned a slot in the
// meantime, leave releases the slot.
func (p *Pool) leave(ch chan *member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.waiting {
		if other == ch {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return
		}
	}
	if m := <-ch; m != nil {
		m.busy--
		p.busy--
		p.hand()
	}
}

// pick returns the available target with the most free slots, or nil if no slot is
// free. The caller must hold p.mu.
func (p *Pool) pick() *member {
	var best *member
	now := p.cfg.Clock.Now()
	for _, m := range p.targets {
		if !m.open(now) || m.busy >= m.host.Slots {
			continue
		}
		if best == nil || m.before(best) {
			best = m
		}
	}
	return best
}

// before reports whether m is preferred to o: the target with more free slots, then
// the one that was used less recently, then the one with the lower id.
func (m *member) before(o *member) bool {
	if m.free() != o.free() {
		return m.free() > o.free()
	}
	if m.lastTake != o.lastTake {
		return m.lastTake < o.lastTake
	}
	return m.host.ID < o.host.ID
}

func (m *member) free() int { return m.host.Slots - m.busy }

// take acquires a slot of m. The caller must hold p.mu.
func (p *Pool) take(m *member) {
	p.taken++
	m.lastTake = p.taken
	m.busy++
	p.busy++
}

// hand assigns free slots to the queued calls. The caller must hold p.mu.
func (p *Pool) hand() {
	for len(p.waiting) > 0 {
		m := p.pick()
		if m == nil {
			return
		}
		p.take(m)
		p.waiting[0] <- m
		p.waiting = p.waiting[1:]
	}
}

// release releases the slot and records the result of the call. A target with
// failuresToRest consecutive failures is ejected for restTime if mayRest allows
// it. An overload error does not count as a failure.
func (p *Pool) release(m *member, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m.busy--
	p.busy--
	switch {
	case err == nil:
		m.failures = 0
	case !fault.Is(err, fault.Overload):
		m.failures++
		if m.failures >= failuresToRest && p.mayRest() {
			m.failures = 0
			m.restAt = p.cfg.Clock.Now().Add(restTime)
		}
	}
	p.hand()
}

// mayRest reports whether at least half of the targets would remain available after
// ejecting one more, so that errors of a service never eject all of its targets.
// The caller must hold p.mu.
func (p *Pool) mayRest() bool {
	open := 0
	now := p.cfg.Clock.Now()
	for _, m := range p.targets {
		if m.open(now) {
			open++
		}
	}
	return (open-1)*2 >= len(p.targets)
}

// Close rejects the queued calls. Later calls are rejected when no slot is free.
// Calls in flight continue.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, ch := range p.waiting {
		close(ch)
	}
	p.waiting = nil
}
