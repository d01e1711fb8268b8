// Package route routes calls to the targets of services.
//
// A Pool is the set of targets of one service in one group. The entry host that
// serves a pool sends all calls to its targets, so it tracks their free slots
// locally. A Router runs on the host that received the call. It draws two pools at
// random and forwards the call to the host that serves the less loaded one. It compares
// the load that gossip last reported or, if higher, the number of its own calls in
// flight, and adds a penalty for pools in another availability zone.
//
// The host that serves a pool is determined by the membership table (package peers) and
// not by the log, so calls continue while the log is down. Two hosts may briefly serve the
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

	mu       sync.Mutex
	targets  map[string]*poolTarget
	queue    []chan *poolTarget // queued calls, oldest first; each channel receives the call's target, or is closed by Close
	acquired uint64             // slots acquired so far; orders poolTarget.lastAcquired
	busy     int                // slots in use
	closed   bool
}

// poolTarget is a target of the pool and its state.
type poolTarget struct {
	info         hosts.Target // entry in the host list
	client       target.Target
	busy         int       // slots in use
	failures     int       // consecutive failed calls
	lastAcquired uint64    // value of Pool.acquired when a slot of this target was last acquired
	ejectedUntil time.Time // end of the ejection: no calls are sent before
}

// Limits of a pool.
const (
	maxQueuePerSlot = 4               // queued calls per slot of the available targets
	failuresToEject = 3               // consecutive failures that eject a target
	ejectionTime    = 2 * time.Second // time without calls for an ejected target
)

// NewPool returns a pool without targets.
func NewPool(cfg PoolConfig) *Pool {
	return &Pool{cfg: cfg, targets: map[string]*poolTarget{}}
}

// SetTargets replaces the targets of the pool. A target that is leaving or no longer
// listed gets no new calls; its calls in flight continue. A target with a new URL counts
// as a new target.
func (p *Pool) SetTargets(list []hosts.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[string]bool{}
	for _, entry := range list {
		listed[entry.ID] = true
		t := p.targets[entry.ID]
		if t == nil || t.info.URL != entry.URL {
			t = &poolTarget{client: p.cfg.Dial(entry)}
			p.targets[entry.ID] = t
		}
		t.info = entry
	}
	for id, t := range p.targets {
		if !listed[id] {
			t.info.State = hosts.Leaving
			if t.busy == 0 {
				delete(p.targets, id)
			}
		}
	}
	p.assignQueued()
}

// Load returns the slots, calls in progress and queue length of the pool, which gossip
// reports to peers.
func (p *Pool) Load() wire.PoolLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	load := wire.PoolLoad{Group: p.cfg.Group, Az: p.cfg.Az, Service: p.cfg.Service, Busy: p.busy, Queued: len(p.queue)}
	load.Slots = p.slots()
	return load
}

// slots returns the number of slots of the available targets. The caller must hold
// p.mu.
func (p *Pool) slots() int {
	n := 0
	now := p.cfg.Clock.Now()
	for _, t := range p.targets {
		if t.available(now) {
			n += t.info.Slots
		}
	}
	return n
}

// available reports whether the target is available for new calls: neither leaving nor
// ejected.
func (t *poolTarget) available(now time.Time) bool {
	return t.info.State != hosts.Leaving && !now.Before(t.ejectedUntil)
}

// Serve sends a call to one target, without retries, and returns the complete
// response. If no slot is free, the call waits in a bounded queue until one is free or
// ctx ends. Errors are of type *fault.Error.
func (p *Pool) Serve(ctx context.Context, msg wire.CallMsg) (a wire.CallAnswer, err error) {
	t, err := p.acquire(ctx)
	if err != nil {
		return a, err
	}
	answer, err := t.client.Call(ctx, target.Request{ID: msg.ID, Service: msg.Service, Body: msg.Body})
	p.release(t, err)
	if err != nil {
		return a, err
	}
	return wire.CallAnswer{Status: answer.Status, Body: answer.Body, Outcome: fault.Done}, nil
}

