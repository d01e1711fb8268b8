package gate

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/frame"
	"lagooncourse/internal/base/polls"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/fakes"
	"lagooncourse/internal/plat/ports"
)

// TestRegistrationIsRepeated guards against a host that new hosts do not find: an earlier
// process at its address deleted its own registration, or wrote it, and the store carried
// that out after this host had registered.
func TestRegistrationIsRepeated(t *testing.T) {
	store := fakes.NewStore(1).For("a")
	h := hostWithoutListeners(store)
	h.cfg.HostTopic, h.hostsLoaded = "hosts", make(chan struct{})
	registered := func() bool {
		all, _, err := ports.ReadNewest(t.Context(), store, "hosts", time.Second)
		assert.NilError(t, err)
		for _, r := range all {
			e, err := frame.Decode[hostEntry](r.Value)
			if r.Key == h.addr && err == nil && e.CPUMillis == h.cfg.CPUMillis {
				return true
			}
		}
		return false
	}
	go h.hostsLoop(t.Context())
	polls.Until(t, 5*time.Second, "the host is registered", registered)
	old, err := frame.Encode(hostEntry{CPUMillis: 1})
	assert.NilError(t, err)
	for _, late := range [][]byte{nil, old} {
		_, err := store.Append(t.Context(), ports.AppendRequest{Topic: "hosts", Records: []ports.Record{{Key: h.addr, Value: late}}})
		assert.NilError(t, err)
		polls.Until(t, 2*hostsPollInterval, "the host is registered again", registered)
	}
}

// TestNewestPolicyIsPassed guards against an owner that keeps an older policy until the next
// change: two readers of the configuration passed theirs on in the opposite order.
func TestNewestPolicyIsPassed(t *testing.T) {
	h := hostWithoutListeners(fakes.NewStore(1).For("a"))
	var mu sync.Mutex
	var owner sched.Policy
	set := func(v sched.Policy) {
		runtime.Gosched()
		mu.Lock()
		defer mu.Unlock()
		owner = v
	}
	for round := range 2_000 {
		var g sync.WaitGroup
		for i := range 4 {
			g.Go(func() {
				h.config.mu.Lock()
				h.config.closedAzs = map[string]bool{fmt.Sprint(round, i): true}
				h.config.mu.Unlock()
				h.passPolicy(set)
			})
		}
		g.Wait()
		assert.DeepEqual(t, owner.ClosedAzs, h.config.policy().ClosedAzs)
	}
}

// TestLateHandoverIsIgnored guards against a host that takes ownership back from its
// successor: it had been asked to claim while it was the owner already.
func TestLateHandoverIsIgnored(t *testing.T) {
	h := hostWithoutListeners(fakes.NewStore(1).For("a"))
	h.claimRequested = true
	h.tryClaim(t.Context())
	o := h.localOwner
	assert.Assert(t, o != nil)
	_, err := h.servePing(t.Context(), ping{Addr: "b", Claim: true})
	assert.NilError(t, err)
	_, err = h.servePing(t.Context(), ping{Addr: "b", Epoch: h.owner.epoch + 1, Owner: "b"})
	assert.NilError(t, err)
	<-o.Done()
	polls.Until(t, time.Second, "the host knows that it does not own the jobs", func() bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.localOwner == nil
	})
	assert.Assert(t, !h.shouldClaimNow())
}
