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
	maxPeers    = 4096 // senders that a UDP link knows at the same time
	maxDelayed  = 4096 // delayed datagrams at the same time; more are dropped, as in any full queue
)

// DatagramLink is a UDP link. Datagrams that arrive at its address are forwarded to the target from a socket
// for each sender, and answers to that socket go back to the sender.
type DatagramLink struct {
	conn     *net.UDPConn
	target   netip.AddrPort
	done     chan struct{}
	wg       sync.WaitGroup
	inFlight chan struct{}
	dropped  atomic.Int64

	mu         sync.Mutex
	conditions Conditions
	rand       *rand.Rand
	peers      map[netip.AddrPort]*net.UDPConn
	closed     bool
}

// ListenDatagrams creates a UDP link from an address to a target.
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

// Dropped returns the number of datagrams that were not forwarded.
func (d *DatagramLink) Dropped() int64 { return d.dropped.Load() }

// SetConditions changes the conditions.
func (d *DatagramLink) SetConditions(conditions Conditions) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conditions = conditions
}

// Close closes the link and returns when all its goroutines have ended.
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
		d.forward(append([]byte(nil), buf[:n]...), func(w Conditions) bool { return w.CutOutbound }, func(b []byte) { peer.Write(b) })
	}
}

// peer returns the socket for a sender, which is created for the sender's first datagram.
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
				continue // an ICMP error: the target is not running now
			}
			d.forward(append([]byte(nil), buf[:n]...), func(w Conditions) bool { return w.CutReturn }, func(b []byte) { d.conn.WriteToUDPAddrPort(b, from) })
		}
	})
	return c
}

// forward forwards a datagram after its delay, unless it is lost.
func (d *DatagramLink) forward(data []byte, cut func(Conditions) bool, send func([]byte)) {
	d.mu.Lock()
	w := d.conditions
	drop := cut(w) || (w.Loss > 0 && d.rand.Float64() < w.Loss)
	delay := time.Duration(float64(w.Delay) * (1 + w.Jitter*d.rand.Float64()))
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
