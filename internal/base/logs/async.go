package logs

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"

	"github.com/go-logr/logr"
	"github.com/zeromicro/go-zero/core/logx"
)

// NewJSON returns a logger that writes one JSON object a line to w. The level
// is one of Levels; another name means "info".
func NewJSON(w io.Writer, level string) logr.Logger {
	logx.Disable()
	return logr.FromSlogHandler(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: levelOf(level)}))
}

// Async is a writer that never blocks: lines wait in a bounded queue and are
// dropped, and counted, when it is full.
type Async struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.RWMutex
	closed bool
}

var _ io.WriteCloser = (*Async)(nil)

// NewAsync returns a writer in front of w that keeps up to n lines.
func NewAsync(w io.Writer, n int) *Async {
	a := &Async{w: w, lines: make(chan []byte, n), done: make(chan struct{})}
	go a.run()
	return a
}

// run writes what waits, several lines at a time.
func (a *Async) run() {
	defer close(a.done)
	var buf []byte
	for line := range a.lines {
		buf = append(buf[:0], line...)
		for more := true; more && len(buf) < asyncBatch; {
			select {
			case next, ok := <-a.lines:
				more = ok
				buf = append(buf, next...)
			default:
				more = false
			}
		}
		if n := a.dropped.Swap(0); n > 0 {
			buf = append(buf, fmt.Sprintf("{\"msg\":\"log lines dropped\",\"count\":%d}\n", n)...)
		}
		_, _ = a.w.Write(buf) // a log that cannot be written has nowhere to say so
	}
}

// asyncBatch is the size in bytes from which a batch of lines is written.
const asyncBatch = 32 << 10

// Write queues one line.
func (a *Async) Write(line []byte) (int, error) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.closed {
		return len(line), nil
	}
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits and ends.
func (a *Async) Close() error {
	a.mu.Lock()
	if !a.closed {
		a.closed = true
		close(a.lines)
	}
	a.mu.Unlock()
	<-a.done
	return nil
}
