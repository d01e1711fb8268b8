// Package peers keeps the table of entry hosts: who is alive, who owns which
// group, and what each last said about its load.
//
// There is no agreement on membership and none is needed. The table decides
// only when to try a takeover and where to send a request; what keeps a wrong
// guess harmless are the epochs in the log and the fencing tokens at the
// workers. Each host raises its own heartbeat and exchanges tables with a few
// random peers at every interval, so the cost for each host does not grow with
// the square of their number. An exchange carries a digest of heartbeats and
// only those members that the other side lacks.
//
// # Usage
//
//	t := peers.NewTable(peers.Config{Self: member, SuspectAfter: 2 * time.Second})
//	t.Beat(func(m *wire.Member) { m.Groups = duties }, now)
//	answer := t.Merge(msg, now)
//	owner, ok := t.Owner("az1-0")
package peers

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lagooncourse/internal/node/wire"
)

// Config describes a Table.
type Config struct {
	Self         wire.Member
	SuspectAfter time.Duration // without a new heartbeat a member counts as dead
	ForgetAfter  time.Duration // then it disappears from the table
}

// Table is the table of one entry host.
type Table struct {
	cfg Config

	mu      sync.Mutex
	self    wire.Member
	members map[string]*seen // without self
	owners  map[string]Owner
}

// seen is a member with the local time of its newest heartbeat.
type seen struct {
	m  wire.Member
	at time.Time
}

// Owner is the newest known owner of a group.
type Owner struct {
	Host  string
	Addr  string
	Epoch uint64

	notedAt time.Time // when the log named it; zero if it said so itself
}

// NewTable returns a table that knows only its own host.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, self: cfg.Self, members: map[string]*seen{}, owners: map[string]Owner{}}
}

// Beat raises the host's own heartbeat after update has changed its entry.
func (t *Table) Beat(update func(*wire.Member), now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Beat++
	update(&t.self)
	t.learn(t.self)
	for id, s := range t.members {
		if now.Sub(s.at) > t.cfg.ForgetAfter {
			delete(t.members, id)
		}
	}
}

// Self returns the host's own entry.
func (t *Table) Self() wire.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Message returns what to send to a peer: the host's own entry and a digest.
func (t *Table) Message(now time.Time) wire.GossipMsg {
	t.mu.Lock()
	defer t.mu.Unlock()
	return wire.GossipMsg{Members: []wire.Member{t.self}, Digest: t.digest(now)}
}

// digest lists the live members' heartbeats. Dead ones are left out, so that
// they are not passed round for ever.
func (t *Table) digest(now time.Time) []wire.Beat {
	beats := []wire.Beat{{ID: t.self.ID, Boot: t.self.Boot, Beat: t.self.Beat}}
	for id, s := range t.members {
		if t.alive(s, now) {
			beats = append(beats, wire.Beat{ID: id, Boot: s.m.Boot, Beat: s.m.Beat})
		}
	}
	return beats
}

// Merge takes a peer's message and returns the answer: the members that the
// peer lacks.
func (t *Table) Merge(msg wire.GossipMsg, now time.Time) wire.GossipMsg {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range msg.Members {
		t.take(m, now)
	}
	known := map[string]wire.Beat{}
	for _, b := range msg.Digest {
		known[b.ID] = b
	}
	var answer wire.GossipMsg
	if newer(t.self, known[t.self.ID]) {
		answer.Members = append(answer.Members, t.self)
	}
	for id, s := range t.members {
		if t.alive(s, now) && newer(s.m, known[id]) {
			m := s.m
			m.CellAgeMs += now.Sub(s.at).Milliseconds()
			answer.Members = append(answer.Members, m)
		}
	}
	return answer
}

func newer(m wire.Member, b wire.Beat) bool {
	return m.Boot > b.Boot || m.Boot == b.Boot && m.Beat > b.Beat
}

// take enters a member, unless something newer is known.
func (t *Table) take(m wire.Member, now time.Time) {
	if m.ID == t.self.ID {
		return
	}
	s := t.members[m.ID]
	if s != nil && !newer(m, wire.Beat{Boot: s.m.Boot, Beat: s.m.Beat}) {
		return
	}
	t.members[m.ID] = &seen{m: m, at: now}
	t.learn(m)
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
func (t *Table) Live(now time.Time) []wire.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []wire.Member
	if !t.self.Leaving {
		list = append(list, t.self)
	}
	for _, s := range t.members {
		if t.alive(s, now) && !s.m.Leaving {
			list = append(list, s.m)
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
		age := time.Duration(s.m.CellAgeMs)*time.Millisecond + now.Sub(s.at)
		freshest = min(freshest, age)
	}
	return silent, freshest, heard
}

// Pick returns up to n addresses of random live members other than this host.
func (t *Table) Pick(n int, r *rand.Rand, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var addrs []string
	for _, s := range t.members {
		if t.alive(s, now) {
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
func Order(group, az string, live []wire.Member) []wire.Member {
	type ranked struct {
		m     wire.Member
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
	order := make([]wire.Member, len(list))
	for i, r := range list {
		order[i] = r.m
	}
	return order
}
