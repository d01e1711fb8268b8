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

// ExecConfig is the configuration of Execs.
type ExecConfig struct {
	Addr    string         // address of the admin server: host list, executions and fault injection
	Targets []hosts.Target // the URL field holds the IP:port to listen on; if empty, a free port is used
	WorkMs  int64          // duration of a call in milliseconds
}

// ExecFaults sets the injected faults of one executor, or of all if Target is
// empty.
type ExecFaults struct {
	Target  string      `json:"target"`
	LateMs  int64       `json:"lateMs"`  // delay of every answer in milliseconds
	Cross   bool        `json:"cross"`   // answers have the ID of the previous request
	Cut     bool        `json:"cut"`     // answers are truncated
	HangUp  bool        `json:"hangUp"`  // calls run, then their connections are closed without an answer
	Corrupt bool        `json:"corrupt"` // one byte of each answer is changed
	State   hosts.State `json:"state"`   // state in the host list; empty does not change it
}

// Execution records one call that ran on an executor.
type Execution struct {
	Target  string `json:"target"`
	ID      string `json:"id"`
	Service string `json:"service"`
	StartMs int64  `json:"startMs"`
	EndMs   int64  `json:"endMs"`
}

// Execs fakes executors. Each executor listens on its own address.
type Execs struct {
	admin *httpd.Server
	execs []*fakeExecutor

	mu         sync.Mutex
	callCount  int64 // calls of all executors so far; sent as "number" in each answer
	executions []Execution
}

type fakeExecutor struct {
	parent *Execs
	info   hosts.Target
	srv    *http.Server
	workMs int64
	slots  chan struct{}

	mu       sync.Mutex
	faults   ExecFaults
	maxCalls int    // maximum of concurrent calls
	refused  int    // calls refused because no slot was free
	conns    int    // open connections
	maxConns int    // maximum of open connections
	lastID   string // request ID of the last call
}

// StartExecs starts the executors and their admin server.
func StartExecs(cfg ExecConfig) (e *Execs, err error) {
	defer fault.Annotate(&err, "start fake executors")
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
	x := &fakeExecutor{parent: e, info: h, workMs: workMs, slots: make(chan struct{}, h.Slots)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /call/{service}", x.call)
	x.srv = &http.Server{Handler: mux, ConnState: x.connState, ReadHeaderTimeout: time.Minute}
	e.execs = append(e.execs, x)
	go func() { _ = x.srv.Serve(ln) }()
	return nil
}

// URL returns the base URL of the admin server, which serves the host list.
func (e *Execs) URL() string { return e.admin.URL() }

// Close stops all executors immediately.
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
		l = append(l, x.info)
		x.mu.Unlock()
	}
	return l
}

// Executions returns all calls that ran.
func (e *Execs) Executions() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Execution{}, e.executions...)
}

// ExecPeaks holds the highest load of any single executor and the number of
// refused calls of all.
type ExecPeaks struct {
	Slots   int // maximum of concurrent calls of one executor
	Conns   int // maximum of open connections of one executor
	Refused int // calls of all executors refused because no slot was free
}

// Peaks returns the peak load since the start.
func (e *Execs) Peaks() (p ExecPeaks) {
	for _, x := range e.execs {
		x.mu.Lock()
		p.Slots, p.Conns, p.Refused = max(p.Slots, x.maxCalls), max(p.Conns, x.maxConns), p.Refused+x.refused
		x.mu.Unlock()
	}
	return p
}

// Set replaces the injected faults of the executor s.Target, or of all executors
// if it is empty.
func (e *Execs) Set(s ExecFaults) {
	for _, x := range e.execs {
		if s.Target != "" && s.Target != x.info.ID {
			continue
		}
		x.mu.Lock()
		x.faults = s
		if s.State != "" {
			x.info.State = s.State
		}
		x.mu.Unlock()
	}
}

func (x *fakeExecutor) connState(_ net.Conn, s http.ConnState) {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch s {
	case http.StateNew:
		x.conns++
		x.maxConns = max(x.maxConns, x.conns)
	case http.StateClosed, http.StateHijacked:
		x.conns--
	}
}

func (x *fakeExecutor) call(w http.ResponseWriter, r *http.Request) {
	body, err := httpd.ReadBody(r, target.MaxBodyBytes)
	if err != nil || r.Header.Get(target.HeaderChecksum) != target.Checksum(body) {
		x.refuse(w, r, "request body does not match its checksum")
		return
	}
	select {
	case x.slots <- struct{}{}:
	default:
		x.mu.Lock()
		x.refused++
		x.mu.Unlock()
		x.refuse(w, r, "no free slot")
		return
	}
	faults, previous := x.begin(r.Header.Get(target.HeaderID))
	answer := x.work(r, body)
	<-x.slots
	x.reply(w, r, faults, previous, answer)
}

// begin records the request ID and returns the injected faults and the previous
// request ID.
func (x *fakeExecutor) begin(id string) (ExecFaults, string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.maxCalls = max(x.maxCalls, len(x.slots))
	previous := x.lastID
	x.lastID = id
	return x.faults, previous
}

// work runs the call and records it, even if the caller disconnects, and returns
// the answer.
func (x *fakeExecutor) work(r *http.Request, body []byte) []byte {
	start := nowMs()
	time.Sleep(time.Duration(x.workMs) * time.Millisecond)
	e := x.parent
	e.mu.Lock()
	defer e.mu.Unlock()
	e.callCount++
	e.executions = append(e.executions, Execution{
		Target: x.info.ID, ID: r.Header.Get(target.HeaderID), Service: r.PathValue("service"), StartMs: start, EndMs: nowMs(),
	})
	return fmt.Appendf(nil, `{"number":%d,"echo":%s}`, e.callCount, strconv.Quote(string(body)))
}

func (x *fakeExecutor) reply(w http.ResponseWriter, r *http.Request, faults ExecFaults, previous string, body []byte) {
	if faults.LateMs > 0 {
		sleepCtx(r.Context(), time.Duration(faults.LateMs)*time.Millisecond)
	}
	if faults.HangUp {
		dropConn(w)
		return
	}
	id := r.Header.Get(target.HeaderID)
	if faults.Cross {
		id = previous
	}
	w.Header().Set(target.HeaderID, id)
	w.Header().Set(target.HeaderChecksum, target.Checksum(body))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if faults.Corrupt {
		body[len(body)/2] ^= 1
	}
	if faults.Cut {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		dropConn(w)
		return
	}
	_, _ = w.Write(body)
}

func (x *fakeExecutor) refuse(w http.ResponseWriter, r *http.Request, why string) {
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
