// Package peers implements the membership table of entry hosts: which hosts are
// alive, which host owns which group, and the last reported load of each host.
//
// Membership is spread by gossip and is not agreed on by consensus. The table only
// determines when to attempt a takeover and where to send a request. A wrong
// decision is harmless because of the epochs in the log and the fencing tokens at
// the workers. At every interval each host increments its own heartbeat and
// exchanges messages with one random live member and, in some rounds, one suspected
// member, so the number of messages per host does not depend on the number of hosts.
//
// Heartbeats change at every interval and are separate from the member descriptions.
// A request carries the heartbeats of all live members. The response carries the
// newer heartbeats and the descriptions that the sender lacks. A description changes
// at most once per MinDescriptionInterval, unless the groups, the number of pools or
// the leaving flag of its host change.
//
// # Usage
//
//	t := peers.NewTable(peers.Config{Self: member, SuspectAfter: 2 * time.Second})
//	t.AdvanceHeartbeat(peers.LocalState{Member: m, ConfigNext: next}, now)
//	answer := t.Merge(msg, now)
//	owner, ok := t.Owner("az1-0")
package peers

import (
	"math/rand/v2"
	"reflect"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lagooncourse/internal/node/wire"
)

// Config describes a Table.
type Config struct {
	Self                   wire.Member
	SuspectAfter           time.Duration // time without a new heartbeat after which a member is suspected (not alive)
	ForgetAfter            time.Duration // time without a new heartbeat after which a member is removed; Owner still returns it
	MinDescriptionInterval time.Duration // minimum interval between two descriptions when only the load changes
}

// Table is the membership table of one entry host. It is safe for concurrent use.
type Table struct {
	cfg Config

	mu          sync.Mutex
	self        wire.Member
	heartbeat   wire.Heartbeat
	describedAt time.Time               // when self was last changed
	members     map[string]*memberState // by id, without self
	owners      map[string]Owner        // by group
}

// memberState is another host's description and newest heartbeat, with the local time
// at which the heartbeat was received.
type memberState struct {
	m          wire.Member
	heartbeat  wire.Heartbeat
	receivedAt time.Time
}

// Owner is the newest known owner of a group.
type Owner struct {
	Host  string
	Addr  string
	Epoch uint64

	claimReadAt time.Time // when RecordClaim recorded the claim; zero once the owner has announced the group
}

// Peer is a live member, possibly the local host, with data of its newest heartbeat.
// For other hosts LogAge includes the time since the heartbeat was received.
type Peer struct {
	wire.Member
	ConfigNext int64         `json:"cellNext"` // next offset that it will read from the configuration stream
	LogAge     time.Duration `json:"logAgeNs"` // time since it last read the end of the configuration stream from the log
}

// LocalState is the state of the local host that AdvanceHeartbeat writes to its
// heartbeat and its description.
type LocalState struct {
	Member     wire.Member   // only Groups, Pools and Leaving are used
	ConfigNext int64         // next offset to read from the configuration stream
	LogAge     time.Duration // time since this host last read the end of the configuration stream from the log
}

// NewTable returns a table that contains only the local host.
func NewTable(cfg Config) *Table {
	t := &Table{cfg: cfg, self: cfg.Self, members: map[string]*memberState{}, owners: map[string]Owner{}}
	t.self.Version = 1 // 0 means that no description has been received
	t.heartbeat = wire.Heartbeat{ID: cfg.Self.ID, Boot: cfg.Self.Boot, Version: t.self.Version}
	return t
}

// AdvanceHeartbeat increments the local heartbeat, updates the local description and
// removes members without a new heartbeat for longer than ForgetAfter.
func (t *Table) AdvanceHeartbeat(state LocalState, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heartbeat.Seq++
	t.heartbeat.ConfigNext, t.heartbeat.LogAgeMs = state.ConfigNext, state.LogAge.Milliseconds()
	t.updateDescription(state.Member, now)
	for id, s := range t.members {
		if now.Sub(s.receivedAt) > t.cfg.ForgetAfter {
			delete(t.members, id)
		}
	}
}

// updateDescription replaces the description of the local host if its groups, their
// epochs, the number of pools or the leaving flag have changed, or if anything has
// changed and MinDescriptionInterval has passed. The caller must hold t.mu.
func (t *Table) updateDescription(m wire.Member, now time.Time) {
	m.ID, m.Addr, m.API, m.Az = t.self.ID, t.self.Addr, t.self.API, t.self.Az
	m.Boot, m.Version = t.self.Boot, t.self.Version
	loadDue := now.Sub(t.describedAt) >= t.cfg.MinDescriptionInterval && !reflect.DeepEqual(m, t.self)
	if !loadDue && m.Leaving == t.self.Leaving && sameEpochs(m.Groups, t.self.Groups) && len(m.Pools) == len(t.self.Pools) {
		return
	}
	m.Version++
	t.self, t.describedAt = m, now
	t.heartbeat.Version = m.Version
	t.recordOwners(m)
}

