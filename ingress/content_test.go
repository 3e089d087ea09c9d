package ingress

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"
)

// TestContent guards against a body that differs from what was received, and against one that takes much more memory
// than it has bytes.
func TestContent(t *testing.T) {
	tests := map[string]struct {
		length   int64 // as declared, -1 if it is not
		size     int
		capacity int
	}{
		"small":                      {10, 10, 10},
		"one chunk":                  {chunkSize, chunkSize, chunkSize},
		"several":                    {3*chunkSize + 1, 3*chunkSize + 1, 3*chunkSize + 1},
		"less than declared":         {64 << 20, 10, chunkSize},
		"not declared, small":        {-1, 10, firstChunk},
		"not declared, one chunk":    {-1, firstChunk, firstChunk},
		"not declared, several more": {-1, firstChunk + chunkSize + 1, firstChunk + 2*chunkSize},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			want := make([]byte, test.size)
			for i := range want {
				want[i] = byte(i / 7)
			}
			var c content
			in, left := iotest.OneByteReader(bytes.NewReader(want)), test.size
			for left > 0 {
				if len(c.space()) == 0 {
					c.addChunk(c.nextSize(test.length))
				}
				n, err := in.Read(c.space())
				if err != nil {
					t.Fatal(err)
				}
				c.extend(n)
				left -= n
			}
			capacity := 0
			for _, chunk := range c.chunks {
				capacity += cap(chunk)
			}
			if capacity != test.capacity {
				t.Errorf("%d bytes are allocated, want %d", capacity, test.capacity)
			}
			for range 2 { // a request may be sent again
				got, err := io.ReadAll(iotest.HalfReader(c.reader()))
				if err != nil || !bytes.Equal(got, want) || c.size != int64(test.size) {
					t.Errorf("%d bytes read, %v, size %d; want the %d bytes received", len(got), err, c.size, test.size)
				}
			}
		})
	}
}
