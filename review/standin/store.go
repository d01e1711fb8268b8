package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as the settings state them.
const (
	recordBytes = 262144
	callBytes   = 2097152
	appendMs    = 4
)

// record is one record of a keyed topic.
type record struct {
	offset int64
	key    string
	value  []byte
	raw    []byte
}

// topic is partition 0 of a topic.
type topic struct {
	records []record
	newest  map[string]record
	writers map[string]*writer
	appends sync.Mutex // a partition processes its appends one at a time
}

// writer is what an append of a producer is checked against.
type writer struct {
	epoch  int64
	next   int64
	recent map[int64][2]int64
}

// store is a stand-in for the platform's metadata store.
type store struct {
	rec *recorder

	mu       sync.Mutex
	topics   map[string]*topic
	appended chan struct{}
	refused  int // appends refused as too large
}

func newStore(rec *recorder) *store {
	return &store{rec: rec, topics: map[string]*topic{}, appended: make(chan struct{})}
}

// serve serves the store on a free port of ip and returns its address.
func (s *store) serve(ip string) (string, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.append)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.listNewest)
	mux.HandleFunc("POST /standin/put", s.put)
	go http.Serve(ln, mux)
	return ln.Addr().String(), nil
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]record{}, writers: map[string]*writer{}}
		s.topics[name] = t
	}
	return t
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// split splits the body of an append into records. It returns a status other than 0 if
// the store refuses the append.
func split(body []byte) (list []record, status int) {
	total := 0
	for b := body; len(b) > 0; {
		if len(b) < 4 {
			return nil, http.StatusBadRequest
		}
		n := int(binary.BigEndian.Uint32(b))
		if n > recordBytes {
			return nil, http.StatusRequestEntityTooLarge
		}
		if n < 1 || n > len(b)-4 || int(b[4]) > n-1 {
			return nil, http.StatusBadRequest
		}
		raw := b[4 : 4+n]
		k := int(raw[0])
		list = append(list, record{key: string(raw[1 : 1+k]), value: raw[1+k:], raw: raw})
		total += n
		b = b[4+n:]
	}
	if total > callBytes {
		return nil, http.StatusRequestEntityTooLarge
	}
	return list, 0
}

// append serves POST /log-append.
func (s *store) append(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	name := q.Get("topic")
	body, err := io.ReadAll(io.LimitReader(r.Body, 4*callBytes))
	if err != nil {
		return
	}
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	list, status := split(body)
	if status != 0 {
		s.mu.Lock()
		s.refused++
		n := s.refused
		s.mu.Unlock()
		if n <= 3 {
			s.rec.note("store: append of %d bytes to %s refused with %d: a record is longer than recordBytes (%d)", len(body), name, status, recordBytes)
		}
		w.WriteHeader(status)
		return
	}
	s.mu.Lock()
	t := s.topic(name)
	s.mu.Unlock()
	t.appends.Lock()
	defer t.appends.Unlock()
	time.Sleep(appendMs * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := q.Get("at"); at != "" && at != strconv.Itoa(len(t.records)) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"endOffset": len(t.records)})
		return
	}
	var wr *writer
	epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
	seq, _ := strconv.ParseInt(q.Get("sequence"), 10, 64)
	if p := q.Get("producer"); p != "" {
		wr = t.writers[p]
		switch {
		case wr == nil || epoch > wr.epoch:
			wr = &writer{epoch: epoch, next: seq, recent: map[int64][2]int64{}}
			t.writers[p] = wr
		case epoch < wr.epoch:
			writeJSON(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if a, ok := wr.recent[seq]; ok {
			writeJSON(w, http.StatusOK, map[string]any{"offset": a[0], "endOffset": a[1]})
			return
		}
		if seq != wr.next {
			writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": wr.next})
			return
		}
	}
	first := s.add(t, list)
	end := int64(len(t.records))
	if wr != nil && len(list) > 0 {
		wr.recent[seq] = [2]int64{first, end}
		delete(wr.recent, seq-5)
		wr.next = seq + 1
	}
	writeJSON(w, http.StatusOK, map[string]any{"offset": first, "endOffset": end})
}

// add appends records. The caller holds s.mu.
func (s *store) add(t *topic, list []record) int64 {
	first := int64(len(t.records))
	for i, r := range list {
		r.offset = first + int64(i)
		t.records = append(t.records, r)
		if len(r.value) == 0 {
			delete(t.newest, r.key)
		} else {
			t.newest[r.key] = r
		}
	}
	if len(list) > 0 {
		close(s.appended)
		s.appended = make(chan struct{})
	}
	return first
}

// set writes a record as the operator and the executors do.
func (s *store) set(name, key string, value []byte) {
	raw := append(append([]byte{byte(len(key))}, key...), value...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.topic(name), []record{{key: key, value: value, raw: raw}})
}

// put serves the executors' writes, whose form the pages don't tell.
func (s *store) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err == nil {
		s.set(r.URL.Query().Get("topic"), r.URL.Query().Get("key"), body)
	}
}

// read serves GET /log-read.
func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	maxKb, _ := strconv.Atoi(q.Get("maxKb"))
	if maxKb <= 0 {
		maxKb = 1024
	}
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		t, ch := s.topic(q.Get("topic")), s.appended
		if from < len(t.records) || waitMs == 0 {
			b := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
			b = binary.BigEndian.AppendUint64(b, 0)
			for i := from; i < len(t.records) && len(b) < maxKb<<10; i++ {
				b = binary.BigEndian.AppendUint32(b, uint32(len(t.records[i].raw)))
				b = append(b, t.records[i].raw...)
			}
			s.mu.Unlock()
			_, _ = w.Write(b)
			return
		}
		s.mu.Unlock()
		select {
		case <-ch:
		case <-deadline:
			waitMs = 0
		case <-r.Context().Done():
			return
		}
	}
}

// listNewest serves GET /log-newest.
func (s *store) listNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	var keys []string
	for k := range t.newest {
		if strings.Compare(k, q.Get("dependsOn")) > 0 {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, k := range keys {
		if len(items) == 500 || size > 1<<20 {
			more = true
			break
		}
		n := t.newest[k]
		size += len(n.value)
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(n.value), "offset": n.offset})
	}
	end := len(t.records)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "endOffset": end})
}
