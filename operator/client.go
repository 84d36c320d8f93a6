package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/entry"
)

// callTimeout bounds one call.
const callTimeout = 10 * time.Second

// ClientConfig configures a Client.
type ClientConfig struct {
	Address   netip.AddrPort // the operators' listener of any entry instance
	Secret    string
	Transport http.RoundTripper
}

// Client makes operators' calls to one entry instance.
type Client struct {
	config ClientConfig
	http   *http.Client
}

// NewClient returns a client.
func NewClient(c ClientConfig) *Client {
	return &Client{config: c, http: &http.Client{Transport: c.Transport, Timeout: callTimeout}}
}

// Rules returns the rules file in force.
func (c *Client) Rules(ctx context.Context) (Rules, error) {
	var rules Rules
	err := c.call(ctx, http.MethodGet, "/v1/rules", nil, &rules)
	return rules, err
}

// Status returns the state of the whole system as the instance knows it.
func (c *Client) Status(ctx context.Context) (entry.Status, error) {
	var status entry.Status
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

// Apply puts a rules file into force; it fails with RefusedError or PendingError.
func (c *Client) Apply(ctx context.Context, call Apply) (int, error) {
	return c.change(ctx, "/v1/rules", call)
}

// Edit sets or removes single rules; it fails with RefusedError or PendingError.
func (c *Client) Edit(ctx context.Context, call Edit) (int, error) {
	return c.change(ctx, "/v1/edit", call)
}

// Expire reports that a member has ended permanently; it fails with RefusedError or PendingError.
func (c *Client) Expire(ctx context.Context, call ExpireRequest) error {
	_, err := c.change(ctx, "/v1/lapse", call)
	return err
}

// change makes a call and returns the version in force after it.
func (c *Client) change(ctx context.Context, path string, call any) (int, error) {
	var result Result
	if err := c.call(ctx, http.MethodPost, path, call, &result); err != nil {
		return 0, err
	}
	switch {
	case result.Pending:
		return 0, PendingError{Detail: result.Detail}
	case result.Outcome.Refused != "":
		return 0, RefusedError{Reason: result.Outcome.Refused}
	}
	return result.Outcome.Version, nil
}

func (c *Client) call(ctx context.Context, method, path string, message, result any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return errors.Annotatef(err, "encoding the call of %s", path)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.config.Address.String()+path, bytes.NewReader(body))
	if err != nil {
		return errors.Annotatef(err, "building the call of %s", path)
	}
	request.Header.Set("Authorization", "Bearer "+c.config.Secret)
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Annotatef(err, "calling %s", path)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Annotatef(err, "reading the answer of %s", path)
	}
	if response.StatusCode != http.StatusOK {
		return StatusError{Status: response.StatusCode, Body: string(bytes.TrimSpace(data))}
	}
	return errors.Annotatef(json.Unmarshal(data, result), "decoding the answer of %s", path)
}
