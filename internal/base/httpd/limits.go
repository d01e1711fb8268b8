package httpd

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"lagooncourse/internal/base/budget"
	"lagooncourse/internal/base/fault"
)

// Callers may send heads and bodies without end, or stop short of their end and stay
// connected. What they can make a process hold is bounded by an account that the servers of
// a process share, and by a maximum of connections for each server:
//
//   - Each connection takes connBytes for its buffers and its goroutine.
//   - A head takes headFactor times its size and headerLineBytes for each line, which is what
//     net/http makes of it.
//   - A body takes bodyFactor times its size: its length before it is read, or, without one,
//     each part as it arrives.
//   - A connection over the maximum evicts a receiving one, or retires one that has been idle
//     for minIdle. If there is neither, it is closed.
//   - A request has readTimeout to arrive, and a response has writeTimeout for each write.
//
// A request that does not fit is answered with 503, which says that nothing ran.

// What callers make a process hold; see above.
const (
	connBytes       = 24 << 10
	headFactor      = 3
	headerLineBytes = 192
	bodyFactor      = 3 // the body, and its strings while it is decoded
	maxDecodes      = 4 // bodies decoded at once: decoded values may be many times larger than their text
)

// Timeouts that bound how long a caller can hold its memory.
const (
	readTimeout  = 30 * time.Second // of a request, from the first byte of its head
	writeTimeout = 10 * time.Second // of one write of a response
	minIdle      = time.Second      // an idle connection is not retired for a new one before
)

// Limits bound what the callers of a Server can make the process hold.
type Limits struct {
	Account  *budget.Account // shared by the servers of a process; nil means no limit
	MaxConns int             // open connections of the server; 0 means no limit
}

// errEvicted is the error of a read on a connection that was evicted.
var errEvicted = errors.New("the connection has made way for others")

// errNoRoom is the error of a read for which the account has no room.
var errNoRoom = errors.New("the memory for requests is used up")

// admit takes the room of a new connection, and reports whether there is any.
func (s *Server) admit(c *conn) bool {
	if s.limits.Account == nil {
		return s.roomForConn()
	}
	c.holder = s.limits.Account.Open(c.evict)
	if !s.roomForConn() || !c.holder.TakeBase(connBytes) {
		c.holder.Close()
		return false
	}
	return true
}

// roomForConn reports whether the server may hold another connection. If it is full, another
// one is ended, so that a later one finds room.
func (s *Server) roomForConn() bool {
	if s.limits.MaxConns == 0 {
		return true
	}
	s.mu.Lock()
	n := len(s.conns)
	s.mu.Unlock()
	if n < s.limits.MaxConns {
		return true
	}
	if s.limits.Account == nil || !s.limits.Account.Evict() {
		s.endOldest()
	}
	return false
}

// endOldest ends the connection that has been idle, or has not taken a response, for
// longest, if that is at least minIdle.
func (s *Server) endOldest() {
	var oldest *conn
	var at time.Time
	for _, c := range s.openConns() {
		if t, ok := c.waitsSince(); ok && (oldest == nil || t.Before(at)) {
			oldest, at = c, t
		}
	}
	if oldest != nil && time.Since(at) >= minIdle && !oldest.retire() {
		oldest.evict()
	}
}

// waitsSince returns since when the connection has been idle or has not taken a response.
func (c *conn) waitsSince() (at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.retired:
		return at, false
	case !c.writingAt.IsZero():
		return c.writingAt, true
	}
	return c.idleAt, c.idle && !c.idleAt.IsZero()
}

// evict ends the connection: a pending read or write fails. A request that is being read is
// answered, if it got to its handler.
func (c *conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	past := time.Unix(1, 0)
	_ = c.Conn.SetReadDeadline(past) // errors mean that the connection is closed
	if c.idle || !c.writingAt.IsZero() {
		_ = c.Conn.Close()
	}
}

// account takes the room for bytes of a head. The caller has read them while no request was
// being served.
func (c *conn) account(p []byte) error {
	if c.holder == nil {
		return nil
	}
	lines := bytes.Count(p, []byte{'\n'})
	if !c.inHead { // an idle connection of an ordinary caller is not receiving
		c.inHead = true
		c.holder.Receive(maxHeaderBytes)
	}
	c.holder.Progress(int64(len(p)))
	if !c.holder.Take(int64(headFactor*len(p) + headerLineBytes*lines)) {
		return errNoRoom
	}
	return nil
}

// changed is called when the state of the connection changes.
func (c *conn) changed(state http.ConnState) {
	if c.holder == nil {
		return
	}
	switch state {
	case http.StateActive:
		c.holder.Received() // the head has arrived; accountBodies starts on the body
	case http.StateIdle:
		c.inHead = false
		c.holder.Release()
	case http.StateClosed, http.StateHijacked:
		c.holder.Close()
	}
}

