package owner

import (
	"time"

	"lagooncourse/internal/cell/books"
	"lagooncourse/internal/cell/group"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/queue"
)

// This file keeps the queue in step with the durable state: a task waits in the
// queue exactly as long as its state says so, a gang as long as it can start.

// watcher keeps the queue in step with the state.
type watcher Group

var _ group.Observer = (*watcher)(nil)

// TaskChanged implements group.Observer. It is called with the lock held, or
// during a claim.
func (w *watcher) TaskChanged(j *jobs.Job, index int, before jobs.Task) {
	g := (*Group)(w)
	t := j.Tasks[index]
	ref := jobs.Ref{Job: j.ID, Index: index}
	if before.State == jobs.Placed && t.State != jobs.Placed {
		delete(g.known, books.Attempt{Task: ref.String(), Number: t.Attempt})
	}
	if j.EndMs > 0 {
		delete(g.why, j.ID)
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
		g.hold(itemOf(j, index), failureDelay)
		return
	}
	g.queue.Add(itemOf(j, index))
}

// failureDelay is how long a task waits after it has failed.
const failureDelay = 500 * time.Millisecond

// waiting returns how many tasks of the job wait.
func waiting(j *jobs.Job) int {
	n := 0
	for _, t := range j.Tasks {
		if t.State == jobs.Waiting {
			n++
		}
	}
	return n
}

func (g *Group) gangChanged(j *jobs.Job) {
	ref := jobs.Ref{Job: j.ID}
	if !gangWaits(j) {
		g.queue.Remove(ref)
		return
	}
	g.queue.Add(itemOf(j, 0))
}

func itemOf(j *jobs.Job, index int) queue.Item {
	it := queue.Item{
		Ref: jobs.Ref{Job: j.ID, Index: index}, Team: j.Spec.Team, Kind: j.Spec.Kind,
		Size: j.Spec.Size, Count: 1, Az: j.Spec.Az, AtMs: j.SubmitMs,
	}
	if j.Spec.Kind == jobs.Gang {
		it.Count = waiting(j)
	}
	return it
}
