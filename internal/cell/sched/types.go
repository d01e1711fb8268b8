package sched

import (
	"strconv"

	"lagooncourse/internal/cell/jobs"
)

// Step is one step of a job. It has Count identical tasks.
type Step struct {
	Count           int
	Size            jobs.Size // of each task
	EstimateMs      int64     // declared run time; may be off by up to 90%
	DependsOn       []int     // indexes of the steps that must be done first
	Checkpoints     bool      // tasks write checkpoints
	Gang            bool      // tasks start and end together
	SameRack        bool      // tasks run slower when spread over several racks
	RequiredLabel   string    // label that a worker must have; empty for none
	DataRack        string    // rack that holds the data; empty for none
	MaxPerWorker    int       // maximum tasks of this step, within one occurrence, on one worker; 0 for no limit
	Speculative     bool      // several runs of one task may be active at once; the planner starts only one
	LongRunning     bool      // tasks run until the job is cancelled
	Image           string    // tasks of one image have similar run times
	LatencyTargetMs int64     // tail latency target of a long-running task; not used by the planner
	UsesSpareCPU    bool      // runs on unallocated CPU: no CPU is allocated for it
	MaxUnavailable  int       // long-running tasks that may be stopped at the same time; not used by the planner
}

// Spec is an accepted job. It is immutable.
type Spec struct {
	ID          string
	Queue       string // name of the queue at the time of acceptance; see queues.go
	Team        string
	Payload     string
	Steps       []Step
	FirstMs     int64 // due time of occurrence 0, in ms since 1970
	IntervalMs  int64 // between the due times of two occurrences
	Occurrences int   // number of occurrences; 0 for a job that runs once, immediately
	AcceptedMs  int64 // time of acceptance, in ms since 1970
	Excess      bool  // submitted in excess of the team's rate

	QueueID     string // of the queue; empty in records of earlier versions
	QueueConfig *Queue `msgpack:"-"` // the queue as the accepting host knows it, nil if it gives none; not stored

	ExactID bool // the ID is spelled as the client has sent it; see jobid.go
}

// TaskState is the stored state of a task.
type TaskState uint8

// Task states. They are stored as numbers.
const (
	Waiting TaskState = iota
	Placed            // the intent to run it is recorded in the job's progress
	Done
	Failed
)

// Task is the stored record of one task.
type Task struct {
	State       TaskState
	LastRun     int           // highest run number used
	Failures    int           // number of failed runs; see also gangFailures
	Checkpoint  string        // latest checkpoint
	Worker      string        // worker of the latest run
	Incarnation int64         // incarnation of that worker
	Suspicion   `msgpack:"-"` // stored in a record of its own
}

// Suspicion is what counts against a task under which workers have crashed; see
// crash.go.
type Suspicion struct {
	Crashes  int  // workers that crashed soon after they started the task
	CrashRun int  // run that was lost in the last counted crash
	Trials   int  // starts after boundedCrashes, without those that were not sent
	Alone    bool // the latest run was tried alone
}

// Verdict is the final state of a job, or Open if the job has not ended.
type Verdict uint8

// Verdicts. They are stored as numbers.
const (
	Open Verdict = iota
	Completed
	JobFailed
	Cancelled
)

// String returns the verdict's name.
func (v Verdict) String() string {
	return [...]string{"open", "completed", "failed", "cancelled"}[v]
}

// Progress is the stored state of a job after its acceptance. Each record
// replaces the previous one.
type Progress struct {
	Cancel       bool
	Verdict      Verdict
	EndMs        int64 // when the verdict was reached, in ms since 1970
	Tasks        []Task
	RunConfirmed bool // a worker has confirmed a run
	ExactID      bool // of a denial: the ID is spelled as the client has sent it; see jobid.go
}

// Claim is the record by which a host becomes the owner of the job topic.
type Claim struct {
	Epoch int64
	Host  string // name of the host
	Addr  string // address at which other hosts reach it
}

// Queue is the configuration of a queue.
type Queue struct {
	Name        string
	Host        string        // host name of its requests
	Prefix      string        // path prefix of its requests; the longest match applies
	Service     string        // worker pool that runs its tasks
	Public      bool          // no access key is required
	Priority    int           // 0 is the highest
	MaxAttempts int           // failed runs of one task after which its job fails
	Slack       float64       // deadline = due time + Slack * run time of the critical path + TargetMs
	TargetMs    int64         // target latency; see Slack
	TimeoutMs   int64         // not used by the planner
	Advice      *AdviceTiming // nil if starts need no ticket
}

// AdviceTiming describes how long a request to the advice service takes, and how
// long its tickets are valid.
type AdviceTiming struct {
	BaseMs   float64 // for each request
	WorkerMs float64 // for each worker in a request
	ValidMs  int64   // validity of a ticket
}

// responseMs returns how long a request about n workers takes, in ms.
func (a *AdviceTiming) responseMs(n int) float64 { return a.BaseMs + a.WorkerMs*float64(n) }

// WorkerInfo is the registry entry of a worker.
type WorkerInfo struct {
	ID          string
	Addr        string
	Service     string // worker pool
	Az          string
	Rack        string
	Labels      []string
	Capacity    jobs.Size
	Incarnation int64 // start time of the worker, in ms since 1970; identifies its incarnation
	Draining    bool
	LeavesInMs  int64 // minimum time until a draining worker leaves; 0 if unknown
}

// Running is a run that a worker lists as active.
type Running struct {
	Task       string
	Run        int
	Checkpoint string
	Percent    int64 // progress as reported by the worker
}

// EndReason is the reason why a run ended.
type EndReason string

// Reasons for the end of a run.
const (
	EndDone           EndReason = "done"
	EndFailed         EndReason = "failed"
	EndStopped        EndReason = "stopped"
	EndLeaseExpired   EndReason = "lapsed" // the lease of the worker expired
	EndGangBroken     EndReason = "broken" // another member of the gang ended without success
	EndGangIncomplete EndReason = "alone"  // the other members of the gang did not start in time
	EndLost           EndReason = "lost"   // the worker disappeared
)

// Finished is the end of a run. A worker lists it until the owner acknowledges
// its number.
type Finished struct {
	Seq        int64 // sequence number within one incarnation, from 1
	Task       string
	Run        int
	Reason     EndReason
	Checkpoint string
}

// Ref identifies a task by its job, occurrence, step and index. Unlike jobs.Ref,
// it includes the occurrence and the step.
type Ref struct {
	Job   string
	Occ   int
	Step  int
	Index int
}

// String returns the name of the task on the wire, JOB.OCC.STEP.INDEX.
func (r Ref) String() string {
	b := make([]byte, 0, len(r.Job)+12) // room for three short numbers and dots
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

// ParseRef parses the format of Ref.String.
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
