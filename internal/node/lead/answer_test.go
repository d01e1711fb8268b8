package lead

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/clock"
	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/polls"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/fakes"
	"lagooncourse/internal/plat/ports"
)

// newRecorder returns a recorder for tests that place few tasks.
func newRecorder() *recorder {
	return &recorder{starts: make(chan ports.StartOrder, 100), advice: make(chan string, 100)}
}

// newSharedStore returns a store for several owners, whose registry has one worker.
func newSharedStore() *fakes.Store {
	store := fakes.NewStore(1)
	store.Put("workers", "w1", []byte("x"))
	return store
}

// claim appends a claim record, which ends the ownership of all lower epochs.
func claim(t *testing.T, store ports.Store, epoch int64) {
	t.Helper()
	key, value, err := sched.ClaimRecord(sched.Claim{Epoch: epoch, Host: "new", Addr: "new"})
	assert.NilError(t, err)
	_, err = store.Append(t.Context(), ports.AppendRequest{Topic: "jobs", Writer: JobTopicWriter, Epoch: epoch, Records: []ports.Record{{Key: key, Value: value}}})
	assert.NilError(t, err)
}

// TestReplacedOwnerDeniesNoAcceptedJob replaces an owner that is cut off from the store,
// or that was suspended, and asks it for a job that its successor has accepted.
func TestReplacedOwnerDeniesNoAcceptedJob(t *testing.T) {
	const id = "00000000000000aa"
	const timeout = 2 * time.Second // of a request; less than a client allows after an acceptance
	for name, cutOff := range map[string]fakes.StoreFaults{
		"refused":   {Away: map[string]bool{"old": true}},
		"silent":    {Away: map[string]bool{"old": true}, Silent: true},
		"suspended": {},
	} {
		t.Run(name, func(t *testing.T) {
			store := newSharedStore()
			old := startOwnerInEpoch(t, 1, store.For("old"), newRecorder(), clock.System{})
			store.SetFaults(cutOff)
			claim(t, store.For("new"), 2)
			current := startOwnerInEpoch(t, 2, store.For("new"), newRecorder(), clock.System{})
			assert.NilError(t, current.Submit(t.Context(), testJob(id)))
			ask := func(when string) {
				t.Helper()
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				_, err := old.Status(ctx, id)
				assert.Check(t, err != nil && !fault.HasCode(err, fault.NotFound), "%s, status: %v", when, err)
				assert.Check(t, fault.OutcomeOf(err) == fault.NotRun, "%s, status: %v", when, err)
				err = old.Cancel(ctx, id)
				assert.Check(t, err != nil && !fault.HasCode(err, fault.NotFound), "%s, cancel: %v", when, err)
			}
			ask("while cut off")
			ask("while cut off for longer")
			store.SetFaults(fakes.StoreFaults{})
			ask("in contact again")
			<-old.Done()
			ask("replaced")
			_, err := current.Status(t.Context(), id)
			assert.NilError(t, err)
		})
	}
}

// TestRefusedAppendConfirmsNoDenial guards against a replaced owner that denies a job of its
// successor: its store refuses what the owner appends for good, without looking at the epoch.
// That confirms no ownership.
func TestRefusedAppendConfirmsNoDenial(t *testing.T) {
	store := &pickyStore{gatedStore: gatedStore{results: make(chan error)}}
	o := startTestOwner(t, store, newRecorder())
	polls.Until(t, pollTimeout, "an idle append", func() bool { return store.appends.Load() == 1 })
	const bad = "00000000000000bb"
	store.setRefuse(bad)
	refused := submit(o, testJob(bad))
	denied := make(chan error, 1)
	go func() {
		_, err := o.Status(context.Background(), "00000000000000aa")
		denied <- err
	}()
	polls.Until(t, pollTimeout, "both requests wait", func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return len(o.submissions) == 1 && len(o.confirmations) == 1
	})
	store.results <- nil
	assert.Assert(t, fault.HasCode(<-refused, fault.TooLarge))
	polls.Until(t, pollTimeout, "the second append", func() bool { return store.appends.Load() == 2 })
	assert.Equal(t, len(denied), 0, "denied before an append that was sent after the request")
	store.results <- nil
	assert.Assert(t, fault.HasCode(<-denied, fault.NotFound))
}

