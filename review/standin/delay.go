package standin

import (
	"net"
	"time"
)

// Delay is a proxy in front of one address. All that goes through it arrives later by the time of one way.
type Delay struct {
	listener net.Listener
	target   string
	oneWay   time.Duration
}

// NewDelay starts a proxy on a free loopback port.
func NewDelay(target string, oneWay time.Duration) (*Delay, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Delay{ln, target, oneWay}
	go func() {
		for {
			client, err := ln.Accept()
			if err != nil {
				return
			}
			go d.serve(client)
		}
	}()
	return d, nil
}

// Addr returns the proxy's address.
func (d *Delay) Addr() string { return d.listener.Addr().String() }

// Close ends the proxy; its open connections end with their two sides.
func (d *Delay) Close() { d.listener.Close() }

func (d *Delay) serve(client net.Conn) {
	server, err := net.Dial("tcp", d.target)
	if err != nil { // as a refused connection, as far as a proxy can
		client.(*net.TCPConn).SetLinger(0)
		client.Close()
		return
	}
	go d.pass(client, server)
	d.pass(server, client)
}

// chunk is a piece of a stream, and when it is due at the other side. An empty one is the end of the stream.
type chunk struct {
	bytes []byte
	due   time.Time
}

// pass moves all bytes of one direction, each later by the time of one way, and then ends both sides.
func (d *Delay) pass(from, to net.Conn) {
	queue := make(chan chunk, 4096)
	go func() {
		defer close(queue)
		for {
			buffer := make([]byte, 32<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				queue <- chunk{buffer[:n], time.Now().Add(d.oneWay)}
			}
			if err != nil {
				queue <- chunk{nil, time.Now().Add(d.oneWay)}
				return
			}
		}
	}()
	for c := range queue {
		time.Sleep(time.Until(c.due))
		if c.bytes == nil {
			break
		}
		if _, err := to.Write(c.bytes); err != nil {
			break
		}
	}
	to.Close()
	from.Close()
	for range queue { // until its sender has ended
	}
}
