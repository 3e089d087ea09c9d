package response

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// readResult is what Read makes of a response.
type readResult struct {
	Status int // 0 if the response is not valid
	Body   string
	Whole  bool
}

// readRow is a response to a request with the method, and what Read makes of it.
type readRow struct {
	method   string
	response string
	want     readResult
}

const (
	// okLine begins a response, ok is a whole one, and chunks is its body in chunks without the last line.
	okLine = "HTTP/1.1 200 OK"
	ok     = okLine + "\r\nContent-Length: 2\r\n\r\nhi"
	chunks = "2\r\nhi\r\n0\r\n"
)

// head returns a head of the lines.
func head(lines ...string) string { return strings.Join(lines, "\r\n") + "\r\n\r\n" }

func whole(status int, body string) readResult { return readResult{status, body, true} }

// readRows returns responses by what is odd about them.
func readRows() map[string]readRow {
	rows := statusRows()
	maps.Copy(rows, framingRows())
	maps.Copy(rows, nameRows())
	return rows
}

// statusRows returns rows about the lines of a head.
func statusRows() map[string]readRow {
	return map[string]readRow{
		"200":                          {"GET", ok, whole(200, "hi")},
		"599":                          {"GET", "HTTP/1.1 599 x\r\nContent-Length: 2\r\n\r\nhi", whole(599, "hi")},
		"behind interim ones":          {"GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 x\r\n\r\n" + ok, whole(200, "hi")},
		"behind too many of them":      {"GET", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", maxHeads) + ok, readResult{}},
		"000":                          {"GET", "HTTP/1.1 000 x\r\n\r\n" + ok, readResult{}},
		"000, no reason":               {"GET", "HTTP/1.1 000\r\n\r\n" + ok, readResult{}},
		"099":                          {"GET", "HTTP/1.1 099 x\r\n\r\n" + ok, readResult{}},
		"600":                          {"GET", "HTTP/1.1 600 x\r\nContent-Length: 2\r\n\r\nhi", readResult{}},
		"999":                          {"GET", "HTTP/1.1 999 x\r\nContent-Length: 2\r\n\r\nhi", readResult{}},
		"a sign":                       {"GET", "HTTP/1.1 +20 x\r\n\r\n" + ok, readResult{}},
		"a sign below zero":            {"GET", "HTTP/1.1 -00 x\r\n\r\n" + ok, readResult{}},
		"two digits":                   {"GET", "HTTP/1.1 20 OK\r\n\r\n" + ok, readResult{}},
		"four digits":                  {"GET", "HTTP/1.1 2000 OK\r\n\r\n" + ok, readResult{}},
		"as many fields as may be":     {"GET", okLine + "\r\n" + strings.Repeat("A: b\r\n", maxFields-1) + "Content-Length: 2\r\n\r\nhi", whole(200, "hi")},
		"a field more than may be":     {"GET", okLine + "\r\n" + strings.Repeat("A: b\r\n", maxFields) + "Content-Length: 2\r\n\r\nhi", readResult{}},
		"all bytes of a token":         {"GET", "HTTP/1.1 200 OK\r\n0a!#$%&'*+-.^_`|~Z: 1\r\nContent-Length: 2\r\n\r\nhi", whole(200, "hi")},
		"a value of odd bytes":         {"GET", "HTTP/1.1 200 OK\r\nA: \t\xe9 \"(\r\nContent-Length: 2\r\n\r\nhi", whole(200, "hi")},
		"a value with a NUL":           {"GET", "HTTP/1.1 200 OK\r\nA: b\x00c\r\nContent-Length: 2\r\n\r\nhi", readResult{}},
		"a value with a CR":            {"GET", "HTTP/1.1 200 OK\r\nA: b\rc\r\nContent-Length: 2\r\n\r\nhi", readResult{}},
		"another protocol":             {"GET", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + ok, readResult{}},
		"HTTP/2.0":                     {"GET", head("HTTP/2.0 200 OK", "Content-Length: 2") + "hi", readResult{}},
		"HTTP/0.9":                     {"GET", head("HTTP/0.9 200 OK", "Content-Length: 2") + "hi", readResult{}},
		"HTTP/1.2":                     {"GET", head("HTTP/1.2 200 OK", "Content-Length: 2") + "hi", whole(200, "hi")},
		"another protocol's name":      {"GET", head("ICY 200 OK", "Content-Length: 2") + "hi", readResult{}},
		"no reason":                    {"GET", head("HTTP/1.1 200", "Content-Length: 2") + "hi", whole(200, "hi")},
		"an empty reason":              {"GET", head("HTTP/1.1 200 ", "Content-Length: 2") + "hi", whole(200, "hi")},
		"a reason with a NUL":          {"GET", head("HTTP/1.1 200 O\x00K", "Content-Length: 2") + "hi", readResult{}},
		"a reason with a CR":           {"GET", head("HTTP/1.1 200 OK\rContent-Length: 1", "Content-Length: 2") + "hi", readResult{}},
		"two blanks before the status": {"GET", head("HTTP/1.1  200 OK", "Content-Length: 2") + "hi", readResult{}},
		"an empty line first":          {"GET", "\r\n" + ok, readResult{}},
		"ends of lines without CR":     {"GET", "HTTP/1.1 200 OK\nContent-Length: 2\n\nhi", whole(200, "hi")},
		"the end in the status line":   {"GET", "HTTP/1.1 200 OK", readResult{}},
		"the end in the fields":        {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", readResult{}},
		"nothing":                      {"GET", "", readResult{}},
		"bytes that are not HTTP":      {"GET", "220 ready\r\n\r\n", readResult{}},
	}
}

// framingRows returns rows about the length of the body.
func framingRows() map[string]readRow {
	return map[string]readRow{
		"no length":                             {"GET", head(okLine) + "hi", whole(200, "hi")},
		"no length, HTTP/1.0":                   {"GET", head("HTTP/1.0 200 OK") + "hi", whole(200, "hi")},
		"no length, kept alive":                 {"GET", head("HTTP/1.0 200 OK", "Connection: keep-alive") + "hi", whole(200, "hi")},
		"a length":                              {"GET", head(okLine, "Content-Length: 2") + "hi!", whole(200, "hi")},
		"the length 0":                          {"GET", head(okLine, "Content-Length: 0") + "hi", whole(200, "")},
		"the same length twice":                 {"GET", head(okLine, "Content-Length: 2", "content-length: 2") + "hi", whole(200, "hi")},
		"two lengths":                           {"GET", head(okLine, "Content-Length: 2", "Content-Length: 1") + "hi", readResult{}},
		"two lengths in a field":                {"GET", head(okLine, "Content-Length: 2, 1") + "hi", readResult{}},
		"an empty length":                       {"GET", head(okLine, "Content-Length:") + "hi", readResult{}},
		"a length with a sign":                  {"GET", head(okLine, "Content-Length: +2") + "hi", readResult{}},
		"a length below zero":                   {"GET", head(okLine, "Content-Length: -1") + "hi", readResult{}},
		"a length that is too large to hold":    {"GET", head(okLine, "Content-Length: 9223372036854775808") + "hi", readResult{}},
		"a hexadecimal length":                  {"GET", head(okLine, "Content-Length: 0x2") + "hi", readResult{}},
		"fewer bytes than the length":           {"GET", head(okLine, "Content-Length: 3") + "hi", readResult{200, "hi", false}},
		"chunks":                                {"GET", head(okLine, "Transfer-Encoding: CHUNKED") + chunks + "\r\n", whole(200, "hi")},
		"chunks with an extension":              {"GET", head(okLine, "Transfer-Encoding: chunked") + "2;a=b\r\nhi\r\n0\r\n\r\n", whole(200, "hi")},
		"chunks and fields behind them":         {"GET", head(okLine, "Transfer-Encoding: chunked") + chunks + "A: b\r\n\r\n", whole(200, "hi")},
		"chunks and a bad field behind them":    {"GET", head(okLine, "Transfer-Encoding: chunked") + chunks + "A B: c\r\n\r\n", readResult{200, "hi", false}},
		"chunks and too many fields":            {"GET", head(okLine, "Transfer-Encoding: chunked") + chunks + strings.Repeat("A: b\r\n", maxTrailerBytes) + "\r\n", readResult{200, "hi", false}},
		"chunks, the end missing":               {"GET", head(okLine, "Transfer-Encoding: chunked") + chunks, readResult{200, "hi", false}},
		"chunks, the last one missing":          {"GET", head(okLine, "Transfer-Encoding: chunked") + "2\r\nhi\r\n", readResult{200, "hi", false}},
		"chunks, a part missing":                {"GET", head(okLine, "Transfer-Encoding: chunked") + "3\r\nhi", readResult{200, "hi", false}},
		"chunks, a length that is none":         {"GET", head(okLine, "Transfer-Encoding: chunked") + "2\r\nhi\r\n-1\r\n\r\n", readResult{200, "hi", false}},
		"chunks and a length":                   {"GET", head(okLine, "Transfer-Encoding: chunked", "Content-Length: 2") + chunks + "\r\n", readResult{}},
		"a length and chunks":                   {"GET", head(okLine, "Content-Length: 14", "Transfer-Encoding: chunked") + chunks + "\r\n", readResult{}},
		"chunks, HTTP/1.0":                      {"GET", head("HTTP/1.0 200 OK", "Transfer-Encoding: chunked") + chunks + "\r\n", readResult{}},
		"chunks, HTTP/1.0, a length":            {"GET", head("HTTP/1.0 200 OK", "Transfer-Encoding: chunked", "Content-Length: 2") + "hi", readResult{}},
		"another coding":                        {"GET", head(okLine, "Transfer-Encoding: gzip, chunked") + chunks + "\r\n", readResult{}},
		"two codings":                           {"GET", head(okLine, "Transfer-Encoding: chunked", "Transfer-Encoding: identity") + chunks + "\r\n", readResult{}},
		"an empty coding":                       {"GET", head(okLine, "Transfer-Encoding:") + "hi", readResult{}},
		"204":                                   {"GET", head("HTTP/1.1 204 No Content") + "hi", whole(204, "")},
		"204, the length 0":                     {"GET", head("HTTP/1.1 204 No Content", "Content-Length: 0"), whole(204, "")},
		"204, a length":                         {"GET", head("HTTP/1.1 204 No Content", "Content-Length: 2") + "hi", readResult{}},
		"204, chunks":                           {"GET", head("HTTP/1.1 204 No Content", "Transfer-Encoding: chunked") + chunks + "\r\n", readResult{}},
		"304, the length of another response":   {"GET", head("HTTP/1.1 304 Not Modified", "Content-Length: 2"), whole(304, "")},
		"HEAD, the length of another response":  {"HEAD", head(okLine, "Content-Length: 2"), whole(200, "")},
		"HEAD, chunks of another response":      {"HEAD", head(okLine, "Transfer-Encoding: chunked"), whole(200, "")},
		"HEAD, no length":                       {"HEAD", head(okLine), whole(200, "")},
		"HEAD, two lengths":                     {"HEAD", head(okLine, "Content-Length: 2", "Content-Length: 1"), readResult{}},
		"an interim response with a length":     {"GET", head("HTTP/1.1 103 Early Hints", "Content-Length: 39") + ok + ok, readResult{}},
		"an interim response with chunks":       {"GET", head("HTTP/1.1 103 Early Hints", "Transfer-Encoding: chunked") + ok, readResult{}},
		"an interim response with the length 0": {"GET", head("HTTP/1.1 103 Early Hints", "Content-Length: 0") + ok, whole(200, "hi")},
	}
}

// nameRows returns rows with names of fields that are none.
func nameRows() map[string]readRow {
	rows := make(map[string]readRow)
	for _, name := range []string{
		"A ", "A B", " A", "", "A\t", "A\x00", "A\x01B", "A\x7f", "A\rB", "\xe9", "A\"", "A(", "A,", "A/", "A;", "A=", "A@", "A[", "A{", "Content-Length ",
		"Transfer-Encoding ",
	} {
		odd := "HTTP/1.1 %s x\r\nA: b\r\n" + name + ": 1\r\n"
		rows[fmt.Sprintf("a field %q", name)] = readRow{"GET", fmt.Sprintf(odd, "200") + "Content-Length: 2\r\n\r\nhi", readResult{}}
		rows[fmt.Sprintf("a field %q of an interim response", name)] = readRow{"GET", fmt.Sprintf(odd, "103") + "\r\n" + ok, readResult{}}
	}
	return rows
}

// TestRead checks which responses are valid, and what their bodies are.
func TestRead(t *testing.T) {
	for name, test := range readRows() {
		t.Run(name, func(t *testing.T) {
			resp, err := Read(bufio.NewReader(strings.NewReader(test.response)), test.method)
			got := readResult{}
			if err == nil {
				body, err := io.ReadAll(resp.Body)
				got = readResult{resp.StatusCode, string(body), err == nil}
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

// TestSingle checks which values a field has that states one thing.
func TestSingle(t *testing.T) {
	type result struct {
		Value string
		OK    bool
	}
	tests := map[string]struct {
		values []string
		want   result
	}{
		"none":            {nil, result{"", true}},
		"one":             {[]string{"a"}, result{"a", true}},
		"the same":        {[]string{"a", "a", "a"}, result{"a", true}},
		"another":         {[]string{"a", "a", "b"}, result{"", false}},
		"an empty one":    {[]string{""}, result{"", true}},
		"one and nothing": {[]string{"", "a"}, result{"", false}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			value, ok := Single(http.Header{"A": test.values}, "A")
			if diff := cmp.Diff(test.want, result{value, ok}); diff != "" {
				t.Error(diff)
			}
		})
	}
}
