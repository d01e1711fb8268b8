package fakes

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/httpd"
	"lagooncourse/internal/plat/hosts"
	"lagooncourse/internal/plat/target"
)

// ExecConfig describes a number of executors, each with an address of its own.
type ExecConfig struct {
	Addr    string         // of the switches and the host list
	Targets []hosts.Target // URL may name host and port; otherwise one is picked
	WorkMs  int64          // time that a call takes
}

// ExecSwitch brings about failures of one executor, or of all if Target is empty.
type ExecSwitch struct {
	Target  string      `json:"target"`
	LateMs  int64       `json:"lateMs"`  // added to every answer
	Cross   bool        `json:"cross"`   // answers carry the id of another request
	Cut     bool        `json:"cut"`     // answers end in the middle
	HangUp  bool        `json:"hangUp"`  // the call runs and its connection is closed
	Corrupt bool        `json:"corrupt"` // a byte of the answer is changed
	State   hosts.State `json:"state"`   // in the host list; empty leaves it
}

// Execution is what an executor recorded about one call.
type Execution struct {
	Target  string `json:"target"`
	ID      string `json:"id"`
	Service string `json:"service"`
	StartMs int64  `json:"startMs"`
	EndMs   int64  `json:"endMs"`
}

// Execs is a stand-in for the executors of a service.
type Execs struct {
	admin *httpd.Server
	execs []*fakeExec

	mu     sync.Mutex
	number int64 // next invoice number, shared by all executors
	done   []Execution
}

type fakeExec struct {
	group  *Execs
	host   hosts.Target
	srv    *http.Server
	workMs int64
	slots  chan struct{}

	mu      sync.Mutex
	sw      ExecSwitch
	busiest int // most calls at once
	refused int
	conns   int
	most    int // most connections at once
	lastID  string
}

// StartExecs starts the executors.
func StartExecs(cfg ExecConfig) (e *Execs, err error) {
	defer fault.Note(&err, "start executor stand-in")
	e = &Execs{}
	for _, h := range cfg.Targets {
		if err := e.add(h, cfg.WorkMs); err != nil {
			e.Close()
			return nil, err
		}
	}
	e.admin, err = httpd.Listen(httpd.Config{Name: "exec", Addr: cfg.Addr, Routes: []rest.Route{
		get("/hosts", func(w http.ResponseWriter, _ *http.Request) {
			httpd.WriteJSON(w, hosts.List{Targets: e.List()})
		}),
		get("/executions", func(w http.ResponseWriter, _ *http.Request) { httpd.WriteJSON(w, e.Executions()) }),
		switchRoute(e.Set),
	}})
	if err != nil {
		e.Close()
		return nil, err
	}
	go func() { _ = e.admin.Serve() }()
	return e, nil
}

func (e *Execs) add(h hosts.Target, workMs int64) error {
	addr := h.URL
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	h.URL = "http://" + ln.Addr().String()
	if h.State == "" {
		h.State = hosts.Live
	}
	x := &fakeExec{group: e, host: h, workMs: workMs, slots: make(chan struct{}, h.Slots)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /call/{service}", x.call)
	x.srv = &http.Server{Handler: mux, ConnState: x.connState, ReadHeaderTimeout: time.Minute}
	e.execs = append(e.execs, x)
	go func() { _ = x.srv.Serve(ln) }()
	return nil
}

// URL returns the base URL under which the host list is served.
func (e *Execs) URL() string { return e.admin.URL() }

// Close stops all executors at once.
func (e *Execs) Close() {
	if e.admin != nil {
		e.admin.Close()
	}
	for _, x := range e.execs {
		x.srv.Close()
	}
}

// List returns the executors' part of the host list.
func (e *Execs) List() []hosts.Target {
	var l []hosts.Target
	for _, x := range e.execs {
		x.mu.Lock()
		l = append(l, x.host)
		x.mu.Unlock()
	}
	return l
}

// Executions returns every call that ran.
func (e *Execs) Executions() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Execution{}, e.done...)
}

