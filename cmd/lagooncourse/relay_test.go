package main

import (
	"io"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// relay carries TCP connections to an address until they are cut.
type relay struct {
	ln   net.Listener
	dest string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

// startRelay starts a relay to dest that ends with the test.
func startRelay(t *testing.T, dest string) *relay {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &relay{ln: ln, dest: dest, conns: map[net.Conn]bool{}}
	t.Cleanup(func() {
		ln.Close()
		r.set(true)
	})
	go r.accept()
	return r
}

func (r *relay) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.carry(c)
	}
}

func (r *relay) carry(c net.Conn) {
	d, err := net.Dial("tcp", r.dest)
	if err != nil || !r.add(c, d) {
		c.Close()
		return
	}
	go func() {
		_, _ = io.Copy(d, c)
		r.drop(c, d)
	}()
	_, _ = io.Copy(c, d)
	r.drop(c, d)
}

func (r *relay) add(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = true
	}
	if r.cut {
		r.closeAll()
	}
	return !r.cut
}

func (r *relay) drop(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		c.Close()
		delete(r.conns, c)
	}
}

// set cuts every connection and refuses new ones, or lets them through again.
func (r *relay) set(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	if cut {
		r.closeAll()
	}
}

// closeAll closes every connection; the caller holds the lock.
func (r *relay) closeAll() {
	for c := range r.conns {
		c.Close()
		delete(r.conns, c)
	}
}
