package frame

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/fault"
)

type echoMsg struct {
	Text string
	Hold bool
}

var echo = Method[echoMsg, echoMsg]{ID: 1, Name: "echo"}

// startServer returns a server that echoes, and holds marked requests until
// the returned function is called.
func startServer(t *testing.T) (s *Server, letGo func()) {
	t.Helper()
	s = NewServer(ServerConfig{Addr: "127.0.0.1:0"})
	held := make(chan struct{})
	Handle(s, echo, func(_ context.Context, m echoMsg) (echoMsg, error) {
		if m.Hold {
			<-held
		}
		if m.Text == "refuse" {
			return m, fault.Field("text", m.Text, "is refused")
		}
		return m, nil
	})
	assert.NilError(t, s.Listen())
	var once sync.Once
	letGo = func() { once.Do(func() { close(held) }) }
	t.Cleanup(func() {
		letGo()
		s.Close()
	})
	return s, letGo
}

// TestOwnAnswers checks that many calls on one connection each get their own
// answer, whatever the order.
func TestOwnAnswers(t *testing.T) {
	s, _ := startServer(t)
	p := NewPool(PoolConfig{})
	defer p.Close()
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			want := fmt.Sprint(i)
			got, err := Call(context.Background(), p, s.Addr(), echo, echoMsg{Text: want})
			if err != nil || got.Text != want {
				t.Errorf("call %s got %q, %v", want, got.Text, err)
			}
		}()
	}
	wg.Wait()
}

// TestOutcomes checks what a failed call says about whether it ran.
func TestOutcomes(t *testing.T) {
	s, letGo := startServer(t)
	p := NewPool(PoolConfig{})
	defer p.Close()
	ctx := context.Background()
	_, err := Call(ctx, p, s.Addr(), echo, echoMsg{Text: "refuse"})
	assert.Equal(t, fault.From(err).Field, "text")
	assert.Equal(t, fault.RanOf(err), fault.NotRun)

	_, err = Call(ctx, p, s.Addr(), Method[echoMsg, echoMsg]{ID: 9}, echoMsg{})
	assert.Equal(t, fault.RanOf(err), fault.NotRun)

	ended, cancel := context.WithCancel(ctx)
	cancel()
	_, err = Call(ended, p, s.Addr(), echo, echoMsg{})
	assert.Equal(t, fault.RanOf(err), fault.NotRun, "nothing was sent")

	short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	_, err = Call(short, p, s.Addr(), echo, echoMsg{Hold: true})
	assert.Equal(t, fault.RanOf(err), fault.Unknown)
	letGo()
	_, err = Call(ctx, p, s.Addr(), echo, echoMsg{Text: "after"})
	assert.NilError(t, err)

	p.Cut(s.Addr(), true)
	_, err = Call(ctx, p, s.Addr(), echo, echoMsg{})
	assert.Equal(t, fault.RanOf(err), fault.NotRun)
	p.Cut(s.Addr(), false)
	_, err = Call(ctx, p, s.Addr(), echo, echoMsg{Text: "mended"})
	assert.NilError(t, err)
}

// TestBrokenConnection checks that a call whose connection breaks before the
// answer has an unknown outcome, and that the next one dials again.
func TestBrokenConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = readFrame(c)
			c.Close()
		}
	}()
	p := NewPool(PoolConfig{})
	defer p.Close()
	for range 3 {
		_, err = Call(context.Background(), p, ln.Addr().String(), echo, echoMsg{})
		assert.Equal(t, fault.RanOf(err), fault.Unknown)
	}
	ln.Close()
	_, err = Call(context.Background(), p, ln.Addr().String(), echo, echoMsg{})
	assert.Equal(t, fault.RanOf(err), fault.NotRun)
}

// FuzzReadFrame checks that no input makes the reader return more than was
// sent or fail to end.
func FuzzReadFrame(f *testing.F) {
	good, err := appendFrame(request{ID: 1, Method: 1})
	assert.NilError(f, err)
	f.Add(good)
	f.Add(binary.BigEndian.AppendUint32(nil, MaxFrameBytes+1))
	f.Add([]byte{0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		body, err := readFrame(bytes.NewReader(data))
		if err != nil {
			return
		}
		if len(body) > len(data)-lengthBytes {
			t.Fatalf("%d bytes from %d", len(body), len(data))
		}
		if req, err := Decode[request](body); err == nil {
			if _, err := appendFrame(req); err != nil {
				t.Fatalf("decoded request does not encode: %v", err)
			}
		}
	})
}
