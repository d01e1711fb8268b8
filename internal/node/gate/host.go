// Package gate implements the daemon of an entry host on the users' platform. It
// serves client requests, applies the operators' configuration, exchanges pings
// with the other entry hosts and elects the owner of the jobs.
//
// All entry hosts run the same code. A host that is not the owner validates client
// requests and forwards them to the owner. It also sends advice requests for the
// owner and relays the owner's store calls when the store refuses or does not
// answer the owner. The first hosts in the takeover order keep a replica of the job
// records, so that a takeover needs little more than the claim itself.
//
// A host becomes the owner by appending a claim record with an epoch above all
// earlier ones. The store refuses appends of lower epochs and workers refuse
// orders with lower fencing tokens, so a replaced owner that still runs
// cannot change anything.
//
// # Usage
//
//	h, err := gate.Start(gate.Config{Host: "h1", Listen: "10.0.0.1:8183", ...})
//	...
//	h.Stop(ctx)
package gate

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"lagooncourse/internal/base/clock"
	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/frame"
	"lagooncourse/internal/base/guard"
	"lagooncourse/internal/base/httpd"
	"lagooncourse/internal/base/logs"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/node/lead"
	"lagooncourse/internal/plat/ports"
)

// Codec reads client requests and encodes responses.
type Codec struct {
	Job      func(id string, body []byte) (sched.Spec, error)
	JobID    func(id string) error           // validates a job ID
	Key      func(http.Header) string        // API key of a request
	Deadline func(http.Header) time.Duration // how long the client waits; 0 if not given
	State    func(sched.Status) ([]byte, error)
	Pending  func(int) ([]byte, error) // response with a number of pending jobs
}

// Config configures a Host.
type Config struct {
	Host       string
	IP         string
	Az         string
	Listen     string // IP:port for client requests
	Ready      string // IP:port of the readiness check
	ReadyPath  string
	PeerPort   int           // for calls between entry hosts; the same on all of them
	MetricPort int           // 0 disables metrics
	CPUMillis  int64         // CPU limit of the process in millicores; 0 if unknown
	Machine    httpd.Machine // bounds what callers can make the process hold

	Store   ports.Store
	Workers ports.Workers
	Adviser ports.Adviser
	Codec   Codec

	OperatorTopic    string                                    // operators' configuration
	WorkerTopic      string                                    // worker registry
	JobTopic         string                                    // job records
	HostTopic        string                                    // registrations of the entry hosts
	ParseConfig      func([]byte) (ports.ClusterConfig, error) // decodes the configuration
	ParseOperatorKey func(key string) ports.OperatorKey
	ParseWorker      func(key string, value []byte) (sched.WorkerInfo, error) // decodes a worker registry record
	WorkerID         func(key string) string                                  // worker ID in the key of a registry record

	RetentionMs  int64 // retention time of ended jobs
	MaxLeaseMs   int64 // longest lease that a worker grants, in ms
	RecordBytes  int   // longest record that the store takes; 0 means the default of package sched
	AppendBytes  int   // longest append that the store takes; 0 means the default of package sched
	Interference bool  // see sched.Config
	Clock        clock.Clock
	Logger       logr.Logger

	DroppedLines func() int64 // log lines that this process has dropped; nil if unknown
}

// Host is a running entry host.
type Host struct {
	cfg         Config
	log         logr.Logger
	clock       clock.Clock
	addr        string // for calls from other entry hosts
	store       *relayStore
	config      *configState
	pool        *frame.Pool
	peerServer  *frame.Server
	apiServer   *httpd.Server
	auxServers  []*httpd.Server // readiness check and metrics
	adviceHosts *adviceHosts
	reg         *prometheus.Registry
	metrics     *metrics
	denials     logs.Limiter // of the log lines about jobs that do not exist
	cancels     logs.Limiter // of the log lines about answered cancellations
	accepts     logs.Limiter // of the log lines about submissions that another host has accepted
	leadMetrics *lead.Metrics

	cancel      context.CancelFunc
	loops       sync.WaitGroup
	hostsLoaded chan struct{} // closed after the first successful read of the host registrations

	hostsLoadedOnce sync.Once
	inFlight        atomic.Int64
	requests        context.Context // done when a stopping host has to answer all requests
	endRequests     context.CancelFunc
	panics          logs.Limiter // of the log lines about handlers that panicked
	unread          logs.Limiter // of the log lines about requests that were not read to their end
	disconnects     logs.Limiter // of the log lines about clients that disconnected before the response
	policyMu        sync.Mutex   // held while a policy is passed to the owner

	mu             sync.Mutex
	peers          map[string]*peer
	owner          ownerInfo // the last known owner, on this host or another
	ownerContacted bool      // this process has been in contact with an owner
	ownerSince     time.Time // when this host last became the owner
	leaving        bool      // this host is shutting down
	claimRequested bool      // the owner has asked this host to take over
	replica        *replica
	localOwner     *lead.Owner   // nil unless this host is the owner
	ownerCh        chan struct{} // closed and replaced when the owner changes
}

