package machines

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/stream"
	"marigoldshed.example/marigoldshed/internal/observe/steady"
)

// numberedLog answers a repeated sequence number as it answered the first append of that number.
type numberedLog struct {
	stream.Log
	newest      stream.Writer
	answered    int64 // offset returned for the newest append
	records     []stream.Record
	lostAppends int // appends that are lost before the log
	lostAnswers int // appends whose answers are lost
}

var errLost = errors.New("no answer")

func (l *numberedLog) Append(_ context.Context, _ stream.Table, records []stream.Record, w *stream.Writer) (int64, error) {
	if l.lostAppends > 0 {
		l.lostAppends--
		return 0, errLost
	}
	switch {
	case w.Epoch == l.newest.Epoch && w.Sequence == l.newest.Sequence:
	case w.Epoch == l.newest.Epoch && w.Sequence != l.newest.Sequence+1:
		return 0, stream.SequenceError{Expected: l.newest.Sequence + 1}
	default:
		l.newest, l.answered = *w, int64(len(l.records))
		l.records = append(l.records, records...)
	}
	if l.lostAnswers > 0 {
		l.lostAnswers--
		return 0, errLost
	}
	return l.answered, nil
}

// TestOrdersAfterAnUnansweredRecordAreStored loses an append or its answer, and guards against orders that are sent but
// not stored because the log takes the next record for a repetition: each order is in the log or is not sent.
func TestOrdersAfterAnUnansweredRecordAreStored(t *testing.T) {
	tests := []struct {
		name          string
		before, after int
	}{
		{"lost on its way", 1, 0},
		{"answer lost", 0, 1},
		{"two answers lost", 0, 2},
		{"all is well", 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, log := context.Background(), &numberedLog{}
			a := NewAutoscaler(AutoscalerConfig{Log: log, Clock: steady.Clock{}, Logger: zap.NewNop(), HolderCooldown: 3 * time.Second})
			a.writer = stream.Writer{Epoch: 7}
			now := a.config.Clock.Moment().Steady
			if err := a.record(ctx, now, []Action{MoveAction{Instance: "m0"}}); err != nil {
				t.Fatal(err)
			}
			log.lostAppends, log.lostAnswers = test.before, test.after
			recorded := 0
			for _, name := range []string{"m1", "m2", "m3", "m4"} {
				if err := a.record(ctx, now, []Action{MoveAction{Instance: name}}); err != nil {
					t.Log(name, err)
					continue
				}
				recorded++
				names, err := RecentlyOrdered(log.records[len(log.records)-1])
				if err != nil || !slices.Contains(names, name) {
					t.Errorf("%s gets an order, but the log names %v, error %v", name, names, err)
				}
			}
			if recorded < 2 {
				t.Errorf("only %d orders were recorded", recorded)
			}
		})
	}
}
