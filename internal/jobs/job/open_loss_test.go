package job

import (
	"testing"

	"marigoldshed.example/marigoldshed/internal/encoding/cbor"
)

// TestOpenLossCountsWhilePresumed checks that an open loss counts as a crash only once it is presumed, and until it is
// resolved.
func TestOpenLossCountsWhilePresumed(t *testing.T) {
	var c CrashRecord
	c.Suspend(OpenLoss{Run: 3, Crash: Crash{Certain: true}})
	if c.Total() != 0 || c.Empty() {
		t.Errorf("an open loss counts %d, want 0 and a record that is kept", c.Total())
	}
	if !c.Presume(3) || c.Presume(3) || c.Presume(4) {
		t.Error("a loss is to be presumed once, and only if it is there")
	}
	if c.Total() != 1 || c.TotalShown() != 1 || c.Crashes != 0 || c.Certain != 0 {
		t.Errorf("presumed: %+v", c)
	}
	if !c.Resolve(3) || c.Resolve(3) || c.Total() != 0 || !c.Empty() {
		t.Errorf("resolved: %+v", c)
	}
	for run := range 2 * maxOpenLosses {
		c.Suspend(OpenLoss{Run: run})
	}
	if len(c.Open) != maxOpenLosses || c.Open[0].Run != maxOpenLosses {
		t.Errorf("%d losses from run %d on are kept, want the newest %d", len(c.Open), c.Open[0].Run, maxOpenLosses)
	}
}

// TestCrashRecordOfAnEarlierVersion checks that counts without their evidence, as an earlier version stored them, are read.
func TestCrashRecordOfAnEarlierVersion(t *testing.T) {
	earlier := struct {
		Crashes int `cbor:"1,keyasint"`
		Certain int `cbor:"8,keyasint"`
		Shown   int `cbor:"9,keyasint"`
	}{Crashes: 4, Certain: 3, Shown: 7}
	data, err := cbor.Marshal(earlier)
	if err != nil {
		t.Fatal(err)
	}
	var c CrashRecord
	if err := cbor.Unmarshal(data, &c); err != nil {
		t.Fatal(err)
	}
	if c.Total() != 4 || c.TotalShown() != 3 || c.Shown != 7 || len(c.Open) != 0 {
		t.Errorf("read %+v", c)
	}
}
