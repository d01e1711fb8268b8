// Package httpd provides an HTTP server and client for JSON, built on the router
// of go-zero's rest package and on its httpc client.
//
// The server opens its own listener before it starts serving, so that a caller
// who passes port 0 can read the assigned port. Shutdown waits for the requests
// in flight. go-zero's load shedding and circuit breakers are disabled: the
// component that owns a resource decides on admission, because only it can
// guarantee that a rejected request did not run.
//
// # Usage
//
//	s, err := httpd.Listen(httpd.Config{Name: "entry", Addr: "127.0.0.1:0", Routes: routes})
//	go s.Serve()
//	defer s.Shutdown(ctx)
//	page, err := httpd.Call[Page](ctx, "GET", s.URL()+"/streams/cell", nil)
package httpd

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/zeromicro/go-zero/core/conf"
	"github.com/zeromicro/go-zero/rest"

	"lagooncourse/internal/base/fault"
)

// Config configures a Server.
type Config struct {
	Name   string       // service name, for go-zero's statistics
	Addr   string       // IP:port; port 0 selects a free port
	Routes []rest.Route // patterns with :name parameters
	// Handler, if set, serves all requests in place of Routes. It is for servers
	// whose paths are known only at run time and cannot be written as route patterns.
	Handler http.Handler
}

// Server is an HTTP server with an open listener.
type Server struct {
	ln   net.Listener
	http *http.Server
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
	ln, err := net.Listen("tcp", cfg.Addr)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	return &Server{
		ln: ln,
		http: &http.Server{
			Handler:           cfg.Handler,
			ReadHeaderTimeout: readHeaderTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		},
	}, nil
}

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

// Serve serves requests until Shutdown or Close, and then returns nil.
func (s *Server) Serve() error {
	err := s.http.Serve(s.ln)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return merry.Wrap(err)
}

// Shutdown stops accepting requests and waits until those in flight have ended or
// ctx is done.
func (s *Server) Shutdown(ctx context.Context) error { return merry.Wrap(s.http.Shutdown(ctx)) }

// Close closes all connections immediately. Tests use it to simulate a crash.
func (s *Server) Close() error { return merry.Wrap(s.http.Close()) }
