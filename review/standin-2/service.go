package main

import (
	"sync"
	"time"
)

// playService: a job with one task that lasts. Two executors crash, one after the other, each
// while it runs the task.
func playService(p *play, trouble bool) int {
	const id = "5c0e7a21d94b36f8"
	const crashes, after, down = 2, time.Second, 3 * time.Second
	var mu sync.Mutex
	n := 0
	p.onStart = func(x *executor, task string, run int, _ string) {
		mu.Lock()
		defer mu.Unlock()
		if !trouble || n == crashes {
			return
		}
		n++
		time.AfterFunc(after, func() { x.crash(down) })
	}
	time.Sleep(11 * time.Second)
	job := map[string]any{"spec": "serve", "steps": []any{map[string]any{"count": 1, "cpu": 2000, "taskMemoryMb": 1024, "estimatedMs": 60000, "longRunning": true}}}
	if !p.submit(id, job) {
		return unable
	}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		status, state := p.state(id)
		p.note("client: GET %s: %d %s; at work on %v", id, status, state, p.runningOn(id+".0.0.0"))
		if state == "failed" || state == "cancelled" || state == "completed" || status == 410 {
			p.note("LOST: nobody has cancelled the job, no run of it has ended failed, and it is shown as %s (%d)", state, status)
			return broken
		}
	}
	if len(p.runningOn(id+".0.0.0")) == 0 {
		p.note("LOST: the task has no run")
		return broken
	}
	return held
}
