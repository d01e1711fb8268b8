package owner

import (
	"context"
	"testing"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/polls"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/plat/worker"
)

// refusingWorker refuses renewals once it has been told to.
type refusingWorker struct {
	worker.Worker
	refuse <-chan struct{}
}

func (w refusingWorker) Renew(ctx context.Context, req worker.RenewRequest) (worker.Inventory, error) {
	select {
	case <-w.refuse:
		return worker.Inventory{}, fault.New(fault.Conflict, fault.NotRun, "stale epoch 1, current epoch is 9")
	default:
		return w.Worker.Renew(ctx, req)
	}
}

// TestRefusingWorkerIsLost has a worker refuse all renewals of an owner that the log
// shows as the owner.
func TestRefusingWorkerIsLost(t *testing.T) {
	refuse := make(chan struct{})
	o := startOrders(t, &memLog{}, nil, func(w worker.Worker) worker.Worker { return refusingWorker{w, refuse} })
	j := o.submit("survey", true)
	until(t, func() bool { _, running := o.runs(j.ID); return running == 1 })
	close(refuse)
	timing := o.g.cfg.Timing
	bound := 2*renewTimeout + timing.RenewWait + timing.Lease + timing.ClockMargin + maxFailedRenewals*renewRetryInterval
	polls.Until(t, bound, "the attempt on the worker has ended", func() bool {
		j, _ := o.g.job(j.ID)
		return j.State() == jobs.Waiting
	})
}
