package instance

import (
	"errors"
	"strings"
	"testing"

	"marigoldshed.example/marigoldshed/internal/jobs/job"
)

// TestInvalidIDsNameNoJob guards against a pool that stood still after a DELETE with an overlong ID: no job can have an ID that a
// submission may not have, so the answer needs no owner and nothing is stored.
func TestInvalidIDsNameNoJob(t *testing.T) {
	w := newCancelWorld(t, routeConfig(3, "q", "old"))
	n := w.start(routeConfig(3, "q", "old"))
	for _, name := range []job.ID{job.ID(strings.Repeat("5", 300)), "5c0e", "5c0e7a21d94b000x"} {
		if err := n.Cancel(t.Context(), w.queue(n, name), name); !errors.As(err, new(NoJobError)) {
			t.Errorf("the cancellation of %.20q is answered %v, want a NoJobError", name, err)
		}
		if _, err := n.State(t.Context(), w.queue(n, name), name); !errors.As(err, new(NoJobError)) {
			t.Errorf("the state of %.20q is answered %v, want a NoJobError", name, err)
		}
	}
}
