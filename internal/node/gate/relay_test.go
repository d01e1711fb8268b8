package gate

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/clock"
	"lagooncourse/internal/base/fault"
)

// TestSilentStore checks that calls are relayed when the store answers the other
// hosts but not this one. Such a store delayed every second append of the owner by
// 700 ms.
func TestSilentStore(t *testing.T) {
	c := clock.NewManual(time.Unix(1000, 0))
	h := &Host{clock: c, log: logr.Discard(), peers: map[string]*peer{"b": {addr: "b", lastContact: c.Now(), storeOK: true}}}
	s := &relayStore{host: h}
	var directCalls atomic.Int32
	silent := func(ctx context.Context) (int, error) {
		directCalls.Add(1)
		<-ctx.Done()
		return 0, fault.New(fault.Timeout, fault.Unknown, "silent")
	}
	relay := func(context.Context, string) (int, error) { return 7, nil }
	call := func() time.Duration {
		ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
		defer cancel()
		startedAt := time.Now()
		v, err := hedgedCall(ctx, s, hedgeDelay, silent, relay)
		assert.NilError(t, err)
		assert.Equal(t, v, 7)
		return time.Since(startedAt)
	}
	assert.Assert(t, call() < 350*time.Millisecond, "half of the timeout")
	assert.Equal(t, directCalls.Load(), int32(1))
	call()
	assert.Equal(t, directCalls.Load(), int32(1), "the direct path is in backoff")
	for range 6 {
		c.Advance(directBackoff)
		h.peers["b"].lastContact = c.Now()
		call()
	}
	assert.Equal(t, directCalls.Load(), int32(3), "the backoff grows with each failure")
}

// TestOutageEnds checks that the direct path is used again as soon as an outage that
// affected all hosts ends. The backoff delayed this by up to 3.2 s.
func TestOutageEnds(t *testing.T) {
	c := clock.NewManual(time.Unix(1000, 0))
	h := &Host{clock: c, log: logr.Discard(), peers: map[string]*peer{"b": {addr: "b", lastContact: c.Now()}}}
	s := &relayStore{host: h}
	var down atomic.Bool
	down.Store(true)
	direct := func(context.Context) (int, error) {
		if down.Load() {
			return 0, fault.New(fault.Unavailable, fault.NotRun, "reset")
		}
		return 7, nil
	}
	relay := func(context.Context, string) (int, error) {
		return 0, fault.New(fault.Unavailable, fault.NotRun, "reset")
	}
	for range 8 {
		_, err := hedgedCall(t.Context(), s, hedgeDelay, direct, relay)
		assert.Assert(t, err != nil)
	}
	down.Store(false)
	v, err := hedgedCall(t.Context(), s, hedgeDelay, direct, relay)
	assert.NilError(t, err)
	assert.Equal(t, v, 7)
}

// TestSlowStore checks that the direct call's result is used when the store is
// equally slow for all hosts.
func TestSlowStore(t *testing.T) {
	c := clock.NewManual(time.Unix(1000, 0))
	h := &Host{clock: c, log: logr.Discard(), peers: map[string]*peer{"b": {addr: "b", lastContact: c.Now(), storeOK: true}}}
	s := &relayStore{host: h}
	slow := func(v int) func(context.Context) (int, error) {
		return func(context.Context) (int, error) {
			time.Sleep(2 * hedgeDelay)
			return v, nil
		}
	}
	v, err := hedgedCall(t.Context(), s, hedgeDelay, slow(1), func(ctx context.Context, _ string) (int, error) { return slow(2)(ctx) })
	assert.NilError(t, err)
	assert.Equal(t, v, 1)
	assert.Assert(t, s.healthy())
}

// serialStore is a store that processes appends one after another, like one partition
// of the platform's store, and counts them.
type serialStore struct {
	mu       sync.Mutex
	appendAt time.Duration // time of one append
	appends  atomic.Int32
}

func (s *serialStore) append(ctx context.Context) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appends.Add(1)
	time.Sleep(s.appendAt)
	return 1, ctx.Err()
}

