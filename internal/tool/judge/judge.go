// Package judge checks the scheduler's guarantees against what workers,
// executors and callers recorded. It does not read the scheduler's own state.
//
// # Usage
//
//	verdicts := judge.CheckAll(history)
//	for _, v := range verdicts {
//		fmt.Println(v.Guarantee, v.Held(), v.Violations)
//	}
package judge

import (
	"fmt"
	"sort"
	"strings"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/plat/fakes"
	"lagooncourse/internal/plat/worker"
)

// graceMs is the time that a change of a key, an availability zone, a target or
// the configuration may take to have its effect, in milliseconds.
const graceMs = 4000

// SubmittedJob is a job that an entry host accepted. Times are in milliseconds
// since 1970.
type SubmittedJob struct {
	ID         jobs.ID
	Team       string
	Kind       jobs.Kind
	Idempotent bool
	SentMs     int64 // when the caller sent it
	AcceptedMs int64
	Final      jobs.State // last state that the API reported
}

// CallRecord is a call that a caller sent and its outcome. Times are in
// milliseconds since 1970.
type CallRecord struct {
	ID         string
	Team       string
	Idempotent bool
	SentMs     int64
	EndMs      int64
	Ran        fault.Outcome // as reported to the caller
	Code       fault.Code    // of the error, if any
	Complete   bool          // the response is complete and belongs to the call
	Host       int           // index of the entry host that received it
}

// Interval is a named period, in milliseconds since 1970. A zero EndMs means the
// end of the run.
type Interval struct {
	Name    string
	StartMs int64
	EndMs   int64
}

// Edit is an accepted configuration edit and the time at which every ready entry
// host had applied it, in milliseconds since 1970.
type Edit struct {
	Name       string
	AcceptedMs int64
	InForceMs  int64 // 0 if some ready entry host did not apply it in time
}

// History is everything that was recorded in a run.
type History struct {
	EndMs      int64
	Runs       []fakes.Run
	Executions []fakes.Execution
	Jobs       []SubmittedJob
	Calls      []CallRecord
	Capacity   map[string]jobs.Size // worker -> capacity
	Limits     map[string]jobs.Size // team -> upper limit
	Withdrawn  []Interval           // teams whose only key was withdrawn
	AzOut      []Interval
	Leaving    []Interval // targets
	Stops      []Interval // planned stops of entry hosts, named by host number
	Edits      []Edit
	Reverted   []string // observed regressions of the configuration
	SlotPeak   int      // largest number of concurrent calls on one executor
	Slots      int      // of each executor
}

// Verdict is the result of checking one guarantee.
type Verdict struct {
	Guarantee  string   `json:"promise"`
	Checked    int      `json:"checked"` // records that could have violated it
	Violations []string `json:"evidence,omitempty"`
}

// Held reports whether no violation was found.
func (v Verdict) Held() bool { return len(v.Violations) == 0 }

// maxViolations limits the violations that are kept for each guarantee.
const maxViolations = 5

func (v *Verdict) addViolation(format string, args ...any) {
	if len(v.Violations) < maxViolations {
		v.Violations = append(v.Violations, fmt.Sprintf(format, args...))
	}
}

// CheckAll checks every guarantee.
func CheckAll(h History) []Verdict {
	checks := []struct {
		guarantee string
		check     func(*History, *Verdict)
	}{
		{"No host is ever overcommitted", checkOvercommit},
		{"No task runs in two places", checkSinglePlace},
		{"A withdrawn key stops working within seconds", checkWithdrawnKeys},
		{"No team has more running than its upper limit", checkTeamLimits},
		{"No task starts in an availability zone that is out", checkAzOut},
		{"Every caller receives the whole answer to its own request", checkAnswers},
		{"A refusal saying \"not run\" is true", checkRefusals},
		{"A non-idempotent request runs at most once", checkAtMostOnce},
		{"A leaving target gets no new work after a few seconds", checkLeavingTargets},
		{"Every planned stop cuts off no request", checkPlannedStops},
		{"An accepted configuration is in force within seconds and never reverts", checkEdits},
		{"Every accepted job ends once, or is parked and said to be", checkFinalStates},
	}
	var list []Verdict
	for _, c := range checks {
		v := Verdict{Guarantee: c.guarantee}
		c.check(&h, &v)
		list = append(list, v)
	}
	return list
}

func (h *History) endOf(r fakes.Run) int64 {
	if r.EndMs == 0 {
		return h.EndMs
	}
	return r.EndMs
}

// usageChange is a change of the resources in use at a point in time.
type usageChange struct {
	atMs int64
	size jobs.Size
}

