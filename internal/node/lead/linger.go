package lead

// Log lines and metrics about stops and about runs that outlast their job.

import (
	"time"

	"lagooncourse/internal/base/logs"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/ports"
)

// stopLimiter returns a limiter of one kind of these lines.
func stopLimiter() logs.Limiter { return logs.Limiter{Lines: maxStopLines, Interval: time.Second} }

// stopKey identifies the run that a stop is for.
type stopKey struct {
	worker string
	ref    sched.Ref
	run    int
}

func keyOf(s sched.Stop) stopKey { return stopKey{s.Worker, s.Ref, s.Run} }

// logStopRequest logs why a stop was requested. Its result is logged by logStop, unless
// this process ends before.
func (o *Owner) logStopRequest(s sched.Stop) {
	msg, limiter := "stop requested", &o.stopLines
	switch {
	case s.Earlier > 0 && s.Confirmed:
		msg, limiter = "run goes on after a confirmed stop", &o.againLines
	case s.Earlier > 0:
		msg, limiter = "stop requested again", &o.againLines
	case s.Reason == sched.StopAdopted:
		msg, limiter = "adopted run of an ended job", &o.adoptLines
	case s.Reason == sched.StopLateRun || s.Reason == sched.StopUnknownRun || s.Reason == sched.StopOtherRun:
		limiter = &o.againLines
	}
	if skipped, ok := limiter.Allow(o.cfg.Clock.Now()); ok {
		o.log.Info(msg, "task", s.Ref.String(), "run", s.Run, "worker", s.Worker, "reason", string(s.Reason), "earlier", s.Earlier, "skipped", skipped)
	}
}

// logStop logs the result of a try of a stop, of repeated tries only a bounded number.
func (o *Owner) logStop(s sched.Stop, try int, err error) {
	skipped := 0
	if try > 1 && err != nil {
		var ok bool
		if skipped, ok = o.retryLines.Allow(o.cfg.Clock.Now()); !ok {
			return
		}
	}
	o.log.Info("stop", "task", s.Ref.String(), "run", s.Run, "worker", s.Worker, "reason", string(s.Reason), "try", try, "err", errText(err), "skipped", skipped)
}

// countStop counts a try of a stop.
func (o *Owner) countStop(s sched.Stop, try int) {
	kind := stopFirst
	if try > 1 || s.Earlier > 0 {
		kind = stopAgain
	}
	o.cfg.Metrics.countStop(kind)
}

// logAnswers logs that a worker has answered for the first time, or again after a failure.
func (o *Owner) logAnswers(id string, h ports.HeartbeatResponse) {
	if skipped, ok := o.answerLines.Allow(o.cfg.Clock.Now()); ok {
		o.log.Info("worker answers", "worker", id, "incarnation", h.Incarnation, "runs", len(h.Running), "skipped", skipped)
	}
}

// noteLingering records how many listed runs outlast their job, and the cancelled jobs
// whose last run is gone. The caller holds o.mu.
func (o *Owner) noteLingering() {
	if o.ctx.Err() != nil {
		return // the next owner counts them
	}
	o.cfg.Metrics.setLingering(o.planner.LingeringRuns())
	for _, g := range o.planner.TakeGone(o.now()) {
		o.cfg.Metrics.observeGone(g.AfterMs)
		if skipped, ok := o.goneLines.Allow(o.cfg.Clock.Now()); ok {
			o.log.Info("last run of cancelled job is gone", "job", g.Job, "afterMs", g.AfterMs, "skipped", skipped)
		}
	}
}

// logUnaddressed logs the workers that have runs and are sent no heartbeats.
func (o *Owner) logUnaddressed(now sched.Instant) {
	list := o.planner.UnaddressedWorkers(unaddressedAfterMs, now)
	for _, u := range list[:min(len(list), maxWaitingLines)] {
		o.log.Info("no heartbeat to worker with runs, its address is not known", "worker", u.Worker, "runs", u.Runs, "waitMs", u.WaitMs, "leaseMs", u.LeaseMs, "workers", len(list))
	}
}

// unaddressedAfterMs is longer than a new owner usually takes to read the registry.
const unaddressedAfterMs = 1_000
