package fakes

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"
	"golang.org/x/time/rate"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/httpd"
	"lagooncourse/internal/plat/stream"
)

// LogConfig is the configuration of a Log.
type LogConfig struct {
	Addr             string
	AppendsPerSecond int           // rate limit of appends to all streams together; 0 means no limit
	Retention        time.Duration // records older than this expire; 0 keeps them
}

// LogFaults sets the injected faults of a Log.
type LogFaults struct {
	Outage      bool  `json:"outage"`      // every request fails without an answer
	SlowMs      int64 `json:"slowMs"`      // delay of every request in milliseconds
	LoseAnswers int   `json:"loseAnswers"` // this many appends take effect but are not answered
	DropAppends int   `json:"dropAppends"` // this many appends have no effect and are not answered
	KeepLast    int   `json:"keepLast"`    // when set, every stream is truncated to this many records; 0 means no truncation
}

// LogStats holds the counters of a Log.
type LogStats struct {
	Appends int64 `json:"appends"`
	Refused int64 `json:"refused"` // appends refused by the rate limit
	Reads   int64 `json:"reads"`   // pages built; a long poll may build several
	Bytes   int64 `json:"bytes"`   // bytes appended
}

// Log fakes the platform's log service.
type Log struct {
	cfg    LogConfig
	srv    *httpd.Server
	limit  *rate.Limiter
	cancel context.CancelFunc
	ctx    context.Context

	mu      sync.Mutex
	faults  LogFaults
	stats   LogStats
	streams map[string]*logStream
}

type logStream struct {
	first   int64 // offset of records[0]
	records []logRecord
	changed chan struct{} // closed at the next append
}

type logRecord struct {
	data []byte
	at   time.Time
}

const (
	maxAppendBytes = 4 << 20
	maxPageBytes   = 4 << 20 // a page gets no further record from this size on
	appendBurst    = 20      // appends accepted at once at the rate limit
)

// StartLog starts a log on cfg.Addr.
func StartLog(cfg LogConfig) (l *Log, err error) {
	defer fault.Annotate(&err, "start fake log")
	limit := rate.NewLimiter(rate.Inf, 0)
	if cfg.AppendsPerSecond > 0 {
		limit = rate.NewLimiter(rate.Limit(cfg.AppendsPerSecond), appendBurst)
	}
	l = &Log{cfg: cfg, limit: limit, streams: map[string]*logStream{}}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.srv, err = httpd.Listen(httpd.Config{Name: "log", Addr: cfg.Addr, Routes: []rest.Route{
		post("/streams/:name", l.withFaults(l.append)),
		get("/streams/:name", l.withFaults(l.read)),
		get("/stats", func(w http.ResponseWriter, _ *http.Request) { httpd.WriteJSON(w, l.Stats()) }),
		switchRoute(l.Set),
	}})
	if err != nil {
		return nil, err
	}
	go func() { _ = l.srv.Serve() }()
	return l, nil
}

// URL returns the base URL of the log.
func (l *Log) URL() string { return l.srv.URL() }

// Close stops the log immediately.
func (l *Log) Close() {
	l.cancel()
	l.srv.Close()
}

// Set replaces the injected faults.
func (l *Log) Set(s LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = s
	if s.KeepLast > 0 {
		for _, st := range l.streams {
			st.drop(len(st.records) - s.KeepLast)
		}
	}
}

// Stats returns the counters.
func (l *Log) Stats() LogStats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats
}

// Records returns the retained records of a stream.
func (l *Log) Records(name string) []stream.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.stream(name)
	records := make([]stream.Record, 0, len(st.records))
	for i, rec := range st.records {
		records = append(records, stream.Record{Offset: st.first + int64(i), Data: rec.data})
	}
	return records
}

// withFaults wraps a handler with the faults SlowMs and Outage.
func (l *Log) withFaults(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		l.mu.Lock()
		faults := l.faults
		l.mu.Unlock()
		if faults.SlowMs > 0 {
			select {
			case <-time.After(time.Duration(faults.SlowMs) * time.Millisecond):
			case <-r.Context().Done():
			}
		}
		if faults.Outage {
			dropConn(w)
			return
		}
		h(w, r)
	}
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	req, err := httpd.ReadJSON[stream.AppendRequest](r, maxAppendBytes)
	if err != nil {
		httpd.WriteError(w, err)
		return
	}
	if !l.limit.Allow() {
		l.mu.Lock()
		l.stats.Refused++
		l.mu.Unlock()
		httpd.WriteError(w, fault.New(fault.Overload, fault.NotRun, "append rate limit exceeded"))
		return
	}
	offset, answered := l.add(pathvar.Vars(r)["name"], req.Data)
	if !answered {
		dropConn(w)
		return
	}
	httpd.WriteJSON(w, stream.AppendAnswer{Offset: offset})
}

// add appends a record unless a fault drops it. It reports whether the caller
// gets an answer.
func (l *Log) add(name string, data []byte) (offset int64, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.DropAppends > 0 {
		l.faults.DropAppends--
		return 0, false
	}
	st := l.stream(name)
	st.records = append(st.records, logRecord{data: data, at: time.Now()})
	close(st.changed)
	st.changed = make(chan struct{})
	l.stats.Appends++
	l.stats.Bytes += int64(len(data))
	if l.faults.LoseAnswers > 0 {
		l.faults.LoseAnswers--
		return 0, false
	}
	return st.first + int64(len(st.records)) - 1, true
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	maxRecords, _ := strconv.Atoi(q.Get("max"))
	waitMs, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	name := pathvar.Vars(r)["name"]
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		page, changed := l.page(name, from, maxRecords)
		if len(page.Records) > 0 || waitMs == 0 {
			httpd.WriteJSON(w, page)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			waitMs = 0
		case <-r.Context().Done():
			return
		case <-l.ctx.Done():
			dropConn(w)
			return
		}
		if l.inOutage() {
			dropConn(w)
			return
		}
	}
}

func (l *Log) inOutage() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults.Outage
}

// page returns records of a stream and a channel that is closed at the next
// append.
func (l *Log) page(name string, from int64, maxRecords int) (stream.Page, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.Reads++
	st := l.stream(name)
	st.expire(l.cfg.Retention)
	p := stream.Page{First: st.first, Next: st.first + int64(len(st.records)), Records: []stream.Record{}}
	size := 0
	for off := max(from, st.first); off < p.Next && len(p.Records) < maxRecords && size < maxPageBytes; off++ {
		data := st.records[off-st.first].data
		size += len(data)
		p.Records = append(p.Records, stream.Record{Offset: off, Data: data})
	}
	return p, st.changed
}

// stream returns the named stream and creates it if needed. The caller holds
// l.mu.
func (l *Log) stream(name string) *logStream {
	st := l.streams[name]
	if st == nil {
		st = &logStream{changed: make(chan struct{})}
		l.streams[name] = st
	}
	return st
}

// expire drops the records older than age; 0 keeps all.
func (st *logStream) expire(age time.Duration) {
	if age == 0 {
		return
	}
	limit := time.Now().Add(-age)
	n := 0
	for n < len(st.records) && st.records[n].at.Before(limit) {
		n++
	}
	st.drop(n)
}

// drop removes the first n records.
func (st *logStream) drop(n int) {
	if n <= 0 {
		return
	}
	st.records = st.records[n:]
	st.first += int64(n)
}
