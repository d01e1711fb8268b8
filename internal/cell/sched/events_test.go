package sched

import (
	"fmt"
	"math/rand"
	"testing"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/cell/jobs"
)

// TestTicketRefusedWithoutAdvice guards against a panic of the owner: a worker refuses a
// start for its ticket, on a queue whose advice is not known yet. The step is tried again
// after a pause.
func TestTicketRefusedWithoutAdvice(t *testing.T) {
	now := Instant{Ms: 1000, WallMs: 1000}
	p := fleet(1, now)
	p.Accept(Spec{ID: "a", Queue: "urgent", AcceptedMs: now.WallMs, Steps: []Step{{Count: 1, Size: jobs.Size{CPU: 1_000}, EstimateMs: 100}}}, now)
	starts := p.ReleaseStarts(p.Plan(noHosts{}, now).Starts, now)
	assert.Equal(t, len(starts), 1)
	p.ApplyStartOutcome(starts[0], StartNoTicket, now)
	assert.Equal(t, len(p.Plan(noHosts{}, now).Starts), 0)
	assert.Assert(t, startedWithin(p, noHosts{}, "a", 2*busyBackoffMs, &now))
}

// oddTasks are names of tasks that no job has.
var oddTasks = []string{"", "a", "a.0.0.0", "j0.9.0.0", "j0.0.9.0", "j0.0.0.99", "j0.0.0.-1", "j0.99999999999999999999.0.0", "j0.9223372036854775807.0.0", "j0.4611686018427387904.0.1", "nobody.0.0.0", "..."}

// eventFuzzer calls the planner's methods in any order, with outcomes and reports of any
// kind, for runs that exist and for others.
type eventFuzzer struct {
	rand    *rand.Rand
	p       *Planner
	now     Instant
	n       int // jobs accepted
	records [][2]string
	starts  []Start // released at some time
	stops   []Stop
}

func (f *eventFuzzer) worker() string { return fmt.Sprintf("w%04d", f.rand.Intn(5)) } // one of them is unknown

func (f *eventFuzzer) task() string {
	if f.rand.Intn(4) == 0 || len(f.starts) == 0 {
		return oddTasks[f.rand.Intn(len(oddTasks))]
	}
	return f.starts[f.rand.Intn(len(f.starts))].Ref.String()
}

func (f *eventFuzzer) accept() {
	f.n++
	spec := Spec{ID: fmt.Sprintf("j%d", f.rand.Intn(f.n)), Queue: []string{"urgent", "wide", "advised", "none"}[f.rand.Intn(4)], Team: "t", AcceptedMs: f.now.WallMs}
	if f.rand.Intn(4) == 0 {
		spec.Occurrences, spec.IntervalMs, spec.FirstMs = 1+f.rand.Intn(3), int64(f.rand.Intn(500)), f.now.WallMs+int64(f.rand.Intn(500))
	}
	for i := range 1 + f.rand.Intn(3) {
		s := Step{Count: 1 + f.rand.Intn(4), Size: jobs.Size{CPU: int64(f.rand.Intn(20_000))}, EstimateMs: int64(f.rand.Intn(2000)), Gang: f.rand.Intn(3) == 0,
			SameRack: f.rand.Intn(4) == 0, LongRunning: f.rand.Intn(8) == 0, UsesSpareCPU: f.rand.Intn(8) == 0, MaxPerWorker: f.rand.Intn(3), Checkpoints: true}
		if i > 0 && f.rand.Intn(2) == 0 {
			s.DependsOn = []int{f.rand.Intn(i), f.rand.Intn(i)}
		}
		if f.rand.Intn(6) == 0 {
			s.RequiredLabel = "none"
		}
		spec.Steps = append(spec.Steps, s)
	}
	if q, ok := f.p.policy.Queues[spec.Queue]; ok && f.n%2 == 0 { // else as from a host of an earlier version
		spec.QueueID, spec.QueueConfig = q.ID(), &q
	}
	f.p.Accept(spec, f.now)
}

