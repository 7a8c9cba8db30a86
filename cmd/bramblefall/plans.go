package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"bramblefall/internal/admin"
	"bramblefall/internal/admin/adminpb"
	"bramblefall/internal/operator"
)

// callTimeout bounds all calls that one sub-command makes, such as one for each version of a file. In each call, the admin
// service itself waits up to 5 s for an answer.
const callTimeout = 10 * time.Second

// remote is a sub-command that calls the admin service of a running limiter.
type remote struct {
	output
	socket string
}

func (r *remote) flags(c *cobra.Command) {
	r.output.flag(c)
	c.PersistentFlags().StringVar(&r.socket, "socket", os.Getenv(adminSocketEnv), "the admin socket of a running limiter")
}

// call connects to the admin service and passes a client to method, whose calls are together bounded by callTimeout.
func (r *remote) call(method func(context.Context, adminpb.AdminClient) error) error {
	if r.socket == "" {
		return errNoSocket
	}
	client, end, err := admin.Dial(r.socket)
	if err != nil {
		return err
	}
	defer end()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return serviceErrorOf(method(ctx, client))
}

// showBook fetches the plan book and passes it to show, which writes a part of it.
func (r *remote) showBook(show func(*adminpb.Book) error) error {
	return r.call(func(ctx context.Context, client adminpb.AdminClient) error {
		b, err := client.ShowPlans(ctx, &adminpb.ShowPlansRequest{})
		if err != nil {
			return err
		}
		return show(b)
	})
}

// protoJSON encodes protobuf messages, with the field names of the schema, for the output's JSON encoder.
func protoJSON[M proto.Message](list ...M) (out []rawJSON) {
	out = []rawJSON{}
	for _, m := range list {
		b, err := protojson.MarshalOptions{EmitUnpopulated: true, UseProtoNames: true}.Marshal(m)
		if err == nil {
			out = append(out, b)
		}
	}
	return out
}

// rawJSON is text that is already JSON.
type rawJSON []byte

// MarshalJSON implements json.Marshaler.
func (r rawJSON) MarshalJSON() ([]byte, error) { return r, nil }

// formatTimestamp formats a time in the local zone, or "-" if it is absent.
func formatTimestamp(t *timestamppb.Timestamp) string {
	if t == nil {
		return "-"
	}
	return t.AsTime().Local().Format(time.RFC3339)
}

func versionRow(state string, v *adminpb.Version) []string {
	return []string{strconv.FormatUint(v.GetNumber(), 10), state, formatTimestamp(v.GetEffective()), v.GetSource(),
		strconv.Itoa(len(v.GetTiers())), strconv.Itoa(len(v.GetFirms())), v.GetNote()}
}

const versionColumns = "VERSION STATE EFFECTIVE SOURCE TIERS FIRMS NOTE"

func plansCommand() *cobra.Command {
	r := &remote{}
	c := &cobra.Command{Use: "plans", Short: "Show and change the plans of a running limiter"}
	r.flags(c)
	list := &cobra.Command{Use: "list", Short: "List the version in force and those to come", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return r.showBook(func(b *adminpb.Book) error {
				rows := [][]string{versionRow("in force", b.GetCurrent())}
				for _, v := range b.GetPending() {
					rows = append(rows, versionRow("to come", v))
				}
				return r.write(c.OutOrStdout(), protoJSON(append([]*adminpb.Version{b.GetCurrent()}, b.GetPending()...)...), versionColumns, rows)
			})
		}}
	show := &cobra.Command{Use: "show [NUMBER]", Short: "Show the tiers of a version, by default the one in force", Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return r.showBook(func(b *adminpb.Book) error {
				v, err := findVersion(b, args)
				if err != nil {
					return err
				}
				var rows [][]string
				for _, t := range v.GetTiers() {
					rows = append(rows, tierRow(t))
				}
				return r.write(c.OutOrStdout(), protoJSON(v), tierColumns, rows)
			})
		}}
	history := &cobra.Command{Use: "history", Short: "List the versions that have ended", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return r.showBook(func(b *adminpb.Book) error {
				var rows [][]string
				for _, e := range b.GetHistory() {
					state := "until " + formatTimestamp(e.GetUntil())
					if e.GetWithdrawn() {
						state = "withdrawn"
					}
					rows = append(rows, versionRow(state, e.GetVersion()))
				}
				return r.write(c.OutOrStdout(), protoJSON(b.GetHistory()...), versionColumns, rows)
			})
		}}
	withdraw := &cobra.Command{Use: "withdraw NUMBER", Short: "Withdraw a version that is not yet in force", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			n, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return usageError{err}
			}
			return r.call(func(ctx context.Context, client adminpb.AdminClient) error {
				b, err := client.WithdrawPlans(ctx, &adminpb.WithdrawPlansRequest{Number: n})
				if err != nil {
					return err
				}
				return r.write(c.OutOrStdout(), protoJSON(b.GetPending()...), versionColumns, nil)
			})
		}}
	c.AddCommand(list, show, history, withdraw, r.diff(), r.apply())
	return c
}

