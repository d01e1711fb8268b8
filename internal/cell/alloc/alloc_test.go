package alloc

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lagooncourse/internal/cell/jobs"
)

// startRequest is a start request in flight.
type startRequest struct {
	attempt Attempt
	epoch   uint64
	seq     uint64
	boot    int64
	size    int64
}

// simWorker is a simulated worker with the checks that the platform guarantees.
type simWorker struct {
	id      string
	cap     int64
	boot    int64
	epoch   uint64                     // fencing token
	minSeq  uint64                     // lowest accepted sequence number
	lease   bool                       // the lease is valid
	running map[Attempt]int64          // attempt -> size
	done    map[Attempt]jobs.EndReason // ended attempts that are still reported
}

func (w *simWorker) used() int64 {
	var sum int64
	for _, size := range w.running {
		sum += size
	}
	return sum
}

// acceptEpoch refuses an epoch older than the current one, and adopts a newer one.
func (w *simWorker) acceptEpoch(epoch uint64) bool {
	if epoch < w.epoch {
		return false
	}
	if epoch > w.epoch {
		w.epoch, w.minSeq = epoch, 0
	}
	return true
}

func (w *simWorker) start(m startRequest) bool {
	if !w.acceptEpoch(m.epoch) || m.seq < w.minSeq || !w.lease || m.boot != w.boot {
		return false
	}
	if _, ended := w.done[m.attempt]; ended {
		return true
	}
	w.running[m.attempt] = m.size
	return true
}

func (w *simWorker) renew(epoch uint64, r Renewal) (Inventory, bool) {
	if !w.acceptEpoch(epoch) {
		return Inventory{}, false
	}
	w.minSeq, w.lease = max(w.minSeq, r.MinSeq), true
	for _, attempt := range r.Recorded {
		delete(w.done, attempt)
	}
	inv := Inventory{Renewal: r, Boot: w.boot}
	for attempt, size := range w.running {
		inv.Attempts = append(inv.Attempts, ReportedAttempt{Attempt: attempt, Home: "h", Kind: jobs.Batch, Size: jobs.Size{CPU: size}})
	}
	for attempt, reason := range w.done {
		inv.Attempts = append(inv.Attempts, ReportedAttempt{Attempt: attempt, Home: "h", Reason: reason})
	}
	return inv, true
}

// simOwner is the owner of the group in one epoch.
type simOwner struct {
	epoch       uint64
	allocations *Allocations
}

// simulation is the complete state of the test.
type simulation struct {
	t            *rapid.T
	workers      map[string]*simWorker
	owners       []*simOwner // by epoch; older ones may resume after a pause
	net          []startRequest
	dest         []string // worker of each message in net
	tasks        []jobs.Task
	sizes        []int64        // size of each task
	finishedRuns map[string]int // by task
	nowMs        int64
}

var testSpec = jobs.Spec{Kind: jobs.Batch, Tasks: 1}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, workers: map[string]*simWorker{}, finishedRuns: map[string]int{}}
	for _, id := range []string{"w0", "w1"} {
		sim.workers[id] = &simWorker{id: id, cap: 4, boot: 1, running: map[Attempt]int64{}, done: map[Attempt]jobs.EndReason{}}
	}
	for range 4 {
		sim.tasks = append(sim.tasks, jobs.Task{State: jobs.Waiting})
		sim.sizes = append(sim.sizes, rapid.Int64Range(1, 4).Draw(t, "size"))
	}
	sim.takeover()
	return sim
}

func (sim *simulation) currentOwner() *simOwner { return sim.owners[len(sim.owners)-1] }

// takeover adds an owner with the next epoch and without allocations.
func (sim *simulation) takeover() {
	owner := &simOwner{epoch: uint64(len(sim.owners) + 1), allocations: New()}
	var list []Worker
	for id, w := range sim.workers {
		list = append(list, Worker{ID: id, Capacity: jobs.Size{CPU: w.cap}})
	}
	owner.allocations.SetWorkers(list)
	sim.owners = append(sim.owners, owner)
}