func (f *eventFuzzer) report() WorkerReport {
	r := WorkerReport{SentMs: f.now.Ms - int64(f.rand.Intn(1000)), Incarnation: int64(f.rand.Intn(4))}
	for range f.rand.Intn(4) {
		r.Running = append(r.Running, Running{Task: f.task(), Run: f.rand.Intn(4) - 1, Checkpoint: "c"})
	}
	for range f.rand.Intn(4) {
		reasons := []EndReason{EndDone, EndFailed, EndStopped, EndLeaseExpired, EndGangBroken, EndGangIncomplete, "", "odd"}
		r.Finished = append(r.Finished, Finished{Seq: int64(f.rand.Intn(40) - 2), Task: f.task(), Run: f.rand.Intn(4) - 1, Reason: reasons[f.rand.Intn(len(reasons))], Checkpoint: "c"})
	}
	return r
}

// step calls one method. The order of the cases is part of the corpus.
func (f *eventFuzzer) step(op byte) {
	p := f.p
	switch op % 16 {
	case 0, 1:
		f.accept()
	case 2:
		f.starts = append(f.starts, p.ReleaseStarts(p.Plan(unlimitedHosts{}, f.now).Starts, f.now)...)
	case 3:
		f.starts = append(f.starts, p.Plan(noHosts{}, f.now).Starts...) // not released
	case 4, 5:
		if len(f.starts) > 0 {
			p.ApplyStartOutcome(f.starts[f.rand.Intn(len(f.starts))], Outcome(f.rand.Intn(int(StartUnknown)+1)), f.now)
		}
	case 6, 7:
		p.ApplyReport(f.worker(), f.report(), f.now)
	case 8:
		f.stops = append(f.stops, p.TakeStops()...)
		if len(f.stops) > 0 {
			p.StopConfirmed(f.stops[f.rand.Intn(len(f.stops))], f.now)
			p.StopNotSent(f.stops[f.rand.Intn(len(f.stops))])
		}
	case 9:
		p.Cancel(fmt.Sprintf("j%d", f.rand.Intn(f.n+1)), f.now)
	case 10:
		if f.rand.Intn(2) == 0 {
			p.DropWorker(f.worker())
		} else {
			p.SetWorker(WorkerInfo{ID: f.worker(), Addr: "a", Service: "s", Capacity: jobs.Size{CPU: int64(f.rand.Intn(40_000))}, Incarnation: int64(f.rand.Intn(4)),
				Draining: f.rand.Intn(4) == 0, LeavesInMs: int64(f.rand.Intn(1000))}, f.now)
		}
	case 11:
		p.HeartbeatFailed(f.worker())
	case 12:
		p.Tick(f.now)
		p.BeforeRenewal(f.worker(), f.now)
	case 13:
		f.store()
	case 14:
		f.now.Ms, f.now.WallMs = f.now.Ms+int64(f.rand.Intn(3_000)), f.now.WallMs+int64(f.rand.Intn(3_000))
	case 15:
		f.other()
	}
}

// store takes a batch, which the store accepts, or refuses for a job.
func (f *eventFuzzer) store() {
	b, err := f.p.TakeBatch(f.now)
	if err != nil {
		return
	}
	if list := b.ByJob(); len(list) > 0 && f.rand.Intn(8) == 0 {
		f.p.Refused(list[f.rand.Intn(len(list))], f.now)
		return
	}
	for i, key := range b.Keys {
		f.records = append(f.records, [2]string{key, string(b.Values[i])})
	}
	f.p.Stored(b)
	if err := f.p.AuditQueues(); err != nil {
		panic(err)
	}
}

