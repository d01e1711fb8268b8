// Package group implements the durable state of one group: the jobs that it owns
// with the states of their tasks, the records of calls that must run at most
// once, and the group's owner.
//
// A group has a set of racks of one availability zone, a stream of the log, and
// the jobs that were submitted to it. At most one entry host at a time, the group's
// owner, can write to its state. Ownership is decided by the log: a claim contains
// the next epoch, and of several claims of one epoch the one with the lowest offset
// is valid. Every other batch contains its owner's epoch and a sequence number. It
// is ignored unless it is the next batch of the current epoch, so batches of a
// previous owner that resumes after a pause, and late or duplicate appends, have no
// effect.
//
// The state is a pure function of the stream's records, so a new owner needs only
// the log to rebuild it.
//
// # Usage
//
//	s := group.NewState("az1-0")
//	s.Observer = observer // notified of every task change
//	s.Apply(offset, data)
//	batch := group.Batch{Epoch: s.Epoch, Seq: s.Seq + 1, Records: records}
package group

import (
	"sort"

	"lagooncourse/internal/base/frame"
	"lagooncourse/internal/cell/jobs"
)

// StreamOf returns the log stream of a group.
func StreamOf(group string) string { return "group." + group }

// Owner is the owner of a group during one epoch.
type Owner struct {
	Host string // id of the entry host; empty after a release
	Addr string // peer address of the entry host
}

// Batch is one entry of the stream. A batch with Claim starts a new epoch.
type Batch struct {
	Epoch   uint64
	Seq     uint64 // sequence number within the epoch, from 1; not used in a claim
	Claim   *Owner // the new owner; nil if the batch is not a claim
	Release bool   // the owner gives up ownership; this is the last batch of its epoch
	Records []Record
}

// Record is one change of the state. Exactly one field is set.
type Record struct {
	Submit *Submit
	Start  *Start
	End    *jobs.End
	Cancel *Cancel
	Settle *Settle
	Purge  *Purge
	Call   *Call
}

// Submit adds a job. The job's id is assigned when the record is applied.
type Submit struct {
	Spec jobs.Spec
	AtMs int64
}

// Start records the intent to run the next attempt of a task.
type Start struct {
	Ref       jobs.Ref
	Attempt   int // must be the task's latest attempt plus 1
	Placement jobs.Placement
	AtMs      int64
}

// Cancel requests the cancellation of a job.
type Cancel struct {
	Job  jobs.ID
	AtMs int64
}

// Settle is an operator's decision about a parked task.
type Settle struct {
	Ref    jobs.Ref
	Action jobs.Action
	AtMs   int64
}

// Purge deletes the jobs that ended and the calls that were recorded before the
// given time.
type Purge struct {
	BeforeMs int64
}

// RequestKey returns the key of a submission in State.Submissions, or of a call in
// State.Calls. The id is its idempotency key.
func RequestKey(team, id string) string { return team + "\x00" + id }

// Observer is notified of every task change while the state applies it.
type Observer interface {
	// TaskChanged is called after the change. The value of before is the zero
	// Task for a new job and for a task restored from a snapshot.
	TaskChanged(job *jobs.Job, index int, before jobs.Task)
}

// State is a group's durable state. It is not safe for concurrent use.
type State struct {
	Name     string
	Observer Observer // may be nil

	Epoch        uint64
	Seq          uint64 // sequence number of the latest batch of the epoch
	PrevEpochSeq uint64 // sequence number of the last batch of the previous epoch
	Owner        Owner
	LastJob      int64 // number of the latest job; the next one gets LastJob+1
	Jobs         map[jobs.ID]*jobs.Job
	Submissions  map[string]jobs.ID   // RequestKey -> job
	Used         map[string]jobs.Size // team -> total size of its placed tasks
	Calls        map[string]Call      // RequestKey -> call
}

// NewState returns the empty state of a group.
func NewState(name string) *State {
	s := &State{Name: name}
	s.reset()
	return s
}

func (s *State) reset() {
	s.Jobs = map[jobs.ID]*jobs.Job{}
	s.Submissions = map[string]jobs.ID{}
	s.Used = map[string]jobs.Size{}
	s.Calls = map[string]Call{}
}

