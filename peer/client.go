package peer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"connectrpc.com/connect"
	"github.com/juju/errors"
)

// maxMessageBytes bounds one message between members.
const maxMessageBytes = 32 << 20

// ClientConfig configures a Client.
type ClientConfig struct {
	Secret    string // shared by all members
	Transport http.RoundTripper
}

// Client sends messages to other members; it implements Network.
type Client struct {
	http    *http.Client
	secret  string
	mu      sync.Mutex
	clients map[string]any // *connect.Client by URL, of the types of its procedure
}

// NewClient returns a client.
func NewClient(c ClientConfig) *Client {
	return &Client{http: &http.Client{Transport: c.Transport}, secret: c.Secret, clients: map[string]any{}}
}

// Heartbeat sends a heartbeat.
func (c *Client) Heartbeat(ctx context.Context, to netip.AddrPort, heartbeat Heartbeat) error {
	_, err := Call[Heartbeat, Ack](ctx, c, to, heartbeatPath, &heartbeat)
	return err
}

// Pull asks a member for records.
func (c *Client) Pull(ctx context.Context, to netip.AddrPort, pull PullRequest) (PullReply, error) {
	return Call[PullRequest, PullReply](ctx, c, to, pullPath, &pull)
}

// Relay asks a member to append a record.
func (c *Client) Relay(ctx context.Context, to netip.AddrPort, relay Relay) error {
	_, err := Call[Relay, Ack](ctx, c, to, relayPath, &relay)
	return err
}

// Reserve asks a member to remember an attempt.
func (c *Client) Reserve(ctx context.Context, to netip.AddrPort, reserve ReserveRequest) (ReserveReply, error) {
	return Call[ReserveRequest, ReserveReply](ctx, c, to, reservePath, &reserve)
}

// Finish reports the outcome of an attempt to a member.
func (c *Client) Finish(ctx context.Context, to netip.AddrPort, finish Finish) error {
	_, err := Call[Finish, Ack](ctx, c, to, finishPath, &finish)
	return err
}

// Recall asks a member for the attempts it remembers.
func (c *Client) Recall(ctx context.Context, to netip.AddrPort) (RecallReply, error) {
	return Call[RecallRequest, RecallReply](ctx, c, to, recallPath, &RecallRequest{})
}

// Task queries or cancels a task of a member.
func (c *Client) Task(ctx context.Context, to netip.AddrPort, request TaskRequest) (TaskReply, error) {
	return Call[TaskRequest, TaskReply](ctx, c, to, taskPath, &request)
}

// FailedBeforeSend reports whether a call failed before its message was sent, so that the call had no effect.
func FailedBeforeSend(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// Call sends a message to a procedure of a member and returns the reply. It fails with an OverloadedError if the member has rejected the
// call.
func Call[Q, A any](ctx context.Context, c *Client, to netip.AddrPort, path string, message *Q) (A, error) {
	var zero A
	request := connect.NewRequest(message)
	request.Header().Set("Authorization", "Bearer "+c.secret)
	response, err := client[Q, A](c, "http://"+to.String()+path).CallUnary(ctx, request)
	if connect.CodeOf(err) == connect.CodeResourceExhausted {
		err = OverloadedError{Reason: err.Error()}
	}
	if err != nil {
		return zero, errors.Annotatef(err, "calling %s of %s", path, to)
	}
	return *response.Msg, nil
}

func client[Q, A any](c *Client, url string) *connect.Client[Q, A] {
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing, ok := c.clients[url].(*connect.Client[Q, A]); ok {
		return existing
	}
	created := connect.NewClient[Q, A](c.http, url, connect.WithCodec(codec{}), connect.WithReadMaxBytes(maxMessageBytes))
	c.clients[url] = created
	return created
}
