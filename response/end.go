package response

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
)

// CheckEnd returns an error if a response whose body was read to its end is not whole, since the connection was
// reset. writeErr is the error of a write to the connection, if one failed before its reads ended.
//
// A socket reports a reset once, to a read or to a write. If a write gets it, the next read finds the end of
// the connection, as after a close of the other side. EPIPE is no sign of that: a write gets it after such a close,
// or after a read got the reset.
func CheckEnd(resp *http.Response, writeErr error) error {
	if !endsWithConnection(resp) {
		return nil
	}
	var errno syscall.Errno
	if !errors.As(writeErr, &errno) || errno == syscall.EPIPE {
		return nil
	}
	return fmt.Errorf("the connection was lost before the end of a body without a length: %w", writeErr)
}

// endsWithConnection reports whether only the end of the connection ends the body.
func endsWithConnection(resp *http.Response) bool {
	return resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}
