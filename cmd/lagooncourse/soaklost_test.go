package main

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/fakes"
)

// Bounds of rule LOST on jobs that could run.
const (
	lostIdle = 3 * time.Second // a job has nothing running
	lostCalm = 4 * time.Second // without any disruption before that
)

// idleTime is a time in which no task of a job ran although the turn of some had come.
type idleTime struct {
	fromMs, toMs int64
	due          []dueTasks
}

// dueTasks are tasks of a step that can start: all of a gang, otherwise one.
type dueTasks struct {
	step  int
	name  string // of the step
	team  string
	size  jobs.Size // of one task
	count int64
}

// checkLost returns the jobs that are shown as failed, and those that have nothing running
// for lostIdle although there is room for one of their tasks twice over, in calm. That holds
// however full the service is.
func (h history) checkLost() (findings []string) {
	runs := map[string][]fakes.RunRecord{}
	for _, r := range h.runs {
		id, _, _ := strings.Cut(r.Task, ".")
		runs[id] = append(runs[id], r)
	}
	uses := h.uses()
	for _, id := range slices.Sorted(maps.Keys(h.jobs)) {
		if j := h.jobs[id]; j.failedMs > 0 && !h.deadly[id] {
			if n := mostFailures(h.specs[id], runs[id]); n == 0 || n < h.attempts[h.specs[id].Queue] {
				findings = append(findings, fmt.Sprintf("LOST: job %s is shown as failed at %d ms, and %d runs of one task ended failed", id, j.failedMs, n))
			}
			continue
		}
		for _, t := range h.idleTimes(id, runs[id]) {
			if f := h.neglect(id, t, uses); f != "" {
				if h.deadly[id] {
					f += ", deadly"
				}
				findings = append(findings, f)
				break
			}
		}
	}
	return findings
}

// checkFinish returns the jobs that have nothing running for lostIdle at the finish, although
// there is room for one of their tasks twice over and under half of the service is in use.
// That holds whatever has happened before.
func (h history) checkFinish() (findings []string) {
	if h.finishMs == 0 {
		return nil
	}
	h.disruptions = nil
	runs := map[string][]fakes.RunRecord{}
	for _, r := range h.runs {
		id, _, _ := strings.Cut(r.Task, ".")
		runs[id] = append(runs[id], r)
	}
	uses := h.uses()
	for _, id := range slices.Sorted(maps.Keys(h.jobs)) {
		for _, t := range h.idleTimes(id, runs[id]) {
			if t.fromMs > h.finishMs || t.toMs <= h.finishMs {
				continue
			}
			half := h
			half.mostInUse = 0.5
			if f := half.neglect(id, t, uses); f != "" {
				findings = append(findings, fmt.Sprintf("at the finish, %d ms, deadly %v: %s", h.finishMs, h.deadly[id], f))
			}
		}
	}
	return findings
}

// mostFailures returns the number of failed runs of the task, or the gang, with the most.
func mostFailures(spec sched.Spec, runs []fakes.RunRecord) (most int) {
	failed := map[string]map[int]bool{} // by task, or by step of a gang: numbers of the runs
	for _, r := range runs {
		ref, ok := sched.ParseRef(r.Task)
		if !ok || r.Reason != sched.EndFailed || ref.Step >= len(spec.Steps) {
			continue
		}
		name := r.Task
		if spec.Steps[ref.Step].Gang {
			name = ref.StepName()
		}
		if failed[name] == nil {
			failed[name] = map[int]bool{}
		}
		failed[name][r.Run] = true
		most = max(most, len(failed[name]))
	}
	return most
}

// idleTimes returns the idle times of a job of lostIdle or more, from its acceptance until it
// is done or its cancelling is sent. Its runs are in the order of their starts.
func (h history) idleTimes(id string, runs []fakes.RunRecord) (list []idleTime) {
	j, untilMs := h.jobs[id], h.nowMs
	if j.acceptedMs == 0 {
		return nil
	}
	if j.cancelMs > 0 {
		untilMs = j.cancelMs
	}
	if j.failedMs > 0 {
		untilMs = min(untilMs, j.failedMs)
	}
	fromMs := j.acceptedMs
	for i := range len(runs) + 1 {
		toMs := untilMs
		if i < len(runs) {
			toMs = min(untilMs, runs[i].StartMs)
		}
		if toMs-fromMs >= lostIdle.Milliseconds() {
			if due := dueSteps(h.specs[id], runs[:i]); len(due) > 0 {
				list = append(list, idleTime{fromMs, toMs, due})
			}
		}
		if i < len(runs) {
			fromMs = max(fromMs, endMs(runs[i]))
		}
	}
	return list
}

