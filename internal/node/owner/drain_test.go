package owner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/cell/alloc"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/plat/hosts"
)

// TestDrainPassesStuckAttempts drains two workers of which the first has more attempts
// that do not stop than one round stops.
func TestDrainPassesStuckAttempts(t *testing.T) {
	g, _ := newOwnedGroup(t)
	g.SetWorkers([]hosts.Worker{
		{ID: "w1", Az: "a", CPU: 64000, State: hosts.Leaving}, {ID: "w2", Az: "a", CPU: 64000, State: hosts.Leaving},
	})
	attempts := func(worker string, n int) (list []alloc.ReportedAttempt) {
		for i := range n {
			list = append(list, alloc.ReportedAttempt{
				Attempt: alloc.Attempt{Task: fmt.Sprintf("b-0.%s%d/0", worker[1:], i), Number: 1}, Home: "b-0", Kind: jobs.Batch, Size: jobs.Size{CPU: 1},
			})
		}
		return list
	}
	last := attempts("w2", 1)
	g.mu.Lock()
	g.allocations.ApplyInventory("w1", alloc.Inventory{Boot: 7, Attempts: attempts("w1", 3*maxDrainBatch)})
	g.allocations.ApplyInventory("w2", alloc.Inventory{Boot: 7, Attempts: last})
	g.mu.Unlock()
	now := time.Unix(1e9, 0)
	for end := now.Add(time.Minute); now.Before(end); now = now.Add(reportInterval) {
		list := g.attemptsToDrain(g.cfg.Cell.State(), now)
		assert.Assert(t, len(list) <= maxDrainBatch)
		for _, at := range list {
			if at == last[0].Attempt {
				return
			}
		}
	}
	t.Fatal("the attempt on the second worker was never stopped")
}