// TestSlowStoreGetsNoCopies appends without a pause to a store that takes twice
// hedgeDelay for each append. A copy of each append would halve the rate. After the
// first appends, from which the latency is learned, each is sent once.
func TestSlowStoreGetsNoCopies(t *testing.T) {
	h := &Host{clock: clock.System{}, log: logr.Discard(), peers: map[string]*peer{"b": {addr: "b", storeOK: true}}}
	s := &relayStore{host: h}
	store := &serialStore{appendAt: 2 * hedgeDelay}
	call := func() {
		h.peers["b"].lastContact = time.Now()
		_, err := hedgedCall(t.Context(), s, s.hedgeAfter(), store.append,
			func(ctx context.Context, _ string) (int, error) { return store.append(ctx) })
		assert.NilError(t, err)
	}
	for range 3 {
		call()
	}
	time.Sleep(3 * store.appendAt) // the copies of the first appends have ended
	before := store.appends.Load()
	startedAt := time.Now()
	const appends = 5
	for range appends {
		call()
	}
	assert.Equal(t, store.appends.Load()-before, int32(appends))
	assert.Assert(t, time.Since(startedAt) < 3*appends*store.appendAt/2, "took %s", time.Since(startedAt))
}

// TestAnswersLostOnAllPaths makes the store lose the answers of most calls on both paths. The
// call must be tried again after hedgeDelay, not after the time-out of each path.
func TestAnswersLostOnAllPaths(t *testing.T) {
	h := &Host{clock: clock.System{}, log: logr.Discard(), peers: map[string]*peer{
		"b": {addr: "b", storeOK: true, lastContact: time.Now().Add(time.Hour)}, "c": {addr: "c", storeOK: true, lastContact: time.Now().Add(time.Hour)},
	}}
	for _, answered := range []int32{2, 3, 4, 6} { // the number of the first call that is answered
		s := &relayStore{host: h}
		var calls atomic.Int32
		call := func(ctx context.Context) (int, error) {
			if calls.Add(1) >= answered {
				return 7, nil
			}
			<-ctx.Done()
			return 0, fault.New(fault.Timeout, fault.Unknown, "lost")
		}
		ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
		startedAt := time.Now()
		v, err := hedgedCall(ctx, s, hedgeDelay, call, func(ctx context.Context, _ string) (int, error) { return call(ctx) })
		cancel()
		assert.NilError(t, err)
		assert.Equal(t, v, 7)
		limit := time.Duration(answered+1) * hedgeDelay // half of the first path's timeout at most
		assert.Assert(t, time.Since(startedAt) < limit, "took %s with %d lost answers", time.Since(startedAt), answered-1)
		assert.Equal(t, calls.Load(), answered)
	}
}

// TestUnknownOutcomeIsKept makes one path time out and the others refuse. The call may
// have been executed on the first, so its outcome must be unknown.
func TestUnknownOutcomeIsKept(t *testing.T) {
	h := &Host{clock: clock.System{}, log: logr.Discard(), peers: map[string]*peer{"b": {addr: "b", storeOK: true, lastContact: time.Now().Add(time.Hour)}}}
	s := &relayStore{host: h}
	ctx, cancel := context.WithTimeout(t.Context(), 3*hedgeDelay)
	defer cancel()
	_, err := hedgedCall(ctx, s, hedgeDelay, func(ctx context.Context) (int, error) {
		<-ctx.Done()
		return 0, fault.New(fault.Timeout, fault.Unknown, "lost")
	}, func(context.Context, string) (int, error) {
		return 0, fault.New(fault.Unavailable, fault.NotRun, "no connection")
	})
	assert.Equal(t, fault.OutcomeOf(err), fault.Unknown)
}

// TestSilentStoreEndsInTime makes every path silent. No path may be begun after the
// deadline of the call, so that the owner can start a new append.
func TestSilentStoreEndsInTime(t *testing.T) {
	h := &Host{clock: clock.System{}, log: logr.Discard(), peers: map[string]*peer{}}
	s := &relayStore{host: h}
	silent := func(ctx context.Context) (int, error) {
		<-ctx.Done()
		return 0, fault.New(fault.Timeout, fault.Unknown, "silent")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*hedgeDelay/2)
	defer cancel()
	var begun atomic.Int32
	paths := make([]func() callResult[int], 20)
	for i := range paths {
		paths[i] = func() callResult[int] {
			begun.Add(1)
			return measured(ctx, s, hedgeDelay, silent)
		}
	}
	r := firstFinal(ctx, logr.Discard(), paths, 1, hedgeDelay)
	assert.Equal(t, fault.OutcomeOf(r.err), fault.Unknown)
	assert.Assert(t, begun.Load() <= 3, "%d paths were begun", begun.Load())
}
