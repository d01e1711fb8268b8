package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/fakes"
	"lagooncourse/platform"
	"lagooncourse/platform/mock"
)

// The soak runs entry hosts as processes on the platform's path, against its stand-ins,
// under a random sequence of overlapping faults: hosts are killed, stopped, suspended and
// signalled to reload; workers restart behind silent connections or are cut off; the store is
// away, slow, or loses answers; odd entries are written. Between them come series of faults
// that belong together, each followed by a calm time. Clients keep their connections in use
// until a host is gone. A seed gives the same sequence again.
var (
	soakSeeds   = flag.Int("soak.seeds", 3, "number of seeds")
	soakFirst   = flag.Int64("soak.first", 1, "first seed")
	soakHosts   = flag.Int("soak.hosts", 4, "number of entry hosts")
	soakWorkers = flag.Int("soak.workers", 10, "number of workers")
	soakTime    = flag.Duration("soak.time", 12*time.Second, "duration of the random faults around each second series")
	soakRounds  = flag.Int("soak.rounds", 2, "number of series of faults")
	soakOnly    = flag.String("soak.series", "", "name of the only series to play")
	soakLogs    = flag.String("soak.logs", "", "directory for the logs of failed seeds")
)

// Bounds of the platform, in the settings of the hosts.
const (
	soakGrace      = 6 * time.Second
	soakLongest    = 3200 * time.Millisecond // a fault
	soakSuspend    = 2 * soakLongest         // a process, by two faults one after the other
	soakCancelled  = 3 * time.Second         // a cancelled job starts no more: cancel_ms
	soakCancel     = 3900 * time.Millisecond // a cancelled run is gone: cancel_ms and stopMs
	soakAck        = 4 * time.Second         // a cancelling is acknowledged
	soakCompleted  = time.Second             // a completed job starts no more
	soakContact    = 3 * time.Second         // after a disruption, its victim is in touch again
	soakFinish     = 14 * time.Second        // after the end of the traffic, all accepted jobs have ended: finish_s
	soakUncancel   = 40 * time.Second        // so have long jobs whose cancelling was not acknowledged: twice their work
	soakNew        = time.Second             // since the start of a process
	soakStatus     = 60 * time.Second        // after its acceptance, its state is shown: half of status_s
	soakVisible    = 3 * time.Second         // after its acceptance, a job is known
	soakBeat       = 1500 * time.Millisecond // between registry entries of a worker
	soakCallTime   = 3 * time.Second         // deadline of a client's call
	soakCancelTime = 12 * time.Second        // until a cancelling is acknowledged at last
)

// soakMemoryMiB is the memory of a host of the small sites.
const soakMemoryMiB = 284

var soakCapacity = jobs.Size{CPU: 8_000, Mem: 8_000} // of each worker

// soakQueue is a queue of a soak. Its path prefix is its name between slashes.
type soakQueue struct {
	name     string
	attempts int // maxAttempts
	priority int
	swings   bool // its name and its priority change with each version
	slack    float64
	targetMs int
	advice   *fakes.AdviceRule // nil if starts need no ticket
}

// soakTeam is a team of a soak. Its name is its key, too.
type soakTeam struct {
	name    string
	weight  int
	maximum jobs.Size
}

// soakConfig is what a soak is played on.
type soakConfig struct {
	hosts  int
	fleet  fakes.SimFleetConfig
	queues []soakQueue
	teams  []soakTeam
	cuts   bool // each host reaches the store through a proxy of its own

	program     string // of the hosts; the test binary if empty
	memoryMiB   int    // of each host; soakMemoryMiB if 0
	descriptors int    // of each host; not in the settings if 0
}

// soakHost is one entry host.
type soakHost struct {
	ip, settings, api string
	ready, metrics    string

	mu       sync.Mutex
	cmd      *exec.Cmd
	expected bool     // the process has got a signal that ends it
	back     []func() // record the ends of its disruptions
	planned  bool     // SIGTERM was the only signal that the process has got
}

// soakJob is a job as its client saw it.
type soakJob struct {
	id         string
	spec       sched.Spec // its queue and team are the first of the soak if they have no name
	refused    bool       // all tries were refused
	accepted   time.Time
	cancelling time.Time // when the first cancelling was sent
	cancelled  time.Time // when it was acknowledged
	completed  time.Time // when the job was first shown as completed
	failed     time.Time // when it was first shown as failed
	ended      string
}

// soak is one run with one seed.
type soak struct {
	t       *testing.T
	cfg     soakConfig
	dir     string
	seed    int64
	series  []series   // those that can be played
	rand    *rand.Rand // of the schedule; used by one goroutine
	started time.Time
	store   *fakes.Store
	fleet   *fakes.SimFleet
	execs   []*mock.Executor
	hosts   []*soakHost
	proxies []*storeProxy // by host, if cfg.cuts is set
	stop    chan struct{}
	clients sync.WaitGroup
	faults  sync.WaitGroup // those that have yet to undo themselves
	version int64
	bursts  int

	mu          sync.Mutex
	jobs        []*soakJob
	findings    []string
	events      []string
	disruptions []disruption
}

