package response

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"golang.org/x/net/http/httpguts"
)

// MaxHeadBytes bounds the head of a response, and of the interim responses before it.
const MaxHeadBytes = 64 << 10

// NewClient returns a client that takes only responses for which Check finds no fault, and the ones of the server that
// it calls: it follows no redirects. Errors about other ones wrap ErrInvalid. A timeout of 0 is none.
func NewClient(transport http.RoundTripper, timeout time.Duration) *http.Client {
	return &http.Client{
		Transport: checkedTransport{transport}, Timeout: timeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// ReadBody reads the body of a response, which may have the given number of bytes at most.
func ReadBody(resp *http.Response, maxBytes int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > maxBytes {
		return nil, fmt.Errorf("the body has more than %d bytes", maxBytes)
	}
	return body, nil
}

// checkedTransport fails calls whose response is not valid.
type checkedTransport struct{ http.RoundTripper }

// RoundTrip makes a call.
func (t checkedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		_ = resp.Body.Close() // nothing of it is used
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the transport, for http.Client.
func (t checkedTransport) CloseIdleConnections() {
	if c, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// Check returns an error if a response that package net/http has read is not valid, as far as that can be found: its
// parser lets any status of three digits and blanks in the names of fields through.
func Check(resp *http.Response) error {
	if err := checkStatus(resp.StatusCode); err != nil {
		return err
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return invalid("%.*q is no name of a field", maxQuoted, name)
		}
	}
	return nil
}
