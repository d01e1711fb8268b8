package httpd

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lagooncourse/internal/base/budget"
	"lagooncourse/internal/base/clock"
	"lagooncourse/internal/base/fault"
)

// http.Server.Shutdown closes an idle connection without regard to a request that
// the client has just sent on it. The client then cannot tell whether its request
// ran. A Server therefore ends each connection with a complete response:
//
//   - After Leave, every response carries "Connection: close".
//   - Shutdown stops accepting connections in a way that resets none.
//   - An idle connection gets a 503 response that says that nothing ran, and is
//     half-closed. A request that crosses this response is read and dropped.

// Intervals and timeouts of a shutdown.
const (
	acceptGrace      = 20 * time.Millisecond  // for connections whose handshake had begun when new ones were refused
	retireInterval   = 10 * time.Millisecond  // between two searches for idle connections
	retiredReadLimit = 500 * time.Millisecond // for the client to read the last response and close
)

// Leave makes every response from now on ask its client to close the connection.
func (s *Server) Leave() { s.leaving.Store(true) }

// closeWhenLeaving returns a handler that sets "Connection: close" in responses that
// begin after Leave.
func (s *Server) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		lw := &leavingWriter{ResponseWriter: w, leaving: &s.leaving}
		next.ServeHTTP(lw, r)
		lw.begin()
	})
}

// leavingWriter sets "Connection: close" when a response begins while the server is
// leaving.
type leavingWriter struct {
	http.ResponseWriter
	leaving *atomic.Bool
	begun   bool
}

func (w *leavingWriter) begin() {
	if !w.begun && w.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	w.begun = true
}

func (w *leavingWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

func (w *leavingWriter) Write(p []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(p)
}

// Hijack implements http.Hijacker.
func (w *leavingWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	return http.NewResponseController(w.ResponseWriter).Hijack()
}

// Flush implements http.Flusher.
func (w *leavingWriter) Flush() {
	w.begin()
	_ = http.NewResponseController(w.ResponseWriter).Flush() // as with http.Flusher, a failure shows when the next write fails
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *leavingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Shutdown stops accepting connections, waits until the requests in flight have
// ended or ctx is done, and ends idle connections with a final response. It logs how
// many connections had a request in flight, were retired, and were cut unanswered.
func (s *Server) Shutdown(ctx context.Context) (err error) {
	defer fault.Annotate(&err, "shut down the server on %q", s.Addr())
	s.Leave()
	s.emptyQueue(ctx)
	err = s.ln.Close()
	s.awaitServe(ctx)
	inFlight, retired := s.unanswered(), 0
	for ctx.Err() == nil {
		open, n := s.retireIdle()
		retired += n
		if open == 0 {
			break
		}
		clock.Sleep(ctx, retireInterval)
	}
	err = errors.Join(err, s.http.Shutdown(ctx))
	s.log.Info("connections ended", "inFlight", inFlight, "retired", retired, "unanswered", s.unanswered())
	return err
}

// unanswered returns the number of open connections on which at least a part of a
// request has been received and the response has not been written.
func (s *Server) unanswered() (n int) {
	for _, c := range s.openConns() {
		c.mu.Lock()
		if !c.idle || c.unread {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

func (s *Server) openConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}

// emptyQueue refuses new connections and waits until all queued ones have been
// accepted.
func (s *Server) emptyQueue(ctx context.Context) {
	raw, err := rawConn(s.ln.Listener)
	if err == nil {
		err = refuseNew(raw)
	}
	clock.Sleep(ctx, acceptGrace)
	if err != nil {
		s.log.Info("connections that are opened during the shutdown may be reset", "err", err.Error())
		return
	}
	for ctx.Err() == nil && s.serving.Load() && hasQueued(raw) {
		clock.Sleep(ctx, retireInterval)
	}
}

// awaitServe waits until Serve, if it was called, has ended. All accepted connections
// are in s.conns then.
func (s *Server) awaitServe(ctx context.Context) {
	if !s.serving.Load() {
		return
	}
	select {
	case <-s.served:
	case <-ctx.Done():
	}
}

// retireIdle retires the idle connections. It returns the number of all open ones and
// of those that it has retired.
func (s *Server) retireIdle() (open, retired int) {
	list := s.openConns()
	for _, c := range list {
		if c.retire() {
			retired++
		}
	}
	return len(list), retired
}

// connState keeps the set of open connections and their states. It is the server's
// http.Server.ConnState.
func (s *Server) connState(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	s.mu.Lock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, c)
	} else {
		s.conns[c] = true
	}
	s.mu.Unlock()
	c.mu.Lock()
	c.idle = state == http.StateNew || state == http.StateIdle
	c.idleAt = time.Now()
	c.reading = false
	c.mu.Unlock()
	c.changed(state)
}

// listener wraps accepted connections in conn. It may be closed repeatedly.
type listener struct {
	net.Listener
	server *Server
	once   sync.Once
	err    error // of the first close
}

func (l *listener) Close() error {
	l.once.Do(func() { l.err = l.Listener.Close() })
	return l.err
}

// Accept returns the next connection for which there is room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: nc}
		if l.server.admit(c) {
			return c, nil
		}
		l.server.refuse(nc)
	}
}