func (sim *simulation) attemptOf(i, n int) Attempt {
	return Attempt{Task: fmt.Sprintf("j.1/%d", i), Number: n}
}

// place reserves capacity with the current owner and records the intent to start
// the task, as its home group does.
func (sim *simulation) place(i int) {
	owner := sim.currentOwner()
	if sim.tasks[i].State != jobs.Waiting {
		return
	}
	attempt := sim.attemptOf(i, sim.tasks[i].Attempt+1)
	slot, ok := owner.allocations.Reserve(ReserveRequest{Attempt: attempt, Home: "h", Kind: jobs.Batch, Size: jobs.Size{CPU: sim.sizes[i]}, UntilMs: sim.nowMs + 10}, sim.nowMs)
	if !ok {
		return
	}
	sim.tasks[i] = sim.tasks[i].WithStart(jobs.Placement{Group: "g", Worker: slot.Worker, Boot: slot.Boot}, sim.nowMs)
}

// send lets an owner send the start request of a recorded intent. The owner may
// be an old one that resumes after a pause.
func (sim *simulation) send(owner *simOwner, i int) {
	if sim.tasks[i].State != jobs.Placed {
		return
	}
	attempt := sim.attemptOf(i, sim.tasks[i].Attempt)
	token, ok := owner.allocations.Begin(attempt)
	if !ok {
		return
	}
	sim.net = append(sim.net, startRequest{attempt: attempt, epoch: owner.epoch, seq: token.Seq, boot: token.Boot, size: sim.sizes[i]})
	sim.dest = append(sim.dest, token.Worker)
}

// deliver delivers message n to its worker. The answer is lost unless answered is
// set. If duplicate is set, the message stays in the network and can be delivered
// again.
func (sim *simulation) deliver(n int, answered, duplicate bool) {
	m, id := sim.net[n], sim.dest[n]
	if !duplicate {
		sim.net = append(sim.net[:n:n], sim.net[n+1:]...)
		sim.dest = append(sim.dest[:n:n], sim.dest[n+1:]...)
	}
	ok := sim.workers[id].start(m)
	owner := sim.owners[m.epoch-1]
	switch {
	case !answered:
		owner.allocations.StartUnconfirmed(m.attempt)
	case ok:
		owner.allocations.StartConfirmed(m.attempt)
	default:
		owner.allocations.StartRefused(m.attempt)
	}
}

// renew lets an owner renew the lease of a worker and apply its inventory.
func (sim *simulation) renew(owner *simOwner, w *simWorker) {
	if inv, ok := w.renew(owner.epoch, owner.allocations.Renewal(w.id)); ok {
		for _, r := range owner.allocations.ApplyInventory(w.id, inv) {
			sim.end(r)
		}
	}
}

// end records an end in the home group and marks it as recorded with the current
// owner.
func (sim *simulation) end(r Report) {
	for i := range sim.tasks {
		if r.Attempt.Task != sim.attemptOf(i, 0).Task {
			continue
		}
		sim.tasks[i] = sim.tasks[i].WithEnd(testSpec, jobs.End{Attempt: r.Attempt.Number, Reason: r.Reason})
	}
	sim.currentOwner().allocations.MarkEndRecorded(r.Attempt)
}

// query lets the home group query the current owner for the state of a placed
// task.
func (sim *simulation) query(i int) {
	t := sim.tasks[i]
	if t.State != jobs.Placed {
		return
	}
	attempt := sim.attemptOf(i, t.Attempt)
	status, r := sim.currentOwner().allocations.AttemptStatus(Query{Attempt: attempt, Worker: t.Worker, Boot: t.Boot}, false)
	switch status {
	case StatusEnded:
		r.Attempt = attempt
		sim.end(r)
	case StatusAbsent:
		sim.end(Report{Attempt: attempt, Reason: jobs.EndNeverStarted})
	}
}

// restart restarts the worker, which loses all its state, including the fencing
// token.
func (w *simWorker) restart() {
	clear(w.running)
	clear(w.done)
	w.boot++
	w.epoch, w.minSeq, w.lease = 0, 0, false
}

