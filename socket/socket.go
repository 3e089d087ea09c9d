// Package socket sets options of sockets that the standard library has no field for.
package socket

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Control is the type of the field of that name in net.Dialer and net.ListenConfig.
type Control func(network, address string, raw syscall.RawConn) error

// UserTimeout returns a Control that ends a connection whose sent bytes are not
// acknowledged for the given time. Accepted connections inherit it from their
// listener.
func UserTimeout(timeout time.Duration) Control {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		return errors.Join(err, failed)
	}
}
