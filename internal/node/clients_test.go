package node

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"starlingusher/internal/wire"
)

func serveClients(t *testing.T, maxConns int, handle func(request) answer) (*clientServer, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := newClientServer(ln, maxConns, wire.Names{Classes: []string{"notice"}, Tenants: []string{"acme", "zen"}}, handle)
	go c.serve(t.Context())
	t.Cleanup(func() {
		select {
		case <-c.stopAccepting:
		default:
			c.close(shutdownGrace)
		}
	})
	return c, ln.Addr().String()
}

func dialClient(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	if err := nc.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return nc, bufio.NewReader(nc)
}

// encodeCommand encodes words as an array of bulk strings.
func encodeCommand(words ...string) string {
	var b strings.Builder
	b.WriteString("*" + itoa(len(words)) + "\r\n")
	for _, w := range words {
		b.WriteString("$" + itoa(len(w)) + "\r\n" + w + "\r\n")
	}
	return b.String()
}

func enqueueCommand(id, fields, body string) string {
	return encodeCommand("ENQUEUE", "0000", id, fields, body)
}

func roundTrip(t *testing.T, addr, text string) string {
	t.Helper()
	nc, br := dialClient(t, addr)
	if _, err := io.WriteString(nc, text); err != nil {
		t.Fatal(err)
	}
	line, err := br.ReadString('\n')
	if err != nil {
		t.Fatalf("%.60q: %v", text, err)
	}
	return strings.TrimRight(line, "\r\n")
}

// Whatever the input, the client gets an error, the node does not crash, and none of it is accepted.
func TestInvalidInput(t *testing.T) {
	_, addr := serveClients(t, 100, func(request) answer {
		t.Error("invalid input was accepted")
		return answer{}
	})
	big := strings.Repeat("x", maxBody+1)
	for _, text := range []string{
		enqueueCommand("id", "c=notice,d=8000,dest=7", big),
		enqueueCommand("id", "c=other,d=8000,dest=7", "b"),
		enqueueCommand("id", "c=notice,d=soon,dest=7", "b"),
		enqueueCommand("id", "c=notice,d=NaN,dest=7", "b"),
		enqueueCommand("id", "c=notice,d=-1,dest=7", "b"),
		enqueueCommand("id", "c=notice,d=1e300,dest=7", "b"),
		enqueueCommand("id", "c=notice,d=8000,dest=-7", "b"),
		enqueueCommand("id", "c=notice,d=8000,dest=seven", "b"),
		enqueueCommand("id", "c=notice,d=8000", "b"),
		enqueueCommand("", "c=notice,d=8000,dest=7", "b"),
		enqueueCommand("id\r\nX-Other: 1", "c=notice,d=8000,dest=7", "b"),
		enqueueCommand("id", "c=notice,d=8000,dest=7,k=a b", "b"),
		enqueueCommand(strings.Repeat("i", 300), "c=notice,d=8000,dest=7", "b"),
		enqueueCommand("id", strings.Repeat(",", 2000), "b"),
		encodeCommand("ENQUEUE", "0000", "id"), encodeCommand("FLUSHALL"), "GET / HTTP/1.1\r\n",
		"*1\r\n$9223372036854775807\r\nPING\r\n", "*1\r\n$-5\r\n", "*2147483647\r\n", "*-3\r\n", "*x\r\n", "*1\r\n:4\r\n",
		"*1\r\n$3\r\nPINGPONG\r\n", "*1\r\n$99999999999999999999\r\n", strings.Repeat("y", 5000),
	} {
		if got := roundTrip(t, addr, text); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("%.60q: got %q", text, got)
		}
	}
	// Part of a command, then a close.
	nc, _ := dialClient(t, addr)
	io.WriteString(nc, "*5\r\n$7\r\nENQ")
	nc.Close()
	if got := roundTrip(t, addr, encodeCommand("ping")); got != "+PONG" {
		t.Errorf("got %q", got)
	}
}

// After an error about one request, the connection stays usable if the framing is sound.
func TestConnectionSurvivesOversizedBody(t *testing.T) {
	var got request
	_, addr := serveClients(t, 100, func(q request) answer {
		got = q
		return answer{}
	})
	nc, br := dialClient(t, addr)
	go io.WriteString(nc, enqueueCommand("a", "c=notice,d=8000,dest=7", strings.Repeat("x", maxBody+1))+
		"PING\r\n"+enqueueCommand("b", "c=notice,t=zen,d=1500.5,dest=7,k=key,r=1", "\r\n\x00$*")+encodeCommand("PING"))
	for _, want := range []string{"-ERR a body", "+PONG", "+OK", "+PONG"} {
		if line, err := br.ReadString('\n'); err != nil || !strings.HasPrefix(line, want) {
			t.Fatalf("got %q, %v, want %q", line, err, want)
		}
	}
	if got.id != "b" || got.key != "key" || got.tenant != 1 || got.dest != 7 || got.ttl != 1500500*time.Microsecond || string(got.body) != "\r\n\x00$*" {
		t.Errorf("got %+v", got)
	}
}

