package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/grpc/status"

	"bramblefall/internal/admin/adminpb"
)

// output is how a sub-command tells its result.
type output struct{ form string }

func (o *output) flag(c *cobra.Command) {
	c.PersistentFlags().StringVar(&o.form, "output", "table", "table or json")
	_ = c.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{"table", "json"}, cobra.ShellCompDirectiveNoFileComp))
}

// write tells v as JSON, or the rows as a table.
func (o *output) write(w io.Writer, v any, head string, rows [][]string) error {
	switch o.form {
	case "json":
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	case "table":
		t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
		fmt.Fprintln(t, strings.ReplaceAll(head, " ", "\t"))
		for _, r := range rows {
			fmt.Fprintln(t, strings.Join(r, "\t"))
		}
		return t.Flush()
	}
	return usageError{fmt.Errorf("--output is table or json, not %q", o.form)}
}

// plain tells an error of the admin service in its own words.
func plain(err error) error {
	if s, ok := status.FromError(err); ok && err != nil {
		return &serviceError{s.Message(), err}
	}
	return err
}

type serviceError struct {
	text string
	err  error
}

func (e *serviceError) Error() string { return e.text }
func (e *serviceError) Unwrap() error { return e.err }

// when reads an instant: RFC 3339, or a time from now such as +90s.
func when(text string) (time.Time, error) {
	if after, ok := strings.CutPrefix(text, "+"); ok {
		d, err := time.ParseDuration(after)
		if err != nil {
			return time.Time{}, usageError{err}
		}
		return time.Now().Add(d), nil
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return t, usageError{fmt.Errorf("%q is neither like 2026-12-31T21:00:00+03:00 nor like +90s", text)}
	}
	return t, nil
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

func tierRow(t *adminpb.Tier) []string {
	return []string{t.GetName(), number(t.GetRate()), number(t.GetBurst()), strconv.FormatInt(t.GetOpen(), 10),
		number(t.GetCeilingRate()), number(t.GetCeilingBurst()), number(t.GetCeilingSlack()), number(t.GetPrice()),
		number(t.GetOverWorth()), number(t.GetOverCost())}
}

const tierHead = "TIER RATE BURST OPEN CEILING-RATE CEILING-BURST CEILING-SLACK PRICE OVER-WORTH OVER-COST"

var errNoSocket = usageError{errors.New("which limiter? name its admin socket with --socket or " + socketName)}
