package main

import (
	"fmt"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"bramblefall/internal/sharding"
)

// checkCommand evaluates and checks an operators' file as the limiter does at its start. It needs no running limiter.
func checkCommand() *cobra.Command {
	o := &output{}
	c := &cobra.Command{Use: "check FILE", Short: "Check an operators' file without a running limiter", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			file, err := readOperator(args[0])
			if err != nil {
				return err
			}
			var rows [][]string
			for _, v := range file.Plans {
				rows = append(rows, []string{"plans", strconv.FormatUint(v.Number, 10), formatStart(v.Effective), strconv.Itoa(len(v.Tiers)) + " tiers", v.Note})
			}
			for _, r := range file.Reservations {
				rows = append(rows, []string{"reservation", r.ID, formatStart(r.From), formatNumber(r.Units) + " units", r.Note})
			}
			if file.RateLimit != nil {
				rows = append(rows, []string{"ratelimit", file.RateLimit.Listen, "at the start", "domain " + strconv.Quote(file.RateLimit.Domain), ""})
			}
			if file.Admin != nil {
				rows = append(rows, []string{"admin", file.Admin.Socket, "at the start", "", ""})
			}
			for _, x := range file.Counters {
				rows = append(rows, []string{"counter", x.Address, "at once", "", fmt.Sprintf("one of %d, list %s", len(file.Counters), sharding.Fingerprint(file.CounterAddresses()))})
			}
			return o.write(c.OutOrStdout(), file, "WHAT WHICH FROM SIZE NOTE", rows)
		}}
	o.flag(c)
	return c
}

// formatStart formats the instant from which a version or a reservation holds. 0 stands for the instant of its receipt.
func formatStart(d time.Duration) string {
	if d == 0 {
		return "on receipt"
	}
	return time.Unix(0, int64(d)).Local().Format(time.RFC3339)
}
