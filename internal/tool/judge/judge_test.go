package judge

import (
	"testing"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/plat/fakes"
	"lagooncourse/internal/plat/worker"
)

// validHistory returns the history of a run in which every guarantee held.
func validHistory() History {
	return History{
		EndMs: 100_000,
		Runs: []fakes.Run{
			{Worker: "w1", Az: "a", Task: "g.1/0", Attempt: 1, StartMs: 100, EndMs: 200, End: worker.EndCheckpointed, CPU: 4},
			{Worker: "w2", Az: "b", Task: "g.1/0", Attempt: 2, StartMs: 200, EndMs: 300, End: worker.EndOK, CPU: 4},
			{Worker: "w1", Az: "a", Task: "g.2/0", Attempt: 1, StartMs: 200, EndMs: 300, End: worker.EndOK, CPU: 4},
		},
		Executions: []fakes.Execution{{Target: "t1", ID: "c1", StartMs: 500}, {Target: "t1", ID: "c2~2", StartMs: 600}},
		Jobs: []SubmittedJob{
			{ID: "g.1", Team: "lab", Kind: jobs.Batch, SentMs: 50, Final: jobs.Done},
			{ID: "g.2", Team: "lab", Kind: jobs.Batch, SentMs: 50, Final: jobs.Done},
		},
		Calls: []CallRecord{
			{ID: "c1", Team: "lab", SentMs: 490, EndMs: 510, Ran: fault.Done, Complete: true},
			{ID: "c2", Team: "lab", SentMs: 590, EndMs: 610, Ran: fault.Unknown, Code: fault.BadResponse},
			{ID: "c3", Team: "guest", SentMs: 90_000, EndMs: 90_010, Ran: fault.NotRun},
		},
		Capacity:  map[string]jobs.Size{"w1": {CPU: 4}, "w2": {CPU: 4}},
		Limits:    map[string]jobs.Size{"lab": {CPU: 8}},
		Withdrawn: []Interval{{Name: "guest", StartMs: 1000}},
		AzOut:     []Interval{{Name: "a", StartMs: 1000, EndMs: 50_000}},
		Leaving:   []Interval{{Name: "t1", StartMs: 1000}},
		Stops:     []Interval{{Name: "0", StartMs: 400, EndMs: 700}},
		Edits:     []Edit{{Name: "az/a", AcceptedMs: 1000, InForceMs: 1500}},
		SlotPeak:  8, Slots: 8,
	}
}

// TestSound checks that a valid history violates no guarantee.
func TestSound(t *testing.T) {
	for _, v := range CheckAll(validHistory()) {
		assert.Assert(t, v.Held(), "%s: %v", v.Guarantee, v.Violations)
	}
}

// TestBroken violates each guarantee in turn and checks that CheckAll reports
// exactly the named violations.
func TestBroken(t *testing.T) {
	late := int64(80_000)
	for _, tc := range []struct {
		name   string
		change func(*History)
		broken []string
	}{
		{"overcommit", func(h *History) { h.Capacity["w1"] = jobs.Size{CPU: 3} }, []string{"No host is ever overcommitted"}},
		{"slots", func(h *History) { h.SlotPeak = 9 }, []string{"No host is ever overcommitted"}},
		{"two places", func(h *History) { h.Runs[1].StartMs = 150 }, []string{"No task runs in two places"}},
		{"key", func(h *History) { h.Calls[2].Ran = fault.Unknown }, []string{"A withdrawn key stops working within seconds"}},
		{"key, job", func(h *History) {
			h.Jobs = append(h.Jobs, SubmittedJob{ID: "g.3", Team: "guest", SentMs: late, Final: jobs.Failed})
		}, []string{"A withdrawn key stops working within seconds"}},
		{"limit", func(h *History) { h.Limits["lab"] = jobs.Size{CPU: 7} }, []string{"No team has more running than its upper limit"}},
		{"zone", func(h *History) {
			h.Runs = append(h.Runs, fakes.Run{Worker: "w1", Az: "a", Task: "g.9/0", StartMs: 20_000, EndMs: 20_001, CPU: 1})
		}, []string{"No task starts in an availability zone that is out"}},
		{"answer", func(h *History) { h.Calls[0].Complete = false }, []string{"Every caller receives the whole answer to its own request"}},
		{"refusal", func(h *History) { h.Calls[0].Ran = fault.NotRun }, []string{`A refusal saying "not run" is true`}},
		{"twice", func(h *History) { h.Executions = append(h.Executions, fakes.Execution{Target: "t2", ID: "c1~2"}) },
			[]string{"A non-idempotent request runs at most once"}},
		{"task twice", func(h *History) { h.Runs[0].End = worker.EndLeaseExpired }, []string{"A non-idempotent request runs at most once"}},
		{"target", func(h *History) { h.Executions[1].StartMs = late }, []string{"A leaving target gets no new work after a few seconds"}},
		{"stop", func(h *History) { h.Calls[1].Code = fault.Unavailable }, []string{"Every planned stop cuts off no request"}},
		{"config, late", func(h *History) { h.Edits[0].InForceMs = 6000 },
			[]string{"An accepted configuration is in force within seconds and never reverts"}},
		{"config, never", func(h *History) { h.Edits[0].InForceMs = 0 },
			[]string{"An accepted configuration is in force within seconds and never reverts"}},
		{"config, back", func(h *History) { h.Reverted = []string{"x"} },
			[]string{"An accepted configuration is in force within seconds and never reverts"}},
		{"job open", func(h *History) { h.Jobs[1].Final = jobs.Placed }, []string{"Every accepted job ends once, or is parked and said to be"}},
		{"job without a run", func(h *History) { h.Runs = h.Runs[:2] }, []string{"Every accepted job ends once, or is parked and said to be"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := validHistory()
			tc.change(&h)
			var broken []string
			for _, v := range CheckAll(h) {
				if !v.Held() {
					broken = append(broken, v.Guarantee)
				}
			}
			assert.DeepEqual(t, broken, tc.broken)
		})
	}
}
