package owner

import (
	"context"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/group"
	"lagooncourse/internal/node/wire"
)

// This file runs service calls that must run at most once. Only the group's owner
// sends a call, after it has recorded the intent durably. A later owner that finds
// an intent without an outcome returns Unknown and does not send the call again.

// Dispatcher sends a call to a target, at most once.
type Dispatcher interface {
	Dispatch(ctx context.Context, msg wire.CallMsg) (wire.CallAnswer, error)
}

// inflightCall is a call in progress on this host.
type inflightCall struct {
	done   chan struct{} // closed after answer and err are set
	answer wire.CallAnswer
	err    error
}

// CallOnce runs the call, or returns the answer of an earlier call with the same id.
func (g *Group) CallOnce(ctx context.Context, msg wire.CallMsg, d Dispatcher) (a wire.CallAnswer, err error) {
	defer fault.Annotate(&err, "call %q of service %q", msg.ID, msg.Service)
	ic, call, err := g.admitCall(msg)
	if err != nil {
		return a, err
	}
	if call == nil {
		return awaitCall(ctx, ic)
	}
	ic.answer, ic.err = g.runOnce(ctx, msg, *call, d)
	close(ic.done)
	return ic.answer, ic.err
}

// removeCall removes a call from the calls in progress. It is called only once the
// outcome has been recorded or recording it has failed, so that until then a
// repeated call finds the call in progress.
func (g *Group) removeCall(call group.Call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.inflight, call.Key())
}

// admitCall returns the earlier call with the same id, if any, and a nil record.
// Otherwise it returns a new call and the intent to record. It fails if the call
// must not be sent.
func (g *Group) admitCall(msg wire.CallMsg) (*inflightCall, *group.Call, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epoch == 0 {
		return nil, nil, notOwner(g.cfg.Name)
	}
	key := group.RequestKey(msg.Team, msg.ID)
	if ic := g.inflight[key]; ic != nil {
		return ic, nil, nil
	}
	if old, ok := g.state.Calls[key]; ok {
		ic := &inflightCall{done: make(chan struct{})}
		ic.answer, ic.err = recordedAnswer(old)
		close(ic.done)
		return ic, nil, nil
	}
	if g.releasing {
		return nil, nil, notOwner(g.cfg.Name)
	}
	ic := &inflightCall{done: make(chan struct{})}
	g.inflight[key] = ic
	return ic, &group.Call{Team: msg.Team, ID: msg.ID, Epoch: g.epoch, AtMs: g.nowMs()}, nil
}

// recordedAnswer returns the answer to a call whose id is already recorded.
func recordedAnswer(old group.Call) (wire.CallAnswer, error) {
	switch {
	case old.Outcome == fault.Done && !old.Dropped:
		return wire.CallAnswer{Status: old.Status, Body: old.Answer, Outcome: fault.Done}, nil
	case old.Outcome == fault.Done:
		return wire.CallAnswer{}, fault.New(fault.Conflict, fault.Done, "the call has run; its answer was too long to store")
	}
	return wire.CallAnswer{}, fault.New(fault.Timeout, fault.Unknown, "the call was sent before and its outcome is unknown; it is not sent again")
}

// awaitCall waits for the answer of a call in progress.
func awaitCall(ctx context.Context, ic *inflightCall) (wire.CallAnswer, error) {
	select {
	case <-ic.done:
		return ic.answer, ic.err
	case <-ctx.Done():
		return wire.CallAnswer{}, fault.New(fault.Timeout, fault.Unknown, "the call is still in progress")
	}
}

// runOnce records the intent, sends the call and proposes the record of the
// outcome.
func (g *Group) runOnce(ctx context.Context, msg wire.CallMsg, call group.Call, d Dispatcher) (wire.CallAnswer, error) {
	if err := g.commit(ctx, group.Record{Call: &call}); err != nil {
		// The call has not been sent and will not be. If the intent becomes
		// durable later, a repeated call gets the outcome Unknown.
		g.removeCall(call)
		e := *fault.From(err)
		e.Outcome = fault.NotRun
		return wire.CallAnswer{}, &e
	}
	a, err := d.Dispatch(ctx, msg)
	end := call.WithOutcome(fault.OutcomeOf(err), a.Status, a.Body)
	g.mu.Lock()
	proposeErr := g.propose(proposal{
		records: []group.Record{{Call: &end}}, done: func(error) { g.removeCall(call) },
	})
	g.mu.Unlock()
	if proposeErr != nil {
		g.removeCall(call)
	}
	return a, err
}
