package relay

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/machines"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
	"marigoldshed.example/marigoldshed/peer"
)

// Paths of the procedures.
const (
	statePath   = "/jobs.Relay/State"
	pendingPath = "/jobs.Relay/Pending"
	storePath   = "/jobs.Relay/Store"
	emptyPath   = "/jobs.Relay/Empty"
	submitPath  = "/jobs.Relay/Submit"
	cancelPath  = "/jobs.Relay/Cancel"
	ownsPath    = "/jobs.Relay/Owns"
	appendPath  = "/jobs.Relay/Append"
	readPath    = "/jobs.Relay/Read"
)

// Question asks the owner of a pool for the state or the cancellation of a job.
type Question struct {
	Pool string `cbor:"1,keyasint"`
	Job  job.ID `cbor:"2,keyasint"`
}

// Taken is the reply to a submitted job.
type Taken struct {
	Full bool          `cbor:"1,keyasint,omitempty"` // the job was rejected
	Wait time.Duration `cbor:"2,keyasint,omitempty"` // delay before the next attempt, if Full
	None bool          `cbor:"3,keyasint,omitempty"` // the owner can store nothing now and has not stored the job
}

// State is the reply to a Question about the state or the cancellation of a job.
type State struct {
	Known bool      `cbor:"1,keyasint,omitempty"`
	State job.State `cbor:"2,keyasint,omitempty"`
}

// Pool asks about a pool: for its pending jobs, or whether the instance owns it.
type Pool struct {
	Pool string `cbor:"1,keyasint"`
}

// Pending is the number of jobs by queue that have not started.
type Pending struct {
	Queues map[string]int `cbor:"1,keyasint,omitempty"`
}

// Owns tells whether an instance runs a shard and has recently proved to the log that it owns that shard.
type Owns struct {
	Fresh bool `cbor:"1,keyasint,omitempty"`
}

// Store asks an instance to append records without a fence.
type Store struct {
	Table   stream.Table    `cbor:"1,keyasint"`
	Records []stream.Record `cbor:"2,keyasint"`
}

// Stored is the reply to a Store. Unsure means that the records may still be stored.
type Stored struct {
	Done   bool `cbor:"1,keyasint,omitempty"`
	Unsure bool `cbor:"2,keyasint,omitempty"`
}

// Cordon sends the owner of a pool orders for its workers. The reply is a machines.Load.
type Cordon struct {
	Pool   string          `cbor:"1,keyasint"`
	Orders machines.Orders `cbor:"2,keyasint"`
}

// Service handles the requests of other instances.
type Service interface {
	TakeQuestion(ctx context.Context, q Question) (State, error)
	TakeSubmit(ctx context.Context, spec job.Spec) (Taken, error)
	TakeCancel(ctx context.Context, q Question) (State, error)
	TakeOwns(ctx context.Context, p Pool) (Owns, error)
	TakePending(ctx context.Context, p Pool) (Pending, error)
	TakeStore(ctx context.Context, s Store) (Stored, error)
	TakeCordon(ctx context.Context, c Cordon) (machines.Load, error)
	TakeAppend(ctx context.Context, a Append) (Appended, error)
	TakeRead(ctx context.Context, r Read) (Batch, error)
}

// Client sends requests to other instances.
type Client struct{ peers *peer.Client }

// NewClient returns a client that uses a transport.
func NewClient(transport http.RoundTripper) *Client {
	return &Client{peers: peer.NewClient(peer.ClientConfig{Transport: transport})}
}

// State asks for the state of a job.
func (c *Client) State(ctx context.Context, to netip.AddrPort, q Question) (State, error) {
	return peer.Call[Question, State](ctx, c.peers, to, statePath, &q)
}

// Submit submits a job to the owner of its pool, which stores it.
func (c *Client) Submit(ctx context.Context, to netip.AddrPort, spec job.Spec) (Taken, error) {
	return peer.Call[job.Spec, Taken](ctx, c.peers, to, submitPath, &spec)
}

// Cancel asks the owner of a pool to cancel a job.
func (c *Client) Cancel(ctx context.Context, to netip.AddrPort, q Question) (State, error) {
	return peer.Call[Question, State](ctx, c.peers, to, cancelPath, &q)
}

// Pending asks the owner of a pool how many jobs have not started.
func (c *Client) Pending(ctx context.Context, to netip.AddrPort, p Pool) (Pending, error) {
	return peer.Call[Pool, Pending](ctx, c.peers, to, pendingPath, &p)
}

// Owns asks an instance whether it owns a shard.
func (c *Client) Owns(ctx context.Context, to netip.AddrPort, p Pool) (Owns, error) {
	return peer.Call[Pool, Owns](ctx, c.peers, to, ownsPath, &p)
}

// Store asks an instance to append records.
func (c *Client) Store(ctx context.Context, to netip.AddrPort, s Store) (Stored, error) {
	return peer.Call[Store, Stored](ctx, c.peers, to, storePath, &s)
}

// Cordon sends orders for the workers of a pool and returns the load of the pool.
func (c *Client) Cordon(ctx context.Context, to netip.AddrPort, cordon Cordon) (machines.Load, error) {
	return peer.Call[Cordon, machines.Load](ctx, c.peers, to, emptyPath, &cordon)
}

// NewHandler returns the HTTP handler for requests of other instances.
func NewHandler(s Service) http.Handler {
	mux := http.NewServeMux()
	peer.Handle(mux, statePath, func(ctx context.Context, m *Question) (State, error) { return s.TakeQuestion(ctx, *m) })
	peer.Handle(mux, submitPath, func(ctx context.Context, m *job.Spec) (Taken, error) { return s.TakeSubmit(ctx, *m) })
	peer.Handle(mux, cancelPath, func(ctx context.Context, m *Question) (State, error) { return s.TakeCancel(ctx, *m) })
	peer.Handle(mux, pendingPath, func(ctx context.Context, m *Pool) (Pending, error) { return s.TakePending(ctx, *m) })
	peer.Handle(mux, ownsPath, func(ctx context.Context, m *Pool) (Owns, error) { return s.TakeOwns(ctx, *m) })
	peer.Handle(mux, storePath, func(ctx context.Context, m *Store) (Stored, error) { return s.TakeStore(ctx, *m) })
	peer.Handle(mux, emptyPath, func(ctx context.Context, m *Cordon) (machines.Load, error) { return s.TakeCordon(ctx, *m) })
	peer.Handle(mux, appendPath, func(ctx context.Context, m *Append) (Appended, error) { return s.TakeAppend(ctx, *m) })
	peer.Handle(mux, readPath, func(ctx context.Context, m *Read) (Batch, error) { return s.TakeRead(ctx, *m) })
	return mux
}
