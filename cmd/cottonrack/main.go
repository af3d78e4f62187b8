// Command cottonrack is the operators' program: what runs a fleet of delivery nodes, and the lab that proves it.
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
)

// The exit codes.
const (
	exitDone     = 0
	exitNotKept  = 1 // a rule or an expectation was not kept, or the work failed
	exitWrongUse = 2
)

// errNotKept says that the work was done and its result is a no. What was not kept has been printed.
var errNotKept = errors.New("not kept")

// wrongUse is an error that the caller can mend by calling again.
type wrongUse struct{ error }

func (w wrongUse) Unwrap() error { return w.error }

type program struct {
	JSON      bool   `name:"json" help:"Print the result as JSON."`
	LogFormat string `enum:"text,json" default:"text" help:"Form of the log lines on standard error: text or json."`
	LogLevel  string `enum:"debug,info,warn,error" default:"warn" help:"Least level of the log: debug, info, warn or error."`

	Directory directoryCmd `cmd:"" help:"Run the list service, and look after it."`
	Ownership ownershipCmd `cmd:"" help:"Part destinations among nodes, by a numbered map."`
	Lab       labCmd       `cmd:"" help:"Play experiments with real nodes on this machine, judge them, and compare builds."`
	Capacity  capacityCmd  `cmd:"" help:"Work out what a fleet costs, and where today's program ends."`
	Version   versionCmd   `cmd:"" help:"Print the program's version."`
}

// app is what a command gets beside its flags.
type app struct {
	ctx    context.Context
	out    io.Writer
	err    io.Writer
	log    *slog.Logger
	asJSON bool
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run is the program but for its exit.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	var p program
	exited := -1
	parser, err := kong.New(&p, kong.Name("cottonrack"), kong.Writers(out, errOut), kong.Exit(func(code int) { exited = code }),
		kong.Description(`Runs fleets of delivery nodes through failures, and proves that they get through them.

A first look, from the root of the repository:

    cottonrack lab run experiments/smoke.toml --out /tmp/smoke
    cottonrack lab report /tmp/smoke
    cottonrack directory serve --data /tmp/directory

Exit codes: 0 done, 1 a rule or an expectation was not kept, 2 wrong use.`),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}), kong.UsageOnError())
	if err != nil {
		fmt.Fprintln(errOut, "cottonrack:", err)
		return exitWrongUse
	}
	k, err := parser.Parse(args)
	if exited >= 0 {
		return exited // help was asked for
	}
	if err != nil {
		fmt.Fprintf(errOut, "cottonrack: %v\nTry `cottonrack --help`.\n", err)
		return exitWrongUse
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(p.LogLevel)); err != nil {
		fmt.Fprintln(errOut, "cottonrack:", err)
		return exitWrongUse
	}
	var handler slog.Handler = slog.NewTextHandler(errOut, &slog.HandlerOptions{Level: level})
	if p.LogFormat == "json" {
		handler = slog.NewJSONHandler(errOut, &slog.HandlerOptions{Level: level})
	}
	err = k.Run(&app{ctx: ctx, out: out, err: errOut, log: slog.New(handler), asJSON: p.JSON})
	var wrong wrongUse
	switch {
	case err == nil:
		return exitDone
	case errors.Is(err, errNotKept):
		return exitNotKept
	case errors.As(err, &wrong):
		fmt.Fprintln(errOut, "cottonrack:", err)
		return exitWrongUse
	}
	fmt.Fprintln(errOut, "cottonrack:", err)
	return exitNotKept
}

type versionCmd struct{}

// Run prints what the build knows of itself.
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
