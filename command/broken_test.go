package command

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"hickorydrum/standin"
)

// maxWritten is the largest response, and what sockets hold of bytes that nobody reads.
const maxWritten = 64<<20 + 16<<20

// startInstance starts a server that writes the bytes of a response to a request, and then the endless ones until the
// connection is closed, or far more than maxWritten are written. The returned function stops it and returns how many bytes were written.
func startInstance(t *testing.T, response, endless string) (address string, stop func() int) {
	t.Helper()
	written := 0
	server, err := standin.NewRaw(func(conn *net.TCPConn, _ *http.Request) bool {
		written, _ = io.WriteString(conn, response)
		if endless != "" {
			written += standin.WriteRepeatedly(conn, endless, 2*maxWritten)
		}
		return false
	})
	if err != nil {
		t.Fatal(err)
	}
	return server.Address(), func() int {
		if err := server.Close(); err != nil {
			t.Error(err)
		}
		return written
	}
}

// TestBrokenResponses guards against commands that take bytes for the response of an instance which are none, that
// read them without end, or that print them as they are.
func TestBrokenResponses(t *testing.T) {
	const (
		ok         = "HTTP/1.1 200 OK\r\n"
		maxPrinted = 1000
		escape     = "\x1b[2J"
	)
	tests := map[string]struct {
		response, endless string
		code              int
	}{
		"whole":                 {ok + "Content-Length: 2\r\n\r\n[]", "", 0},
		"status 000":            {"HTTP/1.1 000 x\r\nContent-Length: 2\r\n\r\n[]", "", 1},
		"a blank in a name":     {ok + "A B: c\r\nContent-Length: 2\r\n\r\n[]", "", 1},
		"cut":                   {ok + "Content-Length: 3\r\n\r\n[]", "", 1},
		"cut, no length":        {ok + "\r\n[", "", 1},
		"a long error":          {"HTTP/1.1 500 x\r\n\r\n" + strings.Repeat(escape, 1<<20), "", 1},
		"odd bytes":             {"HTTP/1.1 500 x\r\n\r\n" + escape, "", 1},
		"odd bytes in a reason": {"HTTP/1.1 500 " + escape + "\r\nContent-Length: 0\r\n\r\n", "", 1},
		"a body without end":    {ok + "\r\n", " ", 1},
		"an error without end":  {"HTTP/1.1 500 x\r\n\r\n", " ", 1},
		"a head without end":    {ok + "A: ", "b", 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			address, stop := startInstance(t, test.response, test.endless)
			code, out, errOut := run("status", "-instance", address)
			if code != test.code {
				t.Errorf("exit code %d, want %d", code, test.code)
			}
			if printed := out + errOut; len(printed) > maxPrinted || strings.Contains(printed, escape) {
				t.Errorf("%d bytes are printed: %.100q", len(printed), printed)
			}
			if written := stop(); written > maxWritten {
				t.Errorf("%d bytes were written, want at most %d", written, maxWritten)
			}
		})
	}
}
