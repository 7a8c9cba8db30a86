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

// output is the format in which a sub-command writes its result.
type output struct{ format string }

func (o *output) flag(c *cobra.Command) {
	c.PersistentFlags().StringVar(&o.format, "output", "table", "table or json")
	_ = c.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{"table", "json"}, cobra.ShellCompDirectiveNoFileComp))
}

// write writes v as JSON or the rows as a table. The headings are separated by spaces.
func (o *output) write(w io.Writer, v any, head string, rows [][]string) error {
	switch o.format {
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
	return usageError{fmt.Errorf("--output: got %q, want table or json", o.format)}
}

// serviceErrorOf strips the gRPC prefix from an error of the admin service, so that only the service's own message is shown.
func serviceErrorOf(err error) error {
	if s, ok := status.FromError(err); ok && err != nil {
		return &serviceError{s.Message(), err}
	}
	return err
}

// serviceError is an error with the text of the admin service that still unwraps to its gRPC status.
type serviceError struct {
	text string
	err  error
}

func (e *serviceError) Error() string { return e.text }
func (e *serviceError) Unwrap() error { return e.err }

// parseInstant reads an instant, either in RFC 3339 or relative to now, such as +90s.
func parseInstant(text string) (time.Time, error) {
	if after, ok := strings.CutPrefix(text, "+"); ok {
		d, err := time.ParseDuration(after)
		if err != nil {
			return time.Time{}, usageError{err}
		}
		return time.Now().Add(d), nil
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return t, usageError{fmt.Errorf("got time %q, want one like 2026-12-31T21:00:00+03:00 or like +90s", text)}
	}
	return t, nil
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

func tierRow(t *adminpb.Tier) []string {
	return []string{t.GetName(), formatNumber(t.GetRate()), formatNumber(t.GetBurst()), strconv.FormatInt(t.GetOpen(), 10),
		formatNumber(t.GetCeilingRate()), formatNumber(t.GetCeilingBurst()), formatNumber(t.GetCeilingSlack()), formatNumber(t.GetPrice()),
		formatNumber(t.GetOverWorth()), formatNumber(t.GetOverCost())}
}

const tierColumns = "TIER RATE BURST OPEN CEILING-RATE CEILING-BURST CEILING-SLACK PRICE OVER-WORTH OVER-COST"

var errNoSocket = usageError{errors.New("no limiter given: name its admin socket with --socket or " + adminSocketEnv)}
