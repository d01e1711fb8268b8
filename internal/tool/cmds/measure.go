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
		Use: "capacity", Short: "Measure the cost of each role and extrapolate it to the users' planned size",
		Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			slopes, err := loadOrMeasure(cmd, from)
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

// loadOrMeasure reads the slopes of an earlier run from path, or measures them if
// path is empty.
func loadOrMeasure(cmd *cobra.Command, path string) ([]gauge.Slope, error) {
	if path == "" {
		return gauge.Measure(contextOf(cmd), gauge.Config{Progress: cmd.ErrOrStderr()})
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return gauge.Load(data)
}
