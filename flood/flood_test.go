package flood

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	host = "h.example"
	// sendTime is how long a caller goes on sending a head that has no end, if it is not stopped.
	sendTime = 8 * time.Second
	// answerTime is how long a caller waits for the response to a whole request.
	answerTime = 8 * time.Second
	// pieceSize and piecePause are those of a body that is sent piece by piece.
	pieceSize  = 64 << 10
	piecePause = 10 * time.Millisecond
	// bodyCallers send bodies of together twice the memory of the machine, and lineCallers requests whose
	// lines take several times the bytes that were sent. More than fileDescriptors callers wait.
	bodyCallers = 2*memoryMb/(maxBodyBytes>>20) + 1
	lineCallers = 48
	waiting     = fileDescriptors + 50
	headSpace   = 1 << 10 // bytes of a legal head for other lines than those of the crowd
)

// caller sends what it sends on a connection, and returns when it is done or the connection is closed. The
// connection stays open.
type caller func(ctx context.Context, c net.Conn)

// write writes the text, and reports whether the connection took it.
func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// awaitAnswer reads until the connection is closed, or for answerTime.
func awaitAnswer(c net.Conn) {
	_ = c.SetReadDeadline(time.Now().Add(answerTime)) // it fails if the connection is closed
	_, _ = io.Copy(io.Discard, c)
}

const (
	fields      = " HTTP/1.1\r\nHost: " + host + "\r\nHickorydrum-Attempt-Id: crowd\r\n"
	requestLine = "GET /read/x" + fields
)

// head sends a request whose head has the lines.
func head(lines string) caller {
	return func(_ context.Context, c net.Conn) {
		if write(c, requestLine+"Connection: close\r\n"+lines+"\r\n") {
			awaitAnswer(c)
		}
	}
}

// endless sends the first text, and then the next one again and again at an interval, for sendTime.
func endless(first string, next func(i int) string, pause time.Duration) caller {
	return func(ctx context.Context, c net.Conn) {
		if !write(c, first) {
			return
		}
		for i, begun := 0, time.Now(); time.Since(begun) < sendTime && ctx.Err() == nil; i++ {
			if !write(c, next(i)) {
				return
			}
			time.Sleep(pause)
		}
	}
}

// body is how a caller sends a body of maxBodyBytes.
type body struct {
	chunked bool
	pieces  bool // piece by piece, with a pause before each
	whole   bool // otherwise the last byte is left out
}

