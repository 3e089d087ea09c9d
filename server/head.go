package server

import (
	"bufio"
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

// maxLinePrefix is how many bytes of a header line are kept until its end has arrived. It has room for the
// name and the value of a Content-Length.
const maxLinePrefix = 64

// head follows the head of a request as its bytes arrive. It only finds where the head and the body end, and
// accepts less than the HTTP server does: it marks as irregular what could be read in two ways.
type head struct {
	prefix    [maxLinePrefix]byte // begin of the line that has not ended
	lineBytes int                 // length of that line so far
	last      byte                // last byte of that line so far
	lines     int                 // lines that have ended
	hasLength bool
	length    int64 // of the body
	ended     bool  // the empty line was read
	irregular bool  // the end of the head or of the body is not known
}

// feed takes the next bytes of the connection. It returns how many of them belong to the head: all of them
// unless the head ends.
func (h *head) feed(b []byte) int {
	n := 0
	for !h.ended && !h.irregular {
		end := bytes.IndexByte(b[n:], '\n')
		if end < 0 {
			h.addPart(b[n:])
			return len(b)
		}
		h.addPart(b[n : n+end])
		h.endLine()
		n += end + 1
	}
	return n
}

// addPart takes a part of a line, without the line feed.
func (h *head) addPart(b []byte) {
	if len(b) == 0 {
		return
	}
	if h.lineBytes < maxLinePrefix {
		copy(h.prefix[h.lineBytes:], b)
	}
	h.lineBytes += len(b)
	h.last = b[len(b)-1]
}

// endLine takes the end of a line.
func (h *head) endLine() {
	size := h.lineBytes - 1 // without the carriage return
	switch {
	case h.lineBytes == 0 || h.last != '\r':
		h.irregular = true
	case size == 0:
		h.ended, h.irregular = h.lines > 0, h.lines == 0
	case h.lines > 0:
		h.readField(h.prefix[:min(size, maxLinePrefix)], size > maxLinePrefix)
	}
	h.lineBytes, h.last = 0, 0
	h.lines++
}

// readField reads a header line, or the begin of one that is longer.
func (h *head) readField(line []byte, cut bool) {
	if line[0] == ' ' || line[0] == '\t' {
		h.irregular = true // it continues the line before
		return
	}
	if !couldFrame(line[0]) {
		return
	}
	name, value, found := bytes.Cut(line, []byte{':'})
	switch {
	case !found:
	case bytes.ContainsAny(name, " \t"):
		h.irregular = true // the name could be read with the space, or without
	case strings.EqualFold(string(name), "Transfer-Encoding"):
		h.irregular = true
	case strings.EqualFold(string(name), "Content-Length"):
		h.readLength(string(bytes.Trim(value, " \t")), cut)
	}
}

// couldFrame reports whether a header that sets the length of a body can begin with the letter.
func couldFrame(first byte) bool { return first|0x20 == 'c' || first|0x20 == 't' }

// readLength reads the length of the body.
func (h *head) readLength(value string, cut bool) {
	length, err := strconv.ParseUint(value, 10, 63)
	if err != nil || cut || h.hasLength {
		h.irregular = true
		return
	}
	h.hasLength, h.length = true, int64(length)
}

// parseAhead parses a whole head. It reports false unless the request may be handled before its turn as far as HTTP
// is concerned: the HTTP server accepts it as well, and nothing but another request can follow it.
func parseAhead(b []byte) (*http.Request, bool) {
	for _, c := range b {
		if c < ' ' && c != '\t' && c != '\r' && c != '\n' || c >= 0x7f {
			return nil, false
		}
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(b)))
	if err != nil || r.Proto != "HTTP/1.1" || r.ContentLength != 0 || len(r.TransferEncoding) > 0 || !plainHost(r.Host) ||
		!keepsOpen(r) || !strings.HasPrefix(r.RequestURI, "/") || r.Header["Expect"] != nil || r.Header["Upgrade"] != nil {
		return nil, false
	}
	for name := range r.Header {
		if !isToken(name) {
			return nil, false
		}
	}
	r.Body = http.NoBody
	return r, true
}

// keepsOpen reports whether the connection stays open after the request as far as the caller is concerned.
func keepsOpen(r *http.Request) bool {
	connection := r.Header["Connection"]
	return !r.Close && (len(connection) == 0 || len(connection) == 1 && strings.EqualFold(connection[0], "keep-alive"))
}

// plainHost reports whether a Host header has a name or an address, and perhaps a port.
func plainHost(host string) bool {
	return host != "" && strings.Trim(host, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_:[]") == ""
}

// isToken reports whether a header name has only letters, digits, hyphens and underscores.
func isToken(name string) bool {
	for _, c := range []byte(name) {
		if c|0x20 >= 'a' && c|0x20 <= 'z' || c >= '0' && c <= '9' || c == '-' || c == '_' {
			continue
		}
		return false
	}
	return name != ""
}
