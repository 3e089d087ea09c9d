package event

import (
	"sync"
	"time"
)

// defaultLinesPerSecond is how many lines a Limiter allows in a second unless an option says
// otherwise.
const defaultLinesPerSecond = 20

// Limiter limits the log lines of each second. The zero value is ready for use and allows 20
// lines a second. It is safe for concurrent use.
type Limiter struct {
	most int // lines a second, zero for the default

	mu      sync.Mutex
	second  int64
	lines   int // allowed in this second
	refused int // refused in this second
	omitted int // refused in earlier seconds and not returned by Omitted yet
}

// LimiterOption sets a property of a Limiter.
type LimiterOption func(*Limiter)

// LinesPerSecond sets how many lines the Limiter allows in a second, at least one.
func LinesPerSecond(most int) LimiterOption {
	return func(l *Limiter) { l.most = max(most, 1) }
}

// NewLimiter returns a Limiter.
func NewLimiter(options ...LimiterOption) *Limiter {
	l := &Limiter{most: defaultLinesPerSecond}
	for _, option := range options {
		option(l)
	}
	return l
}

// Allow reports whether one more line may be written now. A line that may not is counted for
// Omitted.
func (l *Limiter) Allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enter(now)
	most := l.most
	if most == 0 {
		most = defaultLinesPerSecond
	}
	if l.lines >= most {
		l.refused++
		return false
	}
	l.lines++
	return true
}

// Omitted returns how many lines were refused before the current second. Each refused line is
// returned once.
func (l *Limiter) Omitted(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enter(now)
	n := l.omitted
	l.omitted = 0
	return n
}

// enter starts the counts of a second if now lies in another one than the last call. The
// caller holds mu.
func (l *Limiter) enter(now time.Time) {
	second := now.Unix()
	if second == l.second {
		return
	}
	l.omitted += l.refused
	l.second, l.lines, l.refused = second, 0, 0
}
