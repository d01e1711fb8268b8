package guard

import (
	"os"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/fault"
)

// hopeless panics with an index out of range.
func hopeless() { _ = []int{}[len(os.Args)] }

func TestRun(t *testing.T) {
	var lines []string
	log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	before := Count()
	assert.Assert(t, Run(log, "loop", func() {}))
	assert.Assert(t, !Run(log, "loop", hopeless))
	assert.Equal(t, Count(), before+1)
	assert.Equal(t, len(lines), 1)
	assert.Assert(t, strings.Contains(lines[0], "hopeless"), "the stack shows where: %s", lines[0])
}

func TestError(t *testing.T) {
	call := func() (err error) {
		defer Error(&err, logr.Discard(), "call")
		hopeless()
		return nil
	}
	err := call()
	assert.Assert(t, fault.HasCode(err, fault.Internal))
	assert.Equal(t, fault.OutcomeOf(err), fault.Unknown)
}
