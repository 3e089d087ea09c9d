// Package response decides what counts as the response to a request over HTTP/1.1.
//
// A response is valid if its head is one (RFC 9112, 2 to 5; RFC 9110, 5 and 15): a status line of HTTP/1, a status from
// 200 to 599, and fields whose names are tokens and whose values have no control bytes. Interim responses before it are
// valid in the same way, with a status from 100 to 199, but not 101. The fields must not contradict each other, or
// the status, about the body (RFC 9112, 6.3).
//
// A response is whole if it is valid and its body was read to the end that its head states (RFC 9112, 6.3 and 8):
// none behind a HEAD request or the status 204 or 304, the last chunk and the fields behind it, the length, or else
// the end of the connection. A connection ends by a close of the other side. A reset, or any other loss, is no end.
//
// A response is that of an upstream to a request if it is read on a connection that carries no other request, and if
// the fields by which the protocol with the upstream names request and upstream agree. The types that implement
// dispatch.Dialect decide the latter.
//
// In doubt a response is not one: the caller does not get it, or, once a part was forwarded, sees its connection
// break. Whether the request may be sent again does not depend on what was read, but for a valid refusal: it may have
// been executed as soon as a byte of it was sent (package fault).
//
// Read and CheckEnd decide this for the requests of callers. All other calls, to the store, to peers, to health pages and by
// commands, are made by package net/http, which reads heads and bodies itself. A client of NewClient refuses what is
// not valid as far as that can be found afterwards, and the body must be a whole document of its format.
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
	// maxFields is how many fields a head may have. Each takes some 100 bytes of memory, however short it is.
	maxFields = 1000
	// maxStatus is the highest status (RFC 9110, 15).
	maxStatus = 599
)

// ErrInvalid is wrapped by the errors about responses that are not valid.
var ErrInvalid = errors.New("no valid response")

// Read reads the next final response to a request with the method, up to its body. It skips interim responses.
// It does not limit the bytes that it reads of heads. The body need not be closed; closing it reads nothing.
func Read(r *bufio.Reader, method string) (*http.Response, error) {
	text := textproto.Reader{R: r}
	for range maxHeads {
		resp, err := readHead(&text)
		if err != nil {
			return nil, err
		}
		f, err := framingOf(resp)
		if err != nil {
			return nil, err
		}
		if interim(resp.StatusCode) {
			continue
		}
		if err := checkStatus(resp.StatusCode); err != nil {
			return nil, err
		}
		setBody(resp, f, r, method)
		return resp, nil
	}
	return nil, invalid("too many interim responses")
}

// interim reports whether a final response follows one with the status. It does not after a 101: the connection
// then carries another protocol, which no request asks for.
func interim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// checkStatus returns an error if a final response cannot have the status.
func checkStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return invalid("%d is no status of a response", status)
	}
	return nil
}

// Single returns the value of a field that states one thing, such as an ID, or "" if there is none. It reports false if
// the field is there several times and the values contradict each other.
func Single(h http.Header, name string) (value string, ok bool) {
	values := h.Values(name)
	for _, other := range values {
		if other != values[0] {
			return "", false
		}
	}
	return h.Get(name), true
}

// invalid returns an error that wraps ErrInvalid.
func invalid(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrInvalid}, args...)...)
}
