// Package httpd carries JSON over HTTP, on the base library's rest server and
// httpc client.
//
// The server is a rest server behind a listener of our own. The listener is
// opened before the server starts, so that a caller who passes port 0 learns
// the port, and Shutdown waits for the requests in flight. The rest server's
// load shedding and breakers stay switched off: admission is decided by the
// part that owns the resource, which can say truthfully that nothing ran.
//
// # Usage
//
//	s, err := httpd.Listen(httpd.Config{Name: "entry", Addr: "127.0.0.1:0", Routes: routes})
//	go s.Serve()
//	defer s.Shutdown(ctx)
//	page, err := httpd.Exchange[Page](ctx, "GET", s.URL()+"/streams/cell", nil)
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

// Config describes a server.
type Config struct {
	Name   string       // for the base library's statistics
	Addr   string       // IP:port; port 0 picks a free one
	Routes []rest.Route // patterns with :name parameters
	// Handler, if set, answers everything in place of Routes: the paths of some
	// servers are known only at run time, and the base library's router has no
	// pattern for them.
	Handler http.Handler
}

// Server is an HTTP server with an open listener.
type Server struct {
	ln   net.Listener
	http *http.Server
}

const (
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 64 << 10
)

// Listen opens the listener and builds the routes. Serve has to follow.
func Listen(cfg Config) (s *Server, err error) {
	defer fault.Note(&err, "listen on %q", cfg.Addr)
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

// router returns the base library's router with the routes of cfg.
func router(cfg Config) (http.Handler, error) {
	var rc rest.RestConf
	if err := conf.FillDefault(&rc); err != nil {
		return nil, merry.Wrap(err)
	}
	rc.Name = cfg.Name
	rc.Middlewares = rest.RestConf{}.Middlewares
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

// URL returns the server's base URL, without a slash at its end.
func (s *Server) URL() string { return "http://" + s.Addr() }

// Serve answers requests until Shutdown or Close. It returns nil after either.
func (s *Server) Serve() error {
	err := s.http.Serve(s.ln)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return merry.Wrap(err)
}

// Shutdown stops accepting and waits for the requests in flight, until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return merry.Wrap(s.http.Shutdown(ctx)) }

// Close drops every connection at once. Tests use it to stand for a crash.
func (s *Server) Close() error { return merry.Wrap(s.http.Close()) }
