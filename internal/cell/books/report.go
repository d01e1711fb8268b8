package books

import "lagooncourse/internal/cell/jobs"

// Report describes the end of an attempt to its home group.
type Report struct {
	Attempt    Attempt
	Home       string
	Worker     string
	How        jobs.How
	Result     string
	Checkpoint string
}

// Seen is one attempt in a worker's inventory.
type Seen struct {
	Attempt    Attempt
	Home       string
	Kind       jobs.Kind
	Size       jobs.Size
	How        jobs.How // empty while the attempt runs
	Result     string
	Checkpoint string
}

// Inventory is a worker's answer to a lease renewal.
type Inventory struct {
	Renewal // the renewal that it answers
	Boot    int64
	Seen    []Seen // attempts that run or have ended
}

// Inventory reconciles the worker's allocations with its inventory. It returns
// the ends that were not known before.
func (b *Books) Inventory(worker string, inv Inventory) []Report {
	w := b.workers[worker]
	if w == nil {
		return nil
	}
	w.boot = inv.Boot
	for _, attempt := range inv.Forget {
		if a := w.allocations[attempt]; a != nil && a.recorded {
			b.remove(w, a)
		}
	}
	var reports []Report
	reported := make(map[Attempt]bool, len(inv.Seen))
	for _, s := range inv.Seen {
		reported[s.Attempt] = true
		if r, ok := b.reconcileReported(w, s); ok {
			reports = append(reports, r)
		}
	}
	for attempt, a := range w.allocations {
		if !reported[attempt] {
			if r, ok := b.reconcileMissing(w, a, inv.Floor); ok {
				reports = append(reports, r)
			}
		}
	}
	w.ready, w.lost = true, false
	return reports
}

// reconcileReported updates the allocation of an attempt that the worker
// reports. It returns true if the attempt's end was not known before.
func (b *Books) reconcileReported(w *workerState, s Seen) (Report, bool) {
	a := w.allocations[s.Attempt]
	if a == nil {
		a = &allocation{attempt: s.Attempt, home: s.Home, size: s.Size, kind: s.Kind}
		b.allocate(w, a)
	}
	if s.How == "" {
		if a.phase != ended {
			a.phase, a.inFlight = running, false
		}
		return Report{}, false
	}
	if a.phase == ended {
		return Report{}, false
	}
	end := Report{
		Attempt: s.Attempt, Home: a.home, Worker: w.ID, How: s.How, Result: s.Result, Checkpoint: s.Checkpoint,
	}
	b.finish(w, a, end)
	return end, true
}

// reconcileMissing updates an allocation that the worker does not report. It
// returns true if this shows that the attempt has ended.
func (b *Books) reconcileMissing(w *workerState, a *allocation, floor uint64) (Report, bool) {
	how := jobs.EndLost
	switch a.phase {
	case reserved, ended:
		return Report{}, false
	case running:
		// A start that was confirmed while the renewal was in flight may be
		// missing from the inventory.
		if a.seq >= floor {
			return Report{}, false
		}
	case sending:
		if a.inFlight || a.seq >= floor {
			return Report{}, false
		}
		// A worker that has not restarted would report the attempt if it had
		// started. After a restart the attempt may have run.
		if a.boot == w.boot {
			how = jobs.EndAbsent
		}
	}
	end := Report{Attempt: a.attempt, Home: a.home, Worker: w.ID, How: how}
	b.finish(w, a, end)
	b.deny(a.attempt)
	return end, true
}

// LoseWorker ends every attempt on a worker whose lease is certain to have
// expired. The worker is not schedulable until its next inventory.
func (b *Books) LoseWorker(worker string) []Report {
	w := b.workers[worker]
	if w == nil {
		return nil
	}
	w.ready, w.lost = false, true
	var reports []Report
	for attempt, a := range w.allocations {
		switch a.phase {
		case reserved:
			b.remove(w, a)
			b.deny(attempt)
		case sending, running:
			end := Report{Attempt: attempt, Home: a.home, Worker: worker, How: jobs.EndLost}
			b.finish(w, a, end)
			b.deny(attempt)
			reports = append(reports, end)
		}
	}
	return reports
}

// Unready makes a worker unschedulable until its next inventory, without ending
// its attempts.
func (b *Books) Unready(worker string) {
	if w := b.workers[worker]; w != nil {
		w.ready = false
	}
}

// Forget records that the attempt's home group has recorded its end. The attempt
// is removed after a renewal has listed it to the worker.
func (b *Books) Forget(attempt Attempt) {
	if _, a := b.find(attempt); a != nil && a.phase == ended {
		a.recorded = true
	}
}

// Place is the state of an attempt as returned by Where.
type Place string

// Values of Place.
const (
	There  Place = "there"  // the attempt runs
	Ended  Place = "ended"  // the attempt has ended; the report has the details
	Absent Place = "absent" // the attempt has not started and never will
	Unsure Place = "unsure" // not known yet; query again later
)

// Query asks for the state of an attempt that was placed on a worker.
type Query struct {
	Attempt Attempt
	Worker  string
	Boot    int64 // the worker's boot id when it was selected
}

// Where answers a query. It denies an attempt that it reports as absent or lost,
// so that a late start request cannot make the answer wrong.
//
// The argument leasesExpired states that every lease granted by previous owners is
// certain to have expired. A worker that is not in the host list then runs no
// attempt of the group.
func (b *Books) Where(q Query, leasesExpired bool) (Place, Report) {
	if w, a := b.find(q.Attempt); a != nil {
		switch a.phase {
		case ended:
			return Ended, a.end
		case running:
			return There, Report{}
		case sending:
			return Unsure, Report{}
		}
		b.remove(w, a)
		b.deny(q.Attempt)
		return Absent, Report{}
	}
	w := b.workers[q.Worker]
	switch {
	case w != nil && w.ready && w.boot == q.Boot:
		b.deny(q.Attempt)
		return Absent, Report{}
	case w != nil && (w.ready || w.lost), w == nil && leasesExpired:
		// The worker has restarted, its lease has expired, or it is not listed and
		// all leases have expired.
		b.deny(q.Attempt)
		return Ended, Report{Attempt: q.Attempt, Worker: q.Worker, How: jobs.EndLost}
	}
	return Unsure, Report{}
}

// Reports returns the ends that the home groups have not recorded yet, by home
// group.
func (b *Books) Reports() map[string][]Report {
	byHome := map[string][]Report{}
	for _, id := range b.workerIDs {
		for _, a := range b.workers[id].allocations {
			if a.phase == ended && !a.recorded {
				byHome[a.home] = append(byHome[a.home], a.end)
			}
		}
	}
	return byHome
}

// RunningAttempt is a running attempt with its allocation.
type RunningAttempt struct {
	Attempt Attempt
	Home    string
	Worker  string
	Kind    jobs.Kind
	Size    jobs.Size
}

// Running returns the attempts that are confirmed to run on the worker.
func (b *Books) Running(worker string) []RunningAttempt {
	w := b.workers[worker]
	if w == nil {
		return nil
	}
	var list []RunningAttempt
	for attempt, a := range w.allocations {
		if a.phase == running {
			list = append(list, RunningAttempt{Attempt: attempt, Home: a.home, Worker: worker, Kind: a.kind, Size: a.size})
		}
	}
	return list
}

// WorkerOf returns the worker to which the attempt is allocated.
func (b *Books) WorkerOf(attempt Attempt) (string, bool) {
	id, ok := b.workerOf[attempt]
	return id, ok
}
