// Package block hands out blocks of loopback addresses, so that several labs on one machine never collide,
// and no port that is needed again is taken as the local port of an outgoing connection.
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

// Reserve reserves a free block.
func Reserve() (*Block, error) {
	for i := range 100 {
		number := 20 + (os.Getpid()+i)%100
		pc, err := net.ListenPacket("udp", fmt.Sprintf("127.%d.255.254:9007", number))
		if err == nil {
			return &Block{number, pc}, nil
		}
	}
	return nil, errors.New("no free block of loopback addresses: are a hundred labs running?")
}

// IP returns the address with the given third and fourth byte.
func (b *Block) IP(third, fourth int) string {
	return fmt.Sprintf("127.%d.%d.%d", b.number, third, fourth)
}

// Close releases the block.
func (b *Block) Close() error { return b.lock.Close() }
