package main

import (
	"fmt"
	"time"
)

// playLasting: one of twelve executors, the only one with the label b, fails all that it starts
// for a while. Three small jobs and three jobs whose tasks last come meanwhile that require the
// label. Other jobs come all the while and run anywhere.
func playLasting(p *play, trouble bool) int {
	const services, tasks, faulty = 3, 4, 6500 * time.Millisecond
	x := p.workers[len(p.workers)-1]
	stop := make(chan struct{})
	defer close(stop)
	time.Sleep(11 * time.Second) // traffic starts 10 s after the machines do
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(250 * time.Millisecond):
			}
			go p.submit(fmt.Sprintf("00000000%08x", i), map[string]any{"spec": "ms=500", "steps": []any{map[string]any{"count": 3, "cpu": 2000, "taskMemoryMb": 1024, "estimatedMs": 500}}})
		}
	}()
	time.Sleep(3 * time.Second)
	if trouble {
		p.note("executor %s fails all that it starts from now on", x.id)
		x.fails.Store(true)
	}
	ends := time.Now().Add(faulty)
	time.AfterFunc(faulty, func() {
		x.fails.Store(false)
		p.note("executor %s is sound", x.id)
	})
	for i := range 3 {
		if !p.submit(fmt.Sprintf("5c0e7a21d94c%04x", i), map[string]any{"spec": "ms=500", "steps": []any{map[string]any{"count": 1, "cpu": 1000, "taskMemoryMb": 1024, "estimatedMs": 500, "requirements": "b"}}}) {
			return unable
		}
	}
	time.Sleep(2 * time.Second)
	ids := []string{}
	for i := range services {
		id := fmt.Sprintf("5c0e7a21d94b%04x", i)
		ids = append(ids, id)
		if !p.submit(id, map[string]any{"spec": "serve", "steps": []any{map[string]any{"count": tasks, "cpu": 1000, "taskMemoryMb": 1024, "estimatedMs": 60000, "longRunning": true, "requirements": "b"}}}) {
			return unable
		}
	}
	idle := map[string]time.Time{} // since when a task has no run
	report := time.Now()
	worst, worstTask := time.Duration(0), ""
	for time.Now().Before(ends.Add(45 * time.Second)) {
		now := time.Now()
		away := 0
		for _, id := range ids {
			for i := range tasks {
				task := fmt.Sprintf("%s.0.0.%d", id, i)
				if len(p.runningOn(task)) > 0 {
					delete(idle, task)
					continue
				}
				away++
				if idle[task].IsZero() {
					idle[task] = now
				}
				// The 3 s, and the 4 s before them, have to be calm, and 6 s since the last run.
				from := ends.Add(4 * time.Second)
				if t := idle[task].Add(6 * time.Second); t.After(from) {
					from = t
				}
				if d := now.Sub(from); d > worst {
					worst, worstTask = d, task
				}
			}
		}
		if now.After(report) {
			report = now.Add(time.Second)
			p.note("%d of %d tasks have no run", away, services*tasks)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if worst >= 3*time.Second {
		p.note("LOST: %s had nothing running for %.1f s, from 6 s after its last run and 4 s after the end of the disruption on", worstTask, worst.Seconds())
		return broken
	}
	return held
}
