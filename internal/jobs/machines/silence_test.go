package machines

import (
	"slices"
	"testing"
	"time"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
)

// TestGoneNeedsAListFromAfterTheQuestion checks when a list of instances shows that a silent worker has ended.
func TestGoneNeedsAListFromAfterTheQuestion(t *testing.T) {
	silences := []Silence{{Worker: "w", Instance: "m", Number: 7}}
	tests := []struct {
		name   string
		listed time.Duration
		list   []catalog.Instance
		want   []int64
	}{
		{"the instance has no worker", 2 * time.Second, []catalog.Instance{{Name: "m", State: catalog.Down}}, []int64{7}},
		{"the instance has a later worker", 2 * time.Second, []catalog.Instance{{Name: "m", State: catalog.Up, Worker: "v"}}, []int64{7}},
		{"the instance still has the worker", 2 * time.Second, []catalog.Instance{{Name: "m", State: catalog.Up, Worker: "w"}}, nil},
		{"the list is older than the question", time.Second - 1, []catalog.Instance{{Name: "m", State: catalog.Down}}, nil},
		{"the list lacks the instance", 2 * time.Second, []catalog.Instance{{Name: "n", State: catalog.Down}}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := goneSince(silences, time.Second, test.listed, test.list); !slices.Equal(got, test.want) {
				t.Errorf("gone %v, want %v", got, test.want)
			}
		})
	}
}
