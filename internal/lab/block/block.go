// Package block hands out parts of the loopback network, so that several labs on one machine never meet, and no port that
// is needed again is taken by a connection's own end.
package block

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// Block is a /16 of loopback addresses that no other lab on this machine uses until Close.
type Block struct {
	number int
	lock   net.PacketConn
}

// Take finds one that is free.
func Reserve() (*Block, error) {
	for i := range 100 {
		number := 20 + (os.Getpid()+i)%100
		pc, err := net.ListenPacket("udp", fmt.Sprintf("127.%d.255.254:9007", number))
		if err == nil {
			return &Block{number, pc}, nil
		}
	}
	return nil, errors.New("no block of loopback addresses is free: are a hundred labs running?")
}

// IP is one of its addresses, by the third and fourth byte.
func (b *Block) IP(third, fourth int) string {
	return fmt.Sprintf("127.%d.%d.%d", b.number, third, fourth)
}

// Close lets others have it.
func (b *Block) Close() error { return b.lock.Close() }
