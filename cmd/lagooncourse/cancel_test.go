package main

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/base/polls"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/fakes"
	"lagooncourse/platform"
	"lagooncourse/platform/mock"
)

// Sizes and times of a cancelPlay.
const (
	cancelJobs      = 16
	cancelTasks     = 2                       // of each job
	cancelRunMs     = 30_000                  // outlasts the play
	cancelStartTime = 3 * time.Second         // a task of a cancelled job may still be started: cancel_ms
	cancelTrouble   = 1500 * time.Millisecond // from the loss of the owner until the workers answer again
	cancelListing   = 300 * time.Millisecond
	cancelStops     = 200 * time.Millisecond // until the stops of the cancelled jobs are sent
	cancelSilence   = 4 * time.Second        // in which late orders are carried out
	cancelFreeze    = 300 * time.Millisecond // for which a replaced owner does not read requests
	cancelSetUp     = 30 * time.Second       // until all jobs run
)

// cancelPlay cancels jobs while some of their workers do not answer, and loses the owner.
type cancelPlay struct {
	*soak
	owner  *soakHost // at the time of the cancelling
	silent []string  // workers that do not answer

	listing  time.Duration // until a listing of the registry is answered
	proxies  []*proxy      // between each host and the store
	cancelAt []*soakHost   // to which the cancelling is sent; others than the owner if nil

	ackedMs [cancelJobs]int64 // when the cancelling was acknowledged
	calmMs  int64             // contact time after the last fault
}

func cancelJobID(i int) string { return fmt.Sprintf("%016x", i+1) }

// cancelCase is a trouble at the time of the cancelling. The functions may be nil.
type cancelCase struct {
	name    string
	listing time.Duration       // until a listing of the registry is answered; cancelListing if 0, and at most when calm
	early   bool                // the jobs are cancelled as soon as they are accepted
	before  func(p *cancelPlay) // before the jobs are handed in
	cancel  func(p *cancelPlay) // before the jobs are cancelled, while the workers are silent
	lose    func(p *cancelPlay) // after that; the owner is killed if it is nil
	calm    func(p *cancelPlay) // when the workers answer again
}

func listingCase(d time.Duration) cancelCase {
	return cancelCase{name: fmt.Sprintf("registry listed after %s", d), listing: d}
}

// TestCancelledRunsEndAfterOwnerLoss guards against runs that go on after their job was
// cancelled, because the next owner gave up their stops before it knew their workers.
func TestCancelledRunsEndAfterOwnerLoss(t *testing.T) {
	playCancels(t, listingCase(60*time.Millisecond), listingCase(300*time.Millisecond), listingCase(1200*time.Millisecond))
}

