// Package httpd provides an HTTP server and client for JSON, built on the router
// of go-zero's rest package and on its httpc client.
//
// The server opens its own listener before it starts serving, so that a caller
// who passes port 0 can read the assigned port. Shutdown waits for the requests
// in flight and ends every connection with a complete response. go-zero's load
// shedding and circuit breakers are disabled: the component that owns a resource
// decides on admission, because only it can guarantee that a rejected request did
// not run.
//
// # Usage
//
//	s, err := httpd.Listen(httpd.Config{Name: "entry", Addr: "127.0.0.1:0", Routes: routes})
//	go s.Serve()
//	...
//	s.Leave()
//	// keep serving until clients and load balancers use other servers
//	s.Shutdown(ctx)
//	page, err := httpd.Call[Page](ctx, "GET", s.URL()+"/streams/cell", nil)
package httpd

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-logr/logr"
	"github.com/zeromicro/go-zero/core/conf"
	"github.com/zeromicro/go-zero/rest"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/logs"
)

// Config configures a Server.
type Config struct {
	Name   string       // service name, for go-zero's statistics
	Addr   string       // IP:port; port 0 selects a free port
	Routes []rest.Route // patterns with :name parameters
	// Handler, if set, serves all requests in place of Routes. It is for servers
	// whose paths are known only at run time and cannot be written as route patterns.
	Handler http.Handler
	Logger  logr.Logger
	Limits  Limits // what callers can make the process hold; see limits.go
}

// Server is an HTTP server with an open listener.
type Server struct {
	ln      *listener
	http    *http.Server
	log     logr.Logger
	limits  Limits
	refused atomic.Int64 // connections for which there was no room

	refusals logs.Limiter // of the log lines about them

	leaving atomic.Bool
	serving atomic.Bool   // Serve has been called
	served  chan struct{} // closed when Serve returns

	requests    context.Context // of all requests
	endRequests context.CancelFunc

	mu    sync.Mutex
	conns map[*conn]bool // open connections
}

// Limits that protect the server against slow and oversized headers.
const (
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 64 << 10
)

// Listen opens the listener and, without cfg.Handler, builds the router of
// cfg.Routes. Requests are accepted once Serve is called.
func Listen(cfg Config) (s *Server, err error) {
	defer fault.Annotate(&err, "listen on %q", cfg.Addr)
	if cfg.Handler == nil {
		if cfg.Handler, err = router(cfg); err != nil {
			return nil, err
		}
	}
	var lc net.ListenConfig
	lc.SetMultipathTCP(false) // refuseNew needs a plain TCP socket
	ln, err := lc.Listen(context.Background(), "tcp", cfg.Addr)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	s = &Server{limits: cfg.Limits, log: cfg.Logger.WithName("httpd").WithValues("addr", ln.Addr().String()), conns: map[*conn]bool{}, served: make(chan struct{})}
	s.refusals = logs.Limiter{Lines: 1, Interval: time.Second}
	s.ln = &listener{Listener: ln, server: s}
	s.requests, s.endRequests = context.WithCancel(context.Background())
	s.http = &http.Server{
		BaseContext:       func(net.Listener) context.Context { return s.requests },
		ConnContext:       withConn,
		Handler:           s.closeWhenLeaving(accountBodies(cfg.Handler)),
		ConnState:         s.connState,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       -1, // clients keep their connections
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return s, nil
}

// withConn adds the connection to the context of its requests.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// Refused returns the number of connections for which there was no room.
func (s *Server) Refused() int64 { return s.refused.Load() }

// router returns go-zero's router with the routes of cfg. Of go-zero's middleware
// it enables only panic recovery.
func router(cfg Config) (http.Handler, error) {
	var rc rest.RestConf
	if err := conf.FillDefault(&rc); err != nil {
		return nil, merry.Wrap(err)
	}
	rc.Name = cfg.Name
	rc.Middlewares = rest.RestConf{}.Middlewares // disables those that FillDefault enabled
	rc.Middlewares.Recover = true
	rc.Log.Mode = "console"
	rc.Log.Level = "severe"
	rc.Log.Stat = false
	rs, err := rest.NewServer(rc, rest.WithNotFoundHandler(http.HandlerFunc(notFound)))
	if err != nil {
		return nil, merry.Wrap(err)
	}
	rs.AddRoutes(cfg.Routes)
	serverless, err := rest.NewServerless(rs)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	return http.HandlerFunc(serverless.Serve), nil
}

func notFound(w http.ResponseWriter, r *http.Request) {
	WriteError(w, fault.New(fault.NotFound, fault.NotRun, "no route %s %s", r.Method, r.URL.Path))
}

// Addr returns the IP and port on which the server listens.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// URL returns the server's base URL, without a trailing slash.
func (s *Server) URL() string { return "http://" + s.Addr() }

// Serve serves requests until Shutdown or Close, and then returns nil. It is called once.
func (s *Server) Serve() error {
	s.serving.Store(true)
	defer close(s.served)
	err := s.http.Serve(s.ln)
	if errors.Is(err, http.ErrServerClosed) || s.leaving.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return merry.Wrap(err)
}

// EndRequests cancels the contexts of the requests in flight and of all later ones, so
// that their handlers respond at once.
func (s *Server) EndRequests() { s.endRequests() }

// Close closes all connections immediately. Tests use it to simulate a crash.
func (s *Server) Close() error { return merry.Wrap(s.http.Close()) }
