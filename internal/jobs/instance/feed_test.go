package instance

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
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

// waveCodec decodes each operators' record as a wave, which is withdrawn if the record has no value.
type waveCodec struct{ catalog.Codec }

func (waveCodec) Operator(r stream.Record) (catalog.Change, error) {
	number, err := strconv.Atoi(r.Key)
	return catalog.WaveChange{Wave: catalog.Wave{Number: number}, Removed: len(r.Value) == 0}, err
}

// TestReloadForgetsWithdrawnWaves guards against the maintenance of instances for a wave whose withdrawal was in records that the
// store had dropped before this instance read them.
func TestReloadForgetsWithdrawnWaves(t *testing.T) {
	n := New(Config{Clock: steady.Clock{}, Logger: zap.NewNop(), Codec: waveCodec{}})
	announced := func(number string) stream.Record { return stream.Record{Key: number, Value: []byte{1}} }
	n.replaceOperators([]stream.Record{announced("1"), announced("2")})
	n.replaceOperators([]stream.Record{announced("2"), announced("3")})
	var numbers []int
	for _, w := range n.operatorSettings().Waves {
		numbers = append(numbers, w.Number)
	}
	slices.Sort(numbers)
	if want := []int{2, 3}; !slices.Equal(numbers, want) {
		t.Errorf("waves %v after the second read of the table, want %v", numbers, want)
	}
}