// dueSteps returns the tasks whose turn has come after some runs, all of which have ended.
func dueSteps(spec sched.Spec, runs []fakes.RunRecord) (list []dueTasks) {
	done := make([]bool, len(spec.Steps))
	for i, step := range spec.Steps {
		done[i] = stepDone(i, step, runs)
	}
	for i, step := range spec.Steps {
		if done[i] || slices.ContainsFunc(step.DependsOn, func(before int) bool { return !done[before] }) {
			continue
		}
		d := dueTasks{step: i, name: sched.Ref{Job: spec.ID, Step: i}.StepName(), team: spec.Team, size: step.Size, count: 1}
		if step.Gang {
			d.count = int64(step.Count)
		}
		list = append(list, d)
	}
	return list
}

// stepDone reports whether the last runs of all tasks of a step have lasted for as long as
// their work, which that of a gang does from the last start on.
func stepDone(i int, step sched.Step, runs []fakes.RunRecord) bool {
	last := map[int]fakes.RunRecord{}
	gangRun := 0
	for _, r := range runs {
		if ref, ok := sched.ParseRef(r.Task); ok && ref.Step == i {
			if step.Gang && r.Reason == sched.EndDone {
				return true
			}
			last[ref.Index] = r
			gangRun = max(gangRun, r.Run)
		}
	}
	gangMs := int64(0)
	for _, r := range last {
		gangMs = max(gangMs, r.StartMs)
	}
	for index := range step.Count {
		r, ok := last[index]
		startMs := r.StartMs
		if step.Gang {
			startMs = gangMs
		}
		if !ok || step.Gang && r.Run != gangRun || r.EndMs-startMs < step.EstimateMs || r.Reason == sched.EndFailed {
			return false
		}
	}
	return true
}

// neglect describes the part of an idle time in which a task should have started, "" if
// there is none.
func (h history) neglect(id string, t idleTime, uses []use) string {
	first, found := slices.BinarySearchFunc(uses, t.fromMs, func(u use, ms int64) int { return cmp.Compare(u.fromMs, ms) })
	if !found && first > 0 {
		first--
	}
	for _, due := range t.due {
		fromMs, least, most := t.fromMs, int64(math.MaxInt64), 0.0 // since then there is room
		for i, u := range uses[first:] {
			ms, room := min(max(u.fromMs, t.fromMs), t.toMs), int64(0)
			inUse := u.all.DominantShare(h.capacity.Times(int64(len(h.workers))))
			if ms < t.toMs && (h.mostInUse == 0 || inUse < h.mostInUse) {
				room = h.roomFor(due, u)
			}
			if room >= 2*due.count {
				least, most = min(least, room), max(most, inUse)
				continue
			}
			calm := lostCalm
			if h.mostInUse > 0 {
				calm = 0
			}
			calmMs, ok := calmStretch(slices.Clone(h.disruptions), max(1, fromMs-calm.Milliseconds()), ms, (calm + lostIdle).Milliseconds())
			if ok {
				return fmt.Sprintf("LOST: job %s has nothing running from %d to %d ms, but %d tasks of step %d could start: there was room for %d, at most %.0f%% of the service in use, and no disruption from %d ms on",
					id, t.fromMs, t.toMs, due.count, due.step, least, 100*most, calmMs)
			}
			if ms == t.toMs {
				break
			}
			fromMs, least, most = uses[first+i+1].fromMs, math.MaxInt64, 0
		}
	}
	return ""
}

// use is what runs from a moment until the next one.
type use struct {
	fromMs int64
	worker map[string]jobs.Size
	team   map[string]jobs.Size
	all    jobs.Size
}

// uses returns what runs at all times, the last entry from the end of the history on.
func (h history) uses() []use {
	edges := []int64{0, h.nowMs}
	for _, r := range h.runs {
		edges = append(edges, r.StartMs, min(endMs(r), h.nowMs))
	}
	slices.Sort(edges)
	var list []use
	for _, ms := range slices.Compact(edges) {
		list = append(list, use{fromMs: ms, worker: map[string]jobs.Size{}, team: map[string]jobs.Size{}})
	}
	for _, r := range h.runs {
		ref, ok := sched.ParseRef(r.Task)
		steps := h.specs[ref.Job].Steps
		if !ok || ref.Step >= len(steps) {
			continue
		}
		size, team := steps[ref.Step].Size, h.specs[ref.Job].Team
		i, _ := slices.BinarySearchFunc(list, r.StartMs, func(u use, ms int64) int { return cmp.Compare(u.fromMs, ms) })
		for ; i < len(list) && list[i].fromMs < endMs(r); i++ {
			list[i].worker[r.Worker] = list[i].worker[r.Worker].Plus(size)
			list[i].team[team] = list[i].team[team].Plus(size)
			list[i].all = list[i].all.Plus(size)
		}
	}
	return list
}

