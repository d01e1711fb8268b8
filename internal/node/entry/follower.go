package entry

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"lagooncourse/internal/base/clock"
	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/frame"
	"lagooncourse/internal/cell/config"
	"lagooncourse/internal/node/owner"
	"lagooncourse/internal/node/peers"
	"lagooncourse/internal/node/wire"
	"lagooncourse/internal/plat/stream"
)

// configFollower keeps the configuration up to date. It reads the configuration stream
// from the log and, while the log does not answer, from peers.
//
// The configuration is fresh if it was known to be complete at most freshFor ago. A
// host whose configuration is not fresh may have missed a change, such as the
// withdrawal of a key, and rejects work.
//
// The exception is an outage of the log for all hosts, during which no change can have
// been appended. A host assumes such an outage if its state is ready and all of the
// following hold:
//   - no other host in its table is suspected, except leaving ones
//   - at least one other host is live, or the settings name no other host
//   - no other live host has read the end of the log within freshFor
//
// The table of cases is in docs/design/0004-freshness.md.
type configFollower struct {
	log       stream.Log
	table     *peers.Table
	peerConns *frame.Pool
	clock     clock.Clock
	logger    logr.Logger
	freshFor  time.Duration
	noSeeds   bool // the settings name no other entry host
	machine   *config.StateMachine

	mu            sync.Mutex
	replay        *stream.Replay
	completeAt    time.Time     // latest time as of which the state is known to be complete, by a read from the log or a peer
	logReadAt     time.Time     // when the last read that reached the end of the stream was sent to the log
	recentRecords [][]byte      // newest records without gaps, up to replay.Next(); served to peers
	changed       chan struct{} // closed and replaced when records are applied
}

var _ owner.Cell = (*configFollower)(nil)

// Timeouts, retry delays and limits of the follower.
const (
	maxReadWait       = time.Second            // maximum wait of a read for a new record, and for an appended record to be applied
	readRetryInterval = 200 * time.Millisecond // after a failed read from the log
	peerReadTimeout   = time.Second            // for one ReadConfig request to a peer
	maxRecentRecords  = 4096                   // records kept for peers
	minAppendBackoff  = 50 * time.Millisecond  // first delay between two appends of a record; doubles
	maxAppendBackoff  = time.Second            // maximum delay between two appends of a record
)

// run follows the stream until ctx ends.
func (f *configFollower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.readPage(ctx) == nil {
			continue
		}
		f.readFromPeer(ctx)
		select {
		case <-time.After(readRetryInterval):
		case <-ctx.Done():
		}
	}
}

// readWait returns how long a read may wait for a new record. It is well below
// freshFor, because otherwise the configuration would count as stale while the stream
// is idle.
func (f *configFollower) readWait() time.Duration { return min(maxReadWait, f.freshFor/4) }

// readPage reads and applies one page. If the page reaches the end of the stream,
// the state is complete as of the time at which the request was sent, because the
// response contains all records that the log had at that time.
func (f *configFollower) readPage(ctx context.Context) error {
	f.mu.Lock()
	from, sent := f.replay.Next(), f.clock.Now()
	f.mu.Unlock()
	p, err := f.log.Read(ctx, stream.ReadRequest{Stream: config.Stream, From: from, Wait: f.readWait()})
	if err != nil {
		return err
	}
	if f.applyPage(p, sent) {
		f.mu.Lock()
		f.logReadAt = sent
		f.mu.Unlock()
	}
	return nil
}

// applyPage applies a page that was read at the time asOf. It reports whether the
// state is complete: the replay is ready and has applied all records up to the end of
// the stream as of asOf.
func (f *configFollower) applyPage(p stream.Page, asOf time.Time) (complete bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	oldNext := f.replay.Next()
	complete = f.replay.Take(p) && f.replay.Ready()
	if complete && asOf.After(f.completeAt) {
		f.completeAt = asOf
	}
	f.keepRecent(p, oldNext)
	if f.replay.Next() != oldNext {
		close(f.changed)
		f.changed = make(chan struct{})
	}
	return complete
}

// keepRecent adds the page's records with offset from or higher to f.recentRecords. If
// the page starts after from, the records between are missing, and the older ones are
// dropped so that recentRecords has no gap. The caller must hold f.mu.
func (f *configFollower) keepRecent(p stream.Page, from int64) {
	if p.First > from {
		f.recentRecords = nil
	}
	for _, rec := range p.Records {
		if rec.Offset >= from {
			f.recentRecords = append(f.recentRecords, rec.Data)
		}
	}
	if n := len(f.recentRecords) - maxRecentRecords; n > 0 {
		f.recentRecords = append([][]byte(nil), f.recentRecords[n:]...)
	}
}

// readFromPeer reads the records that this host lacks from a random live peer.
func (f *configFollower) readFromPeer(ctx context.Context) {
	now := f.clock.Now()
	addrs := f.table.PickLive(1, newRand(), now)
	if len(addrs) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerReadTimeout)
	defer cancel()
	f.mu.Lock()
	from := f.replay.Next()
	f.mu.Unlock()
	a, err := frame.Call(ctx, f.peerConns, addrs[0], wire.ReadConfig, wire.ReadConfigMsg{From: from})
	if err != nil || a.Next < from || a.First != from {
		return
	}
	page := stream.Page{Next: a.Next}
	for i, data := range a.Data {
		page.Records = append(page.Records, stream.Record{Offset: a.First + int64(i), Data: data})
	}
	f.applyPage(page, now.Add(-time.Duration(a.AgeMs)*time.Millisecond))
}

