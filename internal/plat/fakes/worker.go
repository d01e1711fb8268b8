package fakes

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/httpd"
	"lagooncourse/internal/plat/hosts"
	"lagooncourse/internal/plat/worker"
)

// FleetConfig is the configuration of a Fleet.
type FleetConfig struct {
	Addr    string
	Workers []hosts.Worker // StartFleet sets the URLs
}

// WorkerFaults sets the injected faults of one worker.
type WorkerFaults struct {
	Worker    string      `json:"worker"`
	FailAll   bool        `json:"failAll"`   // every task fails right after its start
	Paused    bool        `json:"paused"`    // requests block until this is unset; leases still expire
	Dead      bool        `json:"dead"`      // the worker loses all tasks and answers no request
	LoseStart int         `json:"loseStart"` // this many starts take effect but are not answered
	State     hosts.State `json:"state"`     // state in the host list; empty does not change it
}

// Run records one attempt that a worker started. CPU is in millicores, Mem in MiB
// and Accel in devices.
type Run struct {
	Worker  string     `json:"worker"`
	Az      string     `json:"az"`
	Task    string     `json:"task"`
	Attempt int        `json:"attempt"`
	Class   string     `json:"class"`
	StartMs int64      `json:"startMs"`
	EndMs   int64      `json:"endMs"` // 0 while the attempt is running
	End     worker.End `json:"end"`
	CPU     int64      `json:"cpu"`
	Mem     int64      `json:"mem"`
	Accel   int64      `json:"accel"`
}

// Fleet fakes workers that share one HTTP server.
type Fleet struct {
	srv     *httpd.Server
	workers map[string]*fakeWorker
	ids     []string // worker IDs in the order of FleetConfig.Workers
}

// fakeWorker is one worker. mu guards all fields below it, and host.State.
type fakeWorker struct {
	host hosts.Worker

	mu          sync.Mutex
	faults      WorkerFaults
	token       worker.Token
	leaseEnd    time.Time
	lease       *time.Timer
	boot        int64
	version     uint64
	changed     chan struct{}
	running     map[worker.Attempt]*fakeTask
	finished    map[worker.Attempt]worker.Finished
	runs        []*Run
	overcommits int // number of starts that exceeded the capacity
}

type fakeTask struct {
	req   worker.StartRequest
	start time.Time
	runMs int64
	timer *time.Timer
	run   *Run
}

// StartFleet starts the workers on cfg.Addr.
func StartFleet(cfg FleetConfig) (f *Fleet, err error) {
	defer fault.Annotate(&err, "start fake workers")
	f = &Fleet{workers: map[string]*fakeWorker{}}
	f.srv, err = httpd.Listen(httpd.Config{Name: "fleet", Addr: cfg.Addr, Routes: []rest.Route{
		post("/w/:id/start", f.handler((*fakeWorker).start)),
		post("/w/:id/renew", f.handler((*fakeWorker).renew)),
		post("/w/:id/stop", f.handler((*fakeWorker).stop)),
		post("/w/:id/throttle", f.handler((*fakeWorker).throttle)),
		get("/hosts", func(w http.ResponseWriter, _ *http.Request) {
			httpd.WriteJSON(w, hosts.List{Workers: f.List()})
		}),
		get("/runs", func(w http.ResponseWriter, _ *http.Request) { httpd.WriteJSON(w, f.Runs()) }),
		switchRoute(f.Set),
	}})
	if err != nil {
		return nil, err
	}
	for _, h := range cfg.Workers {
		h.URL = f.srv.URL() + "/w/" + h.ID
		if h.State == "" {
			h.State = hosts.Live
		}
		f.ids = append(f.ids, h.ID)
		f.workers[h.ID] = &fakeWorker{
			host: h, boot: nowMs(), changed: make(chan struct{}),
			running:  map[worker.Attempt]*fakeTask{},
			finished: map[worker.Attempt]worker.Finished{},
		}
	}
	go func() { _ = f.srv.Serve() }()
	return f, nil
}

