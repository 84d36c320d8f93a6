package intake

import (
	"net/http"
	"time"
)

// exchange is what one request uses of its connection: all of it with HTTP/1, a stream of it with HTTP/2.
type exchange interface {
	SetReadDeadline(at time.Time) error
	// expireReads ends a read that waits for the client, and lets later ones fail.
	expireReads()
	// armWrites bounds the time that the client has to take the next part of the response.
	armWrites()
	// announceClose tells the client in the header of the response that its request was cut off.
	announceClose(header http.Header)
	// drain lets the client receive the response to a request that was cut off.
	drain(timeout time.Duration)
	// growBuffer makes room for a long body.
	growBuffer()
	connection() *conn
}

func newExchange(w http.ResponseWriter, r *http.Request, c *conn) exchange {
	if r.ProtoMajor > 1 {
		return &stream{control: http.NewResponseController(w), conn: c}
	}
	return c
}

func (c *conn) connection() *conn { return c }

// armWrites does nothing: each write of a connection has a deadline.
func (c *conn) armWrites() {}

func (c *conn) announceClose(header http.Header) { header.Set("Connection", "close") }

// stream is a stream of HTTP/2. The other streams of its connection go on when it is cut off, and its buffers are bounded by HTTP/2.
type stream struct {
	control *http.ResponseController
	conn    *conn
}

// SetReadDeadline bounds the reads of the stream.
func (s *stream) SetReadDeadline(at time.Time) error { return s.control.SetReadDeadline(at) }

func (s *stream) expireReads() { _ = s.control.SetReadDeadline(time.Unix(1, 0)) }

func (s *stream) armWrites() {
	_ = s.control.SetWriteDeadline(time.Now().Add(s.conn.gate.limits.ProgressTimeout))
}

func (s *stream) announceClose(http.Header) {}

func (s *stream) drain(time.Duration) {}

func (s *stream) growBuffer() {}

func (s *stream) connection() *conn { return s.conn }
