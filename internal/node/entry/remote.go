package entry

import (
	"context"
	"time"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/frame"
	"lagooncourse/internal/cell/group"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/node/owner"
	"lagooncourse/internal/node/peers"
	"lagooncourse/internal/node/route"
	"lagooncourse/internal/node/wire"
)

// remote implements owner.Remote: it sends requests to the owners of groups, on this
// host or on others.
type remote struct{ h *Host }

var (
	_ owner.Remote    = (*remote)(nil)
	_ route.Forwarder = (*Host)(nil)
)

// toOwner sends a request to the owner of a group. If that is this host, it calls
// local, otherwise the peer's method m.
func toOwner[Req, Resp any](
	ctx context.Context, h *Host, name string, m frame.Method[Req, Resp], req Req,
	local func(*owner.Group, context.Context, Req) (Resp, error),
) (resp Resp, err error) {
	defer fault.Note(&err, "group %q", name)
	if g := h.owned(name); g != nil {
		return local(g, ctx, req)
	}
	o, ok := h.table.Owner(name)
	if !ok || o.Host == h.set.Host.ID {
		return resp, fault.New(fault.NotOwner, fault.NotRun, "no owner is known").WithRetryAfter(1)
	}
	return frame.Call(ctx, h.pool, o.Addr, m, req)
}

// owned returns the group if this host owns it, or nil.
func (h *Host) owned(name string) *owner.Group {
	h.mu.Lock()
	og := h.groups[name]
	h.mu.Unlock()
	if og == nil || og.g.Epoch() == 0 {
		return nil
	}
	return og.g
}

// Reserve implements owner.Remote.
func (r *remote) Reserve(ctx context.Context, msg wire.ReserveMsg) (wire.ReserveAnswer, error) {
	return toOwner(ctx, r.h, msg.Group, wire.Reserve, msg, (*owner.Group).Reserve)
}

// Start implements owner.Remote.
func (r *remote) Start(ctx context.Context, msg wire.StartMsg) (wire.StartAnswer, error) {
	return toOwner(ctx, r.h, msg.Group, wire.Start, msg, (*owner.Group).Start)
}

// Stop implements owner.Remote.
func (r *remote) Stop(ctx context.Context, msg wire.StopMsg) error {
	_, err := toOwner(ctx, r.h, msg.Group, wire.Stop, msg, stopAt)
	return err
}

func stopAt(g *owner.Group, ctx context.Context, msg wire.StopMsg) (wire.Empty, error) {
	return wire.Empty{}, g.Stop(ctx, msg)
}

// Where implements owner.Remote.
func (r *remote) Where(ctx context.Context, msg wire.WhereMsg) (wire.WhereAnswer, error) {
	return toOwner(ctx, r.h, msg.Group, wire.Where, msg, (*owner.Group).Where)
}

// Report implements owner.Remote.
func (r *remote) Report(ctx context.Context, msg wire.ReportMsg) (wire.ReportAnswer, error) {
	return toOwner(ctx, r.h, msg.Group, wire.Report, msg, (*owner.Group).Report)
}

// Duties returns the descriptions of the groups that live hosts own.
func (r *remote) Duties() []wire.Duty {
	var duties []wire.Duty
	for _, m := range r.h.table.Live(r.h.clock.Now()) {
		duties = append(duties, m.Groups...)
	}
	return duties
}

// MayClaim records the owner that was read from the log, and reports whether the
// group has no live owner that can write its stream.
func (r *remote) MayClaim(name string, epoch uint64, holder group.Holder) bool {
	now := r.h.clock.Now()
	r.h.table.Note(name, peers.Owner{Host: holder.Host, Addr: holder.Addr, Epoch: epoch}, now)
	return !r.h.held(name, r.h.eligible(now), now)
}

// Retries of requests while a group has no owner.
const (
	ownerRetry = 100 * time.Millisecond
	ownerWait  = 8 * time.Second // maximum time until the group has an owner
)

// withOwner retries fn while the group's owner cannot be reached, for up to
// ownerWait. It retries only if fn certainly had no effect.
func withOwner[T any](ctx context.Context, fn func(context.Context) (T, error)) (v T, err error) {
	ctx, cancel := context.WithTimeout(ctx, ownerWait)
	defer cancel()
	for {
		v, err = fn(ctx)
		if err == nil || fault.RanOf(err) != fault.NotRun || !noOwner(err) {
			return v, err
		}
		select {
		case <-time.After(ownerRetry):
		case <-ctx.Done():
			return v, err
		}
	}
}

// noOwner reports whether err means that the owner could not be reached.
func noOwner(err error) bool {
	return fault.Is(err, fault.NotOwner) || fault.Is(err, fault.Unavailable)
}

