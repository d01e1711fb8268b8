package owner

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/group"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/plat/stream"
)

// lateLog loses the copies of one batch for lateTime, and appends one of them late: just
// before the next other batch.
type lateLog struct {
	memLog
	lateMu sync.Mutex
	armed  bool
	late   []byte
	since  time.Time
}

const lateTime = unwantedAppendTimeout + maxAppendBackoff

func (l *lateLog) Append(ctx context.Context, name string, data []byte) (int64, error) {
	l.lateMu.Lock()
	defer l.lateMu.Unlock()
	if l.armed {
		l.armed, l.late, l.since = false, data, time.Now()
	}
	if l.late != nil {
		if bytes.Equal(l.late, data) && time.Since(l.since) < lateTime {
			return 0, fault.New(fault.Timeout, fault.Unknown, "no response")
		}
		if _, err := l.memLog.Append(ctx, name, l.late); err != nil {
			return 0, err
		}
		l.late = nil
	}
	return l.memLog.Append(ctx, name, data)
}

// TestLateBatchAcknowledgesNoOther releases a group while a batch is lost that the log
// appends late. A cancellation that is acknowledged after it must be in the log.
func TestLateBatchAcknowledgesNoOther(t *testing.T) {
	log := &lateLog{}
	o := startOrders(t, log, nil, nil)
	j := o.submit("survey", true)
	until(t, func() bool { _, running := o.runs(j.ID); return running == 1 })
	log.lateMu.Lock()
	log.armed = true
	log.lateMu.Unlock()
	spec := jobs.Spec{Name: "lost", Kind: jobs.Batch, Team: "lab", Submission: "lost", Tasks: 1, Size: jobs.Size{CPU: 99_000}, RunMs: 1}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	submitted := make(chan error, 1)
	go func() {
		_, err := o.g.Submit(ctx, spec)
		submitted <- err
	}()
	until(t, func() bool { log.lateMu.Lock(); defer log.lateMu.Unlock(); return log.late != nil })
	cancelled := make(chan error, 1)
	go func() {
		_, err := o.g.Cancel(ctx, j.ID)
		cancelled <- err
	}()
	until(t, func() bool { return o.g.Dump().Pending > 0 })
	o.g.SetWanted(false)
	err := <-cancelled
	<-submitted
	state := group.NewState("a-0")
	p, readErr := log.Read(context.Background(), stream.ReadRequest{})
	assert.NilError(t, readErr)
	(&stream.Replay{Machine: state}).Take(p)
	recorded, _ := state.Job(j.ID)
	inLog := recorded.Tasks[0].Cancelling || recorded.Ended()
	assert.Assert(t, err != nil || inLog, "the cancellation was acknowledged and is not in the log")
	assert.Assert(t, !inLog || fault.OutcomeOf(err) != fault.NotRun, "the cancellation was refused and is in the log")
}
