package entry

import (
	"net/netip"
	"time"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/endpoint"
	"marigoldshed.example/marigoldshed/internal/control/store"
	"marigoldshed.example/marigoldshed/peer"
	"marigoldshed.example/marigoldshed/queue"
)

// Config holds the settings and dependencies of an entry instance.
type Config struct {
	Entry      id.Entry
	DataCentre id.DataCentre
	Peer       netip.AddrPort   // address at which other members reach this one
	Seeds      []netip.AddrPort // members to pull records from if the log is unavailable at start

	Log       store.Log
	Fleet     store.Fleet
	Endpoints endpoint.Runner
	Peers     peer.Network

	Memory int64  // bytes that the process may use, 0 if unknown
	Bodies Bodies // memory for the bodies of requests

	Order          queue.Order // nil means DelayRatio with the default weights
	Timing         Timing
	Logger         *zap.Logger
	Metrics        *Metrics
	DisabledChecks DisabledChecks
}

// Timing holds the intervals of an entry instance. Zero fields take the defaults.
type Timing struct {
	Tick                  time.Duration // between iterations of the control loop
	BusyHeartbeatInterval time.Duration // least time between heartbeats while requests wait or run
	IdleHeartbeatInterval time.Duration // least time between heartbeats while no requests wait or run
	LogWait               time.Duration // how long a read of the log waits for a record
	LogTimeout            time.Duration // timeout of one call to the platform
	RenewInterval         time.Duration // between renewals of the member's lease
	ContactTimeout        time.Duration // a member is out of contact after this time without a heartbeat
	TaskLease             time.Duration // lease of a task sent to an endpoint
	ListInterval          time.Duration // between reads of the platform's instance list
	GoneTimeout           time.Duration // how long an instance is missing from the list before it is removed
	ProposeInterval       time.Duration // between repeats of the same proposal
	BorrowDelay           time.Duration // how long a pool is short of slots before it borrows an instance
	MinBorrowTime         time.Duration // how long an instance stays in a pool before it may be returned
	FailTimeout           time.Duration // how long an instance does not answer before it is marked failed
	SnapshotInterval      int64         // log records between snapshots
}

// WithDefaults returns a copy of the timing with zero fields set to their defaults.
func (t Timing) WithDefaults() Timing {
	set := func(field *time.Duration, value time.Duration) {
		if *field == 0 {
			*field = value
		}
	}
	set(&t.Tick, 50*time.Millisecond)
	set(&t.BusyHeartbeatInterval, 200*time.Millisecond)
	set(&t.IdleHeartbeatInterval, time.Second)
	set(&t.LogWait, time.Second)
	set(&t.LogTimeout, 2*time.Second)
	set(&t.RenewInterval, 20*time.Second)
	set(&t.ContactTimeout, 3*time.Second)
	set(&t.TaskLease, 10*time.Second)
	set(&t.ListInterval, 2*time.Second)
	set(&t.GoneTimeout, time.Minute)
	set(&t.ProposeInterval, time.Second)
	set(&t.BorrowDelay, time.Second)
	set(&t.MinBorrowTime, 20*time.Second)
	set(&t.FailTimeout, 2*time.Second)
	if t.SnapshotInterval == 0 {
		t.SnapshotInterval = 500
	}
	return t
}

// Heartbeat interval per member: the cost of a heartbeat grows with the number of members it is sent to.
const (
	busyPerMember = 35 * time.Millisecond
	idlePerMember = 100 * time.Millisecond
)

// HeartbeatInterval returns the time between heartbeats for a number of members. It is shorter while requests wait or
// run.
func (t Timing) HeartbeatInterval(members int, busy bool) time.Duration {
	if busy {
		return max(t.BusyHeartbeatInterval, time.Duration(members)*busyPerMember)
	}
	return max(t.IdleHeartbeatInterval, time.Duration(members)*idlePerMember)
}

// DisabledChecks disables single mechanisms, so that tests can show that their checks fail without them. All fields are
// zero outside tests.
type DisabledChecks struct {
	Pause                 func() // called on the control thread at every tick, to simulate pauses
	IgnoreLimits          bool   // start work without a free slot of the team's limit
	IgnoreWithdrawals     bool   // accept withdrawn keys
	IgnoreOuts            bool   // start work in data centres that were taken out
	RetryUnknown          bool   // retry requests that may have run
	ClearEarly            bool   // confirm drains while requests still run
	IgnoreBudget          bool   // drain instances even if that exceeds the disruption budget
	IgnoreIdempotencyKeys bool   // do not reserve idempotency keys
	ReportNotRun          bool   // report requests that may have run as not run
	IgnoreLeaving         bool   // send work to instances that are draining
	AcceptAnyKey          bool   // accept a key for every queue
	IgnoreNewRules        bool   // never apply a new version of the rules
	AcceptShortAnswers    bool   // forward truncated answers as complete
}
