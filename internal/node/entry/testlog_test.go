package entry

import (
	"context"
	"sync/atomic"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/plat/stream"
)

// testLog is a log client that can be disconnected from the log.
type testLog struct {
	stream.Log
	disconnected atomic.Bool
}

func (l *testLog) Append(ctx context.Context, name string, data []byte) (int64, error) {
	if l.disconnected.Load() {
		return 0, fault.New(fault.Unavailable, fault.NotRun, "the log is disconnected")
	}
	return l.Log.Append(ctx, name, data)
}

func (l *testLog) Read(ctx context.Context, req stream.ReadRequest) (stream.Page, error) {
	if l.disconnected.Load() {
		return stream.Page{}, fault.New(fault.Unavailable, fault.NotRun, "the log is disconnected")
	}
	return l.Log.Read(ctx, req)
}
