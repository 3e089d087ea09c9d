package response

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
)

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
