// Package sysretry tries again where the operating system fails for a moment, as it does when it is out of
// descriptors, buffers or room on a disk.
package sysretry

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"slices"
	"syscall"
	"time"
)

// pollInterval is the time between two tries to get something from the system.
const pollInterval = 50 * time.Millisecond

// transient holds errors of the system that may be over in a moment.
var transient = []error{
	syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.ECONNABORTED, syscall.EHOSTUNREACH, syscall.EINTR, syscall.EIO, syscall.EMFILE,
	syscall.ENETDOWN, syscall.ENETUNREACH, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.ETIMEDOUT, syscall.EDQUOT, syscall.EFBIG,
}

// IsTransient reports whether an error of the system may be over in a moment.
func IsTransient(err error) bool {
	return slices.ContainsFunc(transient, func(target error) bool { return errors.Is(err, target) })
}

// Until calls open until it succeeds, fails with an error that is neither transient nor one of awaited, or
// ctx ends. It logs the first failure.
func Until[T any](ctx context.Context, log *slog.Logger, problem string, open func() (T, error), awaited ...error) (T, error) {
	for warned := false; ; warned = true {
		opened, err := open()
		if err == nil || !IsTransient(err) && !slices.ContainsFunc(awaited, func(target error) bool { return errors.Is(err, target) }) {
			return opened, err
		}
		if !warned {
			log.Warn(problem, "err", err)
		}
		if !Sleep(ctx, pollInterval) {
			return opened, errors.Join(ctx.Err(), err)
		}
	}
}

// acceptPause is the time after a connection could not be accepted.
const acceptPause = 50 * time.Millisecond

// Listener accepts on after errors that may be over in a moment. The server of net/http ends at those that it does
// not know as temporary, such as ENOBUFS.
type Listener struct{ net.Listener }

// Accept returns the next connection, or an error that lasts.
func (l Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if !IsTransient(err) {
			return nc, err
		}
		time.Sleep(acceptPause)
	}
}
