// Package config implements the configuration of a cell, the set of groups that
// share one log. It consists of the teams' plans and allow lists, the API keys,
// the availability zones that are out of service, and the division of each team's
// limit among the groups.
//
// The configuration is a replicated state machine over the records of the log
// stream "cell". Every entry host applies the same records in the same order and
// reaches the same state.
//
// Edits use optimistic concurrency control because operators can edit at the
// same time, an append may be confirmed late or never, and an edit may be sent
// twice. An edit carries an id and the version of the object on which it is
// based. Of several edits based on the same version, the one with the lowest
// offset is accepted and the others are rejected when they are applied. An edit
// with a known id is ignored.
//
// The entry host that receives an edit does not decide whether it is accepted:
// that would need a lock that outlives the host, or a consensus group.
//
// # Usage
//
//	m := config.NewStateMachine()
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

// OpenTeam is the team of requests without a key. Its allow list names the queues
// and services that can be used without a key.
const OpenTeam = "open"

// Version is the version of one object: the offset of its last accepted edit
// plus 1, or 0 if it has never been edited.
type Version int64

// Plan holds the share and the limit of a team.
type Plan struct {
	Team    string    `json:"team"`
	Share   int64     `json:"share"` // weight in fair sharing
	Limit   jobs.Size `json:"limit"` // upper limit of running work in the whole fleet; 0 allows none
	Version Version   `json:"version"`
	Deleted bool      `json:"deleted,omitempty"`
}

// AllowList is the allow list of a team's plan. Its items have the form "kind:name",
// such as "queue:deep", "service:triage" or "az:west"; "kind:*" matches all names.
type AllowList struct {
	Team    string   `json:"team"`
	Items   []string `json:"items"` // sorted
	Version Version  `json:"version"`
}

// Has reports whether the list contains kind:name or the wildcard of the kind.
func (a AllowList) Has(kind, name string) bool {
	for _, item := range a.Items {
		k, n, _ := strings.Cut(item, ":")
		if k == kind && (n == "*" || n == name) {
			return true
		}
	}
	return false
}

