package config

import (
	"fmt"
	"maps"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lagooncourse/internal/base/frame"
	"lagooncourse/internal/cell/jobs"
)

// referenceModel is a simple implementation of the configuration. It is rebuilt
// from all records and shares no maps between states.
type referenceModel struct {
	version       map[string]Version // object -> version
	value         map[string]string  // object -> content as text
	results       map[string]EditResult
	authors       map[string]string
	limit         map[string]int64            // team -> CPU limit
	grants        map[string]map[string]int64 // team -> group -> CPU grant
	fencingTokens map[string]FencingToken
}

func rebuild(records []Record) referenceModel {
	n := referenceModel{
		version: map[string]Version{}, value: map[string]string{}, results: map[string]EditResult{}, authors: map[string]string{},
		limit: map[string]int64{}, grants: map[string]map[string]int64{}, fencingTokens: map[string]FencingToken{},
	}
	for i, r := range records {
		if r.Edit != nil {
			n.edit(int64(i), *r.Edit)
		}
		if r.Grants != nil {
			n.grant(*r.Grants)
		}
	}
	return n
}

func (n referenceModel) edit(offset int64, e Edit) {
	if _, ok := n.results[e.ID]; ok {
		return
	}
	o := e.Object()
	if n.version[o] != e.Base {
		n.results[e.ID] = EditResult{Edit: e.ID, Offset: offset, Version: n.version[o], Winner: n.authors[o]}
		return
	}
	n.version[o], n.authors[o] = Version(offset+1), e.By
	n.results[e.ID] = EditResult{Edit: e.ID, Accepted: true, Offset: offset, Version: n.version[o]}
	switch e.Operation {
	case SetPlan:
		n.value[o], n.limit[e.Name] = fmt.Sprint(e.Share, e.Limit), e.Limit.CPU
	case DeletePlan:
		n.value[o], n.limit[e.Name] = "deleted", 0
	case TakeAzOut, ReturnAz:
		n.value[o] = fmt.Sprint(e.Operation == TakeAzOut)
	case IssueKey:
		n.value[o] = "issued " + e.Team
	case RevokeKey:
		n.value[o] = "revoked"
	}
}

func (n referenceModel) grant(g Grants) {
	f := n.fencingTokens[g.Group]
	if g.FencingToken.Epoch < f.Epoch || g.FencingToken.Epoch == f.Epoch && g.FencingToken.Seq <= f.Seq {
		return
	}
	n.fencingTokens[g.Group] = g.FencingToken
	for _, item := range g.Items {
		sum := item.Amount.CPU
		for group, amount := range n.grants[item.Team] {
			if group != g.Group {
				sum += amount
			}
		}
		if item.Amount.CPU > n.grants[item.Team][g.Group] && sum > n.limit[item.Team] {
			continue
		}
		if n.grants[item.Team] == nil {
			n.grants[item.Team] = map[string]int64{}
		}
		n.grants[item.Team][g.Group] = item.Amount.CPU
	}
}

// valueOf returns the content of an object in s in the form that referenceModel
// uses.
func valueOf(s *State, kind, name string) string {
	switch kind {
	case "plan":
		p, ok := s.Plans[name]
		if !ok {
			return ""
		}
		if p.Deleted {
			return "deleted"
		}
		return fmt.Sprint(p.Share, p.Limit)
	case "key":
		k, ok := s.Keys[name]
		if !ok {
			return ""
		}
		if k.Revoked {
			return "revoked"
		}
		return "issued " + k.Team
	}
	a, ok := s.Azs[name]
	if !ok {
		return ""
	}
	return fmt.Sprint(a.Out)
}

var names = []string{"a", "b"}

// drawRecord draws an edit, which may conflict with earlier ones or reuse an id,
// or a grant record, which may have a stale fencing token.
func drawRecord(t *rapid.T, versions []Version) Record {
	name := rapid.SampledFrom(names).Draw(t, "name")
	if rapid.Bool().Draw(t, "grant") {
		return Record{Grants: &Grants{
			Group:        rapid.SampledFrom([]string{"g", "h", "i"}).Draw(t, "group"),
			FencingToken: FencingToken{Epoch: rapid.Uint64Range(1, 3).Draw(t, "epoch"), Seq: rapid.Uint64Range(1, 6).Draw(t, "seq")},
			Items:        []Grant{{Team: name, Amount: jobs.Size{CPU: rapid.Int64Range(0, 12).Draw(t, "amount")}}},
		}}
	}
	e := Edit{
		ID:        fmt.Sprintf("e%d", rapid.IntRange(0, 40).Draw(t, "id")),
		Operation: rapid.SampledFrom([]Operation{SetPlan, SetPlan, DeletePlan, IssueKey, RevokeKey, TakeAzOut, ReturnAz}).Draw(t, "kind"),
		Name:      name, By: rapid.SampledFrom([]string{"kim", "lee"}).Draw(t, "by"),
		Base:  rapid.SampledFrom(versions).Draw(t, "base"),
		Share: 1, Limit: jobs.Size{CPU: rapid.Int64Range(0, 20).Draw(t, "limit")},
		Team: "a", SecretHash: HashSecret("s"),
	}
	return Record{Edit: &e}
}

