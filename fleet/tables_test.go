package fleet

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/internal/control/store"
	"marigoldshed.example/marigoldshed/quota"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const sample = `pool web size=3 budget=1 # test
pool batch size=1 budget=0 # test
spare admin size=1 budget=1 # test
team red share=1 limit=10 # test
`

// log is an in-memory control stream.
type log struct {
	t       *testing.T
	records [][]byte
}

func (l *log) add(record Record) Envelope { return l.addAt(start, record) }

func (l *log) addAt(at time.Time, record Record) Envelope {
	l.t.Helper()
	envelope, err := NewEnvelope(at, "test", record)
	if err != nil {
		l.t.Fatal(err)
	}
	l.addEnvelope(envelope)
	return envelope
}

func (l *log) addEnvelope(envelope Envelope) {
	l.t.Helper()
	data, err := envelope.Encode()
	if err != nil {
		l.t.Fatal(err)
	}
	l.records = append(l.records, data)
}

// applyTo applies the records that tables lacks and returns the last outcome.
func (l *log) applyTo(tables *Tables) Outcome {
	l.t.Helper()
	var last Outcome
	for offset, data := range l.records {
		if int64(offset) < tables.Offset {
			continue
		}
		var err error
		if last, err = tables.Apply(int64(offset), data); err != nil {
			l.t.Fatal(err)
		}
	}
	return last
}

func newJoin(n int) Join {
	return Join{
		Member: id.Member(fmt.Sprintf("e%d@1", n)), Entry: id.Entry(fmt.Sprintf("e%d", n)), DataCentre: "dc1",
		Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80),
	}
}

func newListing(n int, pool id.Pool) store.ListedInstance {
	return store.ListedInstance{
		Instance: id.Instance(fmt.Sprintf("w%d", n)), DataCentre: "dc1", Rack: "r1", Pool: pool, Slots: 8,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(n)}), 80),
	}
}

// newSampleLog returns a log with two members, three web workers, one batch worker and a spare.
func newSampleLog(t *testing.T) *log {
	l := &log{t: t}
	l.add(Apply{Text: sample})
	l.add(newJoin(1))
	l.add(newJoin(2))
	l.add(Enroll{Listed: []store.ListedInstance{newListing(1, "web"), newListing(2, "web"), newListing(3, "web"), newListing(4, "batch"), newListing(5, "admin")}})
	return l
}

func TestOutcomes(t *testing.T) {
	tests := []struct {
		name   string
		before []Record
		record Record
		want   string // part of the refusal, empty when the record takes effect
	}{
		{"a rules file on the version in force", nil, Apply{Base: 1, Text: sample + "out dc1 # test\n"}, ""},
		{"a rules file on an older version", []Record{Apply{Base: 1, Text: sample}}, Apply{Base: 1, Text: sample}, "based on version 1, version 2 is in force"},
		{"an invalid rules file", nil, Apply{Base: 1, Text: "pool"}, "refused"},
		{"an edit that makes the rules file invalid", nil, Edit{Set: []string{"queue q pool=none for=red # test"}}, "no pool is called"},
		{"a drain within the budget", nil, Drain{Instance: "w1", Reason: ForReboot}, ""},
		{"a drain above the budget", []Record{Drain{Instance: "w1", Reason: ForReboot}}, Drain{Instance: "w2", Reason: ForReboot}, "2 instances serve and 2 must"},
		{"a failure counts against the budget", []Record{Fail{Instances: []id.Instance{"w1"}}}, Drain{Instance: "w2", Reason: ForReboot}, "2 instances serve and 2 must"},
		{"a pool without a budget", nil, Drain{Instance: "w4", Reason: ForMove, Pool: "web"}, "pool batch"},
		{"a data centre that is out counts against the budget", []Record{Edit{Set: []string{"out dc1 # test"}}}, Drain{Instance: "w1", Reason: ForReboot}, "0 instances serve"},
		{"a second move of an instance that is draining", []Record{Drain{Instance: "w5", Reason: ForMove, Pool: "web"}}, Drain{Instance: "w5", Reason: ForMove, Pool: "batch"}, "is draining"},
		{"a lapse of a member that has renewed", []Record{Renew{Member: "e1@1", Seq: 1}}, Lapse{Member: "e1@1", Seq: 0, Proof: ProofRefused}, "has renewed"},
		{"a lapse by silence that leaves half of the members", nil, Lapse{Member: "e1@1", Proof: ProofSilence}, ""},
		{"a lapse by silence that leaves too few members", []Record{Lapse{Member: "e1@1", Proof: ProofSilence}}, Lapse{Member: "e2@1", Proof: ProofSilence}, "too few"},
		{"a renewal of a lapsed member", []Record{Lapse{Member: "e1@1", Proof: ProofRefused}}, Renew{Member: "e1@1", Seq: 1}, "has lapsed"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newSampleLog(t)
			for _, record := range tt.before {
				l.add(record)
			}
			l.add(tt.record)
			got := l.applyTo(NewTables())
			if tt.want == "" && got.Refused != "" || tt.want != "" && !strings.Contains(got.Refused, tt.want) {
				t.Errorf("refused %q, want %q", got.Refused, tt.want)
			}
		})
	}
}

