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
	"lagooncourse/internal/cell/alloc"
	"lagooncourse/internal/cell/config"
	"lagooncourse/internal/cell/group"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/node/wire"
	"lagooncourse/internal/plat/hosts"
	"lagooncourse/internal/plat/stream"
	"lagooncourse/internal/plat/worker"
)

// memLog is an in-memory log with one stream.
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
type fixedCell struct{ m *config.StateMachine }

func (c fixedCell) State() *config.State                              { return c.m.State() }
func (c fixedCell) CheckFresh() error                                 { return nil }
func (c fixedCell) ChangeGrants(context.Context, config.Grants) error { return nil }

// noRemote reaches no group: Report fails, and the methods it does not define
// panic.
type noRemote struct{ Remote }

func (noRemote) Report(context.Context, wire.ReportMsg) (wire.ReportAnswer, error) {
	return wire.ReportAnswer{}, notOwner("b-0")
}

func (noRemote) Unwanted(context.Context, wire.UnwantedMsg) (wire.UnwantedAnswer, error) {
	return wire.UnwantedAnswer{}, notOwner("b-0")
}

func (noRemote) Groups() []wire.GroupInfo                  { return nil }
func (noRemote) MayClaim(string, uint64, group.Owner) bool { return true }

// idleWorker is a worker with an empty inventory.
type idleWorker struct{ worker.Worker }

func (idleWorker) Renew(ctx context.Context, req worker.RenewRequest) (worker.Inventory, error) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(req.WaitMs) * time.Millisecond):
	}
	return worker.Inventory{Boot: 7, Version: 1}, nil
}

// newOwnedGroup returns a running group that has been claimed, with one worker, and
// its log.
func newOwnedGroup(t *testing.T) (*Group, *memLog) {
	t.Helper()
	log := &memLog{}
	g := New(Config{
		Name: "a-0", Az: "a", Self: group.Owner{Host: "e1"}, Log: log, Cell: fixedCell{config.NewStateMachine()},
		Remote: noRemote{}, Dial: func(hosts.Worker) worker.Worker { return idleWorker{} },
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
	g.SetWanted(true)
	until(t, func() bool { return g.Epoch() == 1 && g.Dump().Workers[0].Ready })
	return g, log
}

// until polls a condition for up to 10 s.
func until(t *testing.T, ok func() bool) {
	t.Helper()
	polls.Until(t, 10*time.Second, "the expected state", ok)
}

// appendOtherClaim appends another host's claim of the next epoch.
func appendOtherClaim(t *testing.T, log *memLog) {
	t.Helper()
	data, err := encodeBatch(group.Batch{Epoch: 2, Claim: &group.Owner{Host: "e2"}})
	assert.NilError(t, err)
	_, err = log.Append(context.Background(), "", data)
	assert.NilError(t, err)
}

// TestAbsentOnlyFromOwner checks that AttemptStatus reports an attempt as absent only
// while the log shows this host as the group's owner.
func TestAbsentOnlyFromOwner(t *testing.T) {
	g, log := newOwnedGroup(t)
	msg := wire.AttemptStatusMsg{Group: "a-0", Queries: []alloc.Query{{Attempt: alloc.Attempt{Task: "b-0.1/0", Number: 1}, Worker: "w1", Boot: 7}}}
	a, err := g.AttemptStatus(context.Background(), msg)
	assert.NilError(t, err)
	assert.Equal(t, a.Statuses[0], alloc.StatusAbsent)
	appendOtherClaim(t, log)
	msg.Queries[0].Attempt.Number = 2
	_, err = g.AttemptStatus(context.Background(), msg)
	assert.Assert(t, fault.HasCode(err, fault.NotOwner), "%v", err)
}

// TestLossOnlyByOwner checks that the attempts on a worker with an expired lease
// are reported as lost only while the log shows this host as the group's owner.
func TestLossOnlyByOwner(t *testing.T) {
	for _, lost := range []bool{true, false} {
		g, log := newOwnedGroup(t)
		at := alloc.Attempt{Task: "b-0.1/0", Number: 1}
		g.mu.Lock()
		g.allocations.ApplyInventory("w1", alloc.Inventory{Boot: 7, Attempts: []alloc.ReportedAttempt{{Attempt: at, Home: "b-0", Kind: jobs.Batch}}})
		lr := g.renewers["w1"]
		g.mu.Unlock()
		if !lost {
			appendOtherClaim(t, log)
		}
		g.markWorkerLost(lr, 1, fault.New(fault.Timeout, fault.Unknown, "no answer"))
		g.mu.Lock()
		reports := g.allocations.Reports()["b-0"]
		g.mu.Unlock()
		assert.Equal(t, len(reports) == 1, lost)
	}
}

// TestSubmitAfterLostOwnership checks that a change appended after another host's
// claim fails with NotRun and is not part of the state.
func TestSubmitAfterLostOwnership(t *testing.T) {
	g, log := newOwnedGroup(t)
	appendOtherClaim(t, log)
	spec := jobs.Spec{Name: "survey", Kind: jobs.Batch, Team: "lab", Submission: "s", Tasks: 1, Size: jobs.Size{CPU: 1}, RunMs: 1}
	_, err := g.Submit(context.Background(), spec)
	assert.Equal(t, fault.OutcomeOf(err), fault.NotRun, "%v", err)
	replay := &stream.Replay{Machine: group.NewState("a-0")}
	p, err := log.Read(context.Background(), stream.ReadRequest{})
	assert.NilError(t, err)
	replay.Take(p)
	assert.Equal(t, len(replay.Machine.(*group.State).Jobs), 0)
}

// TestReplacedOwnerDeniesNoJob asks a replaced owner that has not noticed for a job that
// its successor may have accepted.
func TestReplacedOwnerDeniesNoJob(t *testing.T) {
	const job = jobs.ID("a-0.9")
	for name, ask := range map[string]func(*Group) error{
		"status": func(g *Group) error {
			_, err := g.Status(context.Background(), wire.StatusMsg{Job: job})
			return err
		},
		"cancel": func(g *Group) error {
			_, err := g.Cancel(context.Background(), job)
			return err
		},
		"settle": func(g *Group) error {
			_, err := g.Settle(context.Background(), wire.SettleMsg{Ref: jobs.Ref{Job: job}})
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			g, log := newOwnedGroup(t)
			err := ask(g)
			assert.Assert(t, fault.HasCode(err, fault.NotFound), "%v", err)
			appendOtherClaim(t, log)
			err = ask(g)
			assert.Assert(t, fault.HasCode(err, fault.NotOwner), "%v", err)
		})
	}
}

// TestRecordedOnlyByOwner checks that Report confirms the end of an unknown
// attempt as recorded only while the log shows this host as the group's owner.
// Otherwise the end of an attempt that a later owner has started would be deleted
// before it is recorded.
func TestRecordedOnlyByOwner(t *testing.T) {
	g, log := newOwnedGroup(t)
	msg := wire.ReportMsg{Group: "a-0", Reports: []alloc.Report{
		{Attempt: alloc.Attempt{Task: "a-0.1/0", Number: 1}, Worker: "w1", Reason: jobs.EndOK},
	}}
	a, err := g.Report(context.Background(), msg)
	assert.NilError(t, err)
	assert.Equal(t, len(a.Recorded), 1)
	appendOtherClaim(t, log)
	a, err = g.Report(context.Background(), msg)
	assert.Assert(t, fault.HasCode(err, fault.NotOwner), "%v", err)
	assert.Equal(t, len(a.Recorded), 0)
}
