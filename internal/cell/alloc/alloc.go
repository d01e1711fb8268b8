// Package alloc tracks the capacity of one group's workers and the task attempts
// to which it is allocated.
//
// Capacity is allocated to an attempt before its start request is sent. It stays
// allocated until the worker reports that the attempt has ended or is absent, or
// until the worker's lease has expired. Until then an attempt with an unknown
// state counts as running. Reservations never allocate more than a worker's
// capacity, so the worker is not overcommitted even if all attempts with an
// unknown state run.
//
// The allocations are held in memory only. After a takeover the new owner of the
// group first raises the fencing token of each worker, then rebuilds the
// allocations from the worker's inventory. It reserves nothing on a worker
// before it has received that inventory.
//
// The home group of an attempt is the group that owns the job; it may differ
// from the group of the worker.
//
// # Usage
//
//	al := alloc.New()
//	al.SetWorkers(list)
//	slot, ok := al.Reserve(alloc.ReserveRequest{Attempt: a, Size: size, UntilMs: nowMs + 2000}, nowMs)
//	token, ok := al.Begin(a)                        // before the start request is sent
//	reports := al.ApplyInventory(worker, inventory) // after each lease renewal
package alloc

import (
	"sort"

	"lagooncourse/internal/cell/jobs"
)

// Attempt identifies one attempt to run a task.
type Attempt struct {
	Task   string // jobs.Ref in its string form
	Number int    // counted from 1
}

// Worker describes a worker and its capacity.
type Worker struct {
	ID       string
	Rack     string
	Capacity jobs.Size
	Draining bool // takes no new attempts
}

// phase is the progress of an allocation, from the reservation to the end of its
// attempt.
type phase uint8

const (
	reserved phase = iota // no start request has been sent
	sending               // the start request may have been sent and is not confirmed
	running               // the worker has confirmed that the attempt runs
	ended                 // the attempt has ended; kept until the worker stops reporting it
)

// allocation is the capacity of one worker that is allocated to one attempt.
type allocation struct {
	attempt  Attempt
	home     string // home group
	size     jobs.Size
	kind     jobs.Kind
	phase    phase
	untilMs  int64  // expiry of the reservation
	seq      uint64 // sequence number of the start request
	boot     int64  // the worker's boot id at the time of the reservation
	inFlight bool   // the start request has been neither answered nor given up
	end      Report // set in phase ended
	recorded bool   // the home group has recorded the end
}

// workerState is a worker with its allocations.
type workerState struct {
	Worker
	used        jobs.Size
	ready       bool    // set by an inventory, cleared by MarkWorkerLost and MarkNotReady
	lost        bool    // set by MarkWorkerLost, cleared by an inventory
	boot        int64   // boot id in the latest inventory
	mode        Mode    // restriction by quarantine
	heldFor     Attempt // attempt for which free capacity is held until heldUntilMs
	heldUntilMs int64
	allocations map[Attempt]*allocation
}

// Allocations holds the allocations of one group's workers. It is not safe for
// concurrent use.
type Allocations struct {
	workers     map[string]*workerState
	workerIDs   []string           // worker ids, sorted
	workerOf    map[Attempt]string // worker id of each allocation
	denied      map[Attempt]bool   // attempts that must never start
	deniedOrder []Attempt          // keys of denied, oldest first
	nextSeq     uint64             // sequence number of the next start request
}

// New returns Allocations without workers.
func New() *Allocations {
	return &Allocations{
		workers: map[string]*workerState{}, workerOf: map[Attempt]string{}, denied: map[Attempt]bool{}, nextSeq: 1,
	}
}

// SetWorkers updates the workers from the host list. The list may be wrong, so a
// worker that is no longer listed is marked as draining and removed only when it
// is known to run no attempt: it has no allocations, and its newest inventory is
// known or its lease has expired.
func (al *Allocations) SetWorkers(list []Worker) {
	listed := map[string]bool{}
	for _, worker := range list {
		listed[worker.ID] = true
		w := al.workers[worker.ID]
		if w == nil {
			w = &workerState{allocations: map[Attempt]*allocation{}}
			al.workers[worker.ID] = w
		}
		w.Worker = worker
	}
	for id, w := range al.workers {
		if listed[id] {
			continue
		}
		w.Draining = true
		if len(w.allocations) == 0 && (w.ready || w.lost) {
			delete(al.workers, id)
		}
	}
	al.workerIDs = al.workerIDs[:0]
	for id := range al.workers {
		al.workerIDs = append(al.workerIDs, id)
	}
	sort.Strings(al.workerIDs)
}

// Free returns the total free capacity of the schedulable workers and, for each
// dimension, the largest free capacity of a single one.
func (al *Allocations) Free() (sum, largest jobs.Size) {
	for _, id := range al.workerIDs {
		if w := al.workers[id]; w.schedulable() {
			sum, largest = sum.Plus(w.free()), largest.Max(w.free())
		}
	}
	return sum, largest
}

