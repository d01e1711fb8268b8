package config

import (
	"maps"
	"slices"
	"strings"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/cell/jobs"
)

// Operation is the operation of an edit.
type Operation string

// Values of Operation.
const (
	SetPlan     Operation = "setPlan"
	DeletePlan  Operation = "deletePlan"
	AddAllow    Operation = "addAllow"
	RemoveAllow Operation = "removeAllow"
	IssueKey    Operation = "giveKey"
	RevokeKey   Operation = "withdrawKey"
	TakeAzOut   Operation = "azOut"
	ReturnAz    Operation = "azBack"
)

// Edit is an operator's change to one object.
type Edit struct {
	ID        string    `json:"id"` // idempotency key
	Operation Operation `json:"kind"`
	Name      string    `json:"name"` // team, key id or availability zone
	Base      Version   `json:"base"` // version of the object on which the edit is based
	By        string    `json:"by"`   // name of the operator

	Share      int64     `json:"share,omitempty"`  // for SetPlan
	Limit      jobs.Size `json:"limit,omitzero"`   // for SetPlan
	Items      []string  `json:"items,omitempty"`  // for AddAllow and RemoveAllow
	Team       string    `json:"team,omitempty"`   // for IssueKey
	SecretHash string    `json:"secret,omitempty"` // for IssueKey: hash of the key's secret, as returned by HashSecret
}

// Object returns the name of the object that the edit changes, such as
// "plan/lab".
func (e Edit) Object() string {
	switch e.Operation {
	case SetPlan, DeletePlan:
		return "plan/" + e.Name
	case AddAllow, RemoveAllow:
		return "allow/" + e.Name
	case IssueKey, RevokeKey:
		return "key/" + e.Name
	}
	return "az/" + e.Name
}

// Limits of an edit.
const (
	MaxShare = 1_000_000 // highest weight of a team
	MaxItems = 1000      // items of one edit
)

// itemKinds lists the valid kinds of allow list items.
var itemKinds = []string{"queue", "service", "az"}

// Check returns an error that names the first invalid field and its value.
func (e Edit) Check() error {
	if err := jobs.CheckName("id", e.ID); err != nil {
		return err
	}
	if err := jobs.CheckName("name", e.Name); err != nil {
		return err
	}
	if e.Base < 0 {
		return fault.InvalidField("base", e.Base, "must not be negative")
	}
	switch e.Operation {
	case SetPlan:
		return e.checkPlan()
	case AddAllow, RemoveAllow:
		return e.checkItems()
	case IssueKey:
		if len(e.SecretHash) != len(HashSecret("")) {
			return fault.InvalidField("secret", e.SecretHash, "must be the hash of the key's secret")
		}
		return jobs.CheckName("team", e.Team)
	case DeletePlan, RevokeKey, TakeAzOut, ReturnAz:
		return nil
	}
	return fault.InvalidField("kind", e.Operation, "must be a known kind of edit")
}

func (e Edit) checkPlan() error {
	if e.Share < 1 || e.Share > MaxShare {
		return fault.InvalidField("share", e.Share, "must lie between 1 and %d", MaxShare)
	}
	for _, d := range []struct {
		field string
		v     int64
	}{{"limit.cpuMillis", e.Limit.CPU}, {"limit.memoryMiB", e.Limit.Mem}, {"limit.accelerators", e.Limit.Accel}} {
		if d.v < 0 || d.v > jobs.Unlimited {
			return fault.InvalidField(d.field, d.v, "must lie between 0 and %d", jobs.Unlimited)
		}
	}
	return nil
}

func (e Edit) checkItems() error {
	if len(e.Items) == 0 || len(e.Items) > MaxItems {
		return fault.InvalidField("items", len(e.Items), "must list 1 to %d items", MaxItems)
	}
	for _, item := range e.Items {
		kind, name, ok := strings.Cut(item, ":")
		if !ok || !slices.Contains(itemKinds, kind) {
			return fault.InvalidField("items", item, "must have the form KIND:NAME with a kind of %v", itemKinds)
		}
		if name == "*" {
			continue
		}
		if err := jobs.CheckName("items", name); err != nil {
			return err
		}
	}
	return nil
}

// Record is one record of the stream. Exactly one field is set.
type Record struct {
	Edit   *Edit
	Grants *Grants
}

// With returns the state after applying the record at the given offset.
func (s *State) With(offset int64, rec Record) *State {
	next := *s
	next.Offset = offset
	switch {
	case rec.Edit != nil:
		next.applyEdit(offset, *rec.Edit)
	case rec.Grants != nil:
		next.applyGrants(*rec.Grants)
	}
	return &next
}

// applyEdit applies an edit to s, a copy of the previous state. The copy shares its
// maps with that state, so they are cloned before a change.
func (s *State) applyEdit(offset int64, e Edit) {
	if _, seen := s.Results[e.ID]; seen {
		return
	}
	object := e.Object()
	r := EditResult{Edit: e.ID, Offset: offset, Version: s.VersionOf(object)}
	if e.Check() == nil && r.Version == e.Base {
		r.Accepted, r.Version = true, Version(offset+1)
		s.applyAccepted(e, r.Version)
		s.Authors = cloneAndSet(s.Authors, object, e.By)
	} else {
		r.Winner = s.Authors[object]
	}
	s.addResult(r)
}

func (s *State) applyAccepted(e Edit, v Version) {
	switch e.Operation {
	case SetPlan:
		s.Plans = cloneAndSet(s.Plans, e.Name, Plan{Team: e.Name, Share: e.Share, Limit: e.Limit, Version: v})
	case DeletePlan:
		s.Plans = cloneAndSet(s.Plans, e.Name, Plan{Team: e.Name, Version: v, Deleted: true})
	case AddAllow, RemoveAllow:
		a := s.Allows[e.Name].WithItems(e.Items, e.Operation == RemoveAllow)
		a.Team, a.Version = e.Name, v
		s.Allows = cloneAndSet(s.Allows, e.Name, a)
	case IssueKey:
		s.Keys = cloneAndSet(s.Keys, e.Name, Key{ID: e.Name, Team: e.Team, Hash: e.SecretHash, Version: v})
	case RevokeKey:
		k := s.Keys[e.Name]
		k.ID, k.Revoked, k.Version = e.Name, true, v
		s.Keys = cloneAndSet(s.Keys, e.Name, k)
	case TakeAzOut, ReturnAz:
		s.Azs = cloneAndSet(s.Azs, e.Name, Az{Name: e.Name, Out: e.Operation == TakeAzOut, Version: v})
	}
}

// addResult stores r and drops the oldest result beyond maxResults.
func (s *State) addResult(r EditResult) {
	s.Results = maps.Clone(s.Results)
	s.Results[r.Edit] = r
	recent := append(append(make([]string, 0, len(s.Recent)+1), s.Recent...), r.Edit)
	if len(recent) > maxResults {
		delete(s.Results, recent[0])
		recent = recent[1:]
	}
	s.Recent = recent
}
