package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/common/id"
)

// maxAnswerBytes limits the body of one answer of the platform.
const maxAnswerBytes = 64 << 20

// Config holds what a Client needs.
type Config struct {
	Address   netip.AddrPort
	Transport http.RoundTripper
}

// Client sends requests to the platform over HTTP. It implements Log and Fleet.
type Client struct {
	base string
	http *http.Client

	mu   sync.Mutex // guards list, the list of instances as last read, and etag, its entity tag
	etag string
	list []ListedInstance
}

// NewClient returns a client for the platform at the configured address.
func NewClient(c Config) *Client {
	return &Client{base: "http://" + c.Address.String(), http: &http.Client{Transport: c.Transport}}
}

// Append appends a record to a stream.
func (c *Client) Append(ctx context.Context, stream string, data []byte) error {
	return c.do(ctx, http.MethodPost, "/streams/"+url.PathEscape(stream), data, nil)
}

// Read returns the records of a stream, starting at an offset.
func (c *Client) Read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error) {
	var batch Batch
	path := fmt.Sprintf("/streams/%s?from=%d&wait=%s", url.PathEscape(stream), from, wait)
	err := c.do(ctx, http.MethodGet, path, nil, &batch)
	return batch, err
}

// List returns the platform's list of instances. The platform does not send an unchanged list again: the client
// returns the one it read before.
func (c *Client) List(ctx context.Context) ([]ListedInstance, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/instances", nil)
	if err != nil {
		return nil, errors.Annotate(err, "building the read of the list")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.etag != "" {
		request.Header.Set("If-None-Match", c.etag)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.Annotate(err, "reading the list")
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusNotModified:
		return c.list, nil
	case http.StatusOK:
	default:
		return nil, StatusError{Operation: "reading the list", Status: response.StatusCode}
	}
	var list []ListedInstance
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&list); err != nil {
		return nil, errors.Annotate(err, "decoding the list")
	}
	c.etag = response.Header.Get("ETag")
	c.list = list
	return list, nil
}

// Reboot asks the platform to restart an instance once per token.
func (c *Client) Reboot(ctx context.Context, instance id.Instance, token string) error {
	path := fmt.Sprintf("/instances/%s/reboot?token=%s", url.PathEscape(string(instance)), url.QueryEscape(token))
	return c.do(ctx, http.MethodPost, path, nil, nil)
}

// do sends a request, and decodes the JSON body of the response into answer unless answer is nil.
func (c *Client) do(ctx context.Context, method, path string, body []byte, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Annotatef(err, "building %s %s", method, path)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Annotatef(err, "asking the platform for %s %s", method, path)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return errors.Annotatef(err, "reading the platform's answer to %s", path)
	}
	if response.StatusCode != http.StatusOK {
		return StatusError{Operation: method + " " + path, Status: response.StatusCode}
	}
	if answer == nil {
		return nil
	}
	return errors.Annotatef(json.Unmarshal(data, answer), "decoding the platform's answer to %s", path)
}
