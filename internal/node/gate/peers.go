package gate

import (
	"sort"
	"time"
)

// peer is another entry host as this one has heard of it.
type peer struct {
	addr    string
	az      string
	host    string
	heard   time.Time // when it answered last
	leaving bool
	epoch   int64
	owner   string
	heardBy time.Duration // age of its contact with the owner, when it answered
	site    int64
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
	forgetPeer   = 60 * time.Second
	livePeer     = 900 * time.Millisecond
	firstPings   = 250 * time.Millisecond // to hear of an owner before the first claim
)

// contest is what decides whether a host should claim the ownership.
type contest struct {
	self    string
	now     time.Time
	silent  time.Duration // since the owner was heard
	peers   []peer
	grows   bool // the jobs' topic has grown lately, so an owner lives
	invited bool // the owner has asked this host to take over
}

// shouldClaim decides whether this host claims the ownership now. Hosts take
// turns by address, so that usually one claims; the store decides between two.
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
	live := []string{c.self}
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
			live = append(live, p.addr)
		}
	}
	if known > 0 && len(live) == 1 {
		return c.silent > aloneAfter && !c.grows
	}
	sort.Strings(live)
	rank := sort.SearchStrings(live, c.self)
	return c.silent >= suspectAfter+time.Duration(rank)*claimStagger
}
