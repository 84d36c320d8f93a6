package http1

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// Config holds the settings of a Transport. Zero numbers mean no bound.
type Config struct {
	Dial        func(ctx context.Context, network, address string) (net.Conn, error)
	MaxPerHost  int           // connections to one address
	MaxIdle     int           // connections to one address that are kept open between requests
	IdleTimeout time.Duration // time after which an unused connection is closed
	MaxBody     int64         // bytes of a response body
}

// BodyTooLargeError reports a response body that exceeds the bound of the Transport.
type BodyTooLargeError struct{ Limit int64 }

// Error returns the bound.
func (e BodyTooLargeError) Error() string {
	return fmt.Sprintf("the response is longer than %d bytes", e.Limit)
}

// InterruptedResponseError reports a response that had begun to arrive when the context of its request ended.
type InterruptedResponseError struct{ Cause error }

// Error returns the cause.
func (e InterruptedResponseError) Error() string { return "response interrupted: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e InterruptedResponseError) Unwrap() error { return e.Cause }

// Transport sends requests over connections that it keeps open. It implements http.RoundTripper.
type Transport struct {
	config Config

	mu      sync.Mutex
	hosts   map[string]*host
	sweptAt time.Time // when idle connections were last closed
}

// New returns a Transport.
func New(config Config) *Transport {
	return &Transport{config: config, hosts: map[string]*host{}, sweptAt: time.Now()}
}

// RoundTrip sends a request and reads the whole response. It closes the connection if the request's context ends first.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.roundTrip(request)
	if request.Body != nil {
		_ = request.Body.Close()
	}
	return response, err
}

func (t *Transport) roundTrip(request *http.Request) (*http.Response, error) {
	ctx := request.Context()
	h := t.host(request.URL.Host)
	if err := h.acquire(ctx); err != nil {
		return nil, err
	}
	defer h.release()
	if ctx.Err() != nil {
		return nil, context.Cause(ctx) // closing its connection might come too late to keep the request from being sent
	}
	c, err := t.connect(ctx, h)
	if err != nil {
		return nil, err
	}
	reportConn(ctx, c)
	sent := time.Now()
	stopClosing := context.AfterFunc(ctx, c.close)
	response, body, err := c.exchange(request, t.config.MaxBody)
	interrupted := !stopClosing()
	switch {
	case interrupted:
		if response != nil {
			return nil, InterruptedResponseError{Cause: context.Cause(ctx)}
		}
		if c.isSilent(sent) {
			t.closeIdle(h, sent)
		}
		return nil, context.Cause(ctx)
	case err != nil:
		c.close()
		return nil, err
	case response.Close || request.Close:
		c.close()
	default:
		t.keep(h, c)
	}
	response.Body = io.NopCloser(bytes.NewReader(body))
	return response, nil
}

// reportConn calls the GotConn hook of a request's trace, if any, before the first byte is sent: callers take a request
// without that call for one that was not sent.
func reportConn(ctx context.Context, c *conn) {
	if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{Conn: c.Conn, Reused: !c.idleSince.IsZero()})
	}
}

// connect returns an idle connection to a host or opens one.
func (t *Transport) connect(ctx context.Context, h *host) (*conn, error) {
	for {
		t.mu.Lock()
		c := h.takeIdle()
		t.mu.Unlock()
		if c == nil {
			break
		}
		if c.isUsable(time.Now()) {
			return c, nil
		}
		c.close()
	}
	dialled, err := t.config.Dial(ctx, "tcp", h.address)
	if err != nil {
		return nil, err
	}
	return newConn(dialled), nil
}

// keep makes a connection available to later requests.
func (t *Transport) keep(h *host, c *conn) {
	now := time.Now()
	c.idleSince = now
	t.mu.Lock()
	closing := t.sweep(now)
	if t.config.MaxIdle > 0 && len(h.idle) >= t.config.MaxIdle {
		closing = append(closing, c)
	} else {
		h.idle = append(h.idle, c)
	}
	t.mu.Unlock()
	for _, c := range closing {
		c.close()
	}
}

// sweep removes the connections that have been idle for too long, at most once per IdleTimeout, and returns them. The
// caller holds the lock.
func (t *Transport) sweep(now time.Time) []*conn {
	if t.config.IdleTimeout == 0 || now.Sub(t.sweptAt) < t.config.IdleTimeout {
		return nil
	}
	t.sweptAt = now
	var closing []*conn
	for address, h := range t.hosts {
		closing = append(closing, h.removeIdle(now.Add(-t.config.IdleTimeout))...)
		if h.users == 0 && len(h.idle) == 0 {
			delete(t.hosts, address)
		}
	}
	return closing
}

// closeIdle closes the connections to a host that have not been used since a time.
func (t *Transport) closeIdle(h *host, unused time.Time) {
	t.mu.Lock()
	closing := h.removeIdle(unused)
	t.mu.Unlock()
	for _, c := range closing {
		c.close()
	}
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() {
	t.mu.Lock()
	var closing []*conn
	for _, h := range t.hosts {
		closing = append(closing, h.idle...)
		h.idle = nil
	}
	t.mu.Unlock()
	for _, c := range closing {
		c.close()
	}
}
