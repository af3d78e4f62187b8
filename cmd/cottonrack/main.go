// Command cottonrack is the operators' program. It runs and administers the services around a fleet of
// delivery nodes, and tests the fleet in the lab.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"starlingusher/internal/lab/syscallfault"
)

// The exit codes.
const (
	exitOK     = 0
	exitFailed = 1 // a rule or an expectation was violated, or the command failed
	exitUsage  = 2
)

// errNotPassed reports that a command completed and its verdict is negative. The details have been printed.
var errNotPassed = errors.New("not passed")

// usageError is an error that the caller can avoid by calling the program differently.
type usageError struct{ error }

func (w usageError) Unwrap() error { return w.error }

type commandLine struct {
	JSON      bool   `name:"json" help:"Print the result as JSON."`
	LogFormat string `enum:"text,json" default:"text" help:"Format of the log on standard error: text or json."`
	LogLevel  string `enum:"debug,info,warn,error" default:"warn" help:"Minimum log level: debug, info, warn or error."`

	Directory directoryCmd `cmd:"" help:"Run and administer the directory, which serves the list of endpoints."`
	Ownership ownershipCmd `cmd:"" help:"Assign destinations to nodes by a numbered map of owners."`
	Lab       labCmd       `cmd:"" help:"Run experiments with real nodes on this machine, check them against the rules, and compare builds."`
	Capacity  capacityCmd  `cmd:"" help:"Compute what a fleet costs, and up to which size today's program can run it."`
	Version   versionCmd   `cmd:"" help:"Print the program's version."`
}

// app is the context of a command, beside its flags.
type app struct {
	ctx    context.Context
	out    io.Writer
	err    io.Writer
	log    *slog.Logger
	asJSON bool
}

func main() {
	syscallfault.RunStarter()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run runs the program and returns its exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	var p commandLine
	exited := -1
	parser, err := kong.New(&p, kong.Name("cottonrack"), kong.Writers(out, errOut), kong.Exit(func(code int) { exited = code }),
		kong.Description(`Runs fleets of delivery nodes through failures, and checks that they get through them.

To get started, from the root of the repository:

    cottonrack lab run experiments/smoke.toml --out /tmp/smoke
    cottonrack lab report /tmp/smoke
    cottonrack directory serve --data /tmp/directory

Exit codes: 0 done, 1 a rule or an expectation was violated or the command failed, 2 wrong use.`),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}), kong.UsageOnError())
	if err != nil {
		fmt.Fprintln(errOut, "cottonrack:", err)
		return exitUsage
	}
	k, err := parser.Parse(args)
	if exited >= 0 {
		return exited // help was printed
	}
	if err != nil {
		fmt.Fprintf(errOut, "cottonrack: %v\nTry `cottonrack --help`.\n", err)
		return exitUsage
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(p.LogLevel)); err != nil {
		fmt.Fprintln(errOut, "cottonrack:", err)
		return exitUsage
	}
	var handler slog.Handler = slog.NewTextHandler(errOut, &slog.HandlerOptions{Level: level})
	if p.LogFormat == "json" {
		handler = slog.NewJSONHandler(errOut, &slog.HandlerOptions{Level: level})
	}
	err = k.Run(&app{ctx: ctx, out: out, err: errOut, log: slog.New(handler), asJSON: p.JSON})
	var wrong usageError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errNotPassed):
		return exitFailed
	case errors.As(err, &wrong):
		fmt.Fprintln(errOut, "cottonrack:", err)
		return exitUsage
	}
	fmt.Fprintln(errOut, "cottonrack:", err)
	return exitFailed
}

type versionCmd struct{}

// Run prints the build information.
func (versionCmd) Run(a *app) error {
	version, revision, when := "unknown", "", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, s := range info.Settings {
			switch s.Key {
			case "vcs.revision":
				revision = s.Value
			case "vcs.time":
				when = s.Value
			}
		}
	}
	if a.asJSON {
		return printJSON(a.out, map[string]string{"version": version, "revision": revision, "time": when})
	}
	_, err := fmt.Fprintf(a.out, "cottonrack %s %s %s\n", version, revision, when)
	return err
}
