package frame

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"lagooncourse/internal/base/fault"
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	DialTimeout time.Duration // 0 means 500 ms
}

const defaultDialTimeout = 500 * time.Millisecond

// Pool keeps one connection per peer address and redials after a connection
// has failed.
type Pool struct {
	cfg           PoolConfig
	traffic       Traffic
	lateResponses atomic.Int64

	mu      sync.Mutex
	conns   map[string]*clientConn
	blocked map[string]bool
	closed  bool
}

// NewPool returns an empty pool. Connections are dialed by the first call.
func NewPool(cfg PoolConfig) *Pool {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	return &Pool{cfg: cfg, conns: map[string]*clientConn{}, blocked: map[string]bool{}}
}

// Traffic returns the pool's byte counters.
func (p *Pool) Traffic() *Traffic { return &p.traffic }

// LateResponses returns the number of responses without a pending call, for example
// after a timeout.
func (p *Pool) LateResponses() int64 { return p.lateResponses.Load() }

// SetBlocked closes the connection to addr and refuses to dial addr until
// SetBlocked(addr, false). Fault-injection tests use it to simulate a network
// partition.
func (p *Pool) SetBlocked(addr string, on bool) {
	p.mu.Lock()
	p.blocked[addr] = on
	cc := p.conns[addr]
	if on {
		delete(p.conns, addr)
	}
	p.mu.Unlock()
	if on && cc != nil {
		cc.shutdown()
	}
}

// CloseConn closes the connection to addr, if there is one. The next call redials.
func (p *Pool) CloseConn(addr string) {
	p.mu.Lock()
	cc := p.conns[addr]
	p.mu.Unlock()
	if cc != nil {
		cc.shutdown()
	}
}

// Close closes every connection. Later calls fail with NotRun.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	conns := p.conns
	p.conns = map[string]*clientConn{}
	p.mu.Unlock()
	for _, cc := range conns {
		cc.shutdown()
	}
}

// clientConn is one connection and the calls that wait for a response on it.
type clientConn struct {
	pool     *Pool
	addr     string
	dialOnce sync.Once
	w        connWriter
	dialErr  error // error of the dial, set before dialOnce is done

	mu      sync.Mutex
	nextID  uint64
	pending map[uint64]chan response
	closed  bool
}

// Call sends req to the entry host at addr and waits for the response.
func Call[Req, Resp any](ctx context.Context, p *Pool, addr string, m Method[Req, Resp], req Req) (resp Resp, err error) {
	body, err := Encode(req)
	if err != nil {
		return resp, fault.New(fault.Internal, fault.NotRun, "method %q: %v", m.Name, err)
	}
	data, err := p.call(ctx, addr, m.ID, body)
	if err != nil {
		return resp, err
	}
	resp, err = Decode[Resp](data)
	if err != nil {
		return resp, fault.New(fault.BadResponse, fault.Unknown, "method %q: %v", m.Name, err)
	}
	return resp, nil
}

func (p *Pool) call(ctx context.Context, addr string, method uint16, body []byte) ([]byte, error) {
	cc, err := p.conn(addr)
	if err != nil {
		return nil, err
	}
	id, ch := cc.register()
	if ch == nil {
		return nil, fault.New(fault.Unavailable, fault.NotRun, "connection to %s is closed", addr)
	}
	defer cc.unregister(id)
	data, err := encodeFrame(request{ID: id, Method: method, TimeoutMs: remainingMs(ctx), Body: msgpack.RawMessage(body)})
	if err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		return nil, fault.New(fault.Timeout, fault.NotRun, "call to %s: %v", addr, err)
	}
	n, err := cc.w.write(data)
	p.traffic.add(method, Bytes{Out: int64(n)})
	if err != nil {
		cc.shutdown()
		outcome := fault.Unknown
		if n == 0 {
			outcome = fault.NotRun
		}
		return nil, fault.New(fault.Unavailable, outcome, "send to %s: %v", addr, err)
	}
	select {
	case resp, ok := <-ch:
		if !ok {
			return nil, fault.New(fault.Unavailable, fault.Unknown, "connection to %s closed before the response arrived", addr)
		}
		// Unlike the server, the client counts a response without its envelope.
		p.traffic.add(method, Bytes{In: int64(len(resp.Body) + lengthPrefixBytes)})
		if resp.Err != nil {
			return nil, resp.Err
		}
		return resp.Body, nil
	case <-ctx.Done():
		return nil, fault.New(fault.Timeout, fault.Unknown, "no response from %s: %v", addr, ctx.Err())
	}
}

