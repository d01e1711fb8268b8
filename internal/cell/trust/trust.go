// Package trust finds workers that fail what they start.
//
// Such a worker is dangerous because it is always free: it attracts work and
// spoils it. A failure alone says little, since a job may fail everywhere. A
// worker is therefore quarantined only when several different jobs have failed
// on it in a row while most of what ended on the group's other workers went
// well. After a time it is probed with one idempotent task at a time; a
// success returns it to service, and a failure doubles the time.
//
// Rejected way: comparing each failed task with its own next attempt. It needs
// an attempt elsewhere first, and the bad worker spoils hundreds meanwhile.
//
// # Usage
//
//	t := trust.New(trust.Config{})
//	t.Note(trust.End{Worker: "w3", Job: "az1-0.7", OK: false, AtMs: now})
//	switch t.State("w3", now) { ... }
package trust

// Config bounds the judgement. Zero fields take the defaults.
type Config struct {
	FailedJobs int   // different jobs that have to fail in a row; default 3
	RestMs     int64 // first quarantine in milliseconds; default 5,000
	MaxRestMs  int64 // longest quarantine in milliseconds; default 300,000
}

const (
	defaultFailedJobs = 3
	defaultRestMs     = 5_000
	defaultMaxRestMs  = 300_000

	recentEnds = 64 // ends on other workers that the judgement looks at
	minOthers  = 4  // ends on other workers that it needs
)

// State says what may be placed on a worker.
type State uint8

// The states.
const (
	Trusted     State = iota // anything
	Quarantined              // nothing
	Probing                  // one idempotent task at a time
)

// String returns the state's name.
func (s State) String() string { return [...]string{"trusted", "quarantined", "probing"}[s] }

// End is how one attempt ended. Ends that say nothing about the worker, such
// as a stop on request, are not noted.
type End struct {
	Worker string
	Job    string
	OK     bool
	AtMs   int64
}

// Trust judges the workers of one group. It is not safe for concurrent use.
type Trust struct {
	cfg     Config
	workers map[string]*record
	recent  []End // a ring of the newest ends
	next    int
}

type record struct {
	failed  map[string]bool // jobs that failed since the last success
	restMs  int64           // length of the present quarantine; 0 if trusted
	untilMs int64
}

// New returns a judge that trusts every worker.
func New(cfg Config) *Trust {
	if cfg.FailedJobs == 0 {
		cfg.FailedJobs = defaultFailedJobs
	}
	if cfg.RestMs == 0 {
		cfg.RestMs = defaultRestMs
	}
	if cfg.MaxRestMs == 0 {
		cfg.MaxRestMs = defaultMaxRestMs
	}
	return &Trust{cfg: cfg, workers: map[string]*record{}}
}

// Note takes one end and reports whether the worker's state changed by it.
func (t *Trust) Note(e End) bool {
	t.remember(e)
	r := t.workers[e.Worker]
	if r == nil {
		r = &record{failed: map[string]bool{}}
		t.workers[e.Worker] = r
	}
	if e.OK {
		changed := r.restMs > 0
		clear(r.failed)
		r.restMs, r.untilMs = 0, 0
		return changed
	}
	r.failed[e.Job] = true
	switch {
	case r.restMs > 0 && e.AtMs < r.untilMs:
		return false // started before the quarantine
	case r.restMs > 0:
		r.restMs = min(2*r.restMs, t.cfg.MaxRestMs)
	case len(r.failed) >= t.cfg.FailedJobs && t.othersDoWell(e.Worker):
		r.restMs = t.cfg.RestMs
	default:
		return false
	}
	r.untilMs = e.AtMs + r.restMs
	return true
}

func (t *Trust) remember(e End) {
	if len(t.recent) < recentEnds {
		t.recent = append(t.recent, e)
		return
	}
	t.recent[t.next] = e
	t.next = (t.next + 1) % recentEnds
}

// othersDoWell reports whether most recent ends on other trusted workers were
// successes. Without enough of them nothing can be concluded.
func (t *Trust) othersDoWell(worker string) bool {
	good, all := 0, 0
	for _, e := range t.recent {
		if e.Worker == worker || t.workers[e.Worker].restMs > 0 {
			continue
		}
		all++
		if e.OK {
			good++
		}
	}
	return all >= minOthers && 2*good > all
}

// State returns what may be placed on the worker.
func (t *Trust) State(worker string, nowMs int64) State {
	r := t.workers[worker]
	switch {
	case r == nil || r.restMs == 0:
		return Trusted
	case nowMs < r.untilMs:
		return Quarantined
	}
	return Probing
}

// Distrusted lists the workers that are not trusted.
func (t *Trust) Distrusted() []string {
	var list []string
	for id, r := range t.workers {
		if r.restMs > 0 {
			list = append(list, id)
		}
	}
	return list
}
