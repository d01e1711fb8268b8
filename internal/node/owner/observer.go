package owner

import (
	"time"

	"lagooncourse/internal/cell/alloc"
	"lagooncourse/internal/cell/group"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/queue"
)

// This file updates the queue from the durable state. While the state of a task is
// Waiting, it is in the queue, delayed before a retry, or being placed. A gang is one
// item, to which the same applies while the gang can start.

// taskObserver updates the queue at every change of a task.
type taskObserver Group

var _ group.Observer = (*taskObserver)(nil)

// TaskChanged implements group.Observer. It is called with the lock held.
func (o *taskObserver) TaskChanged(j *jobs.Job, index int, before jobs.Task) {
	g := (*Group)(o)
	t := j.Tasks[index]
	ref := jobs.Ref{Job: j.ID, Index: index}
	if before.State == jobs.Placed && t.State != jobs.Placed {
		delete(g.confirmed, alloc.Attempt{Task: ref.String(), Number: t.Attempt})
	}
	if j.EndMs > 0 {
		delete(g.reasons, j.ID)
	}
	if j.Spec.Kind == jobs.Gang {
		g.gangChanged(j)
		return
	}
	if t.State != jobs.Waiting {
		g.queue.Remove(ref)
		return
	}
	if t.Failures > 0 && before.State == jobs.Placed {
		g.requeueAfter(queueItem(j, index), failedTaskRetryDelay)
		return
	}
	g.queue.Add(queueItem(j, index))
}

// failedTaskRetryDelay is the delay before a failed task is retried.
const failedTaskRetryDelay = 500 * time.Millisecond

// waitingTasks returns the number of the job's waiting tasks.
func waitingTasks(j *jobs.Job) int {
	n := 0
	for _, t := range j.Tasks {
		if t.State == jobs.Waiting {
			n++
		}
	}
	return n
}

// gangChanged updates the queue after a change of a gang's task.
func (g *Group) gangChanged(j *jobs.Job) {
	ref := jobs.Ref{Job: j.ID}
	if !gangCanStart(j) {
		g.queue.Remove(ref)
		return
	}
	g.queue.Add(queueItem(j, 0))
}

// queueItem returns the queue item of a task, or of a gang's waiting tasks.
func queueItem(j *jobs.Job, index int) queue.Item {
	it := queue.Item{
		Ref: jobs.Ref{Job: j.ID, Index: index}, Team: j.Spec.Team, Kind: j.Spec.Kind,
		Size: j.Spec.Size, Count: 1, Az: j.Spec.Az, WaitingSinceMs: j.SubmitMs,
	}
	if j.Spec.Kind == jobs.Gang {
		it.Count = waitingTasks(j)
	}
	return it
}
