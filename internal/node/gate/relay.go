package gate

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/frame"
	"lagooncourse/internal/base/guard"
	"lagooncourse/internal/plat/ports"
)

// relayStore calls the store directly or, without a definitive answer, through a
// peer. The same append may be sent on both paths: the owner's appends carry an
// epoch and a sequence number, and a repeated claim or host registration has no
// further effect.
type relayStore struct {
	direct ports.Store
	host   *Host

	mu          sync.Mutex
	lastFailure time.Time     // last failure of the direct path
	failures    int           // since lastSuccess
	lastSuccess time.Time     // last definitive answer to a direct call
	latency     time.Duration // smoothed latency of the store's definitive answers
}

var _ ports.Store = (*relayStore)(nil)

// Exponential backoff after failed direct calls.
const (
	directBackoff    = 400 * time.Millisecond
	maxDirectBackoff = 3200 * time.Millisecond
)

// A direct call may take hedgeDelay before peers are tried as well: ten times the
// usual store latency, and less than the delay that urgent jobs tolerate. While the
// store is slow for all hosts, a second copy of an append only takes up the store:
// it processes the appends to a topic one after another. The delay then follows the
// store's latency.
const (
	hedgeDelay    = 80 * time.Millisecond
	maxHedgeDelay = time.Second
	hedgeFactor   = 3 // latencies
)

// latencyWeight is the weight of a new sample of the latency.
const latencyWeight = 0.5

// hedgeAfter returns how long a direct call may take before peers are tried as well.
func (s *relayStore) hedgeAfter() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(max(hedgeFactor*s.latency, hedgeDelay), maxHedgeDelay)
}

// recordLatency records how long a call took that got a definitive answer.
func (s *relayStore) recordLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency += time.Duration(latencyWeight * float64(d-s.latency))
}

// maxRelays is the maximum number of peers tried for one call.
const maxRelays = 2

// healthy reports whether the last direct call got a definitive answer.
func (s *relayStore) healthy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lastSuccess.IsZero() && !s.lastFailure.After(s.lastSuccess)
}

// recordResult records whether a direct call got a definitive answer. It ignores a
// call that its caller has cancelled.
func (s *relayStore) recordResult(ctx context.Context, err error) {
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return // cancelled by the caller, not a store failure
	}
	if err != nil && !definitive(err) {
		s.recordFailure(err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastFailure.After(s.lastSuccess) {
		s.host.log.Info("store answers again")
	}
	s.lastSuccess, s.failures = s.host.clock.Now(), 0
}

// recordFailure records a failure of the direct path: a call without a definitive
// answer, or one that a peer answered first.
func (s *relayStore) recordFailure(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lastFailure.After(s.lastSuccess) {
		s.host.log.Info("store does not answer", "err", reason)
	}
	s.lastFailure = s.host.clock.Now()
	s.failures++
}

// definitive reports whether err is the store's answer to the request itself, so
// that a peer would get the same answer.
func definitive(err error) bool {
	var gone *ports.GoneError
	reason := ports.ReasonOf(err)
	return errors.As(err, &gone) || reason != "" && reason != ports.RefusedBusy && reason != ports.RefusedOther
}

// skipDirect reports whether the direct path is in backoff.
func (s *relayStore) skipDirect() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	pause := min(directBackoff<<min(max(s.failures-1, 0), 8), maxDirectBackoff) // the shift is limited to prevent an overflow
	return s.lastFailure.After(s.lastSuccess) && s.host.clock.Now().Sub(s.lastFailure) < pause
}

// storeCall is a call to the store on one path.
type storeCall[T any] func(context.Context) (T, error)

// callResult is the result of a call on one path.
type callResult[T any] struct {
	v      T
	err    error
	direct bool
}

// final reports whether the store has answered, so that no other path is needed.
func (r callResult[T]) final() bool { return r.err == nil || definitive(r.err) }

