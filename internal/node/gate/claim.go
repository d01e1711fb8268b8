package gate

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"lagooncourse/internal/base/clock"
	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/frame"
	"lagooncourse/internal/base/guard"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/node/lead"
	"lagooncourse/internal/plat/ports"
)

// replica is a host's copy of the job records. A host that becomes the owner passes
// its replica to the planner, and starts with an empty one when its ownership ends.
type replica struct {
	state      *sched.State
	lastGrowth time.Time // when the topic was last found to have grown
	inUse      bool      // in use by a sync, a claim or the owner on this host
}

func newReplica() *replica { return &replica{state: sched.NewState()} }

// Intervals, timeouts and limits of replicas and claims.
const (
	replicaSyncInterval = 500 * time.Millisecond
	storeCallTimeout    = 1500 * time.Millisecond // of one read or one append of a claim
	newestTimeout       = 5 * time.Second         // of reading one page of the newest records: 1 MB, on links of 10 Mbit/s
	claimCheckInterval  = 50 * time.Millisecond
	claimTries          = 6 // of the append of a claim
	claimRetryPause     = 50 * time.Millisecond
)

// epochRandomBits is the size of the random low part of an epoch. The random part
// usually gives two hosts that claim at the same time different epochs; tryClaim
// detects equal ones.
const epochRandomBits = 10

// nextEpoch returns an epoch higher than last. Its random part is never 0.
func nextEpoch(last int64) int64 {
	return (last>>epochRandomBits+1)<<epochRandomBits | (1 + rand.Int64N(1<<epochRandomBits-1))
}

// replicaLoop keeps the replica up to date if this host is a standby.
func (h *Host) replicaLoop(ctx context.Context) {
	h.awaitHosts(ctx)
	loadedAt := h.clock.Now()
	for ctx.Err() == nil {
		if h.shouldSync(h.clock.Now().Sub(loadedAt) < startupPingWait) {
			if err := h.syncReplica(ctx); err != nil {
				h.log.V(1).Info("failed to read job records", "err", err.Error())
			}
		}
		clock.Sleep(ctx, replicaSyncInterval)
	}
}

// hostsWait is the longest time that a starting host waits for the registrations of
// the others. It exceeds the time in which a store answers that all hosts read at
// once after a power loss.
const hostsWait = 3 * time.Second

// awaitHosts waits until the registrations of the other hosts have been read. A host
// that knows of no other takes itself for the first in the takeover order: all hosts
// would read all records, which takes the store seconds, and claim.
func (h *Host) awaitHosts(ctx context.Context) {
	t := time.NewTimer(hostsWait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-h.hostsLoaded:
	case <-t.C:
		h.log.Info("the registrations of the other hosts are not known yet", "waitedMs", hostsWait.Milliseconds())
	}
}

// shouldSync reports whether this host is a standby that must update its replica
// now. If justStarted is set, registered hosts that have not sent a ping yet count
// as active: otherwise all hosts would read all records at once after a power loss,
// which takes the store seconds.
func (h *Host) shouldSync(justStarted bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.localOwner != nil || h.replica.inUse {
		return false
	}
	return isStandby(peer{addr: h.addr, cpuMillis: h.cfg.CPUMillis}, h.owner.addr, h.peerList(), justStarted, h.clock.Now())
}

// syncReplica brings the replica up to date and, if its last claim has a higher
// epoch, records the new owner and pings it. It fails if the replica is in use or
// this host is the owner.
func (h *Host) syncReplica(ctx context.Context) (err error) {
	h.mu.Lock()
	r := h.replica
	if r.inUse || h.localOwner != nil {
		h.mu.Unlock()
		return fault.New(fault.Conflict, fault.NotRun, "the replica is in use")
	}
	r.inUse = true
	h.mu.Unlock()
	before := r.state.NextOffset
	err = h.readRecords(ctx, r, -1)
	h.mu.Lock()
	defer h.mu.Unlock()
	r.inUse = false
	if r.state.NextOffset > before {
		r.lastGrowth = h.clock.Now()
	}
	if c := r.state.Claim; c.Epoch > h.owner.epoch {
		h.setOwner(c.Epoch, c.Addr, h.assumedContact())
		h.background("ping", func() { h.sendPing(context.WithoutCancel(ctx), c.Addr) })
	}
	return err
}

