// Package polls lets tests wait, up to a timeout and without fixed sleeps, for the
// effects of other goroutines and processes.
//
// # Usage
//
//	polls.Until(t, 10*time.Second, "the job is done", func() bool { return done() })
package polls

import "time"

// T is the subset of testing.TB that Until uses.
type T interface {
	Helper()
	Fatalf(format string, args ...any)
}

const pollInterval = 5 * time.Millisecond

// Until polls cond until it returns true, and fails the test after the timeout.
// The failure message includes the text what, which describes cond.
func Until(t T, timeout time.Duration, what string, cond func() bool) {
	t.Helper()
	for deadline := time.Now().Add(timeout); !cond(); {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %s: %s", timeout, what)
		}
		time.Sleep(pollInterval)
	}
}
