// Package books keeps the account of one group's workers: what each has, and
// which attempts of which tasks hold a part of it.
//
// An attempt is booked before anything is sent to its worker and stays booked
// until the worker says that it is not there, or until the worker's lease has
// run out. In between, every uncertainty counts as "may be running". The sum
// of what is booked on a worker never exceeds what the worker has, so whatever
// the truth turns out to be, the host is not overcommitted.
//
// The books are not durable. A successor fills them from the inventories of
// the workers, after it has raised their fencing token, and books nothing on a
// worker whose inventory it has not seen.
//
// # Usage
//
//	b := books.New()
//	b.SetWorkers(list)
//	site, ok := b.Reserve(books.Ask{Attempt: a, Size: size, UntilMs: nowMs + 2000}, nowMs)
//	order, ok := b.Begin(a)             // before the start request is sent
//	reports := b.Inventory(worker, inventory) // after every renewal
package books

import (
	"sort"

	"lagooncourse/internal/cell/jobs"
)

// Attempt names one try to run one task.
type Attempt struct {
	Task   string // a jobs.Ref as a string
	Number int
}

// Worker describes a worker to the books.
type Worker struct {
	ID      string
	Rack    string
	Cap     jobs.Size
	Leaving bool
}

// phase is how far an attempt has come.
type phase uint8

const (
	reserved phase = iota // nothing has been sent
	sending               // the start request has been sent and not answered
	running               // the worker has confirmed it
	ended                 // the worker has reported its end, not forgotten yet
)

// entry is one booked attempt.
type entry struct {
	attempt Attempt
	home    string // group that owns the job
	size    jobs.Size
	kind    jobs.Kind
	phase   phase
	untilMs int64  // a reservation lapses at this instant
	seq     uint64 // of the start request
	boot    int64  // of the worker, when the room was reserved
	open    bool   // the start request may still be under way
	end     Report // once ended
	noted   bool   // the end has been recorded at home
}

type account struct {
	Worker
	used     jobs.Size
	ready    bool    // its inventory has been seen
	lost     bool    // its lease has run out since the books were opened
	boot     int64   // from its newest inventory
	mode     Mode    // what quarantine admits
	savedFor Attempt // the only attempt for which room is reserved until savedMs
	savedMs  int64
	attempts map[Attempt]*entry
}

// Books is the account of one group. It is not safe for concurrent use.
type Books struct {
	workers map[string]*account
	order   []string // worker ids, sorted
	where   map[Attempt]string
	denied  map[Attempt]bool // attempts that were reported absent and may never start
	deniedQ []Attempt
	nextSeq uint64
}

// New returns books without workers.
func New() *Books {
	return &Books{
		workers: map[string]*account{}, where: map[Attempt]string{}, denied: map[Attempt]bool{}, nextSeq: 1,
	}
}

// SetWorkers takes the host list's view. A worker that is no longer listed
// keeps its account until nothing is booked on it, because the list may be
// wrong.
func (b *Books) SetWorkers(list []Worker) {
	listed := map[string]bool{}
	for _, w := range list {
		listed[w.ID] = true
		a := b.workers[w.ID]
		if a == nil {
			a = &account{attempts: map[Attempt]*entry{}}
			b.workers[w.ID] = a
		}
		a.Worker = w
	}
	for id, a := range b.workers {
		if listed[id] {
			continue
		}
		a.Leaving = true
		if len(a.attempts) == 0 {
			delete(b.workers, id)
		}
	}
	b.order = b.order[:0]
	for id := range b.workers {
		b.order = append(b.order, id)
	}
	sort.Strings(b.order)
}

// Free returns the sum of what open workers have left, and the most that one
// of them has left in each dimension.
func (b *Books) Free() (sum, largest jobs.Size) {
	for _, id := range b.order {
		if a := b.workers[id]; a.open() {
			sum, largest = sum.Plus(a.room()), largest.Most(a.room())
		}
	}
	return sum, largest
}

// Capacity returns the sum of what all workers that are not leaving have.
func (b *Books) Capacity() jobs.Size {
	var sum jobs.Size
	for _, a := range b.workers {
		if !a.Leaving {
			sum = sum.Plus(a.Cap)
		}
	}
	return sum
}

