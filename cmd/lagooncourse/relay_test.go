package main

import (
	"io"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// proxy forwards TCP connections to an address. It can simulate a network
// partition.
type proxy struct {
	ln   net.Listener
	dest string

	mu          sync.Mutex
	partitioned bool
	conns       map[net.Conn]bool
}

// startProxy starts a proxy to dest that stops at the end of the test.
func startProxy(t *testing.T, dest string) *proxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &proxy{ln: ln, dest: dest, conns: map[net.Conn]bool{}}
	t.Cleanup(func() {
		ln.Close()
		p.setPartition(true)
	})
	go p.accept()
	return p
}

func (p *proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.forward(c)
	}
}

func (p *proxy) forward(c net.Conn) {
	d, err := net.Dial("tcp", p.dest)
	if err != nil || !p.add(c, d) {
		c.Close()
		return
	}
	go func() {
		_, _ = io.Copy(d, c)
		p.drop(c, d)
	}()
	_, _ = io.Copy(c, d)
	p.drop(c, d)
}

func (p *proxy) add(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
	if p.partitioned {
		p.closeAll()
	}
	return !p.partitioned
}

func (p *proxy) drop(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		c.Close()
		delete(p.conns, c)
	}
}

// setPartition closes every connection and rejects new ones, or accepts new ones
// again.
func (p *proxy) setPartition(partitioned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partitioned = partitioned
	if partitioned {
		p.closeAll()
	}
}

// closeAll closes every connection. The caller must hold mu.
func (p *proxy) closeAll() {
	for c := range p.conns {
		c.Close()
		delete(p.conns, c)
	}
}
