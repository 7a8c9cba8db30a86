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

// scaleChild is the hidden sub-command that a rig starts itself as.
const scaleChild = "scale-child"

func scaleCommand() *cobra.Command {
	o := &common{}
	limiters, servers, beside, real, listen, model := 0, 0, 0, 0, "", true
	c := &cobra.Command{Use: "scale", Args: cobra.NoArgs,
		Short: "Measure what the control side of a large fleet costs: hollow limiters beside real ones; exit 0 only where the bars hold",
		RunE: func(c *cobra.Command, _ []string) error {
			o.began = time.Now()
			sizes := scale.FullSizes()
			if o.quick {
				sizes = scale.QuickSizes()
			}
			if err := sizes.Set(limiters, servers, beside, real); err != nil {
				return err
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			f, err := scale.Run(c.Context(), scale.Options{Seed: o.seed, Quick: o.quick, Sizes: sizes, Model: model, Binary: o.binary, Listen: listen,
				Child: func(role string) *exec.Cmd { return exec.Command(self, scaleChild, role) },
				Say:   func(format string, args ...any) { o.say(c, format, args...) }})
			if f == nil {
				return err
			}
			kept := o.tell(c, f.Tables()...)
			if o.out != "" {
				kept = errors.Join(kept, f.Keep(o.out))
			}
			if err := errors.Join(err, kept); err != nil {
				return err
			}
			return verdict(c, f.Broken(), f.Main())
		}}
	c.Flags().Uint64Var(&o.seed, "seed", 1, "the seed of the load")
	c.Flags().BoolVar(&o.quick, "quick", false, "the short form, under 60 s")
	c.Flags().StringVar(&o.out, "out", "", "a directory for figures.json, tables, charts and a page")
	c.Flags().StringVar(&o.binary, "binary", "", "the limiter's program, bramblefall-eval beside it; by default it is built from here")
	c.Flags().IntVar(&limiters, "limiters", 0, "the most hollow limiters (default 5700, quick 1000)")
	c.Flags().IntVar(&servers, "servers", 0, "the longest list (default 57000, quick 10000)")
	c.Flags().IntVar(&beside, "beside", 0, "servers on the list while the fleet grows (default 570, quick 100)")
	c.Flags().IntVar(&real, "real", 0, "real limiters (default 8)")
	c.Flags().BoolVar(&model, "model", true, "also the quota's error and the moments in the model's time, as the quota command does")
	c.Flags().StringVar(&listen, "listen", "", "loopback address of the stand-in discovery (default: a free port)")
	return c
}

func scaleChildCommand() *cobra.Command {
	return &cobra.Command{Use: scaleChild + " ROLE", Hidden: true, Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := scale.Child(c.Context(), args[0], os.Stdin, os.Stdout); err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			return nil
		}}
}