// remainingMs returns the milliseconds until the deadline of ctx, at least 1, or
// 0 if ctx has no deadline.
func remainingMs(ctx context.Context) int64 {
	d, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(d).Milliseconds(), 1)
}

// conn returns the connection to addr and dials it if there is none.
// Concurrent callers wait for the same dial.
func (p *Pool) conn(addr string) (*clientConn, error) {
	p.mu.Lock()
	if p.closed || p.blocked[addr] {
		p.mu.Unlock()
		return nil, fault.New(fault.Unavailable, fault.NotRun, "connections to %s are blocked or the pool is closed", addr)
	}
	cc := p.conns[addr]
	if cc == nil {
		cc = &clientConn{pool: p, addr: addr, pending: map[uint64]chan response{}}
		p.conns[addr] = cc
	}
	p.mu.Unlock()
	cc.dialOnce.Do(cc.connect)
	if cc.dialErr != nil {
		p.remove(cc)
		return nil, fault.New(fault.Unavailable, fault.NotRun, "dial %s: %v", addr, cc.dialErr)
	}
	return cc, nil
}

// remove deletes cc from the pool unless a newer connection has replaced it.
func (p *Pool) remove(cc *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[cc.addr] == cc {
		delete(p.conns, cc.addr)
	}
}

func (cc *clientConn) connect() {
	c, err := net.DialTimeout("tcp", cc.addr, cc.pool.cfg.DialTimeout)
	if err != nil {
		cc.dialErr = err
		return
	}
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.closed {
		c.Close()
		cc.dialErr = net.ErrClosed
		return
	}
	cc.w.c = c
	go cc.readResponses(c)
}

// readResponses delivers each response to the call with the same ID, until the
// connection fails.
func (cc *clientConn) readResponses(c net.Conn) {
	defer cc.shutdown()
	r := bufio.NewReader(c)
	for {
		body, err := readFrame(r)
		if err != nil {
			return
		}
		resp, err := Decode[response](body)
		if err != nil {
			return
		}
		if !cc.deliver(resp) {
			cc.pool.lateResponses.Add(1)
		}
	}
}

// deliver passes resp to the call that waits for it. It returns false if no call
// waits.
func (cc *clientConn) deliver(resp response) bool {
	cc.mu.Lock()
	ch, ok := cc.pending[resp.ID]
	delete(cc.pending, resp.ID)
	cc.mu.Unlock()
	if ok {
		ch <- resp
	}
	return ok
}

// register allocates a request ID and the channel for its response. The channel
// is nil if the connection is closed.
func (cc *clientConn) register() (uint64, chan response) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.closed {
		return 0, nil
	}
	cc.nextID++
	ch := make(chan response, 1)
	cc.pending[cc.nextID] = ch
	return cc.nextID, ch
}

func (cc *clientConn) unregister(id uint64) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	delete(cc.pending, id)
}

// shutdown closes the connection and fails every pending call.
func (cc *clientConn) shutdown() {
	cc.pool.remove(cc)
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.closed {
		return
	}
	cc.closed = true
	if cc.w.c != nil {
		cc.w.c.Close()
	}
	for id, ch := range cc.pending {
		close(ch)
		delete(cc.pending, id)
	}
}
