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

// callOwner sends a request to the owner of a group. If that is this host, it calls
// local, otherwise the peer's method m.
func callOwner[Req, Resp any](
	ctx context.Context, h *Host, name string, m frame.Method[Req, Resp], req Req,
	local func(*owner.Group, context.Context, Req) (Resp, error),
) (resp Resp, err error) {
	defer fault.Annotate(&err, "group %q", name)
	if g := h.ownedGroup(name); g != nil {
		return local(g, ctx, req)
	}
	o, ok := h.table.Owner(name)
	if !ok || o.Host == h.settings.Host.ID {
		return resp, fault.New(fault.NotOwner, fault.NotRun, "no owner is known").WithRetryAfter(1)
	}
	return frame.Call(ctx, h.peerConns, o.Addr, m, req)
}

// ownedGroup returns the group if this host owns it, or nil.
func (h *Host) ownedGroup(name string) *owner.Group {
	h.mu.Lock()
	lg := h.groups[name]
	h.mu.Unlock()
	if lg == nil || lg.g.Epoch() == 0 {
		return nil
	}
	return lg.g
}

// Reserve implements owner.Remote.
func (r *remote) Reserve(ctx context.Context, msg wire.ReserveMsg) (wire.ReserveAnswer, error) {
	return callOwner(ctx, r.h, msg.Group, wire.Reserve, msg, (*owner.Group).Reserve)
}

// Start implements owner.Remote.
func (r *remote) Start(ctx context.Context, msg wire.StartMsg) (wire.StartAnswer, error) {
	return callOwner(ctx, r.h, msg.Group, wire.Start, msg, (*owner.Group).Start)
}

// Stop implements owner.Remote.
func (r *remote) Stop(ctx context.Context, msg wire.StopMsg) error {
	_, err := callOwner(ctx, r.h, msg.Group, wire.Stop, msg, stopLocal)
	return err
}

func stopLocal(g *owner.Group, ctx context.Context, msg wire.StopMsg) (wire.Empty, error) {
	return wire.Empty{}, g.Stop(ctx, msg)
}

// AttemptStatus implements owner.Remote.
func (r *remote) AttemptStatus(ctx context.Context, msg wire.AttemptStatusMsg) (wire.AttemptStatusAnswer, error) {
	return callOwner(ctx, r.h, msg.Group, wire.AttemptStatus, msg, (*owner.Group).AttemptStatus)
}

// Report implements owner.Remote.
func (r *remote) Report(ctx context.Context, msg wire.ReportMsg) (wire.ReportAnswer, error) {
	return callOwner(ctx, r.h, msg.Group, wire.Report, msg, (*owner.Group).Report)
}

// Unwanted implements owner.Remote.
func (r *remote) Unwanted(ctx context.Context, msg wire.UnwantedMsg) (wire.UnwantedAnswer, error) {
	return callOwner(ctx, r.h, msg.Group, wire.Unwanted, msg, (*owner.Group).Unwanted)
}

// Groups returns the descriptions of the groups that live hosts own.
func (r *remote) Groups() []wire.GroupInfo {
	var groups []wire.GroupInfo
	for _, m := range r.h.table.Live(r.h.clock.Now()) {
		groups = append(groups, m.Groups...)
	}
	return groups
}

// MayClaim implements owner.Remote. It records the owner and epoch of the newest claim
// that the group has read from its stream, and reports whether the group has no owner
// that other hosts must wait for.
func (r *remote) MayClaim(name string, epoch uint64, owner group.Owner) bool {
	now := r.h.clock.Now()
	r.h.table.RecordClaim(name, peers.Owner{Host: owner.Host, Addr: owner.Addr, Epoch: epoch}, now)
	return !r.h.hasOwner(name, r.h.eligibleHosts(now), now)
}

// Retries of requests while a group has no owner.
const (
	ownerRetryInterval = 100 * time.Millisecond
	maxOwnerWait       = 8 * time.Second // maximum time that a request waits for an owner
)

// retryUntilOwner retries fn while it fails because the group has no reachable owner,
// for up to maxOwnerWait. It does not retry if fn may have had an effect.
func retryUntilOwner[T any](ctx context.Context, fn func(context.Context) (T, error)) (v T, err error) {
	ctx, cancel := context.WithTimeout(ctx, maxOwnerWait)
	defer cancel()
	for {
		v, err = fn(ctx)
		if err == nil || fault.OutcomeOf(err) != fault.NotRun || !ownerUnreachable(err) {
			return v, err
		}
		select {
		case <-time.After(ownerRetryInterval):
		case <-ctx.Done():
			return v, err
		}
	}
}

// ownerUnreachable reports whether err may mean that the owner could not be reached.
func ownerUnreachable(err error) bool {
	return fault.HasCode(err, fault.NotOwner) || fault.HasCode(err, fault.Unavailable)
}