// URL returns the base URL of the fleet, which serves its host list.
func (f *Fleet) URL() string { return f.srv.URL() }

// Close stops all workers immediately.
func (f *Fleet) Close() { f.srv.Close() }

// List returns the fleet's part of the host list.
func (f *Fleet) List() []hosts.Worker {
	var l []hosts.Worker
	for _, id := range f.ids {
		w := f.workers[id]
		w.mu.Lock()
		h := w.host
		w.mu.Unlock()
		l = append(l, h)
	}
	return l
}

// Runs returns the recorded runs of all workers.
func (f *Fleet) Runs() []Run {
	runs := []Run{}
	for _, id := range f.ids {
		w := f.workers[id]
		w.mu.Lock()
		for _, r := range w.runs {
			runs = append(runs, *r)
		}
		w.mu.Unlock()
	}
	return runs
}

// Overcommits returns the number of starts that exceeded a worker's capacity.
func (f *Fleet) Overcommits() int {
	n := 0
	for _, w := range f.workers {
		w.mu.Lock()
		n += w.overcommits
		w.mu.Unlock()
	}
	return n
}

// Set replaces the injected faults of one worker. It ignores an unknown worker.
func (f *Fleet) Set(s WorkerFaults) {
	w := f.workers[s.Worker]
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = s
	if s.State != "" {
		w.host.State = s.State
	}
	if s.Dead {
		// The runs end as if the lease had expired; the new incarnation does not report them.
		for a := range w.running {
			w.finish(a, worker.EndLeaseExpired)
		}
		clear(w.finished)
		w.boot++
		w.token, w.leaseEnd = worker.Token{}, time.Time{}
	}
	w.markChanged()
}

// pausePollInterval is the interval at which a request to a paused worker checks
// whether the pause has ended.
const pausePollInterval = 20 * time.Millisecond

// handler wraps h: it looks up the worker of the request and applies the faults
// Paused and Dead.
func (f *Fleet) handler(h func(*fakeWorker, http.ResponseWriter, *http.Request)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		w := f.workers[pathvar.Vars(r)["id"]]
		if w == nil {
			httpd.WriteError(rw, fault.New(fault.NotFound, fault.NotRun, "no worker %q", pathvar.Vars(r)["id"]))
			return
		}
		for w.paused() {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(pausePollInterval):
			}
		}
		if w.dead() {
			dropConn(rw)
			return
		}
		h(w, rw, r)
	}
}

func (w *fakeWorker) paused() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults.Paused
}

func (w *fakeWorker) dead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults.Dead
}

// markChanged increments the version and wakes the renewals that wait for a
// change. The caller holds w.mu.
func (w *fakeWorker) markChanged() {
	w.version++
	close(w.changed)
	w.changed = make(chan struct{})
}

// checkToken refuses a token with a stale epoch and stores a newer epoch. The caller
// holds w.mu.
func (w *fakeWorker) checkToken(t worker.Token) error {
	if t.Epoch < w.token.Epoch {
		return fault.New(fault.Conflict, fault.NotRun, "stale epoch %d, current epoch is %d", t.Epoch, w.token.Epoch)
	}
	if t.Epoch > w.token.Epoch {
		w.token = worker.Token{Epoch: t.Epoch}
	}
	return nil
}

func (w *fakeWorker) start(rw http.ResponseWriter, r *http.Request) {
	req, err := httpd.ReadJSON[worker.StartRequest](r, httpd.MaxBodyBytes)
	if err != nil {
		httpd.WriteError(rw, err)
		return
	}
	lose, err := w.startTask(req)
	switch {
	case lose:
		dropConn(rw)
	case err != nil:
		httpd.WriteError(rw, err)
	default:
		httpd.WriteJSON(rw, struct{}{})
	}
}

