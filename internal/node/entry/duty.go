package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"lagooncourse/internal/node/peers"
)

// This file decides which groups this host should own.

// dutyLoop decides which groups this host should own.
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

// epochs returns the epochs of the groups that this host owns.
func (h *Host) epochs() map[string]uint64 {
	epochs := map[string]uint64{}
	for _, og := range h.ownGroups() {
		if e := og.g.Epoch(); e > 0 {
			epochs[og.g.Name()] = e
		}
	}
	return epochs
}

// eligible lists the live hosts that can read the log as well as any other.
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

// wants decides whether this host should own the group. A group without an
// owner goes to the first live host in the group's order; the others follow
// one after another if that one does not claim it. An owner that is no longer
// first hands over, once that has been so for a while.
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
		og.noOwner = now // after a hand-over the others come first
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

// held reports whether a live host owns the group and can write its stream. An
// owner that lags behind others in reading the log is cut off from it; its
// groups may be claimed without waiting for it to notice.
func (h *Host) held(name string, eligible []peers.Peer, now time.Time) bool {
	if !h.table.Holds(name, now) {
		return false
	}
	o, _ := h.table.Owner(name)
	is := func(m peers.Peer) bool { return m.ID == o.Host }
	return slices.ContainsFunc(eligible, is) || !slices.ContainsFunc(h.table.Live(now), is)
}
