package sched

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/cell/jobs"
)

// pipeline returns a first step, a side step that depends on it, and stages of width
// steps, each of which depends on all steps of the stage before. No path leads from the
// last stage to the side step.
func pipeline(stages, width int) []Step {
	step := Step{Count: 1, Size: jobs.Size{CPU: 1000}, EstimateMs: 100}
	side := step
	side.DependsOn = []int{0}
	list := []Step{step, side}
	before := []int{0}
	for range stages {
		var stage []int
		for range width {
			s := step
			s.DependsOn = before
			stage = append(stage, len(list))
			list = append(list, s)
		}
		before = stage
	}
	return list
}

// within fails the test if f takes longer than limit, which has to be far above what f
// takes on a slow machine: it separates work that grows with the size of its input and
// work that grows exponentially.
func within(t *testing.T, limit time.Duration, what string, f func()) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	select {
	case <-done:
	case <-time.After(limit):
		t.Fatalf("%s takes longer than %s", what, limit)
	}
}

// TestDensePipelineIsPlanned guards against an owner that hangs on one accepted job:
// there are 3^20 paths between the steps of this one.
func TestDensePipelineIsPlanned(t *testing.T) {
	now := Instant{Ms: 1000, WallMs: 1000}
	p := fleet(4, now)
	spec := Spec{ID: "a", Queue: "urgent", AcceptedMs: now.WallMs, Steps: pipeline(20, 3)}
	within(t, 30*time.Second, "a pipeline of 62 steps", func() {
		p.Accept(spec, now)
		seq := int64(0)
		for p.state.Jobs["a"].Progress.Verdict == Open && now.Ms < 60_000 {
			now.Ms, now.WallMs = now.Ms+idlePlanMs, now.WallMs+idlePlanMs
			for _, s := range p.Plan(noHosts{}, now).Starts {
				p.ReleaseStarts([]Start{s}, now)
				p.ApplyStartOutcome(s, StartConfirmed, now)
				seq++
				p.ApplyReport(s.Worker, WorkerReport{SentMs: now.Ms, Incarnation: 1, Finished: []Finished{
					{Seq: seq, Task: s.Ref.String(), Run: s.Run, Reason: EndDone},
				}}, now)
			}
		}
	})
	assert.Equal(t, p.state.Jobs["a"].Progress.Verdict, Completed)
}

// worstJobs are jobs within the limits of the platform's front whose steps are as
// costly to order as they can be: 64 steps, 3,000 tasks, 256 KiB.
func worstJobs() map[string]Spec {
	const steps, tasks = 64, 3_000
	dense, wide := Spec{}, Spec{Occurrences: tasks / steps}
	repeated := Spec{}
	for i := range steps {
		s := Step{Count: tasks / steps, Size: jobs.Size{CPU: 1000}, EstimateMs: 100}
		wide.Steps = append(wide.Steps, Step{Count: 1, Size: jobs.Size{CPU: 1000}, EstimateMs: 100})
		for d := range i {
			s.DependsOn = append(s.DependsOn, d)
		}
		dense.Steps = append(dense.Steps, s)
		r := Step{Count: tasks / steps, Size: jobs.Size{CPU: 1000}, EstimateMs: 100}
		if i > 0 {
			r.DependsOn = make([]int, 2_000)
		}
		repeated.Steps = append(repeated.Steps, r)
	}
	return map[string]Spec{
		"each step depends on all before": dense,
		"all occurrences are due":         wide,
		"repeated dependencies":           repeated,
		"dense stages":                    {Steps: pipeline(3, 20)},
		"narrow stages":                   {Steps: pipeline(31, 2)},
		"many occurrences":                {Occurrences: tasks, Steps: []Step{{Count: 1, Size: jobs.Size{CPU: 1000}, EstimateMs: 100}}},
		"one wide step":                   {Steps: []Step{{Count: tasks, Size: jobs.Size{CPU: 1000}, EstimateMs: 100, MaxPerWorker: 1}}},
	}
}

// TestWorstCaseJobs guards against jobs that take the planner from all others: a hundred
// of each kind are planned, and a small job beside them starts.
func TestWorstCaseJobs(t *testing.T) {
	for name, spec := range worstJobs() {
		t.Run(name, func(t *testing.T) {
			now := Instant{Ms: 1000, WallMs: 1000}
			p := fleet(4, now)
			within(t, time.Minute, "planning a hundred jobs", func() {
				for i := range 100 {
					spec.ID, spec.Queue, spec.AcceptedMs = fmt.Sprintf("a%04d", i), "wide", now.WallMs
					p.Accept(spec, now)
				}
				p.Accept(Spec{ID: "b", Queue: "urgent", AcceptedMs: now.WallMs, Steps: []Step{{Count: 1, Size: jobs.Size{CPU: 1_000}, EstimateMs: 100}}}, now)
				assert.Check(t, startedWithin(p, noHosts{}, "b", 200, &now))
			})
		})
	}
}

// TestGraphAgainstPaths compares the graphs of random steps with a search over all paths.
func TestGraphAgainstPaths(t *testing.T) {
	rnd := rand.New(rand.NewSource(1))
	for range 200 {
		steps := make([]Step, 1+rnd.Intn(9))
		for i := range steps {
			for range rnd.Intn(3) {
				if i > 0 {
					steps[i].DependsOn = append(steps[i].DependsOn, rnd.Intn(i))
				}
			}
		}
		var reaches func(i, target int) bool
		reaches = func(i, target int) bool {
			for _, d := range steps[i].DependsOn {
				if d == target || reaches(d, target) {
					return true
				}
			}
			return false
		}
		g := newGraph(steps)
		for i := range steps {
			var want []int
			for k := range steps {
				if reaches(k, i) {
					want = append(want, k)
				}
			}
			assert.DeepEqual(t, g.dependents[i], want)
		}
	}
}