// startTask checks a start request and runs the task. It reports whether to drop
// the answer.
func (w *fakeWorker) startTask(req worker.StartRequest) (loseAnswer bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkToken(req.Token); err != nil {
		return false, err
	}
	if req.Token.Seq < w.token.Seq {
		return false, fault.New(fault.Conflict, fault.NotRun, "stale sequence number %d, minimum is %d", req.Token.Seq, w.token.Seq)
	}
	if req.Boot != w.boot {
		return false, fault.New(fault.Conflict, fault.NotRun, "request is for boot %d, current boot is %d", req.Boot, w.boot)
	}
	if time.Now().After(w.leaseEnd) {
		return false, fault.New(fault.Conflict, fault.NotRun, "worker %q has no lease", w.host.ID)
	}
	_, running := w.running[req.Attempt]
	_, finished := w.finished[req.Attempt]
	if running || finished {
		return false, nil
	}
	w.run(req)
	if w.faults.LoseStart > 0 {
		w.faults.LoseStart--
		return true, nil
	}
	return false, nil
}

// run starts the task. It starts and counts tasks that exceed the capacity too, so
// that tests detect a scheduler that overcommits. The caller holds w.mu.
func (w *fakeWorker) run(req worker.StartRequest) {
	var cpu, mem, accel int64
	for _, t := range w.running {
		cpu, mem, accel = cpu+t.req.CPU, mem+t.req.Mem, accel+t.req.Accel
	}
	if cpu+req.CPU > w.host.CPU || mem+req.Mem > w.host.Mem || accel+req.Accel > w.host.Accel {
		w.overcommits++
	}
	t := &fakeTask{req: req, start: time.Now(), runMs: remainingMs(req)}
	t.run = &Run{
		Worker: w.host.ID, Az: w.host.Az, Task: req.Attempt.Task, Attempt: req.Attempt.Number, Class: req.Class,
		StartMs: nowMs(), CPU: req.CPU, Mem: req.Mem, Accel: req.Accel,
	}
	w.runs = append(w.runs, t.run)
	w.running[req.Attempt] = t
	end, after := worker.EndOK, time.Duration(t.runMs)*time.Millisecond
	if w.faults.FailAll || strings.HasPrefix(req.Payload, "fail") {
		end, after = worker.EndFailed, time.Millisecond
	}
	if t.runMs > 0 || end == worker.EndFailed {
		t.timer = time.AfterFunc(after, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.running[req.Attempt] == t {
				w.finish(req.Attempt, end)
				w.markChanged()
			}
		})
	}
	w.markChanged()
}

// checkpointPrefix precedes the remaining run time in a checkpoint.
const checkpointPrefix = "remainingMs="

// remainingMs returns the remaining run time of the task in milliseconds, from its
// checkpoint if it has one.
func remainingMs(req worker.StartRequest) int64 {
	if v, ok := strings.CutPrefix(req.Checkpoint, checkpointPrefix); ok {
		if ms, err := strconv.ParseInt(v, 10, 64); err == nil {
			return ms
		}
	}
	return req.RunMs
}

// finish moves an attempt from running to finished. The caller holds w.mu.
func (w *fakeWorker) finish(a worker.Attempt, end worker.End) {
	t := w.running[a]
	if t == nil {
		return
	}
	if t.timer != nil {
		t.timer.Stop()
	}
	delete(w.running, a)
	t.run.EndMs, t.run.End = nowMs(), end
	fin := worker.Finished{Attempt: a, Home: t.req.Home, End: end}
	switch end {
	case worker.EndOK:
		fin.Result = "done " + a.Task
	case worker.EndCheckpointed:
		left := max(t.runMs-time.Since(t.start).Milliseconds(), 1)
		if t.runMs == 0 {
			left = 0
		}
		fin.Checkpoint = fmt.Sprintf("%s%d", checkpointPrefix, left)
	}
	w.finished[a] = fin
}

