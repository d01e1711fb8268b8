package stream

import (
	"os"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lagooncourse/internal/base/frame"
	"lagooncourse/internal/base/seeds"
)

func TestMain(m *testing.M) { os.Exit(seeds.Run(m)) }

// history is a machine whose state is the list of all applied records.
type history struct{ Records []string }

func (h *history) Apply(_ int64, data []byte) { h.Records = append(h.Records, string(data)) }
func (h *history) Snapshot() ([]byte, error)  { return frame.Encode(h.Records) }
func (h *history) Restore(data []byte) error {
	records, err := frame.Decode[[]string](data)
	h.Records = records
	return err
}

// memStream is an in-memory stream.
type memStream struct {
	data    [][]byte
	records []string // records that a reader of the whole stream has applied
}

func (s *memStream) page(from, first int64, most int) Page {
	p := Page{First: first, Next: int64(len(s.data))}
	for off := max(from, first); off < p.Next && len(p.Records) < most; off++ {
		p.Records = append(p.Records, Record{Offset: off, Data: s.data[off]})
	}
	return p
}

// TestAgainstNaive writes records, corrupt records and snapshots, some of them
// appended long after they were encoded, and truncates the start of the stream.
// A new reader that reports Ready must have the state of a reader of the whole
// stream.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s memStream
		writer := &Replay{Machine: &history{}}
		var late [][]byte
		for i := range rapid.IntRange(1, 60).Draw(t, "n") {
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				snap, err := writer.EncodeSnapshot()
				assert.NilError(t, err)
				late = append(late, snap)
			case 1:
				if len(late) > 0 {
					n := rapid.IntRange(0, len(late)-1).Draw(t, "late")
					s.data = append(s.data, late[n])
				}
			case 2:
				s.data = append(s.data, []byte{0xc1})
			default:
				text := string(rune('a' + i%26))
				data, err := EncodeRecord([]byte(text))
				assert.NilError(t, err)
				s.data = append(s.data, data)
				s.records = append(s.records, text)
			}
			writer.Take(s.page(writer.Next(), 0, 100))
		}
		assert.DeepEqual(t, writer.Machine.(*history).Records, s.records)
		readFresh(t, &s)
	})
}

// readFresh reads a truncated stream in small pages with a new reader.
func readFresh(t *rapid.T, s *memStream) {
	first := rapid.Int64Range(0, int64(len(s.data))).Draw(t, "first")
	m := &history{}
	r := &Replay{Machine: m}
	atEnd := false
	for range len(s.data) + 1 {
		atEnd = r.Take(s.page(r.Next(), first, rapid.IntRange(1, 5).Draw(t, "page")))
	}
	assert.Assert(t, atEnd)
	if first == 0 {
		assert.Assert(t, r.Ready())
	}
	if r.Ready() {
		assert.Assert(t, slices.Equal(m.Records, s.records), "%v, want %v", m.Records, s.records)
	}
}

// TestExpiredRecords checks that a reader whose next records have expired discards
// its state and rebuilds it from the next snapshot.
func TestExpiredRecords(t *testing.T) {
	m := &history{}
	r := &Replay{Machine: m}
	rec := func(s string) []byte {
		data, err := EncodeRecord([]byte(s))
		assert.NilError(t, err)
		return data
	}
	assert.Assert(t, r.Take(Page{Next: 1, Records: []Record{{Offset: 0, Data: rec("a")}}}))
	assert.Assert(t, r.Ready())
	r.Take(Page{First: 5, Next: 6, Records: []Record{{Offset: 5, Data: rec("f")}}})
	assert.Assert(t, !r.Ready())
	state, err := frame.Encode([]string{"a", "b", "c", "d", "e", "f"})
	assert.NilError(t, err)
	snap, err := frame.Encode(entry{Snapshot: state, UpTo: 5})
	assert.NilError(t, err)
	r.Take(Page{First: 5, Next: 8, Records: []Record{{Offset: 6, Data: snap}, {Offset: 7, Data: rec("g")}}})
	assert.Assert(t, r.Ready())
	assert.DeepEqual(t, m.Records, []string{"a", "b", "c", "d", "e", "f", "g"})
}
