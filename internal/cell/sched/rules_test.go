package sched

import (
	"bufio"
	"cmp"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/cell/jobs"
)

// script runs one file of testdata. Each line is a command; "->" is followed by
// its expected output, and "#" by a comment. Times are in milliseconds.
//
// Commands that set up the planner or replace the owner:
//
//	queue NAME [path=PREFIX] [prio=N] [attempts=N] [advice=BASE_MS] [service=NAME]
//	drop-queue NAME
//	replace-queue OLD NAME [...]    drop-queue and queue in one policy
//	swap-queues NAME NAME   each gets the address and the service of the other
//	services NAME...
//	team NAME [cpu=N] [weight=N]
//	close AZ
//	worker ID cpu=N [mem=N] [az=] [rack=] [label=] [incarnation=N] [draining=1] [leaves=MS] [unlisted=1] [service=NAME]
//	job ID queue=NAME [path=PREFIX, if the policy does not have the queue] [team=] [steps=N] [count=N] [cpu=N] [mem=N] [ms=N] [gang=1]
//	    [maxperworker=N] [label=LABEL] [datarack=RACK] [longrunning=1] [samerack=1]
//	    [times=N first=MS every=MS] [payload=TEXT]
//	cancel JOB
//	deny JOB        a cancellation of a job that does not exist
//	withdraw JOB
//	takeover [unread]   with unread, the new owner knows no policy until read-policy
//	read-policy
//	record KEY HEX  a stored record, which the next owner reads
//
// Commands that advance time or the planner:
//
//	wait MS
//	clock MS        the wall clock jumps
//	plan            returns starts TASK/RUN@WORKER and requests "ask STEP WORKERS"
//	store           stores the records and returns the released starts
//	tick            returns the workers whose runs were lost
//
// Replies of the advice service and of workers:
//
//	allow STEP WORKER...
//	send TASK       returns the start if it should still be sent; otherwise it is refused, if
//	    it was not sent before
//	up, refused, unknown, nocapacity or stale, each with TASK or "all"
//	stop-confirmed WORKER TASK RUN
//	stop-not-sent WORKER TASK RUN
//	unanswered WORKER
//	renew WORKER    a renewal is sent
//	list WORKER [incarnation=N] [run:TASK:RUN] [end:SEQ:TASK:RUN:REASON]
//
// Queries:
//
//	stops           requested stops
//	reasons         the same, with reason, number of earlier requests and "!" if the
//	    worker has confirmed one
//	status JOB
//	endings         verdicts reached since the last call, with their cause
//	pending QUEUE
//	queue-records   number of queues whose records are stored
//	acked WORKER    sequence number of the last stored end
//	cancel-acked JOB
//	gone            cancelled jobs whose last run is gone, with the time since cancel-acked
//	lingering       number of listed runs whose job has ended
//	isolation       cost of the isolation of suspects
//	unaddressed MS  workers with runs older than MS and without an address
//	explain MS      what has kept tasks from running for longer than MS: waiting steps,
//	    unconfirmed runs, split gangs
type script struct {
	t         *testing.T
	p         *Planner
	now       Instant
	planned   []Start // since the last store
	starts    []Start // released
	policy    Policy
	sent      map[string]bool // starts that were sent, as TASK/RUN@WORKER
	requests  []AdviceRequest
	freeHosts int // free hosts for advice requests
	records   [][2]string
}

func TestScripts(t *testing.T) { runScripts(t, "testdata/*.txt") }

// TestRedScripts runs the scripts of faults that are not fixed yet; see KNOWN-RED.txt.
func TestRedScripts(t *testing.T) { runScripts(t, "testdata/red/*.txt") }

func runScripts(t *testing.T, pattern string) {
	files, err := filepath.Glob(pattern)
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) { runScript(t, name) })
	}
}