// hedgedCall calls the store directly and through peers until one call gets a
// definitive answer. The next path is tried when a call fails and, if hedge is not
// zero, whenever hedge has passed without an answer, so that neither a dead connection
// nor a lost answer delays the call until its deadline. Calls through peers may lose
// their answers as well, so each path is tried twice.
//
// A direct path in backoff is skipped, but only while a peer can relay: after a
// store outage that affects all hosts, the direct path is the first to recover.
func hedgedCall[T any](ctx context.Context, s *relayStore, hedge time.Duration, direct storeCall[T], relay func(context.Context, string) (T, error)) (v T, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var paths []func() callResult[T]
	viaStore := func() callResult[T] { return measured(ctx, s, hedge, direct) }
	peers := s.host.storePeers(maxRelays)
	skipDirect := len(peers) > 0 && s.skipDirect()
	if !skipDirect {
		paths = append(paths, viaStore)
	}
	for _, addr := range peers {
		paths = append(paths, func() callResult[T] { return relayed(ctx, s.relayTimeout(), addr, relay) })
	}
	mustAnswer := len(paths) // the second round is made only while no answer comes
	if hedge > 0 {
		paths = append(paths, paths...)
	}
	r := firstFinal(ctx, s.host.log, paths, mustAnswer, hedge)
	if r.final() && !r.direct && !skipDirect {
		s.recordFailure("the call relayed by a peer was answered first")
	}
	return r.v, r.err
}

// errPathPanicked is the error of a call on a path that has panicked.
var errPathPanicked = fault.New(fault.Internal, fault.Unknown, "the call to the store has failed on this host")

// firstFinal runs the paths, each in the background, until one returns a final result.
// It begins with the first, and with the next one when a result is not final, up to
// mustAnswer paths, or when hedge, if not zero, has passed before ctx is done. If no
// result is final, it returns one whose outcome is unknown, or the last.
func firstFinal[T any](ctx context.Context, log logr.Logger, paths []func() callResult[T], mustAnswer int, hedge time.Duration) (failed callResult[T]) {
	results := make(chan callResult[T], len(paths))
	begun, running := 0, 0
	begin := func() {
		path := paths[begun]
		begun++
		running++
		go func() {
			r := callResult[T]{err: errPathPanicked}
			guard.Run(log, "call to the store", func() { r = path() })
			results <- r
		}()
	}
	var tick <-chan time.Time
	if hedge > 0 {
		t := time.NewTicker(hedge)
		defer t.Stop()
		tick = t.C
	}
	for begin(); running > 0; {
		select {
		case r := <-results:
			running--
			if r.final() {
				return r
			}
			if failed.err == nil || fault.OutcomeOf(failed.err) != fault.Unknown {
				failed = r
			}
			if begun < mustAnswer {
				begin()
			}
		case <-tick:
			if begun < len(paths) && ctx.Err() == nil {
				begin()
			}
		}
	}
	return failed
}

// measured makes a direct call and records its result and, unless it is a long poll,
// its latency.
func measured[T any](ctx context.Context, s *relayStore, hedge time.Duration, direct storeCall[T]) callResult[T] {
	sent := s.host.clock.Now()
	v, err := direct(ctx)
	r := callResult[T]{v: v, err: err, direct: true}
	if hedge > 0 && r.final() {
		s.recordLatency(s.host.clock.Now().Sub(sent))
	}
	s.recordResult(ctx, err)
	return r
}

// relayed makes a call through a peer. It ends after timeout or when ctx is cancelled,
// but not at the deadline of ctx.
func relayed[T any](ctx context.Context, timeout time.Duration, addr string, relay func(context.Context, string) (T, error)) callResult[T] {
	rctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})
	defer stop()
	v, err := relay(rctx, addr)
	return callResult[T]{v: v, err: err}
}

// relayTimeout returns the timeout of a call through one peer.
func (s *relayStore) relayTimeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(max(relayTimeoutFactor*s.latency, relayTimeout), maxRelayTimeout)
}

// The timeout of a call through one peer is relayTimeout, or longer while the store is
// slow.
const (
	relayTimeout       = 700 * time.Millisecond
	maxRelayTimeout    = 2500 * time.Millisecond // the store refuses an append that would have to wait longer than 2 s
	relayTimeoutFactor = 4                       // latencies
)