// Apply applies the next entry of the stream. It does not use the offset. An entry
// that cannot be decoded is ignored.
func (s *State) Apply(_ int64, data []byte) {
	b, err := frame.Decode[Batch](data)
	if err != nil {
		return
	}
	s.ApplyBatch(b)
}

// ApplyBatch applies a decoded batch if it is valid, and reports whether it did.
func (s *State) ApplyBatch(b Batch) bool {
	if b.Claim != nil {
		return s.applyClaim(b)
	}
	if b.Epoch != s.Epoch || b.Seq != s.Seq+1 || s.Owner.Host == "" {
		return false
	}
	s.Seq = b.Seq
	for _, r := range b.Records {
		s.applyRecord(r)
	}
	if b.Release {
		s.Owner = Owner{}
	}
	return true
}

func (s *State) applyClaim(b Batch) bool {
	if b.Epoch != s.Epoch+1 {
		return false
	}
	s.Epoch, s.Seq, s.PrevEpochSeq, s.Owner = b.Epoch, 0, s.Seq, *b.Claim
	return true
}

// BatchStatus reports whether the batch with the given epoch and sequence number has
// been applied, and whether this answer is final. It is not final while the batch
// may still arrive. Both results are false if the answer is not known: after two or
// more later claims, and for an epoch that has not begun.
func (s *State) BatchStatus(epoch, seq uint64) (applied, final bool) {
	switch {
	case epoch == s.Epoch:
		return seq <= s.Seq, seq <= s.Seq || s.Owner.Host == ""
	case epoch+1 == s.Epoch:
		return seq <= s.PrevEpochSeq, true
	}
	return false, false
}

func (s *State) applyRecord(r Record) {
	switch {
	case r.Submit != nil:
		s.applySubmit(*r.Submit)
	case r.Start != nil:
		s.applyStart(*r.Start)
	case r.End != nil:
		e := *r.End
		s.updateTask(e.Ref, e.AtMs, func(j *jobs.Job, t jobs.Task) jobs.Task { return t.WithEnd(j.Spec, e) })
	case r.Cancel != nil:
		s.applyCancel(*r.Cancel)
	case r.Settle != nil:
		c := *r.Settle
		s.updateTask(c.Ref, c.AtMs, func(_ *jobs.Job, t jobs.Task) jobs.Task { return t.WithSettled(c.Action, c.AtMs) })
	case r.Purge != nil:
		s.applyPurge(*r.Purge)
	case r.Call != nil:
		s.applyCall(*r.Call)
	}
}

func (s *State) applySubmit(r Submit) {
	key := RequestKey(r.Spec.Team, r.Spec.Submission)
	if _, seen := s.Submissions[key]; seen {
		return
	}
	s.LastJob++
	j := &jobs.Job{ID: jobs.NewID(s.Name, s.LastJob), Spec: r.Spec, SubmitMs: r.AtMs}
	for range r.Spec.Tasks {
		j.Tasks = append(j.Tasks, jobs.Task{State: jobs.Waiting})
	}
	s.Jobs[j.ID] = j
	s.Submissions[key] = j.ID
	for i := range j.Tasks {
		s.notify(j, i, jobs.Task{})
	}
}

// applyStart records the intent to run an attempt. It has no effect if the task
// is no longer waiting for this attempt, for instance because an earlier record
// of the same batch cancelled the job.
func (s *State) applyStart(r Start) {
	// The time is not used because a start does not end a job.
	s.updateTask(r.Ref, 0, func(_ *jobs.Job, t jobs.Task) jobs.Task {
		if t.State != jobs.Waiting || t.Attempt+1 != r.Attempt {
			return t
		}
		return t.WithStart(r.Placement, r.AtMs)
	})
}

func (s *State) applyCancel(c Cancel) {
	j := s.Jobs[c.Job]
	if j == nil {
		return
	}
	for i := range j.Tasks {
		ref := jobs.Ref{Job: j.ID, Index: i}
		s.updateTask(ref, c.AtMs, func(_ *jobs.Job, t jobs.Task) jobs.Task { return t.WithCancel(c.AtMs) })
	}
}

