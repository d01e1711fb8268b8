package owner

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/clock"
	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/logs"
	"lagooncourse/internal/base/polls"
	"lagooncourse/internal/cell/books"
	"lagooncourse/internal/cell/config"
	"lagooncourse/internal/cell/group"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/node/wire"
	"lagooncourse/internal/plat/hosts"
	"lagooncourse/internal/plat/stream"
	"lagooncourse/internal/plat/worker"
)

// memLog is one stream in memory.
type memLog struct {
	mu      sync.Mutex
	records [][]byte
}

func (l *memLog) Append(_ context.Context, _ string, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, data)
	return int64(len(l.records)) - 1, nil
}

func (l *memLog) Read(_ context.Context, req stream.ReadRequest) (stream.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := stream.Page{Next: int64(len(l.records))}
	for off := req.From; off < p.Next; off++ {
		p.Records = append(p.Records, stream.Record{Offset: off, Data: l.records[off]})
	}
	return p, nil
}

// fixedCell is a configuration that never changes.
type fixedCell struct{ m *config.Machine }

func (c fixedCell) State() *config.State                        { return c.m.State() }
func (c fixedCell) Fresh() error                                { return nil }
func (c fixedCell) Change(context.Context, config.Grants) error { return nil }

// noRemote reaches no other group.
type noRemote struct{ Remote }

func (noRemote) Report(context.Context, wire.ReportMsg) (wire.ReportAnswer, error) {
	return wire.ReportAnswer{}, notOwner("b-0")
}

func (noRemote) Duties() []wire.Duty                        { return nil }
func (noRemote) MayClaim(string, uint64, group.Holder) bool { return true }

// silentWorker has nothing to report.
type silentWorker struct{ worker.Worker }

func (silentWorker) Renew(ctx context.Context, req worker.RenewRequest) (worker.Inventory, error) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(req.WaitMs) * time.Millisecond):
	}
	return worker.Inventory{Boot: 7, Version: 1}, nil
}

// ownedGroup returns a group that this test owns, with one worker, and its log.
func ownedGroup(t *testing.T) (*Group, *memLog) {
	t.Helper()
	log := &memLog{}
	g := New(Config{
		Name: "a-0", Az: "a", Self: group.Holder{Host: "e1"}, Log: log, Cell: fixedCell{config.NewMachine()},
		Remote: noRemote{}, Dial: func(hosts.Worker) worker.Worker { return silentWorker{} },
		Clock: clock.System{}, Logger: logs.Discard(), Timing: DefaultTiming(),
	})
	g.SetWorkers([]hosts.Worker{{ID: "w1", Az: "a", CPU: 8000, State: hosts.Live}})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		g.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	g.Want(true)
	until(t, func() bool { return g.Epoch() == 1 && g.Dump().Workers[0].Ready })
	return g, log
}

// until polls a condition up to a bound.
func until(t *testing.T, ok func() bool) {
	t.Helper()
	polls.Until(t, 10*time.Second, "the awaited state", ok)
}

// claimedByOther appends another host's claim of the next epoch.
func claimedByOther(t *testing.T, log *memLog) {
	t.Helper()
	data, err := encodeBatch(group.Batch{Epoch: 2, Claim: &group.Holder{Host: "e2"}})
	assert.NilError(t, err)
	_, err = log.Append(context.Background(), "", data)
	assert.NilError(t, err)
}

// TestAbsentOnlyFromOwner checks that a group says that an attempt is absent
// only as long as the log shows it as the owner.
func TestAbsentOnlyFromOwner(t *testing.T) {
	g, log := ownedGroup(t)
	msg := wire.WhereMsg{Group: "a-0", Queries: []books.Query{{Attempt: books.Attempt{Task: "b-0.1/0", Number: 1}, Worker: "w1", Boot: 7}}}
	a, err := g.Where(context.Background(), msg)
	assert.NilError(t, err)
	assert.Equal(t, a.Places[0], books.Absent)
	claimedByOther(t, log)
	msg.Queries[0].Attempt.Number = 2
	_, err = g.Where(context.Background(), msg)
	assert.Assert(t, fault.Is(err, fault.NotOwner), "%v", err)
}

// TestLossOnlyByOwner checks that an overdue worker is reported as lost only as
// long as the log shows the group as the owner.
func TestLossOnlyByOwner(t *testing.T) {
	for _, lost := range []bool{true, false} {
		g, log := ownedGroup(t)
		at := books.Attempt{Task: "b-0.1/0", Number: 1}
		g.mu.Lock()
		g.books.Inventory("w1", books.Inventory{Boot: 7, Seen: []books.Seen{{Attempt: at, Home: "b-0", Kind: jobs.Batch}}})
		k := g.keepers["w1"]
		g.mu.Unlock()
		if !lost {
			claimedByOther(t, log)
		}
		g.loseWorker(k, 1, fault.New(fault.Timeout, fault.Unknown, "no answer"))
		g.mu.Lock()
		reports := g.books.Reports()["b-0"]
		g.mu.Unlock()
		assert.Equal(t, len(reports) == 1, lost)
	}
}

// TestWritesAfterLoss checks that a change that meets another owner's claim is
// called not run, and is not part of the state.
func TestWritesAfterLoss(t *testing.T) {
	g, log := ownedGroup(t)
	claimedByOther(t, log)
	spec := jobs.Spec{Name: "survey", Kind: jobs.Batch, Team: "lab", Submission: "s", Tasks: 1, Size: jobs.Size{CPU: 1}, RunMs: 1}
	_, err := g.Submit(context.Background(), spec)
	assert.Equal(t, fault.RanOf(err), fault.NotRun, "%v", err)
	replay := &stream.Replay{Machine: group.NewState("a-0")}
	p, err := log.Read(context.Background(), stream.ReadRequest{})
	assert.NilError(t, err)
	replay.Take(p)
	assert.Equal(t, len(replay.Machine.(*group.State).Jobs), 0)
}

// TestRecordedOnlyByOwner checks that a group calls the end of an attempt that
// it does not know recorded only as long as the log shows it as the owner: the
// attempt may be a later owner's, whose end would be forgotten unrecorded.
func TestRecordedOnlyByOwner(t *testing.T) {
	g, log := ownedGroup(t)
	msg := wire.ReportMsg{Group: "a-0", Reports: []books.Report{
		{Attempt: books.Attempt{Task: "a-0.1/0", Number: 1}, Worker: "w1", How: jobs.EndOK},
	}}
	a, err := g.Report(context.Background(), msg)
	assert.NilError(t, err)
	assert.Equal(t, len(a.Recorded), 1)
	claimedByOther(t, log)
	a, err = g.Report(context.Background(), msg)
	assert.Assert(t, fault.Is(err, fault.NotOwner), "%v", err)
	assert.Equal(t, len(a.Recorded), 0)
}
