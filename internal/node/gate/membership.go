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

// Intervals and timeouts of the host registry.
const (
	hostsPollInterval  = 2 * time.Second
	hostsRetryInterval = 200 * time.Millisecond
	hostsTimeout       = time.Second
)

// hostsLoop registers this host in the store and polls the registrations of the
// other hosts. It registers this host again if the store shows another entry or none: a
// write of an earlier process at the same address may be carried out late.
func (h *Host) hostsLoop(ctx context.Context) {
	next, registered, loaded := int64(-1), false, false
	for ctx.Err() == nil {
		if !registered {
			registered = h.registerSelf(ctx) == nil
		}
		n, replaced, err := h.readHosts(ctx, next)
		next = n
		registered = registered && !replaced
		if err == nil && !loaded {
			loaded = true
			h.hostsLoadedOnce.Do(func() { close(h.hostsLoaded) }) // the loop may have been started again
		}
		pause := hostsPollInterval
		if err != nil || !registered {
			pause = hostsRetryInterval
		}
		clock.Sleep(ctx, pause)
	}
}

// hostEntry is the stored registration of a host.
type hostEntry struct {
	Az        string
	CPUMillis int64 // CPU limit in millicores
}

// registerSelf writes this host's registration, unless it is shutting down.
func (h *Host) registerSelf(ctx context.Context) error {
	h.mu.Lock()
	leaving := h.leaving
	h.mu.Unlock()
	if leaving {
		return nil
	}
	value, err := frame.Encode(h.ownEntry())
	if err != nil {
		h.log.Error(err, "failed to encode the host registration")
		return err
	}
	return h.writeHostEntry(ctx, value)
}

// ownEntry returns the registration of this host.
func (h *Host) ownEntry() hostEntry { return hostEntry{Az: h.cfg.Az, CPUMillis: h.cfg.CPUMillis} }

// writeHostEntry writes this host's registration. An empty value deletes it.
func (h *Host) writeHostEntry(ctx context.Context, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, hostsTimeout)
	defer cancel()
	_, err := h.store.Append(ctx, ports.AppendRequest{
		Topic: h.cfg.HostTopic, Records: []ports.Record{{Key: h.addr, Value: value}},
	})
	return err
}

// readHosts applies the registrations from the offset next on, or the newest one
// of each host if next is negative. It returns the next offset, and whether the newest
// registration of this host is not its own.
func (h *Host) readHosts(ctx context.Context, next int64) (int64, bool, error) {
	var records []ports.Record
	replaced := next < 0
	if next >= 0 {
		rctx, cancel := context.WithTimeout(ctx, hostsTimeout)
		page, err := h.store.Read(rctx, ports.ReadRequest{Topic: h.cfg.HostTopic, From: next})
		cancel()
		var gone *ports.GoneError
		if err != nil && !errors.As(err, &gone) {
			return next, false, err
		}
		if err == nil {
			records = page.Records
			next += int64(len(records))
		} else {
			next, replaced = -1, true
		}
	}
	if next < 0 {
		all, end, err := ports.ReadNewest(ctx, h.store, h.cfg.HostTopic, hostsTimeout)
		if err != nil {
			return -1, false, err
		}
		records, next = all, end
	}
	h.applyHosts(records)
	for _, r := range records {
		if r.Key == h.addr {
			e, err := frame.Decode[hostEntry](r.Value)
			replaced = err != nil || e != h.ownEntry()
		}
	}
	return next, replaced, nil
}

// applyHosts adds peers for new registrations and removes those whose registration
// was deleted. It does not update known peers.
func (h *Host) applyHosts(records []ports.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range records {
		switch {
		case r.Key == "" || r.Key == h.addr:
		case len(r.Value) == 0:
			delete(h.peers, r.Key)
		case h.peers[r.Key] == nil:
			e, err := frame.Decode[hostEntry](r.Value)
			if err != nil {
				h.log.Info("ignoring invalid host registration", "peer", r.Key, "err", err.Error())
				continue
			}
			h.peers[r.Key] = &peer{addr: r.Key, az: e.Az, cpuMillis: e.CPUMillis}
		}
	}
}

// pingLoop sends pings to peers.
func (h *Host) pingLoop(ctx context.Context) {
	round := 0
	for ctx.Err() == nil {
		for _, addr := range h.pingAddrs(round) {
			h.background("ping", func() { h.sendPing(ctx, addr) })
		}
		round++
		clock.Sleep(ctx, pingInterval)
	}
}

// pingAllRounds is the interval, in rounds, between pings to all peers. These pings
// keep the list of live peers up to date for a takeover.
const pingAllRounds = 5

// pingSilentRounds is the interval, in rounds, between pings to peers that have been
// silent for longer than silentPeerAge: 5 s.
const pingSilentRounds = 25

// pingAddrs returns the peers to ping in a round. The owner pings all peers every
// pingAllRounds rounds and none in between. Another host does the same, but pings
// the owner in between, and all peers in every round if it has had no recent contact
// with the owner. Peers that have been silent for silentPeerAge are pinged only
// every pingSilentRounds rounds.
func (h *Host) pingAddrs(round int) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	ownerSilence := h.clock.Now().Sub(h.owner.lastContact)
	if h.localOwner == nil && h.owner.addr != "" && h.owner.addr != h.addr && ownerSilence < suspectAfter/2 && round%pingAllRounds != 0 {
		return []string{h.owner.addr}
	}
	if h.localOwner != nil && round%pingAllRounds != 0 {
		return nil
	}
	var list []string
	now := h.clock.Now()
	for addr, p := range h.peers {
		if p.lastContact.IsZero() || now.Sub(p.lastContact) < silentPeerAge || round%pingSilentRounds == 0 {
			list = append(list, addr)
		}
	}
	return list
}