// sameEpochs reports whether a and b list the same groups with the same epochs.
func sameEpochs(a, b []wire.GroupInfo) bool {
	if len(a) != len(b) {
		return false
	}
	epochs := map[string]uint64{}
	for _, d := range a {
		epochs[d.Group] = d.Epoch
	}
	for _, d := range b {
		if epochs[d.Group] != d.Epoch {
			return false
		}
	}
	return true
}

// Self returns the description of the local host.
func (t *Table) Self() wire.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Message returns the message for the peer at addr: the heartbeats of all live members,
// and the local description if the peer is not in the table. A peer in the table
// receives descriptions in the responses to its own messages, whose versions show which
// descriptions it lacks.
func (t *Table) Message(addr string, now time.Time) wire.GossipMsg {
	t.mu.Lock()
	defer t.mu.Unlock()
	msg := wire.GossipMsg{Heartbeats: t.liveHeartbeats(now)}
	for _, s := range t.members {
		if s.m.Addr == addr {
			return msg
		}
	}
	msg.Members = []wire.Member{t.self}
	return msg
}

// Announcement returns a message with only the local heartbeat and description. It
// is sent when the groups of the local host have changed.
func (t *Table) Announcement() wire.GossipMsg {
	t.mu.Lock()
	defer t.mu.Unlock()
	return wire.GossipMsg{Heartbeats: []wire.Heartbeat{t.heartbeat}, Members: []wire.Member{t.self}}
}

// liveHeartbeats returns the heartbeats of the live members. Those of suspected members are left
// out, because otherwise they would circulate forever. The caller must hold t.mu.
func (t *Table) liveHeartbeats(now time.Time) []wire.Heartbeat {
	beats := []wire.Heartbeat{t.heartbeat}
	for _, s := range t.members {
		if t.alive(s, now) {
			beats = append(beats, s.agedHeartbeat(now))
		}
	}
	return beats
}

// agedHeartbeat returns the heartbeat with LogAgeMs increased by the time since it was
// received.
func (s *memberState) agedHeartbeat(now time.Time) wire.Heartbeat {
	b := s.heartbeat
	b.LogAgeMs += now.Sub(s.receivedAt).Milliseconds()
	return b
}

// Merge merges a peer's message into the table and returns the response: the
// heartbeats and descriptions that the peer lacks.
func (t *Table) Merge(msg wire.GossipMsg, now time.Time) wire.GossipMsg {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range msg.Members {
		t.mergeMember(m, now)
	}
	known := map[string]wire.Heartbeat{}
	for _, b := range msg.Heartbeats {
		known[b.ID] = b
		t.mergeHeartbeat(b, now)
	}
	var answer wire.GossipMsg
	add := func(m wire.Member, b wire.Heartbeat) {
		k := known[b.ID]
		if b.Newer(k) {
			answer.Heartbeats = append(answer.Heartbeats, b)
		}
		if b.Boot > k.Boot || m.Version > k.Version {
			answer.Members = append(answer.Members, m)
		}
	}
	add(t.self, t.heartbeat)
	for _, s := range t.members {
		if t.alive(s, now) {
			add(s.m, s.agedHeartbeat(now))
		}
	}
	return answer
}

// mergeMember stores a description, unless the table has the same or a newer one. A
// member that is new to the table or has restarted counts as alive from now. The
// caller must hold t.mu.
func (t *Table) mergeMember(m wire.Member, now time.Time) {
	if m.ID == t.self.ID {
		return
	}
	s := t.members[m.ID]
	if s != nil && !m.Newer(s.m) {
		return
	}
	if s == nil || m.Boot > s.m.Boot {
		s = &memberState{receivedAt: now, heartbeat: wire.Heartbeat{ID: m.ID, Boot: m.Boot}}
		t.members[m.ID] = s
	}
	s.m, s.heartbeat.Version = m, m.Version
	t.recordOwners(m)
}

// mergeHeartbeat stores a heartbeat if it is newer and belongs to the incarnation whose
// description is in the table. The stored Version remains that of the description, so
// that messages to peers show which description this host has. The caller must hold t.mu.
func (t *Table) mergeHeartbeat(b wire.Heartbeat, now time.Time) {
	s := t.members[b.ID]
	if s == nil || b.Boot != s.m.Boot || !b.Newer(s.heartbeat) {
		return
	}
	b.Version = s.m.Version
	s.heartbeat, s.receivedAt = b, now
}

// recordOwners records the member as the owner of its groups. The highest epoch wins,
// because each epoch has exactly one owner. The caller must hold t.mu.
func (t *Table) recordOwners(m wire.Member) {
	for _, d := range m.Groups {
		if o, ok := t.owners[d.Group]; !ok || d.Epoch >= o.Epoch {
			t.owners[d.Group] = Owner{Host: m.ID, Addr: m.Addr, Epoch: d.Epoch}
		}
	}
}

