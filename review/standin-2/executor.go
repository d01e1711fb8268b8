package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// executor is one executor. Its spec field says how long a task works, "ms=N ..."; without
// it, the task works until it is stopped. A task writes no checkpoints.
type executor struct {
	p      *play
	id     string
	rack   string
	addr   string
	cpu    int64
	memory int64

	mu       sync.Mutex
	up       bool
	born     int64
	bootedAt time.Time
	srv      *http.Server
	fence    int64
	leaseEnd int64 // on its clock
	running  map[string]*run
	barred   map[string]int // highest run that was stopped or has ended, by task
	ended    [][]any
	endNo    int64
	seq      int64
	changed  chan struct{}
	kind     string
	fails    atomic.Bool // it fails all that it starts
}

type run struct {
	task  string
	run   int
	timer *time.Timer
	since time.Time
	stop  bool
}

const (
	beat    = 1500 * time.Millisecond
	holdMax = 10_000
	stopFor = 300 * time.Millisecond // at most stopMs
)

func (p *play) newExecutor(i int) (*executor, error) {
	x := &executor{p: p, id: fmt.Sprintf("i-%08x", 0x7f3a0000+i), rack: fmt.Sprintf("r1-%d", i/8), cpu: 32_000, memory: 65_536, kind: "a"}
	if i == 11 {
		x.kind = "b"
	}
	if err := x.boot(); err != nil {
		return nil, err
	}
	go x.beats()
	return x, nil
}

// boot starts a new life of the executor at the address that it had.
func (x *executor) boot() error {
	addr := x.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.addr, x.up, x.born, x.bootedAt = ln.Addr().String(), true, time.Now().UnixMilli(), time.Now()
	x.fence, x.leaseEnd, x.endNo, x.seq = 0, 0, 0, 0
	x.running, x.barred, x.ended, x.changed = map[string]*run{}, map[string]int{}, nil, make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", x.serve(x.start))
	mux.HandleFunc("POST /run-stop", x.serve(x.stopRun))
	mux.HandleFunc("POST /hold", x.serve(x.hold))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, r *http.Request) {})
	x.srv = &http.Server{Handler: mux}
	go x.srv.Serve(ln)
	return nil
}

// crash ends the executor with all that it runs, and starts it again after d.
func (x *executor) crash(d time.Duration) {
	x.mu.Lock()
	x.up = false
	var lost []string
	for _, r := range x.running {
		if r.timer != nil {
			r.timer.Stop()
		}
		lost = append(lost, fmt.Sprintf("%s/%d", r.task, r.run))
	}
	x.running = map[string]*run{}
	srv := x.srv
	x.mu.Unlock()
	srv.Close()
	x.p.note("executor %s crashes with %v", x.id, lost)
	time.AfterFunc(d, func() {
		if err := x.boot(); err != nil {
			x.p.note("executor %s can't start again: %v", x.id, err)
			return
		}
		x.p.note("executor %s is up again", x.id)
		x.register()
	})
}

// register writes the executor's entry.
func (x *executor) register() {
	x.mu.Lock()
	up := x.up
	x.seq++
	entry := map[string]any{
		"service": service, "address": x.addr, "zone": "duluth", "version": "1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": x.seq,
		"capacity": map[string]any{"cpu": x.cpu, "taskMemoryMb": x.memory, "gpu": 0}, "labels": []string{x.kind, x.rack}, "born": x.born, "machine": "m-" + x.id,
	}
	x.mu.Unlock()
	if up {
		b, _ := json.Marshal(entry)
		x.p.store.put("keyed.servers", x.id, b)
	}
}

func (x *executor) beats() {
	for {
		x.register()
		time.Sleep(beat)
		x.lapse()
	}
}

func (x *executor) clock() int64 { return time.Since(x.bootedAt).Milliseconds() + 1000 }

