package gate

import (
	"sort"
	"time"
)

// peer is another entry host as this one has heard of it.
type peer struct {
	addr    string
	az      string
	heard   time.Time // when it answered last
	leaving bool
	power   int64 // millicores
	owner   string
	heardBy time.Duration // age of its contact with the owner, when it answered
	storeOK bool
}

// ownership is what this host believes about the owner of the jobs.
type ownership struct {
	epoch int64
	addr  string
	heard time.Time // when the owner answered last, or was announced
}

// Timing of membership.
const (
	pingEvery    = 200 * time.Millisecond
	pingTimeout  = 500 * time.Millisecond
	suspectAfter = 800 * time.Millisecond // four heartbeats
	claimStagger = 400 * time.Millisecond // longer than a claim takes
	ownerFresh   = 700 * time.Millisecond // a peer that has heard the owner since then speaks against a claim
	aloneAfter   = 2500 * time.Millisecond
	forgetPeer   = 60 * time.Second // a host that has been silent for longer is asked less often
	livePeer     = 900 * time.Millisecond
	firstPings   = 250 * time.Millisecond // to hear of an owner before the first claim
)

// contest is what decides whether a host should claim the ownership.
type contest struct {
	self    string
	power   int64 // millicores of this host
	now     time.Time
	silent  time.Duration // since the owner was heard
	peers   []peer
	grows   bool // the jobs' topic has grown lately, so an owner lives
	invited bool // the owner has asked this host to take over
}

// shouldClaim decides whether this host claims the ownership now. Hosts take
// turns by rankOf, so that usually one claims; the store decides between two.
//
// A host that hears no peer at all may itself be the one that is cut off. It
// claims only if nobody has written to the topic for a while.
func (c contest) shouldClaim() bool {
	if c.invited {
		return true
	}
	if c.silent < suspectAfter {
		return false
	}
	live := []peer{{addr: c.self, power: c.power}}
	known := 0
	for _, p := range c.peers {
		known++
		if c.now.Sub(p.heard) > livePeer {
			continue
		}
		if p.owner != "" && p.heardBy < ownerFresh && p.owner != c.self {
			return false
		}
		if !p.leaving {
			live = append(live, p)
		}
	}
	if known > 0 && len(live) == 1 {
		return c.silent > aloneAfter && !c.grows
	}
	return c.silent >= suspectAfter+time.Duration(rankOf(c.self, live))*claimStagger
}

// rankOf returns a host's place among those that could own the jobs, the most
// powerful first: a small host cannot carry the orders of a large fleet.
func rankOf(self string, hosts []peer) int {
	byPower(hosts)
	for i, p := range hosts {
		if p.addr == self {
			return i
		}
	}
	return len(hosts)
}

// byPower orders hosts by power, and by address where that is alike.
func byPower(hosts []peer) {
	sort.Slice(hosts, func(a, b int) bool {
		if hosts[a].power != hosts[b].power {
			return hosts[a].power > hosts[b].power
		}
		return hosts[a].addr < hosts[b].addr
	})
}

// recentPeer is how long ago a peer may have been heard to count as living
// where nothing is suspected: two rounds in which all peers are asked.
const recentPeer = 2 * pingAllEvery * pingEvery

// stays reports whether the peer lives and is not ending.
func (p peer) stays(now time.Time) bool { return !p.leaving && now.Sub(p.heard) < recentPeer }

// heirs returns the hosts that could take the jobs over, the most powerful
// first. A host that is ending itself is none.
func heirs(peers []peer, now time.Time) (addrs []string) {
	var list []peer
	for _, p := range peers {
		if p.stays(now) {
			list = append(list, p)
		}
	}
	byPower(list)
	for _, p := range list {
		addrs = append(addrs, p.addr)
	}
	return addrs
}

// warmCopies is how many hosts besides the owner keep a copy of the records:
// one more than the hosts whose loss at once is to be borne today. A host
// without one reads everything when its turn comes.
const warmCopies = 3

// inLine reports whether a host is among those that would take over next. Only
// they follow the records: on a link of 10 Mbit/s, reading them twice a second
// holds up everything else for 140 ms. With fresh set this host has only begun,
// and peers that it has not asked yet count as living.
func inLine(self peer, owner string, peers []peer, fresh bool, now time.Time) bool {
	list := []peer{self}
	for _, p := range peers {
		if p.addr != owner && (p.stays(now) || fresh && p.heard.IsZero()) {
			list = append(list, p)
		}
	}
	return rankOf(self.addr, list) < warmCopies
}

// muchStronger is how many times as powerful a host must be for a weaker owner
// to hand the jobs over to it.
const muchStronger = 2

// successor returns the host to which an owner should hand over, if any.
func successor(power int64, peers []peer, now time.Time) (addr string, ok bool) {
	var best peer
	for _, p := range peers {
		if now.Sub(p.heard) < livePeer && !p.leaving && p.storeOK && (p.power > best.power || p.power == best.power && p.addr < best.addr) {
			best = p
		}
	}
	return best.addr, best.power >= muchStronger*max(power, 1)
}
