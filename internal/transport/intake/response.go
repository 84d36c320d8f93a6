package intake

import "net/http"

// responseWriter closes the connection after the response to a body that was not read to its end. If that was the Gate's decision, the
// response is 503, whatever the handler makes of the error.
type responseWriter struct {
	http.ResponseWriter
	exchange exchange
	body     *body // nil for a request without a body
	wrote    bool
}

// WriteHeader writes the status.
func (w *responseWriter) WriteHeader(status int) {
	w.wrote = w.wrote || status >= http.StatusOK
	w.exchange.armWrites()
	if w.body != nil && w.body.wasCutOff() {
		w.exchange.announceClose(w.Header())
	}
	if w.body != nil && w.body.failed() != nil && status >= http.StatusOK {
		status = http.StatusServiceUnavailable
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the response.
func (w *responseWriter) Write(data []byte) (int, error) {
	if !w.wrote {
		w.WriteHeader(http.StatusOK)
	}
	w.exchange.armWrites()
	return w.ResponseWriter.Write(data)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// withoutBody returns the writer of the response to a request without a body. Only a stream of HTTP/2 needs one of its own.
func withoutBody(w http.ResponseWriter, r *http.Request, c *conn) http.ResponseWriter {
	if r.ProtoMajor == 1 {
		return w
	}
	return &responseWriter{ResponseWriter: w, exchange: newExchange(w, r, c)}
}
