package instance

import (
	"context"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// lateLog is a log whose appends are sent late.
type lateLog struct {
	stream.Log
	sent chan stream.Writer
}

func (l *lateLog) Append(_ context.Context, _ stream.Table, _ []stream.Record, w *stream.Writer) (int64, error) {
	time.Sleep(100 * time.Millisecond)
	l.sent <- *w
	return 0, stream.NotDoneError{Reason: "late"}
}

// TestLateAttemptKeepsItsNumber guards against a loss that the soak has shown (seed 1008): one of two attempts of an append came after
// the other had succeeded, under the number of the next append, which the log then took for a repeat.
func TestLateAttemptKeepsItsNumber(t *testing.T) {
	table := stream.Table{Name: "jobs.p", Part: 1}
	n, logs := newPair(t, newMemoryLog())
	late := &lateLog{Log: logs[0].Log, sent: make(chan stream.Writer, 1)}
	logs[0].Log = late
	n.proxiedLog.unreachableUntil = n.proxiedLog.now() + time.Minute // so that both attempts are made at once
	writer := stream.Writer{Epoch: 5, Sequence: 1}
	if _, err := n.proxiedLog.Append(t.Context(), table, []stream.Record{{Key: "a", Value: []byte{1}}}, &writer); err != nil {
		t.Fatal(err)
	}
	writer.Sequence++
	if got, want := <-late.sent, (stream.Writer{Epoch: 5, Sequence: 1}); got != want {
		t.Errorf("the late attempt is sent as %+v, want %+v", got, want)
	}
}
