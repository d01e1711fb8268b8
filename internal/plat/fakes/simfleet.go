package fakes

import (
	"fmt"
	"maps"
	"math"
	"math/rand"
	"slices"
	"sort"
	"sync"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/ports"
)

// SimFleet fakes the workers of the platform without network or timers. The caller
// passes the current time to each call, so that tests can simulate hours in
// milliseconds. SimFleet checks each start and records violations of the scheduler's
// guarantees.
type SimFleet struct {
	mu         sync.Mutex
	rand       *rand.Rand
	nowMs      int64 // time of the last call that passed it
	workers    map[string]*simWorker
	ids        []string // worker IDs in a fixed order
	specs      map[string]sched.Spec
	quotas     map[string]jobs.Size
	faults     SimFleetFaults
	late       []lateOrder
	violations []string
	ackedTasks map[string]bool // tasks whose successful end the scheduler has acknowledged
	doneTasks  map[string]bool // tasks that have ended successfully
	starts     int
	history    []*RunRecord

	startedJobs map[string]bool
	deadly      map[string]DeadlyTask // by task
	crashes     map[string]int        // workers that crashed under a deadly task
	outages     []Outage              // by deadly tasks
	overrun     map[string]int        // starts of a deadly task after maxCrashStarts workers crashed
	nextID      int                   // number of the next worker that returns with a new ID
	hopeless    map[string]bool       // jobs whose runs all fail
	advice      map[string]AdviceRule // by queue
}

// RunRecord is a run as its worker saw it. Times are those that the callers passed.
type RunRecord struct {
	Task    string
	Run     int
	Worker  string
	StartMs int64
	EndMs   int64           // 0 while it is active
	Late    bool            // its start was a late order
	Reason  sched.EndReason // empty while it is active; EndLost if its worker was lost
}

// DeadlyTask describes a task that crashes each worker that starts it.
type DeadlyTask struct {
	AfterMs int64 // from the start to the crash
	DownMs  int64 // until the worker is back
	NewID   bool  // it is back with a new ID
}

// Outage is the time from the crash of a worker under a deadly task to its return.
type Outage struct {
	Worker       string
	FromMs, ToMs int64
}

// SimFleetFaults holds the injected faults, as probabilities between 0 and 1.
type SimFleetFaults struct {
	Lost float64 // a start or stop is carried out but not answered
	Late float64 // a start or stop is not answered and is carried out 2 to 12 s later
	Fail float64 // a run fails

	// The next two cost no random number while they are 0, so that the seeds of earlier
	// simulations keep their meaning.

	Deaf  float64 // a stop of an active run is confirmed and not carried out
	Moved float64 // an order reaches another worker, which refuses it

	DeafOnce bool // the first stop of each run is confirmed and not carried out
	Keep     bool // late orders reach the next incarnation of a worker that has restarted
}

// SimFleetConfig is the configuration of a SimFleet.
type SimFleetConfig struct {
	Workers  int
	Capacity jobs.Size
	Rack     int // workers per rack
	Azs      []string
	Service  string
	Seed     int64
}

// simWorker is one worker.
type simWorker struct {
	info        sched.WorkerInfo
	rooms       []room // earlier capacities that still count
	bootMs      int64
	maxToken    int64              // highest fencing token received
	leaseEnd    int64              // end of the lease, on the worker's clock
	runs        map[string]*simRun // by task
	ended       []sched.Finished   // unacknowledged finished runs
	lastSeq     int64              // number of the last finished run
	endedRun    map[string]int     // by task: highest run number that has ended or was stopped
	seqAtExpiry int64              // lastSeq when the lease last expired; tasks of runs up to it may be rerun
	unreachable bool               // calls to the worker fail
	unlisted    bool               // it writes no registry entry
	down        bool               // the worker is not running
	grey        bool               // all runs that it starts fail
	slow        float64            // factor of the duration of the runs that it starts; 0 for 1
	still       bool               // its runs stand still
	backAtMs    int64              // when a crashed worker is back
	newID       bool               // it is back with a new ID
	silentMs    int64              // when its registry entry is deleted
	conns       map[int64]int64    // incarnation that answered the last heartbeat, by fencing token
	cutUntilMs  int64              // heartbeats on connections to earlier incarnations get no answer before this time
}

