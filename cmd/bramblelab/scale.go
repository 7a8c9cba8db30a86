package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"time"

	"github.com/spf13/cobra"

	"bramblefall/internal/scale"
)

// scaleChildCommandName is the hidden sub-command with which the scale command starts its own program as a child process.
const scaleChildCommandName = "scale-child"

// scaleCommand measures the cost of discovery and the counter in a large fleet of hollow limiters and a few real ones.
func scaleCommand() *cobra.Command {
	o := &commonFlags{}
	maxHollowLimiters, maxServers, serversWhileGrowing, realLimiters, listen, withModel := 0, 0, 0, 0, "", true
	c := &cobra.Command{Use: "scale", Args: cobra.NoArgs,
		Short: "Measure what the control side of a large fleet costs: hollow limiters beside real ones; exit 0 only where the bars hold",
		RunE: func(c *cobra.Command, _ []string) error {
			o.began = time.Now()
			sizes := scale.FullSizes()
			if o.quick {
				sizes = scale.QuickSizes()
			}
			if err := sizes.Set(maxHollowLimiters, maxServers, serversWhileGrowing, realLimiters); err != nil {
				return err
			}
			executable, err := os.Executable()
			if err != nil {
				return err
			}
			figures, err := scale.Run(c.Context(), scale.Options{Seed: o.seed, Quick: o.quick, Sizes: sizes, Model: withModel, Binary: o.binary, Listen: listen,
				ChildCommand: func(role string) *exec.Cmd { return exec.Command(executable, scaleChildCommandName, role) },
				Progress:     func(format string, args ...any) { o.logf(c, format, args...) }})
			if figures == nil {
				return err
			}
			writeErr := o.printTables(c, figures.Tables()...)
			if o.out != "" {
				writeErr = errors.Join(writeErr, figures.Write(o.out))
			}
			if err := errors.Join(err, writeErr); err != nil {
				return err
			}
			return reportOutcome(c, figures.BrokenBars(), figures.Summary())
		}}
	c.Flags().Uint64Var(&o.seed, "seed", 1, "seed of the load")
	c.Flags().BoolVar(&o.quick, "quick", false, "a short run, under 60 s")
	c.Flags().StringVar(&o.out, "out", "", "write figures.json, tables, charts and an HTML page to this directory")
	c.Flags().StringVar(&o.binary, "binary", "", "path of the limiter's program, with bramblefall-eval beside it; by default both are built from the current directory's module")
	c.Flags().IntVar(&maxHollowLimiters, "limiters", 0, "largest number of hollow limiters, which follow discovery and call the counter but serve no requests (default 5700, quick 1000)")
	c.Flags().IntVar(&maxServers, "servers", 0, "largest number of servers on the list (default 57000, quick 10000)")
	c.Flags().IntVar(&serversWhileGrowing, "beside", 0, "number of servers on the list while the fleet grows (default 570, quick 100)")
	c.Flags().IntVar(&realLimiters, "real", 0, "number of real limiters (default 8)")
	c.Flags().BoolVar(&withModel, "model", true, "also measure the error of quotas and the moments in the model, as the quota command does")
	c.Flags().StringVar(&listen, "listen", "", "loopback address of the discovery stand-in (default: a free port)")
	return c
}

// scaleChildCommand runs one role of the scale command in a child process.
func scaleChildCommand() *cobra.Command {
	return &cobra.Command{Use: scaleChildCommandName + " ROLE", Hidden: true, Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := scale.Child(c.Context(), args[0], os.Stdin, os.Stdout); err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			return nil
		}}
}
