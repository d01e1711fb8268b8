package sched

import (
	"bytes"
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/cell/jobs"
)

// wide returns a job with one step of n small tasks that write checkpoints.
func wide(id string, n int, now Instant) Spec {
	return Spec{ID: id, Queue: "wide", AcceptedMs: now.WallMs, Steps: []Step{{Count: n, Size: jobs.Size{CPU: 10}, EstimateMs: 60_000, Checkpoints: true}}}
}

// logRecords collects the records of batches, and checks that the store would take them.
type logRecords struct {
	t      *testing.T
	cfg    Config
	keys   []string
	values [][]byte
}

// takeAll takes batches from the planner until all is stored.
func (l *logRecords) takeAll(p *Planner, now Instant) {
	for {
		b, err := p.TakeBatch(now)
		assert.NilError(l.t, err)
		size := 0
		for i, key := range b.Keys {
			n := 1 + len(key) + len(b.Values[i])
			assert.Assert(l.t, n <= l.cfg.recordBytes(), "record %q has %d bytes", key, n)
			size += 4 + n
		}
		assert.Assert(l.t, size <= l.cfg.appendBytes(), "an append has %d bytes", size)
		l.keys, l.values = append(l.keys, b.Keys...), append(l.values, b.Values...)
		p.Stored(b)
		if b.Complete {
			return
		}
	}
}

// state returns the state after the records from index from on, preceded by the newest
// record of each key among the first upTo, in random order.
func (l *logRecords) state(rnd *rand.Rand, from, upTo int) *State {
	newest := map[string][]byte{}
	for i := range upTo {
		newest[l.keys[i]] = l.values[i]
	}
	s := NewState()
	keys := make([]string, 0, len(newest))
	for key := range newest {
		keys = append(keys, key)
	}
	rnd.Shuffle(len(keys), func(a, b int) { keys[a], keys[b] = keys[b], keys[a] })
	for _, key := range keys {
		if v := newest[key]; len(v) > 0 {
			assert.NilError(l.t, s.Apply(key, v))
		}
	}
	for i := from; i < len(l.keys); i++ {
		assert.NilError(l.t, s.Apply(l.keys[i], l.values[i]))
	}
	return s
}

// report makes the workers list all their runs with checkpoints of the given length.
func reportCheckpoints(p *Planner, length int, now Instant) {
	for _, w := range p.workers {
		r := WorkerReport{SentMs: now.Ms, Incarnation: 1}
		for ref, a := range w.allocations {
			r.Running = append(r.Running, Running{Task: ref.String(), Run: a.run, Checkpoint: strings.Repeat("c", length)})
		}
		p.ApplyReport(w.ID, r, now)
	}
}

// startAll starts all tasks that fit.
func startAll(p *Planner, now Instant) {
	for {
		plan := p.Plan(noHosts{}, now)
		if len(plan.Starts) == 0 {
			return
		}
		for _, s := range p.ReleaseStarts(plan.Starts, now) {
			p.ApplyStartOutcome(s, StartConfirmed, now)
		}
	}
}

// TestLongProgressIsStored guards against an owner that appends a record for good which
// the store can't take: the progress of a job grows with the checkpoints of its tasks.
func TestLongProgressIsStored(t *testing.T) {
	now := Instant{Ms: 1000, WallMs: 1000}
	p := fleet(40, now)
	l := &logRecords{t: t, cfg: p.cfg}
	p.Accept(wide("a", 2800, now), now)
	p.Accept(wide("b", 10, now), now)
	rnd := rand.New(rand.NewSource(1))
	startAll(p, now)
	for _, length := range []int{16, 100, 300, 150, 10, 250, 0, 400} {
		now.Ms += 1000
		reportCheckpoints(p, length, now)
		p.dirty["a"], p.dirty["b"] = true, true
		before := len(l.keys)
		l.takeAll(p, now)
		assert.DeepEqual(t, l.state(rnd, 0, 0).Jobs["a"].Progress, p.state.Jobs["a"].Progress)
		for range 5 { // a listing whose pages were read before and after appends
			from := rnd.Intn(before + 1)
			assert.DeepEqual(t, l.state(rnd, from, from+rnd.Intn(len(l.keys)-from+1)).Jobs["a"].Progress, p.state.Jobs["a"].Progress)
		}
	}
	assert.Equal(t, p.state.Jobs["a"].checkpointsFull, true)
	assert.DeepEqual(t, p.TakeFullJobs(), []string{"a"})
}

