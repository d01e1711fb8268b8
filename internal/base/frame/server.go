package frame

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-logr/logr"
	"github.com/vmihailenco/msgpack/v5"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/guard"
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Addr        string // IP:port; port 0 selects a free port
	MaxInFlight int    // maximum concurrent requests per connection, at which reading pauses; 0 means 4096
	Logger      logr.Logger
}

const defaultMaxInFlight = 4096

// Server serves requests from other entry hosts.
type Server struct {
	cfg      ServerConfig
	ln       net.Listener
	handlers map[uint16]handler
	traffic  Traffic

	mu        sync.Mutex
	conns     map[net.Conn]struct{}
	closed    bool
	openConns sync.WaitGroup
}

type handler func(ctx context.Context, body []byte) ([]byte, error)

// NewServer returns a server that does not listen yet.
func NewServer(cfg ServerConfig) *Server {
	if cfg.MaxInFlight == 0 {
		cfg.MaxInFlight = defaultMaxInFlight
	}
	return &Server{cfg: cfg, handlers: map[uint16]handler{}, conns: map[net.Conn]struct{}{}}
}

// Handle registers fn as the handler of the method. It must not be called after
// Listen.
func Handle[Req, Resp any](s *Server, m Method[Req, Resp], fn func(context.Context, Req) (Resp, error)) {
	if _, taken := s.handlers[m.ID]; taken {
		panic(merry.Errorf("method id %d is registered twice", m.ID))
	}
	s.handlers[m.ID] = func(ctx context.Context, body []byte) ([]byte, error) {
		req, err := Decode[Req](body)
		if err != nil {
			return nil, fault.New(fault.BadInput, fault.NotRun, "method %q: %v", m.Name, err)
		}
		resp, err := fn(ctx, req)
		if err != nil {
			return nil, err
		}
		return Encode(resp)
	}
}

// Listen opens the listener. Requests wait until Serve is called, so that a caller can
// use the address before its handlers can run.
func (s *Server) Listen() (err error) {
	defer fault.Annotate(&err, "listen on %q", s.cfg.Addr)
	s.ln, err = net.Listen("tcp", s.cfg.Addr)
	if err != nil {
		return merry.Wrap(err)
	}
	return nil
}

// Serve serves in the background until Close.
func (s *Server) Serve() { go s.acceptConns() }

// Addr returns the IP and port on which the server listens.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Traffic returns the server's byte counters.
func (s *Server) Traffic() *Traffic { return &s.traffic }

// Close closes the listener and every connection. The clients report requests in
// flight as Unknown. Handlers may still be running when Close returns.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.ln != nil {
		s.ln.Close()
	}
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.openConns.Wait()
}

func (s *Server) acceptConns() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		if !s.track(c) {
			c.Close()
			return
		}
		go guard.Run(s.cfg.Logger, "connection of a peer", func() { s.serveConn(c) })
	}
}

// track registers the connection. It returns false if the server is closed.
func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	s.openConns.Add(1)
	return true
}

func (s *Server) closeConn(c net.Conn) {
	c.Close()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.openConns.Done()
}

// serveConn reads requests from one connection and handles each in its own
// goroutine, so that a slow request does not delay later ones.
func (s *Server) serveConn(c net.Conn) {
	defer s.closeConn(c)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := bufio.NewReader(c)
	w := &connWriter{c: c}
	sem := make(chan struct{}, s.cfg.MaxInFlight)
	for {
		body, err := readFrame(r)
		if err != nil {
			return
		}
		req, err := Decode[request](body)
		if err != nil {
			return
		}
		sem <- struct{}{}
		go func() {
			defer func() { <-sem }()
			n := w.send(s.dispatch(ctx, req))
			s.traffic.add(req.Method, Bytes{In: int64(len(body) + lengthPrefixBytes), Out: int64(n)})
		}()
	}
}

// dispatch calls the handler of the request's method, with the caller's timeout.
func (s *Server) dispatch(ctx context.Context, req request) response {
	h, ok := s.handlers[req.Method]
	if !ok {
		return response{ID: req.ID, Err: fault.New(fault.BadInput, fault.NotRun, "no handler for method id %d", req.Method)}
	}
	if req.TimeoutMs > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(req.TimeoutMs)*time.Millisecond)
		defer cancel()
	}
	body, err := s.call(ctx, h, req)
	if err != nil {
		return response{ID: req.ID, Err: fault.From(err)}
	}
	return response{ID: req.ID, Body: msgpack.RawMessage(body)}
}

// call calls a handler. A panic in it costs only the request.
func (s *Server) call(ctx context.Context, h handler, req request) (body []byte, err error) {
	defer guard.Error(&err, s.cfg.Logger, "request of a peer")
	return h(ctx, req.Body)
}

// connWriter writes the frames of several goroutines to one connection, one frame
// at a time.
type connWriter struct {
	mu sync.Mutex
	c  net.Conn
}

// send writes one frame and returns the number of bytes written. If encoding or
// writing fails, it closes the connection: after a partial write, the peer would
// read the next frame as the rest of the truncated one.
func (w *connWriter) send(v any) int {
	data, err := encodeFrame(v)
	if err != nil {
		w.c.Close()
		return 0
	}
	n, err := w.write(data)
	if err != nil {
		w.c.Close()
	}
	return n
}

func (w *connWriter) write(data []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.c.Write(data)
}
