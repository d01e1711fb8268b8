// Package trust detects faulty workers, on which every task fails, and quarantines
// them.
//
// A faulty worker that fails tasks quickly always has free capacity, so the
// scheduler keeps placing tasks on it. A single failure is not sufficient
// evidence, because a faulty job fails on every worker. A worker is quarantined
// when several different jobs have failed on it in a row while more than half of
// the recent attempts on other trusted workers succeeded. After the quarantine it
// is probed with one task at a time; the caller decides which tasks can be probes.
// A failed probe starts a quarantine of twice the length, up to MaxQuarantineMs. Any
// success, also of an attempt that started before the quarantine, makes the worker
// trusted again.
//
// An alternative is to compare each failed attempt with the task's next attempt on
// another worker. It was rejected because it has to wait for that attempt, and
// meanwhile hundreds of tasks fail on the faulty worker.
//
// # Usage
//
//	t := trust.New(trust.Config{})
//	t.Record(trust.End{Worker: "w3", Job: "az1-0.7", OK: false, AtMs: now})
//	switch t.State("w3", now) { ... }
package trust

// Config holds the limits of the detection. Zero fields take the defaults.
type Config struct {
	FailedJobs      int   // different jobs that must fail in a row; default 3
	QuarantineMs    int64 // length of the first quarantine; default 5,000
	MaxQuarantineMs int64 // maximum length of a quarantine; default 300,000
}

// Defaults of Config, and limits of the comparison with other workers.
const (
	defaultFailedJobs      = 3
	defaultQuarantineMs    = 5_000
	defaultMaxQuarantineMs = 300_000

	maxRecentEnds = 64 // recent ends that are kept for the comparison
	minOtherEnds  = 4  // ends on other workers that the comparison needs
)

// State is the state of a worker. It restricts what may be placed on it.
type State uint8

// Values of State.
const (
	Trusted     State = iota // all tasks
	Quarantined              // no tasks
	Probing                  // one task at a time
)

// String returns the state's name.
func (s State) String() string { return [...]string{"trusted", "quarantined", "probing"}[s] }

// End is the end of one attempt. Ends that are no evidence for or against the
// worker, such as a requested stop, must not be passed to Record.
type End struct {
	Worker string
	Job    string
	OK     bool
	AtMs   int64
}

// Tracker tracks the states of one owner's workers. It is not safe for concurrent
// use.
type Tracker struct {
	cfg     Config
	workers map[string]*workerRecord
	recent  []End // ring buffer of the latest ends
	next    int   // index of the oldest end once recent is full
}

// workerRecord is the evidence and the quarantine of one worker.
type workerRecord struct {
	failed       map[string]bool // jobs that failed on the worker since its last success
	quarantineMs int64           // length of the latest quarantine; 0 if trusted
	untilMs      int64           // end of the latest quarantine
}

// New returns a Tracker in which every worker is trusted.
func New(cfg Config) *Tracker {
	if cfg.FailedJobs == 0 {
		cfg.FailedJobs = defaultFailedJobs
	}
	if cfg.QuarantineMs == 0 {
		cfg.QuarantineMs = defaultQuarantineMs
	}
	if cfg.MaxQuarantineMs == 0 {
		cfg.MaxQuarantineMs = defaultMaxQuarantineMs
	}
	return &Tracker{cfg: cfg, workers: map[string]*workerRecord{}}
}

// Record records one end and reports whether it started a quarantine of its
// worker or made the worker trusted again.
func (t *Tracker) Record(e End) bool {
	t.addRecent(e)
	r := t.workers[e.Worker]
	if r == nil {
		r = &workerRecord{failed: map[string]bool{}}
		t.workers[e.Worker] = r
	}
	if e.OK {
		changed := r.quarantineMs > 0
		clear(r.failed)
		r.quarantineMs, r.untilMs = 0, 0
		return changed
	}
	r.failed[e.Job] = true
	switch {
	case r.quarantineMs > 0 && e.AtMs < r.untilMs:
		return false // the attempt started before the quarantine
	case r.quarantineMs > 0:
		r.quarantineMs = min(2*r.quarantineMs, t.cfg.MaxQuarantineMs)
	case len(r.failed) >= t.cfg.FailedJobs && t.othersSucceed(e.Worker):
		r.quarantineMs = t.cfg.QuarantineMs
	default:
		return false
	}
	r.untilMs = e.AtMs + r.quarantineMs
	return true
}

// addRecent adds e to the ring buffer.
func (t *Tracker) addRecent(e End) {
	if len(t.recent) < maxRecentEnds {
		t.recent = append(t.recent, e)
		return
	}
	t.recent[t.next] = e
	t.next = (t.next + 1) % maxRecentEnds
}

// othersSucceed reports whether more than half of the recent ends on other trusted
// workers were successes. It returns false if there are fewer than minOtherEnds of
// them.
func (t *Tracker) othersSucceed(worker string) bool {
	good, all := 0, 0
	for _, e := range t.recent {
		if e.Worker == worker || t.workers[e.Worker].quarantineMs > 0 {
			continue
		}
		all++
		if e.OK {
			good++
		}
	}
	return all >= minOtherEnds && 2*good > all
}

// State returns the state of the worker.
func (t *Tracker) State(worker string, nowMs int64) State {
	r := t.workers[worker]
	switch {
	case r == nil || r.quarantineMs == 0:
		return Trusted
	case nowMs < r.untilMs:
		return Quarantined
	}
	return Probing
}

// NotTrusted returns the ids of the quarantined and probing workers, in no
// particular order.
func (t *Tracker) NotTrusted() []string {
	var list []string
	for id, r := range t.workers {
		if r.quarantineMs > 0 {
			list = append(list, id)
		}
	}
	return list
}