func (s *soak) nowMs() int64 { return time.Since(s.started).Milliseconds() + 1 }

func (s *soak) find(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.findings = append(s.findings, fmt.Sprintf("%d ms: ", s.nowMs())+fmt.Sprintf(format, args...))
}

func (s *soak) event(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf("%d ms: ", s.nowMs())+fmt.Sprintf(format, args...))
}

// newSoak starts the stand-ins and the hosts.
func newSoak(t *testing.T, seed int64) *soak {
	return newSoakOf(t, *soakHosts, fakes.SimFleetConfig{
		Workers: *soakWorkers, Capacity: soakCapacity, Rack: 2, Azs: []string{"x", "y"}, Service: "s", Seed: seed,
	})
}

// newSoakOf starts a number of hosts, and the stand-ins with a fleet of their own.
func newSoakOf(t *testing.T, hosts int, fleet fakes.SimFleetConfig) *soak {
	return newSoakWith(t, soakConfig{
		hosts: hosts, fleet: fleet, teams: []soakTeam{{name: "k", weight: 1000}},
		queues: []soakQueue{{name: "q", attempts: 3, priority: 1, swings: true, slack: 2, targetMs: 500}},
	})
}

// newSoakWith starts the hosts and the stand-ins.
func newSoakWith(t *testing.T, cfg soakConfig) *soak {
	s := &soak{
		t: t, cfg: cfg, dir: t.TempDir(), seed: cfg.fleet.Seed, series: soakSeries, rand: rand.New(rand.NewSource(cfg.fleet.Seed)), started: time.Now(), store: fakes.NewStore(cfg.fleet.Seed), stop: make(chan struct{}),
		fleet: fakes.NewSimFleet(cfg.fleet),
	}
	for _, q := range cfg.queues {
		if q.advice != nil {
			s.fleet.SetAdvice(q.name, *q.advice)
		}
	}
	for _, id := range s.fleet.IDs() {
		x, err := mock.StartExecutor(s.fleet, id, s.nowMs)
		assert.NilError(t, err)
		t.Cleanup(x.Close)
		s.execs = append(s.execs, x)
	}
	storeAddr, closeStore, err := mock.ServeStore(s.store, "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(closeStore)
	s.configure()
	s.writeEntries()
	go s.tick(s.stop)
	port := strings.Split(freeAddr(t), ":")[1]
	peerPort, err := strconv.Atoi(port)
	assert.NilError(t, err)
	freeAddr(t) // the port after it is that of the metrics
	for i := range cfg.hosts {
		ip := fmt.Sprintf("127.0.0.%d", i+2)
		adviceAddr, closeAdvice, err := mock.StartAdvice(s.fleet, s.nowMs)
		assert.NilError(t, err)
		t.Cleanup(closeAdvice)
		storeAddr := storeAddr
		if cfg.cuts {
			proxy, addr := startStoreProxy(t, storeAddr)
			s.proxies, storeAddr = append(s.proxies, proxy), addr
		}
		h := &soakHost{ip: ip, settings: filepath.Join(s.dir, fmt.Sprintf("host%d.toml", i)), api: strings.Replace(freeAddr(t), "127.0.0.1", ip, 1), ready: strings.Replace(freeAddr(t), "127.0.0.1", ip, 1), metrics: net.JoinHostPort(ip, strconv.Itoa(peerPort+1))}
		text := fmt.Sprintf(`nodeName = "h%d"
ip = %q
zone = "x"
internalPorts = [%s,65000]
advice = %q
[listen]
frontend = %q
ready = %q
[limits]
cpuShare = 1.0
memoryMb = %d
fileDescriptors = %d
[bounds]
graceS = %g
status_s = 120
holdMaxMs = 10000
[platform]
address = %q
form = "log"
recordBytes = 262144
callBytes = 2097152
`, i, ip, port, adviceAddr, h.api, h.ready, cmp.Or(cfg.memoryMiB, soakMemoryMiB), cfg.descriptors, soakGrace.Seconds(), storeAddr)
		assert.NilError(t, os.WriteFile(h.settings, []byte(text), 0o600))
		s.hosts = append(s.hosts, h)
		s.startHost(h)
	}
	return s
}

// configure writes the next version of the configuration. Queues that swing get another name
// and another priority, under which their accepted jobs go on.
func (s *soak) configure() {
	s.version++
	routes, teams := []map[string]any{}, []map[string]any{}
	for _, q := range s.cfg.queues {
		name := q.name
		if q.swings {
			name, q.priority = fmt.Sprintf("%s-%d", q.name, s.version%3), int(s.version%2)
		}
		r := map[string]any{"name": name, "host": "h.example", "pathPrefix": "/" + q.name + "/", "service": s.cfg.fleet.Service, "maxAttempts": q.attempts, "slackFactor": q.slack, "targetLatencyMs": q.targetMs, "priority": q.priority, "timeoutMs": 3000}
		if q.advice != nil {
			r["advice"] = map[string]any{"decideMs": q.advice.BaseMs, "perWorkerMs": q.advice.WorkerMs, "validMs": q.advice.ValidMs}
		}
		routes = append(routes, r)
	}
	for _, t := range s.cfg.teams {
		m := t.maximum
		teams = append(teams, map[string]any{"name": t.name, "apiKeys": []string{t.name}, "weight": t.weight, "maximum": map[string]any{"cpu": m.CPU, "taskMemoryMb": m.Mem, "gpu": m.Accel}})
	}
	b, err := json.Marshal(map[string]any{"version": s.version, "routes": routes, "tenants": teams, "limits": map[string]any{"maxBodyBytes": 262144}})
	assert.NilError(s.t, err)
	s.store.Put(platform.TopicOperator, "config", b)
}

// writeEntries writes the registry entries of all workers.
func (s *soak) writeEntries() {
	addrs := map[string]string{}
	for i, id := range s.fleet.IDs() {
		addrs[id] = s.execs[i].Addr()
	}
	for _, w := range s.fleet.Entries() {
		s.store.Put(platform.TopicWorkers, w.ID, mock.Entry(w, addrs[w.ID]))
	}
}

// tick lets the time of the fleet pass, and writes its registry entries.
func (s *soak) tick(stop <-chan struct{}) {
	beat := time.NewTicker(soakBeat)
	defer beat.Stop()
	step := time.NewTicker(5 * time.Millisecond)
	defer step.Stop()
	for {
		select {
		case <-stop:
			return
		case <-beat.C:
			s.writeEntries()
		case <-step.C:
			s.fleet.Advance(s.nowMs())
		}
	}
}

// startHost starts the process of a host. A process that ends without a signal is a
// finding.
func (s *soak) startHost(h *soakHost) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		return
	}
	cmd := exec.Command(cmp.Or(s.cfg.program, os.Args[0]), "serve", "--settings", h.settings)
	cmd.Env = append(os.Environ(), roleEnv+"=1")
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // a host that outlives the test would call the workers of the next one
	out, err := os.OpenFile(h.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(s.t, err)
	cmd.Stdout, cmd.Stderr = out, out
	assert.NilError(s.t, cmd.Start())
	h.cmd, h.expected, h.planned = cmd, false, false
	s.event("host %s starts", h.ip)
	for _, end := range h.back {
		end()
	}
	h.back = nil
	begun := time.Now()
	go func() {
		err := cmd.Wait()
		out.Close()
		if s.gone(h, time.Since(begun), err) {
			s.startHost(h)
		}
	}()
}

