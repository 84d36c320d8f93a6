package catalog

import (
	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// Change is a change that operators or workers have published.
type Change interface{ change() }

// ConfigChange activates a configuration.
type ConfigChange struct{ Config *Config }

// EvacuationChange evacuates a data centre or restores it.
type EvacuationChange struct {
	DataCentre id.DataCentre
	Evacuated  bool
}

// WaveChange announces a maintenance wave or withdraws it.
type WaveChange struct {
	Wave    Wave
	Removed bool
}

// WorkerChange is the entry of one worker. Worker is nil if the entry was removed.
type WorkerChange struct {
	ID     string
	Worker *Worker
}

func (ConfigChange) change()     {}
func (EvacuationChange) change() {}
func (WaveChange) change()       {}
func (WorkerChange) change()     {}

// Codec reads and writes the platform's records.
type Codec interface {
	// Operator decodes a record of the operators' table; it returns nil for a key that this program does not use.
	Operator(r stream.Record) (Change, error)
	// Worker decodes a record of the workers' table.
	Worker(r stream.Record) (WorkerChange, error)
	// WaveStatus encodes whether a maintenance wave is done.
	WaveStatus(number int, done bool) (stream.Record, error)
}
