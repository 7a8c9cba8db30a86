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
	c := &cobra.Command{Use: "reserve", Short: "Reservations of allowance for single firms"}
	r.flags(c)
	list := &cobra.Command{Use: "list", Short: "Reservations, with what is known of their use", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return r.book(func(b *adminpb.Book) error { return r.reservations(c.OutOrStdout(), b) })
		}}
	revoke := &cobra.Command{Use: "revoke ID", Short: "End a reservation now", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return r.do(func(ctx context.Context, client adminpb.AdminClient) error {
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
	c := &cobra.Command{Use: "grant", Short: "Grant a firm units beside its plan, for a time; twice the same is one", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			n, err := strconv.ParseUint(firm, 16, 64)
			if err != nil {
				return usageError{fmt.Errorf("--firm: %q is not a hex number", firm)}
			}
			from, err := when(start)
			if err != nil {
				return err
			}
			until, err := when(end)
			if err != nil {
				return err
			}
			x := plans.Reservation{ID: id, Firm: n, Units: units, Rate: rate, Note: note, From: time.Duration(from.UnixNano()),
				Until: time.Duration(until.UnixNano())}
			return r.do(func(ctx context.Context, client adminpb.AdminClient) error {
				b, err := client.GrantReservation(ctx, &adminpb.GrantReservationRequest{
					Reservation: admin.ReservationOut(x, core.ReservationUse{})})
				if err != nil {
					return err
				}
				return r.reservations(c.OutOrStdout(), b)
			})
		}}
	c.Flags().StringVar(&id, "id", "", "the grant's own name: asked for again, it is the same grant")
	c.Flags().StringVar(&firm, "firm", "", "the firm's number, hex")
	c.Flags().Float64Var(&units, "units", 0, "units in all")
	c.Flags().Float64Var(&rate, "rate", 0, "units a second at most; 0: any")
	c.Flags().StringVar(&start, "start", "+0s", "RFC 3339, or a time from now such as +10m; give both as instants to have the same grant on several limiters")
	c.Flags().StringVar(&end, "end", "", "likewise")
	c.Flags().StringVar(&note, "note", "", "why")
	for _, name := range []string{"id", "firm", "units", "end"} {
		_ = c.MarkFlagRequired(name)
	}
	return c
}

func (r *remote) reservations(w io.Writer, b *adminpb.Book) error {
	var rows [][]string
	for _, x := range b.GetReservations() {
		rows = append(rows, []string{x.GetId(), fmt.Sprintf("%x", x.GetFirm()), x.GetState(), number(x.GetUnits()), number(x.GetRate()),
			number(x.GetUsed()), number(x.GetLeased()), at(x.GetStart()), at(x.GetEnd()), x.GetSource(), x.GetNote()})
	}
	return r.write(w, plainJSON(b.GetReservations()...), "ID FIRM STATE UNITS RATE USED-HERE LEASED START END SOURCE NOTE", rows)
}
