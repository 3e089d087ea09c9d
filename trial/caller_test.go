package trial

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"hickorydrum/standin"
)

// TestCorruptResponses guards against a load tool that does not see a response which is broken: it must count as
// corrupt, unless the caller can see that there is no whole response.
func TestCorruptResponses(t *testing.T) {
	const id = "some-id"
	body := string(standin.GenerateBody(id, responseBytes))
	head := func(first string, length int) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: %x\r\nContent-Length: %d\r\n\r\n",
			first, standin.HeaderLoadID, id, standin.HeaderSum, sha256.Sum256(nil), length)
	}
	whole := head("200 OK", len(body)) + body
	type result struct {
		Code    int
		Corrupt bool
	}
	tests := map[string]struct {
		response string
		want     result
	}{
		"whole":                {whole, result{200, false}},
		"a part that is whole": {head("200 OK", 10) + body[:10], result{200, true}},
		"no body":              {head("200 OK", 0), result{200, true}},
		"another body":         {head("200 OK", len(body)) + strings.ToUpper(body), result{200, true}},
		"of another request":   {strings.Replace(whole, id, "other-id", 1), result{200, true}},
		"status 000":           {strings.Replace(whole, "200", "000", 1), result{0, true}},
		"status 600":           {strings.Replace(whole, "200", "600", 1), result{0, true}},
		"a blank in a name":    {strings.Replace(whole, "\r\n", "\r\nA B: c\r\n", 1), result{0, true}},
		"a redirect":           {"HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n", result{302, false}},
		"cut":                  {head("200 OK", len(body)) + body[:10], result{0, false}},
		"no response":          {"", result{0, false}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server, err := standin.NewRaw(func(conn *net.TCPConn, _ *http.Request) bool {
				_, _ = io.WriteString(conn, test.response)
				return false
			})
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = server.Close() }()
			c := newCaller(&Load{}, netip.MustParseAddr("127.1.0.1"), 1)
			defer c.client.CloseIdleConnections()
			o := c.sendOnce(t.Context(), Workload{Class: ClassDirect, Path: "/x"}, id, server.Address())
			if got := (result{o.code, o.corrupt}); got != test.want {
				t.Errorf("code and corrupt are %v, want %v: %v", got, test.want, o.err)
			}
		})
	}
}
