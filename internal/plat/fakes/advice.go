package fakes

import (
	"fmt"
	"hash/fnv"

	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/ports"
)

// AdviceRule is the advice that a queue needs for its starts.
type AdviceRule struct {
	sched.AdviceTiming
	Allowed float64 // share of the workers that may run a step
}

// SetAdvice makes the starts of a queue need a ticket.
func (f *SimFleet) SetAdvice(queue string, r AdviceRule) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advice[queue] = r
}

// Allows reports whether a worker may run a step, which does not change. The step has the
// form JOB.OCC.STEP.
func (f *SimFleet) Allows(step, worker string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.allows(step, worker)
}

func (f *SimFleet) allows(step, worker string) bool {
	rule, ok := f.ruleOf(step)
	if !ok {
		return true
	}
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%s", step, worker)
	const shares = 1000
	// The low bits alone differ little between similar names.
	return float64((h.Sum64()^h.Sum64()>>29)%shares) < rule.Allowed*shares
}

// ruleOf returns the rule of a step's queue. The caller holds f.mu.
func (f *SimFleet) ruleOf(step string) (AdviceRule, bool) {
	ref, ok := sched.ParseRef(step + ".0")
	if !ok {
		return AdviceRule{}, false
	}
	rule, ok := f.advice[f.specs[ref.Job].Queue]
	return rule, ok
}

// AdviseAt answers an advice request at time nowMs, and returns how long the service takes
// for it, in ms.
func (f *SimFleet) AdviseAt(r ports.AdviceRequest, nowMs int64) (a ports.Advice, tookMs float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a.Tickets = map[string]string{}
	rule, ok := f.ruleOf(r.Step)
	if !ok {
		return a, 0
	}
	for _, id := range r.Workers {
		if w := f.workers[id]; w != nil && f.allows(r.Step, id) {
			a.Tickets[id] = fmt.Sprintf("%s/%s/%d/%d", r.Step, id, w.info.Incarnation, nowMs+rule.ValidMs)
		}
	}
	return a, rule.BaseMs + rule.WorkerMs*float64(len(r.Workers))
}

// hasTicket reports whether a start carries a valid ticket, if its queue needs one.
func (f *SimFleet) hasTicket(w *simWorker, o ports.StartOrder, ref sched.Ref, queue string, nowMs int64) bool {
	if _, ok := f.advice[queue]; !ok {
		return true
	}
	var untilMs int64
	prefix := fmt.Sprintf("%s/%s/%d/", ref.StepName(), w.info.ID, w.info.Incarnation)
	if len(o.Ticket) <= len(prefix) || o.Ticket[:len(prefix)] != prefix {
		return false
	}
	_, err := fmt.Sscan(o.Ticket[len(prefix):], &untilMs)
	return err == nil && nowMs <= untilMs
}
