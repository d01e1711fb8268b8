package sched

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/cell/jobs"
)

// idlePlanMs is the interval between planner runs of an owner that nothing wakes.
const idlePlanMs = 25

// startedWithin runs the planner at each interval of idlePlanMs and returns whether a
// task of the job started within ms.
func startedWithin(p *Planner, hosts AdviceHosts, job string, ms int64, now *Instant) bool {
	for end := now.Ms + ms; now.Ms < end; {
		now.Ms, now.WallMs = now.Ms+idlePlanMs, now.WallMs+idlePlanMs
		for _, s := range p.Plan(hosts, *now).Starts {
			if s.Ref.Job == job {
				return true
			}
		}
	}
	return false
}

// TestNoStarvationBehindQuota guards against starvation behind urgent steps of a team
// that has used up its quota, if the planner runs no more often than they are retried.
func TestNoStarvationBehindQuota(t *testing.T) {
	now := Instant{Ms: 1000, WallMs: 1000}
	p := fleet(4, now)
	p.policy.Teams = map[string]Limit{"full": {Max: jobs.Size{CPU: 500}}}
	for i := range 2 * maxPlanSteps {
		p.Accept(Spec{ID: fmt.Sprintf("a%04d", i), Queue: "urgent", Team: "full", AcceptedMs: now.WallMs, Steps: []Step{{Count: 1, Size: jobs.Size{CPU: 1_000}, EstimateMs: 60_000}}}, now)
	}
	p.Accept(Spec{ID: "b", Queue: "wide", AcceptedMs: now.WallMs, Steps: []Step{{Count: 1, Size: jobs.Size{CPU: 1_000}, EstimateMs: 100}}}, now)
	assert.Assert(t, startedWithin(p, noHosts{}, "b", 3_000, &now))
}

// TestNoStarvationOfExpired guards against starvation of a step whose deadline has long
// passed behind many steps that cannot start.
func TestNoStarvationOfExpired(t *testing.T) {
	now := Instant{Ms: 1000, WallMs: 1000}
	p := fleet(4, now)
	p.policy.Teams = map[string]Limit{"full": {Max: jobs.Size{CPU: 500}}}
	p.Accept(Spec{ID: "b", Queue: "wide", AcceptedMs: now.WallMs, Steps: []Step{{Count: 1, Size: jobs.Size{CPU: 1_000}, EstimateMs: 100}}}, now)
	now.Ms, now.WallMs = now.Ms+60_000, now.WallMs+60_000
	for i := range 2 * maxPlanSteps {
		p.Accept(Spec{ID: fmt.Sprintf("a%04d", i), Queue: "urgent", Team: "full", AcceptedMs: now.WallMs, Steps: []Step{{Count: 1, Size: jobs.Size{CPU: 1_000}, EstimateMs: 60_000}}}, now)
	}
	assert.Assert(t, startedWithin(p, noHosts{}, "b", 3_000, &now))
}

// TestNoStarvationAfterTakeover guards against starvation of a step whose deadline has
// passed behind a backlog of such steps that cannot start, all of which a new owner tries
// for the first time in one plan.
func TestNoStarvationAfterTakeover(t *testing.T) {
	now := Instant{Ms: 1000, WallMs: 1000}
	p := fleet(4, now)
	p.policy.Teams = map[string]Limit{"full": {Max: jobs.Size{CPU: 500}}}
	for i := range 1_000 {
		p.Accept(Spec{ID: fmt.Sprintf("a%04d", i), Queue: "urgent", Team: "full", AcceptedMs: now.WallMs, Steps: []Step{{Count: 1, Size: jobs.Size{CPU: 1_000}, EstimateMs: 100}}}, now)
	}
	p.Accept(Spec{ID: "b", Queue: "wide", AcceptedMs: now.WallMs, Steps: []Step{{Count: 1, Size: jobs.Size{CPU: 1_000}, EstimateMs: 100}}}, now)
	now.Ms, now.WallMs = now.Ms+60_000, now.WallMs+60_000
	assert.Assert(t, startedWithin(p, noHosts{}, "b", 3_000, &now))
}