// handlers registers the methods that peers call.
func (h *Host) handlers() {
	s := h.frames
	frame.Handle(s, wire.Gossip, func(_ context.Context, m wire.GossipMsg) (wire.GossipMsg, error) {
		return h.table.Merge(m, h.clock.Now()), nil
	})
	frame.Handle(s, wire.Cell, func(ctx context.Context, m wire.CellMsg) (wire.CellAnswer, error) {
		return h.cell.serve(ctx, m)
	})
	handleOwned(h, wire.Submit, func(m wire.SubmitMsg) string { return m.Group }, submitAt)
	handleOwned(h, wire.Status, func(m wire.StatusMsg) string { return groupOfJob(m.Job) }, (*owner.Group).Status)
	handleOwned(h, wire.Cancel, func(m wire.CancelMsg) string { return groupOfJob(m.Job) }, cancelAt)
	handleOwned(h, wire.Settle, func(m wire.SettleMsg) string { return groupOfJob(m.Ref.Job) }, (*owner.Group).Settle)
	handleOwned(h, wire.List, func(m wire.ListMsg) string { return m.Group }, (*owner.Group).List)
	handleOwned(h, wire.Reserve, func(m wire.ReserveMsg) string { return m.Group }, (*owner.Group).Reserve)
	handleOwned(h, wire.Start, func(m wire.StartMsg) string { return m.Group }, (*owner.Group).Start)
	handleOwned(h, wire.Stop, func(m wire.StopMsg) string { return m.Group }, stopAt)
	handleOwned(h, wire.Where, func(m wire.WhereMsg) string { return m.Group }, (*owner.Group).Where)
	handleOwned(h, wire.Report, func(m wire.ReportMsg) string { return m.Group }, (*owner.Group).Report)
	handleOwned(h, wire.Once, func(m wire.CallMsg) string { return m.Group }, h.onceAt)
	frame.Handle(s, wire.Serve, h.serveLocal)
}

// handleOwned registers a handler that calls fn with the group that the request
// names. It returns NotOwner if this host does not own the group.
func handleOwned[Req, Resp any](
	h *Host, m frame.Method[Req, Resp], name func(Req) string,
	fn func(*owner.Group, context.Context, Req) (Resp, error),
) {
	frame.Handle(h.frames, m, func(ctx context.Context, req Req) (resp Resp, err error) {
		defer h.enter()()
		g := h.owned(name(req))
		if g == nil {
			return resp, fault.New(fault.NotOwner, fault.NotRun, "host %q does not own group %q", h.set.Host.ID, name(req))
		}
		return fn(g, ctx, req)
	})
}

// enter counts a request as in flight and returns the function that ends it.
func (h *Host) enter() func() {
	h.mu.Lock()
	h.inFlight++
	h.mu.Unlock()
	return func() {
		h.mu.Lock()
		h.inFlight--
		h.mu.Unlock()
	}
}

// groupOfJob returns the name of the group in the job's id.
func groupOfJob(id jobs.ID) string {
	name, _ := id.Group()
	return name
}

func submitAt(g *owner.Group, ctx context.Context, m wire.SubmitMsg) (jobs.Job, error) {
	return g.Submit(ctx, m.Spec)
}

func cancelAt(g *owner.Group, ctx context.Context, m wire.CancelMsg) (jobs.Job, error) {
	return g.Cancel(ctx, m.Job)
}

func (h *Host) onceAt(g *owner.Group, ctx context.Context, m wire.CallMsg) (wire.CallAnswer, error) {
	return g.Once(ctx, m, dispatcher{h.router})
}

// dispatcher sends calls that must run at most once through the router, which then
// retries only attempts that did not run.
type dispatcher struct{ r *route.Router }

var _ owner.Dispatcher = dispatcher{}

// Dispatch implements owner.Dispatcher.
func (d dispatcher) Dispatch(ctx context.Context, msg wire.CallMsg) (wire.CallAnswer, error) {
	msg.Idempotent = false
	return d.r.Call(ctx, msg)
}

// ownPools returns the pools that this host serves: those for which it is the most
// preferred live host.
func (h *Host) ownPools() []wire.Pool {
	live := h.table.Live(h.clock.Now())
	h.mu.Lock()
	pools := make([]*route.Pool, 0, len(h.pools))
	for _, p := range h.pools {
		pools = append(pools, p)
	}
	h.mu.Unlock()
	var list []wire.Pool
	for _, p := range pools {
		w := p.Load()
		if order := peers.Order(w.Group, w.Az, live); len(order) > 0 && order[0].ID == h.set.Host.ID {
			list = append(list, w)
		}
	}
	return list
}

// Pools implements route.Forwarder.
func (h *Host) Pools() []wire.Pool {
	var list []wire.Pool
	for _, m := range h.table.Live(h.clock.Now()) {
		list = append(list, m.Pools...)
	}
	return list
}

// Serve implements route.Forwarder. It sends the call to the host that serves the
// pool.
func (h *Host) Serve(ctx context.Context, msg wire.CallMsg) (wire.CallAnswer, error) {
	for _, m := range h.table.Live(h.clock.Now()) {
		for _, p := range m.Pools {
			if p.Group != msg.Group || p.Service != msg.Service {
				continue
			}
			if m.ID == h.set.Host.ID {
				return h.serveLocal(ctx, msg)
			}
			return frame.Call(ctx, h.pool, m.Addr, wire.Serve, msg)
		}
	}
	return wire.CallAnswer{}, fault.New(fault.Unavailable, fault.NotRun, "no host serves group %q", msg.Group)
}

// serveLocal sends a call to a target of one of this host's pools.
func (h *Host) serveLocal(ctx context.Context, msg wire.CallMsg) (wire.CallAnswer, error) {
	defer h.enter()()
	h.mu.Lock()
	p := h.pools[poolKey{group: msg.Group, service: msg.Service}]
	h.mu.Unlock()
	if p == nil {
		return wire.CallAnswer{}, fault.New(fault.Unavailable, fault.NotRun, "host %q has no targets of group %q", h.set.Host.ID, msg.Group)
	}
	return p.Serve(ctx, msg)
}
