// Package gate is the daemon of an entry host on the users' platform: it takes
// callers' requests, follows the operators' configuration, knows its peers,
// and decides which of them owns the jobs.
//
// Every host is equal. A host that does not own the jobs checks a request and
// forwards it to the owner; it also asks for advice on the owner's behalf,
// carries the owner's calls to the store when the platform turns the owner
// away, and keeps a warm copy of the records, so that it can take over within
// the time that it takes to claim.
//
// Ownership is a claim record with an epoch above all earlier ones. The store
// refuses appends of lower epochs, and workers refuse orders with lower fencing
// tokens, so a host that has missed its removal changes nothing.
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
	"lagooncourse/internal/base/httpd"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/node/lead"
	"lagooncourse/internal/plat/ports"
)

// Codec translates what callers send and get.
type Codec struct {
	Job      func(id string, body []byte) (sched.Spec, error)
	JobID    func(id string) error
	Key      func(http.Header) string
	Deadline func(http.Header) time.Duration // how long the caller waits; 0 if it does not say
	State    func(sched.Status) ([]byte, error)
	Pending  func(int) ([]byte, error)
}

// Config describes a Host.
type Config struct {
	Host       string
	IP         string
	Az         string
	Listen     string // IP:port for callers
	Ready      string // IP:port of the readiness check
	ReadyPath  string
	PeerPort   int   // for frames, alike on all hosts
	MetricPort int   // 0 serves no metrics
	Power      int64 // processor time that the process may use, in millicores; 0 if unknown

	Store   ports.Store
	Workers ports.Workers
	Adviser ports.Adviser
	Codec   Codec

	OperatorTopic string
	WorkerTopic   string
	JobTopic      string
	HostTopic     string
	ParseSite     func([]byte) (ports.Site, error)
	ParseOperator func(key string) ports.OperatorKey
	ParseWorker   func(key string, value []byte) (sched.WorkerInfo, error)
	WorkerID      func(key string) string

	KeepMs   int64
	LeaseMax int64
	Clock    clock.Clock
	Logger   logr.Logger
}

// Host is a running entry host.
type Host struct {
	cfg     Config
	log     logr.Logger
	clock   clock.Clock
	addr    string // for frames
	store   *relayStore
	site    *siteState
	pool    *frame.Pool
	frames  *frame.Server
	front   *httpd.Server
	checks  []*httpd.Server
	desks   *desks
	reg     *prometheus.Registry
	metrics *metrics
	leadMet *lead.Metrics

	cancel   context.CancelFunc
	loops    sync.WaitGroup
	rostered chan struct{} // closed when the other hosts have been read from the store
	inFlight atomic.Int64

	mu      sync.Mutex
	peers   map[string]*peer
	own     ownership
	met     bool      // an owner has answered this process
	since   time.Time // when this host became the owner
	leaving bool
	invited bool
	replica *replica
	lead    *lead.Lead
	changed chan struct{} // closed and replaced when the owner changes
}

