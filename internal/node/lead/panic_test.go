package lead

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/clock"
	"lagooncourse/internal/base/polls"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/ports"
)

// panicking panics in the middle of a plan, which asks it whether a host is free.
type panicking struct{ recorder }

func (*panicking) Available() bool { panic("as requested") }

// TestPanicEndsOwnership guards against a panic in the planner that ends the process, or
// leaves its mutex locked: the owner gives up, its callers get an answer, and the process
// can own the jobs again.
func TestPanicEndsOwnership(t *testing.T) {
	store := &lateRegistry{}
	o := startOwner(t, ownerConfig(sched.NewState(), store, &panicking{recorder{starts: make(chan ports.StartOrder, 10), advice: make(chan string, 10)}}, clock.System{}))
	done := submit(o, testJob("00000000000000aa"))
	for what, ch := range map[string]<-chan struct{}{"the loops end": o.Done()} {
		select {
		case <-ch:
		case <-time.After(pollTimeout):
			t.Fatal(what)
		}
	}
	select {
	case <-done: // stored or not, by what came first
	case <-time.After(pollTimeout):
		t.Fatal("a caller gets no answer")
	}
	assert.Assert(t, o.mu.TryLock(), "the mutex is locked")
	o.mu.Unlock()
}

// TestPanickingDecoder guards against a registry entry whose decoding panics: it costs only
// this entry, not the ownership.
func TestPanickingDecoder(t *testing.T) {
	store := &grownRegistry{}
	cfg := ownerConfig(sched.NewState(), store, &recorder{starts: make(chan ports.StartOrder, 10), advice: make(chan string, 10)}, clock.System{})
	parse := cfg.ParseWorker
	cfg.ParseWorker = func(key string, value []byte) (sched.WorkerInfo, error) {
		if strings.HasPrefix(string(value), "odd") {
			panic("as requested")
		}
		return parse(key, value)
	}
	o := startOwner(t, cfg)
	store.put("odd", oddEntry)
	store.put("w2", []byte("x"))
	polls.Until(t, pollTimeout, "the worker after the odd entry is known", func() bool {
		_, known := o.worker("w2")
		return known
	})
	assert.NilError(t, o.ctx.Err())
}
