package intake

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

// drainTimeout is how long a client may take to receive a rejection and to close its connection.
const drainTimeout = 200 * time.Millisecond

// RejectedError reports a body that was not read to its end.
type RejectedError struct {
	Reason Reason
	Cause  error // what the connection reported, nil for NoMemory
}

// Error returns the reason.
func (e RejectedError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("not run: the body was not read to its end (%s)", e.Reason)
	}
	return fmt.Sprintf("not run: the body was not read to its end (%s): %v", e.Reason, e.Cause)
}

// Unwrap returns what the connection reported.
func (e RejectedError) Unwrap() error { return e.Cause }

// Handler returns a handler that passes requests on with bounded bodies. bodyTime returns the time that the body of a request
// may take. A request whose body was not read to its end is answered 503 whatever next answers, and its connection is closed.
func (g *Gate) Handler(next http.Handler, bodyTime func(*http.Request) time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor > 1 {
			if !g.acquireStream(r.Context()) {
				g.observer.BodyRejected(TooMany)
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			defer g.streams.Release(1)
		}
		c := connOf(r)
		if r.Body == nil || r.Body == http.NoBody {
			defer c.holdBusy()()
			next.ServeHTTP(withoutBody(w, r, c), r)
			return
		}
		g.serveBody(w, r, next, min(g.limits.BodyTimeout, bodyTime(r)))
	})
}

func (g *Gate) serveBody(w http.ResponseWriter, r *http.Request, next http.Handler, timeout time.Duration) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	c := newExchange(w, r, connOf(r))
	b := &body{source: r.Body, gate: g, exchange: c, ctx: ctx, cancel: cancel, deadline: time.Now().Add(timeout)}
	g.addBody(b)
	release := sync.OnceFunc(func() { g.removeBody(b) })
	defer release()
	defer b.leave()
	// The deadline also holds while net/http drops a body that next does not read.
	b.armDeadline()
	request := r.WithContext(r.Context())
	request.Body = b
	response := &responseWriter{ResponseWriter: w, exchange: c, body: b}
	panicked := true
	defer func() {
		// net/http reads the rest of a body before it closes or reuses the connection, and must not wait for one that was cut off.
		if panicked || b.wasCutOff() {
			c.expireReads()
		}
	}()
	next.ServeHTTP(response, request)
	panicked = false
	// The bytes that others wait for are not held while the client of a rejected body takes its response.
	release()
	if b.wasCutOff() {
		b.stopBusy()
		if !response.wrote {
			response.WriteHeader(http.StatusOK)
		}
		// A failed flush means that the client has closed the connection.
		_ = http.NewResponseController(w).Flush()
		c.drain(drainTimeout)
	}
}

// body is the body of a request in flight. It charges the bytes that arrive to the budget.
type body struct {
	source   io.ReadCloser
	gate     *Gate
	exchange exchange
	id       bodyID
	ctx      context.Context // ends when the body is rejected or its call ends
	cancel   context.CancelFunc
	deadline time.Time
	arrived  int64 // used by the reader only
	credit   int64 // bytes that are charged and have not arrived yet; used by the reader only

	mu       sync.Mutex
	begun    bool
	complete bool
	evicted  bool
	left     bool   // its call has ended, after which its exchange may not be used
	failure  error  // what Read has returned instead of the end
	notBusy  func() // ends that its connection counts as busy; nil while it does not
}

// chargeUnit is the granularity of charges. It covers what a call needs besides its body.
const chargeUnit = 4 << 10

// Read reads the next bytes that arrive, within the deadlines and the budget.
func (b *body) Read(p []byte) (int, error) {
	if err := b.begin(); err != nil {
		return 0, err
	}
	n, err := b.source.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		return 0, b.fail(err)
	}
	if n > 0 {
		b.gate.recordProgress(b)
		if !b.charge(int64(n)) {
			return 0, b.fail(nil)
		}
	}
	if err != nil {
		b.end()
	}
	return n, err
}

// Close closes the body.
func (b *body) Close() error { return b.source.Close() }

func (b *body) charge(n int64) bool {
	if b.arrived += n; b.arrived >= longBody {
		b.exchange.growBuffer()
	}
	b.credit -= n
	if b.credit >= 0 {
		return true
	}
	units := (-b.credit + chargeUnit - 1) / chargeUnit * chargeUnit
	b.credit += units
	return b.gate.charge(b.ctx, b, units)
}

// begin prepares a read; it returns the error of an earlier one, or that the body was evicted.
func (b *body) begin() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begun = true
	if b.failure != nil {
		return b.failure
	}
	if b.complete {
		return nil
	}
	if b.evicted {
		return b.failLocked(nil)
	}
	b.armDeadline()
	return nil
}

// armDeadline bounds the next read of the connection by the body's deadline and by the time for progress.
func (b *body) armDeadline() {
	at := time.Now().Add(b.gate.limits.ProgressTimeout)
	if b.deadline.Before(at) {
		at = b.deadline
	}
	// An error means that the connection is closed, which the next read reports.
	_ = b.exchange.SetReadDeadline(at)
}

func (b *body) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.complete {
		return
	}
	b.complete = true
	b.gate.recordEnd(b)
	b.notBusy = b.exchange.connection().holdBusy()
}

// stopBusy ends that the connection counts as busy with the body's call.
func (b *body) stopBusy() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.notBusy != nil {
		b.notBusy()
		b.notBusy = nil
	}
}

// leave records that the body's call has ended.
func (b *body) leave() {
	b.stopBusy()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = true
}

// fail records and returns the error of a read; cause is nil if there is no room for the bytes.
func (b *body) fail(cause error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failLocked(cause)
}

func (b *body) failLocked(cause error) error {
	e := RejectedError{Reason: Broken, Cause: cause}
	switch {
	case b.evicted || cause == nil:
		e = RejectedError{Reason: NoMemory}
	case errors.Is(cause, os.ErrDeadlineExceeded) && !time.Now().Before(b.deadline):
		e.Reason = TooSlow
	case errors.Is(cause, os.ErrDeadlineExceeded):
		e.Reason = Stalled
	}
	b.failure = e
	b.gate.observer.BodyRejected(e.Reason)
	return e
}

// reject makes the reader of a body that is not complete fail.
func (b *body) reject() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.complete || b.left || b.failure != nil {
		return
	}
	b.evicted = true
	b.cancel()
	b.exchange.expireReads()
}

// failed returns the error that a read returned instead of the body's end.
func (b *body) failed() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failure
}

// wasCutOff reports whether the handler began to read the body and did not reach its end.
func (b *body) wasCutOff() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.begun && (!b.complete || b.failure != nil)
}
