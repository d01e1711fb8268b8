package route

import (
	"context"
	"math/rand/v2"
	"sync"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/node/wire"
)

// Forwarder lists the pools of the cell and forwards calls to them.
type Forwarder interface {
	// Serve sends a call to the host that serves the pool of msg.Group and
	// msg.Service.
	Serve(ctx context.Context, msg wire.CallMsg) (wire.CallAnswer, error)
	// Pools returns the pools of all live hosts with their last reported load.
	Pools() []wire.PoolLoad
}

// RouterConfig describes a Router.
type RouterConfig struct {
	Az        string // availability zone of this host
	Forwarder Forwarder
	Rand      *rand.Rand // must not be used by others; the router protects it with its own lock
}

// Router selects a pool for each call and retries failed calls where that is safe.
type Router struct {
	cfg RouterConfig

	mu       sync.Mutex
	inFlight map[string]int // group -> calls in flight from this router, of any service
	budget   float64        // retries that are currently allowed
	stats    RouterStats
}

// RouterStats holds the counters of a Router.
type RouterStats struct {
	Calls           int64 `json:"calls"`
	Retries         int64 `json:"retries"`
	RetriesDenied   int64 `json:"retriesDenied"` // retries that the budget did not allow
	UnknownOutcomes int64 `json:"unknown"`       // attempts with an unknown outcome
}

// Retry limits and pool selection.
const (
	maxAttempts     = 4   // per call, including the first
	budgetPerCall   = 0.1 // retries that each call adds to the budget; limits retries to 10% of the calls in the long run
	maxBudget       = 50  // maximum retries in the budget
	remoteAzPenalty = 0.5 // added to the load of a pool in another availability zone; 1 means all slots in use
)

// NewRouter returns a router with a full retry budget.
func NewRouter(cfg RouterConfig) *Router {
	return &Router{cfg: cfg, inFlight: map[string]int{}, budget: maxBudget}
}

// Stats returns the counters.
func (r *Router) Stats() RouterStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}

// Call sends a call to a pool of its service and retries failed attempts, preferably in
// another pool. It retries if the attempt certainly did not run, or if its outcome is
// unknown and the call is idempotent, up to maxAttempts and the retry budget and until
// ctx ends. Each retry has its own id, so a late response to one attempt is not taken
// for that of another.
func (r *Router) Call(ctx context.Context, msg wire.CallMsg) (a wire.CallAnswer, err error) {
	defer fault.Annotate(&err, "service %q", msg.Service)
	r.countCall()
	tried := map[string]bool{}
	id := msg.ID
	for attempt := 1; ; attempt++ {
		pool, ok := r.pick(msg.Service, tried)
		if !ok {
			if err == nil {
				err = fault.New(fault.Unavailable, fault.NotRun, "service %q has no available target", msg.Service).WithRetryAfter(1)
			}
			return a, err
		}
		msg.Group, msg.ID = pool.Group, attemptID(id, attempt)
		a, err = r.send(ctx, msg)
		if err == nil || ctx.Err() != nil || attempt == maxAttempts || !retryable(err, msg.Idempotent) || !r.takeRetry() {
			return a, err
		}
		tried[pool.Group] = true
	}
}

// attemptID returns the call id of an attempt. The first attempt uses the id of the call
// itself. The number of the attempt must be at most 9.
func attemptID(id string, attempt int) string {
	if attempt == 1 {
		return id
	}
	return id + "~" + string(rune('0'+attempt))
}

// retryable reports whether a call that failed with err may be retried.
func retryable(err error, idempotent bool) bool {
	switch fault.OutcomeOf(err) {
	case fault.NotRun:
		return true
	case fault.Unknown:
		return idempotent
	}
	return false
}

// send forwards one attempt and counts it as in flight until it ends.
func (r *Router) send(ctx context.Context, msg wire.CallMsg) (wire.CallAnswer, error) {
	r.mu.Lock()
	r.inFlight[msg.Group]++
	r.mu.Unlock()
	a, err := r.cfg.Forwarder.Serve(ctx, msg)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight[msg.Group]--
	if err != nil && fault.OutcomeOf(err) == fault.Unknown {
		r.stats.UnknownOutcomes++
	}
	return a, err
}

// pick draws two pools of the service at random, possibly the same one twice, and
// returns the less loaded one. Pools of groups in tried are considered only if there are
// no others.
func (r *Router) pick(service string, tried map[string]bool) (best wire.PoolLoad, ok bool) {
	var candidates, alreadyTried []wire.PoolLoad
	for _, p := range r.cfg.Forwarder.Pools() {
		switch {
		case p.Service != service || p.Slots == 0:
		case tried[p.Group]:
			alreadyTried = append(alreadyTried, p)
		default:
			candidates = append(candidates, p)
		}
	}
	if len(candidates) == 0 {
		candidates = alreadyTried
	}
	if len(candidates) == 0 {
		return wire.PoolLoad{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	a, b := candidates[r.cfg.Rand.IntN(len(candidates))], candidates[r.cfg.Rand.IntN(len(candidates))]
	if r.load(b) < r.load(a) {
		return b, true
	}
	return a, true
}

// load estimates the utilization of a pool, where 1 means that every slot is in use.
// It uses the larger of the load that gossip reported and the calls in flight from
// this router to the group, of any service, because the reported load may be out of
// date.
func (r *Router) load(p wire.PoolLoad) float64 {
	load := float64(max(p.Busy+p.Queued, r.inFlight[p.Group])) / float64(p.Slots)
	if p.Az != r.cfg.Az {
		load += remoteAzPenalty
	}
	return load
}

// countCall counts a call and adds its share to the retry budget.
func (r *Router) countCall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.Calls++
	r.budget = min(r.budget+budgetPerCall, maxBudget)
}

// takeRetry takes one retry from the budget. It returns false if the budget is used up.
func (r *Router) takeRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.budget < 1 {
		r.stats.RetriesDenied++
		return false
	}
	r.budget--
	r.stats.Retries++
	return true
}
