package books

import "lagooncourse/internal/cell/jobs"

// Report tells the group that owns a job how an attempt ended.
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
	How        jobs.How // empty while it runs
	Result     string
	Checkpoint string
}

// Inventory is what a worker reports about itself.
type Inventory struct {
	Renewal // that it answers
	Boot    int64
	Seen    []Seen
}

// Inventory reconciles a worker's account with what the worker reports. It
// returns the attempts whose end has become known by it.
func (b *Books) Inventory(worker string, inv Inventory) []Report {
	a := b.workers[worker]
	if a == nil {
		return nil
	}
	a.boot = inv.Boot
	for _, at := range inv.Forget {
		if e := a.attempts[at]; e != nil && e.noted {
			b.drop(a, e)
		}
	}
	var news []Report
	there := make(map[Attempt]bool, len(inv.Seen))
	for _, s := range inv.Seen {
		there[s.Attempt] = true
		if r, ok := b.see(a, s); ok {
			news = append(news, r)
		}
	}
	for at, e := range a.attempts {
		if !there[at] {
			if r, ok := b.miss(a, e, inv.Floor); ok {
				news = append(news, r)
			}
		}
	}
	a.ready, a.lost = true, false
	return news
}

// see takes one attempt that the worker reports.
func (b *Books) see(a *account, s Seen) (Report, bool) {
	e := a.attempts[s.Attempt]
	if e == nil {
		e = &entry{attempt: s.Attempt, home: s.Home, size: s.Size, kind: s.Kind}
		b.book(a, e)
	}
	if s.How == "" {
		if e.phase != ended {
			e.phase, e.open = running, false
		}
		return Report{}, false
	}
	if e.phase == ended {
		return Report{}, false
	}
	end := Report{
		Attempt: s.Attempt, Home: e.home, Worker: a.ID, How: s.How, Result: s.Result, Checkpoint: s.Checkpoint,
	}
	b.finish(a, e, end)
	return end, true
}

// miss takes one booked attempt that the worker does not report.
func (b *Books) miss(a *account, e *entry, floor uint64) (Report, bool) {
	how := jobs.EndLost
	switch e.phase {
	case reserved, ended:
		return Report{}, false
	case running:
		// A start that was confirmed while the renewal was under way may be
		// missing from its answer.
		if e.seq >= floor {
			return Report{}, false
		}
	case sending:
		if e.open || e.seq >= floor {
			return Report{}, false
		}
		// A worker that remembers its past has never run the attempt. One
		// that restarted may have.
		if e.boot == a.boot {
			how = jobs.EndAbsent
		}
	}
	end := Report{Attempt: e.attempt, Home: e.home, Worker: a.ID, How: how}
	b.finish(a, e, end)
	b.deny(e.attempt)
	return end, true
}

// LoseWorker ends every attempt on a worker whose lease has surely run out. The
// worker is closed until its next inventory.
func (b *Books) LoseWorker(worker string) []Report {
	a := b.workers[worker]
	if a == nil {
		return nil
	}
	a.ready, a.lost = false, true
	var news []Report
	for at, e := range a.attempts {
		switch e.phase {
		case reserved:
			b.drop(a, e)
			b.deny(at)
		case sending, running:
			end := Report{Attempt: at, Home: e.home, Worker: worker, How: jobs.EndLost}
			b.finish(a, e, end)
			b.deny(at)
			news = append(news, end)
		}
	}
	return news
}

// Unready closes a worker until its next inventory, without ending anything.
func (b *Books) Unready(worker string) {
	if a := b.workers[worker]; a != nil {
		a.ready = false
	}
}

// Forget notes that an attempt's home has recorded its end. It is dropped once
// its worker has been told.
func (b *Books) Forget(at Attempt) {
	if _, e := b.find(at); e != nil && e.phase == ended {
		e.noted = true
	}
}

// Place is the answer to Where.
type Place string

// The places.
const (
	There  Place = "there"  // it runs, or may run
	Ended  Place = "ended"  // it has ended; the report says how
	Absent Place = "absent" // it is not there and will never start
	Unsure Place = "unsure" // ask again later
)

// Query asks what became of an attempt that was meant for a worker.
type Query struct {
	Attempt Attempt
	Worker  string
	Boot    int64 // of the worker, when it was chosen
}

// Where answers a query. An attempt that is absent or lost is denied from then
// on, so the answer stays true however late an older start request arrives.
//
// The argument expired says that every lease given out before the books were
// opened has surely run out, so that a worker that is not even listed runs
// nothing of ours.
func (b *Books) Where(q Query, expired bool) (Place, Report) {
	if a, e := b.find(q.Attempt); e != nil {
		switch e.phase {
		case ended:
			return Ended, e.end
		case running:
			return There, Report{}
		case sending:
			return Unsure, Report{}
		}
		b.drop(a, e)
		b.deny(q.Attempt)
		return Absent, Report{}
	}
	a := b.workers[q.Worker]
	switch {
	case a != nil && a.ready && a.boot == q.Boot:
		b.deny(q.Attempt)
		return Absent, Report{}
	case a != nil && (a.ready || a.lost), a == nil && expired:
		b.deny(q.Attempt)
		return Ended, Report{Attempt: q.Attempt, Worker: q.Worker, How: jobs.EndLost}
	}
	return Unsure, Report{}
}

// Reports returns the ends that no home has recorded yet, by home group.
func (b *Books) Reports() map[string][]Report {
	byHome := map[string][]Report{}
	for _, id := range b.order {
		for _, e := range b.workers[id].attempts {
			if e.phase == ended && !e.noted {
				byHome[e.home] = append(byHome[e.home], e.end)
			}
		}
	}
	return byHome
}

// Booked is one attempt that holds room.
type Booked struct {
	Attempt Attempt
	Home    string
	Worker  string
	Kind    jobs.Kind
	Size    jobs.Size
}

// Running returns the attempts that run on the worker, as far as is known.
func (b *Books) Running(worker string) []Booked {
	a := b.workers[worker]
	if a == nil {
		return nil
	}
	var list []Booked
	for at, e := range a.attempts {
		if e.phase == running {
			list = append(list, Booked{Attempt: at, Home: e.home, Worker: worker, Kind: e.kind, Size: e.size})
		}
	}
	return list
}

// WorkerOf returns the worker on which the attempt is booked.
func (b *Books) WorkerOf(at Attempt) (string, bool) {
	id, ok := b.where[at]
	return id, ok
}
