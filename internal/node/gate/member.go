package gate

import (
	"context"
	"errors"
	"sort"
	"time"

	"lagooncourse/internal/base/clock"
	"lagooncourse/internal/base/frame"
	"lagooncourse/internal/plat/ports"
)

// Timing of the roster.
const (
	rosterEvery   = 2 * time.Second
	rosterFirst   = 200 * time.Millisecond
	rosterTimeout = time.Second
)

// rosterLoop registers this host in the store and learns of the others.
func (h *Host) rosterLoop(ctx context.Context) {
	next, registered, known := int64(-1), false, false
	for ctx.Err() == nil {
		if !registered {
			registered = h.enlist(ctx) == nil
		}
		n, err := h.readRoster(ctx, next)
		next = n
		if err == nil && !known {
			known = true
			close(h.rostered)
		}
		pause := rosterEvery
		if err != nil || !registered {
			pause = rosterFirst
		}
		clock.Sleep(ctx, pause)
	}
}

// rosterEntry is what a host writes about itself.
type rosterEntry struct {
	Az    string
	Power int64 // millicores
}

// enlist writes this host's entry.
func (h *Host) enlist(ctx context.Context) error {
	value, err := frame.Encode(rosterEntry{Az: h.cfg.Az, Power: h.cfg.Power})
	if err != nil {
		h.log.Error(err, "roster entry not encoded")
		return err
	}
	return h.register(ctx, value)
}

// register writes this host's entry; without a value it removes it.
func (h *Host) register(ctx context.Context, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	_, err := h.store.Append(ctx, ports.AppendRequest{
		Topic: h.cfg.HostTopic, Records: []ports.Record{{Key: h.addr, Value: value}},
	})
	return err
}

// readRoster reads the entries of the hosts.
func (h *Host) readRoster(ctx context.Context, next int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	var records []ports.Record
	if next >= 0 {
		page, err := h.store.Read(ctx, ports.ReadRequest{Topic: h.cfg.HostTopic, From: next})
		var gone *ports.GoneError
		if err != nil && !errors.As(err, &gone) {
			return next, err
		}
		if err == nil {
			records = page.Records
			next += int64(len(records))
		} else {
			next = -1
		}
	}
	if next < 0 {
		all, end, err := ports.ReadNewest(ctx, h.store, h.cfg.HostTopic)
		if err != nil {
			return -1, err
		}
		records, next = all, end
	}
	h.takeRoster(records)
	return next, nil
}

// takeRoster adds and removes peers.
func (h *Host) takeRoster(records []ports.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range records {
		switch {
		case r.Key == "" || r.Key == h.addr:
		case len(r.Value) == 0:
			delete(h.peers, r.Key)
		case h.peers[r.Key] == nil:
			e, err := frame.Decode[rosterEntry](r.Value)
			if err != nil {
				h.log.Info("roster entry ignored", "peer", r.Key, "err", err.Error())
				continue
			}
			h.peers[r.Key] = &peer{addr: r.Key, az: e.Az, power: e.Power}
		}
	}
}

// pingLoop exchanges heartbeats: with the owner if one is known, otherwise
// with all peers.
func (h *Host) pingLoop(ctx context.Context) {
	round := 0
	for ctx.Err() == nil {
		for _, addr := range h.pingAddrs(round) {
			go h.ping(ctx, addr)
		}
		round++
		clock.Sleep(ctx, pingEvery)
	}
}

// pingAllEvery is every how many rounds all peers are asked, so that each host
// knows who lives before it has to.
const pingAllEvery = 5

// pingSilentEvery is every how many rounds hosts are asked that have been silent
// for long: about every five seconds.
const pingSilentEvery = 25

// pingAddrs returns whom to ask in a round.
func (h *Host) pingAddrs(round int) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	silent := h.clock.Now().Sub(h.own.heard)
	if h.lead == nil && h.own.addr != "" && h.own.addr != h.addr && silent < suspectAfter/2 && round%pingAllEvery != 0 {
		return []string{h.own.addr}
	}
	if h.lead != nil && round%pingAllEvery != 0 {
		return nil
	}
	var list []string
	now := h.clock.Now()
	for addr, p := range h.peers {
		if p.heard.IsZero() || now.Sub(p.heard) < forgetPeer || round%pingSilentEvery == 0 {
			list = append(list, addr)
		}
	}
	return list
}