// Capacity returns the total capacity of all workers that are not draining.
func (al *Allocations) Capacity() jobs.Size {
	var sum jobs.Size
	for _, w := range al.workers {
		if !w.Draining {
			sum = sum.Plus(w.Capacity)
		}
	}
	return sum
}

// Workers returns the ids of all workers, sorted.
func (al *Allocations) Workers() []string { return append([]string(nil), al.workerIDs...) }

// Ready reports whether the worker has reported an inventory and has not been
// marked lost or not ready since.
func (al *Allocations) Ready(worker string) bool {
	w := al.workers[worker]
	return w != nil && w.ready
}

// Mode restricts which attempts may be placed on a worker.
type Mode uint8

// Values of Mode.
const (
	ModeOpen   Mode = iota // all attempts
	ModeClosed             // no attempts
	ModeProbe              // one attempt of an idempotent task at a time
)

// SetMode sets the mode of the worker.
func (al *Allocations) SetMode(worker string, m Mode) {
	if w := al.workers[worker]; w != nil {
		w.mode = m
	}
}

// ReserveRequest is a request to reserve capacity for one attempt.
type ReserveRequest struct {
	Attempt    Attempt
	Home       string
	Kind       jobs.Kind
	Size       jobs.Size
	UntilMs    int64    // expiry of the reservation
	Exclude    []string // ids of workers that must not be chosen
	Idempotent bool     // the task is idempotent, so the attempt can probe a quarantined worker
}

// Slot identifies the worker on which capacity is reserved.
type Slot struct {
	Worker string
	Boot   int64 // the worker's boot id when Reserve returned
}

// Reserve reserves capacity for an attempt; see choose for the selection of the
// worker. A repeated request for a reserved attempt extends the reservation and
// returns the same worker. The result ok is false if Begin was called for the
// attempt, if the attempt is denied, or if no worker fits.
func (al *Allocations) Reserve(req ReserveRequest, nowMs int64) (slot Slot, ok bool) {
	if w, a := al.find(req.Attempt); a != nil {
		a.untilMs = max(a.untilMs, req.UntilMs)
		return Slot{Worker: w.ID, Boot: w.boot}, a.phase == reserved
	}
	if al.denied[req.Attempt] {
		return Slot{}, false
	}
	w := al.choose(req, nowMs)
	if w == nil {
		return Slot{}, false
	}
	al.allocate(w, &allocation{
		attempt: req.Attempt, home: req.Home, size: req.Size, kind: req.Kind,
		phase: reserved, untilMs: req.UntilMs, boot: w.boot,
	})
	return Slot{Worker: w.ID, Boot: w.boot}, true
}

