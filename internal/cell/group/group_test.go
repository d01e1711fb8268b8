package group

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/jobs"
)

// valid returns the valid batches of a stream: claims of the epoch after the
// latest one, and batches that are the next in the current epoch.
func valid(batches []Batch) []Batch {
	var list []Batch
	var epoch, seq uint64
	released := true
	for _, b := range batches {
		switch {
		case b.Claim != nil && b.Epoch == epoch+1:
			epoch, seq, released = b.Epoch, 0, false
		case b.Claim == nil && b.Epoch == epoch && b.Seq == seq+1 && !released:
			seq, released = b.Seq, b.Release
		default:
			continue
		}
		list = append(list, b)
	}
	return list
}

// history is the state of one task, rebuilt from its records.
type history struct {
	starts  int  // started attempts
	running bool // the latest attempt has not ended
}

// histories rebuilds every task and the set of submission ids from valid batches.
func histories(batches []Batch) (map[jobs.Ref]history, map[string]bool) {
	tasks, subs := map[jobs.Ref]history{}, map[string]bool{}
	nextJob := int64(0)
	for _, b := range batches {
		for _, r := range b.Records {
			switch {
			case r.Submit != nil && !subs[r.Submit.Spec.Submission]:
				subs[r.Submit.Spec.Submission] = true
				nextJob++
				tasks[jobs.Ref{Job: jobs.NewID("g", nextJob)}] = history{}
			case r.Start != nil:
				h, ok := tasks[r.Start.Ref]
				if ok && !h.running && h.starts+1 == r.Start.Attempt {
					tasks[r.Start.Ref] = history{starts: h.starts + 1, running: true}
				}
			case r.End != nil:
				h := tasks[r.End.Ref]
				if h.running && h.starts == r.End.Attempt && r.End.Reason == jobs.EndNeverStarted {
					h.running = false
					tasks[r.End.Ref] = h
				}
			}
		}
	}
	return tasks, subs
}

func drawRecords(t *rapid.T) []Record {
	var list []Record
	for range rapid.IntRange(0, 3).Draw(t, "records") {
		ref := jobs.Ref{Job: jobs.NewID("g", rapid.Int64Range(1, 3).Draw(t, "job"))}
		attempt := rapid.IntRange(1, 3).Draw(t, "attempt")
		switch rapid.IntRange(0, 2).Draw(t, "kind") {
		case 0:
			spec := jobs.Spec{Team: "a", Submission: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "sub")), Tasks: 1, Size: jobs.Size{CPU: 1}}
			list = append(list, Record{Submit: &Submit{Spec: spec}})
		case 1:
			list = append(list, Record{Start: &Start{Ref: ref, Attempt: attempt}})
		case 2:
			list = append(list, Record{End: &jobs.End{Ref: ref, Attempt: attempt, Reason: jobs.EndNeverStarted}})
		}
	}
	return list
}

// drawBatch draws a claim, the next batch of the current epoch, or a stale or
// duplicate batch.
func drawBatch(t *rapid.T, s *State) Batch {
	epoch := s.Epoch + uint64(rapid.IntRange(0, 2).Draw(t, "ahead"))
	if rapid.IntRange(0, 4).Draw(t, "claim") == 0 {
		return Batch{Epoch: epoch, Claim: &Owner{Host: rapid.SampledFrom([]string{"e0", "e1"}).Draw(t, "host")}}
	}
	if rapid.Bool().Draw(t, "stale") {
		epoch = rapid.Uint64Range(0, s.Epoch+1).Draw(t, "epoch")
		return Batch{Epoch: epoch, Seq: rapid.Uint64Range(0, s.Seq+2).Draw(t, "seq"), Records: drawRecords(t)}
	}
	return Batch{Epoch: s.Epoch, Seq: s.Seq + 1, Records: drawRecords(t), Release: rapid.IntRange(0, 9).Draw(t, "release") == 0}
}

