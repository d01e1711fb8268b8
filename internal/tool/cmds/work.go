package cmds

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"lagooncourse/internal/base/conf"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/node/entry"
	"lagooncourse/internal/tool/caller"
)

// jobFile is the job file that the submit command reads.
type jobFile struct {
	Job JobSection `ini:"job"`
}

// JobSection is the [job] section of a job file.
type JobSection struct {
	Name       string        `ini:"name" required:"true" doc:"family of similar jobs"`
	Kind       string        `ini:"kind" def:"batch" oneof:"urgent,service,gang,batch" doc:"class of the job"`
	Tasks      int           `ini:"tasks" def:"1" min:"1" max:"1000" doc:"number of equal tasks"`
	CPU        float64       `ini:"cpu" def:"1" min:"0.001" max:"1000" doc:"cores of each task"`
	Memory     string        `ini:"memory" def:"1GiB" doc:"memory of each task, such as 512MiB or 4GiB"`
	Accel      int64         `ini:"accelerators" def:"0" min:"0" max:"64" doc:"devices of each task"`
	Run        time.Duration `ini:"run" def:"0s" min:"0s" max:"2160h" doc:"declared run time; 0 for a service"`
	Idempotent bool          `ini:"idempotent" def:"false" doc:"a task may run again if it may have run"`
	Retries    int           `ini:"retries" def:"0" min:"0" max:"100" doc:"further attempts after a failure of the task itself"`
	Queue      string        `ini:"queue" def:"default" doc:"queue"`
	Az         string        `ini:"az" doc:"wanted availability zone; any by default"`
	Submission string        `ini:"submission" doc:"repeats with the same id are one job"`
	Payload    string        `ini:"payload" doc:"handed to the worker unread"`
}

// Spec converts the section to a job spec and validates it.
func (j JobSection) Spec() (jobs.Spec, error) {
	mem, err := parseMemory(j.Memory)
	if err != nil {
		return jobs.Spec{}, &conf.Error{Section: "job", Key: "memory", Value: j.Memory, Want: "must be a whole number with MiB, GiB or TiB"}
	}
	spec := jobs.Spec{
		Name: j.Name, Kind: jobs.Kind(j.Kind), Queue: j.Queue, Submission: j.Submission, Tasks: j.Tasks,
		Size:  jobs.Size{CPU: int64(j.CPU * millicoresPerCore), Mem: mem, Accel: j.Accel},
		RunMs: j.Run.Milliseconds(), Idempotent: j.Idempotent, Retries: j.Retries, Az: j.Az, Payload: j.Payload,
	}
	return spec, spec.Check()
}

func newSubmit(f *flags) *cobra.Command {
	var path, submission string
	cmd := &cobra.Command{
		Use: "submit -f JOB.ini", Short: "Submit a job", Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			file, err := conf.Load[jobFile](path)
			if err != nil {
				return err
			}
			spec, err := file.Job.Spec()
			if err != nil {
				return err
			}
			if submission != "" {
				spec = spec.WithSubmission(submission)
			}
			j, err := f.client().Submit(contextOf(cmd), spec)
			if err != nil {
				return err
			}
			if f.json {
				return printJSON(cmd.OutOrStdout(), j)
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), j.ID)
			return err
		},
	}
	cmd.Flags().StringVarP(&path, "file", "f", "", "job file")
	cmd.Flags().StringVar(&submission, "submission", "", "submission id, instead of the file's")
	return cmd
}

// showJob prints a job and its tasks, as text or JSON.
func showJob(cmd *cobra.Command, f *flags, a entry.JobAnswer) error {
	w := cmd.OutOrStdout()
	if f.json {
		return printJSON(w, a)
	}
	fmt.Fprintf(w, "%s %s: %s, team %s, %d tasks, submitted %s, ended %s\n",
		a.ID, a.Spec.Name, a.State, a.Spec.Team, len(a.Tasks), formatTime(a.SubmitMs), formatTime(a.EndMs))
	for i, t := range a.Tasks {
		fmt.Fprintf(w, "  %d: %-9s attempt %d on %s %s%s\n", i, t.State, t.Attempt, orDash(t.Worker), t.Result, t.Reason)
	}
	return nil
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// newJobCommand returns a command that takes a job ID and prints the job.
func newJobCommand(f *flags, use, short string, run func(*cobra.Command, *caller.Client, jobs.ID) (entry.JobAnswer, error)) *cobra.Command {
	return &cobra.Command{
		Use: use + " JOB", Short: short, Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			a, err := run(cmd, f.client(), jobs.ID(args[0]))
			if err != nil {
				return err
			}
			return showJob(cmd, f, a)
		},
	}
}