func runScript(t *testing.T, name string) {
	f, err := os.Open(name)
	assert.NilError(t, err)
	defer f.Close()
	s := &script{t: t, sent: map[string]bool{}, now: Instant{Ms: 100_000, WallMs: 100_000}, freeHosts: 8}
	s.policy = Policy{Queues: map[string]Queue{}, Teams: map[string]Limit{}, ClosedAzs: map[string]bool{}}
	s.newOwner(false)
	in := bufio.NewScanner(f)
	for n := 1; in.Scan(); n++ {
		line, _, _ := strings.Cut(in.Text(), "#")
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		command, want, checked := strings.Cut(line, "->")
		got := s.do(strings.Fields(command))
		if checked {
			assert.Equal(t, got, strings.TrimSpace(want), "%s:%d: %s", name, n, command)
		}
		assert.NilError(t, s.p.Audit(), "%s:%d", name, n)
		assert.NilError(t, s.p.AuditTasks(), "%s:%d", name, n)
		assert.NilError(t, s.p.AuditQueues(), "%s:%d", name, n)
	}
}

// Available and Acquire implement AdviceHosts.
func (s *script) Available() bool { return s.freeHosts > 0 }

func (s *script) Acquire(float64) (string, bool) {
	s.freeHosts--
	return "host", s.freeHosts >= 0
}

// newOwner starts a new owner from the stored records, without the policy if that is unread.
func (s *script) newOwner(unread bool) {
	state := NewState()
	for _, r := range s.records {
		assert.NilError(s.t, state.Apply(r[0], []byte(r[1])))
	}
	s.p = NewPlanner(Config{State: state, PrevOwnerRenewMs: 6_000, LeaseMs: 8_000, RetentionMs: 60_000}, s.now)
	if unread {
		s.p.SetPolicy(Policy{Unread: true})
	} else {
		s.p.SetPolicy(s.policy)
	}
	s.planned, s.starts, s.requests = nil, nil, nil
}

// args turns key=value fields into a map. The scripts are trusted: args and num
// report no syntax errors.
func args(fields []string) map[string]string {
	m := map[string]string{}
	for _, f := range fields {
		k, v, _ := strings.Cut(f, "=")
		m[k] = v
	}
	return m
}

func num(v string) int64 {
	n, _ := strconv.ParseInt(v, 10, 64)
	return n
}

// do runs one command and returns its output.
func (s *script) do(f []string) string {
	a := args(f[1:])
	switch f[0] {
	case "queue":
		s.queue(f[1], a)
	case "replace-queue":
		delete(s.policy.Queues, f[1])
		s.queue(f[2], a)
	case "swap-queues":
		a, b := s.policy.Queues[f[1]], s.policy.Queues[f[2]]
		a.Name, b.Name = b.Name, a.Name
		s.policy.Queues[a.Name], s.policy.Queues[b.Name] = a, b
		s.p.SetPolicy(s.policy)
	case "services":
		s.policy.Services = map[string]bool{}
		for _, name := range f[1:] {
			s.policy.Services[name] = true
		}
		s.p.SetPolicy(s.policy)
	case "drop-queue":
		delete(s.policy.Queues, f[1])
		s.p.SetPolicy(s.policy)
	case "team":
		s.policy.Teams[f[1]] = Limit{Max: jobs.Size{CPU: num(a["cpu"])}, Weight: num(a["weight"])}
		s.p.SetPolicy(s.policy)
	case "close":
		s.policy.ClosedAzs[f[1]] = true
	case "worker":
		s.worker(f[1], a)
	case "job":
		s.job(f[1], a)
	case "wait":
		s.now.Ms += num(f[1])
		s.now.WallMs += num(f[1])
	case "clock":
		s.now.WallMs += num(f[1])
	case "plan":
		return s.plan()
	case "store":
		return s.store()
	case "takeover":
		s.newOwner(len(f) > 1 && f[1] == "unread")
	case "read-policy":
		s.p.SetPolicy(s.policy)
	case "record":
		value, err := hex.DecodeString(f[2])
		assert.NilError(s.t, err)
		s.records = append(s.records, [2]string{f[1], string(value)})
	case "allow":
		return s.allow(f[1], f[2:])
	default:
		return s.report(f, a)
	}
	return ""
}

