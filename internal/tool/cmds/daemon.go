package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"github.com/zeromicro/go-zero/core/proc"

	"lagooncourse/internal/base/conf"
	"lagooncourse/internal/base/logs"
	"lagooncourse/internal/node/entry"
	"lagooncourse/internal/plat/fakes"
)

// forceQuitTimeout is the time after a signal at which go-zero kills the process.
// It exceeds the time limit of a graceful stop, so that go-zero does not cut one
// off.
const forceQuitTimeout = 15 * time.Minute

// signalContext returns a context that is canceled on SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	proc.SetTimeToForceQuit(forceQuitTimeout)
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

func newEntry() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use: "entry --config FILE.ini", Short: "Run the daemon of an entry host", Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			set, err := conf.Load[entry.Settings](path)
			if err != nil {
				return err
			}
			return runEntry(set, cmd.ErrOrStderr())
		},
	}
	cmd.Flags().StringVar(&path, "config", "", "settings file")
	return cmd
}

func runEntry(set entry.Settings, w io.Writer) error {
	ctx, cancel := signalContext()
	defer cancel()
	if m := set.Limits.Memory; m > 0 {
		debug.SetMemoryLimit(int64(float64(m<<20) * heapFraction))
	}
	h, err := entry.Start(entry.Config{Settings: set, Logger: logs.New(w, set.Logs.Level)})
	if err != nil {
		return err
	}
	<-ctx.Done()
	stop, cancelStop := context.WithTimeout(context.Background(), set.Timing.Stop)
	defer cancelStop()
	return h.Stop(stop)
}

func newCheck() *cobra.Command {
	var print, document, asJSON bool
	var against string
	cmd := &cobra.Command{
		Use: "check FILE.ini | check --against CURRENT.json NEW.json", Short: "Check a settings file of an entry host, or a configuration of the operators before it is sent",
		Args: func(cmd *cobra.Command, args []string) error {
			if document {
				return nil
			}
			return exactArgs(1)(cmd, args)
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			if document {
				conf.Document[entry.Settings](cmd.OutOrStdout())
				return nil
			}
			if against != "" {
				return checkConfig(cmd.OutOrStdout(), against, args[0], asJSON)
			}
			set, err := conf.Load[entry.Settings](args[0])
			if err != nil {
				return err
			}
			if print {
				conf.Print(cmd.OutOrStdout(), set)
				return nil
			}
			fmt.Fprintln(cmd.OutOrStdout(), "ok")
			return nil
		},
	}
	cmd.Flags().BoolVar(&print, "print", false, "print the effective settings with defaults")
	cmd.Flags().StringVar(&against, "against", "", "configuration in force; checks another one before it is sent")
	cmd.Flags().BoolVar(&asJSON, "json", false, "with --against, print the findings as JSON")
	cmd.Flags().BoolVar(&document, "document", false, "print a table of all settings instead")
	return cmd
}

// logSettings is the settings file of the stand-in for the log service.
type logSettings struct {
	Log struct {
		Listen    string        `ini:"listen" required:"true" doc:"IP:port"`
		Appends   int           `ini:"appendsPerSecond" def:"300" min:"0" max:"1000000" doc:"budget of all streams; 0 means no limit"`
		Retention time.Duration `ini:"retention" def:"0s" min:"0s" max:"8760h" doc:"age at which records disappear; 0 keeps them"`
	} `ini:"log"`
}

// fleetSettings is the settings file of the stand-in for the workers.
type fleetSettings struct {
	Workers struct {
		Listen     string   `ini:"listen" required:"true" doc:"IP:port"`
		Azs        []string `ini:"azs" required:"true" doc:"availability zones"`
		Count      int      `ini:"count" def:"50" min:"1" max:"10000" doc:"number of workers"`
		RackSize   int      `ini:"rackSize" def:"8" min:"1" max:"1000" doc:"workers in a rack"`
		CPU        int64    `ini:"cpuMillis" def:"64000" min:"1" max:"1000000" doc:"millicores of each"`
		Mem        int64    `ini:"memoryMiB" def:"131072" min:"1" max:"16777216" doc:"memory of each"`
		Accel      int64    `ini:"accelerators" def:"4" min:"0" max:"64" doc:"devices of a worker that has any"`
		AccelEvery int      `ini:"accelEvery" def:"0" min:"0" max:"10000" doc:"every so many workers has devices"`
	} `ini:"workers"`
}

