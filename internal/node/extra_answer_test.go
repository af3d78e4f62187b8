package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"starlingusher/choice"
)

// linkDelay is how long what the node writes takes to its endpoint in these tests.
const linkDelay = 10 * time.Millisecond

// delayedConn delivers what is written to it after linkDelay.
type delayedConn struct {
	*net.TCPConn
	queue chan []byte
	close sync.Once
}

func newDelayedConn(nc net.Conn) *delayedConn {
	d := &delayedConn{TCPConn: nc.(*net.TCPConn), queue: make(chan []byte, 100)}
	go func() {
		for written := range d.queue {
			time.Sleep(linkDelay)
			d.TCPConn.Write(written)
		}
	}()
	return d
}

func (d *delayedConn) Write(p []byte) (int, error) {
	d.queue <- append([]byte(nil), p...)
	return len(p), nil
}

func (d *delayedConn) Close() error {
	d.close.Do(func() { close(d.queue) })
	return d.TCPConn.Close()
}

// requestWaits reports whether bytes of a request have arrived on an endpoint's connection.
func requestWaits(nc net.Conn) bool {
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	n := 0
	raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n > 0
}

// An endpoint answers and sends more straight after, while nothing else waits on the connection: a second copy, or noise.
// The answer counts, and the next call gets its own answer and is made once. It guards against messages that are dropped
// by another's 200, and against a second attempt of one that was delivered.
func TestExtraAnswerIsNotTheNextCalls(t *testing.T) {
	const refusal, rounds = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", 4
	const tooLate = 25 * time.Millisecond // a later extra is not sent: this machine was too busy to send it straight after
	for _, c := range []struct {
		name, answer, extra, next string
		delay                     time.Duration
		want                      choice.Outcome
	}{
		{"a second copy", okResponse, okResponse, refusal, 0, choice.Rejected},
		{"a second copy, later", okResponse, okResponse, refusal, 5 * time.Millisecond, choice.Rejected},
		{"a second refusal", refusal, refusal, okResponse, 5 * time.Millisecond, choice.Success},
		{"noise", okResponse, "\x00\xffnoise\r\n\r\n", okResponse, 5 * time.Millisecond, choice.Success},
		{"half a line", okResponse, "HTTP/1.1 5", okResponse, 5 * time.Millisecond, choice.Success},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var sent sync.Map // by message: whether its answer was followed by more
			endpoint := newFakeEndpoint(t, func(nc net.Conn, req *http.Request) bool {
				id := req.Header.Get("X-Trace-Id")
				if strings.HasPrefix(id, "next") {
					_, err := io.WriteString(nc, c.next)
					return err == nil
				}
				answeredAt := time.Now()
				io.WriteString(nc, c.answer)
				time.Sleep(c.delay)
				if time.Since(answeredAt) > tooLate || requestWaits(nc) {
					return true
				}
				sent.Store(id, true)
				_, err := io.WriteString(nc, c.extra)
				return err == nil
			})
			pool, e := newTestPool(), newTestEndpoint(endpoint.addr())
			defer pool.close()
			dial := pool.dialer
			pool.dialer = func(ctx context.Context, network, addr string) (net.Conn, error) {
				nc, err := dial(ctx, network, addr)
				if err != nil {
					return nil, err
				}
				return newDelayedConn(nc), nil
			}
			for round, played := 0, 0; played < rounds; round++ {
				first, next := newTestCall(e), newTestCall(e)
				first.items, next.items = []item{{ID: "first" + itoa(round)}}, []item{{ID: "next" + itoa(round)}}
				answered := pool.do(t.Context(), first)
				got := pool.do(t.Context(), next)
				if _, followed := sent.Load(first.items[0].ID); !followed {
					continue
				}
				played++
				if answered.outcome == choice.ConnectionBroken || got.outcome != c.want {
					t.Fatalf("round %d: the outcomes are %v and %v, want %v for the second", round, answered.outcome, got.outcome, c.want)
				}
			}
		})
	}
}