// newPing returns a ping with the state of this host.
func (h *Host) newPing() ping {
	configNext := h.config.offset()
	storeOK := h.store.healthy()
	h.mu.Lock()
	defer h.mu.Unlock()
	p := ping{
		Addr: h.addr, Az: h.cfg.Az, Leaving: h.leaving, Epoch: h.owner.epoch, Owner: h.owner.addr,
		OwnerAgeMs: h.clock.Now().Sub(h.owner.lastContact).Milliseconds(), ConfigNext: configNext, StoreOK: storeOK, CPUMillis: h.cfg.CPUMillis,
		ExactIDs: true,
	}
	if h.localOwner != nil {
		p.OwnerAgeMs = h.localOwner.Stalled().Milliseconds()
	}
	return p
}

// sendPing sends a ping to a peer and processes the answer.
func (h *Host) sendPing(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	a, err := frame.Call(ctx, h.pool, addr, pingMethod, h.newPing())
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			h.pool.CloseConn(addr) // the connection may be dead
		}
		return
	}
	h.processPing(a)
}

// servePing processes a peer's ping and answers with this host's.
func (h *Host) servePing(_ context.Context, msg ping) (ping, error) {
	h.processPing(msg)
	if msg.Claim {
		h.mu.Lock()
		h.claimRequested = h.localOwner == nil || h.owner.addr != h.addr
		h.mu.Unlock()
	}
	return h.newPing(), nil
}

// processPing updates the peer and the owner from a peer's ping or its answer.
func (h *Host) processPing(msg ping) {
	now := h.clock.Now()
	h.mu.Lock()
	p := h.peers[msg.Addr]
	if p == nil {
		p = &peer{addr: msg.Addr, az: msg.Az}
		h.peers[msg.Addr] = p
	}
	p.cpuMillis, p.lastContact, p.leaving, p.ownerAddr, p.storeOK = msg.CPUMillis, now, msg.Leaving, msg.Owner, msg.StoreOK
	p.ownerAge = time.Duration(msg.OwnerAgeMs) * time.Millisecond
	p.convertsIDs = !msg.ExactIDs
	if msg.Epoch > h.owner.epoch && msg.Owner != "" {
		h.setOwner(msg.Epoch, msg.Owner, now.Add(-p.ownerAge))
	}
	if msg.Epoch == h.owner.epoch && msg.Owner == msg.Addr && msg.OwnerAgeMs == 0 {
		h.owner.lastContact, h.ownerContacted = now, true
	}
	h.mu.Unlock()
	if h.config.beginFetch(msg.ConfigNext) {
		h.background("fetching the configuration", func() { h.fetchConfig(msg.Addr) })
	}
}

// setOwner records an owner with a higher epoch and the time of the last contact
// with it. It stops the owner on this host if another host is the new one. The
// caller holds h.mu.
func (h *Host) setOwner(epoch int64, addr string, lastContact time.Time) {
	h.owner = ownerInfo{epoch: epoch, addr: addr, lastContact: lastContact}
	if h.localOwner != nil && addr != h.addr {
		h.localOwner.Stop("a peer has claimed a higher epoch")
	}
	h.wakeOwnerWaiters()
	h.log.Info("owner", "epoch", epoch, "addr", addr)
}

// wakeOwnerWaiters wakes the requests that wait for an owner. The caller holds h.mu.
func (h *Host) wakeOwnerWaiters() {
	close(h.ownerCh)
	h.ownerCh = make(chan struct{})
}

// peerList returns a copy of the peers. The caller holds h.mu.
func (h *Host) peerList() []peer {
	list := make([]peer, 0, len(h.peers))
	for _, p := range h.peers {
		list = append(list, *p)
	}
	return list
}

// storePeers returns up to n peers that can relay a call to the store: those in
// this host's availability zone first, then those with the latest contact.
func (h *Host) storePeers(n int) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	var list []*peer
	for _, p := range h.peers {
		if p.storeOK && now.Sub(p.lastContact) < recentPeerAge {
			list = append(list, p)
		}
	}
	sort.Slice(list, func(a, b int) bool {
		sameAz := list[a].az == h.cfg.Az
		if sameAz != (list[b].az == h.cfg.Az) {
			return sameAz
		}
		return list[a].lastContact.After(list[b].lastContact)
	})
	var addrs []string
	for _, p := range list {
		if len(addrs) < n {
			addrs = append(addrs, p.addr)
		}
	}
	return addrs
}

// adviseAddrs returns the hosts that can send advice requests, this host last.
func (h *Host) adviseAddrs() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	var list []string
	for addr, p := range h.peers {
		if !p.leaving && now.Sub(p.lastContact) < recentPeerAge {
			list = append(list, addr)
		}
	}
	sort.Strings(list)
	return append(list, h.addr)
}
