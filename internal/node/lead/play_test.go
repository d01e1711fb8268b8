package lead

import (
	"errors"
	"fmt"
	"math/rand"
	"sort"
	"testing"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/fakes"
	"lagooncourse/internal/plat/ports"
)

// simulation runs planners against simulated workers without processes, network
// or real time. Random takeovers replace the owner. A replaced owner continues to
// send its pending orders, as a paused process would after it resumes.
type simulation struct {
	t             *testing.T
	rand          *rand.Rand
	farm          *fakes.Farm
	records       [][2]string // key and value of each record of the topic
	owners        []*simOwner // the last one is the current owner
	nowMs         int64
	jobs          int
	unfinishedJob string   // set by unfinished, for the failure message
	storedJobs    []string // jobs whose acceptance is stored
	mut           mutation
}

// mutation selects a safeguard to disable, to show that the simulation detects it.
type mutation int

const (
	noMutation         mutation = iota
	noFence                     // all owners use the same fencing token
	noLeaseWait                 // the tasks of an unreachable worker count as lost at once
	ackBeforeStored             // ends are acknowledged before they are stored
	noIncarnationCheck          // reports of a restarted worker are attributed to its first incarnation
)

// simOwner is a current or replaced owner.
type simOwner struct {
	epoch         int64
	planner       *sched.Planner
	clocks        map[string][3]int64 // by worker: its clock, the time of the reading, its incarnation
	plannedStarts []sched.Start       // intents not stored
	stops         []sched.Stop        // unanswered
	delayedStarts []delayedStart      // to be sent later
	replacedMs    int64               // time at which it was replaced; 0 for the current owner
	confirmedMs   int64               // time of the last append
}

const (
	simStepMs  = 20
	simLeaseMs = 8_000
)

var simView = sched.View{
	Queues: map[string]sched.Queue{
		"urgent": {Name: "urgent", Service: "s", Priority: 0, Attempts: 50, Slack: 2, TargetMs: 250},
		"batch":  {Name: "batch", Service: "s", Priority: 1, Attempts: 50, Slack: 3, TargetMs: 1000},
	},
	Teams: map[string]sched.Limit{"a": {Max: jobs.Size{CPU: 30_000}}, "b": {}},
}

func newSimulation(t *testing.T, seed int64, mut mutation) *simulation {
	p := &simulation{
		t: t, rand: rand.New(rand.NewSource(seed)), mut: mut,
		farm: fakes.NewFarm(fakes.FarmConfig{
			Workers: 8, Capacity: jobs.Size{CPU: 16_000, Mem: 32_000}, Rack: 4, Azs: []string{"x", "y"}, Service: "s", Seed: seed,
		}),
		nowMs: 1_000,
	}
	p.farm.SetLimit("a", jobs.Size{CPU: 30_000, Mem: jobs.Unlimited, Accel: jobs.Unlimited})
	p.takeOver()
	return p
}

func (p *simulation) now() sched.Instant { return sched.Instant{Ms: p.nowMs, Wall: p.nowMs} }

// takeOver starts a new owner from the stored records.
func (p *simulation) takeOver() {
	state := sched.NewState()
	for _, r := range p.records {
		assert.NilError(p.t, state.Apply(r[0], []byte(r[1])))
	}
	silence := int64(maxConfirmAgeMs)
	if p.mut == noLeaseWait {
		silence = -20_000
	}
	o := &simOwner{epoch: int64(len(p.owners) + 1), clocks: map[string][3]int64{}, confirmedMs: p.nowMs}
	if p.mut == noFence {
		o.epoch = 1
	}
	o.planner = sched.NewPlanner(sched.Config{State: state, SilenceMs: silence, LeaseMs: simLeaseMs, LeaseMaxMs: fakes.HoldMaxMs, KeepMs: 1 << 40}, p.now())
	o.planner.SetView(simView)
	if n := len(p.owners); n > 0 {
		p.owners[n-1].replacedMs = p.nowMs
	}
	p.owners = append(p.owners, o)
}

// submit accepts a random job.
func (p *simulation) submit() {
	p.jobs++
	spec := sched.Spec{ID: fmt.Sprintf("%016x", p.jobs), Queue: "batch", Team: "b", AtMs: p.nowMs}
	if p.rand.Intn(2) == 0 {
		spec.Queue, spec.Team = "urgent", "a"
	}
	for i := range 1 + p.rand.Intn(2) {
		s := sched.Step{
			Count: 1 + p.rand.Intn(4), Size: jobs.Size{CPU: int64(1000 + p.rand.Intn(5000)), Mem: int64(p.rand.Intn(9000))},
			EstimateMs: int64(200 + p.rand.Intn(3000)), Gang: p.rand.Intn(3) == 0,
		}
		if i > 0 {
			s.After = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, s)
	}
	p.farm.Know(spec)
	p.owners[len(p.owners)-1].planner.Accept(spec, p.now())
}

