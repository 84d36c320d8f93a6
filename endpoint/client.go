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

// maxAnswerBytes bounds one answer.
const maxAnswerBytes = 8 << 20

// Config holds what a Client needs.
type Config struct {
	Transport http.RoundTripper
}

// Client speaks HTTP to endpoints; it implements Runner.
type Client struct{ http *http.Client }

// NewClient returns a client.
func NewClient(c Config) *Client {
	return &Client{http: &http.Client{
		Transport:     c.Transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Run sends a task and renews its lease until the whole answer has arrived.
func (c *Client) Run(ctx context.Context, to netip.AddrPort, task Task) (Answer, error) {
	renewals, stop := context.WithCancel(ctx)
	defer stop()
	if task.Lease > 0 {
		// Most tasks end before their first renewal, so that only long ones get a goroutine.
		first := time.AfterFunc(task.Lease/renewalsPerLease, func() { c.loop(renewals, to, task) })
		defer first.Stop()
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

// newRequest builds the request; sent becomes true when the first byte may leave. A body that cannot
// be read twice and a method that is not idempotent keep the transport from sending it again.
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

// renewalsPerLease is how often a lease is renewed in its length.
const renewalsPerLease = 3

// loop renews a task's lease, now and again, until the context ends.
func (c *Client) loop(ctx context.Context, to netip.AddrPort, task Task) {
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
