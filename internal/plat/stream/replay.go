package stream

import (
	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/frame"
)

// Machine is a deterministic state machine: the same records in the same order
// give the same state in every process.
type Machine interface {
	// Apply applies the next record. A record that the machine rejects leaves
	// the state unchanged; that is not an error.
	Apply(offset int64, data []byte)
	// Snapshot returns the encoded current state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with an encoded one.
	Restore(data []byte) error
}

// entry is one record of a stream: either a record of the machine, or a snapshot
// of its state after the records up to offset UpTo.
//
// A snapshot needs no fencing: it is a function of the records up to UpTo, no
// matter which process wrote it and when, and a reader that already has the
// state ignores it. A reader that starts in the middle of a stream restores a
// snapshot only if it has read every record between UpTo and the snapshot.
type entry struct {
	Record   []byte
	Snapshot []byte
	UpTo     int64
}

// EncodeRecord encodes a machine's record for the stream.
func EncodeRecord(data []byte) ([]byte, error) { return frame.Encode(entry{Record: data}) }

// Replay applies the records of one stream to a machine. It is not safe for
// concurrent use; guard it and the machine with the same lock.
type Replay struct {
	Stream  string
	Machine Machine

	next      int64    // offset of the next record
	ready     bool     // the machine has the state after all records before next
	buffered  []Record // machine records read while not ready
	bytes     int64    // total size of the records counted by records
	records   int64    // number of records since the last usable snapshot; see SinceSnapshot
	corrupted int64    // number of records and snapshots that could not be decoded or restored
}

// Next returns the offset of the next record to read.
func (r *Replay) Next() int64 { return r.next }

// Ready reports whether the machine has the state of the stream. If the start of
// the stream has expired, this is false until a usable snapshot has been read.
func (r *Replay) Ready() bool { return r.ready }

// SinceSnapshot returns the number and the total size of the records read since
// the last usable snapshot. Snapshots that were ignored while the machine had no
// state, or that could not be restored, count as records.
func (r *Replay) SinceSnapshot() (records, bytes int64) { return r.records, r.bytes }

// Corrupted returns how many records and snapshots were skipped because they
// could not be decoded or restored.
func (r *Replay) Corrupted() int64 { return r.corrupted }

// Take applies one page. It reports whether the page reached the end of the
// stream.
//
// If records between the last applied one and the page have expired, the reader
// was too slow: the state is discarded and rebuilt from the next snapshot.
func (r *Replay) Take(p Page) (atEnd bool) {
	if p.First > r.next {
		r.next = p.First
		r.ready = false
		r.buffered = nil
	}
	if r.next == 0 {
		r.ready = true
	}
	for _, rec := range p.Records {
		if rec.Offset != r.next {
			continue
		}
		r.next++
		r.applyRecord(rec)
	}
	return r.next >= p.Next
}

// applyRecord decodes a record and applies it to the machine, or buffers it while
// the machine has no state.
func (r *Replay) applyRecord(rec Record) {
	e, err := frame.Decode[entry](rec.Data)
	if err != nil {
		r.corrupted++
		return
	}
	r.records++
	r.bytes += int64(len(rec.Data))
	if e.Snapshot != nil {
		r.applySnapshot(e)
		return
	}
	if !r.ready {
		r.buffered = append(r.buffered, Record{Offset: rec.Offset, Data: e.Record})
		return
	}
	r.Machine.Apply(rec.Offset, e.Record)
}

// applySnapshot only resets the counters if the machine has its state. Otherwise it
// restores the machine if the first buffered record is at or before UpTo+1, and
// applies the buffered records after UpTo. It ignores a snapshot that is read
// before any machine record, even if no record after UpTo is missing.
func (r *Replay) applySnapshot(e entry) {
	if r.ready {
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
	r.ready, r.buffered = true, nil
	r.records, r.bytes = 0, 0
}

// EncodeSnapshot encodes a snapshot of the machine's current state for the
// stream.
func (r *Replay) EncodeSnapshot() (data []byte, err error) {
	defer fault.Annotate(&err, "snapshot of stream %q", r.Stream)
	snap, err := r.Machine.Snapshot()
	if err != nil {
		return nil, err
	}
	return frame.Encode(entry{Snapshot: snap, UpTo: r.next - 1})
}
