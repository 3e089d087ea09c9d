package response

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// maxTrailerBytes bounds the fields behind a body in chunks.
const maxTrailerBytes = 16 << 10

// framing is what the fields of a response state about its body.
type framing struct {
	length  int64 // -1 if no field states it
	chunked bool
}

// framingOf returns the framing of a response, and an error if its fields contradict each other, or its status
// (RFC 9112, 6.1 and 6.3; RFC 9110, 8.6): whoever wrote them may mean another body. It leaves at most one
// Content-Length in the header.
func framingOf(resp *http.Response) (framing, error) {
	length, err := contentLength(resp.Header)
	if err != nil {
		return framing{}, err
	}
	codings := resp.Header["Transfer-Encoding"]
	f := framing{length: length, chunked: len(codings) > 0}
	switch {
	case len(codings) > 1, f.chunked && !strings.EqualFold(codings[0], "chunked"):
		return framing{}, invalid("the transfer codings %.*q are not supported", maxQuoted, codings)
	case f.chunked && !resp.ProtoAtLeast(1, 1):
		return framing{}, invalid("a transfer coding in HTTP/1.0")
	case f.chunked && length >= 0:
		return framing{}, invalid("a body in chunks with a length")
	case bodyless(resp.StatusCode) && (f.chunked || length > 0):
		return framing{}, invalid("a body behind the status %d", resp.StatusCode)
	}
	return f, nil
}

// bodyless reports whether responses with the status have no body, and state none.
func bodyless(status int) bool { return status < http.StatusOK || status == http.StatusNoContent }

// setBody sets the body of a response to a request with the method, and whether the connection ends with it
// (RFC 9112, 6.3 and 9.3). Reads of a body that ends too soon fail with io.ErrUnexpectedEOF.
func setBody(resp *http.Response, f framing, r *bufio.Reader, method string) {
	resp.ContentLength, resp.Close = f.length, closes(resp)
	if f.chunked {
		resp.TransferEncoding = []string{"chunked"}
	}
	switch {
	case method == http.MethodHead:
		resp.Body = http.NoBody
	case bodyless(resp.StatusCode), resp.StatusCode == http.StatusNotModified, f.length == 0:
		resp.Body, resp.ContentLength = http.NoBody, 0
	case f.chunked:
		resp.Body = io.NopCloser(&chunkedBody{r: r, chunks: httputil.NewChunkedReader(r)})
	case f.length > 0:
		resp.Body = io.NopCloser(&fixedBody{io.LimitedReader{R: r, N: f.length}})
	default:
		resp.Body, resp.Close = io.NopCloser(r), true
	}
}

// contentLength returns the length in a header, or -1 if there is none. Equal ones become one.
func contentLength(h http.Header) (int64, error) {
	const name = "Content-Length"
	if len(h.Values(name)) == 0 {
		return -1, nil
	}
	value, ok := Single(h, name)
	if !ok {
		return 0, invalid("the lengths %.*q contradict each other", maxQuoted, h.Values(name))
	}
	length, err := strconv.ParseUint(value, 10, 63)
	if err != nil {
		return 0, invalid("%.*q is no length", maxQuoted, value)
	}
	h.Set(name, value)
	return int64(length), nil
}

// closes reports whether the other side closes the connection behind the response.
func closes(resp *http.Response) bool {
	options := resp.Header["Connection"]
	if httpguts.HeaderValuesContainsToken(options, "close") {
		return true
	}
	return !resp.ProtoAtLeast(1, 1) && !httpguts.HeaderValuesContainsToken(options, "keep-alive")
}

// fixedBody is a body with a length.
type fixedBody struct{ rest io.LimitedReader }

// Read reads the next bytes.
func (b *fixedBody) Read(p []byte) (int, error) {
	n, err := b.rest.Read(p)
	if err == io.EOF && b.rest.N > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody is a body in chunks with the fields behind it, which are dropped.
type chunkedBody struct {
	r      *bufio.Reader
	chunks io.Reader
	ended  bool
}

// Read reads the next bytes.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.chunks.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := skipTrailers(b.r); err != nil {
		return n, err
	}
	b.ended = true
	return n, io.EOF
}

// skipTrailers reads the fields behind a body in chunks, and the empty line behind them.
func skipTrailers(r *bufio.Reader) error {
	for total := 0; total < maxTrailerBytes; {
		line, err := r.ReadSlice('\n')
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		total += len(line)
		line = bytes.TrimSuffix(line[:len(line)-1], []byte("\r"))
		if len(line) == 0 {
			return nil
		}
		if _, _, err := parseField(string(line)); err != nil {
			return err
		}
	}
	return invalid("the fields behind the body are too long")
}