// step advances the time and runs the current owner and those replaced less than
// maxConfirmAgeMs ago.
func (p *simulation) step() {
	p.nowMs += simStepMs
	p.farm.Advance(p.nowMs)
	for i, o := range p.owners {
		current := i == len(p.owners)-1
		if !current && p.nowMs-o.replacedMs > maxConfirmAgeMs {
			continue
		}
		p.runOwner(o, current)
	}
}

// runOwner runs one round of an owner. Only the current owner plans and stores.
func (p *simulation) runOwner(o *simOwner, current bool) {
	for _, info := range p.farm.Entries() {
		o.planner.SetWorker(info, p.now())
	}
	o.planner.Tick(p.now())
	if current {
		o.plannedStarts = append(o.plannedStarts, o.planner.Plan(unlimitedAdvice{}, p.now()).Starts...)
		p.store(o)
	}
	p.deliver(o)
	stops := o.planner.TakeStops()
	sort.Slice(stops, func(a, b int) bool { return stops[a].Ref.String() < stops[b].Ref.String() })
	stops = append(o.stops, stops...)
	o.stops = nil
	for _, s := range stops {
		p.sendStop(o, s)
	}
	p.heartbeats(o)
	assert.NilError(p.t, o.planner.Audit())
}

// store appends the pending records and queues the starts whose intents are
// stored.
func (p *simulation) store(o *simOwner) {
	b, err := o.planner.TakeDirty(p.now())
	assert.NilError(p.t, err)
	for i, key := range b.Keys {
		p.records = append(p.records, [2]string{key, string(b.Values[i])})
	}
	o.confirmedMs = p.nowMs
	p.storedJobs = append(p.storedJobs, b.Accepted...)
	o.planner.Stored(b)
	send := o.planner.Release(o.plannedStarts, p.now())
	o.plannedStarts = nil
	for _, s := range send {
		at := p.nowMs
		if p.rand.Intn(10) == 0 {
			at += p.rand.Int63n(2000) // delayed by the network or a paused sender
		}
		o.delayedStarts = append(o.delayedStarts, delayedStart{at, s})
	}
}

// deliver sends the starts that are due.
func (p *simulation) deliver(o *simOwner) {
	rest := o.delayedStarts[:0]
	for _, d := range o.delayedStarts {
		if d.sendMs > p.nowMs {
			rest = append(rest, d)
			continue
		}
		p.sendStart(o, d.start)
	}
	o.delayedStarts = rest
}

// delayedStart is a start and the time at which it is sent.
type delayedStart struct {
	sendMs int64
	start  sched.Start
}

// leaseEnd returns the lease end for an order sent now, 0 if leases must not be
// renewed.
func (o *simOwner) leaseEnd(id string, nowMs int64) int64 {
	c, ok := o.clocks[id]
	if info, _ := o.planner.Worker(id); !ok || info.Born != c[2] || nowMs-o.confirmedMs >= maxConfirmAgeMs {
		return 0
	}
	return c[0] + nowMs - c[1] + simLeaseMs
}

// sendStart sends a start if it is still valid.
func (p *simulation) sendStart(o *simOwner, s sched.Start) {
	end := o.leaseEnd(s.Worker, p.nowMs)
	if end == 0 || !o.planner.Due(s) {
		o.planner.Started(s, sched.StartRefused, p.now())
		return
	}
	o.planner.Renewing(s.Worker, p.now())
	_, err := p.farm.StartAt(ports.StartOrder{
		Peer: ports.Peer{ID: s.Worker}, Token: o.epoch, Task: s.Ref.String(), Run: s.Run, LeaseEnd: end,
	}, p.nowMs)
	o.planner.Started(s, startOutcome(err, 0), p.now())
}

// sendStop sends a stop and queues it for the next round if it is not answered.
func (p *simulation) sendStop(o *simOwner, s sched.Stop) {
	err := p.farm.StopAt(ports.StopOrder{Peer: ports.Peer{ID: s.Worker}, Token: o.epoch, Task: s.Ref.String(), Run: s.Run}, p.nowMs)
	if err == nil {
		o.planner.StopDenied(s, p.now())
		return
	}
	var refused *ports.RefusedError
	if _, used := o.planner.Worker(s.Worker); used && !errors.As(err, &refused) {
		o.stops = append(o.stops, s)
	}
}