// TestHopelessGangReservesNothing guards against reservations for a gang that is wider
// than the whole pool: they would keep the others from workers that stay idle.
func TestHopelessGangReservesNothing(t *testing.T) {
	now := Instant{Ms: 1000, WallMs: 1000}
	p := fleet(4, now)
	for i := range 8 { // workers of another pool
		id := fmt.Sprintf("x%d", i)
		p.SetWorker(WorkerInfo{ID: id, Addr: id, Service: "other", Capacity: jobs.Size{CPU: 32_000}, Incarnation: 1}, now)
	}
	p.Accept(Spec{ID: "g", Queue: "wide", AcceptedMs: now.WallMs, Steps: []Step{{Count: 5, Gang: true, Size: jobs.Size{CPU: 32_000}, EstimateMs: 60_000}}}, now)
	assert.Assert(t, !startedWithin(p, noHosts{}, "g", 200, &now))
	p.Accept(Spec{ID: "b", Queue: "wide", AcceptedMs: now.WallMs, Steps: []Step{{Count: 1, Size: jobs.Size{CPU: 1_000}, EstimateMs: 100}}}, now)
	assert.Assert(t, startedWithin(p, noHosts{}, "b", 3_000, &now))
}

// TestLateGangAsksForAdvice guards against a gang past its deadline that requests no
// advice because earlier steps of its queue were denied most workers.
func TestLateGangAsksForAdvice(t *testing.T) {
	now := Instant{Ms: 1000, WallMs: 1000}
	p := fleet(8, now)
	q := p.policy.Queues["wide"]
	q.Advice = &AdviceTiming{BaseMs: 100, WorkerMs: 1, ValidMs: 2_000}
	p.policy.Queues["wide"] = q
	p.SetPolicy(p.policy)
	p.allowedShares["wide"] = &allowedShare{mean: minAllowedShare}
	p.Accept(Spec{ID: "g", Queue: "wide", AcceptedMs: now.WallMs, Steps: []Step{{Count: 4, Gang: true, Size: jobs.Size{CPU: 16_000}, EstimateMs: 100}}}, now)
	now.Ms, now.WallMs = now.Ms+60_000, now.WallMs+60_000
	requested := 0
	for range 3_000 / idlePlanMs {
		now.Ms, now.WallMs = now.Ms+idlePlanMs, now.WallMs+idlePlanMs
		requested += len(p.Plan(allHosts{}, now).Requests)
	}
	assert.Assert(t, requested > 0)
}

// adviceHosts are hosts for advice requests, of which some are free.
type adviceHosts struct{ free int }

func (h *adviceHosts) Available() bool { return h.free > 0 }
func (h *adviceHosts) Acquire(float64) (string, bool) {
	h.free--
	return "host", h.free >= 0
}

// TestLastingTaskGetsAdvice guards against a long-running task that waits for a host to
// request advice behind a stream of newer steps.
func TestLastingTaskGetsAdvice(t *testing.T) {
	now := Instant{Ms: 1000, WallMs: 1000}
	p := fleet(64, now)
	q := p.policy.Queues["wide"]
	q.Advice = &AdviceTiming{BaseMs: 100, WorkerMs: 1, ValidMs: 2_000}
	p.policy.Queues["wide"] = q
	p.SetPolicy(p.policy)
	p.Accept(Spec{ID: "lasting", Queue: "wide", AcceptedMs: now.WallMs, Steps: []Step{{Count: 1, LongRunning: true, Size: jobs.Size{CPU: 1_000}, EstimateMs: 1_000}}}, now)
	now.Ms, now.WallMs = now.Ms+600_000, now.WallMs+600_000
	hosts := &adviceHosts{free: 1}
	type reply struct {
		req  AdviceRequest
		atMs int64
	}
	var open []reply
	for i := range 3_000 / idlePlanMs {
		now.Ms, now.WallMs = now.Ms+idlePlanMs, now.WallMs+idlePlanMs
		if i%2 == 0 { // one of them is asked for in 100 ms
			p.Accept(Spec{ID: fmt.Sprintf("%04d", i), Queue: "wide", AcceptedMs: now.WallMs, Steps: []Step{{Count: 1, Size: jobs.Size{CPU: 100}, EstimateMs: 2_000}}}, now)
		}
		if len(open) > 0 && open[0].atMs <= now.Ms {
			tickets := map[string]string{}
			for _, id := range open[0].req.Workers {
				tickets[id] = "t"
			}
			hosts.free++
			p.ApplyAdvice(open[0].req, tickets, true, now.Ms, now)
			open = open[1:]
		}
		plan := p.Plan(hosts, now)
		for _, req := range plan.Requests {
			open = append(open, reply{req, now.Ms + int64(req.ResponseMs)})
		}
		for _, s := range plan.Starts {
			if s.Ref.Job == "lasting" {
				return
			}
		}
	}
	t.Fatal("the long-running task did not start within 3 s")
}

