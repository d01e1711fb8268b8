package sched

import "slices"

// Everything that the planner derives from the dependencies of a job's steps. It runs
// in each plan while all other work waits, so its cost is bounded by the number of
// steps, or by that of dependencies where noted. Walking the paths between two steps is
// not: there are exponentially many in a pipeline whose stages depend on each other in
// full.

// graph holds the dependencies of a job's steps.
type graph struct {
	deps       [][]int // by step: the steps on which it depends directly, without repetitions
	dependents [][]int // by step: all steps that depend on it, directly or not

	// Estimates; see estimatedGraph. Run times are in ms.
	estimated    bool
	version      int     // Planner.runsRecorded when they were computed
	runMs        []int64 // by step
	remainingMs  []int64 // by step: run time of it and its dependents, one after another
	endMs        []int64 // by step: run time of the longest chain that ends with it
	criticalPath int64   // run time of the longest chain of steps
}

// newGraph returns the graph of steps that depend only on earlier ones. It takes time in
// proportion to the number of steps times that of direct dependencies.
func newGraph(steps []Step) *graph {
	n := len(steps)
	g := &graph{
		deps: make([][]int, n), dependents: make([][]int, n), runMs: make([]int64, n), remainingMs: make([]int64, n), endMs: make([]int64, n),
	}
	for i, s := range steps {
		g.deps[i] = slices.Compact(slices.Sorted(slices.Values(s.DependsOn)))
	}
	reached := make([]bool, len(steps))
	for i := range steps {
		clear(reached)
		reached[i] = true
		for k := i + 1; k < len(steps); k++ {
			if slices.ContainsFunc(g.deps[k], func(d int) bool { return reached[d] }) {
				reached[k] = true
				g.dependents[i] = append(g.dependents[i], k)
			}
		}
	}
	return g
}

// stepGraph returns the graph of the job's steps, which is built at its first use: most
// jobs that a host reads have ended.
func (j *Job) stepGraph() *graph {
	if j.graph == nil {
		j.graph = newGraph(j.Spec.Steps)
	}
	return j.graph
}

// estimatedGraph returns the graph of a job with its estimates. They are computed again
// only if a run has been recorded since.
func (p *Planner) estimatedGraph(j *Job) *graph {
	g := j.stepGraph()
	if g.estimated && g.version == p.runsRecorded {
		return g
	}
	g.estimated, g.version, g.criticalPath = true, p.runsRecorded, 0
	for i, s := range j.Spec.Steps {
		g.runMs[i], g.endMs[i] = p.estimator.runMs(j.queue.stats, s), 0
		for _, d := range g.deps[i] {
			g.endMs[i] = max(g.endMs[i], g.endMs[d])
		}
		g.endMs[i] += g.runMs[i]
		g.criticalPath = max(g.criticalPath, g.endMs[i])
	}
	for i, ms := range g.runMs {
		for _, k := range g.dependents[i] {
			ms += g.runMs[k]
		}
		g.remainingMs[i] = ms
	}
	return g
}

// stepDone reports whether all tasks of a step of an occurrence are done.
func (j *Job) stepDone(occ, step int) bool {
	return !slices.ContainsFunc(j.stepTasks(occ, step), func(t Task) bool { return t.State != Done })
}
