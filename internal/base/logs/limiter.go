package logs

import (
	"sync"
	"time"
)

// Limiter bounds the rate of one kind of log line. It is safe for concurrent use.
type Limiter struct {
	Lines    int // allowed in each interval
	Interval time.Duration

	mu      sync.Mutex
	since   time.Time // start of the current interval
	allowed int       // in the current interval
	skipped int       // since the last line that was allowed
}

// Allow reports whether a line may be written now, and how many were not allowed
// since the last one that was.
func (l *Limiter) Allow(now time.Time) (skipped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.since.IsZero() || now.Sub(l.since) >= l.Interval {
		l.since, l.allowed = now, 0
	}
	if l.allowed >= l.Lines {
		l.skipped++
		return 0, false
	}
	l.allowed++
	skipped, l.skipped = l.skipped, 0
	return skipped, true
}