// queue adds or replaces a queue.
func (s *script) queue(name string, a map[string]string) {
	s.policy.Queues[name] = scriptQueue(name, a)
	s.p.SetPolicy(s.policy)
}

func scriptQueue(name string, a map[string]string) Queue {
	q := Queue{Name: name, Service: cmp.Or(a["service"], "s"), Priority: int(num(a["prio"])), MaxAttempts: int(num(a["attempts"])), Slack: 2, TargetMs: 250}
	if a["path"] != "" {
		q.Host, q.Prefix = "host", a["path"]
	}
	if a["advice"] != "" {
		q.Advice = &AdviceTiming{BaseMs: float64(num(a["advice"])), WorkerMs: 1, ValidMs: 2_000}
	}
	return q
}

func (s *script) worker(id string, a map[string]string) {
	mem := int64(1 << 30)
	if a["mem"] != "" {
		mem = num(a["mem"])
	}
	info := WorkerInfo{
		ID: id, Addr: id, Service: cmp.Or(a["service"], "s"), Az: a["az"], Rack: a["rack"], Labels: []string{a["label"], a["rack"]},
		Capacity: jobs.Size{CPU: num(a["cpu"]), Mem: mem, Accel: 8}, Incarnation: max(num(a["incarnation"]), 1), Draining: a["draining"] != "", LeavesInMs: num(a["leaves"]),
	}
	s.p.SetWorker(info, s.now)
	if a["unlisted"] == "" {
		s.p.ApplyReport(id, WorkerReport{SentMs: s.now.Ms, Incarnation: info.Incarnation}, s.now)
	}
}

func (s *script) job(id string, a map[string]string) {
	spec := Spec{ID: id, ExactID: true, Queue: a["queue"], Team: a["team"], Payload: a["payload"], AcceptedMs: s.now.WallMs}
	if q, ok := s.policy.Queues[a["queue"]]; ok {
		spec.QueueID = q.ID()
	} else if a["path"] != "" {
		q := scriptQueue(a["queue"], a)
		spec.QueueID, spec.QueueConfig = q.ID(), &q
	}
	steps := max(num(a["steps"]), 1)
	for i := range steps {
		st := Step{
			Count: int(max(num(a["count"]), 1)), Size: jobs.Size{CPU: num(a["cpu"]), Mem: num(a["mem"])}, EstimateMs: max(num(a["ms"]), 1), Gang: a["gang"] != "",
			MaxPerWorker: int(num(a["maxperworker"])), RequiredLabel: a["label"], DataRack: a["datarack"], LongRunning: a["longrunning"] != "", SameRack: a["samerack"] != "",
		}
		if i > 0 {
			st.DependsOn = []int{int(i - 1)}
		}
		spec.Steps = append(spec.Steps, st)
	}
	if a["times"] != "" {
		spec.Occurrences, spec.FirstMs, spec.IntervalMs = int(num(a["times"])), s.now.WallMs+num(a["first"]), num(a["every"])
	}
	spec.ID = s.p.ResolveSubmission(spec)
	s.p.Accept(spec, s.now)
}

// plan returns the starts and advice requests of a plan.
func (s *script) plan() string {
	s.p.Tick(s.now)
	plan := s.p.Plan(s, s.now)
	s.planned = append(s.planned, plan.Starts...)
	s.requests = append(s.requests, plan.Requests...)
	var out []string
	for _, st := range plan.Starts {
		out = append(out, fmt.Sprintf("%s/%d@%s", st.Ref, st.Run, st.Worker))
	}
	sort.Strings(out)
	for _, req := range plan.Requests {
		sort.Strings(req.Workers)
		out = append(out, fmt.Sprintf("ask %s %s", req.Step, strings.Join(req.Workers, ",")))
	}
	return strings.Join(out, " ")
}

