package event

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
)

// gate is a reader that reads nothing until it is opened.
type gate struct {
	open chan struct{}
	got  bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	return g.got.Write(p)
}

// TestWriterNeverBlocks writes to a pipe that nobody reads: no line waits, and what
// was left out is told once somebody reads.
func TestWriterNeverBlocks(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	w := NewWriter(g)
	const lines = 3 * bufferedLines
	for range lines {
		if _, err := io.WriteString(w, "line\n"); err != nil {
			t.Fatal(err)
		}
	}
	lost := w.Dropped()
	if lost < lines-2*bufferedLines-1 || lost >= lines {
		t.Errorf("%d of %d lines were left out", lost, lines)
	}
	close(g.open)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if told := countTold(t, g.got.String()); told != lost {
		t.Errorf("%d lines were left out, %d are told", lost, told)
	}
	if n := strings.Count(g.got.String(), "line\n"); int64(n) != lines-lost {
		t.Errorf("%d lines were written, want %d", n, lines-lost)
	}
}

func TestWriterClose(t *testing.T) {
	var got bytes.Buffer
	w := NewWriter(&got)
	for range 3 {
		if _, err := io.WriteString(w, "line\n"); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(w, "after the end\n"); err != nil {
		t.Error(err)
	}
	if got.String() != "line\nline\nline\n" {
		t.Errorf("written: %q", got.String())
	}
}

// countTold adds up the lines that are told to be left out. They may be told in parts:
// some before the reader stalls.
func countTold(t *testing.T, text string) int64 {
	t.Helper()
	sum := int64(0)
	for _, rest := range strings.Split(text, `"count":`)[1:] {
		var n int64
		if _, err := fmt.Sscanf(rest, "%d}", &n); err != nil {
			t.Fatal(err)
		}
		sum += n
	}
	return sum
}
