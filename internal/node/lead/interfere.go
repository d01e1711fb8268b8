package lead

import "lagooncourse/internal/cell/sched"

// noteInterference updates the metrics, and logs pairs of images when one becomes known or is
// forgotten. The caller holds o.mu.
func (o *Owner) noteInterference() {
	now := o.planner.Interference()
	if len(now.Pairs) == 0 && len(o.clashes) == 0 {
		return
	}
	o.cfg.Metrics.setInterference(now)
	known := map[string]bool{}
	for _, p := range now.Pairs {
		key := p.Image + " " + p.Other
		known[key] = true
		if !o.clashes[key] {
			o.log.Info("images clash", "image", p.Image, "slowedBy", p.Other, "slowdown", p.Slowdown, "samples", int(p.Samples))
		}
	}
	for key := range o.clashes {
		if !known[key] {
			o.log.Info("images clash no more", "images", key)
		}
	}
	o.clashes = known
}

// Interference returns what the planner knows of clashing images.
func (o *Owner) Interference() sched.Interference {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.planner.Interference()
}
