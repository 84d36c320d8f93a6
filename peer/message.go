package peer

import (
	"net/netip"
	"time"

	"marigoldshed.example/marigoldshed/attempt"
	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/fleet"
	"marigoldshed.example/marigoldshed/queue"
	"marigoldshed.example/marigoldshed/quota"
	"marigoldshed.example/marigoldshed/rules"
	"marigoldshed.example/marigoldshed/task"
)

// Heartbeat is the message that a member sends to each other member periodically, and at once when it requests or
// transfers slots or learns of a restriction.
type Heartbeat struct {
	Member               id.Member        `cbor:"1,keyasint"`
	DataCentre           id.DataCentre    `cbor:"2,keyasint"`
	Address              netip.AddrPort   `cbor:"3,keyasint"`
	Offset               int64            `cbor:"4,keyasint"`           // next offset to apply
	Version              int              `cbor:"5,keyasint"`           // version of the rules in force
	Digest               uint64           `cbor:"6,keyasint"`           // digest at Offset
	Age                  time.Duration    `cbor:"7,keyasint"`           // time since the newest log read that Offset reflects
	Demands              []Demand         `cbor:"8,keyasint,omitempty"` // pools and teams are indexes into the rules of Version
	SlotRequests         []SlotRequest    `cbor:"9,keyasint,omitempty"`
	Transfers            []quota.Transfer `cbor:"10,keyasint,omitempty"`
	Restrictions         []Restriction    `cbor:"11,keyasint,omitempty"`
	ReachableDataCentres []id.DataCentre  `cbor:"12,keyasint,omitempty"` // data centres that heartbeats have recently come from
	From                 int64            `cbor:"14,keyasint,omitempty"` // offset of the first of Records
	Records              [][]byte         `cbor:"15,keyasint,omitempty"` // for a receiver that is behind and may be unable to pull them
	Stopping             bool             `cbor:"13,keyasint,omitempty"`
}

// Demand is a member's demand of one team in one pool. Both are given by their index in the rules file, which keeps a
// demand to a few bytes.
type Demand struct {
	_       struct{} `cbor:",toarray"`
	Pool    uint16
	Team    uint16
	Running uint32 // slots
	Waiting uint32 // requests
	Oldest  uint32 // age of the oldest waiting request, in milliseconds
}

// PackDemands converts demands to the form of a message.
func PackDemands(set *rules.Set, demands []queue.Demand) []Demand {
	pools := make(map[id.Pool]uint16, len(set.Pools))
	for i, pool := range set.Pools {
		pools[pool.Name] = uint16(i)
	}
	teams := make(map[id.Team]uint16, len(set.Teams))
	for i, team := range set.Teams {
		teams[team.Name] = uint16(i)
	}
	packed := make([]Demand, 0, len(demands))
	for _, demand := range demands {
		packed = append(packed, Demand{
			Pool: pools[demand.Pool], Team: teams[demand.Team], Running: uint32(demand.Running),
			Waiting: uint32(demand.Waiting), Oldest: uint32(demand.Oldest.Milliseconds()),
		})
	}
	return packed
}

// UnpackDemands converts the demands of a member's message back; it drops those of pools or teams that the rules do not have.
func UnpackDemands(set *rules.Set, member id.Member, packed []Demand) []queue.Demand {
	demands := make([]queue.Demand, 0, len(packed))
	for _, demand := range packed {
		if int(demand.Pool) >= len(set.Pools) || int(demand.Team) >= len(set.Teams) {
			continue
		}
		demands = append(demands, queue.Demand{
			Member: member, Pool: set.Pools[demand.Pool].Name, Team: set.Teams[demand.Team].Name,
			Running: int(demand.Running), Waiting: int(demand.Waiting), Oldest: time.Duration(demand.Oldest) * time.Millisecond,
		})
	}
	return demands
}

// SlotRequest is a member's request for slots of a team's limit that it could use now.
type SlotRequest struct {
	Team   id.Team       `cbor:"1,keyasint"`
	Count  int           `cbor:"2,keyasint"`
	Oldest time.Duration `cbor:"3,keyasint"` // age of the oldest request that waits for a slot
}

// Restriction is an operator's change that only restricts; members apply it before they read it in the log.
type Restriction struct {
	ID   string        `cbor:"1,keyasint"` // ID of its record in the log
	Edit fleet.Edit    `cbor:"2,keyasint"`
	By   string        `cbor:"3,keyasint"`
	Age  time.Duration `cbor:"4,keyasint"` // time since the operator made the change
}

// Ack is the empty reply.
type Ack struct{}

// PullRequest asks for the records from an offset on.
type PullRequest struct {
	From int64 `cbor:"1,keyasint"`
}

// PullReply answers a PullRequest. If the member no longer keeps the first requested record, Snapshot holds the tables.
type PullReply struct {
	From     int64         `cbor:"1,keyasint"`
	Data     [][]byte      `cbor:"2,keyasint,omitempty"`
	Snapshot []byte        `cbor:"3,keyasint,omitempty"`
	Age      time.Duration `cbor:"4,keyasint"`
}

// Relay asks a member to append a record to the log, which the sender cannot reach.
type Relay struct {
	Data []byte `cbor:"1,keyasint"`
}

// ReserveRequest asks a member of a key's home data centre to remember an attempt; with Replicate, the member also has
// the other members of its data centre remember the attempt.
type ReserveRequest struct {
	Attempt   attempt.Attempt `cbor:"1,keyasint"`
	Replicate bool            `cbor:"2,keyasint,omitempty"`
}

// ReserveReply answers a ReserveRequest. Existing is the attempt that already uses the key, if any.
type ReserveReply struct {
	Granted  bool             `cbor:"1,keyasint"`
	Reason   string           `cbor:"2,keyasint,omitempty"`
	Existing *attempt.Attempt `cbor:"3,keyasint,omitempty"`
}

// Finish reports the outcome of a reserved attempt.
type Finish struct {
	Attempt attempt.Attempt `cbor:"1,keyasint"`
}

// RecallRequest asks for the attempts that a member remembers.
type RecallRequest struct{}

// RecallReply answers a RecallRequest.
type RecallReply struct {
	Attempts []attempt.Attempt `cbor:"1,keyasint,omitempty"`
}

// TaskRequest queries or cancels a task at the member that holds it.
type TaskRequest struct {
	Task   string        `cbor:"1,keyasint"`
	Team   id.Team       `cbor:"2,keyasint"`
	Cancel bool          `cbor:"3,keyasint,omitempty"`
	Wait   time.Duration `cbor:"4,keyasint,omitempty"` // longest wait for the end of the task
}

// TaskReply answers a TaskRequest.
type TaskReply struct {
	Found bool      `cbor:"1,keyasint"`
	Task  task.Task `cbor:"2,keyasint"`
}