// Append adds records; see ports.Store.
func (s *relayStore) Append(ctx context.Context, r ports.AppendRequest) (int64, error) {
	return hedgedCall(ctx, s, s.hedgeAfter(),
		func(ctx context.Context) (int64, error) { return s.direct.Append(ctx, r) },
		func(ctx context.Context, addr string) (int64, error) {
			a, err := frame.Call(ctx, s.host.pool, addr, appendMethod, r)
			if err == nil && a.Reason != "" {
				return 0, &ports.RefusedError{Reason: a.Reason, Status: a.Status}
			}
			return a.Offset, err
		})
}

// Read returns records; see ports.Store.
func (s *relayStore) Read(ctx context.Context, r ports.ReadRequest) (ports.Page, error) {
	hedge := s.hedgeAfter()
	if r.Wait > 0 || r.Large {
		hedge = 0 // the store may delay its answer, or several copies would share one link
	}
	viaPeer := r
	viaPeer.Wait = 0 // a wait may exceed relayTimeout
	return hedgedCall(ctx, s, hedge,
		func(ctx context.Context) (ports.Page, error) { return s.direct.Read(ctx, r) },
		func(ctx context.Context, addr string) (ports.Page, error) {
			a, err := frame.Call(ctx, s.host.pool, addr, readMethod, viaPeer)
			return a.Page, a.toError(err)
		})
}

// Newest returns the newest record of each key; see ports.Store.
func (s *relayStore) Newest(ctx context.Context, topic, after string) (ports.Newest, error) {
	return hedgedCall(ctx, s, 0,
		func(ctx context.Context) (ports.Newest, error) { return s.direct.Newest(ctx, topic, after) },
		func(ctx context.Context, addr string) (ports.Newest, error) {
			a, err := frame.Call(ctx, s.host.pool, addr, newestMethod, newestMsg{Topic: topic, After: after})
			return ports.Newest{Records: a.Page.Records, End: a.Page.End, More: a.More}, a.toError(err)
		})
}

// toError returns err, or the store error that the answer holds.
func (a readAnswer) toError(err error) error {
	switch {
	case err != nil:
		return err
	case a.Gone:
		return &ports.GoneError{First: a.Page.First}
	case a.Reason != "":
		return &ports.RefusedError{Reason: a.Reason, Status: a.Status}
	}
	return nil
}

// serveAppend relays a peer's append to the store.
func (h *Host) serveAppend(ctx context.Context, r ports.AppendRequest) (a appendAnswer, err error) {
	offset, err := h.store.direct.Append(ctx, r)
	h.store.recordResult(ctx, err)
	var refused *ports.RefusedError
	if errors.As(err, &refused) {
		return appendAnswer{Reason: refused.Reason, Status: refused.Status}, nil
	}
	return appendAnswer{Offset: offset}, err
}

// serveRead relays a peer's read to the store.
func (h *Host) serveRead(ctx context.Context, r ports.ReadRequest) (readAnswer, error) {
	p, err := h.store.direct.Read(ctx, r)
	h.store.recordResult(ctx, err)
	return toReadAnswer(p, "", err)
}

// serveNewest relays a peer's read of the newest records to the store.
func (h *Host) serveNewest(ctx context.Context, m newestMsg) (readAnswer, error) {
	n, err := h.store.direct.Newest(ctx, m.Topic, m.After)
	h.store.recordResult(ctx, err)
	return toReadAnswer(ports.Page{Records: n.Records, End: n.End}, n.More, err)
}

// toReadAnswer encodes the result of a read for a peer.
func toReadAnswer(p ports.Page, more string, err error) (readAnswer, error) {
	var gone *ports.GoneError
	var refused *ports.RefusedError
	switch {
	case errors.As(err, &gone):
		return readAnswer{Gone: true, Page: ports.Page{First: gone.First}}, nil
	case errors.As(err, &refused):
		return readAnswer{Reason: refused.Reason, Status: refused.Status}, nil
	}
	return readAnswer{Page: p, More: more}, err
}
