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

// PoolConfig describes a Pool.
type PoolConfig struct {
	DialTimeout time.Duration // 0 means 500 ms
}

const defaultDialTimeout = 500 * time.Millisecond

// Pool keeps one connection for each peer address and dials again after a
// connection has failed.
type Pool struct {
	cfg   PoolConfig
	bytes Traffic
	late  atomic.Int64

	mu     sync.Mutex
	links  map[string]*link
	cut    map[string]bool
	closed bool
}

// NewPool returns a pool without connections.
func NewPool(cfg PoolConfig) *Pool {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	return &Pool{cfg: cfg, links: map[string]*link{}, cut: map[string]bool{}}
}

// Traffic returns the pool's byte counters.
func (p *Pool) Traffic() *Traffic { return &p.bytes }

// Late returns how many answers arrived after their caller had given up.
func (p *Pool) Late() int64 { return p.late.Load() }

// Cut drops the connection to addr and refuses new ones until Cut(addr, false).
// Failure tests use it to stand for a broken network path.
func (p *Pool) Cut(addr string, on bool) {
	p.mu.Lock()
	p.cut[addr] = on
	l := p.links[addr]
	if on {
		delete(p.links, addr)
	}
	p.mu.Unlock()
	if on && l != nil {
		l.fail()
	}
}

// Drop closes the connection to addr, if there is one. The next call dials.
func (p *Pool) Drop(addr string) {
	p.mu.Lock()
	l := p.links[addr]
	p.mu.Unlock()
	if l != nil {
		l.fail()
	}
}

// Close drops every connection. Later calls fail with NotRun.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	links := p.links
	p.links = map[string]*link{}
	p.mu.Unlock()
	for _, l := range links {
		l.fail()
	}
}

// link is one connection with the calls that wait on it.
type link struct {
	pool *Pool
	addr string
	dial sync.Once
	w    connWriter
	err  error

	mu      sync.Mutex
	nextID  uint64
	waiting map[uint64]chan answer
	down    bool
}

// Call sends req to the entry host at addr and waits for its answer.
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
		return resp, fault.New(fault.BadAnswer, fault.Unknown, "method %q: %v", m.Name, err)
	}
	return resp, nil
}

func (p *Pool) call(ctx context.Context, addr string, method uint16, body []byte) ([]byte, error) {
	l, err := p.link(addr)
	if err != nil {
		return nil, err
	}
	id, ch := l.register()
	if ch == nil {
		return nil, fault.New(fault.Unavailable, fault.NotRun, "connection to %s is down", addr)
	}
	defer l.forget(id)
	data, err := appendFrame(request{ID: id, Method: method, WaitMs: waitMs(ctx), Body: msgpack.RawMessage(body)})
	if err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		return nil, fault.New(fault.Timeout, fault.NotRun, "call to %s: %v", addr, err)
	}
	n, err := l.w.write(data)
	p.bytes.add(method, Bytes{Out: int64(n)})
	if err != nil {
		l.fail()
		ran := fault.Unknown
		if n == 0 {
			ran = fault.NotRun
		}
		return nil, fault.New(fault.Unavailable, ran, "send to %s: %v", addr, err)
	}
	select {
	case a, ok := <-ch:
		if !ok {
			return nil, fault.New(fault.Unavailable, fault.Unknown, "connection to %s broke before the answer", addr)
		}
		p.bytes.add(method, Bytes{In: int64(len(a.Body) + lengthBytes)})
		if a.Err != nil {
			return nil, a.Err
		}
		return a.Body, nil
	case <-ctx.Done():
		return nil, fault.New(fault.Timeout, fault.Unknown, "no answer from %s: %v", addr, ctx.Err())
	}
}

// waitMs returns the milliseconds left in ctx; 0 for a context without deadline.
func waitMs(ctx context.Context) int64 {
	d, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(d).Milliseconds(), 1)
}

// link returns the connection for addr and dials it, unless a live one exists.
// Callers that arrive during the dial wait for it.
func (p *Pool) link(addr string) (*link, error) {
	p.mu.Lock()
	if p.closed || p.cut[addr] {
		p.mu.Unlock()
		return nil, fault.New(fault.Unavailable, fault.NotRun, "no connection to %s", addr)
	}
	l := p.links[addr]
	if l == nil {
		l = &link{pool: p, addr: addr, waiting: map[uint64]chan answer{}}
		p.links[addr] = l
	}
	p.mu.Unlock()
	l.dial.Do(l.open)
	if l.err != nil {
		p.drop(l)
		return nil, fault.New(fault.Unavailable, fault.NotRun, "dial %s: %v", addr, l.err)
	}
	return l, nil
}

// drop removes the link, unless another has taken its place.
func (p *Pool) drop(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[l.addr] == l {
		delete(p.links, l.addr)
	}
}

func (l *link) open() {
	c, err := net.DialTimeout("tcp", l.addr, l.pool.cfg.DialTimeout)
	if err != nil {
		l.err = err
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		c.Close()
		l.err = net.ErrClosed
		return
	}
	l.w.c = c
	go l.read(c)
}

// read hands each answer to the call that waits for its id.
func (l *link) read(c net.Conn) {
	defer l.fail()
	r := bufio.NewReader(c)
	for {
		body, err := readFrame(r)
		if err != nil {
			return
		}
		a, err := Decode[answer](body)
		if err != nil {
			return
		}
		if !l.deliver(a) {
			l.pool.late.Add(1)
		}
	}
}

func (l *link) deliver(a answer) bool {
	l.mu.Lock()
	ch, ok := l.waiting[a.ID]
	delete(l.waiting, a.ID)
	l.mu.Unlock()
	if ok {
		ch <- a
	}
	return ok
}

// register reserves an id; the channel is nil when the link is down.
func (l *link) register() (uint64, chan answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, nil
	}
	l.nextID++
	ch := make(chan answer, 1)
	l.waiting[l.nextID] = ch
	return l.nextID, ch
}

func (l *link) forget(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
}

// fail closes the connection and wakes every waiting call.
func (l *link) fail() {
	l.pool.drop(l)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return
	}
	l.down = true
	if l.w.c != nil {
		l.w.c.Close()
	}
	for id, ch := range l.waiting {
		close(ch)
		delete(l.waiting, id)
	}
}
