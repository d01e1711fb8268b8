package books

import (
	"sort"

	"lagooncourse/internal/cell/jobs"
)

// Evict chooses batch attempts to stop so that an urgent ask fits, and keeps
// the room that they leave for it until untilMs. It returns none if the ask
// cannot be made to fit that way, or if room is being made for it already.
//
// The worker chosen is the one where the least is stopped. On it the youngest
// attempts go first, since they lose the least.
func (b *Books) Evict(ask Ask, nowMs, untilMs int64) []Attempt {
	var best *account
	var bestVictims []*entry
	var bestSize jobs.Size
	for _, id := range b.order {
		a := b.workers[id]
		if nowMs < a.savedMs && a.savedFor == ask.Attempt {
			return nil
		}
		if !a.open() || a.mode == Probe || nowMs < a.savedMs || contains(ask.Avoid, id) {
			continue
		}
		victims, size, ok := a.victims(ask.Size)
		if ok && (best == nil || size.Dominant(a.Cap) < bestSize.Dominant(best.Cap)) {
			best, bestVictims, bestSize = a, victims, size
		}
	}
	if best == nil {
		return nil
	}
	best.savedFor, best.savedMs = ask.Attempt, untilMs
	list := make([]Attempt, len(bestVictims))
	for i, e := range bestVictims {
		list[i] = e.attempt
	}
	return list
}

// victims returns the batch attempts to stop on one worker, and their size.
func (a *account) victims(need jobs.Size) (victims []*entry, size jobs.Size, ok bool) {
	var batch []*entry
	for _, e := range a.attempts {
		if e.phase == running && e.kind == jobs.Batch {
			batch = append(batch, e)
		}
	}
	sort.Slice(batch, func(i, j int) bool {
		if batch[i].seq != batch[j].seq {
			return batch[i].seq > batch[j].seq
		}
		return batch[i].attempt.Task < batch[j].attempt.Task
	})
	room := a.room()
	for _, e := range batch {
		if need.Fits(room) {
			break
		}
		victims, size, room = append(victims, e), size.Plus(e.size), room.Plus(e.size)
	}
	return victims, size, need.Fits(room)
}
