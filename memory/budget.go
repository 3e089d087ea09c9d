// Package memory decides how many bytes the requests in progress may hold. It does no input or output.
//
// A request holds bytes as they arrive. What it holds counts as large beyond a size; large holds leave a
// reserve for small ones. A large hold that finds no room waits. Room goes first to holds that have bytes already, and
// among these to the oldest. A hold that waited is promised the rest of its declared size, so that room is not split
// between many holds of which none can end. If the oldest of those that wait cannot end with the room that
// there is, the youngest are refused.
package memory

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// defaultSmall is the size in bytes up to which a hold counts as small.
	defaultSmall = 64 << 10
	// defaultReserve is the part of a budget, one in so many, that only small holds may use.
	defaultReserve = 16
	// refuseAfter is how long a hold waits before younger ones are refused for it: others may return room by then.
	refuseAfter = 300 * time.Millisecond
)

// Budget bounds the bytes that requests hold together. A nil Budget has no bound. Its methods may be called
// concurrently.
type Budget struct {
	size    int64
	small   int64
	reserve int64

	mu       sync.Mutex
	used     int64
	promised int64     // the sum of the holds' promises
	leaving  int64     // bytes of holds that were refused and not returned yet
	opened   uint64    // holds that were opened so far
	queue    []*waiter // holds with bytes first, of these the oldest first
}

// Option configures a Budget.
type Option func(*Budget)

// WithReserve sets how many bytes only small holds may use.
func WithReserve(bytes int64) Option { return func(b *Budget) { b.reserve = bytes } }

// WithSmall sets the size up to which a hold counts as small.
func WithSmall(bytes int64) Option { return func(b *Budget) { b.small = bytes } }