// expireLease expires the worker's lease, which stops its running attempts.
func (w *simWorker) expireLease() {
	w.lease = false
	for attempt := range w.running {
		delete(w.running, attempt)
		w.done[attempt] = jobs.EndStopped
	}
}

// finish completes the running task with the lowest name on the worker.
func (sim *simulation) finish(w *simWorker) {
	var first Attempt
	for attempt := range w.running {
		if first.Task == "" || attempt.Task < first.Task {
			first = attempt
		}
	}
	if first.Task == "" {
		return
	}
	delete(w.running, first)
	w.done[first] = jobs.EndOK
	sim.finishedRuns[first.Task]++
}

// checkInvariants fails the test if a worker is overcommitted, or if a task runs
// on two workers or has finished more than once.
func (sim *simulation) checkInvariants() {
	where := map[string]string{}
	for id, w := range sim.workers {
		assert.Assert(sim.t, w.used() <= w.cap, "worker %s runs %d of %d", id, w.used(), w.cap)
		for attempt := range w.running {
			other, twice := where[attempt.Task]
			assert.Assert(sim.t, !twice, "task %s runs on %s and %s", attempt.Task, other, id)
			where[attempt.Task] = id
		}
	}
	for task, n := range sim.finishedRuns {
		assert.Assert(sim.t, n <= 1, "task %s finished %d times", task, n)
	}
}

// TestInvariantsUnderFaults simulates a home group, successive owners of a group,
// the group's workers, and a network that delays, duplicates and drops requests.
// It runs random steps: delayed, duplicate and unanswered start requests, paused
// owners, takeovers, expired leases and worker restarts. After each step it checks
// that no worker is overcommitted and that no task runs twice.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			sim.step()
			sim.checkInvariants()
		}
	})
}

// step runs one random step.
func (sim *simulation) step() {
	sim.nowMs++
	i := rapid.IntRange(0, len(sim.tasks)-1).Draw(sim.t, "task")
	owner := rapid.SampledFrom(sim.owners).Draw(sim.t, "owner")
	w := sim.workers[rapid.SampledFrom([]string{"w0", "w1"}).Draw(sim.t, "worker")]
	switch rapid.IntRange(0, 11).Draw(sim.t, "step") {
	case 0, 1, 2:
		sim.place(i)
	case 3, 4:
		sim.send(owner, i)
	case 5, 6:
		if len(sim.net) > 0 {
			n := rapid.IntRange(0, len(sim.net)-1).Draw(sim.t, "message")
			sim.deliver(n, rapid.Bool().Draw(sim.t, "answered"), rapid.IntRange(0, 3).Draw(sim.t, "duplicate") == 0)
		}
	case 7, 8:
		sim.renew(owner, w)
	case 9:
		sim.query(i)
	case 10:
		switch rapid.IntRange(0, 7).Draw(sim.t, "event") {
		case 0:
			w.restart()
		case 1:
			w.expireLease()
		case 2:
			w.expireLease()
			for _, r := range sim.currentOwner().allocations.MarkWorkerLost(w.id) {
				sim.end(r)
			}
		default:
			sim.finish(w)
		}
	case 11:
		if rapid.IntRange(0, 3).Draw(sim.t, "takeover") == 0 {
			sim.takeover()
		} else {
			sim.currentOwner().allocations.ExpireReservations(sim.nowMs)
		}
	}
}

