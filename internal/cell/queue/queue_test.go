package queue

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lagooncourse/internal/cell/jobs"
)

// referenceNext returns the item that the policy orders first among all items whose
// shape is not blocked.
func referenceNext(items map[jobs.Ref]Item, blocked map[shape]bool, used map[string]jobs.Size, p Policy, v *FleetView) (best Item, ok bool) {
	for _, it := range items {
		if blocked[it.shape()] {
			continue
		}
		c := Candidate{Item: it, Used: used[it.Team]}
		if !ok || p.Less(c, Candidate{Item: best, Used: used[best.Team]}, v) {
			best, ok = it, true
		}
	}
	return best, ok
}

// TestAgainstReferenceModel compares the order of a pass with referenceNext. The
// removals before the pass and the results of the placements are random.
func TestAgainstReferenceModel(t *testing.T) {
	for _, policy := range []Policy{FIFO{}, Fair{MaxWaitMs: 50}} {
		t.Run(fmt.Sprintf("%T", policy), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { comparePass(t, policy) })
		})
	}
}

func comparePass(t *rapid.T, policy Policy) {
	q := New(Config{Policy: policy})
	items := map[jobs.Ref]Item{}
	for i := range rapid.IntRange(1, 40).Draw(t, "n") {
		it := Item{
			Ref: jobs.Ref{Job: jobs.NewID("g", int64(i+1))}, WaitingSinceMs: int64(i), Count: 1,
			Team: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
			Kind: rapid.SampledFrom(jobs.Kinds).Draw(t, "kind"),
			Size: jobs.Size{CPU: rapid.Int64Range(1, 3).Draw(t, "cpu")},
		}
		q.Add(it)
		items[it.Ref] = it
		if rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
			ref := jobs.Ref{Job: jobs.NewID("g", rapid.Int64Range(1, int64(i+1)).Draw(t, "removed"))}
			q.Remove(ref)
			delete(items, ref)
		}
	}
	assert.Equal(t, q.Len(), len(items))
	v := FleetView{
		NowMs: 80, Fleet: jobs.Size{CPU: 100}, Used: map[string]jobs.Size{"a": {CPU: 10}}, Weights: map[string]int64{"a": 3, "b": 1},
	}
	used := map[string]jobs.Size{"a": {CPU: 10}}
	blocked := map[shape]bool{}
	p := q.Pass(v)
	for {
		got, ok := p.Next()
		want, wantOK := referenceNext(items, blocked, used, policy, &v)
		assert.Equal(t, ok, wantOK)
		if !ok {
			break
		}
		assert.Equal(t, got.Ref, want.Ref)
		if rapid.Bool().Draw(t, "fits") {
			p.Placed(got)
			delete(items, got.Ref)
			used[got.Team] = used[got.Team].Plus(got.Total())
		} else {
			p.Blocked(got)
			blocked[got.shape()] = true
		}
	}
	checkDemand(t, q, items)
}

func checkDemand(t *rapid.T, q *Queue, items map[jobs.Ref]Item) {
	want := map[string]jobs.Size{}
	for _, it := range items {
		want[it.Team] = want[it.Team].Plus(it.Total())
	}
	assert.DeepEqual(t, q.Demand(), want)
}

// referenceShares finds by bisection the share per weight at which the teams use up
// the fleet.
func referenceShares(demands []TeamDemand) map[string]float64 {
	low, high := 0.0, 1e6
	fill := func(level float64) (map[string]float64, float64) {
		shares, sum := map[string]float64{}, 0.0
		for _, d := range demands {
			s := min(d.Demand, level*float64(max(d.Weight, 1)))
			shares[d.Team] = s
			sum += s
		}
		return shares, sum
	}
	for range 200 {
		mid := (low + high) / 2
		if _, sum := fill(mid); sum > 1 {
			high = mid
		} else {
			low = mid
		}
	}
	shares, _ := fill(low)
	return shares
}

// TestFairShares compares FairShares with referenceShares.
func TestFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var demands []TeamDemand
		for i := range rapid.IntRange(1, 6).Draw(t, "teams") {
			demands = append(demands, TeamDemand{
				Team: fmt.Sprint(i), Weight: rapid.Int64Range(0, 5).Draw(t, "weight"),
				Demand: float64(rapid.IntRange(0, 200).Draw(t, "demand")) / 100,
			})
		}
		want := referenceShares(demands)
		for team, got := range FairShares(demands) {
			assert.Assert(t, math.Abs(got-want[team]) < 1e-6, "team %s gets %g, want %g", team, got, want[team])
		}
	})
}

// TestStarvation checks that a batch item that has waited longer than MaxWaitMs
// goes before a newer service item, but not before an urgent one.
func TestStarvation(t *testing.T) {
	f := Fair{MaxWaitMs: 100}
	v := &FleetView{NowMs: 200, Fleet: jobs.Size{CPU: 1}}
	old := Candidate{Item: Item{Kind: jobs.Batch, WaitingSinceMs: 0}}
	fresh := Candidate{Item: Item{Kind: jobs.Service, WaitingSinceMs: 190}}
	urgent := Candidate{Item: Item{Kind: jobs.Urgent, WaitingSinceMs: 199}}
	assert.Assert(t, f.Less(old, fresh, v))
	assert.Assert(t, f.Less(urgent, old, v))
	v.NowMs = 100
	assert.Assert(t, f.Less(fresh, old, v))
}

// filledQueue returns a queue with n batch items of 94 teams and 5 sizes.
func filledQueue(n int) *Queue {
	q := New(Config{})
	for i := range n {
		q.Add(Item{
			Ref: jobs.Ref{Job: jobs.NewID("g", int64(i+1))}, Team: fmt.Sprint("t", i%94), Kind: jobs.Batch,
			Size: jobs.Size{CPU: int64(1 + i%5)}, Count: 1, WaitingSinceMs: int64(i),
		})
	}
	return q
}

func BenchmarkNext(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			q := filledQueue(n)
			v := FleetView{Fleet: jobs.Size{CPU: 1000}, Used: map[string]jobs.Size{}, Weights: map[string]int64{}}
			p := q.Pass(v)
			b.ResetTimer()
			for range b.N {
				it, ok := p.Next()
				if !ok {
					b.StopTimer()
					q = filledQueue(n)
					p = q.Pass(v)
					b.StartTimer()
					continue
				}
				p.Placed(it)
			}
		})
	}
}

func BenchmarkRemove(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			q := filledQueue(n)
			b.ResetTimer()
			for i := range b.N {
				if i%n == 0 && i > 0 {
					b.StopTimer()
					q = filledQueue(n)
					b.StartTimer()
				}
				q.Remove(jobs.Ref{Job: jobs.NewID("g", int64(i%n+1))})
			}
		})
	}
}