// self returns this host's heartbeat.
func (h *Host) self() ping {
	site := h.site.offset()
	storeOK := h.store.ok()
	h.mu.Lock()
	defer h.mu.Unlock()
	p := ping{
		Addr: h.addr, Az: h.cfg.Az, Leaving: h.leaving, Epoch: h.own.epoch, Owner: h.own.addr,
		OwnerAgeMs: h.clock.Now().Sub(h.own.heard).Milliseconds(), SiteNext: site, StoreOK: storeOK, Power: h.cfg.Power,
	}
	if h.lead != nil {
		p.OwnerAgeMs = 0
	}
	return p
}

// ping asks one peer.
func (h *Host) ping(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	a, err := frame.Call(ctx, h.pool, addr, pingMethod, h.self())
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			h.pool.Drop(addr) // the connection may have gone silent
		}
		return
	}
	h.hear(ctx, a)
}

// servePing answers a peer.
func (h *Host) servePing(ctx context.Context, p ping) (ping, error) {
	h.hear(context.WithoutCancel(ctx), p)
	if p.Claim {
		h.mu.Lock()
		h.invited = true
		h.mu.Unlock()
	}
	return h.self(), nil
}

// hear takes a peer's heartbeat.
func (h *Host) hear(ctx context.Context, a ping) {
	now := h.clock.Now()
	h.mu.Lock()
	p := h.peers[a.Addr]
	if p == nil {
		p = &peer{addr: a.Addr, az: a.Az}
		h.peers[a.Addr] = p
	}
	p.power, p.heard, p.leaving, p.owner, p.storeOK = a.Power, now, a.Leaving, a.Owner, a.StoreOK
	p.heardBy = time.Duration(a.OwnerAgeMs) * time.Millisecond
	if a.Epoch > h.own.epoch && a.Owner != "" {
		h.setOwner(a.Epoch, a.Owner, now.Add(-p.heardBy))
	}
	if a.Epoch == h.own.epoch && a.Owner == a.Addr && a.OwnerAgeMs == 0 {
		h.own.heard, h.met = now, true
	}
	h.mu.Unlock()
	if a.SiteNext > h.site.offset() {
		go h.catchUp(ctx, a.Addr)
	}
}

// setOwner takes note of a later ownership, whose holder was heard at the given
// time. The caller holds the lock.
func (h *Host) setOwner(epoch int64, addr string, heard time.Time) {
	h.own = ownership{epoch: epoch, addr: addr, heard: heard}
	if h.lead != nil && addr != h.addr {
		h.lead.Stop("a peer has claimed a later epoch")
	}
	h.ownerChanged()
	h.log.Info("owner", "epoch", epoch, "addr", addr)
}

// ownerChanged wakes the requests that wait for an owner. The caller holds the
// lock.
func (h *Host) ownerChanged() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// peerList returns a copy of the peers. The caller holds the lock.
func (h *Host) peerList() []peer {
	list := make([]peer, 0, len(h.peers))
	for _, p := range h.peers {
		list = append(list, *p)
	}
	return list
}

// storePeers returns peers that can relay a call to the store, the likeliest
// first.
func (h *Host) storePeers(n int) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	var list []*peer
	for _, p := range h.peers {
		if p.storeOK && now.Sub(p.heard) < recentPeer {
			list = append(list, p)
		}
	}
	sort.Slice(list, func(a, b int) bool {
		near := list[a].az == h.cfg.Az
		if near != (list[b].az == h.cfg.Az) {
			return near
		}
		return list[a].heard.After(list[b].heard)
	})
	var addrs []string
	for _, p := range list {
		if len(addrs) < n {
			addrs = append(addrs, p.addr)
		}
	}
	return addrs
}

// adviseAddrs returns the hosts through which advice can be asked, this one
// last.
func (h *Host) adviseAddrs() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	var list []string
	for addr, p := range h.peers {
		if !p.leaving && now.Sub(p.heard) < recentPeer {
			list = append(list, addr)
		}
	}
	sort.Strings(list)
	return append(list, h.addr)
}
