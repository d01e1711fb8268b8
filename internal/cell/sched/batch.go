package sched

import "lagooncourse/internal/base/frame"

// Batch is a set of records to append, with the changes that Stored makes after
// the append.
type Batch struct {
	Keys     []string
	Values   [][]byte
	Accepted []string // IDs of the accepted jobs
	Complete bool     // it contains all records that remained to be stored
	units    []batchUnit
	size     int // of its records, in bytes
	verdicts map[string]Verdict
	endMarks map[string]endMark // by worker
}

// batchUnit is records of one job, or of one queue, in a batch, from index from to before
// index to.
type batchUnit struct {
	job      string
	from, to int
	accepted bool // they store the acceptance of the job
}

// endMark is the sequence number of the last end that was applied, and the worker
// incarnation that it belongs to.
type endMark struct {
	incarnation int64
	seq         int64
}

// Empty reports whether the batch has no records.
func (b *Batch) Empty() bool { return len(b.Keys) == 0 }

// A batch that has reached maxBatchBytes takes no more records.
const maxBatchBytes = 1 << 20

// add adds a record.
func (b *Batch) add(key string, value []byte) {
	b.Keys, b.Values = append(b.Keys, key), append(b.Values, value)
	b.size += recordLengths + len(key) + len(value)
}

// endUnit ends the records of a job.
func (b *Batch) endUnit(job string, accepted bool) {
	from := 0
	if n := len(b.units); n > 0 {
		from = b.units[n-1].to
	}
	b.units = append(b.units, batchUnit{job, from, len(b.Keys), accepted})
}

// ByJob returns the records of each job in b as a batch of its own, in the same order.
func (b *Batch) ByJob() (list []*Batch) {
	for _, u := range b.units {
		one := &Batch{Keys: b.Keys[u.from:u.to], Values: b.Values[u.from:u.to], verdicts: map[string]Verdict{}}
		one.units = []batchUnit{{u.job, 0, u.to - u.from, u.accepted}}
		if u.accepted {
			one.Accepted = []string{u.job}
		} else if v, ok := b.verdicts[u.job]; ok {
			one.verdicts[u.job] = v
		}
		list = append(list, one)
	}
	return list
}

// Job returns the job whose records a batch of ByJob holds; empty for a queue.
func (b *Batch) Job() string { return b.units[0].job }

// recordLengths is the length of the lengths of a record and of its key, in bytes.
const recordLengths = 5

// fits reports whether the records of values fit into the same append. A first value
// always does; see CheckSize.
func (b *Batch) fits(c Config, values ...[]byte) bool {
	n := b.size
	for _, v := range values {
		n += len(v) + recordOverhead*(2+len(v)/(c.recordBytes()-recordOverhead))
	}
	return b.Empty() || b.size < min(maxBatchBytes, c.appendBytes()/2) && n <= c.appendBytes()
}

// RetentionMarginMs is added to the retention time of an ended job. The time counts
// from the verdict, which may be stored and shown later, and after a takeover it is
// measured on the wall clocks of two hosts.
const RetentionMarginMs = 30_000

// Refused is called when the store has refused a batch of ByJob for good. A job that is
// not stored is removed: it never runs. One that is stored gives up its checkpoints, which
// are all that may have made its records too long. If they are refused even so, the job is
// set aside: no records of it are written and nothing of it is started, and no ends are
// acknowledged, since some may be of its tasks.
func (p *Planner) Refused(b *Batch, now Instant) (setAside bool) {
	id := b.Job()
	j := p.state.Jobs[id]
	if j == nil {
		p.denialRefused(b)
		return false
	}
	if b.units[0].accepted {
		j.queue.changed, p.queuesChanged = j.queue.known, true // its record may have been refused with the job
		p.remove(id)
		return false
	}
	p.withdrawUnstored(j, now)
	switch {
	case j.checkpointBytes > 0:
		j.checkpointBytes, j.checkpointsFull = 0, true
		for i := range j.Progress.Tasks {
			j.Progress.Tasks[i].Checkpoint = ""
		}
		p.dirty[id] = true
	default:
		p.setAside[id] = true
	}
	return p.setAside[id]
}

// withdrawUnstored withdraws the starts of a job whose intents are not stored.
func (p *Planner) withdrawUnstored(j *Job, now Instant) {
	for _, w := range p.workers {
		for ref, a := range w.allocations {
			if ref.Job == j.Spec.ID && a.phase == phaseIntent {
				p.release(w, ref)
				p.withdrawTrial(ref, a.run)
				p.requeue(ref, a.run, now)
			}
		}
	}
}

// IsSetAside reports whether the records of a job can't be stored; see Refused.
func (p *Planner) IsSetAside(id string) bool { return p.setAside[id] }