// TestCancelledRunsEndAfterTrouble guards against runs that go on after their job was
// cancelled, after other faults at that time.
func TestCancelledRunsEndAfterTrouble(t *testing.T) {
	playCancels(t,
		cancelCase{name: "two owners lost", lose: func(p *cancelPlay) {
			p.killOwner()
			p.awaitClaim(p.owner)
			p.claimer().signal(syscall.SIGKILL, true)
		}},
		cancelCase{name: "owner suspended", lose: func(p *cancelPlay) { p.owner.signal(syscall.SIGSTOP, false) },
			calm: func(p *cancelPlay) { p.owner.signal(syscall.SIGCONT, false) }},
		cancelCase{name: "all hosts lost", lose: func(p *cancelPlay) {
			for _, h := range p.hosts {
				h.signal(syscall.SIGKILL, true)
			}
		}, calm: func(p *cancelPlay) {
			for _, h := range p.hosts {
				p.startHost(h)
			}
		}},
		cancelCase{name: "registry entries lapse", lose: func(p *cancelPlay) {
			p.writeSilent(nil)
			p.killOwner()
		}},
		cancelCase{name: "odd registry entries", lose: func(p *cancelPlay) {
			p.writeSilent([]byte(`{"state":"ready","service":"s","address":"127.0.0.1:99999"}`))
			p.killOwner()
		}},
	)
	playCancels(t,
		cancelCase{name: "stops confirmed only", calm: func(p *cancelPlay) { p.fleet.SetFaults(fakes.SimFleetFaults{DeafOnce: true}) }},
		lateCase("late starts reach restarted workers", true),
		lateCase("late starts reach restarted workers, owner kept", false),
		cancelCase{name: "append answers lost", cancel: func(p *cancelPlay) { p.setStore(fakes.StoreFaults{Lost: 0.5}) }},
		cancelCase{name: "store down", lose: func(p *cancelPlay) {
			p.setStore(fakes.StoreFaults{Down: true, Silent: true})
			p.killOwner()
		}},
		cancelCase{name: "hosts cut from the store", before: func(p *cancelPlay) { p.addProxies() }, lose: func(p *cancelPlay) {
			for _, x := range p.proxies[1:] {
				x.setPartition(true)
			}
			p.killOwner()
		}, calm: func(p *cancelPlay) {
			for _, x := range p.proxies {
				x.setPartition(false)
			}
		}},
		cancelCase{name: "workers drain in an evacuated zone", cancel: func(p *cancelPlay) {
			p.store.Put(platform.TopicOperator, "evacuate/x", []byte("{}"))
			for i, w := range p.fleet.Entries() {
				if slices.Contains(p.silent, w.ID) {
					w.Draining = true
					p.fleet.SetUnlisted(w.ID, true)
					p.store.Put(platform.TopicWorkers, w.ID, mock.Entry(w, p.execs[i].Addr()))
				}
			}
		}},
		cancelCase{name: "cancelled at a replaced owner", cancel: func(p *cancelPlay) {
			replaced := p.owner
			replaced.signal(syscall.SIGSTOP, false)
			p.awaitClaim(replaced)
			p.cancelAt, p.owner = []*soakHost{replaced}, p.claimer()
			time.AfterFunc(cancelFreeze, func() { replaced.signal(syscall.SIGCONT, false) })
		}},
	)
}

// addProxies restarts the hosts with a proxy between each and the store.
func (p *cancelPlay) addProxies() {
	address := regexp.MustCompile(`(?m)^address = "(.*)"$`)
	for _, h := range p.hosts {
		text, err := os.ReadFile(h.settings)
		assert.NilError(p.t, err)
		x := startProxy(p.t, address.FindStringSubmatch(string(text))[1])
		p.proxies = append(p.proxies, x)
		text = address.ReplaceAll(text, fmt.Appendf(nil, "address = %q", x.ln.Addr().String()))
		assert.NilError(p.t, os.WriteFile(h.settings, text, 0o600))
		cmd := h.process()
		h.signal(syscall.SIGKILL, true)
		p.awaitGone(h, cmd)
		p.startHost(h)
	}
}

// lateCase cancels jobs whose starts are under way. The workers restart, and get the starts
// before any host reaches them again.
func lateCase(name string, lost bool) cancelCase {
	return cancelCase{name: name, early: true, before: func(p *cancelPlay) {
		p.fleet.SetFaults(fakes.SimFleetFaults{Late: 1, Keep: true})
	}, cancel: func(p *cancelPlay) {
		polls.Until(p.t, cancelSetUp, "starts are under way", func() bool { return p.fleet.LateStarts() >= cancelJobs })
		p.fleet.SetFaults(fakes.SimFleetFaults{Keep: true}) // stops are carried out at once
	}, lose: func(p *cancelPlay) {
		time.Sleep(cancelStops)
		p.silent = p.fleet.IDs()
		for i, x := range p.execs {
			p.fleet.SetUnreachable(p.silent[i], true)
			x.Reboot()
		}
		if lost {
			p.killOwner()
		}
		time.Sleep(cancelSilence)
	}}
}

// awaitClaim waits until another host than h has claimed the jobs.
func (p *cancelPlay) awaitClaim(h *soakHost) {
	polls.Until(p.t, cancelSetUp, "another host claims the jobs", func() bool { return p.claimer() != h })
}