// TestSelectVictims checks that SelectVictims selects the victims with the smallest
// dominant share, and that only the urgent attempt can use the capacity that they
// free.
func TestSelectVictims(t *testing.T) {
	al := New()
	al.SetWorkers([]Worker{{ID: "w0", Capacity: jobs.Size{CPU: 8}}, {ID: "w1", Capacity: jobs.Size{CPU: 8}}})
	running := func(worker string, sizes ...int64) {
		var seen []ReportedAttempt
		for i, size := range sizes {
			seen = append(seen, ReportedAttempt{Attempt: Attempt{Task: fmt.Sprint(worker, i), Number: 1}, Kind: jobs.Batch, Size: jobs.Size{CPU: size}})
		}
		al.ApplyInventory(worker, Inventory{Attempts: seen})
	}
	running("w0", 4, 4)
	running("w1", 2, 2, 2, 2)
	urgent := ReserveRequest{Attempt: Attempt{Task: "u", Number: 1}, Kind: jobs.Urgent, Size: jobs.Size{CPU: 2}}
	_, ok := al.Reserve(urgent, 0)
	assert.Assert(t, !ok)
	victims := al.SelectVictims(urgent, 0, 100)
	assert.Equal(t, len(victims), 1)
	assert.Equal(t, victims[0].Task, "w10")
	assert.Equal(t, len(al.SelectVictims(urgent, 1, 100)), 0)
	al.ApplyInventory("w1", Inventory{Renewal: Renewal{MinSeq: 1}, Attempts: []ReportedAttempt{
		{Attempt: victims[0], Reason: jobs.EndCheckpointed},
		{Attempt: Attempt{Task: "w11", Number: 1}, Kind: jobs.Batch, Size: jobs.Size{CPU: 2}},
		{Attempt: Attempt{Task: "w12", Number: 1}, Kind: jobs.Batch, Size: jobs.Size{CPU: 2}},
		{Attempt: Attempt{Task: "w13", Number: 1}, Kind: jobs.Batch, Size: jobs.Size{CPU: 2}},
	}})
	other := ReserveRequest{Attempt: Attempt{Task: "o", Number: 1}, Kind: jobs.Batch, Size: jobs.Size{CPU: 1}}
	_, ok = al.Reserve(other, 2)
	assert.Assert(t, !ok, "the capacity is held for the urgent attempt")
	slot, ok := al.Reserve(urgent, 2)
	assert.Assert(t, ok)
	assert.Equal(t, slot.Worker, "w1")
}

// TestUnheardWorkerIsKept takes a worker that has not reported an inventory yet off the
// host list. Its attempts must not be reported as lost while it may run them.
func TestUnheardWorkerIsKept(t *testing.T) {
	al := New()
	q := Query{Attempt: Attempt{Task: "b-0.1/0", Number: 1}, Worker: "w1", Boot: 7}
	al.SetWorkers([]Worker{{ID: "w1", Capacity: jobs.Size{CPU: 8}}})
	al.SetWorkers(nil)
	status, _ := al.AttemptStatus(q, true)
	assert.Equal(t, status, StatusUnknown)
	al.ApplyInventory("w1", Inventory{Boot: 7, Attempts: []ReportedAttempt{{Attempt: q.Attempt, Home: "b-0", Kind: jobs.Batch, Size: jobs.Size{CPU: 1}}}})
	status, _ = al.AttemptStatus(q, true)
	assert.Equal(t, status, StatusRunning)

	al.SetWorkers([]Worker{{ID: "w2", Capacity: jobs.Size{CPU: 8}}})
	al.MarkWorkerLost("w2")
	al.SetWorkers(nil)
	assert.DeepEqual(t, al.Workers(), []string{"w1"})
}

// TestVictimsAreSelectedAgain selects victims whose stop requests are lost. They must be
// selected again once the hold for the urgent attempt has ended, and not before.
func TestVictimsAreSelectedAgain(t *testing.T) {
	al := New()
	al.SetWorkers([]Worker{{ID: "w1", Capacity: jobs.Size{CPU: 2}}})
	victim := Attempt{Task: "b-0.1/0", Number: 1}
	al.ApplyInventory("w1", Inventory{Boot: 7, Attempts: []ReportedAttempt{{Attempt: victim, Home: "b-0", Kind: jobs.Batch, Size: jobs.Size{CPU: 2}}}})
	req := ReserveRequest{Attempt: Attempt{Task: "b-0.2/0", Number: 1}, Home: "b-0", Kind: jobs.Urgent, Size: jobs.Size{CPU: 1}}
	assert.DeepEqual(t, al.SelectVictims(req, 0, 1000), []Attempt{victim})
	assert.Equal(t, len(al.SelectVictims(req, 999, 1999)), 0)
	assert.DeepEqual(t, al.SelectVictims(req, 1000, 2000), []Attempt{victim})
}
