package gate

import (
	"sort"
	"time"
)

// peer is the state of another entry host, from its heartbeats.
type peer struct {
	addr    string
	az      string
	heard   time.Time // last heartbeat; zero if there was none
	leaving bool
	power   int64 // millicores
	owner   string
	heardBy time.Duration // age of its last contact with the owner at that heartbeat
	storeOK bool
}

// ownerInfo is the current owner of the jobs as seen by this host.
type ownership struct {
	epoch int64
	addr  string
	heard time.Time // last contact with the owner, direct or reported by a peer
}

// Intervals and timeouts of membership and election.
const (
	pingEvery    = 200 * time.Millisecond
	pingTimeout  = 500 * time.Millisecond
	suspectAfter = 800 * time.Millisecond // four heartbeats
	claimStagger = 400 * time.Millisecond // longer than a claim takes
	ownerFresh   = 700 * time.Millisecond // a peer's contact with the owner within this time prevents a claim
	aloneAfter   = 2500 * time.Millisecond
	forgetPeer   = 60 * time.Second // peers silent for longer are pinged less often
	livePeer     = 900 * time.Millisecond
	firstPings   = 250 * time.Millisecond // time to find the owner before the first claim
)

// election holds the inputs of the decision to claim ownership.
type contest struct {
	self    string
	power   int64 // millicores of this host
	now     time.Time
	silent  time.Duration // since the last contact with the owner
	peers   []peer
	grows   bool // the job topic has grown recently, so there is a live owner
	invited bool // the owner has asked this host to take over
}

// shouldClaim reports whether this host should claim ownership now. The delay
// before a claim depends on rankOf, so that usually only one host claims. The
// store decides between concurrent claims.
//
// A host without contact to any peer may be the isolated one. It claims only after
// isolatedClaimDelay, and only if the topic has not grown recently.
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

// rankOf returns a host's position in the takeover order. The most powerful host
// is first, since a small host cannot handle the orders of a large fleet.
func rankOf(self string, hosts []peer) int {
	byPower(hosts)
	for i, p := range hosts {
		if p.addr == self {
			return i
		}
	}
	return len(hosts)
}

// sortByPower sorts hosts by descending power, then by address.
func byPower(hosts []peer) {
	sort.Slice(hosts, func(a, b int) bool {
		if hosts[a].power != hosts[b].power {
			return hosts[a].power > hosts[b].power
		}
		return hosts[a].addr < hosts[b].addr
	})
}

// recentPeerAge is the maximum age of the last heartbeat of a peer that counts as
// live outside an election: two rounds of heartbeats to all peers.
const recentPeer = 2 * pingAllEvery * pingEvery

// isActive reports whether the peer is live and not shutting down.
func (p peer) stays(now time.Time) bool { return !p.leaving && now.Sub(p.heard) < recentPeer }

// handoverCandidates returns the addresses of the active peers, the most
// powerful first.
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

// standbyHosts is the number of hosts besides the owner that keep a replica of the
// job records: one more than the number of simultaneous host failures to tolerate.
// Any other host reads all records when it claims.
const warmCopies = 3

// isStandby reports whether a host is among the first standbyHosts in the takeover
// order. Only these hosts read the job records: on a 10 Mbit/s link, reading them
// twice per second delays other traffic by 140 ms. If fresh is set, this host has
// just started, and peers without a heartbeat count as live.
func inLine(self peer, owner string, peers []peer, fresh bool, now time.Time) bool {
	list := []peer{self}
	for _, p := range peers {
		if p.addr != owner && (p.stays(now) || fresh && p.heard.IsZero()) {
			list = append(list, p)
		}
	}
	return rankOf(self.addr, list) < warmCopies
}

// handoverPowerRatio is the minimum ratio of a host's power to the owner's power
// for a handover to that host.
const muchStronger = 2

// strongerPeer returns the most powerful live peer if the owner should hand over to
// it.
func successor(power int64, peers []peer, now time.Time) (addr string, ok bool) {
	var best peer
	for _, p := range peers {
		if now.Sub(p.heard) < livePeer && !p.leaving && p.storeOK && (p.power > best.power || p.power == best.power && p.addr < best.addr) {
			best = p
		}
	}
	return best.addr, best.power >= muchStronger*max(power, 1)
}
