package stream

import (
	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/frame"
)

// A Machine is a state that is a pure function of a stream's records. The same
// records in the same order give the same state in every process.
type Machine interface {
	// Apply takes the next record. A record that the machine's own rules
	// reject leaves the state as it was; that is not an error.
	Apply(offset int64, data []byte)
	// Snapshot returns the encoded state after all applied records.
	Snapshot() ([]byte, error)
	// Restore replaces the state with an encoded one.
	Restore(data []byte) error
}

// entry is what the streams of the system hold: a record of the machine, or a
// snapshot of the state after the records up to an offset.
//
// A snapshot never changes a state that is already being followed, and so
// needs no fencing: whoever wrote it, and however late, it is a function of
// the records up to UpTo. A reader that starts in the middle of a stream uses
// one only together with every record after UpTo.
type entry struct {
	Record   []byte
	Snapshot []byte
	UpTo     int64
}

// EncodeRecord returns the stream form of a machine's record.
func EncodeRecord(data []byte) ([]byte, error) { return frame.Encode(entry{Record: data}) }

// Replay follows one stream and keeps a machine up to date. It is not safe for
// concurrent use; the machine's owner guards both with one lock.
type Replay struct {
	Stream  string
	Machine Machine

	next      int64 // offset of the next record to take
	started   bool  // the machine holds the state before next
	buffered  []Record
	bytes     int64 // since the last snapshot seen
	records   int64 // since the last snapshot seen
	corrupted int64 // records that could not be decoded
}

// Next returns the offset of the next record to read.
func (r *Replay) Next() int64 { return r.next }

// Ready reports whether the machine holds the state of the stream. It does not
// as long as a stream whose beginning has been dropped has shown no usable
// snapshot.
func (r *Replay) Ready() bool { return r.started }

// SinceSnapshot returns the records and their bytes since the newest snapshot.
func (r *Replay) SinceSnapshot() (records, bytes int64) { return r.records, r.bytes }

// Corrupted returns how many records could not be decoded and were passed over.
func (r *Replay) Corrupted() int64 { return r.corrupted }

// Take applies one page. It reports whether the page reached the end of the
// stream.
//
// A gap between the last applied record and the page means that retention has
// overtaken a reader that was away too long. The state is then worthless and
// the reader starts again from the next snapshot.
func (r *Replay) Take(p Page) (atHead bool) {
	if p.First > r.next {
		r.next = p.First
		r.started = false
		r.buffered = nil
	}
	if r.next == 0 {
		r.started = true
	}
	for _, rec := range p.Records {
		if rec.Offset != r.next {
			continue
		}
		r.next++
		r.take(rec)
	}
	return r.next >= p.Next
}

func (r *Replay) take(rec Record) {
	e, err := frame.Decode[entry](rec.Data)
	if err != nil {
		r.corrupted++
		return
	}
	r.records++
	r.bytes += int64(len(rec.Data))
	if e.Snapshot != nil {
		r.takeSnapshot(e)
		return
	}
	if !r.started {
		r.buffered = append(r.buffered, Record{Offset: rec.Offset, Data: e.Record})
		return
	}
	r.Machine.Apply(rec.Offset, e.Record)
}

// takeSnapshot starts the machine from the snapshot, if it has not started and
// all records after the snapshot's offset are at hand.
func (r *Replay) takeSnapshot(e entry) {
	if r.started {
		r.records, r.bytes = 0, 0
		return
	}
	firstRead := r.next
	if len(r.buffered) > 0 {
		firstRead = r.buffered[0].Offset
	}
	if e.UpTo < firstRead-1 {
		return
	}
	if err := r.Machine.Restore(e.Snapshot); err != nil {
		r.corrupted++
		return
	}
	for _, rec := range r.buffered {
		if rec.Offset > e.UpTo {
			r.Machine.Apply(rec.Offset, rec.Data)
		}
	}
	r.started, r.buffered = true, nil
	r.records, r.bytes = 0, 0
}

// EncodeSnapshot returns the stream form of the machine's present state.
func (r *Replay) EncodeSnapshot() (data []byte, err error) {
	defer fault.Note(&err, "snapshot of stream %q", r.Stream)
	snap, err := r.Machine.Snapshot()
	if err != nil {
		return nil, err
	}
	return frame.Encode(entry{Snapshot: snap, UpTo: r.next - 1})
}