// acquire acquires a slot of the target with the most free slots. If none is free, it
// waits in the queue until one is free or ctx ends. It fails at once if the queue is
// full, no target is available or the pool is closed.
func (p *Pool) acquire(ctx context.Context) (*poolTarget, error) {
	p.mu.Lock()
	if t := p.pick(); t != nil {
		p.takeSlot(t)
		p.mu.Unlock()
		return t, nil
	}
	slots := p.slots()
	if p.closed || slots == 0 || len(p.queue) >= maxQueuePerSlot*slots {
		p.mu.Unlock()
		return nil, fault.New(fault.Overload, fault.NotRun, "service %q has no free slot in group %q", p.cfg.Service, p.cfg.Group).WithRetryAfter(1)
	}
	ch := make(chan *poolTarget, 1)
	p.queue = append(p.queue, ch)
	p.mu.Unlock()
	select {
	case t := <-ch:
		if t == nil {
			return nil, fault.New(fault.Unavailable, fault.NotRun, "the entry host is stopping")
		}
		return t, nil
	case <-ctx.Done():
		p.leaveQueue(ch)
		return nil, fault.New(fault.Overload, fault.NotRun, "no slot of service %q became free before the deadline", p.cfg.Service).WithRetryAfter(1)
	}
}

// leaveQueue removes a call from the queue. If the call was assigned a slot in the
// meantime, leaveQueue releases the slot.
func (p *Pool) leaveQueue(ch chan *poolTarget) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.queue {
		if other == ch {
			p.queue = append(p.queue[:i], p.queue[i+1:]...)
			return
		}
	}
	if t := <-ch; t != nil {
		t.busy--
		p.busy--
		p.assignQueued()
	}
}

// pick returns the available target with the most free slots, or nil if no slot is
// free. The caller must hold p.mu.
func (p *Pool) pick() *poolTarget {
	var best *poolTarget
	now := p.cfg.Clock.Now()
	for _, t := range p.targets {
		if !t.available(now) || t.busy >= t.info.Slots {
			continue
		}
		if best == nil || t.preferredTo(best) {
			best = t
		}
	}
	return best
}

// preferredTo reports whether t is preferred to o: the target with more free slots,
// then the one that was used less recently, then the one with the lower id.
func (t *poolTarget) preferredTo(o *poolTarget) bool {
	if t.freeSlots() != o.freeSlots() {
		return t.freeSlots() > o.freeSlots()
	}
	if t.lastAcquired != o.lastAcquired {
		return t.lastAcquired < o.lastAcquired
	}
	return t.info.ID < o.info.ID
}

// freeSlots returns the number of free slots. It is negative if the host list has
// lowered Slots below busy.
func (t *poolTarget) freeSlots() int { return t.info.Slots - t.busy }

// takeSlot counts a slot of t as in use. The caller must hold p.mu and have checked that
// t has a free slot.
func (p *Pool) takeSlot(t *poolTarget) {
	p.acquired++
	t.lastAcquired = p.acquired
	t.busy++
	p.busy++
}

// assignQueued assigns free slots to the queued calls. The caller must hold p.mu.
func (p *Pool) assignQueued() {
	for len(p.queue) > 0 {
		t := p.pick()
		if t == nil {
			return
		}
		p.takeSlot(t)
		p.queue[0] <- t
		p.queue = p.queue[1:]
	}
}

// release releases the slot and records the result of the call. A target with
// failuresToEject consecutive failures is ejected for ejectionTime if mayEject allows
// it; otherwise the next failure tries again. An overload error does not count as a
// failure.
func (p *Pool) release(t *poolTarget, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.busy--
	p.busy--
	switch {
	case err == nil:
		t.failures = 0
	case !fault.HasCode(err, fault.Overload):
		t.failures++
		if t.failures >= failuresToEject && p.mayEject() {
			t.failures = 0
			t.ejectedUntil = p.cfg.Clock.Now().Add(ejectionTime)
		}
	}
	p.assignQueued()
}

// mayEject reports whether at least half of the pool's targets would remain available
// after ejecting one more. A service that fails on all targets therefore keeps at
// least half of them, and a single target is never ejected. The caller must hold p.mu.
func (p *Pool) mayEject() bool {
	available := 0
	now := p.cfg.Clock.Now()
	for _, t := range p.targets {
		if t.available(now) {
			available++
		}
	}
	return (available-1)*2 >= len(p.targets)
}

// Close rejects the queued calls and stops queueing. Later calls that find a free slot
// still run. Calls in flight continue.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, ch := range p.queue {
		close(ch)
	}
	p.queue = nil
}