// ExecPeaks is the most that was ever asked of one executor at once.
type ExecPeaks struct {
	Slots   int // calls running at once
	Conns   int // open connections
	Refused int // calls refused for want of a slot, all executors
}

// Peaks returns the highest values over all executors.
func (e *Execs) Peaks() (p ExecPeaks) {
	for _, x := range e.execs {
		x.mu.Lock()
		p.Slots, p.Conns, p.Refused = max(p.Slots, x.busiest), max(p.Conns, x.most), p.Refused+x.refused
		x.mu.Unlock()
	}
	return p
}

// Set throws the switches.
func (e *Execs) Set(s ExecSwitch) {
	for _, x := range e.execs {
		if s.Target != "" && s.Target != x.host.ID {
			continue
		}
		x.mu.Lock()
		x.sw = s
		if s.State != "" {
			x.host.State = s.State
		}
		x.mu.Unlock()
	}
}

func (x *fakeExec) connState(_ net.Conn, s http.ConnState) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch s {
	case http.StateNew:
		x.conns++
		x.most = max(x.most, x.conns)
	case http.StateClosed, http.StateHijacked:
		x.conns--
	}
}

func (x *fakeExec) call(w http.ResponseWriter, r *http.Request) {
	body, err := httpd.ReadBody(r, target.MaxBodyBytes)
	if err != nil || r.Header.Get(target.HeaderChecksum) != target.Checksum(body) {
		x.refuse(w, r, "the request is damaged")
		return
	}
	select {
	case x.slots <- struct{}{}:
	default:
		x.mu.Lock()
		x.refused++
		x.mu.Unlock()
		x.refuse(w, r, "all slots are taken")
		return
	}
	sw, previous := x.begin(r.Header.Get(target.HeaderID))
	answer := x.work(r, body)
	<-x.slots
	x.reply(w, r, sw, previous, answer)
}

// begin notes the request and returns the switches and the id before it.
func (x *fakeExec) begin(id string) (ExecSwitch, string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.busiest = max(x.busiest, len(x.slots))
	previous := x.lastID
	x.lastID = id
	return x.sw, previous
}

// work runs the call to its end, whether or not the caller is still there.
func (x *fakeExec) work(r *http.Request, body []byte) []byte {
	start := nowMs()
	time.Sleep(time.Duration(x.workMs) * time.Millisecond)
	e := x.group
	e.mu.Lock()
	defer e.mu.Unlock()
	e.number++
	e.done = append(e.done, Execution{
		Target: x.host.ID, ID: r.Header.Get(target.HeaderID), Service: r.PathValue("service"), StartMs: start, EndMs: nowMs(),
	})
	return fmt.Appendf(nil, `{"number":%d,"echo":%s}`, e.number, strconv.Quote(string(body)))
}

func (x *fakeExec) reply(w http.ResponseWriter, r *http.Request, sw ExecSwitch, previous string, body []byte) {
	if sw.LateMs > 0 {
		sleepCtx(r.Context(), time.Duration(sw.LateMs)*time.Millisecond)
	}
	if sw.HangUp {
		hangUp(w)
		return
	}
	id := r.Header.Get(target.HeaderID)
	if sw.Cross {
		id = previous
	}
	w.Header().Set(target.HeaderID, id)
	w.Header().Set(target.HeaderChecksum, target.Checksum(body))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if sw.Corrupt {
		body[len(body)/2] ^= 1
	}
	if sw.Cut {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		hangUp(w)
		return
	}
	_, _ = w.Write(body)
}

func (x *fakeExec) refuse(w http.ResponseWriter, r *http.Request, why string) {
	body := fmt.Appendf(nil, `{"ran":"notRun","detail":%q}`, why)
	w.Header().Set(target.HeaderID, r.Header.Get(target.HeaderID))
	w.Header().Set(target.HeaderChecksum, target.Checksum(body))
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write(body)
}

func sleepCtx(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
