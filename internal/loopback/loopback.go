// Package loopback finds addresses for programs that open their own listeners. Whoever opens a listener itself listens on
// port 0 and passes the listener on.
package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
)

// The ports lie below those that the system gives to outgoing connections and to listeners on port 0, so that none of
// these takes an address before its program has it.
const (
	firstPort = 20000
	ports     = 12000
	maxTries  = 1000
	// lockFolder, in the folder for temporary files, has a lock file for each port.
	lockFolder = "starlingusher-ports"
)

// errNoPort reports that no free port was found.
var errNoPort = errors.New("no free port was found")

// reserved holds the lock file of each port that this process has reserved. The locks end with the process.
var reserved struct {
	mu    sync.Mutex
	locks []*os.File
}

// FreeAddr returns an address on which nobody listens, and which no process that uses this package is given while this
// process runs.
func FreeAddr() (string, error) {
	dir := filepath.Join(os.TempDir(), lockFolder)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", fmt.Errorf("free address: %w", err)
	}
	for range maxTries {
		port := firstPort + rand.IntN(ports)
		locked, err := reserve(filepath.Join(dir, strconv.Itoa(port)))
		if err != nil {
			return "", err
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		if locked && isFree(address) {
			return address, nil
		}
	}
	return "", errNoPort
}

// reserve locks the file of a port until this process ends. It reports false if the port is reserved already.
func reserve(path string) (bool, error) {
	lock, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return false, fmt.Errorf("free address: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return false, nil
	}
	reserved.mu.Lock()
	defer reserved.mu.Unlock()
	reserved.locks = append(reserved.locks, lock)
	return true, nil
}

// isFree reports whether nobody listens at an address.
func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	return err == nil && listener.Close() == nil
}
