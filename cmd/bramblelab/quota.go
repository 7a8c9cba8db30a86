package main

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"runtime"

	"github.com/spf13/cobra"

	"bramblefall/internal/lab"
	"bramblefall/internal/scale"
)

func quotaCommand() *cobra.Command {
	o := &common{}
	c := &cobra.Command{Use: "quota", Args: cobra.NoArgs,
		Short: "Measure in the model how far quotas are missed, by limiters and the counter's speed, and moments of a fleet",
		RunE: func(c *cobra.Command, _ []string) error {
			say := func(text string) { o.say(c, "%s", text) }
			f := scale.Figures{Version: 1, Seed: o.seed, Quick: o.quick, Cores: runtime.GOMAXPROCS(0)}
			var err error
			if f.Quota, err = scale.Quota(c.Context(), o.seed, o.quick, say); err == nil {
				f.Moments, err = scale.Modelled(c.Context(), o.seed, o.quick, say)
			}
			if err != nil {
				f.Partial = err.Error()
			}
			tables := []*lab.Table{scale.QuotaTable(f.Quota, false), scale.QuotaTable(f.Quota, true), scale.MomentTable(f.Moments)}
			return errors.Join(err, o.tell(c, tables...), keepFigures(o.out, f))
		}}
	o.flags(c, false)
	return c
}

// keepFigures writes the figures into dir; "": nowhere.
func keepFigures(dir string, f scale.Figures) error {
	if dir == "" {
		return nil
	}
	raw, err := json.MarshalIndent(f, "", " ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "quota.json"), append(raw, '\n'), 0o644)
}
