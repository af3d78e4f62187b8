package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"starlingusher/internal/lab/syscallfault"
)

func TestMain(m *testing.M) {
	syscallfault.RunStarter()
	testscript.Main(m, map[string]func(){
		"cottonrack": func() {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
			defer stop()
			os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
		},
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: func(e *testscript.Env) error {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer ln.Close()
		e.Setenv("DIRECTORY", ln.Addr().String())
		text := fmt.Sprintf("id = \"d\"\nhttp = %q\ndata = %q\n", ln.Addr(), filepath.Join(e.WorkDir, "data"))
		return os.WriteFile(filepath.Join(e.WorkDir, "replica.toml"), []byte(text), 0o600)
	}})
}
