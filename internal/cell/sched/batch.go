package sched

// Batch is a set of records to append, with the changes that Stored makes after
// the append.
type Batch struct {
	Keys     []string
	Values   [][]byte
	Accepted []string // IDs of the accepted jobs
	Complete bool     // it contains all pending records
	verdicts map[string]Verdict
	seen     map[string]seenMark // by worker
}

// endMark is the number of the last end applied in an incarnation of a worker.
type seenMark struct {
	born int64
	n    int64
}

// Empty reports whether the batch has no records.
func (b *Batch) Empty() bool { return len(b.Keys) == 0 }

// maxBatchBytes is the size from which a batch takes no more records. The store
// takes 2 MB a call.
const maxBatchBytes = 1 << 20

// Dirty reports whether progress or accepted jobs have to be stored.
func (p *Planner) Dirty() bool {
	return len(p.dirty) > 0 || len(p.fresh) > 0
}

// TakeDirty returns a batch of the records that have to be stored: accepted jobs,
// then progress, then deletions of jobs whose retention has ended.
func (p *Planner) TakeDirty(now Instant) (*Batch, error) {
	b := &Batch{verdicts: map[string]Verdict{}, seen: map[string]seenMark{}}
	size := 0
	add := func(key string, value []byte, err error) error {
		if err != nil {
			return err
		}
		b.Keys, b.Values = append(b.Keys, key), append(b.Values, value)
		size += len(key) + len(value)
		return nil
	}
	for len(p.fresh) > 0 && size < maxBatchBytes {
		s := p.fresh[0]
		p.fresh = p.fresh[1:]
		if err := add(SpecRecord(s)); err != nil {
			return nil, err
		}
		b.Accepted = append(b.Accepted, s.ID)
	}
	if len(p.fresh) > 0 {
		return b, nil
	}
	for id := range p.dirty {
		if size >= maxBatchBytes {
			return b, nil // ends are acknowledged only after all progress is stored
		}
		delete(p.dirty, id)
		j := p.state.Jobs[id]
		if j == nil {
			continue
		}
		if err := add(ProgressRecord(id, j.Progress)); err != nil {
			return nil, err
		}
		b.verdicts[id] = j.Progress.Verdict
	}
	for len(p.ended) > 0 && now.Ms-p.ended[0].at > p.cfg.KeepMs && size < maxBatchBytes {
		id := p.ended[0].id
		p.ended = p.ended[1:]
		for _, key := range DropKeys(id) {
			_ = add(key, nil, nil)
		}
		delete(p.state.Jobs, id)
		delete(p.durable, id)
		delete(p.known, id)
	}
	for id, w := range p.workers {
		if w.seen > w.stored {
			b.seen[id] = seenMark{w.Born, w.seen}
		}
	}
	b.Complete = true
	return b, nil
}

// Stored is called after the records of a batch have been stored.
func (p *Planner) Stored(b *Batch) {
	for _, id := range b.Accepted {
		p.known[id] = true
	}
	for id, v := range b.verdicts {
		p.durable[id] = v
	}
	for id, m := range b.seen {
		if w := p.workers[id]; w != nil && w.Born == m.born {
			w.stored = max(w.stored, m.n)
		}
	}
}

// Seen returns the number of the last stored end of a worker. The worker may
// delete its ends up to that number.
func (p *Planner) Seen(id string) int64 {
	if w := p.workers[id]; w != nil {
		return w.stored
	}
	return 0
}
