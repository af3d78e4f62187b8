// Command redtests serves .ci/run: "redtests skip" prints the pattern of the tests in KNOWN-RED.txt for go test -skip, and
// "redtests run" runs these tests and fails if one of them does not run.
package main

import (
	"context"
	"fmt"
	"os"

	"starlingusher/internal/ci/knownred"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(arguments []string) error {
	tests, err := knownred.Load(".")
	if err != nil {
		return err
	}
	switch {
	case len(arguments) == 1 && arguments[0] == "skip":
		fmt.Println(knownred.SkipPattern(tests))
		return nil
	case len(arguments) == 1 && arguments[0] == "run":
		return knownred.Run(context.Background(), ".", tests, os.Stdout)
	}
	return fmt.Errorf("usage: redtests skip|run")
}
