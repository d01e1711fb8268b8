package entry

import (
	"context"
	"sync/atomic"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/plat/stream"
)

// gatedLog is a log client that can be disconnected from the log.
type gatedLog struct {
	stream.Log
	disconnected atomic.Bool
}

func (g *gatedLog) Append(ctx context.Context, name string, data []byte) (int64, error) {
	if g.disconnected.Load() {
		return 0, fault.New(fault.Unavailable, fault.NotRun, "the log is disconnected")
	}
	return g.Log.Append(ctx, name, data)
}

func (g *gatedLog) Read(ctx context.Context, req stream.ReadRequest) (stream.Page, error) {
	if g.disconnected.Load() {
		return stream.Page{}, fault.New(fault.Unavailable, fault.NotRun, "the log is disconnected")
	}
	return g.Log.Read(ctx, req)
}