// roomFor returns how many of the tasks fit on the workers that may run them beside what
// runs, none if their team has half of its maximum. In calm, all workers are up.
func (h history) roomFor(due dueTasks, u use) (n int64) {
	if m := h.maximum[due.team]; !m.IsZero() && u.team[due.team].DominantShare(m) >= 0.5 {
		return 0
	}
	for _, w := range h.workers {
		if h.allows != nil && !h.allows(due.name, w) {
			continue
		}
		for used := u.worker[w].Plus(due.size); used.FitsIn(h.capacity); used = used.Plus(due.size) {
			n++
		}
	}
	return n
}

// endMs returns the end of a run, math.MaxInt64 while it is active.
func endMs(r fakes.RunRecord) int64 {
	if r.EndMs == 0 {
		return math.MaxInt64
	}
	return r.EndMs
}

// TestSoakCheckLost feeds recorded histories to the check of jobs that could run. Job a has
// one task of a second, and then two. It is accepted at 10 s, and ends its first task at
// 11.1 s.
func TestSoakCheckLost(t *testing.T) {
	size := func(cpu int64) jobs.Size { return jobs.Size{CPU: cpu, Mem: 10} }
	spec := func(cpu int64, gang bool) sched.Spec {
		return sched.Spec{Steps: []sched.Step{
			{Count: 1, Size: size(cpu), EstimateMs: 1_000},
			{Count: 2, Size: size(cpu), EstimateMs: 1_000, DependsOn: []int{0}, Gang: gang},
		}}
	}
	run := func(task, worker string, fromMs, toMs int64) fakes.RunRecord {
		return fakes.RunRecord{Task: task, Run: 1, Worker: worker, StartMs: fromMs, EndMs: toMs}
	}
	first := run("a.0.0.0", "w1", 10_100, 11_100)
	second := func(fromMs, toMs int64) []fakes.RunRecord {
		return []fakes.RunRecord{first, run("a.0.1.0", "w1", fromMs, toMs), run("a.0.1.1", "w2", fromMs, toMs)}
	}
	beside := func(task1, task2 string, fromMs, toMs int64) []fakes.RunRecord {
		return []fakes.RunRecord{run(task1, "w1", fromMs, toMs), run(task2, "w2", fromMs, toMs), first}
	}
	disrupted := func(kind disruptionKind, name string, fromMs, toMs int64) []disruption {
		return []disruption{{kind, name, fromMs, toMs}}
	}
	const accepted = 10_000
	for name, c := range map[string]struct {
		runs        []fakes.RunRecord // the first task only, if there are none
		times       jobTimes
		gang        bool
		maximum     jobs.Size
		disruptions []disruption
		want        string // "" if nothing is to be found
	}{
		"second step never starts":            {want: "from 11100 to 30000 ms, but 1 tasks of step 1"},
		"first step never starts":             {runs: []fakes.RunRecord{run("b.0.0.0", "w1", 1, 2)}, want: "from 10000 to 30000 ms, but 1 tasks of step 0"},
		"second step starts late":             {runs: second(14_100, 15_100), want: "from 11100 to 14100 ms"},
		"second step starts in time":          {runs: second(14_099, 15_100)},
		"second step lost and not run again":  {runs: second(11_200, 11_500), want: "from 11500 to 30000 ms"},
		"one of two tasks not run again":      {runs: append(second(11_200, 12_300)[:2], run("a.0.1.1", "w2", 11_200, 12_000)), want: "from 12300 to 30000 ms"},
		"first step lost and not run again":   {runs: []fakes.RunRecord{run("a.0.0.0", "w1", 10_100, 10_900)}, want: "from 10900 to 30000 ms, but 1 tasks of step 0"},
		"another task of the job at work":     {runs: []fakes.RunRecord{first, run("a.0.1.0", "w1", 11_200, 0)}},
		"not accepted":                        {times: jobTimes{cancelledMs: 29_000}},
		"cancelled before":                    {times: jobTimes{acceptedMs: accepted, cancelMs: 14_000}},
		"cancelled after it":                  {times: jobTimes{acceptedMs: accepted, cancelMs: 14_200}, want: "from 11100 to 14200 ms"},
		"shown as failed":                     {times: jobTimes{acceptedMs: accepted, failedMs: 20_000}, want: "shown as failed at 20000 ms"},
		"shown as failed after work":          {runs: second(11_200, 12_300), times: jobTimes{acceptedMs: accepted, failedMs: 20_000}, want: "shown as failed"},
		"no room":                             {runs: beside("full.0.0.0", "full.0.1.0", 9_000, 0)},
		"room for one":                        {runs: beside("full.0.0.0", "most.0.0.0", 9_000, 0)},
		"room for two, service mostly in use": {runs: beside("most.0.0.0", "most.0.1.0", 9_000, 0), want: "there was room for 2, at most 75% of the service in use"},
		"room for two for too short a time":   {runs: append(beside("full.0.0.0", "most.0.0.0", 9_000, 27_001), run("full.0.0.0", "w1", 30_000, 0))},
		"room for two in the end":             {runs: beside("full.0.0.0", "most.0.0.0", 9_000, 27_000), want: "LOST"},
		"room comes and goes":                 {runs: append(beside("full.0.0.0", "most.0.0.0", 9_000, 14_000), run("full.0.0.0", "w1", 16_500, 18_000), run("full.0.1.0", "w2", 16_500, 18_000), run("full.0.0.0", "w1", 20_500, 0), run("full.0.1.0", "w2", 20_500, 0))},
		"gang, room for all twice over":       {gang: true, runs: beside("half.0.0.0", "half.0.1.0", 9_000, 0), want: "2 tasks of step 1"},
		"gang, room for less":                 {gang: true, runs: beside("most.0.0.0", "half.0.0.0", 9_000, 0)},
		"gang lost":                           {gang: true, runs: second(11_200, 12_100), want: "from 12100 to 30000 ms"},
		"gang done":                           {gang: true, runs: second(11_200, 12_200)},
		"gang incomplete":                     {gang: true, runs: second(11_200, 15_000)[:2], want: "from 15000 to 30000 ms"},
		"tenant has half of its maximum":      {runs: beside("half.0.0.0", "half.0.1.0", 9_000, 0), maximum: jobs.Size{CPU: 8_000}},
		"tenant has less":                     {runs: beside("half.0.0.0", "half.0.1.0", 9_000, 0), maximum: jobs.Size{CPU: 8_001}, want: "LOST"},
		"store away meanwhile":                {runs: second(17_900, 19_000), disruptions: disrupted(ofStore, "", 11_000, 11_200)},
		"link cut meanwhile":                  {runs: second(17_900, 19_000), disruptions: disrupted(ofLink, "w2", 11_000, 11_200)},
		"worker crashes meanwhile":            {runs: second(17_900, 19_000), disruptions: disrupted(ofLink, "w2", 11_200, 11_200)},
		"host away meanwhile":                 {runs: second(17_900, 19_000), disruptions: disrupted(ofHost, "h1", 11_000, 11_200)},
		"disruptions go on":                   {disruptions: append(disrupted(ofHost, "h1", 16_000, 16_200), disruption{ofLink, "w1", 23_100, 23_100}, disruption{ofLink, "w1", 10_000, 10_100})},
		"calm between disruptions":            {disruptions: append(disrupted(ofHost, "h1", 16_000, 16_200), disruption{ofLink, "w1", 23_200, 23_200}, disruption{ofLink, "w1", 10_000, 10_100}), want: "no disruption from 16200 ms on"},
		"calm for 4 s before it":              {runs: second(18_200, 19_300), disruptions: disrupted(ofLink, "w2", 11_000, 11_200), want: "no disruption from 11200 ms on"},
		"calm for less":                       {runs: second(18_199, 19_300), disruptions: disrupted(ofLink, "w2", 11_000, 11_200)},
		"disrupted long before":               {runs: second(14_100, 15_100), disruptions: disrupted(ofStore, "", 3_000, 7_100), want: "from 7100 ms on"},
		"disrupted shortly before":            {runs: second(14_100, 15_100), disruptions: disrupted(ofStore, "", 3_000, 7_101)},
	} {
		t.Run(name, func(t *testing.T) {
			if c.times == (jobTimes{}) {
				c.times = jobTimes{acceptedMs: accepted}
			}
			if c.runs == nil {
				c.runs = []fakes.RunRecord{first}
			}
			h := history{
				hosts: []string{"h1", "h2"}, workers: []string{"w1", "w2"}, capacity: jobs.Size{CPU: 4_000, Mem: 4_000}, maximum: map[string]jobs.Size{"": c.maximum},
				specs: map[string]sched.Spec{"a": spec(1_000, c.gang), "b": spec(1_000, false), "half": spec(2_000, false), "most": spec(3_000, false), "full": spec(3_500, false)},
				runs:  c.runs, disruptions: c.disruptions, jobs: map[string]jobTimes{"a": c.times}, nowMs: 30_000,
			}
			findings := h.checkLost()
			if c.want == "" {
				assert.Equal(t, len(findings), 0, "%v", findings)
				return
			}
			assert.Equal(t, len(findings), 1, "%v", findings)
			assert.Check(t, strings.HasPrefix(findings[0], "LOST: job a ") && strings.Contains(findings[0], c.want), findings[0])
		})
	}
}
