package jobs

// State is a task's state.
type State string

// The states. Waiting and Placed are the only ones that a task leaves by
// itself; an operator may settle a Parked one.
const (
	Waiting   State = "waiting"
	Placed    State = "placed"    // the intent to run an attempt is recorded
	Done      State = "done"      //
	Failed    State = "failed"    //
	Cancelled State = "cancelled" //
	Parked    State = "parked"    // it may have run, and nobody can say
)

// Final reports whether the task has ended for good.
func (s State) Final() bool { return s == Done || s == Failed || s == Cancelled }

// How says how an attempt ended.
type How string

// The ends of an attempt.
const (
	EndOK           How = "ok"
	EndFailed       How = "failed"       // the task itself failed
	EndStopped      How = "stopped"      // interrupted, its work is lost
	EndCheckpointed How = "checkpointed" // interrupted, its work is kept
	EndAbsent       How = "absent"       // it never started, and never will
	EndLost         How = "lost"         // it does not run; whether it finished is not known
)

// End reports the end of one attempt.
type End struct {
	Ref        Ref
	Attempt    int
	How        How
	Result     string
	Checkpoint string
	AtMs       int64
}

// Task is the state of one task. It is a value; its With methods return the
// next state.
type Task struct {
	State      State  `json:"state"`
	Attempt    int    `json:"attempt"` // the newest, from 1; 0 before the first
	Group      string `json:"group,omitempty"`
	Worker     string `json:"worker,omitempty"`
	Boot       int64  `json:"boot,omitempty"` // of the worker, when it was chosen
	StartMs    int64  `json:"startMs,omitempty"`
	EndMs      int64  `json:"endMs,omitempty"`
	Failures   int    `json:"failures,omitempty"`
	Result     string `json:"result,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
	Cancelling bool   `json:"cancelling,omitempty"`
	Reason     string `json:"reason,omitempty"` // why it is parked or failed
}

// Site says where an attempt is to run.
type Site struct {
	Group  string // of the worker
	Worker string
	Boot   int64 // of the worker, when it was chosen
}

// WithStart returns the task after the intent to run its next attempt at the
// site.
func (t Task) WithStart(site Site, nowMs int64) Task {
	t.State, t.Group, t.Worker, t.Boot, t.StartMs = Placed, site.Group, site.Worker, site.Boot, nowMs
	t.Attempt++
	return t
}

// Site returns where the newest attempt was sent.
func (t Task) Site() Site { return Site{Group: t.Group, Worker: t.Worker, Boot: t.Boot} }

// WithCancel returns the task after a request to cancel it. A placed task
// stays placed until its worker has stopped it.
func (t Task) WithCancel(nowMs int64) Task {
	switch t.State {
	case Waiting:
		t.State, t.EndMs = Cancelled, nowMs
	case Placed:
		t.Cancelling = true
	case Parked:
		t.State, t.EndMs, t.Reason = Cancelled, nowMs, "cancelled while its outcome was unknown"
	}
	return t
}

// WithEnd returns the task after the end of an attempt. An end that does not
// belong to the running attempt returns the task unchanged.
func (t Task) WithEnd(spec Spec, e End) Task {
	if t.State != Placed || t.Attempt != e.Attempt {
		return t
	}
	t.EndMs = e.AtMs
	switch e.How {
	case EndOK:
		return t.afterOK(spec, e)
	case EndFailed:
		return t.afterFailure(spec, e)
	case EndCheckpointed:
		t.Checkpoint = e.Checkpoint
		return t.again()
	case EndAbsent:
		return t.again()
	case EndStopped:
		return t.afterInterruption(spec, "was interrupted without a checkpoint")
	}
	return t.afterInterruption(spec, "may have finished on a worker that was lost")
}

func (t Task) afterOK(spec Spec, e End) Task {
	if spec.Kind == Service {
		return t.again()
	}
	t.State, t.Result, t.Cancelling = Done, e.Result, false
	return t
}

func (t Task) afterFailure(spec Spec, e End) Task {
	t.Failures++
	if spec.Kind == Service || spec.Idempotent && t.Failures <= spec.Retries {
		return t.again()
	}
	t.State, t.Reason = Failed, "the task failed"
	if e.Result != "" {
		t.Reason = e.Result
	}
	return t
}

func (t Task) afterInterruption(spec Spec, reason string) Task {
	if spec.Idempotent {
		return t.again()
	}
	t.State, t.Reason = Parked, reason
	return t
}

// again returns the task ready for another attempt, or cancelled if that was
// asked for.
func (t Task) again() Task {
	t.State = Waiting
	if t.Cancelling {
		t.State = Cancelled
	}
	return t
}

// Action is an operator's decision on a parked task.
type Action string

// The actions.
const (
	SettleDone   Action = "done"
	SettleFailed Action = "failed"
	SettleRerun  Action = "rerun"
)

// Actions lists all actions.
var Actions = []Action{SettleDone, SettleFailed, SettleRerun}

// WithSettled returns the task after an operator's decision. Only a parked
// task changes.
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

// Job is a job with the states of its tasks.
type Job struct {
	ID       ID     `json:"id"`
	Spec     Spec   `json:"spec"`
	SubmitMs int64  `json:"submitMs"`
	EndMs    int64  `json:"endMs,omitempty"` // when its last task ended
	Tasks    []Task `json:"tasks"`
}

// WithTasks returns the job with its own copy of the tasks.
func (j Job) WithTasks(tasks []Task) Job {
	j.Tasks = append([]Task(nil), tasks...)
	return j
}

// State returns the state of the job as a whole: the worst of its final tasks
// once all have ended, and otherwise parked, placed or waiting.
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

// Ended reports whether every task has ended for good.
func (j Job) Ended() bool {
	for _, t := range j.Tasks {
		if !t.State.Final() {
			return false
		}
	}
	return true
}
