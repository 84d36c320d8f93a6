package cbor

import (
	"testing"
	"time"
)

// TestTimesKeepTheirFraction guards against times that are cut to whole seconds: a scheduled job would start up to a
// second early, and a job submitted through another instance would look up to a second older than it is.
func TestTimesKeepTheirFraction(t *testing.T) {
	type record struct {
		At time.Time `cbor:"1,keyasint"`
	}
	want := record{At: time.UnixMilli(1_796_373_600_858)}
	data, err := Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	var got record
	if err := Unmarshal(data, &got); err != nil {
		t.Fatal(err)
	}
	if !got.At.Equal(want.At) {
		t.Errorf("decoded time %v, want %v", got.At, want.At)
	}
}

func TestInvalidValuesAreErrors(t *testing.T) {
	var number int
	if err := Unmarshal([]byte{0xff}, &number); err == nil {
		t.Error("an invalid value was decoded, want an error")
	}
	if _, err := Marshal(make(chan int)); err == nil {
		t.Error("a channel was encoded, want an error")
	}
}
