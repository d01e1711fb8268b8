package queue

import (
	"sort"

	"lagooncourse/internal/cell/jobs"
)

// Claim is what one team could use of the fleet, and with which weight.
type Claim struct {
	Team   string
	Weight int64
	Wants  float64 // dominant share of the fleet that its running and waiting work would take
}

// FairShares divides the fleet by weight. A team gets no more than it wants;
// what it leaves is divided among the others in the same way. The result is
// each team's part of the fleet, between 0 and 1.
//
// The dominant shares of different teams may be of different resources, so
// that together they can exceed 1. The division treats them as one resource,
// which errs on the side of too small a share.
func FairShares(claims []Claim) map[string]float64 {
	order := append([]Claim(nil), claims...)
	sort.Slice(order, func(i, j int) bool {
		a, b := order[i].perWeight(), order[j].perWeight()
		return a < b || a == b && order[i].Team < order[j].Team
	})
	var weights int64
	for _, c := range order {
		weights += max(c.Weight, 1)
	}
	shares := make(map[string]float64, len(order))
	left := 1.0
	for _, c := range order {
		w := max(c.Weight, 1)
		share := min(c.Wants, left*float64(w)/float64(weights))
		shares[c.Team] = share
		left -= share
		weights -= w
	}
	return shares
}

func (c Claim) perWeight() float64 { return c.Wants / float64(max(c.Weight, 1)) }

// Shares returns the fair share of every team that runs or waits under the view.
func (v *View) Shares(waiting map[string]jobs.Size) map[string]float64 {
	teams := map[string]jobs.Size{}
	for team, used := range v.Used {
		teams[team] = used
	}
	for team, size := range waiting {
		teams[team] = teams[team].Plus(size)
	}
	claims := make([]Claim, 0, len(teams))
	for team, size := range teams {
		claims = append(claims, Claim{Team: team, Weight: v.Share[team], Wants: size.Dominant(v.Fleet)})
	}
	return FairShares(claims)
}
