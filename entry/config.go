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

// Config holds everything that an entry instance needs.
type Config struct {
	Entry      id.Entry
	DataCentre id.DataCentre
	Peer       netip.AddrPort   // where other members reach this one
	Seeds      []netip.AddrPort // members to ask when the log is out at the start

	Log       store.Log
	Fleet     store.Fleet
	Endpoints endpoint.Runner
	Peers     peer.Network

	Order   queue.Order // nil means DelayRatio with the default weights
	Timing  Timing
	Logger  *zap.Logger
	Metrics *Metrics
	Planted Planted
}

// Timing holds the intervals of an entry instance; zero fields take the defaults.
type Timing struct {
	Tick                  time.Duration // between looks at the tables
	BusyHeartbeatInterval time.Duration // between heartbeats while demand changes
	IdleHeartbeatInterval time.Duration // between heartbeats while nothing changes
	LogWait               time.Duration // a read of the log waits so long for a record
	LogTimeout            time.Duration // bounds one call of the platform
	Renew                 time.Duration // between renewals of the member's lease
	Contact               time.Duration // a member not heard for so long is out of contact
	TaskLease             time.Duration // a task runs so long without a renewal
	ListEvery             time.Duration // between reads of the platform's list
	GoneAfter             time.Duration // an instance is missing from the list for so long before it is forgotten
	Propose               time.Duration // before the same proposal is made again
	SpareAfter            time.Duration // a pool is short for so long before it borrows
	SpareHold             time.Duration // an instance stays so long before it may go back
	FailAfter             time.Duration // an instance does not answer for so long before it counts as failed
	Snapshot              int64         // records between snapshots
}

// WithDefaults returns the timing with fields that are zero filled in.
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
	set(&t.Renew, 20*time.Second)
	set(&t.Contact, 3*time.Second)
	set(&t.TaskLease, 10*time.Second)
	set(&t.ListEvery, 2*time.Second)
	set(&t.GoneAfter, time.Minute)
	set(&t.Propose, time.Second)
	set(&t.SpareAfter, time.Second)
	set(&t.SpareHold, 20*time.Second)
	set(&t.FailAfter, 2*time.Second)
	if t.Snapshot == 0 {
		t.Snapshot = 500
	}
	return t
}

// Time that each member adds to the least time between heartbeats: the cost of a heartbeat grows with the members
// it goes to.
const (
	busyPerMember = 35 * time.Millisecond
	idlePerMember = 100 * time.Millisecond
)

// HeartbeatInterval returns the time between heartbeats among so many members, while requests wait or run and
// while none do.
func (t Timing) HeartbeatInterval(members int, busy bool) time.Duration {
	if busy {
		return max(t.BusyHeartbeatInterval, time.Duration(members)*busyPerMember)
	}
	return max(t.IdleHeartbeatInterval, time.Duration(members)*idlePerMember)
}

// Planted switches single mechanisms off, so that tests can show that their checks fail without
// them. Every field is zero outside tests.
type Planted struct {
	Pause              func() // called on the control thread at every tick, to bring about pauses
	IgnoreLimits       bool   // start work without a slot of the team's limit
	IgnoreWithdrawals  bool   // take keys that were withdrawn
	IgnoreOuts         bool   // start work in data centres that are out
	RetryUnknown       bool   // send a request again that may have run
	ClearEarly         bool   // confirm drains while requests still run
	IgnoreBudget       bool   // ask for reboots whether or not the budget holds
	ReserveNothing     bool   // forget idempotency keys
	SayNotRun          bool   // say not run of a request that may have run
	IgnoreLeaving      bool   // send work to instances that are draining
	TakeAnyKey         bool   // take a key's work for every queue
	KeepOldVersion     bool   // never take a new version of the rules into force
	AcceptShortAnswers bool   // pass a cut answer on as whole
}
