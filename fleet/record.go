package fleet

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/internal/control/store"
	"marigoldshed.example/marigoldshed/quota"
	"marigoldshed.example/marigoldshed/rules"
)

// Format is the newest format of records that this program understands.
const Format = 1

// Envelope is one record as it is encoded in the log.
type Envelope struct {
	Format int             `json:"v"`
	ID     string          `json:"id"`
	At     time.Time       `json:"at"`
	By     string          `json:"by"`
	Kind   string          `json:"kind"`
	Body   json.RawMessage `json:"body"`
}

// Record is a change that a member proposes; Tables.Apply decides whether it takes effect.
type Record interface{ kind() string }

// Apply proposes a whole rules file in place of the version it is based on.
type Apply struct {
	Base int    `json:"base"`
	Text string `json:"text"`
}

// Edit proposes to set or remove single rules in the version that is in force when the record is applied.
type Edit struct {
	Set    []string    `json:"set,omitempty"`
	Remove []rules.Ref `json:"remove,omitempty"`
}

// Join adds a member that serves at an address.
type Join struct {
	Member     id.Member      `json:"member"`
	Entry      id.Entry       `json:"entry"`
	DataCentre id.DataCentre  `json:"dc"`
	Peer       netip.AddrPort `json:"peer"`
}

// Renew extends a member's lease.
type Renew struct {
	Member id.Member `json:"member"`
	Seq    int       `json:"seq"`
}

// Leave removes a member that has stopped all its work; Moved lists the limit slots
// that it transferred to or received from others.
type Leave struct {
	Member id.Member        `json:"member"`
	Moved  []quota.Transfer `json:"moved,omitempty"`
}

// Lapse declares a member ended, unless the member has renewed its lease after renewal Seq.
type Lapse struct {
	Member id.Member `json:"member"`
	Seq    int       `json:"seq"`
	Proof  string    `json:"proof"`
}

// Settle states that a member has closed its account with a lapsed member, and which limit slots they had exchanged.
type Settle struct {
	Member id.Member        `json:"member"`
	Lapsed id.Member        `json:"lapsed"`
	Moved  []quota.Transfer `json:"moved,omitempty"`
}

// Exchange reports the limit slots that a member has received from other members or returned to the ledger.
type Exchange struct {
	Member   id.Member             `json:"member"`
	Moved    []quota.Transfer      `json:"moved,omitempty"`
	Returned []quota.ReturnedTotal `json:"returned,omitempty"`
}

// Enroll adds instances that the platform lists.
type Enroll struct {
	Listed []store.ListedInstance `json:"listed"`
}

// Gone removes instances that the platform no longer lists.
type Gone struct {
	Instances []id.Instance `json:"instances"`
}

// Drain proposes to take an instance out of service for a reason.
type Drain struct {
	Instance id.Instance `json:"instance"`
	Reason   Reason      `json:"reason"`
	Pool     id.Pool     `json:"pool,omitempty"`
	Wave     string      `json:"wave,omitempty"`
}

// Clear states that a member sends nothing more to draining instances and has nothing running there.
type Clear struct {
	Member id.Member `json:"member"`
	Drains []DrainID `json:"drains"`
}

// DrainID identifies one drain of one instance by the offset of the drain's record.
type DrainID struct {
	Instance id.Instance `json:"instance"`
	Offset   int64       `json:"offset"`
}

// Fail takes instances that do not answer out of service.
type Fail struct {
	Instances []id.Instance `json:"instances"`
}

// Restore brings instances back into service.
type Restore struct {
	Instances []id.Instance `json:"instances"`
}

func (Apply) kind() string    { return "apply" }
func (Edit) kind() string     { return "edit" }
func (Join) kind() string     { return "join" }
func (Renew) kind() string    { return "renew" }
func (Leave) kind() string    { return "leave" }
func (Lapse) kind() string    { return "lapse" }
func (Settle) kind() string   { return "settle" }
func (Exchange) kind() string { return "exchange" }
func (Enroll) kind() string   { return "enroll" }
func (Gone) kind() string     { return "gone" }
func (Drain) kind() string    { return "drain" }
func (Clear) kind() string    { return "clear" }
func (Fail) kind() string     { return "fail" }
func (Restore) kind() string  { return "restore" }

// FormatError reports a record of a format that this program does not understand.
type FormatError struct{ Format int }

// Error returns the format.
func (e FormatError) Error() string {
	return fmt.Sprintf("record of format %d, this program knows %d", e.Format, Format)
}

// NewEnvelope wraps a record for the log under a fresh id.
func NewEnvelope(at time.Time, by string, record Record) (Envelope, error) {
	body, err := json.Marshal(record)
	if err != nil {
		return Envelope{}, errors.Annotatef(err, "encoding a record of kind %s", record.kind())
	}
	return Envelope{Format: Format, ID: uuid.NewString(), At: at.UTC().Round(0), By: by, Kind: record.kind(), Body: body}, nil
}

// Encode returns the envelope in the encoding of the log.
func (e Envelope) Encode() ([]byte, error) {
	data, err := json.Marshal(e)
	return data, errors.Annotatef(err, "encoding record %s", e.ID)
}

// Decode reads an envelope from the encoding of the log.
func Decode(data []byte) (Envelope, error) {
	var e Envelope
	err := json.Unmarshal(data, &e)
	return e, errors.Annotate(err, "decoding a record")
}

// Record returns the typed record; it fails with FormatError for a newer format.
func (e Envelope) Record() (Record, error) {
	if e.Format > Format {
		return nil, FormatError{Format: e.Format}
	}
	switch e.Kind {
	case "apply":
		return decode[Apply](e.Body)
	case "edit":
		return decode[Edit](e.Body)
	case "join":
		return decode[Join](e.Body)
	case "renew":
		return decode[Renew](e.Body)
	case "leave":
		return decode[Leave](e.Body)
	case "lapse":
		return decode[Lapse](e.Body)
	case "settle":
		return decode[Settle](e.Body)
	case "exchange":
		return decode[Exchange](e.Body)
	case "enroll":
		return decode[Enroll](e.Body)
	case "gone":
		return decode[Gone](e.Body)
	case "drain":
		return decode[Drain](e.Body)
	case "clear":
		return decode[Clear](e.Body)
	case "fail":
		return decode[Fail](e.Body)
	case "restore":
		return decode[Restore](e.Body)
	}
	return nil, errors.Errorf("no record is of kind %q", e.Kind)
}

func decode[R Record](body json.RawMessage) (Record, error) {
	var record R
	if err := json.Unmarshal(body, &record); err != nil {
		return nil, errors.Annotatef(err, "decoding a record of kind %s", record.kind())
	}
	return record, nil
}
