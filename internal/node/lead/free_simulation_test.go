package lead

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/cell/sched"
)

// neglected returns the steps that wait with nothing running although under half of the fleet
// is in use and there is room for a task of theirs twice over on the workers that advice admits.
func (sim *simulation) neglected() map[string]bool {
	used, total := map[string]int64{}, int64(0)
	running := map[string]bool{}
	for _, r := range sim.fleet.ActiveRuns() {
		ref, _ := sched.ParseRef(r.Task)
		cpu := sim.fleet.Spec(ref.Job).Steps[ref.Step].Size.CPU
		used[r.Worker] += cpu
		total += cpu
		running[ref.StepName()] = true
	}
	if 2*total >= adviceWorkers*simCapacity.CPU {
		return nil
	}
	list := map[string]bool{}
	for _, e := range sim.owners[len(sim.owners)-1].planner.ExplainWaiting(0, math.MaxInt, sim.now()) {
		ref, _ := sched.ParseRef(e.Step + ".0")
		cpu, room := sim.fleet.Spec(ref.Job).Steps[ref.Step].Size.CPU, int64(0)
		for _, id := range sim.fleet.IDs() {
			if sim.fleet.Allows(e.Step, id) {
				room += (simCapacity.CPU - used[id]) / cpu
			}
		}
		if room >= 2 && !running[e.Step] {
			list[e.Step] = true
		}
	}
	return list
}

// Times of the play of TestGangsStartOnAFreeFleet, in ms, and the bound that the platform sets.
const (
	freeFinishMs = 62_000
	freeSampleMs = 200
	freeIdleMs   = 3_000
)

// playFree plays a multiple of the load with a takeover, and returns the longest times for
// which steps were neglected after it, above freeIdleMs.
func (sim *simulation) playFree(load float64) (found []string) {
	sinceMs := map[string]int64{}
	for ms := int64(0); ms < freeFinishMs; ms += simStepMs {
		if ms < adviceTrafficMs {
			sim.submitKinds(load)
		}
		if ms == adviceTakeoverMs {
			sim.takeOver()
		}
		if ms >= adviceTakeoverMs && ms < adviceTakeoverMs+adviceNoOwnerMs {
			sim.nowMs += simStepMs
			sim.fleet.Advance(sim.nowMs)
			continue
		}
		sim.step()
		if ms%freeSampleMs != 0 || ms < adviceTakeoverMs {
			continue
		}
		now := sim.neglected()
		for step, fromMs := range sinceMs {
			if !now[step] {
				if ms-fromMs >= freeIdleMs {
					found = append(found, fmt.Sprintf("%s from %d to %d ms", step, fromMs, ms))
				}
				delete(sinceMs, step)
			}
		}
		for step := range now {
			if _, ok := sinceMs[step]; !ok {
				sinceMs[step] = ms
			}
		}
	}
	return found
}

// TestGangsStartOnAFreeFleet guards against gangs that wait for advice or for each other's
// workers while most of the fleet is free, as after a takeover and at the end of a load.
func TestGangsStartOnAFreeFleet(t *testing.T) {
	for _, c := range []struct {
		load float64
		seed int64
	}{{1, 2}, {1, 3}, {1.3, 1}, {1.3, 3}} {
		t.Run(fmt.Sprintf("%g/%d", c.load, c.seed), func(t *testing.T) {
			t.Parallel()
			sim := newAdviceSimulation(t, c.seed)
			found := sim.playFree(c.load)
			assert.Equal(t, len(found), 0, "%q", found)
			assert.DeepEqual(t, sim.fleet.Violations(), []string(nil))
		})
	}
}
