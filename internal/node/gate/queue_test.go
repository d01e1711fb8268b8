package gate

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/polls"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/sched"
)

// TestQueueChangesUnderJobs guards against accepted jobs that are never started again: a
// version of the configuration renames or drops their queue, or gives its name to a queue of
// another service, and a host that has read no other version becomes the owner.
func TestQueueChangesUnderJobs(t *testing.T) {
	renamed, reused := clusterQueue, clusterQueue
	renamed.Name = "renamed"
	reused.Prefix, reused.Service = "/other/", "s2"
	for _, x := range []struct {
		name   string
		queues []sched.Queue
		status string // path at which the job is shown afterwards; empty for none
	}{
		{"renamed", []sched.Queue{renamed}, "/q/"},
		{"dropped", []sched.Queue{{Name: "rest", Host: "h.example", Prefix: "/rest/", Service: "s2"}}, "/rest/"},
		{"name reused", []sched.Queue{reused}, "/other/"},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 3)
			c.awaitReady()
			submit := func(id string, cpu int64) {
				spec := sched.Spec{ID: id, Steps: []sched.Step{
					{Count: 2, Size: jobs.Size{CPU: cpu}, EstimateMs: 1500}, {Count: 2, Size: jobs.Size{CPU: cpu}, EstimateMs: 200, DependsOn: []int{0}},
				}}
				c.fleet.RegisterJob(spec)
				body, err := json.Marshal(spec)
				assert.NilError(t, err)
				status, _ := c.call((c.owner()+1)%3, "POST", "/q/"+id, string(body))
				assert.Equal(t, status, 200)
			}
			submit("a", 500)
			polls.Until(t, 5*time.Second, "the first step runs", func() bool { return c.fleet.Starts() == 2 })
			submit("b", 100_000) // fits on no worker
			c.configure(7, x.queues...)
			polls.Until(t, 5*time.Second, "the queue is not there any more", func() bool {
				status, _ := c.call(0, "GET", x.status, "")
				return status == 200
			})
			if x.name == "renamed" {
				polls.Until(t, 5*time.Second, "one job is pending", func() bool {
					_, body := c.call(0, "GET", x.status, "")
					return body == "1"
				})
			}
			old := c.owner()
			c.hosts[old].Kill()
			c.hosts[old] = nil
			at := (old + 1) % 3
			polls.Until(t, 15*time.Second, "job a completed", func() bool {
				_, body := c.call(at, "GET", x.status+"a", "")
				return body == "completed"
			})
			assert.Equal(t, c.fleet.Starts(), 4)
			if x.name == "renamed" {
				_, body := c.call(at, "GET", x.status, "")
				assert.Equal(t, body, "1")
			}
			status, _ := c.call(at, "DELETE", x.status+"b", "")
			assert.Equal(t, status, 200)
			c.checkInvariants()
		})
	}
}
