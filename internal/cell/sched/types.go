package sched

import (
	"strconv"

	"lagooncourse/internal/cell/jobs"
)

// Step is one step of a job: Count tasks of one kind.
type Step struct {
	Count      int
	Size       jobs.Size // of each task
	EstimateMs int64     // declared run time, off by up to 90%
	After      []int     // steps whose tasks must all be done first
	Saves      bool      // tasks write checkpoints
	Gang       bool      // tasks start together and end together
	SameRack   bool      // tasks run slower on more than one rack
	Needs      string    // label that the worker must have; empty for none
	Near       string    // rack where the data is; empty for none
	Apart      int       // most tasks of one occurrence on one worker; 0 for no limit
	Copies     bool      // several runs of one task may run at once
	Lasts      bool      // tasks run until the job is cancelled
	Image      string    // tasks of one image behave alike
	TargetMs   int64     // bound of the tail of a lasting task's response time
	Fills      bool      // CPU is not counted against the worker
	MayMiss    int       // lasting tasks that may be away by our own doing
}

// Spec is an accepted job. It never changes.
type Spec struct {
	ID      string
	Queue   string
	Team    string
	Payload string
	Steps   []Step
	FirstMs int64 // due time of occurrence 0, in ms since 1970
	EveryMs int64
	Times   int   // occurrences; 0 for a job that runs once, at once
	AtMs    int64 // when it was accepted, in ms since 1970
	Excess  bool  // came beyond its team's weight
}

// TaskState is a task's durable state.
type TaskState uint8

// The states.
const (
	Waiting TaskState = iota
	Placed            // the intent to run it is recorded
	Done
	Failed
)

// Task is the durable state of one task.
type Task struct {
	State  TaskState
	Run    int    // highest run number used
	Fails  int    // runs that ended failed
	Saved  string // newest checkpoint
	Worker string // where Run was placed
	Born   int64  // incarnation of that worker
}

// Verdict is how a job as a whole has ended.
type Verdict uint8

// The verdicts.
const (
	Open Verdict = iota
	Completed
	JobFailed
	Cancelled
)

// Progress is the durable state of a job after its acceptance. Each record of
// it replaces the one before.
type Progress struct {
	Cancel  bool
	Verdict Verdict
	EndMs   int64 // when the verdict was reached, in ms since 1970
	Tasks   []Task
	Begun   bool // a run has been confirmed by its worker
}

// Claim is the record of an ownership.
type Claim struct {
	Epoch int64
	Host  string // name of the host
	Addr  string // where its peers reach it
}

// Queue is a queue as configured.
type Queue struct {
	Name      string
	Host      string
	Prefix    string
	Service   string // pool of the workers that run its tasks
	Open      bool   // needs no key
	Priority  int    // 0 comes first
	Attempts  int    // failed runs of a task after which its job has failed
	Slack     float64
	TargetMs  int64
	TimeoutMs int64
	Advice    *AdviceCost
}

// AdviceCost says what a call to the advice service takes.
type AdviceCost struct {
	BaseMs   float64
	WorkerMs float64
	ValidMs  int64 // of a ticket
}

// cost returns what a question about n workers takes, in ms.
func (a *AdviceCost) cost(n int) float64 { return a.BaseMs + a.WorkerMs*float64(n) }

// WorkerInfo is what the registry says about a worker.
type WorkerInfo struct {
	ID       string
	Addr     string
	Service  string
	Az       string
	Rack     string
	Labels   []string
	Capacity jobs.Size
	Born     int64
	Draining bool
}

// Running is a task that a worker says it runs.
type Running struct {
	Task    string
	Run     int
	Saved   string
	Percent int64
}

// How says how a run ended.
type How string

// The ends of a run.
const (
	EndDone    How = "done"
	EndFailed  How = "failed"
	EndStopped How = "stopped"
	EndLapsed  How = "lapsed" // the worker's lease ran out
	EndBroken  How = "broken" // another member of the gang ended
	EndAlone   How = "alone"  // the rest of the gang did not come
	EndLost    How = "lost"   // the worker is gone with what it ran
)

// Finished is an end that a worker lists until it is told that it was seen.
type Finished struct {
	N     int64 // counts the ends of one incarnation, from 1
	Task  string
	Run   int
	How   How
	Saved string
}

// Ref names a task: occurrence, step and index within a job.
type Ref struct {
	Job   string
	Occ   int
	Step  int
	Index int
}

// String returns the name of the task on the wire, JOB.OCC.STEP.INDEX.
func (r Ref) String() string {
	b := make([]byte, 0, len(r.Job)+12)
	b = append(b, r.Job...)
	b = strconv.AppendInt(append(b, '.'), int64(r.Occ), 10)
	b = strconv.AppendInt(append(b, '.'), int64(r.Step), 10)
	b = strconv.AppendInt(append(b, '.'), int64(r.Index), 10)
	return string(b)
}

// StepName returns the name of the task's step, JOB.OCC.STEP.
func (r Ref) StepName() string {
	return r.Job + "." + strconv.Itoa(r.Occ) + "." + strconv.Itoa(r.Step)
}

// ParseRef parses the form that String returns.
func ParseRef(s string) (Ref, bool) {
	var nums [3]int
	end := len(s)
	for i := 2; i >= 0; i-- {
		dot := end - 1
		for dot >= 0 && s[dot] != '.' {
			dot--
		}
		if dot < 0 {
			return Ref{}, false
		}
		n, err := strconv.Atoi(s[dot+1 : end])
		if err != nil || n < 0 {
			return Ref{}, false
		}
		nums[i], end = n, dot
	}
	if end == 0 {
		return Ref{}, false
	}
	return Ref{Job: s[:end], Occ: nums[0], Step: nums[1], Index: nums[2]}, true
}