// conn is a connection that can be retired between two requests.
type conn struct {
	net.Conn
	holder *budget.Holder // nil without an account
	inHead bool           // the head of a request has begun to arrive; used by the server's goroutine for the connection only

	mu        sync.Mutex
	idle      bool      // no request is being served
	idleAt    time.Time // when the state changed last
	writingAt time.Time // when the write under way began; zero if there is none
	reading   bool      // the server has begun to read while idle, so it holds no complete request
	unread    bool      // bytes were received after the last response was written
	retired   bool
	evicted   bool
}

// Read reads from the connection. On a retired connection it drops what the client
// still sends, until the client closes or retiredReadLimit has passed.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.reading = c.idle
	head, evicted := c.idle, c.evicted
	c.mu.Unlock()
	if evicted {
		return 0, errEvicted
	}
	for {
		n, err := c.Conn.Read(p)
		c.mu.Lock()
		retired := c.retired
		if !retired && n > 0 {
			c.unread = true
		}
		c.mu.Unlock()
		switch {
		case !retired && head && n > 0:
			return n, errors.Join(err, c.account(p[:n]))
		case !retired:
			return n, err
		case err != nil:
			return 0, io.EOF
		}
	}
}

// Write writes to the connection.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.unread = false
	c.writingAt = time.Now()
	c.mu.Unlock()
	_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // an error means that the connection is closed
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.writingAt = time.Time{}
	c.mu.Unlock()
	return n, err
}

// retire sends the final response on an idle connection of which every received
// byte has been served, and half-closes it. The server's pending Read then drops a
// request that crosses the response, so that closing does not reset the connection
// before the client has read it. It returns whether it has done so.
func (c *conn) retire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reading || c.unread || c.retired {
		return false
	}
	c.retired = true
	_ = c.Conn.SetDeadline(time.Now().Add(retiredReadLimit)) // errors of these calls mean that the connection is closed
	_, _ = c.Conn.Write(retiredResponse)
	_ = c.CloseWrite()
	return true
}

// CloseWrite half-closes the connection. http.Server calls it before it closes a
// connection with unread data, so that the client can read the response.
func (c *conn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// retiredResponse is the response on a retired connection.
var retiredResponse = encodeRetiredResponse()

func encodeRetiredResponse() []byte {
	e := fault.New(fault.Unavailable, fault.NotRun, "the server is stopping, use another connection").WithRetryAfter(1)
	body, err := json.Marshal(newProblem(e))
	if err != nil {
		panic(err) // the value is constant
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\nRetry-After: %d\r\nConnection: close\r\n\r\n%s",
		e.Status(), http.StatusText(e.Status()), problemType, len(body), e.RetryAfter, body)
	return b.Bytes()
}

// tcpFlagsOffset is the offset of the flags in a TCP header.
const tcpFlagsOffset = 13

const tcpFlagSYN = 0x02

func rawConn(ln net.Listener) (syscall.RawConn, error) {
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("listener of type %T has no file descriptor", ln)
	}
	return sc.SyscallConn()
}

// refuseNew makes the kernel drop connection requests to a listener, so that its
// queue can be emptied before it is closed: closing resets what is still queued. A
// client whose request is dropped sends it again and is refused once the listener
// is closed.
func refuseNew(ln syscall.RawConn) error {
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: tcpFlagSYN, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},          // drop
		{Code: unix.BPF_RET | unix.BPF_K, K: 0xffffffff}, // accept
	}
	var optErr error
	err := ln.Control(func(fd uintptr) {
		optErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
	})
	return errors.Join(err, optErr)
}

// hasQueued reports whether a connection waits to be accepted.
func hasQueued(ln syscall.RawConn) bool {
	queued := false
	err := ln.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		queued = err == nil && n > 0 || errors.Is(err, unix.EINTR)
	})
	return err == nil && queued
}