func TestAnswerEncoding(t *testing.T) {
	for want, a := range map[string]answer{
		"+OK\r\n": {}, "-BUSY\r\n": {refused: true}, "-BUSY 1500\r\n": {refused: true, retryAfter: 1500 * time.Millisecond},
		"-ERR no\r\n": {failure: "no"},
	} {
		if got := a.encode(); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// A request that has been read gets its answer, even while the node closes all connections.
func TestCloseAnswersReadRequests(t *testing.T) {
	handling, release := make(chan struct{}), make(chan struct{})
	c, addr := serveClients(t, 100, func(request) answer {
		close(handling)
		<-release
		return answer{}
	})
	idle, idleReader := dialClient(t, addr)
	io.WriteString(idle, encodeCommand("PING"))
	if _, err := idleReader.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	nc, br := dialClient(t, addr)
	io.WriteString(nc, enqueueCommand("a", "c=notice,d=8000,dest=7", "b"))
	<-handling
	done := make(chan struct{})
	go func() {
		c.close(shutdownGrace)
		close(done)
	}()
	if _, err := idleReader.ReadByte(); err != io.EOF {
		t.Errorf("idle connection: got %v, want EOF", err)
	}
	close(release)
	if line, err := br.ReadString('\n'); line != "+OK\r\n" {
		t.Errorf("got %q, %v", line, err)
	}
	<-done
}

// Neither a partial request nor a client that never stops sending may delay the node's shutdown until it is
// killed.
func TestCloseDoesNotWaitForClients(t *testing.T) {
	c, addr := serveClients(t, 100, func(request) answer { return answer{} })
	for _, more := range []string{"*5\r\n$7\r\nENQ", strings.Repeat("PING\r\n", 1000)} {
		nc, br := dialClient(t, addr)
		io.WriteString(nc, encodeCommand("PING")+more)
		if line, err := br.ReadString('\n'); line != "+PONG\r\n" {
			t.Fatalf("got %q, %v", line, err)
		}
		go io.Copy(io.Discard, br)
		go func() {
			for err := error(nil); err == nil; {
				_, err = io.WriteString(nc, more)
			}
		}()
	}
	done := make(chan struct{})
	go func() {
		c.close(shutdownGrace)
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Error("close waits for clients")
	}
}

// Descriptors are limited: a connection beyond the slots waits, and is served when one is free.
func TestConnectionsAreCapped(t *testing.T) {
	_, addr := serveClients(t, 1, func(request) answer { return answer{} })
	first, firstReader := dialClient(t, addr)
	io.WriteString(first, encodeCommand("PING"))
	if _, err := firstReader.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	second, secondReader := dialClient(t, addr)
	io.WriteString(second, encodeCommand("PING"))
	first.Close()
	if line, err := secondReader.ReadString('\n'); line != "+PONG\r\n" {
		t.Errorf("got %q, %v", line, err)
	}
}

// Clients that send nothing, or nothing whole, are disconnected after a time: they would hold other clients'
// slots.
func TestIncompleteRequestsTimeOut(t *testing.T) {
	_, addr := serveClients(t, 100, func(request) answer { return answer{} })
	for name, text := range map[string]string{
		"silent": "", "partial request": "*5\r\n$7\r\nENQ", "partial argument": encodeCommand("PING") + "*2\r\n$4\r\nPI", "empty line": "\r\n",
		"empty commands": strings.Repeat("*0\r\n\r\n", 100), "one request": encodeCommand("PING"), "announced 60 MB": "*2\r\n$60000000\r\nxxx",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			nc, br := dialClient(t, addr)
			io.WriteString(nc, text)
			if all, err := io.ReadAll(br); err != nil && !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("got %q, %v", all, err)
			}
		})
	}
}

// When all slots are taken, connections that never sent anything are evicted first, then those idle longest;
// one with an open request stays.
func TestIdleClientsAreEvicted(t *testing.T) {
	release := make(chan struct{})
	_, addr := serveClients(t, 3, func(request) answer {
		<-release
		return answer{}
	})
	busy, busyReader := dialClient(t, addr)
	io.WriteString(busy, enqueueCommand("a", "c=notice,d=8000,dest=7", "b"))
	asked, askedReader := dialClient(t, addr)
	io.WriteString(asked, encodeCommand("PING"))
	if _, err := askedReader.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	_, silentReader := dialClient(t, addr)
	next, nextReader := dialClient(t, addr)
	io.WriteString(next, encodeCommand("PING"))
	if line, err := nextReader.ReadString('\n'); line != "+PONG\r\n" {
		t.Fatalf("got %q, %v", line, err)
	}
	if _, err := silentReader.ReadByte(); err != io.EOF {
		t.Errorf("silent connection: got %v, want EOF", err)
	}
	close(release)
	if line, err := busyReader.ReadString('\n'); line != "+OK\r\n" {
		t.Errorf("connection with an open request: got %q, %v", line, err)
	}
}

