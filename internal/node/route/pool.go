// Package route carries calls to the targets of services.
//
// Two parts work together. A Pool is the set of targets of one group and one
// service; the entry host that is responsible for the group sends all calls to
// them, so it knows which of their slots are taken without asking anybody. A
// Router runs on the host that took the call. It knows from gossip how loaded
// the pools were a moment ago, picks one of two random pools, prefers its own
// availability zone, and forwards the call to the pool's host.
//
// Responsibility for a pool follows the table of live hosts and not the log, so
// calls go on while the log is down. Two hosts may for a moment both feel
// responsible. That is harmless: an executor refuses a call that finds no free
// slot, and says truthfully that it did not run.
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

// Pool sends calls to the targets of one service in one group.
type Pool struct {
	cfg PoolConfig

	mu      sync.Mutex
	targets map[string]*member
	waiting []chan *member // oldest first; a closed pool closes them
	taken   uint64         // slots taken so far
	busy    int
	closed  bool
}

// member is one target with the calls that this pool has on it.
type member struct {
	host     hosts.Target
	t        target.Target
	busy     int
	failures int       // in a row
	lastTake uint64    // orders targets by their last call
	restAt   time.Time // takes no calls before
}

const (
	maxQueuePerSlot = 4 // calls that wait, for each slot of the pool
	failuresToRest  = 3
	restTime        = 2 * time.Second
)

// NewPool returns a pool without targets.
func NewPool(cfg PoolConfig) *Pool {
	return &Pool{cfg: cfg, targets: map[string]*member{}}
}

// SetTargets takes the pool's part of the host list. A target that is leaving
// or gone gets no new call; the calls on it are left to end.
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

// Load describes the pool for peers.
func (p *Pool) Load() wire.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := wire.Pool{Group: p.cfg.Group, Az: p.cfg.Az, Service: p.cfg.Service, Busy: p.busy, Queued: len(p.waiting)}
	w.Slots = p.slots()
	return w
}

// slots counts the slots of targets that take calls. The caller holds the lock.
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

func (m *member) open(now time.Time) bool {
	return m.host.State != hosts.Leaving && !now.Before(m.restAt)
}

// Serve sends one call to one target, once, and returns its whole answer. It
// waits for a free slot until ctx ends. Errors are *fault.Error.
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

// acquire takes a slot of the least loaded target, or waits for one.
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
			return nil, fault.New(fault.Unavailable, fault.NotRun, "the host is stopping")
		}
		return m, nil
	case <-ctx.Done():
		p.leave(ch)
		return nil, fault.New(fault.Overload, fault.NotRun, "no slot of service %q became free in time", p.cfg.Service).WithRetryAfter(1)
	}
}

// leave takes a call out of the queue, or gives its slot back if it has just
// got one.
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

// pick returns the open target with the most free slots, or nil. The caller
// holds the lock.
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

// before reports whether m is the better choice: more free slots, and among
// equals the one that has been left alone the longest.
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

func (p *Pool) take(m *member) {
	p.taken++
	m.lastTake = p.taken
	m.busy++
	p.busy++
}

// hand gives free slots to the calls that wait. The caller holds the lock.
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

// release gives the slot back and notes how the call went. A target that fails
// several calls in a row rests for a moment, unless it is the last one.
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

// mayRest reports whether at least half of the targets would still take calls
// after one more rests, so that a service is never emptied by its own errors.
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

// Close refuses the calls that wait and all later ones. Calls that have been
// sent go on to their end.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, ch := range p.waiting {
		close(ch)
	}
	p.waiting = nil
}
