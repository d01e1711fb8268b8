package cmds

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"lagooncourse/internal/base/fault"
	"lagooncourse/internal/plat/ports"
	"lagooncourse/internal/tool/lint"
	"lagooncourse/platform"
)

// errFindings is returned if a configuration has errors, entries that never match or
// contradictions. The exit status is 1 then.
var errFindings = errors.New("the configuration has faults")

// checkConfig checks a configuration of the operators against the one in force.
func checkConfig(w io.Writer, currentPath, nextPath string, asJSON bool) error {
	current, err := loadConfig(currentPath)
	if err != nil {
		return err
	}
	next, err := loadConfig(nextPath)
	if err != nil {
		return err
	}
	findings := append(lint.Check(next), lint.Diff(current, next)...)
	if err := printFindings(w, findings, asJSON); err != nil {
		return err
	}
	for _, f := range findings {
		if f.Kind != lint.Change {
			return errFindings
		}
	}
	return nil
}

// loadConfig reads a configuration in the format of the store.
func loadConfig(path string) (c ports.ClusterConfig, err error) {
	defer fault.Annotate(&err, "configuration %q", path)
	data, err := os.ReadFile(path)
	if err != nil {
		return c, err
	}
	return platform.ParseConfig(data)
}

func printFindings(w io.Writer, findings []lint.Finding, asJSON bool) error {
	if asJSON {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(findings)
	}
	for _, f := range findings {
		if _, err := fmt.Fprintf(w, "%s: %s: %s\n", f.Kind, f.Entry, f.Text); err != nil {
			return err
		}
	}
	return nil
}
