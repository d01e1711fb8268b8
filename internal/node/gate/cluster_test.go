package gate

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/clock"
	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/logs"
	"lagooncourse/internal/base/polls"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/fakes"
	"lagooncourse/internal/plat/ports"
)

// cluster runs entry hosts in one process with a fake store and fake workers.
type cluster struct {
	t         *testing.T
	store     *fakes.Store
	fleet     *fakes.SimFleet
	hosts     []*Host
	ports     []int
	stop      chan struct{}
	startedAt time.Time
	logger    logr.Logger
	stalling  atomic.Bool // an owner has read stallingEntry
}

// stallingEntry is the key of a registry entry at which the first owner that reads it
// hangs.
const stallingEntry = "stalling"

// testCodec uses a request format of its own, not that of the users' platform.
var testCodec = Codec{
	Job: func(id string, body []byte) (s sched.Spec, err error) {
		if string(body) == "panic" {
			panic("as requested")
		}
		if err := json.Unmarshal(body, &s); err != nil {
			return s, fault.InvalidField("body", "", "not a job: %v", err)
		}
		s.ID = id
		return s, nil
	},
	JobID: func(id string) error {
		if len(id) > 8 {
			return fault.InvalidField("id", id, "must have at most 8 bytes")
		}
		return nil
	},
	Key:      func(h http.Header) string { return h.Get("Key") },
	Deadline: func(http.Header) time.Duration { return 0 },
	State:    func(s sched.Status) ([]byte, error) { return []byte(s), nil },
	Pending:  func(n int) ([]byte, error) { return []byte(strconv.Itoa(n)), nil },
}

// workerClient connects hosts to the fake workers in real time.
type workerClient struct {
	fleet     *fakes.SimFleet
	startedAt time.Time
}

func (w workerClient) nowMs() int64 { return time.Since(w.startedAt).Milliseconds() + 1 }

func (w workerClient) Start(_ context.Context, o ports.StartOrder) (int64, error) {
	return w.fleet.StartAt(o, w.nowMs())
}

func (w workerClient) Stop(_ context.Context, o ports.StopOrder) error {
	return w.fleet.StopAt(o, w.nowMs())
}

func (w workerClient) Heartbeat(ctx context.Context, r ports.HeartbeatRequest) (ports.HeartbeatResponse, error) {
	if r.Wait > 0 {
		clock.Sleep(ctx, 20*time.Millisecond)
	}
	return w.fleet.HeartbeatAt(r, w.nowMs())
}

// adviser is an advice service that allows every worker.
type adviser struct {
	mu       sync.Mutex
	requests int
}

func (a *adviser) Advise(_ context.Context, r ports.AdviceRequest) (ports.Advice, error) {
	a.mu.Lock()
	a.requests++
	a.mu.Unlock()
	t := map[string]string{}
	for _, id := range r.Workers {
		t[id] = "t"
	}
	return ports.Advice{Tickets: t}, nil
}

// newCluster starts a cluster of n hosts.
func newCluster(t *testing.T, n int) *cluster { return newLoggedCluster(t, n, logs.Discard()) }

// newLoggedCluster starts a cluster of n hosts that write to logger.
func newLoggedCluster(t *testing.T, n int, logger logr.Logger) *cluster {
	c := &cluster{
		t: t, logger: logger, store: fakes.NewStore(1), stop: make(chan struct{}), startedAt: time.Now(),
		fleet: fakes.NewSimFleet(fakes.SimFleetConfig{
			Workers: 4, Capacity: jobs.Size{CPU: 8_000, Mem: 8_000}, Rack: 2, Azs: []string{"x", "y"}, Service: "s", Seed: 1,
		}),
	}
	c.configure(3, clusterQueue)
	for _, w := range c.fleet.Entries() {
		data, err := json.Marshal(w)
		assert.NilError(t, err)
		c.store.Put("workers", w.ID, data)
	}
	for range n {
		c.addHost()
	}
	t.Cleanup(func() {
		for _, h := range c.hosts {
			if h != nil {
				h.Kill()
			}
		}
	})
	return c
}

// clusterQueue is the queue of a cluster.
var clusterQueue = sched.Queue{
	Name: "q", Host: "h.example", Prefix: "/q/", Service: "s", MaxAttempts: 3, Slack: 2, TargetMs: 500, Advice: &sched.AdviceTiming{BaseMs: 1, ValidMs: 2000},
}

// configure writes a version of the configuration.
func (c *cluster) configure(version int64, queues ...sched.Queue) {
	config, err := json.Marshal(ports.ClusterConfig{Version: version, Queues: queues, Teams: []ports.Team{{Name: "t", Keys: []string{"k"}, Weight: 100}}})
	assert.NilError(c.t, err)
	c.store.Put("op", "config", config)
}

