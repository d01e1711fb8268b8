package owner

import (
	"context"
	"time"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/group"
	"lagooncourse/internal/plat/stream"
)

// This file appends records to the group's stream. A proposal is a set of records
// that are committed atomically. Proposals that arrive during an append are
// combined into the next batch, so the append rate depends on the commit interval
// and not on the load.
//
// An append without a response is retried with the same sequence number. The
// first copy in the stream is applied. Later copies are void: they have no
// effect. A batch is reported as NotRun only once it can no longer be applied.
// No other batch is appended before the outcome of one that was given up is known: it
// would have the same sequence number, and either could be taken for the other.

const (
	unwantedAppendTimeout = 2 * time.Second // how long an append is retried once this host should not own the group
	maxPendingProposals   = 20_000
	maxBatchRecords       = 5_000 // no proposal is added to a batch with this many records
	minAppendBackoff      = 50 * time.Millisecond
	maxAppendBackoff      = time.Second
)

// propose adds a proposal to the pending ones. The caller holds the lock.
func (g *Group) propose(p proposal) error {
	switch {
	case g.epoch == 0:
		return notOwner(g.cfg.Name)
	case len(g.pending) >= maxPendingProposals:
		return fault.New(fault.Overload, fault.NotRun, "group %q has %d pending changes", g.cfg.Name, maxPendingProposals).WithRetryAfter(1)
	}
	g.pending = append(g.pending, p)
	g.wakeLoop()
	return nil
}

func notOwner(name string) *fault.Error {
	return fault.New(fault.NotOwner, fault.NotRun, "this host does not own group %q", name)
}

// commit proposes records and waits until they are durable. If ctx ends first,
// the outcome is Unknown, since the records may still become durable.
func (g *Group) commit(ctx context.Context, records ...group.Record) error {
	done := make(chan error, 1)
	g.mu.Lock()
	if g.logDown {
		g.mu.Unlock()
		return fault.New(fault.Unavailable, fault.NotRun, "the log does not respond").WithRetryAfter(1)
	}
	err := g.propose(proposal{records: records, done: func(err error) { done <- err }})
	g.mu.Unlock()
	if err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fault.New(fault.Timeout, fault.Unknown, "the log has not confirmed the change: %v", ctx.Err())
	}
}

// flush appends a batch of pending proposals, if any, and reports the outcome to
// each of them. It then waits for the commit interval.
func (g *Group) flush(ctx context.Context) {
	if !g.settleGivenUp(ctx) {
		return
	}
	batch, taken := g.takeBatch()
	if len(taken) == 0 {
		return
	}
	err := g.appendBatch(ctx, batch)
	for _, p := range taken {
		if p.done != nil {
			p.done(err)
		}
	}
	select {
	case <-time.After(g.cfg.Timing.CommitInterval):
	case <-ctx.Done():
	}
}

// giveUp returns the error of a batch that the log may still apply.
func (g *Group) giveUp(b group.Batch, detail string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.givenUp = &b
	return fault.New(fault.Unavailable, fault.Unknown, "%s", detail)
}

// settleGivenUp appends the batch that was given up again, if any. It reports whether
// the outcome of every batch is known.
func (g *Group) settleGivenUp(ctx context.Context) bool {
	g.mu.Lock()
	b := g.givenUp
	g.givenUp = nil
	g.mu.Unlock()
	if b != nil {
		_ = g.appendBatch(ctx, *b) // sets givenUp if it gives up again
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.givenUp == nil
}

// takeBatch removes pending proposals until they hold at least maxBatchRecords
// records, and returns them with their batch.
func (g *Group) takeBatch() (group.Batch, []proposal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := group.Batch{Epoch: g.epoch, Seq: g.state.Seq + 1}
	n := 0
	for n < len(g.pending) && len(b.Records) < maxBatchRecords {
		b.Records = append(b.Records, g.pending[n].records...)
		n++
	}
	taken := g.pending[:n:n]
	g.pending = append([]proposal(nil), g.pending[n:]...)
	return b, taken
}

// appendBatch appends one batch and retries until it is known to be applied or
// void. It gives up with outcome Unknown when ctx ends, or after
// unwantedAppendTimeout if this host should no longer own the group. A nil error
// means that the batch has been applied.
func (g *Group) appendBatch(ctx context.Context, b group.Batch) error {
	data, err := encodeBatch(b)
	if err != nil {
		return err
	}
	backoff := minAppendBackoff
	started := g.cfg.Clock.Now()
	for {
		offset, err := g.cfg.Log.Append(ctx, g.replay.Stream, data)
		if err == nil && g.applyAppended(offset, data) {
			return nil
		}
		g.updateLogDown(err)
		if outcome, final := g.readBack(ctx, b); final {
			return outcome
		}
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
			return g.giveUp(b, "the host stopped before the log confirmed the change")
		}
		if !g.isWanted() && g.cfg.Clock.Now().Sub(started) > unwantedAppendTimeout {
			return g.giveUp(b, "the group is being released and the log has not confirmed the change")
		}
		backoff = min(2*backoff, maxAppendBackoff)
	}
}