// updateTask replaces the task with the result of change, updates Used and the
// job's end time, and notifies the observer.
func (s *State) updateTask(ref jobs.Ref, nowMs int64, change func(*jobs.Job, jobs.Task) jobs.Task) {
	j := s.Jobs[ref.Job]
	if j == nil || ref.Index < 0 || ref.Index >= len(j.Tasks) {
		return
	}
	before := j.Tasks[ref.Index]
	after := change(j, before)
	if after == before {
		return
	}
	j.Tasks[ref.Index] = after
	s.updateUsed(j.Spec, before.State, after.State)
	if after.State.Final() && j.Ended() {
		j.EndMs = nowMs
	}
	s.notify(j, ref.Index, before)
}

// updateUsed updates the team's usage for a task that changes from state before
// to state after.
func (s *State) updateUsed(spec jobs.Spec, before, after jobs.State) {
	used := s.Used[spec.Team]
	if before == jobs.Placed {
		used = used.Minus(spec.Size)
	}
	if after == jobs.Placed {
		used = used.Plus(spec.Size)
	}
	if used.IsZero() {
		delete(s.Used, spec.Team)
		return
	}
	s.Used[spec.Team] = used
}

func (s *State) notify(j *jobs.Job, index int, before jobs.Task) {
	if s.Observer != nil {
		s.Observer.TaskChanged(j, index, before)
	}
}

func (s *State) applyPurge(p Purge) {
	for id, j := range s.Jobs {
		if j.EndMs > 0 && j.EndMs < p.BeforeMs && j.Ended() {
			delete(s.Jobs, id)
			delete(s.Submissions, RequestKey(j.Spec.Team, j.Spec.Submission))
		}
	}
	for key, c := range s.Calls {
		if c.AtMs < p.BeforeMs {
			delete(s.Calls, key)
		}
	}
}

// Job returns a copy of the job, and false if there is none.
func (s *State) Job(id jobs.ID) (jobs.Job, bool) {
	j := s.Jobs[id]
	if j == nil {
		return jobs.Job{}, false
	}
	return j.WithTasks(j.Tasks), true
}

// JobsBySubmission returns the jobs in the order of their submission time.
func (s *State) JobsBySubmission() []*jobs.Job {
	list := make([]*jobs.Job, 0, len(s.Jobs))
	for _, j := range s.Jobs {
		list = append(list, j)
	}
	sort.Slice(list, func(a, b int) bool {
		if list[a].SubmitMs != list[b].SubmitMs {
			return list[a].SubmitMs < list[b].SubmitMs
		}
		return list[a].ID < list[b].ID
	})
	return list
}

// snapshot is the encoded form of a State.
type snapshot struct {
	Epoch        uint64
	Seq          uint64
	PrevEpochSeq uint64
	Owner        Owner
	LastJob      int64
	Jobs         []*jobs.Job
	Calls        map[string]Call
}

// Snapshot returns the encoded state.
func (s *State) Snapshot() ([]byte, error) {
	return frame.Encode(snapshot{
		Epoch: s.Epoch, Seq: s.Seq, PrevEpochSeq: s.PrevEpochSeq, Owner: s.Owner, LastJob: s.LastJob, Jobs: s.JobsBySubmission(), Calls: s.Calls,
	})
}

// Restore replaces the state with the result of Snapshot and notifies the
// observer of every task.
func (s *State) Restore(data []byte) error {
	snap, err := frame.Decode[snapshot](data)
	if err != nil {
		return err
	}
	s.reset()
	s.Epoch, s.Seq, s.PrevEpochSeq, s.Owner, s.LastJob = snap.Epoch, snap.Seq, snap.PrevEpochSeq, snap.Owner, snap.LastJob
	if snap.Calls != nil {
		s.Calls = snap.Calls
	}
	for _, j := range snap.Jobs {
		s.Jobs[j.ID] = j
		s.Submissions[RequestKey(j.Spec.Team, j.Spec.Submission)] = j.ID
		for i, t := range j.Tasks {
			// With Waiting as the previous state, only the usage of a placed task
			// is added.
			s.updateUsed(j.Spec, jobs.Waiting, t.State)
			s.notify(j, i, jobs.Task{})
		}
	}
	return nil
}
