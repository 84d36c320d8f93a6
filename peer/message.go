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

// Beat is what a member tells each other member from time to time, and at once when it wants slots,
// hands some over or has heard of a restriction.
type Beat struct {
	Member       id.Member        `cbor:"1,keyasint"`
	DataCentre   id.DataCentre    `cbor:"2,keyasint"`
	Address      netip.AddrPort   `cbor:"3,keyasint"`
	Offset       int64            `cbor:"4,keyasint"`           // next offset to apply
	Version      int              `cbor:"5,keyasint"`           // rules in force
	Digest       uint64           `cbor:"6,keyasint"`           // digest at Offset
	Age          time.Duration    `cbor:"7,keyasint"`           // age of the newest log read that Offset rests on
	Claims       []Claim          `cbor:"8,keyasint,omitempty"` // in terms of the rules of Version
	Wants        []Want           `cbor:"9,keyasint,omitempty"`
	Given        []quota.Transfer `cbor:"10,keyasint,omitempty"`
	Restrictions []Restriction    `cbor:"11,keyasint,omitempty"`
	Hears        []id.DataCentre  `cbor:"12,keyasint,omitempty"` // data centres heard of late
	From         int64            `cbor:"14,keyasint,omitempty"` // offset of the first of Records
	Records      [][]byte         `cbor:"15,keyasint,omitempty"` // for a member that is behind and may not be able to ask
	Stopping     bool             `cbor:"13,keyasint,omitempty"`
}

// Claim is a member's demand of one team in one pool; both are named by their place in the rules file,
// which keeps a claim to a few bytes.
type Claim struct {
	_       struct{} `cbor:",toarray"`
	Pool    uint16
	Team    uint16
	Running uint32 // slots
	Waiting uint32 // requests
	Oldest  uint32 // age of the oldest waiting request, in milliseconds
}

// Pack turns claims into those of a message.
func Pack(set *rules.Set, claims []queue.Demand) []Claim {
	pools := make(map[id.Pool]uint16, len(set.Pools))
	for i, pool := range set.Pools {
		pools[pool.Name] = uint16(i)
	}
	teams := make(map[id.Team]uint16, len(set.Teams))
	for i, team := range set.Teams {
		teams[team.Name] = uint16(i)
	}
	packed := make([]Claim, 0, len(claims))
	for _, claim := range claims {
		packed = append(packed, Claim{
			Pool: pools[claim.Pool], Team: teams[claim.Team], Running: uint32(claim.Running),
			Waiting: uint32(claim.Waiting), Oldest: uint32(claim.Oldest.Milliseconds()),
		})
	}
	return packed
}

// Unpack turns a member's claims back; those that the rules do not name are left out.
func Unpack(set *rules.Set, member id.Member, packed []Claim) []queue.Demand {
	claims := make([]queue.Demand, 0, len(packed))
	for _, claim := range packed {
		if int(claim.Pool) >= len(set.Pools) || int(claim.Team) >= len(set.Teams) {
			continue
		}
		claims = append(claims, queue.Demand{
			Member: member, Pool: set.Pools[claim.Pool].Name, Team: set.Teams[claim.Team].Name,
			Running: int(claim.Running), Waiting: int(claim.Waiting), Oldest: time.Duration(claim.Oldest) * time.Millisecond,
		})
	}
	return claims
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

// Pull asks for the records from an offset on.
type Pull struct {
	From int64 `cbor:"1,keyasint"`
}

// Records answers a Pull; when the first wanted record is not kept, Snapshot holds the tables.
type Records struct {
	From     int64         `cbor:"1,keyasint"`
	Data     [][]byte      `cbor:"2,keyasint,omitempty"`
	Snapshot []byte        `cbor:"3,keyasint,omitempty"`
	Age      time.Duration `cbor:"4,keyasint"`
}

// Relay asks a member to append a record to the log for one that cannot reach it.
type Relay struct {
	Data []byte `cbor:"1,keyasint"`
}

// Reserve asks a member of a key's home data centre to remember an attempt, and with Spread to have
// the other members of its data centre remember it too.
type Reserve struct {
	Attempt attempt.Attempt `cbor:"1,keyasint"`
	Spread  bool            `cbor:"2,keyasint,omitempty"`
}

// Reserved answers a Reserve; First is the attempt that stands in the way, if any.
type Reserved struct {
	Granted bool             `cbor:"1,keyasint"`
	Reason  string           `cbor:"2,keyasint,omitempty"`
	First   *attempt.Attempt `cbor:"3,keyasint,omitempty"`
}

// Finish tells what a reserved attempt has come to.
type Finish struct {
	Attempt attempt.Attempt `cbor:"1,keyasint"`
}

// Recall asks for the attempts that a member remembers.
type Recall struct{}

// Recalled answers a Recall.
type Recalled struct {
	Attempts []attempt.Attempt `cbor:"1,keyasint,omitempty"`
}

// Ask asks the member that answers for a task.
type Ask struct {
	Task   string        `cbor:"1,keyasint"`
	Team   id.Team       `cbor:"2,keyasint"`
	Cancel bool          `cbor:"3,keyasint,omitempty"`
	Wait   time.Duration `cbor:"4,keyasint,omitempty"` // for the task's end
}

// Told answers an Ask.
type Told struct {
	Found bool      `cbor:"1,keyasint"`
	Task  task.Task `cbor:"2,keyasint"`
}
