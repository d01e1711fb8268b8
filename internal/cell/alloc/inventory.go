package alloc

import "lagooncourse/internal/cell/jobs"

// Report describes the end of an attempt to its home group.
type Report struct {
	Attempt    Attempt
	Home       string
	Worker     string
	Reason     jobs.EndReason
	Result     string
	Checkpoint string
}

// ReportedAttempt is one attempt in a worker's inventory.
type ReportedAttempt struct {
	Attempt    Attempt
	Home       string
	Kind       jobs.Kind
	Size       jobs.Size
	Reason     jobs.EndReason // empty while the attempt runs
	Result     string
	Checkpoint string
}

// Inventory is a worker's answer to a lease renewal.
type Inventory struct {
	Renewal  // the renewal that it answers
	Boot     int64
	Attempts []ReportedAttempt // attempts that run or have ended
}

// ApplyInventory reconciles the worker's allocations with its inventory. It returns
// the ends that were not known before.
func (al *Allocations) ApplyInventory(worker string, inv Inventory) []Report {
	w := al.workers[worker]
	if w == nil {
		return nil
	}
	w.boot = inv.Boot
	for _, attempt := range inv.Recorded {
		if a := w.allocations[attempt]; a != nil && a.recorded {
			al.remove(w, a)
		}
	}
	var reports []Report
	reported := make(map[Attempt]bool, len(inv.Attempts))
	for _, s := range inv.Attempts {
		reported[s.Attempt] = true
		if r, ok := al.reconcileReported(w, s); ok {
			reports = append(reports, r)
		}
	}
	for attempt, a := range w.allocations {
		if !reported[attempt] {
			if r, ok := al.reconcileMissing(w, a, inv.MinSeq); ok {
				reports = append(reports, r)
			}
		}
	}
	w.ready, w.lost = true, false
	return reports
}

// reconcileReported updates the allocation of an attempt that the worker
// reports. It returns true if the attempt's end was not known before.
func (al *Allocations) reconcileReported(w *workerState, s ReportedAttempt) (Report, bool) {
	a := w.allocations[s.Attempt]
	if a == nil {
		a = &allocation{attempt: s.Attempt, home: s.Home, size: s.Size, kind: s.Kind}
		al.allocate(w, a)
	}
	if s.Reason == "" {
		if a.phase != ended {
			a.phase, a.inFlight = running, false
		}
		return Report{}, false
	}
	if a.phase == ended {
		return Report{}, false
	}
	end := Report{
		Attempt: s.Attempt, Home: a.home, Worker: w.ID, Reason: s.Reason, Result: s.Result, Checkpoint: s.Checkpoint,
	}
	al.finish(w, a, end)
	return end, true
}

// reconcileMissing updates an allocation that the worker does not report. It
// returns true if this shows that the attempt has ended.
func (al *Allocations) reconcileMissing(w *workerState, a *allocation, minSeq uint64) (Report, bool) {
	reason := jobs.EndLost
	switch a.phase {
	case reserved, ended:
		return Report{}, false
	case running:
		// A start that was confirmed while the renewal was in flight may be
		// missing from the inventory.
		if a.seq >= minSeq {
			return Report{}, false
		}
	case sending:
		if a.inFlight || a.seq >= minSeq {
			return Report{}, false
		}
		// A worker that has not restarted would report the attempt if it had
		// started. After a restart the attempt may have run.
		if a.boot == w.boot {
			reason = jobs.EndNeverStarted
		}
	}
	end := Report{Attempt: a.attempt, Home: a.home, Worker: w.ID, Reason: reason}
	al.finish(w, a, end)
	al.deny(a.attempt)
	return end, true
}