// renew extends the lease and returns the inventory once its version differs from
// req.Since or req.WaitMs has passed. While the version is 0, a request with Since 0
// also waits.
func (w *fakeWorker) renew(rw http.ResponseWriter, r *http.Request) {
	req, err := httpd.ReadJSON[worker.RenewRequest](r, httpd.MaxBodyBytes)
	if err != nil {
		httpd.WriteError(rw, err)
		return
	}
	changed, err := w.applyRenewal(req)
	if err != nil {
		httpd.WriteError(rw, err)
		return
	}
	deadline := time.After(time.Duration(req.WaitMs) * time.Millisecond)
	for {
		inv, next := w.inventory()
		if inv.Version != req.Since || changed == nil { // changed is nil after the deadline
			if req.Since > 0 && inv.Version == req.Since {
				inv = worker.Inventory{Unchanged: true, Boot: inv.Boot, Version: inv.Version}
			}
			httpd.WriteJSON(rw, inv)
			return
		}
		changed = next
		select {
		case <-changed:
		case <-deadline:
			changed = nil
		case <-r.Context().Done():
			return
		}
	}
}

// applyRenewal checks the token, drops the finished attempts in req.Recorded and
// extends the lease. It returns a channel that is closed at the next change.
func (w *fakeWorker) applyRenewal(req worker.RenewRequest) (<-chan struct{}, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkToken(req.Token); err != nil {
		return nil, err
	}
	w.token.Seq = max(w.token.Seq, req.Token.Seq)
	for _, a := range req.Recorded {
		delete(w.finished, a)
	}
	if req.TTLMs > 0 {
		w.extendLease(time.Duration(req.TTLMs) * time.Millisecond)
	}
	return w.changed, nil
}

// extendLease sets the lease to end after ttl. The caller holds w.mu.
func (w *fakeWorker) extendLease(ttl time.Duration) {
	w.leaseEnd = time.Now().Add(ttl)
	if w.lease != nil {
		w.lease.Stop()
	}
	w.lease = time.AfterFunc(ttl, w.expireLease)
}

// expireLease stops every task if the lease has expired.
func (w *fakeWorker) expireLease() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(w.leaseEnd) || len(w.running) == 0 {
		return
	}
	for a := range w.running {
		w.finish(a, worker.EndLeaseExpired)
	}
	w.markChanged()
}

// inventory returns the inventory and a channel that is closed at the next change.
func (w *fakeWorker) inventory() (worker.Inventory, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	inv := worker.Inventory{Boot: w.boot, Version: w.version}
	for a, t := range w.running {
		inv.Running = append(inv.Running, worker.Running{
			Attempt: a, Home: t.req.Home, Family: t.req.Family, Class: t.req.Class,
			CPU: t.req.CPU, Mem: t.req.Mem, Accel: t.req.Accel,
			UsedCPU: t.req.CPU, UsedMem: t.req.Mem,
		})
	}
	for _, fin := range w.finished {
		inv.Finished = append(inv.Finished, fin)
	}
	return inv, w.changed
}

func (w *fakeWorker) stop(rw http.ResponseWriter, r *http.Request) {
	handleFenced(w, rw, r, func(req worker.StopRequest) worker.Token { return req.Token }, func(req worker.StopRequest) {
		end := worker.EndStopped
		if req.Checkpoint {
			end = worker.EndCheckpointed
		}
		w.finish(req.Attempt, end)
		w.markChanged()
	})
}

// throttle checks the token and has no other effect.
func (w *fakeWorker) throttle(rw http.ResponseWriter, r *http.Request) {
	handleFenced(w, rw, r, func(req worker.ThrottleRequest) worker.Token { return req.Token }, func(worker.ThrottleRequest) {})
}

// handleFenced reads a request, checks its fencing token and calls do with w.mu
// held.
func handleFenced[Req any](
	w *fakeWorker, rw http.ResponseWriter, r *http.Request, token func(Req) worker.Token, do func(Req),
) {
	req, err := httpd.ReadJSON[Req](r, maxSwitchBytes)
	if err != nil {
		httpd.WriteError(rw, err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkToken(token(req)); err != nil {
		httpd.WriteError(rw, err)
		return
	}
	do(req)
	httpd.WriteJSON(rw, struct{}{})
}