// serveRecords answers a peer's request for records. It fails if the state is not
// ready or the request starts before the oldest record in f.recentRecords.
func (f *configFollower) serveRecords(_ context.Context, msg wire.ReadConfigMsg) (a wire.ReadConfigAnswer, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := f.replay.Next()
	oldest := next - int64(len(f.recentRecords))
	if !f.replay.Ready() || msg.From < oldest {
		return a, fault.New(fault.NotFound, fault.NotRun, "records before offset %d are not available", oldest)
	}
	a = wire.ReadConfigAnswer{First: msg.From, Next: next, AgeMs: f.age().Milliseconds()}
	if msg.From < next {
		a.Data = f.recentRecords[msg.From-oldest:]
	}
	return a, nil
}

// age returns the time since the state was last known to be complete. The caller
// must hold f.mu.
func (f *configFollower) age() time.Duration { return f.clock.Now().Sub(f.completeAt) }

// Age returns the time since the state was last known to be complete, and the next
// offset to read.
func (f *configFollower) Age() (time.Duration, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.age(), f.replay.Next()
}

// LogAge returns the time since this host sent the last read that reached the end of
// the stream to the log.
func (f *configFollower) LogAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.clock.Now().Sub(f.logReadAt)
}

// State returns the newest configuration.
func (f *configFollower) State() *config.State { return f.machine.State() }

// CheckFresh returns an error unless the configuration is fresh, as defined at
// configFollower.
func (f *configFollower) CheckFresh() error {
	f.mu.Lock()
	age, ready := f.age(), f.replay.Ready()
	f.mu.Unlock()
	if ready && age <= f.freshFor {
		return nil
	}
	suspected, minLogAge, live := f.table.PeerSummary(f.clock.Now())
	if ready && !suspected && (live > 0 || f.noSeeds) && minLogAge > f.freshFor {
		return nil
	}
	return fault.New(fault.Unavailable, fault.NotRun, "this host's configuration may be out of date").WithRetryAfter(1)
}

// LogUnreachable reports whether this host has not read the end of the log within
// freshFor while another live host has. Such a host may read the configuration from its
// peers, but cannot own a group.
func (f *configFollower) LogUnreachable() bool {
	_, minLogAge, live := f.table.PeerSummary(f.clock.Now())
	return f.LogAge() > f.freshFor && live > 0 && minLogAge <= f.freshFor
}

// ChangeGrants appends a change of grants and waits until a change with the same or
// a newer fencing token has been applied.
func (f *configFollower) ChangeGrants(ctx context.Context, g config.Grants) error {
	return f.appendRecord(ctx, config.Record{Grants: &g}, func(s *config.State) bool {
		token := s.FencingTokens[g.Group]
		return token.Epoch > g.FencingToken.Epoch || token.Epoch == g.FencingToken.Epoch && token.Seq >= g.FencingToken.Seq
	})
}

// Edit appends an operator's edit and returns its result. A retry with the same id
// returns the first result.
func (f *configFollower) Edit(ctx context.Context, e config.Edit) (r config.EditResult, err error) {
	defer fault.Annotate(&err, "edit %q", e.ID)
	err = f.appendRecord(ctx, config.Record{Edit: &e}, func(s *config.State) bool {
		_, ok := s.Results[e.ID]
		return ok
	})
	if err != nil {
		return r, err
	}
	return f.State().Results[e.ID], nil
}

// appendRecord appends a record and waits until done returns true for the state. It
// repeats the append if necessary; the state machine ignores the copies. If ctx ends
// first, the outcome of the error is NotRun if the record is certainly not in the log,
// and Unknown otherwise.
func (f *configFollower) appendRecord(ctx context.Context, rec config.Record, done func(*config.State) bool) error {
	data, err := frame.Encode(rec)
	if err != nil {
		return err
	}
	if data, err = stream.EncodeRecord(data); err != nil {
		return err
	}
	mayBeInLog := false
	wait := minAppendBackoff
	for !done(f.State()) {
		_, err := f.log.Append(ctx, config.Stream, data)
		mayBeInLog = mayBeInLog || fault.OutcomeOf(err) != fault.NotRun
		if err == nil {
			if f.waitUntil(ctx, done) {
				return nil
			}
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			outcome := fault.NotRun
			if mayBeInLog {
				outcome = fault.Unknown
			}
			return fault.New(fault.Unavailable, outcome, "the log has not confirmed the change")
		}
		wait = min(2*wait, maxAppendBackoff)
	}
	return nil
}

// waitUntil waits until done returns true, for at most maxReadWait. It reports whether
// done returned true.
func (f *configFollower) waitUntil(ctx context.Context, done func(*config.State) bool) bool {
	timeout := time.After(maxReadWait)
	for {
		f.mu.Lock()
		changed := f.changed
		f.mu.Unlock()
		if done(f.State()) {
			return true
		}
		select {
		case <-changed:
		case <-timeout:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// appendSnapshot appends a snapshot of the configuration to its stream.
func (f *configFollower) appendSnapshot(ctx context.Context) error {
	f.mu.Lock()
	if !f.replay.Ready() {
		f.mu.Unlock()
		return nil
	}
	data, err := f.replay.EncodeSnapshot()
	f.mu.Unlock()
	if err != nil {
		return err
	}
	_, err = f.log.Append(ctx, config.Stream, data)
	return err
}

// recordsSinceSnapshot returns the number of records since the newest snapshot.
func (f *configFollower) recordsSinceSnapshot() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, _ := f.replay.SinceSnapshot()
	return n
}
