package route

import (
	"context"
	"math/rand/v2"
	"sync"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/node/wire"
)

// Forwarder sends a call to the host that is responsible for a pool.
type Forwarder interface {
	Serve(ctx context.Context, msg wire.CallMsg) (wire.CallAnswer, error)
	// Pools lists the pools of all live hosts, as they last said.
	Pools() []wire.Pool
}

// RouterConfig describes a Router.
type RouterConfig struct {
	Az      string // of this host
	Forward Forwarder
	Rand    *rand.Rand // guarded by the router's lock
}

// Router picks a pool for each call and repeats a call where that is safe.
type Router struct {
	cfg RouterConfig

	mu     sync.Mutex
	own    map[string]int // group -> calls of this router on it
	tokens float64        // of the retry budget
	stats  RouterStats
}

// RouterStats counts what the router did.
type RouterStats struct {
	Calls   int64 `json:"calls"`
	Retries int64 `json:"retries"`
	Denied  int64 `json:"retriesDenied"` // for want of budget
	Unknown int64 `json:"unknown"`
}

const (
	maxTries        = 4
	budgetPerCall   = 0.1 // retries that each call earns
	maxBudget       = 50  // retries that can be saved up
	remoteAzPenalty = 0.5 // added to the load of a pool in another availability zone
)

// NewRouter returns a router with a full retry budget.
func NewRouter(cfg RouterConfig) *Router {
	return &Router{cfg: cfg, own: map[string]int{}, tokens: maxBudget}
}

// Stats returns the counters.
func (r *Router) Stats() RouterStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}

// Call sends the call to a pool of its service. It is sent again, to another
// pool, if it surely did not run, or if it is idempotent; each repetition has
// an id of its own, so no late answer to the one can pass for the other's.
func (r *Router) Call(ctx context.Context, msg wire.CallMsg) (a wire.CallAnswer, err error) {
	defer fault.Note(&err, "service %q", msg.Service)
	r.earn()
	tried := map[string]bool{}
	id := msg.ID
	for try := 1; ; try++ {
		pool, ok := r.pick(msg.Service, tried)
		if !ok {
			if err == nil {
				err = fault.New(fault.Unavailable, fault.NotRun, "no target of service %q takes calls", msg.Service).WithRetryAfter(1)
			}
			return a, err
		}
		msg.Group, msg.ID = pool.Group, tryID(id, try)
		a, err = r.send(ctx, msg)
		if err == nil || ctx.Err() != nil || try == maxTries || !repeatable(err, msg.Idempotent) || !r.spend() {
			return a, err
		}
		tried[pool.Group] = true
	}
}

// tryID returns the id of one try. The first keeps the call's own id.
func tryID(id string, try int) string {
	if try == 1 {
		return id
	}
	return id + "~" + string(rune('0'+try))
}

func repeatable(err error, idempotent bool) bool {
	switch fault.RanOf(err) {
	case fault.NotRun:
		return true
	case fault.Unknown:
		return idempotent
	}
	return false
}

func (r *Router) send(ctx context.Context, msg wire.CallMsg) (wire.CallAnswer, error) {
	r.mu.Lock()
	r.own[msg.Group]++
	r.mu.Unlock()
	a, err := r.cfg.Forward.Serve(ctx, msg)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.own[msg.Group]--
	if err != nil && fault.RanOf(err) == fault.Unknown {
		r.stats.Unknown++
	}
	return a, err
}

// pick returns the less loaded of two random pools of the service. A pool that
// was tried is picked again only when no other is left.
func (r *Router) pick(service string, tried map[string]bool) (best wire.Pool, ok bool) {
	var fresh, used []wire.Pool
	for _, p := range r.cfg.Forward.Pools() {
		switch {
		case p.Service != service || p.Slots == 0:
		case tried[p.Group]:
			used = append(used, p)
		default:
			fresh = append(fresh, p)
		}
	}
	if len(fresh) == 0 {
		fresh = used
	}
	if len(fresh) == 0 {
		return wire.Pool{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	a, b := fresh[r.cfg.Rand.IntN(len(fresh))], fresh[r.cfg.Rand.IntN(len(fresh))]
	if r.load(b) < r.load(a) {
		return b, true
	}
	return a, true
}

// load estimates how full a pool is: 1 when every slot is taken. The calls that
// this router has on it may be counted twice; that errs on the safe side.
func (r *Router) load(p wire.Pool) float64 {
	load := float64(max(p.Busy+p.Queued, r.own[p.Group])) / float64(p.Slots)
	if p.Az != r.cfg.Az {
		load += remoteAzPenalty
	}
	return load
}

func (r *Router) earn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Calls++
	r.tokens = min(r.tokens+budgetPerCall, maxBudget)
}

// spend takes one retry from the budget.
func (r *Router) spend() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tokens < 1 {
		r.stats.Denied++
		return false
	}
	r.tokens--
	r.stats.Retries++
	return true
}