// freePort returns a free TCP port.
func freePort(t *testing.T) int {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port
}

// addHost starts another host.
func (c *cluster) addHost() {
	c.ports = append(c.ports, freePort(c.t))
	c.hosts = append(c.hosts, nil)
	c.start(len(c.hosts) - 1)
}

// start starts or restarts host i.
func (c *cluster) start(i int) { c.startWith(i, c.store.For(fmt.Sprint(i))) }

// startWith starts or restarts host i with its own client of the store.
func (c *cluster) startWith(i int, store ports.Store) {
	h, err := Start(Config{
		Host: fmt.Sprintf("h%d", i), IP: "127.0.0.1", Az: "x", Listen: "127.0.0.1:0", Ready: "127.0.0.1:0", ReadyPath: "/up",
		PeerPort: c.ports[i], CPUMillis: 400,
		Store: store, Workers: workerClient{c.fleet, c.startedAt}, Adviser: &adviser{}, Codec: testCodec,
		OperatorTopic: "op", WorkerTopic: "workers", JobTopic: "jobs", HostTopic: "hosts",
		ParseConfig: func(b []byte) (s ports.ClusterConfig, err error) { return s, json.Unmarshal(b, &s) },
		ParseOperatorKey: func(key string) ports.OperatorKey {
			az, ok := strings.CutPrefix(key, "out/")
			if !ok {
				az = ""
			}
			return ports.OperatorKey{Config: key == "config", Az: az}
		},
		ParseWorker: func(key string, b []byte) (w sched.WorkerInfo, err error) {
			if key == stallingEntry && c.stalling.CompareAndSwap(false, true) {
				<-c.stop // the owner calls this with its mutex held
			}
			return w, json.Unmarshal(b, &w)
		},
		WorkerID:    func(key string) string { return key },
		RetentionMs: 60_000, MaxLeaseMs: fakes.MaxLeaseMs, Logger: c.logger,
	})
	assert.NilError(c.t, err)
	c.hosts[i] = h
}

// owner returns the index of the owner, or -1 if there is none.
func (c *cluster) owner() int {
	for i, h := range c.hosts {
		if h == nil {
			continue
		}
		h.mu.Lock()
		isOwner := h.localOwner != nil
		h.mu.Unlock()
		if isOwner {
			return i
		}
	}
	return -1
}

// awaitOwner waits for an owner and returns its index.
func (c *cluster) awaitOwner() int {
	c.t.Helper()
	polls.Until(c.t, 10*time.Second, "an owner", func() bool { return c.owner() >= 0 })
	return c.owner()
}

// call sends a request to host i and returns status and body.
func (c *cluster) call(i int, method, path, body string) (int, string) {
	r, err := http.NewRequest(method, "http://"+c.hosts[i].apiServer.Addr()+path, strings.NewReader(body))
	assert.NilError(c.t, err)
	r.Host = "h.example"
	r.Header.Set("Key", "k")
	client := &http.Client{Timeout: 5 * time.Second}
	resp, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

// submit submits a job to host i and returns the HTTP status.
func (c *cluster) submit(i int, id string, ms int64) int {
	spec := sched.Spec{ID: id, Queue: "q", Team: "t", Steps: []sched.Step{{Count: 2, Size: jobs.Size{CPU: 500}, EstimateMs: ms}}}
	c.fleet.RegisterJob(spec)
	body, err := json.Marshal(spec)
	assert.NilError(c.t, err)
	status, _ := c.call(i, "POST", "/q/"+id, string(body))
	return status
}

// awaitState waits until host i reports the job in the state want.
func (c *cluster) awaitState(i int, id, want string, within time.Duration) {
	c.t.Helper()
	polls.Until(c.t, within, "job "+id+" "+want, func() bool {
		_, body := c.call(i, "GET", "/q/"+id, "")
		return body == want
	})
}

// checkInvariants fails the test if the workers have detected a violated invariant.
func (c *cluster) checkInvariants() {
	c.t.Helper()
	assert.DeepEqual(c.t, c.fleet.Violations(), []string(nil))
}

// awaitReady waits until all hosts are ready.
func (c *cluster) awaitReady() {
	c.t.Helper()
	c.awaitOwner()
	polls.Until(c.t, 10*time.Second, "all hosts ready", func() bool {
		for _, h := range c.hosts {
			if h != nil && !h.ready() {
				return false
			}
		}
		return true
	})
}

// TestSubmitThroughAnyHost checks that any host accepts a submission, that repeating
// it has no effect, and that any host reports the job's state.
func TestSubmitThroughAnyHost(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitReady()
	for i := range 3 {
		id := fmt.Sprintf("j%d", i)
		assert.Equal(t, c.submit(i, id, 100), 200)
		assert.Equal(t, c.submit((i+1)%3, id, 100), 200, "a repeated submission is accepted as the same job")
		c.awaitState((i+2)%3, id, "completed", 5*time.Second)
	}
	assert.Equal(t, c.fleet.Starts(), 6)
	c.checkInvariants()
}

// TestInvalidRequests checks the status codes of invalid requests.
func TestInvalidRequests(t *testing.T) {
	c := newCluster(t, 2)
	c.awaitReady()
	for _, x := range []struct {
		method, path, body string
		status             int
	}{
		{"GET", "/q/none", "", 410}, {"DELETE", "/q/none", "", 410}, {"GET", "/other/x", "", 404}, {"POST", "/q/a", "{", 400},
		{"POST", "/q/" + strings.Repeat("a", 9), "{}", 400}, {"PUT", "/q/a", "", 400}, {"GET", "/q/", "", 200},
	} {
		status, body := c.call(1, x.method, x.path, x.body)
		assert.Equal(t, status, x.status, "%s %s: %s", x.method, x.path, body)
	}
	r, err := http.NewRequest("GET", "http://"+c.hosts[0].apiServer.Addr()+"/q/a", nil)
	assert.NilError(t, err)
	r.Host = "h.example"
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, 401)
	assert.Equal(t, c.fleet.Starts(), 0)
}

