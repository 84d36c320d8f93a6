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

// Question asks the owner of a pool for the state of a job.
type Question struct {
	Pool string `cbor:"1,keyasint"`
	Job  job.ID `cbor:"2,keyasint"`
}

// Taken answers a job that was handed in; Full tells that it was refused, and Wait when to come back. None
// tells that the owner can store nothing now and has not taken the job.
type Taken struct {
	Full bool          `cbor:"1,keyasint,omitempty"`
	Wait time.Duration `cbor:"2,keyasint,omitempty"`
	None bool          `cbor:"3,keyasint,omitempty"`
}

// State answers a Question, also one that asked for a cancellation.
type State struct {
	Known bool      `cbor:"1,keyasint,omitempty"`
	State job.State `cbor:"2,keyasint,omitempty"`
}

// Pool asks the owner of a pool how its work stands.
type Pool struct {
	Pool string `cbor:"1,keyasint"`
}

// Pending tells how many jobs of each queue have not begun.
type Pending struct {
	Queues map[string]int `cbor:"1,keyasint,omitempty"`
}

// Owns tells whether an instance runs a pool and has lately proved to the log that it owns it.
type Owns struct {
	Fresh bool `cbor:"1,keyasint,omitempty"`
}

// Store asks an instance to append records that nothing fences.
type Store struct {
	Table   stream.Table    `cbor:"1,keyasint"`
	Records []stream.Record `cbor:"2,keyasint"`
}

// Stored answers a Store; Unsure tells that the records may yet be stored.
type Stored struct {
	Done   bool `cbor:"1,keyasint,omitempty"`
	Unsure bool `cbor:"2,keyasint,omitempty"`
}

// Cordon gives the owner of a pool the orders for its workers; its answer is a machines.Load.
type Cordon struct {
	Pool   string          `cbor:"1,keyasint"`
	Orders machines.Orders `cbor:"2,keyasint"`
}

// Service answers the other instances.
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

// Client asks other instances.
type Client struct{ peers *peer.Client }

// NewClient returns a client over a transport.
func NewClient(transport http.RoundTripper) *Client {
	return &Client{peers: peer.NewClient(peer.ClientConfig{Transport: transport})}
}

// State asks for the state of a job.
func (c *Client) State(ctx context.Context, to netip.AddrPort, q Question) (State, error) {
	return peer.Call[Question, State](ctx, c.peers, to, statePath, &q)
}

// Submit hands a job to the owner of its pool, which stores it.
func (c *Client) Submit(ctx context.Context, to netip.AddrPort, spec job.Spec) (Taken, error) {
	return peer.Call[job.Spec, Taken](ctx, c.peers, to, submitPath, &spec)
}

// Cancel has the owner of a pool end a job.
func (c *Client) Cancel(ctx context.Context, to netip.AddrPort, q Question) (State, error) {
	return peer.Call[Question, State](ctx, c.peers, to, cancelPath, &q)
}

// Pending asks how many jobs have not begun.
func (c *Client) Pending(ctx context.Context, to netip.AddrPort, p Pool) (Pending, error) {
	return peer.Call[Pool, Pending](ctx, c.peers, to, pendingPath, &p)
}

// Owns asks an instance whether it runs a pool.
func (c *Client) Owns(ctx context.Context, to netip.AddrPort, p Pool) (Owns, error) {
	return peer.Call[Pool, Owns](ctx, c.peers, to, ownsPath, &p)
}

// Store has records appended.
func (c *Client) Store(ctx context.Context, to netip.AddrPort, s Store) (Stored, error) {
	return peer.Call[Store, Stored](ctx, c.peers, to, storePath, &s)
}

// Cordon gives orders for workers and returns how the pool's work stands.
func (c *Client) Cordon(ctx context.Context, to netip.AddrPort, cordon Cordon) (machines.Load, error) {
	return peer.Call[Cordon, machines.Load](ctx, c.peers, to, emptyPath, &cordon)
}

// NewHandler returns the handler for questions of other instances.
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
