package logs

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/zeromicro/go-zero/core/logx"
)

// NewJSON returns a logger that writes one JSON object per line to w. The level is
// one of Levels; any other name means "info".
func NewJSON(w io.Writer, level string) logr.Logger {
	logx.Disable()
	return logr.FromSlogHandler(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: parseLevel(level)}))
}

// AsyncWriter is a non-blocking writer with a bounded queue. When the queue is full, it
// drops lines and later writes a JSON line with their number.
type AsyncWriter struct {
	w        io.Writer
	lines    chan []byte
	dropped  atomic.Int64 // in total
	reported int64        // of dropped; used by run only
	done     chan struct{}

	mu     sync.RWMutex
	closed bool
}

var _ io.WriteCloser = (*AsyncWriter)(nil)

// NewAsyncWriter returns a writer that queues up to n lines for w.
func NewAsyncWriter(w io.Writer, n int) *AsyncWriter {
	a := &AsyncWriter{w: w, lines: make(chan []byte, n), done: make(chan struct{})}
	go a.run()
	return a
}

// run writes the queued lines in batches.
func (a *AsyncWriter) run() {
	defer close(a.done)
	var buf []byte
	for line := range a.lines {
		buf = append(buf[:0], line...)
		for more := true; more && len(buf) < asyncBatchBytes; {
			select {
			case next, ok := <-a.lines:
				more = ok
				buf = append(buf, next...)
			default:
				more = false
			}
		}
		if n := a.dropped.Load(); n > a.reported {
			buf = append(buf, fmt.Sprintf("{\"time\":%q,\"msg\":\"log lines dropped\",\"count\":%d}\n", time.Now().Format(time.RFC3339Nano), n-a.reported)...)
			a.reported = n
		}
		_, _ = a.w.Write(buf) // there is nowhere to report a failed log write
	}
}

// asyncBatchBytes is the size from which no further lines are added to a batch.
const asyncBatchBytes = 32 << 10

// Write queues one line. It always succeeds, even if the line is dropped.
func (a *AsyncWriter) Write(line []byte) (int, error) {
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

// Dropped returns how many lines were dropped since the start because the queue was full.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close waits until the queued lines are written. It does not close the underlying
// writer. Lines written after Close are dropped.
func (a *AsyncWriter) Close() error {
	a.mu.Lock()
	if !a.closed {
		a.closed = true
		close(a.lines)
	}
	a.mu.Unlock()
	<-a.done
	return nil
}
