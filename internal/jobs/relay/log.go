package relay

import (
	"context"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/internal/jobs/stream"
	"marigoldshed.example/marigoldshed/peer"
)

// AppendRequest asks an instance to append the numbered records of an owner or, without records, to fence a table with
// the owner's epoch.
type AppendRequest struct {
	Table   stream.Table    `cbor:"1,keyasint"`
	Records []stream.Record `cbor:"2,keyasint,omitempty"`
	Writer  stream.Writer   `cbor:"3,keyasint"`
}

// AppendReply is the reply to an AppendRequest and carries the store's reply.
type AppendReply struct {
	Offset     int64 `cbor:"1,keyasint,omitempty"`
	Fenced     bool  `cbor:"2,keyasint,omitempty"` // a higher epoch is in force
	OutOfOrder bool  `cbor:"3,keyasint,omitempty"` // the sequence number is out of order
	Expected   int64 `cbor:"4,keyasint,omitempty"` // next sequence number in order
}

// NewAppendReply converts the outcome of an append to a reply, or returns the error if the store has not replied.
func NewAppendReply(offset int64, err error) (AppendReply, error) {
	var fenced stream.FencedError
	var sequence stream.SequenceError
	switch {
	case errors.As(err, &fenced):
		return AppendReply{Fenced: true}, nil
	case errors.As(err, &sequence):
		return AppendReply{OutOfOrder: true, Expected: sequence.Expected}, nil
	}
	return AppendReply{Offset: offset}, err
}

// ReadRequest asks an instance for the records of a table from an offset on.
type ReadRequest struct {
	Table stream.Table  `cbor:"1,keyasint"`
	From  int64         `cbor:"2,keyasint,omitempty"`
	Wait  time.Duration `cbor:"3,keyasint,omitempty"` // how long to wait for the first record
}

// ReadReply is the reply to a ReadRequest.
type ReadReply struct {
	Batch   stream.Batch `cbor:"1,keyasint"`
	Trimmed bool         `cbor:"2,keyasint,omitempty"` // the records are no longer stored
	First   int64        `cbor:"3,keyasint,omitempty"` // offset of the oldest stored record
}

// NewReadReply converts the outcome of a read to a reply, or returns the error if the store has not replied.
func NewReadReply(b stream.Batch, err error) (ReadReply, error) {
	var trimmed stream.TrimmedError
	if errors.As(err, &trimmed) {
		return ReadReply{Trimmed: true, First: trimmed.First}, nil
	}
	return ReadReply{Batch: b}, err
}

// Append asks an instance to append numbered records. It returns the same errors as stream.Log.
func (c *Client) Append(ctx context.Context, to netip.AddrPort, a AppendRequest) (int64, error) {
	answer, err := peer.Call[AppendRequest, AppendReply](ctx, c.peers, to, appendPath, &a)
	switch {
	case err != nil:
		return 0, err
	case answer.Fenced:
		return 0, stream.FencedError{Epoch: a.Writer.Epoch}
	case answer.OutOfOrder:
		return 0, stream.SequenceError{Expected: answer.Expected}
	}
	return answer.Offset, nil
}

// Read asks an instance to read records. It returns the same errors as stream.Log.
func (c *Client) Read(ctx context.Context, to netip.AddrPort, r ReadRequest) (stream.Batch, error) {
	answer, err := peer.Call[ReadRequest, ReadReply](ctx, c.peers, to, readPath, &r)
	switch {
	case err != nil:
		return stream.Batch{}, err
	case answer.Trimmed:
		return stream.Batch{}, stream.TrimmedError{First: answer.First}
	}
	return answer.Batch, nil
}