// heartbeats sends heartbeats to a random quarter of the workers.
func (p *simulation) heartbeats(o *simOwner) {
	for _, info := range o.planner.Targets() {
		if p.rand.Intn(4) > 0 {
			continue
		}
		end := o.leaseEnd(info.ID, p.nowMs)
		if end > 0 {
			o.planner.Renewing(info.ID, p.now())
		}
		seen := o.planner.Seen(info.ID)
		if p.mut == ackBeforeStored {
			seen = o.planner.Applied(info.ID) + 1
		}
		h, err := p.farm.HoldAt(ports.HoldRequest{Peer: ports.Peer{ID: info.ID}, Token: o.epoch, LeaseEnd: end, Seen: seen}, p.nowMs)
		if err != nil {
			o.planner.Unanswered(info.ID)
			delete(o.clocks, info.ID)
			continue
		}
		incarnation := h.Born
		if p.mut == noIncarnationCheck {
			incarnation = 1
		}
		o.clocks[info.ID] = [3]int64{h.Clock, p.nowMs, h.Born}
		o.planner.Listed(info.ID, sched.Lists{SentMs: p.nowMs, Born: incarnation, Running: h.Running, Finished: h.Finished}, p.now())
	}
}

// unlimitedAdvice is an advice capacity without limit.
type unlimitedAdvice struct{}

func (unlimitedAdvice) Idle() bool                  { return true }
func (unlimitedAdvice) Take(float64) (string, bool) { return "d", true }

// injectFault triggers a takeover or a worker restart, or changes the network
// faults.
func (p *simulation) injectFault() {
	id := fmt.Sprintf("w%d", p.rand.Intn(8))
	switch p.rand.Intn(7) {
	case 0:
		p.takeOver()
	case 1:
		p.farm.Cut(id, true)
	case 2, 3:
		p.farm.Cut(id, false)
	case 4:
		p.farm.Reboot(id, p.nowMs)
	case 5:
		p.farm.SetFaults(fakes.FarmFaults{Lost: 0.1, Late: 0.1, Fail: 0.05})
	case 6:
		p.farm.SetFaults(fakes.FarmFaults{})
	}
}

// settle removes all faults and runs until every job has ended or two minutes
// have passed. It returns the number of unfinished jobs.
func (p *simulation) settle() (unfinished int) {
	for i := range 8 {
		p.farm.Cut(fmt.Sprintf("w%d", i), false)
	}
	p.farm.SetFaults(fakes.FarmFaults{})
	for range 120_000 / simStepMs {
		p.step()
		if p.unfinished() == 0 && p.farm.Running() == 0 {
			break
		}
	}
	return p.unfinished()
}

// unfinished returns the number of stored jobs that have not ended.
func (p *simulation) unfinished() int {
	n := 0
	for _, id := range p.storedJobs {
		s, _ := p.owners[len(p.owners)-1].planner.Status(id)
		if s != sched.StatusCompleted && s != sched.StatusFailed {
			p.unfinishedJob = id
			n++
		}
	}
	return n
}

// run simulates one minute with random submissions and faults.
func (p *simulation) run() {
	for range 60_000 / simStepMs {
		if p.rand.Intn(8) == 0 && p.nowMs < 40_000 {
			p.submit()
		}
		if p.rand.Intn(60) == 0 {
			p.injectFault()
		}
		p.step()
	}
}

// TestPlay checks that no invariant is violated and that every job ends under
// random faults. The flag -play.seeds sets the number of seeds.
func TestPlay(t *testing.T) {
	for seed := int64(1); seed <= int64(*simSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			p := newSimulation(t, seed, noMutation)
			p.run()
			open := p.settle()
			assert.DeepEqual(t, p.farm.Broken(), []string(nil))
			for _, late := range p.owners[len(p.owners)-1].planner.Late(1000, 5, p.now()) {
				t.Logf("%+v", late)
			}
			if open > 0 {
				t.Log(p.owners[len(p.owners)-1].planner.Describe(p.unfinishedJob))
			}
			assert.Equal(t, open, 0, "unfinished jobs of %d", len(p.storedJobs))
			assert.Assert(t, p.farm.Starts() > p.jobs/2, "only %d starts for %d jobs", p.farm.Starts(), p.jobs)
		})
	}
}

// TestPlayFindsMutations checks that the simulation detects each disabled
// safeguard.
func TestPlayFindsMutations(t *testing.T) {
	for name, m := range map[string]mutation{
		"no fence": noFence, "no wait for a lease": noLeaseWait, "acknowledged before stored": ackBeforeStored, "incarnation not checked": noIncarnationCheck,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := int64(1); seed <= 40; seed++ {
				p := newSimulation(t, seed, m)
				p.run()
				if open := p.settle(); open > 0 || len(p.farm.Broken()) > 0 {
					t.Logf("detected with seed %d: %d unfinished jobs, violation %q", seed, open, first(p.farm.Broken()))
					return
				}
			}
			t.Fatal("not detected with 40 seeds")
		})
	}
}

func first(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[0]
}
