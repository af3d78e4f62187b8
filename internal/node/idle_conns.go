package node

import (
	"context"
	"errors"
	"os"
	"slices"
	"time"
)

// An idle connection of the pool is watched: the watch ends with the connection, with its time, or when something arrives
// that no call waits for.

// idleMargin is the time that an answer travels, by which an endpoint's idle timer may run ahead of ours.
const idleMargin = 400 * time.Millisecond

// reuseDelay is how long a connection rests after an answer. An endpoint may send more than its answer: what arrives by then
// closes the connection, and what arrives later would be taken for the answer of the next call.
const reuseDelay = 50 * time.Millisecond

// takeIdle returns an idle connection to the endpoint that still works and has rested, or nil. It prefers the most recently
// used one that has rested already, and otherwise waits for the first to have rested, if that is before startBy.
func (p *pool) takeIdle(ctx context.Context, e *endpoint, startBy time.Time) *conn {
	for ctx.Err() == nil {
		k := p.claimIdle(e.id, startBy)
		if k == nil {
			return nil
		}
		if k.addr == e.addr && k.finishRest(ctx) {
			return k
		}
		k.Close()
	}
	return nil
}

// claimIdle removes the connection that takeIdle prefers from the pool. It returns nil if there is none.
func (p *pool) claimIdle(id string, startBy time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[id]
	if len(idle) == 0 {
		return nil
	}
	now, best := time.Now(), len(idle)-1
	for i := len(idle) - 1; i >= 0 && now.Before(idle[best].restedAt); i-- {
		if idle[i].restedAt.Before(idle[best].restedAt) {
			best = i
		}
	}
	k := idle[best]
	if now.Before(k.restedAt) && !startBy.IsZero() && startBy.Before(k.restedAt) {
		return nil
	}
	p.removeIdle(id, best)
	return k
}

// finishRest waits until a claimed connection has rested, and reports whether it still works and nothing has arrived.
func (k *conn) finishRest(ctx context.Context) bool {
	if left := time.Until(k.restedAt); left > 0 && !k.staysQuiet(ctx, left) {
		return false
	}
	// This interrupts the read of the idle watch. If the endpoint had closed the connection or sent anything, the read would
	// have ended with another error, and a request would be answered by a reset.
	k.SetReadDeadline(pastDeadline)
	err := <-k.idleWatchErr
	return errors.Is(err, os.ErrDeadlineExceeded) && k.isQuiet() && k.SetReadDeadline(time.Time{}) == nil
}

// staysQuiet waits for a time, and reports whether the endpoint has neither closed the connection nor sent something.
func (k *conn) staysQuiet(ctx context.Context, wait time.Duration) bool {
	rested := time.NewTimer(wait)
	defer rested.Stop()
	select {
	case <-k.idleWatchErr:
		return false
	case <-ctx.Done():
		return false
	case <-rested.C:
		return true
	}
}

// closeNewestIdle closes the most recently used idle connection to an endpoint.
func (p *pool) closeNewestIdle(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if newest := len(p.idle[id]) - 1; newest >= 0 {
		p.idle[id][newest].Close()
		p.removeIdle(id, newest)
	}
}

// isQuiet reports whether an idle connection is open and nothing has arrived on it. The interrupted read alone
// does not tell: the deadline may have come first.
func (k *conn) isQuiet() bool {
	n, err := readArrived(k.Conn, make([]byte, 1))
	return n == 0 && err == nil
}

// removeIdle removes the i-th idle connection to an endpoint from the pool. The lock must be held.
func (p *pool) removeIdle(id string, i int) {
	p.idleCount--
	if p.idle[id] = slices.Delete(p.idle[id], i, i+1); len(p.idle[id]) == 0 {
		delete(p.idle, id)
	}
}

// putIdle keeps a connection for the next call and watches it. The watch closes it when the endpoint closes
// it or sends something unrequested, or when it has been idle for nearly as long as the endpoint allows.
func (p *pool) putIdle(e *endpoint, k *conn) {
	k.idleWatchErr = make(chan error, 1)
	k.limit.N = 1
	p.mu.Lock()
	// An endpoint is marked closed before its idle connections are closed, so none is kept after that.
	if p.idleCount >= p.maxIdle || e.closed.Load() || k.SetReadDeadline(time.Now().Add(p.idleTimeout)) != nil {
		p.mu.Unlock()
		k.Close()
		return
	}
	p.idle[e.id] = append(p.idle[e.id], k)
	p.idleCount++
	p.mu.Unlock()
	go func() { // ends with the connection, or when takeIdle interrupts it
		_, err := k.br.Peek(1)
		p.mu.Lock()
		if i := slices.Index(p.idle[e.id], k); i >= 0 {
			p.removeIdle(e.id, i)
			k.Close()
		}
		p.mu.Unlock()
		k.idleWatchErr <- err
	}()
}

// closeIdle closes the idle connections to an endpoint, all but the keep most recently used ones.
func (p *pool) closeIdle(id string, keep int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle[id]) > keep {
		p.idle[id][0].Close()
		p.removeIdle(id, 0)
	}
}

// retire closes all idle connections and keeps none from now on, as a predecessor does after a handover.
func (p *pool) retire() {
	p.mu.Lock()
	p.maxIdle = 0
	p.mu.Unlock()
	p.close()
}

// close closes all idle connections.
func (p *pool) close() {
	p.mu.Lock()
	ids := make([]string, 0, len(p.idle))
	for id := range p.idle {
		ids = append(ids, id)
	}
	p.mu.Unlock()
	for _, id := range ids {
		p.closeIdle(id, 0)
	}
}