// findVersion returns the version that an argument names, or the one in force if there is no argument.
func findVersion(b *adminpb.Book, args []string) (*adminpb.Version, error) {
	if len(args) == 0 {
		return b.GetCurrent(), nil
	}
	n, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return nil, usageError{err}
	}
	all := append([]*adminpb.Version{b.GetCurrent()}, b.GetPending()...)
	for _, e := range b.GetHistory() {
		all = append(all, e.GetVersion())
	}
	k := slices.IndexFunc(all, func(v *adminpb.Version) bool { return v.GetNumber() == n })
	if k < 0 {
		return nil, usageError{fmt.Errorf("the limiter has no version %d", n)}
	}
	return all[k], nil
}

// diff shows what the versions of a file would change, without applying them.
func (r *remote) diff() *cobra.Command {
	return &cobra.Command{Use: "diff FILE", Short: "Show what the versions of an operators' file would change", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return r.propose(c, args[0], true) }}
}

func (r *remote) apply() *cobra.Command {
	dryRun := false
	c := &cobra.Command{Use: "apply FILE", Short: "Apply the versions of an operators' file; each takes effect at its instant", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return r.propose(c, args[0], dryRun) }}
	c.Flags().BoolVar(&dryRun, "dry-run", false, "only show what would change, for which tiers and for how many firms known to the limiter")
	return c
}

func (r *remote) propose(c *cobra.Command, path string, dryRun bool) error {
	file, err := readOperator(path)
	if err != nil {
		return err
	}
	if len(file.Plans) == 0 {
		return operator.Errors{path + ": got 0 plans, want at least one to apply"}
	}
	var effects []*adminpb.Effect
	var rows [][]string
	err = r.call(func(ctx context.Context, client adminpb.AdminClient) error {
		for k, v := range file.Plans {
			answer, err := client.ApplyPlans(ctx, &adminpb.ApplyPlansRequest{Version: admin.VersionToProto(v), DryRun: dryRun})
			if err != nil {
				return fmt.Errorf("version %d (plans[%d]; those before it were accepted): %w", v.Number, k, serviceErrorOf(err))
			}
			effects = append(effects, answer.GetEffects()...)
			for _, e := range answer.GetEffects() {
				rows = append(rows, []string{strconv.FormatUint(v.Number, 10), e.GetTier(), e.GetKind(), strconv.FormatInt(e.GetFirms(), 10),
					formatNumber(e.GetFrom().GetRate()) + "->" + formatNumber(e.GetTo().GetRate()),
					formatNumber(e.GetFrom().GetBurst()) + "->" + formatNumber(e.GetTo().GetBurst()),
					formatNumber(e.GetFrom().GetCeilingRate()) + "->" + formatNumber(e.GetTo().GetCeilingRate())})
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	return r.write(c.OutOrStdout(), protoJSON(effects...), "VERSION TIER CHANGE FIRMS RATE BURST CEILING-RATE", rows)
}
