package cmds

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"

	"github.com/spf13/cobra"

	"lagooncourse/internal/cell/config"
	"lagooncourse/internal/cell/jobs"
	"lagooncourse/internal/node/entry"
)

// editFlags holds the flags of commands that change the configuration.
type editFlags struct {
	f    *flags
	base int64
	id   string
	by   string
}

func (e *editFlags) addTo(cmd *cobra.Command) *cobra.Command {
	cmd.Flags().Int64Var(&e.base, "base", -1, "version that the edit is based on; the present one by default")
	cmd.Flags().StringVar(&e.id, "edit", "", "id of the edit, to repeat one without harm")
	cmd.Flags().StringVar(&e.by, "by", "operator", "who makes the edit")
	return cmd
}

// apply sends the edit and prints its result. Without --base, the edit is based on
// the current version of its object.
func (e *editFlags) apply(cmd *cobra.Command, ed config.Edit) error {
	ctx := cmd.Context()
	c := e.f.client()
	ed.ID, ed.By, ed.Base = e.id, e.by, config.Version(e.base)
	if e.base < 0 {
		conf, err := c.Config(ctx)
		if err != nil {
			return err
		}
		ed.Base = objectVersion(conf, ed.Object())
	}
	res, err := c.Edit(ctx, ed)
	if err != nil {
		return err
	}
	if e.f.json {
		return printJSON(cmd.OutOrStdout(), res)
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s accepted at offset %d, version %d\n", ed.Object(), res.Offset, res.Version)
	return err
}

func objectVersion(c entry.ConfigAnswer, object string) config.Version {
	s := config.State{Plans: c.Plans, Allows: c.Allows, Keys: c.Keys, Azs: c.Azs}
	return s.VersionOf(object)
}

// newConfigList returns a command that prints a part of the configuration.
func newConfigList(f *flags, short string, show func(io.Writer, entry.ConfigAnswer)) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: short, Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := f.client().Config(cmd.Context())
			if err != nil {
				return err
			}
			if f.json {
				return printJSON(cmd.OutOrStdout(), c)
			}
			show(cmd.OutOrStdout(), c)
			return nil
		},
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

func newPlan(f *flags) *cobra.Command {
	plan := &cobra.Command{Use: "plan", Short: "Customer plans of teams"}
	var share, accel int64
	var cpu float64
	var memory string
	e := &editFlags{f: f}
	newSetCommand := func(use, short string) *cobra.Command {
		cmd := e.addTo(&cobra.Command{
			Use: use + " TEAM", Short: short, Args: exactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				mem, err := parseMemory(memory)
				if err != nil {
					return err
				}
				limit := jobs.Size{CPU: int64(cpu * millicoresPerCore), Mem: mem, Accel: accel}
				if use == "create" {
					e.base = 0
				}
				return e.apply(cmd, config.Edit{Operation: config.SetPlan, Name: args[0], Share: share, Limit: limit})
			},
		})
		cmd.Flags().Int64Var(&share, "share", 1, "weight when the fleet is full")
		cmd.Flags().Float64Var(&cpu, "cpu", 0, "upper limit in cores")
		cmd.Flags().StringVar(&memory, "memory", "", `upper limit, such as "64GiB"; none by default`)
		cmd.Flags().Int64Var(&accel, "accelerators", 0, "upper limit in devices")
		return cmd
	}
	plan.AddCommand(newSetCommand("create", "Create a plan"), newSetCommand("set", "Change a plan"))
	plan.AddCommand(e.addTo(&cobra.Command{
		Use: "delete TEAM", Short: "Delete a plan", Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return e.apply(cmd, config.Edit{Operation: config.DeletePlan, Name: args[0]})
		},
	}))
	plan.AddCommand(newConfigList(f, "List the plans", func(w io.Writer, c entry.ConfigAnswer) {
		for _, team := range sortedKeys(c.Plans) {
			if p := c.Plans[team]; !p.Deleted {
				fmt.Fprintf(w, "%-20s share %-5d limit %s (version %d)\n", team, p.Share, p.Limit, p.Version)
			}
		}
	}))
	return plan
}

const (
	millicoresPerCore = 1000
	unitFactor        = 1024 // from MiB to GiB and from GiB to TiB
)

// parseMemory parses a size such as "512MiB" or "64GiB" and returns it in MiB. An
// empty string means no limit.
func parseMemory(s string) (int64, error) {
	if s == "" {
		return jobs.Unlimited, nil
	}
	units := []struct {
		suffix string
		mib    int64
	}{{"MiB", 1}, {"GiB", unitFactor}, {"TiB", unitFactor * unitFactor}}
	for _, u := range units {
		text, ok := strings.CutSuffix(s, u.suffix)
		if !ok {
			continue
		}
		var n int64
		if _, err := fmt.Sscanf(text, "%d", &n); err == nil && n >= 0 && fmt.Sprint(n) == text && n < jobs.Unlimited/u.mib {
			return n * u.mib, nil
		}
	}
	return 0, fmt.Errorf("%w: memory %q must be a whole number with MiB, GiB or TiB", errUsage, s)
}

