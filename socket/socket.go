// Package socket sets socket options for which package net has no field, and asks the kernel
// about sockets.
package socket

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Control is the type of the Control field of net.Dialer and net.ListenConfig.
type Control func(network, address string, raw syscall.RawConn) error

// UserTimeout returns a Control that sets TCP_USER_TIMEOUT: the kernel closes a
// connection when bytes that were sent stay unacknowledged for the given time. Accepted
// connections inherit the option from their listener.
func UserTimeout(timeout time.Duration) Control {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		return errors.Join(err, optionErr)
	}
}

// Unread reports whether the kernel has received bytes on the connection that were not read yet.
// It reports false if the kernel cannot be asked.
func Unread(c net.Conn) bool { return queued(c, unix.SIOCINQ) }

// queued reports whether a queue of the connection's socket holds bytes.
func queued(c net.Conn, request uint) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	count := 0
	err = raw.Control(func(fd uintptr) {
		if n, ioctlErr := unix.IoctlGetInt(int(fd), request); ioctlErr == nil {
			count = n
		}
	})
	return err == nil && count > 0
}
