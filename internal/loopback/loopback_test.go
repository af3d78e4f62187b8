package loopback

import (
	"net"
	"path/filepath"
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

// A port that is reserved is not given to another process, even while nobody listens there. A lock is its file's, so a second
// one in this process stands for another's.
func TestReservedPortIsNotGivenAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "20000")
	for i, want := range []bool{true, false} {
		if locked, err := reserve(path); err != nil || locked != want {
			t.Errorf("try %d: %v, %v", i, locked, err)
		}
	}
}
