package lead

import "lagooncourse/internal/cell/sched"

// isolationIntervalMs is the time between two samples of the cost of isolation, each of
// which visits all waiting tasks.
const isolationIntervalMs = 1_000

// isolationSample is the last sample of the cost of isolation.
type isolationSample struct {
	sched.Isolation
	atMs int64 // 0 if there is none
}

// noteIsolation records what the isolation of suspects costs. The caller holds o.mu.
func (o *Owner) noteIsolation(now sched.Instant) {
	last := o.isolation
	if o.ctx.Err() != nil || last.atMs > 0 && now.Ms-last.atMs < isolationIntervalMs {
		return
	}
	if last.atMs > 0 {
		o.cfg.Metrics.addHeldCoreSeconds(float64(last.HeldCPU) / 1000 * float64(now.Ms-last.atMs) / 1000)
	}
	o.isolation = isolationSample{o.planner.Isolation(now), now.Ms}
	o.cfg.Metrics.setIsolation(o.isolation.Isolation)
}
