package sched

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/cell/jobs"
)

// TestIndexIsSorted guards against an index that, kept from plan to plan, misses a worker,
// keeps one that is gone, or is out of order. It compares the index with a full sort of all workers.
func TestIndexIsSorted(t *testing.T) {
	r := rand.New(rand.NewSource(1))
	now := Instant{Ms: 1000, WallMs: 1000}
	p := fleet(60, now)
	for round := range 2_000 {
		now.Ms, now.WallMs = now.Ms+50, now.WallMs+50
		w := fmt.Sprintf("w%04d", r.Intn(60))
		switch r.Intn(6) {
		case 0:
			p.DropWorker(w)
		case 1:
			service := [...]string{"s", "t"}[r.Intn(2)]
			p.SetWorker(WorkerInfo{ID: w, Addr: w, Service: service, Capacity: jobs.Size{CPU: 32_000, Mem: 64_000}, Incarnation: 1, Draining: r.Intn(4) == 0}, now)
			p.ApplyReport(w, WorkerReport{SentMs: now.Ms, Incarnation: 1}, now)
		case 2:
			p.HeartbeatFailed(w)
		case 3:
			p.ApplyReport(w, WorkerReport{SentMs: now.Ms, Incarnation: 1}, now)
		default:
			spec := Spec{ID: fmt.Sprint(round), Queue: "wide", AcceptedMs: now.WallMs, Steps: []Step{{Count: 1 + r.Intn(5), Size: jobs.Size{CPU: int64(r.Intn(20_000))}, EstimateMs: 500}}}
			p.Accept(spec, now)
		}
		p.Tick(now)
		p.Plan(noHosts{}, now)
		p.updateIndexes(now)
		for _, service := range []string{"s", "t"} {
			var want []*Worker
			for _, w := range p.workers {
				if w.Service == service && p.available(w, now) {
					want = append(want, w)
				}
			}
			slices.SortFunc(want, byFreeCPU)
			var got []*Worker
			if ix := p.indexes[service]; ix != nil {
				got = ix.byFree
			}
			assert.Assert(t, slices.Equal(got, want), "round %d, pool %s: %d workers in the index, want %d", round, service, len(got), len(want))
		}
	}
}