// alive reports whether the member's newest heartbeat was received at most SuspectAfter
// ago. Otherwise the member is suspected.
func (t *Table) alive(s *memberState, now time.Time) bool {
	return now.Sub(s.receivedAt) <= t.cfg.SuspectAfter
}

// RecordClaim records a group's owner as read from the log, unless the same or a newer
// epoch is recorded already. The owner may not have announced the group yet, so
// HasLiveOwner returns true for the next SuspectAfter/2.
func (t *Table) RecordClaim(group string, o Owner, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old, ok := t.owners[group]; ok && old.Epoch >= o.Epoch {
		return
	}
	o.claimReadAt = now
	t.owners[group] = o
}

// Owner returns the newest known owner of a group, whether alive or not.
func (t *Table) Owner(group string) (Owner, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.owners[group]
	return o, ok
}

// Live returns the members that are alive and not leaving, including the local
// host, sorted by id.
func (t *Table) Live(now time.Time) []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Peer
	add := func(m wire.Member, b wire.Heartbeat) {
		if !m.Leaving {
			list = append(list, Peer{Member: m, ConfigNext: b.ConfigNext, LogAge: time.Duration(b.LogAgeMs) * time.Millisecond})
		}
	}
	add(t.self, t.heartbeat)
	for _, s := range t.members {
		if t.alive(s, now) {
			add(s.m, s.agedHeartbeat(now))
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// HasLiveOwner reports whether the newest known owner of the group counts as alive: it
// is the local host or a live member, leaving or not, whose description contains the
// group with that epoch, or its claim was read from the log at most SuspectAfter/2 ago.
func (t *Table) HasLiveOwner(group string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.owners[group]
	if !ok {
		return false
	}
	if now.Sub(o.claimReadAt) <= t.cfg.SuspectAfter/2 {
		return true
	}
	m := t.self
	if o.Host != t.self.ID {
		s := t.members[o.Host]
		if s == nil || !t.alive(s, now) {
			return false
		}
		m = s.m
	}
	for _, d := range m.Groups {
		if d.Group == group && d.Epoch == o.Epoch {
			return true
		}
	}
	return false
}

// PeerSummary summarizes the state of the other members that are not leaving: suspected
// is true if any of them is suspected, minLogAge is the lowest LogAge of the live ones,
// or the maximum duration if there are none, and live is their number.
func (t *Table) PeerSummary(now time.Time) (suspected bool, minLogAge time.Duration, live int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	minLogAge = time.Duration(1<<63 - 1)
	for _, s := range t.members {
		if s.m.Leaving {
			continue
		}
		if !t.alive(s, now) {
			suspected = true
			continue
		}
		live++
		minLogAge = min(minLogAge, time.Duration(s.agedHeartbeat(now).LogAgeMs)*time.Millisecond)
	}
	return suspected, minLogAge, live
}

// PickLive returns the addresses of up to n random live members, including leaving ones
// and excluding the local host.
func (t *Table) PickLive(n int, r *rand.Rand, now time.Time) []string {
	return t.pick(n, r, func(s *memberState) bool { return t.alive(s, now) })
}

// suspectContactRounds is the average number of rounds between two contact attempts with
// suspected members.
const suspectContactRounds = 8

// GossipPartners returns the addresses of the members to exchange messages with in one
// round: a random live member and, in one of suspectContactRounds rounds or if no member is
// alive, a random suspected one. If hosts never contacted suspected members, the two sides
// of a network partition would not find each other again after it has healed.
func (t *Table) GossipPartners(r *rand.Rand, now time.Time) []string {
	addrs := t.PickLive(1, r, now)
	if len(addrs) == 0 || r.IntN(suspectContactRounds) == 0 {
		addrs = append(addrs, t.pick(1, r, func(s *memberState) bool { return !t.alive(s, now) })...)
	}
	return addrs
}

// pick returns the addresses of up to n random members that match.
func (t *Table) pick(n int, r *rand.Rand, match func(*memberState) bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var addrs []string
	for _, s := range t.members {
		if match(s) {
			addrs = append(addrs, s.m.Addr)
		}
	}
	sort.Strings(addrs)
	r.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(n, len(addrs))]
}

// PreferenceOrder returns the members in order of preference as owners of the group:
// those in the group's availability zone first, then the others, each sorted by rendezvous
// hash. Removing a member does not change the order of the others, so only the groups
// for which it was first get another first member.
func PreferenceOrder(group, az string, live []Peer) []Peer {
	type ranked struct {
		m     Peer
		local bool
		hash  uint64
	}
	list := make([]ranked, len(live))
	for i, m := range live {
		list[i] = ranked{m: m, local: m.Az == az, hash: xxhash.Sum64String(group + "\x00" + m.ID)}
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].local != list[j].local {
			return list[i].local
		}
		return list[i].hash > list[j].hash
	})
	order := make([]Peer, len(list))
	for i, r := range list {
		order[i] = r.m
	}
	return order
}
