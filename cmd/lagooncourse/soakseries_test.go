package main

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"lagooncourse/internal/cell/sched"
	"lagooncourse/internal/plat/fakes"
	"lagooncourse/platform"
)

// series are faults that belong together.
type series struct {
	name string
	play func(*soak)
}

// soakSeries are all series. Each strikes runs of long jobs that are cancelled meanwhile;
// random faults overlap with it. The last one plays others meanwhile.
var soakSeries = []series{
	{"owner lost after cancellings", func(s *soak) {
		jobs := s.burst()
		s.silenceSome(s.between(1500*time.Millisecond, soakLongest))
		owner := s.owner()
		s.cancelAll(jobs, owner)
		if d := s.between(time.Second, soakLongest); s.rand.Intn(4) == 0 {
			s.suspend(owner, d)
		} else {
			s.restart(owner, syscall.SIGKILL, d)
		}
		s.slowListing(s.between(50*time.Millisecond, 1200*time.Millisecond), soakLongest)
		s.pause(1500*time.Millisecond, 4)
	}},
	{"hosts restarted in turn", func(s *soak) {
		jobs := s.burst()
		var sig os.Signal = syscall.SIGTERM
		if s.rand.Intn(3) == 0 {
			sig = syscall.SIGKILL
		}
		s.later(s.between(0, 2*time.Second), func() { s.cancelAll(jobs, nil) })
		for _, h := range s.hosts {
			cmd := h.process()
			s.kill(h, sig)
			for range s.rand.Intn(3) {
				s.reload(s.hosts[s.rand.Intn(len(s.hosts))]) // the one that stops may be among them
			}
			s.awaitGone(h, cmd)
			s.startHost(h)
			s.pause(s.between(0, 600*time.Millisecond), 8)
		}
	}},
	{"two owners lost", func(s *soak) {
		jobs := s.burst()
		s.silenceSome(s.between(2*time.Second, soakLongest))
		first := s.owner()
		s.cancelAll(jobs, first)
		s.slowListing(s.between(50*time.Millisecond, 600*time.Millisecond), soakLongest)
		s.restart(first, syscall.SIGKILL, s.between(time.Second, soakLongest))
		for end := time.Now().Add(soakLongest); s.owner() == first && time.Now().Before(end); {
			time.Sleep(20 * time.Millisecond)
		}
		s.pause(s.between(0, 300*time.Millisecond), 8)
		s.restart(s.owner(), syscall.SIGKILL, s.between(time.Second, soakLongest))
		s.pause(time.Second, 4)
	}},
	{"all hosts lost", func(s *soak) {
		jobs := s.burst()
		s.silenceSome(s.between(time.Second, soakLongest))
		s.cancelAll(jobs, nil)
		for _, h := range s.hosts {
			s.restart(h, syscall.SIGKILL, s.between(300*time.Millisecond, 2*time.Second))
		}
		s.slowListing(s.between(50*time.Millisecond, 1200*time.Millisecond), soakLongest)
		s.pause(2*time.Second, 4)
	}},
	{"workers reborn behind a cut", func(s *soak) {
		jobs := s.burst()
		silent := s.silenceSome(soakLongest)
		s.pause(s.between(0, time.Second), 8)
		for _, i := range silent {
			s.reboot(i)
		}
		s.cancelAll(jobs, nil)
		if s.rand.Intn(2) == 0 {
			s.restart(s.owner(), syscall.SIGKILL, time.Second)
		}
		s.pause(time.Second, 4)
	}},
	{"late orders", func(s *soak) {
		s.orderFaults(fakes.SimFleetFaults{Lost: 0.2, Late: 0.4}, s.between(2*time.Second, soakLongest))
		jobs := s.burst()
		owner := s.owner()
		s.cancelAll(jobs, owner)
		if s.rand.Intn(2) == 0 {
			s.restart(owner, syscall.SIGKILL, time.Second)
		}
		s.pause(2*time.Second, 4)
	}},
	{"workers crash", func(s *soak) {
		end := time.Now().Add(s.between(10*time.Second, 20*time.Second))
		rnd := rand.New(rand.NewSource(s.rand.Int63()))
		s.bursts++
		n := s.bursts
		s.later(0, func() { s.crashWorkers(n, rnd, end) })
		others := s.series[:len(s.series)-1]
		for k := int(s.seed)**soakRounds + 1; time.Now().Before(end); k++ {
			s.play(others[k%len(others)])
		}
	}},
}

// crashWorkers crashes one or two workers about every half second, under jobs that are not
// cancelled.
func (s *soak) crashWorkers(burst int, rnd *rand.Rand, end time.Time) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	for n := 0; time.Now().Before(end); n++ {
		for i := range 2 {
			j := &soakJob{id: soakID('c', burst, 2*n+i)}
			jobRand := rand.New(rand.NewSource(rnd.Int63()))
			s.later(0, func() { s.submit(c, j, &i, jobRand, mediumJob) })
		}
		for _, i := range rnd.Perm(len(s.execs))[:1+rnd.Intn(2)] {
			s.crash(i, 100*time.Millisecond+time.Duration(rnd.Int63n(int64(time.Second))))
		}
		time.Sleep(400*time.Millisecond + time.Duration(rnd.Int63n(int64(200*time.Millisecond))))
	}
}

// burst hands in long jobs and waits until most have started.
func (s *soak) burst() (list []*soakJob) {
	s.bursts++
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	var wg sync.WaitGroup
	for i := range 2 * len(s.hosts) {
		j := &soakJob{id: soakID('f', s.bursts, i)}
		list = append(list, j)
		seed := s.rand.Int63()
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.submit(c, j, &i, rand.New(rand.NewSource(seed)), longJob)
		}()
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	return list
}

// cancelAll cancels jobs at once, first at hosts other than the one named, and returns when
// most are acknowledged.
func (s *soak) cancelAll(jobs []*soakJob, not *soakHost) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	acks := make(chan struct{}, len(jobs))
	for i, j := range jobs {
		if s.hosts[i%len(s.hosts)] == not {
			i++
		}
		s.later(0, func() {
			if !j.accepted.IsZero() {
				s.cancel(c, j, &i)
			}
			acks <- struct{}{}
		})
	}
	wait := time.After(time.Second)
	for range jobs {
		select {
		case <-acks:
		case <-wait:
			return
		}
	}
}

// silenceSome keeps about half of the workers from answering for a time, and returns their
// indexes.
func (s *soak) silenceSome(d time.Duration) (list []int) {
	for i, id := range s.fleet.IDs() {
		if s.rand.Intn(2) == 0 {
			s.silence(id, d)
			list = append(list, i)
		}
	}
	return list
}

// slowListing delays the listings of the registry for a time.
func (s *soak) slowListing(delay, d time.Duration) {
	s.storeFaults(fakes.StoreFaults{ListingDelay: map[string]time.Duration{platform.TopicWorkers: delay}}, d)
}

// ownerKey is the key of the record that names the owner.
const ownerKey = "o"

// owner returns the host that owns the jobs by the newest record, the first one if there is
// none.
func (s *soak) owner() *soakHost {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	n, err := s.store.For("test").Newest(ctx, platform.KeyedTopic("jobs"), "")
	if err != nil {
		s.event("owner not known: %v", err)
	}
	state := sched.NewState()
	for _, r := range n.Records {
		if r.Key == ownerKey {
			_ = state.Apply(r.Key, r.Value)
		}
	}
	for i, h := range s.hosts {
		if state.Claim.Host == fmt.Sprintf("h%d", i) || strings.HasPrefix(state.Claim.Addr, h.ip+":") {
			return h
		}
	}
	return s.hosts[0]
}
