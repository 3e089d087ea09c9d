package server

import "net/http"

// turnWriter writes the response to the request whose turn it is.
type turnWriter struct {
	http.ResponseWriter
	pipeline *pipeline
	wrote    bool // the head is written
}

// Unwrap returns the writer of the HTTP server, for http.ResponseController.
func (w *turnWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader writes the head of the response.
func (w *turnWriter) WriteHeader(status int) {
	if !w.wrote && (status >= http.StatusOK || status == http.StatusSwitchingProtocols) {
		w.wrote = true
		w.pipeline.beginResponse(w.Header())
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *turnWriter) Write(p []byte) (int, error) {
	w.writeHead()
	return w.ResponseWriter.Write(p)
}

// FlushError sends what was written.
func (w *turnWriter) FlushError() error {
	w.writeHead()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Flush sends what was written.
func (w *turnWriter) Flush() { _ = w.FlushError() }

// writeHead writes the head of the response if the handler has not.
func (w *turnWriter) writeHead() {
	if !w.wrote {
		w.WriteHeader(http.StatusOK)
	}
}
