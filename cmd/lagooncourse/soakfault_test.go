package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lagooncourse/internal/plat/fakes"
	"lagooncourse/platform"
)

// fault brings about one random fault, which undoes itself in the background after a
// random time.
func (s *soak) fault() {
	h := s.hosts[s.rand.Intn(len(s.hosts))]
	x, id := s.execs[s.rand.Intn(len(s.execs))], s.fleet.IDs()[s.rand.Intn(len(s.execs))]
	d := 200*time.Millisecond + time.Duration(s.rand.Int63n(int64(soakLongest-200*time.Millisecond)))
	undo := func(f func()) {
		s.clients.Add(1)
		go func() {
			defer s.clients.Done()
			time.Sleep(d)
			f()
		}()
	}
	kind := s.rand.Intn(14)
	s.event("fault %d, host %s, worker %s, %s", kind, h.ip, id, d)
	switch kind {
	case 0, 1:
		h.signal(syscall.SIGKILL, true)
		undo(func() { s.startHost(h) })
	case 2, 3:
		cmd := h.process()
		h.signal(syscall.SIGTERM, true)
		undo(func() { s.awaitGone(h, cmd); s.startHost(h) })
	case 4:
		h.signal(syscall.SIGSTOP, false)
		undo(func() { h.signal(syscall.SIGCONT, false) })
	case 5:
		h.signal(syscall.SIGHUP, false)
		s.configure()
	case 6:
		if s.rand.Intn(3) == 0 {
			for _, h := range s.hosts {
				h.signal(syscall.SIGKILL, true)
			}
			undo(func() {
				for _, h := range s.hosts {
					s.startHost(h)
				}
			})
		}
	case 7, 8:
		x.Reboot()
	case 9:
		s.fleet.SetUnreachable(id, true)
		undo(func() { s.fleet.SetUnreachable(id, false) })
	case 10:
		s.store.SetFaults(fakes.StoreFaults{Down: true, Silent: s.rand.Intn(2) == 0})
		undo(func() { s.store.SetFaults(fakes.StoreFaults{}) })
	case 11:
		s.store.SetFaults(fakes.StoreFaults{Lost: 0.3, Delay: time.Duration(s.rand.Intn(200)) * time.Millisecond})
		undo(func() { s.store.SetFaults(fakes.StoreFaults{}) })
	case 12:
		s.fleet.SetFaults(fakes.SimFleetFaults{Lost: 0.2, Late: 0.1})
		undo(func() { s.fleet.SetFaults(fakes.SimFleetFaults{}) })
	case 13:
		s.store.Put(platform.TopicWorkers, "odd", []byte(strings.Repeat("[", 20_000)))
		s.store.Put(platform.TopicWorkers, id, []byte(`{"state":"ready","service":"s","address":"127.0.0.1:99999","capacity":{"cpu":1e999}}`))
		s.store.Compact(platform.TopicWorkers)
	}
}

// awaitGone waits until a process that got SIGTERM has ended, as it has to within its
// time, not counting that for which it was suspended.
func (s *soak) awaitGone(h *soakHost, cmd *exec.Cmd) {
	for end := time.Now().Add(soakGrace + soakSuspend); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if cmd == nil || h.process() != cmd {
			return
		}
	}
	s.find("the process of %s is there %s after SIGTERM", h.ip, soakGrace+soakSuspend)
	h.signal(syscall.SIGKILL, true)
}

// heal ends all faults and starts all hosts.
func (s *soak) heal() {
	s.store.SetFaults(fakes.StoreFaults{})
	s.fleet.SetFaults(fakes.SimFleetFaults{})
	for _, id := range s.fleet.IDs() {
		s.fleet.SetUnreachable(id, false)
	}
	for _, h := range s.hosts {
		h.signal(syscall.SIGCONT, false)
		s.startHost(h)
	}
}