// TestAgainstReferenceModel compares the state with the reference model after every
// record. It checks that the sum of a team's effective limits never exceeds its
// limit.
func TestAgainstReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewStateMachine()
		var records []Record
		versions := []Version{0}
		for i := range rapid.IntRange(1, 40).Draw(t, "n") {
			r := drawRecord(t, versions)
			records = append(records, r)
			data, err := frame.Encode(r)
			assert.NilError(t, err)
			m.Apply(int64(i), data)
			versions = append(versions, Version(i+1))
			if rapid.Bool().Draw(t, "restart") {
				m = restart(t, m)
			}
			compare(t, m.State(), rebuild(records))
		}
	})
}

// restart restores a snapshot of m into a new machine.
func restart(t *rapid.T, m *StateMachine) *StateMachine {
	data, err := m.Snapshot()
	assert.NilError(t, err)
	n := NewStateMachine()
	assert.NilError(t, n.Restore(data))
	return n
}

func compare(t *rapid.T, s *State, n referenceModel) {
	for _, name := range names {
		for _, kind := range []string{"plan", "key", "az"} {
			o := kind + "/" + name
			assert.Equal(t, s.VersionOf(o), n.version[o], o)
			assert.Equal(t, valueOf(s, kind, name), n.value[o], o)
		}
		var granted, effective int64
		for _, group := range []string{"g", "h", "i"} {
			assert.Equal(t, s.Grants[name][group].CPU, n.grants[name][group], "grant of %s to %s", name, group)
			granted += s.Grants[name][group].CPU
			effective += s.EffectiveLimit(name, group).CPU
		}
		assert.Equal(t, s.Granted(name).CPU, granted)
		assert.Assert(t, effective <= s.Limit(name).CPU, "effective limits of %s sum up to %d, limit %d", name, effective, s.Limit(name).CPU)
	}
	assert.Assert(t, maps.Equal(s.Results, n.results), "results %v, want %v", s.Results, n.results)
}

// TestKeys checks TeamOfKey for an unknown, valid and revoked key and for a key
// of a team without a plan, and the matching of allow list items.
func TestKeys(t *testing.T) {
	m := NewStateMachine()
	apply := func(offset int64, e Edit) {
		e.ID = fmt.Sprint("e", offset)
		data, err := frame.Encode(Record{Edit: &e})
		assert.NilError(t, err)
		m.Apply(offset, data)
		assert.Assert(t, m.State().Results[e.ID].Accepted, "edit %d", offset)
	}
	team := func() string {
		team, err := m.State().TeamOfKey("k.s")
		if err != nil {
			return err.Error()
		}
		return team
	}
	assert.Equal(t, team(), "the key is not known")
	apply(0, Edit{Operation: IssueKey, Name: "k", Team: "lab", SecretHash: HashSecret("s")})
	assert.Equal(t, team(), `team "lab" has no plan`)
	apply(1, Edit{Operation: SetPlan, Name: "lab", Share: 1})
	assert.Equal(t, team(), "lab")
	apply(2, Edit{Operation: DeletePlan, Name: "lab", Base: 2})
	assert.Equal(t, team(), `team "lab" has no plan`)
	apply(3, Edit{Operation: SetPlan, Name: "lab", Share: 1, Base: 3})
	apply(4, Edit{Operation: RevokeKey, Name: "k", Base: 1})
	assert.Equal(t, team(), `key "k" is withdrawn`)
	apply(5, Edit{Operation: AddAllow, Name: "lab", Items: []string{"queue:deep", "az:*"}})
	s := m.State()
	assert.NilError(t, s.CheckAllowed("lab", "queue", "deep"))
	assert.NilError(t, s.CheckAllowed("lab", "az", "west"))
	assert.ErrorContains(t, s.CheckAllowed("lab", "queue", "open"), `does not allow queue "open"`)
}

// FuzzApply checks that invalid records do not crash the machine.
func FuzzApply(f *testing.F) {
	data, err := frame.Encode(Record{Edit: &Edit{ID: "e", Operation: TakeAzOut, Name: "a"}})
	assert.NilError(f, err)
	f.Add(data)
	f.Add([]byte{0xc1})
	f.Fuzz(func(t *testing.T, data []byte) {
		m := NewStateMachine()
		m.Apply(0, data)
		if o := m.State().Offset; o != -1 && o != 0 {
			t.Fatalf("offset %d after one record", o)
		}
	})
}