// store stores the pending records and returns the released starts.
func (s *script) store() string {
	b, err := s.p.TakeBatch(s.now)
	assert.NilError(s.t, err)
	for i, k := range b.Keys {
		s.records = append(s.records, [2]string{k, string(b.Values[i])})
	}
	s.p.Stored(b)
	send := s.p.ReleaseStarts(s.planned, s.now)
	s.planned, s.starts = nil, append(send, s.starts...) // the latest start of a task comes first
	var out []string
	for _, st := range send {
		out = append(out, fmt.Sprintf("%s/%d@%s", st.Ref, st.Run, st.Worker))
	}
	sort.Strings(out)
	return strings.Join(out, " ")
}

// allow replies to the oldest advice request of a step with the allowed workers.
func (s *script) allow(step string, ids []string) string {
	for i, req := range s.requests {
		if req.Step != step {
			continue
		}
		s.requests = append(s.requests[:i], s.requests[i+1:]...)
		s.freeHosts++
		tickets := map[string]string{}
		for _, id := range ids {
			tickets[id] = "t"
		}
		s.p.ApplyAdvice(req, tickets, true, s.now.Ms, s.now)
		return ""
	}
	return "no advice request"
}

// report runs the commands for replies of workers, cancellations and queries.
func (s *script) report(f []string, a map[string]string) string {
	switch f[0] {
	case "send":
		return s.send(f[1])
	case "up", "refused", "unknown", "nocapacity", "stale":
		out := map[string]Outcome{"up": StartConfirmed, "stale": StartStaleRun, "refused": StartRefused, "unknown": StartUnknown, "nocapacity": StartNoCapacity}[f[0]]
		for _, st := range s.starts {
			if f[1] == "all" || f[1] == st.Ref.String() {
				s.p.ApplyStartOutcome(st, out, s.now)
			}
		}
	case "stop-confirmed":
		ref, _ := ParseRef(f[2])
		s.p.StopConfirmed(Stop{Worker: f[1], Ref: ref, Run: int(num(f[3]))}, s.now)
	case "stop-not-sent":
		ref, _ := ParseRef(f[2])
		s.p.StopNotSent(Stop{Worker: f[1], Ref: ref, Run: int(num(f[3]))})
	case "unanswered":
		s.p.HeartbeatFailed(f[1])
	case "renew":
		s.p.BeforeRenewal(f[1], s.now)
	case "list":
		s.list(f[1], f[2:])
	case "cancel":
		return fmt.Sprint(s.p.Cancel(s.p.ResolveID(f[1]), s.now))
	case "deny":
		s.p.Deny(f[1], s.now)
	case "withdraw":
		return fmt.Sprint(s.p.Withdraw(f[1]))
	case "stops":
		var out []string
		for _, st := range s.p.TakeStops() {
			out = append(out, fmt.Sprintf("%s/%d@%s", st.Ref, st.Run, st.Worker))
		}
		sort.Strings(out)
		return strings.Join(out, " ")
	case "reasons":
		var out []string
		for _, st := range s.p.TakeStops() {
			line := fmt.Sprintf("%s/%d@%s:%s:%d", st.Ref, st.Run, st.Worker, st.Reason, st.Earlier)
			if st.Confirmed {
				line += "!"
			}
			out = append(out, line)
		}
		sort.Strings(out)
		return strings.Join(out, " ")
	case "cancel-acked":
		s.p.CancelAcked(f[1], s.now)
	case "gone":
		var out []string
		for _, g := range s.p.TakeGone(s.now) {
			out = append(out, fmt.Sprintf("%s:%dms", g.Job, g.AfterMs))
		}
		return strings.Join(out, " ")
	case "lingering":
		return fmt.Sprint(s.p.LingeringRuns())
	case "isolation":
		c := s.p.Isolation(s.now)
		return fmt.Sprintf("waiting=%d oldest=%dms held=%d cpu=%d", c.Waiting, c.OldestMs, c.HeldWorkers, c.HeldCPU)
	case "unaddressed":
		var out []string
		for _, u := range s.p.UnaddressedWorkers(num(f[1]), s.now) {
			out = append(out, fmt.Sprintf("%s runs=%d %dms lease=%d", u.Worker, u.Runs, u.WaitMs, u.LeaseMs))
		}
		return strings.Join(out, "; ")
	case "status":
		st, ok := s.p.Status(s.p.ResolveID(f[1]))
		if !ok {
			return "unknown"
		}
		return string(st)
	case "endings":
		var out []string
		for _, e := range s.p.TakeEndings() {
			line := e.Job + ":" + e.Verdict.String()
			if e.Verdict == JobFailed {
				line += fmt.Sprintf(":%s/%d:%s:%d/%d", e.Task, e.Run, e.Reason, e.Failures, e.Limit)
			}
			out = append(out, line)
		}
		sort.Strings(out)
		return strings.Join(out, " ")
	case "pending":
		return fmt.Sprint(s.p.Pending(s.policy.Queues[f[1]]))
	case "queue-records":
		return fmt.Sprint(s.queueRecords())
	case "acked":
		return fmt.Sprint(s.p.StoredSeq(f[1]))
	case "explain":
		return s.explain(num(f[1]))
	case "tick":
		return strings.Join(s.p.Tick(s.now), " ")
	default:
		s.t.Fatalf("no command %q", f[0])
	}
	_ = a
	return ""
}

