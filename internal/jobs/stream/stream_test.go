package stream

import (
	"testing"
	"time"
)

// TestBatchIsCompleteAsOf checks as of when a read shows all records of its table.
func TestBatchIsCompleteAsOf(t *testing.T) {
	const sent, wait = 7 * time.Second, time.Second
	tests := []struct {
		name  string
		batch Batch
		from  int64
		took  time.Duration
		want  time.Duration
	}{
		{"all records", Batch{Next: 4, End: 4}, 3, 2 * time.Second, sent},
		{"a part of the records", Batch{Next: 4, End: 5}, 3, 2 * time.Second, 0},
		{"records from an instance that reports no end", Batch{Next: 4}, 3, 2 * time.Second, 0},
		{"no records from an instance that reports no end", Batch{Next: 4}, 4, 2 * time.Second, sent + wait},
		{"no records, though the table has some", Batch{Next: 4, End: 5}, 4, 2 * time.Second, 0},
		{"no records for the whole wait", Batch{Next: 4, End: 4}, 4, 1100 * time.Millisecond, sent + wait},
		{"no records, answered early", Batch{Next: 4, End: 4}, 4, 900 * time.Millisecond, sent},
		{"no records, the reader was frozen", Batch{Next: 4, End: 4}, 4, 20 * time.Second, sent + wait},
	}
	for _, test := range tests {
		got := test.batch.CompleteAt(Reading{From: test.from, Wait: wait, Sent: sent, Answered: sent + test.took})
		if got != test.want {
			t.Errorf("%s: complete as of %v, want %v", test.name, got, test.want)
		}
	}
}
