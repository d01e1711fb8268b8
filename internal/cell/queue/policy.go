package queue

import "lagooncourse/internal/cell/jobs"

// Fair serves the most urgent kind first and, within a kind, the team whose
// dominant share of the fleet is smallest in proportion to its weight. Work
// that has waited longer than MaxWaitMs goes before all other work but urgent
// work, oldest first, so that nothing starves.
type Fair struct {
	MaxWaitMs int64 // milliseconds; 0 means 10 minutes
}

var (
	_ Policy    = Fair{}
	_ Preemptor = Fair{}
)

// Preempts implements Preemptor.
func (Fair) Preempts() bool { return true }

const defaultMaxWaitMs = 10 * 60 * 1000

// Less implements Policy.
func (f Fair) Less(a, b Candidate, v *View) bool {
	ra, rb := f.rank(a.Item, v.NowMs), f.rank(b.Item, v.NowMs)
	if ra != rb {
		return ra < rb
	}
	if ra != overdueRank {
		sa, sb := weighted(a, v), weighted(b, v)
		if sa != sb {
			return sa < sb
		}
	}
	return older(a.Item, b.Item)
}

// overdueRank is the rank of work that has waited too long, just after urgent work.
const overdueRank = 1

func (f Fair) rank(it Item, nowMs int64) int {
	limit := f.MaxWaitMs
	if limit == 0 {
		limit = defaultMaxWaitMs
	}
	r := it.Kind.Rank()
	switch {
	case it.Kind == jobs.Urgent:
		return r
	case nowMs-it.AtMs > limit:
		return overdueRank
	}
	return r + overdueRank
}

// weighted returns the team's dominant share of the fleet divided by its weight.
func weighted(c Candidate, v *View) float64 {
	weight := max(v.Share[c.Item.Team], 1)
	return c.Used.Dominant(v.Fleet) / float64(weight)
}

func older(a, b Item) bool {
	if a.AtMs != b.AtMs {
		return a.AtMs < b.AtMs
	}
	if a.Ref.Job != b.Ref.Job {
		return a.Ref.Job < b.Ref.Job
	}
	return a.Ref.Index < b.Ref.Index
}

// FIFO serves items in the order of their arrival. It is the baseline that the
// other policies are measured against.
type FIFO struct{}

var _ Policy = FIFO{}

// Less implements Policy.
func (FIFO) Less(a, b Candidate, _ *View) bool { return older(a.Item, b.Item) }
