package gate

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"lagooncourse/internal/base/clock"
	"lagooncourse/internal/base/frame"
	"lagooncourse/internal/plat/ports"
)

// TestPingsFetchOneConfiguration guards against a fetch of the configuration for each ping
// of a host that is ahead: the copies of a large one filled a slow link, and none arrived
// before its timeout.
func TestPingsFetchOneConfiguration(t *testing.T) {
	var fetches atomic.Int32
	release := make(chan struct{})
	s := frame.NewServer(frame.ServerConfig{Addr: "127.0.0.1:0", Logger: logr.Discard()})
	frame.Handle(s, configMethod, func(context.Context, configMsg) (configAnswer, error) {
		fetches.Add(1)
		<-release
		return configAnswer{Records: []ports.Record{{Key: "a", Value: []byte("b"), Offset: 3}}, Next: 4}, nil
	})
	assert.NilError(t, s.Listen())
	s.Serve()
	defer s.Close()
	h := &Host{
		clock: clock.System{}, log: logr.Discard(), peers: map[string]*peer{}, pool: frame.NewPool(frame.PoolConfig{}), config: newConfigState(),
		cfg: Config{ParseOperatorKey: func(string) ports.OperatorKey { return ports.OperatorKey{} }},
	}
	defer h.pool.Close()
	for range 20 {
		h.processPing(ping{Addr: s.Addr(), ConfigNext: 4})
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if fetches.Load() == 0 {
			return poll.Continue("no fetch yet")
		}
		return poll.Success()
	})
	time.Sleep(2 * pingTimeout) // a fetch may take longer than a ping
	close(release)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if h.config.offset() != 4 {
			return poll.Continue("the records are not applied")
		}
		return poll.Success()
	})
	assert.Equal(t, fetches.Load(), int32(1))
}

// TestPolicyUnreadAtFirst guards against an owner that starts tasks while its host knows
// neither the limits of teams nor the closed zones.
func TestPolicyUnreadAtFirst(t *testing.T) {
	s := newConfigState()
	assert.Assert(t, s.policy().Unread)
	s.config.Version = 1
	assert.Assert(t, !s.policy().Unread)
}

// TestReadTimeoutGrows guards against a read of the configuration that restarts with the
// same timeout, which a slow link never meets.
func TestReadTimeoutGrows(t *testing.T) {
	s := newConfigState()
	for _, want := range []time.Duration{2 * configTimeout, maxConfigTimeout, maxConfigTimeout} {
		s.noteTimeout(true)
		assert.Equal(t, s.timeout, want)
	}
	s.noteTimeout(false)
	assert.Equal(t, s.timeout, configTimeout)
}
