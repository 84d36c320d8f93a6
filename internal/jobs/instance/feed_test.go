package instance

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/stream"
	"marigoldshed.example/marigoldshed/internal/observe/steady"
)

// TestFeedTellsWhatItHasSeen checks as of when a feed reports its table to be applied: not before its first read, and not
// beyond a read that gets no answer.
func TestFeedTellsWhatItHasSeen(t *testing.T) {
	log := newMemoryLog()
	n := New(Config{Log: log, Clock: steady.Clock{}, Logger: zap.NewNop()})
	table := stream.Table{Name: "op"}
	if _, err := log.Append(t.Context(), table, []stream.Record{{Key: "config", Value: []byte{1}}}, nil); err != nil {
		t.Fatal(err)
	}
	var applied int
	f := &feed{
		instance: n, table: table, replace: func(all []stream.Record) { applied += len(all) }, apply: func(stream.Record) { applied++ },
		onSeen: n.recordOperatorsSeen,
	}
	before := f.now()
	if err := f.load(t.Context()); err != nil {
		t.Fatal(err)
	}
	loaded := n.operatorsSeen()
	if loaded < before || loaded > f.now() || applied != 1 {
		t.Errorf("after the first read: seen as of %v, %d records applied; want a time after %v and 1", loaded, applied, before)
	}
	time.Sleep(20 * time.Millisecond)
	if n.operatorsSeen() != loaded {
		t.Error("the time has moved on without a read")
	}
	if err := f.follow(t.Context()); err != nil {
		t.Fatal(err)
	}
	if n.operatorsSeen() <= loaded {
		t.Errorf("after the next read: seen as of %v, want later than %v", n.operatorsSeen(), loaded)
	}
}
