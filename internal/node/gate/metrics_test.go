package gate

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// TestDroppedLinesAreAMetric checks that a host serves how many lines of its log were
// dropped, which its log tells only once it is read again.
func TestDroppedLinesAreAMetric(t *testing.T) {
	reg := prometheus.NewRegistry()
	dropped := int64(3)
	newMetrics(reg, func() int64 { return dropped })
	dropped = 7
	families, err := reg.Gather()
	assert.NilError(t, err)
	for _, f := range families {
		if f.GetName() == "lagooncourse_log_lines_dropped_total" {
			assert.Equal(t, f.GetMetric()[0].GetCounter().GetValue(), 7.0)
			return
		}
	}
	t.Fatal("no such metric")
}
