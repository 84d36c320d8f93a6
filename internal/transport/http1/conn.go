package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// checkAfter is the idle time after which a connection is checked before it is used: the peer may have closed it.
const checkAfter = 100 * time.Millisecond

// A connection that had been idle for silentIdle and has not answered for silentWait may have gone silent without a
// reset. A busy peer is not taken for that: connections to it are seldom idle for so long.
const (
	silentIdle = time.Second
	silentWait = 300 * time.Millisecond
)

// conn is a connection that one request uses at a time.
type conn struct {
	net.Conn
	idleSince time.Time
	closed    sync.Once
}

// Readers and writers that no exchange uses.
var (
	readers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}
)

func newConn(c net.Conn) *conn { return &conn{Conn: c} }

// close closes the connection; only the first call has an effect.
func (c *conn) close() { c.closed.Do(func() { _ = c.Close() }) }

// exchange writes a request and reads its whole response, whose body is returned apart.
func (c *conn) exchange(request *http.Request, maxBody int64) (*http.Response, []byte, error) {
	if err := c.write(request); err != nil {
		return nil, nil, err
	}
	return c.read(request, maxBody)
}

func (c *conn) write(request *http.Request) error {
	w := writers.Get().(*bufio.Writer)
	defer writers.Put(w)
	w.Reset(c.Conn)
	defer w.Reset(nil)
	if err := request.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

func (c *conn) read(request *http.Request, maxBody int64) (*http.Response, []byte, error) {
	r := readers.Get().(*bufio.Reader)
	defer readers.Put(r)
	r.Reset(c.Conn)
	defer r.Reset(nil)
	response, err := http.ReadResponse(r, request)
	for err == nil && isInformational(response.StatusCode) {
		response, err = http.ReadResponse(r, request)
	}
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readBody(response, maxBody)
	if r.Buffered() > 0 {
		response.Close = true
	}
	return response, body, err
}

// isInformational reports whether another response follows the one with this status.
func isInformational(status int) bool {
	return status >= 100 && status < 200 && status != http.StatusSwitchingProtocols
}

func readBody(response *http.Response, limit int64) ([]byte, error) {
	var source io.Reader = response.Body
	if limit > 0 {
		source = io.LimitReader(source, limit+1)
	}
	body, err := io.ReadAll(source)
	if err == nil && limit > 0 && int64(len(body)) > limit {
		return nil, BodyTooLargeError{Limit: limit}
	}
	return body, err
}

// isUsable reports whether a connection can be used for another request: nothing has arrived on it while it was idle,
// neither bytes nor its end.
func (c *conn) isUsable(now time.Time) bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok || now.Sub(c.idleSince) < checkAfter {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// isSilent reports whether a connection that has not answered a request since it was sent may have gone silent while it was
// idle. The other connections to the peer may then be silent, too.
func (c *conn) isSilent(sent time.Time) bool {
	return !c.idleSince.IsZero() && sent.Sub(c.idleSince) >= silentIdle && time.Since(sent) >= silentWait
}
