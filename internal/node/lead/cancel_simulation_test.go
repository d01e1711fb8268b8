package lead

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/fakes"
)

// cancelSimulation is a simulation whose jobs run for long and are cancelled. Spells of
// trouble take turns with calm ones, in which no run may outlast its job.
type cancelSimulation struct {
	*simulation
	ackedMs     map[string]int64 // by job: when its cancelling was stored
	calmSinceMs int64            // 0 in trouble
	late        []string         // runs that outlasted their job, as text
	seen        map[string]bool  // the same, by task and run
}

const (
	simTroubleMs = 6_000
	simCalmMs    = 9_000
	simRounds    = 5
)

func newCancelSimulation(t *testing.T, seed int64) *cancelSimulation {
	sim := &cancelSimulation{simulation: newSimulation(t, seed, noMutation), ackedMs: map[string]int64{}, seen: map[string]bool{}}
	sim.hidden = map[string]bool{}
	return sim
}

// submitLong accepts a job whose tasks run for 5 to 35 s.
func (sim *cancelSimulation) submitLong() {
	sim.jobs++
	spec := sched.Spec{ID: fmt.Sprintf("%016x", sim.jobs), Queue: "batch", Team: "b", AcceptedMs: sim.nowMs, Steps: []sched.Step{{
		Count: 1 + sim.rand.Intn(3), Size: jobs.Size{CPU: int64(500 + sim.rand.Intn(1500))}, EstimateMs: int64(5_000 + sim.rand.Intn(30_000)),
		Gang: sim.rand.Intn(4) == 0,
	}}}
	sim.fleet.RegisterJob(spec)
	sim.owners[len(sim.owners)-1].planner.Accept(spec, sim.now())
}

// cancelSome cancels each stored job with a small probability.
func (sim *cancelSimulation) cancelSome() (ids []string) {
	for _, id := range sim.storedJobs {
		if sim.ackedMs[id] == 0 && sim.rand.Intn(400) == 0 && sim.owners[len(sim.owners)-1].planner.Cancel(id, sim.now()) {
			ids = append(ids, id)
		}
	}
	return ids
}

// disturb injects a fault.
func (sim *cancelSimulation) disturb() {
	id := sim.fleet.IDs()[sim.rand.Intn(8)]
	switch sim.rand.Intn(8) {
	case 0, 1:
		sim.registryLagMs = sim.rand.Int63n(1_200)
		sim.takeOver()
	case 2, 3:
		sim.fleet.SetUnreachable(id, true)
		sim.hidden[id] = sim.rand.Intn(2) == 0
	case 4:
		sim.fleet.SetUnreachable(id, false)
	case 5:
		sim.fleet.Reboot(id, sim.nowMs)
	case 6:
		sim.fleet.SetFaults(fakes.SimFleetFaults{Lost: 0.1, Late: 0.1, Fail: 0.02, Deaf: 0.2, Moved: 0.1})
	case 7:
		sim.fleet.SetFaults(fakes.SimFleetFaults{})
	}
}

// calm ends all faults. Entries that have lapsed are back with the next ones.
func (sim *cancelSimulation) calm() {
	for _, id := range sim.fleet.IDs() {
		sim.fleet.SetUnreachable(id, false)
	}
	sim.fleet.SetFaults(fakes.SimFleetFaults{})
	clear(sim.hidden)
	sim.calmSinceMs = sim.nowMs + sim.registryLagMs + simBeatMs
	sim.registryLagMs = 0
}

// stepAndCheck advances the time and notes the runs that have outlasted their job for too
// long in calm.
func (sim *cancelSimulation) stepAndCheck() {
	cancelled := sim.cancelSome()
	sim.step()
	for _, id := range cancelled {
		sim.ackedMs[id] = sim.nowMs
	}
	if sim.calmSinceMs == 0 {
		return
	}
	for _, r := range sim.fleet.ActiveRuns() {
		ref, _ := sched.ParseRef(r.Task)
		acked := sim.ackedMs[ref.Job]
		if acked == 0 || sim.nowMs-max(acked, sim.calmSinceMs, r.StartMs) <= stopOrderMs {
			continue
		}
		if key := fmt.Sprintf("%s/%d@%s", r.Task, r.Run, r.Worker); !sim.seen[key] {
			sim.seen[key] = true
			sim.late = append(sim.late, fmt.Sprintf("at %d: %s, started %d, cancelled %d, calm since %d: %s", sim.nowMs, key, r.StartMs, acked, sim.calmSinceMs,
				sim.owners[len(sim.owners)-1].planner.Describe(ref.Job)))
		}
	}
}

// run plays simRounds spells of trouble, each followed by a calm one.
func (sim *cancelSimulation) run() {
	for range simRounds {
		sim.calmSinceMs = 0
		for range simTroubleMs / simStepMs {
			if sim.rand.Intn(10) == 0 {
				sim.submitLong()
			}
			if sim.rand.Intn(15) == 0 {
				sim.disturb()
			}
			sim.stepAndCheck()
		}
		sim.calm()
		for range simCalmMs / simStepMs {
			sim.stepAndCheck()
		}
	}
}

// open returns the stored jobs that have not ended.
func (sim *cancelSimulation) open() (ids []string) {
	for _, id := range sim.storedJobs {
		s, _ := sim.owners[len(sim.owners)-1].planner.Status(id)
		if s == sched.StatusQueued || s == sched.StatusRunning {
			ids = append(ids, id)
		}
	}
	return ids
}

// TestNoRunOutlastsItsJob guards against runs of cancelled jobs that go on after trouble:
// orders that are lost, late, refused by another worker at the address, or confirmed and
// not carried out, and owners that are lost while workers are silent or not known.
func TestNoRunOutlastsItsJob(t *testing.T) {
	for seed := int64(1); seed <= int64(*simSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newCancelSimulation(t, seed)
			sim.run()
			assert.DeepEqual(t, sim.late, []string(nil))
			assert.DeepEqual(t, sim.fleet.Violations(), []string(nil))
			for i := 0; i < 120_000/simStepMs && len(sim.open()) > 0; i++ {
				sim.step()
			}
			p := sim.owners[len(sim.owners)-1].planner
			for _, id := range sim.open() {
				t.Errorf("not ended: %s", p.Describe(id))
			}
			for range 10_000 / simStepMs {
				sim.step()
			}
			for _, r := range p.UnconfirmedRuns(5_000, 10, sim.now()) {
				t.Errorf("never released: %+v", r)
			}
			assert.Assert(t, len(sim.ackedMs) > 10, "only %d jobs were cancelled", len(sim.ackedMs))
		})
	}
}