// TestTakeoverDropsLongJob checks that nothing of a job that was stored in parts is left
// when its retention has ended, after a takeover in between.
func TestTakeoverDropsLongJob(t *testing.T) {
	now := Instant{Ms: 1000, WallMs: 1000}
	p := fleet(40, now)
	l := &logRecords{t: t, cfg: p.cfg}
	p.Accept(wide("a", 2800, now), now)
	startAll(p, now)
	reportCheckpoints(p, 300, now)
	p.Cancel("a", now)
	l.takeAll(p, now)
	rnd := rand.New(rand.NewSource(1))
	p = NewPlanner(Config{State: l.state(rnd, 0, 0), LeaseMs: 8_000, RetentionMs: 60_000}, now)
	now.Ms, now.WallMs = now.Ms+120_000, now.WallMs+120_000
	l.takeAll(p, now)
	newest := map[string]bool{}
	for i, key := range l.keys {
		newest[key] = len(l.values[i]) > 0
	}
	for key, left := range newest {
		assert.Check(t, !left, "record %q is left", key)
	}
}

// TestLongDescriptionIsStored guards against a record of an accepted job that the store
// can't take: its body is as long as the front accepts.
func TestLongDescriptionIsStored(t *testing.T) {
	now := Instant{Ms: 1000, WallMs: 1000}
	p := fleet(2, now)
	l := &logRecords{t: t, cfg: p.cfg}
	spec := wide("a", 1, now)
	spec.Steps[0].Image = strings.Repeat("i", 262_140)
	assert.NilError(t, p.CheckSize(spec))
	p.Accept(spec, now)
	startAll(p, now)
	l.takeAll(p, now)
	s := l.state(rand.New(rand.NewSource(1)), 0, 0)
	assert.DeepEqual(t, s.Jobs["a"].Spec, spec)
	assert.DeepEqual(t, s.Jobs["a"].Progress, p.state.Jobs["a"].Progress)
	spec.Steps[0].Image = strings.Repeat("i", 2<<20)
	assert.ErrorContains(t, p.CheckSize(spec), "more than the limit")
}

// TestRecordsFitSmallStore checks that batches keep to the limits of a store that takes
// less than the usual one.
func TestRecordsFitSmallStore(t *testing.T) {
	now := Instant{Ms: 1000, WallMs: 1000}
	p := fleet(40, now)
	p.cfg.RecordBytes, p.cfg.AppendBytes = 16<<10, 64<<10
	l := &logRecords{t: t, cfg: p.cfg}
	for i := range 30 {
		spec := wide(fmt.Sprintf("a%02d", i), 100, now)
		assert.NilError(t, p.CheckSize(spec))
		p.Accept(spec, now)
	}
	startAll(p, now)
	for _, length := range []int{10, 200, 600} {
		now.Ms += 1000
		reportCheckpoints(p, length, now)
		for id := range p.state.Jobs {
			p.dirty[id] = true
		}
		l.takeAll(p, now)
		s := l.state(rand.New(rand.NewSource(1)), 0, 0)
		for id, j := range p.state.Jobs {
			assert.DeepEqual(t, s.Jobs[id].Progress, j.Progress)
		}
	}
	assert.ErrorContains(t, p.CheckSize(wide("b", 3000, now)), "more than the limit")
}

// FuzzParts applies records with the key of a part. Nothing they hold may end the process.
func FuzzParts(f *testing.F) {
	f.Add("xpa.0", []byte{0x93, 1, 1, 0xc4, 0})
	f.Add("x.0", []byte{0x93, 1, 1, 0xc4, 0})
	f.Add("xxpa.0.0", []byte{})
	f.Fuzz(func(_ *testing.T, key string, value []byte) {
		s := NewState()
		_ = s.Apply(key, value)
		_ = s.Apply(key, bytes.Clone(value))
		_ = s.Apply(key, nil)
	})
}