// New returns a budget of the given number of bytes.
func New(size int64, opts ...Option) *Budget {
	b := &Budget{size: size, small: defaultSmall, reserve: size / defaultReserve}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Fits reports whether a hold of the given size could ever have room.
func (b *Budget) Fits(bytes int64) bool {
	return b == nil || bytes <= b.small || bytes <= b.size-b.reserve
}

// Size returns the number of bytes in the budget, 0 if it has no bound.
func (b *Budget) Size() int64 {
	if b == nil {
		return 0
	}
	return b.size
}

// Used returns the number of bytes that are held.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Open returns a hold without bytes. declared is how many it is expected to get, 0 if that is not known.
func (b *Budget) Open(declared int64) *Hold {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opened++
	return &Hold{budget: b, number: b.opened, declared: declared}
}

// Hold is what one request holds. A nil Hold has no bound. One goroutine at a time may use it.
type Hold struct {
	budget   *Budget
	number   uint64 // in the order in which holds were opened
	declared int64

	// The budget's mu guards the fields below.
	held    int64
	promise int64 // bytes that others leave for this hold
	refused bool
}

// waiter is a hold that waits for room.
type waiter struct {
	hold    *Hold
	bytes   int64
	ended   chan struct{} // closed when the bytes are held, or refused
	granted bool          // valid once ended is closed
}

// Grow adds bytes to the hold if there is room now. It reports whether it did.
func (h *Hold) Grow(bytes int64) bool {
	if h == nil {
		return true
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.budget.grant(h, bytes)
}

// GrowUntil adds bytes to the hold. If there is no room, it waits until the deadline, or until the hold is refused
// for an older one. It reports whether it added the bytes.
func (h *Hold) GrowUntil(ctx context.Context, bytes int64, deadline time.Time) bool {
	if h == nil {
		return true
	}
	w := h.budget.growOrQueue(h, bytes)
	if w == nil {
		return true
	}
	timer := time.NewTimer(min(refuseAfter, time.Until(deadline)))
	defer timer.Stop()
	for {
		select {
		case <-w.ended:
			return w.granted
		case <-ctx.Done():
			return h.budget.cancel(w)
		case now := <-timer.C:
			if !now.Before(deadline) {
				return h.budget.cancel(w)
			}
			h.budget.refuseYoungest()
			timer.Reset(min(refuseAfter, deadline.Sub(now)))
		}
	}
}

// Close returns all bytes of the hold, which may not be used afterwards.
func (h *Hold) Close() {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.refused {
		b.leaving -= h.held
	}
	b.used -= h.held
	b.promised -= h.promise
	h.held, h.promise, h.refused = 0, 0, false
	b.serveQueue()
}

// large reports whether the hold counts as large with further bytes. The lock is held.
func (b *Budget) large(h *Hold, bytes int64) bool {
	return max(h.declared, h.held+bytes) > b.small
}

// room returns how many bytes a hold may get now if it asks for the given number. The lock is held.
func (b *Budget) room(h *Hold, bytes int64) int64 {
	if !b.large(h, bytes) {
		return b.size - b.used
	}
	return b.size - b.reserve - b.used - (b.promised - h.promise)
}

// grant adds bytes to a hold if there is room and, for a large hold, none waits or the bytes were promised. The lock
// is held.
func (b *Budget) grant(h *Hold, bytes int64) bool {
	if b.large(h, bytes) && len(b.queue) > 0 && h.promise < bytes || bytes > b.room(h, bytes) {
		return false
	}
	b.add(h, bytes)
	return true
}

// add adds bytes to a hold. The lock is held.
func (b *Budget) add(h *Hold, bytes int64) {
	h.held += bytes
	b.used += bytes
	kept := min(bytes, h.promise)
	h.promise -= kept
	b.promised -= kept
}

// growOrQueue adds bytes to a hold, or queues it for them.
func (b *Budget) growOrQueue(h *Hold, bytes int64) *waiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.grant(h, bytes) {
		return nil
	}
	w := &waiter{hold: h, bytes: bytes, ended: make(chan struct{})}
	at, _ := slices.BinarySearchFunc(b.queue, w, func(a, b *waiter) int {
		return cmp.Or(-cmp.Compare(min(a.hold.held, 1), min(b.hold.held, 1)), cmp.Compare(a.hold.number, b.hold.number))
	})
	b.queue = slices.Insert(b.queue, at, w)
	b.serveQueue()
	return w
}

// needs returns how many bytes the hold of a waiter needs to end, as far as that is known.
func (w *waiter) needs() int64 { return max(w.bytes, w.hold.declared-w.hold.held) }

// serveQueue gives the holds that wait what there is room for: first the small ones, then the large ones in
// order, each if there is room for all that it needs. The lock is held.
func (b *Budget) serveQueue() {
	for _, small := range []bool{true, false} {
		full := false
		b.queue = slices.DeleteFunc(b.queue, func(w *waiter) bool {
			if full || small == b.large(w.hold, w.bytes) {
				return false
			}
			if full = w.needs() > b.room(w.hold, w.bytes); full {
				return false
			}
			more := w.needs() - w.hold.promise
			w.hold.promise += more
			b.promised += more
			b.add(w.hold, w.bytes)
			w.end(true)
			return true
		})
	}
}

func (w *waiter) end(granted bool) {
	w.granted = granted
	close(w.ended)
}

// refuseYoungest refuses the youngest of the large holds that wait and have bytes, until the oldest one has room for
// all that it needs. It changes nothing if there is only one.
func (b *Budget) refuseYoungest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	growing := 0
	for growing < len(b.queue) && b.queue[growing].hold.held > 0 {
		growing++
	}
	for growing > 1 && b.queue[0].needs() > b.room(b.queue[0].hold, b.queue[0].bytes)+b.leaving {
		growing--
		w := b.queue[growing]
		b.queue = slices.Delete(b.queue, growing, growing+1)
		w.hold.refused = true
		b.leaving += w.hold.held
		w.end(false)
	}
}

// cancel ends a wait. It reports whether the bytes were added before.
func (b *Budget) cancel(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-w.ended:
		return w.granted
	default:
	}
	b.queue = slices.DeleteFunc(b.queue, func(other *waiter) bool { return other == w })
	b.serveQueue() // others may need less
	return false
}
