//go:build review

// Package review runs the cases of the independent review, each as its script does.
//
//	go test -tags review -count=1 -v ./review
package review

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// TestReviewCases runs each case with and without its disruption, after both builds. A case fails while its fault stands.
func TestReviewCases(t *testing.T) {
	for _, build := range []string{"mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...", "review/build.sh"} {
		c := exec.Command("/bin/sh", "-c", build)
		c.Dir = ".."
		if out, err := c.CombinedOutput(); err != nil {
			t.Fatalf("%s: %v\n%s", build, err, out)
		}
	}
	scripts, err := filepath.Glob("[1-9]/run.sh")
	if err != nil || len(scripts) == 0 {
		t.Fatalf("no cases: %v", err)
	}
	for _, script := range scripts {
		for _, trouble := range []string{"0", "1"} {
			t.Run(filepath.Dir(script)+"/trouble="+trouble, func(t *testing.T) {
				c := exec.Command(script)
				c.Env = append(os.Environ(), "TROUBLE="+trouble)
				out, err := c.CombinedOutput()
				var exit *exec.ExitError
				switch {
				case err == nil:
				case errors.As(err, &exit) && exit.ExitCode() == 1:
					t.Errorf("the rule was broken\n%s", out)
				default:
					t.Errorf("the case could not run: %v\n%s", err, out)
				}
			})
		}
	}
}
