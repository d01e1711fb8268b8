// Package clock provides the current time to code whose behaviour depends on it.
//
// Decision logic never calls time.Now: it takes times as arguments, and
// long-running components take a Clock. Tests pass a Manual clock, so that their
// results do not depend on the speed of the machine.
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

	"golang.org/x/sys/unix"
)

// Clock returns the current time.
type Clock interface {
	Now() time.Time
	// Elapsed returns the time since a fixed point, including the time that the machine
	// was suspended. The monotonic reading of Now stands still meanwhile, so a
	// permission that ends after some time is measured with Elapsed.
	Elapsed() time.Duration
}

// System is the operating system's clock. Its times have a monotonic reading.
type System struct{}

var _ Clock = System{}

// Now returns the current time.
func (System) Now() time.Time { return time.Now() }

// processStart is the point that Elapsed falls back to.
var processStart = time.Now()

// Elapsed returns the time since the machine was started. Without the system's clock
// for it, it returns the time since the process was started.
func (System) Elapsed() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}

// Sleep waits for d of real time, or until ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// CancelBefore returns a context that is cancelled before the deadline of ctx: by d,
// or by a quarter of the remaining time if that is shorter.
func CancelBefore(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	early, cancel := context.WithCancel(ctx)
	end, ok := ctx.Deadline()
	if !ok {
		return early, cancel
	}
	left := time.Until(end)
	t := time.AfterFunc(left-min(d, left/4), cancel) // not a deadline, which would not end the calls through peers
	return early, func() { t.Stop(); cancel() }
}

// Manual is a clock for tests that changes only through Advance.
type Manual struct {
	mu  sync.Mutex
	now time.Time
}

var _ Clock = (*Manual)(nil)

// NewManual returns a clock set to start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the time to which the clock is set.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Elapsed returns the time since 1970 on this clock.
func (m *Manual) Elapsed() time.Duration { return time.Duration(m.Now().UnixNano()) }

// Advance moves the clock forward by d.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
}
