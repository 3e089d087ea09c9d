package response

import (
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// maxQuoted is how much of a line that is not valid an error quotes.
const maxQuoted = 80

// readHead reads the status line and the fields of a response.
func readHead(r *textproto.Reader) (*http.Response, error) {
	line, err := readLine(r)
	if err != nil {
		return nil, err
	}
	resp, err := parseStatusLine(line)
	if err != nil {
		return nil, err
	}
	resp.Header = make(http.Header)
	for range maxFields + 1 {
		line, err := readLine(r)
		if err != nil {
			return nil, err
		}
		if line == "" {
			return resp, nil
		}
		name, value, err := parseField(line)
		if err != nil {
			return nil, err
		}
		resp.Header.Add(name, value)
	}
	return nil, invalid("more than %d fields", maxFields)
}

// readLine reads a line without its end. A head has no line that ends with the connection.
func readLine(r *textproto.Reader) (string, error) {
	line, err := r.ReadLine()
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return line, err
}

// parseStatusLine parses a status line (RFC 9112, 4).
func parseStatusLine(line string) (*http.Response, error) {
	proto, status, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(status, " ")
	major, minor, ok := http.ParseHTTPVersion(proto)
	number, err := strconv.Atoi(code)
	if !ok || major != 1 || err != nil || len(code) != 3 || !httpguts.ValidHeaderFieldValue(line) {
		return nil, invalid("%.*q is no status line", maxQuoted, line)
	}
	return &http.Response{Proto: proto, ProtoMajor: major, ProtoMinor: minor, Status: status, StatusCode: number}, nil
}

// parseField parses the line of a field (RFC 9110, 5). A line that begins with a blank, which would continue the one
// before it, is none.
func parseField(line string) (name, value string, err error) {
	name, value, ok := strings.Cut(line, ":")
	value = strings.Trim(value, " \t")
	if !ok || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
		return "", "", invalid("%.*q is no field", maxQuoted, line)
	}
	return name, value, nil
}
