package relay

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxDatagram = 64 << 10
	maxPeers    = 4096 // senders that a UDP link ever forwards for; it keeps their sockets until it is closed, and ignores further senders
	maxDelayed  = 4096 // delayed datagrams at the same time; more are dropped, as in any full queue
)

// DatagramLink is a UDP link. It forwards the datagrams that arrive at its address to the target, from a
// socket of its own for each sender. Answers to that socket go back to the sender.
type DatagramLink struct {
	conn     *net.UDPConn
	target   netip.AddrPort
	done     chan struct{}
	wg       sync.WaitGroup
	inFlight chan struct{} // holds a value for each delayed datagram
	dropped  atomic.Int64

	mu         sync.Mutex
	conditions Conditions
	rand       *rand.Rand
	peers      map[netip.AddrPort]*net.UDPConn // by sender: the socket that forwards to the target
	closed     bool
}

// ListenDatagrams creates a UDP link from an address to a target, both as IP:PORT. The seed is for jitter and
// loss.
func ListenDatagrams(addr, target string, seed uint64) (*DatagramLink, error) {
	to, err := netip.ParseAddrPort(target)
	if err != nil {
		return nil, fmt.Errorf("listen on UDP link: %w", err)
	}
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("listen on UDP link: %w", err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, fmt.Errorf("listen on UDP link: %w", err)
	}
	d := &DatagramLink{
		conn: conn, target: to, done: make(chan struct{}), inFlight: make(chan struct{}, maxDelayed), rand: rand.New(rand.NewPCG(seed, 2)),
		peers: map[netip.AddrPort]*net.UDPConn{},
	}
	d.wg.Go(d.forwardOutbound)
	return d, nil
}

// Addr returns the address at which the link listens.
func (d *DatagramLink) Addr() string { return d.conn.LocalAddr().String() }

// Dropped returns the number of datagrams, in both directions, that were dropped because of the conditions or
// because too many were delayed. It does not count the datagrams of ignored senders.
func (d *DatagramLink) Dropped() int64 { return d.dropped.Load() }

// SetConditions changes the conditions for datagrams that arrive from now on. Of the conditions only Delay,
// Jitter, Loss, CutOutbound and CutReturn apply to a UDP link.
func (d *DatagramLink) SetConditions(conditions Conditions) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conditions = conditions
}

// Close closes the link and returns when all its goroutines have ended; delayed datagrams are dropped. It
// must be called only once.
func (d *DatagramLink) Close() {
	d.mu.Lock()
	d.closed = true
	for _, c := range d.peers {
		c.Close()
	}
	d.mu.Unlock()
	close(d.done)
	d.conn.Close()
	d.wg.Wait()
}

// forwardOutbound forwards datagrams from the senders to the target until the link is closed.
func (d *DatagramLink) forwardOutbound() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		peer := d.peer(from)
		if peer == nil {
			continue
		}
		d.forward(append([]byte(nil), buf[:n]...), func(cond Conditions) bool { return cond.CutOutbound }, func(b []byte) { peer.Write(b) })
	}
}

// peer returns the socket for a sender and creates it for the sender's first datagram. It returns nil if the
// link is closed, has maxPeers senders already, or can't open a socket.
func (d *DatagramLink) peer(from netip.AddrPort) *net.UDPConn {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.peers[from]; c != nil || d.closed || len(d.peers) >= maxPeers {
		return c
	}
	c, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(d.target))
	if err != nil {
		return nil
	}
	d.peers[from] = c
	d.wg.Go(func() {
		buf := make([]byte, maxDatagram)
		for {
			n, err := c.Read(buf)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				continue // an ICMP error: nothing listens at the target now
			}
			d.forward(append([]byte(nil), buf[:n]...), func(cond Conditions) bool { return cond.CutReturn }, func(b []byte) { d.conn.WriteToUDPAddrPort(b, from) })
		}
	})
	return c
}

// forward passes a datagram to send after the link's delay. It drops the datagram if its direction is cut, at
// random with the probability Loss, and if maxDelayed others are being delayed.
func (d *DatagramLink) forward(data []byte, cut func(Conditions) bool, send func([]byte)) {
	d.mu.Lock()
	cond := d.conditions
	drop := cut(cond) || (cond.Loss > 0 && d.rand.Float64() < cond.Loss)
	delay := time.Duration(float64(cond.Delay) * (1 + cond.Jitter*d.rand.Float64()))
	d.mu.Unlock()
	switch {
	case drop:
		d.dropped.Add(1)
		return
	case delay <= 0:
		send(data)
		return
	}
	select {
	case d.inFlight <- struct{}{}:
	default:
		d.dropped.Add(1)
		return
	}
	d.wg.Go(func() {
		defer func() { <-d.inFlight }()
		t := time.NewTimer(delay)
		defer t.Stop()
		select {
		case <-t.C:
			send(data)
		case <-d.done:
		}
	})
}
