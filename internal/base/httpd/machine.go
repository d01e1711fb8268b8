package httpd

import (
	"fmt"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sys/unix"

	"lagooncourse/internal/base/budget"
)

// Machine is what a process may use of its machine. A field that is 0 bounds nothing.
type Machine struct {
	MemoryBytes int64
	Descriptors int
}

// Shares of a machine that callers may use. The rest is for the state of the process, for
// workers, peers and the store.
const (
	callerMemoryShare     = 0.25
	callerDescriptorShare = 0.5
	fileDescriptors       = 200 // kept for files
	minCallerConns        = 64
	checkConns            = 32 // of a server for readiness checks or metrics
)

// ThisMachine returns the memory of the machine and the limit of descriptors of this process,
// as the operating system reports them.
func ThisMachine() (m Machine, err error) {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return m, fmt.Errorf("read the memory of the machine: %w", err)
	}
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err != nil {
		return m, fmt.Errorf("read the limit of descriptors: %w", err)
	}
	return Machine{MemoryBytes: int64(info.Totalram) * int64(info.Unit), Descriptors: int(min(files.Cur, 1<<30))}, nil
}

// Limits returns the limits of the server for callers and of each server for readiness checks
// or metrics. They share one account.
func (m Machine) Limits() (callers, checks Limits) {
	if m.MemoryBytes > 0 {
		callers.Account = budget.New(budget.Config{Bytes: int64(callerMemoryShare * float64(m.MemoryBytes))})
	}
	if m.Descriptors > 0 {
		callers.MaxConns = max(int(callerDescriptorShare*float64(m.Descriptors-fileDescriptors)), minCallerConns)
	}
	return callers, Limits{Account: callers.Account, MaxConns: checkConns}
}

// RegisterMetrics registers what callers hold and what was refused to them. The servers are
// those that share the account.
func RegisterMetrics(reg prometheus.Registerer, account *budget.Account, servers ...*Server) {
	gauge := func(name, help string, f func() float64) {
		reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, f))
	}
	counter := func(name, help string, f func() float64) {
		reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, f))
	}
	counter("lagooncourse_caller_connections_refused_total", "Connections closed for want of room.", func() (sum float64) {
		for _, s := range servers {
			sum += float64(s.Refused())
		}
		return sum
	})
	if account == nil {
		return
	}
	gauge("lagooncourse_caller_memory_bytes", "Memory taken for connections and requests of callers.", func() float64 { return float64(account.Stats().Used) })
	counter("lagooncourse_caller_memory_refused_total", "Connections, heads and bodies for which there was no memory.", func() float64 { return float64(account.Stats().Refused) })
	counter("lagooncourse_caller_evicted_total", "Connections that were ended while they sent a request, to make room.", func() float64 { return float64(account.Stats().Evicted) })
}