// TestTakeover kills the owner while jobs run. The jobs complete without a second
// run, and the new owner reports their states.
func TestTakeover(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitReady()
	for i := range 10 {
		assert.Equal(t, c.submit(i%3, fmt.Sprintf("k%d", i), 1500), 200)
	}
	old := c.owner()
	c.hosts[old].Kill()
	c.hosts[old] = nil
	killed := time.Now()
	polls.Until(t, 5*time.Second, "a new owner", func() bool { return c.owner() >= 0 })
	t.Logf("takeover after %v", time.Since(killed))
	for i := range 10 {
		c.awaitState((old+1)%3, fmt.Sprintf("k%d", i), "completed", 10*time.Second)
	}
	assert.Equal(t, c.fleet.Starts(), 20, "no task ran twice")
	c.checkInvariants()
}

// TestAllRestart kills and restarts all hosts. The accepted jobs complete from the
// stored records.
func TestAllRestart(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitReady()
	for i := range 6 {
		assert.Equal(t, c.submit(i%3, fmt.Sprintf("r%d", i), 300), 200)
	}
	c.store.Compact("jobs") // keeps only the newest record of each key
	for i, h := range c.hosts {
		h.Kill()
		c.start(i)
	}
	c.awaitReady()
	for i := range 6 {
		c.awaitState(i%3, fmt.Sprintf("r%d", i), "completed", 15*time.Second)
	}
	c.checkInvariants()
}

// TestSlowRestart restarts all hosts while the store answers later than
// startupPingWait. Only the owner and its standbys may read all job records: when all
// hosts did, the store was busy for 4 s and nothing was served meanwhile.
func TestSlowRestart(t *testing.T) {
	const hosts = 8
	c := newCluster(t, hosts)
	c.awaitReady()
	assert.Equal(t, c.submit(0, "r0", 300), 200)
	before := c.store.Listings("jobs")
	for _, h := range c.hosts {
		h.Kill()
	}
	c.store.SetFaults(fakes.StoreFaults{Delay: startupPingWait + 100*time.Millisecond})
	for i := range c.hosts {
		c.start(i)
	}
	c.awaitReady()
	assert.Assert(t, c.store.Listings("jobs")-before <= 1+standbyCount, "%d of %d hosts have read all records", c.store.Listings("jobs")-before, hosts)
	c.store.SetFaults(fakes.StoreFaults{})
	c.awaitState(1, "r0", "completed", 15*time.Second)
	c.checkInvariants()
}

// TestStoreRefusesOwner checks that the owner keeps ownership and writes through
// its peers when the store refuses it or does not answer it.
func TestStoreRefusesOwner(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprint("silent=", silent), func(t *testing.T) {
			c := newCluster(t, 3)
			c.awaitReady()
			old := c.owner()
			c.store.SetFaults(fakes.StoreFaults{Away: map[string]bool{fmt.Sprint(old): true}, Silent: silent})
			for i := range 4 {
				assert.Equal(t, c.submit(i%3, fmt.Sprintf("a%d", i), 50), 200)
			}
			c.awaitState(old, "a3", "completed", 8*time.Second)
			assert.Equal(t, c.owner(), old, "the owner keeps ownership")
			c.checkInvariants()
		})
	}
}

