package event

import (
	"fmt"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

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
	done    chan struct{} // closed when the queued lines have been written
	dropped atomic.Int64

	mu     sync.RWMutex
	closed bool
}

// NewWriter returns a Writer to out and starts its goroutine, which Close ends.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
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
	defer close(w.done)
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

// Close writes the queued lines and stops the goroutine. If the destination does not take
// them by the deadline, Close returns an error that wraps os.ErrDeadlineExceeded, and the
// goroutine ends once the destination has taken them. It may be called more than once.
func (w *Writer) Close(deadline time.Time) error {
	w.closeQueue()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-w.done:
		return w.group.Wait()
	case <-timer.C:
		return fmt.Errorf("lines of the log could not be written: %w", os.ErrDeadlineExceeded)
	}
}

// closeQueue makes Write discard lines from now on, and ends the queue.
func (w *Writer) closeQueue() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
}
