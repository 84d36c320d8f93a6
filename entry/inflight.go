package entry

import (
	"sync"
	"time"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/internal/control/buffer"
)

// Bodies is the memory for the bodies of the requests that wait or run on an entry instance.
type Bodies struct {
	Limit      int64 // bytes for all requests together, 0 for no limit
	PerRequest int64 // bytes that a request takes beside its body, for its connection
}

// inFlight divides the memory for bodies among the teams, so that the requests of one team which wait for its workers leave room for
// those of the others.
type inFlight struct {
	perRequest int64

	mu     sync.Mutex
	buffer *buffer.Buffer
}

func newInFlight(b Bodies) *inFlight {
	return &inFlight{perRequest: b.PerRequest, buffer: buffer.New(b.Limit)}
}

// retryInFlight is the delay of a caller whose team's requests in flight fill its part of the memory.
const retryInFlight = time.Second

// begin counts a request of a team with a body of a length until the returned function is called. It fails with a RefusedError if the
// team's part of the memory is used up.
func (f *inFlight) begin(team id.Team, length int) (end func(), err error) {
	bytes := f.perRequest + int64(length)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.buffer.Fits(string(team), bytes) {
		return nil, RefusedError{
			Status: statusTooMany, Reason: "too many requests of team " + string(team) + " are in flight on this instance", RetryAfter: retryInFlight,
		}
	}
	f.buffer.Add(string(team), bytes)
	return func() { f.end(team, bytes) }, nil
}

func (f *inFlight) end(team id.Team, bytes int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.buffer.Add(string(team), -bytes)
}
