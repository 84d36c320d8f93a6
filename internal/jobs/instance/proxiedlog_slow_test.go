package instance

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/stream"
)

// slowReads is a log that delays all reads.
type slowReads struct {
	stream.Log
	takes time.Duration
	reads atomic.Int32
}

func (l *slowReads) Read(ctx context.Context, t stream.Table, from int64, wait time.Duration) (stream.Batch, error) {
	l.reads.Add(1)
	sleep(ctx, l.takes)
	return l.Log.Read(ctx, t, from, wait)
}

// TestSlowReadsAreNotProxied reads from a store that is slow but reachable, as when a large record goes to all
// instances at once. The read must not be sent a second time through a peer.
func TestSlowReadsAreNotProxied(t *testing.T) {
	log := &slowReads{Log: newMemoryLog(), takes: 800 * time.Millisecond}
	n, _ := newPair(t, log)
	if _, err := n.proxiedLog.Read(t.Context(), stream.Table{Name: "op"}, 0, 50*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	if reads := log.reads.Load(); reads != 1 {
		t.Errorf("the store received %d reads, want 1", reads)
	}
}
