package cmds

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"lagooncourse/internal/base/logs"
	"lagooncourse/internal/cell/queue"
	"lagooncourse/internal/tool/demo"
	"lagooncourse/internal/tool/scene"
)

// errViolated is returned if the demonstration finds a violated guarantee.
var errViolated = errors.New("a guarantee was violated")

// defaultScenarios model the deployments of the two current users.
var defaultScenarios = []string{"hanbit", "freshwater"}

func newDemo(f *flags) *cobra.Command {
	var scenarios []string
	var logPath, policyName string
	cmd := &cobra.Command{
		Use: "demo", Short: "Run scenarios in one process and check the guarantees", Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			policy, ok := queue.Policies[policyName]
			if !ok {
				return fmt.Errorf("%w: policy %q is not one of %v", errUsage, policyName, sortedKeys(queue.Policies))
			}
			log := logs.Discard()
			if logPath != "" {
				file, err := os.Create(logPath)
				if err != nil {
					return err
				}
				defer file.Close()
				log = logs.New(file, "debug")
			}
			var reports []*demo.Report
			for _, name := range scenarios {
				s, err := scene.Load(name)
				if err != nil {
					return err
				}
				rep, err := demo.Run(contextOf(cmd), demo.Config{Scenario: s, Progress: cmd.ErrOrStderr(), Logger: log, Policy: policy})
				if err != nil {
					return err
				}
				reports = append(reports, rep)
			}
			return showReports(cmd, f, reports)
		},
	}
	cmd.Flags().StringSliceVar(&scenarios, "scenario", defaultScenarios, fmt.Sprintf("scenario files, or the shipped %v", scene.Shipped()))
	cmd.Flags().StringVar(&policyName, "policy", "fair", "policy of the queues: fair, or fifo as a baseline")
	cmd.Flags().StringVar(&logPath, "log", "", "write the entry hosts' log to this file")
	return cmd
}

func showReports(cmd *cobra.Command, f *flags, reports []*demo.Report) error {
	broken := false
	for _, rep := range reports {
		broken = broken || rep.Violated()
		if !f.json {
			rep.Print(cmd.OutOrStdout())
		}
	}
	if f.json {
		if err := printJSON(cmd.OutOrStdout(), reports); err != nil {
			return err
		}
	}
	if broken {
		return errViolated
	}
	return nil
}
