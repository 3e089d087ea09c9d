// Package response decides whether an HTTP/1.1 response is valid and whole.
package response

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"net/textproto"
)

const (
	// maxHeads is how many heads are read for one response, those of interim responses included.
	maxHeads = 8
	// maxStatus is the highest status (RFC 9110, 15).
	maxStatus = 599
)

// Read reads the next final response to a request with the method, up to its body. It skips interim responses.
// It does not limit the bytes that it reads of heads.
func Read(r *bufio.Reader, method string) (*http.Response, error) {
	text := textproto.Reader{R: r}
	for range maxHeads {
		resp, err := readHead(&text)
		if err != nil {
			return nil, err
		}
		if interim(resp.StatusCode) {
			continue
		}
		if err := Check(resp); err != nil {
			return nil, err
		}
		if err := setBody(resp, r, method); err != nil {
			return nil, err
		}
		return resp, nil
	}
	return nil, errors.New("too many interim responses")
}

// interim reports whether a final response follows one with the status. It does not after a 101: the connection
// then carries another protocol, which no request asks for.
func interim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// Check returns an error if a final response is not valid.
func Check(resp *http.Response) error {
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		return fmt.Errorf("%d is no status of a response", resp.StatusCode)
	}
	return nil
}