// room is an earlier capacity of a worker. It counts for orders that are sent before
// untilMs.
type room struct {
	capacity jobs.Size
	untilMs  int64
}

// roomAt returns the capacity of the worker that counts for an order sent at sentMs.
func (w *simWorker) roomAt(sentMs int64) jobs.Size {
	size := w.info.Capacity
	for _, r := range w.rooms {
		if sentMs < r.untilMs {
			size = size.Max(r.capacity)
		}
	}
	return size
}

// endOldRoom ends the time for which the capacity of an earlier incarnation counts.
func (w *simWorker) endOldRoom(nowMs int64) {
	for i := range w.rooms {
		if w.rooms[i].untilMs == math.MaxInt64 {
			w.rooms[i].untilMs = nowMs
		}
	}
}

// maxToken returns the highest fencing token that a worker has received.
func (f *SimFleet) maxToken() (token int64) {
	for _, w := range f.workers {
		token = max(token, w.maxToken)
	}
	return token
}

type simRun struct {
	number  int // run number of the task
	size    jobs.Size
	team    string
	startMs int64
	runMs   int64  // duration
	fails   bool   // the run ends as failed
	crashMs int64  // when the run crashes its worker; 0 if it does not
	gang    string // gang ID: step and run number; empty if the task is in no gang
	members int    // size of the gang
	record  *RunRecord
	deaf    bool // a stop was confirmed and not carried out
}

// lateOrder is an order, either a start or a stop, that is carried out at atMs.
type lateOrder struct {
	atMs   int64
	sentMs int64
	start  *ports.StartOrder
	stop   *ports.StopOrder
}

// Delays and timeouts that the platform specifies.
const (
	minLateMs     = 2_000  // minimum delay of a late order
	maxLateMs     = 12_000 // maximum delay of a late order
	gangTimeoutMs = 3_000  // time that a gang member waits for the other members
	entryExpiryMs = 4_500  // time after which the registry entry of a silent worker is deleted
	shrinkGraceMs = 4_500  // time for which a capacity that has shrunk counts: 3 s and the interval of registry entries
	silentConnMs  = 1_100  // timeout of a heartbeat on a silent connection
)

// NewSimFleet returns simulated workers without runs.
func NewSimFleet(cfg SimFleetConfig) *SimFleet {
	f := &SimFleet{
		rand: rand.New(rand.NewSource(cfg.Seed)), workers: map[string]*simWorker{}, specs: map[string]sched.Spec{},
		quotas: map[string]jobs.Size{}, ackedTasks: map[string]bool{}, doneTasks: map[string]bool{},
		startedJobs: map[string]bool{}, deadly: map[string]DeadlyTask{}, crashes: map[string]int{}, overrun: map[string]int{}, nextID: cfg.Workers,
		hopeless: map[string]bool{}, advice: map[string]AdviceRule{},
	}
	for i := range cfg.Workers {
		rack := fmt.Sprintf("r%d", i/max(cfg.Rack, 1))
		id := fmt.Sprintf("w%d", i)
		f.workers[id] = &simWorker{conns: map[int64]int64{},
			info: sched.WorkerInfo{
				ID: id, Addr: id, Service: cfg.Service, Az: cfg.Azs[i%len(cfg.Azs)], Rack: rack, Labels: []string{"a", rack},
				Capacity: cfg.Capacity, Incarnation: 1,
			},
			runs: map[string]*simRun{}, endedRun: map[string]int{},
		}
		f.ids = append(f.ids, id)
	}
	return f
}

