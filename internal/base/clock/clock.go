// Package clock supplies the time to every part whose behaviour depends on it.
//
// Decision logic never calls time.Now. It takes instants as arguments, and the
// long-running parts take a Clock. Tests give them a Manual clock, so that a
// test's verdict does not depend on the speed of the machine.
//
// # Usage
//
//	c := clock.NewManual(time.Unix(0, 0))
//	c.Advance(2 * time.Second)
//	now := c.Now()
package clock

import (
	"context"
	"sync"
	"time"
)

// A Clock tells the current time.
type Clock interface {
	Now() time.Time
}

// System is the operating system's clock, with its monotonic reading.
type System struct{}

var _ Clock = System{}

// Now returns the current time.
func (System) Now() time.Time { return time.Now() }

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Manual is a clock that moves only when a test tells it to.
type Manual struct {
	mu  sync.Mutex
	now time.Time
}

var _ Clock = (*Manual)(nil)

// NewManual returns a clock that stands at the instant start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the instant at which the clock stands.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock forward by d.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
}
