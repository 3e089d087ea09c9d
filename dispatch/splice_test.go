package dispatch

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"
)

// TestSpliceGuard guards against a body that is changed, or a response in it that is not seen, whatever
// the parts in which it arrives.
func TestSpliceGuard(t *testing.T) {
	for name, test := range map[string]struct {
		body    string
		suspect bool
	}{
		"plain":                     {strings.Repeat("a body ", 50), false},
		"with a response in it":     {strings.Repeat("a ", 50) + "HTTP/1.1 503 Service Unavailable\r\n\r\n" + strings.Repeat("b ", 50), true},
		"with a part of the prefix": {"HTTP/ and 1.1, HTTP/2 HTTP/", false},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(50) {
				r := rand.New(rand.NewPCG(seed, 1))
				var out bytes.Buffer
				g := &spliceGuard{sink: &out}
				for rest := test.body; rest != ""; {
					n := 1 + r.IntN(min(len(rest), 1+r.IntN(40)))
					if _, err := g.Write([]byte(rest[:n])); err != nil {
						t.Fatal(err)
					}
					rest = rest[n:]
				}
				if held := out.Len() < len(test.body); held != test.suspect || g.suspect != test.suspect {
					t.Fatalf("seed %d: held back %t, suspect %t, want %t", seed, held, g.suspect, test.suspect)
				}
				if err := g.flush(); err != nil || out.String() != test.body {
					t.Fatalf("seed %d: the body was changed (%v)", seed, err)
				}
			}
		})
	}
}
