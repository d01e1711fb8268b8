package main

import (
	"time"
)

// playRenamed: a job of two steps is accepted, and the first step runs. The operator then
// replaces the route by one with another name and the same host, prefix and service.
func playRenamed(p *play, trouble bool) int {
	const id = "5c0e7a21d94b36f8"
	time.Sleep(11 * time.Second) // traffic starts 10 s after the machines do
	step := func(ms int, dependsOn ...int) map[string]any {
		s := map[string]any{"count": 2, "cpu": 2000, "taskMemoryMb": 1024, "estimatedMs": ms}
		if len(dependsOn) > 0 {
			s["dependsOn"] = dependsOn
		}
		return s
	}
	if !p.submit(id, map[string]any{"spec": "ms=3000", "steps": []any{step(3000), step(3000, 0)}}) {
		return unable
	}
	time.Sleep(time.Second)
	if trouble {
		p.configure(7, "r-ruddede")
		p.note("operator: version 7 is acknowledged, its route has another name and the same host, prefix and service")
	} else {
		p.configure(7, "r-cpihhac")
		p.note("operator: version 7 is acknowledged, with the same route")
	}
	var last time.Time
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		status, state := p.state(id)
		n := len(p.runningOn(id+".0.0.0")) + len(p.runningOn(id+".0.0.1")) + len(p.runningOn(id+".0.1.0")) + len(p.runningOn(id+".0.1.1"))
		_, pending := p.call(p.hosts[0], "GET", "", nil, 3*time.Second)
		p.note("client: GET %s: %d %s; %d tasks at work; GET of the queue: %s", id, status, state, n, pending)
		if state == "completed" {
			return held
		}
		if n > 0 {
			last = time.Now()
		}
	}
	p.note("LOST: nothing of the job has run for %.0f s, its second step's turn has come, and all executors are free", time.Since(last).Seconds())
	return broken
}
