// Package peers keeps the table of entry hosts: who is alive, who owns which
// group, and what each last said about its load.
//
// There is no agreement on membership and none is needed. The table decides
// only when to try a takeover and where to send a request; what keeps a wrong
// guess harmless are the epochs in the log and the fencing tokens at the
// workers. Each host raises its own heartbeat and exchanges tables with a
// random peer at every interval, so the cost for each host does not grow with
// the square of their number.
//
// What changes all the time, the heartbeats, is kept apart from the members'
// descriptions. An exchange carries all heartbeats and only those descriptions
// that the other side lacks, and a description changes at most once in
// DescribeEvery unless the groups of its host do.
//
// # Usage
//
//	t := peers.NewTable(peers.Config{Self: member, SuspectAfter: 2 * time.Second})
//	t.Beat(peers.Report{Member: m, CellNext: next}, now)
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
	Self          wire.Member
	SuspectAfter  time.Duration // without a new heartbeat a member counts as dead
	ForgetAfter   time.Duration // then it disappears from the table
	DescribeEvery time.Duration // least time between two descriptions of changed load
}

// Table is the table of one entry host.
type Table struct {
	cfg Config

	mu          sync.Mutex
	self        wire.Member
	beat        wire.Beat
	describedAt time.Time
	members     map[string]*seen // without self
	owners      map[string]Owner
}

// seen is a member with the local time of its newest heartbeat.
type seen struct {
	m    wire.Member
	beat wire.Beat
	at   time.Time
}

// Owner is the newest known owner of a group.
type Owner struct {
	Host  string
	Addr  string
	Epoch uint64

	notedAt time.Time // when the log named it; zero if it said so itself
}

// Peer is a live member with its newest heartbeat, brought up to the present.
type Peer struct {
	wire.Member
	CellNext int64         `json:"cellNext"`
	LogAge   time.Duration `json:"logAgeNs"` // since it read the end of the configuration from the log
}

// Report is what a host says about itself at a heartbeat.
type Report struct {
	Member   wire.Member // Boot, Version and the addresses are not used
	CellNext int64
	LogAge   time.Duration // since it read the end of the configuration from the log
}

// NewTable returns a table that knows only its own host.
func NewTable(cfg Config) *Table {
	t := &Table{cfg: cfg, self: cfg.Self, members: map[string]*seen{}, owners: map[string]Owner{}}
	t.self.Version = 1 // 0 stands for a description that was never received
	t.beat = wire.Beat{ID: cfg.Self.ID, Boot: cfg.Self.Boot, Version: t.self.Version}
	return t
}

// Beat raises the host's own heartbeat.
func (t *Table) Beat(r Report, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.beat.Beat++
	t.beat.CellNext, t.beat.LogAgeMs = r.CellNext, r.LogAge.Milliseconds()
	t.describe(r.Member, now)
	for id, s := range t.members {
		if now.Sub(s.at) > t.cfg.ForgetAfter {
			delete(t.members, id)
		}
	}
}

// describe takes a new description of this host, if it is due. The caller
// holds the lock.
func (t *Table) describe(m wire.Member, now time.Time) {
	m.ID, m.Addr, m.API, m.Az = t.self.ID, t.self.Addr, t.self.API, t.self.Az
	m.Boot, m.Version = t.self.Boot, t.self.Version
	due := now.Sub(t.describedAt) >= t.cfg.DescribeEvery && !reflect.DeepEqual(m, t.self)
	if !due && m.Leaving == t.self.Leaving && sameEpochs(m.Groups, t.self.Groups) && len(m.Pools) == len(t.self.Pools) {
		return
	}
	m.Version++
	t.self, t.describedAt = m, now
	t.beat.Version = m.Version
	t.learn(m)
}

