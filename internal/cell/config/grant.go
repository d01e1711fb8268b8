package config

import (
	"maps"

	"lagooncourse/internal/cell/jobs"
)

// Grants is the record that sets the parts of teams' limits that are assigned to
// one group.
//
// A grant belongs to a group, not to a process: after a takeover the new owner
// has both the grant and the record of the work that uses it. Three rules keep
// the sum of all groups' limits (see EffectiveLimit) within the team's limit:
//
//   - An increase is ignored if the sum of the grants would exceed the limit.
//   - An owner stops using capacity before it appends a record that returns it.
//   - A record is ignored unless its fencing token is higher than the group's
//     highest one. After a takeover the new owner first appends a record with a
//     higher token, so that late appends of the previous owner have no effect.
//
// If a limit is lowered below the sum of the grants, EffectiveLimit at once returns
// proportionally less for every group, without new grant records.
type Grants struct {
	Group        string
	FencingToken FencingToken
	Items        []Grant // the Group field of the items is ignored
}

func (f FencingToken) less(o FencingToken) bool {
	return f.Epoch < o.Epoch || f.Epoch == o.Epoch && f.Seq < o.Seq
}

func (s *State) applyGrants(g Grants) {
	if !s.FencingTokens[g.Group].less(g.FencingToken) {
		return
	}
	s.FencingTokens = cloneAndSet(s.FencingTokens, g.Group, g.FencingToken)
	for _, item := range g.Items {
		s.applyGrant(g.Group, item)
	}
}

// applyGrant applies one item. It ignores the whole item if a dimension is negative,
// or is increased beyond what the team's limit allows.
func (s *State) applyGrant(group string, item Grant) {
	current := s.Grants[item.Team][group]
	if item.Amount.CPU < 0 || item.Amount.Mem < 0 || item.Amount.Accel < 0 {
		return
	}
	if !item.Amount.FitsIn(current) {
		sum := s.Granted(item.Team).Minus(current).Plus(item.Amount)
		if !increaseFits(current, item.Amount, sum, s.Limit(item.Team)) {
			return
		}
	}
	byGroup := maps.Clone(s.Grants[item.Team])
	if byGroup == nil {
		byGroup = map[string]jobs.Size{}
	}
	if item.Amount.IsZero() {
		delete(byGroup, group)
	} else {
		byGroup[group] = item.Amount
	}
	s.Grants = cloneAndSet(s.Grants, item.Team, byGroup)
}

// increaseFits reports whether sum is within the limit in every dimension in which
// amount is larger than current.
func increaseFits(current, amount, sum, limit jobs.Size) bool {
	return (amount.CPU <= current.CPU || sum.CPU <= limit.CPU) &&
		(amount.Mem <= current.Mem || sum.Mem <= limit.Mem) &&
		(amount.Accel <= current.Accel || sum.Accel <= limit.Accel)
}

// Granted returns the sum of the team's grants.
func (s *State) Granted(team string) jobs.Size {
	var sum jobs.Size
	for _, amount := range s.Grants[team] {
		sum = sum.Plus(amount)
	}
	return sum
}

// Ungranted returns the part of the team's limit that is not granted to any group. A
// dimension in which the grants exceed the limit is 0.
func (s *State) Ungranted(team string) jobs.Size {
	return s.Limit(team).Minus(s.Granted(team)).Max(jobs.Size{})
}

// EffectiveLimit returns the limit of the team's running work in the group: the group's
// grant, scaled down if the sum of the grants exceeds the team's limit.
func (s *State) EffectiveLimit(team, group string) jobs.Size {
	granted, ok := s.Grants[team][group]
	if !ok {
		return jobs.Size{}
	}
	limit, sum := s.Limit(team), s.Granted(team)
	return granted.Scaled(limit, sum)
}
