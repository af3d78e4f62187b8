package loopback

import (
	"net"
	"testing"
)

// No address is given twice, and each can be opened.
func TestFreeAddrIsGivenOnce(t *testing.T) {
	seen := map[string]bool{}
	for range 200 {
		address, err := FreeAddr()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Fatalf("%s is given twice", address)
		}
		seen[address] = true
		listener, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		listener.Close()
	}
}
