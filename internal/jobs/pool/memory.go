package pool

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldshed.example/marigoldshed/internal/jobs/admission"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// Shares of the memory of an instance that jobs may take.
const (
	memoryShareOfPools = 2 // one part in so many for all pools that it owns
	memoryShareOfPool  = 6 // one part in so many for one pool
)

// CancellationBytes is the memory that a pool needs for the cancellation of a job that it does not have.
const CancellationBytes = 250

// cancellationShare is the part, one in so many, of the pool's limit for all of these cancellations.
const cancellationShare = 4

// maxMemoryRetry is the longest delay, in whole seconds, of a caller whose job found no memory.
const maxMemoryRetry = 3

// MemoryLimit returns the memory that the jobs of one pool may take, in bytes, at an instance with so much memory.
func MemoryLimit(memory int64) int64 { return memory / memoryShareOfPool }

// MemoryLimitBeside returns the memory that the jobs of one pool may take, in bytes, where those of the instance's other pools take so
// much. It is positive unless the memory is not known.
func MemoryLimitBeside(memory, others int64) int64 {
	if memory <= 0 {
		return 0
	}
	return max(1, min(MemoryLimit(memory), memory/memoryShareOfPools-others))
}

// SetMemoryLimit sets the memory that the jobs of the pool may take, in bytes; 0 means no limit.
func (p *Pool) SetMemoryLimit(bytes int64) { p.memory.SetLimit(bytes) }

// MemoryBytes returns the estimated memory of the pool's jobs, in bytes.
func (p *Pool) MemoryBytes() int64 { return p.memory.Used() }

// admitMemory returns an OverloadedError for a job that the memory of the pool does not suffice for.
func (p *Pool) admitMemory(spec *job.Spec) error {
	bytes := spec.MemoryBytes()
	if p.memory.Fits(spec.Team, bytes) {
		return nil
	}
	retry := memoryRetry(spec.ID)
	p.config.Observer.Rejected(spec, admission.Decision{Reason: admission.MemoryFull, Retry: retry})
	return OverloadedError{Wait: retry, Reason: admission.MemoryFull}
}

// AdmitCancellation returns an OverloadedError for the cancellation of a job that the pool does not have, if the pool keeps as many of
// these as its memory allows.
func (p *Pool) AdmitCancellation(name job.ID) error {
	_, known := p.jobs[name]
	if known || p.IsCancelled(name) || p.memory.Limit() <= 0 {
		return nil
	}
	if int64(len(p.cancelled))*CancellationBytes < p.memory.Limit()/cancellationShare {
		return nil
	}
	return OverloadedError{Wait: memoryRetry(name), Reason: admission.MemoryFull}
}

// memoryRetry spreads the callers that come back over some seconds.
func memoryRetry(name job.ID) time.Duration {
	return time.Duration(1+xxhash.Sum64String(string(name))%maxMemoryRetry) * time.Second
}

// charge counts the memory of a job, by what the pool keeps of it now.
func (p *Pool) charge(e *entry) {
	bytes := e.job.Spec.MemoryBytes()
	if e.released {
		bytes = e.job.Spec.ReleasedBytes()
	}
	p.memory.Add(e.job.Spec.Team, bytes-e.bytes)
	e.bytes = bytes
}

// discharge stops counting the memory of a job that the pool drops.
func (p *Pool) discharge(e *entry) {
	p.memory.Add(e.job.Spec.Team, -e.bytes)
	e.bytes = 0
}

// releaseTasks frees the tasks of an ended job once its end is stored and no run of it can exist.
func (p *Pool) releaseTasks(e *entry) {
	if e.released || e.dropAt == 0 || e.job.HasRuns() {
		return
	}
	e.released = true
	e.job.Release()
	e.advice, e.rescues, e.stepTimes, e.lengths = nil, map[job.Name]int{}, nil, nil
	p.charge(e)
}

// taskOf returns a task of the job, or one in its place if the tasks are freed; nil if the job has no such task.
func (e *entry) taskOf(name job.Name) *job.Task {
	if e.released && e.job.Spec.HasTask(name) {
		return &job.Task{Name: name, Done: e.job.State == job.Completed}
	}
	return e.job.Task(name)
}
