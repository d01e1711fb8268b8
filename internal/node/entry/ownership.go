package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"lagooncourse/internal/node/peers"
)

// This file decides which groups this host should own.

// ownershipLoop decides periodically which groups this host should own, and announces
// changes of the groups that it owns.
func (h *Host) ownershipLoop(ctx context.Context) {
	announced := map[string]uint64{}
	runEvery(ctx, ownershipInterval, func(ctx context.Context) {
		if epochs := h.ownedEpochs(); !maps.Equal(epochs, announced) {
			announced = epochs
			h.announce(ctx)
		}
		now := h.clock.Now()
		if now.Sub(h.started) < claimDelay {
			return
		}
		eligible := h.eligibleHosts(now)
		logUnreachable := h.follower.LogUnreachable()
		for _, lg := range h.allGroups() {
			lg.g.SetWanted(h.shouldOwn(lg, eligible, logUnreachable, now))
		}
	})
}

// ownedEpochs returns the epochs of the groups that this host owns, by group name.
func (h *Host) ownedEpochs() map[string]uint64 {
	epochs := map[string]uint64{}
	for _, lg := range h.allGroups() {
		if e := lg.g.Epoch(); e > 0 {
			epochs[lg.g.Name()] = e
		}
	}
	return epochs
}

// eligibleHosts returns the live hosts that may own groups: those whose last read of the
// end of the log is at most FreshFor older than that of any other live host.
func (h *Host) eligibleHosts(now time.Time) []peers.Peer {
	live := h.table.Live(now)
	minLogAge := time.Duration(1<<63 - 1)
	for _, m := range live {
		minLogAge = min(minLogAge, m.LogAge)
	}
	var list []peers.Peer
	for _, m := range live {
		if m.LogAge-minLogAge <= h.settings.Timing.FreshFor {
			list = append(list, m)
		}
	}
	return list
}

// shouldOwn reports whether this host should own the group now. The result is false if
// this host is not eligible or cannot reach the log. An owner keeps the group until
// other hosts have been first in the group's order of preference for handoverDelay. If
// the group has no live owner, the host at rank r of the order, counted from 0, should
// claim it r*claimStagger after it last had an owner, so that normally only one host
// does.
func (h *Host) shouldOwn(lg *localGroup, eligible []peers.Peer, logUnreachable bool, now time.Time) bool {
	rank := -1
	order := peers.PreferenceOrder(lg.g.Name(), lg.g.Az(), eligible)
	for i, m := range order {
		if m.ID == h.settings.Host.ID {
			rank = i
		}
	}
	if rank < 0 || logUnreachable {
		return false
	}
	if lg.g.Epoch() > 0 {
		lg.ownerSeenAt = now // after a handover, the hosts before this one claim first
		if rank == 0 {
			lg.preferredAt = now
		}
		return now.Sub(lg.preferredAt) < handoverDelay
	}
	lg.preferredAt = now
	if h.hasOwner(lg.g.Name(), eligible, now) {
		lg.ownerSeenAt = now
		return false
	}
	if lg.ownerSeenAt.IsZero() {
		lg.ownerSeenAt = now
	}
	return now.Sub(lg.ownerSeenAt) >= time.Duration(rank)*claimStagger
}

// hasOwner reports whether the group has an owner that other hosts must wait for: it
// has a live owner that is eligible or is not in the list of live hosts. In the second
// case the owner is leaving, or its claim was read from the log recently. An owner that
// is live but not eligible has lost its connection to the log. Other hosts may claim its
// groups without waiting for it to detect this.
func (h *Host) hasOwner(name string, eligible []peers.Peer, now time.Time) bool {
	if !h.table.HasLiveOwner(name, now) {
		return false
	}
	o, _ := h.table.Owner(name)
	isOwner := func(m peers.Peer) bool { return m.ID == o.Host }
	return slices.ContainsFunc(eligible, isOwner) || !slices.ContainsFunc(h.table.Live(now), isOwner)
}
