package sched

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/trust"
)

// probedFleet returns a planner with n workers, of which the last is on probation after it
// has failed several jobs while others succeeded.
func probedFleet(t *testing.T, n int, now *Instant) (p *Planner, faulty string) {
	p = fleet(n, *now)
	faulty = fmt.Sprintf("w%04d", n-1)
	for i := range 8 {
		p.trust.Record(trust.End{Worker: "w0000", Job: fmt.Sprint("good", i), OK: true, AtMs: now.Ms})
	}
	for i := range 3 {
		p.trust.Record(trust.End{Worker: faulty, Job: fmt.Sprint("bad", i), AtMs: now.Ms})
	}
	assert.Equal(t, p.trust.State(faulty, now.Ms), trust.Quarantined)
	now.Ms, now.WallMs = now.Ms+6_000, now.WallMs+6_000
	assert.Equal(t, p.trust.State(faulty, now.Ms), trust.Probing)
	return p, faulty
}

// gangOf returns a job with one gang of n tasks.
func gangOf(id string, n int, size jobs.Size, label string, now Instant) Spec {
	return Spec{ID: id, Queue: "urgent", AcceptedMs: now.WallMs, Steps: []Step{{Count: n, Size: size, EstimateMs: 500, Gang: true, RequiredLabel: label}}}
}

// TestGangIsProbe guards against gangs that are never started although a sound worker is
// empty: it was faulty once, is the only one that suits them, and only tasks that are not
// in a gang could end its probation.
func TestGangIsProbe(t *testing.T) {
	now := Instant{Ms: 1000, WallMs: 1000}
	p, faulty := probedFleet(t, 3, &now)
	p.workers[faulty].Labels = []string{"b"}
	p.Accept(gangOf("g", 2, jobs.Size{CPU: 2_000}, "b", now), now)
	p.Accept(gangOf("h", 2, jobs.Size{CPU: 2_000}, "b", now), now)
	assert.Assert(t, startedWithin(p, noHosts{}, "g", 3_000, &now))
	assert.Equal(t, len(p.workers[faulty].allocations), 2, "a second gang is placed before the first has shown anything")
	p.trust.Record(trust.End{Worker: faulty, Job: "g", OK: true, AtMs: now.Ms})
	assert.Assert(t, startedWithin(p, noHosts{}, "h", 3_000, &now))
}

// TestGangPrefersTrusted checks that a gang that fits on trusted workers takes none on
// probation: it would fail as a whole.
func TestGangPrefersTrusted(t *testing.T) {
	now := Instant{Ms: 1000, WallMs: 1000}
	p, faulty := probedFleet(t, 3, &now)
	p.Accept(gangOf("g", 4, jobs.Size{CPU: 16_000}, "", now), now)
	assert.Assert(t, startedWithin(p, noHosts{}, "g", 3_000, &now))
	assert.Equal(t, len(p.workers[faulty].allocations), 0)
}

// TestQuarantineIsBounded checks that a worker that has failed many probes is probed soon
// after it is sound again.
func TestQuarantineIsBounded(t *testing.T) {
	now := Instant{Ms: 1000, WallMs: 1000}
	p, faulty := probedFleet(t, 3, &now)
	for range 10 {
		p.trust.Record(trust.End{Worker: faulty, Job: "bad", AtMs: now.Ms})
		now.Ms += maxQuarantineMs
		assert.Equal(t, p.trust.State(faulty, now.Ms), trust.Probing)
	}
}
