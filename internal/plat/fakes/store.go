package fakes

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/plat/ports"
)

// Store fakes the platform's log with keyed topics. It checks the epochs and
// sequence numbers of writers, expires old records on request, and can inject
// faults.
type Store struct {
	mu       sync.Mutex
	rand     *rand.Rand
	topics   map[string]*topic
	faults   StoreFaults
	appended chan struct{} // closed and replaced at each append
	calls    int
}

// StoreFaults holds the injected faults. The zero value means none.
type StoreFaults struct {
	Down   bool            // refuses every call
	Away   map[string]bool // callers whose calls are refused
	Lost   float64         // probability, 0 to 1, that an append takes effect but is not answered
	Delay  time.Duration   // delay of each call
	Silent bool            // calls that Down or Away would refuse get no answer; they have no effect

	ListingDelay map[string]time.Duration // additional delay of the listings of a topic
}

type topic struct {
	records  []ports.Record // the retained records; records[0] has the offset first
	first    int64
	newest   map[string]ports.Record
	writers  map[string]*writerState
	listings int // calls of Newest
}

// writerState is what the store checks the next append of a writer against.
type writerState struct {
	epoch  int64
	next   int64           // expected sequence number; an epoch may start with any
	recent map[int64]int64 // sequence number -> offset of the last few appends
}

// maxRecent is the number of recent appends kept for each writer. Repeating one of
// them returns its original offset and appends nothing.
const maxRecent = 5

// Limits of a Store, in bytes: of a record without its length, and of an append.
const (
	StoreRecordBytes = 256 << 10
	StoreAppendBytes = 2 << 20
)

// NewStore returns an empty store.
func NewStore(seed int64) *Store {
	return &Store{rand: rand.New(rand.NewSource(seed)), topics: map[string]*topic{}, appended: make(chan struct{})}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Listings returns how often the newest records of a topic have been listed.
func (s *Store) Listings(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(name).listings
}

// Newest returns the newest record of every key of a topic, whatever the faults.
func (s *Store) Newest(name string) (list []ports.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.topic(name).newest {
		list = append(list, r)
	}
	return list
}

// Compact expires all records of a topic. Newest still returns the newest record
// of each key.
func (s *Store) Compact(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first += int64(len(t.records))
	t.records = nil
}

// Put appends a record without a writer, as the operators and workers do.
func (s *Store) Put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.topic(name), []ports.Record{{Key: key, Value: value}})
}

// For returns a client of the store for the named caller.
func (s *Store) For(caller string) ports.Store { return &storeClient{store: s, caller: caller} }

// topic returns the named topic and creates it if needed. The caller holds s.mu.
func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]ports.Record{}, writers: map[string]*writerState{}}
		s.topics[name] = t
	}
	return t
}