// execSettings is the settings file of the stand-in for the executors.
type execSettings struct {
	Executors struct {
		Listen  string        `ini:"listen" required:"true" doc:"IP:port of the host list"`
		Service string        `ini:"service" required:"true" doc:"name of the service"`
		Azs     []string      `ini:"azs" required:"true" doc:"availability zones"`
		Count   int           `ini:"count" def:"50" min:"1" max:"1000" doc:"number of executors"`
		Slots   int           `ini:"slots" def:"8" min:"1" max:"1000" doc:"calls that each runs at once"`
		Conns   int           `ini:"conns" def:"64" min:"1" max:"10000" doc:"connections that each accepts"`
		Work    time.Duration `ini:"work" def:"20ms" min:"0s" max:"1h" doc:"time that a call takes"`
	} `ini:"executors"`
}

func newStandin() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use: "standin log|worker|executor --config FILE.ini", Short: "Run a stand-in for a part of the platform",
		Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := signalContext()
			defer cancel()
			url, stop, err := startStandin(args[0], path)
			if err != nil {
				return err
			}
			defer stop()
			fmt.Fprintln(cmd.OutOrStdout(), "listening on", url)
			<-ctx.Done()
			return nil
		},
	}
	cmd.Flags().StringVar(&path, "config", "", "settings file")
	return cmd
}

func startStandin(kind, path string) (url string, stop func(), err error) {
	if _, err := os.Stat(path); err != nil && path == "" {
		return "", nil, fmt.Errorf("%w: --config is missing", errUsage)
	}
	switch kind {
	case "log":
		return startLog(path)
	case "worker":
		return startFleet(path)
	case "executor":
		return startExecs(path)
	}
	return "", nil, fmt.Errorf("%w: stand-in %q is not one of log, worker, executor", errUsage, kind)
}

func startLog(path string) (string, func(), error) {
	s, err := conf.Load[logSettings](path)
	if err != nil {
		return "", nil, err
	}
	l, err := fakes.StartLog(fakes.LogConfig{
		Addr: s.Log.Listen, AppendsPerSecond: s.Log.Appends, Retention: s.Log.Retention,
	})
	if err != nil {
		return "", nil, err
	}
	return l.URL(), l.Close, nil
}

func startFleet(path string) (string, func(), error) {
	s, err := conf.Load[fleetSettings](path)
	if err != nil {
		return "", nil, err
	}
	c := s.Workers
	f, err := fakes.StartFleet(fakes.FleetConfig{Addr: c.Listen, Workers: fakes.Workers(fakes.GridConfig{
		Azs: c.Azs, Workers: c.Count, RackSize: c.RackSize, CPU: c.CPU, Mem: c.Mem, Accel: c.Accel, AccelEvery: c.AccelEvery,
	})})
	if err != nil {
		return "", nil, err
	}
	return f.URL(), f.Close, nil
}

func startExecs(path string) (string, func(), error) {
	s, err := conf.Load[execSettings](path)
	if err != nil {
		return "", nil, err
	}
	c := s.Executors
	e, err := fakes.StartExecs(fakes.ExecConfig{
		Addr: c.Listen, WorkMs: c.Work.Milliseconds(),
		Targets: fakes.Targets(fakes.TargetsConfig{Service: c.Service, Azs: c.Azs, Count: c.Count, Slots: c.Slots, Conns: c.Conns}),
	})
	if err != nil {
		return "", nil, err
	}
	return e.URL(), e.Close, nil
}
