package owner

import (
	"context"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/group"
	"lagooncourse/internal/node/wire"
)

// This file runs calls that must run at most once. The intent is durable
// before the call is sent, by the one host that may send it. A successor that
// finds an intent without an outcome answers Unknown and sends nothing.

// Dispatcher sends a call to a target. It sends it at most once.
type Dispatcher interface {
	Dispatch(ctx context.Context, msg wire.CallMsg) (wire.CallAnswer, error)
}

// flight is a call that this host has under way.
type flight struct {
	done   chan struct{} // closed when answer and err are set
	answer wire.CallAnswer
	err    error
}

// Once runs the call, unless a call with its id has been run before, whose
// answer it then returns.
func (g *Group) Once(ctx context.Context, msg wire.CallMsg, d Dispatcher) (a wire.CallAnswer, err error) {
	defer fault.Note(&err, "call %q of service %q", msg.ID, msg.Service)
	f, call, err := g.enter(msg)
	if err != nil {
		return a, err
	}
	if call == nil {
		return wait(ctx, f)
	}
	f.answer, f.err = g.runOnce(ctx, msg, *call, d)
	close(f.done)
	return f.answer, f.err
}

// land ends a flight, once a repetition finds the outcome in the state.
func (g *Group) land(call group.Call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.flights, call.Key())
}

// enter decides what to do with a call. It returns the flight to wait for, or
// a new flight with the record to write, or an error when the call must not be
// sent.
func (g *Group) enter(msg wire.CallMsg) (*flight, *group.Call, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.epoch == 0 {
		return nil, nil, notOwner(g.cfg.Name)
	}
	key := group.SubKey(msg.Team, msg.ID)
	if f := g.flights[key]; f != nil {
		return f, nil, nil
	}
	if old, ok := g.state.Calls[key]; ok {
		f := &flight{done: make(chan struct{})}
		f.answer, f.err = repeated(old)
		close(f.done)
		return f, nil, nil
	}
	if g.closing {
		return nil, nil, notOwner(g.cfg.Name)
	}
	f := &flight{done: make(chan struct{})}
	g.flights[key] = f
	return f, &group.Call{Team: msg.Team, ID: msg.ID, Epoch: g.epoch, AtMs: g.nowMs()}, nil
}

// repeated answers a call whose id has been recorded before.
func repeated(old group.Call) (wire.CallAnswer, error) {
	switch {
	case old.Ran == fault.Done && !old.Dropped:
		return wire.CallAnswer{Status: old.Status, Body: old.Answer, Ran: fault.Done}, nil
	case old.Ran == fault.Done:
		return wire.CallAnswer{}, fault.New(fault.Conflict, fault.Done, "the call has run; its answer was too long to keep")
	}
	return wire.CallAnswer{}, fault.New(fault.Timeout, fault.Unknown, "the call was sent before and its outcome is not known; it is not sent again")
}

func wait(ctx context.Context, f *flight) (wire.CallAnswer, error) {
	select {
	case <-f.done:
		return f.answer, f.err
	case <-ctx.Done():
		return wire.CallAnswer{}, fault.New(fault.Timeout, fault.Unknown, "the call is still under way")
	}
}

// runOnce records the intent, sends the call and records the outcome.
func (g *Group) runOnce(ctx context.Context, msg wire.CallMsg, call group.Call, d Dispatcher) (wire.CallAnswer, error) {
	if err := g.commit(ctx, group.Record{Call: &call}); err != nil {
		// Nothing has been sent, and nothing will be: at worst the intent
		// becomes durable later and keeps the id from being used.
		g.land(call)
		e := *fault.From(err)
		e.Ran = fault.NotRun
		return wire.CallAnswer{}, &e
	}
	a, err := d.Dispatch(ctx, msg)
	end := call.WithOutcome(fault.RanOf(err), a.Status, a.Body)
	g.mu.Lock()
	perr := g.propose(proposal{
		records: []group.Record{{Call: &end}}, done: func(error) { g.land(call) },
	})
	g.mu.Unlock()
	if perr != nil {
		g.land(call)
	}
	return a, err
}
