package sched

import (
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/frame"
)

// An accepted job needs its queue until it ends: the worker pool, the priority, the limit of
// failed runs, the deadline and the advice. The policy may meanwhile give the queue another
// name, change it, give its name to another queue, or drop it. The planner therefore keeps
// each queue that has jobs in the latest version that it has seen, and stores that version:
// the operators' topic holds only the newest policy, so a new owner can't read it there.
//
// Requests select a queue by its address, the host name and the path prefix. A queue of a
// policy continues the one of a job if it has the same address and
//
//   - the same name, whatever else has changed, or
//   - the same service, or any service once that of the job is not configured any more.
//
// A queue of the same address with another name and another service is a different queue:
// the jobs that were accepted before stay with their service. So do those of a dropped
// queue.
//
// The version is not stored with each job, because a change of a queue would then rewrite
// the records of all its jobs.

// queuePrefix begins the key of a queue record: queuePrefix, Queue.ID.
const queuePrefix = "q"

// jobQueue is a queue that has jobs.
type jobQueue struct {
	id      string
	latest  Queue  // its latest version; only the name is set if known is false
	known   bool   // false for a job of an earlier version until a policy has its queue
	dropped bool   // the policy does not continue it
	jobs    int    // jobs that belong to it, including ended ones that are retained
	stats   string // key of its statistics
	changed bool   // its record is missing or out of date
	stored  bool   // it has a record
}

// ID identifies a queue in the records of its jobs. Neither its name nor its address is
// enough: both may be given to another queue while it has jobs.
func (q Queue) ID() string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(q.Name + "\x00" + q.address())) // never fails
	return strconv.FormatUint(h.Sum64(), 16)
}

// queueID returns the ID of the job's queue.
func (s Spec) queueID() string {
	if s.QueueID != "" {
		return s.QueueID
	}
	return Queue{Name: s.Queue}.ID()
}

// address returns what selects the queue for a request; empty if that is not known.
func (q Queue) address() string { return strings.ToLower(q.Host) + q.Prefix }

// sameAddress reports whether requests for q and o are the same. Queues without an address
// are compared by name.
func (q Queue) sameAddress(o Queue) bool {
	if q.address() == "" || o.address() == "" {
		return q.Name == o.Name
	}
	return q.Prefix == o.Prefix && strings.EqualFold(q.Host, o.Host)
}

// forJobs returns q without what only requests need.
func (q Queue) forJobs() Queue {
	q.Public, q.TimeoutMs = false, 0
	return q
}

// equal reports whether all fields of q and o are equal.
func (q Queue) equal(o Queue) bool {
	a, b := q.Advice, o.Advice
	q.Advice, o.Advice = nil, nil
	return q == o && (a == b || a != nil && b != nil && *a == *b)
}

// statsKey returns the key of the statistics of a queue. It stays the same when the queue
// gets another name.
func (q Queue) statsKey() string {
	if a := q.address(); a != "" {
		return a
	}
	return q.Name
}

// update replaces the latest version of the queue.
func (jq *jobQueue) update(q Queue) {
	q = q.forJobs()
	if jq.known && jq.latest.equal(q) {
		return
	}
	jq.latest, jq.known, jq.changed, jq.stats = q, true, true, q.statsKey()
}

// successor returns the queue of the policy that continues jq.
func (p *Planner) successor(jq *jobQueue) (q Queue, ok bool) {
	if q, ok = p.policy.Queues[jq.latest.Name]; ok && (!jq.known || q.sameAddress(jq.latest)) {
		return q, true
	}
	if !jq.known || jq.latest.address() == "" {
		return Queue{}, false
	}
	ok = false
	for _, r := range p.policy.Queues {
		if !r.sameAddress(jq.latest) || r.Service != jq.latest.Service && p.policy.hasService(jq.latest.Service) {
			continue
		}
		if !ok || r.Name < q.Name { // the order of a map is random
			q, ok = r, true
		}
	}
	return q, ok
}

// hasService reports whether a service is configured.
func (v Policy) hasService(name string) bool { return v.Services == nil || v.Services[name] }

// follow brings jq up to date with the policy.
func (p *Planner) follow(jq *jobQueue) {
	q, ok := p.successor(jq)
	if jq.dropped = !ok; ok {
		jq.update(q)
	}
}

// QueueChange says that the queue of accepted jobs has got another name or was dropped.
type QueueChange struct {
	Queue   string
	NewName string // empty if it was dropped
	Service string // that runs its jobs; empty if that is not known
	Jobs    int    // its jobs, including ended ones that are retained
}

