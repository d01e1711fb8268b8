package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the platform that an executor keeps to.
const (
	holdMaxMs     = 10_000
	heartbeatMs   = 1_500
	checkpointMs  = 1_000
	maxListedEnds = 500
)

// executor is a stand-in for one life of an executor.
type executor struct {
	id, addr, storeAddr, service, zone string
	labels                             []string
	cpu, mem                           int64
	log                                *os.File
	born                               int64
	started                            time.Time

	mu       sync.Mutex
	token    int64
	leaseEnd int64
	running  map[string]*run
	ended    map[string]int // highest run of a task that was stopped or has ended here
	finished []end
	lastEnd  int64
	change   chan struct{}
	failing  bool
}

type run struct {
	task       string
	run        int
	checkpoint string
	workMs     int64
	startMs    int64
	gang       bool
}

type end struct {
	n    int64
	task string
	run  int
	how  string
	ckpt string
}

// runExecutor runs an executor until the process is killed.
func runExecutor(args []string) error {
	f := flag.NewFlagSet("executor", flag.ExitOnError)
	x := &executor{running: map[string]*run{}, ended: map[string]int{}, change: make(chan struct{}), started: time.Now(), born: time.Now().UnixMilli()}
	listen := f.String("listen", "", "IP:port")
	f.StringVar(&x.id, "id", "", "id")
	f.StringVar(&x.addr, "address", "", "address in the registry; empty for that of listen")
	f.StringVar(&x.storeAddr, "store", "", "address of the store")
	f.StringVar(&x.service, "service", "", "service")
	f.StringVar(&x.zone, "zone", "", "zone")
	labels := f.String("labels", "", "labels, separated by commas")
	f.Int64Var(&x.cpu, "cpu", 32_000, "capacity")
	f.Int64Var(&x.mem, "mem", 65_536, "capacity")
	logPath := f.String("log", "", "file to which events are appended")
	first := f.Int("first-entry-ms", 0, "when the first entry is written")
	_ = f.Parse(args)
	x.labels = strings.Split(*labels, ",")
	if x.addr == "" {
		x.addr = *listen
	}
	var err error
	if x.log, err = os.OpenFile(*logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", x.serve(x.start))
	mux.HandleFunc("POST /run-stop", x.serve(x.stop))
	mux.HandleFunc("POST /hold", x.serve(x.hold))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Lagooncourse-Instance-Id", x.id) })
	mux.HandleFunc("POST /standin/failing", func(_ http.ResponseWriter, r *http.Request) {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.failing = r.URL.Query().Get("on") == "1"
		x.event("failing %v", x.failing)
	})
	x.mu.Lock()
	x.event("born %d", x.born)
	x.mu.Unlock()
	go x.register(time.Duration(*first) * time.Millisecond)
	go x.work()
	return http.ListenAndServe(*listen, mux)
}

// event records what an executor has seen. The caller holds x.mu.
func (x *executor) event(format string, args ...any) {
	fmt.Fprintf(x.log, "%d %s %s\n", time.Now().UnixMilli(), x.id, fmt.Sprintf(format, args...))
}

func (x *executor) clock() int64 { return time.Since(x.started).Milliseconds() + 1 }

// register writes the executor's entry about every heartbeatMs.
func (x *executor) register(first time.Duration) {
	time.Sleep(first)
	for seq := 1; ; seq++ {
		b, _ := json.Marshal(map[string]any{
			"service": x.service, "address": x.addr, "zone": x.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
			"capacity": map[string]any{"cpu": x.cpu, "taskMemoryMb": x.mem, "gpu": 0}, "labels": x.labels, "clockMs": x.clock(), "sequence": seq, "born": x.born,
		})
		resp, err := http.Post("http://"+x.storeAddr+"/standin/put?topic=keyed.servers&key="+url.QueryEscape(x.id), "application/json", bytes.NewReader(b))
		if err == nil {
			resp.Body.Close()
		}
		time.Sleep(heartbeatMs * time.Millisecond)
	}
}

// work ends the runs whose work is done or whose lease has expired.
func (x *executor) work() {
	for {
		time.Sleep(5 * time.Millisecond)
		x.mu.Lock()
		now := x.clock()
		for _, r := range x.running {
			switch {
			case now >= x.leaseEnd:
				x.finish(r, "lapsed")
			case now-r.startMs >= r.workMs && x.failing:
				x.finish(r, "failed")
			case now-r.startMs >= r.workMs:
				x.finish(r, "done")
			}
		}
		x.mu.Unlock()
	}
}

// finish ends a run. The other members of a gang, which are all here, end with it: done
// if it is done, broken otherwise. The caller holds x.mu.
func (x *executor) finish(r *run, how string) {
	if x.running[r.task] != r {
		return
	}
	delete(x.running, r.task)
	x.ended[r.task] = max(x.ended[r.task], r.run)
	x.lastEnd++
	x.finished = append(x.finished, end{x.lastEnd, r.task, r.run, how, r.checkpoint})
	x.event("end %s run %d %s n %d", r.task, r.run, how, x.lastEnd)
	close(x.change)
	x.change = make(chan struct{})
	if !r.gang {
		return
	}
	if how != "done" {
		how = "broken"
	}
	step := r.task[:strings.LastIndexByte(r.task, '.')+1]
	for _, o := range x.running {
		if strings.HasPrefix(o.task, step) && o.run == r.run {
			x.finish(o, how)
		}
	}
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	UntilMs    int64  `json:"untilMs"`
	Token      int64  `json:"fencingToken"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int64  `json:"lastSeen"`
	WaitMs     int64  `json:"waitMs"`
}

// serve decodes an order and checks the incarnation and the fencing token.
func (x *executor) serve(f func(r *http.Request, o order) (int, map[string]any)) http.HandlerFunc {
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
		defer x.mu.Unlock()
		if o.Token < x.token {
			writeJSON(w, http.StatusConflict, map[string]any{"clockMs": x.clock(), "reason": "fence", "born": x.born})
			return
		}
		x.token = o.Token
		status, v := f(r, o)
		v["clockMs"], v["born"] = x.clock(), x.born
		writeJSON(w, status, v)
	}
}

// extend extends the lease. The caller holds x.mu.
func (x *executor) extend(until int64) {
	x.leaseEnd = max(x.leaseEnd, min(until, x.clock()+holdMaxMs))
}

func (x *executor) start(_ *http.Request, o order) (int, map[string]any) {
	refuse := func(reason string) (int, map[string]any) {
		x.event("start %s run %d refused %s", o.Task, o.Run, reason)
		return http.StatusConflict, map[string]any{"reason": reason}
	}
	if o.UntilMs <= x.clock() {
		return refuse("late")
	}
	x.extend(o.UntilMs)
	if r := x.running[o.Task]; r != nil && r.run == o.Run {
		return http.StatusOK, map[string]any{}
	}
	if o.Run <= x.ended[o.Task] {
		return refuse("old")
	}
	// The spec is "MS", or "MS+STEPxMOD" for a task that works MS + STEP * (its index % MOD)
	// ms. It may end with " gang", or with " cLEN", the length of its checkpoints.
	words := strings.Fields(o.Spec)
	base, rest, _ := strings.Cut(words[0], "+")
	ms, _ := strconv.ParseInt(base, 10, 64)
	if step, mod, ok := strings.Cut(rest, "x"); ok {
		s, _ := strconv.ParseInt(step, 10, 64)
		m, _ := strconv.ParseInt(mod, 10, 64)
		index, _ := strconv.ParseInt(o.Task[strings.LastIndexByte(o.Task, '.')+1:], 10, 64)
		ms += s * (index % max(m, 1))
	}
	if x.failing {
		ms = 300
	}
	r := &run{task: o.Task, run: o.Run, checkpoint: o.Checkpoint, workMs: ms, startMs: x.clock(), gang: slices.Contains(words, "gang")}
	x.running[o.Task] = r
	x.event("start %s run %d", o.Task, o.Run)
	if len(words) > 1 && words[1][0] == 'c' {
		n, _ := strconv.Atoi(words[1][1:])
		go x.save(r, n)
	}
	return http.StatusOK, map[string]any{}
}

// save gives a run a new checkpoint of n digits with each checkpointMs of work.
func (x *executor) save(r *run, n int) {
	for i := int64(1); ; i++ {
		time.Sleep(checkpointMs * time.Millisecond)
		x.mu.Lock()
		if x.running[r.task] != r {
			x.mu.Unlock()
			return
		}
		r.checkpoint = fmt.Sprintf("%0*x", n, i<<32|r.startMs)
		x.mu.Unlock()
	}
}

func (x *executor) stop(_ *http.Request, o order) (int, map[string]any) {
	x.event("stop %s run %d", o.Task, o.Run)
	x.ended[o.Task] = max(x.ended[o.Task], o.Run)
	if r := x.running[o.Task]; r != nil && r.run <= o.Run {
		x.finish(r, "stopped")
	}
	return http.StatusOK, map[string]any{}
}

func (x *executor) hold(r *http.Request, o order) (int, map[string]any) {
	if o.UntilMs > 0 {
		x.extend(o.UntilMs)
	}
	var forgotten []string
	x.finished = slices.DeleteFunc(x.finished, func(e end) bool {
		if e.n <= o.LastSeen {
			forgotten = append(forgotten, fmt.Sprintf("%s run %d %s n %d", e.task, e.run, e.how, e.n))
		}
		return e.n <= o.LastSeen
	})
	for _, f := range forgotten {
		x.event("noted %s by lastSeen %d", f, o.LastSeen)
	}
	deadline := time.After(time.Duration(o.WaitMs) * time.Millisecond)
	for waiting := o.WaitMs > 0; waiting && len(x.finished) == 0; {
		ch := x.change
		x.mu.Unlock()
		select {
		case <-ch:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		x.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, r := range x.running {
		running = append(running, []any{r.task, r.run, r.checkpoint, 0})
	}
	for _, e := range x.finished[:min(len(x.finished), maxListedEnds)] {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, e.ckpt})
	}
	return http.StatusOK, map[string]any{"running": running, "finished": finished}
}
