// Package cmds is the command line of lagooncourse.
//
// Exit status 0 means success, 1 that the request failed or a promise was
// broken, and 2 that the command line or a settings file is invalid.
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

// errUsage marks errors of the command line.
var errUsage = errors.New("invalid command line")

// flags are the flags that all client commands share.
type flags struct {
	api  []string
	key  string
	json bool
}

// Main runs the command line and returns the exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	logx.Disable() // the base library's own log carries no part prefix
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

// isInvalid reports whether the error is about the command line or a file. The
// command library has no type for an unknown command.
func isInvalid(err error) bool {
	var ce *conf.Error
	return errors.Is(err, errUsage) || errors.As(err, &ce) || strings.HasPrefix(err.Error(), "unknown command")
}

// describe adds the outcome to an error of an entry host.
func describe(err error) string {
	var e *fault.Error
	if errors.As(err, &e) {
		return fmt.Sprintf("%s (ran: %s)", err, e.Ran)
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

// clientTries is how often the command line repeats a request that is safe to
// repeat.
const clientTries = 20

func (f *flags) client() *caller.Client {
	return caller.New(caller.Config{API: f.api, Key: f.key, MaxAttempts: clientTries})
}

// printJSON writes v as indented JSON.
func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// at formats milliseconds since 1970 for people.
func at(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).Format("15:04:05.000")
}

// exactly returns a check that a command has n arguments.
func exactly(n int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) != n {
			return fmt.Errorf("%w: %q takes %d arguments, not %d", errUsage, cmd.CommandPath(), n, len(args))
		}
		return nil
	}
}