// SetFaults replaces the injected faults.
func (f *SimFleet) SetFaults(faults SimFleetFaults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// RegisterJob registers a job. The fleet needs its spec to run and check its tasks.
func (f *SimFleet) RegisterJob(spec sched.Spec) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.specs[spec.ID] = spec
}

// Spec returns the spec of a registered job.
func (f *SimFleet) Spec(job string) sched.Spec {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.specs[job]
}

// SetLimit sets the quota of a team, which the fleet checks at each start. It
// takes no lock: call it before the first start.
func (f *SimFleet) SetLimit(team string, limit jobs.Size) { f.quotas[team] = limit }

// SetDeadly makes a task crash each worker that starts it.
func (f *SimFleet) SetDeadly(task string, d DeadlyTask) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deadly[task] = d
}

// SetHopeless makes all runs of a job fail.
func (f *SimFleet) SetHopeless(job string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hopeless[job] = true
}

// SetSlow makes the runs that a worker starts take x times as long.
func (f *SimFleet) SetSlow(id string, x float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].slow = x
}

// SetStill makes the runs on a worker stand still (on) or go on (!on).
func (f *SimFleet) SetStill(id string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].still = on
}

// SetDraining announces that a worker will leave in some time, 0 for no longer.
func (f *SimFleet) SetDraining(id string, leavesInMs int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	w.info.Draining, w.info.LeavesInMs = leavesInMs > 0, leavesInMs
}

// SetGrey makes a worker fail all runs that it starts (on), or run them as usual (!on).
func (f *SimFleet) SetGrey(id string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].grey = on
}

// CrashStarts returns how many workers crashed under a deadly task, and how many starts
// of it followed after the third crash.
func (f *SimFleet) CrashStarts(task string) (crashes, after int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashes[task], f.overrun[task]
}

// Outages returns the outages of workers by deadly tasks, in the order of their crashes.
func (f *SimFleet) Outages() []Outage {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.outages)
}

// IDs returns the IDs of all workers in a fixed order.
func (f *SimFleet) IDs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.ids)
}

// Entries returns the registry entries of the running workers, and of those that have
// been silent for less than entryExpiryMs.
func (f *SimFleet) Entries() []sched.WorkerInfo {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []sched.WorkerInfo
	for _, w := range f.workers {
		if !w.unlisted && (!w.down || f.nowMs < w.silentMs) {
			list = append(list, w.info)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].ID < list[b].ID })
	return list
}

// SetUnreachable makes all calls to a worker fail (on) or succeed again (!on). The
// worker keeps running.
func (f *SimFleet) SetUnreachable(id string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].unreachable = on
}

// SetUnlisted makes a worker write no registry entry (on) or write it again (!on).
func (f *SimFleet) SetUnlisted(id string, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].unlisted = on
}

// SetCapacity changes the capacity of a worker. Its runs go on.
func (f *SimFleet) SetCapacity(id string, capacity jobs.Size, nowMs int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	w.rooms = append(w.rooms, room{w.info.Capacity, nowMs + shrinkGraceMs})
	w.info.Capacity = capacity
}

// RebootAs restarts a worker like Reboot, with another capacity. The earlier one counts
// until the first heartbeat of the current owner, which tells it of the restart.
func (f *SimFleet) RebootAs(id string, capacity jobs.Size, nowMs int64) {
	f.Reboot(id, nowMs)
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	w.rooms = append(w.rooms, room{w.info.Capacity, math.MaxInt64})
	w.info.Capacity = capacity
}

// Reboot restarts a worker with the same ID: its runs and state are lost, and its
// incarnation number increases.
func (f *SimFleet) Reboot(id string, nowMs int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	f.loseRuns(w)
	w.boot(nowMs)
}

// SilentReboot restarts a worker like Reboot. Connections that were open stay silent for
// some time, while new ones work.
func (f *SimFleet) SilentReboot(id string, nowMs int64) {
	f.Reboot(id, nowMs)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].cutUntilMs = nowMs + silentConnMs
}

