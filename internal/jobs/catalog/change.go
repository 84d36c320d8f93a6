package catalog

import (
	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// Change is something that operators or workers have published.
type Change interface{ change() }

// ConfigChange puts a configuration into force.
type ConfigChange struct{ Config *Config }

// EvacuationChange takes a data centre out or brings it back.
type EvacuationChange struct {
	DataCentre id.DataCentre
	Out        bool
}

// WaveChange announces a maintenance wave or withdraws it.
type WaveChange struct {
	Wave    Wave
	Removed bool
}

// WorkerChange is the entry of one worker; Worker is nil when the entry is gone.
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
	// Operator decodes a record of the operators' table; a key that this program does not use gives nil.
	Operator(r stream.Record) (Change, error)
	// Worker decodes a record of the workers' table.
	Worker(r stream.Record) (WorkerChange, error)
	// WaveStatus encodes how far a wave is.
	WaveStatus(number int, done bool) (stream.Record, error)
}
