package gate

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/node/lead"
	"lagooncourse/internal/plat/fakes"
	"lagooncourse/internal/plat/ports"
)

// TestStalledOwnerHoldsNoConfigurationUp guards against a host that reads no further
// configuration since its stalled owner does not take the policy.
func TestStalledOwnerHoldsNoConfigurationUp(t *testing.T) {
	store := fakes.NewStore(1).For("a")
	_, err := store.Append(t.Context(), ports.AppendRequest{Topic: "workers", Records: []ports.Record{{Key: "w1", Value: []byte("x")}}})
	assert.NilError(t, err)
	h := hostWithoutListeners(store)
	hang, hung := make(chan struct{}), make(chan struct{})
	defer close(hang)
	o := lead.Start(lead.Config{
		Claim: sched.Claim{Epoch: 1, Host: "a", Addr: "a"}, JobTopic: "jobs", State: sched.NewState(), Store: store, WorkerTopic: "workers",
		ParseWorker: func(string, []byte) (w sched.WorkerInfo, err error) {
			close(hung)
			<-hang // with the mutex of the owner held
			return w, nil
		},
		WorkerID: func(key string) string { return key }, Clock: h.clock, Logger: logr.Discard(),
	})
	<-hung
	o.Stop("stalled")
	h.localOwner = o // stays set, since its loops never end
	done := make(chan struct{})
	go func() {
		h.policyChanged() // as applyConfig does
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(3 * time.Second):
		t.Fatal("the reader of the configuration hangs")
	}
}
