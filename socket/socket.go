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

// AwaitEnd waits until the other side has closed the connection, also while bytes of it are unread. It returns an
// error if the read deadline passes or the connection is closed here, and errors.ErrUnsupported if the kernel
// cannot be asked.
func AwaitEnd(c net.Conn) error {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	// The function is called again whenever something arrives, as the end does.
	return raw.Read(func(fd uintptr) bool {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		return err != nil || info.State != unix.BPF_TCP_ESTABLISHED
	})
}

// Unsent reports whether bytes that were written to the connection are not acknowledged yet. It
// reports false if the kernel cannot be asked.
func Unsent(c net.Conn) bool { return queued(c, unix.SIOCOUTQ) }

// Backlog returns how many connections the kernel has accepted on a listener that were not accepted
// from it yet, 0 if the kernel cannot be asked.
func Backlog(l net.Listener) int {
	count := 0
	control(l, func(fd int) {
		// Of a listening socket this field has the length of its queue.
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			count = int(info.Unacked)
		}
	})
	return count
}

// queued reports whether a queue of the connection's socket holds bytes.
func queued(c net.Conn, request uint) bool {
	count := 0
	control(c, func(fd int) {
		if n, err := unix.IoctlGetInt(fd, request); err == nil {
			count = n
		}
	})
	return count > 0
}

// control calls f with the descriptor of a connection or listener, if it has one that is open.
func control(of any, f func(fd int)) {
	socket, ok := of.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { f(int(fd)) }) // it fails if the descriptor is closed
}
