package gauge

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"lagooncourse/internal/tool/demo"
	"lagooncourse/internal/tool/scene"
)

// Config configures Measure.
type Config struct {
	Progress io.Writer // receives a line for each step; nil for none
}

const (
	settleTime  = 4 * time.Second
	observeTime = 4 * time.Second
)

// Measure measures all slopes.
func Measure(ctx context.Context, cfg Config) ([]Slope, error) {
	progress := func(what string) {
		if cfg.Progress != nil {
			fmt.Fprintln(cfg.Progress, "measuring:", what)
		}
	}
	var list []Slope
	for _, m := range []func() Slope{
		recordBytes, applyTime, jobMemory, snapshotBytes, chooseTime, reserveTime,
		renewalBytes, renewalTime, descriptionBytes, configMemory, configTime,
	} {
		list = append(list, m())
		progress(list[len(list)-1].Name)
	}
	daemons, err := measureDaemons(ctx, progress)
	return append(list, daemons...), err
}

// idleCost is the cost of one idle entry host per second, and its heap in bytes.
type idleCost struct{ controlBytesPerS, cpuNsPerS, heapBytes float64 }

// measureDaemons measures the control overhead of idle entry hosts, which run on
// the loopback address, at several cell sizes.
func measureDaemons(ctx context.Context, progress func(string)) ([]Slope, error) {
	sizes := []int{4, 8, 16, 32}
	measured := map[int]idleCost{}
	for _, n := range sizes {
		progress(fmt.Sprintf("%d idle entry hosts", n))
		m, err := measureIdle(ctx, n)
		if err != nil {
			return nil, err
		}
		measured[n] = m
	}
	fit := func(name, unit string, y func(idleCost) float64) Slope {
		return Fit(name, "entry hosts", unit, points(sizes, func(n int) float64 { return y(measured[n]) }))
	}
	return []Slope{
		fit("control bytes of an idle entry host", "bytes/s sent", func(m idleCost) float64 { return m.controlBytesPerS }),
		fit("processor time of an idle entry host with its share of the stand-ins", "ns/s", func(m idleCost) float64 { return m.cpuNsPerS }),
		fit("memory of an idle entry host with its share of the stand-ins", "bytes", func(m idleCost) float64 { return m.heapBytes }),
	}, nil
}

// measureIdle measures a cell of n idle entry hosts with four workers each.
func measureIdle(ctx context.Context, n int) (m idleCost, err error) {
	runtime.GC()
	var before runtime.MemStats
	runtime.ReadMemStats(&before)
	c, err := demo.StartIdle(ctx, scene.Cell{
		Name: "idle", Azs: []string{"a", "b", "c", "d"}, Workers: 4 * n, RackSize: 4, CPU: 64_000, Mem: 131_072,
		Hosts: n, Service: "service", Executors: 4, Slots: 8, Conns: 64, Appends: 1000,
	}, logr.Discard())
	if err != nil {
		return m, err
	}
	defer c.Close()
	if err := pause(ctx, settleTime); err != nil {
		return m, err
	}
	sentBefore, cpuBefore := c.ControlBytes(), processCPUTime()
	if err := pause(ctx, observeTime); err != nil {
		return m, err
	}
	hostSeconds := observeTime.Seconds() * float64(n)
	m.controlBytesPerS = float64(c.ControlBytes()-sentBefore) / hostSeconds
	m.cpuNsPerS = float64((processCPUTime() - cpuBefore).Nanoseconds()) / hostSeconds
	runtime.GC()
	var after runtime.MemStats
	runtime.ReadMemStats(&after)
	m.heapBytes = (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / float64(n)
	return m, nil
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// processCPUTime returns the CPU time that this process has used.
func processCPUTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}