// HasUnstored reports whether progress, accepted jobs or queues have to be stored. It ignores
// jobs whose retention has ended.
func (p *Planner) HasUnstored() bool {
	return len(p.dirty) > 0 || len(p.newSpecs) > 0 || p.queuesChanged
}

// TakeBatch returns a batch of the records that have to be stored: accepted jobs, then
// queues, then progress, then denials, then deletions of jobs whose retention has ended and of
// their queues.
func (p *Planner) TakeBatch(now Instant) (*Batch, error) {
	b := &Batch{verdicts: map[string]Verdict{}, endMarks: map[string]endMark{}}
	for len(p.newSpecs) > 0 {
		added, err := p.addSpec(b, p.newSpecs[0])
		if err != nil {
			return nil, err
		}
		if !added {
			return b, nil
		}
		p.newSpecs = p.newSpecs[1:]
	}
	if complete, err := p.addQueues(b); err != nil || !complete {
		return b, err
	}
	for id := range p.dirty {
		added, err := p.addProgress(b, id)
		if err != nil {
			return nil, err
		}
		if !added {
			return b, nil // ends are acknowledged only after all progress is stored
		}
		delete(p.dirty, id)
	}
	if complete, err := p.addDenials(b, now); err != nil || !complete {
		return b, err
	}
	for len(p.ended) > 0 && p.retentionOver(p.ended[0], now) && b.fits(p.cfg) {
		id := p.ended[0].id
		p.ended = p.ended[1:]
		j := p.state.Jobs[id]
		if j == nil {
			continue
		}
		if p.storedVerdicts[id] == Open { // its end could not be shown yet
			p.ended = append(p.ended, endedJob{id, now.Ms})
			continue
		}
		for _, key := range j.dropKeys() {
			p.deleteParts(b, key, 0)
			b.add(key, nil) // a record without a value deletes its key
		}
		b.endUnit(id, false)
		j.queue.jobs--
		delete(p.state.Jobs, id)
		delete(p.storedVerdicts, id)
		delete(p.storedJobs, id)
	}
	if !p.dropQueues(b) {
		return b, nil
	}
	for id, w := range p.workers {
		if w.appliedSeq > w.storedSeq && len(p.setAside) == 0 {
			b.endMarks[id] = endMark{w.Incarnation, w.appliedSeq}
		}
	}
	b.Complete = true
	return b, nil
}

// addSpec adds the record of an accepted job, after that of its queue if it is not stored in
// its latest version, and reports whether they fit.
func (p *Planner) addSpec(b *Batch, s Spec) (added bool, err error) {
	key, value, err := SpecRecord(s)
	if err != nil {
		return false, err
	}
	jq := p.state.Jobs[s.ID].queue
	var queue []byte
	if jq.changed {
		if queue, err = frame.Encode(jq.latest); err != nil {
			return false, err
		}
	}
	if !b.fits(p.cfg, queue, value) {
		return false, nil
	}
	if jq.changed {
		if err := p.addQueue(b, jq, queue); err != nil {
			return false, err
		}
	}
	if err := p.addValue(b, key, value); err != nil {
		return false, err
	}
	b.Accepted = append(b.Accepted, s.ID)
	b.endUnit(s.ID, true)
	return true, nil
}

// addProgress adds the records of a job's progress, and reports whether they fit.
func (p *Planner) addProgress(b *Batch, id string) (added bool, err error) {
	j := p.state.Jobs[id]
	if j == nil || p.setAside[id] {
		return true, nil
	}
	key, value, err := ProgressRecord(id, j.Progress)
	if err != nil {
		return false, err
	}
	var suspectsKey string
	var suspects []byte
	if list := j.suspects(); len(list) > 0 || j.suspectsStored {
		if suspectsKey, suspects, err = suspectsRecord(id, list); err != nil {
			return false, err
		}
	}
	if !b.fits(p.cfg, value, suspects) {
		return false, nil
	}
	if err := p.addValue(b, key, value); err != nil {
		return false, err
	}
	if suspectsKey != "" {
		j.suspectsStored = true
		if err := p.addValue(b, suspectsKey, suspects); err != nil {
			return false, err
		}
	}
	b.verdicts[id] = j.Progress.Verdict
	b.endUnit(id, false)
	return true, nil
}

// Stored is called after the records of a batch have been stored.
func (p *Planner) Stored(b *Batch) {
	for _, id := range b.Accepted {
		p.storedJobs[id] = true
	}
	for id, v := range b.verdicts {
		p.storedVerdicts[id] = v
	}
	for id, m := range b.endMarks {
		if w := p.workers[id]; w != nil && w.Incarnation == m.incarnation {
			w.storedSeq = max(w.storedSeq, m.seq)
		}
	}
}

// StoredSeq returns the sequence number of the last stored end of a worker. The worker
// may delete its ends up to that number.
func (p *Planner) StoredSeq(id string) int64 {
	if w := p.workers[id]; w != nil {
		return w.storedSeq
	}
	return 0
}