// body accounts for the body of a request while its handler reads it.
type body struct {
	io.ReadCloser
	c       *conn
	length  int64 // -1 if unknown
	begun   bool
	ended   bool // all of it has been read
	refused error
}

// size returns the length of the body, or what is assumed for an unknown one.
func (b *body) size() int64 {
	if b.length < 0 {
		return unknownBodyBytes
	}
	return b.length
}

// Read reads from the body. Its error is errNoRoom or errEvicted if the request has to be
// refused.
func (b *body) Read(p []byte) (int, error) {
	if b.refused != nil {
		return 0, b.refused
	}
	if !b.begun {
		b.begin()
	}
	n, err := 0, b.refused
	if err == nil {
		n, err = b.ReadCloser.Read(p)
	}
	if err == io.EOF && !b.ended {
		b.ended = true
		b.c.arrived()
	}
	if b.c.holder == nil {
		return n, err
	}
	b.c.holder.Progress(int64(n))
	switch {
	case b.ended:
		b.c.holder.Received()
	case b.c.isEvicted():
		b.refused, err = errEvicted, errEvicted
	case b.length < 0 && !b.c.holder.Take(bodyFactor*int64(n)):
		b.refused, err = errNoRoom, errNoRoom
	}
	return n, err
}

// begin takes the room of a body of known length. The holder is receiving since accountBodies.
func (b *body) begin() {
	b.begun = true
	if b.c.holder == nil {
		return
	}
	if b.length > 0 && !b.c.holder.Take(bodyFactor*b.length) {
		b.refused = errNoRoom
	}
}

// unknownBodyBytes is taken for the size of a body of unknown length, when the slowest
// request is looked for. It is the largest legal size.
const unknownBodyBytes = 256 << 10

func (c *conn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// accountBodies returns a handler that accounts for the bodies of requests.
func accountBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if r.ContentLength == 0 {
			c.arrived()
			next.ServeHTTP(w, r)
			return
		}
		b := &body{ReadCloser: r.Body, c: c, length: r.ContentLength}
		r.Body = b
		if c.holder != nil {
			c.holder.Receive(b.size()) // net/http reads and drops what the handler leaves
		}
		next.ServeHTTP(w, r)
	})
}

// arrived is called when a request has been read. Its handler may take longer than
// readTimeout.
func (c *conn) arrived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.evicted && !c.retired {
		_ = c.Conn.SetReadDeadline(time.Time{}) // an error means that the connection is closed
	}
}

// bodyField is the field in the error of a request whose body was not read to its end, or is
// too large.
const bodyField = "body"

// IsUnread reports whether err is the error of such a request.
func IsUnread(err error) bool {
	e := fault.From(err)
	return e != nil && e.Field == bodyField && (e.Code == fault.Unavailable || e.Code == fault.TooLarge)
}

// bodyError returns the error of a request whose body was not read to its end.
func bodyError(err error) error {
	e := fault.New(fault.BadInput, fault.NotRun, "read request body: %v", err)
	switch {
	case errors.Is(err, errNoRoom), errors.Is(err, errEvicted):
		e = fault.New(fault.Unavailable, fault.NotRun, "the request was not read: %v", err).WithRetryAfter(1)
	case errors.Is(err, os.ErrDeadlineExceeded):
		e = fault.New(fault.Unavailable, fault.NotRun, "the request did not arrive within %s", readTimeout).WithRetryAfter(1)
	}
	e.Field = bodyField
	return e
}

// decodes bounds the number of bodies that are decoded at once.
var decodes = make(chan struct{}, maxDecodes)

// Decode calls f, which decodes a body, when fewer than maxDecodes other calls are under
// way.
func Decode[T any](f func() (T, error)) (T, error) {
	decodes <- struct{}{}
	defer func() { <-decodes }()
	return f()
}

// refuse closes a connection for which there is no room. It gets no response, since its
// request has not been read.
func (s *Server) refuse(nc net.Conn) {
	s.refused.Add(1)
	_ = nc.Close() // the caller sees that nothing was read
	if skipped, ok := s.refusals.Allow(time.Now()); ok {
		var st budget.Stats
		if a := s.limits.Account; a != nil {
			st = a.Stats()
		}
		s.log.Info("connection refused for want of room", "open", len(s.openConns()), "maximum", s.limits.MaxConns,
			"memoryBytes", st.Used, "refusedAmounts", st.Refused, "evicted", st.Evicted, "skipped", skipped)
	}
}
