package gate

import (
	"sort"
	"time"
)

// peer is the state of another entry host, from its heartbeats.
type peer struct {
	addr        string
	az          string
	lastContact time.Time // last heartbeat; zero if there was none
	leaving     bool
	power       int64 // millicores
	ownerAddr   string
	ownerAge    time.Duration // age of its last contact with the owner at that heartbeat
	storeOK     bool
}

// ownerInfo is the current owner of the jobs as seen by this host.
type ownerInfo struct {
	epoch       int64
	addr        string
	lastContact time.Time // last contact with the owner, direct or reported by a peer
}

// Intervals and timeouts of membership and election.
const (
	pingInterval       = 200 * time.Millisecond
	pingTimeout        = 500 * time.Millisecond
	suspectAfter       = 800 * time.Millisecond // four heartbeats
	claimStagger       = 400 * time.Millisecond // longer than a claim takes
	ownerContactWindow = 700 * time.Millisecond // a peer's contact with the owner within this time prevents a claim
	isolatedClaimDelay = 2500 * time.Millisecond
	silentPeerAge      = 60 * time.Second // peers silent for longer are pinged less often
	livePeerAge        = 900 * time.Millisecond
	startupPingWait    = 250 * time.Millisecond // time to find the owner before the first claim
)

// election holds the inputs of the decision to claim ownership.
type election struct {
	self           string
	power          int64 // millicores of this host
	now            time.Time
	ownerSilence   time.Duration // since the last contact with the owner
	peers          []peer
	topicGrows     bool // the job topic has grown recently, so there is a live owner
	claimRequested bool // the owner has asked this host to take over
}

// shouldClaim reports whether this host should claim ownership now. The delay
// before a claim depends on rankOf, so that usually only one host claims. The
// store decides between concurrent claims.
//
// A host without contact to any peer may be the isolated one. It claims only after
// isolatedClaimDelay, and only if the topic has not grown recently.
func (c election) shouldClaim() bool {
	if c.claimRequested {
		return true
	}
	if c.ownerSilence < suspectAfter {
		return false
	}
	live := []peer{{addr: c.self, power: c.power}}
	known := 0
	for _, p := range c.peers {
		known++
		if c.now.Sub(p.lastContact) > livePeerAge {
			continue
		}
		if p.ownerAddr != "" && p.ownerAge < ownerContactWindow && p.ownerAddr != c.self {
			return false
		}
		if !p.leaving {
			live = append(live, p)
		}
	}
	if known > 0 && len(live) == 1 {
		return c.ownerSilence > isolatedClaimDelay && !c.topicGrows
	}
	return c.ownerSilence >= suspectAfter+time.Duration(rankOf(c.self, live))*claimStagger
}

// rankOf returns a host's position in the takeover order. The most powerful host
// is first, since a small host cannot handle the orders of a large fleet.
func rankOf(self string, hosts []peer) int {
	sortByPower(hosts)
	for i, p := range hosts {
		if p.addr == self {
			return i
		}
	}
	return len(hosts)
}

// sortByPower sorts hosts by descending power, then by address.
func sortByPower(hosts []peer) {
	sort.Slice(hosts, func(a, b int) bool {
		if hosts[a].power != hosts[b].power {
			return hosts[a].power > hosts[b].power
		}
		return hosts[a].addr < hosts[b].addr
	})
}

// recentPeerAge is the maximum age of the last heartbeat of a peer that counts as
// live outside an election: two rounds of heartbeats to all peers.
const recentPeerAge = 2 * pingAllRounds * pingInterval

// isActive reports whether the peer is live and not shutting down.
func (p peer) isActive(now time.Time) bool {
	return !p.leaving && now.Sub(p.lastContact) < recentPeerAge
}

// handoverCandidates returns the addresses of the active peers, the most
// powerful first.
func handoverCandidates(peers []peer, now time.Time) (addrs []string) {
	var list []peer
	for _, p := range peers {
		if p.isActive(now) {
			list = append(list, p)
		}
	}
	sortByPower(list)
	for _, p := range list {
		addrs = append(addrs, p.addr)
	}
	return addrs
}

// standbyHosts is the number of hosts besides the owner that keep a replica of the
// job records: one more than the number of simultaneous host failures to tolerate.
// Any other host reads all records when it claims.
const standbyHosts = 3

// isStandby reports whether a host is among the first standbyHosts in the takeover
// order. Only these hosts read the job records: on a 10 Mbit/s link, reading them
// twice per second delays other traffic by 140 ms. If fresh is set, this host has
// just started, and peers without a heartbeat count as live.
func isStandby(self peer, owner string, peers []peer, fresh bool, now time.Time) bool {
	list := []peer{self}
	for _, p := range peers {
		if p.addr != owner && (p.isActive(now) || fresh && p.lastContact.IsZero()) {
			list = append(list, p)
		}
	}
	return rankOf(self.addr, list) < standbyHosts
}

// handoverPowerRatio is the minimum ratio of a host's power to the owner's power
// for a handover to that host.
const handoverPowerRatio = 2

// strongerPeer returns the most powerful live peer if the owner should hand over to
// it.
func strongerPeer(power int64, peers []peer, now time.Time) (addr string, ok bool) {
	var best peer
	for _, p := range peers {
		if now.Sub(p.lastContact) < livePeerAge && !p.leaving && p.storeOK && (p.power > best.power || p.power == best.power && p.addr < best.addr) {
			best = p
		}
	}
	return best.addr, best.power >= handoverPowerRatio*max(power, 1)
}
