package node

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// A deadline that has passed does not tell that nothing has arrived: the process may have been held up until
// after it. The functions in this file ask the system, and no clock.

// readArrived reads what has arrived on a connection, without waiting and whatever its read deadline. It
// returns 0 and no error if nothing has.
func readArrived(conn net.Conn, p []byte) (n int, err error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0, fmt.Errorf("a connection of type %T has no descriptor", conn)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	if controlErr := raw.Control(func(descriptor uintptr) {
		for n, err = -1, syscall.EINTR; errors.Is(err, syscall.EINTR); {
			n, err = syscall.Read(int(descriptor), p)
		}
	}); controlErr != nil {
		return 0, controlErr
	}
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return 0, nil
	case err != nil:
		return 0, fmt.Errorf("read: %w", err)
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// connectionArrived reports whether a connection waits in the accept queue. It reports false if that can't be
// told.
func connectionArrived(listener net.Listener) bool {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	readable := false
	raw.Control(func(descriptor uintptr) {
		queue := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}
		for n, err := 0, error(unix.EINTR); errors.Is(err, unix.EINTR); {
			n, err = unix.Poll(queue, 0)
			readable = n > 0 && queue[0].Revents&unix.POLLIN != 0
		}
	})
	return readable
}
