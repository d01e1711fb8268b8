package sched

import (
	"fmt"
	"math"
	"math/rand"
	"testing"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/cell/jobs"
)

// clashRun is a run in a play of clashing images.
type clashRun struct {
	st    Start
	image int
	left  float64 // work that is left, in ms
	atMs  int64   // of the start
}

// clashResult is what a play of clashing images gave.
type clashResult struct {
	pairs, falsePairs int
	foundMs           int64   // until all pairs were found; 0 if they were not
	slowedMs          float64 // mean run time of the images that others slow down, in the last third
	otherMs           float64 // the same of all others
	changed           int
}

// playClashes plays tasks of thirty images of which three slow two others down by half, on
// workers with room for several tasks each.
func playClashes(seed int64, on bool, workers, perSecond, seconds int) (res clashResult) {
	now := Instant{Ms: 1_000, WallMs: 1_000_000}
	r := rand.New(rand.NewSource(seed))
	p := NewPlanner(Config{State: NewState(), LeaseMs: 5_000, RetentionMs: 1_000, Interference: on}, now)
	p.SetPolicy(Policy{Queues: map[string]Queue{"q": {Name: "q", Service: "s", MaxAttempts: 3, Slack: 3, TargetMs: 1000}}})
	seqs := map[string]int64{}
	for i := range workers {
		id := fmt.Sprintf("w%03d", i)
		p.SetWorker(WorkerInfo{ID: id, Addr: id, Service: "s", Capacity: jobs.Size{CPU: 32_000, Mem: 1 << 40}, Incarnation: 1}, now)
		p.ApplyReport(id, WorkerReport{SentMs: now.Ms, Incarnation: 1}, now)
	}
	running := map[string][]*clashRun{}
	slowed := func(image int, beside []*clashRun) bool {
		for _, o := range beside {
			if (image == 10 || image == 11) && o.image < 3 {
				return true
			}
		}
		return false
	}
	const stepMs = 10
	var sums, counts [2]float64
	n := 0
	for tick := range seconds * 1000 / stepMs {
		now.Ms, now.WallMs = now.Ms+stepMs, now.WallMs+stepMs
		for range r.Intn(2*perSecond*stepMs/1000 + 1) {
			n++
			spec := Spec{ID: fmt.Sprintf("%08d", n), Queue: "q", AcceptedMs: now.WallMs, Steps: []Step{{Count: 1, Size: jobs.Size{CPU: 6_000}, EstimateMs: 1000, Image: fmt.Sprintf("image%02d", r.Intn(30))}}}
			p.Accept(spec, now)
		}
		for id, list := range running {
			rest := list[:0]
			for _, c := range list {
				speed := 1.0
				if slowed(c.image, list) {
					speed = 1 / 1.5
				}
				if c.left -= stepMs * speed; c.left > 0 {
					rest = append(rest, c)
					continue
				}
				seqs[id]++
				p.ApplyReport(id, WorkerReport{Incarnation: 1, Finished: []Finished{{Seq: seqs[id], Task: c.st.Ref.String(), Run: c.st.Run, Reason: EndDone}}}, now)
				if tick*3 > 2*seconds*1000/stepMs {
					k := 1
					if c.image == 10 || c.image == 11 {
						k = 0
					}
					sums[k], counts[k] = sums[k]+float64(now.Ms-c.atMs), counts[k]+1
				}
			}
			running[id] = rest
		}
		p.Tick(now)
		plan := p.Plan(noHosts{}, now)
		b, err := p.TakeBatch(now)
		if err != nil {
			panic(err)
		}
		p.Stored(b)
		for _, st := range p.ReleaseStarts(plan.Starts, now) {
			p.ApplyStartOutcome(st, StartConfirmed, now)
			var image int
			fmt.Sscanf(p.state.Jobs[st.Ref.Job].Spec.Steps[0].Image, "image%d", &image)
			running[st.Worker] = append(running[st.Worker], &clashRun{st, image, 1000 * math.Exp(0.2*r.NormFloat64()), now.Ms})
		}
		if res.foundMs == 0 && len(p.Interference().Pairs) == 6 {
			res.foundMs = int64(tick * stepMs)
		}
	}
	for _, pair := range p.Interference().Pairs {
		var a, b int
		fmt.Sscanf(pair.Image+" "+pair.Other, "image%d image%d", &a, &b)
		if (a == 10 || a == 11) && b < 3 {
			res.pairs++
		} else {
			res.falsePairs++
		}
	}
	res.slowedMs, res.otherMs, res.changed = sums[0]/counts[0], sums[1]/counts[1], p.Interference().Changed
	return res
}

// TestInterferenceKeepsApart guards against clashing tasks that share workers although
// others have room, and against images that are kept apart without a reason.
func TestInterferenceKeepsApart(t *testing.T) {
	off := playClashes(1, false, 40, 100, 150)
	on := playClashes(1, true, 40, 100, 150)
	t.Logf("off: %+v", off)
	t.Logf("on: %+v", on)
	assert.Equal(t, off.pairs+off.changed, 0)
	assert.Equal(t, on.falsePairs, 0)
	assert.Assert(t, on.slowedMs < off.slowedMs)
}

// TestInterferenceOnFullFleet guards against tasks that wait for a worker without a clash
// while others have room.
func TestInterferenceOnFullFleet(t *testing.T) {
	off := playClashes(2, false, 20, 95, 90)
	on := playClashes(2, true, 20, 95, 90)
	t.Logf("off: %+v", off)
	t.Logf("on: %+v", on)
	assert.Assert(t, on.otherMs < 1.1*off.otherMs, "other images run longer: %.0f ms, %.0f ms without the feature", on.otherMs, off.otherMs)
}
