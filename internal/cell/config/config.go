// Package config is the configuration of a cell: the teams' customer plans,
// what each plan may use, the keys, the availability zones that are out of
// service, and how each team's upper limit is divided among the groups.
//
// All of it is one pure function of the records of the log's stream "cell".
// Every entry host applies the same records in the same order and reaches the
// same state. Operators race one another, appends are answered late or never,
// and an edit may be sent twice, so an edit carries an id and the version of
// the object that it is based on. The first edit by offset wins; a later one
// based on the same version is rejected at apply time, everywhere alike. An
// edit whose id has been seen is not applied again.
//
// Rejected way: letting the entry host that takes the edit decide. It would
// need a lock that outlives the host, or a consensus group.
//
// # Usage
//
//	m := config.NewMachine()
//	m.Apply(offset, data) // from stream.Replay
//	s := m.State()
//	team, err := s.TeamOfKey(key)
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"sort"
	"strings"
	"sync/atomic"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/frame"
	"lagooncourse/internal/cell/jobs"
)

// Stream is the log stream that holds the configuration.
const Stream = "cell"

// OpenTeam is the team to which work without a key belongs. Its plan's allow
// list names the queues and services that are open to all.
const OpenTeam = "open"

// Version identifies a state of one object. It is 1 more than the offset of
// the edit that made it; 0 is the version of an object that never existed.
type Version int64

// Plan is a team's customer plan.
type Plan struct {
	Team    string    `json:"team"`
	Share   int64     `json:"share"` // weight among the teams when the fleet is full
	Limit   jobs.Size `json:"limit"` // most that may run at once in the whole fleet
	Version Version   `json:"version"`
	Deleted bool      `json:"deleted,omitempty"`
}

// Allow is the list of what a plan may use, as "kind:name" items such as
// "queue:deep", "service:triage" or "az:west"; "kind:*" stands for all names.
type Allow struct {
	Team    string   `json:"team"`
	Items   []string `json:"items"` // sorted
	Version Version  `json:"version"`
}

// Has reports whether the list contains the item or its kind's wildcard.
func (a Allow) Has(kind, name string) bool {
	for _, item := range a.Items {
		k, n, _ := strings.Cut(item, ":")
		if k == kind && (n == "*" || n == name) {
			return true
		}
	}
	return false
}

// WithItems returns the list with the items added or removed.
func (a Allow) WithItems(items []string, remove bool) Allow {
	set := map[string]bool{}
	for _, item := range a.Items {
		set[item] = true
	}
	for _, item := range items {
		set[item] = !remove
	}
	a.Items = nil
	for item, in := range set {
		if in {
			a.Items = append(a.Items, item)
		}
	}
	sort.Strings(a.Items)
	return a
}

// Key is a submitter's key. Only a hash of its secret is kept. A withdrawn key
// stays in the state, so a late edit cannot bring it back.
type Key struct {
	ID        string  `json:"id"`
	Team      string  `json:"team"`
	Hash      string  `json:"-"`
	Withdrawn bool    `json:"withdrawn"`
	Version   Version `json:"version"`
}

// Az is the service state of an availability zone.
type Az struct {
	Name    string  `json:"name"`
	Out     bool    `json:"out"`
	Version Version `json:"version"`
}

// Grant is the part of a team's limit that one group holds.
type Grant struct {
	Team   string
	Group  string
	Amount jobs.Size
}

// Result says what became of an edit.
type Result struct {
	Edit     string  `json:"edit"`
	Accepted bool    `json:"accepted"`
	Offset   int64   `json:"offset"`
	Version  Version `json:"version"`          // of the object after the edit
	Winner   string  `json:"winner,omitempty"` // for a conflict: who made the version that stands
}

// State is the configuration after some record. It is immutable: Apply returns
// a new one that shares the unchanged maps.
type State struct {
	Offset  int64 // of the newest record; -1 before the first
	Plans   map[string]Plan
	Allows  map[string]Allow
	Keys    map[string]Key
	Azs     map[string]Az
	Authors map[string]string               // object -> author of its newest edit
	Grants  map[string]map[string]jobs.Size // team -> group -> amount
	Fences  map[string]Fence                // group -> newest grant writer
	Results map[string]Result               // edit id -> result, the newest maxResults
	Recent  []string                        // ids in Results, oldest first
}

