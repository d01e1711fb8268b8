package main

import (
	"flag"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lagooncourse/internal/plat/fakes"
	"lagooncourse/platform"
)

// The flags of TestCancelledRunsEndAfterRandomTrouble.
var (
	cancelSeeds = flag.Int("cancel.seeds", 1, "number of seeds")
	cancelFirst = flag.Int64("cancel.first", 1, "first seed")
)

// Times of a random play.
const (
	cancelAtOnce   = 4               // plays at the same time
	cancelFaults   = 5 * time.Second // in which faults begin and jobs are cancelled
	cancelFaultGap = 700 * time.Millisecond
	cancelSlowest  = 1200 * time.Millisecond // a listing of the registry
)

// TestCancelledRunsEndAfterRandomTrouble guards against runs that go on after their job was
// cancelled, after random faults that overlap. A seed gives the same sequence again.
func TestCancelledRunsEndAfterRandomTrouble(t *testing.T) {
	for n := 0; n < *cancelSeeds; n += cancelAtOnce {
		t.Run(fmt.Sprint("batch", n/cancelAtOnce), func(t *testing.T) {
			for seed := *cancelFirst + int64(n); seed < *cancelFirst+int64(min(n+cancelAtOnce, *cancelSeeds)); seed++ {
				p := &cancelPlay{soak: newSoak(t, seed)}
				t.Cleanup(p.end)
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					t.Parallel()
					p.t = t
					p.playRandom()
					if t.Failed() {
						t.Logf("%s", strings.Join(p.events, "\n"))
						p.keep(seed, p.findings)
					}
				})
			}
		})
	}
}

func (p *cancelPlay) playRandom() {
	p.startJobs(false)
	var cancels sync.WaitGroup
	for i := range cancelJobs {
		pause, at := time.Duration(p.rand.Int63n(int64(cancelFaults))), p.rand.Intn(len(p.hosts))
		cancels.Add(1)
		go func() {
			defer cancels.Done()
			time.Sleep(pause)
			p.request(append(p.hosts[at:len(p.hosts):len(p.hosts)], p.hosts[:at]...), i, http.MethodDelete, nil)
			p.ackedMs[i] = p.nowMs()
			p.event("job %s is cancelled", cancelJobID(i))
		}()
	}
	for end := time.Now().Add(cancelFaults); time.Now().Before(end); {
		p.randomFault()
		time.Sleep(time.Duration(p.rand.Int63n(int64(cancelFaultGap))))
	}
	p.clients.Wait() // all faults are undone
	p.heal()
	p.calmMs = p.nowMs() + soakContact.Milliseconds()
	p.event("calm")
	cancels.Wait()
	for p.fleet.LateStarts() > 0 || p.nowMs() <= p.latestEndMs() {
		time.Sleep(100 * time.Millisecond)
	}
	p.check()
}

// randomFault brings about one of the soak's faults, or one of those that lose stops.
func (p *cancelPlay) randomFault() {
	undo := func(f func()) {
		d := time.Duration(p.rand.Int63n(int64(soakLongest)))
		p.clients.Add(1)
		go func() {
			defer p.clients.Done()
			time.Sleep(d)
			f()
		}()
	}
	switch p.rand.Intn(8) {
	case 0:
		h := p.claimer()
		p.event("the owner %s is killed", h.ip)
		h.signal(syscall.SIGKILL, true)
		undo(func() { p.startHost(h) })
	case 1:
		for i, id := range p.fleet.IDs() {
			if p.rand.Intn(2) == 0 {
				x, restarts := p.execs[i], p.rand.Intn(4) == 0
				p.event("worker %s is silent, restarts %v", id, restarts)
				p.fleet.SetUnreachable(id, true)
				undo(func() {
					if restarts {
						x.Reboot()
					}
					p.fleet.SetUnreachable(id, false)
				})
			}
		}
	case 2:
		d := time.Duration(p.rand.Int63n(int64(cancelSlowest)))
		p.event("listings of the registry take %s", d)
		p.store.SetFaults(fakes.StoreFaults{ListingDelay: map[string]time.Duration{platform.TopicWorkers: d}})
		undo(func() { p.store.SetFaults(fakes.StoreFaults{}) })
	case 3:
		id := p.fleet.IDs()[p.rand.Intn(len(p.execs))]
		p.event("the entry of %s lapses", id)
		p.fleet.SetUnlisted(id, true)
		p.store.Put(platform.TopicWorkers, id, nil)
		undo(func() { p.fleet.SetUnlisted(id, false) })
	case 4:
		p.event("stops and starts are late or lost")
		p.fleet.SetFaults(fakes.SimFleetFaults{Lost: 0.3, Late: 0.3, DeafOnce: p.rand.Intn(2) == 0})
		undo(func() { p.fleet.SetFaults(fakes.SimFleetFaults{}) })
	default:
		p.fault()
	}
}
