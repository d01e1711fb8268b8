package target_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/plat/fakes"
	"lagooncourse/internal/plat/hosts"
	"lagooncourse/internal/plat/target"
)

func start(t *testing.T, slots int) (*fakes.Execs, *target.Client) {
	t.Helper()
	e, err := fakes.StartExecs(fakes.ExecConfig{
		Addr: "127.0.0.1:0", WorkMs: 1, Targets: []hosts.Target{{ID: t.Name(), Service: "s", Slots: slots}},
	})
	assert.NilError(t, err)
	t.Cleanup(e.Close)
	return e, target.NewClient(target.ClientConfig{ID: t.Name(), URL: e.List()[0].URL})
}

// TestAnswers injects each fault of an executor's answer. The client must reject
// the faulty answer with outcome Unknown, and the next call must succeed.
func TestAnswers(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults fakes.ExecFaults
		code   fault.Code
	}{
		{"crossed", fakes.ExecFaults{Cross: true}, fault.BadResponse},
		{"cut", fakes.ExecFaults{Cut: true}, fault.BadResponse},
		{"corrupt", fakes.ExecFaults{Corrupt: true}, fault.BadResponse},
		{"hung up", fakes.ExecFaults{HangUp: true}, fault.Unavailable},
		{"late", fakes.ExecFaults{LateMs: 500}, fault.Timeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e, c := start(t, 4)
			call := func(id string) (target.Answer, error) {
				ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
				defer cancel()
				return c.Call(ctx, target.Request{ID: id, Service: "s", Body: []byte(id)})
			}
			_, err := call("before")
			assert.NilError(t, err)
			e.Set(tc.faults)
			a, err := call("x")
			assert.Assert(t, fault.HasCode(err, tc.code), "%v", err)
			assert.Equal(t, fault.OutcomeOf(err), fault.Unknown)
			assert.Equal(t, len(a.Body), 0)
			e.Set(fakes.ExecFaults{})
			a, err = call("after")
			assert.NilError(t, err)
			assert.Equal(t, string(a.Body), `{"number":3,"echo":"after"}`)
			assert.Equal(t, len(e.Executions()), 3)
		})
	}
}

// TestRefusals checks that a call has outcome NotRun if the executor has no free
// slot or does not listen.
func TestRefusals(t *testing.T) {
	e, c := start(t, 0)
	_, err := c.Call(context.Background(), target.Request{ID: "x", Service: "s"})
	assert.Equal(t, fault.OutcomeOf(err), fault.NotRun)
	assert.Equal(t, len(e.Executions()), 0)
	url := e.List()[0].URL
	e.Close()
	// Use a new client: the first one may write to its open connection before
	// it detects that the executor has closed it, and then correctly returns
	// Unknown.
	c = target.NewClient(target.ClientConfig{ID: t.Name(), URL: url})
	_, err = c.Call(context.Background(), target.Request{ID: "y", Service: "s"})
	assert.Equal(t, fault.OutcomeOf(err), fault.NotRun)
}
