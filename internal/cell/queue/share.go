package queue

import (
	"sort"

	"lagooncourse/internal/cell/jobs"
)

// TeamDemand is the demand and weight of one team.
type TeamDemand struct {
	Team   string
	Weight int64
	Demand float64 // dominant share of the fleet that its running and waiting work needs
}

// FairShares returns the weighted max-min fair share of each team as a fraction
// of the fleet. A team gets at most its demand; the rest is divided among the
// other teams by weight.
//
// The dominant resources of the teams may differ, so their dominant shares can
// add up to more than 1. FairShares treats them as one resource, so a share may
// be too small but not too large.
func FairShares(demands []TeamDemand) map[string]float64 {
	order := append([]TeamDemand(nil), demands...)
	sort.Slice(order, func(i, j int) bool {
		a, b := order[i].perWeight(), order[j].perWeight()
		return a < b || a == b && order[i].Team < order[j].Team
	})
	var weightLeft int64
	for _, d := range order {
		weightLeft += max(d.Weight, 1)
	}
	shares := make(map[string]float64, len(order))
	left := 1.0
	for _, d := range order {
		w := max(d.Weight, 1)
		share := min(d.Demand, left*float64(w)/float64(weightLeft))
		shares[d.Team] = share
		left -= share
		weightLeft -= w
	}
	return shares
}

// perWeight returns the demand divided by the weight. FairShares serves the team
// with the lowest value first.
func (d TeamDemand) perWeight() float64 { return d.Demand / float64(max(d.Weight, 1)) }

// Shares returns the fair share of every team with running or waiting work. The map
// waiting contains the total size of each team's waiting work.
func (v *FleetView) Shares(waiting map[string]jobs.Size) map[string]float64 {
	teams := map[string]jobs.Size{}
	for team, used := range v.Used {
		teams[team] = used
	}
	for team, size := range waiting {
		teams[team] = teams[team].Plus(size)
	}
	demands := make([]TeamDemand, 0, len(teams))
	for team, size := range teams {
		demands = append(demands, TeamDemand{Team: team, Weight: v.Weights[team], Demand: size.DominantShare(v.Fleet)})
	}
	return FairShares(demands)
}