// other replaces the policy or the owner, answers advice, withdraws a job, or reads the
// planner's lists.
func (f *eventFuzzer) other() {
	p := f.p
	id := fmt.Sprintf("j%d", f.rand.Intn(f.n+1))
	switch f.rand.Intn(5) {
	case 0:
		p.SetPolicy(fuzzPolicy(f.rand))
	case 1:
		state := NewState()
		for _, r := range f.records {
			_ = state.Apply(r[0], []byte(r[1]))
		}
		f.p = NewPlanner(p.cfg.with(state), f.now)
		f.p.SetPolicy(fuzzPolicy(f.rand))
	case 2:
		req := AdviceRequest{StepKey: stepKey{id, 0, f.rand.Intn(3)}, Workers: []string{f.worker(), f.worker()}}
		p.ApplyAdvice(req, map[string]string{f.worker(): "t"}, f.rand.Intn(2) == 0, f.now.Ms, f.now)
	case 3:
		p.Withdraw(id)
	case 4:
		p.ExplainWaiting(0, 5, f.now)
		p.UnconfirmedRuns(0, 5, f.now)
		p.SplitGangs(0, 5, f.now)
		p.Isolation(f.now)
		p.LostTasks(5)
		p.TakeEndings()
		p.TakeCrashes()
		p.TakeFullJobs()
		p.Describe(id)
		p.Status(id)
		p.Pending(Queue{Name: "urgent"})
	}
}

func (c Config) with(s *State) Config {
	c.State = s
	return c
}

// fuzzPolicy returns a policy in which a queue may be missing, or have other advice, another
// name or another address.
func fuzzPolicy(r *rand.Rand) Policy {
	v := Policy{Teams: map[string]Limit{"t": {Max: jobs.Size{CPU: int64(r.Intn(60_000))}, Weight: int64(r.Intn(20))}}, Queues: map[string]Queue{
		"urgent": {Name: "urgent", Service: "s", MaxAttempts: 3, Slack: 2, TargetMs: 250},
	}}
	if r.Intn(4) > 0 {
		name := []string{"wide", "wide", "broad"}[r.Intn(3)]
		v.Queues[name] = Queue{Name: name, Host: "h", Prefix: []string{"/a/", "/b/"}[r.Intn(2)], Service: "s", Priority: 1, MaxAttempts: r.Intn(3), Slack: 2, TargetMs: 1000}
	}
	if r.Intn(4) > 0 {
		v.Queues["advised"] = Queue{Name: "advised", Service: "s", Slack: 2, Advice: &AdviceTiming{BaseMs: float64(r.Intn(400)), WorkerMs: 1, ValidMs: 1500}}
	}
	return v
}

// unlimitedHosts always has a free host for an advice request.
type unlimitedHosts struct{}

func (unlimitedHosts) Available() bool                { return true }
func (unlimitedHosts) Acquire(float64) (string, bool) { return "h", true }

// fuzzEvents calls a method for each byte of ops.
func fuzzEvents(seed int64, ops []byte) {
	now := Instant{Ms: 1000, WallMs: 1000}
	f := &eventFuzzer{rand: rand.New(rand.NewSource(seed)), now: now, p: fleet(4, now)}
	f.p.SetPolicy(fuzzPolicy(f.rand))
	for _, op := range ops {
		f.step(op)
	}
}

// TestEvents guards against events that end the owner's process: any order of any outcome,
// report and change, for any run, known or not.
func TestEvents(t *testing.T) {
	for seed := int64(1); seed <= 300; seed++ {
		rnd := rand.New(rand.NewSource(seed))
		ops := make([]byte, 400)
		rnd.Read(ops)
		func() {
			defer func() {
				if v := recover(); v != nil {
					t.Errorf("seed %d: %v", seed, v)
					panic(v)
				}
			}()
			fuzzEvents(seed, ops)
		}()
	}
}

// FuzzEvents is TestEvents with orders that the fuzzer chooses.
func FuzzEvents(f *testing.F) {
	f.Add(int64(1), []byte{0, 0, 2, 4, 6, 13, 14, 6, 15, 2, 5, 8, 9, 12})
	f.Fuzz(func(_ *testing.T, seed int64, ops []byte) { fuzzEvents(seed, ops[:min(len(ops), 1000)]) })
}
