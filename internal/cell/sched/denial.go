package sched

// Denials. A cancellation of a job that is not known is answered as "no such job", while the
// submission of the job, or a copy of it, may still be on its way. The denial is stored before
// it is answered, so that no owner accepts the job later. Its record is a progress record of a
// cancelled job without tasks, which earlier versions ignore. It is kept as long as an ended
// job.

import (
	"slices"
	"strings"
)

// maxDenials is the number of denials that are kept. Beyond it, the oldest are dropped.
const maxDenials = 10_000

// denial is what is kept of a denial beside its job and its time.
type denial struct {
	exactID bool // see Progress.ExactID
}

// isDenial reports whether p, of which no spec record is known, is the record of a denial.
func (p Progress) isDenial() bool { return p.Verdict == Cancelled && len(p.Tasks) == 0 }

// Deny notes that a cancellation of a job that does not exist is about to be answered so.
func (p *Planner) Deny(id string, now Instant) {
	if _, denied := p.denied[id]; denied || p.state.Jobs[id] != nil {
		return
	}
	p.denied[id] = denial{exactID: true}
	p.denials = append(p.denials, endedJob{id, now.Ms})
	p.newDenials = append(p.newDenials, id)
}

// Denied reports whether the cancellation of a job was answered before the job was known. Such
// a job is not accepted.
func (p *Planner) Denied(id string) bool {
	if _, denied := p.denied[id]; denied {
		return true
	}
	d, denied := p.denied[strings.ToLower(id)]
	return denied && !d.exactID
}

// denialRefused drops a denial whose record the store has refused, if b holds one: a further
// cancellation has to store it anew.
func (p *Planner) denialRefused(b *Batch) {
	id := b.Job()
	if _, denied := p.denied[id]; denied && len(b.Values[0]) > 0 { // a denial that is over is deleted
		delete(p.denied, id)
		p.denials = slices.DeleteFunc(p.denials, func(e endedJob) bool { return e.id == id })
	}
}

// addDenials adds the records of new denials and deletes those that need not be kept any
// more. It reports whether all fit.
func (p *Planner) addDenials(b *Batch, now Instant) (complete bool, err error) {
	for ; len(p.newDenials) > 0; p.newDenials = p.newDenials[1:] {
		id := p.newDenials[0]
		key, value, err := ProgressRecord(id, Progress{Cancel: true, Verdict: Cancelled, EndMs: now.WallMs, ExactID: true})
		if err != nil {
			return false, err
		}
		if !b.fits(p.cfg, value) {
			return false, nil
		}
		b.add(key, value)
		b.endUnit(id, false)
	}
	for len(p.denials) > 0 && (len(p.denials) > maxDenials || p.retentionOver(p.denials[0], now)) && b.fits(p.cfg) {
		id := p.denials[0].id
		p.denials = p.denials[1:]
		delete(p.denied, id)
		b.add(progressPrefix+id, nil)
		b.endUnit(id, false)
	}
	return true, nil
}

// retentionOver reports whether the retention of an ended job is over.
func (p *Planner) retentionOver(e endedJob, now Instant) bool {
	return now.Ms-e.atMs > p.cfg.RetentionMs+RetentionMarginMs
}
