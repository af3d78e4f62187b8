// Command play plays one case of the review. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
	"time"

	"starlingusher/review/standin"
)

const (
	held     = 0
	broken   = 1
	cantRun  = 2
	runLimit = 110 * time.Second
)

// scene is what each case gets.
type scene struct {
	record  *standin.Record
	dir     string // a temporary folder
	trouble bool   // with the disruption
}

// cases holds the cases by name; the file of each adds it.
var cases = map[string]func(scene) (int, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: play CASE FOLDER")
		os.Exit(cantRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	record, err := standin.NewRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	s := scene{record, dir, os.Getenv("TROUBLE") != "0"}
	record.Say("case %s, trouble %v", name, s.trouble)
	type outcome struct {
		code int
		err  error
	}
	done := make(chan outcome, 1)
	go func() {
		code, err := cases[name](s)
		done <- outcome{code, err}
	}()
	select {
	case o := <-done:
		if o.err != nil {
			record.Say("the case could not run: %v", o.err)
			return cantRun
		}
		record.Say("exit code %d", o.code)
		return o.code
	case <-time.After(runLimit): // the node's processes end with this one
		record.Say("the case could not run: it took too long")
		return cantRun
	}
}