// Start opens the listeners and starts the background loops.
func Start(cfg Config) (h *Host, err error) {
	defer fault.Annotate(&err, "start entry host %q", cfg.Host)
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	h = &Host{
		cfg: cfg, log: cfg.Logger.WithName("gate").WithValues("host", cfg.Host), clock: cfg.Clock,
		addr: net.JoinHostPort(cfg.IP, strconv.Itoa(cfg.PeerPort)), config: newConfigState(),
		pool: frame.NewPool(frame.PoolConfig{}), peers: map[string]*peer{}, ownerCh: make(chan struct{}),
		replica: newReplica(), hostsLoaded: make(chan struct{}), reg: prometheus.NewRegistry(),
		denials: logs.Limiter{Lines: maxDenialLines, Interval: time.Second}, panics: logs.Limiter{Lines: maxUnansweredLines, Interval: time.Second},
		cancels: logs.Limiter{Lines: maxCancelLines, Interval: time.Second}, accepts: logs.Limiter{Lines: maxAcceptLines, Interval: time.Second},
		disconnects: logs.Limiter{Lines: maxUnansweredLines, Interval: time.Second}, unread: logs.Limiter{Lines: 1, Interval: time.Second},
	}
	h.requests, h.endRequests = context.WithCancel(context.Background())
	h.owner.lastContact = cfg.Clock.Now()
	h.store = &relayStore{direct: cfg.Store, host: h}
	h.adviceHosts = &adviceHosts{host: h, busy: map[string]bool{}, retryAt: map[string]time.Time{}}
	h.metrics = newMetrics(h.reg, cfg.DroppedLines)
	h.leadMetrics = lead.NewMetrics(h.reg)
	if err := h.listen(); err != nil {
		h.Kill()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	for name, loop := range map[string]func(context.Context){
		"config loop": h.configLoop, "ping loop": h.pingLoop, "hosts loop": h.hostsLoop, "replica loop": h.replicaLoop, "claim loop": h.claimLoop,
	} {
		h.loops.Add(1)
		go func() {
			defer h.loops.Done()
			for ctx.Err() == nil && !guard.Run(h.log, name, func() { loop(ctx) }) {
				clock.Sleep(ctx, loopRestartPause)
			}
		}()
	}
	h.log.Info("started", "listen", cfg.Listen, "peer", h.addr, "az", cfg.Az)
	return h, nil
}

// loopRestartPause is the pause before a loop that has panicked runs again.
const loopRestartPause = time.Second

// background calls f in a goroutine. A panic in it costs only what f does.
func (h *Host) background(name string, f func()) {
	go guard.Run(h.log, name, f)
}

// listen opens the listeners and starts serving.
func (h *Host) listen() (err error) {
	h.peerServer = frame.NewServer(frame.ServerConfig{Addr: h.addr, Logger: h.log})
	frame.Handle(h.peerServer, pingMethod, h.servePing)
	frame.Handle(h.peerServer, callMethod, h.serveCall)
	frame.Handle(h.peerServer, adviseMethod, h.serveAdvise)
	frame.Handle(h.peerServer, appendMethod, h.serveAppend)
	frame.Handle(h.peerServer, readMethod, h.serveRead)
	frame.Handle(h.peerServer, newestMethod, h.serveNewest)
	frame.Handle(h.peerServer, configMethod, h.serveConfig)
	if err := h.peerServer.Listen(); err != nil {
		return err
	}
	h.peerServer.Serve()
	callers, checks := h.cfg.Machine.Limits()
	h.apiServer, err = httpd.Listen(httpd.Config{Name: "gate", Addr: h.cfg.Listen, Handler: http.HandlerFunc(h.serveAPI), Logger: h.log, Limits: callers})
	if err != nil {
		return err
	}
	h.serve(h.apiServer)
	readyMux := http.NewServeMux()
	readyMux.HandleFunc(h.cfg.ReadyPath, h.serveReady)
	if err := h.listenAux(h.cfg.Ready, readyMux, checks); err != nil {
		return err
	}
	defer func() { httpd.RegisterMetrics(h.reg, callers.Account, append(h.auxServers, h.apiServer)...) }()
	if h.cfg.MetricPort == 0 {
		return nil
	}
	metricsMux := http.NewServeMux()
	metricsMux.Handle("/metrics", promhttp.HandlerFor(h.reg, promhttp.HandlerOpts{}))
	metricsMux.HandleFunc("/dump", h.serveDump)
	return h.listenAux(net.JoinHostPort(h.cfg.IP, strconv.Itoa(h.cfg.MetricPort)), metricsMux, checks)
}

// listenAux serves the readiness check or the metrics on their own address.
func (h *Host) listenAux(addr string, handler http.Handler, limits httpd.Limits) error {
	s, err := httpd.Listen(httpd.Config{Addr: addr, Handler: handler, Logger: h.log, Limits: limits})
	if err != nil {
		return err
	}
	h.auxServers = append(h.auxServers, s)
	h.serve(s)
	return nil
}

// serve serves requests in the background until the server is closed.
func (h *Host) serve(s *httpd.Server) {
	go func() {
		if err := s.Serve(); err != nil {
			h.log.Error(err, "HTTP server failed", "addr", s.Addr())
		}
	}()
}

// serveReady serves the readiness check of the load balancer. A host is ready if
// it has a configuration and recent contact with the owner.
func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !h.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// readyMaxAge is the maximum age of the last contact with the owner for a ready
// host. It exceeds a normal takeover, during which requests wait instead of
// failing.
const readyMaxAge = 2500 * time.Millisecond

// ready reports whether this host can serve client requests.
func (h *Host) ready() bool {
	if !h.config.ready() {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.leaving && (h.localOwner != nil || h.owner.addr != "" && h.clock.Now().Sub(h.owner.lastContact) < readyMaxAge)
}

// Reload applies nothing: new settings take effect at a restart. It logs whether
// listen addresses have changed. Operators' changes arrive through the store.
func (h *Host) Reload(cfg Config) {
	if cfg.Listen != h.cfg.Listen || cfg.PeerPort != h.cfg.PeerPort {
		h.log.Info("new settings ignored", "reason", "listen addresses change only with a restart", "listen", cfg.Listen, "peerPort", cfg.PeerPort)
		return
	}
	h.log.Info("settings reloaded, nothing to apply")
}

// Stop shuts the host down gracefully: it reports the host as not ready, hands
// ownership over, completes the requests in flight and closes the listeners. Requests
// that are still in flight shortly before the deadline of ctx are answered as failed.
func (h *Host) Stop(ctx context.Context) (err error) {
	defer fault.Annotate(&err, "stop entry host %q", h.cfg.Host)
	h.log.Info("stopping")
	h.mu.Lock()
	h.leaving = true
	h.mu.Unlock()
	h.apiServer.Leave()
	work, cancel := clock.CancelBefore(ctx, maxAnswerTime)
	defer cancel()
	context.AfterFunc(work, h.endRequests)
	h.leaveAndHandOver(work)
	h.drain(work)
	err = h.apiServer.Shutdown(ctx)
	h.close()
	h.log.Info("stopped")
	return err
}

// maxAnswerTime is how long before the end of a stop the requests in flight are ended.
// It is time for their responses to be written by a host with little CPU.
const maxAnswerTime = time.Second

// drainTime is how long the load balancer may still send new connections: until
// two checks at an interval of one second have failed, plus 300 ms.
const drainTime = 2300 * time.Millisecond

// drain waits for drainTime. Requests in flight are left to the shutdown of the server,
// which accepts no new ones: under load there may be no moment without a request.
func (h *Host) drain(ctx context.Context) {
	clock.Sleep(ctx, drainTime)
}

// close stops the loops and the owner, and closes the connections.
func (h *Host) close() {
	h.endRequests()
	if h.cancel != nil {
		h.cancel()
	}
	h.mu.Lock()
	o := h.localOwner
	h.mu.Unlock()
	if o != nil {
		o.Stop("the process is exiting")
	}
	h.pool.Close()
	if h.peerServer != nil {
		h.peerServer.Close()
	}
	for _, s := range h.auxServers {
		_ = s.Close()
	}
}

// Kill stops the host without a handover or draining, like a crash.
func (h *Host) Kill() {
	if h.apiServer != nil {
		_ = h.apiServer.Close()
	}
	h.close()
}

// policyChanged passes a new configuration to the owner if this host is the owner.
func (h *Host) policyChanged() {
	h.mu.Lock()
	o := h.localOwner
	h.mu.Unlock()
	if o == nil {
		return
	}
	passed := make(chan struct{})
	h.background("passing the configuration to the owner", func() {
		defer close(passed)
		h.passPolicy(o.SetPolicy)
	})
	select {
	case <-passed:
	case <-time.After(maxPolicyWait):
		h.log.Info("the owner does not take the configuration", "epoch", o.Epoch(), "waitedMs", maxPolicyWait.Milliseconds())
	}
}

// maxPolicyWait is how long the reader of the configuration waits for the owner to take a
// new one. A stalled owner never does, and the host has to read further versions for its own
// answers. The owner plans for milliseconds at a time.
const maxPolicyWait = 500 * time.Millisecond

// passPolicy passes the newest policy to set. The last of several calls at once passes the
// newest one.
func (h *Host) passPolicy(set func(sched.Policy)) {
	h.policyMu.Lock()
	defer h.policyMu.Unlock()
	set(h.config.policy())
}