// ownerProbeTimeout is how long a process that has not been in contact with any
// owner waits for the owner named in the records: several round trips.
const ownerProbeTimeout = 150 * time.Millisecond

// assumedContact returns the assumed time of the last contact with an owner that
// is known only from the records. After a power loss of all hosts, that owner no
// longer runs. A process that has not been in contact with any owner therefore
// waits for it only for ownerProbeTimeout instead of suspectAfter. The caller holds
// h.mu.
func (h *Host) assumedContact() time.Time {
	now := h.clock.Now()
	if h.ownerContacted {
		return now
	}
	return now.Add(ownerProbeTimeout - suspectAfter)
}

// readRecords applies records at least up to offset upTo, or up to the end of the
// topic if upTo is negative.
func (h *Host) readRecords(ctx context.Context, r *replica, upTo int64) error {
	if r.state.NextOffset == 0 {
		if err := h.readNewest(ctx, r); err != nil {
			return err
		}
	}
	for {
		rctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		page, err := h.store.Read(rctx, ports.ReadRequest{Topic: h.cfg.JobTopic, From: r.state.NextOffset})
		cancel()
		var gone *ports.GoneError
		if errors.As(err, &gone) {
			if err := h.readNewest(ctx, r); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		if r.state.NextOffset < page.First { // the next records have expired
			if err := h.readNewest(ctx, r); err != nil {
				return err
			}
			continue
		}
		for _, rec := range page.Records {
			h.applyRecord(r.state, rec)
			r.state.NextOffset = rec.Offset + 1
		}
		if len(page.Records) == 0 || r.state.NextOffset >= page.End || upTo >= 0 && r.state.NextOffset > upTo {
			return nil
		}
	}
}

// readNewest rebuilds the replica from the newest record of each key.
func (h *Host) readNewest(ctx context.Context, r *replica) error {
	all, end, err := ports.ReadNewest(ctx, h.store, h.cfg.JobTopic, newestTimeout)
	if err != nil {
		return err
	}
	s := sched.NewState()
	for _, rec := range all {
		h.applyRecord(s, rec)
	}
	s.NextOffset = end
	r.state = s
	return nil
}

// applyRecord applies a record to s. It logs and skips an invalid one.
func (h *Host) applyRecord(s *sched.State, rec ports.Record) {
	apply := func() (err error) {
		defer guard.Error(&err, h.log, "job record")
		return s.Apply(rec.Key, rec.Value)
	}
	if err := apply(); err != nil {
		h.log.Error(err, "ignoring invalid job record", "offset", rec.Offset)
	}
}

// claimLoop claims ownership when there is no live owner, and hands ownership over
// to a host with much more CPU; see morePowerfulPeer.
func (h *Host) claimLoop(ctx context.Context) {
	h.awaitHosts(ctx)
	clock.Sleep(ctx, startupPingWait)
	stalledChecks := 0
	for ctx.Err() == nil {
		if h.shouldClaimNow() {
			h.tryClaim(ctx)
		}
		stalledChecks = h.stopStalledOwner(stalledChecks)
		h.handOverToMorePowerful(ctx)
		clock.Sleep(ctx, claimCheckInterval)
	}
}

// shouldClaimNow reports whether this host should claim ownership now. It clears
// claimRequested.
func (h *Host) shouldClaimNow() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.localOwner != nil || h.leaving {
		return false
	}
	now := h.clock.Now()
	e := election{
		self: h.addr, cpuMillis: h.cfg.CPUMillis, now: now, ownerSilence: now.Sub(h.owner.lastContact), claimRequested: h.claimRequested,
		topicGrows: now.Sub(h.replica.lastGrowth) < 2*replicaSyncInterval+claimStagger,
	}
	if h.owner.addr == "" || h.owner.addr == h.addr {
		e.ownerSilence += suspectAfter - startupPingWait // no other host is known as the owner, so only startupPingWait has to pass
	}
	for _, p := range h.peerList() {
		if !p.lastContact.IsZero() {
			e.peers = append(e.peers, p)
		}
	}
	h.claimRequested = false
	return e.shouldClaim()
}

