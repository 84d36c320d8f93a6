package cbor

import (
	"testing"
	"time"
)

// A time that loses its fraction starts a scheduled job up to a second before its time and makes a job
// that came by another instance look up to a second older than it is.
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
		t.Errorf("%v came back as %v", want.At, got.At)
	}
}

func TestFaultsNameTheType(t *testing.T) {
	var number int
	if err := Unmarshal([]byte{0xff}, &number); err == nil {
		t.Error("a broken value was decoded")
	}
	if _, err := Marshal(make(chan int)); err == nil {
		t.Error("a channel was encoded")
	}
}
