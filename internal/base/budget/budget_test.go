package budget

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestScripts guards against a crowd that keeps ordinary callers out, or that takes memory
// from requests that are being served. The files in testdata hold one step a line.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) { runScript(t, f) })
	}
}

func runScript(t *testing.T, file string) {
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	now := time.Unix(1000, 0)
	var a *Account
	holders, ended := map[string]*Holder{}, map[string]bool{}
	for i, line := range strings.Split(string(data), "\n") {
		line, _, _ = strings.Cut(line, "#")
		f := strings.Fields(line)
		if len(f) == 0 {
			continue
		}
		number := func(i int) int64 {
			n, err := strconv.ParseInt(f[i], 10, 64)
			assert.NilError(t, err, "line %d", i)
			return n
		}
		result := func(ok bool) {
			assert.Equal(t, map[bool]string{true: "ok", false: "refused"}[ok], f[3], "%s:%d: %s", file, i+1, line)
		}
		switch f[0] {
		case "limit":
			a = New(Config{Bytes: number(1), Now: func() time.Time { return now }})
		case "at":
			now = time.Unix(1000, 0).Add(time.Duration(number(1)) * time.Millisecond)
		case "open":
			holders[f[1]] = a.Open(func() { ended[f[1]] = true })
		case "base":
			result(holders[f[1]].TakeBase(number(2)))
		case "take":
			result(holders[f[1]].Take(number(2)))
		case "receive":
			holders[f[1]].Receive(number(2))
		case "progress":
			holders[f[1]].Progress(number(2))
		case "received":
			holders[f[1]].Received()
		case "release":
			holders[f[1]].Release()
		case "close":
			holders[f[1]].Close()
		case "ended":
			assert.Assert(t, ended[f[1]] && holders[f[1]].Evicted() && len(ended) == 1, "%s:%d: ended %v", file, i+1, ended)
		case "used":
			assert.Equal(t, a.Stats().Used, number(1), "%s:%d", file, i+1)
		default:
			t.Fatalf("%s:%d: unknown step %q", file, i+1, f[0])
		}
	}
}
