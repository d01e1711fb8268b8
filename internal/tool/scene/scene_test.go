package scene

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/conf"
)

// TestShipped checks that every embedded scenario is valid and loads the same by
// name and by path.
func TestShipped(t *testing.T) {
	assert.DeepEqual(t, Shipped(), []string{"faults", "freshwater", "hanbit"})
	for _, name := range Shipped() {
		s, err := Load(name)
		assert.NilError(t, err)
		file, err := Load("files/" + name + ".ini")
		assert.NilError(t, err)
		assert.DeepEqual(t, s, file)
		assert.Assert(t, len(s.Work) > 0 && len(s.Calls) > 0)
	}
	_, err := Load("nothing")
	assert.ErrorContains(t, err, "shipped scenarios faults, freshwater, hanbit")
}

// TestCheck checks the errors for invalid references, jobs and fault kinds.
func TestCheck(t *testing.T) {
	const cell = "[cell]\nname = x\nazs = a, b\n[team lab]\n"
	for _, tc := range []struct{ text, want string }{
		{"[work w]\nteam = desk\nevery = 1s\nrunFor = 1s\n", `section [work w], key "team", value "desk": must name a team: lab`},
		{"[work w]\nteam = lab\nevery = 1s\n", `section [work w], key "runMs", value "0"`},
		{"[calls c]\nteam = desk\nevery = 1s\n", `section [calls c], key "team"`},
		{"[fault f]\nat = 1s\nkind = azOut\nof = c\n", `section [fault f], key "of", value "c": must name an availability zone: a, b`},
		{"[fault f]\nat = 1s\nkind = meteor\n", `section [fault f], key "kind", value "meteor": must be one of`},
	} {
		_, err := conf.Parse[Scenario]([]byte(cell + tc.text))
		assert.Assert(t, err != nil && strings.Contains(err.Error(), tc.want), "got %v, want %q", err, tc.want)
	}
}
