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
	maxPeers    = 4096 // senders that a UDP link knows at once
	maxFlying   = 4096 // datagrams that it holds back at once; more are lost, as in any full queue
)

// Datagrams is a link for UDP: what comes to its address goes on to the target, from a socket for each sender, and
// what comes back there goes back to that sender. Close ends it.
type DatagramLink struct {
	conn   *net.UDPConn
	target netip.AddrPort
	done   chan struct{}
	wg     sync.WaitGroup
	flying chan struct{}
	lost   atomic.Int64

	mu         sync.Mutex
	conditions Conditions
	rand       *rand.Rand
	peers      map[netip.AddrPort]*net.UDPConn
	closed     bool
}

// ListenDatagrams makes a UDP link from an address to a target.
func ListenDatagrams(addr, target string, seed uint64) (*DatagramLink, error) {
	to, err := netip.ParseAddrPort(target)
	if err != nil {
		return nil, fmt.Errorf("UDP link: %w", err)
	}
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("UDP link: %w", err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, fmt.Errorf("UDP link: %w", err)
	}
	d := &DatagramLink{
		conn: conn, target: to, done: make(chan struct{}), flying: make(chan struct{}, maxFlying), rand: rand.New(rand.NewPCG(seed, 2)),
		peers: map[netip.AddrPort]*net.UDPConn{},
	}
	d.wg.Go(d.out)
	return d, nil
}

// Addr is where it listens.
func (d *DatagramLink) Addr() string { return d.conn.LocalAddr().String() }

// Lost counts the datagrams that were not sent on.
func (d *DatagramLink) Dropped() int64 { return d.lost.Load() }

// Set changes the weather.
func (d *DatagramLink) SetConditions(w Conditions) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conditions = w
}

// Close ends the link and returns when nothing of it is left.
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

func (d *DatagramLink) out() {
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
		d.carry(append([]byte(nil), buf[:n]...), func(w Conditions) bool { return w.CutOutbound }, func(b []byte) { peer.Write(b) })
	}
}

// peer is the socket for a sender, made when it first speaks.
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
				continue // an ICMP error: the target is not there now
			}
			d.carry(append([]byte(nil), buf[:n]...), func(w Conditions) bool { return w.CutReturn }, func(b []byte) { d.conn.WriteToUDPAddrPort(b, from) })
		}
	})
	return c
}

// carry sends a datagram on after its delay, unless it is lost.
func (d *DatagramLink) carry(data []byte, cut func(Conditions) bool, send func([]byte)) {
	d.mu.Lock()
	w := d.conditions
	lost := cut(w) || (w.Loss > 0 && d.rand.Float64() < w.Loss)
	delay := time.Duration(float64(w.Delay) * (1 + w.Jitter*d.rand.Float64()))
	d.mu.Unlock()
	switch {
	case lost:
		d.lost.Add(1)
		return
	case delay <= 0:
		send(data)
		return
	}
	select {
	case d.flying <- struct{}{}:
	default:
		d.lost.Add(1)
		return
	}
	d.wg.Go(func() {
		defer func() { <-d.flying }()
		t := time.NewTimer(delay)
		defer t.Stop()
		select {
		case <-t.C:
			send(data)
		case <-d.done:
		}
	})
}
