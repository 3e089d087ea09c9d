package dispatch

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"hickorydrum/fault"
)

// uploadSize is more than the buffers of two sockets hold, so that the upload is still being written
// when the upstream ends the connection.
const uploadSize = 24 << 20

// resetNow closes a connection with a reset, behind the bytes that were written to it.
func resetNow(conn *net.TCPConn) error {
	return errors.Join(conn.SetLinger(0), conn.Close())
}

// finish ends the response, and reads the rest of the upload.
func finish(conn *net.TCPConn) error {
	if err := conn.CloseWrite(); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, conn)
	return err
}

// finishAndResetNow ends the response, and resets the connection at once.
func finishAndResetNow(conn *net.TCPConn) error {
	return errors.Join(conn.CloseWrite(), resetNow(conn))
}

// finishAndReset ends the response, and resets the connection a moment later.
func finishAndReset(conn *net.TCPConn) error {
	if err := conn.CloseWrite(); err != nil {
		return err
	}
	time.Sleep(20 * time.Millisecond)
	return resetNow(conn)
}

// TestEndDuringUpload guards against a partial response that is forwarded as a whole one: a socket reports a
// reset to one call only, and if that is the write of the request, the read of the response sees an end of the
// connection like any other.
func TestEndDuringUpload(t *testing.T) {
	const (
		head       = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n"
		withLength = head + "Content-Length: 4\r\n\r\npart"
		chunked    = head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"
	)
	late := func(conn *net.TCPConn) error {
		time.Sleep(20 * time.Millisecond)
		return resetNow(conn)
	}
	tests := map[string]struct {
		response string
		end      func(*net.TCPConn) error
		whole    bool
	}{
		"no length, reset at once":           {head + "\r\npart", resetNow, false},
		"no length, reset later":             {head + "\r\npart", late, false},
		"no length and no body, reset":       {head + "\r\n", late, false},
		"HTTP/1.0, no length, reset":         {"HTTP/1.0 200 OK\r\n\r\npart", late, false},
		"no length, ended":                   {head + "\r\npart", finish, true},
		"no length, ended and reset behind":  {head + "\r\npart", finishAndReset, true},
		"no length, ended and reset at once": {head + "\r\npart", finishAndResetNow, true},
		"length, reset behind it":            {withLength, late, true},
		"length, reset before its end":       {head + "Content-Length: 5\r\n\r\npart", late, false},
		"chunks, reset behind them":          {chunked + "0\r\n\r\n", late, true},
		"chunks, reset before the last":      {chunked, late, false},
		"chunks, reset before the last CRLF": {chunked + "0\r\n", late, false},
	}
	uploads := map[string]struct{ size, length int64 }{
		"long":      {uploadSize, uploadSize},
		"in chunks": {uploadSize, -1},
		"short":     {100 << 10, 100 << 10},
		"none":      {0, 0},
	}
	for size, u := range uploads {
		for name, test := range tests {
			t.Run(size+"/"+name, func(t *testing.T) {
				t.Parallel()
				for range 10 {
					got, err := upload(t, u.size, u.length, test.response, test.end)
					if (err == nil) != test.whole {
						t.Fatalf("%q is forwarded, the error is %v; want a whole response %v", got.body.String(), err, test.whole)
					}
					if err != nil && fault.From(err).Execution() != fault.MaybeExecuted {
						t.Fatalf("execution %s: %v", fault.From(err).Execution(), err)
					}
				}
			})
		}
	}
}

// upload sends a request with a body of the size, and with the length or in chunks if that is -1, to an upstream that
// answers before it reads the body, and then ends the connection.
func upload(t *testing.T, size, length int64, response string, end func(*net.TCPConn) error) (*sink, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	var group errgroup.Group
	group.Go(func() error {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return err
		}
		if _, err := io.WriteString(conn, response); err != nil {
			return err
		}
		_ = end(conn.(*net.TCPConn)) // the exchange may have closed the connection
		return nil
	})
	d := NewDialer(listener.Addr().String())
	defer d.Close()
	r := Request{ID: "1", Method: http.MethodPost, Length: length}
	got, err := send(d, r, bytes.NewReader(make([]byte, size)), false)
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	return got, err
}