// Start opens the listeners and joins the other hosts.
func Start(cfg Config) (h *Host, err error) {
	defer fault.Note(&err, "start entry host %q", cfg.Host)
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	h = &Host{
		cfg: cfg, log: cfg.Logger.WithName("gate").WithValues("host", cfg.Host), clock: cfg.Clock,
		addr: net.JoinHostPort(cfg.IP, strconv.Itoa(cfg.PeerPort)), site: newSiteState(),
		pool: frame.NewPool(frame.PoolConfig{}), peers: map[string]*peer{}, changed: make(chan struct{}),
		replica: newReplica(), rostered: make(chan struct{}), reg: prometheus.NewRegistry(),
	}
	h.own.heard = cfg.Clock.Now()
	h.store = &relayStore{direct: cfg.Store, host: h}
	h.desks = &desks{host: h, busy: map[string]bool{}, after: map[string]time.Time{}}
	h.metrics = newMetrics(h.reg)
	h.leadMet = lead.NewMetrics(h.reg)
	if err := h.listen(); err != nil {
		h.Kill()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	for _, loop := range []func(context.Context){h.siteLoop, h.pingLoop, h.rosterLoop, h.replicaLoop, h.claimLoop} {
		h.loops.Add(1)
		go func() {
			defer h.loops.Done()
			loop(ctx)
		}()
	}
	h.log.Info("started", "listen", cfg.Listen, "peer", h.addr, "az", cfg.Az)
	return h, nil
}

func (h *Host) listen() (err error) {
	h.frames = frame.NewServer(frame.ServerConfig{Addr: h.addr})
	frame.Handle(h.frames, pingMethod, h.servePing)
	frame.Handle(h.frames, callMethod, h.serveCall)
	frame.Handle(h.frames, adviseMethod, h.serveAdvise)
	frame.Handle(h.frames, appendMethod, h.serveAppend)
	frame.Handle(h.frames, readMethod, h.serveRead)
	frame.Handle(h.frames, newestMethod, h.serveNewest)
	frame.Handle(h.frames, siteMethod, h.serveSite)
	if err := h.frames.Listen(); err != nil {
		return err
	}
	h.front, err = httpd.Listen(httpd.Config{Name: "gate", Addr: h.cfg.Listen, Handler: http.HandlerFunc(h.serveFront)})
	if err != nil {
		return err
	}
	h.serve(h.front)
	ready := http.NewServeMux()
	ready.HandleFunc(h.cfg.ReadyPath, h.serveReady)
	if err := h.check(h.cfg.Ready, ready); err != nil {
		return err
	}
	if h.cfg.MetricPort == 0 {
		return nil
	}
	own := http.NewServeMux()
	own.Handle("/metrics", promhttp.HandlerFor(h.reg, promhttp.HandlerOpts{}))
	own.HandleFunc("/dump", h.serveDump)
	return h.check(net.JoinHostPort(h.cfg.IP, strconv.Itoa(h.cfg.MetricPort)), own)
}

// check serves a small HTTP API for operators.
func (h *Host) check(addr string, handler http.Handler) error {
	s, err := httpd.Listen(httpd.Config{Addr: addr, Handler: handler})
	if err != nil {
		return err
	}
	h.checks = append(h.checks, s)
	h.serve(s)
	return nil
}

// serve answers requests in the background until the server is closed.
func (h *Host) serve(s *httpd.Server) {
	go func() {
		if err := s.Serve(); err != nil {
			h.log.Error(err, "server ended", "addr", s.Addr())
		}
	}()
}

// serveReady answers the balancer: a host is ready that knows the
// configuration and reaches the owner.
func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !h.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// readyAge is how old the last contact with the owner may be. It outlasts an
// ordinary takeover, in which requests wait instead of being turned away.
const readyAge = 2500 * time.Millisecond

func (h *Host) ready() bool {
	if !h.site.ready() {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.leaving && (h.lead != nil || h.own.addr != "" && h.clock.Now().Sub(h.own.heard) < readyAge)
}

// Reload takes note of new settings. None of them changes while the process
// runs; what the operators change comes through the store.
func (h *Host) Reload(cfg Config) {
	if cfg.Listen != h.cfg.Listen || cfg.PeerPort != h.cfg.PeerPort {
		h.log.Info("settings not taken up", "reason", "listen addresses change only with a restart", "listen", cfg.Listen, "peerPort", cfg.PeerPort)
		return
	}
	h.log.Info("settings read again, nothing to take up")
}

// Stop ends the host gracefully: it stops being ready, hands the jobs over,
// finishes what is in flight and closes.
func (h *Host) Stop(ctx context.Context) (err error) {
	defer fault.Note(&err, "stop entry host %q", h.cfg.Host)
	h.log.Info("stopping")
	h.mu.Lock()
	h.leaving = true
	h.mu.Unlock()
	h.handOver(ctx)
	h.drain(ctx)
	err = h.front.Shutdown(ctx)
	h.close()
	h.log.Info("stopped")
	return err
}

// drainFor is how long the balancer may go on sending new connections: two
// misses of one second each.
const drainFor = 2300 * time.Millisecond

// drain waits until the balancer has noticed and requests have ended.
func (h *Host) drain(ctx context.Context) {
	until := h.clock.Now().Add(drainFor)
	for ctx.Err() == nil && (h.clock.Now().Before(until) || h.inFlight.Load() > 0) {
		clock.Sleep(ctx, 20*time.Millisecond)
	}
}

// close ends loops and connections.
func (h *Host) close() {
	if h.cancel != nil {
		h.cancel()
	}
	h.mu.Lock()
	l := h.lead
	h.mu.Unlock()
	if l != nil {
		l.Stop("the process ends")
	}
	h.pool.Close()
	if h.frames != nil {
		h.frames.Close()
	}
	for _, s := range h.checks {
		_ = s.Close()
	}
}

// Kill ends the host at once, as a crash would.
func (h *Host) Kill() {
	if h.front != nil {
		_ = h.front.Close()
	}
	h.close()
}

// viewChanged hands a new configuration to the owner, if that is this host.
func (h *Host) viewChanged() {
	v := h.site.view()
	h.mu.Lock()
	l := h.lead
	h.mu.Unlock()
	if l != nil {
		l.SetView(v)
	}
}