// Workers returns the ids of all workers, sorted.
func (b *Books) Workers() []string { return append([]string(nil), b.order...) }

// Ready reports whether the worker's inventory has been seen.
func (b *Books) Ready(worker string) bool {
	a := b.workers[worker]
	return a != nil && a.ready
}

// Mode says what a worker may be given.
type Mode uint8

// The modes.
const (
	Open   Mode = iota // anything
	Closed             // nothing
	Probe              // one attempt at a time that may run again
)

// SetMode changes what a worker may be given.
func (b *Books) SetMode(worker string, m Mode) {
	if a := b.workers[worker]; a != nil {
		a.mode = m
	}
}

// Ask is a request to reserve room for one attempt.
type Ask struct {
	Attempt Attempt
	Home    string
	Kind    jobs.Kind
	Size    jobs.Size
	UntilMs int64    // the reservation lapses then, unless the attempt has begun
	Avoid   []string // workers that are not wanted
	Again   bool     // the task may run again, and so serve as a probe
}

// Slot is reserved room on a worker.
type Slot struct {
	Worker string
	Boot   int64
}

// Reserve books room on the worker that the policy prefers and returns it. A
// repeated ask for an attempt returns the same worker. Nothing is booked for
// an attempt that was denied.
func (b *Books) Reserve(ask Ask, nowMs int64) (slot Slot, ok bool) {
	if a, e := b.find(ask.Attempt); e != nil {
		e.untilMs = max(e.untilMs, ask.UntilMs)
		return Slot{Worker: a.ID, Boot: a.boot}, e.phase == reserved
	}
	if b.denied[ask.Attempt] {
		return Slot{}, false
	}
	a := b.choose(ask, nowMs)
	if a == nil {
		return Slot{}, false
	}
	b.book(a, &entry{
		attempt: ask.Attempt, home: ask.Home, size: ask.Size, kind: ask.Kind,
		phase: reserved, untilMs: ask.UntilMs, boot: a.boot,
	})
	return Slot{Worker: a.ID, Boot: a.boot}, true
}

// choose returns the best open worker with room, or nil. Services go where
// most is free, so that they spread; everything else goes where least is left
// over, so that large holes stay whole.
func (b *Books) choose(ask Ask, nowMs int64) *account {
	var best *account
	var bestScore float64
	for _, id := range b.order {
		a := b.workers[id]
		if !a.open() || !a.admits(ask) || !ask.Size.Fits(a.room()) ||
			contains(ask.Avoid, id) || a.savedFromOthers(ask.Attempt, nowMs) {
			continue
		}
		left := a.room().Minus(ask.Size)
		score := left.Dominant(a.Cap)
		if ask.Size.Accel == 0 && a.Cap.Accel > 0 {
			score += scarceDevices
		}
		if ask.Kind == jobs.Service {
			score = -score
		}
		if best == nil || score < bestScore {
			best, bestScore = a, score
		}
	}
	return best
}

// scarceDevices is added to the score of a worker with accelerators for work
// that needs none. It outweighs every fill level.
const scarceDevices = 1.0

// admits reports whether the worker's mode lets the ask in.
func (a *account) admits(ask Ask) bool {
	if a.mode != Probe {
		return true
	}
	return ask.Again && a.used.IsZero()
}

// savedFromOthers reports whether the worker's room is kept for an attempt
// other than at.
func (a *account) savedFromOthers(at Attempt, nowMs int64) bool {
	return nowMs < a.savedMs && a.savedFor != at
}

func (a *account) open() bool      { return a.ready && a.mode != Closed && !a.Leaving }
func (a *account) room() jobs.Size { return a.Cap.Minus(a.used) }

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

func (b *Books) book(a *account, e *entry) {
	a.attempts[e.attempt] = e
	a.used = a.used.Plus(e.size)
	b.where[e.attempt] = a.ID
}

// drop removes an attempt altogether.
func (b *Books) drop(a *account, e *entry) {
	if e.phase != ended {
		a.used = a.used.Minus(e.size)
	}
	delete(a.attempts, e.attempt)
	delete(b.where, e.attempt)
}

