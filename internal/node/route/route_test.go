package route

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lagooncourse/internal/base/clock"
	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/polls"
	"lagooncourse/internal/node/wire"
	"lagooncourse/internal/plat/hosts"
	"lagooncourse/internal/plat/target"
)

// fakeTarget is a target that counts calls and blocks them until release is closed.
type fakeTarget struct {
	mu      sync.Mutex
	busy    int
	maxBusy int
	calls   int
	err     error
	release chan struct{} // if nil, calls return immediately
}

func (f *fakeTarget) Call(ctx context.Context, req target.Request) (target.Answer, error) {
	f.mu.Lock()
	f.calls++
	f.busy++
	f.maxBusy = max(f.maxBusy, f.busy)
	err := f.err
	f.mu.Unlock()
	if f.release != nil {
		<-f.release
	}
	f.mu.Lock()
	f.busy--
	f.mu.Unlock()
	return target.Answer{Body: req.Body, Status: 200}, err
}

func (f *fakeTarget) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// testPool returns a pool of n targets with two slots each. If blocking is true, the
// targets block their calls.
func testPool(n int, blocking bool) (*Pool, []*fakeTarget, []hosts.Target, *clock.Manual) {
	fakes := make([]*fakeTarget, n)
	list := make([]hosts.Target, n)
	byID := map[string]*fakeTarget{}
	for i := range n {
		fakes[i] = &fakeTarget{}
		if blocking {
			fakes[i].release = make(chan struct{})
		}
		list[i] = hosts.Target{ID: fmt.Sprintf("t%d", i), Service: "s", Slots: 2, State: hosts.Live}
		byID[list[i].ID] = fakes[i]
	}
	c := clock.NewManual(time.Unix(0, 0))
	p := NewPool(PoolConfig{Group: "g", Service: "s", Clock: c, Dial: func(h hosts.Target) target.Target { return byID[h.ID] }})
	p.SetTargets(list)
	return p, fakes, list, c
}

// until waits until ok returns true and fails the test after 10 s.
func until(t *testing.T, ok func() bool) {
	t.Helper()
	polls.Until(t, 10*time.Second, "the expected state", ok)
}

// TestPoolSlots checks that a pool never sends more calls to a target than it has
// slots, that further calls are queued, and that calls beyond the queue limit are
// rejected.
func TestPoolSlots(t *testing.T) {
	p, fakes, _, _ := testPool(2, true)
	var wg sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[fault.Outcome]int{}
	const calls = 30
	for i := range calls {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := p.Serve(context.Background(), wire.CallMsg{ID: fmt.Sprint(i)})
			mu.Lock()
			defer mu.Unlock()
			outcomes[fault.OutcomeOf(err)]++
		}()
	}
	capacity := 4 + 4*maxQueuePerSlot
	until(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return outcomes[fault.NotRun] == calls-capacity
	})
	for _, f := range fakes {
		close(f.release)
	}
	wg.Wait()
	assert.Equal(t, outcomes[fault.Done], capacity)
	ran := 0
	for _, f := range fakes {
		assert.Assert(t, f.maxBusy <= 2, "a target with 2 slots had %d calls", f.maxBusy)
		ran += f.calls
	}
	assert.Equal(t, ran, capacity, "a rejected call ran")
	assert.Equal(t, p.Load().Busy, 0)
}

// TestQueuedCallCanceled checks that a queued call whose context ends does not run
// and leaves the queue.
func TestQueuedCallCanceled(t *testing.T) {
	p, fakes, _, _ := testPool(1, true)
	for range 2 {
		go func() { _, _ = p.Serve(context.Background(), wire.CallMsg{ID: "held"}) }()
	}
	until(t, func() bool { return fakes[0].callCount() == 2 })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := p.Serve(ctx, wire.CallMsg{ID: "waits"})
		done <- err
	}()
	until(t, func() bool { return p.Load().Queued == 1 })
	cancel()
	assert.Equal(t, fault.OutcomeOf(<-done), fault.NotRun)
	close(fakes[0].release)
	until(t, func() bool { return p.Load().Busy == 0 })
	assert.Equal(t, fakes[0].callCount(), 2)
}

