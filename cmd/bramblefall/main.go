// Command bramblefall is a rate limiter: it enforces the quotas of member firms in front of a group of exchange nodes. Its
// sub-commands check an operators' file and manage the plans and reservations of a running limiter.
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

// Exit codes other than 0.
const (
	exitFailure = 1
	exitInvalid = 2 // invalid command line, operators' file or request
)

// adminSocketEnv is the environment variable with the default of --socket.
const adminSocketEnv = "BRAMBLEFALL_ADMIN"

func main() {
	defer crash.Guard()
	root := rootCommand()
	root.SetArgs(doubleDashFlags(os.Args[1:]))
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "bramblefall:", err)
		os.Exit(exitCode(err))
	}
}

var singleDashFlag = regexp.MustCompile(`^-(config|ratelimit|log|operator)(=|$)`)

// doubleDashFlags accepts flags with a single dash, as they were written before the program had sub-commands.
func doubleDashFlags(args []string) []string {
	out := make([]string, len(args))
	for k, a := range args {
		if out[k] = a; singleDashFlag.MatchString(a) {
			out[k] = "-" + a
		}
	}
	return out
}

// exitCode distinguishes invalid input from other failures.
func exitCode(err error) int {
	var fileErrors operator.Errors
	var problems plans.Problems
	var usage usageError
	if errors.As(err, &fileErrors) || errors.As(err, &problems) || errors.As(err, &usage) || status.Code(err) == codes.InvalidArgument {
		return exitInvalid
	}
	return exitFailure
}

// usageError is an error in the command line.
type usageError struct{ error }

func rootCommand() *cobra.Command {
	var o serveOptions
	root := &cobra.Command{
		Use:   "bramblefall",
		Short: "A rate limiter in front of exchange nodes; without a sub-command it serves",
		Args:  cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error { return serveCommand(o) },
	}
	serve := &cobra.Command{Use: "serve", Short: "Serve until SIGTERM", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return serveCommand(o) }}
	for _, c := range []*cobra.Command{root, serve} {
		c.Flags().StringVar(&o.config, "config", os.Getenv("RELAY_CONFIG"), "the platform's configuration, JSON")
		c.Flags().StringVar(&o.operator, "operator", "", "the operators' file, Starlark; without one, everything that it enables is disabled")
		c.Flags().StringVar(&o.ratelimit, "ratelimit", "", "a JSON file that configures the gRPC front, instead of ratelimit(...) in the operators' file")
		c.Flags().StringVar(&o.level, "log", "info", "log level: debug, info, warn or error")
	}
	version := &cobra.Command{Use: "version", Short: "Print the version of this build", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return printVersion(c) }}
	root.AddCommand(serve, version, checkCommand(), plansCommand(), reserveCommand())
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	return root
}

func printVersion(c *cobra.Command) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("this binary has no build information")
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

// serveCommand reads the configuration and the operators' file, then serves until SIGTERM or SIGINT.
func serveCommand(o serveOptions) error {
	received := signals{make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(received.terminate, syscall.SIGTERM, syscall.SIGINT) // before all else: an unhandled SIGHUP would end the process
	signal.Notify(received.hangup, syscall.SIGHUP)
	var minLevel slog.Level
	if err := minLevel.UnmarshalText([]byte(o.level)); err != nil {
		return usageError{err}
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: minLevel})))
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
			return usageError{errors.New("the gRPC front is configured both in the operators' file and by --ratelimit, want one of them")}
		}
		if file.RateLimit, err = readRateLimit(o.ratelimit); err != nil {
			return err
		}
	}
	return serve(cfg, file, o, received)
}

// signals are the signals from the platform. Each kind has a channel of its own, so that a request to terminate is neither
// dropped behind others nor delayed until the files are read.
type signals struct{ terminate, hangup chan os.Signal }

// readOperator reads the operators' file. An empty path means that there is none, and gives the defaults.
func readOperator(path string) (operator.File, error) {
	if path == "" {
		return operator.File{Limits: plans.DefaultLimits}, nil
	}
	return operator.Read(path)
}
