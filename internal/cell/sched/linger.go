package sched

// Runs that outlast their job, for logs and metrics. No decision depends on this file.

// followedCancel is the acknowledged cancellation of a job that had runs then.
type followedCancel struct {
	ackedMs int64 // when it was acknowledged
	runs    int   // allocations of the job that are left
}

// GoneJob is a cancelled job whose last run is gone: the run has ended, was withdrawn or
// can no longer exist.
type GoneJob struct {
	Job     string
	AfterMs int64 // since the cancellation was acknowledged
}

// CancelAcked is called when the cancellation of a job is stored and about to be
// acknowledged.
func (p *Planner) CancelAcked(id string, now Instant) {
	if j := p.state.Jobs[id]; j != nil {
		p.followCancel(j, now.Ms)
	}
}

// followCancel follows the runs of a job that was cancelled at ackedMs, if it has any.
func (p *Planner) followCancel(j *Job, ackedMs int64) {
	id := j.Spec.ID
	if p.cancels[id] != nil {
		return
	}
	runs := 0
	for occ := range j.occurrences() {
		for step := range j.Spec.Steps {
			for i, t := range j.stepTasks(occ, step) {
				if w := p.workers[t.Worker]; w != nil && w.allocations[Ref{id, occ, step, i}] != nil {
					runs++
				}
			}
		}
	}
	if runs > 0 {
		p.cancels[id] = &followedCancel{ackedMs: ackedMs, runs: runs}
	}
}

// noteGone notes that an allocation of a job was released.
func (p *Planner) noteGone(job string) {
	if len(p.cancels) == 0 {
		return
	}
	c := p.cancels[job]
	if c == nil {
		return
	}
	if c.runs--; c.runs == 0 {
		delete(p.cancels, job)
		p.gone = append(p.gone, endedJob{job, c.ackedMs})
	}
}

// TakeGone returns the cancelled jobs whose last run is gone since the last call.
func (p *Planner) TakeGone(now Instant) (list []GoneJob) {
	for _, g := range p.gone {
		list = append(list, GoneJob{Job: g.id, AfterMs: now.Ms - g.atMs})
	}
	p.gone = nil
	return list
}

// setLingering sets how many runs in the last report of a worker outlast their job.
func (p *Planner) setLingering(w *Worker, n int) {
	p.lingering += n - w.lingering
	w.lingering = n
}

// LingeringRuns returns how many runs the workers list whose job has ended. Those that
// are being stopped are among them.
func (p *Planner) LingeringRuns() int { return p.lingering }