// lapse kills what runs if the lease has expired.
func (x *executor) lapse() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.up && len(x.running) > 0 && x.clock() > x.leaseEnd {
		for _, r := range x.running {
			x.end(r, "lapsed")
		}
	}
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Until    int64  `json:"untilMs"`
	Fence    int64  `json:"fencingToken"`
	LastSeen int64  `json:"lastSeen"`
	Wait     int64  `json:"waitMs"`
}

func (x *executor) serve(f func(*http.Request, order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if id := r.Header.Get("X-Lagooncourse-Expected-Instance"); id != "" && id != x.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		x.mu.Lock()
		if o.Fence < x.fence {
			v := x.answer()
			x.mu.Unlock()
			v["reason"] = "fence"
			writeJSON(w, http.StatusConflict, v)
			return
		}
		x.fence = o.Fence
		x.mu.Unlock()
		status, v := f(r, o)
		writeJSON(w, status, v)
	}
}

func (x *executor) answer() map[string]any {
	return map[string]any{"clockMs": x.clock(), "born": x.born}
}

func (x *executor) extend(until int64) {
	x.leaseEnd = max(x.leaseEnd, min(until, x.clock()+holdMax))
}

func (x *executor) start(_ *http.Request, o order) (int, map[string]any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	v := x.answer()
	if r := x.running[o.Task]; r != nil && r.run == o.Run {
		return http.StatusOK, v
	}
	if o.Run <= x.barred[o.Task] || x.running[o.Task] != nil && x.running[o.Task].run > o.Run {
		x.extend(o.Until)
		v["reason"] = "old"
		return http.StatusConflict, v
	}
	if o.Until <= x.clock() {
		v["reason"] = "late"
		return http.StatusConflict, v
	}
	x.extend(o.Until)
	r := &run{task: o.Task, run: o.Run, since: time.Now()}
	if ms, ok := strings.CutPrefix(strings.Fields(o.Spec + " -")[0], "ms="); ok {
		n, _ := strconv.Atoi(ms)
		r.timer = time.AfterFunc(time.Duration(n)*time.Millisecond, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			if x.running[o.Task] == r {
				x.end(r, "done")
			}
		})
	}
	x.running[o.Task] = r
	x.p.started(x, o)
	if x.fails.Load() {
		x.end(r, "failed")
	}
	return http.StatusOK, v
}

// end lists the end of a run. The caller holds x.mu.
func (x *executor) end(r *run, how string) {
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(x.running, r.task)
	x.barred[r.task] = max(x.barred[r.task], r.run)
	x.endNo++
	x.ended = append(x.ended, []any{x.endNo, r.task, r.run, how, ""})
	close(x.changed)
	x.changed = make(chan struct{})
	x.p.ended(x, r, how)
}

func (x *executor) stopRun(_ *http.Request, o order) (int, map[string]any) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.barred[o.Task] = max(x.barred[o.Task], o.Run)
	if r := x.running[o.Task]; r != nil && r.run <= o.Run && !r.stop {
		r.stop = true
		time.AfterFunc(stopFor, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			if x.running[o.Task] == r {
				x.end(r, "stopped")
			}
		})
	}
	return http.StatusOK, x.answer()
}

func (x *executor) hold(r *http.Request, o order) (int, map[string]any) {
	deadline := time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
	first := true
	for {
		x.mu.Lock()
		if first {
			x.extend(o.Until)
			for len(x.ended) > 0 && x.ended[0][0].(int64) <= o.LastSeen {
				x.ended = x.ended[1:]
			}
			first = false
		}
		v := x.answer()
		running := [][]any{}
		for _, q := range x.running {
			running = append(running, []any{q.task, q.run, "", 100, 0})
		}
		v["running"], v["finished"] = running, append([][]any{}, x.ended[:min(len(x.ended), 500)]...)
		waiting, changed := len(x.ended) == 0 && o.Wait > 0, x.changed
		x.mu.Unlock()
		if !waiting {
			return http.StatusOK, v
		}
		select {
		case <-changed:
		case <-deadline:
			o.Wait = 0
		case <-r.Context().Done():
			return http.StatusOK, v
		}
	}
}
