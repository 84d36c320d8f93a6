package pool

import (
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// Action is an order that the owner gives; its outcome comes back as an event.
type Action interface{ action() }

// StartAction orders a run; the outcome goes to Started.
type StartAction struct {
	To    worker.Target
	Start worker.Start
}

// StopAction ends a run; the outcome goes to StopAnswered.
type StopAction struct {
	To    worker.Target
	Run   worker.Run
	Fence int64
}

// LookAction renews a worker's lease and asks what it runs; the outcome goes to Looked.
type LookAction struct {
	To     worker.Target
	Hold   worker.Hold
	Urgent bool          // beside a look that waits for an end
	Sent   time.Duration // steady time of the decision
}

// PaceAction lets a run work at a share; the outcome goes to Paced.
type PaceAction struct {
	To      worker.Target
	Run     worker.Run
	Percent int
	Fence   int64
}

func (StartAction) action() {}
func (StopAction) action()  {}
func (LookAction) action()  {}
func (PaceAction) action()  {}

// Actions returns the orders decided since the last call.
func (p *Pool) Actions() []Action {
	taken := p.actions
	p.actions = nil
	return taken
}
