package entry

import (
	"testing"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/common/id"
)

// TestRequestsInFlight guards against requests of one team that keep out those of others while they wait, and against a part of the memory that
// stays taken after their end.
func TestRequestsInFlight(t *testing.T) {
	const limit, perRequest, body = 900, 4, 6
	f := newInFlight(Bodies{Limit: limit, PerRequest: perRequest})
	var ends []func()
	for {
		end, err := f.begin("red", body)
		if err != nil {
			var refused RefusedError
			if !errors.As(err, &refused) || refused.Status != statusTooMany || refused.RetryAfter <= 0 {
				t.Errorf("refused with %v, want 429 and a delay", err)
			}
			break
		}
		ends = append(ends, end)
	}
	if len(ends) < limit/2/(perRequest+body) || len(ends) >= limit/(perRequest+body) {
		t.Errorf("%d requests of one team are in flight, want more than half of what fits and not all", len(ends))
	}
	end, err := f.begin("blue", body)
	if err != nil {
		t.Fatalf("a request of another team: %v", err)
	}
	end()
	for _, end := range ends {
		end()
	}
	for _, team := range []id.Team{"red", "blue"} {
		if _, err := f.begin(team, body); err != nil {
			t.Errorf("a request of team %s after the others: %v", team, err)
		}
	}
	if used := f.buffer.Used(); used != 2*(perRequest+body) {
		t.Errorf("%d bytes are counted for two requests, want %d", used, 2*(perRequest+body))
	}
}
