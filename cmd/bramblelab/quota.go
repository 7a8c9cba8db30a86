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

// quotaCommand measures in the model how closely limiters keep to quotas, and writes tables and quota.json.
func quotaCommand() *cobra.Command {
	o := &commonFlags{}
	c := &cobra.Command{Use: "quota", Args: cobra.NoArgs,
		Short: "Measure in the model how far limiters miss quotas, by their number and the counter's speed, and moments of a fleet: regions cut off for an hour, a day of changes",
		RunE: func(c *cobra.Command, _ []string) error {
			say := func(text string) { o.logf(c, "%s", text) }
			f := scale.Figures{Version: 1, Seed: o.seed, Quick: o.quick, Cores: runtime.GOMAXPROCS(0)}
			var err error
			if f.Quota, err = scale.MeasureQuota(c.Context(), o.seed, o.quick, say); err == nil {
				f.Moments, err = scale.MeasureModelled(c.Context(), o.seed, o.quick, say)
			}
			if err != nil {
				f.Partial = err.Error()
			}
			tables := []*lab.Table{scale.QuotaTable(f.Quota, false), scale.QuotaTable(f.Quota, true), scale.MomentTable(f.Moments)}
			return errors.Join(err, o.printTables(c, tables...), writeFigures(o.out, f))
		}}
	o.register(c, false)
	return c
}

// writeFigures writes the figures to quota.json in dir. It does nothing if dir is empty.
func writeFigures(dir string, f scale.Figures) error {
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
