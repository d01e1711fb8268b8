package cmds

import (
	"os"

	"github.com/spf13/cobra"

	"lagooncourse/internal/tool/gauge"
)

func newMeasure(f *flags) *cobra.Command {
	cmd := &cobra.Command{Use: "measure", Short: "Take measurements"}
	var from string
	capacity := &cobra.Command{
		Use: "capacity", Short: "Measure what each role costs and work out the cost at the users' planned size",
		Args: exactly(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			slopes, err := slopesFrom(cmd, from)
			if err != nil {
				return err
			}
			if f.json {
				return printJSON(cmd.OutOrStdout(), slopes)
			}
			gauge.Write(cmd.OutOrStdout(), slopes)
			return nil
		},
	}
	capacity.Flags().StringVar(&from, "from", "", "print the table for the JSON of an earlier run instead of measuring")
	cmd.AddCommand(capacity)
	return cmd
}

// slopesFrom reads the slopes of an earlier run, or takes them anew.
func slopesFrom(cmd *cobra.Command, path string) ([]gauge.Slope, error) {
	if path == "" {
		return gauge.Measure(contextOf(cmd), gauge.Config{Progress: cmd.ErrOrStderr()})
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return gauge.Load(data)
}
