package node

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"syscall"
	"time"

	"starlingusher/internal/registry"
)

// availablePoll is the time between two tries to get something from the system.
const availablePoll = 50 * time.Millisecond

// transientErrors are errors of the system that may be over in a moment.
var transientErrors = []error{
	syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.ECONNABORTED, syscall.EHOSTUNREACH, syscall.EINTR, syscall.EIO, syscall.EMFILE,
	syscall.ENETDOWN, syscall.ENETUNREACH, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.ETIMEDOUT, syscall.EDQUOT, syscall.EFBIG,
}

// isTransient reports whether an error of the system may be over in a moment.
func isTransient(err error) bool {
	return slices.ContainsFunc(transientErrors, func(target error) bool { return errors.Is(err, target) })
}

// untilAvailable calls open until it succeeds, fails with an error that is neither transient nor one of awaited, or
// ctx ends. It logs the first failure.
func untilAvailable[T any](ctx context.Context, log *slog.Logger, problem string, open func() (T, error), awaited ...error) (T, error) {
	for warned := false; ; warned = true {
		opened, err := open()
		if err == nil || !isTransient(err) && !slices.ContainsFunc(awaited, func(target error) bool { return errors.Is(err, target) }) {
			return opened, err
		}
		if !warned {
			log.Warn(problem, "err", err)
		}
		if !registry.Sleep(ctx, availablePoll) {
			return opened, errors.Join(ctx.Err(), err)
		}
	}
}
