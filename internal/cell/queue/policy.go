package queue

import "lagooncourse/internal/cell/jobs"

// Fair orders items by kind, most urgent first, and within a kind by weighted
// dominant share: the team with the smallest dominant share of the fleet, divided by
// its weight, goes first. To avoid starvation, items that have waited longer than
// MaxWaitMs go before all items that are not urgent, oldest first.
type Fair struct {
	MaxWaitMs int64 // 0 means 10 minutes
}

var (
	_ Policy    = Fair{}
	_ Preemptor = Fair{}
)

// Preempts implements Preemptor.
func (Fair) Preempts() bool { return true }

const defaultMaxWaitMs = 10 * 60 * 1000

// Less implements Policy.
func (f Fair) Less(a, b Candidate, v *FleetView) bool {
	ra, rb := f.rank(a.Item, v.NowMs), f.rank(b.Item, v.NowMs)
	if ra != rb {
		return ra < rb
	}
	if ra != overdueRank {
		sa, sb := weightedShare(a, v), weightedShare(b, v)
		if sa != sb {
			return sa < sb
		}
	}
	return older(a.Item, b.Item)
}

// overdueRank is the rank of items that have waited longer than MaxWaitMs. It comes
// directly after 0, the rank of urgent items.
const overdueRank = 1

// rank returns the priority of an item; lower ranks go first.
func (f Fair) rank(it Item, nowMs int64) int {
	limit := f.MaxWaitMs
	if limit == 0 {
		limit = defaultMaxWaitMs
	}
	r := it.Kind.Rank()
	switch {
	case it.Kind == jobs.Urgent:
		return r
	case nowMs-it.WaitingSinceMs > limit:
		return overdueRank
	}
	return r + overdueRank // after overdueRank, because r is at least 1
}

// weightedShare returns the team's dominant share of the fleet divided by its
// weight.
func weightedShare(c Candidate, v *FleetView) float64 {
	weight := max(v.Weights[c.Item.Team], 1)
	return c.Used.DominantShare(v.Fleet) / float64(weight)
}

// older reports whether a has waited longer than b. Ties are broken by the ref.
func older(a, b Item) bool {
	if a.WaitingSinceMs != b.WaitingSinceMs {
		return a.WaitingSinceMs < b.WaitingSinceMs
	}
	if a.Ref.Job != b.Ref.Job {
		return a.Ref.Job < b.Ref.Job
	}
	return a.Ref.Index < b.Ref.Index
}

// FIFO orders items by arrival. It is the baseline for comparisons with other
// policies.
type FIFO struct{}

var _ Policy = FIFO{}

// Less implements Policy.
func (FIFO) Less(a, b Candidate, _ *FleetView) bool { return older(a.Item, b.Item) }
