package owner

import (
	"context"
	"time"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/group"
	"lagooncourse/internal/plat/stream"
)

// This file adds records to the group's stream. Proposals that arrive while an
// append is under way go together into the next one, so the number of appends
// depends on the interval and not on the load.
//
// An append whose answer is lost is repeated with the same sequence number.
// Whichever copy lands first is applied, the other is void. An append is only
// reported as not run when a later epoch has made it void for ever.

const (
	giveUpAfter     = 2 * time.Second // for an append of a group that this host should not own
	maxPending      = 20_000          // proposals
	maxBatchRecords = 5_000
	appendRetry     = 50 * time.Millisecond
	maxAppendRetry  = time.Second
)

// propose queues records for the next append. The caller holds the lock.
func (g *Group) propose(p proposal) error {
	switch {
	case g.epoch == 0:
		return notOwner(g.cfg.Name)
	case len(g.pending) >= maxPending:
		return fault.New(fault.Overload, fault.NotRun, "group %q has %d changes under way", g.cfg.Name, maxPending).WithRetryAfter(1)
	}
	g.pending = append(g.pending, p)
	g.poke()
	return nil
}

func notOwner(name string) *fault.Error {
	return fault.New(fault.NotOwner, fault.NotRun, "this host does not own group %q", name)
}

// commit proposes records and waits until they are durable. When ctx ends
// before that, the outcome is Unknown: the records may still become durable.
func (g *Group) commit(ctx context.Context, records ...group.Record) error {
	done := make(chan error, 1)
	g.mu.Lock()
	if g.logDown {
		g.mu.Unlock()
		return fault.New(fault.Unavailable, fault.NotRun, "the log does not answer").WithRetryAfter(1)
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

// flush appends what is pending, if anything, and returns when it is durable
// or void.
func (g *Group) flush(ctx context.Context) {
	batch, taken := g.take()
	if len(taken) == 0 {
		return
	}
	err := g.append(ctx, batch)
	for _, p := range taken {
		if p.done != nil {
			p.done(err)
		}
	}
	select {
	case <-time.After(g.cfg.Timing.Commit):
	case <-ctx.Done():
	}
}

// take removes up to maxBatchRecords pending records and makes a batch of them.
func (g *Group) take() (group.Batch, []proposal) {
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

// append makes one batch durable. A nil error means that it has been applied.
func (g *Group) append(ctx context.Context, b group.Batch) error {
	data, err := encodeBatch(b)
	if err != nil {
		return err
	}
	wait := appendRetry
	started := g.cfg.Clock.Now()
	for {
		offset, err := g.cfg.Log.Append(ctx, g.replay.Stream, data)
		if err == nil && g.applyAppended(offset, data) {
			return nil
		}
		g.noteLog(err)
		if verdict, settled := g.readBack(ctx, b); settled {
			return verdict
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return fault.New(fault.Unavailable, fault.Unknown, "the host stopped before the log confirmed")
		}
		if !g.isWanted() && g.cfg.Clock.Now().Sub(started) > giveUpAfter {
			return fault.New(fault.Unavailable, fault.Unknown, "the group is given up before the log confirmed")
		}
		wait = min(2*wait, maxAppendRetry)
	}
}

// applyAppended applies the batch without a read, if no other record came
// between it and the last applied one.
func (g *Group) applyAppended(offset int64, data []byte) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.replay.Next() != offset {
		return false
	}
	seq := g.state.Seq
	g.replay.Take(stream.Page{Next: offset + 1, Records: []stream.Record{{Offset: offset, Data: data}}})
	g.logDown = false
	g.committed()
	return g.state.Seq == seq+1
}

// committed wakes those who wait for changes. The caller holds the lock.
func (g *Group) committed() {
	g.stats.Commits++
	close(g.changed)
	g.changed = make(chan struct{})
}

// readBack finds out whether the batch has been applied or has become void.
// Neither is settled while the log is silent or the batch is not in it yet.
func (g *Group) readBack(ctx context.Context, b group.Batch) (verdict error, settled bool) {
	err := g.catchUp(ctx, g.replay)
	g.noteLog(err)
	if err != nil {
		return nil, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.committed()
	applied, settled := g.state.Verdict(b.Epoch, b.Seq)
	if g.state.Epoch != b.Epoch {
		g.lose("another host claimed it")
	}
	switch {
	case applied:
		return nil, true
	case settled:
		return fault.New(fault.Unavailable, fault.NotRun, "group %q went to %q before the change", g.cfg.Name, g.state.Owner.Host), true
	case g.epoch == 0:
		return fault.New(fault.Unavailable, fault.Unknown, "group %q has had two owners since the change", g.cfg.Name), true
	}
	return nil, false
}

// confirmOwner returns an error unless the log shows that this host still owns
// the group now. What it says about its workers is only then the last word.
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
		g.lose("another host claimed it")
		return notOwner(g.cfg.Name)
	}
	return nil
}

// noteLog remembers whether the log answers.
func (g *Group) noteLog(err error) {
	down := err != nil && !fault.Is(err, fault.Overload)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.logDown = down
}

// release hands the group over: it takes no new calls, finishes those under
// way, and records that the epoch is over. A call that was left behind could
// only be answered with an unknown outcome by the next owner.
func (g *Group) release(ctx context.Context) {
	g.finishFlights(ctx)
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	g.mu.Lock()
	if g.epoch == 0 {
		g.mu.Unlock()
		return
	}
	b := group.Batch{Epoch: g.epoch, Seq: g.state.Seq + 1, Release: true}
	left := g.pending
	g.pending = nil
	g.mu.Unlock()
	for _, p := range left {
		if p.done != nil {
			p.done(notOwner(g.cfg.Name))
		}
	}
	err := g.append(ctx, b)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.epoch = 0
	g.log.Info("released group", "epoch", b.Epoch, "err", err)
}

// finishFlights commits until no call is under way, up to flightTimeout.
func (g *Group) finishFlights(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flightTimeout)
	defer cancel()
	g.mu.Lock()
	g.closing = true
	g.mu.Unlock()
	for ctx.Err() == nil {
		g.flush(ctx)
		g.mu.Lock()
		idle := g.epoch == 0 || g.logDown || len(g.flights) == 0 && len(g.pending) == 0
		g.mu.Unlock()
		if idle {
			return
		}
		g.sleep(ctx, idleWait)
	}
}

// flightTimeout bounds how long a hand-over waits for calls under way.
const flightTimeout = 10 * time.Second

// releaseTimeout bounds the hand-over of a group when the log is slow.
const releaseTimeout = 3 * time.Second
