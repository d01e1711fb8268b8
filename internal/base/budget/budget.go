// Package budget bounds the memory and the connections that callers can make a process
// hold.
//
// An Account has a limit in bytes. Each connection is a Holder, which takes an amount before
// it holds the memory and gives it back when it has dropped it. When an amount does not fit,
// the account evicts a holder that is still receiving: the one that is slowest against the
// size of what it receives, since it would hold its memory longest for the least use. A holder
// is not evicted within MinAge, so that a burst of ordinary callers does not end its own
// requests; if no other one can be evicted, the amount is refused. Memory of requests that
// have arrived is never taken back, because they are being served.
//
// A limit for each connection was rejected: it would have to be a fraction of the largest
// legal request for a crowd to fit, or the crowd would not fit.
//
// # Usage
//
//	a := budget.New(budget.Config{Bytes: 64 << 20})
//	h := a.Open(func() { conn.Close() })
//	defer h.Close()
//	h.Receive(size)              // a request of about size bytes begins to arrive
//	if !h.Take(n) { ... }        // refused
//	h.Progress(n)                // n more bytes have arrived
//	h.Received()                 // all of it has arrived
//	h.Release()                  // the request has been served
package budget

import (
	"sync"
	"time"
)

// Config holds the parameters of an Account. Zero fields take the defaults.
type Config struct {
	Bytes  int64            // limit; 0 means none
	MinAge time.Duration    // time in which a receiving holder is not evicted
	Now    func() time.Time // for tests
}

// defaultMinAge is longer than an ordinary request takes to arrive over a slow link.
const defaultMinAge = time.Second

// Account is a limit that several holders share. It is safe for concurrent use.
type Account struct {
	cfg Config

	mu      sync.Mutex
	used    int64
	holders map[*Holder]struct{}
	stats   Stats
}

// Stats counts what an account has done.
type Stats struct {
	Used    int64 // bytes
	Refused int64 // amounts that did not fit
	Evicted int64 // holders
}

// New returns an account without holders.
func New(cfg Config) *Account {
	if cfg.MinAge == 0 {
		cfg.MinAge = defaultMinAge
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Account{cfg: cfg, holders: map[*Holder]struct{}{}}
}

// Stats returns the account's counters.
func (a *Account) Stats() Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.stats
	s.Used = a.used
	return s
}

// Holder is what one connection holds.
type Holder struct {
	a     *Account
	evict func()

	// guarded by a.mu
	held      int64
	base      int64 // part of held that Release keeps
	size      int64 // of what it receives; 0 if it receives nothing
	received  int64
	sinceAt   time.Time // when it began to receive
	evicted   bool
	closed    bool
	receiving bool
}

// Open adds a holder. The account calls evict, which must not block, at most once.
func (a *Account) Open(evict func()) *Holder {
	h := &Holder{a: a, evict: evict}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holders[h] = struct{}{}
	return h
}

// TakeBase takes an amount that the holder keeps until Close.
func (h *Holder) TakeBase(n int64) bool {
	if !h.Take(n) {
		return false
	}
	h.a.mu.Lock()
	defer h.a.mu.Unlock()
	h.base += n
	return true
}

// Take takes n bytes, and reports whether they fit. It may evict another holder.
func (h *Holder) Take(n int64) bool {
	a := h.a
	a.mu.Lock()
	if h.evicted || h.closed {
		a.mu.Unlock()
		return false
	}
	var victims []*Holder
	for a.cfg.Bytes > 0 && a.used+n > a.cfg.Bytes {
		v := a.slowest(h)
		if v == nil {
			a.stats.Refused++
			a.mu.Unlock()
			evictAll(victims)
			return false
		}
		a.expel(v)
		victims = append(victims, v)
	}
	a.used += n
	h.held += n
	a.mu.Unlock()
	evictAll(victims)
	return true
}

// Evict evicts the slowest receiving holder, and reports whether there is one.
func (a *Account) Evict() bool {
	a.mu.Lock()
	v := a.slowest(nil)
	if v != nil {
		a.expel(v)
	}
	a.mu.Unlock()
	if v != nil {
		v.evict()
	}
	return v != nil
}

func evictAll(list []*Holder) {
	for _, v := range list {
		v.evict()
	}
}

// expel gives back what a victim holds: its connection drops the memory at once. The
// caller holds a.mu and calls v.evict later.
func (a *Account) expel(v *Holder) {
	v.evicted = true
	a.used -= v.held
	v.held = 0
	a.stats.Evicted++
}

// slowest returns the receiving holder other than h that is slowest against its size, or nil
// if all are younger than MinAge. The caller holds a.mu.
func (a *Account) slowest(h *Holder) (slowest *Holder) {
	now := a.cfg.Now()
	least := 0.0
	for v := range a.holders {
		age := now.Sub(v.sinceAt)
		if v == h || !v.receiving || v.evicted || age < a.cfg.MinAge {
			continue
		}
		speed := float64(v.received) / float64(max(v.size, 1)) / age.Seconds()
		if slowest == nil || speed < least || speed == least && v.sinceAt.After(slowest.sinceAt) {
			slowest, least = v, speed
		}
	}
	return slowest
}

// Receive says that a request of about size bytes begins to arrive.
func (h *Holder) Receive(size int64) {
	h.a.mu.Lock()
	defer h.a.mu.Unlock()
	h.receiving, h.size, h.received, h.sinceAt = true, size, 0, h.a.cfg.Now()
}

// Progress says that n more bytes have arrived.
func (h *Holder) Progress(n int64) {
	h.a.mu.Lock()
	defer h.a.mu.Unlock()
	h.received += n
}

// Received says that the request has arrived. The holder is not evicted any more.
func (h *Holder) Received() {
	h.a.mu.Lock()
	defer h.a.mu.Unlock()
	h.receiving = false
}

// Release gives back what was taken since the connection was opened.
func (h *Holder) Release() {
	h.a.mu.Lock()
	defer h.a.mu.Unlock()
	h.receiving = false
	if !h.evicted {
		h.a.used -= h.held - h.base
		h.held = h.base
	}
}

// Evicted reports whether the holder was evicted.
func (h *Holder) Evicted() bool {
	h.a.mu.Lock()
	defer h.a.mu.Unlock()
	return h.evicted
}

// Close removes the holder.
func (h *Holder) Close() {
	h.a.mu.Lock()
	defer h.a.mu.Unlock()
	if h.closed {
		return
	}
	h.closed, h.receiving = true, false
	h.a.used -= h.held
	h.held, h.base = 0, 0
	delete(h.a.holders, h)
}
