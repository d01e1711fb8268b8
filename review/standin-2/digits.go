package main

import (
	"strings"
	"time"
)

// playDigits: two clients hand a job in each. The digits above 9 of the second one's ID are
// capital letters.
func playDigits(p *play, trouble bool) int {
	const first = "5c0e7a21d94b36f8"
	second := strings.ToUpper(first)
	if !trouble {
		second = "5c0e7a21d94b36f9"
	}
	time.Sleep(11 * time.Second) // traffic starts 10 s after the machines do
	job := func(spec string) map[string]any {
		return map[string]any{"spec": spec, "steps": []any{map[string]any{"count": 1, "cpu": 2000, "taskMemoryMb": 1024, "estimatedMs": 500}}}
	}
	if !p.submit(first, job("ms=500 first")) || !p.submit(second, job("ms=500 second")) {
		return unable
	}
	for range 15 {
		time.Sleep(time.Second)
		status, state := p.state(second)
		p.note("client: GET %s: %d %s", second, status, state)
		p.mu.Lock()
		ran := false
		for _, s := range p.starts {
			ran = ran || s.spec == "ms=500 second"
		}
		p.mu.Unlock()
		if state == "completed" {
			if !ran {
				p.note("MIXED: %s is shown as completed, and no executor was told to start it", second)
				return broken
			}
			return held
		}
	}
	p.note("LOST: %s has not completed", second)
	return broken
}