// gone notes the end of the process of a host, and reports whether it is to start again.
// SIGHUP ends a process that has not yet come to its first line; the platform does not
// count an end within soakNew of a start.
func (s *soak) gone(h *soakHost, age time.Duration, err error) (again bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd = nil
	var exit *exec.ExitError
	switch {
	case h.expected:
	case age < soakNew && errors.As(err, &exit) && exit.Sys().(syscall.WaitStatus).Signal() == syscall.SIGHUP:
		s.event("SIGHUP has ended the new process of %s", h.ip)
		h.back = append(h.back, s.disrupt(ofHost, h.ip))
		return true
	default:
		s.find("the process of %s has ended by itself after %s: %v", h.ip, age, err)
	}
	return false
}

// kill ends the process of a host by a signal. The host is disrupted until it starts again.
func (s *soak) kill(h *soakHost, sig os.Signal) {
	end := s.disrupt(ofHost, h.ip)
	s.event("%s of host %s", sig, h.ip)
	h.signal(sig, true)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.back = append(h.back, end)
}

// signal sends a signal to the process of a host, and reports whether there is one.
func (h *soakHost) signal(sig os.Signal, ends bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return false
	}
	h.planned = sig == syscall.SIGTERM && (h.planned || !h.expected) || h.planned && !ends && sig == syscall.SIGHUP
	h.expected = h.expected || ends
	return h.cmd.Process.Signal(sig) == nil
}

// stopping reports whether the host stops, or has stopped and not started again, as planned.
func (h *soakHost) stopping() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.planned
}

// process returns the process of the host, nil if it has none.
func (h *soakHost) process() *exec.Cmd {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cmd
}