// queueRecords returns the number of queues whose records are stored.
func (s *script) queueRecords() int {
	keys := map[string]bool{}
	for _, r := range s.records {
		if strings.HasPrefix(r[0], queuePrefix) {
			keys[r[0]] = r[1] != ""
		}
	}
	n := 0
	for _, stored := range keys {
		if stored {
			n++
		}
	}
	return n
}

// send returns the start of a task if it should be sent.
func (s *script) send(task string) string {
	for _, st := range s.starts {
		if st.Ref.String() != task {
			continue
		}
		name := fmt.Sprintf("%s/%d@%s", st.Ref, st.Run, st.Worker)
		if s.p.ShouldSend(st) {
			s.sent[name] = true
			return name
		}
		if !s.sent[name] {
			s.p.ApplyStartOutcome(st, StartRefused, s.now)
		}
		return ""
	}
	return "no start"
}

// explain returns what has kept tasks from running for longer than minMs.
func (s *script) explain(minMs int64) string {
	var out []string
	for _, e := range s.p.ExplainWaiting(minMs, 10, s.now) {
		out = append(out, fmt.Sprintf("waiting %s %dms noRoom=%d unusable=%d", e.Step, e.WaitMs, e.NoCapacity, e.Unusable))
	}
	for _, r := range s.p.UnconfirmedRuns(minMs, 10, s.now) {
		state := fmt.Sprintf("%s/%d@%s %s %dms lease=%d", r.Task, r.Run, r.Worker, r.Phase, r.WaitMs, r.LeaseMs)
		if r.Stopping {
			state += " stopping"
		}
		if !r.Reachable {
			state += " unreachable"
		}
		out = append(out, state)
	}
	for _, g := range s.p.SplitGangs(minMs, 10, s.now) {
		out = append(out, fmt.Sprintf("split %s %dms waiting=%d placed=%d running=%d", g.Step, g.WaitMs, g.Waiting, g.Placed, g.Running))
	}
	return strings.Join(out, "; ")
}

// list passes a report of a worker to the planner. The items are run:TASK:RUN,
// end:SEQ:TASK:RUN:REASON and incarnation=N.
func (s *script) list(id string, items []string) {
	report := WorkerReport{SentMs: s.now.Ms + 1, Incarnation: 1}
	for _, it := range items {
		p := strings.Split(it, ":")
		switch p[0] {
		case "run":
			report.Running = append(report.Running, Running{Task: p[1], Run: int(num(p[2]))})
		case "end":
			report.Finished = append(report.Finished, Finished{Seq: num(p[1]), Task: p[2], Run: int(num(p[3])), Reason: EndReason(p[4])})
		default:
			report.Incarnation = num(strings.TrimPrefix(it, "incarnation="))
		}
	}
	s.p.ApplyReport(id, report, s.now)
}
