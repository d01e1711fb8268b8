package sched

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestImageNamesDoNotFillMemory guards against callers who give each task another image.
func TestImageNamesDoNotFillMemory(t *testing.T) {
	e := newEstimator()
	used := Step{Image: "used", EstimateMs: 100}
	for i := range 10 * maxImages {
		e.recordRun("q", "w", Step{Image: fmt.Sprint(i), EstimateMs: 100}, 100)
		e.recordRun("q", "w", used, 250)
	}
	assert.Assert(t, len(e.images.current)+len(e.images.before) <= 2*maxImages)
	e.recordRun("q", "w", Step{Image: strings.Repeat("x", maxImageName+1), EstimateMs: 100}, 100)
	for key := range e.images.current {
		assert.Assert(t, len(key.image) <= maxImageName)
	}
	_, byImage := e.estimates("q", used)
	assert.Equal(t, int64(byImage+0.5), int64(250), "an image in use is forgotten")
}
