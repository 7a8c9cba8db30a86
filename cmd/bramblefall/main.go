// Command bramblefall is one limiter: it holds member firms to their quotas in front of the exchange nodes. Its
// sub-commands tend a running one.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"regexp"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"bramblefall/internal/crash"
	"bramblefall/internal/operator"
	"bramblefall/internal/plans"
)

// Exit codes beside 0.
const (
	exitOther  = 1
	exitUnfit  = 2 // what was given cannot be used
	socketName = "BRAMBLEFALL_ADMIN"
)

func main() {
	defer crash.Guard()
	root := rootCommand()
	root.SetArgs(oldFlags(os.Args[1:]))
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "bramblefall:", err)
		os.Exit(exitCode(err))
	}
}

var oldFlag = regexp.MustCompile(`^-(config|ratelimit|log|operator)(=|$)`)

// oldFlags takes flags with one dash, as they were before there were sub-commands.
func oldFlags(args []string) []string {
	out := make([]string, len(args))
	for k, a := range args {
		if out[k] = a; oldFlag.MatchString(a) {
			out[k] = "-" + a
		}
	}
	return out
}

// exitCode tells what cannot be used from what went wrong.
func exitCode(err error) int {
	var unfit operator.Errors
	var problems plans.Problems
	var usage usageError
	if errors.As(err, &unfit) || errors.As(err, &problems) || errors.As(err, &usage) || status.Code(err) == codes.InvalidArgument {
		return exitUnfit
	}
	return exitOther
}

// usageError is a command line that cannot be used.
type usageError struct{ error }

func rootCommand() *cobra.Command {
	var o serveOptions
	root := &cobra.Command{
		Use:   "bramblefall",
		Short: "A limiter in front of exchange nodes; without a sub-command it serves",
		Args:  cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error { return serveCommand(o) },
	}
	serve := &cobra.Command{Use: "serve", Short: "Serve until SIGTERM", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return serveCommand(o) }}
	for _, c := range []*cobra.Command{root, serve} {
		c.Flags().StringVar(&o.config, "config", os.Getenv("RELAY_CONFIG"), "the platform's configuration, JSON")
		c.Flags().StringVar(&o.operator, "operator", "", "the operators' file, Starlark; without one all that it switches on is off")
		c.Flags().StringVar(&o.ratelimit, "ratelimit", "", "a JSON file that says where the gRPC front listens; the operators' file says it, too")
		c.Flags().StringVar(&o.level, "log", "info", "log level: debug, info, warn or error")
	}
	version := &cobra.Command{Use: "version", Short: "Tell which build this is", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return tellVersion(c) }}
	root.AddCommand(serve, version, checkCommand(), plansCommand(), reserveCommand())
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	return root
}

func tellVersion(c *cobra.Command) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("this build tells nothing of itself")
	}
	revision := ""
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = " " + s.Value
		}
	}
	_, err := fmt.Fprintf(c.OutOrStdout(), "bramblefall %s%s %s\n", info.Main.Version, revision, info.GoVersion)
	return err
}

type serveOptions struct{ config, operator, ratelimit, level string }

// serveCommand reads all that the limiter is told and serves.
func serveCommand(o serveOptions) error {
	told := signals{make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(told.end, syscall.SIGTERM, syscall.SIGINT) // before all else: a SIGHUP must not end it
	signal.Notify(told.again, syscall.SIGHUP)
	var least slog.Level
	if err := least.UnmarshalText([]byte(o.level)); err != nil {
		return usageError{err}
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: least})))
	cfg, err := readConfig(o.config, false)
	if err != nil {
		return err
	}
	file, err := readOperator(o.operator)
	if err != nil {
		return err
	}
	if o.ratelimit != "" {
		if file.RateLimit != nil {
			return usageError{errors.New("the gRPC front stands in the operators' file and in -ratelimit")}
		}
		if file.RateLimit, err = readRateLimit(o.ratelimit); err != nil {
			return err
		}
	}
	return serve(cfg, file, o, told)
}

// signals are what the platform says. Each kind has a channel of its own: an end must not be dropped behind others, nor wait
// until the files are read.
type signals struct{ end, again chan os.Signal }

// readOperator reads the operators' file; "": there is none.
func readOperator(path string) (operator.File, error) {
	if path == "" {
		return operator.File{Limits: plans.DefaultLimits}, nil
	}
	return operator.Read(path)
}