// boot starts a new incarnation of a worker.
func (w *simWorker) boot(nowMs int64) {
	w.info.Incarnation++
	w.bootMs, w.maxToken, w.leaseEnd, w.lastSeq, w.seqAtExpiry = nowMs, 0, 0, 0, 0
}

// loseRuns drops all runs and the state of a worker that restarts or crashes.
func (f *SimFleet) loseRuns(w *simWorker) {
	id := w.info.ID
	for _, task := range slices.Sorted(maps.Keys(w.runs)) {
		r := w.runs[task]
		if r == nil {
			continue // already ended with another member of its gang
		}
		delete(w.runs, task)
		r.record.EndMs, r.record.Reason = f.nowMs, sched.EndLost
		if r.gang != "" {
			f.finishGang(r.gang, sched.EndLost)
		}
	}
	w.runs, w.ended, w.endedRun = map[string]*simRun{}, nil, map[string]int{}
	rest := f.late[:0]
	for _, o := range f.late {
		if !f.faults.Keep && (o.start != nil && o.start.Peer.ID == id || o.stop != nil && o.stop.Peer.ID == id) {
			continue // the connection was closed when the process ended
		}
		rest = append(rest, o)
	}
	f.late = rest
}

// Violations describes the violations found so far.
func (f *SimFleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...)
}

// Starts returns the number of runs started so far.
func (f *SimFleet) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// Running returns the number of active runs.
func (f *SimFleet) Running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		n += len(w.runs)
	}
	return n
}

// RunningTasks returns the tasks of all active runs.
func (f *SimFleet) RunningTasks() (tasks []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		tasks = slices.AppendSeq(tasks, maps.Keys(w.runs))
	}
	return tasks
}

// SimRun is an active run.
type SimRun struct {
	Worker  string
	Task    string
	Run     int
	StartMs int64
}

// ActiveRuns returns all active runs.
func (f *SimFleet) ActiveRuns() (list []SimRun) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		for task, r := range w.runs {
			list = append(list, SimRun{Worker: w.info.ID, Task: task, Run: r.number, StartMs: r.startMs})
		}
	}
	return list
}

// History returns all runs so far in the order of their starts.
func (f *SimFleet) History() (list []RunRecord) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.history {
		list = append(list, *r)
	}
	return list
}

// LateStarts returns the number of late orders to start a run that are not carried out yet.
func (f *SimFleet) LateStarts() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range f.late {
		if o.start != nil {
			n++
		}
	}
	return n
}

// Started reports whether any task of the job has started.
func (f *SimFleet) Started(job string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startedJobs[job]
}

// AllDone reports whether all tasks of a registered job have ended successfully.
func (f *SimFleet) AllDone(job string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for step, s := range f.specs[job].Steps {
		for i := range s.Count {
			task := sched.Ref{Job: job, Step: step, Index: i}
			if s.Gang {
				task.Index = 0 // one end of a gang stands for all
			}
			if !f.doneTasks[task.String()] {
				return false
			}
		}
	}
	return true
}

// clock returns the time of the worker's clock, which runs 2% slow and restarts
// at 1000 at each boot.
func (w *simWorker) clock(nowMs int64) int64 { return (nowMs-w.bootMs)*98/100 + 1000 }

// Advance carries out late orders that are due. It ends the runs that have
// completed, whose lease has expired, or whose gang is still incomplete after
// gangTimeoutMs.
func (f *SimFleet) Advance(nowMs int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(nowMs)
}

