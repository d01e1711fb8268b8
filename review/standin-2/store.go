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

// store is the platform's metadata store: a log with keyed topics. It keeps all records.
type store struct {
	addr string
	srv  *http.Server

	mu     sync.Mutex
	topics map[string]*topic
	grown  chan struct{} // closed and replaced at each append
}

type topic struct {
	writing  sync.Mutex // a partition processes its appends one at a time
	records  [][]byte
	newest   map[string]int // offset of the newest record with a value, by key
	epoch    map[string]int64
	seq      map[string]int64
	answered map[string][]answered // the last five appends of a producer
}

type answered struct{ epoch, seq, offset, end int64 }

const appendTime = 4 * time.Millisecond

func newStore() (*store, error) {
	s := &store{topics: map[string]*topic{}, grown: make(chan struct{})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.serveAppend)
	mux.HandleFunc("GET /log-read", s.serveRead)
	mux.HandleFunc("GET /log-newest", s.serveNewest)
	s.srv = &http.Server{Handler: mux}
	go s.srv.Serve(ln)
	return s, nil
}

// topic returns a topic. The caller holds s.mu.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}, epoch: map[string]int64{}, seq: map[string]int64{}, answered: map[string][]answered{}}
		s.topics[name] = t
	}
	return t
}

// add appends records. The caller holds s.mu.
func (s *store) add(t *topic, records [][]byte) {
	for _, r := range records {
		if n := int(r[0]); n < len(r) {
			key := string(r[1 : 1+n])
			if len(r) == 1+n {
				delete(t.newest, key)
			} else {
				t.newest[key] = len(t.records)
			}
		}
		t.records = append(t.records, r)
	}
	close(s.grown)
	s.grown = make(chan struct{})
}

// put writes a record for the operator or an executor.
func (s *store) put(topicName, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := append([]byte{byte(len(key))}, key...)
	s.add(s.topic(topicName), [][]byte{append(r, value...)})
}

func num(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	return n
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for b := body; len(b) > 0; {
		if len(b) < 4 || int(binary.BigEndian.Uint32(b)) > len(b)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := 4 + int(binary.BigEndian.Uint32(b))
		if n-4 > recordBytes || n < 5 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, b[4:n])
		b = b[n:]
	}
	if len(body) > callBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	s.mu.Lock()
	t := s.topic(name)
	s.mu.Unlock()
	t.writing.Lock()
	defer t.writing.Unlock()
	time.Sleep(appendTime + time.Duration(float64(len(body))/20e6*float64(time.Second)))
	status, v := s.apply(t, r.URL.Query().Get("producer"), num(r, "epoch"), num(r, "sequence"), records)
	writeJSON(w, status, v)
}

// apply applies an append under its producer's conditions.
func (s *store) apply(t *topic, producer string, epoch, seq int64, records [][]byte) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if producer != "" {
		last, known := t.epoch[producer]
		switch {
		case known && epoch < last:
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		case known && epoch == last && seq != t.seq[producer]+1:
			for _, a := range t.answered[producer] {
				if a.epoch == epoch && a.seq == seq {
					return http.StatusOK, map[string]any{"offset": a.offset, "endOffset": a.end}
				}
			}
			return http.StatusConflict, map[string]any{"reason": "seq", "expected": t.seq[producer] + 1}
		}
		t.epoch[producer], t.seq[producer] = epoch, seq
	}
	offset := int64(len(t.records))
	s.add(t, records)
	end := int64(len(t.records))
	if producer != "" {
		list := append(t.answered[producer], answered{epoch, seq, offset, end})
		t.answered[producer] = list[max(len(list)-5, 0):]
	}
	return http.StatusOK, map[string]any{"offset": offset, "endOffset": end}
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	from, limit := num(r, "from"), int(num(r, "maxKb"))<<10
	if limit == 0 {
		limit = 1 << 20
	}
	deadline := time.After(time.Duration(min(num(r, "waitMs"), 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		t, grown := s.topic(r.URL.Query().Get("topic")), s.grown
		records := t.records
		s.mu.Unlock()
		if from < int64(len(records)) {
			b := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			b = binary.BigEndian.AppendUint64(b, 0)
			for i := from; i < int64(len(records)) && (i == from || len(b)+len(records[i]) < limit); i++ {
				b = binary.BigEndian.AppendUint32(b, uint32(len(records[i])))
				b = append(b, records[i]...)
			}
			_, _ = w.Write(b)
			return
		}
		select {
		case <-grown:
		case <-r.Context().Done():
			return
		case <-deadline:
			b := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			_, _ = w.Write(binary.BigEndian.AppendUint64(b, 0))
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("dependsOn")
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	var keys []string
	for k := range t.newest {
		if k > after || after == "" {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, k := range keys {
		rec := t.records[t.newest[k]]
		if len(items) == 500 || len(items) > 0 && size+len(rec) > 1<<20 {
			more = true
			break
		}
		size += len(rec)
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(rec[1+len(k):]), "offset": t.newest[k]})
	}
	end := len(t.records)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "endOffset": end})
}

// has reports whether a topic has a key with this prefix.
func (s *store) has(topicName, prefix string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.topic(topicName).newest {
		if strings.HasPrefix(k, prefix) {
			return true
		}
	}
	return false
}