// settle waits until all accepted jobs have ended, and checks that nothing of a cancelled
// job runs after a calm time.
func (s *soak) settle() {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	at := 0
	open := func() (list []*soakJob) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, j := range s.jobs {
			if !j.accepted.IsZero() && j.ended == "" {
				list = append(list, j)
			}
		}
		return list
	}
	calm := time.Now().Add(soakContact + soakCancel)
	for end := time.Now().Add(soakFinish); time.Now().Before(end) && len(open()) > 0; time.Sleep(100 * time.Millisecond) {
		for _, j := range open() {
			s.ask(c, j, &at)
		}
	}
	for _, j := range open() {
		s.find("LOST: accepted job %s has not ended, cancelling %v", j.id, j.cancelling)
	}
	time.Sleep(time.Until(calm))
	s.mu.Lock()
	defer s.mu.Unlock()
	running := s.fleet.RunningTasks()
	for _, j := range s.jobs {
		if !j.cancelled.IsZero() && slices.ContainsFunc(running, func(task string) bool { return strings.HasPrefix(task, j.id+".") }) {
			s.findings = append(s.findings, fmt.Sprintf("UNASKED: a task of the cancelled job %s runs on", j.id))
		}
		if j.refused && s.fleet.Started(j.id) {
			s.findings = append(s.findings, fmt.Sprintf("REFUSED: job %s has started, but all tries to hand it in were refused", j.id))
		}
	}
}

// run plays one seed and returns the findings.
func (s *soak) run() []string {
	for n := range 3 * len(s.hosts) {
		s.clients.Add(1)
		go s.client(n, rand.New(rand.NewSource(int64(n))))
	}
	time.Sleep(2 * time.Second) // all hosts have found each other
	for end := time.Now().Add(*soakTime); time.Now().Before(end); {
		s.fault()
		time.Sleep(time.Duration(s.rand.Intn(1200)) * time.Millisecond)
	}
	close(s.stop)
	s.clients.Wait()
	s.heal()
	again := make(chan struct{}) // the fleet's time passes on
	go s.tick(again)
	s.settle()
	close(again)
	for _, h := range s.hosts {
		h.signal(syscall.SIGKILL, true)
	}
	return append(s.findings, s.fleet.Violations()...)
}

// TestSoak plays some seeds; see the flags soak.*. CI plays a few for a minute or two.
func TestSoak(t *testing.T) {
	for seed := *soakFirst; seed < *soakFirst+int64(*soakSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSoak(t, seed)
			t.Cleanup(func() {
				for _, h := range s.hosts {
					h.signal(syscall.SIGKILL, true)
				}
			})
			findings := s.run()
			accepted, cancelled := 0, 0
			for _, j := range s.jobs {
				if !j.accepted.IsZero() {
					accepted++
				}
				if !j.cancelled.IsZero() {
					cancelled++
				}
			}
			t.Logf("%d jobs accepted, %d cancelled, %d starts", accepted, cancelled, s.fleet.Starts())
			if len(findings) > 0 {
				t.Errorf("seed %d: %d findings, first %q", seed, len(findings), findings[:min(len(findings), 10)])
				s.keep(seed)
			}
			assert.Check(t, accepted > 50, "the run has exercised little")
		})
	}
}

// keep copies the logs of a failed seed.
func (s *soak) keep(seed int64) {
	if *soakLogs == "" {
		return
	}
	dir := filepath.Join(*soakLogs, fmt.Sprint(seed))
	assert.NilError(s.t, os.MkdirAll(dir, 0o755))
	assert.NilError(s.t, os.WriteFile(filepath.Join(dir, "events.txt"), []byte(strings.Join(append(s.events, s.findings...), "\n")), 0o600))
	logs, err := filepath.Glob(filepath.Join(s.dir, "*.log"))
	assert.NilError(s.t, err)
	for _, name := range logs {
		data, err := os.ReadFile(name)
		assert.NilError(s.t, err)
		assert.NilError(s.t, os.WriteFile(filepath.Join(dir, filepath.Base(name)), data, 0o600))
	}
}
