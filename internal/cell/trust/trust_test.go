package trust

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestScripts runs the scripts in testdata. A line starts with the time in
// milliseconds and has one of the forms
//
//	MS ok WORKER JOB       an attempt of JOB succeeded on WORKER
//	MS fail WORKER JOB     an attempt of JOB failed on WORKER
//	MS state WORKER STATE  checks the state of WORKER
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) { runScript(t, path) })
	}
}

func runScript(t *testing.T, path string) {
	f, err := os.Open(path)
	assert.NilError(t, err)
	defer f.Close()
	tr := New(Config{})
	states := 0
	for sc := bufio.NewScanner(f); sc.Scan(); {
		line := strings.TrimSpace(sc.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		var ms int64
		var command, worker, arg string
		_, err := fmt.Sscan(line, &ms, &command, &worker, &arg)
		assert.NilError(t, err, line)
		switch command {
		case "ok", "fail":
			tr.Record(End{Worker: worker, Job: arg, OK: command == "ok", AtMs: ms})
		case "state":
			states++
			assert.Equal(t, tr.State(worker, ms).String(), arg, line)
		default:
			t.Fatalf("line %q: unknown command", line)
		}
	}
	assert.Assert(t, states > 0, "the script has no state line")
}