func TestDuplicateRecordTakesEffectOnce(t *testing.T) {
	l := newSampleLog(t)
	envelope := l.add(Edit{Set: []string{"out dc1 # test"}})
	l.addEnvelope(envelope)
	tables := NewTables()
	if got := l.applyTo(tables); got.Refused != duplicateReason || tables.Version != 2 {
		t.Errorf("second copy: refused %q at version %d, want a refusal as a duplicate at version 2", got.Refused, tables.Version)
	}
}

func TestReplicasAgree(t *testing.T) {
	l := newSampleLog(t)
	l.add(Drain{Instance: "w1", Reason: ForReboot, Wave: "x"})
	l.add(Lapse{Member: "e2@1", Proof: ProofRefused})
	l.add(Settle{Member: "e1@1", Lapsed: "e2@1", Moved: []quota.Transfer{
		{From: "e1@1", To: "e2@1", Team: "red", Total: 5}, {From: "e2@1", To: "e1@1", Team: "red", Total: 2},
	}})
	first := NewTables()
	l.applyTo(first)
	snapshot, err := first.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	second, err := Load(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	l.add(Clear{Member: "e1@1", Drains: []DrainID{{Instance: "w1", Offset: 4}}})
	l.add(Restore{Instances: []id.Instance{"w1"}})
	l.applyTo(first)
	l.applyTo(second)
	a, _ := first.Snapshot()
	b, _ := second.Snapshot()
	if first.Digest != second.Digest || !bytes.Equal(a, b) {
		t.Errorf("tables loaded from a snapshot differ:\n%s\n%s", a, b)
	}
	if !first.Instances["w1"].Waves.Has("x") {
		t.Error("the reboot did not count for its wave")
	}
	if got := first.Ledger.Teams["red"].Outstanding(); got != 10 {
		t.Errorf("%d slots are outstanding, want 10", got)
	}
}

func TestDrainWaitsForEveryMember(t *testing.T) {
	l := newSampleLog(t)
	l.add(Drain{Instance: "w1", Reason: ForMove, Pool: "batch"})
	l.add(Clear{Member: "e1@1", Drains: []DrainID{{Instance: "w1", Offset: 4}}})
	l.add(Lapse{Member: "e2@1", Proof: ProofRefused})
	tables := NewTables()
	l.applyTo(tables)
	if got := tables.Instances["w1"]; got.State != Draining || got.Pool != "web" {
		t.Fatalf("w1 is %s in %s before the accounts of a lapsed member are settled, want draining in web", got.State, got.Pool)
	}
	l.add(Settle{Member: "e1@1", Lapsed: "e2@1"})
	l.applyTo(tables)
	if got := tables.Instances["w1"]; got.State != Up || got.Pool != "batch" {
		t.Errorf("w1 is %s in %s, want up in batch", got.State, got.Pool)
	}
}

func TestNewerFormatIsNotApplied(t *testing.T) {
	l := newSampleLog(t)
	tables := NewTables()
	l.applyTo(tables)
	offset := tables.Offset
	envelope, _ := NewEnvelope(start, "test", Gone{})
	envelope.Format = Format + 1
	data, _ := envelope.Encode()
	_, err := tables.Apply(offset, data)
	var format FormatError
	if !errors.As(err, &format) || tables.Offset != offset {
		t.Errorf("Apply() = %v at offset %d, want a FormatError and offset %d", err, tables.Offset, offset)
	}
}

// TestClockSkew checks that times in records, which come from members' clocks, affect only the order of
// maintenance: a member whose clock is a day ahead or behind changes no state of an instance or member.
func TestClockSkew(t *testing.T) {
	records := []Record{
		Drain{Instance: "w1", Reason: ForReboot}, Lapse{Member: "e2@1", Seq: 0, Proof: ProofRefused},
		Settle{Member: "e1@1", Lapsed: "e2@1"}, Clear{Member: "e1@1", Drains: []DrainID{{Instance: "w1", Offset: 4}}},
		Restore{Instances: []id.Instance{"w1"}}, Drain{Instance: "w2", Reason: ForReboot},
	}
	var states []string
	for _, skew := range []time.Duration{0, 24 * time.Hour, -24 * time.Hour} {
		l := newSampleLog(t)
		for n, record := range records {
			l.addAt(start.Add(skew*time.Duration(n%2)), record)
		}
		tables := NewTables()
		l.applyTo(tables)
		states = append(states, fmt.Sprint(tables.Instances["w1"].State, tables.Instances["w2"].State, tables.Live()))
	}
	if states[0] != states[1] || states[0] != states[2] {
		t.Errorf("states differ by clock skew: %v", states)
	}
}

func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"v":1,"id":"x","kind":"apply","body":{"text":"pool a size=1 budget=0 # x"}}`))
	f.Add([]byte(`{"v":1,"id":"y","kind":"drain","body":{"instance":"w1","reason":"move","pool":"a"}}`))
	f.Add([]byte(`{"v":9}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, b := NewTables(), NewTables()
		_, errA := a.Apply(0, data)
		_, errB := b.Apply(0, data)
		if (errA == nil) != (errB == nil) || a.Digest != b.Digest {
			t.Fatalf("two replicas differ after record %q", data)
		}
	})
}