func newStatus(f *flags) *cobra.Command {
	return newJobCommand(f, "status", "Show a job", func(cmd *cobra.Command, c *caller.Client, id jobs.ID) (entry.JobAnswer, error) {
		return c.Status(contextOf(cmd), id)
	})
}

func newWait(f *flags) *cobra.Command {
	var timeout time.Duration
	cmd := newJobCommand(f, "wait", "Wait for a job's end", func(cmd *cobra.Command, c *caller.Client, id jobs.ID) (entry.JobAnswer, error) {
		return c.Wait(contextOf(cmd), id, timeout)
	})
	cmd.Flags().DurationVar(&timeout, "timeout", time.Minute, "give up after this time")
	return cmd
}

func newCancel(f *flags) *cobra.Command {
	return newJobCommand(f, "cancel", "Cancel a job", func(cmd *cobra.Command, c *caller.Client, id jobs.ID) (entry.JobAnswer, error) {
		return c.Cancel(contextOf(cmd), id)
	})
}

func newExplain(f *flags) *cobra.Command {
	return &cobra.Command{
		Use: "explain JOB", Short: "Say why a job waits or where it was placed", Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			a, err := f.client().Status(contextOf(cmd), jobs.ID(args[0]))
			if err != nil {
				return err
			}
			if f.json {
				return printJSON(cmd.OutOrStdout(), a)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s is %s\n", a.ID, a.State)
			for _, why := range a.Why {
				fmt.Fprintln(cmd.OutOrStdout(), "  "+why)
			}
			return nil
		},
	}
}

func newList(f *flags) *cobra.Command {
	var state string
	cmd := &cobra.Command{
		Use: "list", Short: "List jobs", Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			l, err := f.client().List(contextOf(cmd), jobs.State(state))
			if err != nil {
				return err
			}
			if f.json {
				return printJSON(cmd.OutOrStdout(), l)
			}
			for _, a := range l.Jobs {
				fmt.Fprintf(cmd.OutOrStdout(), "%-16s %-20s %-10s %-9s %s\n", a.ID, a.Spec.Name, a.Spec.Team, a.State, formatTime(a.SubmitMs))
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&state, "state", "", "only jobs in this state")
	return cmd
}

func newCall(f *flags) *cobra.Command {
	var body string
	call := caller.Call{}
	cmd := &cobra.Command{
		Use: "call SERVICE", Short: "Call a service and print its answer", Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			call.Service = args[0]
			var err error
			if call.Body, err = readBody(body, cmd.InOrStdin()); err != nil {
				return err
			}
			a, err := f.client().Call(contextOf(cmd), call)
			if err != nil {
				return err
			}
			_, err = cmd.OutOrStdout().Write(append(a.Body, '\n'))
			return err
		},
	}
	cmd.Flags().StringVar(&body, "body", "", `body of the call; "@FILE" reads a file and "-" the standard input`)
	cmd.Flags().StringVar(&call.ID, "id", "", "id of the call, to repeat one without running it twice")
	cmd.Flags().BoolVar(&call.Idempotent, "idempotent", false, "the call may run more than once")
	cmd.Flags().DurationVar(&call.Timeout, "timeout", 0, "give up after this time")
	return cmd
}

func readBody(body string, stdin io.Reader) ([]byte, error) {
	if body == "-" {
		return io.ReadAll(stdin)
	}
	if path, ok := strings.CutPrefix(body, "@"); ok {
		return os.ReadFile(path)
	}
	return []byte(body), nil
}
