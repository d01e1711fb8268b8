package gate

import (
	"fmt"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/base/httpd"
)

// Limits of the log lines about requests without a response, for each cause.
const (
	maxUnansweredLines = 10 // a second
	maxFieldBytes      = 2 << 10
)

// recoverPanic logs a panic of a request's handler and answers the request, unless the
// response has begun. It must be deferred.
func (h *Host) recoverPanic(w http.ResponseWriter, r *http.Request) {
	v := recover()
	if v == nil {
		return
	}
	stack := debug.Stack()
	if skipped, ok := h.panics.Allow(h.clock.Now()); ok {
		h.log.Info("handler panicked", "job", jobInPath(r), "method", r.Method,
			"panic", truncate(fmt.Sprint(v)), "stack", truncate(string(stack)), "skipped", skipped)
	}
	httpd.WriteError(w, fault.New(fault.Internal, fault.Unknown, "the request failed on the server"))
}

// jobInPath returns the job ID in the path of a request that may not have been parsed.
func jobInPath(r *http.Request) string {
	return truncate(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:])
}

func truncate(s string) string { return s[:min(len(s), maxFieldBytes)] }

// logGone logs a request whose client has disconnected before the response.
func (h *Host) logGone(r *http.Request, startedAt time.Time) {
	if r.Context().Err() == nil {
		return
	}
	now := h.clock.Now()
	if skipped, ok := h.disconnects.Allow(now); ok {
		h.log.Info("client disconnected before the response", "job", jobInPath(r), "method", r.Method,
			"afterMs", now.Sub(startedAt).Milliseconds(), "skipped", skipped)
	}
}