// send sends a request with the body. A whole one is awaited.
func (b body) send(ctx context.Context, c net.Conn) {
	framing := fmt.Sprintf("Content-Length: %d\r\n", maxBodyBytes)
	if b.chunked {
		framing = "Transfer-Encoding: chunked\r\n"
	}
	if !write(c, "POST /order/x"+fields+"Connection: close\r\n"+framing+"\r\n") {
		return
	}
	for sent := 0; sent < maxBodyBytes && ctx.Err() == nil; sent += pieceSize {
		piece := strings.Repeat("b", pieceSize)
		if last := sent+pieceSize == maxBodyBytes; last && !b.whole {
			piece = piece[1:]
		}
		if b.chunked {
			piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		if !write(c, piece) {
			return
		}
		if b.pieces {
			time.Sleep(piecePause)
		}
	}
	if !b.whole {
		return
	}
	if !b.chunked || write(c, "0\r\n\r\n") {
		awaitAnswer(c)
	}
}

// numbered returns n different lines.
func numbered(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

func repeated(line string, bytes int) string { return strings.Repeat(line, bytes/len(line)) }

// row is a crowd of callers of one kind.
type row struct {
	callers int
	caller  caller
}

// TestCrowds guards against callers that end the process, by its memory or its descriptors, or that leave it
// unable to serve others. The callers' connections are open until the ordinary request is answered.
func TestCrowds(t *testing.T) {
	const legal = maxHeaderBytes - headSpace
	again := func(text string) func(int) string { return func(int) string { return text } }
	line := func(i int) string { return fmt.Sprintf("n%x:\r\n", i) }
	rows := map[string]row{
		"many short lines":            {lineCallers, head(numbered(legal / 7))},
		"many lines of one name":      {lineCallers, head(repeated("a:\r\n", legal))},
		"many continued lines":        {lineCallers, head("a: b\r\n" + repeated(" \t\r\n", legal))},
		"lines that are no fields":    {lineCallers, head(repeated("\x01\r\n", legal))},
		"one long line":               {lineCallers, head("a: " + strings.Repeat("b", legal) + "\r\n")},
		"heads over the limit":        {lineCallers, head(repeated("a: b\r\n", 32*maxHeaderBytes))},
		"endless line, fast":          {lineCallers, endless(requestLine+"a: ", again(strings.Repeat("b", 4096)), 0)},
		"endless heads, fast":         {lineCallers, endless(requestLine, line, 0)},
		"endless heads, slow":         {waiting, endless(requestLine+numbered(legal/7), line, 100*time.Millisecond)},
		"endless heads, from nothing": {waiting, endless("", func(i int) string { return (requestLine + "a: " + strings.Repeat("b", 1<<10))[i:][:1] }, 10*time.Millisecond)},
		"endless empty lines, fast":   {lineCallers, endless("", again(repeated("\r\n", 4096)), 0)},
		"endless empty lines, slow":   {waiting, endless("\r\n", again("\r\n"), 100*time.Millisecond)},
		"empty lines after a request": {lineCallers, endless("POST /none"+fields+"Content-Length: 0\r\n\r\n", again(repeated("\r\n", 4096)), 0)},
		"silent connections":          {waiting, func(context.Context, net.Conn) {}},
		"idle connections": {waiting, func(_ context.Context, c net.Conn) {
			write(c, "GET /none"+fields+"\r\n")
		}},
		"bodies, whole":                             {bodyCallers, body{whole: true}.send},
		"bodies, whole, pieces":                     {bodyCallers, body{whole: true, pieces: true}.send},
		"bodies, whole, chunked":                    {bodyCallers, body{whole: true, chunked: true}.send},
		"bodies, short of the end":                  {bodyCallers, body{}.send},
		"bodies, short of the end, pieces":          {bodyCallers, body{pieces: true}.send},
		"bodies, short of the end, chunked":         {bodyCallers, body{chunked: true}.send},
		"bodies, short of the end, chunked, pieces": {bodyCallers, body{chunked: true, pieces: true}.send},
	}
	for name, r := range rows {
		t.Run(name, func(t *testing.T) { r.check(t) })
	}
}

// check sends the crowd to an instance of its own.
func (r row) check(t *testing.T) {
	t.Helper()
	r.checkAt(t, start(t))
}

// checkAt sends the crowd to the instance.
func (r row) checkAt(t *testing.T, p *process) {
	t.Helper()
	stop := p.sampleDescriptors()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	var group errgroup.Group
	conns := make([]net.Conn, r.callers)
	for i := range conns {
		group.Go(func() error {
			var dialer net.Dialer
			c, err := dialer.DialContext(ctx, "tcp", p.address(frontPort))
			if err != nil {
				return nil // the instance refuses the connection, which it may
			}
			conns[i] = c
			_ = c.SetWriteDeadline(time.Now().Add(waitTimeout))
			r.caller(ctx, c)
			return nil
		})
	}
	_ = group.Wait()
	p.await("an ordinary request answered", func() bool { return p.get(frontPort, "/read/x", host) == http.StatusOK })
	peak, descriptors := p.peakBytes(), stop()
	t.Logf("peak of the memory %.1f MB, of open descriptors %d", float64(peak)/1e6, descriptors)
	if peak > maxMemoryBytes {
		t.Errorf("the process had %d bytes of memory, want at most %d", peak, maxMemoryBytes)
	}
	if descriptors > fileDescriptors {
		t.Errorf("the process had %d open descriptors, want at most %d", descriptors, fileDescriptors)
	}
	for _, c := range conns {
		if c != nil {
			_ = c.Close()
		}
	}
}
