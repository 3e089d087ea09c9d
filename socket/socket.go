// Package socket sets socket options for which package net has no field.
package socket

import (
	"errors"
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
