package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"bramblefall/internal/capacity"
	"bramblefall/internal/lab"
	"bramblefall/internal/scale"
)

// errPageIncorrect is the error of a check that found statements of the page which do not follow from its figures.
var errPageIncorrect = errors.New("findings: the page does not follow from its figures")

// capacityCommand checks the capacity page against measured figures, or rewrites the parts of it that are derived from
// them.
func capacityCommand() *cobra.Command {
	page, write := filepath.Join("docs", "CAPACITY.md"), false
	var from []string
	c := &cobra.Command{Use: "capacity", Args: cobra.NoArgs,
		Short: "Check the capacity page against measured figures; exit 0 only where all of it follows",
		Long: "Check that each figure, extrapolation, budget and verdict of the capacity page follows from the figures in the files " +
			"(several are merged), the target and the page's assumptions. Without --from the files are those that the page names on " +
			"its line \"Figures:\". The last line is the main figure: the largest missing factor, and its row.",
		RunE: func(c *cobra.Command, _ []string) error {
			text, err := os.ReadFile(page)
			if err != nil {
				return err
			}
			if len(from) == 0 {
				from = capacity.Sources(string(text))
			}
			if len(from) == 0 {
				return fmt.Errorf("%s names no files on a line \"Figures:\" and --from is not given", page)
			}
			figures, err := readFigures(from)
			if err != nil {
				return err
			}
			review := capacity.Check(string(text), figures...)
			if write && review.Page != string(text) {
				if err := os.WriteFile(page, []byte(review.Page), 0o644); err != nil {
					return err
				}
				review = capacity.Check(review.Page, figures...)
			}
			for _, f := range review.Findings {
				fmt.Fprintf(c.OutOrStdout(), "%s: %s\n", page, f)
			}
			fmt.Fprintln(c.OutOrStdout(), review.Main)
			if n := len(review.Findings); n > 0 {
				return fmt.Errorf("%d %w", n, errPageIncorrect)
			}
			return nil
		}}
	c.Flags().StringSliceVar(&from, "from", nil, "files of figures as the scale command writes them; by default those that the page names")
	c.Flags().StringVar(&page, "page", page, "path of the capacity page")
	c.Flags().BoolVar(&write, "write", false, "rewrite the derived figures, verdicts and lists of the page before checking it")
	c.AddCommand(measureCommand())
	return c
}

// measureCommand measures one real limiter by itself, in addition to what the scale command measures.
func measureCommand() *cobra.Command {
	o := &commonFlags{}
	var out string
	var parts []string
	c := &cobra.Command{Use: "measure", Args: cobra.NoArgs, Short: "Measure one real limiter with long lists, many firms and a long plan book (about 6 minutes)",
		RunE: func(c *cobra.Command, _ []string) error {
			dir, err := os.MkdirTemp("", "bramblelab")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			binary := o.binary
			if binary == "" {
				o.logf(c, "building the limiter")
				if binary, err = lab.BuildLimiter(c.Context(), dir); err != nil {
					return err
				}
			}
			sizes := scale.FullResidentSizes()
			if o.quick {
				sizes = scale.QuickResidentSizes()
			}
			slopes, rejectedListSizes, err := scale.Resident(c.Context(), binary, sizes, parts, func(format string, args ...any) { o.logf(c, format, args...) })
			f := scale.Figures{Version: 1, Quick: o.quick, Slopes: slopes, Quota: []scale.QuotaError{}, Moments: []scale.Moment{}, Added: []scale.AddedTime{}}
			f.Cores, f.MemoryMB = scale.MachineSize()
			if err != nil {
				f.Partial = err.Error()
			}
			raw, _ := json.MarshalIndent(f, "", "  ")
			if err := errors.Join(os.WriteFile(out, append(raw, '\n'), 0o644), err); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%d slopes; whole lists that the limiter did not take as one line, by their number of servers: %v\n", len(slopes), rejectedListSizes)
			return nil
		}}
	o.began = time.Now()
	c.Flags().StringVar(&out, "out", "resident.json", "write the figures to this file")
	c.Flags().StringSliceVar(&parts, "only", nil, "measure only these of the parts "+strings.Join(scale.ResidentParts, ", ")+"; by default all")
	c.Flags().BoolVar(&o.quick, "quick", false, "small sizes, under a minute: a trial run")
	c.Flags().StringVar(&o.binary, "binary", "", "path of the limiter's program, with bramblefall-eval beside it; by default both are built from the current directory's module")
	return c
}

// readFigures reads files of figures as scale.Figures.Write and the measure command write them.
func readFigures(files []string) (all []capacity.File, err error) {
	for _, name := range files {
		raw, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		f := capacity.File{Name: name}
		if err := json.Unmarshal(raw, &f.Figures); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		all = append(all, f)
	}
	return all, nil
}
