package sched

import (
	"encoding/hex"
	"testing"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/cell/jobs"
)

// Records of a job of two steps in queue "q", the first of which is done, as the version
// before Spec.QueueID wrote them.
const (
	earlierSpec = "9ab035633065376132316439346233366638a171a174a76d733d3330303092dc00100193cd03e8cd040000cd0bb8c0c2c2c2a0a000c2c2a16900c200dc00100193" +
		"cd03e8cd040000cd0bb89100c2c2c2a0a000c2c2a000c200000000ce000186a0c2"
	earlierProgress = "95c200009296020100a0a277310196000000a0a000c3"
)

// TestQueueOfEarlierRecords guards against jobs of an earlier version that never start: their
// records name no queue but by its name, which the next version of the policy does not have.
func TestQueueOfEarlierRecords(t *testing.T) {
	const id = "5c0e7a21d94b36f8"
	now := Instant{Ms: 200_000, WallMs: 200_000}
	var records [][2]string
	for key, text := range map[string]string{specPrefix + id: earlierSpec, progressPrefix + id: earlierProgress} {
		value, err := hex.DecodeString(text)
		assert.NilError(t, err)
		records = append(records, [2]string{key, string(value)})
	}
	owner := func(v Policy) *Planner {
		state := NewState()
		for _, r := range records {
			assert.NilError(t, state.Apply(r[0], []byte(r[1])))
		}
		p := NewPlanner(Config{State: state, LeaseMs: 5_000, RetentionMs: 60_000}, now)
		p.SetPolicy(v)
		return p
	}
	policy := func(name string) Policy {
		return Policy{Queues: map[string]Queue{name: {Name: name, Host: "h", Prefix: "/a/", Service: "s", MaxAttempts: 3, Slack: 2, TargetMs: 250}}}
	}
	p := owner(policy("q"))
	b, err := p.TakeBatch(now)
	assert.NilError(t, err)
	for i, key := range b.Keys {
		records = append(records, [2]string{key, string(b.Values[i])})
	}
	p = owner(policy("renamed")) // has not seen the policy before
	p.SetWorker(WorkerInfo{ID: "w1", Addr: "w1", Service: "s", Incarnation: 1, Capacity: jobs.Size{CPU: 1000, Mem: 1024}}, now)
	p.ApplyReport("w1", WorkerReport{SentMs: now.Ms, Incarnation: 1}, now)
	starts := p.Plan(noHosts{}, now).Starts
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Ref.String(), id+".0.1.0")
}

// TestQueueIDs guards against queues that share their jobs: each of name, host and prefix
// distinguishes two queues.
func TestQueueIDs(t *testing.T) {
	q := Queue{Name: "q", Host: "h", Prefix: "/a/", Service: "s"}
	for _, other := range []Queue{{Name: "r", Host: "h", Prefix: "/a/"}, {Name: "q", Host: "i", Prefix: "/a/"}, {Name: "q", Host: "h", Prefix: "/b/"}, {Name: "q"}} {
		assert.Check(t, q.ID() != other.ID(), "%+v", other)
	}
	moved := q
	moved.Host, moved.Service, moved.Priority = "H", "s2", 3
	assert.Equal(t, q.ID(), moved.ID())
}
