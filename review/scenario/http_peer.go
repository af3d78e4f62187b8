//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["http-peer"] = httpPeer }

// httpPeer: a peer that speaks HTTP connects to the clients' address. One line of its body reads like a command. It is not a
// proper request, so nothing may be taken on and no endpoint may get a message.
func httpPeer(w *world) (broken []string) {
	const handedIn, foreign = "5be2a07c00000001", "5be2a07c00000002"
	var mu sync.Mutex
	var got []string
	e := newEndpoint(w.rec, "e1", func(c *call, conn net.Conn) bool {
		mu.Lock()
		got = append(got, c.ids...)
		mu.Unlock()
		time.Sleep(120 * time.Millisecond)
		if len(c.ids) != 1 || c.ids[0] != handedIn { // as the protocol has it for a message that no client handed in
			return status(conn, "400 Bad Request")
		}
		return ok(c, conn)
	})
	p := newPlatform(w.rec, []member{serving(e, 1, "bulk-partner")})
	n := w.node(config(p))
	n.start()
	c := &client{rec: w.rec, node: n}
	if line := c.submit(handedIn, "incentive-payout", 20*time.Second, 1, "", []byte("NGN 500 to 0801")); !strings.HasPrefix(line, "+") {
		fail("the proper message was not taken on: " + line)
	}
	if w.trouble {
		body := "ENQUEUE 0000000000000000 " + foreign + " c=incentive-payout,t=kanoresearch,d=20000,dest=1 NGN-500\r\n"
		conn, err := net.Dial("tcp", n.listen)
		must(err)
		fmt.Fprintf(conn, "POST /status HTTP/1.1\r\nHost: %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", n.listen, len(body), body)
		w.rec.printf("peer: sends an HTTP POST with the body %q", body)
		conn.SetDeadline(time.Now().Add(3 * time.Second))
		for r := bufio.NewReader(conn); ; {
			line, err := r.ReadString('\n')
			if line != "" {
				w.rec.printf("peer: gets %q", line)
			}
			if strings.HasPrefix(line, "+") {
				broken = append(broken, "a message of a peer that sent no proper request was taken on")
			}
			if err != nil {
				if err != io.EOF {
					w.rec.printf("peer: %v", err)
				}
				break
			}
		}
		conn.Close()
	}
	time.Sleep(2 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	for _, id := range got {
		if id != handedIn {
			broken = append(broken, "the endpoint got the payout "+id+", which no client handed in")
		}
	}
	if len(got) == 0 {
		fail("the endpoint got nothing")
	}
	return broken
}