// choose returns the best schedulable worker with enough free capacity, or nil.
// It spreads services: they get the worker with the most capacity left. All
// other kinds are packed onto the worker with the least capacity left, which
// avoids fragmentation.
func (al *Allocations) choose(req ReserveRequest, nowMs int64) *workerState {
	var best *workerState
	var bestScore float64
	for _, id := range al.workerIDs {
		w := al.workers[id]
		if !w.schedulable() || !w.modeAllows(req) || !req.Size.FitsIn(w.free()) ||
			contains(req.Exclude, id) || w.heldForOther(req.Attempt, nowMs) {
			continue
		}
		remaining := w.free().Minus(req.Size)
		score := remaining.DominantShare(w.Capacity)
		if req.Size.Accel == 0 && w.Capacity.Accel > 0 {
			score += acceleratorPenalty
		}
		if req.Kind == jobs.Service {
			score = -score
		}
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// acceleratorPenalty is added to the score of a worker with accelerators if the
// request needs none. Scores without it lie between 0 and 1, so it outweighs any
// difference in free capacity. The score of a service is negated afterwards, so
// services that need no accelerators prefer workers with accelerators.
const acceleratorPenalty = 1.0

// modeAllows reports whether the worker's mode, ModeOpen or ModeProbe, permits the
// request. ModeClosed is checked by schedulable.
func (w *workerState) modeAllows(req ReserveRequest) bool {
	if w.mode != ModeProbe {
		return true
	}
	return req.Idempotent && w.used.IsZero()
}

// heldForOther reports whether the worker's free capacity is held for another
// attempt.
func (w *workerState) heldForOther(attempt Attempt, nowMs int64) bool {
	return nowMs < w.heldUntilMs && w.heldFor != attempt
}

func (w *workerState) schedulable() bool { return w.ready && w.mode != ModeClosed && !w.Draining }
func (w *workerState) free() jobs.Size   { return w.Capacity.Minus(w.used) }

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

// allocate adds a to the worker's allocations.
func (al *Allocations) allocate(w *workerState, a *allocation) {
	w.allocations[a.attempt] = a
	w.used = w.used.Plus(a.size)
	al.workerOf[a.attempt] = w.ID
}

// remove deletes the allocation and frees its capacity.
func (al *Allocations) remove(w *workerState, a *allocation) {
	if a.phase != ended {
		w.used = w.used.Minus(a.size)
	}
	delete(w.allocations, a.attempt)
	delete(al.workerOf, a.attempt)
}

// finish frees the capacity of an attempt that has ended. The allocation keeps
// the end until the home group has recorded it (see MarkEndRecorded) and the
// worker has answered a renewal that lists the attempt as recorded.
func (al *Allocations) finish(w *workerState, a *allocation, end Report) {
	if a.phase != ended {
		w.used = w.used.Minus(a.size)
	}
	a.phase, a.end, a.inFlight = ended, end, false
}

// find returns the worker and the allocation of an attempt, or nil, nil.
func (al *Allocations) find(attempt Attempt) (*workerState, *allocation) {
	id, ok := al.workerOf[attempt]
	if !ok {
		return nil, nil
	}
	w := al.workers[id]
	return w, w.allocations[attempt]
}

// StartToken holds the fields of a start request that the worker checks.
type StartToken struct {
	Worker string
	Seq    uint64 // sequence number within the epoch
	Boot   int64  // expected boot id; the worker refuses the request if it has restarted
}

// Begin returns the fields of the start request of a reserved attempt. Call it
// before the request is sent. It fails if the attempt has no reservation, for
// example because ExpireReservations has removed it. It also fails if the worker is
// no longer schedulable or has restarted; the attempt is then denied.
func (al *Allocations) Begin(attempt Attempt) (token StartToken, ok bool) {
	w, a := al.find(attempt)
	if a == nil || a.phase != reserved {
		return StartToken{}, false
	}
	if !w.schedulable() || w.boot != a.boot {
		al.remove(w, a)
		al.deny(attempt)
		return StartToken{}, false
	}
	a.phase, a.seq, a.inFlight = sending, al.nextSeq, true
	al.nextSeq++
	return StartToken{Worker: w.ID, Seq: a.seq, Boot: a.boot}, true
}

// StartConfirmed records that the worker has confirmed the start.
func (al *Allocations) StartConfirmed(attempt Attempt) {
	if _, a := al.find(attempt); a != nil && a.phase == sending {
		a.phase, a.inFlight = running, false
	}
}

// StartRefused records that the worker has refused the start. The attempt is denied.
func (al *Allocations) StartRefused(attempt Attempt) {
	if w, a := al.find(attempt); a != nil && a.phase == sending {
		al.remove(w, a)
		al.deny(attempt)
	}
}

// StartUnconfirmed records that the start request got no answer. The attempt's
// capacity stays allocated until an inventory reports the attempt, or omits it and
// has a MinSeq above the request's sequence number.
func (al *Allocations) StartUnconfirmed(attempt Attempt) {
	if _, a := al.find(attempt); a != nil && a.phase == sending {
		a.inFlight = false
	}
}

// Renewal holds the fields of a lease renewal that is sent to a worker.
type Renewal struct {
	// MinSeq is the lowest sequence number that the worker still accepts. Start
	// requests with lower ones have been answered or given up. The worker refuses
	// them from then on, so the inventory in its answer is final for them.
	MinSeq uint64
	// Recorded lists ended attempts that the worker can stop reporting. Only
	// attempts whose start request is below MinSeq are listed. A duplicate of that
	// request has no effect: the worker ignores it while it reports the attempt,
	// and refuses it afterwards.
	Recorded []Attempt
}

// Renewal returns the fields of the next lease renewal of the worker.
func (al *Allocations) Renewal(worker string) Renewal {
	r := Renewal{MinSeq: al.nextSeq}
	w := al.workers[worker]
	if w == nil {
		return r
	}
	for _, a := range w.allocations {
		if a.inFlight {
			r.MinSeq = min(r.MinSeq, a.seq)
		}
	}
	for attempt, a := range w.allocations {
		if a.recorded && a.seq < r.MinSeq {
			r.Recorded = append(r.Recorded, attempt)
		}
	}
	return r
}

// Cancel removes the reservation of an attempt that will not be started.
func (al *Allocations) Cancel(attempt Attempt) {
	if w, a := al.find(attempt); a != nil && a.phase == reserved {
		al.remove(w, a)
	}
}

// ExpireReservations removes the expired reservations and returns their number.
func (al *Allocations) ExpireReservations(nowMs int64) int {
	n := 0
	for attempt, id := range al.workerOf {
		w := al.workers[id]
		if a := w.allocations[attempt]; a.phase == reserved && a.untilMs <= nowMs {
			al.remove(w, a)
			n++
		}
	}
	return n
}

// maxDenied limits the number of denied attempts that are kept. Only a previous
// owner of the home group can still ask for a denied attempt, and its requests are
// at most seconds old, so older entries are not needed.
const maxDenied = 65536

// deny marks the attempt as one that must never start.
func (al *Allocations) deny(attempt Attempt) {
	if al.denied[attempt] {
		return
	}
	al.denied[attempt] = true
	al.deniedOrder = append(al.deniedOrder, attempt)
	if len(al.deniedOrder) > maxDenied {
		delete(al.denied, al.deniedOrder[0])
		al.deniedOrder = al.deniedOrder[1:]
	}
}
