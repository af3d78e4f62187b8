package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"starlingusher/internal/lab/wallclock"
)

// A step of the wall clock while the process is down must not move the deadlines of accepted messages.
func TestClockStepOverRestart(t *testing.T) {
	library, err := wallclock.Build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for _, step := range []time.Duration{-time.Hour, -20 * time.Second, 20 * time.Second, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			const (
				timeToLive = 12 * time.Second
				earliest   = timeToLive - time.Second // the end of a message that waits for an endpoint comes shortly before its deadline
				latest     = timeToLive + 5*time.Second
			)
			discovery := newFakeDiscovery(t, http.StatusNoContent)
			clock, err := library.NewClock(filepath.Join(t.TempDir(), "shift"))
			if err != nil {
				t.Fatal(err)
			}
			listen, config, state := freeAddr(t), filepath.Join(t.TempDir(), "config.json"), t.TempDir()
			writeConfig(t, config, listen, discovery.addr())
			first := startChild(t, config, state, "", clock.Env()...)
			enqueuedAt := time.Now()
			enqueue(t, listen, "message", timeToLive)
			if err := first.Process.Signal(syscall.SIGKILL); err != nil {
				t.Fatal(err)
			}
			first.Wait()
			if err := clock.Step(step); err != nil {
				t.Fatal(err)
			}
			startChild(t, config, state, "", clock.Env()...)
			select {
			case notice := <-discovery.posts:
				if took := time.Since(enqueuedAt); took < earliest || took > latest {
					t.Errorf("the message ended %v after it was accepted, its time to live is %v: %s", took, timeToLive, notice)
				}
			case <-time.After(time.Until(enqueuedAt.Add(latest))):
				t.Errorf("the message has no end %v after it was accepted, its time to live is %v", latest, timeToLive)
			}
		})
	}
}

// enqueue submits a message for the endpoint of newFakeDiscovery, which drains, and requires its acceptance. It
// waits until the node listens.
func enqueue(t *testing.T, listen, id string, timeToLive time.Duration) {
	t.Helper()
	var nc net.Conn
	var err error
	for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		if nc, err = net.Dial("tcp", listen); err == nil {
			break
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
	defer nc.Close()
	fields := fmt.Sprintf("c=status,d=%d,dest=7", timeToLive.Milliseconds())
	fmt.Fprintf(nc, "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$0\r\n\r\n", len(id), id, len(fields), fields)
	if line, err := bufio.NewReader(nc).ReadString('\n'); line != "+OK\r\n" {
		t.Fatalf("got %q, %v", line, err)
	}
}
