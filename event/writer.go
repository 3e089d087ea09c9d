package event

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// bufferedLines is how many lines wait for a slow reader at most.
const bufferedLines = 4096

// Writer passes lines on without ever making their writers wait. Lines that find
// no room are left out and counted.
type Writer struct {
	out   io.Writer
	lines chan []byte
	group errgroup.Group
	lost  atomic.Int64

	mu     sync.RWMutex
	closed bool
}

// NewWriter returns a writer to the given one.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, bufferedLines)}
	w.group.Go(w.pass)
	return w
}

// Write queues one line.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return len(p), nil
	}
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.lost.Add(1)
	}
	return len(p), nil
}

// Dropped returns how many lines were left out.
func (w *Writer) Dropped() int64 { return w.lost.Load() }

// pass writes what waits in few large writes.
func (w *Writer) pass() error {
	var batch []byte
	told := int64(0)
	for line := range w.lines {
		batch = append(batch[:0], line...)
		for range len(w.lines) {
			batch = append(batch, <-w.lines...)
		}
		if lost := w.lost.Load(); lost > told {
			batch = fmt.Appendf(batch, "{\"event\":%d,\"msg\":\"lines left out\",\"count\":%d}\n", LinesOmitted.number, lost-told)
			told = lost
		}
		if _, err := w.out.Write(batch); err != nil {
			w.lost.Add(1)
		}
	}
	return nil
}

// Close writes what waits and ends the writer.
func (w *Writer) Close() error {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	return w.group.Wait()
}
