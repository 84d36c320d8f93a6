package instance

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/relay"
	"marigoldshed.example/marigoldshed/internal/jobs/stream"
	"marigoldshed.example/marigoldshed/internal/observe/steady"
)

// downLog is a log that refuses every append.
type downLog struct {
	stream.Log
	appends int
}

func (l *downLog) Append(context.Context, stream.Table, []stream.Record, *stream.Writer) (int64, error) {
	l.appends++
	return 0, stream.NotDoneError{Reason: "down"}
}

// fakeOwner is the owner of a pool. The function submit handles a submitted job.
type fakeOwner struct {
	relay.Service
	submit func(ctx context.Context) (relay.SubmitReply, error)
}

func (o fakeOwner) HandleSubmit(ctx context.Context, _ job.Spec) (relay.SubmitReply, error) {
	return o.submit(ctx)
}

// TestSubmitRefusalMatchesOutcome submits a job while the store is down. The instance must report that the job does not
// run only if no owner can have stored it, and at once if the store has not replied for long.
func TestSubmitRefusalMatchesOutcome(t *testing.T) {
	tests := []struct {
		name    string
		take    func(ctx context.Context) (relay.SubmitReply, error)
		silence time.Duration // time since the last reply of the store to this instance
		refused bool
		within  time.Duration
		appends bool
	}{
		{"the owner holds it until the store is back", func(ctx context.Context) (relay.SubmitReply, error) {
			<-ctx.Done()
			return relay.SubmitReply{}, ctx.Err()
		}, 0, false, 3 * time.Second, true},
		{"the owner has taken it and ends", func(context.Context) (relay.SubmitReply, error) {
			return relay.SubmitReply{}, errors.New("ended")
		}, 0, false, 3 * time.Second, true},
		{"the owner has not taken it, the store may answer here", func(context.Context) (relay.SubmitReply, error) {
			return relay.SubmitReply{NotStored: true}, nil
		}, 0, true, 3 * time.Second, true},
		{"nobody reaches the store", func(context.Context) (relay.SubmitReply, error) {
			return relay.SubmitReply{NotStored: true}, nil
		}, 5 * time.Second, true, 300 * time.Millisecond, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(relay.NewHandler(fakeOwner{submit: test.take}))
			defer server.Close()
			log := &downLog{}
			n := New(Config{
				Settings: Settings{Peers: netip.MustParseAddrPort("127.0.0.1:1")}, Log: log, Clock: steady.Clock{},
				Peers: relay.NewClient(http.DefaultTransport), Logger: zap.NewNop(),
			})
			n.owners["p"] = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
			n.ownersKnown = true
			n.applyConfig(&catalog.Config{Version: 1})
			q := catalog.Queue{Name: "q", Pool: "p", Version: 1}
			n.addHolder(holder{route: q.Route(), pool: "p", version: 1})
			n.lastReply = n.config.Clock.Moment().Steady - test.silence
			ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
			defer cancel()
			began := time.Now()
			spec := job.Spec{ID: "5c0e7a21d94b36f8", Steps: []job.Step{{Count: 1}}}
			err := n.Submit(ctx, q, spec)
			var refused NotReadyError
			var unknown UnknownError
			if got := errors.As(err, &refused); got != test.refused || !got && !errors.As(err, &unknown) {
				t.Errorf("unexpected error: %v", err)
			}
			if took := time.Since(began); took > test.within || (log.appends > 0) != test.appends {
				t.Errorf("it took %v and %d appends", took, log.appends)
			}
		})
	}
}
