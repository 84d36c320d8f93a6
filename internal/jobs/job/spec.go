package job

import (
	"fmt"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
)

// ID identifies a job; the caller chooses it.
type ID string

// Name identifies one task: the member Index of one step in one occurrence of a job.
type Name struct {
	_          struct{} `cbor:",toarray"`
	Job        ID
	Occurrence int
	Step       int
	Index      int
}

// Step is a set of identical tasks that may run once the steps in After are done.
type Step struct {
	Count          int           `cbor:"1,keyasint"`
	CPU            int           `cbor:"2,keyasint,omitempty"` // thousandths of a core
	MemoryMB       int           `cbor:"3,keyasint,omitempty"`
	Accelerators   int           `cbor:"4,keyasint,omitempty"`
	Estimate       time.Duration `cbor:"5,keyasint,omitempty"` // declared duration of one task, often inaccurate
	After          []int         `cbor:"6,keyasint,omitempty"` // steps whose tasks must all be done first
	Gang           bool          `cbor:"7,keyasint,omitempty"` // the tasks make progress only while all of them run
	SameRack       bool          `cbor:"8,keyasint,omitempty"` // the tasks are much slower when spread over racks
	Label          string        `cbor:"9,keyasint,omitempty"` // label that the worker must have
	Rack           string        `cbor:"10,keyasint,omitempty"`
	PerWorker      int           `cbor:"11,keyasint,omitempty"` // maximum number of tasks on one worker, 0 for no limit
	Speculative    bool          `cbor:"12,keyasint,omitempty"`
	LongRunning    bool          `cbor:"13,keyasint,omitempty"` // runs until the job is cancelled
	Image          string        `cbor:"14,keyasint,omitempty"`
	Target         time.Duration `cbor:"15,keyasint,omitempty"` // tail latency that a serving task must keep
	BestEffort     bool          `cbor:"16,keyasint,omitempty"` // uses only processor time that other tasks leave
	MaxUnavailable int           `cbor:"17,keyasint,omitempty"` // tasks that may be voluntarily disrupted at once, 0 for no limit
}

// Policy is the queue's policy for a job at the time when the job was submitted.
type Policy struct {
	Priority int           `cbor:"1,keyasint,omitempty"` // 0 is the highest
	Attempts int           `cbor:"2,keyasint,omitempty"` // failed runs of a task that fail the job
	Stretch  float64       `cbor:"3,keyasint,omitempty"` // allowed duration as a multiple of the longest chain of steps
	Target   time.Duration `cbor:"4,keyasint,omitempty"` // allowed in addition to the stretched chain
	Advised  bool          `cbor:"5,keyasint,omitempty"` // each start needs a ticket of the advice service
}

// Spec is a job as its caller submitted it.
type Spec struct {
	ID       ID            `cbor:"1,keyasint"`
	Queue    string        `cbor:"2,keyasint"`
	Pool     string        `cbor:"3,keyasint"`
	Team     string        `cbor:"4,keyasint,omitempty"`
	Payload  string        `cbor:"5,keyasint,omitempty"` // opaque, passed to the workers unchanged
	Steps    []Step        `cbor:"6,keyasint"`
	Times    int           `cbor:"7,keyasint,omitempty"` // occurrences, 0 for a job that runs once and immediately
	First    time.Time     `cbor:"8,keyasint,omitzero"`
	Interval time.Duration `cbor:"9,keyasint,omitempty"`
	Policy   Policy        `cbor:"10,keyasint"`
	Accepted time.Time     `cbor:"11,keyasint"` // by the clock of the instance that accepted the job

	Route   catalog.Route `cbor:"12,keyasint,omitempty"` // of the queue
	Version int64         `cbor:"13,keyasint,omitempty"` // under which the pool held the route when the job was submitted
}

// MaxSteps is the largest number of steps of a job.
const MaxSteps = 64

// Limits on the jobs of callers.
const (
	maxTasks        = 20_000 // of all occurrences
	maxPayloadBytes = 4_000
	idDigits        = 16
)

// SpecError reports a job that is rejected because its Spec is invalid.
type SpecError struct{ Field, Reason string }

// Error returns the field and the reason for the rejection.
func (e SpecError) Error() string { return fmt.Sprintf("job: %s %s", e.Field, e.Reason) }

