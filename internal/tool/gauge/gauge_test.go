package gauge

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	pagePath   = "../../../docs/CAPACITY.md"
	slopesPath = "../../../docs/capacity.json"
	beginMark  = "<!-- begin: lagooncourse measure capacity -->\n"
	endMark    = "<!-- end -->"
)

// TestPage checks that the tables in docs/CAPACITY.md match docs/capacity.json.
func TestPage(t *testing.T) {
	data, err := os.ReadFile(slopesPath)
	assert.NilError(t, err)
	slopes, err := Load(data)
	assert.NilError(t, err)
	var want bytes.Buffer
	Write(&want, slopes)
	page, err := os.ReadFile(pagePath)
	assert.NilError(t, err)
	_, rest, ok := strings.Cut(string(page), beginMark)
	assert.Assert(t, ok, "the page has no mark %q", beginMark)
	got, _, ok := strings.Cut(rest, endMark)
	assert.Assert(t, ok, "the page has no mark %q", endMark)
	assert.Equal(t, got, want.String())
}

// TestFit checks the line and spread for collinear points, the spread for other
// points, and that negative values are cut to 0.
func TestFit(t *testing.T) {
	s := Fit("x", "n", "y", []Point{{1, 5}, {2, 7}, {4, 11}})
	assert.Equal(t, s.At(10), 23.0)
	assert.Equal(t, s.Spread, 0.0)
	low, high := s.Range()
	assert.Equal(t, low, 1.0)
	assert.Equal(t, high, 4.0)
	rough := Fit("x", "n", "y", []Point{{1, 5}, {2, 12}, {4, 11}})
	assert.Assert(t, rough.Spread > 0.1)
	assert.Equal(t, Slope{Base: -5, PerX: 1}.At(2), 0.0)
}

// TestEstimatesNeedSlopes checks that Estimates panics if a slope is missing.
func TestEstimatesNeedSlopes(t *testing.T) {
	defer func() { assert.Assert(t, recover() != nil) }()
	Estimates(nil)
}
