package main

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"bramblefall/internal/admin"
	"bramblefall/internal/admin/adminpb"
	"bramblefall/internal/core"
	"bramblefall/internal/plans"
)

func reserveCommand() *cobra.Command {
	r := &remote{}
	c := &cobra.Command{Use: "reserve", Short: "Manage reservations of units for single firms"}
	r.flags(c)
	list := &cobra.Command{Use: "list", Short: "List the reservations and their known use", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return r.showBook(func(b *adminpb.Book) error { return r.reservations(c.OutOrStdout(), b) })
		}}
	revoke := &cobra.Command{Use: "revoke ID", Short: "End a reservation now", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return r.call(func(ctx context.Context, client adminpb.AdminClient) error {
				b, err := client.RevokeReservation(ctx, &adminpb.RevokeReservationRequest{Id: args[0]})
				if err != nil {
					return err
				}
				return r.reservations(c.OutOrStdout(), b)
			})
		}}
	c.AddCommand(r.grant(), list, revoke)
	return c
}

func (r *remote) grant() *cobra.Command {
	var id, firm, start, end, note string
	var units, rate float64
	c := &cobra.Command{Use: "grant", Short: "Grant a firm units beside its plan for a time; repeating the same grant changes nothing", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			n, err := strconv.ParseUint(firm, 16, 64)
			if err != nil {
				return usageError{fmt.Errorf("--firm: got %q, want a hex number", firm)}
			}
			from, err := parseInstant(start)
			if err != nil {
				return err
			}
			until, err := parseInstant(end)
			if err != nil {
				return err
			}
			x := plans.Reservation{ID: id, Firm: n, Units: units, Rate: rate, Note: note, From: time.Duration(from.UnixNano()),
				Until: time.Duration(until.UnixNano())}
			return r.call(func(ctx context.Context, client adminpb.AdminClient) error {
				b, err := client.GrantReservation(ctx, &adminpb.GrantReservationRequest{
					Reservation: admin.ReservationToProto(x, core.ReservationUse{})})
				if err != nil {
					return err
				}
				return r.reservations(c.OutOrStdout(), b)
			})
		}}
	c.Flags().StringVar(&id, "id", "", "identifier of the grant; a grant with the same identifier and content is the same one")
	c.Flags().StringVar(&firm, "firm", "", "the firm's number, hex")
	c.Flags().Float64Var(&units, "units", 0, "total units")
	c.Flags().Float64Var(&rate, "rate", 0, "limit in units per second; 0: none")
	c.Flags().StringVar(&start, "start", "+0s", "start, in RFC 3339 or relative to now such as +10m; for the same grant on several limiters, give start and end in RFC 3339")
	c.Flags().StringVar(&end, "end", "", "end, in the same forms as --start")
	c.Flags().StringVar(&note, "note", "", "reason for the grant")
	for _, name := range []string{"id", "firm", "units", "end"} {
		_ = c.MarkFlagRequired(name)
	}
	return c
}

func (r *remote) reservations(w io.Writer, b *adminpb.Book) error {
	var rows [][]string
	for _, x := range b.GetReservations() {
		rows = append(rows, []string{x.GetId(), fmt.Sprintf("%x", x.GetFirm()), x.GetState(), formatNumber(x.GetUnits()), formatNumber(x.GetRate()),
			formatNumber(x.GetUsed()), formatNumber(x.GetLeased()), formatTimestamp(x.GetStart()), formatTimestamp(x.GetEnd()), x.GetSource(), x.GetNote()})
	}
	return r.write(w, protoJSON(b.GetReservations()...), "ID FIRM STATE UNITS RATE USED-HERE LEASED START END SOURCE NOTE", rows)
}
