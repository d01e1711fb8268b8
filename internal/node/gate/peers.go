package gate

import (
	"sort"
	"time"
)

// peer is the state of another entry host, from its registration and its pings.
type peer struct {
	addr        string
	az          string
	lastContact time.Time // last ping or answer from it; zero if there was none
	leaving     bool
	cpuMillis   int64         // CPU limit in millicores
	ownerAddr   string        // owner according to its last ping
	ownerAge    time.Duration // time since its last contact with the owner, as of its last ping
	storeOK     bool
	convertsIDs bool // a host of an earlier version that converts job IDs to lower case
}

// ownerInfo is the current owner of the jobs as seen by this host.
type ownerInfo struct {
	epoch       int64
	addr        string
	lastContact time.Time // last contact with the owner, direct or reported by a peer
}

// Intervals and timeouts of pings and of the election.
const (
	pingInterval       = 200 * time.Millisecond
	pingTimeout        = 500 * time.Millisecond
	suspectAfter       = 800 * time.Millisecond  // without contact for this long, the owner is considered dead: four pings
	claimStagger       = 400 * time.Millisecond  // delay between neighbors in the takeover order; longer than a claim usually takes
	ownerContactWindow = 700 * time.Millisecond  // a peer's contact with the owner within this time prevents a claim
	isolatedClaimDelay = 2500 * time.Millisecond // silence of the owner after which a host without contact to any peer may claim
	silentPeerAge      = 60 * time.Second        // peers silent for longer are pinged less often
	livePeerAge        = 900 * time.Millisecond  // maximum age of the last ping of a peer that counts in an election or in morePowerfulPeer
	startupPingWait    = 250 * time.Millisecond  // time to find the owner before the first claim
)

// election holds the inputs of the decision to claim ownership.
type election struct {
	self           string
	cpuMillis      int64 // CPU limit of this host in millicores
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
func (e election) shouldClaim() bool {
	if e.claimRequested {
		return true
	}
	if e.ownerSilence < suspectAfter {
		return false
	}
	live := []peer{{addr: e.self, cpuMillis: e.cpuMillis}}
	known := 0
	for _, p := range e.peers {
		known++
		if e.now.Sub(p.lastContact) > livePeerAge {
			continue
		}
		if p.ownerAddr != "" && p.ownerAge < ownerContactWindow && p.ownerAddr != e.self {
			return false
		}
		if !p.leaving {
			live = append(live, p)
		}
	}
	if known > 0 && len(live) == 1 {
		return e.ownerSilence > isolatedClaimDelay && !e.topicGrows
	}
	return e.ownerSilence >= suspectAfter+time.Duration(rankOf(e.self, live))*claimStagger
}

// rankOf sorts hosts by the takeover order and returns a host's position in it. The
// host with the most CPU is first, since one with little CPU cannot handle the
// orders of a large fleet.
func rankOf(self string, hosts []peer) int {
	sortByCPU(hosts)
	for i, p := range hosts {
		if p.addr == self {
			return i
		}
	}
	return len(hosts)
}

// sortByCPU sorts hosts by descending CPU limit, then by address.
func sortByCPU(hosts []peer) {
	sort.Slice(hosts, func(a, b int) bool {
		if hosts[a].cpuMillis != hosts[b].cpuMillis {
			return hosts[a].cpuMillis > hosts[b].cpuMillis
		}
		return hosts[a].addr < hosts[b].addr
	})
}

// recentPeerAge is the maximum age of the last ping of an active peer: two rounds of
// pings to all peers. Elections, and handovers to a more powerful host, use
// livePeerAge instead.
const recentPeerAge = 2 * pingAllRounds * pingInterval

// isActive reports whether the last ping of the peer is newer than recentPeerAge and
// the peer is not shutting down.
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
	sortByCPU(list)
	for _, p := range list {
		addrs = append(addrs, p.addr)
	}
	return addrs
}

// standbyCount is the number of hosts besides the owner that keep a replica of the
// job records: one more than the number of simultaneous host failures to tolerate.
// Any other host reads all records when it claims.
const standbyCount = 3

// isStandby reports whether a host is among the first standbyCount in the takeover
// order. Only these hosts read the job records: on a 10 Mbit/s link, reading them
// twice per second delays other traffic by 140 ms. If justStarted is set, peers that
// have not sent a ping yet count as active.
func isStandby(self peer, owner string, peers []peer, justStarted bool, now time.Time) bool {
	list := []peer{self}
	for _, p := range peers {
		if p.addr != owner && (p.isActive(now) || justStarted && p.lastContact.IsZero()) {
			list = append(list, p)
		}
	}
	return rankOf(self.addr, list) < standbyCount
}

// handoverCPURatio is the minimum ratio of a host's CPU limit to the owner's for a
// handover to that host.
const handoverCPURatio = 2

// morePowerfulPeer returns the peer with the most CPU, and whether the owner should
// hand over to it. It considers only peers whose last ping is newer than
// livePeerAge, that reach the store and that are not shutting down.
func morePowerfulPeer(ownerCPUMillis int64, peers []peer, now time.Time) (addr string, ok bool) {
	var best peer
	for _, p := range peers {
		if now.Sub(p.lastContact) < livePeerAge && !p.leaving && p.storeOK && (p.cpuMillis > best.cpuMillis || p.cpuMillis == best.cpuMillis && p.addr < best.addr) {
			best = p
		}
	}
	return best.addr, best.cpuMillis >= handoverCPURatio*max(ownerCPUMillis, 1)
}
