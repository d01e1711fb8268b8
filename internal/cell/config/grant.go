package config

import (
	"maps"

	"lagooncourse/internal/cell/jobs"
)

// Grants changes the parts of teams' limits that one group holds.
//
// A team's limit is divided into grants, each held by a group, not by a
// process: when the group's owner dies, its successor inherits the grant
// together with the group's records of what runs under it. Three rules keep
// the sum of all that groups may use at or below the limit in every state:
//
//   - A raise is void if the sum of the grants would exceed the limit.
//   - An owner stops using what it is about to give back before it appends the
//     lower amount.
//   - A record is void unless its fence is higher than the group's newest. An
//     owner's first act after a takeover is to raise the fence, which makes
//     void whatever its predecessor's appends may still bring.
//
// When a limit is lowered below the sum of the grants, every group's Ceiling
// shrinks in proportion, computed alike everywhere, without waiting for new
// grant records.
type Grants struct {
	Group string
	Fence Fence
	Items []Grant // Group of an item is not used
}

func (f Fence) less(o Fence) bool {
	return f.Epoch < o.Epoch || f.Epoch == o.Epoch && f.Seq < o.Seq
}

func (n *State) applyGrants(g Grants) {
	if !n.Fences[g.Group].less(g.Fence) {
		return
	}
	n.Fences = put(n.Fences, g.Group, g.Fence)
	for _, item := range g.Items {
		n.applyGrant(g.Group, item)
	}
}

func (n *State) applyGrant(group string, item Grant) {
	held := n.Grants[item.Team][group]
	if item.Amount.CPU < 0 || item.Amount.Mem < 0 || item.Amount.Accel < 0 {
		return
	}
	if !item.Amount.Fits(held) {
		sum := n.Granted(item.Team).Minus(held).Plus(item.Amount)
		if !raiseFits(held, item.Amount, sum, n.Limit(item.Team)) {
			return
		}
	}
	byGroup := maps.Clone(n.Grants[item.Team])
	if byGroup == nil {
		byGroup = map[string]jobs.Size{}
	}
	if item.Amount.IsZero() {
		delete(byGroup, group)
	} else {
		byGroup[group] = item.Amount
	}
	n.Grants = put(n.Grants, item.Team, byGroup)
}

// raiseFits reports whether every dimension that grows stays within the limit.
func raiseFits(held, amount, sum, limit jobs.Size) bool {
	return (amount.CPU <= held.CPU || sum.CPU <= limit.CPU) &&
		(amount.Mem <= held.Mem || sum.Mem <= limit.Mem) &&
		(amount.Accel <= held.Accel || sum.Accel <= limit.Accel)
}

// Granted returns the sum of the team's grants.
func (s *State) Granted(team string) jobs.Size {
	var sum jobs.Size
	for _, amount := range s.Grants[team] {
		sum = sum.Plus(amount)
	}
	return sum
}

// Pool returns the part of the team's limit that no group holds; a dimension
// whose grants exceed a lowered limit is 0.
func (s *State) Pool(team string) jobs.Size {
	return s.Limit(team).Minus(s.Granted(team)).Most(jobs.Size{})
}

// Ceiling returns how much of the team's work the group may have running.
func (s *State) Ceiling(team, group string) jobs.Size {
	held, ok := s.Grants[team][group]
	if !ok {
		return jobs.Size{}
	}
	limit, sum := s.Limit(team), s.Granted(team)
	return held.Scaled(limit, sum)
}
