package socket

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

// TestAwaitEnd guards against an end of a connection that is not noticed since bytes before it are unread, and against a
// wait that outlasts the read deadline.
func TestAwaitEnd(t *testing.T) {
	tests := map[string]struct {
		leave func(client *net.TCPConn) error
		want  error
	}{
		"closed":            {(*net.TCPConn).Close, nil},
		"closed for writes": {(*net.TCPConn).CloseWrite, nil},
		"reset": {func(client *net.TCPConn) error {
			return errors.Join(client.SetLinger(0), client.Close())
		}, nil},
		"stays":      {func(*net.TCPConn) error { return nil }, os.ErrDeadlineExceeded},
		"sends more": {func(client *net.TCPConn) error { _, err := client.Write([]byte("more")); return err }, os.ErrDeadlineExceeded},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			client, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = client.Close() }()
			accepted, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = accepted.Close() }()
			if _, err := client.Write([]byte("unread")); err != nil {
				t.Fatal(err)
			}
			wait := 10 * time.Second
			if test.want != nil {
				wait = 100 * time.Millisecond
			}
			if err := accepted.SetReadDeadline(time.Now().Add(wait)); err != nil {
				t.Fatal(err)
			}
			var group errgroup.Group
			group.Go(func() error {
				time.Sleep(10 * time.Millisecond) // so that the wait has begun
				return test.leave(client.(*net.TCPConn))
			})
			if err := AwaitEnd(accepted); !errors.Is(err, test.want) {
				t.Errorf("%v, want %v", err, test.want)
			}
			if err := group.Wait(); err != nil {
				t.Error(err)
			}
		})
	}
}

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
