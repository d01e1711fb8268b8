package sched

// Batch is a set of records to append, with what becomes true when they are
// stored.
type Batch struct {
	Keys     []string
	Values   [][]byte
	Accepted []string
	Complete bool // nothing that was due is left out
	verdicts map[string]Verdict
	seen     map[string]seenMark
}

type seenMark struct {
	born int64
	n    int64
}

// Empty reports whether there is nothing to append.
func (b *Batch) Empty() bool { return len(b.Keys) == 0 }

// maxBatchBytes bounds one append; the store takes 2 MB a call.
const maxBatchBytes = 1 << 20

// Dirty reports whether there is progress or an acceptance to store.
func (p *Planner) Dirty() bool {
	return len(p.dirty) > 0 || len(p.fresh) > 0
}

// TakeDirty returns the records that are due.
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
			return b, nil // ends are not marked as seen before all of them are stored
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

// Stored takes note that the records of a batch are stored.
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

// Seen returns the number up to which a worker may forget its ends.
func (p *Planner) Seen(id string) int64 {
	if w := p.workers[id]; w != nil {
		return w.stored
	}
	return 0
}
