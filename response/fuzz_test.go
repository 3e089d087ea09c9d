package response

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// FuzzRead checks that Read takes only responses with a valid status, whose whole bodies have the length that is
// stated, and which the parser of net/http does not take for other ones.
func FuzzRead(f *testing.F) {
	for _, row := range readRows() {
		f.Add(row.method, row.response)
	}
	f.Fuzz(func(t *testing.T, method, text string) {
		resp, err := Read(bufio.NewReader(strings.NewReader(text)), method)
		if err != nil {
			return
		}
		body, err := io.ReadAll(resp.Body)
		if resp.StatusCode < 200 || resp.StatusCode > 599 {
			t.Errorf("the status is %d", resp.StatusCode)
		}
		if err != nil {
			return
		}
		if method != http.MethodHead && resp.ContentLength >= 0 && resp.ContentLength != int64(len(body)) {
			t.Errorf("%d bytes of %d are a whole body", len(body), resp.ContentLength)
		}
		if status, other, ok := readWithNetHTTP(method, text); ok {
			if diff := cmp.Diff([]any{status, other}, []any{resp.StatusCode, string(body)}); diff != "" {
				t.Errorf("another response than that of net/http (-net/http +Read):\n%s", diff)
			}
		}
	})
}

// readWithNetHTTP returns the status and the body of the next final response by package net/http, and whether it is
// a valid and whole one.
func readWithNetHTTP(method, text string) (status int, body string, ok bool) {
	r := bufio.NewReader(strings.NewReader(text))
	for {
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return 0, "", false
		}
		if resp.StatusCode >= http.StatusOK {
			data, err := io.ReadAll(resp.Body)
			return resp.StatusCode, string(data), err == nil
		}
	}
}
