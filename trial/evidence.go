package trial

import (
	"context"
	"time"

	"github.com/juju/errors"

	"marigoldshed.example/marigoldshed/common/id"
	"marigoldshed.example/marigoldshed/fleet"
	"marigoldshed.example/marigoldshed/internal/control/store"
	"marigoldshed.example/marigoldshed/rules"
	"marigoldshed.example/marigoldshed/standin"
)

// Evidence is what callers, workers, the platform and the log saw of a run.
type Evidence struct {
	Calls    []Call
	Guests   []Call // with the key that is withdrawn
	Runs     []standin.Run
	Events   []Event
	Versions []Version
	Rollouts []time.Duration // until a configuration was in force wherever it could be heard of
	Drains   []Granted
	Reboots  []standin.Rebooted
	Limits   []TeamShape
	Pools    map[id.Queue]id.Pool // that queues send work to
	Faulty   id.Set[id.Instance]  // workers that went down without a plan
	Out      id.DataCentre        // the data centre that was taken out
	Cut      id.DataCentre        // the data centre that was cut off from everything
	Alone    time.Duration        // how long operators let it go on then
	MayLose  bool                 // an entry instance ended without a plan
}

// Granted is a drain that the log granted and how its pool stood right after it.
type Granted struct {
	Instance id.Instance
	Reason   fleet.Reason
	Pool     id.Pool
	At       time.Time
	Serving  int       // instances
	Need     int       // instances that the budget asks for
	Ended    time.Time // when it served again, zero if it did not
}

// ReplayFrom reads the control stream and returns every drain that was granted.
func ReplayFrom(ctx context.Context, log *standin.Log) ([]Granted, error) {
	arrived := log.Arrived(store.ControlStream)
	tables := fleet.NewTables()
	var granted []Granted
	open := map[id.Instance]int{}
	for {
		batch, err := log.Read(ctx, store.ControlStream, tables.Offset, 0)
		if err != nil {
			return nil, errors.Annotate(err, "reading the log for the checks")
		}
		if len(batch.Records) == 0 {
			return granted, nil
		}
		for _, stored := range batch.Records {
			if _, err := tables.Apply(stored.Offset, stored.Data); err != nil {
				return nil, errors.Trace(err)
			}
			granted = follow(tables, stored, arrived[stored.Offset], granted, open)
		}
	}
}

// follow notes drains that one record granted and those that it ended.
func follow(tables *fleet.Tables, stored store.StoredRecord, at time.Time, granted []Granted, open map[id.Instance]int) []Granted {
	envelope, err := fleet.Decode(stored.Data)
	if err != nil {
		return granted
	}
	for name, index := range open {
		instance := tables.Instances[name]
		if instance == nil || instance.State == fleet.Up {
			granted[index].Ended = at
			delete(open, name)
		}
	}
	record, err := envelope.Record()
	drain, ok := record.(fleet.Drain)
	if err != nil || !ok {
		return granted
	}
	instance := tables.Instances[drain.Instance]
	if _, known := open[drain.Instance]; known || instance == nil || instance.Emptied != stored.Offset && instance.Drain != stored.Offset {
		return granted
	}
	pool := instance.Pool
	g := Granted{Instance: drain.Instance, Reason: drain.Reason, Pool: pool, At: at, Serving: serving(tables, pool)}
	if rule, ok := tables.Rules().Pool(pool); ok {
		g.Need = rule.Size - rule.Budget
	}
	open[drain.Instance] = len(granted)
	return append(granted, g)
}

// serving counts the instances of a pool that are up in data centres that are not out.
func serving(tables *fleet.Tables, pool id.Pool) int {
	n := 0
	for _, instance := range tables.Instances {
		out := false
		for _, dc := range tables.Rules().Outs {
			out = out || dc == instance.DataCentre
		}
		if instance.Pool == pool && instance.State == fleet.Up && !out {
			n++
		}
	}
	return n
}

// evidence gathers what was seen.
func (t *Trial) evidence() (Evidence, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	t.fleet.Platform.Log.SetFault(standin.LogFault{})
	drains, err := ReplayFrom(ctx, t.fleet.Platform.Log.Kept())
	if err != nil {
		return Evidence{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := Evidence{
		Calls: t.load.Calls(), Guests: t.probes, Runs: t.fleet.Journal.Runs(), Events: t.events,
		Versions: t.versions, Drains: drains, Limits: append([]TeamShape{{Team: GuestTeam, Limit: guestLimit}}, t.fleet.Deployment.Teams...),
		Rollouts: t.rollouts, Reboots: t.fleet.Platform.Reboots(), Faulty: id.Set[id.Instance]{}, Pools: map[id.Queue]id.Pool{}, Out: t.leaving(),
	}
	for _, p := range t.fleet.Deployment.Pools {
		e.Pools[p.Queue] = p.Pool
	}
	e.Pools["guests"] = t.fleet.Deployment.Pools[0].Pool
	for _, f := range t.config.Faults {
		if f.Name == "rack-lost" {
			e.Faulty = id.NewSet(rack()...)
		}
		e.MayLose = e.MayLose || f.Name == "entry-killed"
		if f.Name == "cut-all" {
			e.Cut, e.Alone = t.fleet.Deployment.DataCentres[2], rules.DefaultHold
		}
	}
	return e, nil
}
