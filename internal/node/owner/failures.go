package owner

import (
	"sync"
	"time"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/logs"
)

// The log lines about failed requests that are sent again later.
const (
	failedLines         = 2 // of one kind in each failedLinesInterval
	failedLinesInterval = 10 * time.Second
)

// failureLimits bounds the log lines about failed requests, by kind.
type failureLimits struct {
	mu     sync.Mutex
	byKind map[string]*logs.Limiter
}

func (f *failureLimits) allow(kind string, now time.Time) (skipped int, ok bool) {
	f.mu.Lock()
	l := f.byKind[kind]
	if l == nil {
		l = &logs.Limiter{Lines: failedLines, Interval: failedLinesInterval}
		if f.byKind == nil {
			f.byKind = map[string]*logs.Limiter{}
		}
		f.byKind[kind] = l
	}
	f.mu.Unlock()
	return l.Allow(now)
}

// logFailed logs why a request failed, in a bounded number of lines of its kind.
func (g *Group) logFailed(kind string, err error, keysAndValues ...any) {
	skipped, ok := g.failures.allow(kind, g.cfg.Clock.Now())
	if !ok {
		return
	}
	args := append([]any{"err", err.Error(), "outcome", fault.OutcomeOf(err), "skipped", skipped}, keysAndValues...)
	g.logger.Info(kind+" failed", args...)
}
