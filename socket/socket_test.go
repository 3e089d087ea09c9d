package socket

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

func TestUserTimeout(t *testing.T) {
	const timeout = 1700 * time.Millisecond
	config := net.ListenConfig{Control: UserTimeout(timeout)}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	raw, err := listener.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	got := 0
	if err := raw.Control(func(fd uintptr) {
		got, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}); err != nil {
		t.Fatal(err)
	}
	if err != nil || got != int(timeout.Milliseconds()) {
		t.Errorf("the option is %d ms, %v", got, err)
	}
}
