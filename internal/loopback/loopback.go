// Package loopback finds addresses for programs that open their own listeners. Whoever opens a listener itself listens on
// port 0 and passes the listener on.
package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
)

// The ports lie below those that the system gives to outgoing connections and to listeners on port 0, so that none of
// these takes an address before its program has it.
const (
	firstPort = 20000
	ports     = 12000
	maxTries  = 1000
)

// errNoPort reports that no free port was found.
var errNoPort = errors.New("no free port was found")

// given holds the ports that this process has given away.
var given struct {
	mu    sync.Mutex
	ports map[int]bool
}

// FreeAddr returns an address on which nobody listens, and which this process has not been given before.
func FreeAddr() (string, error) {
	given.mu.Lock()
	defer given.mu.Unlock()
	if given.ports == nil {
		given.ports = map[int]bool{}
	}
	for range maxTries {
		port := firstPort + rand.IntN(ports)
		if given.ports[port] {
			continue
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := listener.Close(); err != nil {
			return "", fmt.Errorf("free address: %w", err)
		}
		given.ports[port] = true
		return address, nil
	}
	return "", errNoPort
}