// TestDenialsShareAnAppend asks for many unknown jobs, and cancels them, while an append is
// under way. All states are denied once the next append is confirmed, which holds one claim
// record, and all cancellations once the denials are stored by the append after it.
func TestDenialsShareAnAppend(t *testing.T) {
	store := &gatedStore{results: make(chan error)}
	o := startTestOwner(t, store, newRecorder())
	polls.Until(t, pollTimeout, "an idle append", func() bool { return store.appends.Load() == 1 })
	const n = 10
	denied, cancelled := make(chan error, n), make(chan error, n)
	for i := range n {
		id := fmt.Sprintf("%016x", i)
		go func() {
			_, err := o.Status(context.Background(), id)
			denied <- err
		}()
		go func() { cancelled <- o.Cancel(context.Background(), id) }()
	}
	time.Sleep(100 * time.Millisecond)
	store.results <- nil
	polls.Until(t, pollTimeout, "the second append", func() bool { return store.appends.Load() == 2 })
	assert.Equal(t, len(denied)+len(cancelled), 0, "denied before an append that was sent after the request")
	store.results <- nil
	for range n {
		assert.Assert(t, fault.HasCode(<-denied, fault.NotFound))
	}
	polls.Until(t, pollTimeout, "the third append", func() bool { return store.appends.Load() == 3 })
	assert.Equal(t, len(cancelled), 0, "denied before the denial was stored")
	store.results <- nil
	feed := func() { // a cancellation that was not queued yet is stored by the fourth append
		select {
		case store.results <- nil:
		default:
		}
	}
	polls.Until(t, pollTimeout, "all cancellations are denied", func() bool { feed(); return len(cancelled) == n })
	for range n {
		assert.Assert(t, fault.HasCode(<-cancelled, fault.NotFound))
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	assert.Assert(t, store.appends.Load() <= 4+1, "%d appends", store.appends.Load()) // one may be idle
	claims, denials := 0, map[string]int{}
	for _, key := range store.keys {
		if key == "o" {
			claims++
		} else {
			denials[key]++
		}
	}
	assert.Assert(t, claims <= 3, "%q", store.keys)
	for i := range n {
		assert.Equal(t, denials[fmt.Sprintf("p%016x", i)], 1, "%q", store.keys)
	}
	assert.Equal(t, len(denials), n, "%q", store.keys)
}

// TestDeniedCancelKeepsJobOut guards against a job that starts after its cancellation was
// answered with "no such job": its submission, or a copy, arrives later, perhaps at the next
// owner.
func TestDeniedCancelKeepsJobOut(t *testing.T) {
	const id, other = "00000000000000aa", "00000000000000bb"
	store := newSharedStore()
	r := newRecorder()
	first := startOwnerInEpoch(t, 1, store.For("first"), r, clock.System{})
	err := first.Cancel(t.Context(), id)
	assert.Assert(t, fault.HasCode(err, fault.NotFound), "%v", err)
	refused := func(o *Owner) {
		t.Helper()
		err := o.Submit(t.Context(), testJob(id))
		assert.Check(t, fault.HasCode(err, fault.Conflict) && fault.OutcomeOf(err) == fault.NotRun, "%v", err)
		_, err = o.Status(t.Context(), id)
		assert.Check(t, fault.HasCode(err, fault.NotFound), "%v", err)
	}
	refused(first)

	state := sched.NewState()
	all, _, err := ports.ReadNewest(t.Context(), store.For("next"), "jobs", time.Second)
	assert.NilError(t, err)
	for _, record := range all {
		assert.NilError(t, state.Apply(record.Key, record.Value))
	}
	claim(t, store.For("next"), 2)
	cfg := ownerConfig(state, store.For("next"), r, clock.System{})
	cfg.Claim.Epoch = 2
	next := startOwner(t, cfg)
	refused(next)
	assert.NilError(t, next.Submit(t.Context(), testJob(other)))
	start := <-r.starts
	assert.Equal(t, start.Task, other+".0.0.0")
}

// TestDenialsBoundTheAppendRate asks for unknown jobs all the time.
func TestDenialsBoundTheAppendRate(t *testing.T) {
	store := &gatedStore{results: make(chan error)}
	o := startTestOwner(t, store, newRecorder())
	go func() {
		for {
			select {
			case store.results <- nil:
			case <-o.Done():
				return
			}
		}
	}()
	const n = 40
	before, start := store.appends.Load(), time.Now()
	for i := range n {
		_, err := o.Status(t.Context(), fmt.Sprintf("%016x", i))
		assert.Assert(t, fault.HasCode(err, fault.NotFound), "%v", err)
	}
	took, appends := time.Since(start), time.Duration(store.appends.Load()-before)
	assert.Assert(t, appends <= took/confirmDelay+took/idleAppendInterval+2, "%d appends in %v", appends, took)
}

// TestDenialDuringOutage asks for an unknown job while the store does not answer. The
// request must be refused as not run, without waiting once the outage is known.
func TestDenialDuringOutage(t *testing.T) {
	store := newSharedStore()
	o := startTestOwner(t, store.For("o"), newRecorder())
	store.SetFaults(fakes.StoreFaults{Down: true, Silent: true})
	for range 2 {
		for _, ask := range []func() error{
			func() error {
				_, err := o.Status(context.Background(), "00000000000000aa")
				return err
			},
			func() error { return o.Cancel(context.Background(), "00000000000000aa") },
		} {
			e := fault.From(ask())
			assert.Equal(t, e.Code, fault.Unavailable)
			assert.Equal(t, e.Outcome, fault.NotRun)
			assert.Assert(t, e.RetryAfter > 0)
		}
	}
}

// TestKnownJobsAreAnsweredFromMemory asks for a known job while the store does not
// answer, at first and after a suspension.
func TestKnownJobsAreAnsweredFromMemory(t *testing.T) {
	store := &gatedStore{results: make(chan error)}
	c := &suspendedClock{}
	o := startOwnerWithClock(t, store, newRecorder(), c)
	const id = "00000000000000aa"
	accepted := submit(o, testJob(id))
	store.results <- nil
	assert.NilError(t, <-accepted)
	check := func() {
		t.Helper()
		_, err := o.Status(context.Background(), id)
		assert.NilError(t, err)
		n, err := o.Pending(context.Background(), sched.Queue{Name: "q"})
		assert.NilError(t, err)
		assert.Equal(t, n, 1)
	}
	check()
	appends := store.appends.Load()
	for range 100 {
		check()
	}
	assert.Assert(t, store.appends.Load() <= appends+1, "a request has caused an append")
	c.suspended.Store(int64(maxConfirmAgeMs * time.Millisecond))
	check()
}

func TestDecideRead(t *testing.T) {
	const recent, old = 100 * time.Millisecond, maxConfirmAgeMs * time.Millisecond
	for _, tc := range []struct {
		a         answer
		age       time.Duration
		storeAway bool
		want      readAction
	}{
		{answerEnded, old, true, readNow},
		{answerOpen, recent, false, readNow},
		{answerOpen, old - 1, true, readNow},
		{answerOpen, old, false, readAfterWait},
		{answerOpen, old, true, readAfterWait},
		{answerCount, recent, true, readNow},
		{answerCount, maxCountAge, false, readAfterWait},
		{answerDenial, 0, false, readWhenConfirm},
		{answerDenial, recent, true, readRefuse},
	} {
		assert.Equal(t, decideRead(tc.a, tc.age, tc.storeAway), tc.want, "%+v", tc)
	}
}

// TestReplacedOwnerReportsNoOldState suspends an owner, replaces it and lets the job end
// at its successor.
func TestReplacedOwnerReportsNoOldState(t *testing.T) {
	const id = "00000000000000aa"
	store := newSharedStore()
	c := &suspendedClock{}
	old := startOwnerWithClock(t, store.For("old"), newRecorder(), c)
	assert.NilError(t, old.Submit(t.Context(), testJob(id)))
	claim(t, store.For("new"), 2)
	c.suspended.Store(int64(maxConfirmAgeMs * time.Millisecond))
	s, err := old.Status(t.Context(), id)
	assert.Assert(t, fault.HasCode(err, fault.NotOwner), "%q, %v", s, err)
	n, err := old.Pending(t.Context(), sched.Queue{Name: "q"})
	assert.Assert(t, fault.HasCode(err, fault.NotOwner), "%d, %v", n, err)
}
