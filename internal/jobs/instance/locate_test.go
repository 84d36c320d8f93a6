package instance

import (
	"errors"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"marigoldshed.example/marigoldshed/internal/jobs/catalog"
	"marigoldshed.example/marigoldshed/internal/jobs/job"
	"marigoldshed.example/marigoldshed/internal/jobs/relay"
	"marigoldshed.example/marigoldshed/internal/observe/steady"
)

// onePoolConfig is a configuration with one queue and no pool but that of the queue.
func onePoolConfig(version int64, pool string) *catalog.Config {
	c := routeConfig(version, "q", pool)
	c.Pools = []catalog.Pool{{Name: pool}}
	return c
}

// checkState checks whether an instance answers that there is no such job.
func (w *routeWorld) checkState(n *Instance, name job.ID, exists bool) {
	w.t.Helper()
	q, _, err := n.Admit("host.example", "/path/"+string(name), "")
	if err == nil {
		_, err = n.State(w.t.Context(), q, name)
	}
	if none := errors.As(err, new(NoJobError)); none == exists || err != nil && !none {
		w.t.Errorf("state of job %s, which exists: %v; error %v", name, exists, err)
	}
}

// TestJobInAPoolThatIsNotKnownYetIsFound guards against a LOST: an instance that had not yet read that a queue had moved, to a pool or
// from one that its configuration does not have, answered 410 for a job there.
func TestJobInAPoolThatIsNotKnownYetIsFound(t *testing.T) {
	const first, second, none = job.ID("5c0e7a21d94b0001"), job.ID("5c0e7a21d94b0002"), job.ID("5c0e7a21d94b0003")
	w := newRouteWorld(t)
	stale := w.start(onePoolConfig(3, "old"))
	w.mustSubmit(stale, first)
	w.freeze(stale)
	w.mustSubmit(w.start(onePoolConfig(5, "new")), second)
	w.check(second, "new")
	w.checkState(stale, second, true)
	w.checkState(stale, first, true)
	w.checkState(stale, none, false)
}

// TestJobIsFoundWhileAnInstanceStarts guards against a LOST: an instance that was reading the table of owners knew the owner of a queue's
// pool before the pools that the queue had had, and answered 410 for the jobs of these.
func TestJobIsFoundWhileAnInstanceStarts(t *testing.T) {
	const name = job.ID("5c0e7a21d94b0001")
	w := newRouteWorld(t)
	w.mustSubmit(w.start(onePoolConfig(3, "old")), name)
	n := New(Config{
		Settings: Settings{Peers: netip.MustParseAddrPort("127.0.0.1:1")}, Log: w.log, Clock: steady.Clock{},
		Peers: relay.NewClient(http.DefaultTransport), Logger: zap.NewNop(), Metrics: NewMetrics(),
	})
	n.applyConfig(onePoolConfig(5, "new"))
	all := w.log.all()
	asked := make(chan struct{})
	w.owner.onState = func(pool string) {
		if pool == "new" {
			close(asked)
		}
	}
	time.AfterFunc(10*time.Millisecond, func() {
		for i, r := range all {
			if i == len(all)-1 {
				<-asked
			}
			n.applyOwner(r)
		}
		n.recordOwnersEnd(int64(len(all)))
	})
	w.checkState(n, name, true)
}
