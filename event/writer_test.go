package event

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// closeTimeout is how long Close may take if the destination accepts writes.
const closeTimeout = 5 * time.Second

// gate is a destination whose writes block until it is opened.
type gate struct {
	open chan struct{}
	got  bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	return g.got.Write(p)
}

// TestWriterNeverBlocks guards against a log destination that stalls the process:
// while the destination blocks, Write returns at once and drops lines; once the
// destination accepts writes again, the log states how many were dropped.
func TestWriterNeverBlocks(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	w := NewWriter(g)
	const lines = 3 * maxQueuedLines
	for range lines {
		if _, err := io.WriteString(w, "line\n"); err != nil {
			t.Fatal(err)
		}
	}
	dropped := w.Dropped()
	if dropped < lines-2*maxQueuedLines-1 || dropped >= lines {
		t.Errorf("%d of %d lines were dropped", dropped, lines)
	}
	close(g.open)
	if err := w.Close(time.Now().Add(closeTimeout)); err != nil {
		t.Fatal(err)
	}
	if reported := countReported(t, g.got.String()); reported != dropped {
		t.Errorf("%d lines were dropped, the log reports %d", dropped, reported)
	}
	if n := strings.Count(g.got.String(), "line\n"); int64(n) != lines-dropped {
		t.Errorf("%d lines were written, want %d", n, lines-dropped)
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
	if err := w.Close(time.Now().Add(closeTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(w, "after the end\n"); err != nil {
		t.Error(err)
	}
	if got.String() != "line\nline\nline\n" {
		t.Errorf("written: %q", got.String())
	}
}

// TestWriterCloseInTime guards against a log destination that nobody reads: Close waited for it
// without end.
func TestWriterCloseInTime(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	w := NewWriter(g)
	if _, err := io.WriteString(w, "line\n"); err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	if err := w.Close(begun.Add(50 * time.Millisecond)); err == nil {
		t.Error("Close returned no error, although the line isn't written")
	}
	if took := time.Since(begun); took > time.Second {
		t.Errorf("Close took %s", took)
	}
	close(g.open)
	if err := w.Close(time.Now().Add(closeTimeout)); err != nil {
		t.Error(err)
	}
	if g.got.String() != "line\n" {
		t.Errorf("written: %q", g.got.String())
	}
}

// countReported returns the sum of the counts of dropped lines that the log reports.
// There may be several reports, since a batch that is written before the
// destination blocks can hold one.
func countReported(t *testing.T, text string) int64 {
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
