package cmds

import (
	"bufio"
	"bytes"
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestCommands runs the lines of testdata/commands.txt and checks the exit
// status and the output of each.
func TestCommands(t *testing.T) {
	f, err := os.Open("testdata/commands.txt")
	assert.NilError(t, err)
	defer f.Close()
	n := 0
	for sc := bufio.NewScanner(f); sc.Scan(); {
		line := sc.Text()
		if strings.HasPrefix(line, "#") || line == "" {
			continue
		}
		n++
		parts := strings.SplitN(line, " | ", 3)
		assert.Equal(t, len(parts), 3, line)
		var out bytes.Buffer
		got := Main(strings.Fields(parts[1]), &out, &out)
		want, err := strconv.Atoi(parts[0])
		assert.NilError(t, err)
		assert.Equal(t, got, want, "%s\n%s", line, out.String())
		assert.Assert(t, strings.Contains(out.String(), parts[2]), "%s\n%s", line, out.String())
	}
	assert.Assert(t, n > 10)
}
