package pool

import (
	"sync/atomic"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/worker"
)

// Action is an order that the owner sends. Its outcome is passed to the method named at each action.
type Action interface{ action() }

// StartAction starts a run; the outcome goes to RecordStart.
type StartAction struct {
	To      worker.Target
	Start   worker.Start
	Decided time.Duration // steady time of the decision
	revoked *atomic.Bool  // shared with the run
}

// IsRevoked reports whether the run has been stopped since the decision. It may be called on any goroutine.
func (a StartAction) IsRevoked() bool { return a.revoked != nil && a.revoked.Load() }

// StopAction ends a run; the outcome goes to RecordStop.
type StopAction struct {
	To    worker.Target
	Run   worker.Run
	Fence int64
}

// PollAction polls a worker: it renews the lease and asks which runs the worker has; the outcome goes to RecordPoll.
type PollAction struct {
	To      worker.Target
	Renewal worker.LeaseRenewal
	Urgent  bool          // sent while another poll waits for the end of a run
	Sent    time.Duration // steady time of the decision
}

// PaceAction limits a run to a percentage of its full speed; the outcome goes to RecordPace.
type PaceAction struct {
	To      worker.Target
	Run     worker.Run
	Percent int
	Fence   int64
}

func (StartAction) action() {}
func (StopAction) action()  {}
func (PollAction) action()  {}
func (PaceAction) action()  {}

// Actions returns the orders decided since the last call.
func (p *Pool) Actions() []Action {
	actions := p.actions
	p.actions = nil
	return actions
}
