package frame

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/fault"
)

// TestPanickingHandler guards against one request of a peer that takes the process down:
// it fails with an unknown outcome, and the connection serves the next one.
func TestPanickingHandler(t *testing.T) {
	m := Method[string, string]{ID: 1, Name: "echo"}
	s := NewServer(ServerConfig{Addr: "127.0.0.1:0"})
	Handle(s, m, func(_ context.Context, text string) (string, error) {
		if text == "panic" {
			panic("as requested")
		}
		return text, nil
	})
	assert.NilError(t, s.Listen())
	s.Serve()
	defer s.Close()
	p := NewPool(PoolConfig{})
	defer p.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for range 3 {
		_, err := Call(ctx, p, s.Addr(), m, "panic")
		assert.Assert(t, fault.HasCode(err, fault.Internal), "%v", err)
		assert.Equal(t, fault.OutcomeOf(err), fault.Unknown)
		text, err := Call(ctx, p, s.Addr(), m, "a")
		assert.NilError(t, err)
		assert.Equal(t, text, "a")
	}
}