// firstExcess returns the first time at which the resources of concurrent runs
// exceed the limit.
func (h *History) firstExcess(runs []fakes.Run, limit jobs.Size) (atMs int64, sum jobs.Size, over bool) {
	var changes []usageChange
	for _, r := range runs {
		size := jobs.Size{CPU: r.CPU, Mem: r.Mem, Accel: r.Accel}
		changes = append(changes, usageChange{r.StartMs, size}, usageChange{h.endOf(r), jobs.Size{}.Minus(size)})
	}
	sort.SliceStable(changes, func(i, j int) bool {
		if changes[i].atMs != changes[j].atMs {
			return changes[i].atMs < changes[j].atMs
		}
		return changes[i].size.CPU < changes[j].size.CPU // ends before starts of the same millisecond
	})
	for _, c := range changes {
		sum = sum.Plus(c.size)
		if !sum.FitsIn(limit) {
			return c.atMs, sum, true
		}
	}
	return 0, sum, false
}

func checkOvercommit(h *History, v *Verdict) {
	byWorker := map[string][]fakes.Run{}
	for _, r := range h.Runs {
		byWorker[r.Worker] = append(byWorker[r.Worker], r)
	}
	for w, runs := range byWorker {
		v.Checked += len(runs)
		if at, sum, over := h.firstExcess(runs, h.Capacity[w]); over {
			v.addViolation("worker %s ran %s at %d ms since 1970", w, sum, at)
		}
	}
	if h.SlotPeak > h.Slots {
		v.addViolation("an executor with %d slots ran %d calls", h.Slots, h.SlotPeak)
	}
}

func checkSinglePlace(h *History, v *Verdict) {
	byTask := map[string][]fakes.Run{}
	for _, r := range h.Runs {
		for _, o := range byTask[r.Task] {
			if r.StartMs < h.endOf(o) && o.StartMs < h.endOf(r) {
				v.addViolation("task %s ran on %s (attempt %d) and %s (attempt %d) at once", r.Task, o.Worker, o.Attempt, r.Worker, r.Attempt)
			}
		}
		byTask[r.Task] = append(byTask[r.Task], r)
		v.Checked++
	}
}

func checkWithdrawnKeys(h *History, v *Verdict) {
	for _, s := range h.Withdrawn {
		after := s.StartMs + graceMs
		for _, j := range h.Jobs {
			if j.Team == s.Name && j.SentMs > after {
				v.addViolation("job %s was accepted %d ms after the key was withdrawn", j.ID, j.SentMs-s.StartMs)
			}
		}
		for _, c := range h.Calls {
			if c.Team != s.Name || c.SentMs <= after {
				continue
			}
			v.Checked++
			if c.Ran != fault.NotRun {
				v.addViolation("call %s, sent %d ms after the key was withdrawn, ended as %q", c.ID, c.SentMs-s.StartMs, c.Ran)
			}
		}
	}
}

// teamRuns returns the runs of each team's jobs.
func (h *History) teamRuns() map[string][]fakes.Run {
	team := map[string]string{}
	for _, j := range h.Jobs {
		team[string(j.ID)] = j.Team
	}
	byTeam := map[string][]fakes.Run{}
	for _, r := range h.Runs {
		id, _, _ := strings.Cut(r.Task, "/")
		byTeam[team[id]] = append(byTeam[team[id]], r)
	}
	return byTeam
}

func checkTeamLimits(h *History, v *Verdict) {
	byTeam := h.teamRuns()
	for team, limit := range h.Limits {
		v.Checked += len(byTeam[team])
		if at, sum, over := h.firstExcess(byTeam[team], limit); over {
			v.addViolation("team %s ran %s at %d ms since 1970, above its limit of %s", team, sum, at, limit)
		}
	}
}

func checkAzOut(h *History, v *Verdict) {
	for _, s := range h.AzOut {
		for _, r := range h.Runs {
			if r.StartMs <= s.StartMs+graceMs || s.EndMs > 0 && r.StartMs >= s.EndMs {
				continue
			}
			v.Checked++
			if r.Az == s.Name {
				v.addViolation("task %s started in %s %d ms after it was taken out", r.Task, s.Name, r.StartMs-s.StartMs)
			}
		}
	}
}

func checkAnswers(h *History, v *Verdict) {
	for _, c := range h.Calls {
		if c.Ran != fault.Done {
			continue
		}
		v.Checked++
		if !c.Complete {
			v.addViolation("call %s got an answer that is not whole or not its own", c.ID)
		}
	}
}

