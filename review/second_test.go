//go:build review2

// Package review runs the cases of the second review, each as its script does.
//
//	go test -tags review2 -count=1 -v ./review
package review

import (
	"errors"
	"os"
	"os/exec"
	"testing"
)

// TestSecondReviewCases runs each case with and without its disruption, after both builds. A case fails while its fault stands.
func TestSecondReviewCases(t *testing.T) {
	for _, build := range []string{"mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...", "review/build-2.sh"} {
		c := exec.Command("/bin/sh", "-c", build)
		c.Dir = ".."
		if out, err := c.CombinedOutput(); err != nil {
			t.Fatalf("%s: %v\n%s", build, err, out)
		}
	}
	for _, number := range []string{"6", "7", "8", "9", "10"} {
		for _, trouble := range []string{"0", "1"} {
			t.Run(number+"/trouble="+trouble, func(t *testing.T) {
				c := exec.Command("./" + number + "/run.sh")
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
