package conf

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

type testSettings struct {
	Host struct {
		ID   string   `ini:"id" required:"true" doc:"name"`
		List []string `ini:"list" doc:"names"`
	} `ini:"host"`
	Limits struct {
		Wait  time.Duration `ini:"wait" def:"2s" min:"1s" max:"1m" doc:"time"`
		Count int           `ini:"count" def:"3" min:"1" max:"10" doc:"number"`
		Part  float64       `ini:"part" def:"0.5" min:"0" max:"1" doc:"part"`
		On    bool          `ini:"on" def:"false" doc:"switch"`
		Level string        `ini:"level" def:"info" oneof:"info,error" doc:"level"`
	} `ini:"limits"`
	Items []struct {
		Name string `ini:"#id"`
		Size int    `ini:"size" def:"1" min:"1" max:"9" doc:"size"`
	} `ini:"item"`
}

const wantPrefix = "; want: "

// TestFiles parses every file in testdata. Each line "; want: TEXT" gives text of
// an error that Parse must report; a file without such lines must be valid.
func TestFiles(t *testing.T) {
	files, err := filepath.Glob("testdata/*.ini")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, path := range files {
		t.Run(filepath.Base(path), func(t *testing.T) {
			data, err := os.ReadFile(path)
			assert.NilError(t, err)
			want := wantErrors(string(data))
			_, err = Parse[testSettings](data)
			if len(want) == 0 {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, err != nil, "no error, want %q", want)
			got := strings.Split(err.Error(), "\n")
			assert.Equal(t, len(got), len(want), "errors: %q", got)
			for _, w := range want {
				assert.Assert(t, strings.Contains(err.Error(), w), "errors %q lack %q", got, w)
			}
		})
	}
}

func wantErrors(text string) []string {
	var wants []string
	for _, line := range strings.Split(text, "\n") {
		if w, ok := strings.CutPrefix(line, wantPrefix); ok {
			wants = append(wants, w)
		}
	}
	return wants
}

// TestPrint checks that Parse reads the output of Print back to equal settings.
func TestPrint(t *testing.T) {
	s, err := Parse[testSettings]([]byte("[host]\nid = a\nlist = x, y\n[item b]\nsize = 4\n"))
	assert.NilError(t, err)
	var buf bytes.Buffer
	Print(&buf, s)
	again, err := Parse[testSettings](buf.Bytes())
	assert.NilError(t, err)
	assert.DeepEqual(t, again, s)
	assert.Equal(t, again.Limits.Wait, 2*time.Second)
	assert.Equal(t, again.Items[0].Name, "b")
}

// FuzzParse checks that Parse does not panic on any input.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[host]\nid = a\n"))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = Parse[testSettings](data) })
}