// WithItems returns the list with the items added or removed.
func (a AllowList) WithItems(items []string, remove bool) AllowList {
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

// Key is an API key. Only the hash of its secret is stored. A revoked key stays
// in the state with its version, so that a late edit cannot restore it.
type Key struct {
	ID      string  `json:"id"`
	Team    string  `json:"team"`
	Hash    string  `json:"-"`
	Revoked bool    `json:"withdrawn"`
	Version Version `json:"version"`
}

// Az is the configuration of an availability zone.
type Az struct {
	Name    string  `json:"name"`
	Out     bool    `json:"out"` // taken out of service by an operator
	Version Version `json:"version"`
}

// Grant is the part of a team's limit that is assigned to one group.
type Grant struct {
	Team   string
	Group  string
	Amount jobs.Size
}

// EditResult is the outcome of an edit.
type EditResult struct {
	Edit     string  `json:"edit"`
	Accepted bool    `json:"accepted"`
	Offset   int64   `json:"offset"`           // offset of the edit
	Version  Version `json:"version"`          // version of the object after the edit
	Winner   string  `json:"winner,omitempty"` // if not accepted: operator of the object's last accepted edit
}

// State is the configuration at one offset. It is immutable: With returns a new
// State that shares the unchanged maps.
type State struct {
	Offset        int64 // offset of the last applied record; -1 before the first
	Plans         map[string]Plan
	Allows        map[string]AllowList
	Keys          map[string]Key
	Azs           map[string]Az
	Authors       map[string]string               // object -> operator of its last accepted edit
	Grants        map[string]map[string]jobs.Size // team -> group -> amount
	FencingTokens map[string]FencingToken         // group -> highest fencing token of its grant records
	Results       map[string]EditResult           // edit id -> result, of the last maxResults edits
	Recent        []string                        // ids in Results, oldest first
}

// FencingToken is the fencing token of a group's grant records. A record is ignored
// unless its token is higher than that of every earlier record of the group.
type FencingToken struct {
	Epoch uint64 // compared first
	Seq   uint64
}

// maxResults limits the number of edit ids kept for the detection of duplicates.
// Clients retry an edit only within their timeout, so 8192 ids, which cover about
// a day of edits, are sufficient.
const maxResults = 8192

func newState() *State {
	return &State{
		Offset: -1, Plans: map[string]Plan{}, Allows: map[string]AllowList{}, Keys: map[string]Key{},
		Azs: map[string]Az{}, Authors: map[string]string{}, Grants: map[string]map[string]jobs.Size{},
		FencingTokens: map[string]FencingToken{}, Results: map[string]EditResult{},
	}
}

// HashSecret returns the SHA-256 hash of a key's secret in hexadecimal form.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// TeamOfKey returns the team of a key in the form "id.secret". The error code is
// Unauthenticated for an unknown key or a wrong secret, and Denied for a revoked
// key or a team without a plan.
func (s *State) TeamOfKey(key string) (team string, err error) {
	id, secret, _ := strings.Cut(key, ".")
	k, ok := s.Keys[id]
	if !ok || k.Hash != HashSecret(secret) {
		return "", fault.New(fault.Unauthenticated, fault.NotRun, "the key is not known")
	}
	if k.Revoked {
		return "", fault.New(fault.Denied, fault.NotRun, "key %q is withdrawn", id)
	}
	if p, ok := s.Plans[k.Team]; !ok || p.Deleted {
		return "", fault.New(fault.Denied, fault.NotRun, "team %q has no plan", k.Team)
	}
	return k.Team, nil
}

// CheckAllowed returns an error unless the team has a plan and its allow list contains
// kind:name.
func (s *State) CheckAllowed(team, kind, name string) error {
	if p, ok := s.Plans[team]; !ok || p.Deleted {
		return fault.New(fault.Denied, fault.NotRun, "team %q has no plan", team)
	}
	if !s.Allows[team].Has(kind, name) {
		return fault.New(fault.Denied, fault.NotRun, "the plan of team %q does not allow %s %q", team, kind, name)
	}
	return nil
}

// AzOutOfService reports whether the availability zone is out of service.
func (s *State) AzOutOfService(az string) bool { return s.Azs[az].Out }

// Limit returns the team's limit, or zero if it has no plan.
func (s *State) Limit(team string) jobs.Size {
	p, ok := s.Plans[team]
	if !ok || p.Deleted {
		return jobs.Size{}
	}
	return p.Limit
}

// VersionOf returns the version of an object such as "plan/lab" or "az/west". It
// returns 0 for an unknown object.
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

// StateMachine is the replicated state machine of the stream "cell". State can be
// called concurrently with the other methods.
type StateMachine struct {
	state atomic.Pointer[State]
}

// NewStateMachine returns a machine with an empty state.
func NewStateMachine() *StateMachine {
	m := &StateMachine{}
	m.state.Store(newState())
	return m
}

// State returns the current state.
func (m *StateMachine) State() *State { return m.state.Load() }

// Apply applies the next record. A record that cannot be decoded is ignored.
func (m *StateMachine) Apply(offset int64, data []byte) {
	rec, err := frame.Decode[Record](data)
	if err != nil {
		return
	}
	m.state.Store(m.state.Load().With(offset, rec))
}

// Snapshot returns the encoded state.
func (m *StateMachine) Snapshot() ([]byte, error) { return frame.Encode(m.state.Load()) }

// Restore replaces the state with the result of Snapshot.
func (m *StateMachine) Restore(data []byte) error {
	s, err := frame.Decode[State](data)
	if err != nil {
		return err
	}
	m.state.Store(&s)
	return nil
}

// cloneAndSet returns a copy of m in which k has the value v.
func cloneAndSet[V any](m map[string]V, k string, v V) map[string]V {
	c := maps.Clone(m)
	if c == nil {
		c = map[string]V{}
	}
	c[k] = v
	return c
}