// TestAgainstReferenceModel compares the state with histories rebuilt from the
// valid batches. The streams contain stale and duplicate batches, and the state is
// restored from snapshots.
func TestAgainstReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState("g")
		var all []Batch
		for range rapid.IntRange(1, 40).Draw(t, "n") {
			b := drawBatch(t, s)
			all = append(all, b)
			wantApplied := len(valid(all)) > len(valid(all[:len(all)-1]))
			assert.Equal(t, s.ApplyBatch(b), wantApplied, "batch %+v", b)
			if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
				s = restart(t, s)
			}
		}
		tasks, subs := histories(valid(all))
		assert.Equal(t, len(s.Submissions), len(subs))
		var used int64
		for ref, h := range tasks {
			got := s.Jobs[ref.Job].Tasks[0]
			assert.Equal(t, got.Attempt, h.starts, "%s", ref)
			assert.Equal(t, got.State == jobs.Placed, h.running, "%s", ref)
			if h.running {
				used++
			}
		}
		assert.Equal(t, s.Used["a"].CPU, used)
	})
}

func restart(t *rapid.T, s *State) *State {
	data, err := s.Snapshot()
	assert.NilError(t, err)
	n := NewState(s.Name)
	assert.NilError(t, n.Restore(data))
	return n
}

// TestBatchStatus checks that a batch for which BatchStatus gives the final answer "not
// applied" has not been applied and can no longer be applied. It does not verify
// the answer "applied": that assertion holds for every state.
func TestBatchStatus(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState("g")
		var mine Batch
		applied := false
		for i := range rapid.IntRange(1, 20).Draw(t, "n") {
			b := drawBatch(t, s)
			ok := s.ApplyBatch(b)
			if i == 0 || mine.Epoch == 0 {
				mine, applied = b, ok
			}
			if mine.Claim != nil || mine.Epoch == 0 {
				mine = Batch{}
				continue
			}
			if b.Epoch == mine.Epoch && b.Seq == mine.Seq && b.Claim == nil {
				applied = applied || ok
			}
			got, final := s.BatchStatus(mine.Epoch, mine.Seq)
			if final && got {
				assert.Assert(t, mine.Seq == 0 || applied || mine.Epoch < s.Epoch || mine.Seq <= s.Seq)
			}
			if final && !got {
				late := restart(t, s)
				assert.Assert(t, !late.ApplyBatch(mine), "batch %+v was reported as never applied, but was applied", mine)
				assert.Assert(t, !applied)
			}
		}
	})
}

// TestCalls checks that a recorded outcome of a call never changes, and that only
// the outcome NotRun removes a call.
func TestCalls(t *testing.T) {
	s := NewState("g")
	assert.Assert(t, s.ApplyBatch(Batch{Epoch: 1, Claim: &Owner{Host: "e0"}}))
	seq := uint64(0)
	put := func(c Call) {
		seq++
		assert.Assert(t, s.ApplyBatch(Batch{Epoch: 1, Seq: seq, Records: []Record{{Call: &c}}}))
	}
	c := Call{Team: "a", ID: "x", Epoch: 1}
	put(c)
	assert.Equal(t, s.Calls[c.Key()].Outcome, fault.Outcome(""))
	put(c.WithOutcome(fault.Done, 200, []byte("7")))
	put(c.WithOutcome(fault.NotRun, 0, nil))
	put(c.WithOutcome(fault.Unknown, 0, nil))
	assert.Equal(t, string(s.Calls[c.Key()].Answer), "7")
	d := Call{Team: "a", ID: "y", Epoch: 1}
	put(d)
	put(d.WithOutcome(fault.NotRun, 0, nil))
	_, ok := s.Calls[d.Key()]
	assert.Assert(t, !ok)
	long := c.WithOutcome(fault.Done, 200, make([]byte, MaxAnswerBytes+1))
	assert.Assert(t, long.Dropped && long.Answer == nil)
}

// FuzzApply checks that an invalid batch does not crash the state or add a job.
func FuzzApply(f *testing.F) {
	f.Add([]byte{0xc1})
	f.Add([]byte{0x95, 1, 0, 0xc0, 0xc2, 0xc0})
	f.Fuzz(func(t *testing.T, data []byte) {
		s := NewState("g")
		s.Apply(0, data)
		if len(s.Jobs) > 0 {
			t.Fatal("a job exists without a claim")
		}
	})
}
