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

// Heartbeat is what a member tells each other member from time to time, and at once when it wants slots,
// hands some over or has heard of a restriction.
type Heartbeat struct {
	Member               id.Member        `cbor:"1,keyasint"`
	DataCentre           id.DataCentre    `cbor:"2,keyasint"`
	Address              netip.AddrPort   `cbor:"3,keyasint"`
	Offset               int64            `cbor:"4,keyasint"`           // next offset to apply
	Version              int              `cbor:"5,keyasint"`           // rules in force
	Digest               uint64           `cbor:"6,keyasint"`           // digest at Offset
	Age                  time.Duration    `cbor:"7,keyasint"`           // age of the newest log read that Offset rests on
	Demands              []Demand         `cbor:"8,keyasint,omitempty"` // in terms of the rules of Version
	Wants                []Want           `cbor:"9,keyasint,omitempty"`
	Transfers            []quota.Transfer `cbor:"10,keyasint,omitempty"`
	Restrictions         []Restriction    `cbor:"11,keyasint,omitempty"`
	ReachableDataCentres []id.DataCentre  `cbor:"12,keyasint,omitempty"` // data centres that heartbeats have recently come from
	From                 int64            `cbor:"14,keyasint,omitempty"` // offset of the first of Records
	Records              [][]byte         `cbor:"15,keyasint,omitempty"` // for a member that is behind and may not be able to ask
	Stopping             bool             `cbor:"13,keyasint,omitempty"`
}

// Demand is a member's demand of one team in one pool; both are named by their place in the rules file,
// which keeps a demand to a few bytes.
type Demand struct {
	_       struct{} `cbor:",toarray"`
	Pool    uint16
	Team    uint16
	Running uint32 // slots
	Waiting uint32 // requests
	Oldest  uint32 // age of the oldest waiting request, in milliseconds
}

// Pack turns demands into those of a message.
func Pack(set *rules.Set, demands []queue.Demand) []Demand {
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

// Unpack turns a member's demands back; those that the rules do not name are left out.
func Unpack(set *rules.Set, member id.Member, packed []Demand) []queue.Demand {
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

// Want is a number of slots of a team's limit that a member could use now.
type Want struct {
	Team   id.Team       `cbor:"1,keyasint"`
	Count  int           `cbor:"2,keyasint"`
	Oldest time.Duration `cbor:"3,keyasint"` // age of the oldest request that waits for one
}

// Restriction is an operator's change that only takes away, on its way to the log.
type Restriction struct {
	ID   string        `cbor:"1,keyasint"` // id of the record that carries it
	Edit fleet.Edit    `cbor:"2,keyasint"`
	By   string        `cbor:"3,keyasint"`
	Age  time.Duration `cbor:"4,keyasint"` // time since an operator gave it
}

// Ack answers a message that wants no content.
type Ack struct{}

// PullRequest asks for the records from an offset on.
type PullRequest struct {
	From int64 `cbor:"1,keyasint"`
}

// PullReply answers a PullRequest; when the first wanted record is not kept, Snapshot holds the tables.
type PullReply struct {
	From     int64         `cbor:"1,keyasint"`
	Data     [][]byte      `cbor:"2,keyasint,omitempty"`
	Snapshot []byte        `cbor:"3,keyasint,omitempty"`
	Age      time.Duration `cbor:"4,keyasint"`
}

// Relay asks a member to append a record to the log for one that cannot reach it.
type Relay struct {
	Data []byte `cbor:"1,keyasint"`
}

// ReserveRequest asks a member of a key's home data centre to remember an attempt, and with Spread to have
// the other members of its data centre remember it too.
type ReserveRequest struct {
	Attempt attempt.Attempt `cbor:"1,keyasint"`
	Spread  bool            `cbor:"2,keyasint,omitempty"`
}

// ReserveReply answers a ReserveRequest; First is the attempt that stands in the way, if any.
type ReserveReply struct {
	Granted bool             `cbor:"1,keyasint"`
	Reason  string           `cbor:"2,keyasint,omitempty"`
	First   *attempt.Attempt `cbor:"3,keyasint,omitempty"`
}

// Finish tells what a reserved attempt has come to.
type Finish struct {
	Attempt attempt.Attempt `cbor:"1,keyasint"`
}

// RecallRequest asks for the attempts that a member remembers.
type RecallRequest struct{}

// RecallReply answers a RecallRequest.
type RecallReply struct {
	Attempts []attempt.Attempt `cbor:"1,keyasint,omitempty"`
}

// TaskRequest asks the member that answers for a task.
type TaskRequest struct {
	Task   string        `cbor:"1,keyasint"`
	Team   id.Team       `cbor:"2,keyasint"`
	Cancel bool          `cbor:"3,keyasint,omitempty"`
	Wait   time.Duration `cbor:"4,keyasint,omitempty"` // for the task's end
}

// TaskReply answers a TaskRequest.
type TaskReply struct {
	Found bool      `cbor:"1,keyasint"`
	Task  task.Task `cbor:"2,keyasint"`
}