func (f *SimFleet) advance(nowMs int64) {
	f.nowMs = nowMs
	f.crashAndReturn(nowMs)
	rest := f.late[:0]
	for _, o := range f.late {
		switch {
		case o.atMs > nowMs:
			rest = append(rest, o)
		case o.start != nil:
			_ = f.start(*o.start, o.sentMs, nowMs) // the caller of a late order gets no answer
		default:
			_ = f.stop(*o.stop, nowMs)
		}
	}
	f.late = rest
	gangs := f.gangs()
	for _, id := range f.ids {
		w := f.workers[id]
		if w.clock(nowMs) >= w.leaseEnd {
			w.seqAtExpiry = w.lastSeq
		}
		for _, task := range slices.Sorted(maps.Keys(w.runs)) {
			r := w.runs[task]
			if r == nil {
				continue // already ended with another member of its gang
			}
			workStartMs := r.startMs // a gang works only while all its members run
			if r.gang != "" {
				g := gangs[r.gang]
				workStartMs = g.sinceMs
				if g.n < r.members {
					workStartMs = nowMs
				}
			}
			switch {
			case w.clock(nowMs) >= w.leaseEnd:
				f.finish(w, task, r, sched.EndLeaseExpired)
			case r.gang != "" && gangs[r.gang].n < r.members && nowMs-r.startMs > gangTimeoutMs:
				f.finish(w, task, r, sched.EndGangIncomplete)
			case w.still:
				r.startMs = max(r.startMs, nowMs-r.runMs+1)
			case nowMs >= workStartMs+r.runMs && r.fails:
				f.finish(w, task, r, sched.EndFailed)
			case nowMs >= workStartMs+r.runMs:
				f.finish(w, task, r, sched.EndDone)
			}
		}
	}
}

// crashAndReturn crashes the workers whose deadly task is due, and returns those that
// have been down for long enough.
func (f *SimFleet) crashAndReturn(nowMs int64) {
	for i, id := range slices.Clone(f.ids) {
		w := f.workers[id]
		if w.down {
			if w.backAtMs > 0 && nowMs >= w.backAtMs {
				f.ids[i] = f.comeBack(w, nowMs)
			}
			continue
		}
		for _, task := range slices.Sorted(maps.Keys(w.runs)) {
			if r := w.runs[task]; r != nil && r.crashMs > 0 && nowMs >= r.crashMs {
				d := f.deadly[task]
				f.crashes[task]++
				f.loseRuns(w)
				f.outages = append(f.outages, Outage{id, nowMs, nowMs + d.DownMs})
				w.down, w.backAtMs, w.newID, w.silentMs = true, nowMs+d.DownMs, d.NewID, nowMs+entryExpiryMs
				break
			}
		}
	}
}

// comeBack starts a crashed worker again and returns its ID.
func (f *SimFleet) comeBack(w *simWorker, nowMs int64) string {
	w.down, w.backAtMs = false, 0
	w.boot(nowMs)
	if w.newID {
		delete(f.workers, w.info.ID)
		w.info.ID = fmt.Sprintf("w%d", f.nextID)
		w.info.Addr = w.info.ID
		f.nextID++
		f.workers[w.info.ID] = w
	}
	return w.info.ID
}

// maxCrashStarts is a number of crashes and of starts: a task must not be started so
// often again after so many workers have crashed under it.
const maxCrashStarts = 3

// startDeadly returns when a run that starts now crashes its worker, or 0 if it does
// not. It records a violation if the task is started too often.
func (f *SimFleet) startDeadly(task string, nowMs int64) (crashMs int64) {
	d, ok := f.deadly[task]
	if !ok {
		return 0
	}
	if f.crashes[task] >= maxCrashStarts {
		f.overrun[task]++
		if f.overrun[task] >= maxCrashStarts {
			f.addViolation("crashes: start %d of %s after %d workers have crashed under it", f.overrun[task], task, f.crashes[task])
		}
	}
	return nowMs + d.AfterMs
}

// gang counts the members of a gang that are running.
type gang struct {
	n       int
	sinceMs int64 // start time of the latest member
}

