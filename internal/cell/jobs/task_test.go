package jobs

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestCancelledTaskEndsWithItsAttempt ends the attempt of a cancelled task in each way in
// which it has no result. The task must not wait for an operator.
func TestCancelledTaskEndsWithItsAttempt(t *testing.T) {
	for _, kind := range []Kind{Batch, Gang, Service} {
		for _, idempotent := range []bool{true, false} {
			for _, reason := range []EndReason{EndStopped, EndCheckpointed, EndNeverStarted, EndLost} {
				task := Task{State: Waiting}.WithStart(Placement{Group: "a-0", Worker: "w1"}, 1).WithCancel(2)
				assert.Equal(t, task.State, Placed)
				task = task.WithEnd(Spec{Kind: kind, Idempotent: idempotent}, End{Attempt: 1, Reason: reason, AtMs: 3})
				assert.Equal(t, task.State, Cancelled, "%s, idempotent %t, %s", kind, idempotent, reason)
			}
		}
	}
}