// TestStoreDown checks that submissions fail during a store outage, that jobs
// rejected as not run do not exist afterwards, and that accepted jobs complete.
func TestStoreDown(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitReady()
	assert.Equal(t, c.submit(0, "d0", 3000), 200)
	c.store.SetFaults(fakes.StoreFaults{Down: true})
	var refused []string
	for i := range 8 {
		id := fmt.Sprintf("e%d", i)
		switch status := c.submit(i%3, id, 50); status {
		case 503:
			refused = append(refused, id)
		case 200:
			t.Errorf("%s accepted while nothing can be stored", id)
		}
	}
	assert.Assert(t, len(refused) > 0, "submissions are rejected immediately once the outage is detected")
	c.store.SetFaults(fakes.StoreFaults{})
	c.awaitState(1, "d0", "completed", 10*time.Second)
	time.Sleep(500 * time.Millisecond)
	for _, id := range refused {
		status, body := c.call(1, "GET", "/q/"+id, "")
		assert.Equal(t, status, 410, "%s was rejected as not run: %s", id, body)
	}
	c.checkInvariants()
}

// TestLostAnswers checks that retried appends do not store or start anything twice.
func TestLostAnswers(t *testing.T) {
	c := newCluster(t, 2)
	c.awaitReady()
	c.store.SetFaults(fakes.StoreFaults{Lost: 0.3})
	for i := range 20 {
		assert.Equal(t, c.submit(i%2, fmt.Sprintf("l%d", i), 20), 200)
	}
	c.store.SetFaults(fakes.StoreFaults{})
	for i := range 20 {
		c.awaitState(0, fmt.Sprintf("l%d", i), "completed", 10*time.Second)
	}
	assert.Equal(t, c.fleet.Starts(), 40)
	c.checkInvariants()
}

// TestGracefulStop checks that stopping the owner hands ownership over and rejects
// no submission.
func TestGracefulStop(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitReady()
	old := c.owner()
	other := (old + 1) % 3
	assert.Equal(t, c.submit(other, "g0", 1000), 200)
	done := make(chan error)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		done <- c.hosts[old].Stop(ctx)
	}()
	for i := range 10 {
		assert.Equal(t, c.submit(other, fmt.Sprintf("h%d", i), 20), 200)
		time.Sleep(100 * time.Millisecond)
	}
	assert.NilError(t, <-done)
	c.hosts[old] = nil
	c.awaitState(other, "g0", "completed", 5*time.Second)
	c.awaitState(other, "h9", "completed", 5*time.Second)
	c.checkInvariants()
}

// TestZoneOutOfService checks that an availability zone taken out of service reaches
// the planner's configuration, that jobs still run, and that the zone can be restored.
func TestZoneOutOfService(t *testing.T) {
	c := newCluster(t, 2)
	c.awaitReady()
	c.store.Put("op", "out/x", []byte("{}"))
	polls.Until(t, 3*time.Second, "the zone is out of service on all hosts", func() bool {
		return c.hosts[0].config.policy().ClosedAzs["x"] && c.hosts[1].config.policy().ClosedAzs["x"]
	})
	assert.Equal(t, c.submit(0, "z0", 3000), 200)
	c.awaitState(0, "z0", "running", 3*time.Second)
	c.store.Put("op", "out/x", nil)
	polls.Until(t, 3*time.Second, "the zone is in service again", func() bool { return !c.hosts[0].config.policy().ClosedAzs["x"] })
	c.checkInvariants()
}

// TestUnconfirmedSubmission repeats a submission whose record may have reached the
// store. It must not be rejected as not run, since the job may still run.
func TestUnconfirmedSubmission(t *testing.T) {
	c := newCluster(t, 1)
	c.awaitReady()
	c.store.SetFaults(fakes.StoreFaults{Down: true, Silent: true})
	assert.Equal(t, c.submit(0, "x", 50), 504)
	for range 3 {
		assert.Equal(t, c.submit(0, "x", 50), 504)
	}
	assert.Equal(t, c.submit(0, "y", 50), 503, "the record of this submission was not sent")
	c.store.SetFaults(fakes.StoreFaults{})
	c.awaitState(0, "x", "completed", 8*time.Second)
	status, _ := c.call(0, "GET", "/q/y", "")
	assert.Equal(t, status, 410)
	c.checkInvariants()
}
