package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// watchMemory does what the platform does: it kills a process that exceeds its memory, and
// starts it again after a short delay. It counts the kills of each host.
func (p *play) watchMemory(stop <-chan struct{}) (kills []*atomic.Int64, done *sync.WaitGroup) {
	done = &sync.WaitGroup{}
	for _, h := range p.hosts {
		n := &atomic.Int64{}
		kills = append(kills, n)
		done.Add(1)
		go func() {
			defer done.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				if mb := h.rssMb(); mb > memoryMb {
					n.Add(1)
					p.note("platform: %s exceeds its memory with %d MiB of %d and is killed", h.name, mb, memoryMb)
					_ = h.cmd.Process.Signal(syscall.SIGKILL)
					<-h.exited
					time.Sleep(time.Second)
					if err := p.start(h); err != nil {
						p.note("%s can't start again: %v", h.name, err)
						return
					}
				}
			}
		}()
	}
	return kills, done
}

// playSchedules: jobs of three steps come that run each 90 s for a day, first in an hour.
func playSchedules(p *play, trouble bool) int {
	const jobs = 400
	reps := 960 // a day
	if !trouble {
		reps = 1
	}
	stop := make(chan struct{})
	kills, done := p.watchMemory(stop)
	time.Sleep(11 * time.Second) // traffic starts 10 s after the machines do
	step := func(dependsOn ...int) map[string]any {
		s := map[string]any{"count": 1, "cpu": 100, "taskMemoryMb": 64, "estimatedMs": 500}
		if len(dependsOn) > 0 {
			s["dependsOn"] = dependsOn
		}
		return s
	}
	first := time.Now().Add(time.Hour).UnixMilli()
	var mu sync.Mutex
	var accepted []string
	next := make(chan int)
	var clients sync.WaitGroup
	for range 16 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for i := range next {
				id := fmt.Sprintf("5c0e7a21d94b%04x", i)
				job := map[string]any{"spec": "ms=500", "firstRunMs": first, "intervalMs": 90_000, "repetitions": reps, "steps": []any{step(), step(0), step(1)}}
				if p.submit(id, job) {
					mu.Lock()
					accepted = append(accepted, id)
					mu.Unlock()
				}
			}
		}()
	}
	end := time.Now().Add(60 * time.Second)
	for i := 0; i < jobs && time.Now().Before(end); i++ {
		next <- i
		if i%20 == 19 {
			mu.Lock()
			p.note("%d jobs accepted; memory %d %d %d MiB", len(accepted), p.hosts[0].rssMb(), p.hosts[1].rssMb(), p.hosts[2].rssMb())
			mu.Unlock()
		}
		time.Sleep(80 * time.Millisecond)
	}
	close(next)
	clients.Wait()
	p.note("end of the traffic: %d jobs accepted", len(accepted))
	unanswered, asked := 0, 0
	for i := 0; i < len(accepted) && time.Since(p.began) < 100*time.Second; i += max(len(accepted)/20, 1) {
		asked++
		status, state := p.state(accepted[i])
		p.note("client: GET %s: %d %s; memory %d %d %d MiB", accepted[i], status, state, p.hosts[0].rssMb(), p.hosts[1].rssMb(), p.hosts[2].rssMb())
		if status != http.StatusOK {
			unanswered++
		}
		time.Sleep(time.Second)
	}
	close(stop)
	done.Wait()
	p.note("%d of %d calls about accepted jobs had no answer", unanswered, asked)
	often := 0
	for i, k := range kills {
		p.note("%s was killed %d times for its memory", p.hosts[i].name, k.Load())
		if k.Load() >= 3 {
			often++
		}
	}
	if often >= 2 {
		p.note("Fault: the processes of %d of %d machines ended by themselves three times, with no disruption there", often, len(p.hosts))
		return broken
	}
	return held
}
