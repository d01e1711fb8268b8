package demo

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/conf"
	"lagooncourse/internal/tool/scene"
)

const tiny = `
[cell]
name = tiny
run = 2s
azs = a, b
workers = 4
rackSize = 2
entryHosts = 2
executors = 2
[team lab]
[work survey]
team = lab
every = 50ms
runFor = 100ms
[work alarm]
team = lab
kind = urgent
every = 200ms
runFor = 50ms
[calls stamp]
team = lab
every = 50ms
[fault out]
at = 500ms
kind = azOut
of = a
[fault back]
at = 1500ms
kind = azBack
of = a
[fault kill]
at = 1s
kind = killHost
of = 0
`

// TestRun runs a small scenario in which a zone is taken out and an entry host is
// killed, and checks the guarantees and the figures of the report.
func TestRun(t *testing.T) {
	s, err := conf.Parse[scene.Scenario]([]byte(tiny))
	assert.NilError(t, err)
	rep, err := Run(context.Background(), Config{Scenario: s, Logger: logr.Discard()})
	assert.NilError(t, err)
	for _, v := range rep.Verdicts {
		assert.Assert(t, v.Held(), "%s: %v", v.Guarantee, v.Violations)
	}
	assert.Assert(t, rep.Jobs["done"] > 20, "jobs: %v", rep.Jobs)
	assert.Assert(t, rep.Calls["done"] > 10, "calls: %v", rep.Calls)
	assert.Assert(t, rep.Appends > 0 && rep.Control > 0 && rep.ZoneChangeUse > 0)
	var out bytes.Buffer
	rep.Print(&out)
	assert.Assert(t, strings.Contains(out.String(), "held    No task runs in two places"), out.String())
}
