package sched

// Status is the state of a job as the API reports it.
type Status string

// Job states.
const (
	StatusQueued    Status = "queued"
	StatusRunning   Status = "running"
	StatusCompleted Status = "completed"
	StatusFailed    Status = "failed"
	StatusCancelled Status = "cancelled"
)

// Status returns the state of a job. It returns false for a job whose acceptance
// is not stored yet, and reports an end only once it is stored.
func (p *Planner) Status(id string) (Status, bool) {
	j := p.state.Jobs[id]
	if j == nil || !p.storedJobs[id] {
		return "", false
	}
	switch p.storedVerdicts[id] {
	case Completed:
		return StatusCompleted, true
	case JobFailed:
		return StatusFailed, true
	case Cancelled:
		return StatusCancelled, true
	}
	if j.Progress.RunConfirmed {
		return StatusRunning, true
	}
	return StatusQueued, true
}

// Job returns the spec of a job.
func (p *Planner) Job(id string) (Spec, bool) {
	j := p.state.Jobs[id]
	if j == nil {
		return Spec{}, false
	}
	return j.Spec, true
}

// Pending counts the stored open jobs of a queue of which no worker has confirmed a run.
// They include jobs that were accepted while the queue had another name.
func (p *Planner) Pending(q Queue) int {
	at := map[*jobQueue]bool{}
	for _, jq := range p.queues {
		at[jq] = jq.latest.sameAddress(q)
	}
	n := 0
	for id, j := range p.state.Jobs {
		if at[j.queue] && p.storedJobs[id] && j.Progress.Verdict == Open && !j.Progress.RunConfirmed {
			n++
		}
	}
	return n
}