// errStalled is logged when the owner on this host is stalled.
var errStalled = errors.New("the owner has planned nothing for some time")

// minStalledChecks is the number of checks in a row that have to find the owner stalled:
// 0.5 s. A host that was suspended finds it so until the first plan after that.
const minStalledChecks = 10

// stopStalledOwner gives up ownership if the owner on this host is stalled, and returns
// the number of checks in a row that have found it so; the argument is the number before.
// The loops of the owner may never end, so this host claims nothing any more. Its peers
// learn of it from its pings.
func (h *Host) stopStalledOwner(checks int) int {
	h.mu.Lock()
	o := h.localOwner
	h.mu.Unlock()
	if o == nil || o.Stalled() == 0 {
		return 0
	}
	checks++
	if checks == minStalledChecks && o.Stop("stalled") {
		h.log.Error(errStalled, "the owner is stalled", "sinceMs", o.Stalled().Milliseconds())
	}
	return checks
}

// minOwnershipTime is the minimum time of ownership before a handover to a more
// powerful host. It lets hosts that start together find each other first.
const minOwnershipTime = 1500 * time.Millisecond

// handOverToMorePowerful hands ownership over to the host that morePowerfulPeer
// returns, if any.
func (h *Host) handOverToMorePowerful(ctx context.Context) {
	h.mu.Lock()
	now := h.clock.Now()
	if h.localOwner == nil || h.leaving || now.Sub(h.ownerSince) < minOwnershipTime {
		h.mu.Unlock()
		return
	}
	peers := h.peerList()
	h.mu.Unlock()
	if addr, ok := morePowerfulPeer(h.cfg.CPUMillis, peers, now); ok {
		h.transferOwnership(ctx, []string{addr}, "handing over to a more powerful host")
	}
}

// tryClaim brings the replica up to date and appends a claim. It starts the owner
// if this claim is the last one in the topic by then. Another host may have claimed a
// higher epoch, or the same one: the store then takes this claim for a repeat of the
// other and confirms it.
func (h *Host) tryClaim(ctx context.Context) {
	startedAt := h.clock.Now()
	h.mu.Lock()
	knownOwner := h.owner
	h.mu.Unlock()
	if err := h.syncReplica(ctx); err != nil {
		h.log.V(1).Info("no claim, failed to sync the replica", "err", err.Error())
		return
	}
	h.mu.Lock()
	if h.owner.epoch != knownOwner.epoch && h.owner.addr != h.addr || h.replica.inUse {
		h.mu.Unlock() // the records hold a claim of another host, or another sync has started
		return
	}
	r := h.replica
	r.inUse = true
	h.mu.Unlock()
	c := sched.Claim{Epoch: nextEpoch(max(r.state.Claim.Epoch, knownOwner.epoch)), Host: h.cfg.Host, Addr: h.addr}
	offset, err := h.appendClaim(ctx, c)
	if err == nil {
		err = h.readRecords(ctx, r, offset)
	}
	if err == nil && r.state.Claim != c {
		err = fault.New(fault.Conflict, fault.NotRun, "host %q has claimed epoch %d", r.state.Claim.Host, r.state.Claim.Epoch)
	}
	h.log.Info("claim", "epoch", c.Epoch, "offset", offset, "silentMs", startedAt.Sub(knownOwner.lastContact).Milliseconds(),
		"tookMs", h.clock.Now().Sub(startedAt).Milliseconds(), "ok", err == nil)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil || h.leaving {
		h.replica = newReplica()
		return
	}
	h.startOwner(c, r.state)
}