// applyAppended applies an appended batch without reading it back. It returns
// false if offset is not the next one to apply, or if the batch was void.
func (g *Group) applyAppended(offset int64, data []byte) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.replay.Next() != offset {
		return false
	}
	seq := g.state.Seq
	g.replay.Take(stream.Page{Next: offset + 1, Records: []stream.Record{{Offset: offset, Data: data}}})
	g.logDown = false
	g.notifyChanged()
	return g.state.Seq == seq+1
}

// notifyChanged wakes all goroutines that wait for a change of the state, and
// increments Stats.Commits, also for a readBack that applied nothing. The caller
// holds the lock.
func (g *Group) notifyChanged() {
	g.stats.Commits++
	close(g.changed)
	g.changed = make(chan struct{})
}

// readBack reads the stream to find out whether the batch has been applied or
// is void. final is false if the log does not respond or the batch may still be
// applied.
func (g *Group) readBack(ctx context.Context, b group.Batch) (outcome error, final bool) {
	err := g.catchUp(ctx, g.replay)
	g.updateLogDown(err)
	if err != nil {
		return nil, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notifyChanged()
	applied, final := g.state.BatchStatus(b.Epoch, b.Seq)
	if g.state.Epoch != b.Epoch {
		g.dropOwnership("another host claimed it")
	}
	switch {
	case applied:
		return nil, true
	case final:
		return fault.New(fault.Unavailable, fault.NotRun, "group %q was claimed by host %q before the change", g.cfg.Name, g.state.Owner.Host), true
	case g.epoch == 0:
		return fault.New(fault.Unavailable, fault.Unknown, "group %q has had two owners since the change", g.cfg.Name), true
	}
	return nil, false
}

// confirmOwner returns an error unless the log shows that this host still owns
// the group. Without that check, this host's answers about attempts may contradict
// those of a later owner.
func (g *Group) confirmOwner(ctx context.Context) error {
	g.mu.Lock()
	replay, epoch := g.replay, g.epoch
	g.mu.Unlock()
	if epoch == 0 {
		return notOwner(g.cfg.Name)
	}
	if err := g.catchUp(ctx, replay); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state.Epoch != epoch || g.epoch != epoch {
		g.dropOwnership("another host claimed it")
		return notOwner(g.cfg.Name)
	}
	return nil
}

// updateLogDown records whether the log responds. An Overload error is a
// response.
func (g *Group) updateLogDown(err error) {
	down := err != nil && !fault.HasCode(err, fault.Overload)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.logDown = down
}

// release hands the group over. It refuses new calls, waits for those in
// progress, and records the end of the epoch. If a call is still in progress at
// that time, the next owner can only report its outcome as unknown.
func (g *Group) release(ctx context.Context) {
	g.finishCalls(ctx)
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	settled := g.settleGivenUp(ctx)
	g.mu.Lock()
	if g.epoch == 0 {
		g.mu.Unlock()
		return
	}
	b := group.Batch{Epoch: g.epoch, Seq: g.state.Seq + 1, Release: true}
	remaining := g.pending
	g.pending = nil
	g.mu.Unlock()
	for _, p := range remaining {
		if p.done != nil {
			p.done(notOwner(g.cfg.Name))
		}
	}
	err := error(fault.New(fault.Unavailable, fault.Unknown, "an earlier batch is not confirmed"))
	if settled {
		err = g.appendBatch(ctx, b)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.epoch = 0
	g.logger.Info("released group", "epoch", b.Epoch, "err", err)
}

// finishCalls refuses new calls, and commits until no call and no proposal is
// left, the log does not respond, ownership is lost, or callDrainTimeout has
// passed.
func (g *Group) finishCalls(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callDrainTimeout)
	defer cancel()
	g.mu.Lock()
	g.releasing = true
	g.mu.Unlock()
	for ctx.Err() == nil {
		g.flush(ctx)
		g.mu.Lock()
		idle := g.epoch == 0 || g.logDown || len(g.inflight) == 0 && len(g.pending) == 0
		g.mu.Unlock()
		if idle {
			return
		}
		g.sleep(ctx, idleInterval)
	}
}

// callDrainTimeout bounds how long a handover waits for calls in progress.
const callDrainTimeout = 10 * time.Second

// releaseTimeout bounds the append that releases a group.
const releaseTimeout = 3 * time.Second
