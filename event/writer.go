package event

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// maxQueuedLines is how many lines the queue of a Writer holds while the
// destination is slow.
const maxQueuedLines = 4096

// Writer queues lines and writes them to a destination in the background, so that
// Write never blocks on a slow destination. Lines that find the queue full are
// dropped and counted. Its methods may be called concurrently.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	group   errgroup.Group
	dropped atomic.Int64

	mu     sync.RWMutex
	closed bool
}

// NewWriter returns a Writer to out and starts its goroutine, which Close ends.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines)}
	w.group.Go(w.writeLoop)
	return w
}

// Write queues a copy of one line, or drops it if the queue is full. It never
// fails; after Close it discards the line without counting it.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return len(p), nil
	}
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns how many lines were dropped, plus one for each failed write to the
// destination.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// writeLoop writes the queued lines, all that are waiting in one write, until the
// queue is closed. A batch also reports, as an event LinesOmitted, how many lines
// were dropped since the last such report.
func (w *Writer) writeLoop() error {
	var batch []byte
	reported := int64(0)
	for line := range w.lines {
		batch = append(batch[:0], line...)
		for range len(w.lines) {
			batch = append(batch, <-w.lines...)
		}
		if dropped := w.dropped.Load(); dropped > reported {
			batch = fmt.Appendf(batch, "{\"event\":%d,\"msg\":\"lines left out\",\"count\":%d}\n", LinesOmitted.number, dropped-reported)
			reported = dropped
		}
		if _, err := w.out.Write(batch); err != nil {
			w.dropped.Add(1)
		}
	}
	return nil
}

// Close writes the queued lines and stops the goroutine. It may be called more
// than once.
func (w *Writer) Close() error {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	return w.group.Wait()
}
