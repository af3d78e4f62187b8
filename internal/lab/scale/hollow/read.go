package hollow

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"starlingusher/internal/node"
)

// liveHeap returns the live heap of this process in bytes.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC() // frees what the first one's finalizers and pools still held
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// freeMemory returns the play's own garbage to the system, before a memory reading that later ones are
// compared with.
func freeMemory() {
	runtime.GC()
	debug.FreeOSMemory()
}

// rss returns the resident memory of a process in bytes.
func rss(pid int) (float64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, fmt.Errorf("memory of a process: %w", err)
	}
	f := bytes.Fields(raw)
	if len(f) < 2 {
		return 0, fmt.Errorf("memory of a process: %q", raw)
	}
	pages, err := strconv.ParseInt(string(f[1]), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("memory of a process: %w", err)
	}
	return float64(pages * int64(os.Getpagesize())), nil
}

// cpuSeconds returns the CPU time that a process has used.
func cpuSeconds(pid int) (float64, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|2), &t); err != nil { // the kernel's CPU clock of a process, with a resolution of 1 ns
		return 0, fmt.Errorf("CPU time of a process: %w", err)
	}
	return float64(t.Nano()) / 1e9, nil
}

// traffic is what the open connections of this process have carried, as counted by the kernel: bytes of TCP
// payload, with HTTP headers and framing, without TCP and IP headers.
type traffic struct {
	in, out float64
	conns   int
}

// sub returns the traffic since an earlier reading, provided that the connections are the same.
func (t traffic) sub(before traffic) traffic {
	return traffic{t.in - before.in, t.out - before.out, t.conns}
}

// readTraffic reads the traffic of all open connections to the given addresses (HOST:PORT), except those from
// the source address others (HOST), which are not those of nodes. Connections that have ended are not
// counted.
func readTraffic(addresses map[string]bool, others string) (traffic, error) {
	var t traffic
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return t, fmt.Errorf("connections: %w", err)
	}
	for _, e := range entries {
		fd, err := strconv.Atoi(e.Name())
		if err != nil {
			continue
		}
		peer, err := unix.Getpeername(fd)
		if err != nil { // not a connection, or no longer one
			continue
		}
		p, ok := peer.(*unix.SockaddrInet4)
		if !ok || !addresses[netip.AddrPortFrom(netip.AddrFrom4(p.Addr), uint16(p.Port)).String()] {
			continue
		}
		from, err := unix.Getsockname(fd)
		if f, ok := from.(*unix.SockaddrInet4); err != nil || !ok || netip.AddrFrom4(f.Addr).String() == others {
			continue
		}
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			continue
		}
		t.in += float64(info.Bytes_received)
		t.out += float64(info.Bytes_sent - info.Bytes_retrans)
		t.conns++
	}
	return t, nil
}

func countDescriptors() int {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0
	}
	return len(entries)
}

// loopProbe measures from outside for how long a node's loop is blocked: it asks the loop again and again for
// an endpoint that was never listed. It can't tell less than some 0.1 ms, the distance between its requests.
type loopProbe struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	worst   time.Duration
	answers int
}

const probePause = 50 * time.Microsecond

// startLoopProbe starts a probe. The first request is answered when the loop starts, so it is not counted.
func startLoopProbe(n *node.Node) *loopProbe {
	ctx, cancel := context.WithCancel(context.Background())
	p := &loopProbe{cancel: cancel}
	p.wg.Go(func() {
		for ctx.Err() == nil {
			startedAt := time.Now()
			n.SetEndpointEnabled(ctx, "never-listed", true) // the loop answers node.ErrUnknownEndpoint
			took := time.Since(startedAt)
			if ctx.Err() != nil {
				return
			}
			p.mu.Lock()
			if p.answers > 0 {
				p.worst = max(p.worst, took)
			}
			p.answers++
			p.mu.Unlock()
			time.Sleep(probePause)
		}
	})
	return p
}

// takeWorst returns the longest answer time since the last call, and the number of answers in all.
func (p *loopProbe) takeWorst() (worst time.Duration, answers int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	worst, p.worst = p.worst, 0
	return worst, p.answers
}

// awaitAnswers waits for this many more answers, so that a request which was under way has been counted.
func (p *loopProbe) awaitAnswers(ctx context.Context, more int) error {
	p.mu.Lock()
	until := p.answers + more
	p.mu.Unlock()
	return await(ctx, "the loop", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.answers >= until
	})
}

func (p *loopProbe) close() {
	p.cancel()
	p.wg.Wait()
}

const emptyStepCount = 21 // the median of these is taken

// measureEmptyStep returns the time in seconds of a step of the loop in which nothing is new. The loop
// answers a request for an unknown endpoint at the start of a step, so a second request waits for the end of
// that step.
func measureEmptyStep(ctx context.Context, n *node.Node) (float64, error) {
	var took []float64
	for range emptyStepCount {
		n.SetEndpointEnabled(ctx, "never-listed", true) // node.ErrUnknownEndpoint, as in startLoopProbe
		startedAt := time.Now()
		n.SetEndpointEnabled(ctx, "never-listed", true)
		took = append(took, time.Since(startedAt).Seconds())
		time.Sleep(probePause)
		if ctx.Err() != nil {
			return 0, ctx.Err()
		}
	}
	return median(took), nil
}

const (
	waitTimeout            = 60 * time.Second // for any awaited condition
	pollInterval           = time.Millisecond
	requestPollInterval    = 10 * time.Millisecond  // where a poll is a request
	descriptorPollInterval = 200 * time.Millisecond // where a poll reads all descriptors
)

// await waits for a condition, polling every pollInterval. The text what completes "waiting for" in its error.
func await(ctx context.Context, what string, isDone func() bool) error {
	return awaitEvery(ctx, pollInterval, what, isDone)
}

// awaitEvery is await with another interval between polls.
func awaitEvery(ctx context.Context, every time.Duration, what string, isDone func() bool) error {
	ctx, cancel := context.WithTimeoutCause(ctx, waitTimeout, fmt.Errorf("waiting for %s timed out after %v", what, waitTimeout))
	defer cancel()
	tick := time.NewTicker(every)
	defer tick.Stop()
	for !isDone() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}