// registerHandlers registers the methods that peers call.
func (h *Host) registerHandlers() {
	s := h.peerServer
	frame.Handle(s, wire.Gossip, func(_ context.Context, m wire.GossipMsg) (wire.GossipMsg, error) {
		return h.table.Merge(m, h.clock.Now()), nil
	})
	frame.Handle(s, wire.ReadConfig, func(ctx context.Context, m wire.ReadConfigMsg) (wire.ReadConfigAnswer, error) {
		return h.follower.serveRecords(ctx, m)
	})
	handleOwned(h, wire.Submit, func(m wire.SubmitMsg) string { return m.Group }, submitLocal)
	handleOwned(h, wire.Status, func(m wire.StatusMsg) string { return groupOfJob(m.Job) }, (*owner.Group).Status)
	handleOwned(h, wire.Cancel, func(m wire.CancelMsg) string { return groupOfJob(m.Job) }, cancelLocal)
	handleOwned(h, wire.Settle, func(m wire.SettleMsg) string { return groupOfJob(m.Ref.Job) }, (*owner.Group).Settle)
	handleOwned(h, wire.List, func(m wire.ListMsg) string { return m.Group }, (*owner.Group).List)
	handleOwned(h, wire.Reserve, func(m wire.ReserveMsg) string { return m.Group }, (*owner.Group).Reserve)
	handleOwned(h, wire.Start, func(m wire.StartMsg) string { return m.Group }, (*owner.Group).Start)
	handleOwned(h, wire.Stop, func(m wire.StopMsg) string { return m.Group }, stopLocal)
	handleOwned(h, wire.AttemptStatus, func(m wire.AttemptStatusMsg) string { return m.Group }, (*owner.Group).AttemptStatus)
	handleOwned(h, wire.Report, func(m wire.ReportMsg) string { return m.Group }, (*owner.Group).Report)
	handleOwned(h, wire.Unwanted, func(m wire.UnwantedMsg) string { return m.Group }, (*owner.Group).Unwanted)
	handleOwned(h, wire.CallOnce, func(m wire.CallMsg) string { return m.Group }, h.onceLocal)
	// Serve needs no owner: calls continue while the log is unavailable.
	frame.Handle(s, wire.Serve, h.serveLocal)
}

// handleOwned registers a handler for requests to a group. The handler calls fn with
// the group that groupName returns, or fails with NotOwner if this host does not own
// the group.
func handleOwned[Req, Resp any](
	h *Host, m frame.Method[Req, Resp], groupName func(Req) string,
	fn func(*owner.Group, context.Context, Req) (Resp, error),
) {
	frame.Handle(h.peerServer, m, func(ctx context.Context, req Req) (resp Resp, err error) {
		defer h.trackRequest()()
		g := h.ownedGroup(groupName(req))
		if g == nil {
			return resp, fault.New(fault.NotOwner, fault.NotRun, "host %q does not own group %q", h.settings.Host.ID, groupName(req))
		}
		return fn(g, ctx, req)
	})
}

// trackRequest counts a request as in flight and returns the function that ends it.
func (h *Host) trackRequest() func() {
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

func submitLocal(g *owner.Group, ctx context.Context, m wire.SubmitMsg) (jobs.Job, error) {
	return g.Submit(ctx, m.Spec)
}

func cancelLocal(g *owner.Group, ctx context.Context, m wire.CancelMsg) (jobs.Job, error) {
	return g.Cancel(ctx, m.Job)
}

func (h *Host) onceLocal(g *owner.Group, ctx context.Context, m wire.CallMsg) (wire.CallAnswer, error) {
	return g.CallOnce(ctx, m, dispatcher{h.router})
}

// dispatcher sends calls through the router as not idempotent, so that the router
// retries a call only if the previous attempt certainly did not run.
type dispatcher struct{ r *route.Router }

var _ owner.Dispatcher = dispatcher{}

// Dispatch implements owner.Dispatcher.
func (d dispatcher) Dispatch(ctx context.Context, msg wire.CallMsg) (wire.CallAnswer, error) {
	msg.Idempotent = false
	return d.r.Call(ctx, msg)
}

// servedPools returns the load of the pools that this host serves: those of the groups
// for which it is the first live host in the order of preference.
func (h *Host) servedPools() []wire.PoolLoad {
	live := h.table.Live(h.clock.Now())
	h.mu.Lock()
	pools := make([]*route.Pool, 0, len(h.pools))
	for _, p := range h.pools {
		pools = append(pools, p)
	}
	h.mu.Unlock()
	var list []wire.PoolLoad
	for _, p := range pools {
		load := p.Load()
		if order := peers.PreferenceOrder(load.Group, load.Az, live); len(order) > 0 && order[0].ID == h.settings.Host.ID {
			list = append(list, load)
		}
	}
	return list
}

// Pools implements route.Forwarder. It returns the pools that live hosts report.
func (h *Host) Pools() []wire.PoolLoad {
	var list []wire.PoolLoad
	for _, m := range h.table.Live(h.clock.Now()) {
		list = append(list, m.Pools...)
	}
	return list
}

// Serve implements route.Forwarder. It sends the call to the first live host, by id,
// that reports that it serves the pool.
func (h *Host) Serve(ctx context.Context, msg wire.CallMsg) (wire.CallAnswer, error) {
	for _, m := range h.table.Live(h.clock.Now()) {
		for _, p := range m.Pools {
			if p.Group != msg.Group || p.Service != msg.Service {
				continue
			}
			if m.ID == h.settings.Host.ID {
				return h.serveLocal(ctx, msg)
			}
			return frame.Call(ctx, h.peerConns, m.Addr, wire.Serve, msg)
		}
	}
	return wire.CallAnswer{}, fault.New(fault.Unavailable, fault.NotRun, "no host serves group %q", msg.Group)
}

// serveLocal sends a call to a target of the pool, whether or not this host is the one
// that should serve it.
func (h *Host) serveLocal(ctx context.Context, msg wire.CallMsg) (wire.CallAnswer, error) {
	defer h.trackRequest()()
	h.mu.Lock()
	p := h.pools[poolKey{group: msg.Group, service: msg.Service}]
	h.mu.Unlock()
	if p == nil {
		return wire.CallAnswer{}, fault.New(fault.Unavailable, fault.NotRun, "host %q has no targets of group %q", h.settings.Host.ID, msg.Group)
	}
	return p.Serve(ctx, msg)
}