// appendClaim appends the claim record, at most claimTries times until the store
// confirms or refuses it.
func (h *Host) appendClaim(ctx context.Context, c sched.Claim) (offset int64, err error) {
	key, value, err := sched.ClaimRecord(c)
	if err != nil {
		return 0, err
	}
	req := ports.AppendRequest{Topic: h.cfg.JobTopic, Writer: lead.JobTopicWriter, Epoch: c.Epoch, Records: []ports.Record{{Key: key, Value: value}}}
	for try := 0; try < claimTries && ctx.Err() == nil; try++ {
		actx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		offset, err = h.store.Append(actx, req)
		cancel()
		if err == nil || definitive(err) {
			return offset, err
		}
		clock.Sleep(ctx, claimRetryPause)
	}
	return offset, err
}

// startOwner starts the owner from s and announces it to the peers. When ownership
// ends, it resets the replica. The caller holds h.mu.
func (h *Host) startOwner(c sched.Claim, s *sched.State) {
	o := lead.Start(lead.Config{
		Claim: c, JobTopic: h.cfg.JobTopic, State: s, Store: h.store, Workers: h.cfg.Workers, AdviceClient: h.adviceHosts,
		WorkerTopic: h.cfg.WorkerTopic, ParseWorker: h.cfg.ParseWorker, WorkerID: h.cfg.WorkerID, Policy: h.config.policy(),
		Clock: h.clock, Logger: h.cfg.Logger, Metrics: h.leadMetrics, RetentionMs: h.cfg.RetentionMs, MaxLeaseMs: h.cfg.MaxLeaseMs,
		RecordBytes: h.cfg.RecordBytes, AppendBytes: h.cfg.AppendBytes, Interference: h.cfg.Interference,
	})
	h.localOwner, h.claimRequested = o, false
	h.ownerSince = h.clock.Now()
	h.setOwner(c.Epoch, h.addr, h.ownerSince)
	h.ownerContacted = true
	h.background("announcement", h.announce)
	go func() {
		<-o.Done()
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.localOwner == o {
			h.localOwner = nil
			h.replica = newReplica()
			h.owner.lastContact = h.clock.Now() // gives the new owner time to make contact
			h.wakeOwnerWaiters()
		}
	}()
}

// announce pings all peers, which makes the new owner known to them.
func (h *Host) announce() {
	h.mu.Lock()
	var addrs []string
	for addr := range h.peers {
		addrs = append(addrs, addr)
	}
	h.mu.Unlock()
	for _, addr := range addrs {
		h.background("ping", func() { h.sendPing(context.Background(), addr) })
	}
}

// leaveAndHandOver deletes this host's registration and hands ownership over.
func (h *Host) leaveAndHandOver(ctx context.Context) {
	_ = h.writeHostEntry(ctx, nil) // on failure, peers detect the stop by missing pings
	h.transferOwnership(ctx, h.handoverCandidates(), "the process is shutting down")
}

// handoverCandidates returns the peers that can take over ownership, the most
// powerful first.
func (h *Host) handoverCandidates() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return handoverCandidates(h.peerList(), h.clock.Now())
}

// transferOwnership stops the owner on this host, then asks the given hosts one
// after another to claim ownership, until one answers.
func (h *Host) transferOwnership(ctx context.Context, addrs []string, reason string) {
	h.mu.Lock()
	o := h.localOwner
	h.mu.Unlock()
	if o == nil {
		return
	}
	o.Stop(reason)
	select {
	case <-o.Done():
	case <-ctx.Done():
		return
	}
	for _, addr := range addrs {
		msg := h.newPing()
		msg.Claim, msg.Owner, msg.OwnerAgeMs = true, "", time.Hour.Milliseconds() // no owner, no recent contact with one
		rctx, cancel := context.WithTimeout(ctx, pingTimeout)
		_, err := frame.Call(rctx, h.pool, addr, pingMethod, msg)
		cancel()
		if err == nil {
			h.log.Info("handed over", "to", addr)
			return
		}
	}
}