// SetPolicy replaces the policy. It returns the queues of accepted jobs that the policy does
// not contain any more under the name that they had.
func (p *Planner) SetPolicy(v Policy) (changes []QueueChange) {
	p.policy = v
	p.policyVersion++
	if v.Unread {
		return nil
	}
	for _, jq := range p.queues {
		name, wasDropped := jq.latest.Name, jq.dropped
		p.follow(jq)
		p.queuesChanged = p.queuesChanged || jq.changed
		c := QueueChange{Queue: name, Service: jq.latest.Service, Jobs: jq.jobs}
		switch {
		case jq.jobs == 0:
		case jq.dropped && !wasDropped:
			changes = append(changes, c)
		case !jq.dropped && jq.latest.Name != name:
			c.NewName = jq.latest.Name
			changes = append(changes, c)
		}
	}
	return changes
}

// readQueues adds the queues of the stored records.
func (p *Planner) readQueues(stored map[string]Queue) {
	for id, q := range stored {
		jq := &jobQueue{id: id, stored: true}
		jq.update(q)
		jq.changed = false
		p.queues[id] = jq
	}
}

// joinQueue adds a job to its queue.
func (p *Planner) joinQueue(j *Job) {
	id := j.Spec.queueID()
	jq := p.queues[id]
	if jq == nil {
		jq = &jobQueue{id: id, latest: Queue{Name: j.Spec.Queue}, stats: j.Spec.Queue}
		p.queues[id] = jq
	}
	if accepted := j.Spec.QueueConfig; accepted != nil && !jq.known {
		jq.update(*accepted)
	}
	j.Spec.QueueConfig = nil
	if p.policyVersion > 0 && !p.policy.Unread {
		p.follow(jq)
	}
	p.queuesChanged = p.queuesChanged || jq.changed
	jq.jobs++
	j.queue = jq
}

// queue returns the queue of a step instance. The deadline follows each change of the
// policy: a new owner adopts the waiting steps before it knows the policy.
func (p *Planner) queue(si *stepInstance) *Queue {
	if si.policyVersion != p.policyVersion {
		p.setDeadline(si)
	}
	return &si.job.queue.latest
}

// addQueue adds the record of a queue.
func (p *Planner) addQueue(b *Batch, jq *jobQueue, value []byte) error {
	jq.changed, jq.stored = false, true
	return p.addValue(b, queuePrefix+jq.id, value)
}

// addQueues adds the records of queues that have changed, and reports whether all fit.
func (p *Planner) addQueues(b *Batch) (complete bool, err error) {
	defer fault.Annotate(&err, "queue records")
	for _, jq := range p.queues {
		if !jq.changed || jq.jobs == 0 {
			continue
		}
		value, err := frame.Encode(jq.latest)
		if err != nil {
			return false, err
		}
		if !b.fits(p.cfg, value) {
			return false, nil
		}
		if err := p.addQueue(b, jq, value); err != nil {
			return false, err
		}
		b.endUnit("", false)
	}
	p.queuesChanged = false
	return true, nil
}

// dropQueues drops the queues that have no jobs any more, and adds the deletions of their
// records. It reports whether all fit.
func (p *Planner) dropQueues(b *Batch) (complete bool) {
	for id, jq := range p.queues {
		if jq.jobs > 0 {
			continue
		}
		if jq.stored {
			if !b.fits(p.cfg) {
				return false
			}
			p.deleteParts(b, queuePrefix+id, 0)
			b.add(queuePrefix+id, nil)
			b.endUnit("", false)
		}
		delete(p.queues, id)
	}
	return true
}

// AuditQueues checks that each job belongs to a queue that is kept, and that the numbers of
// jobs are right. A difference is a bug in the planner.
func (p *Planner) AuditQueues() error {
	jobs := map[*jobQueue]int{}
	for id, j := range p.state.Jobs {
		if j.queue == nil || p.queues[j.Spec.queueID()] != j.queue {
			return merry.Errorf("job %s has a queue that is not kept", id)
		}
		jobs[j.queue]++
	}
	for id, jq := range p.queues {
		if jq.jobs != jobs[jq] {
			return merry.Errorf("queue %s (%s) has %d jobs, but %d are counted", id, jq.latest.Name, jobs[jq], jq.jobs)
		}
	}
	return nil
}
