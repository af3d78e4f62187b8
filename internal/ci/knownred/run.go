package knownred

import (
	"context"
	"fmt"
	"io"
	"os/exec"
	"regexp"
)

// Run runs the tests one after the other in a repository and says of each whether it fails as is known. It is an error if
// one of them does not run: then nobody would notice that its fault is mended.
func Run(ctx context.Context, root string, tests []Test, out io.Writer) error {
	for _, test := range tests {
		fmt.Fprintln(out, test.Line)
		passed, err := test.run(ctx, root, out)
		if err != nil {
			return fmt.Errorf("%s: %s: %w", FileName, test.Name, err)
		}
		if passed {
			fmt.Fprintf(out, "%s: %s passes; its line has to go\n", FileName, test.Name)
		} else {
			fmt.Fprintf(out, "%s: %s fails, as is known\n", FileName, test.Name)
		}
	}
	return nil
}

// run runs one test and reports whether it has passed.
func (t Test) run(ctx context.Context, root string, out io.Writer) (passed bool, err error) {
	command := exec.CommandContext(ctx, "go", t.arguments()...)
	command.Dir = root
	printed, runErr := command.CombinedOutput()
	out.Write(printed)
	if ctx.Err() != nil {
		return false, ctx.Err()
	}
	result := regexp.MustCompile(`(?m)^--- (PASS|FAIL|SKIP): ` + t.Name + ` `).FindSubmatch(printed)
	switch {
	case result != nil && string(result[1]) == "PASS" && runErr == nil:
		return true, nil
	case result != nil && string(result[1]) == "FAIL":
		return false, nil
	case result == nil && regexp.MustCompile(`(?m)^=== RUN   `+t.Name+`$`).Match(printed) && runErr != nil:
		return false, nil // it has ended the test binary, by a panic or a time-out
	}
	return false, errNotRun
}

// arguments returns the arguments of the go tool that run the test.
func (t Test) arguments() []string {
	arguments := []string{"test", "-race", "-count=1", "-v"}
	if t.Tag != "" {
		arguments = append(arguments, "-tags", t.Tag)
	}
	return append(arguments, "-run", "^"+t.Name+"$", "./"+t.Package)
}
