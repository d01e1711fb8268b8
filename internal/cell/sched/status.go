package sched

// Status is a job's state as callers see it.
type Status string

// The states.
const (
	StatusQueued    Status = "queued"
	StatusRunning   Status = "running"
	StatusCompleted Status = "completed"
	StatusFailed    Status = "failed"
	StatusCancelled Status = "cancelled"
)

// Status returns the state of a job whose acceptance is stored. An end is
// shown only once it is stored.
func (p *Planner) Status(id string) (Status, bool) {
	j := p.state.Jobs[id]
	if j == nil || !p.known[id] {
		return "", false
	}
	switch p.durable[id] {
	case Completed:
		return StatusCompleted, true
	case JobFailed:
		return StatusFailed, true
	case Cancelled:
		return StatusCancelled, true
	}
	if j.Progress.Begun {
		return StatusRunning, true
	}
	return StatusQueued, true
}

// Job returns the spec of a known job.
func (p *Planner) Job(id string) (Spec, bool) {
	j := p.state.Jobs[id]
	if j == nil {
		return Spec{}, false
	}
	return j.Spec, true
}

// Pending counts the accepted jobs of a queue of which no task has started: an
// order that a worker has not confirmed is no start.
func (p *Planner) Pending(queue string) int {
	n := 0
	for id, j := range p.state.Jobs {
		if j.Spec.Queue == queue && p.known[id] && j.Progress.Verdict == Open && !j.Progress.Begun {
			n++
		}
	}
	return n
}