// MarkWorkerLost ends every attempt on a worker whose lease is certain to have
// expired. The worker is not schedulable until its next inventory.
func (al *Allocations) MarkWorkerLost(worker string) []Report {
	w := al.workers[worker]
	if w == nil {
		return nil
	}
	w.ready, w.lost = false, true
	var reports []Report
	for attempt, a := range w.allocations {
		switch a.phase {
		case reserved:
			al.remove(w, a)
			al.deny(attempt)
		case sending, running:
			end := Report{Attempt: attempt, Home: a.home, Worker: worker, Reason: jobs.EndLost}
			al.finish(w, a, end)
			al.deny(attempt)
			reports = append(reports, end)
		}
	}
	return reports
}

// MarkNotReady makes a worker unschedulable until its next inventory, without ending
// its attempts.
func (al *Allocations) MarkNotReady(worker string) {
	if w := al.workers[worker]; w != nil {
		w.ready = false
	}
}

// MarkEndRecorded records that the attempt's home group has recorded its end. Its
// allocation is removed when the worker has answered a renewal that lists the
// attempt in Recorded.
func (al *Allocations) MarkEndRecorded(attempt Attempt) {
	if _, a := al.find(attempt); a != nil && a.phase == ended {
		a.recorded = true
	}
}

// AttemptStatus is the state of an attempt as returned by Allocations.AttemptStatus.
type AttemptStatus string

// Values of AttemptStatus.
const (
	StatusRunning AttemptStatus = "there"  // the attempt runs
	StatusEnded   AttemptStatus = "ended"  // the attempt has ended; the report has the details
	StatusAbsent  AttemptStatus = "absent" // the attempt has not started and never will
	StatusUnknown AttemptStatus = "unsure" // not known yet; query again later
)

// Query asks for the state of an attempt that was placed on a worker.
type Query struct {
	Attempt Attempt
	Worker  string
	Boot    int64 // the worker's boot id when it was selected
}

// AttemptStatus answers a query. It denies an attempt that it reports as absent or
// lost, so that a late start request cannot make the answer wrong.
//
// The argument leasesExpired states that every lease granted by previous owners is
// certain to have expired. A worker that is not in the host list then runs no
// attempt of the group.
func (al *Allocations) AttemptStatus(q Query, leasesExpired bool) (AttemptStatus, Report) {
	if w, a := al.find(q.Attempt); a != nil {
		switch a.phase {
		case ended:
			return StatusEnded, a.end
		case running:
			return StatusRunning, Report{}
		case sending:
			return StatusUnknown, Report{}
		}
		al.remove(w, a)
		al.deny(q.Attempt)
		return StatusAbsent, Report{}
	}
	w := al.workers[q.Worker]
	switch {
	case w != nil && w.ready && w.boot == q.Boot:
		al.deny(q.Attempt)
		return StatusAbsent, Report{}
	case w != nil && (w.ready || w.lost), w == nil && leasesExpired:
		// The worker has restarted, its lease has expired, or it is not listed and
		// all leases have expired.
		al.deny(q.Attempt)
		return StatusEnded, Report{Attempt: q.Attempt, Worker: q.Worker, Reason: jobs.EndLost}
	}
	return StatusUnknown, Report{}
}

// Reports returns the ends that the home groups have not recorded yet, by home
// group.
func (al *Allocations) Reports() map[string][]Report {
	byHome := map[string][]Report{}
	for _, id := range al.workerIDs {
		for _, a := range al.workers[id].allocations {
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
func (al *Allocations) Running(worker string) []RunningAttempt {
	w := al.workers[worker]
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

// RunningByHome returns the attempts that are confirmed to run on the group's workers,
// by home group.
func (al *Allocations) RunningByHome() map[string][]Attempt {
	byHome := map[string][]Attempt{}
	for _, id := range al.workerIDs {
		for attempt, a := range al.workers[id].allocations {
			if a.phase == running {
				byHome[a.home] = append(byHome[a.home], attempt)
			}
		}
	}
	return byHome
}

// WorkerOf returns the worker to which the attempt is allocated.
func (al *Allocations) WorkerOf(attempt Attempt) (string, bool) {
	id, ok := al.workerOf[attempt]
	return id, ok
}