// writeSilent replaces the registry entries of the silent workers until they answer again.
func (p *cancelPlay) writeSilent(entry []byte) {
	for _, id := range p.silent {
		p.fleet.SetUnlisted(id, true)
		p.store.Put(platform.TopicWorkers, id, entry)
	}
}

// playCancels plays the cases at the same time.
func playCancels(t *testing.T, cases ...cancelCase) {
	for i, c := range cases {
		p := &cancelPlay{soak: newSoak(t, int64(i+1))}
		t.Cleanup(p.end)
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p.t = t
			p.play(c)
		})
	}
}

func (p *cancelPlay) end() {
	close(p.stop)
	for _, h := range p.hosts {
		h.signal(syscall.SIGKILL, true)
	}
}

func (p *cancelPlay) play(c cancelCase) {
	run := func(f func(*cancelPlay)) {
		if f != nil {
			f(p)
		}
	}
	run(c.before)
	p.startJobs(c.early)
	p.silence()
	p.listing = cmp.Or(c.listing, cancelListing)
	p.setStore(fakes.StoreFaults{})
	p.owner = p.claimer()
	run(c.cancel)
	p.cancelJobs()
	if c.lose != nil {
		c.lose(p)
	} else {
		p.killOwner()
	}
	time.Sleep(cancelTrouble)
	p.listing = min(p.listing, cancelListing)
	p.setStore(fakes.StoreFaults{})
	p.fleet.SetFaults(fakes.SimFleetFaults{})
	for _, id := range p.silent {
		p.fleet.SetUnreachable(id, false)
		p.fleet.SetUnlisted(id, false)
	}
	run(c.calm)
	p.calmMs = p.nowMs() + soakContact.Milliseconds()
	for p.fleet.LateStarts() > 0 || p.nowMs() <= p.latestEndMs() {
		time.Sleep(100 * time.Millisecond)
	}
	silent, late := p.check()
	if c.early {
		assert.Check(p.t, late > 0, "the play has exercised little")
	} else {
		assert.Check(p.t, silent > cancelJobs/2, "the play has exercised little")
	}
}

// setStore replaces the faults of the store, except that listings of the registry are slow.
func (p *cancelPlay) setStore(f fakes.StoreFaults) {
	f.ListingDelay = map[string]time.Duration{platform.TopicWorkers: p.listing}
	p.store.SetFaults(f)
}

func (p *cancelPlay) killOwner() { p.owner.signal(syscall.SIGKILL, true) }

// startJobs hands in all jobs and, unless early, waits until their tasks run.
func (p *cancelPlay) startJobs(early bool) {
	p.eachJob(func(i int) {
		spec := sched.Spec{ID: cancelJobID(i), Payload: "p", Steps: []sched.Step{{Count: cancelTasks, Size: jobs.Size{CPU: 2000, Mem: 10}, EstimateMs: cancelRunMs}}}
		p.fleet.RegisterJob(spec)
		p.request(p.hosts, i, http.MethodPost, mock.JobBody(spec))
	})
	if !early {
		polls.Until(p.t, cancelSetUp, "all tasks run", func() bool { return len(p.fleet.RunningTasks()) == cancelJobs*cancelTasks })
	}
}

// cancelJobs cancels all jobs.
func (p *cancelPlay) cancelJobs() {
	if p.cancelAt == nil {
		p.cancelAt = slices.DeleteFunc(slices.Clone(p.hosts), func(h *soakHost) bool { return h == p.owner })
	}
	p.eachJob(func(i int) {
		p.request(p.cancelAt, i, http.MethodDelete, nil)
		p.ackedMs[i] = p.nowMs()
	})
}

// eachJob calls f for all jobs at the same time.
func (p *cancelPlay) eachJob(f func(i int)) {
	var wg sync.WaitGroup
	for i := range cancelJobs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(i)
		}()
	}
	wg.Wait()
}

