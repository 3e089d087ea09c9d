package response

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestRead checks which responses are valid, and what their bodies are.
func TestRead(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
	type result struct {
		Status int // 0 if the response is not valid
		Body   string
		Whole  bool
	}
	type row struct {
		method   string
		response string
		want     result
	}
	whole := func(status int, body string) result { return result{status, body, true} }
	tests := map[string]row{
		"200":                     {"GET", ok, whole(200, "hi")},
		"599":                     {"GET", "HTTP/1.1 599 x\r\nContent-Length: 2\r\n\r\nhi", whole(599, "hi")},
		"behind interim ones":     {"GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 x\r\n\r\n" + ok, whole(200, "hi")},
		"behind too many of them": {"GET", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", maxHeads) + ok, result{}},
		"000":                     {"GET", "HTTP/1.1 000 x\r\n\r\n" + ok, result{}},
		"000, no reason":          {"GET", "HTTP/1.1 000\r\n\r\n" + ok, result{}},
		"099":                     {"GET", "HTTP/1.1 099 x\r\n\r\n" + ok, result{}},
		"600":                     {"GET", "HTTP/1.1 600 x\r\nContent-Length: 2\r\n\r\nhi", result{}},
		"999":                     {"GET", "HTTP/1.1 999 x\r\nContent-Length: 2\r\n\r\nhi", result{}},
		"a sign":                  {"GET", "HTTP/1.1 +20 x\r\n\r\n" + ok, result{}},
		"a sign below zero":       {"GET", "HTTP/1.1 -00 x\r\n\r\n" + ok, result{}},
		"two digits":              {"GET", "HTTP/1.1 20 OK\r\n\r\n" + ok, result{}},
		"four digits":             {"GET", "HTTP/1.1 2000 OK\r\n\r\n" + ok, result{}},
		"all bytes of a token":    {"GET", "HTTP/1.1 200 OK\r\n0a!#$%&'*+-.^_`|~Z: 1\r\nContent-Length: 2\r\n\r\nhi", whole(200, "hi")},
		"a value of odd bytes":    {"GET", "HTTP/1.1 200 OK\r\nA: \t\xe9 \"(\r\nContent-Length: 2\r\n\r\nhi", whole(200, "hi")},
		"a value with a NUL":      {"GET", "HTTP/1.1 200 OK\r\nA: b\x00c\r\nContent-Length: 2\r\n\r\nhi", result{}},
		"a value with a CR":       {"GET", "HTTP/1.1 200 OK\r\nA: b\rc\r\nContent-Length: 2\r\n\r\nhi", result{}},
		"another protocol":        {"GET", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + ok, result{}},
	}
	for _, name := range []string{
		"A ", "A B", " A", "", "A\t", "A\x00", "A\x01B", "A\x7f", "A\rB", "\xe9", "A\"", "A(", "A,", "A/", "A;", "A=", "A@", "A[", "A{", "Content-Length ",
		"Transfer-Encoding ",
	} {
		head := "HTTP/1.1 %s x\r\nA: b\r\n" + name + ": 1\r\n"
		tests[fmt.Sprintf("a field %q", name)] = row{"GET", fmt.Sprintf(head, "200") + "Content-Length: 2\r\n\r\nhi", result{}}
		tests[fmt.Sprintf("a field %q of an interim response", name)] = row{"GET", fmt.Sprintf(head, "103") + "\r\n" + ok, result{}}
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			resp, err := Read(bufio.NewReader(strings.NewReader(test.response)), test.method)
			got := result{}
			if err == nil {
				body, err := io.ReadAll(resp.Body)
				got = result{resp.StatusCode, string(body), err == nil}
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("%s\n%v", diff, err)
			}
		})
	}
}

// TestCheckEnd checks which errors of writes show that a body without a length is not whole.
func TestCheckEnd(t *testing.T) {
	writeErr := func(err error) error {
		return &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", err)}
	}
	unframed := &http.Response{ContentLength: -1}
	tests := map[string]struct {
		resp     *http.Response
		writeErr error
		whole    bool
	}{
		"no write failed":           {unframed, nil, true},
		"a write got the reset":     {unframed, writeErr(syscall.ECONNRESET), false},
		"a write timed out":         {unframed, writeErr(syscall.ETIMEDOUT), false},
		"a write lost the route":    {unframed, writeErr(syscall.EHOSTUNREACH), false},
		"the other side had closed": {unframed, writeErr(syscall.EPIPE), true},
		"this side had closed":      {unframed, fmt.Errorf("write: %w", net.ErrClosed), true},
		"the deadline had passed":   {unframed, os.ErrDeadlineExceeded, true},
		"another error":             {unframed, errors.New("the body of the request was cut short"), true},
		"a body with a length":      {&http.Response{ContentLength: 5}, writeErr(syscall.ECONNRESET), true},
		"no body":                   {&http.Response{Body: http.NoBody}, writeErr(syscall.ECONNRESET), true},
		"a body in chunks":          {&http.Response{ContentLength: -1, TransferEncoding: []string{"chunked"}}, writeErr(syscall.ECONNRESET), true},
		"no body, and no length":    {&http.Response{ContentLength: -1, Body: http.NoBody}, writeErr(syscall.ECONNRESET), true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if err := CheckEnd(test.resp, test.writeErr); (err == nil) != test.whole {
				t.Errorf("the error is %v, want a whole response %v", err, test.whole)
			}
		})
	}
}
