package peers

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/node/wire"
)

const (
	suspectAfter           = 2 * time.Second
	minDescriptionInterval = time.Second
	interval               = 250 * time.Millisecond
)

// testNetwork simulates a cluster: it contains a table for each host, and the tables
// exchange messages in rounds.
type testNetwork struct {
	now          time.Time
	tables       []*Table
	dead         map[int]bool
	r            *rand.Rand
	descriptions int // number of descriptions exchanged
	split        int // hosts with a lower index are partitioned from the others; 0 for no partition
}

func addrOf(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

func newTestNetwork(n int) *testNetwork {
	w := &testNetwork{now: time.Unix(1000, 0), dead: map[int]bool{}, r: rand.New(rand.NewPCG(1, 2))}
	for i := range n {
		w.tables = append(w.tables, NewTable(Config{
			Self:         wire.Member{ID: fmt.Sprint("e", i), Addr: addrOf(i), Az: fmt.Sprint("az", i%3), Boot: 1},
			SuspectAfter: suspectAfter, ForgetAfter: time.Minute, MinDescriptionInterval: minDescriptionInterval,
		}))
	}
	return w
}

// round advances the clock by one interval. Every live host increments its heartbeat
// and exchanges messages with its gossip partners, or with the first host if it has
// none.
func (w *testNetwork) round() {
	w.now = w.now.Add(interval)
	for i, t := range w.tables {
		if w.dead[i] {
			continue
		}
		t.AdvanceHeartbeat(LocalState{Member: wire.Member{Groups: t.Self().Groups}}, w.now)
		addrs := t.GossipPartners(w.r, w.now)
		if len(addrs) == 0 && i > 0 {
			addrs = []string{addrOf(0)}
		}
		for _, addr := range addrs {
			w.exchange(t, addr)
		}
	}
}

// exchange exchanges messages between t and the host at addr, if the host is alive and
// reachable.
func (w *testNetwork) exchange(t *Table, addr string) {
	for j, peer := range w.tables {
		if addrOf(j) != addr || w.dead[j] || w.partitioned(t, peer) {
			continue
		}
		msg := t.Message(addr, w.now)
		answer := peer.Merge(msg, w.now)
		t.Merge(answer, w.now)
		w.descriptions += len(msg.Members) + len(answer.Members)
	}
}

// partitioned reports whether a and b are on different sides of the partition.
func (w *testNetwork) partitioned(a, b *Table) bool {
	var low, high bool
	for i, t := range w.tables {
		if t == a || t == b {
			low, high = low || i < w.split, high || i >= w.split
		}
	}
	return low && high
}

// TestHealedPartition partitions the hosts for longer than SuspectAfter. After the
// partition has healed, both sides must find each other again, even if only the seed
// host was cut off. Package entry tests the same failure with real hosts in
// TestCutOffHost.
func TestHealedPartition(t *testing.T) {
	for _, split := range []int{1, 2, 4} {
		w := newTestNetwork(8)
		for range 20 {
			w.round()
		}
		w.split = split
		for range 40 {
			w.round()
		}
		assert.Equal(t, len(w.tables[0].Live(w.now)), split)
		w.split = 0
		for range 40 {
			w.round()
		}
		for i, tab := range w.tables {
			assert.Equal(t, len(tab.Live(w.now)), 8, "split %d, host %d", split, i)
		}
	}
}

// TestSpread checks that all hosts discover each other through one seed host, and that
// afterwards only heartbeats are exchanged and no descriptions.
func TestSpread(t *testing.T) {
	w := newTestNetwork(40)
	rounds := 0
	for complete := false; !complete; rounds++ {
		w.round()
		complete = true
		for _, tab := range w.tables {
			complete = complete && len(tab.Live(w.now)) == 40
		}
		assert.Assert(t, rounds < 20, "not all hosts discovered after %d rounds", rounds)
	}
	for range 20 {
		w.round()
	}
	w.descriptions = 0
	for range 20 {
		w.round()
		for _, tab := range w.tables {
			assert.Equal(t, len(tab.Live(w.now)), 40, "a live host counts as dead")
		}
	}
	assert.Equal(t, w.descriptions, 0)
}

// TestHostFailure checks that all hosts detect a failed host within SuspectAfter and the rounds
// that gossip needs, and accept the host again after a restart with a higher Boot.
func TestHostFailure(t *testing.T) {
	w := newTestNetwork(8)
	for range 20 {
		w.round()
	}
	w.dead[3] = true
	failedAt := w.now
	for detected := false; !detected; {
		w.round()
		detected = true
		for i, tab := range w.tables {
			detected = detected && (w.dead[i] || len(tab.Live(w.now)) == 7)
		}
		assert.Assert(t, w.now.Sub(failedAt) < suspectAfter+10*interval, "not detected after %s", w.now.Sub(failedAt))
	}
	suspected, _, live := w.tables[0].PeerSummary(w.now)
	assert.Assert(t, suspected)
	assert.Equal(t, live, 6)
	w.dead[3] = false
	w.tables[3] = NewTable(Config{
		Self:         wire.Member{ID: "e3", Addr: addrOf(3), Boot: 2},
		SuspectAfter: suspectAfter, ForgetAfter: time.Minute, MinDescriptionInterval: minDescriptionInterval,
	})
	for range 20 {
		w.round()
	}
	for _, tab := range w.tables {
		assert.Equal(t, len(tab.Live(w.now)), 8)
	}
}

// TestOwners checks that the owner with the highest epoch wins regardless of the order
// of messages, and that an owner that was read from the log counts as live for a
// limited time without announcing itself.
func TestOwners(t *testing.T) {
	w := newTestNetwork(1)
	tab := w.tables[0]
	ownedGroup := func(epoch uint64) []wire.GroupInfo { return []wire.GroupInfo{{Group: "g", Epoch: epoch}} }
	tab.Merge(wire.GossipMsg{Members: []wire.Member{{ID: "x", Addr: "x:1", Boot: 1, Version: 1, Groups: ownedGroup(5)}}}, w.now)
	tab.Merge(wire.GossipMsg{Members: []wire.Member{{ID: "y", Addr: "y:1", Boot: 1, Version: 1, Groups: ownedGroup(4)}}}, w.now)
	o, ok := tab.Owner("g")
	assert.Assert(t, ok)
	assert.Equal(t, o.Host, "x")
	assert.Assert(t, tab.HasLiveOwner("g", w.now))
	later := w.now.Add(suspectAfter + time.Millisecond)
	assert.Assert(t, !tab.HasLiveOwner("g", later), "an owner without heartbeats counts as live")
	tab.RecordClaim("g", Owner{Host: "z", Addr: "z:1", Epoch: 6}, later)
	assert.Assert(t, tab.HasLiveOwner("g", later))
	tab.RecordClaim("g", Owner{Host: "old", Epoch: 5}, later)
	o, _ = tab.Owner("g")
	assert.Equal(t, o.Host, "z")
	assert.Assert(t, !tab.HasLiveOwner("g", later.Add(suspectAfter)), "an owner that never announced itself still counts as live")
}

// TestOrder checks that hosts in the group's availability zone come first, and that the
// failure of a host moves only its own groups.
func TestOrder(t *testing.T) {
	w := newTestNetwork(9)
	for range 20 {
		w.round()
	}
	live := w.tables[0].Live(w.now)
	rest := append(append([]Peer(nil), live[:4]...), live[5:]...)
	for i := range 50 {
		name, az := fmt.Sprint("g", i), fmt.Sprint("az", i%3)
		order := PreferenceOrder(name, az, live)
		assert.Equal(t, order[0].Az, az)
		if order[0].ID != live[4].ID {
			assert.Equal(t, PreferenceOrder(name, az, rest)[0].ID, order[0].ID)
		}
	}
}