// Check returns a SpecError when the job's ID is malformed, a value is negative or exceeds a limit, or a step depends
// on itself or a later step.
func (s *Spec) Check() error {
	if !s.ID.IsValid() {
		return SpecError{Field: "id", Reason: "is not 16 hexadecimal digits"}
	}
	if len(s.Payload) > maxPayloadBytes {
		return SpecError{Field: "spec", Reason: fmt.Sprintf("has %d bytes, %d at most", len(s.Payload), maxPayloadBytes)}
	}
	if err := s.CheckSteps(); err != nil {
		return err
	}
	if s.Times < 0 || s.Interval < 0 {
		return SpecError{Field: "times", Reason: "are negative"}
	}
	tasks := s.tasks()
	if tasks > maxTasks {
		return SpecError{Field: "tasks", Reason: fmt.Sprintf("are %d, %d at most", tasks, maxTasks)}
	}
	if s.Times > maxTasks/tasks {
		return SpecError{Field: "tasks", Reason: fmt.Sprintf("are %d in each of %d occurrences, %d in all at most", tasks, s.Times, maxTasks)}
	}
	return nil
}

// CheckSteps returns a SpecError when a pool cannot work with the steps, whoever has sent or stored them.
func (s *Spec) CheckSteps() error {
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return SpecError{Field: "steps", Reason: fmt.Sprintf("are %d, 1 to %d are taken", len(s.Steps), MaxSteps)}
	}
	for i, step := range s.Steps {
		if err := step.check(i); err != nil {
			return err
		}
	}
	return nil
}

// tasks returns the number of tasks of one occurrence.
func (s *Spec) tasks() int {
	sum := 0
	for _, step := range s.Steps {
		sum += step.Count
	}
	return sum
}

func (s *Step) check(number int) error {
	field := fmt.Sprintf("step %d", number)
	if s.Count < 1 || s.Count > maxTasks {
		return SpecError{Field: field, Reason: fmt.Sprintf("has %d tasks", s.Count)}
	}
	if s.CPU < 0 || s.MemoryMB < 0 || s.Accelerators < 0 || s.Estimate < 0 || s.PerWorker < 0 || s.MaxUnavailable < 0 {
		return SpecError{Field: field, Reason: "has a negative amount"}
	}
	for _, before := range s.After {
		if before < 0 || before >= number {
			return SpecError{Field: field, Reason: fmt.Sprintf("waits for step %d, which is not an earlier one", before)}
		}
	}
	return nil
}

// IsValid reports whether callers may have chosen an ID: 16 hexadecimal digits.
func (id ID) IsValid() bool {
	if len(id) != idDigits {
		return false
	}
	for _, r := range id {
		if (r < '0' || r > '9') && (r < 'a' || r > 'f') && (r < 'A' || r > 'F') {
			return false
		}
	}
	return true
}

// Chain returns the declared length of the longest chain of steps.
func (s *Spec) Chain() time.Duration {
	return s.LongestChain(func(step int) time.Duration { return s.Steps[step].Estimate })
}

// LongestChain returns the length of the longest chain of steps, with the given length of each step.
func (s *Spec) LongestChain(length func(step int) time.Duration) time.Duration {
	var longest time.Duration
	lengths := make([]time.Duration, len(s.Steps))
	for i, step := range s.Steps {
		for _, before := range step.After {
			lengths[i] = max(lengths[i], lengths[before])
		}
		lengths[i] += length(i)
		longest = max(longest, lengths[i])
	}
	return longest
}

// Objective returns how long the job may take to be on time.
func (s *Spec) Objective() time.Duration {
	return time.Duration(s.Policy.Stretch*float64(s.Chain())) + s.Policy.Target
}

// Due returns when an occurrence may start.
func (s *Spec) Due(occurrence int) time.Time {
	if s.Times == 0 {
		return s.Accepted
	}
	return s.First.Add(time.Duration(occurrence) * s.Interval)
}

// Once reports whether the job runs once, starts immediately and ends without being cancelled.
func (s *Spec) Once() bool { return s.Times == 0 && !s.LongRunning() }

// LongRunning reports whether any step runs until the job is cancelled.
func (s *Spec) LongRunning() bool {
	for _, step := range s.Steps {
		if step.LongRunning {
			return true
		}
	}
	return false
}
