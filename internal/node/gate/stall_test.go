package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/polls"
)

// TestStalledOwnerIsReplaced guards against an owner that hangs with its mutex held while
// its host answers pings: a peer must take over, and all hosts must serve requests again.
func TestStalledOwnerIsReplaced(t *testing.T) {
	c := newCluster(t, 3)
	t.Cleanup(func() { close(c.stop) })
	c.awaitReady()
	stalled := c.owner()
	assert.Equal(t, c.submit(stalled, "before", 100), 200)
	c.store.Put("workers", stallingEntry, []byte("{}"))
	polls.Until(t, 15*time.Second, "another owner", func() bool {
		for i, h := range c.hosts {
			h.mu.Lock()
			isOwner := h.localOwner != nil
			h.mu.Unlock()
			if isOwner && i != stalled {
				return true
			}
		}
		return false
	})
	for i := range c.hosts {
		c.awaitState(i, "before", "completed", 15*time.Second)
		polls.Until(t, 10*time.Second, "a submission is accepted", func() bool { return c.submit(i, "after", 100) == 200 })
		c.awaitState(i, "after", "completed", 15*time.Second)
	}
	c.checkInvariants()
}
