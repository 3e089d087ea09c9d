package ingress

import (
	"io"
)

const (
	// firstChunk and chunkSize are the sizes of the parts in which a body is kept. The memory that it takes is
	// counted by parts, and is never moved.
	firstChunk = 4 << 10
	chunkSize  = 32 << 10
)

// content is a body that is kept in parts.
type content struct {
	chunks [][]byte // all but the last one are full
	size   int64
}

// space returns the free part of the last chunk.
func (c *content) space() []byte {
	if len(c.chunks) == 0 {
		return nil
	}
	last := c.chunks[len(c.chunks)-1]
	return last[len(last):cap(last)]
}

// nextSize returns the size of the next chunk of a body with the given length, -1 if that is not known.
func (c *content) nextSize(length int64) int64 {
	switch {
	case length > 0:
		return min(length-c.size, chunkSize)
	case len(c.chunks) == 0:
		return firstChunk
	}
	return chunkSize
}

// addChunk adds an empty chunk.
func (c *content) addChunk(size int64) { c.chunks = append(c.chunks, make([]byte, 0, size)) }

// extend adds n bytes that were written to the free part of the last chunk.
func (c *content) extend(n int) {
	last := &c.chunks[len(c.chunks)-1]
	*last = (*last)[:len(*last)+n]
	c.size += int64(n)
}

// reader returns a reader of the whole content. Closing it has no effect.
func (c *content) reader() io.ReadCloser { return io.NopCloser(&contentReader{chunks: c.chunks}) }

type contentReader struct {
	chunks [][]byte
	at     int // in the first chunk
}

// Read reads the next bytes.
func (r *contentReader) Read(p []byte) (int, error) {
	for len(r.chunks) > 0 && r.at == len(r.chunks[0]) {
		r.chunks, r.at = r.chunks[1:], 0
	}
	if len(r.chunks) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.chunks[0][r.at:])
	r.at += n
	return n, nil
}
