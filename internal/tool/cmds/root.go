// Package cmds implements the command line of lagooncourse.
//
// The exit status is 0 for success, 1 if the command failed or a guarantee was
// violated, and 2 if the command line or a settings file is invalid.
//
// # Usage
//
//	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
package cmds

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/zeromicro/go-zero/core/logx"

	"lagooncourse/internal/base/conf"
	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/tool/caller"
)

// Exit statuses.
const (
	exitFailed  = 1
	exitInvalid = 2
)

// errUsage marks an invalid command line.
var errUsage = errors.New("invalid command line")

// flags holds the flags that all client commands share.
type flags struct {
	api  []string
	key  string
	json bool
}

// Main runs the command line and returns the exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	logx.Disable() // go-zero's log lines lack the component prefix
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(stderr, "lagooncourse:", describe(err))
	if isInvalid(err) {
		return exitInvalid
	}
	return exitFailed
}

// isInvalid reports whether the error is caused by an invalid command line or
// settings file. Cobra has no error type for an unknown command, so isInvalid
// matches the text.
func isInvalid(err error) bool {
	var ce *conf.Error
	return errors.Is(err, errUsage) || errors.As(err, &ce) || strings.HasPrefix(err.Error(), "unknown command")
}

// describe formats an error. It adds the outcome to an error of an entry host.
func describe(err error) string {
	var e *fault.Error
	if errors.As(err, &e) {
		return fmt.Sprintf("%s (ran: %s)", err, e.Outcome)
	}
	return err.Error()
}

func newRoot() *cobra.Command {
	f := &flags{}
	root := &cobra.Command{
		Use: "lagooncourse", Short: "A cluster scheduler for services, batch, gangs and calls",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return fmt.Errorf("%w: %w", errUsage, err) })
	p := root.PersistentFlags()
	p.StringSliceVar(&f.api, "api", strings.Split(envOr("LAGOONCOURSE_API", "http://127.0.0.1:7300"), ","), "base URLs of entry hosts")
	p.StringVar(&f.key, "key", os.Getenv("LAGOONCOURSE_KEY"), "key in the form ID.SECRET")
	p.BoolVar(&f.json, "json", false, "print JSON")
	root.AddCommand(
		newEntry(), newServe(), newCheck(), newStandin(), newDemo(f), newMeasure(f),
		newPlan(f), newAllow(f), newKey(f), newAz(f), newTask(f), newDump(f),
		newSubmit(f), newStatus(f), newWait(f), newCancel(f), newExplain(f), newList(f), newCall(f),
	)
	return root
}

func envOr(name, def string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return def
}

// clientAttempts limits the attempts of an idempotent request.
const clientAttempts = 20

func (f *flags) client() *caller.Client {
	return caller.New(caller.Config{API: f.api, Key: f.key, MaxAttempts: clientAttempts})
}

// printJSON writes v as indented JSON.
func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// formatTime formats milliseconds since 1970 as a local time of day, and 0 as "-".
func formatTime(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).Format("15:04:05.000")
}

// exactArgs returns a check that a command has n arguments.
func exactArgs(n int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) != n {
			return fmt.Errorf("%w: %q takes %d arguments, not %d", errUsage, cmd.CommandPath(), n, len(args))
		}
		return nil
	}
}