// TestLeavingTarget checks that a leaving target gets no new calls, and that a pool
// without targets rejects calls.
func TestLeavingTarget(t *testing.T) {
	p, fakes, list, _ := testPool(2, false)
	list[0].State = hosts.Leaving
	p.SetTargets(list)
	for range 10 {
		_, err := p.Serve(context.Background(), wire.CallMsg{})
		assert.NilError(t, err)
	}
	assert.Equal(t, fakes[0].callCount(), 0)
	assert.Equal(t, fakes[1].callCount(), 10)
	assert.Equal(t, p.Load().Slots, 2)
	p.SetTargets(list[:0])
	_, err := p.Serve(context.Background(), wire.CallMsg{})
	assert.Equal(t, fault.OutcomeOf(err), fault.NotRun)
}

// TestEjection checks that a failing target is ejected and becomes available again, and
// that failures never eject all targets of a pool.
func TestEjection(t *testing.T) {
	p, fakes, _, c := testPool(3, false)
	for _, f := range fakes {
		f.err = fault.New(fault.BadResponse, fault.Unknown, "broken")
	}
	for range 30 {
		_, err := p.Serve(context.Background(), wire.CallMsg{})
		assert.Equal(t, fault.OutcomeOf(err), fault.Unknown)
	}
	assert.Equal(t, p.Load().Slots, 4, "only one of three targets may be ejected")
	c.Advance(ejectionTime)
	assert.Equal(t, p.Load().Slots, 6)
}

// fakeForwarder is a Forwarder that returns the next error of a list for each attempt.
type fakeForwarder struct {
	pools []wire.PoolLoad
	errs  []error
	sent  []wire.CallMsg
}

func (f *fakeForwarder) Pools() []wire.PoolLoad { return f.pools }

func (f *fakeForwarder) Serve(_ context.Context, msg wire.CallMsg) (wire.CallAnswer, error) {
	f.sent = append(f.sent, msg)
	if n := len(f.sent); n <= len(f.errs) && f.errs[n-1] != nil {
		return wire.CallAnswer{}, f.errs[n-1]
	}
	return wire.CallAnswer{Outcome: fault.Done}, nil
}

// TestRetries compares the number of attempts with a simple model in which a call is
// retried only where that is safe. Each attempt must have its own id, and the first
// retry must go to another pool.
func TestRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var errs []error
		for range rapid.IntRange(0, 6).Draw(t, "errors") {
			ran := rapid.SampledFrom([]fault.Outcome{fault.NotRun, fault.Unknown}).Draw(t, "ran")
			errs = append(errs, fault.New(fault.Unavailable, ran, "x"))
		}
		idempotent := rapid.Bool().Draw(t, "idempotent")
		s := &fakeForwarder{errs: errs}
		for _, g := range []string{"a", "b", "c"} {
			s.pools = append(s.pools, wire.PoolLoad{Group: g, Service: "s", Slots: 1})
		}
		r := NewRouter(RouterConfig{Forwarder: s, Rand: rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))})
		_, err := r.Call(context.Background(), wire.CallMsg{Service: "s", ID: "c", Idempotent: idempotent})
		want := 1
		for want < maxAttempts && want <= len(errs) && (idempotent || fault.OutcomeOf(errs[want-1]) == fault.NotRun) {
			want++
		}
		assert.Equal(t, len(s.sent), want)
		assert.Equal(t, err == nil, want > len(errs))
		ids := map[string]bool{}
		for _, m := range s.sent {
			assert.Assert(t, !ids[m.ID], "id %q was used twice", m.ID)
			ids[m.ID] = true
		}
		if len(s.sent) >= 2 {
			assert.Assert(t, s.sent[0].Group != s.sent[1].Group, "a retry went to the same pool")
		}
	})
}

// TestRetryBudget checks that the number of retries is limited by the budget.
func TestRetryBudget(t *testing.T) {
	s := &fakeForwarder{pools: []wire.PoolLoad{{Group: "a", Service: "s", Slots: 1}}}
	for range 10_000 {
		s.errs = append(s.errs, fault.New(fault.Unavailable, fault.NotRun, "down"))
	}
	r := NewRouter(RouterConfig{Forwarder: s, Rand: rand.New(rand.NewPCG(1, 1))})
	const calls = 1000
	for i := range calls {
		_, err := r.Call(context.Background(), wire.CallMsg{Service: "s", ID: fmt.Sprint(i)})
		assert.Equal(t, fault.OutcomeOf(err), fault.NotRun)
	}
	retries := r.Stats().Retries
	assert.Assert(t, retries <= maxBudget+calls*budgetPerCall, "%d retries", retries)
	assert.Assert(t, retries >= maxBudget)
}
