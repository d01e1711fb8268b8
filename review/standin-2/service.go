package main

import (
	"fmt"
	"sync"
	"time"
)

// playService: a job with tasks that last, each on an executor of its own. Two executors
// crash, one after the other, each soon after it has started the job's first task.
func playService(p *play, trouble bool) int {
	const id = "5c0e7a21d94b36f8"
	const tasks, crashes, after, down = 4, 2, time.Second, 3 * time.Second
	var mu sync.Mutex
	n := 0
	p.onStart = func(x *executor, task string, run int, _ string) {
		mu.Lock()
		defer mu.Unlock()
		if !trouble || n == crashes || task != id+".0.0.0" {
			return
		}
		n++
		time.AfterFunc(after, func() { x.crash(down) })
	}
	atWork := func() (list []string) {
		for i := range tasks {
			list = append(list, p.runningOn(fmt.Sprintf("%s.0.0.%d", id, i))...)
		}
		return list
	}
	time.Sleep(11 * time.Second) // traffic starts 10 s after the machines do
	job := map[string]any{"spec": "serve", "steps": []any{map[string]any{"count": tasks, "cpu": 2000, "taskMemoryMb": 1024, "estimatedMs": 60000, "longRunning": true, "antiAffinity": 1, "mayMiss": 1}}}
	if !p.submit(id, job) {
		return unable
	}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		status, state := p.state(id)
		p.note("client: GET %s: %d %s; at work: %v", id, status, state, atWork())
		if state == "failed" || state == "cancelled" || state == "completed" || status == 410 {
			time.Sleep(2 * time.Second)
			p.note("LOST: nobody has cancelled the job, no run of it has ended failed, and it is shown as %s (%d); at work: %v", state, status, atWork())
			return broken
		}
	}
	if n := len(atWork()); n < tasks {
		p.note("LOST: %d of %d tasks have no run", tasks-n, tasks)
		return broken
	}
	return held
}
