package sched

import (
	"math/rand"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// pagedState returns the state after a listing of the newest records, page by page, while
// records are appended, and after the records that follow the first page. batches holds the
// number of records after each append.
func (l *logRecords) pagedState(rnd *rand.Rand, batches []int) *State {
	var keys []string
	for _, key := range l.keys {
		if !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	at := rnd.Intn(len(batches))
	from := batches[at]
	s := NewState()
	for _, key := range keys {
		if rnd.Intn(3) == 0 { // the next page
			at += rnd.Intn(len(batches) - at)
		}
		var newest []byte
		for i := range batches[at] {
			if l.keys[i] == key {
				newest = l.values[i]
			}
		}
		if len(newest) > 0 {
			assert.NilError(l.t, s.Apply(key, newest))
		}
	}
	for i := from; i < len(l.keys); i++ {
		assert.NilError(l.t, s.Apply(l.keys[i], l.values[i]))
	}
	return s
}

// TestCancellingIsReadFromParts guards against a cancelling that the next owner does not
// find, because the progress of the job was stored in parts that it read one by one.
func TestCancellingIsReadFromParts(t *testing.T) {
	for seed := range int64(300) {
		rnd := rand.New(rand.NewSource(seed))
		now := Instant{Ms: 1000, WallMs: 1000}
		p := fleet(4, now)
		p.cfg.RecordBytes, p.cfg.AppendBytes = 1<<10, 64<<10
		l := &logRecords{t: t, cfg: p.cfg}
		p.Accept(wide("a", 20, now), now)
		startAll(p, now)
		l.takeAll(p, now)
		batches := []int{len(l.keys)}
		cancelled := false
		for range 4 + rnd.Intn(8) {
			now.Ms, now.WallMs = now.Ms+1000, now.WallMs+1000
			switch rnd.Intn(4) {
			case 0:
				assert.Assert(t, p.Cancel("a", now))
				cancelled = true
			case 1:
				state := l.pagedState(rnd, batches)
				state.Claim.Epoch = p.state.Claim.Epoch + 1
				p = NewPlanner(Config{State: state, LeaseMs: 8_000, RetentionMs: 600_000, RecordBytes: l.cfg.RecordBytes, AppendBytes: l.cfg.AppendBytes}, now)
			default:
				reportCheckpoints(p, rnd.Intn(200), now)
				p.dirty["a"] = true
			}
			l.takeAll(p, now)
			batches = append(batches, len(l.keys))
		}
		read := l.pagedState(rnd, batches).Jobs["a"]
		assert.DeepEqual(t, read.Progress, p.state.Jobs["a"].Progress)
		assert.Equal(t, read.Progress.Verdict == Cancelled, cancelled, "seed %d", seed)
	}
}
