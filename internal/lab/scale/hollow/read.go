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

// heap is what is live in this process, in bytes.
func heap() float64 {
	runtime.GC()
	runtime.GC() // what the first one's finalizers and pools still held
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// settle gives back what the play itself has used, before a figure that others are held against is read.
func settle() {
	runtime.GC()
	debug.FreeOSMemory()
}

// rss is what a process has resident, in bytes.
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

// cpu is the processor time that a process has used, in seconds.
func cpu(pid int) (float64, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|2), &t); err != nil { // the kernel's clock of a process, to the nanosecond
		return 0, fmt.Errorf("processor time of a process: %w", err)
	}
	return float64(t.Nano()) / 1e9, nil
}

// traffic is what the present connections of this process have carried, by the kernel's count: bytes of TCP's payload, with
// HTTP's heads and frames, without TCP's and IP's.
type traffic struct {
	in, out float64
	conns   int
}

// sub is what was carried since an earlier look, as long as the connections are the same.
func (t traffic) sub(was traffic) traffic { return traffic{t.in - was.in, t.out - was.out, t.conns} }

// carried looks at all connections that lead to one of the addresses (HOST:PORT), but for those that come from an address (HOST) of
// others than nodes. Of one that has ended nothing is left.
func carried(to map[string]bool, others string) (traffic, error) {
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
		if err != nil { // no connection, or none any more
			continue
		}
		p, ok := peer.(*unix.SockaddrInet4)
		if !ok || !to[netip.AddrPortFrom(netip.AddrFrom4(p.Addr), uint16(p.Port)).String()] {
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

func descriptors() int {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0
	}
	return len(entries)
}

// stall reads from outside for how long a node's loop stands still: it asks the loop for an endpoint that was never listed, again
// and again. What it reads is some 0.1 ms at best, which is how far apart its asks are.
type stall struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu    sync.Mutex
	worst time.Duration
	asks  int
}

const askPause = 50 * time.Microsecond

// watchLoop begins to ask. The first ask ends when the loop begins, so it is not counted.
func watchLoop(n *node.Node) *stall {
	ctx, cancel := context.WithCancel(context.Background())
	s := &stall{cancel: cancel}
	s.wg.Go(func() {
		for ctx.Err() == nil {
			began := time.Now()
			n.SetEndpointEnabled(ctx, "never-listed", true) // ErrUnknown, which the loop says
			took := time.Since(began)
			if ctx.Err() != nil {
				return
			}
			s.mu.Lock()
			if s.asks > 0 {
				s.worst = max(s.worst, took)
			}
			s.asks++
			s.mu.Unlock()
			time.Sleep(askPause)
		}
	})
	return s
}

// take is the longest since the last take, and how many asks have been answered in all.
func (s *stall) take() (worst time.Duration, asks int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	worst, s.worst = s.worst, 0
	return worst, s.asks
}

// after waits for so many more answers, so that an ask which was under way has been counted.
func (s *stall) after(ctx context.Context, more int) error {
	s.mu.Lock()
	until := s.asks + more
	s.mu.Unlock()
	return await(ctx, "the loop", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.asks >= until
	})
}

func (s *stall) close() {
	s.cancel()
	s.wg.Wait()
}

const emptySteps = 21 // of which the median is taken

// emptyStep is what a step of the loop takes in which nothing is new, in seconds. The loop answers an ask for an unknown endpoint at
// its step's beginning; a second ask then waits for the step's end.
func emptyStep(ctx context.Context, n *node.Node) (float64, error) {
	var took []float64
	for range emptySteps {
		n.SetEndpointEnabled(ctx, "never-listed", true) // ErrUnknown, as in watchLoop
		began := time.Now()
		n.SetEndpointEnabled(ctx, "never-listed", true)
		took = append(took, time.Since(began).Seconds())
		time.Sleep(askPause)
		if ctx.Err() != nil {
			return 0, ctx.Err()
		}
	}
	return median(took), nil
}

const (
	longest  = 60 * time.Second // for what must come
	look     = time.Millisecond
	lookWide = 10 * time.Millisecond  // where a look is a request
	lookRare = 200 * time.Millisecond // where it is at all descriptors
)

// await waits for what must come, to a millisecond.
func await(ctx context.Context, what string, is func() bool) error {
	return awaitEvery(ctx, look, what, is)
}

func awaitEvery(ctx context.Context, every time.Duration, what string, is func() bool) error {
	ctx, cancel := context.WithTimeoutCause(ctx, longest, fmt.Errorf("%s has not come within %v", what, longest))
	defer cancel()
	tick := time.NewTicker(every)
	defer tick.Stop()
	for !is() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}
