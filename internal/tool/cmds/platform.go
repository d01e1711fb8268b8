package cmds

import (
	"context"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"lagooncourse/internal/base/httpd"
	"lagooncourse/internal/base/logs"
	"lagooncourse/internal/node/gate"
	"lagooncourse/platform"
)

// Names of the scheduler's own topics in the platform's store.
const (
	jobTopic  = "jobs"
	hostTopic = "hosts"
)

const (
	heapFraction     = 0.7                     // Go memory limit, as a fraction of the machine's memory
	gcPercent        = 300                     // an owner's heap is small compared to the memory; fewer collections save CPU time
	stopMargin       = 500 * time.Millisecond  // part of the platform's grace period that a graceful stop leaves unused
	minStopTime      = 1500 * time.Millisecond // of a graceful stop, if the grace period is shorter
	maxBufferedLines = 8192                    // log lines buffered for a slow reader
	logPipeBytes     = 256 << 10               // about 400 ms of log lines at 1,000 starts a second
)

func newServe() *cobra.Command {
	var path string
	var metrics int
	var interference bool
	cmd := &cobra.Command{
		Use: "serve [--settings FILE.toml]", Short: "Run the daemon of an entry host on the users' platform", Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			reload := make(chan os.Signal, 1)
			signal.Notify(reload, syscall.SIGHUP) // before all else: until then, SIGHUP ends the process
			ctx, cancel := signalContext()
			defer cancel()
			set, err := platform.LoadSettings(path)
			if err != nil {
				return err
			}
			if metrics > 0 {
				set.MetricPort = metrics
			}
			return runServe(ctx, reload, path, set, interference, cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&path, "settings", os.Getenv(platform.SettingsEnv), "settings file of the platform")
	cmd.Flags().BoolVar(&interference, "interference", false, "learn which tasks slow each other down on one worker, and keep them apart where there is room")
	cmd.Flags().IntVar(&metrics, "metrics", 0, "port of the metrics; 0 takes the second internal port")
	return cmd
}

// runServe runs the daemon until ctx is done, then stops it. It reloads the settings on
// each signal from reload.
func runServe(ctx context.Context, reload <-chan os.Signal, settingsPath string, set platform.Settings, interference bool, w io.Writer) error {
	if set.MemoryMiB > 0 {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(int64(float64(set.MemoryMiB<<20) * heapFraction))
	}
	if f, ok := w.(*os.File); ok {
		logs.GrowPipe(f, logPipeBytes)
	}
	out := logs.NewAsyncWriter(w, maxBufferedLines)
	defer out.Close()
	cfg := gateConfig(set, out)
	cfg.DroppedLines = out.Dropped
	cfg.Interference = interference
	h, err := gate.Start(cfg)
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-reload:
			reloadSettings(h, settingsPath, out)
		}
	}
	grace := time.Duration(set.GraceS*float64(time.Second)) - stopMargin
	stop, cancelStop := context.WithTimeout(context.Background(), max(grace, minStopTime))
	defer cancelStop()
	return h.Stop(stop)
}

// reloadSettings rereads the settings file. If the file is invalid, the current
// settings stay in force.
func reloadSettings(h *gate.Host, path string, out io.Writer) {
	set, err := platform.LoadSettings(path)
	if err != nil {
		logs.NewJSON(out, "info").Error(err, "settings file is invalid; keeping the current settings")
		return
	}
	h.Reload(gateConfig(set, out))
}

// gateConfig returns the daemon's configuration, with the platform package as its
// adapter.
func gateConfig(set platform.Settings, out io.Writer) gate.Config {
	client := platform.NewClient(platform.ClientConfig{Store: set.StoreAddr, Advice: set.AdviceAddr, Cloud: set.CloudAddr})
	return gate.Config{
		Host: set.Host, IP: set.IP, Az: set.Az, Listen: set.Frontend, Ready: set.Ready, ReadyPath: platform.ReadyPath,
		PeerPort: set.PeerPort, MetricPort: set.MetricPort, CPUMillis: int64(set.Cores * 1000),
		Machine: httpd.Machine{MemoryBytes: set.MemoryMiB << 20, Descriptors: set.Descriptors},
		Store:   client, Workers: client, Adviser: client,
		Codec: gate.Codec{
			Job: platform.ParseJob, JobID: platform.ParseJobID, Key: platform.KeyOf, Deadline: platform.DeadlineOf, State: platform.StateBody, Pending: platform.PendingBody,
		},
		OperatorTopic: platform.TopicOperator, WorkerTopic: platform.TopicWorkers,
		JobTopic: platform.KeyedTopic(jobTopic), HostTopic: platform.KeyedTopic(hostTopic),
		ParseConfig: platform.ParseConfig, ParseWorker: platform.ParseWorker, WorkerID: platform.WorkerID,
		ParseOperatorKey: platform.ParseOperatorKey,
		RetentionMs:      set.StatusS * 1000, MaxLeaseMs: set.MaxLeaseMs, RecordBytes: set.RecordBytes, AppendBytes: set.AppendBytes,
		Logger: logs.NewJSON(out, "info"),
	}
}
