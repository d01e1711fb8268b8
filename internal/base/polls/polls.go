// Package polls lets tests wait for what other goroutines and processes do, up
// to a stated bound and without fixed sleeps.
//
// # Usage
//
//	polls.Until(t, 10*time.Second, "the job is done", func() bool { return done() })
package polls

import "time"

// T is the part of a test that Until needs.
type T interface {
	Helper()
	Fatalf(format string, args ...any)
}

const interval = 5 * time.Millisecond

// Until polls a condition and fails the test if it does not hold within the
// bound.
func Until(t T, bound time.Duration, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(bound); !ok(); {
		if time.Now().After(deadline) {
			t.Fatalf("not so within %s: %s", bound, what)
		}
		time.Sleep(interval)
	}
}