// finish frees the attempt's room and keeps its end until it is forgotten.
func (b *Books) finish(a *account, e *entry, end Report) {
	if e.phase != ended {
		a.used = a.used.Minus(e.size)
	}
	e.phase, e.end, e.open = ended, end, false
}

func (b *Books) find(at Attempt) (*account, *entry) {
	id, ok := b.where[at]
	if !ok {
		return nil, nil
	}
	a := b.workers[id]
	return a, a.attempts[at]
}

// Order is what a start request has to carry for the worker to accept it.
type Order struct {
	Worker string
	Seq    uint64 // within the epoch
	Boot   int64  // of the worker; one that has restarted since refuses the request
}

// Begin marks a reserved attempt as being sent. It fails if the reservation
// has lapsed or was denied, or if the worker has been closed or has restarted
// since; the attempt then never starts.
func (b *Books) Begin(at Attempt) (o Order, ok bool) {
	a, e := b.find(at)
	if e == nil || e.phase != reserved {
		return Order{}, false
	}
	if !a.open() || a.boot != e.boot {
		b.drop(a, e)
		b.deny(at)
		return Order{}, false
	}
	e.phase, e.seq, e.open = sending, b.nextSeq, true
	b.nextSeq++
	return Order{Worker: a.ID, Seq: e.seq, Boot: e.boot}, true
}

// Started notes that the worker has confirmed the start.
func (b *Books) Started(at Attempt) {
	if _, e := b.find(at); e != nil && e.phase == sending {
		e.phase, e.open = running, false
	}
}

// Refused notes that the worker has refused the start. The attempt never starts.
func (b *Books) Refused(at Attempt) {
	if a, e := b.find(at); e != nil && e.phase == sending {
		b.drop(a, e)
		b.deny(at)
	}
}

// Unsure notes that the start request got no answer. Its room stays booked
// until an inventory behind the floor settles it.
func (b *Books) Unsure(at Attempt) {
	if _, e := b.find(at); e != nil && e.phase == sending {
		e.open = false
	}
}

// Renewal is what the next renewal of a worker has to carry.
type Renewal struct {
	// Floor is the sequence number below which no start request can still be
	// under way. It makes the worker refuse older starts, so the inventory in
	// its answer is the last word on them.
	Floor uint64
	// Forget lists ended attempts that the worker need not report any more.
	// Only those below the floor are listed: as long as a worker reports an
	// attempt, a repeated start request cannot run it again.
	Forget []Attempt
}

// Renewal returns what the next renewal of the worker has to carry.
func (b *Books) Renewal(worker string) Renewal {
	r := Renewal{Floor: b.nextSeq}
	a := b.workers[worker]
	if a == nil {
		return r
	}
	for _, e := range a.attempts {
		if e.open {
			r.Floor = min(r.Floor, e.seq)
		}
	}
	for at, e := range a.attempts {
		if e.noted && e.seq < r.Floor {
			r.Forget = append(r.Forget, at)
		}
	}
	return r
}

// Cancel drops the reservation of an attempt that will not be started.
func (b *Books) Cancel(at Attempt) {
	if a, e := b.find(at); e != nil && e.phase == reserved {
		b.drop(a, e)
	}
}

// Lapse drops the reservations whose time is over and returns how many.
func (b *Books) Lapse(nowMs int64) int {
	n := 0
	for at, id := range b.where {
		a := b.workers[id]
		if e := a.attempts[at]; e.phase == reserved && e.untilMs <= nowMs {
			b.drop(a, e)
			n++
		}
	}
	return n
}

// maxDenied bounds the remembered denials. A denied attempt can only be asked
// for by a home owner of an older epoch, whose requests are seconds old at
// most.
const maxDenied = 65536

// deny remembers that the attempt must never start.
func (b *Books) deny(at Attempt) {
	if b.denied[at] {
		return
	}
	b.denied[at] = true
	b.deniedQ = append(b.deniedQ, at)
	if len(b.deniedQ) > maxDenied {
		delete(b.denied, b.deniedQ[0])
		b.deniedQ = b.deniedQ[1:]
	}
}
