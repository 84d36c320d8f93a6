package fleet

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/quota"
	"marigoldshed.example/marigoldshed/rules"
)

// maxOutcomes limits how many past proposals the tables keep the outcome of.
const maxOutcomes = 1024

// Tables is the control state after every record up to an offset.
type Tables struct {
	Offset          int64                     `json:"offset"` // offset of the next record to apply
	Clock           time.Time                 `json:"clock"`  // newest time in any record so far
	Version         int                       `json:"version"`
	Text            string                    `json:"text"`
	Digest          uint64                    `json:"digest"`
	Instances       map[id.Instance]*Instance `json:"instances"`
	Members         map[id.Member]*Member     `json:"members"`
	Ledger          quota.Ledger              `json:"ledger"`
	Outcomes        []Outcome                 `json:"outcomes"`
	SeenDataCentres map[id.DataCentre]bool    `json:"past"` // data centres in which a member has ever joined
	Successors      []Successor               `json:"successors,omitempty"`

	// IgnoreBudget allows planned stops that violate the disruption budget, so that tests can show that
	// their check detects the violation. It is false outside tests.
	IgnoreBudget bool `json:"-"`

	rules      *rules.Set
	outcomeIDs id.Set[string]
}

// Outcome is the result of one proposal.
type Outcome struct {
	ID      string `json:"id"`
	Version int    `json:"version"` // rules version in force after the proposal
	Refused string `json:"refused,omitempty"`
}

// NewTables returns the tables as they are before the first record.
func NewTables() *Tables {
	return &Tables{
		Instances:       map[id.Instance]*Instance{},
		Members:         map[id.Member]*Member{},
		Ledger:          quota.NewLedger(),
		SeenDataCentres: map[id.DataCentre]bool{},
		rules:           &rules.Set{},
		outcomeIDs:      id.Set[string]{},
	}
}

// Rules returns the rules in force.
func (t *Tables) Rules() *rules.Set { return t.rules }

// Apply applies the record at an offset to the tables and returns its outcome. If the record needs a
// newer program, Apply fails with FormatError and changes nothing. A record that is in the log twice
// takes effect once.
func (t *Tables) Apply(offset int64, data []byte) (Outcome, error) {
	if offset < t.Offset {
		return Outcome{Refused: duplicateReason}, nil
	}
	envelope, decodeErr := Decode(data)
	if decodeErr == nil && envelope.Format > Format {
		return Outcome{}, FormatError{Format: envelope.Format}
	}
	outcome := t.decide(offset, envelope, decodeErr)
	t.advance(offset, data, outcome)
	return outcome, nil
}

// duplicateReason is the reason for refusing the second copy of a record.
const duplicateReason = "repeated"

func (t *Tables) decide(offset int64, envelope Envelope, decodeErr error) Outcome {
	if decodeErr != nil {
		return Outcome{Refused: "unreadable"}
	}
	if envelope.At.After(t.Clock) {
		t.Clock = envelope.At
	}
	outcome := Outcome{ID: envelope.ID}
	if t.outcomeIDs.Has(envelope.ID) {
		outcome.Refused = duplicateReason
		return outcome
	}
	record, err := envelope.Record()
	if err == nil {
		err = t.apply(offset, record)
	}
	if err != nil {
		outcome.Refused = err.Error()
	}
	if _, ok := record.(Renew); !ok {
		t.settleAccounts()
		t.assignMissingSuccessors()
		t.finishDrains()
	}
	outcome.Version = t.Version
	t.recordOutcome(record, outcome)
	return outcome
}

func (t *Tables) apply(offset int64, record Record) error {
	switch r := record.(type) {
	case Apply:
		return t.applyText(r)
	case Edit:
		return t.applyEdit(r)
	case Join:
		return t.join(offset, r)
	case Renew:
		return t.renew(r)
	case Leave:
		return t.leave(r)
	case Lapse:
		return t.lapse(r)
	case Settle:
		return t.settle(r)
	case Exchange:
		return t.exchange(r)
	case Enroll:
		return t.enroll(r)
	case Gone:
		return t.removeInstances(r)
	case Drain:
		return t.drain(offset, r)
	case Clear:
		return t.clear(r)
	case Fail:
		return t.fail(r)
	case Restore:
		return t.restore(r)
	}
	return errors.Errorf("no rule for a record of kind %s", record.kind())
}

func (t *Tables) advance(offset int64, data []byte, outcome Outcome) {
	t.Offset = offset + 1
	digest := xxhash.New()
	_, _ = fmt.Fprintf(digest, "%d %d %s %s", t.Digest, offset, outcome.ID, outcome.Refused)
	_, _ = digest.Write(data)
	t.Digest = digest.Sum64()
}

// recordOutcome stores the outcome of a proposal that may be queried or sent again, which excludes lease renewals.
func (t *Tables) recordOutcome(record Record, outcome Outcome) {
	if _, ok := record.(Renew); ok {
		return
	}
	t.outcomeIDs.Add(outcome.ID)
	t.Outcomes = append(t.Outcomes, outcome)
	if len(t.Outcomes) > maxOutcomes {
		t.outcomeIDs.Remove(t.Outcomes[0].ID)
		t.Outcomes = t.Outcomes[1:]
	}
}

// Outcome returns the outcome of a proposal and whether the tables still have it.
func (t *Tables) Outcome(proposal string) (Outcome, bool) {
	if !t.outcomeIDs.Has(proposal) {
		return Outcome{}, false
	}
	for _, outcome := range t.Outcomes {
		if outcome.ID == proposal {
			return outcome, true
		}
	}
	return Outcome{}, false
}

// Snapshot returns the tables in the encoding that Load reads.
func (t *Tables) Snapshot() ([]byte, error) {
	data, err := json.Marshal(t)
	return data, errors.Annotate(err, "encoding a snapshot")
}

// Load decodes the tables from a snapshot.
func Load(snapshot []byte) (*Tables, error) {
	t := NewTables()
	if err := json.Unmarshal(snapshot, t); err != nil {
		return nil, errors.Annotate(err, "decoding a snapshot")
	}
	for _, outcome := range t.Outcomes {
		t.outcomeIDs.Add(outcome.ID)
	}
	if t.Text == "" {
		return t, nil
	}
	set, err := rules.Parse(t.Text)
	if err != nil {
		return nil, errors.Annotate(err, "reading the rules of a snapshot")
	}
	t.rules = set
	return t, nil
}

// sortedKeys returns a table's keys in order, so that every member iterates over it in the same order.
func sortedKeys[K ~string, V any](table map[K]V) []K {
	keys := make([]K, 0, len(table))
	for key := range table {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