// TestLateStepGetsAdvice guards against a step past its deadline that gets no advice because the
// requests of steps that are on time keep the only host busy.
func TestLateStepGetsAdvice(t *testing.T) {
	now := Instant{Ms: 1000, WallMs: 1000}
	p := fleet(64, now)
	q := p.policy.Queues["wide"]
	q.Advice = &AdviceTiming{BaseMs: 100, WorkerMs: 1, ValidMs: 2_000}
	p.policy.Queues["wide"] = q
	p.SetPolicy(p.policy)
	p.Accept(Spec{ID: "late", Queue: "wide", AcceptedMs: now.WallMs, Steps: []Step{{Count: 1, Size: jobs.Size{CPU: 1_000}, EstimateMs: 100}}}, now)
	now.Ms, now.WallMs = now.Ms+600_000, now.WallMs+600_000
	hosts := &adviceHosts{free: 1}
	var open []AdviceRequest
	for i := range 3_000 / idlePlanMs {
		now.Ms, now.WallMs = now.Ms+idlePlanMs, now.WallMs+idlePlanMs
		p.Accept(Spec{ID: fmt.Sprintf("%04d", i), Queue: "wide", AcceptedMs: now.WallMs, Steps: []Step{{Count: 1, Size: jobs.Size{CPU: 100}, EstimateMs: 2_000}}}, now)
		if i%4 == 0 { // a request takes 100 ms
			hosts.free = 1
			for _, req := range open {
				p.ApplyAdvice(req, map[string]string{req.Workers[0]: "t"}, true, now.Ms, now)
			}
			open = nil
		}
		plan := p.Plan(hosts, now)
		open = append(open, plan.Requests...)
		for _, s := range plan.Starts {
			if s.Ref.Job == "late" {
				return
			}
		}
	}
	t.Fatal("the late step did not start within 3 s")
}

// shortHosts are hosts for advice requests that take short ones only.
type shortHosts struct{ adviceHosts }

func (h *shortHosts) Acquire(responseMs float64) (string, bool) {
	if responseMs > 150 {
		return "", false
	}
	return h.adviceHosts.Acquire(responseMs)
}

// TestWaitForHostIsKept guards against a step that begins to wait anew each time its turn comes
// while no free host takes a request as long as its own.
func TestWaitForHostIsKept(t *testing.T) {
	now := Instant{Ms: 1000, WallMs: 1000}
	p := fleet(8, now)
	q := p.policy.Queues["wide"]
	q.Advice = &AdviceTiming{BaseMs: 450, WorkerMs: 1, ValidMs: 2_000}
	p.policy.Queues["wide"] = q
	p.SetPolicy(p.policy)
	p.Accept(Spec{ID: "g", Queue: "wide", AcceptedMs: now.WallMs, Steps: []Step{{Count: 2, Gang: true, Size: jobs.Size{CPU: 1_000}, EstimateMs: 100}}}, now)
	for range 3_000 / idlePlanMs {
		now.Ms, now.WallMs = now.Ms+idlePlanMs, now.WallMs+idlePlanMs
		p.Plan(&shortHosts{adviceHosts{free: 1}}, now)
	}
	assert.Assert(t, p.ExplainWaiting(0, 1, now)[0].HostWaitMs > 2*maxHostWaitMs)
}
