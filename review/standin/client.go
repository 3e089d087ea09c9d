package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	id     string
	status int // 0 if the connection ended without a complete answer
	seal   string
	body   string
	err    error
	took   time.Duration
}

// closed reports whether the connection ended without an answer, as opposed to a time-out of the client.
func (a *answer) closed() bool {
	return a.status == 0 && a.err != nil && !errors.Is(a.err, os.ErrDeadlineExceeded)
}

// client keeps one connection to an instance.
type client struct {
	address string
	host    string
	record  *record
	conn    net.Conn
	reader  *bufio.Reader
}

func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// request sends one request with a body of the given size and waits for its answer.
func (c *client) request(id, method, path string, size int, budget time.Duration) answer {
	begun := time.Now()
	a := answer{id: id}
	a.err = c.exchange(&a, method, path, size, budget)
	a.took = time.Since(begun)
	if a.err != nil {
		c.close()
		a.status = 0
	}
	c.record.add("client gets for %s: status %d, seal %q, %d bytes, after %d ms, error %v",
		id, a.status, a.seal, len(a.body), a.took.Milliseconds(), a.err)
	return a
}

func (c *client) exchange(a *answer, method, path string, size int, budget time.Duration) error {
	if err := c.connect(); err != nil {
		return err
	}
	if err := c.conn.SetDeadline(time.Now().Add(budget)); err != nil {
		return err
	}
	c.record.add("client sends %s: %s %s to %s, %d bytes", a.id, method, path, c.address, size)
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nHickorydrum-Deadline-Remaining: %d\r\n",
		method, path, c.host, headerAttempt, a.id, budget.Milliseconds())
	if size > 0 {
		head += fmt.Sprintf("Content-Length: %d\r\n", size)
	}
	if _, err := io.WriteString(c.conn, head+"\r\n"); err != nil {
		return err
	}
	if _, err := io.CopyN(c.conn, pattern{}, int64(size)); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	a.status, a.seal, a.body = resp.StatusCode, resp.Header.Get(headerSeal), string(body)
	if resp.Close {
		c.close()
	}
	return nil
}

// pattern is an endless body.
type pattern struct{}

func (pattern) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'a' + byte(i%26)
	}
	return len(p), nil
}
