package sched

import (
	"lagooncourse/internal/cell/clash"
)

// Tasks share resources that a capacity does not list, such as caches, and some slow each other down. With
// Config.Interference the planner records which images ran beside each run, learns from the
// run times which pairs of images clash (package clash), and prefers workers without a task
// that clashes. It is a preference only: where there is no other room, tasks run together.

// interferenceIntervalMs is the time between two updates of the pairs that are kept apart.
const interferenceIntervalMs = 1_000

// interference holds what is known of clashing images. It is nil if the feature is off.
type interference struct {
	tracker   *clash.Tracker
	apart     map[string]map[string]bool // images that clash, in both directions
	pairs     []clash.Pair
	updatedMs int64
	changed   int // placements on another worker than without the feature
}

func newInterference(on bool) *interference {
	if !on {
		return nil
	}
	return &interference{tracker: clash.New(clash.Config{})}
}

// update computes the images that are kept apart.
func (i *interference) update(now Instant) {
	if i == nil || now.Ms-i.updatedMs < interferenceIntervalMs {
		return
	}
	i.updatedMs = now.Ms
	i.pairs = i.tracker.Pairs(now.Ms)
	i.apart = map[string]map[string]bool{}
	keepApart := func(a, b string) {
		if i.apart[a] == nil {
			i.apart[a] = map[string]bool{}
		}
		i.apart[a][b] = true
	}
	for _, p := range i.pairs {
		keepApart(p.Image, p.Other)
		keepApart(p.Other, p.Image)
	}
}

// imageOf returns the image of a task, empty if it has none.
func (p *Planner) imageOf(r Ref) string {
	j := p.state.Jobs[r.Job]
	if j == nil || r.Step >= len(j.Spec.Steps) {
		return ""
	}
	return j.Spec.Steps[r.Step].Image
}

// noteOverlap records, for a run that leaves a worker and for those that stay, how long they
// ran beside each other. The times are those of the last Tick.
func (p *Planner) noteOverlap(w *Worker, left *allocation) {
	image := p.imageOf(left.ref)
	if p.interference == nil || left.phase != phaseRunning || image == "" {
		return
	}
	for ref, stays := range w.allocations {
		other := p.imageOf(ref)
		if stays == left || stays.phase != phaseRunning || other == "" {
			continue
		}
		ms := max(p.tickMs-max(left.phaseStartMs, stays.phaseStartMs), 0)
		left.addBeside(other, ms)
		stays.addBeside(image, ms)
	}
}

func (a *allocation) addBeside(image string, ms int64) {
	if a.beside == nil {
		a.beside = map[string]int64{}
	}
	a.beside[image] += ms
}

// recordInterference adds a run that has ended well to the evidence. Runs that continue from
// a checkpoint have less to do, members of gangs wait for each other, and long-running tasks
// have no run time.
func (p *Planner) recordInterference(w *Worker, a *allocation, queue string, s Step, now Instant) {
	if p.interference == nil || a.resumed || s.Gang || s.LongRunning {
		return
	}
	tookMs := now.Ms - a.phaseStartMs
	ratio := p.estimator.slowdownOf(queue, w.ID, s, tookMs)
	if ratio == 0 || tookMs <= 0 {
		return
	}
	r := clash.Run{Image: s.Image, Ratio: ratio, Beside: map[string]float64{}, AtMs: now.Ms}
	for image, ms := range a.beside {
		r.Beside[image] = min(float64(ms)/float64(tookMs), 1)
	}
	p.interference.tracker.Record(r)
}

// clashesOn returns the number of tasks on a worker that clash with an image.
func (p *Planner) clashesOn(w *Worker, image string) (n int) {
	if p.interference == nil || len(p.interference.apart[image]) == 0 {
		return 0
	}
	for ref := range w.allocations {
		if p.interference.apart[image][p.imageOf(ref)] {
			n++
		}
	}
	return n
}

// Interference describes what is known of clashing images.
type Interference struct {
	Pairs   []clash.Pair
	Changed int // placements on another worker than without the feature
}

// Interference returns what is known of clashing images, nothing if the feature is off.
func (p *Planner) Interference() Interference {
	if p.interference == nil {
		return Interference{}
	}
	return Interference{Pairs: p.interference.pairs, Changed: p.interference.changed}
}
