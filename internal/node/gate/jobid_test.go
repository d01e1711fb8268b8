package gate

import (
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/logs"
	"lagooncourse/internal/base/polls"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/sched"
)

// twoSteps returns two steps, the second of which depends on the first.
func twoSteps() []sched.Step {
	first := sched.Step{Count: 1, Size: jobs.Size{CPU: 500}, EstimateMs: 1500}
	second := first
	second.DependsOn = []int{0}
	return []sched.Step{first, second}
}

// handIn submits a job of two steps, with one task each, to host i and returns the HTTP
// status.
func (c *cluster) handIn(i int, id, payload string) int {
	spec := sched.Spec{ID: id, Payload: payload, Steps: twoSteps()}
	c.fleet.RegisterJob(spec)
	body, err := json.Marshal(spec)
	assert.NilError(c.t, err)
	status, _ := c.call(i, "POST", "/q/"+id, string(body))
	return status
}

// TestJobIDsThatDifferInCase guards against two jobs that are taken for one since their IDs
// differ only in the case of letters: the second one was shown as completed and never started.
func TestJobIDsThatDifferInCase(t *testing.T) {
	const unknown, cancelled = "5c0e7A21", "5C0e7A21"
	completed := []string{"5c0e7a21", "5C0E7A21", "5c0E7a21"}
	var out lockedBuffer
	c := newLoggedCluster(t, 3, logs.NewJSON(&out, "info"))
	c.awaitReady()
	all := append([]string{cancelled}, completed...)
	for i, id := range all {
		assert.Equal(t, c.handIn(i%3, id, "payload of "+id), 200)
		assert.Equal(t, c.handIn((i+1)%3, id, "payload of "+id), 200, "a repeated submission is accepted as the same job")
	}
	polls.Until(t, 5*time.Second, "each job has started", func() bool { return c.fleet.Starts() == len(all) })
	status, _ := c.call(0, "DELETE", "/q/"+cancelled, "")
	assert.Equal(t, status, 200)

	old := c.owner()
	c.hosts[old].Kill()
	c.hosts[old] = nil
	at := (old + 1) % 3
	for _, id := range completed {
		c.awaitState(at, id, "completed", 15*time.Second)
		assert.Assert(t, c.fleet.AllDone(id), id)
	}
	assert.Equal(t, c.fleet.Starts(), 7)

	c.start(old)
	c.store.Compact("jobs")
	for i, h := range c.hosts {
		h.Kill()
		c.start(i)
	}
	c.awaitReady()
	for _, id := range completed {
		c.awaitState(at, id, "completed", time.Second)
	}
	c.awaitState(at, cancelled, "cancelled", time.Second)
	status, _ = c.call(at, "GET", "/q/"+unknown, "")
	assert.Equal(t, status, 410)
	c.checkInvariants()

	logged := map[string]bool{}
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		var l struct{ Job string }
		assert.NilError(t, json.Unmarshal([]byte(line), &l), "%s", line)
		if l.Job != "" {
			logged[l.Job] = true
		}
	}
	assert.DeepEqual(t, slices.Sorted(maps.Keys(logged)), slices.Sorted(slices.Values(append(all, unknown))))
}

// TestJobIDsBesideEarlierHosts guards against a job that is accepted twice or denied while hosts
// of an earlier version, which convert IDs to lower case, serve beside those of this version.
func TestJobIDsBesideEarlierHosts(t *testing.T) {
	c := newCluster(t, 1)
	c.awaitReady()
	earlier := ping{Addr: "127.0.0.1:1"}
	c.hosts[0].processPing(earlier)
	const sent, stored = "5C0E7A21", "5c0e7a21"
	c.fleet.RegisterJob(sched.Spec{ID: stored, Payload: "p", Steps: twoSteps()})
	for range 2 {
		assert.Equal(t, c.handIn(0, sent, "p"), 200)
	}
	var keys []string
	for _, r := range c.store.Newest("jobs") {
		if strings.HasPrefix(r.Key, "j") {
			keys = append(keys, r.Key)
		}
	}
	assert.DeepEqual(t, keys, []string{"j" + stored})

	upgraded := earlier
	upgraded.ExactIDs = true
	c.hosts[0].processPing(upgraded)
	assert.Equal(t, c.handIn(0, sent, "p"), 200)
	assert.Equal(t, c.handIn(0, "5C0E7a21", "of another client"), 200)
	c.awaitState(0, "5C0E7a21", "completed", 10*time.Second)
	c.awaitState(0, sent, "completed", 10*time.Second)
	assert.Equal(t, c.fleet.Starts(), 4)
	c.checkInvariants()
}

// earlierJob is the record of a job as handIn submits it, with the ID 5c0e7a21 and the payload
// "earlier", in the form of the version before sched.Spec.ExactID, which converted IDs to lower
// case.
const earlierJob = "9ba83563306537613231a171a174a76561726c69657292dc00100193cd01f40000cd05dcc0c2c2c2a0a000c2c2a000c200dc00100193cd01f40000cd05dc9100c2" +
	"c2c2a0a000c2c2a000c200000000ce000186a0c2b066353563376433396532336137643431"

// TestJobIDsOfEarlierRecords guards against jobs that are lost or accepted a second time after
// an upgrade: their clients write their IDs with capital letters, but their records have small
// ones.
func TestJobIDsOfEarlierRecords(t *testing.T) {
	const stored = "5c0e7a21"
	sent := strings.ToUpper(stored)
	newEarlierCluster := func(t *testing.T) *cluster {
		c := newCluster(t, 0)
		value, err := hex.DecodeString(earlierJob)
		assert.NilError(t, err)
		c.store.Put("jobs", "j"+stored, value)
		c.fleet.RegisterJob(sched.Spec{ID: stored, Payload: "earlier", Steps: twoSteps()})
		for range 3 {
			c.addHost()
		}
		c.awaitReady()
		return c
	}
	t.Run("asked for and repeated", func(t *testing.T) {
		t.Parallel()
		c := newEarlierCluster(t)
		for i := range 3 {
			status, body := c.call(i, "GET", "/q/"+sent, "")
			assert.Equal(t, status, 200, body)
			assert.Equal(t, c.handIn(i, sent, "earlier"), 200)
		}
		c.awaitState(0, sent, "completed", 10*time.Second)
		c.awaitState(1, stored, "completed", time.Second)
		assert.Assert(t, c.fleet.AllDone(stored))
		assert.Equal(t, c.handIn(2, sent, "earlier"), 200)
		time.Sleep(500 * time.Millisecond) // a second job would have started
		assert.Equal(t, c.fleet.Starts(), 2)
		c.checkInvariants()
	})
	t.Run("cancelled", func(t *testing.T) {
		t.Parallel()
		c := newEarlierCluster(t)
		status, _ := c.call(1, "DELETE", "/q/"+sent, "")
		assert.Equal(t, status, 200)
		c.awaitState(2, sent, "cancelled", time.Second)
		c.awaitState(0, stored, "cancelled", time.Second)
		polls.Until(t, 5*time.Second, "its runs have ended", func() bool { return c.fleet.Running() == 0 })
		c.checkInvariants()
	})
	t.Run("another job", func(t *testing.T) {
		t.Parallel()
		c := newEarlierCluster(t)
		assert.Equal(t, c.handIn(0, sent, "of another client"), 200)
		c.awaitState(1, sent, "completed", 10*time.Second)
		c.awaitState(2, stored, "completed", 10*time.Second)
		assert.Equal(t, c.fleet.Starts(), 4)
		c.checkInvariants()
	})
}
