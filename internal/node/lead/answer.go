package lead

// Answers to reads. An owner can't know by itself that it has been replaced: it may
// have been suspended or cut off from the store, and its successor has accepted jobs
// and ended others since. Three rules bound what such an owner can say:
//
//   - That a job does not exist is said only after the store has confirmed an append
//     that was sent after the request arrived. No successor had claimed by then. All
//     requests of a cycle of the write loop share one append. They wait for confirmDelay
//     for a cycle that appends anyway, which bounds the rate of appends for them alone.
//   - The end of a job never changes, so it is reported at once.
//   - Other states and counts come from memory while the last confirmed append is
//     recent. After that, the request waits for a moment for the store to tell whether
//     this host still is the owner. Without an answer, it gets the old state: the job
//     had that state, and the caller asks again. A refusal would also hit every request
//     of a long outage of the store, in which there can be no successor.
//
// maxConfirmAgeMs alone is no guard for a denial: a successor may accept a job while
// this owner could still send orders.

import (
	"context"
	"time"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/sched"
)

// Limits of answers from memory.
const (
	maxCountAge     = 2 * time.Second        // how old the number of pending jobs may be
	staleAnswerWait = 300 * time.Millisecond // how long an older answer waits for a confirmed append
	confirmDelay    = 50 * time.Millisecond  // how long a request for a confirmed append waits to share one
)

// answer is what a read is going to be answered with.
type answer uint8

// Answers, as far as memory tells.
const (
	answerEnded  answer = iota // the job has ended
	answerOpen                 // the job exists and has not ended
	answerCount                // a number of pending jobs
	answerDenial               // no such job
)

// readAction is what has to happen before a read is answered.
type readAction uint8

// Actions of a read.
const (
	readNow         readAction = iota // answer from memory
	readAfterWait                     // wait up to staleAnswerWait for a confirmed append, then answer
	readWhenConfirm                   // answer only after a confirmed append
	readRefuse                        // refuse: no append can be confirmed soon
)

// decideRead returns what has to happen before a read gets answer a, given the age of
// the last confirmed append and whether the store is known to be away.
func decideRead(a answer, confirmAge time.Duration, storeAway bool) readAction {
	switch {
	case a == answerDenial && storeAway:
		return readRefuse
	case a == answerDenial:
		return readWhenConfirm
	case a == answerOpen && confirmAge >= maxConfirmAgeMs*time.Millisecond:
		return readAfterWait
	case a == answerCount && confirmAge >= maxCountAge:
		return readAfterWait
	}
	return readNow
}

// confirmation is a request that waits for the confirmation of an append that is sent
// after it arrived.
type confirmation struct {
	sent bool // taken by a cycle, whose append is sent or about to be
	done chan error
}

// confirm returns nil once an append is confirmed that was sent after the call.
func (o *Owner) confirm(ctx context.Context) error {
	c := &confirmation{done: make(chan error, 1)}
	o.mu.Lock()
	if o.ctx.Err() != nil {
		o.mu.Unlock()
		return errNotOwner()
	}
	o.confirmations = append(o.confirmations, c)
	if !o.confirmPending {
		o.confirmPending = true
		time.AfterFunc(confirmDelay, o.wakeForConfirmations)
	}
	o.mu.Unlock()
	select {
	case err := <-c.done:
		return err
	case <-ctx.Done():
		return errStoreAway(1)
	}
}

// wakeForConfirmations wakes the write loop for the waiting confirmations.
func (o *Owner) wakeForConfirmations() {
	o.mu.Lock()
	o.confirmPending = false
	o.mu.Unlock()
	notify(o.writeWake)
}

// takeConfirmations marks the waiting confirmations as part of the current cycle, and
// reports whether there are any. The caller holds o.mu.
func (o *Owner) takeConfirmations() bool {
	for _, c := range o.confirmations {
		c.sent = true
	}
	return len(o.confirmations) > 0
}

// confirmed answers the confirmations whose cycle is stored. The caller holds o.mu.
func (o *Owner) confirmed() {
	var later []*confirmation
	for _, c := range o.confirmations {
		if !c.sent {
			later = append(later, c)
			continue
		}
		c.done <- nil
	}
	o.confirmations = later
}

// rejectConfirmations fails all confirmations. The caller holds o.mu.
func (o *Owner) rejectConfirmations(err error) {
	for _, c := range o.confirmations {
		c.done <- err
	}
	o.confirmations = nil
}

// storeAway reports whether an append has been unconfirmed for storeOutageAfter. The
// caller holds o.mu.
func (o *Owner) storeAway() bool {
	return !o.unconfirmedSince.IsZero() && o.cfg.Clock.Now().Sub(o.unconfirmedSince) > storeOutageAfter
}

// errStoreAway returns the error for a request that has had no effect since the store
// does not answer.
func errStoreAway(retryAfterSeconds int) error {
	return fault.New(fault.Unavailable, fault.NotRun, "the store does not answer").WithRetryAfter(retryAfterSeconds)
}

// awaitRead waits until a read may get answer a, or fails.
func (o *Owner) awaitRead(ctx context.Context, a answer) error {
	o.mu.Lock()
	stopped := o.ctx.Err() != nil
	action := decideRead(a, o.cfg.Clock.Elapsed()-o.validFrom, o.storeAway())
	o.mu.Unlock()
	switch {
	case stopped:
		return errNotOwner()
	case action == readRefuse:
		return errStoreAway(outageRetryAfterSeconds)
	case action == readWhenConfirm:
		return o.confirm(ctx)
	case action == readAfterWait:
		ctx, cancel := context.WithTimeout(ctx, staleAnswerWait)
		defer cancel()
		if err := o.confirm(ctx); fault.HasCode(err, fault.NotOwner) {
			return err
		}
	}
	return nil
}

// Status returns a job's state, or a NotFound error if the job does not exist.
func (o *Owner) Status(ctx context.Context, id string) (sched.Status, error) {
	s, a := o.lookUp(id)
	if err := o.awaitRead(ctx, a); err != nil {
		return "", err
	}
	if a != answerEnded {
		s, a = o.lookUp(id) // it may have been accepted or have ended meanwhile
	}
	if a == answerDenial {
		return "", o.errNoJob(id)
	}
	return s, nil
}

// lookUp returns a job's state according to memory.
func (o *Owner) lookUp(id string) (sched.Status, answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s, known := o.planner.Status(o.planner.ResolveID(id))
	switch {
	case !known:
		return "", answerDenial
	case s == sched.StatusQueued || s == sched.StatusRunning:
		return s, answerOpen
	}
	return s, answerEnded
}

// errNoJob returns the error for a job that does not exist. Its detail tells which
// owner denies the job, and how old its last confirmed append is.
func (o *Owner) errNoJob(id string) error {
	o.mu.Lock()
	age := o.cfg.Clock.Elapsed() - o.validFrom
	o.mu.Unlock()
	return fault.New(fault.NotFound, fault.NotRun, "no job %q in epoch %d, confirmed %d ms ago", id, o.cfg.Claim.Epoch, age.Milliseconds())
}

// Pending returns the number of jobs of a queue without a started task.
func (o *Owner) Pending(ctx context.Context, q sched.Queue) (int, error) {
	if err := o.awaitRead(ctx, answerCount); err != nil {
		return 0, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.planner.Pending(q), nil
}
