//go:build review2

package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["memory"] = memoryLimit }

const (
	memoryMB    = 36   // of the node, as its configuration states; the page has 32 to 192
	descriptors = 1024 // likewise; the page has 256 to 1,024
	badPeers    = 480  // under half of the descriptors
)

// memoryLimit: bad peers each send most of a request with a body of 64 KiB and stay. The platform kills a node that uses more
// than its memory.
func memoryLimit(w *world) (broken []string) {
	e := newEndpoint(w.rec, "e1", func(c *call, conn net.Conn) bool {
		time.Sleep(120 * time.Millisecond)
		return ok(c, conn)
	})
	p := newPlatform(w.rec, []member{serving(e, 1, "client-hook")})
	settings := config(p)
	settings["limits"] = object{"cores": 1.0, "memory_mb": memoryMB, "sockets": descriptors, "disk_mb": 3}
	n := w.node(settings)
	n.start()
	stop := make(chan struct{})
	var peers sync.WaitGroup
	if w.trouble {
		w.rec.printf("%d bad peers connect; each sends all but the last 10 bytes of a request with a body of 65536 bytes, and stays", badPeers)
		for i := range badPeers {
			peers.Go(func() { stayInTheMiddle(n.listen, i, stop) })
		}
	}
	c := &client{rec: w.rec, node: n}
	began := time.Now()
	peak, killed := 0, false
	for i := 0; time.Since(began) < 10*time.Second && !killed; i++ {
		if i%10 == 0 {
			go c.submit(fmt.Sprintf("%016x", i+1), "status-notice", 5*time.Second, 1, "", make([]byte, 200))
		}
		time.Sleep(25 * time.Millisecond)
		if !n.running() {
			fail("the node has ended by itself")
		}
		if used := anonymousKB(n.cmd.Process.Pid); used > peak {
			peak = used
			w.rec.printf("platform: the node uses %d kB of anonymous memory", used)
		}
		if peak > memoryMB<<10 { // as the deploy page has it
			killed = true
			n.signal(syscall.SIGKILL)
		}
	}
	close(stop)
	peers.Wait()
	w.rec.printf("most anonymous memory: %d kB, the limit is %d kB", peak, memoryMB<<10)
	if killed {
		broken = append(broken, fmt.Sprintf("the node was killed for memory: it used %d kB, its limit is %d kB", peak, memoryMB<<10))
	}
	return broken
}

// stayInTheMiddle connects, sends most of a request and stays until the node closes the connection, again and again.
func stayInTheMiddle(addr string, number int, stop <-chan struct{}) {
	whole := request(fmt.Sprintf("bad%013d", number), "status-notice", 5*time.Second, 1, "", make([]byte, 65536))
	for {
		select {
		case <-stop:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		conn.SetDeadline(time.Now().Add(3 * time.Second))
		conn.Write(whole[:len(whole)-10])
		io.Copy(io.Discard, conn)
		conn.Close()
	}
}

// anonymousKB returns the anonymous memory that a process uses. Its program file, the sockets' buffers and the state folder
// would come on top of that.
func anonymousKB(pid int) int {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(raw)) {
		if strings.HasPrefix(line, "RssAnon:") {
			kb, _ := strconv.Atoi(strings.Fields(line)[1])
			return kb
		}
	}
	return 0
}
