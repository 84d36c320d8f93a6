package relay

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/admission"
	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
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
	cordonPath  = "/jobs.Relay/Empty"
	sealPath    = "/jobs.Relay/Seal"
	submitPath  = "/jobs.Relay/Submit"
	cancelPath  = "/jobs.Relay/Cancel"
	ownsPath    = "/jobs.Relay/Owns"
	acceptsPath = "/jobs.Relay/Accepts"
	appendPath  = "/jobs.Relay/Append"
	readPath    = "/jobs.Relay/Read"
)

// JobRequest asks the owner of a pool for the state or the cancellation of a job.
type JobRequest struct {
	Pool string `cbor:"1,keyasint"`
	Job  job.ID `cbor:"2,keyasint"`
}

// SealRequest asks the owner of a pool whether it has a job, and to accept no other job of a route under a configuration
// older than the given version.
type SealRequest struct {
	Pool    string        `cbor:"1,keyasint"`
	Job     job.ID        `cbor:"2,keyasint"`
	Route   catalog.Route `cbor:"3,keyasint"`
	Version int64         `cbor:"4,keyasint"`
}

// SubmitReply is the reply to a submitted job.
type SubmitReply struct {
	Rejected   bool          `cbor:"1,keyasint,omitempty"` // the job was rejected
	RetryAfter time.Duration `cbor:"2,keyasint,omitempty"` // delay before the next attempt, if Rejected
	NotStored  bool          `cbor:"3,keyasint,omitempty"` // the owner can store nothing now and has not stored the job
	Sealed     bool          `cbor:"4,keyasint,omitempty"` // a newer configuration sends the job's route elsewhere; the job was not stored

	Reason admission.Reason `cbor:"5,keyasint,omitempty"` // if Rejected; 0 by versions that have only one
}

// JobReply is the reply to a JobRequest about the state of a job.
type JobReply struct {
	Known bool      `cbor:"1,keyasint,omitempty"`
	State job.State `cbor:"2,keyasint,omitempty"`
}

// PresenceReply is the reply to a JobRequest to cancel a job, and to a SealRequest. Known is all that instances of versions
// without Presence write and read.
type PresenceReply struct {
	Known    bool         `cbor:"1,keyasint,omitempty"`
	Presence job.Presence `cbor:"3,keyasint,omitempty"`
}

// NewPresenceReply returns the reply that says whether a pool has a job.
func NewPresenceReply(p job.Presence) PresenceReply {
	return PresenceReply{Known: p.Known(), Presence: p}
}

// Answer returns whether the pool has the job, by a reply of any version.
func (r PresenceReply) Answer() job.Presence {
	if r.Known && !r.Presence.Known() {
		return job.Present
	}
	return r.Presence
}

// PoolRequest asks whether an instance owns a pool.
type PoolRequest struct {
	Pool string `cbor:"1,keyasint"`
}

// PendingRequest asks the owner of a pool how many jobs of a route, which has the given queue, have not started.
type PendingRequest struct {
	Pool  string        `cbor:"1,keyasint"`
	Route catalog.Route `cbor:"2,keyasint"`
	Queue string        `cbor:"3,keyasint,omitempty"`
}

// PendingReply is the reply to a PendingRequest.
type PendingReply struct {
	Count int `cbor:"2,keyasint,omitempty"`
}

// OwnsReply tells whether an instance runs a shard and has recently proved to the log that it owns that shard.
type OwnsReply struct {
	HasRecentProof bool `cbor:"1,keyasint,omitempty"`
}

// AcceptsReply tells whether an instance can take over a shard now. Instances of earlier versions do not answer the question.
type AcceptsReply struct {
	Accepts bool `cbor:"1,keyasint,omitempty"`
}

// StoreRequest asks an instance to append records without a fence.
type StoreRequest struct {
	Table   stream.Table    `cbor:"1,keyasint"`
	Records []stream.Record `cbor:"2,keyasint"`
}

// StoreReply is the reply to a StoreRequest. Indeterminate means that the records may still be stored.
type StoreReply struct {
	Stored        bool  `cbor:"1,keyasint,omitempty"`
	Indeterminate bool  `cbor:"2,keyasint,omitempty"`
	Offset        int64 `cbor:"3,keyasint,omitempty"` // offset of the first record, if Stored
}

// CordonRequest sends the owner of a pool orders for its workers. The reply is a machines.Load.
type CordonRequest struct {
	Pool   string          `cbor:"1,keyasint"`
	Orders machines.Orders `cbor:"2,keyasint"`
}

// Service handles the requests of other instances.
type Service interface {
	HandleState(ctx context.Context, q JobRequest) (JobReply, error)
	HandleSubmit(ctx context.Context, spec job.Spec) (SubmitReply, error)
	HandleSeal(ctx context.Context, r SealRequest) (PresenceReply, error)
	HandleCancel(ctx context.Context, q JobRequest) (PresenceReply, error)
	HandleOwns(ctx context.Context, p PoolRequest) (OwnsReply, error)
	HandleAccepts(ctx context.Context, p PoolRequest) (AcceptsReply, error)
	HandlePending(ctx context.Context, p PendingRequest) (PendingReply, error)
	HandleStore(ctx context.Context, s StoreRequest) (StoreReply, error)
	HandleCordon(ctx context.Context, c CordonRequest) (machines.Load, error)
	HandleAppend(ctx context.Context, a AppendRequest) (AppendReply, error)
	HandleRead(ctx context.Context, r ReadRequest) (ReadReply, error)
}

