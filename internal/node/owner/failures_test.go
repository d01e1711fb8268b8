package owner

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/fault"
)

// TestFailedOrdersAreLogged loses all stop requests and queries, and reads the reason in
// the log, in a bounded number of lines.
func TestFailedOrdersAreLogged(t *testing.T) {
	lost := func(int) (bool, error) { return false, fault.New(fault.Timeout, fault.Unknown, "no response") }
	o := startOrders(t, &memLog{}, map[string]func(int) (bool, error){"stop": lost, "status": lost, "report": lost}, nil)
	for i := range 4 {
		j := o.submit(fmt.Sprint("survey", i), true)
		until(t, func() bool { _, running := o.runs(j.ID); return running == 1 })
		o.cancel(j.ID)
	}
	until(t, func() bool { return o.remote.sent("stop") >= 8 && o.remote.sent("status") >= 2 })
	for _, what := range []string{"stop failed", "query failed"} {
		n := o.lines.count(what)
		assert.Assert(t, n > 0, "no line %q", what)
		assert.Assert(t, n <= 8, "%d lines %q", n, what)
	}
	assert.Assert(t, o.lines.count("no response") > 0)
}
