package jobs

// State is the state of a task.
type State string

// The states of a task. A Parked task leaves this state only when an operator
// settles it or its job is cancelled. Done, Failed and Cancelled are final.
const (
	Waiting   State = "waiting"
	Placed    State = "placed"    // the intent to run an attempt is recorded; the attempt may be running
	Done      State = "done"      // finished, or settled as done
	Failed    State = "failed"    // failed without a retry left, or settled as failed
	Cancelled State = "cancelled" // cancelled before it finished
	Parked    State = "parked"    // the outcome of the last attempt is unknown; not retried automatically
)

// Final reports whether s is a final state.
func (s State) Final() bool { return s == Done || s == Failed || s == Cancelled }

// EndReason describes how an attempt ended.
type EndReason string

// Values of EndReason.
const (
	EndOK           EndReason = "ok"
	EndFailed       EndReason = "failed"       // the task itself failed
	EndStopped      EndReason = "stopped"      // interrupted; its progress is lost
	EndCheckpointed EndReason = "checkpointed" // interrupted after a checkpoint was saved
	EndNeverStarted EndReason = "absent"       // it never started and never will
	EndLost         EndReason = "lost"         // it no longer runs; whether it finished is unknown
)

// End reports the end of one attempt.
type End struct {
	Ref        Ref
	Attempt    int
	Reason     EndReason
	Result     string
	Checkpoint string
	AtMs       int64
}

// Task is the state of one task. Its With methods return the next state and
// leave the receiver unchanged.
type Task struct {
	State      State  `json:"state"`
	Attempt    int    `json:"attempt"` // number of the latest attempt, counted from 1; 0 before the first
	Group      string `json:"group,omitempty"`
	Worker     string `json:"worker,omitempty"`
	Boot       int64  `json:"boot,omitempty"` // the worker's boot id at the time of its selection
	StartMs    int64  `json:"startMs,omitempty"`
	EndMs      int64  `json:"endMs,omitempty"` // time of the latest attempt's end, or of a later cancellation or operator decision
	Failures   int    `json:"failures,omitempty"`
	Result     string `json:"result,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
	Cancelling bool   `json:"cancelling,omitempty"`
	Reason     string `json:"reason,omitempty"` // why the task was parked or failed, or how it left the state Parked
}

// Placement identifies the worker selected for an attempt.
type Placement struct {
	Group  string // group of the worker
	Worker string
	Boot   int64 // the worker's boot id at the time of its selection
}

// WithStart returns the task after recording the intent to run its next attempt
// on the worker of p.
func (t Task) WithStart(p Placement, nowMs int64) Task {
	t.State, t.Group, t.Worker, t.Boot, t.StartMs = Placed, p.Group, p.Worker, p.Boot, nowMs
	t.Attempt++
	return t
}

// Placement returns the worker selected for the latest attempt.
func (t Task) Placement() Placement { return Placement{Group: t.Group, Worker: t.Worker, Boot: t.Boot} }

const cancelledUnknown = "cancelled while its outcome was unknown"

// WithCancel returns the task after a cancellation request. A placed task stays
// placed until its attempt has ended.
func (t Task) WithCancel(nowMs int64) Task {
	switch t.State {
	case Waiting:
		t.State, t.EndMs = Cancelled, nowMs
	case Placed:
		t.Cancelling = true
	case Parked:
		t.State, t.EndMs, t.Reason = Cancelled, nowMs, cancelledUnknown
	}
	return t
}

// WithEnd returns the task after the end of an attempt. It returns the task
// unchanged if e is not about the current attempt of a placed task.
func (t Task) WithEnd(spec Spec, e End) Task {
	if t.State != Placed || t.Attempt != e.Attempt {
		return t
	}
	t.EndMs = e.AtMs
	switch e.Reason {
	case EndOK:
		return t.afterOK(spec, e)
	case EndFailed:
		return t.afterFailure(spec, e)
	case EndCheckpointed:
		t.Checkpoint = e.Checkpoint
		return t.retryOrCancel()
	case EndNeverStarted:
		return t.retryOrCancel()
	case EndStopped:
		return t.afterInterruption(spec, "was interrupted without a checkpoint")
	}
	// EndLost
	return t.afterInterruption(spec, "may have finished on a worker that was lost")
}

func (t Task) afterOK(spec Spec, e End) Task {
	if spec.Kind == Service {
		return t.retryOrCancel()
	}
	t.State, t.Result, t.Cancelling = Done, e.Result, false
	return t
}

func (t Task) afterFailure(spec Spec, e End) Task {
	t.Failures++
	if spec.Kind == Service || spec.Idempotent && t.Failures <= spec.Retries {
		return t.retryOrCancel()
	}
	t.State, t.Reason = Failed, "the task failed"
	if e.Result != "" {
		t.Reason = e.Result
	}
	return t
}

func (t Task) afterInterruption(spec Spec, reason string) Task {
	if spec.Idempotent {
		return t.retryOrCancel()
	}
	t.State, t.Reason = Parked, reason
	if t.Cancelling {
		t.State, t.Reason = Cancelled, cancelledUnknown
	}
	return t
}

// retryOrCancel returns the task waiting for its next attempt, or cancelled if a
// cancellation was requested.
func (t Task) retryOrCancel() Task {
	t.State = Waiting
	if t.Cancelling {
		t.State = Cancelled
	}
	return t
}

// Action is an operator's decision about a parked task.
type Action string

// Values of Action.
const (
	SettleDone   Action = "done"
	SettleFailed Action = "failed"
	SettleRerun  Action = "rerun"
)

// Actions lists all values of Action.
var Actions = []Action{SettleDone, SettleFailed, SettleRerun}

// WithSettled returns the task after an operator's decision. A task that is not
// parked is returned unchanged.
func (t Task) WithSettled(a Action, nowMs int64) Task {
	if t.State != Parked {
		return t
	}
	t.EndMs, t.Reason = nowMs, "settled by an operator"
	switch a {
	case SettleDone:
		t.State = Done
	case SettleFailed:
		t.State = Failed
	case SettleRerun:
		t.State = Waiting
	}
	return t
}

// Job is an accepted job with the state of each task.
type Job struct {
	ID       ID     `json:"id"`
	Spec     Spec   `json:"spec"`
	SubmitMs int64  `json:"submitMs"`
	EndMs    int64  `json:"endMs,omitempty"` // time at which the last task reached a final state
	Tasks    []Task `json:"tasks"`
}

// WithTasks returns the job with a copy of the given tasks.
func (j Job) WithTasks(tasks []Task) Job {
	j.Tasks = append([]Task(nil), tasks...)
	return j
}

// State returns the state of the job: the first of placed, parked, waiting,
// failed and cancelled that any task has, and otherwise done.
func (j Job) State() State {
	seen := map[State]int{}
	for _, t := range j.Tasks {
		seen[t.State]++
	}
	for _, s := range []State{Placed, Parked, Waiting, Failed, Cancelled} {
		if seen[s] > 0 {
			return s
		}
	}
	return Done
}

// Ended reports whether every task is in a final state.
func (j Job) Ended() bool {
	for _, t := range j.Tasks {
		if !t.State.Final() {
			return false
		}
	}
	return true
}
