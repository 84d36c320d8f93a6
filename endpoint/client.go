package endpoint

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// maxAnswerBytes limits the body of one answer.
const maxAnswerBytes = 8 << 20

// Config holds what a Client needs.
type Config struct {
	Transport http.RoundTripper
}

// Client sends tasks to endpoints over HTTP. It implements Runner.
type Client struct{ http *http.Client }

// NewClient returns a client that does not follow redirects.
func NewClient(c Config) *Client {
	return &Client{http: &http.Client{
		Transport:     c.Transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Run sends a task and renews the lease of the task until the complete answer has arrived.
func (c *Client) Run(ctx context.Context, to netip.AddrPort, task Task) (Answer, error) {
	renewalCtx, stop := context.WithCancel(ctx)
	defer stop()
	if task.Lease > 0 {
		// Most tasks end before their first renewal; the timer starts a goroutine only for longer ones.
		firstRenewal := time.AfterFunc(task.Lease/renewalsPerLease, func() { c.renewLease(renewalCtx, to, task) })
		defer firstRenewal.Stop()
	}
	var sent atomic.Bool
	request, err := newRequest(ctx, to, task, &sent)
	if err != nil {
		return Answer{}, NotStartedError{To: to, Reason: err.Error()}
	}
	response, err := c.http.Do(request)
	if err != nil {
		if sent.Load() {
			return Answer{}, UnknownError{To: to, Reason: err.Error()}
		}
		return Answer{}, NotStartedError{To: to, Reason: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	return readAnswer(to, task, response)
}

// newRequest builds the request. It sets sent to true when the request gets a connection, so that its first byte may
// leave. The transport does not resend a request on its own, since the body cannot be read twice and POST is not
// idempotent.
func newRequest(ctx context.Context, to netip.AddrPort, task Task, sent *atomic.Bool) (*http.Request, error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	body := io.NopCloser(bytes.NewReader(task.Body))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+"/run", body)
	if err != nil {
		return nil, errors.Annotatef(err, "building a request to %s", to)
	}
	request.ContentLength = int64(len(task.Body))
	if len(task.Body) == 0 {
		request.Body = http.NoBody
	}
	for name, values := range task.Header {
		request.Header[name] = values
	}
	request.Header.Set(RequestHeader, task.Request)
	request.Header.Set(TeamHeader, string(task.Team))
	request.Header.Set(QueueHeader, string(task.Queue))
	request.Header.Set(LeaseHeader, task.Lease.String())
	return request, nil
}

// readAnswer checks that a response belongs to the task and reads the complete answer.
func readAnswer(to netip.AddrPort, task Task, response *http.Response) (Answer, error) {
	if got := response.Header.Get(RequestHeader); got != task.Request {
		return Answer{}, UnknownError{To: to, Reason: "the answer belongs to request " + strconv.Quote(got)}
	}
	if response.Header.Get(RefusedHeader) != "" {
		return Answer{}, NotStartedError{To: to, Refused: true, Reason: response.Header.Get(RefusedHeader)}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return Answer{}, UnknownError{To: to, Reason: "reading the answer: " + err.Error()}
	}
	if len(body) > maxAnswerBytes {
		return Answer{}, UnknownError{To: to, Reason: "the answer is larger than 8 MiB"}
	}
	free, err := strconv.Atoi(response.Header.Get(FreeHeader))
	if err != nil {
		free = -1
	}
	return Answer{Status: response.StatusCode, Header: response.Header, Body: body, Free: free}, nil
}

// renewalsPerLease is how many times a lease is renewed within its duration.
const renewalsPerLease = 3

// renewLease renews a task's lease, first at once and then renewalsPerLease times per lease, until the context ends.
// It ignores errors of single renewals.
func (c *Client) renewLease(ctx context.Context, to netip.AddrPort, task Task) {
	ticker := time.NewTicker(task.Lease / renewalsPerLease)
	defer ticker.Stop()
	for {
		_ = c.post(ctx, to, "/renew/"+task.Request)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Cancel asks an endpoint to stop a task.
func (c *Client) Cancel(ctx context.Context, to netip.AddrPort, request string) error {
	return c.post(ctx, to, "/cancel/"+request)
}

// Probe asks an endpoint whether it is ready.
func (c *Client) Probe(ctx context.Context, to netip.AddrPort) error {
	return c.post(ctx, to, "/ready")
}

// post sends an empty request and fails unless the endpoint answers with status 200.
func (c *Client) post(ctx context.Context, to netip.AddrPort, path string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+path, http.NoBody)
	if err != nil {
		return errors.Annotatef(err, "building %s", path)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Annotatef(err, "sending %s to %s", path, to)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("%s answered %d to %s", to, response.StatusCode, path)
	}
	return nil
}
