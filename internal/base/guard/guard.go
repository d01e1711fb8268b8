// Package guard contains panics, so that one message that the code did not expect costs
// its own request and not the process.
//
// A panic is logged with its stack and counted. What it leaves behind is up to the
// caller: a request or a call to another process fails with an unknown outcome, while
// state that was being changed can't be trusted any more and has to be given up.
// Recovering in one place at the bottom of the process was rejected: it can't tell the
// two apart.
//
// # Usage
//
//	func (c *caller) Heartbeat(...) (r Response, err error) {
//		defer guard.Error(&err, c.log, "heartbeat")
//		...
//	}
//
//	if !guard.Run(log, "plan loop", o.planLoop) {
//		o.Stop("the plan loop has panicked")
//	}
package guard

import (
	"fmt"
	"runtime/debug"
	"sync/atomic"

	"github.com/go-logr/logr"

	"lagooncourse/internal/base/fault"
)

// maxTextBytes limits the value and the stack in a log line.
const maxTextBytes = 4 << 10

var count atomic.Int64

// Count returns the number of panics that were contained in this process.
func Count() int64 { return count.Load() }

// Run runs f and reports whether it returned without a panic.
func Run(log logr.Logger, where string, f func()) (ok bool) {
	defer func() {
		if v := recover(); v != nil {
			record(log, where, v)
		}
	}()
	f()
	return true
}

// Error turns a panic into an Internal error in *err, with an unknown outcome. It must be
// deferred.
func Error(err *error, log logr.Logger, where string) {
	if v := recover(); v != nil {
		record(log, where, v)
		*err = fault.New(fault.Internal, fault.Unknown, "%s: the host has failed to handle it", where)
	}
}

// record logs and counts a panic. It runs in a deferred function, so that the stack still
// has the frames that have panicked.
func record(log logr.Logger, where string, v any) {
	count.Add(1)
	text, stack := fmt.Sprint(v), string(debug.Stack())
	log.Error(fault.New(fault.Internal, fault.Unknown, "panic"), "panic contained", "where", where,
		"panic", text[:min(len(text), maxTextBytes)], "stack", stack[:min(len(stack), maxTextBytes)])
}