// BenchmarkReplayDay replays a day's records at the two-year target: 260 changes, 12 failures, 77
// restarts, 33 maintenance reboots, and the renewals of 20 members every 20 seconds.
func BenchmarkReplayDay(b *testing.B) {
	l := &log{t: &testing.T{}}
	text := &strings.Builder{}
	for n := range 79 {
		fmt.Fprintf(text, "pool p%d size=11 budget=3 # x\nqueue q%d pool=p%d for=t%d # x\n", n, n, n, n%65)
	}
	for n := range 65 {
		fmt.Fprintf(text, "team t%d share=1 limit=200 # x\n", n)
	}
	l.add(Apply{Text: text.String()})
	for n := range 20 {
		l.add(newJoin(n))
	}
	for n := range 910 {
		listing := newListing(n%250, id.Pool(fmt.Sprintf("p%d", n%79)))
		listing.Instance = id.Instance(fmt.Sprintf("w%d", n))
		l.add(Enroll{Listed: []store.ListedInstance{listing}})
	}
	setupRecords := len(l.records)
	for n := range 260 {
		l.add(Edit{Set: []string{fmt.Sprintf("cutoff dc%d hold=%dm # x", n%5, n+1)}})
	}
	for n := range 122 {
		name := id.Instance(fmt.Sprintf("w%d", n))
		l.add(Fail{Instances: []id.Instance{name}})
		l.add(Restore{Instances: []id.Instance{name}})
	}
	for n := range 20 * 24 * 180 {
		l.add(Renew{Member: newJoin(n % 20).Member, Seq: n})
	}
	b.ReportMetric(float64(len(l.records)-setupRecords), "records")
	b.ReportAllocs()
	for b.Loop() {
		tables := NewTables()
		for offset, data := range l.records {
			if _, err := tables.Apply(int64(offset), data); err != nil {
				b.Fatal(err)
			}
		}
	}
}

func BenchmarkSnapshot(b *testing.B) {
	tables := NewTables()
	for n := range 910 {
		listing := newListing(n%250, "p")
		tables.Instances[id.Instance(fmt.Sprintf("w%d", n))] = &Instance{Address: listing.Address, Pool: "p", State: Up}
	}
	b.ReportAllocs()
	size := 0
	for b.Loop() {
		data, err := tables.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "bytes")
}