// add appends records and returns the offset of the first. The caller holds s.mu.
func (s *Store) add(t *topic, records []ports.Record) int64 {
	offset := t.first + int64(len(t.records))
	for i, r := range records {
		r.Offset = offset + int64(i)
		t.records = append(t.records, r)
		t.newest[r.Key] = r
		if len(r.Value) == 0 {
			delete(t.newest, r.Key)
		}
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// storeClient is the store as used by one caller.
type storeClient struct {
	store  *Store
	caller string
}

var _ ports.Store = (*storeClient)(nil)

// applyFaults counts a call and applies the injected faults to it.
func (c *storeClient) applyFaults(ctx context.Context) error {
	s := c.store
	s.mu.Lock()
	s.calls++
	f := s.faults
	s.mu.Unlock()
	if err := wait(ctx, f.Delay); err != nil {
		return err
	}
	if !f.Down && !f.Away[c.caller] {
		return nil
	}
	if f.Silent {
		<-ctx.Done()
		return fault.New(fault.Timeout, fault.NotRun, "store does not answer")
	}
	return &ports.RefusedError{Reason: ports.RefusedBusy, Status: 503}
}

// wait returns after a delay, or an error if ctx is done before.
func wait(ctx context.Context, delay time.Duration) error {
	if delay <= 0 {
		return nil
	}
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return fault.New(fault.Timeout, fault.NotRun, "deadline exceeded before the delayed store answered")
	case <-t.C:
		return nil
	}
}

// Append appends records; see ports.Store.
func (c *storeClient) Append(ctx context.Context, r ports.AppendRequest) (int64, error) {
	if err := c.applyFaults(ctx); err != nil {
		return 0, err
	}
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	offset, err := s.append(r)
	if err == nil && s.rand.Float64() < s.faults.Lost {
		return 0, fault.New(fault.Timeout, fault.Unknown, "answer lost")
	}
	return offset, err
}

// append checks the epoch and sequence number of the writer, if any, and appends
// the records. The caller holds s.mu.
func (s *Store) append(r ports.AppendRequest) (int64, error) {
	t := s.topic(r.Topic)
	size := 0
	for _, rec := range r.Records {
		n := 1 + len(rec.Key) + len(rec.Value)
		if n > StoreRecordBytes {
			return 0, &ports.RefusedError{Reason: ports.RefusedInvalid, Status: 413}
		}
		size += 4 + n
	}
	if size > StoreAppendBytes {
		return 0, &ports.RefusedError{Reason: ports.RefusedInvalid, Status: 413}
	}
	if r.Writer == "" {
		return s.add(t, r.Records), nil
	}
	w := t.writers[r.Writer]
	if w == nil || r.Epoch > w.epoch {
		w = &writerState{epoch: r.Epoch, next: r.Seq, recent: map[int64]int64{}}
		t.writers[r.Writer] = w
	}
	if r.Epoch < w.epoch {
		return 0, &ports.RefusedError{Reason: ports.RefusedFence, Status: 409}
	}
	if offset, ok := w.recent[r.Seq]; ok {
		return offset, nil
	}
	if r.Seq != w.next {
		return 0, &ports.RefusedError{Reason: ports.RefusedSequence, Status: 409}
	}
	offset := s.add(t, r.Records)
	w.recent[r.Seq] = offset
	delete(w.recent, r.Seq-maxRecent)
	w.next++
	return offset, nil
}

// Read returns all records from r.From on. It ignores the size limit of r.
func (c *storeClient) Read(ctx context.Context, r ports.ReadRequest) (ports.Page, error) {
	if err := c.applyFaults(ctx); err != nil {
		return ports.Page{}, err
	}
	s := c.store
	deadline := time.NewTimer(r.Wait)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		t := s.topic(r.Topic)
		end, appended := t.first+int64(len(t.records)), s.appended
		if r.From < t.first {
			s.mu.Unlock()
			return ports.Page{}, &ports.GoneError{First: t.first}
		}
		if r.From < end || r.Wait == 0 {
			p := ports.Page{First: t.first, End: end}
			if r.From < end {
				p.Records = append(p.Records, t.records[r.From-t.first:]...)
			}
			s.mu.Unlock()
			return p, nil
		}
		s.mu.Unlock()
		select {
		case <-appended:
		case <-deadline.C:
			r.Wait = 0
		case <-ctx.Done():
			return ports.Page{}, fault.New(fault.Timeout, fault.NotRun, "deadline exceeded while waiting for a record")
		}
	}
}

// Newest returns the newest record of every key in one page, in no particular
// order. It ignores the argument after which a page starts.
func (c *storeClient) Newest(ctx context.Context, name, _ string) (ports.Newest, error) {
	if err := c.applyFaults(ctx); err != nil {
		return ports.Newest{}, err
	}
	s := c.store
	s.mu.Lock()
	delay := s.faults.ListingDelay[name]
	s.mu.Unlock()
	if err := wait(ctx, delay); err != nil {
		return ports.Newest{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.listings++
	n := ports.Newest{End: t.first + int64(len(t.records))}
	for _, r := range t.newest {
		n.Records = append(n.Records, r)
	}
	return n, nil
}
