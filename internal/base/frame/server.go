package frame

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"lagooncourse/internal/base/fault"
)

// ServerConfig describes a Server.
type ServerConfig struct {
	Addr     string // IP:port; port 0 picks a free one
	InFlight int    // requests served at once on one connection; 0 means 4096
}

const defaultInFlight = 4096

// Server answers requests from other entry hosts.
type Server struct {
	cfg      ServerConfig
	ln       net.Listener
	handlers map[uint16]handler
	bytes    Traffic

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
	active sync.WaitGroup
}

type handler func(ctx context.Context, body []byte) ([]byte, error)

// NewServer returns a server that does not listen yet.
func NewServer(cfg ServerConfig) *Server {
	if cfg.InFlight == 0 {
		cfg.InFlight = defaultInFlight
	}
	return &Server{cfg: cfg, handlers: map[uint16]handler{}, conns: map[net.Conn]struct{}{}}
}

// Handle registers fn for the method. All calls of Handle come before Listen.
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

// Listen opens the listener and serves in the background until Close.
func (s *Server) Listen() (err error) {
	defer fault.Note(&err, "listen on %q", s.cfg.Addr)
	s.ln, err = net.Listen("tcp", s.cfg.Addr)
	if err != nil {
		return merry.Wrap(err)
	}
	go s.accept()
	return nil
}

// Addr returns the IP and port on which the server listens.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Traffic returns the server's byte counters.
func (s *Server) Traffic() *Traffic { return &s.bytes }

// Close drops every connection. Requests in flight end with an unknown
// outcome for their callers.
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
	s.active.Wait()
}

func (s *Server) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		if !s.track(c) {
			c.Close()
			return
		}
		go s.serve(c)
	}
}

// track adds the connection, unless the server is closed.
func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = struct{}{}
	s.active.Add(1)
	return true
}

func (s *Server) untrack(c net.Conn) {
	c.Close()
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.active.Done()
}

// serve reads requests from one connection and answers each in its own
// goroutine, so a slow request does not hold up the ones behind it.
func (s *Server) serve(c net.Conn) {
	defer s.untrack(c)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := bufio.NewReader(c)
	w := &connWriter{c: c}
	slots := make(chan struct{}, s.cfg.InFlight)
	for {
		body, err := readFrame(r)
		if err != nil {
			return
		}
		req, err := Decode[request](body)
		if err != nil {
			return
		}
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			n := w.send(s.answer(ctx, req))
			s.bytes.add(req.Method, Bytes{In: int64(len(body) + lengthBytes), Out: int64(n)})
		}()
	}
}

func (s *Server) answer(ctx context.Context, req request) answer {
	h, ok := s.handlers[req.Method]
	if !ok {
		return answer{ID: req.ID, Err: fault.New(fault.BadInput, fault.NotRun, "no method with id %d", req.Method)}
	}
	if req.WaitMs > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(req.WaitMs)*time.Millisecond)
		defer cancel()
	}
	body, err := h(ctx, req.Body)
	if err != nil {
		return answer{ID: req.ID, Err: fault.From(err)}
	}
	return answer{ID: req.ID, Body: msgpack.RawMessage(body)}
}

// connWriter serializes the frames of many goroutines onto one connection.
type connWriter struct {
	mu sync.Mutex
	c  net.Conn
}

// send writes one frame and returns its length. A failed write closes the
// connection, because the peer could otherwise read a frame that is cut short
// and takes the next one for its rest.
func (w *connWriter) send(v any) int {
	data, err := appendFrame(v)
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
