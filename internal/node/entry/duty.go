package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"lagooncourse/internal/node/peers"
)

// This file decides which groups this host should own.

// dutyLoop decides periodically which groups this host should own, and announces
// changes of the groups that it owns.
func (h *Host) dutyLoop(ctx context.Context) {
	owned := map[string]uint64{}
	tick(ctx, dutyEvery, func(ctx context.Context) {
		if now := h.epochs(); !maps.Equal(now, owned) {
			owned = now
			h.announce(ctx)
		}
		now := h.clock.Now()
		if now.Sub(h.started) < joinGrace {
			return
		}
		live := h.eligible(now)
		cutOff := h.cell.CutOff()
		for _, og := range h.ownGroups() {
			og.g.Want(h.wants(og, live, cutOff, now))
		}
	})
}

// epochs returns the epochs of the groups that this host owns, by group name.
func (h *Host) epochs() map[string]uint64 {
	epochs := map[string]uint64{}
	for _, og := range h.ownGroups() {
		if e := og.g.Epoch(); e > 0 {
			epochs[og.g.Name()] = e
		}
	}
	return epochs
}

// eligible returns the live hosts that may own groups: those whose last read of the
// end of the log is at most FreshFor older than that of any other live host.
func (h *Host) eligible(now time.Time) []peers.Peer {
	live := h.table.Live(now)
	best := time.Duration(1<<63 - 1)
	for _, m := range live {
		best = min(best, m.LogAge)
	}
	var list []peers.Peer
	for _, m := range live {
		if m.LogAge-best <= h.set.Timing.FreshFor {
			list = append(list, m)
		}
	}
	return list
}

// wants reports whether this host should own the group. The first host in the
// group's order of preference claims a group without a live owner at once. Each
// following host waits claimStagger longer, in case the hosts before it do not
// claim the group. An owner that is no longer first hands the group over after
// handOverAfter. Live must contain only eligible hosts.
func (h *Host) wants(og *ownedGroup, live []peers.Peer, cutOff bool, now time.Time) bool {
	rank := -1
	order := peers.Order(og.g.Name(), og.g.Az(), live)
	for i, m := range order {
		if m.ID == h.set.Host.ID {
			rank = i
		}
	}
	if rank < 0 || cutOff {
		return false
	}
	if og.g.Epoch() > 0 {
		og.noOwner = now // after a handover, the hosts before this one claim first
		if rank == 0 {
			og.away = now
		}
		return now.Sub(og.away) < handOverAfter
	}
	og.away = now
	if h.held(og.g.Name(), live, now) {
		og.noOwner = now
		return false
	}
	if og.noOwner.IsZero() {
		og.noOwner = now
	}
	return now.Sub(og.noOwner) >= time.Duration(rank)*claimStagger
}

// held reports whether the group has a live owner that can write the group's stream.
// An owner that is live but not eligible has lost its connection to the log. Other
// hosts may claim its groups without waiting for it to detect this.
func (h *Host) held(name string, eligible []peers.Peer, now time.Time) bool {
	if !h.table.Holds(name, now) {
		return false
	}
	o, _ := h.table.Owner(name)
	is := func(m peers.Peer) bool { return m.ID == o.Host }
	return slices.ContainsFunc(eligible, is) || !slices.ContainsFunc(h.table.Live(now), is)
}