// Fence orders the grant records of a group: a record is void unless its
// (epoch, seq) is higher than the newest one.
type Fence struct {
	Epoch uint64
	Seq   uint64
}

// maxResults bounds the edits whose repetition is recognized. An edit is
// repeated within its client's timeout, so a day's worth is ample.
const maxResults = 8192

func newState() *State {
	return &State{
		Offset: -1, Plans: map[string]Plan{}, Allows: map[string]Allow{}, Keys: map[string]Key{},
		Azs: map[string]Az{}, Authors: map[string]string{}, Grants: map[string]map[string]jobs.Size{},
		Fences: map[string]Fence{}, Results: map[string]Result{},
	}
}

// HashSecret returns the hash under which a key's secret is kept.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// TeamOfKey returns the team of a key in the form "id.secret". The error is
// NoKey for an unknown key and Denied for a withdrawn one.
func (s *State) TeamOfKey(key string) (team string, err error) {
	id, secret, _ := strings.Cut(key, ".")
	k, ok := s.Keys[id]
	if !ok || k.Hash != HashSecret(secret) {
		return "", fault.New(fault.NoKey, fault.NotRun, "the key is not known")
	}
	if k.Withdrawn {
		return "", fault.New(fault.Denied, fault.NotRun, "key %q is withdrawn", id)
	}
	if p, ok := s.Plans[k.Team]; !ok || p.Deleted {
		return "", fault.New(fault.Denied, fault.NotRun, "team %q has no plan", k.Team)
	}
	return k.Team, nil
}

// Allowed returns an error unless the team's plan may use the named thing.
func (s *State) Allowed(team, kind, name string) error {
	if p, ok := s.Plans[team]; !ok || p.Deleted {
		return fault.New(fault.Denied, fault.NotRun, "team %q has no plan", team)
	}
	if !s.Allows[team].Has(kind, name) {
		return fault.New(fault.Denied, fault.NotRun, "the plan of team %q does not allow %s %q", team, kind, name)
	}
	return nil
}

// AzOut reports whether operators have taken the availability zone out.
func (s *State) AzOut(az string) bool { return s.Azs[az].Out }

// Limit returns the team's upper limit; zero without a plan.
func (s *State) Limit(team string) jobs.Size {
	p, ok := s.Plans[team]
	if !ok || p.Deleted {
		return jobs.Size{}
	}
	return p.Limit
}

// VersionOf returns the version of an object such as "plan/lab" or "az/west".
func (s *State) VersionOf(object string) Version {
	kind, name, _ := strings.Cut(object, "/")
	switch kind {
	case "plan":
		return s.Plans[name].Version
	case "allow":
		return s.Allows[name].Version
	case "key":
		return s.Keys[name].Version
	case "az":
		return s.Azs[name].Version
	}
	return 0
}

// Machine follows the stream "cell". Readers take the state without a lock.
type Machine struct {
	state atomic.Pointer[State]
}

// NewMachine returns a machine with an empty state.
func NewMachine() *Machine {
	m := &Machine{}
	m.state.Store(newState())
	return m
}

// State returns the newest state.
func (m *Machine) State() *State { return m.state.Load() }

// Apply takes the next record. A record that cannot be decoded changes nothing.
func (m *Machine) Apply(offset int64, data []byte) {
	rec, err := frame.Decode[Record](data)
	if err != nil {
		return
	}
	m.state.Store(m.state.Load().With(offset, rec))
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) { return frame.Encode(m.state.Load()) }

// Restore replaces the state with an encoded one.
func (m *Machine) Restore(data []byte) error {
	s, err := frame.Decode[State](data)
	if err != nil {
		return err
	}
	m.state.Store(&s)
	return nil
}

func put[V any](m map[string]V, k string, v V) map[string]V {
	c := maps.Clone(m)
	if c == nil {
		c = map[string]V{}
	}
	c[k] = v
	return c
}
