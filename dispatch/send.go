package dispatch

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
)

// trackedBody is a request body that keeps the error of a failed read, io.EOF included.
type trackedBody struct {
	io.Reader
	err error
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		b.err = err
	}
	return n, err
}

// send writes the head and the body of the request.
func (x *Exchange) send(body io.Reader) error {
	w := x.conn.w
	fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", x.request.Method, x.request.Target, x.request.Host)
	header := x.request.Header.Clone()
	x.dialect.Prepare(header, x.request, x.deadline)
	header.Del("Content-Length")
	switch {
	case x.request.Length > 0:
		header.Set("Content-Length", strconv.FormatInt(x.request.Length, 10))
	case x.request.Length < 0:
		header.Set("Transfer-Encoding", "chunked")
	case x.request.Method != http.MethodGet && x.request.Method != http.MethodHead:
		header.Set("Content-Length", "0")
	}
	if err := header.Write(w); err != nil {
		return err
	}
	if _, err := io.WriteString(w, "\r\n"); err != nil {
		return err
	}
	if err := x.sendBody(body); err != nil {
		return err
	}
	x.bodyRead.Store(true)
	return w.Flush()
}

// sendBody writes the body, in chunks if its length is unknown.
func (x *Exchange) sendBody(body io.Reader) error {
	w := x.conn.w
	if x.request.Length == 0 {
		return nil
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if x.request.Length > 0 {
		_, err := io.CopyN(w, body, x.request.Length)
		return err
	}
	chunks := httputil.NewChunkedWriter(w)
	if _, err := io.Copy(chunks, body); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(w, "\r\n")
	return err
}