// gangs returns the state of all gangs by ID.
func (f *SimFleet) gangs() map[string]gang {
	all := map[string]gang{}
	for _, w := range f.workers {
		for _, r := range w.runs {
			if r.gang != "" {
				g := all[r.gang]
				all[r.gang] = gang{g.n + 1, max(g.sinceMs, r.startMs)}
			}
		}
	}
	return all
}

// finishGang ends the remaining members of a gang after one member has ended with
// the given reason. They end with EndDone if reason is EndDone, otherwise with
// EndGangBroken.
func (f *SimFleet) finishGang(gangID string, reason sched.EndReason) {
	if reason != sched.EndDone {
		reason = sched.EndGangBroken
	}
	for _, id := range f.ids {
		w := f.workers[id]
		for _, task := range slices.Sorted(maps.Keys(w.runs)) {
			if r := w.runs[task]; r != nil && r.gang == gangID {
				r.gang = ""
				f.finish(w, task, r, reason)
			}
		}
	}
}

// finish ends a run and the other members of its gang.
func (f *SimFleet) finish(w *simWorker, task string, r *simRun, reason sched.EndReason) {
	delete(w.runs, task)
	r.record.EndMs, r.record.Reason = f.nowMs, reason
	w.lastSeq++
	w.ended = append(w.ended, sched.Finished{Seq: w.lastSeq, Task: task, Run: r.number, Reason: reason})
	w.endedRun[task] = max(w.endedRun[task], r.number)
	if reason == sched.EndDone {
		f.doneTasks[task] = true
	}
	if r.gang != "" {
		f.finishGang(r.gang, reason)
	}
}

// checkStart checks a start against the capacity of the worker, the quota of the
// team and the other runs of the task, and records violations.
func (f *SimFleet) checkStart(w *simWorker, o ports.StartOrder, sentMs int64, spec sched.Spec, step sched.Step) {
	used := step.Size
	for _, r := range w.runs {
		used = used.Plus(r.size)
	}
	if !used.FitsIn(w.roomAt(sentMs)) {
		f.addViolation("capacity: %s starts on %s, which would then use %s", o.Task, o.Peer.ID, used)
	}
	if f.ackedTasks[o.Task] {
		f.addViolation("duplicate: %s starts after its successful end was acknowledged", o.Task)
	}
	team := step.Size
	for _, other := range f.workers {
		for task, r := range other.runs {
			if task == o.Task && !step.Speculative {
				f.addViolation("duplicate: %s run %d starts on %s while run %d is on %s", task, o.Run, o.Peer.ID, r.number, other.info.ID)
			}
			if r.team == spec.Team {
				team = team.Plus(r.size)
			}
		}
	}
	if limit, ok := f.quotas[spec.Team]; ok && !team.FitsIn(limit) {
		f.addViolation("quota: team %s would use %s", spec.Team, team)
	}
	f.checkDependencies(o, spec, step)
}

// checkDependencies checks that all tasks of the steps that this one depends on
// are done.
func (f *SimFleet) checkDependencies(o ports.StartOrder, spec sched.Spec, step sched.Step) {
	ref, _ := sched.ParseRef(o.Task)
	for _, d := range step.DependsOn {
		for i := range spec.Steps[d].Count {
			if before := (sched.Ref{Job: ref.Job, Occ: ref.Occ, Step: d, Index: i}).String(); !f.doneTasks[before] {
				f.addViolation("dependency: %s starts before %s is done", o.Task, before)
			}
		}
	}
}

// addViolation records a violation of a guarantee.
func (f *SimFleet) addViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

func refused(r ports.Refusal) error { return &ports.RefusedError{Reason: r, Status: 409} }

// checkToken refuses a stale fencing token and stores a new one.
func (w *simWorker) checkToken(token int64) error {
	if token < w.maxToken {
		return refused(ports.RefusedFence)
	}
	w.maxToken = token
	return nil
}

