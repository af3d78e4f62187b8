package sysretry

import (
	"context"
	"errors"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"syscall"
	"testing"
)

// failingListener fails with each of its errors once.
type failingListener struct {
	net.Listener
	errors []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errors) == 0 {
		return nil, net.ErrClosed
	}
	err := l.errors[0]
	l.errors = l.errors[1:]
	return nil, os.NewSyscallError("accept4", err)
}

func TestListenerOutlastsTransientErrors(t *testing.T) {
	failing := &failingListener{errors: []error{syscall.ENOBUFS, syscall.ENFILE, syscall.ECONNABORTED}}
	if _, err := (Listener{failing}).Accept(); !errors.Is(err, net.ErrClosed) || len(failing.errors) != 0 {
		t.Errorf("got %v, %d errors left", err, len(failing.errors))
	}
}

func TestUntilTriesAgain(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	for _, c := range []struct {
		errors  []error
		awaited []error
		want    error
	}{
		{[]error{&fs.PathError{Err: syscall.EIO}, syscall.ENOSPC, nil}, nil, nil},
		{[]error{syscall.EIO, fs.ErrPermission}, nil, fs.ErrPermission},
		{[]error{syscall.EADDRINUSE}, nil, syscall.EADDRINUSE},
		{[]error{syscall.EADDRINUSE, nil}, []error{syscall.EADDRINUSE}, nil},
	} {
		tries := 0
		_, err := Until(t.Context(), log, "waiting", func() (int, error) {
			tries++
			return tries, c.errors[tries-1]
		}, c.awaited...)
		if !errors.Is(err, c.want) || tries != len(c.errors) {
			t.Errorf("%v: got %v after %d tries", c.errors, err, tries)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	if _, err := Until(ctx, log, "waiting", func() (int, error) {
		cancel()
		return 0, syscall.EIO
	}); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
}