// Client sends requests to other instances.
type Client struct{ peers *peer.Client }

// NewClient returns a client that uses a transport.
func NewClient(transport http.RoundTripper) *Client {
	return &Client{peers: peer.NewClient(peer.ClientConfig{Transport: transport})}
}

// State asks for the state of a job.
func (c *Client) State(ctx context.Context, to netip.AddrPort, q JobRequest) (JobReply, error) {
	return peer.Call[JobRequest, JobReply](ctx, c.peers, to, statePath, &q)
}

// Submit submits a job to the owner of its pool, which stores it.
func (c *Client) Submit(ctx context.Context, to netip.AddrPort, spec job.Spec) (SubmitReply, error) {
	return peer.Call[job.Spec, SubmitReply](ctx, c.peers, to, submitPath, &spec)
}

// Seal asks the owner of a pool for a job and seals the job's route there.
func (c *Client) Seal(ctx context.Context, to netip.AddrPort, r SealRequest) (PresenceReply, error) {
	return peer.Call[SealRequest, PresenceReply](ctx, c.peers, to, sealPath, &r)
}

// Cancel asks the owner of a pool to cancel a job.
func (c *Client) Cancel(ctx context.Context, to netip.AddrPort, q JobRequest) (PresenceReply, error) {
	return peer.Call[JobRequest, PresenceReply](ctx, c.peers, to, cancelPath, &q)
}

// Pending asks the owner of a pool how many jobs of a route have not started.
func (c *Client) Pending(ctx context.Context, to netip.AddrPort, p PendingRequest) (PendingReply, error) {
	return peer.Call[PendingRequest, PendingReply](ctx, c.peers, to, pendingPath, &p)
}

// Owns asks an instance whether it owns a shard.
func (c *Client) Owns(ctx context.Context, to netip.AddrPort, p PoolRequest) (OwnsReply, error) {
	return peer.Call[PoolRequest, OwnsReply](ctx, c.peers, to, ownsPath, &p)
}

// Accepts asks an instance whether it can take over a shard.
func (c *Client) Accepts(ctx context.Context, to netip.AddrPort, p PoolRequest) (AcceptsReply, error) {
	return peer.Call[PoolRequest, AcceptsReply](ctx, c.peers, to, acceptsPath, &p)
}

// Store asks an instance to append records.
func (c *Client) Store(ctx context.Context, to netip.AddrPort, s StoreRequest) (StoreReply, error) {
	return peer.Call[StoreRequest, StoreReply](ctx, c.peers, to, storePath, &s)
}

// Cordon sends orders for the workers of a pool and returns the load of the pool.
func (c *Client) Cordon(ctx context.Context, to netip.AddrPort, cordon CordonRequest) (machines.Load, error) {
	return peer.Call[CordonRequest, machines.Load](ctx, c.peers, to, cordonPath, &cordon)
}

// NewHandler returns the HTTP handler for requests of other instances.
func NewHandler(s Service) http.Handler {
	mux := http.NewServeMux()
	peer.Handle(mux, statePath, func(ctx context.Context, m *JobRequest) (JobReply, error) { return s.HandleState(ctx, *m) })
	peer.Handle(mux, submitPath, func(ctx context.Context, m *job.Spec) (SubmitReply, error) { return s.HandleSubmit(ctx, *m) })
	peer.Handle(mux, sealPath, func(ctx context.Context, m *SealRequest) (PresenceReply, error) { return s.HandleSeal(ctx, *m) })
	peer.Handle(mux, cancelPath, func(ctx context.Context, m *JobRequest) (PresenceReply, error) { return s.HandleCancel(ctx, *m) })
	peer.Handle(mux, pendingPath, func(ctx context.Context, m *PendingRequest) (PendingReply, error) { return s.HandlePending(ctx, *m) })
	peer.Handle(mux, ownsPath, func(ctx context.Context, m *PoolRequest) (OwnsReply, error) { return s.HandleOwns(ctx, *m) })
	peer.Handle(mux, acceptsPath, func(ctx context.Context, m *PoolRequest) (AcceptsReply, error) { return s.HandleAccepts(ctx, *m) })
	peer.Handle(mux, storePath, func(ctx context.Context, m *StoreRequest) (StoreReply, error) { return s.HandleStore(ctx, *m) })
	peer.Handle(mux, cordonPath, func(ctx context.Context, m *CordonRequest) (machines.Load, error) { return s.HandleCordon(ctx, *m) })
	peer.Handle(mux, appendPath, func(ctx context.Context, m *AppendRequest) (AppendReply, error) { return s.HandleAppend(ctx, *m) })
	peer.Handle(mux, readPath, func(ctx context.Context, m *ReadRequest) (ReadReply, error) { return s.HandleRead(ctx, *m) })
	return mux
}