func sameEpochs(a, b []wire.Duty) bool {
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

// Self returns the host's own description.
func (t *Table) Self() wire.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Message returns what to send to the peer at addr: all heartbeats, and this
// host's description if it does not know the peer. Known peers ask for a
// description by the version in their own heartbeats.
func (t *Table) Message(addr string, now time.Time) wire.GossipMsg {
	t.mu.Lock()
	defer t.mu.Unlock()
	msg := wire.GossipMsg{Beats: t.beats(now)}
	for _, s := range t.members {
		if s.m.Addr == addr {
			return msg
		}
	}
	msg.Members = []wire.Member{t.self}
	return msg
}

// Announcement returns this host's description alone, for the moment at which
// its groups have changed.
func (t *Table) Announcement() wire.GossipMsg {
	t.mu.Lock()
	defer t.mu.Unlock()
	return wire.GossipMsg{Beats: []wire.Beat{t.beat}, Members: []wire.Member{t.self}}
}

// beats lists the live members' heartbeats. Dead ones are left out, so that
// they are not passed round for ever. The caller holds the lock.
func (t *Table) beats(now time.Time) []wire.Beat {
	beats := []wire.Beat{t.beat}
	for _, s := range t.members {
		if t.alive(s, now) {
			beats = append(beats, s.present(now))
		}
	}
	return beats
}

// present returns the heartbeat with its ages brought up to the present.
func (s *seen) present(now time.Time) wire.Beat {
	b := s.beat
	b.LogAgeMs += now.Sub(s.at).Milliseconds()
	return b
}

// Merge takes a peer's message and returns the answer: the heartbeats and
// descriptions that the peer lacks.
func (t *Table) Merge(msg wire.GossipMsg, now time.Time) wire.GossipMsg {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range msg.Members {
		t.takeMember(m, now)
	}
	known := map[string]wire.Beat{}
	for _, b := range msg.Beats {
		known[b.ID] = b
		t.takeBeat(b, now)
	}
	var answer wire.GossipMsg
	add := func(m wire.Member, b wire.Beat) {
		k := known[b.ID]
		if b.Newer(k) {
			answer.Beats = append(answer.Beats, b)
		}
		if b.Boot > k.Boot || m.Version > k.Version {
			answer.Members = append(answer.Members, m)
		}
	}
	add(t.self, t.beat)
	for _, s := range t.members {
		if t.alive(s, now) {
			add(s.m, s.present(now))
		}
	}
	return answer
}

// takeMember enters a description, unless a newer one is known. A member that
// was not known counts as heard now.
func (t *Table) takeMember(m wire.Member, now time.Time) {
	if m.ID == t.self.ID {
		return
	}
	s := t.members[m.ID]
	if s != nil && !m.Newer(s.m) {
		return
	}
	if s == nil || m.Boot > s.m.Boot {
		s = &seen{at: now, beat: wire.Beat{ID: m.ID, Boot: m.Boot}}
		t.members[m.ID] = s
	}
	s.m, s.beat.Version = m, m.Version
	t.learn(m)
}

// takeBeat enters a heartbeat of a member whose description is known.
func (t *Table) takeBeat(b wire.Beat, now time.Time) {
	s := t.members[b.ID]
	if s == nil || b.Boot != s.m.Boot || !b.Newer(s.beat) {
		return
	}
	b.Version = s.m.Version
	s.beat, s.at = b, now
}

// learn notes the member's groups. The highest epoch wins, because only one
// host ever held it.
func (t *Table) learn(m wire.Member) {
	for _, d := range m.Groups {
		if o, ok := t.owners[d.Group]; !ok || d.Epoch >= o.Epoch {
			t.owners[d.Group] = Owner{Host: m.ID, Addr: m.Addr, Epoch: d.Epoch}
		}
	}
}

func (t *Table) alive(s *seen, now time.Time) bool { return now.Sub(s.at) <= t.cfg.SuspectAfter }

// Note enters the holder of a group that the log names. A host that has just
// claimed a group has not yet told its peers, so it counts as alive for a while.
func (t *Table) Note(group string, o Owner, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old, ok := t.owners[group]; ok && old.Epoch >= o.Epoch {
		return
	}
	o.notedAt = now
	t.owners[group] = o
}

// Owner returns the newest known owner of a group, alive or not.
func (t *Table) Owner(group string) (Owner, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.owners[group]
	return o, ok
}

// Live returns the members that are alive and not leaving, this host included,
// sorted by id.
func (t *Table) Live(now time.Time) []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Peer
	add := func(m wire.Member, b wire.Beat) {
		if !m.Leaving {
			list = append(list, Peer{Member: m, CellNext: b.CellNext, LogAge: time.Duration(b.LogAgeMs) * time.Millisecond})
		}
	}
	add(t.self, t.beat)
	for _, s := range t.members {
		if t.alive(s, now) {
			add(s.m, s.present(now))
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Holds reports whether a live member, leaving or not, says that it owns the
// group at the newest known epoch.
func (t *Table) Holds(group string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.owners[group]
	if !ok {
		return false
	}
	if now.Sub(o.notedAt) <= t.cfg.SuspectAfter/2 {
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

// Silence reports how the table's members stand towards the log: whether some
// member that has not left is silent, and the lowest age of the configuration
// among those that are heard, this host excluded.
func (t *Table) Silence(now time.Time) (silent bool, freshest time.Duration, heard int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	freshest = time.Duration(1<<63 - 1)
	for _, s := range t.members {
		if s.m.Leaving {
			continue
		}
		if !t.alive(s, now) {
			silent = true
			continue
		}
		heard++
		freshest = min(freshest, time.Duration(s.present(now).LogAgeMs)*time.Millisecond)
	}
	return silent, freshest, heard
}

// Pick returns up to n addresses of random live members other than this host.
func (t *Table) Pick(n int, r *rand.Rand, now time.Time) []string {
	return t.pick(n, r, func(s *seen) bool { return t.alive(s, now) })
}

// silentOdds is one in how many exchanges tries a silent member too.
const silentOdds = 8

// Partners returns whom to exchange messages with in one round: a live member,
// and now and then a silent one, always if none is alive. Without it two sides of
// a split that has healed would never hear of each other.
func (t *Table) Partners(r *rand.Rand, now time.Time) []string {
	addrs := t.Pick(1, r, now)
	if len(addrs) == 0 || r.IntN(silentOdds) == 0 {
		addrs = append(addrs, t.pick(1, r, func(s *seen) bool { return !t.alive(s, now) })...)
	}
	return addrs
}

// pick returns up to n addresses of random members that match.
func (t *Table) pick(n int, r *rand.Rand, match func(*seen) bool) []string {
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

// Order returns the members in the order in which they should own the group:
// those of the group's availability zone first, and within each part by
// rendezvous hash. When one host goes, only its groups move.
func Order(group, az string, live []Peer) []Peer {
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