// executionsByCall counts the executions of each call over all its attempts.
func (h *History) executionsByCall() map[string]int {
	n := map[string]int{}
	for _, x := range h.Executions {
		id, _, _ := strings.Cut(x.ID, "~")
		n[id]++
	}
	return n
}

func checkRefusals(h *History, v *Verdict) {
	executionsByCall := h.executionsByCall()
	for _, c := range h.Calls {
		if c.Ran != fault.NotRun {
			continue
		}
		v.Checked++
		if executionsByCall[c.ID] > 0 {
			v.addViolation("call %s was refused as not run, and ran", c.ID)
		}
	}
}

func checkAtMostOnce(h *History, v *Verdict) {
	executionsByCall := h.executionsByCall()
	for _, c := range h.Calls {
		if c.Idempotent {
			continue
		}
		v.Checked++
		if executionsByCall[c.ID] > 1 {
			v.addViolation("call %s ran %d times", c.ID, executionsByCall[c.ID])
		}
	}
	byTask := map[string][]fakes.Run{}
	for _, r := range h.Runs {
		byTask[r.Task] = append(byTask[r.Task], r)
	}
	for _, j := range h.Jobs {
		if j.Idempotent {
			continue
		}
		for _, r := range runsOfTasks(byTask, j.ID) {
			v.Checked++
			checkResumed(v, r)
		}
	}
}

// runsOfTasks returns the runs of each task of a job.
func runsOfTasks(byTask map[string][]fakes.Run, id jobs.ID) [][]fakes.Run {
	var list [][]fakes.Run
	for i := 0; ; i++ {
		runs, ok := byTask[jobs.Ref{Job: id, Index: i}.String()]
		if !ok {
			return list
		}
		list = append(list, runs)
	}
}

// checkResumed checks that every later attempt of a non-idempotent task resumed
// from a checkpoint.
func checkResumed(v *Verdict, runs []fakes.Run) {
	sort.Slice(runs, func(i, j int) bool { return runs[i].StartMs < runs[j].StartMs })
	for i := 1; i < len(runs); i++ {
		if runs[i-1].End != worker.EndCheckpointed {
			v.addViolation("task %s ran again after attempt %d had ended as %q", runs[i].Task, runs[i-1].Attempt, runs[i-1].End)
		}
	}
}

func checkLeavingTargets(h *History, v *Verdict) {
	for _, s := range h.Leaving {
		for _, x := range h.Executions {
			if x.Target != s.Name {
				continue
			}
			v.Checked++
			if x.StartMs > s.StartMs+graceMs && (s.EndMs == 0 || x.StartMs < s.EndMs) {
				v.addViolation("target %s got a call %d ms after it began to leave", s.Name, x.StartMs-s.StartMs)
			}
		}
	}
}

// checkPlannedStops reports calls that were in flight at an entry host during its
// planned stop and that ended with an unknown outcome because the connection
// broke.
func checkPlannedStops(h *History, v *Verdict) {
	for _, s := range h.Stops {
		for _, c := range h.Calls {
			if fmt.Sprint(c.Host) != s.Name || c.SentMs > s.EndMs || c.EndMs < s.StartMs {
				continue
			}
			v.Checked++
			if c.Ran == fault.Unknown && c.Code == fault.Unavailable {
				v.addViolation("call %s was cut off while entry host %s stopped", c.ID, s.Name)
			}
		}
	}
}

func checkEdits(h *History, v *Verdict) {
	for _, ed := range h.Edits {
		v.Checked++
		if ed.InForceMs == 0 || ed.InForceMs-ed.AcceptedMs > graceMs {
			v.addViolation("edit %s was in force everywhere %d ms after it was accepted", ed.Name, ed.InForceMs-ed.AcceptedMs)
		}
	}
	for _, r := range h.Reverted {
		v.addViolation("%s", r)
	}
}

func checkFinalStates(h *History, v *Verdict) {
	ended := map[string]int{}
	for _, r := range h.Runs {
		if r.End == worker.EndOK {
			ended[r.Task]++
		}
	}
	for _, j := range h.Jobs {
		v.Checked++
		if j.Kind == jobs.Service {
			continue
		}
		if j.Final == jobs.Waiting || j.Final == jobs.Placed || j.Final == "" {
			v.addViolation("job %s is still %q", j.ID, j.Final)
		}
		first := jobs.Ref{Job: j.ID}.String()
		if n := ended[first]; n > 1 && !j.Idempotent || j.Final == jobs.Done && n == 0 {
			v.addViolation("task %s of a job that is %q finished %d times", first, j.Final, n)
		}
	}
}