// request sends a request for job i to one host after the other until it succeeds.
func (p *cancelPlay) request(hosts []*soakHost, i int, method string, body []byte) {
	c := &http.Client{Transport: &http.Transport{}}
	defer c.CloseIdleConnections()
	status, end := 0, time.Now().Add(cancelSetUp)
	for try := i; status/100 != 2 && time.Now().Before(end); try++ {
		if status, _ = p.call(c, hosts[try%len(hosts)], method, cancelJobID(i), body); status/100 != 2 {
			assert.Check(p.t, status != http.StatusGone, "accepted job %s is answered 410", cancelJobID(i))
			time.Sleep(50 * time.Millisecond)
		}
	}
	assert.Check(p.t, status/100 == 2, "%s of job %s: status %d", method, cancelJobID(i), status)
}

// silence makes every other worker silent that has runs.
func (p *cancelPlay) silence() {
	used := map[string]bool{}
	p.eachRun(func(_ int, r fakes.RunRecord) { used[r.Worker] = true })
	for i, id := range slices.Sorted(maps.Keys(used)) {
		if i%2 == 0 {
			p.silent = append(p.silent, id)
			p.fleet.SetUnreachable(id, true)
		}
	}
}

// claimer returns the host that has claimed the jobs last.
func (p *cancelPlay) claimer() *soakHost {
	s := sched.NewState()
	for _, r := range p.store.Newest(platform.KeyedTopic("jobs")) {
		assert.NilError(p.t, s.Apply(r.Key, r.Value))
	}
	for i, h := range p.hosts {
		if s.Claim.Host == fmt.Sprintf("h%d", i) {
			return h
		}
	}
	p.t.Fatalf("no host for claim %+v", s.Claim)
	return nil
}

// quietSinceMs returns the time from which the bounds count for a run of job i.
func (p *cancelPlay) quietSinceMs(i int, r fakes.RunRecord) int64 {
	since := max(p.ackedMs[i], p.calmMs)
	if r.Late {
		since = max(since, r.StartMs+soakContact.Milliseconds())
	}
	return since
}

// latestEndMs returns when the last run has to be gone.
func (p *cancelPlay) latestEndMs() (ms int64) {
	p.eachRun(func(i int, r fakes.RunRecord) { ms = max(ms, p.quietSinceMs(i, r)) })
	return ms + soakCancel.Milliseconds()
}

func (p *cancelPlay) eachRun(f func(i int, r fakes.RunRecord)) {
	for _, r := range p.fleet.History() {
		for i := range cancelJobs {
			if strings.HasPrefix(r.Task, cancelJobID(i)+".") {
				f(i, r)
			}
		}
	}
}

// check checks that no run of a cancelled job was started or at work after its bound. It
// returns the number of runs on silent workers, and of those that were started late.
func (p *cancelPlay) check() (silent, late int) {
	total, lastMs := 0, int64(math.MinInt64)
	p.eachRun(func(i int, r fakes.RunRecord) {
		since := p.quietSinceMs(i, r)
		end := since + soakCancel.Milliseconds()
		if r.EndMs > 0 {
			lastMs = max(lastMs, r.EndMs-since)
		}
		if r.EndMs == 0 || r.EndMs > end {
			p.t.Errorf("UNASKED: run %d of %s on %s is at work at %d ms, %s after the cancelling and calm", r.Run, r.Task, r.Worker, end, soakCancel)
		}
		if !r.Late && r.StartMs > since+cancelStartTime.Milliseconds() {
			p.t.Errorf("UNASKED: run %d of %s is started on %s at %d ms, later than %s after the cancelling and calm", r.Run, r.Task, r.Worker, r.StartMs, cancelStartTime)
		}
		total++
		if slices.Contains(p.silent, r.Worker) {
			silent++
		}
		if r.Late {
			late++
		}
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	assert.Check(p.t, len(p.findings) == 0, "%q", p.findings)
	violations := p.fleet.Violations()
	assert.Check(p.t, len(violations) == 0, "%q", violations)
	p.t.Logf("%d runs, %d of them on silent workers, %d started late, the last ended at %d ms from the cancelling and calm", total, silent, late, lastMs)
	return silent, late
}