// start carries out a start order that was sent at sentMs. The caller holds f.mu.
func (f *SimFleet) start(o ports.StartOrder, sentMs, nowMs int64) error {
	w := f.workers[o.Peer.ID]
	if err := w.checkToken(o.Token); err != nil {
		return err
	}
	if o.LeaseEnd <= w.clock(nowMs) {
		return refused(ports.RefusedLeaseEnded)
	}
	w.renew(o.LeaseEnd, nowMs)
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return nil
	}
	if o.Run <= w.endedRun[o.Task] {
		return refused(ports.RefusedStaleRun)
	}
	ref, ok := sched.ParseRef(o.Task)
	spec := f.specs[ref.Job]
	if !ok || ref.Step >= len(spec.Steps) || ref.Index >= spec.Steps[ref.Step].Count || o.Payload != spec.Payload {
		f.addViolation("unasked: %s run %d starts on %s with payload %q", o.Task, o.Run, o.Peer.ID, o.Payload)
		return refused(ports.RefusedInvalid)
	}
	if !f.hasTicket(w, o, ref, spec.Queue, nowMs) {
		return refused(ports.RefusedTicket)
	}
	step := spec.Steps[ref.Step]
	f.checkStart(w, o, sentMs, spec, step)
	f.starts++
	f.startedJobs[ref.Job] = true
	r := &simRun{
		number: o.Run, size: step.Size, team: spec.Team, startMs: nowMs, runMs: step.EstimateMs, fails: f.rand.Float64() < f.faults.Fail,
	}
	r.fails = r.fails || w.grey || f.hopeless[ref.Job]
	if w.slow > 0 {
		r.runMs = int64(w.slow * float64(r.runMs))
	}
	if step.Gang {
		r.gang, r.members = fmt.Sprintf("%s/%d", ref.StepName(), o.Run), step.Count
	}
	r.crashMs = f.startDeadly(o.Task, nowMs)
	r.record = &RunRecord{Task: o.Task, Run: o.Run, Worker: o.Peer.ID, StartMs: nowMs, Late: sentMs < nowMs}
	f.history = append(f.history, r.record)
	w.runs[o.Task] = r
	return nil
}

// stop carries out a stop order. The caller holds f.mu.
func (f *SimFleet) stop(o ports.StopOrder, nowMs int64) error {
	w := f.workers[o.Peer.ID]
	if err := w.checkToken(o.Token); err != nil {
		return err
	}
	if r := w.runs[o.Task]; r != nil && r.number <= o.Run {
		if f.faults.DeafOnce && !r.deaf {
			r.deaf = true
			return nil
		}
		f.finish(w, o.Task, r, sched.EndStopped)
	}
	w.endedRun[o.Task] = max(w.endedRun[o.Task], o.Run)
	return nil
}

// MaxLeaseMs is the maximum lease duration that a worker of a SimFleet grants.
const MaxLeaseMs = 10_000

// renew extends the lease to end, limited to MaxLeaseMs from now.
func (w *simWorker) renew(end, nowMs int64) {
	w.leaseEnd = max(w.leaseEnd, min(end, w.clock(nowMs)+MaxLeaseMs))
}

// drawFault draws the fault of an order: 0 means none, -1 means that the answer is
// lost, and a positive number is the delay of a late order in milliseconds.
func (f *SimFleet) drawFault() int64 {
	x := f.rand.Float64()
	switch {
	case x < f.faults.Late:
		return minLateMs + f.rand.Int63n(maxLateMs-minLateMs)
	case x < f.faults.Late+f.faults.Lost:
		return -1
	}
	return 0
}

// draw returns true with probability x.
func (f *SimFleet) draw(x float64) bool { return x > 0 && f.rand.Float64() < x }

// reachableWorker returns the worker, or errNoAnswer if it is unreachable.
func (f *SimFleet) reachableWorker(p ports.Peer) (*simWorker, error) {
	w := f.workers[p.ID]
	if w == nil || w.unreachable || w.down {
		return nil, errNoAnswer
	}
	return w, nil
}

