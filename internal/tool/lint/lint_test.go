package lint

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/plat/ports"
	"lagooncourse/platform"
)

// load returns the configuration of testdata/base.json after one value was set.
func load(t *testing.T, path, value string) ports.ClusterConfig {
	t.Helper()
	data, err := os.ReadFile("testdata/base.json")
	assert.NilError(t, err)
	var root any
	assert.NilError(t, json.Unmarshal(data, &root))
	if path != "" {
		var v any
		assert.NilError(t, json.Unmarshal([]byte(value), &v))
		set(root, strings.Split(path, "."), v)
	}
	data, err = json.Marshal(root)
	assert.NilError(t, err)
	c, err := platform.ParseConfig(data)
	if err != nil { // the adapter refuses it already
		c.Version = -1
	}
	return c
}

func set(node any, path []string, v any) {
	switch n := node.(type) {
	case map[string]any:
		if len(path) == 1 {
			n[path[0]] = v
			return
		}
		set(n[path[0]], path[1:], v)
	case []any:
		i, _ := strconv.Atoi(path[0]) // the files name elements that exist
		set(n[i], path[1:], v)
	}
}

// eachCase calls f for each line of a file of cases.
func eachCase(t *testing.T, file string, f func(t *testing.T, path, value, want string)) {
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		change, want, _ := strings.Cut(line, " | ")
		path, value, _ := strings.Cut(change, " = ")
		t.Run(change, func(t *testing.T) { f(t, path, value, want) })
	}
}

func contains(findings []Finding, want string) bool {
	for _, f := range findings {
		if strings.HasPrefix(fmt.Sprintf("%s: %s: %s", f.Kind, f.Entry, f.Text), want) {
			return true
		}
	}
	return false
}

// TestFindsFaults guards against a faulty configuration that is sent without a word, and
// against findings about a sound one.
func TestFindsFaults(t *testing.T) {
	base := load(t, "", "")
	assert.Equal(t, len(Check(base)), 0, "%v", Check(base))
	eachCase(t, "testdata/bad.txt", func(t *testing.T, path, value, want string) {
		next := load(t, path, value)
		findings := append(Check(next), Diff(base, next)...)
		assert.Assert(t, contains(findings, want), "got %v", findings)
	})
}

// TestFindsChanges guards against a difference from the version in force that is not shown.
func TestFindsChanges(t *testing.T) {
	base := load(t, "", "")
	eachCase(t, "testdata/changes.txt", func(t *testing.T, path, value, want string) {
		next := load(t, path, value)
		next.Version = base.Version + 1
		findings := Diff(base, next)
		assert.Assert(t, contains(findings, want), "got %v", findings)
	})
	same := base
	same.Version++
	assert.Equal(t, len(Diff(base, same)), 0)
}
