package sysretry

import (
	"context"
	"time"
)

// Sleep waits, and reports whether the context is still alive afterwards.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
