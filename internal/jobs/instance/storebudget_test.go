package instance

import (
	"context"
	"errors"
	"fmt"
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
	"marigoldshed.example/marigoldshed/peer"
)

// countingLog is a log that takes every append.
type countingLog struct {
	stream.Log
	appends int
}

func (l *countingLog) Append(context.Context, stream.Table, []stream.Record, *stream.Writer) (int64, error) {
	l.appends++
	return int64(l.appends), nil
}

// newBudgetInstance returns an instance whose budget suffices for two jobs of one task, and a queue. The owner of the queue's pool is a
// service, or nobody.
func newBudgetInstance(t *testing.T, log stream.Log, owner relay.Service) (*Instance, catalog.Queue) {
	t.Helper()
	spec := job.Spec{Steps: []job.Step{{Count: 1}}}
	n := New(Config{
		Settings: Settings{Peers: netip.MustParseAddrPort("127.0.0.1:1"), JobMemory: 2 * intakeShare * spec.MemoryBytes(), Retention: time.Hour},
		Log:      log, Clock: steady.Clock{}, Peers: relay.NewClient(http.DefaultTransport), Logger: zap.NewNop(), Metrics: NewMetrics(),
	})
	if owner != nil {
		server := httptest.NewServer(relay.NewHandler(owner))
		t.Cleanup(server.Close)
		n.owners["p"] = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	}
	n.ownersKnown = true
	n.applyConfig(&catalog.Config{Version: 1})
	q := catalog.Queue{Name: "q", Pool: "p", Version: 1}
	n.addHolder(holder{route: q.Route(), pool: "p", version: 1})
	n.lastReply = n.config.Clock.Moment().Steady
	return n, q
}

// TestStoreBudget guards against jobs that are accepted without a limit while the owner of their pool does not answer: it has to take all
// of them later. A job that the owner may have stored must not be reported as one that does not run.
func TestStoreBudget(t *testing.T) {
	tests := []struct {
		name  string
		owner relay.Service
		check func(error) bool
	}{
		{"no owner is known", nil, func(err error) bool { return errors.As(err, new(NotReadyError)) }},
		{"the owner has not taken it", fakeOwner{submit: func(context.Context) (relay.SubmitReply, error) {
			return relay.SubmitReply{NotStored: true}, nil
		}}, func(err error) bool { return errors.As(err, new(NotReadyError)) }},
		{"the owner may have taken it", fakeOwner{submit: func(context.Context) (relay.SubmitReply, error) {
			return relay.SubmitReply{}, errors.New("ended")
		}}, func(err error) bool { return errors.As(err, new(UnknownError)) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			log := &countingLog{}
			n, q := newBudgetInstance(t, log, test.owner)
			for number := range 4 {
				err := n.Submit(t.Context(), q, job.Spec{ID: job.ID(fmt.Sprintf("%016x", number)), Steps: []job.Step{{Count: 1}}})
				if number < 2 && err != nil {
					t.Errorf("job %d is rejected within the budget: %v", number, err)
				}
				if number >= 2 && !test.check(err) {
					t.Errorf("job %d beyond the budget: %v", number, err)
				}
			}
			if log.appends != 2 {
				t.Errorf("%d jobs were stored, want 2", log.appends)
			}
		})
	}
}

// TestLargeJobFitsTheWholeBudget guards against a job of legal size that no instance could ever store.
func TestLargeJobFitsTheWholeBudget(t *testing.T) {
	log := &countingLog{}
	n, q := newBudgetInstance(t, log, nil)
	if err := n.Submit(t.Context(), q, job.Spec{ID: "5c0e7a21d94b36f8", Steps: []job.Step{{Count: 1000}}}); err != nil || log.appends != 1 {
		t.Errorf("%v after %d appends, want one job stored", err, log.appends)
	}
}

// fullOwner is the owner of a pool that keeps no further cancellations.
type fullOwner struct{ relay.Service }

func (fullOwner) HandleCancel(context.Context, relay.JobRequest) (relay.PresenceReply, error) {
	return relay.PresenceReply{}, peer.OverloadedError{Reason: "full"}
}

// TestRejectedCancellationIsNotStored guards against cancellations that the owner has rejected and that it would have to take from the
// intake all the same.
func TestRejectedCancellationIsNotStored(t *testing.T) {
	log := &countingLog{}
	n, q := newBudgetInstance(t, log, fullOwner{})
	err := n.Cancel(t.Context(), q, "5c0e7a21d94b36f8")
	if !errors.As(err, new(OverloadedError)) || log.appends != 0 {
		t.Errorf("%v after %d appends, want an OverloadedError and none", err, log.appends)
	}
}