// Clients that send one request and then keep their connection take no more than a share of the slots: those
// idle longest are disconnected, and the latest stay usable.
func TestIdleConnectionsAreBounded(t *testing.T) {
	const maxConns, maxIdle = 30, 10
	c, addr := serveClients(t, maxConns, func(request) answer { return answer{} })
	var readers []*bufio.Reader
	var last net.Conn
	for i := range 2 * maxIdle {
		nc, br := dialClient(t, addr)
		io.WriteString(nc, enqueueCommand("m"+itoa(i), "c=notice,d=8000,dest=7", "b"))
		if line, err := br.ReadString('\n'); line != "+OK\r\n" {
			t.Fatalf("client %d: %q, %v", i, line, err)
		}
		c.mu.Lock()
		idle := c.lists[connIdle].Len()
		c.mu.Unlock()
		if idle > maxIdle {
			t.Fatalf("%d idle connections after client %d, want %d at most", idle, i, maxIdle)
		}
		readers, last = append(readers, br), nc
	}
	if _, err := readers[0].ReadByte(); err != io.EOF {
		t.Errorf("connection idle longest: got %v, want EOF", err)
	}
	io.WriteString(last, encodeCommand("PING"))
	if line, err := readers[len(readers)-1].ReadString('\n'); line != "+PONG\r\n" {
		t.Errorf("latest connection: got %q, %v", line, err)
	}
}

// Bytes that have arrived must be read even though the deadline has passed: they may be a whole request.
func TestReadAfterDeadline(t *testing.T) {
	c, addr := serveClients(t, 1, func(request) answer { return answer{} })
	nc, br := dialClient(t, addr)
	io.WriteString(nc, encodeCommand("PING"))
	if line, err := br.ReadString('\n'); line != "+PONG\r\n" {
		t.Fatalf("got %q, %v", line, err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	far, _ := dialClient(t, ln.Addr().String())
	near, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	io.WriteString(far, "x")
	waitUnread(t, near.(*net.TCPConn), 1)
	near.SetReadDeadline(time.Unix(1, 0))
	conn := &clientConn{Conn: near}
	if n, err := conn.Read(make([]byte, 2)); n != 1 || err != nil {
		t.Errorf("read %d bytes, %v", n, err)
	}
	if n, err := conn.Read(make([]byte, 2)); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("nothing more has arrived: read %d bytes, %v", n, err)
	}
	far.Close()
	for err = nil; !errors.Is(err, io.EOF); _, err = conn.Read(make([]byte, 2)) {
		if conn.finalReads >= maxFinalReads {
			conn.finalReads = 0
		}
	}
	c.evict()
	if line, err := br.ReadString('\n'); err != io.EOF {
		t.Errorf("got %q, %v", line, err)
	}
}

// Memory is allocated for the bytes that have arrived, not for the announced size.
func TestAnnouncedSizesAllocateNothing(t *testing.T) {
	const runs = 100
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range runs {
		r := bufio.NewReaderSize(strings.NewReader("*5\r\n$1\r\na\r\n$1\r\na\r\n$1\r\na\r\n$1\r\na\r\n$65536\r\nxyz"), 4096)
		if _, err := readCommand(r); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("got %v", err)
		}
	}
	runtime.ReadMemStats(&after)
	if got := (after.TotalAlloc - before.TotalAlloc) / runs; got > maxBody/2 {
		t.Errorf("%d bytes allocated for a partial request", got)
	}
}

// Whatever clients write, the reader keeps its limits and terminates.
func FuzzReadCommand(f *testing.F) {
	for _, text := range []string{encodeCommand("PING"), enqueueCommand("a", "c=notice,d=8000,dest=7", "b"), "*0\r\n", "\r\n", "*9\r\n", "*1\r\n$99999999999\r\n"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r := bufio.NewReaderSize(bytes.NewReader(text), 4096)
		for {
			args, err := readCommand(r)
			if err != nil && !errors.Is(err, errTooLarge) {
				return
			}
			if err == nil && len(args) == 0 {
				t.Fatal("an empty command was returned")
			}
			for i, a := range args {
				if len(a) > maxBody || (i != bodyArgIndex && len(a) > maxArgSize) {
					t.Fatalf("argument %d has %d bytes", i, len(a))
				}
			}
		}
	})
}