func newAllow(f *flags) *cobra.Command {
	allow := &cobra.Command{Use: "allow", Short: "The list of what a plan may use"}
	e := &editFlags{f: f}
	change := func(use, short string, kind config.Operation) *cobra.Command {
		return e.addTo(&cobra.Command{
			Use: use + " TEAM KIND:NAME...", Short: short,
			Args: func(cmd *cobra.Command, args []string) error {
				if len(args) < 2 {
					return fmt.Errorf("%w: %q takes a team and at least one item", errUsage, cmd.CommandPath())
				}
				return nil
			},
			RunE: func(cmd *cobra.Command, args []string) error {
				return e.apply(cmd, config.Edit{Operation: kind, Name: args[0], Items: args[1:]})
			},
		})
	}
	allow.AddCommand(
		change("add", "Add items such as queue:deep, service:triage or az:west", config.AddAllow),
		change("remove", "Remove items", config.RemoveAllow),
		newConfigList(f, "List what each plan may use", func(w io.Writer, c entry.ConfigAnswer) {
			for _, team := range sortedKeys(c.Allows) {
				fmt.Fprintf(w, "%-20s %s (version %d)\n", team, strings.Join(c.Allows[team].Items, " "), c.Allows[team].Version)
			}
		}),
	)
	return allow
}

func newKey(f *flags) *cobra.Command {
	key := &cobra.Command{Use: "key", Short: "Keys of teams"}
	e := &editFlags{f: f}
	key.AddCommand(e.addTo(&cobra.Command{
		Use: "give TEAM", Short: "Give a team a new key; it is shown once", Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			id, secret := strings.ToLower(rand.Text()[:10]), rand.Text()
			e.base = 0
			err := e.apply(cmd, config.Edit{Operation: config.IssueKey, Name: id, Team: args[0], SecretHash: config.HashSecret(secret)})
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s.%s\n", id, secret)
			return err
		},
	}))
	key.AddCommand(e.addTo(&cobra.Command{
		Use: "withdraw ID", Short: "Withdraw a key", Args: exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return e.apply(cmd, config.Edit{Operation: config.RevokeKey, Name: args[0]})
		},
	}))
	key.AddCommand(newConfigList(f, "List the keys, without their secrets", func(w io.Writer, c entry.ConfigAnswer) {
		for _, id := range sortedKeys(c.Keys) {
			k := c.Keys[id]
			state := "given"
			if k.Revoked {
				state = "withdrawn"
			}
			fmt.Fprintf(w, "%-12s %-20s %s (version %d)\n", id, k.Team, state, k.Version)
		}
	}))
	return key
}

func newAz(f *flags) *cobra.Command {
	az := &cobra.Command{Use: "az", Short: "Availability zones"}
	e := &editFlags{f: f}
	change := func(use, short string, kind config.Operation) *cobra.Command {
		return e.addTo(&cobra.Command{
			Use: use + " AZ", Short: short, Args: exactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return e.apply(cmd, config.Edit{Operation: kind, Name: args[0]})
			},
		})
	}
	az.AddCommand(
		change("out", "Take an availability zone out of service", config.TakeAzOut),
		change("back", "Bring an availability zone back", config.ReturnAz),
		newConfigList(f, "List the availability zones that were ever taken out", func(w io.Writer, c entry.ConfigAnswer) {
			for _, name := range sortedKeys(c.Azs) {
				state := "in service"
				if c.Azs[name].Out {
					state = "out of service"
				}
				fmt.Fprintf(w, "%-20s %s (version %d)\n", name, state, c.Azs[name].Version)
			}
		}),
	)
	return az
}

func newTask(f *flags) *cobra.Command {
	task := &cobra.Command{Use: "task", Short: "Tasks whose outcome is unknown"}
	task.AddCommand(&cobra.Command{
		Use: "settle JOB/INDEX done|failed|rerun", Short: "Set the outcome of a parked task, or run it again", Args: exactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			action := jobs.Action(args[1])
			if !slices.Contains(jobs.Actions, action) {
				return fmt.Errorf("%w: action %q must be one of %v", errUsage, args[1], jobs.Actions)
			}
			a, err := f.client().Settle(cmd.Context(), args[0], action)
			if err != nil {
				return err
			}
			return showJob(cmd, f, a)
		},
	})
	return task
}

func newDump(f *flags) *cobra.Command {
	return &cobra.Command{
		Use: "dump", Short: "Print the state of an entry host as JSON", Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			d, err := f.client().Dump(contextOf(cmd))
			if err != nil {
				return err
			}
			return printJSON(cmd.OutOrStdout(), d)
		},
	}
}

func contextOf(cmd *cobra.Command) context.Context {
	if ctx := cmd.Context(); ctx != nil {
		return ctx
	}
	return context.Background()
}
