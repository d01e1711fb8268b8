package judge

import (
	"testing"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/plat/fakes"
	"lagooncourse/internal/plat/worker"
)

// sound is evidence of a run in which every promise was held.
func sound() Evidence {
	return Evidence{
		EndMs: 100_000,
		Runs: []fakes.Run{
			{Worker: "w1", Az: "a", Task: "g.1/0", Attempt: 1, StartMs: 100, EndMs: 200, End: worker.EndCheckpointed, CPU: 4},
			{Worker: "w2", Az: "b", Task: "g.1/0", Attempt: 2, StartMs: 200, EndMs: 300, End: worker.EndOK, CPU: 4},
			{Worker: "w1", Az: "a", Task: "g.2/0", Attempt: 1, StartMs: 200, EndMs: 300, End: worker.EndOK, CPU: 4},
		},
		Executions: []fakes.Execution{{Target: "t1", ID: "c1", StartMs: 500}, {Target: "t1", ID: "c2~2", StartMs: 600}},
		Jobs: []Submitted{
			{ID: "g.1", Team: "lab", Kind: jobs.Batch, SentMs: 50, Final: jobs.Done},
			{ID: "g.2", Team: "lab", Kind: jobs.Batch, SentMs: 50, Final: jobs.Done},
		},
		Calls: []Called{
			{ID: "c1", Team: "lab", SentMs: 490, EndMs: 510, Ran: fault.Done, Whole: true},
			{ID: "c2", Team: "lab", SentMs: 590, EndMs: 610, Ran: fault.Unknown, Code: fault.BadAnswer},
			{ID: "c3", Team: "guest", SentMs: 90_000, EndMs: 90_010, Ran: fault.NotRun},
		},
		Capacity:  map[string]jobs.Size{"w1": {CPU: 4}, "w2": {CPU: 4}},
		Limits:    map[string]jobs.Size{"lab": {CPU: 8}},
		Withdrawn: []Span{{Name: "guest", StartMs: 1000}},
		AzOut:     []Span{{Name: "a", StartMs: 1000, EndMs: 50_000}},
		Leaving:   []Span{{Name: "t1", StartMs: 1000}},
		Stops:     []Span{{Name: "0", StartMs: 400, EndMs: 700}},
		Edits:     []Edit{{Name: "az/a", AcceptedMs: 1000, ForceMs: 1500}},
		SlotPeak:  8, Slots: 8,
	}
}

// TestSound checks that sound evidence breaks no promise.
func TestSound(t *testing.T) {
	for _, v := range All(sound()) {
		assert.Assert(t, v.Held(), "%s: %v", v.Promise, v.Evidence)
	}
}

// TestBroken breaks each promise alone and checks that the judge says so, and
// blames no other promise but the ones named.
func TestBroken(t *testing.T) {
	late := int64(80_000)
	for _, tc := range []struct {
		name   string
		change func(*Evidence)
		broken []string
	}{
		{"overcommit", func(e *Evidence) { e.Capacity["w1"] = jobs.Size{CPU: 3} }, []string{"No host is ever overcommitted"}},
		{"slots", func(e *Evidence) { e.SlotPeak = 9 }, []string{"No host is ever overcommitted"}},
		{"two places", func(e *Evidence) { e.Runs[1].StartMs = 150 }, []string{"No task runs in two places"}},
		{"key", func(e *Evidence) { e.Calls[2].Ran = fault.Unknown }, []string{"A withdrawn key stops working within seconds"}},
		{"key, job", func(e *Evidence) {
			e.Jobs = append(e.Jobs, Submitted{ID: "g.3", Team: "guest", SentMs: late, Final: jobs.Failed})
		}, []string{"A withdrawn key stops working within seconds"}},
		{"limit", func(e *Evidence) { e.Limits["lab"] = jobs.Size{CPU: 7} }, []string{"No team has more running than its upper limit"}},
		{"zone", func(e *Evidence) {
			e.Runs = append(e.Runs, fakes.Run{Worker: "w1", Az: "a", Task: "g.9/0", StartMs: 20_000, EndMs: 20_001, CPU: 1})
		}, []string{"No task starts in an availability zone that is out"}},
		{"answer", func(e *Evidence) { e.Calls[0].Whole = false }, []string{"Every caller receives the whole answer to its own request"}},
		{"refusal", func(e *Evidence) { e.Calls[0].Ran = fault.NotRun }, []string{`A refusal saying "not run" is true`}},
		{"twice", func(e *Evidence) { e.Executions = append(e.Executions, fakes.Execution{Target: "t2", ID: "c1~2"}) },
			[]string{"A non-idempotent request runs at most once"}},
		{"task twice", func(e *Evidence) { e.Runs[0].End = worker.EndLapsed }, []string{"A non-idempotent request runs at most once"}},
		{"target", func(e *Evidence) { e.Executions[1].StartMs = late }, []string{"A leaving target gets no new work after a few seconds"}},
		{"stop", func(e *Evidence) { e.Calls[1].Code = fault.Unavailable }, []string{"Every planned stop cuts off no request"}},
		{"config, late", func(e *Evidence) { e.Edits[0].ForceMs = 6000 },
			[]string{"An accepted configuration is in force within seconds and never reverts"}},
		{"config, never", func(e *Evidence) { e.Edits[0].ForceMs = 0 },
			[]string{"An accepted configuration is in force within seconds and never reverts"}},
		{"config, back", func(e *Evidence) { e.Reverted = []string{"x"} },
			[]string{"An accepted configuration is in force within seconds and never reverts"}},
		{"job open", func(e *Evidence) { e.Jobs[1].Final = jobs.Placed }, []string{"Every accepted job ends once, or is parked and said to be"}},
		{"job without a run", func(e *Evidence) { e.Runs = e.Runs[:2] }, []string{"Every accepted job ends once, or is parked and said to be"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := sound()
			tc.change(&e)
			var broken []string
			for _, v := range All(e) {
				if !v.Held() {
					broken = append(broken, v.Promise)
				}
			}
			assert.DeepEqual(t, broken, tc.broken)
		})
	}
}