// StartAt handles a start order at time nowMs and returns the time of the
// worker's clock.
func (f *SimFleet) StartAt(o ports.StartOrder, nowMs int64) (clock int64, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(nowMs)
	w, err := f.reachableWorker(o.Peer)
	if err != nil {
		return 0, err
	}
	if f.draw(f.faults.Moved) {
		return 0, &ports.RefusedError{Reason: ports.RefusedIncarnation, Status: 421}
	}
	switch d := f.drawFault(); {
	case d > 0:
		f.late = append(f.late, lateOrder{atMs: nowMs + d, sentMs: nowMs, start: &o})
		return 0, errNoAnswer
	case d < 0:
		_ = f.start(o, nowMs, nowMs) // carried out; only the answer is lost
		return 0, errNoAnswer
	}
	return w.clock(nowMs), f.start(o, nowMs, nowMs)
}

// StopAt handles a stop order at time nowMs.
func (f *SimFleet) StopAt(o ports.StopOrder, nowMs int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(nowMs)
	w, err := f.reachableWorker(o.Peer)
	if err != nil {
		return err
	}
	switch {
	case f.draw(f.faults.Moved):
		return &ports.RefusedError{Reason: ports.RefusedIncarnation, Status: 421}
	case w.runs[o.Task] != nil && f.draw(f.faults.Deaf):
		return nil
	}
	switch d := f.drawFault(); {
	case d > 0:
		f.late = append(f.late, lateOrder{atMs: nowMs + d, sentMs: nowMs, stop: &o})
		return errNoAnswer
	case d < 0:
		_ = f.stop(o, nowMs) // carried out; only the answer is lost
		return errNoAnswer
	}
	return f.stop(o, nowMs)
}

// HeartbeatAt handles a heartbeat at time nowMs.
func (f *SimFleet) HeartbeatAt(r ports.HeartbeatRequest, nowMs int64) (ports.HeartbeatResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(nowMs)
	w, err := f.reachableWorker(r.Peer)
	if err != nil {
		return ports.HeartbeatResponse{}, err
	}
	if conn := w.conns[r.Token]; conn != 0 && conn != w.info.Incarnation {
		if nowMs < w.cutUntilMs {
			return ports.HeartbeatResponse{}, errNoAnswer
		}
		delete(w.conns, r.Token)
	}
	if r.SameConn && w.conns[r.Token] == 0 {
		return ports.HeartbeatResponse{}, ports.ErrConnClosed
	}
	if err := w.checkToken(r.Token); err != nil {
		return ports.HeartbeatResponse{}, err
	}
	w.conns[r.Token] = w.info.Incarnation
	if r.Token >= f.maxToken() {
		w.endOldRoom(nowMs)
	}
	w.renew(r.LeaseEnd, nowMs)
	f.acknowledge(w, r.Seen)
	h := ports.HeartbeatResponse{ClockMs: w.clock(nowMs), Incarnation: w.info.Incarnation}
	for task, run := range w.runs {
		h.Running = append(h.Running, sched.Running{Task: task, Run: run.number, Percent: 100})
	}
	h.Finished = append(h.Finished, w.ended...)
	return h, nil
}

// acknowledge drops the finished runs with numbers up to seen. It records their
// tasks as acknowledged if they ended successfully after the last expiry of the
// lease.
func (f *SimFleet) acknowledge(w *simWorker, seen int64) {
	rest := w.ended[:0]
	for _, e := range w.ended {
		if e.Seq > seen {
			rest = append(rest, e)
			continue
		}
		if e.Reason == sched.EndDone && e.Seq > w.seqAtExpiry {
			f.ackedTasks[e.Task] = true
		}
	}
	w.ended = rest
}

// errNoAnswer is the error of a call that gets no answer.
var errNoAnswer = fault.New(fault.Timeout, fault.Unknown, "no answer")
