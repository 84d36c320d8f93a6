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
	// Append appends a record to a stream. After an error it is unknown whether the record is in the log.
	Append(ctx context.Context, stream string, data []byte) error
	// Read returns the records of a stream, starting at an offset. It waits up to the given time for the first one.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error)
}

// Fleet is the platform's interface to its instances.
type Fleet interface {
	// List returns the live and leaving instances. The list lags behind the platform.
	List(ctx context.Context) ([]ListedInstance, error)
	// Reboot restarts an instance once per token, and returns when the instance no longer serves.
	Reboot(ctx context.Context, instance id.Instance, token string) error
}

// Batch is a sequence of records of one stream.
type Batch struct {
	First   int64          `json:"first"` // oldest offset that is still in the log
	Next    int64          `json:"next"`  // offset after the newest record of the stream
	Records []StoredRecord `json:"records"`
}

// StoredRecord is one record and its offset.
type StoredRecord struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// ListedInstance is one instance in the platform's list.
type ListedInstance struct {
	Instance     id.Instance    `json:"instance"`
	Address      netip.AddrPort `json:"address"`
	DataCentre   id.DataCentre  `json:"dc"`
	Rack         id.Rack        `json:"rack"`
	Pool         id.Pool        `json:"pool"` // pool that the platform created the instance for
	Slots        int            `json:"slots"`
	Processors   int            `json:"processors"`
	MemoryBytes  int64          `json:"memory"`
	Accelerators int            `json:"accelerators"`
	Leaving      bool           `json:"leaving"`
}

// Names of the streams of the log.
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
