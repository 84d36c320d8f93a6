package store

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
)

// Log is the platform's append-only log service.
type Log interface {
	// Append adds a record to a stream; after an error the record may or may not stand in the log.
	Append(ctx context.Context, stream string, data []byte) error
	// Read returns the records from an offset on and waits up to a time for the first one.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error)
}

// Fleet is the platform's view of its instances.
type Fleet interface {
	// List returns the live and leaving instances, with a lag.
	List(ctx context.Context) ([]Listed, error)
	// Reboot restarts an instance once for each token and returns when it no longer serves.
	Reboot(ctx context.Context, instance id.Instance, token string) error
}

// Batch is a run of records of one stream.
type Batch struct {
	First   int64    `json:"first"` // oldest offset that the log still keeps
	Next    int64    `json:"next"`  // offset after the newest record of the stream
	Records []Stored `json:"records"`
}

// Stored is one record at its offset.
type Stored struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Listed is one instance of the platform's list.
type Listed struct {
	Instance     id.Instance    `json:"instance"`
	Address      netip.AddrPort `json:"address"`
	DataCentre   id.DataCentre  `json:"dc"`
	Rack         id.Rack        `json:"rack"`
	Pool         id.Pool        `json:"pool"` // the pool that the platform made it for
	Slots        int            `json:"slots"`
	Processors   int            `json:"processors"`
	MemoryBytes  int64          `json:"memory"`
	Accelerators int            `json:"accelerators"`
	Leaving      bool           `json:"leaving"`
}

// Names of the log's streams.
const (
	ControlStream  = "control"
	SnapshotStream = "snapshots"
)

// StatusError reports that the platform answered with a status other than success.
type StatusError struct {
	Operation string
	Status    int
}

// Error returns the operation and the status.
func (e StatusError) Error() string {
	return fmt.Sprintf("store: %s answered %d", e.Operation, e.Status)
}
