package gate

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/clock"
	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/frame"
	"lagooncourse/internal/base/logs"
)

// TestDenialsAreLogged checks that each 410 response leaves a line that tells who
// denied the job, and that a flood of them is bounded and counted.
func TestDenialsAreLogged(t *testing.T) {
	var out bytes.Buffer
	c := clock.NewManual(time.Unix(1000, 0))
	h := &Host{clock: c, log: logs.NewJSON(&out, "info"), denials: logs.Limiter{Lines: 2, Interval: time.Second}, owner: ownerInfo{epoch: 7}}
	const n = 5
	for i := range n {
		m := callMsg{Kind: callStatus, ID: fmt.Sprint("j", i)}
		h.logRefusal(m, http.StatusGone, fault.New(fault.NotFound, fault.NotRun, "no job in epoch 6"))
	}
	c.Advance(time.Second)
	h.logRefusal(callMsg{Kind: callCancel, ID: "last"}, http.StatusGone, fault.New(fault.NotFound, fault.NotRun, "no job in epoch 6"))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 3, "%s", out.String())
	var last struct {
		Msg, Job, Kind, Err string
		Owner               bool
		Epoch, Skipped      int
	}
	assert.NilError(t, json.Unmarshal([]byte(lines[2]), &last))
	assert.Equal(t, last.Msg, "no such job")
	assert.Equal(t, last.Job, "last")
	assert.Equal(t, last.Kind, "cancel")
	assert.Equal(t, last.Err, "no job in epoch 6")
	assert.Equal(t, last.Epoch, 7)
	assert.Equal(t, last.Skipped, n-2)
}

// TestRetryIsNotRefusedAsNotRun forwards a submission to an owner that does not answer
// the first try and refuses the second. The first one may still be stored.
func TestRetryIsNotRefusedAsNotRun(t *testing.T) {
	for _, code := range []fault.Code{fault.Overload, fault.Unavailable, fault.NotOwner} {
		t.Run(string(code), func(t *testing.T) {
			t.Parallel()
			addr := fmt.Sprintf("127.0.0.1:%d", freePort(t))
			owner := frame.NewServer(frame.ServerConfig{Addr: addr})
			var tries atomic.Int32
			ended := make(chan struct{})
			frame.Handle(owner, callMethod, func(context.Context, callMsg) (callAnswer, error) {
				if tries.Add(1) == 1 {
					<-ended
				}
				return callAnswer{}, fault.New(code, fault.NotRun, "refused").WithRetryAfter(1)
			})
			assert.NilError(t, owner.Listen())
			owner.Serve()
			defer owner.Close()
			defer close(ended)
			h := &Host{clock: clock.System{}, pool: frame.NewPool(frame.PoolConfig{}), ownerCh: make(chan struct{}), addr: "self", requests: t.Context()}
			defer h.pool.Close()
			h.owner = ownerInfo{epoch: 1, addr: addr, lastContact: time.Now().Add(time.Minute)}
			_, err := h.dispatch(t.Context(), callMsg{Kind: callSubmit, ID: "j"}, defaultClientTimeout)
			assert.Assert(t, tries.Load() > 1, "%v", err)
			assert.Equal(t, fault.OutcomeOf(err), fault.Unknown, "%v", err)
		})
	}
}

// answerLine is a log line about an answered cancellation or submission.
type answerLine struct {
	Msg, Host, Job, OwnerAddr, Err        string
	OwnerHere                             bool
	Status, Epoch, Tries, TookMs, Skipped int
	Offset                                int64 // of an append
}

// TestAnswersAreLoggedByTheHost cancels jobs through the owner and through another host.
// The host that answers must log it, since the owner may be killed right after.
func TestAnswersAreLoggedByTheHost(t *testing.T) {
	var out lockedBuffer
	c := newLoggedCluster(t, 2, logs.NewJSON(&out, "info"))
	c.awaitReady()
	owner := c.owner()
	other := 1 - owner
	const longMs = 60_000
	for id, i := range map[string]int{"local": owner, "remote": other} {
		assert.Equal(t, c.submit(i, id, longMs), http.StatusOK)
		status, _ := c.call(i, "DELETE", "/q/"+id, "")
		assert.Equal(t, status, http.StatusOK)
	}
	status, _ := c.call(other, "DELETE", "/q/none", "")
	assert.Equal(t, status, http.StatusGone)
	c.hosts[owner].mu.Lock()
	epoch := int(c.hosts[owner].owner.epoch)
	c.hosts[owner].mu.Unlock()

	got := map[string]answerLine{}
	var offsets []int64
	for _, text := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		var l answerLine
		assert.NilError(t, json.Unmarshal([]byte(text), &l), "%s", text)
		if strings.HasSuffix(l.Msg, " answered") {
			got[l.Msg+" "+l.Job] = l
		}
		if l.Msg == "cancelled job" {
			offsets = append(offsets, l.Offset)
		}
	}
	assert.Equal(t, len(offsets), 2)
	assert.Assert(t, slices.Min(offsets) > 0 && offsets[0] != offsets[1], "%v", offsets)
	assert.Equal(t, len(got), 4, "%v", got)
	for key, want := range map[string]struct{ at, status int }{
		"cancellation answered local": {owner, 200}, "cancellation answered remote": {other, 200},
		"submission answered remote": {other, 200}, "cancellation answered none": {other, 410},
	} {
		l, ok := got[key]
		assert.Assert(t, ok, key)
		assert.Equal(t, l.Host, fmt.Sprint("h", want.at), key)
		assert.Equal(t, l.Status, want.status, key)
		assert.Equal(t, l.OwnerHere, want.at == owner, key)
		assert.Equal(t, l.OwnerAddr, c.hosts[owner].addr, key)
		assert.Equal(t, l.Epoch, epoch, key)
		assert.Assert(t, l.Tries >= 1, key)
		assert.Equal(t, l.Err != "", want.status == 410, key)
	}
}

// TestAnswerLinesAreBounded checks that a flood of cancellations leaves a bounded number
// of lines, and that the lines left out are counted.
func TestAnswerLinesAreBounded(t *testing.T) {
	var out bytes.Buffer
	c := clock.NewManual(time.Unix(1000, 0))
	const lines, n = 3, 20
	h := &Host{clock: c, log: logs.NewJSON(&out, "info"), addr: "a", cancels: logs.Limiter{Lines: lines, Interval: time.Second}}
	answer := func() {
		h.logAnswer(callMsg{Kind: callCancel, ID: "j"}, ownerAnswer{owner: "b", epoch: 7, tries: 2}, nil, c.Now().Add(-40*time.Millisecond))
	}
	for range n {
		answer()
	}
	h.logAnswer(callMsg{Kind: callCancel, ID: "j"}, ownerAnswer{}, fault.New(fault.Timeout, fault.Unknown, "no answer"), c.Now())
	c.Advance(time.Second)
	answer()
	list := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(list), lines+1, "%s", out.String())
	var last answerLine
	assert.NilError(t, json.Unmarshal([]byte(list[lines]), &last))
	assert.Equal(t, last.Skipped, n-lines)
	assert.Equal(t, last.OwnerAddr, "b")
	assert.Equal(t, last.Epoch, 7)
	assert.Equal(t, last.Tries, 2)
	assert.Equal(t, last.TookMs, 40)
	assert.Assert(t, !last.OwnerHere)
}
