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

// Config describes a measurement.
type Config struct {
	Progress io.Writer // gets a line for each step; nil for none
}

const (
	settleTime  = 4 * time.Second
	observeTime = 4 * time.Second
)

// Measure takes all slopes.
func Measure(ctx context.Context, cfg Config) ([]Slope, error) {
	say := func(what string) {
		if cfg.Progress != nil {
			fmt.Fprintln(cfg.Progress, "measuring:", what)
		}
	}
	var list []Slope
	for _, m := range []func() Slope{
		recordBytes, applyTime, jobMemory, snapshotBytes, decideTime, reserveTime,
		renewalBytes, renewalTime, descriptionBytes, configMemory, configTime,
	} {
		list = append(list, m())
		say(list[len(list)-1].Name)
	}
	daemons, err := measureDaemons(ctx, say)
	return append(list, daemons...), err
}

// idle is what a cell of real daemons without work costs.
type idle struct{ control, cpu, heap float64 }

// measureDaemons runs real entry hosts on the loopback address without work
// and measures what control costs each of them.
func measureDaemons(ctx context.Context, say func(string)) ([]Slope, error) {
	sizes := []int{4, 8, 16, 32}
	measured := map[int]idle{}
	for _, n := range sizes {
		say(fmt.Sprintf("%d idle entry hosts", n))
		m, err := measureIdle(ctx, n)
		if err != nil {
			return nil, err
		}
		measured[n] = m
	}
	of := func(name, unit string, y func(idle) float64) Slope {
		return Fit(name, "entry hosts", unit, points(sizes, func(n int) float64 { return y(measured[n]) }))
	}
	return []Slope{
		of("control bytes of an idle entry host", "bytes/s sent", func(m idle) float64 { return m.control }),
		of("processor time of an idle entry host with its share of the stand-ins", "ns/s", func(m idle) float64 { return m.cpu }),
		of("memory of an idle entry host with its share of the stand-ins", "bytes", func(m idle) float64 { return m.heap }),
	}, nil
}

// measureIdle runs n entry hosts with four workers each.
func measureIdle(ctx context.Context, n int) (m idle, err error) {
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
	sent, cpu := c.ControlBytes(), processorTime()
	if err := pause(ctx, observeTime); err != nil {
		return m, err
	}
	per := observeTime.Seconds() * float64(n)
	m.control = float64(c.ControlBytes()-sent) / per
	m.cpu = float64((processorTime() - cpu).Nanoseconds()) / per
	runtime.GC()
	var after runtime.MemStats
	runtime.ReadMemStats(&after)
	m.heap = (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / float64(n)
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

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}
